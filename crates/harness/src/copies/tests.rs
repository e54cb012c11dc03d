use super::*;
use proptest::prelude::*;

fn copy(kb: f64) -> Copy {
    Copy { kb, made: 1 }
}

#[test]
fn a_low_rank_never_pushes_out_a_higher_one() {
    let mut copies = Copies::new(30.0);
    assert!(copies.keep((1, 0), 3, copy(10.0)) && copies.keep((2, 0), 1, copy(10.0)));
    assert!(copies.keep((3, 0), 1, copy(10.0)) && copies.hit(&(2, 0), 0).is_some());
    assert!(
        copies.keep((4, 0), 1, copy(10.0)),
        "the one of rank 1 that was used longest ago goes"
    );
    assert!(copies.peek(&(3, 0)).is_none() && copies.peek(&(2, 0)).is_some());
    assert!(!copies.keep((5, 0), 1, copy(25.0)), "rank 3 holds 10 of 30");
    assert!(copies.peek(&(1, 0)).is_some());
    assert!(
        copies.hit(&(1, 0), 1).is_some() && copies.keep((5, 0), 1, copy(25.0)),
        "it is rank 1 now"
    );
}

proptest! {
    #[test]
    fn bytes_are_counted_and_bounded(
        ops in prop::collection::vec((0u64..20, 0usize..4, 0.5f64..12.0), 1..200),
    ) {
        let mut copies = Copies::new(40.0);
        for (key, rank, kb) in ops {
            copies.keep((key, 0), rank, copy(kb));
            copies.hit(&(key / 2, 0), rank);
            let held: f64 = copies.ranks.iter().flat_map(|r| r.iter()).map(|(_, c)| c.kb).sum();
            prop_assert!((held - copies.kb()).abs() < 1e-6 && held <= 40.0 + 1e-6);
        }
    }
}
