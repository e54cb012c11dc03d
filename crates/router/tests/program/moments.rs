//! Operational scenarios on router processes: clients that disconnect at every stage of a request,
//! servers in slow start behind a fleet, restarts under load, simultaneous starts, and large
//! requests under overload.
//!
//! `make test` runs them at a reduced size, `make proof-moments` at full size with any `SEED`. The
//! figures that it prints are of the fake servers on the local machine.

mod cold_servers;
mod leaving_clients;
mod load;
mod recording_server;
mod restarts;
mod simultaneous_start;
mod size_fairness;

use crate::support::MS;
use cold_servers::{SlowStartUtilization, measure_slow_start};
use leaving_clients::measure_departures;
use restarts::measure_restarts;
use simultaneous_start::{ReadyTimes, measure_simultaneous_start};
use size_fairness::{AnsweredShares, Constraint, measure_sizes};

/// Whether to run at full size (`MOMENTS=whole`).
fn is_full_run() -> bool {
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
    let (is_full_run, seed) = (is_full_run(), seed());
    let (left, late) = measure_departures(if is_full_run { 36 } else { 5 });
    let fleets: Vec<usize> = if is_full_run { vec![20, 30] } else { vec![12] };
    let (mut at_cache, mut at_parent) = (0.0_f64, 0.0_f64);
    for processes in &fleets {
        let SlowStartUtilization { cache, parent } = measure_slow_start(*processes, seed);
        assert!(
            cache <= 1.0 && parent <= 1.0,
            "servers in slow start got more than allowed: cache {cache:.2}, parent {parent:.2}"
        );
        assert!(
            cache > 0.1,
            "too little load on the cache in slow start: {cache:.2}"
        );
        (at_cache, at_parent) = (at_cache.max(cache), at_parent.max(parent));
    }
    let (processes_at_once, down) = if is_full_run {
        (30, 8000 * MS)
    } else {
        (8, 1000 * MS)
    };
    let clients = if is_full_run { 100 } else { 30 };
    let ReadyTimes {
        p50,
        p90: ready_p90,
        last,
    } = measure_simultaneous_start(processes_at_once, down, clients);
    assert!(
        ready_p90 < 10_000 * MS && last < 30_000 * MS,
        "routers were ready too late: 90% after {ready_p90:?}, the last after {last:?}"
    );
    let (sent, lost) = measure_restarts(if is_full_run { 10 } else { 2 }, seed);
    assert_eq!(lost, 0, "requests lost of {sent}");
    let requests = if is_full_run { 4000 } else { 1000 };
    let AnsweredShares {
        largest: unconstrained_largest,
        all: unconstrained,
    } = measure_sizes(requests, Constraint::Unconstrained, seed);
    assert!(
        unconstrained > 0.95,
        "too few requests were answered without constraints: {unconstrained:.2}"
    );
    assert!(
        unconstrained_largest >= unconstrained * 2.0 / 3.0,
        "without constraints: {unconstrained_largest:.2} of the largest, {unconstrained:.2} of all"
    );
    let overloaded = [Constraint::Memory, Constraint::Bandwidth]
        .map(|constraint| measure_sizes(requests, constraint, seed));
    for AnsweredShares { largest, all } in &overloaded {
        assert!(
            (0.1..0.95).contains(all),
            "the overload is too weak or too strong: {overloaded:.2?}"
        );
        assert!(
            *largest >= all / 2.0,
            "too few of the largest requests were answered: {overloaded:.2?}"
        );
    }
    let [memory, bandwidth] = overloaded;
    println!(
        "proof-moments: ok seed={seed} leavings={left} late={late} cold_processes={fleets:?} \
        cold_cache={at_cache:.3} cold_parent={at_parent:.3} ready_processes={processes_at_once} \
        ready_p50_ms={} ready_p90_ms={} ready_last_ms={} restarts_asked={sent} \
        restarts_lost={lost} quiet_largest={unconstrained_largest:.3} quiet_all={unconstrained:.3} \
        memory_largest={:.3} memory_all={:.3} pace_largest={:.3} pace_all={:.3}",
        p50.as_millis(),
        ready_p90.as_millis(),
        last.as_millis(),
        memory.largest,
        memory.all,
        bandwidth.largest,
        bandwidth.all,
    );
}
