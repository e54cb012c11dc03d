//! Graceful restarts under load.

use super::load::Load;
use super::recording_server::*;
use crate::support::*;
use std::time::Instant;

/// Stopped in order and started anew, so often, under load: new connections come for 0.3 s after
/// the signal, requests on open ones for 0.2 s more. How many were asked, and how many got no final
/// answer.
pub fn measure_restarts(times: usize, seed: u64) -> (usize, usize) {
    let station = |name, kind| RecordingServer::of(FakeServer::new(name, kind), true);
    let (c1, p1, o1) = (
        station("c1", "cache"),
        station("p1", "parent"),
        station("o1", "origin"),
    );
    let mut environment = environment_of(TestEnvironment::new(), &[&c1, &p1, &o1]);
    let (mut asked, mut lost) = (0, 0);
    for n in 0..times {
        let mut router = environment.start();
        let of = |k: u64| Load::at(router.address(), 4 * MS, seed + 100 * n as u64 + k);
        let mut loads: Vec<Load> = (0..3).map(of).collect();
        let mut resting = router.connect();
        assert_eq!(resting.health(), "GREEN");
        let since = Instant::now();
        wait_until("some load", || since.elapsed() > 200 * MS);
        router.terminate();
        let told = Instant::now();
        wait_until("new ones come", || told.elapsed() > 150 * MS);
        loads.push(of(9));
        wait_until("the last on open ones", || told.elapsed() > 500 * MS);
        for load in loads {
            let (of_it, words) = load.end();
            asked += of_it;
            lost += of_it
                - words
                    .iter()
                    .filter(|(word, _)| *word != "lost")
                    .map(|(_, n)| n)
                    .sum::<usize>();
        }
        assert!(resting.is_closed_in_order(), "one that rested was reset");
        let RouterExit { status, log } = router.wait_for_exit();
        assert!(status.success() && told.elapsed() < 3700 * MS, "{log}");
    }
    (asked, lost)
}
