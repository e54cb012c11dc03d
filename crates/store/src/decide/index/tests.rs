use super::*;
use std::collections::HashMap;

fn index_entry(n: u32) -> IndexEntry {
    let (offset, created_at_ms) = (n * 8, 1_700_000_000_000 + u64::from(n));
    let (group, rank, read_count) = ((n % 1024) as u16, 1 + (n % 3) as u8, (n % 4) as u8);
    IndexEntry {
        segment: n,
        offset,
        length: 64,
        tag: !n,
        created_at_ms,
        group,
        rank,
        read_count,
        proven: n.is_multiple_of(2),
    }
}

#[test]
fn it_agrees_with_a_hash_map() {
    let (mut index, mut expected) = (Index::new(u64::MAX), HashMap::new());
    let mut random = fastrand::Rng::with_seed(3);
    for n in 0..200_000u32 {
        let key = random.u64(..60_000).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        match random.u8(..4) {
            0 => assert_eq!(index.remove(key), expected.remove(&key)),
            1 => assert_eq!(index.get(key), expected.get(&key).copied()),
            _ => assert_eq!(
                index.put(key, &index_entry(n)),
                Ok(expected.insert(key, index_entry(n)))
            ),
        }
    }
    assert_eq!(index.len(), expected.len());
    assert!(
        index
            .iter()
            .all(|(key, index_entry)| expected.get(&key) == Some(&index_entry))
    );
    let (mut walked, mut from) = (0, Some(0));
    while let Some(bucket) = from {
        let (some, next) = index.buckets_from(bucket, 7);
        (walked, from) = (walked + some.count(), next);
    }
    assert_eq!(walked, expected.len());
}

#[test]
fn the_memory_limit_holds_at_every_size() {
    for limit in [300_000, 1 << 20, 4 << 20] {
        let mut index = Index::new(limit);
        let mut random = fastrand::Rng::with_seed(5);
        while index.put(random.u64(..), &index_entry(1)).is_ok() {
            assert!(index.bytes() <= limit);
        }
        let (fit, promised) = (index.len() as f64, Index::max_parts(limit) as f64);
        assert!(
            fit > 0.8 * promised && fit < 1.2 * promised,
            "{fit} of {promised} in {limit}"
        );
    }
}

#[test]
fn bytes_per_part_stay_low_while_growing() {
    let (mut index, mut worst) = (Index::new(u64::MAX), 0.0f64);
    let mut random = fastrand::Rng::with_seed(5);
    for n in 0..400_000u64 {
        index.put(random.u64(..), &index_entry(n as u32)).unwrap();
        if n > 100_000 {
            worst = worst.max(index.bytes() as f64 / index.len() as f64);
        }
    }
    assert!(worst <= 48.0, "{worst}");
}
