use super::*;

fn all(decoder: &mut FrameDecoder, buffer: &mut BytesMut) -> Result<Vec<Vec<Bytes>>, FrameError> {
    let mut found = Vec::new();
    loop {
        decoder.admit_part();
        match decoder.next(buffer)? {
            Some(frame) => found.push(frame.parts),
            None if decoder.awaits_admission().is_some() => {}
            None => return Ok(found),
        }
    }
}

#[test]
fn frames_are_the_same_however_the_stream_is_split() {
    let stream = b"*5\r\n$3\r\nREQ\r\n$1\r\n7\r\n$7\r\nsegment\r\n$5\r\ni=a,d\r\n$6\r\n\r\n$1\r\n\r\n*2\r\n$5\r\nABORT\r\n$1\r\n7\r\n";
    let whole = all(
        &mut FrameDecoder::default(),
        &mut BytesMut::from(&stream[..]),
    )
    .unwrap();
    assert_eq!(whole[0][4], &b"\r\n$1\r\n"[..]);
    assert_eq!(whole[1], [&b"ABORT"[..], b"7"]);
    assert_eq!(whole.len(), 2);
    for at in 0..=stream.len() {
        let (mut decoder, mut buffer) = (FrameDecoder::default(), BytesMut::from(&stream[..at]));
        let mut found = all(&mut decoder, &mut buffer).unwrap();
        buffer.extend_from_slice(&stream[at..]);
        found.extend(all(&mut decoder, &mut buffer).unwrap());
        assert_eq!(found, whole, "split at {at}");
    }
    let (mut decoder, mut buffer, mut found) =
        (FrameDecoder::default(), BytesMut::new(), Vec::new());
    for byte in stream {
        buffer.extend_from_slice(&[*byte]);
        found.extend(all(&mut decoder, &mut buffer).unwrap());
    }
    assert_eq!(found, whole);
}

#[test]
fn invalid_frames_are_rejected_before_memory_is_allocated() {
    let invalid = [
        "PING\r\n",
        "*6\r\n",
        "*0\r\n",
        "*x\r\n",
        "*-1\r\n",
        "*1\r\n$17\r\n",
        "*2\r\n$1\r\na\r\n$21\r\n",
        "*5\r\n$1\r\na\r\n$1\r\n1\r\n$1\r\na\r\n$1025\r\n",
        "*5\r\n$1\r\na\r\n$1\r\n1\r\n$1\r\na\r\n$1\r\na\r\n$64001\r\n",
        "*1\r\n$1\r\nab\r\n",
        "*1\r\n:1\r\n",
        "*99999999999999999999",
        "*1\n",
        "*1\r\n$\r\n",
    ];
    for text in invalid {
        let (mut decoder, mut buffer) = (FrameDecoder::default(), BytesMut::from(text));
        assert!(all(&mut decoder, &mut buffer).is_err(), "{text:?}");
    }
}

/// A write with a body of this length, and a short message behind it.
fn long_message(length: usize) -> Vec<u8> {
    let mut stream =
        format!("*5\r\n$3\r\nREQ\r\n$1\r\n7\r\n$1\r\na\r\n$1\r\nf\r\n${length}\r\n").into_bytes();
    stream.extend(std::iter::repeat_n(b'x', length));
    stream.extend_from_slice(b"\r\n*2\r\n$5\r\nABORT\r\n$1\r\n7\r\n");
    stream
}

/// Guards against a router that is killed for its memory: memory for a long part was allocated as
/// soon as its length was known.
#[test]
fn a_long_part_waits_for_its_admission() {
    let stream = long_message(50_000);
    let (mut decoder, mut buffer) = (FrameDecoder::default(), BytesMut::from(&stream[..60]));
    assert_eq!(decoder.next(&mut buffer), Ok(None));
    assert_eq!(decoder.awaits_admission(), Some(50_000));
    assert!(decoder.part_buffer().is_none());
    decoder.admit_part();
    assert_eq!(decoder.next(&mut buffer), Ok(None));
    let mut rest = decoder.part_buffer().unwrap();
    assert_eq!(rest.get_ref().capacity(), 50_002);
    let remaining = rest.remaining_mut();
    rest.put_slice(&stream[60..60 + remaining]);
    let frame = decoder.next(&mut buffer).unwrap().unwrap();
    assert_eq!(
        (frame.parts[4].len(), frame.is_part_discarded),
        (50_000, false)
    );
    buffer.extend_from_slice(&stream[60 + remaining..]);
    assert_eq!(decoder.next(&mut buffer).unwrap().unwrap().parts.len(), 2);
}

#[test]
fn a_long_part_can_be_discarded_before_and_while_it_is_received() {
    let stream = long_message(50_000);
    for received in [60, 20_000, 50_040] {
        let mut decoder = FrameDecoder::default();
        let mut buffer = BytesMut::from(&stream[..60]);
        assert_eq!(decoder.next(&mut buffer), Ok(None));
        if received > 60 {
            decoder.admit_part();
            buffer.extend_from_slice(&stream[60..received]);
            assert_eq!(decoder.next(&mut buffer), Ok(None));
        }
        decoder.discard_part();
        assert!(!decoder.has_admitted_part());
        buffer.extend_from_slice(&stream[received..]);
        let frame = decoder.next(&mut buffer).unwrap().unwrap();
        assert!(frame.is_part_discarded && frame.parts[4].is_empty());
        let next = decoder.next(&mut buffer).unwrap().unwrap();
        assert!(!next.is_part_discarded && next.parts.len() == 2);
    }
}
