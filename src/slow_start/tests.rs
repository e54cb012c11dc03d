use super::*;
use crate::interface::{Class, Member};

const SECOND: Duration = Duration::from_secs(1);
const STARTED: Duration = Duration::from_secs(1000);

fn slow_start(routers: usize) -> SlowStart {
    let limits = SlowStartSettings {
        initial_capacity: 0.5,
        warm_up_time: SECOND * 10,
        overload_multiple: 2.0,
        window: SECOND,
    };
    let deployment = Deployment {
        routers,
        cold_cache: limits,
        cold_parent: limits,
        classes: vec![Class::default()],
        ..Deployment::default()
    };
    let mut slow_start = SlowStart::new(SECOND, &deployment, routers as f64);
    slow_start.record_answered(0, 1, SECOND / 10);
    slow_start
}

fn endpoint(tier: Tier, zone: usize, started: Option<Duration>) -> Endpoint {
    let mut endpoint = Endpoint::default();
    endpoint.member = Member {
        server: "server".into(),
        tier,
        zone,
        started,
        capacity: 10.0,
        ..Member::default()
    };
    endpoint
}

#[test]
fn a_warming_server_admits_the_routers_share_of_its_budget_per_window() {
    let slow_start = slow_start(1);
    let mut cache = endpoint(Tier::Cache, 0, Some(STARTED));
    let budget = BUDGET_MARGIN * 2.0 * 5.0;
    assert!(slow_start.admits(STARTED, &cache, budget));
    assert!(!slow_start.admits(STARTED, &cache, budget * 1.01));
    cache.sent_work.record(STARTED, SECOND, budget);
    assert!(!slow_start.admits(STARTED, &cache, 1.0));
    assert!(slow_start.admits(STARTED + SECOND * 2, &cache, 1.0));
}

#[test]
fn the_budget_grows_with_age_until_the_server_is_warm() {
    let slow_start = slow_start(1);
    let cache = endpoint(Tier::Cache, 0, Some(STARTED));
    let budget_when_warm = BUDGET_MARGIN * 2.0 * 10.0;
    assert!(!slow_start.admits(STARTED + SECOND * 5, &cache, budget_when_warm));
    assert!(slow_start.admits(STARTED + SECOND * 10, &cache, budget_when_warm));
    let unlimited = 1e9;
    assert!(!slow_start.admits(STARTED + SECOND * 10, &cache, unlimited));
    assert!(slow_start.admits(STARTED + SECOND * 11, &cache, unlimited));
}

#[test]
fn origins_and_servers_that_started_long_ago_are_not_limited() {
    let slow_start = slow_start(1);
    assert!(slow_start.admits(STARTED, &endpoint(Tier::Origin, 0, Some(STARTED)), 1e9));
    assert!(slow_start.admits(STARTED, &endpoint(Tier::Cache, 0, None), 1e9));
}

#[test]
fn nothing_is_admitted_while_earlier_work_is_unknown() {
    let slow_start = slow_start(1);
    let remote = endpoint(Tier::Cache, 1, Some(STARTED));
    assert!(!slow_start.admits(STARTED, &remote, 0.1));
    // This router started at 1 s, so its first window ends at 2 s.
    let cache = endpoint(Tier::Cache, 0, Some(SECOND));
    assert!(!slow_start.admits(SECOND * 2 - Duration::from_nanos(1), &cache, 0.1));
    assert!(slow_start.admits(SECOND * 2, &cache, 0.1));
}

#[test]
fn a_few_of_many_routers_are_drawn_and_the_selection_changes() {
    let drawn_at = |now| {
        let drawn = |number| {
            let mut slow_start = slow_start(1000);
            slow_start.router_number = number;
            let cache = endpoint(Tier::Cache, 0, Some(STARTED));
            slow_start.admits(now, &cache, 0.1)
        };
        (0..1000).filter(|n| drawn(*n)).collect::<Vec<u64>>()
    };
    let (first, later) = (drawn_at(STARTED), drawn_at(STARTED + SECOND * 9));
    // The budget of 4.5 covers 45 transfers of 0.1.
    assert!((20..80).contains(&first.len()), "{}", first.len());
    assert!(first.iter().any(|n| !later.contains(n)));
}
