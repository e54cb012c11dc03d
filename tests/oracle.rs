//! The router's actions in seeded simulations of several deployments are recorded as one hash each.
//! A change that must not affect decisions keeps all hashes. One that changes decisions on purpose
//! records new hashes, in a commit that gives the reason. `ORACLE_LINES=1` prints every action, for
//! a comparison line by line.

#[path = "oracle/simulation.rs"]
mod simulation;

use simulation::{Setup, Trace, play};

/// The name of each deployment, with the recorded hash of its simulation.
const RECORDED: [(&str, u64); 8] = [
    ("plain", 0xc4b7220a9049d068),
    ("large", 0x87c551ca5551e138),
    ("cells", 0x14af28b4cfbc9fba),
    ("local copies", 0x1a1d88b895d5a937),
    ("list on request, nothing cancelled", 0x2303873052fdab8c),
    ("no pass-through", 0x29070728d2400362),
    ("cold starts", 0xab6ec5ab29a3efb7),
    ("large with cold starts", 0x0f3ac02149055722),
];

fn setups() -> Vec<Setup> {
    let base = Setup::default();
    let large = Setup {
        caches_per_zone: 200,
        parents: 30,
        routers: 300,
        ..base.clone()
    };
    vec![
        Setup {
            name: "plain",
            ..base.clone()
        },
        Setup {
            name: "large",
            seed: 2,
            failures_percent: 15,
            ..large.clone()
        },
        Setup {
            name: "cells",
            seed: 3,
            caches_per_zone: 60,
            cells: 4,
            ..base.clone()
        },
        Setup {
            name: "local copies",
            seed: 4,
            local_copies: true,
            joins: true,
            ..base.clone()
        },
        Setup {
            name: "list on request, nothing cancelled",
            seed: 5,
            list_on_request: true,
            may_cancel: false,
            failures_percent: 30,
            ..base.clone()
        },
        Setup {
            name: "no pass-through",
            seed: 6,
            caches_per_zone: 3,
            pass_through: false,
            ..base.clone()
        },
        Setup {
            name: "cold starts",
            seed: 7,
            cold_starts: true,
            request_every_ms: 3,
            ..base
        },
        Setup {
            name: "large with cold starts",
            seed: 8,
            cold_starts: true,
            routers: 20,
            ..large
        },
    ]
}

fn traces() -> Vec<(Setup, Trace)> {
    setups()
        .into_iter()
        .map(|setup| (setup.clone(), play(&setup)))
        .collect()
}

#[test]
fn decisions_match_the_recorded_hashes() {
    let mut differences = Vec::new();
    for ((setup, trace), (name, recorded)) in traces().iter().zip(RECORDED) {
        assert_eq!(setup.name, name);
        if trace.hash != recorded {
            differences.push(format!(
                "(\"{name}\", {:#018x}), of {} actions",
                trace.hash, trace.lines
            ));
        }
    }
    assert!(
        differences.is_empty(),
        "decisions differ from the recording:\n{}",
        differences.join("\n")
    );
}

#[test]
fn recorded_simulations_cover_every_action_and_outcome() {
    let (mut actions, mut outcomes) = (Vec::new(), Vec::new());
    for (_, trace) in traces() {
        actions.extend(
            trace
                .counts
                .into_iter()
                .filter(|(_, count)| *count > 0)
                .map(|(kind, _)| kind),
        );
        outcomes.extend(trace.outcomes.into_keys());
    }
    for action in [
        "attempt", "reject", "fail", "cancel", "wake", "watch", "found", "keep",
    ] {
        assert!(actions.contains(&action), "no {action} in any simulation");
    }
    let expected = [
        "Served",
        "Error",
        "Full",
        "TimedOut",
        "Unreachable",
        "Broken",
        "NeverSent",
        "Missing",
    ];
    for outcome in expected {
        assert!(
            outcomes
                .iter()
                .any(|observed| observed.starts_with(outcome)),
            "{outcome} never observed"
        );
    }
}
