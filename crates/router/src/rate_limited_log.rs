//! Bounds how often a warning is logged that could come in a flood: invalid messages of peers,
//! connections that cannot be accepted.

use std::fmt::Display;
use std::time::Duration;
use tokio::time::Instant;

/// The least time between two lines.
const INTERVAL: Duration = Duration::from_secs(10);

/// Logs one warning in an interval, and with it how many were suppressed since the last.
#[derive(Default)]
pub struct RateLimitedLog {
    last_logged_at: Option<Instant>,
    suppressed: u64,
}

impl RateLimitedLog {
    /// Logs this message, unless another was logged just before.
    pub fn log(&mut self, message: &str) {
        if let Some(suppressed) = self.admit() {
            log::warn!("{message} ({suppressed} more of this kind before)");
        }
    }

    /// Logs an error with this fixed message, unless another was logged just before.
    pub fn log_error(&mut self, message: &str, error: &dyn Display) {
        if let Some(suppressed) = self.admit() {
            log::warn!(error:% = error, suppressed = suppressed; "{message}");
        }
    }

    /// How many lines were suppressed since the last one; none where this one has to be suppressed
    /// too.
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
