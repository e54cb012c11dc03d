//! A log line of which there could be a flood: peers' nonsense, accepts that fail.

use std::time::Duration;
use tokio::time::Instant;

const EVERY: Duration = Duration::from_secs(10);

/// Logs one line in a while, and with it how many were left out since the last.
#[derive(Default)]
pub struct RateLimitedLog {
    last: Option<Instant>,
    left_out: u64,
}

impl RateLimitedLog {
    pub fn log(&mut self, what: &str) {
        if self.last.is_some_and(|last| last.elapsed() < EVERY) {
            self.left_out += 1;
            return;
        }
        log::warn!("{what} ({} more of this kind before)", self.left_out);
        (self.last, self.left_out) = (Some(Instant::now()), 0);
    }
}
