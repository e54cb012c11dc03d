use super::*;

#[test]
fn draining_waits_for_what_comes_and_ends_before_a_kill() {
    let ms = Duration::from_millis;
    assert!(!Phase::Starting.ready() && Phase::Serving.ready());
    let phase = Phase::Serving.asked_to_stop(ms(1000), ms(5000));
    assert!(!phase.ready());
    assert_eq!(phase.asked_to_stop(ms(1500), ms(5000)), phase);
    assert_eq!(phase.at(ms(1700), || 0), phase, "more may come");
    assert_eq!(phase.at(ms(1800), || 1), phase, "one is open");
    assert_eq!(phase.at(ms(1800), || 0), Phase::Ended);
    assert_eq!(phase.at(ms(4449), || 1), phase);
    assert_eq!(phase.at(ms(4450), || 1), Phase::Ended);
}
