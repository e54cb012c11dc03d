//! The router's monotonic clock, on which all deadlines, windows and grace periods are based.
//!
//! The wall clock is read once, at the start, to convert external Unix timestamps to monotonic
//! times. Later steps of it, or of the clocks of other machines, have no effect here: `timestamps`
//! corrects external timestamps, and `boot_time` detects a step between two starts.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The clock's time at the start of the router, so that earlier events have positive times too.
const START_OFFSET: Duration = Duration::from_secs(30 * 24 * 3600);

/// Measures time since a zero point well before the start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
    /// The time of this clock at `started_at`.
    offset: Duration,
    /// The Unix time of the zero point.
    unix_at_zero: Duration,
}

impl Clock {
    /// Starts a clock. Nothing else reads the wall clock (`clippy.toml`).
    #[allow(clippy::disallowed_methods)]
    pub fn start() -> Clock {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started_at: Instant::now(),
            offset: START_OFFSET,
            unix_at_zero: unix.saturating_sub(START_OFFSET),
        }
    }

    /// The current time.
    pub fn now(&self) -> Duration {
        self.offset + self.started_at.elapsed()
    }

    /// Converts a time to an instant of the runtime.
    pub fn instant(&self, at: Duration) -> Instant {
        // A time beyond the range of `Instant` is never reached.
        let far_future = || self.started_at + START_OFFSET;
        self.started_at
            .checked_add(at.saturating_sub(self.offset))
            .unwrap_or_else(far_future)
    }

    /// Converts a time to a Unix timestamp in milliseconds.
    pub fn unix_ms(&self, at: Duration) -> u64 {
        (self.unix_at_zero + at).as_millis() as u64
    }

    /// Converts a Unix timestamp in milliseconds to a time.
    pub fn at_unix_ms(&self, ms: u64) -> Duration {
        Duration::from_millis(ms).saturating_sub(self.unix_at_zero)
    }
}

#[cfg(test)]
mod tests;
