use super::*;

#[test]
#[allow(clippy::disallowed_methods)]
fn timestamps_before_the_start_keep_their_distance() {
    let clock = Clock::start();
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let minute_ago = clock.at_unix_ms(unix.as_millis() as u64 - 60_000);
    let ago = clock.now() - minute_ago;
    assert!(
        ago >= Duration::from_secs(59) && ago <= Duration::from_secs(62),
        "{ago:?}"
    );
    assert!(clock.instant(clock.now()) <= Instant::now());
    assert!(clock.instant(Duration::MAX) > Instant::now());
}
