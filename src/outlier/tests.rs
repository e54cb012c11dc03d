use super::*;

const NOW: Duration = Duration::from_secs(1000);

fn ejected() -> OutlierDetector {
    let mut detector = OutlierDetector::default();
    detector.record_outcome(NOW, true, 1.0);
    detector.record_outcome(NOW, true, 1.0);
    detector
}

#[test]
fn two_failures_in_a_row_eject_and_one_does_not() {
    let mut detector = OutlierDetector::default();
    detector.record_outcome(NOW, true, 1.0);
    assert!(!detector.is_ejected());
    detector.record_outcome(NOW, true, 1.0);
    assert!(detector.is_ejected());
    assert!(!detector.is_available(NOW));
}

#[test]
fn an_ejected_server_is_probed_once_per_interval() {
    let mut detector = ejected();
    let due = NOW + INITIAL_PROBE_INTERVAL;
    assert!(!detector.is_available(due - Duration::from_nanos(1)));
    assert!(detector.is_available(due));
    detector.record_sent(due);
    assert!(!detector.is_available(due));
    assert!(detector.is_available(due + INITIAL_PROBE_INTERVAL));
}

#[test]
fn failed_probes_double_the_interval_up_to_a_bound() {
    let mut detector = ejected();
    for _ in 0..10 {
        detector.record_outcome(NOW, true, 1.0);
    }
    assert!(!detector.is_available(NOW + MAX_PROBE_INTERVAL - Duration::from_nanos(1)));
    assert!(detector.is_available(NOW + MAX_PROBE_INTERVAL));
}

#[test]
fn successful_probes_halve_the_interval_until_the_server_has_recovered() {
    let mut detector = ejected();
    // The interval falls to 500, 250, 125 and 62.5 ms; the next value is below the recovery bound.
    for _ in 0..4 {
        detector.record_outcome(NOW, false, 1.0);
        assert!(detector.is_ejected());
    }
    detector.record_outcome(NOW, false, 1.0);
    assert!(!detector.is_ejected());
    assert_eq!(detector.log_odds(), 0.0);
}
