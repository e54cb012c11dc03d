//! A disk that fails for a while, and a wall clock that is stepped between two starts.

use chalkhall_store::boot_clock::BootClock;
use chalkhall_store::copy::Copy;
use chalkhall_store::decide::Part;
use chalkhall_store::decide::disk::DiskSettings;
use chalkhall_store::files::Files;
use chalkhall_store::stand_ins::crashes::{CrashTestResults, Scenario, run};
use chalkhall_store::stand_ins::{Disk, Driver, Faults, TestPart};
use chalkhall_store::threads::{self, CompletedOperation, OpenError};
use proptest::prelude::*;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

const START: u64 = 1_800_000_000_000;
const SECOND: Duration = Duration::from_secs(1);
const EIO: i32 = 5;
const ENOSPC: i32 = 28;

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

fn test_part(object: u64) -> TestPart {
    TestPart { object, part: 0 }
}

fn name(object: u64) -> bytes::Bytes {
    test_part(object).name()
}

/// Requests a part, checks the answer's bytes, and returns when the copy was made.
fn get(driver: &mut Driver, object: u64) -> Option<u64> {
    let (test_part, name) = (test_part(object), name(object));
    let (_, copy) = driver.get(Part {
        object: &name,
        part: 0,
        group: test_part.group(),
    })?;
    assert_eq!(
        copy,
        test_part.copy(copy.created_at_ms, copy.body.len()),
        "object {object}"
    );
    Some(copy.created_at_ms)
}

fn keep(driver: &mut Driver, object: u64) {
    let created_at_ms = driver.unix_ms();
    driver.keep(test_part(object).copy(created_at_ms, 9000), 3);
    driver.advance(SECOND / 10);
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

/// Starts a store with this many objects written and synced, and confirmed by discovery up to now.
fn start_with_objects(disk: &Disk, objects: u64) -> Driver {
    let mut driver = start_driver(disk, 1000 * SECOND, START);
    (0..objects).for_each(|object| keep(&mut driver, object));
    driver.advance(3 * SECOND);
    confirm_discovery(&mut driver);
    driver
}

fn fail_from_now(disk: &Disk, error_number: i32) {
    let failing_calls = disk.calls() + 1..u64::MAX;
    disk.set_faults(Faults {
        failing_calls,
        error_number: Some(error_number),
        ..Faults::default()
    });
}

/// A purge was made while the program was down for an hour, and discovery's first list no longer contains it.
/// The next start serves no earlier copy. The start after that follows soon after a confirmation, which must not
/// make those copies servable again.
#[test]
fn copies_whose_purges_may_be_missed_stay_unserved_at_every_later_start() {
    let disk = Disk::new();
    let mut first = start_with_objects(&disk, 5);
    let ended = first.unix_ms();
    first.close();
    let mut second = start_driver(&disk, 600 * SECOND, ended + 3_600_000);
    assert!(
        (0..5).all(|object| get(&mut second, object).is_none()),
        "a purge may have been missed"
    );
    keep(&mut second, 9);
    confirm_discovery(&mut second);
    let ended = second.unix_ms();
    let mut third = start_driver(&disk.after_crash(1), 600 * SECOND, ended + 5000);
    assert!(
        (0..5).all(|object| get(&mut third, object).is_none()),
        "the purge is still missed"
    );
    assert!(
        get(&mut third, 9).is_some(),
        "copies of the second start are confirmed"
    );
}

#[test]
fn purges_are_written_after_transient_errors() {
    for error_number in [EIO, ENOSPC] {
        for evict_on_failed_sync in [false, true] {
            let disk = Disk::new();
            let mut driver = start_with_objects(&disk, 8);
            fail_from_now(&disk, error_number);
            driver.purge(Some(&name(2)), 0);
            driver.advance(5 * SECOND);
            disk.set_faults(Faults {
                evict_on_failed_sync,
                ..Faults::default()
            });
            driver.advance(30 * SECOND);
            confirm_discovery(&mut driver);
            let ended = driver.unix_ms();
            // Discovery's first list reaches back 40 s, so only the catalogue contains the purge.
            let mut restarted = start_driver(&disk.after_crash(3), 40 * SECOND, ended + 5000);
            assert_eq!(get(&mut restarted, 2), None, "purged");
            assert!(
                get(&mut restarted, 3).is_some(),
                "discovery confirmed purges until shortly before"
            );
        }
    }
}

const ACTIONS: usize = 120;

fn faults(failing_calls: Range<u64>, error_number: i32, evict_on_failed_sync: bool) -> Faults {
    Faults {
        failing_calls,
        error_number: Some(error_number),
        evict_on_failed_sync,
        ..Faults::default()
    }
}

fn scenario_with_seed(seed: u64) -> Scenario {
    let (faults, restart_faults) = (Faults::default(), Faults::default());
    Scenario {
        seed,
        actions: ACTIONS,
        faults,
        restart_faults,
        faults_end_before_kill: false,
    }
}

fn assert_no_failures(scenario: &Scenario, results: &CrashTestResults) {
    let failures = (
        results.torn,
        results.stale,
        results.lost,
        results.not_durable_after_faults,
    );
    assert_eq!(failures, (0, 0, 0, 0), "{scenario:?}: {results:?}");
}

/// Faults that start with this call; the error and the number of failing calls are random.
fn random_faults(call: u64, random: &mut fastrand::Rng) -> Faults {
    let failing_count = *random.choice(&[1, 1, 5, 50, 300]).expect("not empty");
    let error_number = if random.bool() { EIO } else { ENOSPC };
    faults(call..call + failing_count, error_number, random.bool())
}

/// Each call of a workload fails, alone or with those after it, with either error. The program is killed during
/// the faults or after them.
#[test]
fn any_call_of_a_workload_may_fail_once_or_for_a_while() {
    let mut all = CrashTestResults::default();
    for call in 1..=run(&scenario_with_seed(0)).calls {
        let mut random = fastrand::Rng::with_seed(call);
        let (faults, faults_end_before_kill) = (random_faults(call, &mut random), random.bool());
        let scenario = Scenario {
            faults,
            faults_end_before_kill,
            ..scenario_with_seed(random.u64(..40))
        };
        let results = run(&scenario);
        assert_no_failures(&scenario, &results);
        all.answers += results.answers;
        all.durable += results.durable;
    }
    assert!(all.answers > 2000 && all.durable > 200, "{all:?}");
}

/// Each call of a restart fails, alone or with those after it. Copies reported as durable before the kill are
/// found once the faults end.
#[test]
fn any_call_of_a_restart_may_fail_once_or_for_a_while() {
    let mut all = CrashTestResults::default();
    for call in 1..=80 {
        for seed in 0..4 {
            let mut random = fastrand::Rng::with_seed(call * 10 + seed);
            let restart_faults = random_faults(call, &mut random);
            let scenario = Scenario {
                restart_faults,
                ..scenario_with_seed(random.u64(..40))
            };
            let results = run(&scenario);
            assert_no_failures(&scenario, &results);
            all.answers += results.answers;
            all.durable += results.durable;
        }
    }
    assert!(all.answers > 2000 && all.durable > 200, "{all:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, ..ProptestConfig::default() })]

    #[test]
    fn random_faults_cause_no_torn_stale_or_lost_copy(
        seed in any::<u64>(), call in 1u64..700, restart_call in 1u64..400, faults_end_before_kill in any::<bool>(),
    ) {
        let mut random = fastrand::Rng::with_seed(seed);
        let faults = random_faults(call, &mut random);
        let restart_faults = random_faults(restart_call, &mut random);
        let scenario = Scenario { faults, restart_faults, faults_end_before_kill, ..scenario_with_seed(seed) };
        assert_no_failures(&scenario, &run(&scenario));
    }
}

const HOUR_MS: i64 = 3_600_000;

fn boot_clock(unix_at_boot_ms: u64) -> Option<BootClock> {
    Some(BootClock {
        boot: 1,
        unix_at_boot_ms,
    })
}

fn start_with_clock(
    disk: &Disk,
    known_purges: Duration,
    start_ms: u64,
    clock: Option<BootClock>,
) -> Driver {
    let files = Arc::new(disk.clone());
    let mut driver = Driver::start_with_clock(files, 0, settings(known_purges), start_ms, clock);
    driver.settle();
    driver
}

/// Discovery never confirmed purges, so no time in the catalogue shows that the clock was set back. Copies that
/// are an hour old would look new, as if discovery's first list contained every purge since they were made.
#[test]
fn a_step_of_the_wall_clock_between_two_starts_is_detected_by_the_boot_clock() {
    let boot = START - 1_000_000;
    for step in [-HOUR_MS, -2000, 2000, HOUR_MS] {
        let disk = Disk::new();
        let mut first = start_with_clock(&disk, 600 * SECOND, START, boot_clock(boot));
        (0..3).for_each(|object| keep(&mut first, object));
        first.advance(3 * SECOND);
        first.close();
        // If the clock is set back, more time than that passes, so that it is still later than the copies.
        let down = if step < 0 {
            step.unsigned_abs() + 5000
        } else {
            5000
        };
        let start = (first.unix_ms() + down).saturating_add_signed(step);
        let stepped = boot_clock(boot.saturating_add_signed(step));
        let mut second = start_with_clock(&disk.after_crash(1), 8 * 3600 * SECOND, start, stepped);
        assert!(
            (0..3).all(|object| get(&mut second, object).is_none()),
            "stepped by {step}"
        );
        // With an unchanged clock, after a reboot, or without a boot clock, the copies are served.
        for clock in [
            boot_clock(boot),
            Some(BootClock {
                boot: 2,
                unix_at_boot_ms: 5,
            }),
            None,
        ] {
            let mut second =
                start_with_clock(&disk.after_crash(1), 8 * 3600 * SECOND, start, clock);
            assert!(
                (0..3).all(|object| get(&mut second, object).is_some()),
                "{clock:?}"
            );
        }
    }
}

/// The start after the one that detected the step sees no step. It must still not serve copies from before the
/// step, but serves those written since.
#[test]
fn copies_from_before_a_clock_step_stay_unserved_at_later_starts() {
    let disk = Disk::new();
    let boot = START - 1_000_000;
    let mut first = start_with_clock(&disk, 600 * SECOND, START, boot_clock(boot));
    (0..3).for_each(|object| keep(&mut first, object));
    first.advance(3 * SECOND);
    confirm_discovery(&mut first);
    first.close();
    let (start, stepped) = (
        first.unix_ms() + 65 * 60_000 - HOUR_MS as u64,
        boot_clock(boot - HOUR_MS as u64),
    );
    let mut second = start_with_clock(&disk, 600 * SECOND, start, stepped);
    keep(&mut second, 9);
    second.advance(3 * SECOND);
    confirm_discovery(&mut second);
    let start = second.unix_ms() + 5000;
    second.close();
    let mut third = start_with_clock(&disk, 600 * SECOND, start, stepped);
    assert!(
        (0..3).all(|object| get(&mut third, object).is_none()),
        "their times are still unreliable"
    );
    assert!(get(&mut third, 9).is_some(), "written after the step");
}

/// The write of a part's second copy fails while the segment's footer, which would list it, is already queued.
/// The first copy was reported as durable, and the next start must find it.
#[test]
fn a_footer_does_not_hide_a_durable_copy_behind_an_unwritten_one() {
    let disk = Disk::new();
    let mut driver = start_with_objects(&disk, 1);
    let first = driver.backend.durable[&test_part(0).key()];
    // With `in_parts` unset, a new version only replaces the old one and purges nothing.
    let second = Copy {
        is_multipart: false,
        ..test_part(0).copy(driver.unix_ms(), 9000)
    };
    driver.keep(second, 3);
    let written_bytes =
        |driver: &Driver| driver.store.disk().expect("a disk").counts().written_bytes;
    let before = written_bytes(&driver);
    driver.now += SECOND / 10;
    driver.store.tick(driver.now, &mut driver.backend);
    assert!(written_bytes(&driver) > before, "the record was not queued");
    // The record is queued; shutting down queues the footer behind it.
    driver
        .store
        .disk_mut()
        .expect("a disk")
        .close(driver.now, &mut driver.backend);
    disk.set_faults(Faults {
        writes_fail: true,
        ..Faults::default()
    });
    let failed = |driver: &Driver| driver.store.disk().expect("a disk").counts().write_faults > 0;
    while !failed(&driver) {
        assert!(driver.step(), "the record was not queued");
    }
    disk.set_faults(Faults::default());
    driver.settle();
    let mut restarted = start_driver(&disk.after_crash(1), 1000 * SECOND, driver.unix_ms() + 1000);
    assert_eq!(get(&mut restarted, 0), Some(first));
}

/// The files of reclaimed segments cannot be removed for a while; the limit of segments recovers afterwards.
#[test]
fn segments_that_could_not_be_removed_are_removed_later() {
    let disk = Disk::new();
    let mut driver = start_driver(&disk, 1000 * SECOND, START);
    let most = driver.store.disk().expect("a disk").segments().max_segments;
    let mut lowest = most;
    for object in 0..3000 {
        let created_at_ms = driver.unix_ms();
        driver.keep(test_part(object).copy(created_at_ms, 100_000), 2);
        driver.advance(SECOND / 10);
        let tier = driver.store.disk().expect("a disk");
        lowest = lowest.min(tier.segments().max_segments);
        if object == 150 {
            disk.set_faults(Faults {
                removals_fail: true,
                ..Faults::default()
            });
        }
        if lowest < most - 2 {
            break;
        }
    }
    assert!(lowest < most - 2, "no removal failed");
    disk.set_faults(Faults::default());
    driver.advance(120 * SECOND);
    assert_eq!(
        driver.store.disk().expect("a disk").segments().max_segments,
        most
    );
    let files = disk
        .list()
        .expect("names")
        .iter()
        .filter(|name| name.starts_with("segment"))
        .count();
    assert!(files <= most, "{files}");
}

#[test]
fn segments_that_could_not_be_read_at_the_start_are_recovered_later() {
    let disk = Disk::new();
    let mut driver = start_with_objects(&disk, 6);
    let start = driver.unix_ms() + 1000;
    driver.close();
    let mut restarted = Driver::start(Arc::new(disk.clone()), 0, settings(1000 * SECOND), start);
    disk.set_faults(Faults {
        reads_fail: true,
        ..Faults::default()
    });
    restarted.advance(10 * SECOND);
    assert!(
        (0..6).all(|object| get(&mut restarted, object).is_none()),
        "not served while the segment cannot be read"
    );
    disk.set_faults(Faults::default());
    restarted.advance(31 * SECOND);
    assert!(
        (0..6).all(|object| get(&mut restarted, object).is_some()),
        "served again"
    );
    let tier = restarted.store.disk().expect("a disk");
    assert_eq!(
        (tier.segments().max_segments, tier.counts().foreign),
        (16, 0)
    );
}

/// While the disk fails for ten minutes, a purge is written about 120 times, not at each tick.
#[test]
fn a_purge_that_cannot_be_written_is_retried_with_backoff() {
    let disk = Disk::new();
    let mut driver = start_with_objects(&disk, 1);
    fail_from_now(&disk, ENOSPC);
    driver.purge(Some(&name(0)), 0);
    let before = driver.store.disk().expect("a disk").counts().write_faults;
    for _ in 0..60 {
        confirm_without_waiting(&mut driver);
        driver.advance(10 * SECOND);
    }
    let attempts = driver.store.disk().expect("a disk").counts().write_faults - before;
    assert!((100..=140).contains(&attempts), "{attempts}");
    assert_eq!(get(&mut driver, 0), None, "the purge applies meanwhile");
    assert!(
        !driver.store.disk().expect("a disk").is_quiet(),
        "the purge is still queued"
    );
    disk.set_faults(Faults::default());
    driver.advance(6 * SECOND);
    assert!(
        driver.store.disk().expect("a disk").is_quiet(),
        "written within the maximum backoff"
    );
}

fn confirm_without_waiting(driver: &mut Driver) {
    let confirmed = driver.unix_ms();
    driver
        .store
        .disk_mut()
        .expect("a disk")
        .confirm_discovery_up_to(confirmed);
}

/// Opening is retried after a transient error, but not if another process holds the directory.
#[test]
fn opening_a_directory_is_retried_after_transient_errors_only() {
    let disk = Disk::new();
    let mut failures = 1;
    let take = move || match failures {
        0 => Ok(Arc::new(disk.clone()) as Arc<dyn Files>),
        _ => {
            failures -= 1;
            Err(OpenError::Io("no space".into()))
        }
    };
    let (_threads, mut results) = threads::start(take, 1, 1).expect("threads");
    assert!(matches!(
        results.blocking_recv(),
        Some(CompletedOperation::OpenFailed(_))
    ));
    assert!(matches!(
        results.blocking_recv(),
        Some(CompletedOperation::Opened { .. })
    ));
    let refuse = || Err(OpenError::Refused("held by process 1".into()));
    let (_threads, mut results) = threads::start(refuse, 1, 1).expect("threads");
    assert!(matches!(
        results.blocking_recv(),
        Some(CompletedOperation::OpenRefused(_))
    ));
    assert!(results.blocking_recv().is_none(), "opening is not retried");
}

/// The owner need not wait for the next attempt.
#[test]
fn an_opening_that_waits_for_its_retry_ends_with_its_owner() {
    let refuse = || Err(OpenError::Io("no space".into()));
    let (threads, mut results) = threads::start(refuse, 1, 1).expect("threads");
    assert!(matches!(
        results.blocking_recv(),
        Some(CompletedOperation::OpenFailed(_))
    ));
    drop(threads);
    assert!(results.blocking_recv().is_none());
}

/// A durable copy is replaced by one that is not synced yet, and its segment is reclaimed. After a crash, one of
/// the two must be found.
#[test]
fn a_durable_copy_is_not_reclaimed_before_its_replacement_is_synced() {
    let disk = Disk::new();
    let rarely_synced = DiskSettings {
        bytes: 10 << 20,
        sync_after: 1000 * SECOND,
        sync_bytes: u64::MAX,
        carry: 0.0,
        ..settings(1000 * SECOND)
    };
    let mut driver = Driver::start(Arc::new(disk.clone()), 0, rarely_synced, START);
    driver.settle();
    let offer = |driver: &mut Driver, object: u64, bytes: usize| {
        let copy = Copy {
            is_multipart: false,
            ..test_part(object).copy(driver.unix_ms(), bytes)
        };
        driver.keep(copy, 2);
        driver.advance(SECOND / 10);
    };
    // Enough copies of one size class to fill and seal its segment.
    (0..40).for_each(|object| offer(&mut driver, object, 30_000));
    let key = test_part(0).key();
    assert!(driver.backend.durable.contains_key(&key), "sealed");
    offer(&mut driver, 0, 30_000);
    let first = disk
        .list()
        .expect("names")
        .into_iter()
        .find(|name| name.starts_with("segment"))
        .expect("one");
    let mut object = 100;
    while disk.list().expect("names").contains(&first) {
        offer(&mut driver, object, 200_000);
        object += 1;
        assert!(object < 400, "never reclaimed");
    }
    let durable = *driver.backend.durable.get(&key).expect("not dropped");
    for seed in 0..30 {
        let mut restarted = start_driver(
            &disk.after_crash(seed),
            1000 * SECOND,
            driver.unix_ms() + 1000,
        );
        let name = name(0);
        let found = restarted.get(Part {
            object: &name,
            part: 0,
            group: test_part(0).group(),
        });
        assert!(
            found.is_some_and(|(_, copy)| copy.created_at_ms >= durable),
            "lost, seed {seed}"
        );
    }
}

#[test]
fn records_before_a_failed_write_become_durable() {
    let disk = Disk::new();
    let mut driver = start_with_objects(&disk, 1);
    let offer = |driver: &mut Driver, object: u64| {
        driver.keep(test_part(object).copy(driver.unix_ms(), 9000), 3);
        driver.advance(SECOND / 10);
    };
    offer(&mut driver, 1);
    disk.set_faults(Faults {
        writes_fail: true,
        ..Faults::default()
    });
    offer(&mut driver, 2);
    disk.set_faults(Faults::default());
    driver.advance(3 * SECOND);
    assert!(driver.backend.durable.contains_key(&test_part(1).key()));
    let mut restarted = start_driver(&disk.after_crash(1), 1000 * SECOND, driver.unix_ms() + 1000);
    assert!(get(&mut restarted, 1).is_some() && get(&mut restarted, 2).is_none());
}

/// A store that is about to reclaim the segment of its first three copies, which are read often.
fn store_short_of_space(disk: &Disk) -> Driver {
    let settings = DiskSettings {
        bytes: 10 << 20,
        carry: 0.5,
        scrub: 0,
        ..settings(1000 * SECOND)
    };
    let mut driver = Driver::start(Arc::new(disk.clone()), 0, settings, START);
    driver.settle();
    let mut object = 0;
    while driver.store.disk().expect("a disk").segments().free() > 2 || object % 10 < 8 {
        driver.keep(test_part(object).copy(driver.unix_ms(), 100_000), 2);
        driver.advance(SECOND / 2);
        for hot in 0..3 {
            get(&mut driver, hot);
        }
        object += 1;
        if driver.store.disk().expect("a disk").segments().free() <= 3 && object % 10 == 9 {
            break;
        }
    }
    driver.advance(3 * SECOND);
    driver
}

#[test]
fn a_transient_listing_error_does_not_lose_the_records_of_a_reclaimed_segment() {
    let disk = Disk::new();
    let mut driver = store_short_of_space(&disk);
    disk.set_faults(Faults {
        reads_fail: true,
        ..Faults::default()
    });
    let failed = |driver: &Driver| driver.store.disk().expect("a disk").counts().read_faults > 0;
    for object in 1000..1030 {
        driver.keep(test_part(object).copy(driver.unix_ms(), 100_000), 2);
        driver.advance(SECOND / 20);
        if failed(&driver) {
            break;
        }
    }
    assert!(failed(&driver), "no listing failed");
    disk.set_faults(Faults::default());
    driver.advance(10 * SECOND);
    assert!(
        driver.store.disk().expect("a disk").counts().reclaimed > 0,
        "nothing was reclaimed"
    );
    assert!(
        (0..3).all(|hot| get(&mut driver, hot).is_some()),
        "carried over once the segment could be listed"
    );
}
