use super::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn bad_is_found_at_once_and_good_takes_a_while() {
    let (mut seen, mut health) = (Counted::default(), Health::default());
    let mut found = None;
    for n in 0..200 {
        let now = ms(n * 10);
        seen.saw(now, n < 100, 1.0);
        let (good, bad) = seen.now(now);
        if health.judge(now, good, bad) {
            found = found.or(Some(now));
        }
    }
    let found = found.expect("found");
    assert!(found > ms(1000) && found < ms(1600), "{found:?}");
    let mut back = None;
    for n in 200..600 {
        let now = ms(n * 10);
        seen.saw(now, true, 1.0);
        let (good, bad) = seen.now(now);
        if health.judge(now, good, bad) {
            back = Some(now);
        }
    }
    assert!(back.expect("back") >= found + HOLD);
}

#[test]
fn a_few_failures_and_a_slow_trickle_say_nothing() {
    let (mut seen, mut health) = (Counted::default(), Health::default());
    for n in 0..400 {
        let now = ms(n * 10);
        seen.saw(now, n % 3 != 0, 1.0);
        let (good, bad) = seen.now(now);
        assert!(
            !health.judge(now, good, bad),
            "a third fails: the caches are judged one by one"
        );
    }
    let (mut seen, mut health) = (Counted::default(), Health::default());
    for n in 0..10 {
        seen.saw(ms(n * 2000), false, 1.0);
        let (good, bad) = seen.now(ms(n * 2000));
        assert!(
            !health.judge(ms(n * 2000), good, bad),
            "one router alone, one request in two seconds"
        );
    }
}

#[test]
fn a_place_that_flaps_each_second_is_not_gone_back_to_each_second() {
    let (mut seen, mut health) = (Counted::default(), Health::default());
    let mut turns = 0;
    for n in 0..2000u64 {
        let now = ms(n * 10);
        seen.saw(now, (n / 100).is_multiple_of(2), 1.0);
        let (good, bad) = seen.now(now);
        turns += u32::from(health.judge(now, good, bad));
    }
    assert!(
        health.flaps() <= 5 && turns <= 9,
        "{} flaps, {turns} turns in 20 s",
        health.flaps()
    );
}
