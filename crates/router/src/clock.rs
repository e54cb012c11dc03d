//! Time as the decisions count it: spans of the monotonic clock, also for every deadline, window, wait and grace.
//!
//! The wall clock is read once, at the start, and only to compare stamps from outside, which are Unix times, with
//! those spans. When it is stepped later, or the clocks that stamp are, nothing here moves; what bounds their
//! stamps stands in `stamps.rs`, and what bounds a step between two starts in `boot_time.rs`.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// How long before its start a router's zero lies: what happened before the start keeps its distance.
const BEFORE_START: Duration = Duration::from_secs(30 * 24 * 3600);

/// Spans since a zero well before the start, tied to both clocks once.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    zero: Instant,
    past: Duration,
    /// The Unix time of the zero.
    unix: Duration,
}

impl Clock {
    /// The clock of a start. Nothing else reads the wall clock (`clippy.toml`).
    #[allow(clippy::disallowed_methods)]
    pub fn start() -> Clock {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            zero: Instant::now(),
            past: BEFORE_START,
            unix: unix.saturating_sub(BEFORE_START),
        }
    }

    pub fn now(&self) -> Duration {
        self.past + self.zero.elapsed()
    }

    pub fn instant(&self, at: Duration) -> Instant {
        // What lies beyond any clock's reach never comes.
        let far = || self.zero + BEFORE_START;
        self.zero
            .checked_add(at.saturating_sub(self.past))
            .unwrap_or_else(far)
    }

    /// A span since the zero as a stamp of the system's clock, in milliseconds.
    pub fn unix_ms(&self, at: Duration) -> u64 {
        (self.unix + at).as_millis() as u64
    }

    /// A stamp of the system's clock, in milliseconds, as a span since the zero.
    pub fn at_unix_ms(&self, ms: u64) -> Duration {
        Duration::from_millis(ms).saturating_sub(self.unix)
    }
}

#[cfg(test)]
mod tests;
