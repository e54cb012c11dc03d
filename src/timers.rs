//! Timers: the callbacks that run when the front end calls `wake`, represented as data.

use crate::interface::Id;
use std::collections::HashMap;
use std::time::Duration;

/// The purpose of a timer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TimerCallback {
    /// Request the endpoint list again after a failure.
    ReconnectList,
    /// Finish a request at its hard deadline.
    RequestDeadline(Id),
    /// Resume a request that waited for another request's fill.
    ResumeRequest(Id),
    /// Finish a request that has waited for a fill slot until a fill could no longer meet its
    /// deadlines.
    FillQueueTimeout(Id),
    /// Check an attempt that has not ended within its timeout.
    AttemptTimeout {
        /// The request.
        request: Id,
        /// The number of the attempt.
        attempt: usize,
    },
}

impl TimerCallback {
    /// The request that the timer belongs to. Once it is finished, the timer has no effect.
    pub fn request(&self) -> Option<&Id> {
        match self {
            TimerCallback::ReconnectList => None,
            TimerCallback::RequestDeadline(request)
            | TimerCallback::ResumeRequest(request)
            | TimerCallback::FillQueueTimeout(request)
            | TimerCallback::AttemptTimeout { request, .. } => Some(request),
        }
    }
}

/// A timer that has neither fired nor been cancelled.
#[derive(Debug)]
struct PendingTimer {
    due: Duration,
    callback: TimerCallback,
}

/// The pending timers, by id.
#[derive(Debug, Default)]
pub struct Timers {
    pending: HashMap<u64, PendingTimer>,
    last_id: u64,
}

impl Timers {
    /// Sets a timer that fires at `due`, and returns its id.
    pub fn set(&mut self, due: Duration, callback: TimerCallback) -> u64 {
        self.last_id += 1;
        self.pending
            .insert(self.last_id, PendingTimer { due, callback });
        self.last_id
    }

    /// Removes the callback of a timer that fires; `None` if it has fired before or was cancelled.
    pub fn fire(&mut self, id: u64) -> Option<TimerCallback> {
        self.pending.remove(&id).map(|timer| timer.callback)
    }

    /// Removes a timer before it fires. Returns the time at which it would have fired; `None` if it
    /// has fired or was cancelled before.
    pub fn cancel(&mut self, id: u64) -> Option<Duration> {
        self.pending.remove(&id).map(|timer| timer.due)
    }

    /// The number of pending timers.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.pending.len()
    }
}

#[cfg(test)]
mod tests;
