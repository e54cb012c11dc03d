use super::*;
use crate::stand_ins::{Disk, Faults};

const SEGMENT: u32 = 7;

fn worker(disk: &Disk) -> Hands {
    Hands::new(Arc::new(disk.clone()), 1)
}

/// A segment that is begun, with one record that is written and synced.
fn begun(disk: &Disk) -> Hands {
    let mut hands = worker(disk);
    hands.begin(SEGMENT, 0).expect("sound");
    hands.append(SEGMENT, 64, &[1; 100]).expect("sound");
    hands.sync(SEGMENT).expect("sound");
    hands
}

fn fail_next_call(disk: &Disk, after: u64) {
    let call = disk.calls() + 1 + after;
    disk.set(Faults {
        failing_calls: call..call + 1,
        error_number: Some(5),
        ..Faults::default()
    });
}

#[test]
fn a_segment_whose_name_may_not_last_takes_no_record() {
    // Creation, head and the sync of the names.
    for failing in 0..3 {
        let disk = Disk::new();
        let mut hands = worker(&disk);
        fail_next_call(&disk, failing);
        assert!(hands.begin(SEGMENT, 0).is_err());
        assert!(
            hands.append(SEGMENT, 64, &[1; 100]).is_err(),
            "call {failing}"
        );
        assert!(
            hands.sync(SEGMENT).is_err() && hands.seal(SEGMENT, 164, &[2; 40]).is_err(),
            "call {failing}"
        );
    }
}

#[test]
fn after_a_failed_write_what_stands_before_it_is_synced_and_no_footer_is_written() {
    let disk = Disk::new();
    let mut hands = begun(&disk);
    hands.append(SEGMENT, 168, &[2; 100]).expect("sound");
    fail_next_call(&disk, 0);
    assert!(hands.append(SEGMENT, 272, &[3; 100]).is_err());
    assert!(
        hands.append(SEGMENT, 376, &[4; 100]).is_err(),
        "nothing is added"
    );
    hands.sync(SEGMENT).expect("what stands there lasts");
    assert!(
        hands.seal(SEGMENT, 476, &[5; 40]).is_err(),
        "its footer would list the missing record"
    );
    let left = disk.crashed(1).bytes(&name(SEGMENT));
    assert_eq!(left[168..], [2; 100]);
}

#[test]
fn after_a_failed_sync_no_later_one_counts() {
    for seal in [false, true] {
        let disk = Disk::new();
        let mut hands = begun(&disk);
        hands.append(SEGMENT, 168, &[2; 100]).expect("sound");
        // The seal writes its footer first.
        fail_next_call(&disk, u64::from(seal));
        let failed = if seal {
            hands.seal(SEGMENT, 272, &[5; 40])
        } else {
            hands.sync(SEGMENT)
        };
        assert!(failed.is_err());
        assert!(hands.sync(SEGMENT).is_err() && hands.append(SEGMENT, 272, &[3; 100]).is_err());
        assert!(hands.seal(SEGMENT, 272, &[5; 40]).is_err());
    }
}

#[test]
fn a_file_that_is_not_there_is_removed_already() {
    let disk = Disk::new();
    let mut hands = worker(&disk);
    fail_next_call(&disk, 0);
    assert!(hands.begin(SEGMENT, 0).is_err(), "never made");
    hands.remove(SEGMENT).expect("nothing to remove");
    // Its name went, and that did not last: the second try makes it so.
    let mut hands = begun(&disk);
    fail_next_call(&disk, 1);
    assert!(hands.remove(SEGMENT).is_err());
    hands.remove(SEGMENT).expect("sound");
    assert!((0..20).all(|seed| disk.crashed(seed).list().expect("names").is_empty()));
}
