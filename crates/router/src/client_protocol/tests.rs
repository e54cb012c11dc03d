use super::*;
use bytes::BytesMut;

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
    assert_eq!(frame.parts, [&b"12"[..], b"NAK", b"w=200", b""]);
    assert!(stream.is_empty());
}
