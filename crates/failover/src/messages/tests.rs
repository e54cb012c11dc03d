use super::*;
use proptest::prelude::*;

proptest! {
    #[test]
    fn messages_round_trip_within_the_resolution_of_their_encoding(
        demand in 0.0f64..600.0, good in 0.0f64..60.0, bad in 0.0f64..60.0, flags in 0u8..4,
        late_share in 0.0f64..1.0,
        number: u32, weights in prop::collection::vec(0.0f64..1.0, 0..20),
    ) {
        let decoded = RouterLoad::decode(&RouterLoad { demand, good, bad }.encode()).expect("valid bytes");
        prop_assert!((decoded.demand - demand).abs() <= 0.006 && (decoded.good - good).abs() <= 0.13);
        let state = ZoneState { bad: flags & 1 != 0, drained: flags & 2 != 0, demand, late_share };
        let decoded = ZoneState::decode(&state.encode()).expect("valid bytes");
        prop_assert!((decoded.bad, decoded.drained) == (state.bad, state.drained));
        prop_assert!((decoded.late_share - late_share).abs() < 0.003 && (decoded.demand - demand).abs() < 0.06);
        let sum: f64 = weights.iter().sum::<f64>().max(1e-9);
        let shares = weights.iter().enumerate().map(|(n, weight)| (n, weight / sum)).collect();
        let plan = Plan { number, shares };
        let decoded = Plan::decode(&plan.encode()).expect("valid bytes");
        prop_assert_eq!(decoded.number, number);
        for (edge, share) in decoded.shares {
            prop_assert!((plan.shares[edge].1 - share).abs() < 0.005);
        }
    }

    #[test]
    fn any_bytes_decode_to_a_valid_message_or_are_rejected(bytes in prop::collection::vec(any::<u8>(), 0..40)) {
        let _ = (RouterLoad::decode(&bytes), ZoneState::decode(&bytes));
        if let Some(plan) = Plan::decode(&bytes) {
            prop_assert!(plan.shares.iter().map(|(_, share)| share).sum::<f64>() <= 1.0 + 1e-9);
        }
    }
}
