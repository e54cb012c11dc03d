use super::*;
use proptest::prelude::*;

proptest! {
    #[test]
    fn quantiles_agree_with_sorting_the_latest_values(
        values in prop::collection::vec(prop_oneof![-10.0f64..10.0, Just(f64::INFINITY), Just(1.0)], 1..200),
        capacity in 1usize..40,
        share in 0.0f64..1.0,
    ) {
        let mut recent = RecentQuantiles::new(capacity);
        for (n, value) in values.iter().enumerate() {
            recent.record(*value);
            let mut latest = values[(n + 1).saturating_sub(capacity)..=n].to_vec();
            latest.sort_by(f64::total_cmp);
            prop_assert_eq!(recent.len(), latest.len());
            prop_assert_eq!(recent.quantile(share), latest[(latest.len() as f64 * share) as usize]);
        }
    }
}
