//! Timers: the callbacks that run when the front end calls `wake`, represented as data.

use crate::interface::Id;
use std::collections::HashMap;

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

/// The pending timers, by id.
#[derive(Debug, Default)]
pub struct Timers {
    callbacks: HashMap<u64, TimerCallback>,
    last_id: u64,
}

impl Timers {
    /// Sets a timer and returns its id.
    pub fn set(&mut self, callback: TimerCallback) -> u64 {
        self.last_id += 1;
        self.callbacks.insert(self.last_id, callback);
        self.last_id
    }

    /// Removes the callback of a timer that has fired; `None` if it has fired before.
    pub fn fire(&mut self, id: u64) -> Option<TimerCallback> {
        self.callbacks.remove(&id)
    }
}

#[cfg(test)]
mod tests;
