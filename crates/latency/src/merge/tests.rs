use super::*;
use crate::sketch::Sketch;
use proptest::prelude::*;

fn report(spans_ms: &[f64], age_ms: u64) -> (SketchSummary, Duration) {
    let mut sketch = Sketch::default();
    spans_ms
        .iter()
        .for_each(|ms| sketch.record_round_trip(Duration::ZERO, Duration::from_secs_f64(ms / 1e3)));
    (
        sketch.summary(Duration::ZERO).expect("a sample"),
        Duration::from_millis(age_ms),
    )
}

fn ms(found: Option<Duration>) -> f64 {
    found.map_or(f64::INFINITY, |d| d.as_secs_f64() * 1e3)
}

#[test]
fn one_liar_among_several_reporters_moves_no_quantile_past_the_honest_ones() {
    let honest: Vec<_> = (0..4)
        .map(|n| report(&[9.0, 10.0, 11.0, 10.0 + f64::from(n) * 0.2], 0))
        .collect();
    let expected = merge(&honest).expect("a report");
    for false_report in [
        report(&[0.1; 200], 0),
        report(&[9000.0; 200], 0),
        report(&[1.0, 3000.0], 0),
    ] {
        for index in 0..=honest.len() {
            let mut all = honest.clone();
            all.insert(index, false_report);
            let merged = merge(&all).expect("a report");
            assert!(
                (ms(merged.p50) / ms(expected.p50) - 1.0).abs() < 0.06,
                "{merged:?}, without the liar {expected:?}"
            );
            assert!(
                (9.0..12.5).contains(&ms(merged.p90)),
                "{merged:?}, without the liar {expected:?}"
            );
        }
    }
    // Of two reporters, one with false values cannot be outvoted.
    assert!(
        ms(merge(&[honest[0], report(&[9000.0; 9], 0)])
            .expect("a report")
            .p90)
            > 1000.0
    );
}

#[test]
fn a_path_that_loses_most_probes_counts_as_slower_than_any_that_answers() {
    let mut sketch = Sketch::default();
    (0..4).for_each(|_| sketch.record_round_trip(Duration::ZERO, Duration::from_millis(2)));
    (0..6).for_each(|_| sketch.record_loss(Duration::ZERO));
    let silent = merge(&[(
        sketch.summary(Duration::ZERO).expect("a sample"),
        Duration::ZERO,
    )])
    .expect("a report");
    let slow = merge(&[report(&[400.0; 8], 0)]).expect("a report");
    assert_eq!(silent.p50, None);
    assert!(silent.bounds().0 > slow.bounds().1);
}

#[test]
fn doubt_widens_with_age_and_shrinks_with_samples() {
    let doubt_of = |n: usize, age| {
        merge(&[report(&vec![10.0; n], age)])
            .expect("a report")
            .uncertainty
    };
    assert!(doubt_of(2, 0) > doubt_of(20, 0) && doubt_of(20, 3000) > doubt_of(20, 0) + 0.14);
    assert_eq!(merge(&[]), None);
}

proptest! {
    #[test]
    fn the_order_of_reports_does_not_matter_and_quantiles_ascend(
        all in prop::collection::vec((prop::collection::vec(0.1f64..900.0, 1..20), 0u64..3000), 1..8),
        seed in any::<u64>(),
    ) {
        let mut reports: Vec<_> = all.iter().map(|(spans, age)| report(spans, *age)).collect();
        let first = merge(&reports).expect("a report");
        fastrand::Rng::with_seed(seed).shuffle(&mut reports);
        prop_assert_eq!(merge(&reports).expect("a report"), first);
        prop_assert!(first.p50 <= first.p90 || first.p90.is_none());
    }
}
