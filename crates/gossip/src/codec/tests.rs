use super::*;
use proptest::prelude::*;

fn datagrams() -> impl Strategy<Value = Datagram> {
    let finding = (0u32..1 << KEY_BITS, 1u8..).prop_map(|(part, cache)| Finding { part, cache });
    let all = (
        any::<bool>(),
        any::<u16>(),
        prop::collection::vec(finding, 0..70),
    );
    all.prop_map(|(seeks_peers, zone, findings)| Datagram {
        seeks_peers,
        zone,
        findings,
    })
}

proptest! {
    #[test]
    fn encoding_round_trips_up_to_the_datagram_limit(sent in datagrams()) {
        let bytes = sent.encode();
        prop_assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        let decoded = Datagram::decode(&bytes).expect("valid bytes");
        prop_assert_eq!((decoded.seeks_peers, decoded.zone), (sent.seeks_peers, sent.zone));
        prop_assert_eq!(&decoded.findings[..], &sent.findings[..sent.findings.len().min(MAX_FINDINGS)]);
    }

    #[test]
    fn decoding_accepts_only_bytes_that_encode_to_themselves(
        mut bytes in prop::collection::vec(any::<u8>(), 0..300), with_header: bool,
    ) {
        if with_header && bytes.len() > 1 {
            (bytes[0], bytes[1]) = (FINDINGS_FORMAT, bytes[1] & SEEKS_PEERS_FLAG);
        }
        if let Ok(read) = Datagram::decode(&bytes) {
            prop_assert_eq!(read.encode(), bytes);
        }
    }

    #[test]
    fn loads_round_trip_and_only_canonical_bytes_decode(
        loads in prop::collection::vec((1u8.., any::<u16>(), any::<u8>()), 0..80), zone: u16,
        bytes in prop::collection::vec(any::<u8>(), 0..270),
    ) {
        let load = |(cache, work_ms, requests)| Load { cache, work_ms, requests };
        let loads: Vec<Load> = loads.into_iter().map(load).collect();
        let sent = encode_loads(zone, &loads);
        prop_assert!(sent.len() <= MAX_DATAGRAM_BYTES);
        let decoded = decode_loads(&sent).expect("a datagram of loads").expect("valid bytes");
        prop_assert_eq!(decoded, (zone, loads[..loads.len().min(63)].to_vec()));
        prop_assert!(Datagram::decode(&sent).is_err(), "a decoder of findings rejects a datagram of loads");
        if let Some(Ok((zone, loads))) = decode_loads(&bytes) {
            prop_assert_eq!(encode_loads(zone, &loads), bytes);
        }
    }

    #[test]
    fn a_datagram_truncated_within_a_finding_is_rejected(sent in datagrams(), cut in 0usize..256) {
        let bytes = sent.encode();
        if cut < bytes.len() && (cut < HEADER_BYTES || !(cut - HEADER_BYTES).is_multiple_of(FINDING_BYTES)) {
            prop_assert_eq!(Datagram::decode(&bytes[..cut]), Err(DecodeError::Length));
        }
    }

    #[test]
    fn a_bit_flip_in_the_header_is_rejected_or_changes_only_the_search_flag(sent in datagrams(), bit in 0usize..16) {
        let mut bytes = sent.encode();
        bytes[bit / 8] ^= 1 << (bit % 8);
        match Datagram::decode(&bytes) {
            Ok(read) => prop_assert!(bit == 8 && read.seeks_peers != sent.seeks_peers),
            Err(error) => prop_assert_eq!(error, DecodeError::UnknownFormat),
        }
    }
}

#[test]
fn out_of_range_values_and_lengths_are_rejected() {
    for finding in [
        Finding {
            part: u32::MAX,
            cache: 1,
        },
        Finding { part: 1, cache: 0 },
    ] {
        let invalid = Datagram {
            findings: vec![finding],
            ..Datagram::default()
        };
        assert_eq!(Datagram::decode(&invalid.encode()), Err(DecodeError::Value));
    }
    let mut oversized = Datagram::default().encode();
    oversized.extend([1; 255]);
    assert_eq!(Datagram::decode(&oversized), Err(DecodeError::Length));
}
