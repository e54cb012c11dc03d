//! Waiting for a condition, and the time limits of the tests.

use std::thread::sleep;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How long a test waits for anything before it fails; nothing takes nearly as long.
pub const WAIT_LIMIT: Duration = Duration::from_secs(10);

/// What sockets and the scheduler may add to each time limit of the protocol.
pub const SLACK: Duration = Duration::from_millis(50);

/// Pause between two checks of a condition.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// One millisecond, to write spans as `300 * MS`.
pub const MS: Duration = Duration::from_millis(1);

/// Milliseconds since the Unix epoch, as the fake servers and the fake discovery stamp.
#[allow(clippy::disallowed_methods)]
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

/// Checks a condition again and again until it holds.
///
/// # Panics
///
/// If it does not hold within [`WAIT_LIMIT`]; `what` names the condition.
pub fn until(what: &str, mut come: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT_LIMIT;
    while !come() {
        assert!(Instant::now() < end, "{what}: did not come");
        sleep(CHECK_INTERVAL);
    }
}

/// Lets a span of time pass, where that span itself is under test.
pub fn pass(time: Duration) {
    let since = Instant::now();
    until("the end of a span", || since.elapsed() > time);
}
