use super::*;
use crate::files::Files;
use crate::format::{encode_record, encode_segment_header};
use crate::stand_ins::{Disk, TestPart};
use proptest::prelude::*;

/// A segment of intact records, with the offset of each.
fn segment(parts: u64, sizes: usize) -> (Vec<u8>, Vec<u32>) {
    let (mut bytes, mut offsets) = (encode_segment_header(9, 4, 1).to_vec(), Vec::new());
    for part in 0..parts {
        let offset = bytes.len() as u32;
        offsets.push(offset);
        let copy = TestPart { object: 5, part }.copy_of_version(1, 1000 + part, sizes);
        encode_record(
            &mut bytes,
            &copy,
            2,
            DiskAddress {
                store_id: 9,
                segment: 4,
                offset,
            },
        );
    }
    (bytes, offsets)
}

fn recover_bytes(bytes: &[u8]) -> Recovered {
    let disk = Disk::new();
    disk.create("s").expect("new");
    disk.swap("s", bytes);
    recover(&*disk.open("s").expect("there"), 9, 4).expect("no fault")
}

proptest! {
    /// Damage loses only the records that it overlaps.
    #[test]
    fn intact_records_behind_damage_are_found(
        holes in prop::collection::vec((any::<prop::sample::Index>(), 1usize..700), 0..5),
        sizes in 1usize..900,
    ) {
        let (mut bytes, offsets) = segment(20, sizes);
        let mut touched = std::collections::HashSet::new();
        for (offset, length) in holes {
            let offset = 64 + offset.index(bytes.len() - 64);
            let end = (offset + length).min(bytes.len());
            bytes[offset..end].iter_mut().for_each(|byte| *byte = !*byte);
            let ends = offsets.iter().skip(1).map(|p| *p as usize).chain([bytes.len()]);
            for (n, (from, to)) in offsets.iter().zip(ends).enumerate() {
                // Two overlapping holes may cancel out, so a record in `touched` may still be intact.
                if offset < to && end > *from as usize {
                    touched.insert(n as u64);
                }
            }
        }
        let found = recover_bytes(&bytes);
        let recovered: Vec<u32> = found.entries.iter().map(|e| e.offset).collect();
        for (n, offset) in offsets.iter().enumerate() {
            prop_assert!(recovered.contains(offset) || touched.contains(&(n as u64)), "record {n} at {offset} was lost");
        }
    }

    #[test]
    fn arbitrary_files_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..3000)) {
        prop_assert!(recover_bytes(&bytes).entries.is_empty());
    }
}

#[test]
fn a_torn_tail_is_truncated_and_the_segment_sealed() {
    let (bytes, offsets) = segment(5, 300);
    let cut = offsets[4] as usize + 100;
    let disk = Disk::new();
    disk.create("s").expect("new");
    disk.swap("s", &bytes[..cut]);
    let file = disk.open("s").expect("there");
    let first = recover(&*file, 9, 4).expect("no fault");
    assert_eq!(
        (
            first.entries.len(),
            first.torn_bytes,
            first.damaged,
            first.sealed
        ),
        (4, 100, 1, false)
    );
    seal(&*file, 9, 4, &first).expect("no fault");
    let again = recover(&*file, 9, 4).expect("no fault");
    assert_eq!(
        (first.class, again.class, again.end),
        (1, 1, first.end),
        "as it was begun"
    );
    assert_eq!((again.entries, again.sealed), (first.entries, true));
}
