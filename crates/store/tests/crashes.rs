//! Crashes at any disk operation, with any subset of the unsynced writes lost or torn.

use chalkhall_store::stand_ins::crashes::crash_point;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { cases: 100, ..ProptestConfig::default() })]

    /// Must pass with any seed. `crash_at` shrinks towards the first operation at which it fails.
    #[test]
    fn a_crash_at_any_operation_causes_no_torn_stale_or_lost_copy(seed in any::<u64>(), crash_at in 1u64..900) {
        let results = crash_point(seed, crash_at);
        prop_assert_eq!((results.torn, results.stale, results.lost), (0, 0, 0), "{:?}", results);
    }
}

#[test]
fn the_workloads_exercise_answers_durability_and_reclaims() {
    let mut all = chalkhall_store::stand_ins::crashes::CrashTestResults::default();
    for seed in 0..60 {
        let results = crash_point(seed, 40 + seed * 12);
        all.answers += results.answers;
        all.durable += results.durable;
        all.reclaimed += results.reclaimed;
    }
    assert!(
        all.answers > 300 && all.durable > 100 && all.reclaimed > 10,
        "{all:?}"
    );
}
