//! Exponential backoff between connection attempts to a server that fail because of this machine.

use std::time::Duration;
use tokio::time::Instant;

/// The delay after the first failure. It doubles with each failure until a connect succeeds.
pub const INITIAL_DELAY: Duration = Duration::from_millis(10);
pub const MAX_DELAY: Duration = Duration::from_millis(320);

/// When the next connect may be attempted. Delays have a jitter of half their length, so that the
/// connects to all servers, and those of all routers on the machine, do not compete for the scarce
/// resource at the same moment.
pub struct Backoff {
    not_before: Option<Instant>,
    next_delay: Duration,
    random: fastrand::Rng,
}

impl Default for Backoff {
    fn default() -> Backoff {
        Backoff {
            not_before: None,
            next_delay: INITIAL_DELAY,
            random: fastrand::Rng::new(),
        }
    }
}

impl Backoff {
    /// Whether a connect may be attempted now.
    pub fn allows(&self, now: Instant) -> bool {
        self.not_before.is_none_or(|not_before| now >= not_before)
    }

    /// Records a failed connect. Failures of connects that were started together count as one.
    pub fn record_failure(&mut self, now: Instant) {
        if !self.allows(now) {
            return;
        }
        let jitter = 1.0 - self.random.f64() / 2.0;
        self.not_before = Some(now + self.next_delay.mul_f64(jitter));
        self.next_delay = (self.next_delay * 2).min(MAX_DELAY);
    }

    /// Records a successful connect: the next failure starts with the initial delay.
    pub fn record_success(&mut self) {
        self.reset();
    }

    /// Discards the recorded failures.
    pub fn reset(&mut self) {
        self.not_before = None;
        self.next_delay = INITIAL_DELAY;
    }
}

#[cfg(test)]
mod tests;
