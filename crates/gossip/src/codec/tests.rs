use super::*;
use proptest::prelude::*;

fn datagrams() -> impl Strategy<Value = Datagram> {
    let finding = (0u32..1 << KEY_BITS, 1u8..).prop_map(|(part, cache)| Finding { part, cache });
    let all = (
        any::<bool>(),
        any::<u16>(),
        prop::collection::vec(finding, 0..70),
    );
    all.prop_map(|(looking, zone, findings)| Datagram {
        looking,
        zone,
        findings,
    })
}

proptest! {
    #[test]
    fn what_is_told_comes_back_as_far_as_it_fits(told in datagrams()) {
        let bytes = told.encode();
        prop_assert!(bytes.len() <= MOST_BYTES);
        let back = Datagram::decode(&bytes).expect("own bytes");
        prop_assert_eq!((back.looking, back.zone), (told.looking, told.zone));
        prop_assert_eq!(&back.findings[..], &told.findings[..told.findings.len().min(FINDINGS_MOST)]);
    }

    #[test]
    fn any_bytes_are_read_whole_or_refused(
        mut bytes in prop::collection::vec(any::<u8>(), 0..300), own: bool,
    ) {
        if own && bytes.len() > 1 {
            (bytes[0], bytes[1]) = (FORMAT, bytes[1] & LOOKING);
        }
        if let Ok(read) = Datagram::decode(&bytes) {
            prop_assert_eq!(read.encode(), bytes);
        }
    }

    #[test]
    fn loads_come_back_and_any_bytes_are_read_whole_or_refused(
        told in prop::collection::vec((1u8.., any::<u16>(), any::<u8>()), 0..80), zone: u16,
        bytes in prop::collection::vec(any::<u8>(), 0..270),
    ) {
        let load = |(cache, work_ms, count)| Load { cache, work_ms, count };
        let told: Vec<Load> = told.into_iter().map(load).collect();
        let sent = encode_loads(zone, &told);
        prop_assert!(sent.len() <= MOST_BYTES);
        let back = decode_loads(&sent).expect("loads").expect("own bytes");
        prop_assert_eq!(back, (zone, told[..told.len().min(63)].to_vec()));
        prop_assert!(Datagram::decode(&sent).is_err(), "who does not know them takes nothing from them");
        if let Some(Ok((zone, loads))) = decode_loads(&bytes) {
            prop_assert_eq!(encode_loads(zone, &loads), bytes);
        }
    }

    #[test]
    fn what_is_cut_within_a_finding_is_refused(told in datagrams(), cut in 0usize..256) {
        let bytes = told.encode();
        if cut < bytes.len() && (cut < HEAD || !(cut - HEAD).is_multiple_of(FINDING)) {
            prop_assert_eq!(Datagram::decode(&bytes[..cut]), Err(Fault::Length));
        }
    }

    #[test]
    fn a_flipped_head_is_refused_or_says_something_else(told in datagrams(), bit in 0usize..16) {
        let mut bytes = told.encode();
        bytes[bit / 8] ^= 1 << (bit % 8);
        match Datagram::decode(&bytes) {
            Ok(read) => prop_assert!(bit == 8 && read.looking != told.looking),
            Err(fault) => prop_assert_eq!(fault, Fault::Format),
        }
    }
}

#[test]
fn absurd_values_and_lengths_are_refused() {
    for finding in [
        Finding {
            part: u32::MAX,
            cache: 1,
        },
        Finding { part: 1, cache: 0 },
    ] {
        let wrong = Datagram {
            findings: vec![finding],
            ..Datagram::default()
        };
        assert_eq!(Datagram::decode(&wrong.encode()), Err(Fault::Value));
    }
    let mut long = Datagram::default().encode();
    long.extend([1; 255]);
    assert_eq!(Datagram::decode(&long), Err(Fault::Length));
}
