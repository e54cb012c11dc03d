//! 200 routers in simulated time: hints from peers, an object that all clients request, slow
//! caches, and a scenario with many faults at once. `SEED=…` selects another seed; the tests hold
//! for any.

mod stand_ins;

use stand_ins::{Counts, PARENTS, Scenario, Simulation};

fn fraction(part: usize, of: usize) -> f64 {
    part as f64 / of.max(1) as f64
}

fn seed() -> u64 {
    std::env::var("SEED")
        .ok()
        .and_then(|seed| seed.parse().ok())
        .unwrap_or(1)
}

#[test]
fn hints_from_peers_save_fills_at_little_cost() {
    let scenario = Scenario {
        seed: seed(),
        popular_object: true,
        ..Scenario::default()
    };
    let (without_exchange, with_exchange) = (
        Simulation::run(scenario),
        Simulation::run(Scenario {
            exchange: true,
            ..scenario
        }),
    );
    let served = |counts: &Counts| fraction(counts.served_in_time, counts.requests);
    assert!(
        served(&with_exchange) > served(&without_exchange),
        "served in time: {:.3} with hints, {:.3} without",
        served(&with_exchange),
        served(&without_exchange)
    );
    let hits = |counts: &Counts| fraction(counts.hits, counts.requests);
    assert!(
        hits(&with_exchange) > hits(&without_exchange),
        "hits: {:.3} with hints, {:.3} without",
        hits(&with_exchange),
        hits(&without_exchange)
    );
    assert!(
        fraction(with_exchange.bytes, with_exchange.requests) < 64.0,
        "{} bytes per request",
        fraction(with_exchange.bytes, with_exchange.requests)
    );
    assert_eq!(without_exchange.bytes, 0);
}

#[test]
fn a_popular_object_overloads_no_parent() {
    let counts = Simulation::run(Scenario {
        seed: seed(),
        popular_object: true,
        exchange: true,
        ..Scenario::default()
    });
    let max_fills = counts.by_parent.values().copied().max().unwrap_or(0);
    let mean = fraction(counts.fills, PARENTS);
    assert!(
        (max_fills as f64) < 1.6 * mean,
        "a parent had {max_fills} fills, the mean is {mean:.0}: {:?}",
        counts.by_parent
    );
}

#[test]
fn each_router_avoids_a_slow_cache_that_does_not_report_its_load() {
    let (healthy, slow) = (
        Scenario {
            seed: seed(),
            exchange: true,
            ..Scenario::default()
        },
        Scenario {
            slow_cache: true,
            seed: seed(),
            exchange: true,
            ..Scenario::default()
        },
    );
    let (healthy, slow) = (Simulation::run(healthy), Simulation::run(slow));
    let (baseline, after) = (
        fraction(healthy.attempts_at_first, healthy.attempts),
        fraction(slow.attempts_at_first, slow.attempts),
    );
    assert!(
        after < 0.5 * baseline,
        "share of attempts at the slow cache: {after:.2}, and {baseline:.2} while it is healthy"
    );
}

#[test]
fn requests_are_answered_while_routers_are_killed_and_datagrams_lost_late_or_forged() {
    let scenario = Scenario {
        seed: seed(),
        exchange: true,
        kills_routers: true,
        popular_object: true,
        loss: 0.3,
        corrupts_datagrams: true,
        ..Scenario::default()
    };
    let counts = Simulation::run(scenario);
    // The simulation itself asserts that every request of a running router is answered exactly
    // once, by its deadline.
    assert!(counts.strangers > 0, "no forged datagram was received");
    let faultless = Simulation::run(Scenario {
        kills_routers: false,
        loss: 0.0,
        corrupts_datagrams: false,
        ..scenario
    });
    let (served, baseline) = (
        fraction(counts.served_in_time, counts.requests),
        fraction(faultless.served_in_time, faultless.requests),
    );
    assert!(
        served > 0.9 * baseline,
        "served in time by running routers: {served:.3}, and {baseline:.3} without faults"
    );
}
