//! How much of a fleet a request looks at, counted.

use super::*;
use crate::selection::CONSIDERED_AT_MOST;

/// What a selection in one tier may look at: as many as a pool that is drawn in one step has, and
/// the group in which that many are reached.
const LOOKED_AT: usize = 2 * CONSIDERED_AT_MOST;
const NOW: Duration = Duration::from_secs(1000);

#[derive(Default)]
struct Orders(Vec<(Id, Id)>);

impl Outlet for Orders {
    fn attempt(&mut self, request: &Id, server: &Id, _limit: Duration, _fill: &Fill) {
        self.0.push((request.clone(), server.clone()));
    }
    fn reject(&mut self, _request: &Id, _advice: Option<Duration>) {}
    fn fail(&mut self, _request: &Id) {}
    fn cancel(&mut self, _request: &Id, _attempt: usize) {}
    fn wake_at(&mut self, _at: Duration, _mark: u64) {}
    fn watch_list(&mut self) {}
}

fn deployment() -> Deployment {
    let second = Duration::from_secs(1);
    let cold = ColdStart {
        from: 0.25,
        warm_within: second * 1000,
        multiple: 2.0,
        span: second,
    };
    let class = Class {
        soft_deadline: second,
        deadline: second * 4,
        cacheable: true,
        ..Class::default()
    };
    Deployment {
        routers: 10,
        routers_at: vec![10],
        classes: vec![class],
        client_kb_per_s: 1000.0,
        max_attempts: 4,
        may_cancel: true,
        cold_cache: cold,
        cold_parent: cold,
        purge_done: second * 6,
        pass_through: true,
        ..Deployment::default()
    }
}

fn router(caches: usize, started: Option<Duration>, orders: &mut Orders) -> Router {
    let mut router = Router::start(Duration::from_secs(1), &deployment(), orders);
    let cache = |n| Member {
        server: format!("cache-{n}").into(),
        capacity: 8.0,
        started,
        ..Member::default()
    };
    let parent = Member {
        server: "parent".into(),
        tier: Tier::Parent,
        capacity: 99.0,
        ..Member::default()
    };
    let origin = Member {
        server: "origin".into(),
        tier: Tier::Origin,
        ..parent.clone()
    };
    let members: Vec<Member> = (0..caches).map(cache).chain([parent, origin]).collect();
    router.list(NOW, ListKind::Whole, &members, orders);
    router
}

/// Requests that all end so; how many servers one of them looked at, at most, and how many attempts
/// it made.
fn play(
    router: &mut Router,
    orders: &mut Orders,
    requests: usize,
    outcome: Outcome,
    remark: Remark,
) -> [usize; 2] {
    let (took, load) = (Duration::from_millis(5), Load::default());
    let over = outcome == Outcome::Served;
    let ended = Ended {
        outcome,
        remark,
        took,
        first_byte: None,
        over,
        load,
    };
    let mut most = [0, 0];
    for n in 0..requests {
        router.considered.set(0);
        let id: Id = format!("request-{n}").into();
        let object = format!("object-{n}").as_str().into();
        let left = Duration::from_secs(4);
        router.request(
            NOW,
            Arrival {
                id,
                object,
                kb: 20.0,
                left,
                ..Arrival::default()
            },
            orders,
        );
        let mut attempts = 0;
        while let Some((request, _)) = orders.0.pop() {
            router.result(NOW, &request, attempts, &ended, orders);
            attempts += 1;
        }
        most = [most[0].max(router.considered.get()), most[1].max(attempts)];
    }
    most
}

#[test]
fn a_request_looks_at_no_more_of_3200_caches_than_of_200() {
    let looked = |caches| {
        let mut orders = Orders::default();
        let mut router = router(caches, None, &mut orders);
        play(&mut router, &mut orders, 500, Outcome::Served, Remark::Hit)[0]
    };
    let (few, many) = (looked(200), looked(3200));
    assert!(many <= few, "{many} of 3,200, {few} of 200");
}

#[test]
fn an_attempt_looks_at_a_bounded_number_of_3200_caches_when_all_refuse() {
    let mut orders = Orders::default();
    let mut router = router(3200, None, &mut orders);
    let [looked, attempts] = play(&mut router, &mut orders, 500, Outcome::Full, Remark::None);
    assert!(attempts > 1);
    assert!(
        looked <= attempts * LOOKED_AT,
        "{looked} in {attempts} attempts"
    );
}

#[test]
fn a_request_looks_at_a_bounded_number_of_3200_caches_when_all_are_ejected() {
    let mut orders = Orders::default();
    let mut router = router(3200, None, &mut orders);
    let caches: Vec<Id> = router.caches().map(|m| m.server.clone()).collect();
    for cache in &caches {
        (0..3).for_each(|_| router.endpoints.record_outcome(cache, NOW, true, 1.0));
    }
    let is_ejected = |cache: &Id| {
        let endpoint = router.endpoints.get(cache);
        endpoint.is_some_and(|endpoint| endpoint.outliers.is_ejected())
    };
    assert!(caches.iter().all(is_ejected));
    let [looked, attempts] = play(&mut router, &mut orders, 500, Outcome::Served, Remark::Hit);
    assert_eq!(
        attempts, 1,
        "what is ejected is used where nothing else is left"
    );
    // Once for healthy ones, once for any.
    assert!(looked <= 2 * LOOKED_AT, "{looked}");
}

#[test]
fn a_request_looks_at_a_bounded_number_of_3200_caches_when_all_are_cold() {
    let mut orders = Orders::default();
    let mut router = router(3200, Some(NOW), &mut orders);
    let [looked, attempts] = play(&mut router, &mut orders, 5000, Outcome::Served, Remark::Hit);
    assert_eq!(attempts, 1);
    assert!(looked <= 2 * LOOKED_AT, "{looked}");
}

/// How many servers a change of one member and the next request look at, at most.
fn looked_at_after_a_change(caches: usize, change: impl Fn(&mut Member)) -> usize {
    let mut orders = Orders::default();
    let mut router = router(caches, None, &mut orders);
    play(&mut router, &mut orders, 10, Outcome::Served, Remark::Hit);
    let mut most = 0;
    for n in 0..50 {
        let mut member = Member {
            server: format!("cache-{}", n * 3).into(),
            capacity: 8.0,
            ..Member::default()
        };
        change(&mut member);
        router.endpoints.walked.set(0);
        router.list(NOW, ListKind::Changes, &[member], &mut orders);
        let [considered, _] = play(&mut router, &mut orders, 1, Outcome::Served, Remark::Hit);
        most = most.max(considered + router.endpoints.walked.get());
    }
    most
}

#[test]
fn a_change_of_the_list_looks_at_no_more_servers_of_3200_than_of_200() {
    let changes: [fn(&mut Member); 5] = [
        |member| member.capacity = 5.0,
        |member| member.standing = Standing::Draining,
        |member| member.standing = Standing::Gone,
        |member| member.started = Some(NOW - Duration::from_secs(5)),
        |member| member.server = format!("new-{}", member.server).into(),
    ];
    for (number, change) in changes.into_iter().enumerate() {
        let few = looked_at_after_a_change(200, change);
        let many = looked_at_after_a_change(3200, change);
        // A new server makes a pool of 200 larger.
        let bound = (few + 1).min(LOOKED_AT);
        assert!(
            many <= bound,
            "change {number}: {many} of 3,200, {few} of 200"
        );
    }
}
