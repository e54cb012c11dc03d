//! Graceful restarts under load.

use super::load::Load;
use super::recording_server::*;
use crate::support::*;
use std::time::Instant;

/// Gracefully restarts a router this many times under load: new connections arrive for 0.3 s after
/// the stop signal, and requests on open ones for 0.2 s more. Returns the number of requests sent
/// and the number without a final answer.
pub fn measure_restarts(times: usize, seed: u64) -> (usize, usize) {
    let start_server = |name, kind| RecordingServer::start(FakeServer::new(name, kind), true);
    let (c1, p1, o1) = (
        start_server("c1", "cache"),
        start_server("p1", "parent"),
        start_server("o1", "origin"),
    );
    let mut environment = environment_with_servers(TestEnvironment::new(), &[&c1, &p1, &o1]);
    let (mut sent, mut lost) = (0, 0);
    for n in 0..times {
        let mut router = environment.start();
        let start_load = |k: u64| Load::start(router.address(), 4 * MS, seed + 100 * n as u64 + k);
        let mut loads: Vec<Load> = (0..3).map(start_load).collect();
        let mut idle = router.connect();
        assert_eq!(idle.health(), "GREEN");
        let loaded_since = Instant::now();
        wait_until("some load before the stop signal", || {
            loaded_since.elapsed() > 200 * MS
        });
        router.terminate();
        let signalled_at = Instant::now();
        wait_until("new connections during the drain", || {
            signalled_at.elapsed() > 150 * MS
        });
        loads.push(start_load(9));
        wait_until("the last requests on open connections", || {
            signalled_at.elapsed() > 500 * MS
        });
        for load in loads {
            let (load_sent, words) = load.end();
            sent += load_sent;
            lost += load_sent
                - words
                    .iter()
                    .filter(|(word, _)| *word != "lost")
                    .map(|(_, n)| n)
                    .sum::<usize>();
        }
        assert!(idle.is_closed_in_order(), "an idle connection was reset");
        let RouterExit { status, log } = router.wait_for_exit();
        assert!(
            status.success() && signalled_at.elapsed() < 3700 * MS,
            "{log}"
        );
    }
    (sent, lost)
}
