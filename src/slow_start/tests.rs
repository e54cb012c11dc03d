use super::*;
use crate::interface::{Class, Member};

const SECOND: Duration = Duration::from_secs(1);
const STARTED: Duration = Duration::from_secs(1000);

fn slow_start(routers: usize) -> SlowStart {
    let limits = ColdStart {
        from: 0.5,
        warm_within: SECOND * 10,
        multiple: 2.0,
        span: SECOND,
    };
    let deployment = Deployment {
        routers,
        cold_cache: limits,
        cold_parent: limits,
        classes: vec![Class::default()],
        ..Deployment::default()
    };
    let mut slow_start = SlowStart::new(SECOND, &deployment, routers as f64);
    slow_start.record_request(0, SECOND / 10);
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
fn a_warming_server_takes_the_routers_share_of_its_budget_in_a_span() {
    let slow_start = slow_start(1);
    let mut cache = endpoint(Tier::Cache, 0, Some(STARTED));
    let budget = BUDGET_MARGIN * 2.0 * 5.0;
    assert!(slow_start.admits(STARTED, &cache, budget));
    assert!(!slow_start.admits(STARTED, &cache, budget * 1.01));
    cache.sent_work.note(STARTED, SECOND, budget);
    assert!(!slow_start.admits(STARTED, &cache, 1.0));
    assert!(slow_start.admits(STARTED + SECOND * 2, &cache, 1.0));
}

#[test]
fn the_budget_grows_with_the_servers_age_until_there_is_none() {
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
fn nothing_is_sent_where_earlier_work_is_not_known() {
    let slow_start = slow_start(1);
    let remote = endpoint(Tier::Cache, 1, Some(STARTED));
    assert!(!slow_start.admits(STARTED, &remote, 0.1));
    // This router started at one second: its first span is over at two.
    let cache = endpoint(Tier::Cache, 0, Some(SECOND));
    assert!(!slow_start.admits(SECOND * 2 - Duration::from_nanos(1), &cache, 0.1));
    assert!(slow_start.admits(SECOND * 2, &cache, 0.1));
}

#[test]
fn of_many_routers_a_few_are_drawn_and_others_at_another_time() {
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
    // A budget of 4.5 is 45 transfers of 0.1.
    assert!((20..80).contains(&first.len()), "{}", first.len());
    assert!(first.iter().any(|n| !later.contains(n)));
}
