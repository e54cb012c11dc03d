//! A kill at any operation of the disk, and any subset and tearing of what was not synced.

use chalkhall_store::stand_ins::crashes::crash_point;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { cases: 100, ..ProptestConfig::default() })]

    /// Any seed must hold; the point shrinks to the first operation at which it fails.
    #[test]
    fn nothing_torn_nothing_stale_nothing_lost(seed in any::<u64>(), crash_at in 1u64..900) {
        let seen = crash_point(seed, crash_at);
        prop_assert_eq!((seen.torn, seen.stale, seen.lost), (0, 0, 0), "{:?}", seen);
    }
}

#[test]
fn the_days_do_what_they_are_to_test() {
    let mut all = chalkhall_store::stand_ins::crashes::Seen::default();
    for seed in 0..60 {
        let seen = crash_point(seed, 40 + seed * 12);
        all.answers += seen.answers;
        all.durable += seen.durable;
        all.reclaimed += seen.reclaimed;
    }
    assert!(
        all.answers > 300 && all.durable > 100 && all.reclaimed > 10,
        "{all:?}"
    );
}
