use super::*;
use proptest::prelude::*;

fn ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1e3)
}

#[test]
fn a_value_is_restored_within_the_stated_error() {
    for n in 0..2000 {
        let span = ms(0.05 * 1.006f64.powi(n));
        if span < Duration::from_secs(10) {
            let restored = bucket_value(bucket_index(span) as f64).as_secs_f64();
            let error = (restored / span.as_secs_f64() - 1.0).abs();
            assert!(
                error <= RELATIVE_ERROR + 1e-3 || bucket_index(span) == 0,
                "{span:?} restored as {restored} s: error {error}"
            );
        }
    }
}

#[test]
fn samples_decay_by_their_half_life_over_any_length_of_time() {
    let mut sketch = Sketch::default();
    for n in 0..100_000u64 {
        sketch.record_round_trip(Duration::from_millis(n * 100), ms(5.0));
    }
    let end = Duration::from_millis(99_999 * 100);
    let steady_count = sketch.count(end);
    assert!((9.5..11.5).contains(&steady_count), "{steady_count}");
    assert!((sketch.count(end + HALF_LIFE) / steady_count - 0.5).abs() < 1e-9);
    (0..50).for_each(|n| sketch.record_round_trip(end + Duration::from_millis(n * 100), ms(25.0)));
    let below = sketch
        .summary(end + Duration::from_secs(5))
        .expect("a sample")
        .cumulative();
    assert!(
        below[bucket_index(ms(10.0))] < 0.08,
        "five seconds after a step change"
    );
}

#[test]
fn an_edge_with_lost_probes_does_not_look_fast_by_its_answered_ones() {
    let mut sketch = Sketch::default();
    (0..40).for_each(|n| sketch.record_round_trip(Duration::from_millis(n), ms(5.0)));
    (0..60).for_each(|n| sketch.record_loss(Duration::from_millis(40 + n)));
    let summary = sketch
        .summary(Duration::from_millis(100))
        .expect("a sample");
    assert!((summary.lost - 0.6).abs() < 0.02);
    assert!(
        summary.cumulative().iter().all(|below| *below < 0.42),
        "fewer than half were answered"
    );
    let mut all_lost = Sketch::default();
    (0..9).for_each(|_| all_lost.record_loss(Duration::ZERO));
    let summary = all_lost.summary(Duration::ZERO).expect("a sample").encode();
    assert_eq!(
        SketchSummary::decode(&summary).expect("valid bytes").lost,
        1.0
    );
}

/// Largest error of a share of samples, caused by heights of 15 steps, at the end of a height.
const QUANTIZATION_ERROR: f64 = 0.20;

/// Compares a summary with its samples, at the end of each height that holds a sample. A wide
/// height covers two buckets and does not say in which of them its samples lie: between its ends,
/// the summary lies between the shares at both.
fn assert_summary_matches_samples(spans: &[f64], scale: f64, summary: &SketchSummary) {
    let below = summary.cumulative();
    let observed_below = |end: usize| {
        let count = spans
            .iter()
            .filter(|span| bucket_index(ms(**span * scale)) <= end)
            .count();
        count as f64 / spans.len() as f64
    };
    let buckets_of_height = 1 + usize::from(summary.wide);
    for span in spans {
        let at = bucket_index(ms(span * scale));
        let first = at - at.saturating_sub(usize::from(summary.base)) % buckets_of_height;
        let last = (first + buckets_of_height - 1).min(BUCKETS - 1);
        let error = (below[last] - observed_below(last)).abs();
        assert!(
            error <= QUANTIZATION_ERROR,
            "{span}: {} in the summary, {} in the samples",
            below[last],
            observed_below(last)
        );
        let before = first.checked_sub(1).map_or(0.0, observed_below);
        let between = before - QUANTIZATION_ERROR..=observed_below(last) + QUANTIZATION_ERROR;
        assert!(
            between.contains(&below[at]),
            "{span}: {} in the summary, {between:?} in the samples",
            below[at]
        );
    }
}

/// Three of four samples lie in the first half of a wide height; the summary places half of them in
/// its second half.
#[test]
fn a_wide_height_reports_its_samples_as_spread_over_both_of_its_buckets() {
    let (spans, scale) = ([7.058_411, 6.664_706, 7.266_600, 1.0], 33.278_082);
    let mut sketch = Sketch::default();
    spans
        .iter()
        .for_each(|span| sketch.record_round_trip(Duration::ZERO, ms(span * scale)));
    let summary = sketch.summary(Duration::ZERO).expect("a sample");
    assert!(summary.wide);
    assert_summary_matches_samples(&spans, scale, &summary);
}

proptest! {
    #[test]
    fn a_decoded_summary_matches_the_samples(
        spans in prop::collection::vec(1.0f64..9.0, 4..60), scale in 0.1f64..800.0,
    ) {
        let mut sketch = Sketch::default();
        spans.iter().for_each(|span| sketch.record_round_trip(Duration::ZERO, ms(span * scale)));
        let summary = sketch.summary(Duration::ZERO).expect("a sample");
        let summary = SketchSummary::decode(&summary.encode()).expect("valid bytes");
        prop_assert_eq!(summary.heights, summary.heights);
        assert_summary_matches_samples(&spans, scale, &summary);
    }

    #[test]
    fn decoding_accepts_only_valid_summaries(bytes in prop::collection::vec(any::<u8>(), 0..14)) {
        if let Some(summary) = SketchSummary::decode(&bytes) {
            let below = summary.cumulative();
            prop_assert!(below.is_sorted() && below.iter().all(|b| (0.0..=1.0 + 1e-9).contains(b)));
            prop_assert_eq!(&summary.encode()[..], &bytes[..]);
        }
    }
}
