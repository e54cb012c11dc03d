//! Waiting for a condition, and the time limits of the tests.

use std::thread::sleep;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How long a test waits for a condition before it fails; a correct run needs far less.
pub const WAIT_LIMIT: Duration = Duration::from_secs(10);

/// Tolerance for delays by sockets and the scheduler on each time limit of the protocol.
pub const SLACK: Duration = Duration::from_millis(50);

/// Interval between two checks of a condition.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// One millisecond, so that durations can be written as `300 * MS`.
pub const MS: Duration = Duration::from_millis(1);

/// Milliseconds since the Unix epoch, the timestamps of the fake servers and the fake discovery
/// service.
#[allow(clippy::disallowed_methods)]
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

/// Polls a condition until it holds.
///
/// # Panics
///
/// If it does not hold within [`WAIT_LIMIT`]; `what` names the condition.
pub fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_LIMIT;
    while !condition() {
        assert!(Instant::now() < end, "timed out waiting for {what}");
        sleep(CHECK_INTERVAL);
    }
}

/// Waits for a duration that is itself part of the test.
pub fn wait_for(duration: Duration) {
    let since = Instant::now();
    wait_until("the end of the duration", || since.elapsed() > duration);
}
