use super::*;
use proptest::prelude::*;

#[test]
fn commands_are_parsed_as_the_protocol_defines_them() {
    let line = "ASK 00000000000000a1 cls=page,item=7f3a9c21e0b4d655,chunk=3,limit=900,src=p1,keep=2,\
                maxage=500,\
                flags=collapse+only-if-cached 12";
    let Some(Command::Attempt(message, 12)) = parse_command(line) else {
        panic!("not parsed")
    };
    assert_eq!((message.id, message.key), (0xa1, (0x7f3a9c21e0b4d655, 3)));
    assert_eq!(
        (
            message.source.as_deref(),
            message.priority,
            message.max_age_ms
        ),
        (Some("p1"), 2, Some(500))
    );
    assert!(message.only_if_cached && message.store_at_parent);
    assert!(matches!(
        parse_command("QUIT 00000000000000a1"),
        Some(Command::Quit(0xa1))
    ));
    assert!(matches!(parse_command("NOOP 7"), Some(Command::Noop(tag)) if tag == "7"));
    for wrong in [
        "ASK x - 0",
        "ASK a1 keep=9 0",
        "ASK a1 - 999999",
        "NOOP",
        "",
    ] {
        assert!(parse_command(wrong).is_none(), "{wrong}");
    }
}

#[test]
fn responses_are_decoded_however_they_are_split() {
    let made = encode_body((0xabc, 2), 77, 3.0);
    let mut bytes = encode_array(&[b"7", b"ACK", b"ver=1", &made]);
    bytes.extend(encode_array(&[b"8", b"NAK", b"w=250", b""]));
    for cut in 0..bytes.len() {
        let (mut buffer, mut all) = (BytesMut::new(), Vec::new());
        for part in [&bytes[..cut], &bytes[cut..]] {
            buffer.extend_from_slice(part);
            while let Some(parts) = decode_array(&mut buffer).unwrap() {
                all.push(parse_response(&parts).unwrap());
            }
        }
        assert_eq!(all[0], (7, Response::Served(Some(((0xabc, 2), 77)))));
        assert_eq!(
            all[1],
            (8, Response::Rejected(Some(Duration::from_millis(250))))
        );
    }
}

proptest! {
    #[test]
    fn no_bytes_make_a_parser_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut buffer = BytesMut::from(&bytes[..]);
        while let Ok(Some(parts)) = decode_array(&mut buffer) {
            let _ = parse_response(&parts);
            if buffer.is_empty() { break }
        }
        let _ = (parse_command(&String::from_utf8_lossy(&bytes)), parse_body(&bytes));
    }
}
