use super::*;
use crate::stand_ins::{Disk, Faults};

const SEGMENT: u32 = 7;

fn new_segment_files(disk: &Disk) -> SegmentFiles {
    SegmentFiles::new(Arc::new(disk.clone()), 1)
}

/// Creates a segment with one record that is written and synced.
fn segment_files_with_synced_record(disk: &Disk) -> SegmentFiles {
    let mut segment_files = new_segment_files(disk);
    segment_files.create_segment(SEGMENT, 0).expect("sound");
    segment_files.append(SEGMENT, 64, &[1; 100]).expect("sound");
    segment_files.sync(SEGMENT).expect("sound");
    segment_files
}

fn fail_next_call(disk: &Disk, after: u64) {
    let call = disk.calls() + 1 + after;
    disk.set_faults(Faults {
        failing_calls: call..call + 1,
        error_number: Some(5),
        ..Faults::default()
    });
}

#[test]
fn a_segment_whose_creation_failed_takes_no_record() {
    // Creating the file, writing its header, syncing the directory.
    for failing in 0..3 {
        let disk = Disk::new();
        let mut segment_files = new_segment_files(&disk);
        fail_next_call(&disk, failing);
        assert!(segment_files.create_segment(SEGMENT, 0).is_err());
        assert!(
            segment_files.append(SEGMENT, 64, &[1; 100]).is_err(),
            "call {failing}"
        );
        assert!(
            segment_files.sync(SEGMENT).is_err()
                && segment_files.seal(SEGMENT, 164, &[2; 40]).is_err(),
            "call {failing}"
        );
    }
}

#[test]
fn after_a_failed_write_earlier_records_are_synced_and_no_footer_is_written() {
    let disk = Disk::new();
    let mut segment_files = segment_files_with_synced_record(&disk);
    segment_files
        .append(SEGMENT, 168, &[2; 100])
        .expect("sound");
    fail_next_call(&disk, 0);
    assert!(segment_files.append(SEGMENT, 272, &[3; 100]).is_err());
    assert!(
        segment_files.append(SEGMENT, 376, &[4; 100]).is_err(),
        "no record may follow"
    );
    segment_files
        .sync(SEGMENT)
        .expect("earlier records can be synced");
    assert!(
        segment_files.seal(SEGMENT, 476, &[5; 40]).is_err(),
        "its footer would list the missing record"
    );
    let left = disk.after_crash(1).bytes(&segment_file_name(SEGMENT));
    assert_eq!(left[168..], [2; 100]);
}

#[test]
fn after_a_failed_sync_all_later_operations_fail() {
    for seal in [false, true] {
        let disk = Disk::new();
        let mut segment_files = segment_files_with_synced_record(&disk);
        segment_files
            .append(SEGMENT, 168, &[2; 100])
            .expect("sound");
        // A seal writes its footer before it syncs.
        fail_next_call(&disk, u64::from(seal));
        let failed = if seal {
            segment_files.seal(SEGMENT, 272, &[5; 40])
        } else {
            segment_files.sync(SEGMENT)
        };
        assert!(failed.is_err());
        assert!(
            segment_files.sync(SEGMENT).is_err()
                && segment_files.append(SEGMENT, 272, &[3; 100]).is_err()
        );
        assert!(segment_files.seal(SEGMENT, 272, &[5; 40]).is_err());
    }
}

#[test]
fn removing_a_missing_file_succeeds() {
    let disk = Disk::new();
    let mut segment_files = new_segment_files(&disk);
    fail_next_call(&disk, 0);
    assert!(
        segment_files.create_segment(SEGMENT, 0).is_err(),
        "never created"
    );
    segment_files.remove(SEGMENT).expect("nothing to remove");
    // The name was removed, but the sync failed: the second attempt makes the removal durable.
    let mut segment_files = segment_files_with_synced_record(&disk);
    fail_next_call(&disk, 1);
    assert!(segment_files.remove(SEGMENT).is_err());
    segment_files.remove(SEGMENT).expect("sound");
    assert!((0..20).all(|seed| disk.after_crash(seed).list().expect("names").is_empty()));
}
