//! Servers in slow start before a fleet of routers.

use super::load::Load;
use super::recording_server::*;
use crate::support::*;
use serde_json::json;
use std::time::{Duration, Instant};

/// Seconds of work of one request: 10 KB at 100 KB a second.
const WORK: f64 = 0.1;

/// Requests that a warmed-up server works on at once.
const CAPACITY: f64 = 4.0;

/// How many times its current capacity a server may be sent.
const MULTIPLE: f64 = 2.0;

/// Seconds over which what arrives is counted.
const WINDOW: f64 = 1.0;

/// Share of its capacity that a server has when it starts.
const FLOOR: f64 = 0.3;

/// What a fleet sent to servers in slow start.
pub struct SlowStartUse {
    /// The greatest share of what a window allows that arrived in one, at the cache.
    pub cache: f64,
    /// The same at the parent, fills included.
    pub parent: f64,
}

/// The environment of one router of a fleet, before a cache and a parent that start now.
fn fleet_environment(
    index: usize,
    fleet: usize,
    seed: u64,
    born_ms: u64,
    servers: &[&RecordingServer],
) -> TestEnvironment {
    let mut environment = environment_of(TestEnvironment::new(), servers)
        .with_setting("FamilyInfo", "CrewByZone", json!([fleet]))
        .with_setting("FamilyInfo", "ClientKbPerS", 100)
        .with_setting("FamilyInfo", "ParentFloor", FLOOR);
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

/// The interval between two requests to a router: a fifth of them get half of the traffic.
fn interval(index: usize) -> Duration {
    if index.is_multiple_of(5) {
        25 * MS
    } else {
        100 * MS
    }
}

/// The greatest share of what a window allows a server in slow start that arrived in one.
fn greatest_use(arrivals: &[Instant], started: Instant, ramp: f64) -> f64 {
    let mut greatest = 0.0_f64;
    for first in arrivals {
        let end = *first + Duration::from_secs_f64(WINDOW);
        let in_window = |at: &&Instant| *at >= first && **at < end;
        let arrived = arrivals.iter().filter(in_window).count();
        // The capacity at the beginning of the window, the least of it.
        let age = first.duration_since(started).as_secs_f64();
        let capacity = CAPACITY * (FLOOR + (1.0 - FLOOR) * (age / ramp).min(1.0));
        let allowed = MULTIPLE * capacity * WINDOW / WORK;
        greatest = greatest.max(arrived as f64 / (allowed + 2.0 * allowed.sqrt() + 2.0));
    }
    greatest
}

/// A cache and a parent in slow start before a fleet of routers that may not gossip, with uneven
/// traffic, a quarter of them killed and started anew in the middle.
pub fn measure_slow_start(processes: usize, seed: u64) -> SlowStartUse {
    let servers = [
        ("c1", "cache"),
        ("c2", "cache"),
        ("p1", "parent"),
        ("o1", "origin"),
    ];
    let servers =
        servers.map(|(name, kind)| RecordingServer::of(FakeServer::new(name, kind), true));
    let (born_ms, started) = (unix_ms(), Instant::now());
    let mut chance = fastrand::Rng::with_seed(seed);
    let mut environments: Vec<TestEnvironment> = (0..processes)
        .map(|n| fleet_environment(n, processes, chance.u64(..), born_ms, &servers.each_ref()))
        .collect();
    let mut routers: Vec<RouterProcess> = environments
        .iter_mut()
        .map(|environment| environment.spawn(""))
        .collect();
    wait_until("all ready", || routers.iter().all(RouterProcess::is_ready));
    let load = |router: &RouterProcess, n: usize, seed: u64| {
        Load::at(router.address(), interval(n), seed + n as u64)
    };
    let loads = routers.iter().enumerate();
    let mut loads: Vec<Load> = loads.map(|(n, router)| load(router, n, seed)).collect();
    wait_for(2000 * MS);
    let killed: Vec<usize> = (0..processes).filter(|n| n % 4 == 1).collect();
    for &n in &killed {
        routers[n].child.kill().unwrap();
        routers[n].child.wait().unwrap();
        routers[n] = environments[n].spawn("");
    }
    wait_until("ready again", || {
        killed.iter().all(|n| routers[*n].is_ready())
    });
    for n in killed {
        let again = load(&routers[n], n, seed + 1000);
        drop(std::mem::replace(&mut loads[n], again).end());
    }
    wait_for(2500 * MS);
    let sent: usize = loads.into_iter().map(|load| load.end().0).sum();
    assert!(sent > processes * 30, "{sent}");
    let [c1, c2, p1, _] = &servers;
    let at_cache: Vec<Instant> = c1.come().iter().map(|request| request.at).collect();
    let mut at_parent: Vec<Instant> = p1.come().iter().map(|request| request.at).collect();
    for cache in [c1, c2] {
        let requests = cache.come();
        let fills = requests.iter().filter(|request| request.source == "p1");
        at_parent.extend(fills.map(|request| request.at));
    }
    at_parent.sort();
    SlowStartUse {
        cache: greatest_use(&at_cache, started, 17.0),
        parent: greatest_use(&at_parent, started, 20.0),
    }
}
