//! Backoff for work on the disk that failed.

use std::time::Duration;

/// When work that failed is tried again: after a first span that doubles with each failure, up to a longest.
#[derive(Clone, Copy, Debug)]
pub(super) struct Retry {
    first: Duration,
    longest: Duration,
    failures: u32,
    /// None after a failure: the next look at the clock sets it.
    due: Option<Duration>,
}

impl Retry {
    pub fn new((first, longest): (Duration, Duration)) -> Retry {
        Retry {
            first,
            longest,
            failures: 0,
            due: None,
        }
    }

    /// Failures in a row.
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

    /// It may be tried now.
    pub fn is_due(&mut self, now: Duration) -> bool {
        if self.failures == 0 {
            return true;
        }
        let doublings = (self.failures - 1).min(16);
        let span = (self.first * (1 << doublings)).min(self.longest);
        now >= *self.due.get_or_insert(now + span)
    }

    /// When it may be tried again; none: it has not failed.
    pub fn due(&self) -> Option<Duration> {
        self.due
    }
}

#[cfg(test)]
mod tests;
