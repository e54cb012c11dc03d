use super::*;

/// The pauses of so many failures in a row, each tried as soon as it may be.
fn pauses(backoff: &mut Backoff, failures: usize) -> Vec<Duration> {
    let mut now = backoff.not_before.unwrap_or_else(Instant::now);
    let pause = |_| {
        backoff.failed(now);
        let next = backoff.not_before.unwrap();
        assert!(!backoff.allows(next - Duration::from_nanos(1)) && backoff.allows(next));
        next - std::mem::replace(&mut now, next)
    };
    (0..failures).map(pause).collect()
}

#[test]
fn pauses_grow_to_the_longest_and_begin_anew_after_a_success() {
    let mut backoff = Backoff::default();
    let grown = pauses(&mut backoff, 8);
    for (n, pause) in grown.iter().enumerate() {
        let longest = (INITIAL_DELAY * (1 << n)).min(MAX_DELAY);
        assert!(
            *pause > longest / 2 - Duration::from_nanos(1) && *pause <= longest,
            "{n}: {pause:?}"
        );
    }
    backoff.succeeded();
    assert!(backoff.allows(Instant::now()));
    assert!(pauses(&mut backoff, 1)[0] <= INITIAL_DELAY);
}

#[test]
fn failures_of_one_moment_count_once() {
    let (mut backoff, now) = (Backoff::default(), Instant::now());
    backoff.failed(now);
    let first = backoff.not_before;
    (0..9).for_each(|_| backoff.failed(now));
    assert_eq!(
        (backoff.not_before, backoff.next_delay),
        (first, INITIAL_DELAY * 2)
    );
}

#[test]
fn pauses_are_spread() {
    let mut tenths = [0; 10];
    for seed in 0..300 {
        let mut backoff = Backoff {
            random: fastrand::Rng::with_seed(seed),
            ..Backoff::default()
        };
        let pause = pauses(&mut backoff, 1)[0];
        tenths[((pause - INITIAL_DELAY / 2).as_secs_f64() / (INITIAL_DELAY / 2).as_secs_f64()
            * 9.999) as usize] += 1;
    }
    assert!(tenths.iter().all(|n| (12..=60).contains(n)), "{tenths:?}");
}
