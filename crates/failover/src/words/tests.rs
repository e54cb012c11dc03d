use super::*;
use proptest::prelude::*;

proptest! {
    #[test]
    fn words_come_back_as_they_were_told(
        demand in 0.0f64..600.0, good in 0.0f64..60.0, bad in 0.0f64..60.0, flags in 0u8..4,
        strain in 0.0f64..1.0,
        number: u32, weights in prop::collection::vec(0.0f64..1.0, 0..20),
    ) {
        let back = Load::decode(&Load { demand, good, bad }.encode()).expect("own bytes");
        prop_assert!((back.demand - demand).abs() <= 0.006 && (back.good - good).abs() <= 0.13);
        let home = Home { bad: flags & 1 != 0, drained: flags & 2 != 0, demand, strain };
        let back = Home::decode(&home.encode()).expect("own bytes");
        prop_assert!((back.bad, back.drained) == (home.bad, home.drained));
        prop_assert!((back.strain - strain).abs() < 0.003 && (back.demand - demand).abs() < 0.06);
        let sum: f64 = weights.iter().sum::<f64>().max(1e-9);
        let shares = weights.iter().enumerate().map(|(n, weight)| (n, weight / sum)).collect();
        let plan = Plan { number, shares };
        let back = Plan::decode(&plan.encode()).expect("own bytes");
        prop_assert_eq!(back.number, number);
        for (edge, share) in back.shares {
            prop_assert!((plan.shares[edge].1 - share).abs() < 0.005);
        }
    }

    #[test]
    fn any_bytes_are_a_word_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..40)) {
        let _ = (Load::decode(&bytes), Home::decode(&bytes));
        if let Some(plan) = Plan::decode(&bytes) {
            prop_assert!(plan.shares.iter().map(|(_, share)| share).sum::<f64>() <= 1.0 + 1e-9);
        }
    }
}
