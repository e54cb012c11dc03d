use super::*;
use std::collections::HashMap;

fn spot(n: u32) -> Spot {
    let (at, made) = (n * 8, 1_700_000_000_000 + u64::from(n));
    let (group, rank, heat) = ((n % 1024) as u16, 1 + (n % 3) as u8, (n % 4) as u8);
    Spot {
        segment: n,
        at,
        length: 64,
        tag: !n,
        made,
        group,
        rank,
        heat,
        proven: n.is_multiple_of(2),
    }
}

#[test]
fn it_agrees_with_a_plain_table() {
    let (mut index, mut plain) = (Index::new(u64::MAX), HashMap::new());
    let mut chance = fastrand::Rng::with_seed(3);
    for n in 0..200_000u32 {
        let key = chance.u64(..60_000).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        match chance.u8(..4) {
            0 => assert_eq!(index.remove(key), plain.remove(&key)),
            1 => assert_eq!(index.get(key), plain.get(&key).copied()),
            _ => assert_eq!(index.put(key, &spot(n)), Ok(plain.insert(key, spot(n)))),
        }
    }
    assert_eq!(index.len(), plain.len());
    assert!(
        index
            .iter()
            .all(|(key, spot)| plain.get(&key) == Some(&spot))
    );
    let (mut walked, mut from) = (0, Some(0));
    while let Some(at) = from {
        let (some, next) = index.some(at, 7);
        (walked, from) = (walked + some.count(), next);
    }
    assert_eq!(walked, plain.len());
}

#[test]
fn a_bound_holds_at_every_size() {
    for most in [300_000, 1 << 20, 4 << 20] {
        let mut index = Index::new(most);
        let mut chance = fastrand::Rng::with_seed(5);
        while index.put(chance.u64(..), &spot(1)).is_ok() {
            assert!(index.bytes() <= most);
        }
        let (fit, promised) = (index.len() as f64, Index::parts_most(most) as f64);
        assert!(
            fit > 0.8 * promised && fit < 1.2 * promised,
            "{fit} of {promised} in {most}"
        );
    }
}

#[test]
fn few_bytes_a_part_at_every_count() {
    let (mut index, mut worst) = (Index::new(u64::MAX), 0.0f64);
    let mut chance = fastrand::Rng::with_seed(5);
    for n in 0..400_000u64 {
        index.put(chance.u64(..), &spot(n as u32)).unwrap();
        if n > 100_000 {
            worst = worst.max(index.bytes() as f64 / index.len() as f64);
        }
    }
    assert!(worst <= 48.0, "{worst}");
}
