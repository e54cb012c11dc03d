//! What is left of requests that are finished: nothing, however many there were.

use crate::admission::part_key;
use crate::fill_limiter::FillResult;
use crate::interface::*;
use crate::router::Router;
use std::collections::BTreeSet;
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
const NOW: Duration = Duration::from_secs(1000);
/// Much longer than any attempt takes.
const LONG_DEADLINE: Duration = Duration::from_secs(60);
const REQUESTS: usize = 1000;

/// Holds the timers as a front end does, and records the attempts.
#[derive(Default)]
struct FrontEnd {
    timers: BTreeSet<(Duration, u64)>,
    attempts: Vec<Id>,
    finished: usize,
}

impl ActionSink for FrontEnd {
    fn attempt(&mut self, request: &Id, _server: &Id, _limits: AttemptLimits, _fill: &Fill) {
        self.attempts.push(request.clone());
    }
    fn reject(&mut self, _request: &Id, _retry_after: Option<Duration>) {
        self.finished += 1;
    }
    fn fail(&mut self, _request: &Id) {
        self.finished += 1;
    }
    fn cancel(&mut self, _request: &Id, _attempt: usize) {}
    fn set_timer(&mut self, at: Duration, timer_id: u64) {
        assert!(self.timers.insert((at, timer_id)), "a timer id used twice");
    }
    fn cancel_timer(&mut self, at: Duration, timer_id: u64) {
        let was_pending = self.timers.remove(&(at, timer_id));
        assert!(was_pending, "a timer that was not set, or not for {at:?}");
    }
    fn subscribe_list(&mut self) {}
}

fn class(effect: Effect) -> Class {
    Class {
        effect,
        soft_deadline: SECOND,
        deadline: LONG_DEADLINE,
        cacheable: effect == Effect::Idempotent,
        ..Class::default()
    }
}

/// A router with one cache, one parent and an origin.
fn router(front_end: &mut FrontEnd) -> Router {
    let deployment = Deployment {
        routers: 1,
        classes: vec![class(Effect::Idempotent), class(Effect::NonIdempotent)],
        client_kb_per_s: 1000.0,
        max_attempts: 3,
        may_cancel: true,
        pass_through: true,
        purge_done: SECOND * 6,
        ..Deployment::default()
    };
    let mut router = Router::start(SECOND, &deployment, front_end);
    let member = |name: &str, tier| Member {
        server: name.into(),
        tier,
        capacity: 1e6,
        ..Member::default()
    };
    let members = [
        member("cache", Tier::Cache),
        member("parent", Tier::Parent),
        member("origin", Tier::Origin),
    ];
    router.update_list(NOW, ListKind::Snapshot, &members, front_end);
    router
}

fn request(router: &mut Router, front_end: &mut FrontEnd, n: usize, class: usize) -> Id {
    let id: Id = format!("request-{n}").into();
    let arrival = IncomingRequest {
        id: id.clone(),
        class,
        object: format!("object-{n}").into(),
        kb: 20.0,
        time_left: LONG_DEADLINE,
        ..IncomingRequest::default()
    };
    router.request(NOW, arrival, front_end);
    id
}

fn ended(outcome: Outcome) -> AttemptResult {
    AttemptResult {
        outcome,
        remark: Remark::None,
        duration: Duration::from_millis(5),
        first_byte: None,
        is_complete: outcome == Outcome::Served,
        load: Load::default(),
    }
}

fn assert_nothing_is_left(router: &Router, front_end: &FrontEnd) {
    assert_eq!(router.requests.len(), 0, "requests");
    assert_eq!(router.timers.len(), 0, "timers of the router");
    assert_eq!(front_end.timers.len(), 0, "timers of the front end");
}

/// Guards against memory that grows with the requests that one client withdraws: their timers
/// were kept until the deadline of each.
#[test]
fn withdrawn_requests_leave_no_timers() {
    let mut front_end = FrontEnd::default();
    let mut router = router(&mut front_end);
    for n in 0..REQUESTS {
        let id = request(&mut router, &mut front_end, n, 0);
        assert_eq!(front_end.attempts.pop(), Some(id.clone()));
        assert!(front_end.timers.len() >= 2, "a deadline and a timeout");
        router.client_left(NOW, &id, &mut front_end);
        // Nothing can be done any more, though the attempt has not ended yet.
        assert_eq!(front_end.timers.len(), 0);
        router.attempt_ended(NOW, &id, 0, &ended(Outcome::Cancelled), &mut front_end);
    }
    assert_nothing_is_left(&router, &front_end);
}

#[test]
fn requests_that_are_served_rejected_or_failed_leave_no_timers() {
    let mut front_end = FrontEnd::default();
    let mut router = router(&mut front_end);
    let outcomes = [Outcome::Served, Outcome::Full, Outcome::Error];
    for n in 0..REQUESTS {
        let id = request(&mut router, &mut front_end, n, n % 2);
        let outcome = outcomes[n % outcomes.len()];
        let mut attempt = 0;
        while front_end.attempts.pop().is_some() {
            router.attempt_ended(NOW, &id, attempt, &ended(outcome), &mut front_end);
            attempt += 1;
        }
    }
    assert!(front_end.finished >= REQUESTS / 2, "{}", front_end.finished);
    assert_nothing_is_left(&router, &front_end);
}

/// A timer that fires late, after its request was finished and cancelled it, has no effect: front
/// ends that cannot cancel timers still call it.
#[test]
fn a_cancelled_timer_that_fires_all_the_same_has_no_effect() {
    let mut front_end = FrontEnd::default();
    let mut router = router(&mut front_end);
    let id = request(&mut router, &mut front_end, 0, 0);
    let timers: Vec<(Duration, u64)> = front_end.timers.iter().copied().collect();
    router.client_left(NOW, &id, &mut front_end);
    for (at, timer_id) in timers {
        router.wake(at, timer_id, &mut front_end);
    }
    assert_eq!(front_end.finished, 0);
    assert_eq!(front_end.timers.len(), 0);
    assert_eq!(front_end.attempts.len(), 1);
}

/// Guards against memory that grows with withdrawn requests while no fill slot is free.
#[test]
fn withdrawn_requests_leave_the_queue_for_a_fill_slot() {
    let mut front_end = FrontEnd::default();
    let mut router = router(&mut front_end);
    request(&mut router, &mut front_end, 0, 0);
    // One late fill: the limit backs off below the number in flight.
    router
        .fill_limiter
        .record_result(NOW, FillResult::Late, || 1.0);
    (0..3).for_each(|_| router.fill_limiter.acquire());
    front_end.attempts.clear();
    for n in 1..=REQUESTS {
        let id = request(&mut router, &mut front_end, n, 0);
        assert_eq!(front_end.attempts, [], "it was sent");
        assert_eq!(router.fill_limiter.queue_length(), 1);
        router.client_left(NOW, &id, &mut front_end);
        assert_eq!(router.fill_limiter.queue_length(), 0);
    }
    assert_eq!(router.requests.len(), 1);
}

/// Guards against memory that grows with withdrawn requests while one server delays a fill.
#[test]
fn withdrawn_requests_leave_the_fill_that_they_waited_for() {
    let mut front_end = FrontEnd::default();
    let mut router = router(&mut front_end);
    let local_cache = Member {
        server: "memory".into(),
        tier: Tier::Local,
        capacity: 10.0,
        ..Member::default()
    };
    router.update_list(NOW, ListKind::Changes, &[local_cache], &mut front_end);
    let arrival = |id: &str| IncomingRequest {
        id: id.into(),
        object: "object".into(),
        kb: 20.0,
        time_left: LONG_DEADLINE,
        ..IncomingRequest::default()
    };
    let leader = arrival("leader");
    let part = part_key(&leader);
    router.request(NOW, leader, &mut front_end);
    assert_eq!(front_end.attempts.len(), 1);
    for n in 0..REQUESTS {
        let waiter = arrival(&format!("waiter-{n}"));
        let id = waiter.id.clone();
        router.request(NOW, waiter, &mut front_end);
        assert_eq!(front_end.attempts.len(), 1, "it was sent");
        assert_eq!(router.coalescing.waiter_count(part), 1);
        router.client_left(NOW, &id, &mut front_end);
        assert_eq!(router.coalescing.waiter_count(part), 0);
    }
    assert_eq!(router.requests.len(), 1);
}
