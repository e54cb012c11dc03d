//! What is harmless in one router and adds up over many: the decisions of a fleet against plain
//! sums.

use chalkhall::control::{Judged, Router};
use chalkhall::interface::*;
use std::collections::BTreeMap;
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// What one router orders: attempts with their source, and when it wants to be woken.
#[derive(Default)]
struct Orders {
    attempts: Vec<(Id, Id)>,
    wakes: BTreeMap<(Duration, u64), ()>,
}

impl Outlet for Orders {
    fn attempt(&mut self, request: &Id, _server: &Id, _limit: Duration, fill: &Fill) {
        self.attempts.push((request.clone(), fill.source.clone()));
    }
    fn reject(&mut self, _request: &Id, _advice: Option<Duration>) {}
    fn fail(&mut self, _request: &Id) {}
    fn cancel(&mut self, _request: &Id, _attempt: usize) {}
    fn wake_at(&mut self, at: Duration, mark: u64) {
        self.wakes.insert((at, mark), ());
    }
    fn watch_list(&mut self) {}
}

const ROUTERS: u64 = 300;
const FROM: f64 = 0.1;

fn told(number: u64) -> Deployment {
    let cold = ColdStart {
        from: FROM,
        warm_within: ms(20_000),
        multiple: 2.0,
        span: ms(1000),
    };
    Deployment {
        number,
        seed: number,
        routers: ROUTERS as usize,
        zone: 1,
        routers_at: vec![0, 1],
        classes: vec![Class {
            window: ms(2000),
            soft_deadline: ms(5000),
            soft_stretch: 2.0,
            deadline: ms(9000),
            value: 1.0,
            late_value: 0.2,
            cacheable: true,
            ..Class::default()
        }],
        tick: ms(2),
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

/// 300 routers, each with a request of 0.2 s three times a second, before two parents of which one
/// has just started. Each share of the cold one is under a hundredth of a transfer at first.
#[test]
fn a_cold_parent_is_warmed_by_a_few_in_turn_and_never_pushed_over() {
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
        let mut orders = Orders::default();
        let mut router = Router::start(ms(0), &told(number), &mut orders);
        router.list(ms(0), ListKind::Whole, &list, &mut orders);
        let mut chance = fastrand::Rng::with_seed(number ^ 77);
        let mut now = started;
        for n in 0u64.. {
            now += ms(chance.u64(0..667));
            if now > started + ms(20_000) {
                break;
            }
            while let Some((&(at, mark), ())) = orders
                .wakes
                .first_key_value()
                .filter(|((at, _), ())| *at <= now)
            {
                orders.wakes.pop_first();
                router.wake(at, mark, &mut orders);
            }
            let id: Id = format!("{number}-{n}").into();
            let arrival = Arrival {
                id: id.clone(),
                object: id,
                kb: 200.0,
                left: ms(9000),
                ..Arrival::default()
            };
            router.request(now, arrival, &mut orders);
            for (id, source) in std::mem::take(&mut orders.attempts) {
                if *source == *"cold" {
                    sent.push((now, 0.2));
                    by_router.entry(number).or_default().push(now);
                }
                let ended = Ended {
                    outcome: Outcome::Served,
                    remark: Remark::Filled,
                    took: ms(200),
                    first_byte: Some(ms(10)),
                    over: true,
                    load: Load::default(),
                };
                router.result(now, &id, 0, &ended, &mut orders);
            }
        }
    }
    // One transfer is several shares: nobody sends two within a span.
    for (router, times) in &by_router {
        let close = times.windows(2).find(|pair| pair[1] < pair[0] + ms(1000));
        assert!(
            close.is_none(),
            "router {router} sent two within a span: {close:?}"
        );
    }
    // Who is drawn changes: those of the first four spans are not those of the next four after
    // their draws end.
    let drawn = |from: u64| {
        let (from, to) = (started + ms(from), started + ms(from + 4000));
        let sends = |times: &&Vec<Duration>| times.iter().any(|at| *at >= from && *at < to);
        by_router
            .iter()
            .filter(|(_, times)| sends(times))
            .map(|(n, _)| *n)
            .collect::<Vec<_>>()
    };
    let (first, later) = (drawn(0), drawn(12_000));
    let again = first.iter().filter(|router| later.contains(router)).count();
    assert!(
        again * 4 < first.len() * 3,
        "{again} of the first {} send on: not in turn",
        first.len()
    );
    assert!(
        by_router.len() as u64 * 3 > ROUTERS * 2,
        "only {} routers ever sent",
        by_router.len()
    );
    sent.sort_by_key(|(at, _)| *at);
    let present = |at: Duration| {
        let warm = ((at - started).as_secs_f64() / 20.0).min(1.0);
        capacity * (FROM + (1.0 - FROM) * warm)
    };
    let mut most: f64 = 0.0;
    for (at, _) in &sent {
        let within = sent
            .iter()
            .filter(|(t, _)| *t >= *at && *t < *at + ms(1000))
            .map(|(_, w)| w)
            .sum::<f64>();
        most = most.max(within / present(*at));
    }
    assert!(
        most < 2.0,
        "in some second it was sent {most:.2} times what it could do"
    );
    // Requests for 180 s of sending come a second, half of them for the cold one, which has 24 s on
    // the mean.
    let work: f64 = sent.iter().map(|(_, w)| w).sum();
    assert!(
        work > 20.0 * 0.25 * 22.0,
        "only {work:.0} s of sending went to the cold parent"
    );
}

/// What takes more than an eighth of what the cold parent bears in a span waits until it bears
/// more: few such would stray too far from the mean.
#[test]
fn a_large_request_is_not_drawn_for_a_cold_parent() {
    let list = [
        member("c", Tier::Cache, 40.0, None),
        member("warm", Tier::Parent, 1.0, None),
        member("cold", Tier::Parent, 40.0, Some(ms(10_000))),
    ];
    for number in 0..ROUTERS {
        let mut orders = Orders::default();
        let mut router = Router::start(ms(0), &told(number), &mut orders);
        router.list(ms(0), ListKind::Whole, &list, &mut orders);
        for second in 0..3 {
            let id: Id = format!("{number}-{second}").into();
            let arrival = Arrival {
                id: id.clone(),
                object: id,
                kb: 2000.0,
                left: ms(9000),
                ..Arrival::default()
            };
            router.request(ms(10_000 + second * 1000), arrival, &mut orders);
        }
        assert!(
            orders
                .attempts
                .iter()
                .all(|(_, source)| **source != *"cold"),
            "router {number}"
        );
    }
}

/// One that is sent something every six seconds needs no ramp: its whole traffic is less than the
/// trickle.
#[test]
fn a_trickle_ends_where_it_no_longer_binds() {
    let played = |apart: Duration| {
        let (mut judged, mut now) = (Judged::default(), ms(1_000_000));
        for _ in 0..40 {
            now += apart;
            judged.sent(now);
            judged.judge(now, false, 1.0);
        }
        for _ in 0..3 {
            judged.judge(now, true, 1.0);
        }
        assert!(judged.is_aside());
        now += ms(6000);
        judged.sent(now);
        judged.judge(now, true, 1.0);
        assert!(judged.is_aside(), "a failure never ends it");
        now += ms(6000);
        judged.sent(now);
        judged.judge(now, false, 1.0);
        judged.is_aside()
    };
    assert!(
        !played(ms(6000)),
        "seldom: the first success shows it sound"
    );
    assert!(played(ms(20)), "often: it comes back by doubling");
}
