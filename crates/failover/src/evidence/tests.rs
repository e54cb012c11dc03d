use super::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_failure_is_detected_quickly_and_recovery_takes_longer() {
    let (mut outcomes, mut health) = (DecayingCounts::default(), Health::default());
    let mut detected_at = None;
    for n in 0..200 {
        let now = ms(n * 10);
        outcomes.record(now, n < 100, 1.0);
        let (good, bad) = outcomes.counts_at(now);
        if health.update(now, good, bad) {
            detected_at = detected_at.or(Some(now));
        }
    }
    let detected_at = detected_at.expect("a detected failure");
    assert!(
        detected_at > ms(1000) && detected_at < ms(1600),
        "{detected_at:?}"
    );
    let mut recovered_at = None;
    for n in 200..600 {
        let now = ms(n * 10);
        outcomes.record(now, true, 1.0);
        let (good, bad) = outcomes.counts_at(now);
        if health.update(now, good, bad) {
            recovered_at = Some(now);
        }
    }
    assert!(recovered_at.expect("a recovery") >= detected_at + MIN_HOLD);
}

#[test]
fn a_third_of_failures_or_a_slow_trickle_are_no_zone_failure() {
    let (mut outcomes, mut health) = (DecayingCounts::default(), Health::default());
    for n in 0..400 {
        let now = ms(n * 10);
        outcomes.record(now, n % 3 != 0, 1.0);
        let (good, bad) = outcomes.counts_at(now);
        assert!(
            !health.update(now, good, bad),
            "a third fails: outlier detection of single caches is enough"
        );
    }
    let (mut outcomes, mut health) = (DecayingCounts::default(), Health::default());
    for n in 0..10 {
        outcomes.record(ms(n * 2000), false, 1.0);
        let (good, bad) = outcomes.counts_at(ms(n * 2000));
        assert!(
            !health.update(ms(n * 2000), good, bad),
            "one failure in two seconds at a single router"
        );
    }
}

#[test]
fn a_zone_that_flaps_each_second_is_not_returned_to_each_second() {
    let (mut outcomes, mut health) = (DecayingCounts::default(), Health::default());
    let mut changes = 0;
    for n in 0..2000u64 {
        let now = ms(n * 10);
        outcomes.record(now, (n / 100).is_multiple_of(2), 1.0);
        let (good, bad) = outcomes.counts_at(now);
        changes += u32::from(health.update(now, good, bad));
    }
    assert!(
        health.flaps() <= 5 && changes <= 9,
        "{} flaps, {changes} changes in 20 s",
        health.flaps()
    );
}
