//! Bounds how long what is read from a client's connection may have lain unread.

use crate::scheduling_delay;
use std::time::Duration;
use tokio::time::Instant;

/// A shorter time in which the connection was not watched is not counted; what is read this long
/// after the end of a longer one has come since.
const MIN_UNWATCHED: Duration = Duration::from_millis(60);

/// When a connection was watched for something to read.
///
/// What comes while it is watched is read at once, unless the event loop is held up. A client that
/// is idle for long loses nothing by it: its connection is watched all the time.
pub struct ReadWatch {
    watched_until: Instant,
    watched_from: Instant,
}

impl ReadWatch {
    /// The watch of a connection that has just been accepted; what came on it may have waited for
    /// that.
    pub fn new() -> ReadWatch {
        let now = Instant::now();
        ReadWatch {
            watched_until: scheduling_delay::unread_since().unwrap_or(now),
            watched_from: now,
        }
    }

    /// Begins a wait for something to read.
    pub fn begin(&mut self) {
        self.watched_from = Instant::now();
    }

    /// Ends a wait. `unread_for` speaks of the wait before this call.
    pub fn end(&mut self) {
        self.watched_until = Instant::now();
    }

    /// For how long at most what is read now, within the present wait, has lain unread.
    pub fn unread_for(&self) -> Duration {
        let now = Instant::now();
        let unwatched = self.watched_from >= self.watched_until + MIN_UNWATCHED
            && now < self.watched_from + MIN_UNWATCHED;
        let since = scheduling_delay::unread_since()
            .into_iter()
            .chain(unwatched.then_some(self.watched_until));
        since
            .min()
            .map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }
}
