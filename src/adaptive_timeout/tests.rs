use super::*;

const SENDING_TIME: Duration = Duration::from_millis(100);
const USUAL: Duration = Duration::from_millis(200);

#[test]
fn the_timeout_grows_with_attempts_given_up_as_far_as_its_bound() {
    let mut timeout = AdaptiveTimeout::default();
    assert_eq!(timeout.timeout(SENDING_TIME), USUAL.mul_f64(LEAST_MULTIPLE));
    timeout.lengthen();
    assert!(timeout.timeout(SENDING_TIME) > USUAL.mul_f64(LEAST_MULTIPLE));
    (0..1000).for_each(|_| timeout.lengthen());
    assert_eq!(
        timeout.timeout(SENDING_TIME),
        USUAL.mul_f64(GREATEST_MULTIPLE)
    );
}

#[test]
fn the_timeout_falls_back_with_answers() {
    let mut timeout = AdaptiveTimeout::default();
    timeout.lengthen();
    (0..1000).for_each(|_| timeout.shorten());
    assert_eq!(timeout.timeout(SENDING_TIME), USUAL.mul_f64(LEAST_MULTIPLE));
}
