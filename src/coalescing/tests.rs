use super::*;

#[test]
fn waiters_resume_only_when_the_leader_completes() {
    let (leader, other, waiter): (Id, Id, Id) = ("1".into(), "2".into(), "3".into());
    let mut coalescing = Coalescing::default();
    assert!(coalescing.wait(7, &waiter).is_none());
    assert!(!coalescing.is_filling(7), "a waiter does not start a fill");
    coalescing.lead(7, &leader);
    coalescing.lead(7, &other);
    assert!(coalescing.wait(7, &waiter).is_some());
    assert_eq!(coalescing.complete(7, &other).waiters, []);
    assert_eq!(coalescing.complete(8, &leader).waiters, []);
    let completed = coalescing.complete(7, &leader);
    assert_eq!(completed.waiters, [waiter]);
    assert!(completed.is_shared);
    assert!(!coalescing.is_filling(7));
}

#[test]
fn a_waiter_that_leaves_is_not_kept_but_the_part_was_shared() {
    let (leader, stays, leaves): (Id, Id, Id) = ("1".into(), "2".into(), "3".into());
    let mut coalescing = Coalescing::default();
    coalescing.lead(7, &leader);
    let left = coalescing.wait(7, &leaves).expect("a fill");
    coalescing.leave(left);
    assert_eq!(coalescing.waiter_count(7), 0);
    let completed = coalescing.complete(7, &leader);
    assert_eq!(completed.waiters, []);
    assert!(completed.is_shared);
    // Its place is that of another request in the next fill, also by the same leader.
    coalescing.lead(7, &leader);
    assert!(coalescing.wait(7, &stays).is_some());
    coalescing.leave(left);
    assert_eq!(coalescing.complete(7, &leader).waiters, [stays]);
    coalescing.lead(7, &leader);
    assert!(!coalescing.complete(7, &leader).is_shared);
}
