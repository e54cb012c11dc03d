//! A disk hangs under full load: the store does not block on it, and uses it again once it recovers.

use chalkhall_cli::store_driver::{StoreDriver, unix_ms};
use chalkhall_store::decide::disk::{DiskSettings, ReadResult};
use chalkhall_store::decide::{CacheTier, Part};
use chalkhall_store::files::Files;
use chalkhall_store::stand_ins::{Disk, TestPart};
use std::sync::Arc;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(20);
/// With at most this many bytes waiting for the disk, the queue of the writer thread has space: it
/// holds 256 records, and a record of this test has 20 kB.
const DRAINED_BYTES: u64 = 1 << 20;

/// Bytes of records on their way to the disk.
fn waiting_bytes(driver: &StoreDriver) -> u64 {
    driver.store.bytes()
        - driver.store.memory().bytes()
        - driver.store.disk().map_or(0, |d| d.index().bytes())
}

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
    let mut driver = StoreDriver::open_files(
        move || Ok(Arc::new(files.clone()) as Arc<dyn Files>),
        8 << 20,
        settings,
        2,
    )
    .unwrap();
    assert!(driver.poll_until(TIMEOUT, |driver| driver.is_ready()));
    let test_part = |object| TestPart { object, part: 0 };
    let keep = |driver: &mut StoreDriver, object| {
        let now = driver.now();
        driver.store.insert(
            now,
            test_part(object).copy_of_version(1, unix_ms(), 20_000),
            2,
            &mut driver.connector,
        );
    };
    let place = |driver: &mut StoreDriver, object: u64| {
        let name = test_part(object).name();
        driver
            .store
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
        keep(&mut driver, n);
        driver.poll();
    });
    assert!(
        driver.poll_until(TIMEOUT, |driver| place(driver, 0) == Some(CacheTier::Disk)
            && place(driver, 1) == Some(CacheTier::Disk))
    );
    disk.hang(true);
    // Fetches until the queues of the I/O threads are full and refuse more.
    let (mut accepted, mut refused) = (Vec::new(), 0);
    for n in 0..2000 {
        let name = test_part(n % 2).name();
        let now = driver.now();
        let part = Part {
            object: &name,
            part: 0,
            group: test_part(n % 2).group(),
        };
        match driver.store.start_read(now, part, &mut driver.connector) {
            Some(ticket) => accepted.push(ticket),
            None => refused += 1,
        }
        keep(&mut driver, 10_000 + n);
        driver.poll();
    }
    assert!(
        accepted.len() < 100 && refused > 1900,
        "{} accepted, {refused} refused",
        accepted.len()
    );
    assert!(driver.connector.completed_reads.is_empty());
    assert_eq!(
        place(&mut driver, 11_999),
        Some(CacheTier::Memory),
        "the memory tier still accepts copies"
    );
    let waiting = waiting_bytes(&driver);
    assert!(
        waiting <= 12 << 20,
        "{waiting} bytes are waiting for the disk"
    );
    disk.hang(false);
    assert!(
        driver.poll_until(TIMEOUT, |driver| driver.connector.completed_reads.len()
            == accepted.len())
    );
    assert!(
        driver
            .connector
            .completed_reads
            .iter()
            .all(|(_, fetched)| matches!(fetched, ReadResult::Copy(_)))
    );
    // A full queue refuses a copy for good, so that each is kept only once there is space.
    let is_drained = |driver: &mut StoreDriver| waiting_bytes(driver) <= DRAINED_BYTES;
    let message = "queued records are not written";
    assert!(driver.poll_until(TIMEOUT, is_drained), "{message}");
    keep(&mut driver, 50_000);
    for n in 0..500 {
        keep(&mut driver, 60_000 + n);
        driver.poll();
        assert!(driver.poll_until(TIMEOUT, is_drained), "{message}");
    }
    assert!(
        driver.poll_until(TIMEOUT, |driver| place(driver, 50_000)
            == Some(CacheTier::Disk)),
        "the disk tier is not written to again"
    );
}
