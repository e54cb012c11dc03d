use super::*;

#[test]
fn draining_waits_for_arrivals_and_ends_before_a_kill() {
    let ms = Duration::from_millis;
    assert!(!Phase::Starting.is_ready() && Phase::Serving.is_ready());
    let phase = Phase::Serving.drain(ms(1000), ms(5000));
    assert!(!phase.is_ready());
    assert_eq!(phase.drain(ms(1500), ms(5000)), phase);
    assert_eq!(phase.at(ms(1700), || 0), phase, "more requests may arrive");
    assert_eq!(phase.at(ms(1800), || 1), phase, "a request is open");
    assert_eq!(phase.at(ms(1800), || 0), Phase::Ended);
    assert_eq!(phase.at(ms(4449), || 1), phase);
    assert_eq!(phase.at(ms(4450), || 1), Phase::Ended);
}

/// For any longest deadline, draining leaves time for late requests to be answered, ends at the end
/// of the arrival window if none is open, and leaves time for the final writes before a kill.
#[test]
fn draining_ends_before_a_kill_for_any_longest_deadline() {
    let ms = Duration::from_millis;
    for longest in (0..=10_000).step_by(50).map(ms) {
        let (since, kill) = (
            ms(7000),
            ms(7000) + longest.min(MAX_COUNTED_DEADLINE) + KILL_DELAY,
        );
        let phase = Phase::Serving.drain(since, longest);
        let end = |open: usize| {
            let mut now = since;
            while phase.at(now, || open) != Phase::Ended {
                now = phase.next_check(now).expect("draining ends by time alone");
            }
            now - since
        };
        assert!(
            since + end(1) + FINAL_WRITE_RESERVE <= kill,
            "{longest:?}: with an open request it ends after {:?}",
            end(1)
        );
        assert!(
            end(0) <= end(1) && end(0) <= ARRIVAL_WINDOW,
            "{longest:?}: without open requests it ends after {:?}",
            end(0)
        );
        assert!(
            end(1) >= longest.min(MAX_COUNTED_DEADLINE) + ms(450),
            "{longest:?}: too little time for late requests"
        );
    }
}
