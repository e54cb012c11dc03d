use super::*;

const SENT_AT: Duration = Duration::from_secs(1000);
const WINDOW: Duration = Duration::from_secs(10);

fn class(effect: Effect, group: Group) -> Class {
    Class {
        effect,
        group,
        dedup_window: WINDOW,
        ..Class::default()
    }
}

fn member(zone: usize, cohort: u64) -> Member {
    Member {
        zone,
        cohort,
        ..Member::default()
    }
}

fn is_safe(class: &Class, next: Option<&Member>, latest: Duration) -> bool {
    let execution = PossibleExecution {
        sent_at: SENT_AT,
        server: "first".into(),
    };
    let target = next.map_or(RetryTarget::Client, RetryTarget::Server);
    is_safe_to_retry(class, &execution, Some(&member(1, 1)), &target, latest)
}

#[test]
fn only_idempotency_decides_where_requests_are_not_deduplicated() {
    let idempotent = class(Effect::Idempotent, Group::All);
    let non_idempotent = class(Effect::NonIdempotent, Group::All);
    for next in [None, Some(&member(1, 1))] {
        assert!(is_safe(&idempotent, next, SENT_AT + WINDOW * 2));
        assert!(!is_safe(&non_idempotent, next, SENT_AT));
    }
}

#[test]
fn a_deduplicated_request_is_retried_only_within_its_window() {
    let class = class(Effect::Deduplicated, Group::All);
    let before_end = SENT_AT + WINDOW - Duration::from_nanos(1);
    assert!(is_safe(&class, Some(&member(2, 2)), before_end));
    assert!(!is_safe(&class, Some(&member(2, 2)), SENT_AT + WINDOW));
}

#[test]
fn a_client_is_told_that_a_retry_is_safe_only_within_the_window() {
    let class = class(Effect::Deduplicated, Group::All);
    let before_end = SENT_AT + WINDOW - Duration::from_nanos(1);
    assert!(is_safe(&class, None, before_end));
    assert!(!is_safe(&class, None, SENT_AT + WINDOW));
}

#[test]
fn a_deduplicated_request_is_retried_only_within_its_group() {
    let by_zone = class(Effect::Deduplicated, Group::Zone);
    assert!(is_safe(&by_zone, Some(&member(1, 2)), SENT_AT));
    assert!(!is_safe(&by_zone, Some(&member(2, 1)), SENT_AT));
    assert!(!is_safe(&by_zone, None, SENT_AT));
    assert!(!is_safe(&by_zone, Some(&member(1, 2)), SENT_AT + WINDOW));
    let by_cohort = class(Effect::Deduplicated, Group::Cohort);
    assert!(is_safe(&by_cohort, Some(&member(2, 1)), SENT_AT));
    assert!(!is_safe(&by_cohort, Some(&member(1, 2)), SENT_AT));
    assert!(!is_safe(&by_cohort, Some(&member(2, 1)), SENT_AT + WINDOW));
    assert!(!is_safe(&by_cohort, None, SENT_AT));
}

#[test]
fn an_unlisted_first_server_shares_no_group() {
    let by_zone = class(Effect::Deduplicated, Group::Zone);
    let execution = PossibleExecution {
        sent_at: SENT_AT,
        server: "first".into(),
    };
    let next = member(1, 1);
    let target = RetryTarget::Server(&next);
    assert!(!is_safe_to_retry(
        &by_zone, &execution, None, &target, SENT_AT
    ));
}
