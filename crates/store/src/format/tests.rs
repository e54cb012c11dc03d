use super::*;
use proptest::prelude::*;

const PLACE: Place = Place {
    store: 77,
    segment: 5,
    at: 4096,
};

fn copies() -> impl Strategy<Value = Copy> {
    let text = || prop::collection::vec(any::<u8>(), 0..40).prop_map(Bytes::from);
    let body = prop::collection::vec(any::<u8>(), 0..3000).prop_map(Bytes::from);
    let numbers = (
        any::<u64>(),
        any::<u64>(),
        any::<u64>(),
        any::<u64>(),
        0.0f64..1e6,
        any::<bool>(),
    );
    (text(), text(), text(), body, numbers).prop_map(|(object, tag, class, body, numbers)| {
        let (part, group, made, fresh, kb, in_parts) = numbers;
        Copy {
            object,
            part,
            group,
            class,
            made,
            fresh,
            kb,
            in_parts,
            tag,
            body,
        }
    })
}

fn record(copy: &Copy, rank: u8) -> Vec<u8> {
    let mut out = Vec::new();
    write_record(&mut out, copy, rank, PLACE);
    out
}

proptest! {
    #[test]
    fn a_record_reads_back_and_only_at_its_place(copy in copies(), rank in 1u8..4) {
        let bytes = Bytes::from(record(&copy, rank));
        prop_assert_eq!(bytes.len(), record_length(&copy));
        prop_assert_eq!(read_record(&bytes, PLACE), Ok((copy, rank)));
        for place in [
            Place { at: 4104, ..PLACE },
            Place { segment: 6, ..PLACE },
            Place { store: 78, ..PLACE },
        ] {
            prop_assert!(read_record(&bytes, place).is_err());
        }
    }

    #[test]
    fn no_flipped_bit_and_no_cut_passes(copy in copies(), at in any::<prop::sample::Index>(), bit in 0u8..8) {
        let whole = record(&copy, 2);
        let (head, body) = (head_length(&copy), copy.body.len());
        // What pads a body to its end says nothing, and may be anything.
        let at = at.index(head + body);
        let mut flipped = whole.clone();
        flipped[at] ^= 1 << bit;
        prop_assert!(read_record(&Bytes::from(flipped), PLACE).is_err(), "bit {bit} of byte {at}");
        prop_assert!(read_record(&Bytes::from(whole[..at].to_vec()), PLACE).is_err(), "cut at {at}");
    }

    #[test]
    fn whatever_bytes_come_nothing_breaks(bytes in prop::collection::vec(any::<u8>(), 0..400), at in any::<u32>()) {
        let _ = read_segment_head(&bytes, 1, 1);
        let _ = (read_head(&bytes, Place { at, ..PLACE }), read_footer(&bytes, 1, 1, at));
        let _ = (footer_span(&bytes, u64::from(at)), next_mark(&bytes, at as usize % 500));
        // A mark in front leads further in.
        let marked = [&RECORD_MAGIC[..], &bytes].concat();
        prop_assert!(read_record(&Bytes::from(marked), PLACE).is_err());
    }

    #[test]
    fn a_footer_reads_back_and_no_flipped_bit_passes(
        keys in prop::collection::vec(any::<u64>(), 0..60),
        at in any::<prop::sample::Index>(),
    ) {
        let entry = |(n, key): (usize, &u64)| Entry {
            key: *key, object: !key, at: 64 + n as u32 * 8, length: 8, made: key >> 3, group: 1023, rank: 3, tag: 9,
        };
        let entries: Vec<Entry> = keys.iter().enumerate().map(entry).collect();
        let bytes = footer(&entries, 1, 2, 640);
        let length = 640 + bytes.len() as u64;
        prop_assert_eq!(footer_span(&bytes[bytes.len() - TRAILER..], length), Some((640, bytes.len())));
        prop_assert_eq!(read_footer(&bytes, 1, 2, 640), Ok(entries.clone()));
        prop_assert!(read_footer(&bytes, 1, 3, 640).is_err() && read_footer(&bytes, 1, 2, 648).is_err());
        let mut flipped = bytes.clone();
        flipped[at.index(bytes.len())] ^= 16;
        prop_assert!(read_footer(&flipped, 1, 2, 640).is_err());
    }
}

#[test]
fn a_segment_of_another_version_is_told_apart_from_a_damaged_one() {
    let mut head = segment_head(7, 3, 2);
    assert_eq!(read_segment_head(&head, 7, 3), Ok(2));
    assert_eq!(read_segment_head(&head, 8, 3), Err(Wrong::Damaged));
    head[8] = 2;
    assert_eq!(read_segment_head(&head, 7, 3), Err(Wrong::Version(2)));
    assert_eq!(read_segment_head(&head[..40], 7, 3), Err(Wrong::Short));
}
