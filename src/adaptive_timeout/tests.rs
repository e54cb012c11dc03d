use super::*;

const SENDING_TIME: Duration = Duration::from_millis(100);
const EXPECTED_TIME: Duration = Duration::from_millis(200);

#[test]
fn timeout_grows_with_given_up_attempts_up_to_its_maximum() {
    let mut timeout = AdaptiveTimeout::default();
    assert_eq!(
        timeout.timeout(SENDING_TIME),
        EXPECTED_TIME.mul_f64(MIN_MULTIPLE)
    );
    timeout.lengthen();
    assert!(timeout.timeout(SENDING_TIME) > EXPECTED_TIME.mul_f64(MIN_MULTIPLE));
    (0..1000).for_each(|_| timeout.lengthen());
    assert_eq!(
        timeout.timeout(SENDING_TIME),
        EXPECTED_TIME.mul_f64(MAX_MULTIPLE)
    );
}

#[test]
fn timeout_decays_to_its_minimum_with_answers() {
    let mut timeout = AdaptiveTimeout::default();
    timeout.lengthen();
    (0..1000).for_each(|_| timeout.shorten());
    assert_eq!(
        timeout.timeout(SENDING_TIME),
        EXPECTED_TIME.mul_f64(MIN_MULTIPLE)
    );
}
