//! Effects that are harmless in one router and add up over many: the decisions of a fleet against
//! directly computed sums.

use chalkhall::control::{Router, ServerHealth};
use chalkhall::interface::*;
use std::collections::BTreeMap;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Records the attempts of a router with their sources, and its timers.
#[derive(Default)]
struct RecordedActions {
    attempts: Vec<(Id, Id)>,
    timers: BTreeMap<(Duration, u64), ()>,
}

impl ActionSink for RecordedActions {
    fn attempt(&mut self, request: &Id, _server: &Id, _limits: AttemptLimits, fill: &Fill) {
        self.attempts.push((request.clone(), fill.source.clone()));
    }
    fn reject(&mut self, _request: &Id, _retry_after: Option<Duration>) {}
    fn fail(&mut self, _request: &Id) {}
    fn cancel(&mut self, _request: &Id, _attempt: usize) {}
    fn set_timer(&mut self, at: Duration, timer_id: u64) {
        self.timers.insert((at, timer_id), ());
    }
    fn subscribe_list(&mut self) {}
}

const ROUTERS: u64 = 300;
const COLD_FROM: f64 = 0.1;

fn deployment(router_index: u64) -> Deployment {
    let cold = SlowStartSettings {
        initial_capacity: COLD_FROM,
        warm_up_time: ms(20_000),
        overload_multiple: 2.0,
        window: ms(1000),
    };
    Deployment {
        router_index,
        seed: router_index,
        routers: ROUTERS as usize,
        zone: 1,
        routers_per_zone: vec![0, 1],
        classes: vec![Class {
            dedup_window: ms(2000),
            soft_deadline: ms(5000),
            soft_deadline_multiple: 2.0,
            deadline: ms(9000),
            value: 1.0,
            late_value: 0.2,
            cacheable: true,
            ..Class::default()
        }],
        min_call_interval: ms(2),
        client_kb_per_s: 1000.0,
        max_attempts: 6,
        may_cancel: true,
        cold_cache: cold,
        cold_parent: cold,
        drain_grace: ms(250),
        purge_grace: ms(500),
        purge_done: ms(6000),
        pass_through: true,
        ..Deployment::default()
    }
}

fn member(server: &str, tier: Tier, capacity: f64, started: Option<Duration>) -> Member {
    let zone = usize::from(tier == Tier::Cache);
    Member {
        server: server.into(),
        zone,
        tier,
        capacity,
        started,
        ..Member::default()
    }
}

/// 300 routers, each with a request of 0.2 s three times a second, and two parents of which one has
/// just started. A router's share of the cold parent is less than a hundredth of a transfer at
/// first.
#[test]
fn changing_routers_warm_up_a_cold_parent_without_overloading_it() {
    let (capacity, started) = (40.0, ms(10_000));
    let list = [
        member("c", Tier::Cache, 40.0, None),
        member("warm", Tier::Parent, 40.0, None),
        member("cold", Tier::Parent, capacity, Some(started)),
        member("origin", Tier::Origin, 1.0, None),
    ];
    let mut sent: Vec<(Duration, f64)> = Vec::new();
    let mut by_router: BTreeMap<u64, Vec<Duration>> = BTreeMap::new();
    for number in 0..ROUTERS {
        let mut recorded = RecordedActions::default();
        let mut router = Router::start(ms(0), &deployment(number), &mut recorded);
        router.update_list(ms(0), ListKind::Snapshot, &list, &mut recorded);
        let mut rng = fastrand::Rng::with_seed(number ^ 77);
        let mut now = started;
        for n in 0u64.. {
            now += ms(rng.u64(0..667));
            if now > started + ms(20_000) {
                break;
            }
            while let Some((&(at, timer_id), ())) = recorded
                .timers
                .first_key_value()
                .filter(|((at, _), ())| *at <= now)
            {
                recorded.timers.pop_first();
                router.wake(at, timer_id, &mut recorded);
            }
            let id: Id = format!("{number}-{n}").into();
            let arrival = IncomingRequest {
                id: id.clone(),
                object: id,
                kb: 200.0,
                time_left: ms(9000),
                ..IncomingRequest::default()
            };
            router.request(now, arrival, &mut recorded);
            for (id, source) in std::mem::take(&mut recorded.attempts) {
                if *source == *"cold" {
                    sent.push((now, 0.2));
                    by_router.entry(number).or_default().push(now);
                }
                let ended = AttemptResult {
                    outcome: Outcome::Served,
                    remark: Remark::Filled,
                    duration: ms(200),
                    first_byte: Some(ms(10)),
                    is_complete: true,
                    load: Load::default(),
                };
                router.attempt_ended(now, &id, 0, &ended, &mut recorded);
            }
        }
    }
    // One transfer exceeds a router's share several times: no router sends two within a window.
    for (router, times) in &by_router {
        let pair = times.windows(2).find(|pair| pair[1] < pair[0] + ms(1000));
        assert!(
            pair.is_none(),
            "router {router} sent two within a window: {pair:?}"
        );
    }
    // The routers drawn change: those of the first four windows differ from those of four windows
    // after their draws have ended.
    let senders = |from: u64| {
        let (from, to) = (started + ms(from), started + ms(from + 4000));
        let sends_in_period =
            |times: &&Vec<Duration>| times.iter().any(|at| *at >= from && *at < to);
        by_router
            .iter()
            .filter(|(_, times)| sends_in_period(times))
            .map(|(n, _)| *n)
            .collect::<Vec<_>>()
    };
    let (first, later) = (senders(0), senders(12_000));
    let repeated = first.iter().filter(|router| later.contains(router)).count();
    assert!(
        repeated * 4 < first.len() * 3,
        "{repeated} of the first {} routers still send: the draw does not change",
        first.len()
    );
    assert!(
        by_router.len() as u64 * 3 > ROUTERS * 2,
        "only {} routers sent anything",
        by_router.len()
    );
    sent.sort_by_key(|(at, _)| *at);
    let current_capacity = |at: Duration| {
        let warm = ((at - started).as_secs_f64() / 20.0).min(1.0);
        capacity * (COLD_FROM + (1.0 - COLD_FROM) * warm)
    };
    let mut highest: f64 = 0.0;
    for (at, _) in &sent {
        let within = sent
            .iter()
            .filter(|(t, _)| *t >= *at && *t < *at + ms(1000))
            .map(|(_, w)| w)
            .sum::<f64>();
        highest = highest.max(within / current_capacity(*at));
    }
    assert!(
        highest < 2.0,
        "within one second it was sent {highest:.2} times its capacity"
    );
    // Requests for 180 s of sending arrive per second, half of them for the cold parent, which has
    // a capacity of 24 s on average.
    let total_work: f64 = sent.iter().map(|(_, w)| w).sum();
    assert!(
        total_work > 20.0 * 0.25 * 22.0,
        "only {total_work:.0} s of sending went to the cold parent"
    );
}

/// A request that takes more than an eighth of what the cold parent bears in a window has to wait
/// until it bears more: the total of a few such requests would vary too far from the mean.
#[test]
fn a_large_request_is_not_sent_to_a_cold_parent() {
    let list = [
        member("c", Tier::Cache, 40.0, None),
        member("warm", Tier::Parent, 1.0, None),
        member("cold", Tier::Parent, 40.0, Some(ms(10_000))),
    ];
    for number in 0..ROUTERS {
        let mut recorded = RecordedActions::default();
        let mut router = Router::start(ms(0), &deployment(number), &mut recorded);
        router.update_list(ms(0), ListKind::Snapshot, &list, &mut recorded);
        for second in 0..3 {
            let id: Id = format!("{number}-{second}").into();
            let arrival = IncomingRequest {
                id: id.clone(),
                object: id,
                kb: 2000.0,
                time_left: ms(9000),
                ..IncomingRequest::default()
            };
            router.request(ms(10_000 + second * 1000), arrival, &mut recorded);
        }
        assert!(
            recorded
                .attempts
                .iter()
                .all(|(_, source)| **source != *"cold"),
            "router {number}"
        );
    }
}

/// A server that is sent one request every six seconds needs no gradual readmission: its whole load
/// is less than that of the probes.
#[test]
fn ejection_ends_when_probes_no_longer_limit_the_load() {
    let is_ejected_after_probes = |interval: Duration| {
        let (mut detector, mut now) = (ServerHealth::default(), ms(1_000_000));
        for _ in 0..40 {
            now += interval;
            detector.record_sent(now);
            detector.record_outcome(now, false, 1.0);
        }
        for _ in 0..3 {
            detector.record_outcome(now, true, 1.0);
        }
        assert!(detector.is_ejected());
        now += ms(6000);
        detector.record_sent(now);
        detector.record_outcome(now, true, 1.0);
        assert!(detector.is_ejected(), "a failure does not end the ejection");
        now += ms(6000);
        detector.record_sent(now);
        detector.record_outcome(now, false, 1.0);
        detector.is_ejected()
    };
    assert!(
        !is_ejected_after_probes(ms(6000)),
        "at low load the first success ends the ejection"
    );
    assert!(
        is_ejected_after_probes(ms(20)),
        "at high load the probe rate has to double first"
    );
}
