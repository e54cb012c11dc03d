use super::*;

const NOW: Duration = Duration::from_secs(1000);
const SECOND: Duration = Duration::from_secs(1);

fn arrival(object: &str) -> IncomingRequest {
    IncomingRequest {
        object: object.into(),
        kb: 20.0,
        ..IncomingRequest::default()
    }
}

#[test]
fn a_copy_is_kept_from_the_second_access_on() {
    let mut history = AccessHistory::default();
    assert_eq!(history.record_access(NOW, &arrival("x"), None, false), 0);
    assert_eq!(
        history.record_access(NOW, &arrival("x"), None, false),
        DEFAULT_PRIORITY
    );
}

#[test]
fn a_first_access_is_admitted_when_other_routers_share_the_part() {
    let mut history = AccessHistory::default();
    assert_eq!(history.record_access(NOW, &arrival("x"), None, true), 1);
}

#[test]
fn a_retry_does_not_count_as_a_second_access() {
    let mut history = AccessHistory::default();
    history.record_access(NOW, &arrival("x"), None, false);
    let repeated = IncomingRequest {
        is_retry: true,
        ..arrival("x")
    };
    assert_eq!(history.record_access(NOW, &repeated, None, false), 0);
    history
        .part_mut(&arrival("x"))
        .expect("known")
        .is_unanswered = true;
    assert_eq!(history.record_access(NOW, &arrival("x"), None, false), 0);
    assert_eq!(
        history.record_access(NOW, &arrival("x"), None, false),
        DEFAULT_PRIORITY
    );
}

#[test]
fn copies_that_expire_before_the_next_access_are_not_admitted_and_kept_ones_drop_in_priority() {
    let mut history = AccessHistory::default();
    let mut access = |object, at| history.record_access(at, &arrival(object), Some(SECOND), false);
    access("x", NOW);
    assert_eq!(access("x", NOW + SECOND), 0);
    access("y", NOW);
    assert_eq!(access("y", NOW + SECOND / 2), DEFAULT_PRIORITY);
    assert_eq!(access("y", NOW + SECOND * 2), 1);
}

#[test]
fn a_holder_reported_by_another_router_counts_as_an_access() {
    let mut history = AccessHistory::default();
    let part = part_key(&arrival("x"));
    history.record_holder(NOW, part, "cache-1".into());
    assert_eq!(history.holder(part), Some("cache-1".into()));
    assert_eq!(
        history.record_access(NOW, &arrival("x"), None, false),
        DEFAULT_PRIORITY
    );
}

/// Guards against a router that is killed for its memory: the access history had the same number of
/// parts whatever the limit of memory.
#[test]
fn the_access_history_is_bounded_by_the_memory_for_it() {
    let mut history = AccessHistory::within(100 * HISTORY_PART_BYTES);
    for number in 0..1000 {
        history.record_access(NOW, &arrival(&number.to_string()), None, false);
    }
    assert_eq!(history.parts.len(), 100);
    let unlimited = AccessHistory::within(usize::MAX);
    assert_eq!(unlimited.parts.cap(), MAX_HISTORY_PARTS);
}
