//! The pause before a server's next connection after one that this machine could not make.

use std::time::Duration;
use tokio::time::Instant;

/// The first pause, and the longest: each is twice as long as the one before, until a connection is made.
pub const FIRST: Duration = Duration::from_millis(10);
pub const LONGEST: Duration = Duration::from_millis(320);

/// When a new connection may be tried. Pauses are spread over their second half at random, lest all servers
/// of a machine, and all routers on it, come back for what is short in one moment.
pub struct Backoff {
    not_before: Option<Instant>,
    next: Duration,
    chance: fastrand::Rng,
}

impl Default for Backoff {
    fn default() -> Backoff {
        Backoff {
            not_before: None,
            next: FIRST,
            chance: fastrand::Rng::new(),
        }
    }
}

impl Backoff {
    /// Whether a connection may be tried now.
    pub fn allows(&self, now: Instant) -> bool {
        self.not_before.is_none_or(|not_before| now >= not_before)
    }

    /// One could not be made. Those that were tried together with it and fail after it count as one.
    pub fn failed(&mut self, now: Instant) {
        if !self.allows(now) {
            return;
        }
        self.not_before = Some(now + self.next.mul_f64(1.0 - self.chance.f64() / 2.0));
        self.next = (self.next * 2).min(LONGEST);
    }

    /// One was made: the next failure begins with the first pause.
    pub fn succeeded(&mut self) {
        (self.not_before, self.next) = (None, FIRST);
    }
}

#[cfg(test)]
mod tests;
