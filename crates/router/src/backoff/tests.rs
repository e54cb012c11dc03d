use super::*;

/// The delays after consecutive failures, each connect being attempted as soon as it is allowed.
fn delays(backoff: &mut Backoff, failures: usize) -> Vec<Duration> {
    let mut now = backoff.not_before.unwrap_or_else(Instant::now);
    let delay = |_| {
        backoff.record_failure(now);
        let next = backoff.not_before.unwrap();
        assert!(!backoff.allows(next - Duration::from_nanos(1)) && backoff.allows(next));
        next - std::mem::replace(&mut now, next)
    };
    (0..failures).map(delay).collect()
}

#[test]
fn delays_grow_to_the_maximum_and_restart_after_a_success() {
    let mut backoff = Backoff::default();
    let growing = delays(&mut backoff, 8);
    for (n, delay) in growing.iter().enumerate() {
        let longest = (INITIAL_DELAY * (1 << n)).min(MAX_DELAY);
        assert!(
            *delay > longest / 2 - Duration::from_nanos(1) && *delay <= longest,
            "{n}: {delay:?}"
        );
    }
    backoff.record_success();
    assert!(backoff.allows(Instant::now()));
    assert!(delays(&mut backoff, 1)[0] <= INITIAL_DELAY);
}

#[test]
fn simultaneous_failures_count_once() {
    let (mut backoff, now) = (Backoff::default(), Instant::now());
    backoff.record_failure(now);
    let first = backoff.not_before;
    (0..9).for_each(|_| backoff.record_failure(now));
    assert_eq!(
        (backoff.not_before, backoff.next_delay),
        (first, INITIAL_DELAY * 2)
    );
}

#[test]
fn delays_are_spread_evenly() {
    let mut tenths = [0; 10];
    for seed in 0..300 {
        let mut backoff = Backoff {
            random: fastrand::Rng::with_seed(seed),
            ..Backoff::default()
        };
        let delay = delays(&mut backoff, 1)[0];
        tenths[((delay - INITIAL_DELAY / 2).as_secs_f64() / (INITIAL_DELAY / 2).as_secs_f64()
            * 9.999) as usize] += 1;
    }
    assert!(tenths.iter().all(|n| (12..=60).contains(n)), "{tenths:?}");
}
