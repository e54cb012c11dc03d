//! Bounds on the number of servers that one request considers in large deployments.

use super::*;
use crate::selection::CANDIDATE_LIMIT;

/// The maximum number of servers that a selection in one tier considers: the size of the largest
/// pool selected in one step, and the group in which that number is reached.
const CONSIDERED_LIMIT: usize = 2 * CANDIDATE_LIMIT;
const NOW: Duration = Duration::from_secs(1000);

#[derive(Default)]
struct RecordedAttempts(Vec<(Id, Id)>);

impl ActionSink for RecordedAttempts {
    fn attempt(&mut self, request: &Id, server: &Id, _limits: AttemptLimits, _fill: &Fill) {
        self.0.push((request.clone(), server.clone()));
    }
    fn reject(&mut self, _request: &Id, _retry_after: Option<Duration>) {}
    fn fail(&mut self, _request: &Id) {}
    fn cancel(&mut self, _request: &Id, _attempt: usize) {}
    fn set_timer(&mut self, _at: Duration, _timer_id: u64) {}
    fn subscribe_list(&mut self) {}
}

fn deployment() -> Deployment {
    let second = Duration::from_secs(1);
    let cold = SlowStartSettings {
        initial_capacity: 0.25,
        warm_up_time: second * 1000,
        overload_multiple: 2.0,
        window: second,
    };
    let class = Class {
        soft_deadline: second,
        deadline: second * 4,
        cacheable: true,
        ..Class::default()
    };
    Deployment {
        routers: 10,
        routers_per_zone: vec![10],
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

fn router(caches: usize, started: Option<Duration>, recorded: &mut RecordedAttempts) -> Router {
    let mut router = Router::start(Duration::from_secs(1), &deployment(), recorded);
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
    router.update_list(NOW, ListKind::Snapshot, &members, recorded);
    router
}

/// Plays requests whose attempts all end with this result. Returns the highest number of servers
/// that one request considered, and of attempts that it made.
fn play(
    router: &mut Router,
    recorded: &mut RecordedAttempts,
    requests: usize,
    outcome: Outcome,
    remark: Remark,
) -> [usize; 2] {
    let (duration, load) = (Duration::from_millis(5), Load::default());
    let is_complete = outcome == Outcome::Served;
    let result = AttemptResult {
        outcome,
        remark,
        duration,
        first_byte: None,
        is_complete,
        load,
    };
    let mut highest = [0, 0];
    for n in 0..requests {
        router.considered.set(0);
        let id: Id = format!("request-{n}").into();
        let object = format!("object-{n}").as_str().into();
        let time_left = Duration::from_secs(4);
        router.request(
            NOW,
            IncomingRequest {
                id,
                object,
                kb: 20.0,
                time_left,
                ..IncomingRequest::default()
            },
            recorded,
        );
        let mut attempts = 0;
        while let Some((request, _)) = recorded.0.pop() {
            router.attempt_ended(NOW, &request, attempts, &result, recorded);
            attempts += 1;
        }
        highest = [
            highest[0].max(router.considered.get()),
            highest[1].max(attempts),
        ];
    }
    highest
}

#[test]
fn a_request_considers_no_more_of_3200_caches_than_of_200() {
    let considered = |caches| {
        let mut recorded = RecordedAttempts::default();
        let mut router = router(caches, None, &mut recorded);
        play(
            &mut router,
            &mut recorded,
            500,
            Outcome::Served,
            Remark::Hit,
        )[0]
    };
    let (few, many) = (considered(200), considered(3200));
    assert!(many <= few, "{many} of 3,200, {few} of 200");
}

#[test]
fn an_attempt_considers_a_bounded_number_of_3200_caches_when_all_refuse() {
    let mut recorded = RecordedAttempts::default();
    let mut router = router(3200, None, &mut recorded);
    let [considered, attempts] = play(&mut router, &mut recorded, 500, Outcome::Full, Remark::None);
    assert!(attempts > 1);
    assert!(
        considered <= attempts * CONSIDERED_LIMIT,
        "{considered} in {attempts} attempts"
    );
}

#[test]
fn a_request_considers_a_bounded_number_of_3200_caches_when_all_are_ejected() {
    let mut recorded = RecordedAttempts::default();
    let mut router = router(3200, None, &mut recorded);
    let caches: Vec<Id> = router.caches().map(|m| m.server.clone()).collect();
    for cache in &caches {
        (0..3).for_each(|_| router.endpoints.record_outcome(cache, NOW, true, 1.0));
    }
    let is_ejected = |cache: &Id| {
        let endpoint = router.endpoints.get(cache);
        endpoint.is_some_and(|endpoint| endpoint.outliers.is_ejected())
    };
    assert!(caches.iter().all(is_ejected));
    let [considered, attempts] = play(
        &mut router,
        &mut recorded,
        500,
        Outcome::Served,
        Remark::Hit,
    );
    assert_eq!(attempts, 1, "ejected servers are used if no other is left");
    // One selection among available servers, and one among all.
    assert!(considered <= 2 * CONSIDERED_LIMIT, "{considered}");
}

#[test]
fn a_request_considers_a_bounded_number_of_3200_caches_when_all_are_cold() {
    let mut recorded = RecordedAttempts::default();
    let mut router = router(3200, Some(NOW), &mut recorded);
    let [considered, attempts] = play(
        &mut router,
        &mut recorded,
        5000,
        Outcome::Served,
        Remark::Hit,
    );
    assert_eq!(attempts, 1);
    assert!(considered <= 2 * CONSIDERED_LIMIT, "{considered}");
}

/// The highest number of servers that a change of one member and the next request visit together.
fn considered_after_change(caches: usize, change: impl Fn(&mut Member)) -> usize {
    let mut recorded = RecordedAttempts::default();
    let mut router = router(caches, None, &mut recorded);
    play(&mut router, &mut recorded, 10, Outcome::Served, Remark::Hit);
    let mut highest = 0;
    for n in 0..50 {
        let mut member = Member {
            server: format!("cache-{}", n * 3).into(),
            capacity: 8.0,
            ..Member::default()
        };
        change(&mut member);
        router.endpoints.visited.set(0);
        router.update_list(NOW, ListKind::Changes, &[member], &mut recorded);
        let [considered, _] = play(&mut router, &mut recorded, 1, Outcome::Served, Remark::Hit);
        highest = highest.max(considered + router.endpoints.visited.get());
    }
    highest
}

#[test]
fn a_list_change_visits_no_more_of_3200_servers_than_of_200() {
    let changes: [fn(&mut Member); 5] = [
        |member| member.capacity = 5.0,
        |member| member.state = ServerState::Draining,
        |member| member.state = ServerState::Removed,
        |member| member.started = Some(NOW - Duration::from_secs(5)),
        |member| member.server = format!("new-{}", member.server).into(),
    ];
    for (number, change) in changes.into_iter().enumerate() {
        let few = considered_after_change(200, change);
        let many = considered_after_change(3200, change);
        // A new server makes a pool of 200 larger.
        let bound = (few + 1).min(CONSIDERED_LIMIT);
        assert!(
            many <= bound,
            "change {number}: {many} of 3,200, {few} of 200"
        );
    }
}
