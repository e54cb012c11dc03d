//! Timers: what is to be done when the front end calls back, as data.

use crate::interface::Id;
use std::collections::HashMap;

/// What a timer is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TimerCallback {
    /// The endpoint list could not be had: it is asked for again.
    ReconnectList,
    /// A request has reached its hard deadline.
    RequestDeadline(Id),
    /// A request goes on that waited for another's fill.
    ResumeRequest(Id),
    /// A request that waits for a slot among the fills can no longer be in time.
    FillQueueTimeout(Id),
    /// An attempt has not ended within its timeout.
    AttemptTimeout {
        /// The request.
        request: Id,
        /// The number of the attempt.
        attempt: usize,
    },
}

/// The timers that are set, by their ids.
#[derive(Debug, Default)]
pub struct Timers {
    callbacks: HashMap<u64, TimerCallback>,
    last_id: u64,
}

impl Timers {
    /// Sets a timer; gives its id.
    pub fn set(&mut self, callback: TimerCallback) -> u64 {
        self.last_id += 1;
        self.callbacks.insert(self.last_id, callback);
        self.last_id
    }

    /// A timer has fired: what it was for, the first time only.
    pub fn fire(&mut self, id: u64) -> Option<TimerCallback> {
        self.callbacks.remove(&id)
    }
}

#[cfg(test)]
mod tests;
