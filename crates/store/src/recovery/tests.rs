use super::*;
use crate::files::Files;
use crate::format::{segment_head, write_record};
use crate::stand_ins::{Disk, Piece};
use proptest::prelude::*;

/// A segment of whole records, and where each begins.
fn segment(parts: u64, sizes: usize) -> (Vec<u8>, Vec<u32>) {
    let (mut bytes, mut places) = (segment_head(9, 4, 1).to_vec(), Vec::new());
    for part in 0..parts {
        let at = bytes.len() as u32;
        places.push(at);
        let copy = Piece { object: 5, part }.version(1, 1000 + part, sizes);
        write_record(
            &mut bytes,
            &copy,
            2,
            Place {
                store: 9,
                segment: 4,
                at,
            },
        );
    }
    (bytes, places)
}

fn found(bytes: &[u8]) -> Recovered {
    let disk = Disk::new();
    disk.create("s").expect("new");
    disk.swap("s", bytes);
    recover(&*disk.open("s").expect("there"), 9, 4).expect("no fault")
}

proptest! {
    /// Damage anywhere costs the records that it touches and no others.
    #[test]
    fn what_is_whole_is_found_behind_damage(
        holes in prop::collection::vec((any::<prop::sample::Index>(), 1usize..700), 0..5),
        sizes in 1usize..900,
    ) {
        let (mut bytes, places) = segment(20, sizes);
        let mut touched = std::collections::HashSet::new();
        for (at, length) in holes {
            let at = 64 + at.index(bytes.len() - 64);
            let end = (at + length).min(bytes.len());
            bytes[at..end].iter_mut().for_each(|byte| *byte = !*byte);
            let ends = places.iter().skip(1).map(|p| *p as usize).chain([bytes.len()]);
            for (n, (from, to)) in places.iter().zip(ends).enumerate() {
                // A hole may be undone by another: only what differs in the end counts.
                if at < to && end > *from as usize {
                    touched.insert(n as u64);
                }
            }
        }
        let found = found(&bytes);
        let whole: Vec<u32> = found.entries.iter().map(|e| e.at).collect();
        for (n, at) in places.iter().enumerate() {
            prop_assert!(whole.contains(at) || touched.contains(&(n as u64)), "record {n} at {at} was lost");
        }
    }

    #[test]
    fn whatever_a_file_holds_nothing_breaks(bytes in prop::collection::vec(any::<u8>(), 0..3000)) {
        prop_assert!(found(&bytes).entries.is_empty());
    }
}

#[test]
fn a_torn_tail_is_cut_and_the_next_start_need_not_walk() {
    let (bytes, places) = segment(5, 300);
    let cut = places[4] as usize + 100;
    let disk = Disk::new();
    disk.create("s").expect("new");
    disk.swap("s", &bytes[..cut]);
    let file = disk.open("s").expect("there");
    let first = recover(&*file, 9, 4).expect("no fault");
    assert_eq!(
        (first.entries.len(), first.torn, first.damaged, first.sealed),
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
