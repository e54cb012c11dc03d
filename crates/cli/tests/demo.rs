//! The demo plays to its end, and every step of it ends as a newcomer is told.

use std::process::Command;
use std::time::{Duration, Instant};

/// What the README promises.
const TIME_LIMIT: Duration = Duration::from_secs(10);

#[test]
fn the_demo_serves_rejects_drains_and_ends_as_expected() {
    let begun = Instant::now();
    let output = Command::new(env!("CARGO_BIN_EXE_demo"))
        .output()
        .expect("the demo was built with this test");
    let elapsed = begun.elapsed();
    let shown = String::from_utf8_lossy(&output.stdout);
    let errors = String::from_utf8_lossy(&output.stderr);

    assert!(output.status.success(), "{shown}{errors}");
    assert!(elapsed < TIME_LIMIT, "took {elapsed:?}");
    for expected in [
        "(filled) <- p1 (filled) <- o1 (hit)",
        "served: o1 (hit)",
        "rejected, no server was asked",
        "RED, then exit status: 0",
        "demo: ok, 8 of 8 steps as expected",
    ] {
        assert!(shown.contains(expected), "no {expected:?} in:\n{shown}");
    }
}
