use super::*;
use proptest::prelude::*;

fn copy(kb: f64) -> CachedObject {
    CachedObject { kb, created_ms: 1 }
}

#[test]
fn a_low_rank_never_pushes_out_a_higher_one() {
    let mut copies = ObjectCache::new(30.0);
    assert!(copies.store((1, 0), 3, copy(10.0)) && copies.store((2, 0), 1, copy(10.0)));
    assert!(copies.store((3, 0), 1, copy(10.0)) && copies.hit(&(2, 0), 0).is_some());
    assert!(
        copies.store((4, 0), 1, copy(10.0)),
        "the one of rank 1 that was used longest ago goes"
    );
    assert!(copies.peek(&(3, 0)).is_none() && copies.peek(&(2, 0)).is_some());
    assert!(
        !copies.store((5, 0), 1, copy(25.0)),
        "rank 3 holds 10 of 30"
    );
    assert!(copies.peek(&(1, 0)).is_some());
    assert!(
        copies.hit(&(1, 0), 1).is_some() && copies.store((5, 0), 1, copy(25.0)),
        "it is rank 1 now"
    );
}

proptest! {
    #[test]
    fn bytes_are_counted_and_bounded(
        ops in prop::collection::vec((0u64..20, 0usize..4, 0.5f64..12.0), 1..200),
    ) {
        let mut copies = ObjectCache::new(40.0);
        for (key, priority, kb) in ops {
            copies.store((key, 0), priority, copy(kb));
            copies.hit(&(key / 2, 0), priority);
            let held: f64 = copies.priorities.iter().flat_map(|r| r.iter()).map(|(_, c)| c.kb).sum();
            prop_assert!((held - copies.kb()).abs() < 1e-6 && held <= 40.0 + 1e-6);
        }
    }
}
