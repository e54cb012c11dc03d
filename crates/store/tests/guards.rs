//! Safeguards against wrong answers after faults, each provoked through the store and its driver: a damaged body
//! behind an intact header, a clock that is set back and forward, a purge that only the catalogue knows.

use chalkhall_store::decide::disk::DiskSettings;
use chalkhall_store::decide::{CacheTier, Part};
use chalkhall_store::files::Files;
use chalkhall_store::stand_ins::{Disk, Driver, TestPart};
use std::sync::Arc;
use std::time::Duration;

const START: u64 = 1_800_000_000_000;
const SECOND: Duration = Duration::from_secs(1);

fn settings(known_purges: Duration) -> DiskSettings {
    DiskSettings {
        bytes: 16 << 20,
        segment: 1 << 20,
        known_purges,
        ..DiskSettings::default()
    }
}

fn start_driver(disk: &Disk, known_purges: Duration, start_ms: u64) -> Driver {
    let mut driver = Driver::start(Arc::new(disk.clone()), 0, settings(known_purges), start_ms);
    driver.settle();
    driver
}

/// Requests a part, checks the answer's bytes, and returns when the copy was made.
fn get(driver: &mut Driver, object: u64) -> Option<u64> {
    let test_part = TestPart { object, part: 0 };
    let name = test_part.name();
    let (place, copy) = driver.get(Part {
        object: &name,
        part: 0,
        group: test_part.group(),
    })?;
    assert_eq!(
        (place, &copy),
        (
            CacheTier::Disk,
            &test_part.copy(copy.created_at_ms, copy.body.len())
        ),
        "object {object}"
    );
    Some(copy.created_at_ms)
}

/// Starts a store with this many objects written and synced, and confirmed by discovery up to now.
fn start_with_objects(disk: &Disk, objects: u64) -> Driver {
    let mut driver = start_driver(disk, 1000 * SECOND, START);
    for object in 0..objects {
        let created_at_ms = driver.unix_ms();
        driver.keep(TestPart { object, part: 0 }.copy(created_at_ms, 9000), 3);
        driver.advance(SECOND / 10);
    }
    driver.advance(3 * SECOND);
    confirm_discovery(&mut driver);
    driver
}

fn confirm_discovery(driver: &mut Driver) {
    let confirmed = driver.unix_ms();
    driver
        .store
        .disk_mut()
        .expect("a disk")
        .confirm_discovery_up_to(confirmed);
    driver.advance(20 * SECOND);
}

#[test]
fn a_body_damaged_between_two_reads_is_detected() {
    let disk = Disk::new();
    let mut driver = start_with_objects(&disk, 1);
    let segment = disk
        .list()
        .expect("names")
        .into_iter()
        .find(|n| n.starts_with("segment"))
        .expect("one");
    assert!(get(&mut driver, 0).is_some(), "intact at first");
    // The header takes a few hundred bytes at most, so these offsets are in the body.
    for place in [64 + 3000, 64 + 5000, 64 + 8000] {
        disk.flip_bit(&segment, place);
        assert_eq!(get(&mut driver, 0), None, "damaged at {place}");
        assert_eq!(driver.store.disk().expect("a disk").counts().damaged, 1);
        assert_eq!(get(&mut driver, 0), None, "it was dropped");
        // Flipping the same bit again restores the body for the next offset.
        disk.flip_bit(&segment, place);
        driver = start_driver(&disk, 1000 * SECOND, driver.unix_ms());
        assert!(get(&mut driver, 0).is_some(), "intact again");
    }
}

/// Discovery confirmed purges until 20 s after the copies were made. A purge was made while the program was
/// down, so long ago that discovery's first list, which reaches back ten minutes, no longer contains it. With a
/// clock set back to before the last confirmation, all of this looks recent, and the purge would be missed.
#[test]
fn a_clock_set_back_past_a_purge_and_forward_again_serves_nothing_purged() {
    let disk = Disk::new();
    let mut driver = start_with_objects(&disk, 5);
    let killed_at = driver.unix_ms();
    driver.close();
    let known_purges = 600 * SECOND;
    for back_by in [1, 1000, 15_000, 3_600_000] {
        let mut back = start_driver(&disk, known_purges, killed_at - 20_000 - back_by);
        assert!(
            (0..5).all(|object| get(&mut back, object).is_none()),
            "set back by {back_by}"
        );
        // Copies written by that clock must not be served at the next start either.
        let created_at_ms = back.unix_ms();
        back.keep(TestPart { object: 9, part: 0 }.copy(created_at_ms, 9000), 3);
        back.advance(3 * SECOND);
        confirm_discovery(&mut back);
        back.close();
        let mut forward = start_driver(&disk, known_purges, killed_at + 3_600_000);
        assert!(
            (0..10).all(|object| get(&mut forward, object).is_none()),
            "forward, after {back_by}"
        );
        forward.close();
    }
}

/// Copies made by a clock that ran ahead are from the future at the next start.
#[test]
fn copies_made_by_a_clock_that_ran_ahead_are_not_served_after_it_is_corrected() {
    let disk = Disk::new();
    let mut ahead = start_driver(&disk, 1000 * SECOND, START + 500_000);
    let created_at_ms = ahead.unix_ms();
    ahead.keep(TestPart { object: 1, part: 0 }.copy(created_at_ms, 9000), 3);
    ahead.advance(3 * SECOND);
    ahead.close();
    let mut right = start_driver(&disk, 1000 * SECOND, START);
    assert_eq!(get(&mut right, 1), None);
}

/// A purge 80 s before the end is known only from the catalogue, since discovery's first list reaches back 40 s,
/// and the purged records are still intact in their segment. The program may end after any operation that the
/// purge started, and any unsynced data may be lost.
#[test]
fn a_purge_known_only_from_the_catalogue_hides_older_records() {
    let mut catalogued = 0;
    for steps in 0..40 {
        let disk = Disk::new();
        let mut driver = start_with_objects(&disk, 8);
        let purged = driver.purge(Some(&TestPart { object: 2, part: 0 }.name()), 0);
        let group = TestPart { object: 3, part: 0 }.group();
        driver.purge(None, group);
        let done = (0..steps).take_while(|_| driver.step()).count();
        let completed = done < steps;
        if completed {
            driver.advance(60 * SECOND);
            confirm_discovery(&mut driver);
        }
        let killed_at = driver.unix_ms();
        for seed in 0..5 {
            let mut restarted =
                start_driver(&disk.after_crash(seed), 40 * SECOND, killed_at + 5000);
            // Without a later confirmation, discovery's first list is the only source, and it contains the
            // purge.
            if !completed {
                restarted.store.purge(
                    Some(&TestPart { object: 2, part: 0 }.name()),
                    0,
                    purged,
                    &mut restarted.backend,
                );
                restarted
                    .store
                    .purge(None, group, purged, &mut restarted.backend);
                restarted.settle();
            }
            let is_purged = |object: u64| object == 2 || object % 7 == group;
            for object in (0..8).filter(|object| is_purged(*object)) {
                assert_eq!(
                    get(&mut restarted, object),
                    None,
                    "{object} after {done} steps, seed {seed}"
                );
            }
            if completed {
                catalogued += 1;
                let index = restarted.store.disk().expect("a disk").index().len();
                let remaining = (0..8).filter(|object| !is_purged(*object)).count();
                assert_eq!(index, remaining, "purged copies are not indexed");
                assert!(
                    (0..8)
                        .filter(|object| !is_purged(*object))
                        .all(|object| get(&mut restarted, object).is_some())
                );
            }
        }
    }
    assert!(catalogued > 0, "no crash after the catalogue was written");
}
