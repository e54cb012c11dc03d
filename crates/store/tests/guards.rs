//! Guards between a crash and a wrong answer, each caused through the store and its driver: a body that rots
//! behind a whole head, a clock that is set back and forward, a purge that is in the journal alone.

use chalkhall_store::decide::disk::Wanted;
use chalkhall_store::decide::{Part, Place};
use chalkhall_store::files::Files;
use chalkhall_store::stand_ins::{Disk, Driver, Piece};
use std::sync::Arc;
use std::time::Duration;

const START: u64 = 1_800_000_000_000;
const S: Duration = Duration::from_secs(1);

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

/// When the copy was made that a part is answered with; its bytes must be those of that copy.
fn get(driver: &mut Driver, object: u64) -> Option<u64> {
    let piece = Piece { object, part: 0 };
    let name = piece.name();
    let (place, copy) = driver.get(Part {
        object: &name,
        part: 0,
        group: piece.group(),
    })?;
    assert_eq!(
        (place, &copy),
        (Place::Disk, &piece.copy(copy.made, copy.body.len())),
        "object {object}"
    );
    Some(copy.made)
}

/// A store of these objects, written and synced, of which discovery was heard until now.
fn written(disk: &Disk, objects: u64) -> Driver {
    let mut driver = started(disk, 1000 * S, START);
    for object in 0..objects {
        let made = driver.unix_ms();
        driver.keep(Piece { object, part: 0 }.copy(made, 9000), 3);
        driver.pass(S / 10);
    }
    driver.pass(3 * S);
    hear(&mut driver);
    driver
}

fn hear(driver: &mut Driver) {
    let heard = driver.unix_ms();
    driver.store.disk_mut().expect("a disk").heard(heard);
    driver.pass(20 * S);
}

#[test]
fn a_body_that_rots_behind_a_whole_head_between_two_reads_is_found() {
    let disk = Disk::new();
    let mut driver = written(&disk, 1);
    let segment = disk
        .list()
        .expect("names")
        .into_iter()
        .find(|n| n.starts_with("segment"))
        .expect("one");
    assert!(get(&mut driver, 0).is_some(), "sound at first");
    // The body begins behind a head of a few hundred bytes at most: its middle is far from any head.
    for place in [64 + 3000, 64 + 5000, 64 + 8000] {
        disk.rot(&segment, place);
        assert_eq!(get(&mut driver, 0), None, "rotten at {place}");
        assert_eq!(driver.store.disk().expect("a disk").counts().damaged, 1);
        assert_eq!(get(&mut driver, 0), None, "it is forgotten");
        // Rot is a flip: the same again makes it whole, for the next place.
        disk.rot(&segment, place);
        driver = started(&disk, 1000 * S, driver.unix_ms());
        assert!(get(&mut driver, 0).is_some(), "whole again");
    }
}

/// Discovery was heard until 20 s after the copies were made. A purge came while the program was down, so
/// long ago that discovery's first list, which reaches back ten minutes, no longer names it. A clock that
/// stands before discovery was last heard makes all of that look recent.
#[test]
fn a_clock_set_back_over_a_purge_and_forward_again_serves_nothing_purged() {
    let disk = Disk::new();
    let mut driver = written(&disk, 5);
    let died = driver.unix_ms();
    driver.close();
    let known = 600 * S;
    for back_by in [1, 1000, 15_000, 3_600_000] {
        let mut back = started(&disk, known, died - 20_000 - back_by);
        assert!(
            (0..5).all(|object| get(&mut back, object).is_none()),
            "set back by {back_by}"
        );
        // What it writes by that clock is no safer for the next start.
        let made = back.unix_ms();
        back.keep(Piece { object: 9, part: 0 }.copy(made, 9000), 3);
        back.pass(3 * S);
        hear(&mut back);
        back.close();
        let mut forward = started(&disk, known, died + 3_600_000);
        assert!(
            (0..10).all(|object| get(&mut forward, object).is_none()),
            "forward, after {back_by}"
        );
        forward.close();
    }
}

/// And one that ran ahead: what was made by it is of the future for the next start.
#[test]
fn what_was_made_by_a_clock_that_ran_ahead_is_not_served_by_one_that_does_not() {
    let disk = Disk::new();
    let mut ahead = started(&disk, 1000 * S, START + 500_000);
    let made = ahead.unix_ms();
    ahead.keep(Piece { object: 1, part: 0 }.copy(made, 9000), 3);
    ahead.pass(3 * S);
    ahead.close();
    let mut right = started(&disk, 1000 * S, START);
    assert_eq!(get(&mut right, 1), None);
}

/// A purge 80 s before the end stands in the journal alone: discovery's first list reaches back forty
/// seconds. The purged records still lie in their segment, whole. At every step of what the purge orders the
/// program may end, and any part of what was not synced may be lost.
#[test]
fn a_purge_in_the_journal_and_an_older_record_that_did_not_go() {
    let mut journaled = 0;
    for steps in 0..40 {
        let disk = Disk::new();
        let mut driver = written(&disk, 8);
        let purged = driver.purge(Some(&Piece { object: 2, part: 0 }.name()), 0);
        let group = Piece { object: 3, part: 0 }.group();
        driver.purge(None, group);
        let done = (0..steps).take_while(|_| driver.step()).count();
        let whole = done < steps;
        if whole {
            driver.pass(60 * S);
            hear(&mut driver);
        }
        let died = driver.unix_ms();
        for seed in 0..5 {
            let mut again = started(&disk.crashed(seed), 40 * S, died + 5000);
            // Where discovery was not heard since, its list is all there is, and it names the purge.
            if !whole {
                again.store.purge(
                    Some(&Piece { object: 2, part: 0 }.name()),
                    0,
                    purged,
                    &mut again.orders,
                );
                again.store.purge(None, group, purged, &mut again.orders);
                again.settle();
            }
            let gone = |object: u64| object == 2 || object % 7 == group;
            for object in (0..8).filter(|object| gone(*object)) {
                assert_eq!(
                    get(&mut again, object),
                    None,
                    "{object} after {done} steps, seed {seed}"
                );
            }
            if whole {
                journaled += 1;
                let index = again.store.disk().expect("a disk").index().len();
                let left = (0..8).filter(|object| !gone(*object)).count();
                assert_eq!(index, left, "what was purged takes no place in the index");
                assert!(
                    (0..8)
                        .filter(|object| !gone(*object))
                        .all(|object| get(&mut again, object).is_some())
                );
            }
        }
    }
    assert!(journaled > 0, "no crash after the journal was written");
}
