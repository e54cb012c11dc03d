//! Many routers started at once while discovery is down.

use crate::support::*;
use serde_json::json;
use std::net::{SocketAddr, TcpListener};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How long after the start the routers of a fleet were ready, by quantile.
pub struct ReadyTimes {
    pub p50: Duration,
    pub p90: Duration,
    pub last: Duration,
}

/// Measures when routers that are started at once are ready. Their discovery services are down for
/// the duration `down` and then send nothing, and idle clients reconnect to each router.
pub fn measure_simultaneous_start(processes: usize, down: Duration, clients: usize) -> ReadyTimes {
    let mut environments: Vec<TestEnvironment> =
        (0..processes).map(|_| TestEnvironment::new()).collect();
    let discoveries: Vec<SocketAddr> = (0..processes).map(|_| unused_address()).collect();
    for (environment, discovery) in environments.iter_mut().zip(&discoveries) {
        environment.file["board"] = json!(discovery.to_string());
    }
    let started_at = Instant::now();
    let routers: Vec<RouterProcess> = environments
        .iter_mut()
        .map(|environment| environment.spawn("ulimit -n 128;"))
        .collect();
    let idle_clients: Vec<IdleClients> = routers
        .iter()
        .map(|router| IdleClients::connect(clients, router.address(), true))
        .collect();
    let ready = wait_until_all_are_ready(&routers, started_at);
    while started_at.elapsed() < down {
        sleep(MS);
    }
    wait_until_all_follow(&discoveries);
    drop(idle_clients);
    ReadyTimes {
        p50: ready[processes / 2],
        p90: ready[processes * 9 / 10],
        last: ready[processes - 1],
    }
}

/// Returns how long after `started_at` each router was ready, in ascending order.
fn wait_until_all_are_ready(routers: &[RouterProcess], started_at: Instant) -> Vec<Duration> {
    let mut ready = vec![None; routers.len()];
    wait_until("all routers to be ready", || {
        let waiting = routers.iter().zip(&mut ready);
        for (router, ready) in waiting.filter(|(_, ready)| ready.is_none()) {
            let client = router.try_connect();
            let state = client.and_then(|mut client| client.try_health());
            if state.is_some_and(|state| state == "GREEN") {
                *ready = Some(started_at.elapsed());
            }
        }
        ready.iter().all(Option::is_some)
    });
    let mut ready: Vec<Duration> = ready.into_iter().flatten().collect();
    ready.sort();
    ready
}

/// Checks that each router connects to its discovery service within a second of its return.
fn wait_until_all_follow(discoveries: &[SocketAddr]) {
    let returned_at = Instant::now();
    let discoveries: Vec<TcpListener> = discoveries
        .iter()
        .map(|at| TcpListener::bind(at).unwrap())
        .collect();
    for discovery in &discoveries {
        discovery.set_nonblocking(true).unwrap();
    }
    let mut is_followed = vec![false; discoveries.len()];
    wait_until("a connection to each discovery service", || {
        let waiting = discoveries.iter().zip(&mut is_followed);
        for (discovery, is_followed) in waiting.filter(|(_, is_followed)| !**is_followed) {
            *is_followed = discovery.accept().is_ok();
        }
        is_followed.iter().all(|is_followed| *is_followed)
    });
    assert!(
        returned_at.elapsed() < 1000 * MS,
        "the last discovery service was followed {:?} after its return",
        returned_at.elapsed()
    );
}
