use super::*;

#[test]
fn many_purges_lose_none() {
    let mut purges = Purges::default();
    let all: Vec<Key> = (0..20_000u64)
        .map(|n| key::object(&n.to_be_bytes()))
        .collect();
    let mut records = Vec::new();
    for (n, key) in all.iter().enumerate() {
        records.extend(
            purges
                .purge_object(*key, 1000 + n as u64)
                .into_iter()
                .flatten(),
        );
    }
    let mut restored = Purges::default();
    records.iter().for_each(|record| restored.restore(*record));
    for (n, key) in all.iter().enumerate() {
        for purges in [&purges, &restored] {
            assert!(
                !purges.survives(*key, 0, 1000 + n as u64),
                "copy of object {n}"
            );
            assert!(purges.survives(*key, 0, 1000 + all.len() as u64));
        }
    }
    let also_purged =
        (50_000..60_000u64).filter(|n| !purges.survives(key::object(&n.to_be_bytes()), 0, 500));
    let share = also_purged.count() as f64 / 10_000.0;
    assert!(
        (0.01..0.4).contains(&share),
        "{share} of the other objects were purged too"
    );
}

#[test]
fn a_late_earlier_purge_changes_nothing() {
    let mut purges = Purges::default();
    let object = key::object(b"a");
    purges.purge_object(object, 50);
    purges.purge_object(object, 40);
    purges.purge_group(17, 60);
    purges.purge_group(17, 30);
    assert_eq!(
        (
            purges.last_purge_ms(object, 0),
            purges.last_purge_ms(object, 17)
        ),
        (50, 60)
    );
    assert!(!purges.survives(object, 0, 50) && purges.survives(object, 0, 51));
}
