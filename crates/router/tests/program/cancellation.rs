//! Clients that cancel requests or leave: no attempt of theirs begins afterwards, and what has
//! begun is cancelled at its server. A row each in `docs/crossings.md`.

use crate::support::*;
use serde_json::json;
use std::time::Instant;

#[test]
fn a_client_that_cancels_or_leaves_has_its_attempts_cancelled() {
    let (environment, _router, mut client) = start_router();
    let id = client.send_request(1, "page", "", b"");
    let mut server = environment.server("c1").accept();
    let request = server.read_request();
    client.abort(1);
    assert_eq!(server.read_line(), format!("QUIT {id}"));
    server.respond(&request, "OK", "tell=hit", b"late");
    assert_eq!(client.health(), "GREEN", "no answer is owed");
    let id = client.send_request(2, "page", "", b"");
    server.read_request();
    drop(client);
    assert_eq!(server.read_line(), format!("QUIT {id}"));
}

/// More called off in one go than there are places for answers, each answered before it was: the
/// one that is wanted is answered too.
#[test]
fn an_answer_has_a_mailbox_slot_however_many_requests_were_cancelled_before() {
    let mut environment = all_servers_draining();
    let router = environment.start();
    let mut client = router.connect();
    let mut bytes = Vec::new();
    for tag in 1..=400u64 {
        bytes.extend(frame(&[
            b"REQ",
            tag.to_string().as_bytes(),
            b"page",
            &request_fields(tag),
            b"",
        ]));
        bytes.extend(frame(&[b"ABORT", tag.to_string().as_bytes()]));
    }
    bytes.extend(frame(&[
        b"REQ",
        b"1000",
        b"page",
        &request_fields(1000),
        b"",
    ]));
    // All of it is there when the router reads: in one piece, as far as that goes.
    router.pause();
    client.write(&bytes);
    router.resume();
    let mut last = client.read_answer();
    while last.tag != 1000 {
        // Answers that crossed their calling off.
        last = client.read_answer();
    }
    assert_eq!(last.word, "NAK");
    assert_eq!(client.health(), "GREEN");
}

/// One tag called off and used again at once, and both are answered.
#[test]
fn a_tag_reused_right_after_a_cancellation_gets_its_own_answer() {
    let (environment, _router, mut client) = start_router();
    client.send_request(1, "page", "", b"");
    let mut server = environment.server("c1").accept();
    let first = server.read_request();
    client.abort(1);
    client.send_request(1, "page", "", b"");
    assert_eq!(server.read_line(), format!("QUIT {}", first.id));
    let second = server.read_request();
    // It crossed the QUIT.
    server.respond(&first, "OK", HIT_FIELDS, b"first");
    server.respond(&second, "OK", HIT_FIELDS, b"second");
    assert_eq!(client.read_answer().body, b"second");
    assert_eq!(client.health(), "GREEN", "and no other");
}

/// By a reset, or by shutting its side: then the router has heard it when this is over.
fn disconnect(mut client: TestClient, reset: bool) {
    if reset {
        client.reset();
    } else {
        client.half_close();
        assert!(client.is_closed_in_order());
    }
}

/// A client that shuts its side has gone, as has one that resets: what is out is called off at
/// once.
#[test]
fn half_closed_and_reset_clients_have_their_attempts_cancelled() {
    let mut environment = TestEnvironment::new();
    let router = environment.start();
    for reset in [false, true] {
        let mut client = router.connect();
        let id = client.send_request(1, "page", "", b"");
        let mut server = environment.server("c1").accept();
        server.read_request();
        let left = Instant::now();
        disconnect(client, reset);
        assert_eq!(server.read_line(), format!("QUIT {id}"));
        assert!(left.elapsed() < 100 * MS, "{:?}", left.elapsed());
        environment.server("c1").close_and_wait(&router, server);
    }
}

/// What the system has taken for a server that hangs cannot be taken back: its QUIT follows right
/// behind it.
#[test]
fn a_request_unread_by_a_hung_server_is_followed_by_its_cancellation() {
    let mut environment = TestEnvironment::new();
    let router = environment.start();
    for reset in [false, true] {
        let mut client = router.connect();
        let id = client.send_request(1, "page", "", b"");
        let mut server = environment.server("c1").accept();
        wait_until("the request, unread", || server.has_unread_data());
        let gone = Instant::now();
        disconnect(client, reset);
        assert_eq!(server.read_request().id, id);
        assert_eq!(server.read_line(), format!("QUIT {id}"));
        assert!(gone.elapsed() < 100 * MS, "{:?}", gone.elapsed());
        environment.server("c1").close_and_wait(&router, server);
    }
}

/// A server hangs until its connection's socket is full. Who asks then and leaves is never sent on,
/// though the server reads on a moment later; also where settings forbid calling off what has
/// begun.
#[test]
fn a_request_queued_behind_a_full_socket_is_never_written_after_its_client_left() {
    [true, false]
        .into_iter()
        .for_each(writes_nothing_for_clients_that_left);
}

fn writes_nothing_for_clients_that_left(may_cancel: bool) {
    let mut environment = TestEnvironment::new().with_setting("Limits", "MayCancel", may_cancel);
    // Nowhere else to go; and so many are listed that each is given one connection.
    environment.servers.truncate(1);
    environment.servers[0].shrink_receive_buffer();
    let mut entries = vec![environment.server("c1").entry("active")];
    for n in 0..200 {
        entries.push(environment.server("c1").entry("leaving"));
        entries[n + 1]["host"] = json!(format!("leaving-{n}"));
    }
    environment = environment.with_known_endpoints(&entries);
    environment.file["settings"]["Limits"]["StreamsPerConn"] = json!(1000);
    let router = environment.start();
    // More than any system's buffers take of one connection.
    let body = vec![7; 63_000];
    let mut busy: Vec<TestClient> = (0..10).map(|_| router.connect()).collect();
    let mut first = Vec::new();
    for client in &mut busy {
        first.extend((1..=32).map(|tag| client.send_request(tag, "page", "", &body)));
    }
    // Each has been looked at by the router when what was asked after it has its answer.
    assert!(busy.iter_mut().all(|client| client.health() == "GREEN"));
    let mut left = Vec::new();
    for n in 0..30 {
        let mut client = router.connect();
        left.push(client.send_request(1000 + n, "page", "", b""));
        disconnect(client, n % 2 == 1);
    }
    // Those that reset have been heard too: another has come after them.
    assert_eq!(router.connect().health(), "GREEN");
    let mut server = environment.server("c1").accept();
    let come: Vec<String> = first
        .iter()
        .map(|_| {
            let request = server.read_request();
            server.respond(&request, "OK", HIT_FIELDS, b"x");
            request.id
        })
        .collect();
    assert!(
        left.iter().all(|id| !come.contains(id)),
        "sent on for one that has left"
    );
    assert!(
        busy.iter_mut()
            .all(|client| (1..=32).all(|_| client.read_answer_word() == "ACK"))
    );
    let last = busy[0].send_request(33, "page", "", b"");
    assert_eq!(
        server.read_request().id,
        last,
        "nothing else has come, not even a QUIT"
    );
    assert!(environment.server("c1").try_accept().is_none());
}

fn request_fields(tag: u64) -> Vec<u8> {
    format!("i={:016x},o={tag:016x},lot=1,m=1,d=4000", 0xabc_0000 + tag).into_bytes()
}
