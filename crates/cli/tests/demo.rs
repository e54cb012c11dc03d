//! The demo runs to its end, and each step has the outcome that it announces.

use std::process::Command;
use std::time::{Duration, Instant};

/// The time limit stated in the README.
const TIME_LIMIT: Duration = Duration::from_secs(10);

#[test]
fn the_demo_serves_rejects_drains_and_ends_as_expected() {
    let started = Instant::now();
    let output = Command::new(env!("CARGO_BIN_EXE_demo"))
        .output()
        .expect("the demo was built with this test");
    let elapsed = started.elapsed();
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
