//! Exponential backoff for failed disk operations.

use std::time::Duration;

/// When a failed operation is retried: after a delay that doubles with each failure, up to a maximum.
#[derive(Clone, Copy, Debug)]
pub(super) struct Retry {
    first: Duration,
    max_delay: Duration,
    failures: u32,
    /// `None` after a failure, until `is_due` sets it with the current time.
    due: Option<Duration>,
}

impl Retry {
    pub fn new((first, max_delay): (Duration, Duration)) -> Retry {
        Retry {
            first,
            max_delay,
            failures: 0,
            due: None,
        }
    }

    /// The number of consecutive failures.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    pub fn failed(&mut self) {
        self.failures = self.failures.saturating_add(1);
        self.due = None;
    }

    pub fn succeeded(&mut self) {
        (self.failures, self.due) = (0, None);
    }

    /// Whether the operation may be tried now.
    pub fn is_due(&mut self, now: Duration) -> bool {
        if self.failures == 0 {
            return true;
        }
        let doublings = (self.failures - 1).min(16);
        let delay = (self.first * (1 << doublings)).min(self.max_delay);
        now >= *self.due.get_or_insert(now + delay)
    }

    /// When it may be tried again. `None` if the last attempt succeeded or `is_due` was not called since the
    /// failure.
    pub fn due(&self) -> Option<Duration> {
        self.due
    }
}

#[cfg(test)]
mod tests;
