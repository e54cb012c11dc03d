use super::*;

fn all(decoder: &mut FrameDecoder, buffer: &mut BytesMut) -> Result<Vec<Vec<Bytes>>, FrameError> {
    let mut found = Vec::new();
    while let Some(frame) = decoder.next(buffer)? {
        found.push(frame);
    }
    Ok(found)
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

#[test]
fn fields_are_the_received_bytes() {
    let list = Bytes::from_static(b"i=9b,d=1500,,x,ver=a=b");
    let found: Vec<_> = fields(&list).collect();
    assert_eq!(found[1], (&b"d"[..], Bytes::from_static(b"1500")));
    assert_eq!(found[2], (&b"ver"[..], Bytes::from_static(b"a=b")));
    assert_eq!(found.len(), 3);
}

#[test]
fn a_response_reads_back_as_it_was_written() {
    let mut stream = BytesMut::from(&response_head(12, ResponseStatus::Rejected, "w=200", 0)[..]);
    stream.extend_from_slice(RESPONSE_END);
    let frame = FrameDecoder::default().next(&mut stream).unwrap().unwrap();
    assert_eq!(frame, [&b"12"[..], b"NAK", b"w=200", b""]);
    assert!(stream.is_empty());
}
