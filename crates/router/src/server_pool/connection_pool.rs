//! The connections of one server, and the assignment of attempts to them.

use super::pooled_connection::{ConnectionState, PooledConnection};
use crate::backoff::Backoff;
use crate::messages::{AttemptId, ConnectionCommand};
use chalkhall::interface::Id;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// Another connection is opened when the least busy one has this many attempts.
const BUSY_ATTEMPT_COUNT: usize = 4;

/// The requirements of an attempt on its connection.
pub(super) struct Requirements<'a> {
    /// The request of the attempt.
    pub(super) request: &'a Id,
    /// Whether the attempt must not run twice, and so needs a connection that is fresh.
    pub(super) is_non_idempotent: bool,
    /// The limit on concurrent attempts on one connection.
    pub(super) max_streams: usize,
    /// The current time.
    pub(super) now: Instant,
}

impl Requirements<'_> {
    fn are_met_by(&self, connection: &PooledConnection) -> bool {
        !connection.is_retired()
            && connection.open_attempts < self.max_streams
            && !connection.has_carried(self.request)
            && (!self.is_non_idempotent || connection.is_fresh(self.now))
    }
}

/// The connections of one server.
#[derive(Default)]
pub(super) struct ConnectionPool {
    /// All connections that are not closed.
    pub(super) connections: Vec<PooledConnection>,
    /// The backoff after connects that failed for lack of a local resource.
    pub(super) backoff: Backoff,
    /// The number of the connection that was opened last.
    pub(super) last_number: u64,
    /// The connection number of each attempt that has not ended.
    pub(super) open_attempts: HashMap<AttemptId, u64>,
}

impl ConnectionPool {
    /// When the idle timeout of a connection passes next.
    pub(super) fn next_idle_deadline(&self, idle_timeout: Duration) -> Option<Instant> {
        self.connections
            .iter()
            .filter(|connection| connection.is_idle())
            .map(|connection| connection.last_used_at + idle_timeout)
            .min()
    }

    /// Whether there is an idle connection.
    pub(super) fn has_idle(&self) -> bool {
        self.connections.iter().any(PooledConnection::is_idle)
    }

    /// Whether there is neither a connection nor an open attempt.
    pub(super) fn is_empty(&self) -> bool {
        self.connections.is_empty() && self.open_attempts.is_empty()
    }

    /// Retires the connection that has been idle for longest.
    pub(super) fn retire_longest_idle(&mut self) {
        let longest_idle = self
            .connections
            .iter_mut()
            .filter(|connection| connection.is_idle())
            .min_by_key(|connection| connection.last_used_at);
        if let Some(connection) = longest_idle {
            connection.retire();
        }
    }

    /// Closes the connections that have reached the idle timeout, so that the server does not close
    /// them first: a request that crosses the server's close may have run. Also closes those that
    /// are retired and have no open attempts.
    pub(super) fn close_idle(&mut self, now: Instant, idle_timeout: Duration) {
        self.retire_if(|connection| {
            connection.is_idle() && now >= connection.last_used_at + idle_timeout
        });
        self.close_drained();
    }

    /// Closes the idle connections that are no longer fresh, which non-idempotent attempts may not
    /// use.
    pub(super) fn close_stale(&mut self, now: Instant) {
        self.retire_if(|connection| !connection.is_fresh(now));
        self.close_drained();
    }

    fn close_drained(&mut self) {
        self.connections
            .retain(|connection| !connection.is_drained());
    }

    /// Retires the matching connections.
    pub(super) fn retire_if(&mut self, matches: impl Fn(&PooledConnection) -> bool) {
        self.connections
            .iter_mut()
            .filter(|connection| matches(connection))
            .for_each(PooledConnection::retire);
    }

    /// Lets all connections end the attempts that may not start any more. A connection whose mailbox
    /// is full does so when it next writes or a deadline passes.
    pub(super) fn expire_unsent(&self) {
        for connection in &self.connections {
            let _ = connection.commands.try_send(ConnectionCommand::Expire);
        }
    }

    /// Returns the connection with this number, unless it is closed.
    pub(super) fn connection_mut(&mut self, number: u64) -> Option<&mut PooledConnection> {
        self.connections
            .iter_mut()
            .find(|connection| connection.number == number)
    }

    /// Removes the connection with this number after it has ended.
    pub(super) fn remove(&mut self, number: u64) {
        self.connections
            .retain(|connection| connection.number != number);
    }

    /// The index of the connection with the fewest attempts among those that meet the requirements.
    /// Established connections are preferred.
    pub(super) fn select_least_busy(&self, requirements: &Requirements) -> Option<usize> {
        self.connections
            .iter()
            .enumerate()
            .filter(|(_, connection)| requirements.are_met_by(connection))
            .min_by_key(|(_, connection)| {
                let is_connecting = connection.state == ConnectionState::Connecting;
                (is_connecting, connection.open_attempts)
            })
            .map(|(index, _)| index)
    }

    /// Whether another connection should be opened: none is selected, or the selected one is busy,
    /// none is being established and the limit is not reached.
    pub(super) fn needs_another(&self, selected: Option<usize>, max_connections: usize) -> bool {
        let Some(selected) = selected else {
            return true;
        };
        let is_connecting = self
            .connections
            .iter()
            .any(|connection| connection.state == ConnectionState::Connecting);
        self.connections[selected].open_attempts >= BUSY_ATTEMPT_COUNT
            && !is_connecting
            && self.connections.len() < max_connections
    }
}
