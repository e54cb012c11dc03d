//! What the decisions do on seeded days of several deployments is recorded as one hash each. A
//! change that is to leave every decision as it was keeps all of them; one that is meant to decide
//! otherwise records anew, in a commit that says why. `ORACLE_LINES=1` prints every action, to be
//! compared line by line.

#[path = "oracle/world.rs"]
mod world;

use world::{Setup, Trace, play};

/// Each deployment by its name, with what was recorded of its day.
const RECORDED: [(&str, u64); 8] = [
    ("plain", 0xfff89f0369472945),
    ("large", 0x87c551ca5551e138),
    ("cells", 0x14af28b4cfbc9fba),
    ("local copies", 0xe4f9ff97ae2306cf),
    ("list on request, nothing cancelled", 0x3cdd64f0bbde19d9),
    ("no pass-through", 0x29070728d2400362),
    ("cold starts", 0x39170683a24c6690),
    ("large with cold starts", 0x0f3ac02149055722),
];

fn setups() -> Vec<Setup> {
    let usual = Setup::default();
    let large = Setup {
        caches_per_zone: 200,
        parents: 30,
        routers: 300,
        ..usual.clone()
    };
    vec![
        Setup {
            name: "plain",
            ..usual.clone()
        },
        Setup {
            name: "large",
            seed: 2,
            trouble: 15,
            ..large.clone()
        },
        Setup {
            name: "cells",
            seed: 3,
            caches_per_zone: 60,
            cells: 4,
            ..usual.clone()
        },
        Setup {
            name: "local copies",
            seed: 4,
            local_copies: true,
            joins: true,
            ..usual.clone()
        },
        Setup {
            name: "list on request, nothing cancelled",
            seed: 5,
            list_on_request: true,
            may_cancel: false,
            trouble: 30,
            ..usual.clone()
        },
        Setup {
            name: "no pass-through",
            seed: 6,
            caches_per_zone: 3,
            pass_through: false,
            ..usual.clone()
        },
        Setup {
            name: "cold starts",
            seed: 7,
            cold_starts: true,
            request_every_ms: 3,
            ..usual
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
fn decisions_on_recorded_days_stay_as_recorded() {
    let mut differing = Vec::new();
    for ((setup, trace), (name, recorded)) in traces().iter().zip(RECORDED) {
        assert_eq!(setup.name, name);
        if trace.hash != recorded {
            differing.push(format!(
                "(\"{name}\", {:#018x}), of {} actions",
                trace.hash, trace.lines
            ));
        }
    }
    assert!(
        differing.is_empty(),
        "decided otherwise than recorded:\n{}",
        differing.join("\n")
    );
}

#[test]
fn recorded_days_cover_every_action_and_outcome() {
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
        assert!(actions.contains(&action), "no {action} on any recorded day");
    }
    let wanted = [
        "Served",
        "Error",
        "Full",
        "TimedOut",
        "Unreachable",
        "Broken",
        "NeverSent",
        "Missing",
    ];
    for outcome in wanted {
        assert!(
            outcomes.iter().any(|given| given.starts_with(outcome)),
            "{outcome} never given"
        );
    }
}
