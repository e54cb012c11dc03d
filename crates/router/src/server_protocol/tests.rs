use super::*;

fn all(answers: &mut Answers, buffer: &mut BytesMut) -> Result<Vec<Answer>, ProtocolError> {
    let mut found = Vec::new();
    while let Some(answer) = answers.next(buffer)? {
        found.push(answer);
    }
    Ok(found)
}

#[test]
fn answers_are_the_same_at_every_split() {
    let stream = b"a1 OK tell=hit,etag=4be0,made=17,meter=inflight:7;util:0.61 6\r\nx\r\ny\r\n\r\nb2 MISS - 0\r\n\r\nc3 SAME tell=via_origin,ttfb=12.5,etag=q 0\r\n\r\n";
    let whole = all(&mut Answers::default(), &mut BytesMut::from(&stream[..])).unwrap();
    assert_eq!(whole.len(), 3);
    assert_eq!(
        (whole[0].outcome, whole[0].remark),
        (Outcome::Served, Remark::Hit)
    );
    assert_eq!(whole[0].body, &b"x\r\ny\r\n"[..]);
    assert_eq!(
        (whole[0].load.in_hand, whole[0].load.busy),
        (Some(7.0), Some(0.61))
    );
    assert_eq!(whole[1].outcome, Outcome::Missing);
    assert!(whole[2].same);
    assert_eq!(whole[2].first_byte, Some(Duration::from_micros(12_500)));
    for at in 0..=stream.len() {
        let (mut answers, mut buffer) = (Answers::default(), BytesMut::from(&stream[..at]));
        let mut found = all(&mut answers, &mut buffer).unwrap();
        buffer.extend_from_slice(&stream[at..]);
        found.extend(all(&mut answers, &mut buffer).unwrap());
        assert_eq!(found, whole, "split at {at}");
    }
}

#[test]
fn nonsense_is_refused() {
    let bad = [
        "a OK - 256001\r\n",
        "a WHAT - 0\r\n",
        "a OK -\r\n",
        "a OK - 1 2\r\n",
        "a OK - 1\r\nxyz",
        "a OK - -1\r\n",
    ];
    for text in bad {
        assert!(
            all(&mut Answers::default(), &mut BytesMut::from(text)).is_err(),
            "{text:?}"
        );
    }
    let long = "a".repeat(LINE_MOST);
    assert!(all(&mut Answers::default(), &mut BytesMut::from(long.as_str())).is_err());
}

#[test]
fn a_request_says_what_was_ordered() {
    let bytes = Bytes::from_static;
    let mut passed = ForwardedFields {
        id: bytes(b"a1"),
        class: bytes(b"page"),
        object: bytes(b"o1"),
        ..ForwardedFields::default()
    };
    passed.part = bytes(b"3");
    let mut fill = Fill {
        source: "p1".into(),
        rank: 2,
        oldest: Some(Duration::from_micros(10)),
        join: true,
        only_held: true,
        parent_keeps: false,
        renew: true,
    };
    let limit = Duration::from_millis(1500);
    assert_eq!(
        ask(&passed, "s1", limit, &fill),
        "ASK a1 cls=page,item=o1,chunk=3,limit=1500,src=p1,keep=2,maxage=1,\
         flags=collapse+only-if-cached+no-store-up+refresh 0\r\n"
    );
    fill = Fill {
        rank: 0,
        oldest: None,
        join: false,
        only_held: false,
        parent_keeps: true,
        renew: false,
        ..fill
    };
    (passed.have, passed.body) = (Some(bytes(b"4be0")), bytes(b"xy"));
    assert_eq!(
        ask(&passed, "p1", limit, &fill),
        "ASK a1 cls=page,item=o1,chunk=3,limit=1500,have=4be0 2\r\n"
    );
    assert_eq!(quit(b"a1"), "QUIT a1\r\n");
}
