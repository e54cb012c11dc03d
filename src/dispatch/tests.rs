use super::*;
use crate::interface::*;

const NOW: Duration = Duration::from_secs(1000);
const SECOND: Duration = Duration::from_secs(1);
const SHORTEST_GRACE: Duration = Duration::from_millis(300);
const DEDUP_WINDOW: Duration = Duration::from_secs(2);

/// Discards every action.
struct NoopOutlet;

impl ActionSink for NoopOutlet {
    fn attempt(&mut self, _: &Id, _: &Id, _: AttemptLimits, _: &Fill) {}
    fn reject(&mut self, _: &Id, _: Option<Duration>) {}
    fn fail(&mut self, _: &Id) {}
    fn cancel(&mut self, _: &Id, _: usize) {}
    fn set_timer(&mut self, _: Duration, _: u64) {}
    fn subscribe_list(&mut self) {}
}

fn cache(name: &str) -> Member {
    Member {
        server: name.into(),
        capacity: 8.0,
        ..Member::default()
    }
}

/// A router with two caches, and a request with this effect whose first attempt was sent to a
/// cache.
fn router(effect: Effect) -> (Router, Id) {
    let limits = SlowStartSettings {
        initial_capacity: 0.5,
        warm_up_time: SECOND * 10,
        overload_multiple: 2.0,
        window: SECOND,
    };
    let deployment = Deployment {
        routers: 1,
        classes: vec![Class {
            effect,
            dedup_window: DEDUP_WINDOW,
            soft_deadline: SECOND,
            fresh: Some(SECOND * 60),
            cacheable: true,
            ..Class::default()
        }],
        client_kb_per_s: 1000.0,
        max_attempts: 2,
        cold_cache: limits,
        drain_grace: SHORTEST_GRACE * 2,
        purge_grace: SHORTEST_GRACE,
        purge_done: SECOND * 6,
        ..Deployment::default()
    };
    let mut router = Router::start(SECOND, &deployment, &mut NoopOutlet);
    let members = [cache("cache-1"), cache("cache-2")];
    router.update_list(NOW, ListKind::Snapshot, &members, &mut NoopOutlet);
    let arrival = IncomingRequest {
        id: "request".into(),
        object: "object".into(),
        kb: 20.0,
        time_left: SECOND * 4,
        ..IncomingRequest::default()
    };
    router.request(NOW, arrival, &mut NoopOutlet);
    (router, "request".into())
}

fn route(server: &str) -> Route {
    Route {
        server: server.into(),
        source: server.into(),
        copy_created_at: None,
        allowed_staleness: Duration::ZERO,
    }
}

/// Ends the first attempt without a result; `ran` tells whether it may have been executed.
fn end_attempt(router: &mut Router, id: &Id, ran: bool) {
    let request = router.requests.get_mut(id).expect("pending");
    request.attempts[0].open = None;
    request.open_attempts = 0;
    request.possible_execution = ran.then(|| crate::retry::PossibleExecution {
        sent_at: NOW,
        server: "cache-1".into(),
    });
}

fn refusal(router: &Router, now: Duration, id: &Id, route: &Route) -> Option<Refusal> {
    router.validate_attempt(now, id, route).err()
}

#[test]
fn an_attempt_that_satisfies_every_rule_is_accepted() {
    let (mut router, id) = router(Effect::Idempotent);
    end_attempt(&mut router, &id, true);
    assert_eq!(refusal(&router, NOW, &id, &route("cache-2")), None);
}

/// How long after `now` a second attempt may be sent. The first one was sent at `NOW`.
fn send_within(router: &Router, now: Duration, id: &Id) -> Duration {
    let validated = router.validate_attempt(now, id, &route("cache-2"));
    validated.expect("accepted").limits.send_within
}

#[test]
fn an_attempt_is_sent_within_the_shortest_grace_period() {
    for (effect, ran) in [
        (Effect::Idempotent, true),
        (Effect::Deduplicated, false),
        (Effect::NonIdempotent, false),
    ] {
        let (mut router, id) = router(effect);
        end_attempt(&mut router, &id, ran);
        assert_eq!(send_within(&router, NOW, &id), SHORTEST_GRACE);
    }
}

#[test]
fn a_repeat_is_sent_within_the_dedup_window_of_the_first_attempt() {
    let (mut router, id) = router(Effect::Deduplicated);
    end_attempt(&mut router, &id, true);
    let end = NOW + DEDUP_WINDOW;
    assert_eq!(send_within(&router, NOW, &id), SHORTEST_GRACE);
    let left = SHORTEST_GRACE / 2;
    assert_eq!(send_within(&router, end - left, &id), left);
    let refused = refusal(&router, end, &id, &route("cache-2"));
    assert_eq!(refused, Some(Refusal::RetryUnsafe));
}

#[test]
fn unknown_requests_and_servers_are_refused() {
    let (router, id) = router(Effect::Idempotent);
    let unknown = "unknown".into();
    let refused = refusal(&router, NOW, &unknown, &route("cache-1"));
    assert_eq!(refused, Some(Refusal::RequestUnknown));
    let refused = refusal(&router, NOW, &id, &route("unknown"));
    assert_eq!(refused, Some(Refusal::EndpointUnknown));
}

#[test]
fn attempts_are_refused_while_one_is_in_flight_and_after_the_last_one() {
    let (mut router, id) = router(Effect::Idempotent);
    let refused = refusal(&router, NOW, &id, &route("cache-2"));
    assert_eq!(refused, Some(Refusal::AttemptInFlight));
    end_attempt(&mut router, &id, false);
    router.max_attempts = 1;
    let refused = refusal(&router, NOW, &id, &route("cache-2"));
    assert_eq!(refused, Some(Refusal::AttemptsExhausted));
}

#[test]
fn attempts_are_refused_at_the_deadline_and_after_the_client_has_left() {
    let (mut router, id) = router(Effect::Idempotent);
    end_attempt(&mut router, &id, false);
    let (to, deadline) = (route("cache-2"), NOW + SECOND * 4);
    let before = deadline - Duration::from_nanos(1);
    assert_eq!(refusal(&router, before, &id, &to), None);
    let refused = refusal(&router, deadline, &id, &to);
    assert_eq!(refused, Some(Refusal::DeadlinePassed));
    router.answer_started(&id);
    assert_eq!(
        refusal(&router, NOW, &id, &to),
        Some(Refusal::RequestFinished)
    );
}

#[test]
fn a_non_idempotent_request_that_may_have_been_executed_is_not_retried() {
    let (mut router, id) = router(Effect::NonIdempotent);
    end_attempt(&mut router, &id, false);
    assert_eq!(refusal(&router, NOW, &id, &route("cache-2")), None);
    end_attempt(&mut router, &id, true);
    let refused = refusal(&router, NOW, &id, &route("cache-2"));
    assert_eq!(refused, Some(Refusal::RetryUnsafe));
}

#[test]
fn draining_servers_and_sources_are_refused() {
    let (mut router, id) = router(Effect::Idempotent);
    end_attempt(&mut router, &id, false);
    let draining = Member {
        state: ServerState::Draining,
        ..cache("cache-2")
    };
    router.update_list(NOW, ListKind::Changes, &[draining], &mut NoopOutlet);
    let refused = refusal(&router, NOW, &id, &route("cache-2"));
    assert_eq!(refused, Some(Refusal::EndpointDraining));
    let filled = Route {
        source: "cache-2".into(),
        ..route("cache-1")
    };
    let refused = refusal(&router, NOW, &id, &filled);
    assert_eq!(refused, Some(Refusal::EndpointDraining));
}

#[test]
fn a_warming_server_without_budget_is_refused() {
    let (mut router, id) = router(Effect::Idempotent);
    end_attempt(&mut router, &id, false);
    let warming = Member {
        started: Some(NOW),
        capacity: 0.01,
        ..cache("cache-2")
    };
    router.update_list(NOW, ListKind::Changes, &[warming], &mut NoopOutlet);
    let refused = refusal(&router, NOW, &id, &route("cache-2"));
    assert_eq!(refused, Some(Refusal::SlowStartBudgetSpent));
}

#[test]
fn a_local_copy_created_before_a_purge_is_refused() {
    let (mut router, id) = router(Effect::Idempotent);
    end_attempt(&mut router, &id, false);
    let created = |at| Route {
        copy_created_at: Some(at),
        ..route("cache-2")
    };
    let old = created(NOW - SECOND);
    assert_eq!(refusal(&router, NOW, &id, &old), None);
    router.record_purge(NOW, Some("object".into()), 0, Duration::ZERO);
    let refused = refusal(&router, NOW + SECOND, &id, &old);
    assert_eq!(refused, Some(Refusal::CopyTooOld));
    let new = created(NOW + Duration::from_millis(1));
    assert_eq!(refusal(&router, NOW + SECOND, &id, &new), None);
}

#[test]
fn a_local_copy_is_refused_while_discovery_is_silent_and_accepted_once_it_is_back() {
    let (mut router, id) = router(Effect::Idempotent);
    end_attempt(&mut router, &id, false);
    let copy = Route {
        copy_created_at: Some(NOW - SECOND * 10),
        ..route("cache-2")
    };
    let refused = refusal(&router, NOW, &id, &copy);
    assert_eq!(refused, Some(Refusal::PurgesUnconfirmed));
    // Servers remove purged copies by themselves.
    assert_eq!(refusal(&router, NOW, &id, &route("cache-2")), None);
    router.confirm_discovery(NOW);
    assert_eq!(refusal(&router, NOW, &id, &copy), None);
}
