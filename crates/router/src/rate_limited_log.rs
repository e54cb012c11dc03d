//! Limits the rate of warnings that could flood the log, such as those about invalid messages of
//! peers or failed accepts.

use std::fmt::Display;
use std::time::Duration;
use tokio::time::Instant;

/// The minimum time between two lines.
const INTERVAL: Duration = Duration::from_secs(10);

/// Logs at most one warning per interval, with the number of warnings suppressed since the last
/// one.
#[derive(Default)]
pub struct RateLimitedLog {
    last_logged_at: Option<Instant>,
    suppressed: u64,
}

impl RateLimitedLog {
    /// Logs this message, unless a line was logged within the interval.
    pub fn log(&mut self, message: &str) {
        if let Some(suppressed) = self.admit() {
            log::warn!("{message} ({suppressed} similar warnings suppressed)");
        }
    }

    /// Logs an error with a fixed message, unless a line was logged within the interval.
    pub fn log_error(&mut self, message: &str, error: &dyn Display) {
        if let Some(suppressed) = self.admit() {
            log::warn!(error:% = error, suppressed = suppressed; "{message}");
        }
    }

    /// The number of lines suppressed since the last one, or none if this one is suppressed too.
    fn admit(&mut self) -> Option<u64> {
        if self
            .last_logged_at
            .is_some_and(|last| last.elapsed() < INTERVAL)
        {
            self.suppressed += 1;
            return None;
        }
        self.last_logged_at = Some(Instant::now());
        Some(std::mem::take(&mut self.suppressed))
    }
}
