//! What the actor of a server knows of one of its connections.

use crate::messages::ConnectionCommand;
use chalkhall::interface::Id;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// A non-idempotent attempt goes on a connection that was in use this recently, or on a new one: a
/// server may have closed one that is idle, long before it should, and this is noticed only after a
/// request has been written.
const FRESH_FOR: Duration = Duration::from_millis(50);
/// Requests that were on a connection and to which another answer may come that nobody waits for.
const MAX_PAST_REQUESTS: usize = 256;

/// Whether a connection may be given attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionState {
    /// It is being made, and queues its attempts meanwhile.
    Connecting,
    /// It is usable.
    Established,
    /// It gets no more attempts: it was silent or idle for too long, has failed, or leads to where
    /// the server no longer is. It is closed once its attempts have ended.
    Retired,
}

/// A connection in the pool of its server.
pub(super) struct PooledConnection {
    /// Its number among the connections of the server.
    pub(super) number: u64,
    /// The mailbox of the connection's actor.
    pub(super) commands: mpsc::Sender<ConnectionCommand>,
    /// Whether it may be given attempts.
    pub(super) state: ConnectionState,
    /// Attempts on it that have not ended.
    pub(super) open_attempts: usize,
    /// When the connect began.
    pub(super) created_at: Instant,
    /// When an attempt was last sent to it or ended on it.
    pub(super) last_used_at: Instant,
    /// Requests with an earlier attempt on it, the latest last. A second answer to one, or one that
    /// crossed its cancellation, would be taken for that to a later attempt.
    past_requests: VecDeque<Id>,
}

impl PooledConnection {
    /// A connection that is being made.
    pub(super) fn connecting(
        number: u64,
        commands: mpsc::Sender<ConnectionCommand>,
        now: Instant,
    ) -> PooledConnection {
        PooledConnection {
            number,
            commands,
            state: ConnectionState::Connecting,
            open_attempts: 0,
            created_at: now,
            last_used_at: now,
            past_requests: VecDeque::new(),
        }
    }

    /// The connect has succeeded. A connection that was retired meanwhile stays retired.
    pub(super) fn established(&mut self) {
        if self.state == ConnectionState::Connecting {
            self.state = ConnectionState::Established;
        }
    }

    /// It gets no more attempts.
    pub(super) fn retire(&mut self) {
        self.state = ConnectionState::Retired;
    }

    /// Whether it gets no more attempts.
    pub(super) fn is_retired(&self) -> bool {
        self.state == ConnectionState::Retired
    }

    /// Whether all attempts on it have ended.
    pub(super) fn is_idle(&self) -> bool {
        self.open_attempts == 0
    }

    /// Whether it may be closed.
    pub(super) fn is_drained(&self) -> bool {
        self.is_retired() && self.is_idle()
    }

    /// Whether it is in use, or was a moment ago.
    pub(super) fn is_fresh(&self, now: Instant) -> bool {
        !self.is_idle() || now < self.last_used_at + FRESH_FOR
    }

    /// Whether an attempt of this request was on it before.
    pub(super) fn has_carried(&self, request: &Id) -> bool {
        self.past_requests.contains(request)
    }

    /// An attempt was sent to it.
    pub(super) fn attempt_sent(&mut self, now: Instant) {
        self.open_attempts += 1;
        self.last_used_at = now;
    }

    /// An attempt on it has ended.
    pub(super) fn attempt_ended(&mut self, now: Instant) {
        self.open_attempts -= 1;
        self.last_used_at = now;
    }

    /// The server may have received this request: another answer to it may come.
    pub(super) fn remember(&mut self, request: Id) {
        self.past_requests.push_back(request);
        let excess = self.past_requests.len().saturating_sub(MAX_PAST_REQUESTS);
        self.past_requests.drain(..excess);
    }
}
