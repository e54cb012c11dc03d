//! Servers in slow start behind a fleet of routers.

use super::load::Load;
use super::recording_server::*;
use crate::support::*;
use serde_json::json;
use std::time::{Duration, Instant};

/// Seconds of server work per request: 10 KB at 100 KB a second.
const WORK_SECONDS: f64 = 0.1;

/// Concurrent requests that a server can work on after its slow start.
const CAPACITY: f64 = 4.0;

/// The multiple of its current capacity that a server may be sent.
const MAX_CAPACITY_MULTIPLE: f64 = 2.0;

/// Length in seconds of the windows in which arrivals are counted.
const WINDOW_SECONDS: f64 = 1.0;

/// Share of its capacity that a server has at the beginning of its slow start.
const INITIAL_CAPACITY_SHARE: f64 = 0.3;

/// The load of a fleet on servers in slow start.
pub struct SlowStartUtilization {
    /// The highest ratio of arrivals at the cache in a window to what the window allows.
    pub cache: f64,
    /// The same for the parent, fills included.
    pub parent: f64,
}

/// The environment of one router of a fleet, with `c1` and `p1` as servers that started at
/// `born_ms`.
fn fleet_environment(
    index: usize,
    fleet: usize,
    seed: u64,
    born_ms: u64,
    servers: &[&RecordingServer],
) -> TestEnvironment {
    let mut environment = environment_with_servers(TestEnvironment::new(), servers)
        .with_setting("FamilyInfo", "CrewByZone", json!([fleet]))
        .with_setting("FamilyInfo", "ClientKbPerS", 100)
        .with_setting("FamilyInfo", "ParentFloor", INITIAL_CAPACITY_SHARE);
    let hosts = &mut environment.file["known"]["notices"][0]["pool"]["hosts"];
    for host in hosts.as_array_mut().unwrap() {
        if ["c1", "p1"].contains(&host["host"].as_str().unwrap()) {
            host["born_ms"] = json!(born_ms);
        }
    }
    environment.file["seed"] = json!(format!("{seed:016x}"));
    let settings = &mut environment.file["settings"];
    (settings["MyNumber"], settings["PeersTotal"]) = (json!(index), json!(fleet));
    environment
}

/// The interval between two requests to a router: a fifth of the routers get half of the traffic.
fn interval(index: usize) -> Duration {
    if index.is_multiple_of(5) {
        25 * MS
    } else {
        100 * MS
    }
}

/// The highest ratio of arrivals in a window to what the window allows a server in slow start.
fn max_utilization(arrivals: &[Instant], started: Instant, ramp_seconds: f64) -> f64 {
    let mut max_share = 0.0_f64;
    for first in arrivals {
        let end = *first + Duration::from_secs_f64(WINDOW_SECONDS);
        let in_window = |at: &&Instant| *at >= first && **at < end;
        let arrived = arrivals.iter().filter(in_window).count();
        // The capacity at the beginning of the window is the lowest in it.
        let age = first.duration_since(started).as_secs_f64();
        let capacity = CAPACITY
            * (INITIAL_CAPACITY_SHARE
                + (1.0 - INITIAL_CAPACITY_SHARE) * (age / ramp_seconds).min(1.0));
        let allowed = MAX_CAPACITY_MULTIPLE * capacity * WINDOW_SECONDS / WORK_SECONDS;
        max_share = max_share.max(arrived as f64 / (allowed + 2.0 * allowed.sqrt() + 2.0));
    }
    max_share
}

/// Measures the load on a cache and a parent in slow start behind a fleet of routers without gossip
/// and with uneven traffic. A quarter of the routers is killed and restarted halfway.
pub fn measure_slow_start(processes: usize, seed: u64) -> SlowStartUtilization {
    let servers = [
        ("c1", "cache"),
        ("c2", "cache"),
        ("p1", "parent"),
        ("o1", "origin"),
    ];
    let servers =
        servers.map(|(name, kind)| RecordingServer::start(FakeServer::new(name, kind), true));
    let (born_ms, started) = (unix_ms(), Instant::now());
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut environments: Vec<TestEnvironment> = (0..processes)
        .map(|n| fleet_environment(n, processes, rng.u64(..), born_ms, &servers.each_ref()))
        .collect();
    let mut routers: Vec<RouterProcess> = environments
        .iter_mut()
        .map(|environment| environment.spawn(""))
        .collect();
    wait_until("all routers to be ready", || {
        routers.iter().all(RouterProcess::is_ready)
    });
    let start_load = |router: &RouterProcess, n: usize, seed: u64| {
        Load::start(router.address(), interval(n), seed + n as u64)
    };
    let loads = routers.iter().enumerate();
    let mut loads: Vec<Load> = loads
        .map(|(n, router)| start_load(router, n, seed))
        .collect();
    wait_for(2000 * MS);
    let killed: Vec<usize> = (0..processes).filter(|n| n % 4 == 1).collect();
    for &n in &killed {
        routers[n].child.kill().unwrap();
        routers[n].child.wait().unwrap();
        routers[n] = environments[n].spawn("");
    }
    wait_until("the restarted routers to be ready", || {
        killed.iter().all(|n| routers[*n].is_ready())
    });
    for n in killed {
        let new_load = start_load(&routers[n], n, seed + 1000);
        drop(std::mem::replace(&mut loads[n], new_load).end());
    }
    wait_for(2500 * MS);
    let sent: usize = loads.into_iter().map(|load| load.end().0).sum();
    assert!(sent > processes * 30, "too little load: {sent} requests");
    let [c1, c2, p1, _] = &servers;
    let at_cache: Vec<Instant> = c1.received().iter().map(|request| request.at).collect();
    let mut at_parent: Vec<Instant> = p1.received().iter().map(|request| request.at).collect();
    for cache in [c1, c2] {
        let requests = cache.received();
        let fills = requests.iter().filter(|request| request.source == "p1");
        at_parent.extend(fills.map(|request| request.at));
    }
    at_parent.sort();
    SlowStartUtilization {
        cache: max_utilization(&at_cache, started, 17.0),
        parent: max_utilization(&at_parent, started, 20.0),
    }
}
