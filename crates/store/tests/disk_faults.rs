//! A folder that fails for a while, and a wall clock that was stepped between two starts.

use chalkhall_store::boot_clock::BootClock;
use chalkhall_store::copy::Copy;
use chalkhall_store::decide::Part;
use chalkhall_store::decide::disk::Wanted;
use chalkhall_store::files::Files;
use chalkhall_store::stand_ins::crashes::{Scenario, Seen, play};
use chalkhall_store::stand_ins::{Disk, Driver, Faults, Piece};
use chalkhall_store::threads::{self, End, NotTaken};
use proptest::prelude::*;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

const START: u64 = 1_800_000_000_000;
const SECOND: Duration = Duration::from_secs(1);
const EIO: i32 = 5;
const ENOSPC: i32 = 28;

fn wanted(known_purges: Duration) -> Wanted {
    Wanted {
        bytes: 16 << 20,
        segment: 1 << 20,
        known_purges,
        ..Wanted::default()
    }
}

fn started(disk: &Disk, known_purges: Duration, start_ms: u64) -> Driver {
    let mut driver = Driver::start(Arc::new(disk.clone()), 0, wanted(known_purges), start_ms);
    driver.settle();
    driver
}

fn piece(object: u64) -> Piece {
    Piece { object, part: 0 }
}

fn name(object: u64) -> bytes::Bytes {
    piece(object).name()
}

/// When the copy was made that a part is answered with; its bytes must be those of that copy.
fn get(driver: &mut Driver, object: u64) -> Option<u64> {
    let (piece, name) = (piece(object), name(object));
    let (_, copy) = driver.get(Part {
        object: &name,
        part: 0,
        group: piece.group(),
    })?;
    assert_eq!(
        copy,
        piece.copy(copy.made, copy.body.len()),
        "object {object}"
    );
    Some(copy.made)
}

fn keep(driver: &mut Driver, object: u64) {
    let made = driver.unix_ms();
    driver.keep(piece(object).copy(made, 9000), 3);
    driver.pass(SECOND / 10);
}

fn hear(driver: &mut Driver) {
    let heard = driver.unix_ms();
    driver.store.disk_mut().expect("a disk").heard(heard);
    driver.pass(20 * SECOND);
}

/// A store of these objects, written and synced, of which discovery was heard until now.
fn written(disk: &Disk, objects: u64) -> Driver {
    let mut driver = started(disk, 1000 * SECOND, START);
    (0..objects).for_each(|object| keep(&mut driver, object));
    driver.pass(3 * SECOND);
    hear(&mut driver);
    driver
}

fn fail_from_now(disk: &Disk, error_number: i32) {
    let failing_calls = disk.calls() + 1..u64::MAX;
    disk.set(Faults {
        failing_calls,
        error_number: Some(error_number),
        ..Faults::default()
    });
}

/// A purge came while the program was down for an hour, and discovery's first list no longer names it. The
/// next start serves nothing of before; the start after it follows soon upon its last word of discovery.
#[test]
fn a_purge_missed_in_one_gap_is_missed_by_every_later_start() {
    let disk = Disk::new();
    let mut first = written(&disk, 5);
    let ended = first.unix_ms();
    first.close();
    let mut second = started(&disk, 600 * SECOND, ended + 3_600_000);
    assert!(
        (0..5).all(|object| get(&mut second, object).is_none()),
        "a purge may have been missed"
    );
    keep(&mut second, 9);
    hear(&mut second);
    let ended = second.unix_ms();
    let mut third = started(&disk.crashed(1), 600 * SECOND, ended + 5000);
    assert!(
        (0..5).all(|object| get(&mut third, object).is_none()),
        "it is missed still"
    );
    assert!(
        get(&mut third, 9).is_some(),
        "what the second start wrote is covered"
    );
}

#[test]
fn purges_are_written_down_again_after_the_folder_failed_for_a_while() {
    for error_number in [EIO, ENOSPC] {
        for evicts in [false, true] {
            let disk = Disk::new();
            let mut driver = written(&disk, 8);
            fail_from_now(&disk, error_number);
            driver.purge(Some(&name(2)), 0);
            driver.pass(5 * SECOND);
            disk.set(Faults {
                evicts,
                ..Faults::default()
            });
            driver.pass(30 * SECOND);
            hear(&mut driver);
            let ended = driver.unix_ms();
            // Discovery's first list reaches back forty seconds: the catalogue alone names the purge.
            let mut again = started(&disk.crashed(3), 40 * SECOND, ended + 5000);
            assert_eq!(get(&mut again, 2), None, "purged");
            assert!(
                get(&mut again, 3).is_some(),
                "discovery was heard until shortly before"
            );
        }
    }
}

const DAY_ACTIONS: usize = 120;

fn faults(failing_calls: Range<u64>, error_number: i32, evicts: bool) -> Faults {
    Faults {
        failing_calls,
        error_number: Some(error_number),
        evicts,
        ..Faults::default()
    }
}

fn day(seed: u64) -> Scenario {
    let (faults, restart_faults) = (Faults::default(), Faults::default());
    Scenario {
        seed,
        actions: DAY_ACTIONS,
        faults,
        restart_faults,
        heals: false,
    }
}

fn assert_kept(scenario: &Scenario, seen: &Seen) {
    let wrong = (seen.torn, seen.stale, seen.lost, seen.not_kept_again);
    assert_eq!(wrong, (0, 0, 0, 0), "{scenario:?}: {seen:?}");
}

/// A fault that begins with this call: which error, for how many calls, is drawn.
fn drawn_faults(call: u64, chance: &mut fastrand::Rng) -> Faults {
    let span = *chance.choice(&[1, 1, 5, 50, 300]).expect("not empty");
    let error_number = if chance.bool() { EIO } else { ENOSPC };
    faults(call..call + span, error_number, chance.bool())
}

/// Each call of a day fails, alone or with those after it, with either error; the program is killed in the
/// trouble or after it.
#[test]
fn each_call_of_a_mixed_run_may_fail_once_or_for_a_while() {
    let mut all = Seen::default();
    for call in 1..=play(&day(0)).calls {
        let mut chance = fastrand::Rng::with_seed(call);
        let (faults, heals) = (drawn_faults(call, &mut chance), chance.bool());
        let scenario = Scenario {
            faults,
            heals,
            ..day(chance.u64(..40))
        };
        let seen = play(&scenario);
        assert_kept(&scenario, &seen);
        all.answers += seen.answers;
        all.durable += seen.durable;
    }
    assert!(all.answers > 2000 && all.durable > 200, "{all:?}");
}

/// Each call of a restart fails, alone or with those after it; what was said to outlive the kill before it is
/// found once the folder is sound again.
#[test]
fn each_call_of_a_restart_may_fail_once_or_for_a_while() {
    let mut all = Seen::default();
    for call in 1..=80 {
        for seed in 0..4 {
            let mut chance = fastrand::Rng::with_seed(call * 10 + seed);
            let restart_faults = drawn_faults(call, &mut chance);
            let scenario = Scenario {
                restart_faults,
                ..day(chance.u64(..40))
            };
            let seen = play(&scenario);
            assert_kept(&scenario, &seen);
            all.answers += seen.answers;
            all.durable += seen.durable;
        }
    }
    assert!(all.answers > 2000 && all.durable > 200, "{all:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 60, ..ProptestConfig::default() })]

    #[test]
    fn whatever_fails_and_whenever_nothing_is_torn_stale_or_lost(
        seed in any::<u64>(), call in 1u64..700, restart_call in 1u64..400, heals in any::<bool>(),
    ) {
        let mut chance = fastrand::Rng::with_seed(seed);
        let faults = drawn_faults(call, &mut chance);
        let restart_faults = drawn_faults(restart_call, &mut chance);
        let scenario = Scenario { faults, restart_faults, heals, ..day(seed) };
        assert_kept(&scenario, &play(&scenario));
    }
}

const HOUR_MS: i64 = 3_600_000;

fn boot_clock(unix_at_boot_ms: u64) -> Option<BootClock> {
    Some(BootClock {
        boot: 1,
        unix_at_boot_ms,
    })
}

fn started_with_clock(
    disk: &Disk,
    known_purges: Duration,
    start_ms: u64,
    clock: Option<BootClock>,
) -> Driver {
    let files = Arc::new(disk.clone());
    let mut driver = Driver::start_with_clock(files, 0, wanted(known_purges), start_ms, clock);
    driver.settle();
    driver
}

/// Discovery was never heard, so no written time is later than the clock that was set back: copies that are
/// an hour old would look new, and as if discovery's first list named every purge since they were made.
#[test]
fn a_step_of_the_wall_clock_between_two_starts_is_seen_by_the_machines_clock() {
    let boot = START - 1_000_000;
    for step in [-HOUR_MS, -2000, 2000, HOUR_MS] {
        let disk = Disk::new();
        let mut first = started_with_clock(&disk, 600 * SECOND, START, boot_clock(boot));
        (0..3).for_each(|object| keep(&mut first, object));
        first.pass(3 * SECOND);
        first.close();
        // An hour and a little more goes by where the clock is set back, so that it stands after the copies.
        let down = if step < 0 {
            step.unsigned_abs() + 5000
        } else {
            5000
        };
        let start = (first.unix_ms() + down).saturating_add_signed(step);
        let stepped = boot_clock(boot.saturating_add_signed(step));
        let mut second = started_with_clock(&disk.crashed(1), 8 * 3600 * SECOND, start, stepped);
        assert!(
            (0..3).all(|object| get(&mut second, object).is_none()),
            "stepped by {step}"
        );
        // The same clock, and another start of the machine, say nothing against them.
        for clock in [
            boot_clock(boot),
            Some(BootClock {
                boot: 2,
                unix_at_boot_ms: 5,
            }),
            None,
        ] {
            let mut second = started_with_clock(&disk.crashed(1), 8 * 3600 * SECOND, start, clock);
            assert!(
                (0..3).all(|object| get(&mut second, object).is_some()),
                "{clock:?}"
            );
        }
    }
}

/// The start after a stepped one has no step to see: what was undated stays so, and the start's own copies are
/// served.
#[test]
fn copies_from_before_a_step_of_the_clock_stay_undated_for_later_starts() {
    let disk = Disk::new();
    let boot = START - 1_000_000;
    let mut first = started_with_clock(&disk, 600 * SECOND, START, boot_clock(boot));
    (0..3).for_each(|object| keep(&mut first, object));
    first.pass(3 * SECOND);
    hear(&mut first);
    first.close();
    let (start, stepped) = (
        first.unix_ms() + 65 * 60_000 - HOUR_MS as u64,
        boot_clock(boot - HOUR_MS as u64),
    );
    let mut second = started_with_clock(&disk, 600 * SECOND, start, stepped);
    keep(&mut second, 9);
    second.pass(3 * SECOND);
    hear(&mut second);
    let start = second.unix_ms() + 5000;
    second.close();
    let mut third = started_with_clock(&disk, 600 * SECOND, start, stepped);
    assert!(
        (0..3).all(|object| get(&mut third, object).is_none()),
        "undated still"
    );
    assert!(
        get(&mut third, 9).is_some(),
        "by the clock of its own start"
    );
}

/// The second copy of a part is not written while other writes of its segment and its footer are under way: the
/// first one was said to outlive a crash, and the next start must find it.
#[test]
fn a_footer_never_hides_a_durable_copy_behind_one_that_was_not_written() {
    let disk = Disk::new();
    let mut driver = written(&disk, 1);
    let first = driver.orders.durable[&piece(0).key()];
    // In one part: a new version leaves the old one to be replaced, and purges nothing.
    let second = Copy {
        in_parts: false,
        ..piece(0).copy(driver.unix_ms(), 9000)
    };
    driver.keep(second, 3);
    let written_bytes =
        |driver: &Driver| driver.store.disk().expect("a disk").counts().written_bytes;
    let before = written_bytes(&driver);
    driver.now += SECOND / 10;
    driver.store.tick(driver.now, &mut driver.orders);
    assert!(
        written_bytes(&driver) > before,
        "the record was not ordered"
    );
    // The record is ordered; the end of the program orders the footer behind it.
    driver
        .store
        .disk_mut()
        .expect("a disk")
        .close(driver.now, &mut driver.orders);
    disk.set(Faults {
        writes_fail: true,
        ..Faults::default()
    });
    let failed = |driver: &Driver| driver.store.disk().expect("a disk").counts().write_faults > 0;
    while !failed(&driver) {
        assert!(driver.step(), "the record was not ordered");
    }
    disk.set(Faults::default());
    driver.settle();
    let mut again = started(&disk.crashed(1), 1000 * SECOND, driver.unix_ms() + 1000);
    assert_eq!(get(&mut again, 0), Some(first));
}

/// The files of what is reclaimed cannot be removed for a while: their places come back.
#[test]
fn places_of_files_that_could_not_be_removed_come_back() {
    let disk = Disk::new();
    let mut driver = started(&disk, 1000 * SECOND, START);
    let most = driver.store.disk().expect("a disk").segments().most;
    let mut fewest = most;
    for object in 0..3000 {
        let made = driver.unix_ms();
        driver.keep(piece(object).copy(made, 100_000), 2);
        driver.pass(SECOND / 10);
        let tier = driver.store.disk().expect("a disk");
        fewest = fewest.min(tier.segments().most);
        if object == 150 {
            disk.set(Faults {
                removals_fail: true,
                ..Faults::default()
            });
        }
        if fewest < most - 2 {
            break;
        }
    }
    assert!(fewest < most - 2, "no removal failed");
    disk.set(Faults::default());
    driver.pass(120 * SECOND);
    assert_eq!(driver.store.disk().expect("a disk").segments().most, most);
    let files = disk
        .list()
        .expect("names")
        .iter()
        .filter(|name| name.starts_with("segment"))
        .count();
    assert!(files <= most, "{files}");
}

#[test]
fn segments_that_could_not_be_read_at_the_start_are_read_later() {
    let disk = Disk::new();
    let mut driver = written(&disk, 6);
    let start = driver.unix_ms() + 1000;
    driver.close();
    let mut again = Driver::start(Arc::new(disk.clone()), 0, wanted(1000 * SECOND), start);
    disk.set(Faults {
        reads_fail: true,
        ..Faults::default()
    });
    again.pass(10 * SECOND);
    assert!(
        (0..6).all(|object| get(&mut again, object).is_none()),
        "absent while it cannot be read"
    );
    disk.set(Faults::default());
    again.pass(31 * SECOND);
    assert!(
        (0..6).all(|object| get(&mut again, object).is_some()),
        "there again"
    );
    let tier = again.store.disk().expect("a disk");
    assert_eq!((tier.segments().most, tier.counts().foreign), (16, 0));
}

/// A folder that fails for ten minutes is asked to write a purge down some dozens of times, not at each turn.
#[test]
fn a_purge_that_cannot_be_written_down_is_tried_again_with_backoff() {
    let disk = Disk::new();
    let mut driver = written(&disk, 1);
    fail_from_now(&disk, ENOSPC);
    driver.purge(Some(&name(0)), 0);
    let before = driver.store.disk().expect("a disk").counts().write_faults;
    for _ in 0..60 {
        hear_without_waiting(&mut driver);
        driver.pass(10 * SECOND);
    }
    let tries = driver.store.disk().expect("a disk").counts().write_faults - before;
    assert!((100..=140).contains(&tries), "{tries}");
    assert_eq!(get(&mut driver, 0), None, "it counts meanwhile");
    assert!(
        !driver.store.disk().expect("a disk").is_quiet(),
        "it waits still"
    );
    disk.set(Faults::default());
    driver.pass(6 * SECOND);
    assert!(
        driver.store.disk().expect("a disk").is_quiet(),
        "written down within the longest backoff"
    );
}

fn hear_without_waiting(driver: &mut Driver) {
    let heard = driver.unix_ms();
    driver.store.disk_mut().expect("a disk").heard(heard);
}

/// The opening fails once with an error that may pass; a directory held by another is refused at once.
#[test]
fn a_directory_that_cannot_be_opened_for_a_while_is_opened_later() {
    let disk = Disk::new();
    let mut failures = 1;
    let take = move || match failures {
        0 => Ok(Arc::new(disk.clone()) as Arc<dyn Files>),
        _ => {
            failures -= 1;
            Err(NotTaken::Io("no space".into()))
        }
    };
    let (_threads, mut ends) = threads::start(take, 1, 1).expect("threads");
    assert!(matches!(ends.blocking_recv(), Some(End::OpenFailed(_))));
    assert!(matches!(ends.blocking_recv(), Some(End::Opened { .. })));
    let refuse = || Err(NotTaken::Refused("held by process 1".into()));
    let (_threads, mut ends) = threads::start(refuse, 1, 1).expect("threads");
    assert!(matches!(ends.blocking_recv(), Some(End::Refused(_))));
    assert!(ends.blocking_recv().is_none(), "it is not tried again");
}

/// Its owner does not wait for the next try to end.
#[test]
fn an_opening_that_waits_for_its_next_try_ends_with_its_owner() {
    let refuse = || Err(NotTaken::Io("no space".into()));
    let (threads, mut ends) = threads::start(refuse, 1, 1).expect("threads");
    assert!(matches!(ends.blocking_recv(), Some(End::OpenFailed(_))));
    drop(threads);
    assert!(ends.blocking_recv().is_none());
}

/// A copy that was said to outlive a crash is replaced by one that is not synced yet, and its segment is
/// reclaimed: one of the two is found after a crash.
#[test]
fn a_durable_copy_is_not_reclaimed_before_the_one_in_its_place_is_synced() {
    let disk = Disk::new();
    let rarely_synced = Wanted {
        bytes: 10 << 20,
        sync_after: 1000 * SECOND,
        sync_bytes: u64::MAX,
        carry: 0.0,
        ..wanted(1000 * SECOND)
    };
    let mut driver = Driver::start(Arc::new(disk.clone()), 0, rarely_synced, START);
    driver.settle();
    let offer = |driver: &mut Driver, object: u64, bytes: usize| {
        let copy = Copy {
            in_parts: false,
            ..piece(object).copy(driver.unix_ms(), bytes)
        };
        driver.keep(copy, 2);
        driver.pass(SECOND / 10);
    };
    // Enough of one size group to fill and seal its segment.
    (0..40).for_each(|object| offer(&mut driver, object, 30_000));
    let key = piece(0).key();
    assert!(driver.orders.durable.contains_key(&key), "sealed");
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
    let durable = *driver.orders.durable.get(&key).expect("not let go of");
    for seed in 0..30 {
        let mut again = started(&disk.crashed(seed), 1000 * SECOND, driver.unix_ms() + 1000);
        let name = name(0);
        let found = again.get(Part {
            object: &name,
            part: 0,
            group: piece(0).group(),
        });
        assert!(
            found.is_some_and(|(_, copy)| copy.made >= durable),
            "lost, seed {seed}"
        );
    }
}

#[test]
fn what_was_written_before_a_failed_write_comes_to_outlive_a_crash() {
    let disk = Disk::new();
    let mut driver = written(&disk, 1);
    let offer = |driver: &mut Driver, object: u64| {
        driver.keep(piece(object).copy(driver.unix_ms(), 9000), 3);
        driver.pass(SECOND / 10);
    };
    offer(&mut driver, 1);
    disk.set(Faults {
        writes_fail: true,
        ..Faults::default()
    });
    offer(&mut driver, 2);
    disk.set(Faults::default());
    driver.pass(3 * SECOND);
    assert!(driver.orders.durable.contains_key(&piece(1).key()));
    let mut again = started(&disk.crashed(1), 1000 * SECOND, driver.unix_ms() + 1000);
    assert!(get(&mut again, 1).is_some() && get(&mut again, 2).is_none());
}

/// A tier that is about to reclaim the segment of its first three copies, which are read often.
fn short_of_space(disk: &Disk) -> Driver {
    let wanted = Wanted {
        bytes: 10 << 20,
        carry: 0.5,
        scrub: 0,
        ..wanted(1000 * SECOND)
    };
    let mut driver = Driver::start(Arc::new(disk.clone()), 0, wanted, START);
    driver.settle();
    let mut object = 0;
    while driver.store.disk().expect("a disk").segments().free() > 2 || object % 10 < 8 {
        driver.keep(piece(object).copy(driver.unix_ms(), 100_000), 2);
        driver.pass(SECOND / 2);
        for hot in 0..3 {
            get(&mut driver, hot);
        }
        object += 1;
        if driver.store.disk().expect("a disk").segments().free() <= 3 && object % 10 == 9 {
            break;
        }
    }
    driver.pass(3 * SECOND);
    driver
}

#[test]
fn a_segment_that_cannot_be_listed_for_a_moment_is_not_reclaimed_with_all_it_holds() {
    let disk = Disk::new();
    let mut driver = short_of_space(&disk);
    disk.set(Faults {
        reads_fail: true,
        ..Faults::default()
    });
    let failed = |driver: &Driver| driver.store.disk().expect("a disk").counts().read_faults > 0;
    for object in 1000..1030 {
        driver.keep(piece(object).copy(driver.unix_ms(), 100_000), 2);
        driver.pass(SECOND / 20);
        if failed(&driver) {
            break;
        }
    }
    assert!(failed(&driver), "no listing failed");
    disk.set(Faults::default());
    driver.pass(10 * SECOND);
    assert!(
        driver.store.disk().expect("a disk").counts().reclaimed > 0,
        "nothing was reclaimed"
    );
    assert!(
        (0..3).all(|hot| get(&mut driver, hot).is_some()),
        "carried over once it could be listed"
    );
}
