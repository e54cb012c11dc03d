//! The router's clock: monotonic, for every deadline, window, wait and grace.
//!
//! The wall clock is read once, at the start, and only to compare timestamps from outside, which
//! are Unix times, with monotonic times. When it is stepped later, or the clocks of other machines
//! are, nothing here changes: `timestamps` bounds their timestamps, and `boot_time` finds a step
//! between two starts.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// How long before the start the clock's zero is: events before the start keep their distance.
const ZERO_BEFORE_START: Duration = Duration::from_secs(30 * 24 * 3600);

/// Times since a zero well before the start, tied to both clocks once.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
    /// The time at `started_at`.
    offset: Duration,
    /// The Unix time of the zero.
    unix_of_zero: Duration,
}

impl Clock {
    /// The clock of a start. Nothing else reads the wall clock (`clippy.toml`).
    #[allow(clippy::disallowed_methods)]
    pub fn start() -> Clock {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started_at: Instant::now(),
            offset: ZERO_BEFORE_START,
            unix_of_zero: unix.saturating_sub(ZERO_BEFORE_START),
        }
    }

    /// The time now.
    pub fn now(&self) -> Duration {
        self.offset + self.started_at.elapsed()
    }

    /// A time as the runtime counts it.
    pub fn instant(&self, at: Duration) -> Instant {
        // A time beyond the range of the clock never comes.
        let far = || self.started_at + ZERO_BEFORE_START;
        self.started_at
            .checked_add(at.saturating_sub(self.offset))
            .unwrap_or_else(far)
    }

    /// A time as a Unix timestamp, in milliseconds.
    pub fn unix_ms(&self, at: Duration) -> u64 {
        (self.unix_of_zero + at).as_millis() as u64
    }

    /// The time of a Unix timestamp in milliseconds.
    pub fn at_unix_ms(&self, ms: u64) -> Duration {
        Duration::from_millis(ms).saturating_sub(self.unix_of_zero)
    }
}

#[cfg(test)]
mod tests;
