use super::*;

const NOW: Duration = Duration::from_secs(1000);
const SECOND: Duration = Duration::from_secs(1);

/// Completed purges are removed when the next one is recorded; for an object the latest purge
/// counts.
#[test]
fn purges_are_removed_once_complete_and_not_before() {
    let mut log = PurgeLog::new(NOW, SECOND * 6);
    let (x, y): (Id, Id) = ("x".into(), "y".into());
    let scope = PurgeScope::Object(x.clone());
    log.record(NOW, NOW, Some(x.clone()), 0);
    log.record(NOW + SECOND * 4, NOW + SECOND * 3, Some(x.clone()), 0);
    log.record(NOW + SECOND * 4, NOW + SECOND * 2, Some(x), 0);
    log.record(NOW + SECOND * 8, NOW + SECOND * 8, Some(y), 0);
    assert_eq!(log.purged_at.get(&scope), Some(&(NOW + SECOND * 3)));
    assert_eq!(log.by_age.len(), 2);
    log.record(NOW + SECOND * 9, NOW + SECOND * 9, None, 7);
    assert_eq!(log.purged_at.get(&scope), None);
    assert_eq!(log.purged_at.len(), 2);
    assert_eq!(log.by_age.len(), 2);
}

#[test]
fn the_copy_age_is_limited_from_a_purge_until_its_completion() {
    let mut log = PurgeLog::new(NOW, SECOND * 6);
    let arrival = IncomingRequest {
        object: "x".into(),
        group: 7,
        ..IncomingRequest::default()
    };
    assert_eq!(log.max_age(NOW, &arrival), None);
    log.record(NOW, NOW, None, 7);
    assert_eq!(log.max_age(NOW, &arrival), Some(Duration::from_micros(1)));
    log.record(NOW + SECOND, NOW + SECOND, Some("x".into()), 0);
    assert_eq!(log.max_age(NOW + SECOND * 4, &arrival), Some(SECOND * 3));
    assert_eq!(log.max_age(NOW + SECOND * 7, &arrival), None);
}

/// Without reports of discovery a purge may have been missed: a local copy of that time could be
/// the purged one.
#[test]
fn local_copies_are_used_for_two_seconds_after_the_last_report_of_discovery() {
    let mut log = PurgeLog::new(NOW, SECOND * 6);
    let allows = |log: &PurgeLog, now, created_at| log.allows_local_copy(now, created_at);
    let before = NOW - SECOND * 60;
    let almost = SECOND * 2 - Duration::from_micros(1);
    assert!(allows(&log, NOW + almost, before));
    assert!(!allows(&log, NOW + SECOND * 2, before));
    log.confirm_complete(NOW + SECOND);
    // A report that was read late does not take back a later one.
    log.confirm_complete(NOW);
    assert!(allows(&log, NOW + SECOND + almost, before));
    assert!(!allows(&log, NOW + SECOND * 3, before));
    assert!(allows(&log, NOW + SECOND * 3, NOW + SECOND * 2));
    assert!(!allows(&log, NOW + SECOND * 4, NOW + SECOND * 2));
}
