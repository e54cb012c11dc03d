use super::*;
use proptest::prelude::*;

const ADDRESS: DiskAddress = DiskAddress {
    store_id: 77,
    segment: 5,
    offset: 4096,
};

fn arbitrary_copy() -> impl Strategy<Value = Copy> {
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
    (text(), text(), text(), body, numbers).prop_map(|(object, etag, class, body, numbers)| {
        let (part, group, created_at_ms, fresh_for_ms, kb, is_multipart) = numbers;
        Copy {
            object,
            part,
            group,
            class,
            created_at_ms,
            fresh_for_ms,
            kb,
            is_multipart,
            etag,
            body,
        }
    })
}

fn record(copy: &Copy, rank: u8) -> Vec<u8> {
    let mut out = Vec::new();
    encode_record(&mut out, copy, rank, ADDRESS);
    out
}

proptest! {
    #[test]
    fn a_record_decodes_only_at_its_own_address(copy in arbitrary_copy(), rank in 1u8..4) {
        let bytes = Bytes::from(record(&copy, rank));
        prop_assert_eq!(bytes.len(), record_len(&copy));
        prop_assert_eq!(decode_record(&bytes, ADDRESS), Ok((copy, rank)));
        for address in [
            DiskAddress { offset: 4104, ..ADDRESS },
            DiskAddress { segment: 6, ..ADDRESS },
            DiskAddress { store_id: 78, ..ADDRESS },
        ] {
            prop_assert!(decode_record(&bytes, address).is_err());
        }
    }

    #[test]
    fn flipped_bits_and_truncation_are_detected(copy in arbitrary_copy(), offset in any::<prop::sample::Index>(), bit in 0u8..8) {
        let whole = record(&copy, 2);
        let (header, body) = (record_header_len(&copy), copy.body.len());
        // The padding after a body is not covered by a checksum.
        let offset = offset.index(header + body);
        let mut flipped = whole.clone();
        flipped[offset] ^= 1 << bit;
        prop_assert!(decode_record(&Bytes::from(flipped), ADDRESS).is_err(), "bit {bit} of byte {offset}");
        prop_assert!(decode_record(&Bytes::from(whole[..offset].to_vec()), ADDRESS).is_err(), "cut at {offset}");
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..400), offset in any::<u32>()) {
        let _ = decode_segment_header(&bytes, 1, 1);
        let _ = (decode_record_header(&bytes, DiskAddress { offset, ..ADDRESS }), decode_footer(&bytes, 1, 1, offset));
        let _ = (locate_footer(&bytes, u64::from(offset)), find_record_magic(&bytes, offset as usize % 500));
        // A magic number in front gets past the first check.
        let marked = [&RECORD_MAGIC[..], &bytes].concat();
        prop_assert!(decode_record(&Bytes::from(marked), ADDRESS).is_err());
    }

    #[test]
    fn a_footer_decodes_and_flipped_bits_are_detected(
        keys in prop::collection::vec(any::<u64>(), 0..60),
        offset in any::<prop::sample::Index>(),
    ) {
        let entry = |(n, key): (usize, &u64)| FooterEntry {
            key: *key, object: !key, offset: 64 + n as u32 * 8, length: 8, created_at_ms: key >> 3, group: 1023, rank: 3, tag: 9,
        };
        let entries: Vec<FooterEntry> = keys.iter().enumerate().map(entry).collect();
        let bytes = encode_footer(&entries, 1, 2, 640);
        let length = 640 + bytes.len() as u64;
        prop_assert_eq!(locate_footer(&bytes[bytes.len() - FOOTER_TRAILER_LEN..], length), Some((640, bytes.len())));
        prop_assert_eq!(decode_footer(&bytes, 1, 2, 640), Ok(entries.clone()));
        prop_assert!(decode_footer(&bytes, 1, 3, 640).is_err() && decode_footer(&bytes, 1, 2, 648).is_err());
        let mut flipped = bytes.clone();
        flipped[offset.index(bytes.len())] ^= 16;
        prop_assert!(decode_footer(&flipped, 1, 2, 640).is_err());
    }
}

#[test]
fn an_unsupported_version_is_distinguished_from_damage() {
    let mut header = encode_segment_header(7, 3, 2);
    assert_eq!(decode_segment_header(&header, 7, 3), Ok(2));
    assert_eq!(
        decode_segment_header(&header, 8, 3),
        Err(FormatError::Damaged)
    );
    header[8] = 2;
    assert_eq!(
        decode_segment_header(&header, 7, 3),
        Err(FormatError::UnsupportedVersion(2))
    );
    assert_eq!(
        decode_segment_header(&header[..40], 7, 3),
        Err(FormatError::Truncated)
    );
}
