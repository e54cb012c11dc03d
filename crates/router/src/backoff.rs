//! The exponential backoff between the connects to a server that fail on this machine.

use std::time::Duration;
use tokio::time::Instant;

/// The first pause. Each is twice as long as the one before, until a connection is made.
pub const INITIAL_DELAY: Duration = Duration::from_millis(10);
/// The longest pause.
pub const MAX_DELAY: Duration = Duration::from_millis(320);

/// When a new connection may be tried. Pauses have a jitter of half their length, lest all servers
/// of a machine, and all routers on it, come back in one moment for the resource that is short.
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
    /// Whether a connection may be tried now.
    pub fn allows(&self, now: Instant) -> bool {
        self.not_before.is_none_or(|not_before| now >= not_before)
    }

    /// A connect has failed. Those that were tried together with it and fail after it count as one.
    pub fn failed(&mut self, now: Instant) {
        if !self.allows(now) {
            return;
        }
        let jitter = 1.0 - self.random.f64() / 2.0;
        self.not_before = Some(now + self.next_delay.mul_f64(jitter));
        self.next_delay = (self.next_delay * 2).min(MAX_DELAY);
    }

    /// A connect has succeeded: the next failure begins with the first pause.
    pub fn succeeded(&mut self) {
        self.reset();
    }

    /// Forgets all failures.
    pub fn reset(&mut self) {
        self.not_before = None;
        self.next_delay = INITIAL_DELAY;
    }
}

#[cfg(test)]
mod tests;
