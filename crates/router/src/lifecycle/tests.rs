use super::*;

#[test]
fn draining_waits_for_what_comes_and_ends_before_a_kill() {
    let ms = Duration::from_millis;
    assert!(!Phase::Starting.is_ready() && Phase::Serving.is_ready());
    let phase = Phase::Serving.asked_to_stop(ms(1000), ms(5000));
    assert!(!phase.is_ready());
    assert_eq!(phase.asked_to_stop(ms(1500), ms(5000)), phase);
    assert_eq!(phase.at(ms(1700), || 0), phase, "more may come");
    assert_eq!(phase.at(ms(1800), || 1), phase, "one is open");
    assert_eq!(phase.at(ms(1800), || 0), Phase::Ended);
    assert_eq!(phase.at(ms(4449), || 1), phase);
    assert_eq!(phase.at(ms(4450), || 1), Phase::Ended);
}

/// However short the deadlines: it takes what still comes for as long as it may come, whatever has
/// not been answered by then has some time left for it, and all is over before a kill.
#[test]
fn draining_ends_before_a_kill_for_any_longest_deadline() {
    let ms = Duration::from_millis;
    for longest in (0..=10_000).step_by(50).map(ms) {
        let (since, kill) = (
            ms(7000),
            ms(7000) + longest.min(MAX_DEADLINE) + KILL_AFTER_DEADLINE,
        );
        let phase = Phase::Serving.asked_to_stop(since, longest);
        let end = |open: usize| {
            let mut now = since;
            while phase.at(now, || open) != Phase::Ended {
                now = phase.next_look(now).expect("it ends by time alone");
            }
            now - since
        };
        assert!(
            since + end(1) + FINAL_WRITES <= kill,
            "{longest:?}: something open, ends after {:?}",
            end(1)
        );
        assert!(
            end(0) <= end(1) && end(0) <= ARRIVALS_END_AFTER,
            "{longest:?}: nothing open, {:?}",
            end(0)
        );
        assert!(
            end(1) >= longest.min(MAX_DEADLINE) + ms(450),
            "{longest:?}: what came late gets little time"
        );
    }
}
