//! A disk hangs under full load: the store does not block on it, and uses it again once it recovers.

use chalkhall_cli::rig::{Rig, unix_ms};
use chalkhall_store::decide::disk::{DiskSettings, ReadResult};
use chalkhall_store::decide::{CacheTier, Part};
use chalkhall_store::files::Files;
use chalkhall_store::stand_ins::{Disk, TestPart};
use std::sync::Arc;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(20);

#[test]
fn a_hanging_disk_blocks_nothing_and_is_used_again() {
    let disk = Disk::new();
    let files = disk.clone();
    let settings = DiskSettings {
        bytes: 64 << 20,
        segment: 1 << 20,
        min_freshness: Duration::ZERO,
        ..DiskSettings::default()
    };
    let mut rig = Rig::on(
        move || Ok(Arc::new(files.clone()) as Arc<dyn Files>),
        8 << 20,
        settings,
        2,
    )
    .unwrap();
    assert!(rig.until(TIMEOUT, |rig| rig.is_ready()));
    let test_part = |object| TestPart { object, part: 0 };
    let keep = |rig: &mut Rig, object| {
        let now = rig.now();
        rig.store.insert(
            now,
            test_part(object).copy_of_version(1, unix_ms(), 20_000),
            2,
            &mut rig.connector,
        );
    };
    let place = |rig: &mut Rig, object: u64| {
        let name = test_part(object).name();
        rig.store
            .find(
                Part {
                    object: &name,
                    part: 0,
                    group: test_part(object).group(),
                },
                None,
            )
            .map(|found| found.tier)
    };
    // More than the memory tier holds: the first objects are only on disk.
    (0..600).for_each(|n| {
        keep(&mut rig, n);
        rig.turn();
    });
    assert!(
        rig.until(TIMEOUT, |rig| place(rig, 0) == Some(CacheTier::Disk)
            && place(rig, 1) == Some(CacheTier::Disk))
    );
    disk.hang(true);
    // Fetches until the queues of the I/O threads are full and refuse more.
    let (mut accepted, mut refused) = (Vec::new(), 0);
    for n in 0..2000 {
        let name = test_part(n % 2).name();
        let now = rig.now();
        let part = Part {
            object: &name,
            part: 0,
            group: test_part(n % 2).group(),
        };
        match rig.store.start_read(now, part, &mut rig.connector) {
            Some(ticket) => accepted.push(ticket),
            None => refused += 1,
        }
        keep(&mut rig, 10_000 + n);
        rig.turn();
    }
    assert!(
        accepted.len() < 100 && refused > 1900,
        "{} accepted, {refused} refused",
        accepted.len()
    );
    assert!(rig.connector.completed_reads.is_empty());
    assert_eq!(
        place(&mut rig, 11_999),
        Some(CacheTier::Memory),
        "the memory tier still accepts copies"
    );
    let waiting = rig.store.bytes()
        - rig.store.memory().bytes()
        - rig.store.disk().map_or(0, |d| d.index().bytes());
    assert!(
        waiting <= 12 << 20,
        "{waiting} bytes are waiting for the disk"
    );
    disk.hang(false);
    assert!(rig.until(TIMEOUT, |rig| rig.connector.completed_reads.len()
        == accepted.len()));
    assert!(
        rig.connector
            .completed_reads
            .iter()
            .all(|(_, fetched)| matches!(fetched, ReadResult::Copy(_)))
    );
    keep(&mut rig, 50_000);
    (0..500).for_each(|n| {
        keep(&mut rig, 60_000 + n);
        rig.turn();
    });
    assert!(
        rig.until(TIMEOUT, |rig| place(rig, 50_000) == Some(CacheTier::Disk)),
        "the disk tier is not written to again"
    );
}
