//! The state of one request, from its arrival to the end of its last attempt.

use crate::interface::{Arrival, Id};
use crate::retry::PossibleExecution;
use std::time::Duration;

/// What an answer takes beside its sending time.
pub const ANSWER_OVERHEAD: Duration = Duration::from_millis(100);

/// Where an attempt goes: a server, and the source of a fill with it.
#[derive(Clone, Debug)]
pub struct Route {
    /// The server that is to answer.
    pub server: Id,
    /// Where it fills a miss from; the server itself: it does not fill.
    pub source: Id,
    /// When the copy was created that the attempt is for, where that is known: in a local cache.
    pub copy_created_at: Option<Duration>,
    /// For how long past its fresh time a copy is accepted.
    pub allowed_staleness: Duration,
}

impl Route {
    /// The server, and the source where it is another one.
    pub fn hops(&self) -> impl Iterator<Item = &Id> {
        let source = Some(&self.source).filter(|source| **source != self.server);
        [Some(&self.server), source].into_iter().flatten()
    }

    /// Whether it goes to a local cache.
    pub fn is_local(&self) -> bool {
        self.copy_created_at.is_some()
    }
}

/// Where and when an attempt was sent that has not ended.
#[derive(Debug)]
pub struct OpenAttempt {
    /// Where it was sent.
    pub route: Route,
    /// When it was sent.
    pub sent_at: Duration,
}

/// One attempt of a request.
#[derive(Debug)]
pub struct Attempt {
    /// Until it has ended.
    pub open: Option<OpenAttempt>,
    /// It is taken for a fill.
    pub is_fill: bool,
    /// It holds a slot of the fill limiter.
    pub holds_fill_slot: bool,
}

/// An error that is perhaps the request's own fault, and a server that returned it or was its
/// source.
#[derive(Debug)]
pub struct SuspectedError {
    /// The server, or the source.
    pub server: Id,
    /// How much the error counts against it, from 0 to 1.
    pub weight: f64,
}

/// A request that has no final answer yet, or an attempt of which has not ended.
#[derive(Debug)]
pub struct PendingRequest {
    /// The request as it came in.
    pub arrival: Arrival,
    /// The priority at which a copy of what it asks for is kept; 0: not kept.
    pub retention_priority: u8,
    /// It is the first known access to its part.
    pub is_first_access: bool,
    /// How long its answer takes to send at the client's pace.
    pub sending_time: Duration,
    /// The latency objective: an answer after it is worth less.
    pub soft_deadline: Duration,
    /// The hard deadline: its final answer is out by then.
    pub deadline: Duration,
    /// Its attempts, in the order sent.
    pub attempts: Vec<Attempt>,
    /// How many of them have not ended.
    pub open_attempts: usize,
    /// It has its final answer, or its client has left.
    pub is_over: bool,
    /// It has waited for another request's fill.
    pub has_coalesced: bool,
    /// The first attempt that may have run.
    pub possible_execution: Option<PossibleExecution>,
    /// Servers and sources that are not asked again.
    pub failed_servers: Vec<Id>,
    /// Errors that count once another server has answered the request.
    pub suspected_errors: Vec<SuspectedError>,
}

impl PendingRequest {
    /// When an attempt must start at the latest to meet both deadlines.
    pub fn latest_start(&self) -> Duration {
        let deadline = self.soft_deadline.min(self.deadline);
        deadline.saturating_sub(ANSWER_OVERHEAD + self.sending_time)
    }

    /// The attempt of that number, if it has not ended.
    pub fn open_attempt(&self, attempt: usize) -> Option<&OpenAttempt> {
        self.attempts.get(attempt)?.open.as_ref()
    }
}
