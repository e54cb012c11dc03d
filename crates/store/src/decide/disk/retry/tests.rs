use super::*;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn the_backoff_doubles_up_to_the_maximum_and_resets_after_a_success() {
    let mut retry = Retry::new((SECOND, 5 * SECOND));
    let mut now = 100 * SECOND;
    assert!(retry.is_due(now), "nothing has failed");
    for delay in [1, 2, 4, 5, 5] {
        retry.failed();
        assert!(!retry.is_due(now));
        assert_eq!(retry.due(), Some(now + delay * SECOND));
        assert!(!retry.is_due(now + delay * SECOND - Duration::from_millis(1)));
        now += delay * SECOND;
        assert!(retry.is_due(now));
    }
    retry.succeeded();
    assert!(retry.is_due(now));
    retry.failed();
    assert!(!retry.is_due(now) && retry.is_due(now + SECOND));
}
