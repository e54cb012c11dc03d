use super::*;

#[test]
fn the_most_recent_ids_are_remembered() {
    let mut executed = ExecutedIds::default();
    let id = |number: usize| Id::from(number.to_string().as_str());
    for number in 0..MAX_IDS + 1 {
        executed.record(&id(number));
        executed.record(&id(number));
    }
    assert!(!executed.contains(&id(0)));
    assert!(executed.contains(&id(1)) && executed.contains(&id(MAX_IDS)));
    assert_eq!(executed.order.len(), MAX_IDS);
}
