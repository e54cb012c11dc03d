//! The state of one request, from its arrival to the end of its last attempt.

use crate::coalescing::WaiterPlace;
use crate::interface::{Id, IncomingRequest};
use crate::retry::PossibleExecution;
use crate::wait_queue::Ticket;
use std::time::Duration;

/// The expected time of an answer in addition to its sending time.
pub const ANSWER_OVERHEAD: Duration = Duration::from_millis(100);

/// The destination of an attempt: a server, and the source from which it fills a miss.
#[derive(Clone, Debug)]
pub struct Route {
    /// The server that receives the attempt.
    pub server: Id,
    /// The source of a fill; equal to `server` if the server must not fill.
    pub source: Id,
    /// The creation time of the local copy that the attempt uses; `None` for attempts at other
    /// servers.
    pub copy_created_at: Option<Duration>,
    /// How long after its freshness lifetime a copy is still accepted.
    pub allowed_staleness: Duration,
}

impl Route {
    /// The server, and the source if it differs from the server.
    pub fn hops(&self) -> impl Iterator<Item = &Id> {
        let source = Some(&self.source).filter(|source| **source != self.server);
        [Some(&self.server), source].into_iter().flatten()
    }

    /// Whether the attempt uses a local cache.
    pub fn is_local(&self) -> bool {
        self.copy_created_at.is_some()
    }
}

/// An attempt in flight.
#[derive(Debug)]
pub struct OpenAttempt {
    pub route: Route,
    pub sent_at: Duration,
}

/// One attempt of a request.
#[derive(Debug)]
pub struct Attempt {
    /// `None` once the attempt has ended.
    pub open: Option<OpenAttempt>,
    /// The attempt is expected to fill, or is overdue and therefore assumed to.
    pub is_fill: bool,
    /// The attempt holds a slot of the fill limiter.
    pub holds_fill_slot: bool,
}

/// An error that the request itself may have caused, with a server that returned it or was its
/// source.
#[derive(Debug)]
pub struct SuspectedError {
    pub server: Id,
    /// The weight of the error, from 0 to 1.
    pub weight: f64,
}

/// A request that has no final answer yet, or that has attempts in flight.
#[derive(Debug)]
pub struct PendingRequest {
    pub arrival: IncomingRequest,
    /// The priority at which a copy of the part is retained; 0: not retained.
    pub retention_priority: u8,
    /// The request is the first known access to its part.
    pub is_first_access: bool,
    /// How long the answer takes to send at the clients' rate.
    pub sending_time: Duration,
    /// The latency objective, after which an answer has less value.
    pub soft_deadline: Duration,
    /// The hard deadline, by which the final answer is given.
    pub deadline: Duration,
    /// The attempts, in send order.
    pub attempts: Vec<Attempt>,
    /// The number of attempts in flight.
    pub open_attempts: usize,
    /// The final answer has been given, or the client has left.
    pub is_finished: bool,
    /// The request has waited for another request's fill.
    pub has_coalesced: bool,
    /// The first attempt that may have been executed.
    pub possible_execution: Option<PossibleExecution>,
    /// Servers and sources that are excluded from further attempts.
    pub failed_servers: Vec<Id>,
    /// Errors that count against their servers once another server has answered the request.
    pub suspected_errors: Vec<SuspectedError>,
    /// Its place in the queue for a fill slot, which it may have left.
    pub fill_ticket: Option<Ticket>,
    /// Its place among the waiters of another request's fill, which may have been completed.
    pub waiter_place: Option<WaiterPlace>,
    /// The ids of its timers, which are cancelled when it is finished; some may have fired.
    pub timers: Vec<u64>,
}

impl PendingRequest {
    /// The latest start of an attempt that meets both deadlines.
    pub fn latest_start(&self) -> Duration {
        let deadline = self.soft_deadline.min(self.deadline);
        deadline.saturating_sub(ANSWER_OVERHEAD + self.sending_time)
    }

    /// The attempt with this number, if it is in flight.
    pub fn open_attempt(&self, attempt: usize) -> Option<&OpenAttempt> {
        self.attempts.get(attempt)?.open.as_ref()
    }
}
