//! What the operators' bench is to show later, on processes of the program: clients that leave at
//! every stage, cold servers before a fleet, restarts under load and all at once, large requests
//! under strain.
//!
//! `make test` plays it in small; `make proof-moments` in full, with any `SEED`. The figures are of
//! the stand-ins on this machine.

mod cold_servers;
mod leaving_clients;
mod load;
mod recording_server;
mod restarts;
mod simultaneous_start;
mod size_fairness;

use crate::support::MS;
use cold_servers::{SlowStartUse, measure_slow_start};
use leaving_clients::measure_departures;
use restarts::measure_restarts;
use simultaneous_start::{ReadyTimes, measure_simultaneous_start};
use size_fairness::{AnsweredShares, Shortage, measure_sizes};

/// Small, or as the operators ask for it.
fn whole() -> bool {
    std::env::var("MOMENTS").is_ok_and(|size| size == "whole")
}

fn seed() -> u64 {
    std::env::var("SEED")
        .ok()
        .and_then(|seed| seed.parse().ok())
        .unwrap_or(1)
}

#[test]
fn operational_scenarios_keep_their_bounds() {
    let (whole, seed) = (whole(), seed());
    let (left, late) = measure_departures(if whole { 36 } else { 5 });
    let fleets: Vec<usize> = if whole { vec![20, 30] } else { vec![12] };
    let (mut at_cache, mut at_parent) = (0.0_f64, 0.0_f64);
    for processes in &fleets {
        let SlowStartUse { cache, parent } = measure_slow_start(*processes, seed);
        assert!(
            cache <= 1.0 && parent <= 1.0,
            "of what cold servers bear: {cache:.2}, {parent:.2}"
        );
        assert!(
            cache > 0.1,
            "hardly anything was sent to a cold cache: {cache:.2}"
        );
        (at_cache, at_parent) = (at_cache.max(cache), at_parent.max(parent));
    }
    let (at_once, down) = if whole {
        (30, 8000 * MS)
    } else {
        (8, 1000 * MS)
    };
    let clients = if whole { 100 } else { 30 };
    let ReadyTimes {
        half,
        nine_in_ten: nine,
        last,
    } = measure_simultaneous_start(at_once, down, clients);
    assert!(
        nine < 10_000 * MS && last < 30_000 * MS,
        "{nine:?} {last:?}"
    );
    let (asked, lost) = measure_restarts(if whole { 10 } else { 2 }, seed);
    assert_eq!(lost, 0, "of {asked}");
    let requests = if whole { 4000 } else { 1000 };
    let AnsweredShares {
        largest: quiet_large,
        all: quiet,
    } = measure_sizes(requests, Shortage::Nothing, seed);
    assert!(quiet > 0.95, "a quiet day answers nearly all: {quiet:.2}");
    assert!(
        quiet_large >= quiet * 2.0 / 3.0,
        "quiet: {quiet_large:.2} of the largest, {quiet:.2} of all"
    );
    let strained =
        [Shortage::Memory, Shortage::Pace].map(|short| measure_sizes(requests, short, seed));
    for AnsweredShares { largest, all } in &strained {
        assert!(
            (0.1..0.95).contains(all),
            "no strain that it can work under: {strained:.2?}"
        );
        assert!(*largest >= all / 2.0, "largest and all: {strained:.2?}");
    }
    let [memory, pace] = strained;
    println!(
        "proof-moments: ok seed={seed} leavings={left} late={late} cold_processes={fleets:?} \
        cold_cache={at_cache:.3} cold_parent={at_parent:.3} ready_processes={at_once} \
        ready_p50_ms={} ready_p90_ms={} ready_last_ms={} restarts_asked={asked} \
        restarts_lost={lost} quiet_largest={quiet_large:.3} quiet_all={quiet:.3} \
        memory_largest={:.3} memory_all={:.3} pace_largest={:.3} pace_all={:.3}",
        half.as_millis(),
        nine.as_millis(),
        last.as_millis(),
        memory.largest,
        memory.all,
        pace.largest,
        pace.all,
    );
}
