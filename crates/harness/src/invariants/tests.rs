use super::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const KEY: Key = (7, 0);

/// One request through a router that follows every rule.
fn sound() -> InvariantChecker {
    let mut checker = InvariantChecker::default();
    checker.request_started(1, TrackedRequest::new(3, true, KEY, ms(1000), ms(2000)));
    checker.attempt_arrived(ms(1010), 1, 5, None);
    checker.request_executed(ms(1020), 1);
    checker.request_ended(ms(1030), 1, Outcome::Served(KEY, 900));
    checker
}

#[test]
fn a_router_that_follows_the_rules_has_no_violations() {
    let mut checker = sound();
    checker.close_all(ms(9000));
    assert_eq!(
        (checker.violations, checker.open_requests()),
        (Violations::default(), 0)
    );
}

#[test]
fn late_duplicate_wrong_and_missing_answers_are_violations() {
    let mut checker = InvariantChecker::default();
    let ends = [
        (
            1,
            ms(2000) + TIMING_TOLERANCE + ms(1),
            Outcome::Served(KEY, 1),
        ),
        (2, ms(1500), Outcome::Wrong),
        (3, ms(1500), Outcome::Served((8, 0), 1)),
        (4, ms(1500), Outcome::Nothing),
    ];
    for id in 1..=5 {
        checker.request_started(id, TrackedRequest::new(0, false, KEY, ms(1000), ms(2000)));
    }
    ends.into_iter()
        .for_each(|(id, at, end)| checker.request_ended(at, id, end));
    checker.close_all(ms(9000));
    assert_eq!(
        checker.violations,
        Violations {
            lost: 5,
            ..Violations::default()
        }
    );
    let mut checker = sound();
    checker.request_ended(ms(1040), 1, Outcome::Failed);
    assert_eq!(
        checker.violations,
        Violations {
            twice: 1,
            ..Violations::default()
        }
    );
}

#[test]
fn double_execution_and_rejection_after_execution_are_violations() {
    let mut checker = sound();
    checker.request_executed(ms(1050), 1);
    assert_eq!(
        checker.violations,
        Violations {
            double_runs: 1,
            ..Violations::default()
        }
    );
    let mut checker = InvariantChecker::default();
    checker.request_started(1, TrackedRequest::new(0, true, KEY, ms(0), ms(500)));
    checker.request_executed(ms(10), 1);
    checker.request_ended(ms(20), 1, Outcome::Rejected);
    assert_eq!(
        checker.violations,
        Violations {
            double_runs: 1,
            ..Violations::default()
        }
    );
}

#[test]
fn use_of_a_draining_server_or_fill_source_is_a_violation() {
    for (server, source) in [(5, None), (4, Some(5))] {
        let mut checker = InvariantChecker::default();
        checker.request_started(1, TrackedRequest::new(3, false, KEY, ms(0), ms(9000)));
        checker.record_drain(ms(100), 3, 5);
        checker.attempt_arrived(ms(100) + DRAIN_GRACE, 1, server, source);
        assert_eq!(checker.violations.all(), 0, "within its grace period");
        checker.attempt_arrived(ms(101) + DRAIN_GRACE + TIMING_TOLERANCE, 1, server, source);
        assert_eq!(
            checker.violations,
            Violations {
                drain: 1,
                ..Violations::default()
            }
        );
        checker.record_active(3, 5);
        checker.attempt_arrived(ms(5000), 1, server, source);
        assert_eq!(checker.violations.all(), 1);
    }
}

#[test]
fn serving_a_purged_copy_is_a_violation_including_local_copies() {
    let mut checker = InvariantChecker::default();
    checker.record_purge(ms(100), 3, 7, 5000);
    checker.copy_served(ms(100) + PURGE_GRACE, 3, 7, 4999);
    checker.copy_served(ms(9000), 3, 7, 5000);
    checker.copy_served(ms(9000), 4, 7, 4999);
    assert_eq!(
        checker.violations.all(),
        0,
        "within the grace period, created later, or purge unknown to the router"
    );
    checker.copy_served(ms(9000), 3, 7, 4999);
    checker.request_started(1, TrackedRequest::new(3, false, KEY, ms(8000), ms(9000)));
    checker.request_ended(ms(8100), 1, Outcome::Served(KEY, 4999));
    assert_eq!(
        checker.violations,
        Violations {
            stale: 2,
            ..Violations::default()
        }
    );
}

#[test]
fn an_unknown_attempt_is_a_violation_and_a_stopped_router_is_excused() {
    let mut checker = InvariantChecker::default();
    assert_eq!(checker.attempt_arrived(ms(1), 99, 0, None), None);
    assert_eq!(
        checker.violations,
        Violations {
            strange: 1,
            ..Violations::default()
        }
    );
    checker.request_started(1, TrackedRequest::new(3, false, KEY, ms(0), ms(100)));
    checker.router_stopped(3);
    checker.close_all(ms(9000));
    assert_eq!(checker.violations.lost, 0);
}
