use super::*;
use proptest::prelude::*;

fn ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1e3)
}

#[test]
fn a_value_comes_back_within_the_stated_error() {
    for n in 0..2000 {
        let span = ms(0.05 * 1.006f64.powi(n));
        if span < Duration::from_secs(10) {
            let back = value(bucket(span) as f64).as_secs_f64();
            let error = (back / span.as_secs_f64() - 1.0).abs();
            assert!(
                error <= ALPHA + 1e-3 || bucket(span) == 0,
                "{span:?} as {back}: {error}"
            );
        }
    }
}

#[test]
fn what_is_old_fades_by_half_a_second_and_no_length_of_time_breaks_it() {
    let mut sketch = Sketch::default();
    for n in 0..100_000u64 {
        sketch.came(Duration::from_millis(n * 100), ms(5.0));
    }
    let end = Duration::from_millis(99_999 * 100);
    let usual = sketch.count(end);
    assert!((9.5..11.5).contains(&usual), "{usual}");
    assert!((sketch.count(end + HALF_LIFE) / usual - 0.5).abs() < 1e-9);
    (0..50).for_each(|n| sketch.came(end + Duration::from_millis(n * 100), ms(25.0)));
    let below = sketch
        .share(end + Duration::from_secs(5))
        .expect("seen")
        .below();
    assert!(below[bucket(ms(10.0))] < 0.08, "five seconds after a step");
}

#[test]
fn a_silent_edge_does_not_look_fast_by_its_survivors() {
    let mut sketch = Sketch::default();
    (0..40).for_each(|n| sketch.came(Duration::from_millis(n), ms(5.0)));
    (0..60).for_each(|n| sketch.lost(Duration::from_millis(40 + n)));
    let share = sketch.share(Duration::from_millis(100)).expect("seen");
    assert!((share.lost - 0.6).abs() < 0.02);
    assert!(
        share.below().iter().all(|below| *below < 0.42),
        "no half of them came back at all"
    );
    let mut none = Sketch::default();
    (0..9).for_each(|_| none.lost(Duration::ZERO));
    let told = none.share(Duration::ZERO).expect("seen").encode();
    assert_eq!(Share::decode(&told).expect("own bytes").lost, 1.0);
}

/// Largest error of a share of samples, from heights of 15 steps, where a height ends.
const STEP_ERROR: f64 = 0.20;

/// Compares what is told with what was seen, at the end of each height that holds a sample. A wide height
/// covers two buckets and does not say in which of them its samples lie: between its ends, what is told lies
/// between the shares at both.
fn assert_told_as_seen(spans: &[f64], scale: f64, told: &Share) {
    let below = told.below();
    let seen_below = |end: usize| {
        let count = spans
            .iter()
            .filter(|span| bucket(ms(**span * scale)) <= end)
            .count();
        count as f64 / spans.len() as f64
    };
    let buckets_of_height = 1 + usize::from(told.wide);
    for span in spans {
        let at = bucket(ms(span * scale));
        let first = at - at.saturating_sub(usize::from(told.base)) % buckets_of_height;
        let last = (first + buckets_of_height - 1).min(BUCKETS - 1);
        let error = (below[last] - seen_below(last)).abs();
        assert!(
            error <= STEP_ERROR,
            "{span}: {} told, {} seen",
            below[last],
            seen_below(last)
        );
        let before = first.checked_sub(1).map_or(0.0, seen_below);
        let between = before - STEP_ERROR..=seen_below(last) + STEP_ERROR;
        assert!(
            between.contains(&below[at]),
            "{span}: {} told, {between:?} seen",
            below[at]
        );
    }
}

/// Three of four samples in the first half of a wide height: half of them are told as of its second half.
#[test]
fn a_wide_height_tells_its_samples_as_spread_over_both_of_its_buckets() {
    let (spans, scale) = ([7.058_411, 6.664_706, 7.266_600, 1.0], 33.278_082);
    let mut sketch = Sketch::default();
    spans
        .iter()
        .for_each(|span| sketch.came(Duration::ZERO, ms(span * scale)));
    let share = sketch.share(Duration::ZERO).expect("seen");
    assert!(share.wide);
    assert_told_as_seen(&spans, scale, &share);
}

proptest! {
    #[test]
    fn what_is_told_says_what_was_seen(
        spans in prop::collection::vec(1.0f64..9.0, 4..60), scale in 0.1f64..800.0,
    ) {
        let mut sketch = Sketch::default();
        spans.iter().for_each(|span| sketch.came(Duration::ZERO, ms(span * scale)));
        let share = sketch.share(Duration::ZERO).expect("seen");
        let told = Share::decode(&share.encode()).expect("own bytes");
        prop_assert_eq!(told.heights, share.heights);
        assert_told_as_seen(&spans, scale, &told);
    }

    #[test]
    fn any_bytes_are_a_share_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..14)) {
        if let Some(share) = Share::decode(&bytes) {
            let below = share.below();
            prop_assert!(below.is_sorted() && below.iter().all(|b| (0.0..=1.0 + 1e-9).contains(b)));
            prop_assert_eq!(&share.encode()[..], &bytes[..]);
        }
    }
}
