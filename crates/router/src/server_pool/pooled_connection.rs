//! The state of one connection, as the actor of its server tracks it.

use crate::messages::ConnectionCommand;
use chalkhall::interface::Id;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// A non-idempotent attempt is sent only on a connection that was in use within this time, or on a
/// new one. A server may close an idle connection long before its idle timeout, which is noticed
/// only after a request has been written.
const FRESHNESS_WINDOW: Duration = Duration::from_millis(50);
/// The limit on remembered requests per connection, to which a late answer may arrive.
const MAX_PAST_REQUESTS: usize = 256;

/// Whether a connection may get attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionState {
    /// It is being established, and queues its attempts meanwhile.
    Connecting,
    /// It is usable.
    Established,
    /// It gets no more attempts: it was silent or idle for too long, has failed, or connects to a
    /// former address of the server. It is closed once its attempts have ended.
    Retired,
}

/// A connection in the pool of its server.
pub(super) struct PooledConnection {
    /// Its number among the connections of the server.
    pub(super) number: u64,
    /// The mailbox of the connection's actor.
    pub(super) commands: mpsc::Sender<ConnectionCommand>,
    /// Whether it may get attempts.
    pub(super) state: ConnectionState,
    /// Attempts on it that have not ended.
    pub(super) open_attempts: usize,
    /// When the connect began.
    pub(super) created_at: Instant,
    /// When an attempt was last sent to it or ended on it.
    pub(super) last_used_at: Instant,
    /// Requests with an earlier attempt on this connection, in order. A late or second answer to
    /// such an attempt would be mistaken for the answer to a later attempt of the same request.
    past_requests: VecDeque<Id>,
}

impl PooledConnection {
    /// Creates the state of a connection that is being established.
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

    /// Marks the connection as established, unless it was retired meanwhile.
    pub(super) fn established(&mut self) {
        if self.state == ConnectionState::Connecting {
            self.state = ConnectionState::Established;
        }
    }

    /// Marks the connection as retired: it gets no more attempts.
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

    /// Whether it is retired and idle, so that it may be closed.
    pub(super) fn is_drained(&self) -> bool {
        self.is_retired() && self.is_idle()
    }

    /// Whether it is in use, or was within [`FRESHNESS_WINDOW`].
    pub(super) fn is_fresh(&self, now: Instant) -> bool {
        !self.is_idle() || now < self.last_used_at + FRESHNESS_WINDOW
    }

    /// Whether it has carried an earlier attempt of this request.
    pub(super) fn has_carried(&self, request: &Id) -> bool {
        self.past_requests.contains(request)
    }

    /// Records that an attempt was sent on it.
    pub(super) fn attempt_sent(&mut self, now: Instant) {
        self.open_attempts += 1;
        self.last_used_at = now;
    }

    /// Records that an attempt on it has ended.
    pub(super) fn attempt_ended(&mut self, now: Instant) {
        self.open_attempts -= 1;
        self.last_used_at = now;
    }

    /// Remembers a request that the server may have received: a late answer to it may arrive.
    pub(super) fn remember_request(&mut self, request: Id) {
        self.past_requests.push_back(request);
        let excess = self.past_requests.len().saturating_sub(MAX_PAST_REQUESTS);
        self.past_requests.drain(..excess);
    }
}
