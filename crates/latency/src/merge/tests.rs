use super::*;
use crate::sketch::Sketch;
use proptest::prelude::*;

fn told(spans_ms: &[f64], age_ms: u64) -> (Share, Duration) {
    let mut sketch = Sketch::default();
    spans_ms
        .iter()
        .for_each(|ms| sketch.came(Duration::ZERO, Duration::from_secs_f64(ms / 1e3)));
    (
        sketch.share(Duration::ZERO).expect("seen"),
        Duration::from_millis(age_ms),
    )
}

fn ms(found: Option<Duration>) -> f64 {
    found.map_or(f64::INFINITY, |d| d.as_secs_f64() * 1e3)
}

#[test]
fn one_liar_of_several_moves_nothing_past_what_the_honest_saw() {
    let honest: Vec<_> = (0..4)
        .map(|n| told(&[9.0, 10.0, 11.0, 10.0 + f64::from(n) * 0.2], 0))
        .collect();
    let truly = merge(&honest).expect("told");
    for lie in [
        told(&[0.1; 200], 0),
        told(&[9000.0; 200], 0),
        told(&[1.0, 3000.0], 0),
    ] {
        for place in 0..=honest.len() {
            let mut all = honest.clone();
            all.insert(place, lie);
            let bent = merge(&all).expect("told");
            assert!(
                (ms(bent.p50) / ms(truly.p50) - 1.0).abs() < 0.06,
                "{bent:?} of {truly:?}"
            );
            assert!((9.0..12.5).contains(&ms(bent.p90)), "{bent:?} of {truly:?}");
        }
    }
    // With nobody to vote it out it is believed: two tellers, one of them a liar.
    assert!(
        ms(merge(&[honest[0], told(&[9000.0; 9], 0)])
            .expect("told")
            .p90)
            > 1000.0
    );
}

#[test]
fn what_does_not_come_back_is_slower_than_all_that_does() {
    let mut sketch = Sketch::default();
    (0..4).for_each(|_| sketch.came(Duration::ZERO, Duration::from_millis(2)));
    (0..6).for_each(|_| sketch.lost(Duration::ZERO));
    let silent =
        merge(&[(sketch.share(Duration::ZERO).expect("seen"), Duration::ZERO)]).expect("told");
    let slow = merge(&[told(&[400.0; 8], 0)]).expect("told");
    assert_eq!(silent.p50, None);
    assert!(silent.bounds().0 > slow.bounds().1);
}

#[test]
fn doubt_widens_with_age_and_shrinks_with_samples() {
    let of = |n: usize, age| merge(&[told(&vec![10.0; n], age)]).expect("told").doubt;
    assert!(of(2, 0) > of(20, 0) && of(20, 3000) > of(20, 0) + 0.14);
    assert_eq!(merge(&[]), None);
}

proptest! {
    #[test]
    fn order_of_tellers_says_nothing_and_quantiles_rise(
        all in prop::collection::vec((prop::collection::vec(0.1f64..900.0, 1..20), 0u64..3000), 1..8),
        turn in any::<u64>(),
    ) {
        let mut words: Vec<_> = all.iter().map(|(spans, age)| told(spans, *age)).collect();
        let first = merge(&words).expect("told");
        fastrand::Rng::with_seed(turn).shuffle(&mut words);
        prop_assert_eq!(merge(&words).expect("told"), first);
        prop_assert!(first.p50 <= first.p90 || first.p90.is_none());
    }
}
