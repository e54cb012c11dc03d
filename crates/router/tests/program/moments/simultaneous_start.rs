//! Many routers started at once while discovery is down.

use crate::support::*;
use serde_json::json;
use std::net::{SocketAddr, TcpListener};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// How long the routers of a fleet took until they were ready.
pub struct ReadyTimes {
    pub half: Duration,
    pub nine_in_ten: Duration,
    pub last: Duration,
}

/// Routers started at once, their discovery services `down` for so long at first and then slow to
/// speak, while idle clients reconnect to each.
pub fn measure_simultaneous_start(processes: usize, down: Duration, clients: usize) -> ReadyTimes {
    let mut environments: Vec<TestEnvironment> =
        (0..processes).map(|_| TestEnvironment::new()).collect();
    let discoveries: Vec<SocketAddr> = (0..processes).map(|_| unused_address()).collect();
    for (environment, discovery) in environments.iter_mut().zip(&discoveries) {
        environment.file["board"] = json!(discovery.to_string());
    }
    let begun = Instant::now();
    let routers: Vec<RouterProcess> = environments
        .iter_mut()
        .map(|environment| environment.spawn("ulimit -n 128;"))
        .collect();
    let idle_clients: Vec<IdleClients> = routers
        .iter()
        .map(|router| IdleClients::connect(clients, router.address(), true))
        .collect();
    let ready = wait_until_all_are_ready(&routers, begun);
    while begun.elapsed() < down {
        sleep(MS);
    }
    wait_until_all_follow(&discoveries);
    drop(idle_clients);
    ReadyTimes {
        half: ready[processes / 2],
        nine_in_ten: ready[processes * 9 / 10],
        last: ready[processes - 1],
    }
}

/// How long each took since `begun`, in ascending order.
fn wait_until_all_are_ready(routers: &[RouterProcess], begun: Instant) -> Vec<Duration> {
    let mut ready = vec![None; routers.len()];
    wait_until("all ready", || {
        let waiting = routers.iter().zip(&mut ready);
        for (router, ready) in waiting.filter(|(_, ready)| ready.is_none()) {
            let client = router.try_connect();
            let state = client.and_then(|mut client| client.try_health());
            if state.is_some_and(|state| state == "GREEN") {
                *ready = Some(begun.elapsed());
            }
        }
        ready.iter().all(Option::is_some)
    });
    let mut ready: Vec<Duration> = ready.into_iter().flatten().collect();
    ready.sort();
    ready
}

/// Each router follows its discovery service within a second of its return.
fn wait_until_all_follow(discoveries: &[SocketAddr]) {
    let back = Instant::now();
    let discoveries: Vec<TcpListener> = discoveries
        .iter()
        .map(|at| TcpListener::bind(at).unwrap())
        .collect();
    for discovery in &discoveries {
        discovery.set_nonblocking(true).unwrap();
    }
    let mut followed = vec![false; discoveries.len()];
    wait_until("all discovery services followed", || {
        let waiting = discoveries.iter().zip(&mut followed);
        for (discovery, followed) in waiting.filter(|(_, followed)| !**followed) {
            *followed = discovery.accept().is_ok();
        }
        followed.iter().all(|followed| *followed)
    });
    assert!(
        back.elapsed() < 1000 * MS,
        "followed {:?} after their return",
        back.elapsed()
    );
}
