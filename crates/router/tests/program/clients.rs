//! Slow, silent, invalid and numerous clients, and the limits that apply to them.

use crate::support::*;
use serde_json::json;
use std::time::{Duration, Instant};

#[test]
fn invalid_client_messages_are_answered_or_close_only_their_connection() {
    let mut environment = TestEnvironment::new();
    let router = environment.start();
    let (mut client, id) = (router.connect(), "00000000000000aa");
    let faulty = [
        ("nowhere", format!("i={id},o={id},d=900")),
        ("page", format!("i=short,o={id},d=900")),
        ("page", format!("i={id},o=not hex digits!!,d=900")),
        ("page", format!("i={id},o={id},d=0")),
        ("page", format!("i={id},o={id}")),
        ("page", format!("i={id},o={id},d=soon")),
        ("page", format!("i={id},o={id},d=900,m=-1")),
        ("page", format!("i={id},o={id},d=900,m=NaN")),
        ("page", format!("i={id},o={id},d=900,m=700")),
        ("page", format!("i={id},o={id},d=900,lot=256")),
        ("page", format!("i={id},o={id},d=900,d=900")),
    ];
    for (tag, (class, fields)) in (1..).zip(&faulty) {
        client.send_raw_request(tag, class, fields, b"");
        assert_eq!(
            client.read_answer(),
            ClientAnswer::new(tag, "FAIL", "", b""),
            "{class} {fields}"
        );
    }
    client.send(&[b"WHAT", b"18"]);
    assert_eq!(client.read_answer_word(), "FAIL");
    for bad in [
        "*1\r\n$99999999\r\n",
        "PING\r\n",
        "*2\r\n$3\r\nREQ\r\n$1\r\nx\r\n",
    ] {
        let mut other = router.connect();
        other.write(bad.as_bytes());
        assert!(other.is_closed(), "{bad:?}");
    }
    assert_eq!(client.health(), "GREEN", "another connection was affected");
}

#[test]
fn a_deadline_beyond_any_clock_is_capped() {
    let (environment, _router, mut client) = start_router();
    client.send_request(19, "page", "d=999999999999999999", b"");
    let mut server = environment.server("c1").accept();
    let request = server.read_request();
    assert!(request.field("limit").parse::<u64>().unwrap() <= 60_000);
    server.respond(&request, "OK", "tell=hit", b"x");
    assert_eq!(client.read_answer_word(), "ACK");
}

/// A request whose id is in use is refused, and refusing it does not end the request that has the
/// id.
#[test]
fn a_request_id_in_use_is_refused_and_the_first_request_continues() {
    let (environment, router, mut client) = start_router();
    let id = client.send_request(20, "page", "", b"");
    let mut server = environment.server("c1").accept();
    let request = server.read_request();
    client.send_raw_request(21, "page", format!("i={id},o={id},d=900"), b"");
    assert_eq!(client.read_answer().word, "FAIL");
    // Nor does another client end the request by using its id, cancelling and disconnecting.
    let mut other = router.connect();
    other.send_raw_request(20, "page", format!("i={id},o={id},d=900"), b"");
    other.abort(20);
    other.send(&[b"HEALTH", b"1000", b""]);
    // The refusal may be written before its cancellation is read; no other answer precedes that of
    // the health check.
    let mut answer = other.read_answer();
    if answer.tag == 20 {
        assert_eq!(answer, ClientAnswer::new(20, "FAIL", "", b""));
        answer = other.read_answer();
    }
    assert_eq!((answer.tag, answer.word.as_str()), (1000, "GREEN"));
    drop(other);
    assert_eq!(client.health(), "GREEN");
    server.respond(&request, "OK", "tell=hit", b"x");
    assert_eq!(client.read_answer(), ClientAnswer::new(20, "ACK", "", b"x"));
}

#[test]
fn a_request_over_the_limit_of_its_connection_fails() {
    let (_environment, _router, mut many) = start_router();
    (1..=33).for_each(|tag| drop(many.send_request(tag, "page", "", b"")));
    assert_eq!(many.read_answer(), ClientAnswer::new(33, "FAIL", "", b""));
}

#[test]
fn a_slow_reader_stalls_no_other_client_and_gets_every_answer() {
    let mut environment = TestEnvironment::new();
    let router = environment.start();
    let (mut slow, mut quick) = (router.connect(), router.connect());
    slow.send_request(1, "page", "", b"");
    let mut server = environment.server("c1").accept();
    let object = body_of_length(240_000);
    for tag in 1..=32 {
        server.respond_hit(&object);
        if tag < 32 {
            slow.send_request(tag + 1, "page", "", b"");
        }
    }
    quick.send_request(1, "page", "", b"");
    server.respond_hit(b"x");
    assert_eq!(quick.read_answer_word(), "ACK");
    for tag in 1..=32 {
        let ClientAnswer {
            tag: answered_tag,
            word,
            body,
            ..
        } = slow.read_answer();
        assert!(
            (answered_tag, word.as_str()) == (tag, "ACK") && body == object,
            "answer {tag}"
        );
    }
}

#[test]
fn requests_whose_bodies_exceed_the_memory_limit_are_rejected_at_admission() {
    let (environment, _router, mut client) =
        start_router_in(TestEnvironment::new().with_machine_limit("memory_mb", 1));
    client.send_request(1, "page", "", b"");
    client.send_request(2, "page", "", b"");
    client.send_request(3, "page", "", b"");
    assert_eq!(
        client.read_answer(),
        ClientAnswer::new(3, "NAK", "w=200", b"")
    );
    let mut server = environment.server("c1").accept();
    for tag in [1, 2] {
        server.respond_hit(&body_of_length(240_000));
        assert_eq!(client.read_answer().tag, tag);
    }
    client.send_request(4, "page", "", b"");
    server.respond_hit(b"x");
    assert_eq!(
        client.read_answer_word(),
        "ACK",
        "an answer that has been written still counts"
    );
    // More requests may be open while objects are small: reserving the largest size for each would
    // reject half of them.
    for tag in 1..=100 {
        client.send_request(tag, "page", "", b"");
        server.respond_hit(b"x");
        assert_eq!(client.read_answer_word(), "ACK");
    }
    for tag in 1..=5 {
        client.send_request(tag, "page", "", b"");
    }
    let requests: Vec<_> = (1..=5).map(|_| server.read_request()).collect();
    requests
        .iter()
        .for_each(|request| server.respond(request, "OK", "tell=hit", b"x"));
    (1..=5).for_each(|_| assert_eq!(client.read_answer_word(), "ACK"));
}

#[test]
fn reusing_an_open_tag_fails_its_request_and_closes_the_connection() {
    let (environment, _router, mut client) = start_router();
    client.send_request(1, "page", "", b"");
    let id = client.send_request(2, "page", "", b"");
    let mut server = environment.server("c1").accept();
    let requests = [server.read_request(), server.read_request()];
    client.send_request(2, "page", "", b"");
    let mut tags =
        [client.read_answer(), client.read_answer()].map(|answer| (answer.tag, answer.word));
    tags.sort();
    assert_eq!(tags, [(1, "FAIL".into()), (2, "FAIL".into())]);
    assert!(
        client.is_closed(),
        "the connection stayed open after a tag was reused"
    );
    assert!([server.read_line(), server.read_line()].contains(&format!("QUIT {id}")));
    requests
        .iter()
        .for_each(|request| server.respond(request, "OK", "tell=hit", b"late"));
}

#[test]
fn silent_clients_and_partial_messages_are_closed_within_the_time_limit() {
    let (environment, router, mut client) = start_router();
    let started_at = Instant::now();
    let mut silent = router.connect();
    let mut partials = [
        "*",
        "*5\r\n$3\r\nREQ\r\n",
        "*5\r\n$3\r\nREQ\r\n$1\r\n2\r\n$4\r\npage\r\n$9\r\ni=",
    ]
    .map(|partial| (partial, router.connect()));
    partials
        .iter_mut()
        .for_each(|(partial, client)| client.write(partial.as_bytes()));
    // A client with an open request gets a `FAIL` for it.
    client.send_request(1, "page", "", b"");
    environment.server("c1").accept().read_request();
    client.write(b"*2\r\n$6\r\nHEA");
    assert!(silent.is_closed() && partials.iter_mut().all(|(_, client)| client.is_closed()));
    assert_eq!(client.read_answer_word(), "FAIL");
    assert!(
        client.is_closed() && started_at.elapsed() < Duration::from_secs(3),
        "{:?}",
        started_at.elapsed()
    );
}

#[test]
fn idle_clients_are_evicted_for_active_ones_at_the_connection_limit() {
    for limits in ["ulimit -n 40;", ""] {
        let mut environment = TestEnvironment::new()
            .with_machine_limit("sockets", json!(if limits.is_empty() { 64 } else { 1024 }));
        let router = environment.spawn(limits);
        router.wait_until_ready();
        let started_at = Instant::now();
        let mut busy = router.connect();
        busy.send_request(1, "page", "", b"");
        let mut server = environment.server("c1").accept();
        let request = server.read_request();
        // Idle clients take every connection, half of them after a health check.
        let mut clients: Vec<TestClient> = (0..120).map(|_| router.connect()).collect();
        for client in &mut clients[60..] {
            client.send(&[b"HEALTH", b"1", b""]);
        }
        let mut last = router.connect();
        assert_eq!(last.health(), "GREEN");
        last.send_request(2, "page", "", b"");
        server.respond_hit(b"x");
        assert_eq!(last.read_answer_word(), "ACK");
        assert!(
            started_at.elapsed() < Duration::from_millis(1900),
            "idle clients were closed for their silence, not for the limit"
        );
        server.respond(&request, "OK", "tell=hit", b"y");
        assert_eq!(
            busy.read_answer().body,
            b"y",
            "a client with an open request was evicted"
        );
    }
}
