use super::*;

fn all(decoder: &mut AnswerDecoder, buffer: &mut BytesMut) -> Result<Vec<Answer>, ProtocolError> {
    let mut answers = Vec::new();
    while let Some(answer) = decoder.decode(buffer, &mut |_, _| true)? {
        answers.push(answer);
    }
    Ok(answers)
}

#[test]
fn answers_are_the_same_at_every_split() {
    let stream = b"a1 OK tell=hit,etag=4be0,made=17,meter=inflight:7;util:0.61 6\r\nx\r\ny\r\n\r\n\
        b2 MISS - 0\r\n\r\nc3 SAME tell=via_origin,ttfb=12.5,etag=q 0\r\n\r\n";
    let expected = all(
        &mut AnswerDecoder::default(),
        &mut BytesMut::from(&stream[..]),
    )
    .unwrap();
    assert_eq!(expected.len(), 3);
    assert_eq!(
        (expected[0].outcome, expected[0].remark),
        (Outcome::Served, Remark::Hit)
    );
    assert_eq!(expected[0].body, &b"x\r\ny\r\n"[..]);
    assert_eq!(
        (expected[0].load.in_service, expected[0].load.utilization),
        (Some(7.0), Some(0.61))
    );
    assert_eq!(expected[1].outcome, Outcome::Missing);
    assert!(expected[2].is_not_modified);
    assert_eq!(expected[2].first_byte, Some(Duration::from_micros(12_500)));
    for at in 0..=stream.len() {
        let (mut decoder, mut buffer) = (AnswerDecoder::default(), BytesMut::from(&stream[..at]));
        let mut answers = all(&mut decoder, &mut buffer).unwrap();
        buffer.extend_from_slice(&stream[at..]);
        answers.extend(all(&mut decoder, &mut buffer).unwrap());
        assert_eq!(answers, expected, "split at {at}");
    }
}

/// Guards against a router that is killed for its memory: whole bodies were received before anyone
/// asked whether there was memory for them.
#[test]
fn a_body_that_is_not_admitted_takes_no_memory_at_any_split() {
    let body = "x".repeat(10_000);
    let stream = format!("a1 OK etag=4be0 10000\r\n{body}\r\nb2 OK - 3\r\nabc\r\n");
    for at in [
        0, 10, 22, 23, 24, 5000, 10_022, 10_023, 10_024, 10_025, 10_030,
    ] {
        let mut decoder = AnswerDecoder::default();
        let mut asked = Vec::new();
        let mut answers = Vec::new();
        let mut buffer = BytesMut::new();
        for part in [&stream[..at], &stream[at..]] {
            buffer.extend_from_slice(part.as_bytes());
            let admits = &mut |id: &Bytes, bytes| {
                asked.push((id.clone(), bytes));
                id != "a1"
            };
            while let Some(answer) = decoder.decode(&mut buffer, admits).unwrap() {
                answers.push(answer);
            }
            assert!(
                decoder.body_buffer().is_none() && buffer.len() < 32,
                "split at {at}"
            );
        }
        assert_eq!(
            asked,
            [("a1".into(), 10_000), ("b2".into(), 3)],
            "split at {at}"
        );
        assert!(answers[0].is_body_discarded() && answers[0].body.is_empty());
        assert_eq!(
            (answers[0].etag.as_deref(), answers[1].body.as_ref()),
            (Some(&b"4be0"[..]), &b"abc"[..])
        );
        assert!(!answers[1].is_body_discarded());
    }
}

#[test]
fn a_body_that_is_not_admitted_has_to_end_with_a_line_end() {
    for stream in ["a OK - 3\r\nabcd\r", "a OK - 3\r\nabc\rx"] {
        let mut buffer = BytesMut::from(stream);
        let decoded = AnswerDecoder::default().decode(&mut buffer, &mut |_, _| false);
        assert_eq!(decoded, Err(ProtocolError::BodyEnd), "{stream:?}");
    }
}

#[test]
fn the_rest_of_a_body_is_read_into_a_buffer_of_its_size() {
    let mut decoder = AnswerDecoder::default();
    let mut buffer = BytesMut::from("a OK - 50000\r\nxxx");
    let decoded = decoder.decode(&mut buffer, &mut |_, _| true);
    assert_eq!(decoded, Ok(None));
    let rest = decoder.body_buffer().expect("a buffer");
    assert_eq!(rest.remaining_mut(), 50_000 - 3 + 2);
    assert_eq!(rest.get_ref().capacity(), 50_002);
}

#[test]
fn malformed_answers_are_protocol_errors() {
    let malformed = [
        ("a OK - 256001\r\n", ProtocolError::BodyLength),
        ("a WHAT - 0\r\n", ProtocolError::UnknownStatus),
        ("a OK -\r\n", ProtocolError::WordCount),
        ("a OK - 1 2\r\n", ProtocolError::WordCount),
        ("a OK - 1\r\nxyz", ProtocolError::BodyEnd),
        ("a OK - -1\r\n", ProtocolError::BodyLength),
    ];
    for (text, error) in malformed {
        let decoded = all(&mut AnswerDecoder::default(), &mut BytesMut::from(text));
        assert_eq!(decoded, Err(error), "{text:?}");
    }
    let long = "a".repeat(MAX_LINE_BYTES);
    let decoded = all(
        &mut AnswerDecoder::default(),
        &mut BytesMut::from(long.as_str()),
    );
    assert_eq!(decoded, Err(ProtocolError::LineTooLong));
}

fn encoded(forwarded: &ForwardedFields, server: &str, remaining: Duration, fill: &Fill) -> Bytes {
    let chunks = encode_request(forwarded, server, remaining, fill);
    let slices = chunks.slices();
    Bytes::from(
        slices
            .iter()
            .flat_map(|slice| slice.iter().copied())
            .collect::<Vec<u8>>(),
    )
}

#[test]
fn requests_are_encoded_with_their_fill_fields() {
    let bytes = Bytes::from_static;
    let mut forwarded = ForwardedFields {
        id: bytes(b"a1"),
        class: bytes(b"page"),
        object: bytes(b"o1"),
        ..ForwardedFields::default()
    };
    forwarded.part = bytes(b"3");
    let mut fill = Fill {
        source: "p1".into(),
        priority: 2,
        max_age: Some(Duration::from_micros(10)),
        may_join: true,
        only_held: true,
        parent_keeps: false,
        revalidate: true,
    };
    let limit = Duration::from_millis(1500);
    assert_eq!(
        encoded(&forwarded, "s1", limit, &fill),
        "ASK a1 cls=page,item=o1,chunk=3,limit=1500,src=p1,keep=2,maxage=1,\
         flags=collapse+only-if-cached+no-store-up+refresh 0\r\n\r\n"
    );
    fill = Fill {
        priority: 0,
        max_age: None,
        may_join: false,
        only_held: false,
        parent_keeps: true,
        revalidate: false,
        ..fill
    };
    (forwarded.client_etag, forwarded.body) = (Some(bytes(b"4be0")), bytes(b"xy"));
    assert_eq!(
        encoded(&forwarded, "p1", limit, &fill),
        "ASK a1 cls=page,item=o1,chunk=3,limit=1500,have=4be0 2\r\nxy\r\n"
    );
    assert_eq!(encode_cancel(b"a1"), "QUIT a1\r\n");
}
