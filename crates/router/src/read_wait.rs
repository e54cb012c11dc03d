//! Computes an upper bound on how long data was unread before it was read from a connection.

use crate::scheduling_delay;
use std::time::Duration;
use tokio::time::Instant;

/// Gaps between two waits for data that are shorter than this are not counted. Data read later than
/// this after the end of a longer gap has arrived since.
const MIN_GAP: Duration = Duration::from_millis(60);

/// Records when a connection was waiting for data.
///
/// Data that arrives during a wait is read at once, unless the event loop is delayed. The
/// connection of an idle client waits all the time, so its idle time is not counted.
pub struct ReadWait {
    last_wait_end: Instant,
    wait_start: Instant,
    is_waiting: bool,
}

impl ReadWait {
    /// Starts with a connection that has just been accepted. Data may have arrived before, during a
    /// delay of the event loop.
    pub fn new() -> ReadWait {
        let now = Instant::now();
        ReadWait {
            last_wait_end: scheduling_delay::unread_since().unwrap_or(now),
            wait_start: now,
            is_waiting: false,
        }
    }

    /// Begins a wait for data.
    pub fn begin(&mut self) {
        self.is_waiting = true;
        self.wait_start = Instant::now();
    }

    /// Begins a wait for data, or continues the one that has begun.
    pub fn begin_or_continue(&mut self) {
        if !self.is_waiting {
            self.begin();
        }
    }

    /// Ends a wait, if one has begun. `unread_for` has to be called before.
    pub fn end(&mut self) {
        if self.is_waiting {
            self.is_waiting = false;
            self.last_wait_end = Instant::now();
        }
    }

    /// The longest time for which data that is read now, during the current wait, can have been
    /// unread.
    pub fn unread_for(&self) -> Duration {
        let now = Instant::now();
        let is_after_gap =
            self.wait_start >= self.last_wait_end + MIN_GAP && now < self.wait_start + MIN_GAP;
        let since = scheduling_delay::unread_since()
            .into_iter()
            .chain(is_after_gap.then_some(self.last_wait_end));
        since
            .min()
            .map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }
}
