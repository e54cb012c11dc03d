use super::*;

#[test]
fn waiters_resume_only_when_the_leader_completes() {
    let (leader, other, waiter): (Id, Id, Id) = ("1".into(), "2".into(), "3".into());
    let mut coalescing = Coalescing::default();
    coalescing.wait(7, &waiter);
    assert!(!coalescing.is_filling(7), "a waiter does not start a fill");
    coalescing.lead(7, &leader);
    coalescing.lead(7, &other);
    coalescing.wait(7, &waiter);
    assert_eq!(coalescing.complete(7, &other), []);
    assert_eq!(coalescing.complete(8, &leader), []);
    assert_eq!(coalescing.complete(7, &leader), [waiter]);
    assert!(!coalescing.is_filling(7));
}
