//! Clients that cancel requests or disconnect: no attempt for them begins afterwards, and attempts
//! in progress are cancelled at their servers. `docs/crossings.md` has a row for each case.

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
    assert_eq!(
        client.health(),
        "GREEN",
        "an answer to the cancelled request"
    );
    let id = client.send_request(2, "page", "", b"");
    server.read_request();
    drop(client);
    assert_eq!(server.read_line(), format!("QUIT {id}"));
}

/// A client pipelines 400 requests with their cancellations, more than its mailbox has slots for
/// answers, and each is rejected before its cancellation is read. The next request is answered
/// nevertheless.
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
    // The router is paused, so that it finds all of this when it reads, as far as buffers allow.
    router.pause();
    client.write(&bytes);
    router.resume();
    let mut last = client.read_answer();
    while last.tag != 1000 {
        // Answers written before the cancellations were read.
        last = client.read_answer();
    }
    assert_eq!(last.word, "NAK");
    assert_eq!(client.health(), "GREEN");
}

/// A tag is cancelled and used again immediately: only the second request is answered.
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
    // This response was sent before the QUIT was read.
    server.respond(&first, "OK", HIT_FIELDS, b"first");
    server.respond(&second, "OK", HIT_FIELDS, b"second");
    assert_eq!(client.read_answer().body, b"second");
    assert_eq!(
        client.health(),
        "GREEN",
        "the first response was forwarded too"
    );
}

/// Disconnects a client by a reset or by a half-close. In the latter case the router has noticed
/// when this returns.
fn disconnect(mut client: TestClient, reset: bool) {
    if reset {
        client.reset();
    } else {
        client.half_close();
        assert!(client.is_closed_in_order());
    }
}

/// A half-close counts as a disconnect, as a reset does: open attempts are cancelled at once.
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

/// A request in the socket buffers of a server that hangs cannot be withdrawn: its QUIT is written
/// right behind it.
#[test]
fn a_request_unread_by_a_hung_server_is_followed_by_its_cancellation() {
    let mut environment = TestEnvironment::new();
    let router = environment.start();
    for reset in [false, true] {
        let mut client = router.connect();
        let id = client.send_request(1, "page", "", b"");
        let mut server = environment.server("c1").accept();
        wait_until("the unread request", || server.has_unread_data());
        let left = Instant::now();
        disconnect(client, reset);
        assert_eq!(server.read_request().id, id);
        assert_eq!(server.read_line(), format!("QUIT {id}"));
        assert!(left.elapsed() < 100 * MS, "{:?}", left.elapsed());
        environment.server("c1").close_and_wait(&router, server);
    }
}

/// A server hangs until the send buffer of its connection is full. A request whose client then
/// disconnects is never written, even when the server resumes reading; this also holds where the
/// settings forbid cancelling attempts in progress.
#[test]
fn a_request_queued_behind_a_full_socket_is_never_written_after_its_client_left() {
    [true, false]
        .into_iter()
        .for_each(writes_nothing_for_clients_that_left);
}

fn writes_nothing_for_clients_that_left(may_cancel: bool) {
    let mut environment = TestEnvironment::new().with_setting("Limits", "MayCancel", may_cancel);
    // `c1` is the only server that takes requests, and so many servers are listed that each gets a
    // single connection.
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
    // Together more than the socket buffers of one connection take.
    let body = vec![7; 63_000];
    let mut busy: Vec<TestClient> = (0..10).map(|_| router.connect()).collect();
    let mut first = Vec::new();
    for client in &mut busy {
        first.extend((1..=32).map(|tag| client.send_request(tag, "page", "", &body)));
    }
    // The router has read all of a client's requests once it answers the health check behind them.
    assert!(busy.iter_mut().all(|client| client.health() == "GREEN"));
    let mut left = Vec::new();
    for n in 0..30 {
        let mut client = router.connect();
        left.push(client.send_request(1000 + n, "page", "", b""));
        disconnect(client, n % 2 == 1);
    }
    // The router has also noticed the resets, as it answers a client that connected after them.
    assert_eq!(router.connect().health(), "GREEN");
    let mut server = environment.server("c1").accept();
    let received_ids: Vec<String> = first
        .iter()
        .map(|_| {
            let request = server.read_request();
            server.respond(&request, "OK", HIT_FIELDS, b"x");
            request.id
        })
        .collect();
    assert!(
        left.iter().all(|id| !received_ids.contains(id)),
        "a request was written after its client had left"
    );
    assert!(
        busy.iter_mut()
            .all(|client| (1..=32).all(|_| client.read_answer_word() == "ACK"))
    );
    let last = busy[0].send_request(33, "page", "", b"");
    assert_eq!(
        server.read_request().id,
        last,
        "something was written for a client that had left"
    );
    assert!(environment.server("c1").try_accept().is_none());
}

fn request_fields(tag: u64) -> Vec<u8> {
    format!("i={:016x},o={tag:016x},lot=1,m=1,d=4000", 0xabc_0000 + tag).into_bytes()
}

/// Guards against an effect that happens twice: the id of a request was forgotten as soon as its
/// client had left, and ran again when it came again.
#[test]
fn an_id_that_may_have_run_does_not_run_again_after_its_client_left() {
    let (environment, router, mut client) = start_router();
    let fields = format!("i={},o=00000000000000b1,lot=1,m=1,d=4000", new_id());
    client.send_raw_request(1, "confirm", &fields, b"");
    let mut server = environment.server("o1").accept();
    let request = server.read_request();
    drop(client);
    // The cancellation shows that the attempt has ended at the router.
    assert_eq!(server.read_line(), format!("QUIT {}", request.id));
    let mut client = router.connect();
    client.send_raw_request(1, "confirm", &fields, b"");
    assert_eq!(client.read_answer_word(), "FAIL");
    assert!(!server.has_unread_data());
    for server in &environment.servers {
        let name = &server.name;
        assert!(server.try_accept().is_none(), "{name} was asked again");
    }
}

/// Requests that a client has sent before it leaves, and the body of each. Together they are more
/// than the router reads at a time, and less than the system holds for a connection.
const UNREAD_WRITES: u64 = 8;
const UNREAD_WRITE_BYTES: usize = 3000;

/// Guards against requests that are sent on for a client that has left: its leaving was noticed only
/// after everything before it had been read and handled.
#[test]
fn nothing_is_sent_for_a_client_that_left_with_much_unread() {
    let (environment, router, mut client) = start_router();
    assert_eq!(client.health(), "GREEN");
    router.pause();
    let body = body_of_length(UNREAD_WRITE_BYTES);
    for tag in 1..=UNREAD_WRITES {
        client.send_request(tag, "confirm", "", &body);
    }
    drop(client);
    router.resume();
    let mut other = router.connect();
    other.send_request(1, "page", "", b"");
    let mut cache = environment.server("c1").accept();
    let request = cache.read_request();
    assert_eq!(request.field("cls"), "page");
    cache.respond(&request, "OK", HIT_FIELDS, b"");
    assert_eq!(other.read_answer_word(), "ACK");
    drop(router);
    if let Some(mut connection) = environment.server("o1").try_accept() {
        let line = connection.read_line();
        assert!(!line.starts_with("ASK"), "{line}");
    }
}
