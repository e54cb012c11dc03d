use super::*;
use proptest::prelude::*;

proptest! {
    #[test]
    fn the_sum_agrees_with_adding_up_all_entries(
        steps in prop::collection::vec((0u64..400, 0.0f64..10.0), 1..200), later in 0u64..1500,
    ) {
        let (span, mut now) = (Duration::from_millis(1000), Duration::ZERO);
        let (mut window, mut all) = (WindowSum::default(), Vec::new());
        for (step, weight) in steps {
            now += Duration::from_millis(step);
            window.record(now, span, weight);
            all.push((now, weight));
            for at in [now, now + Duration::from_millis(later)] {
                let sum: f64 = all.iter().filter(|(noted, _)| *noted + span > at).map(|(_, w)| w).sum();
                prop_assert!((window.sum(at, span) - sum).abs() < 1e-6);
            }
            prop_assert_eq!(window.len(), all.iter().filter(|(noted, _)| *noted + span > now).count());
        }
    }
}
