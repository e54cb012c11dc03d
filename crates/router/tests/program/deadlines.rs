//! The remaining time in requests to servers, and requests whose clients disconnect: the time that
//! a request waits counts against the client's deadline.

use crate::support::*;
use serde_json::json;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// How much more time a server may be given than the client has left.
const LIMIT_TOLERANCE: Duration = Duration::from_millis(150);

fn remaining_time(request: &ReceivedRequest) -> Duration {
    Duration::from_millis(request.field("limit").parse().unwrap())
}

/// Time limits long enough for the delays and pauses of these tests.
fn environment_with_long_timeouts() -> TestEnvironment {
    TestEnvironment::new()
        .with_setting("Limits", "ConnectTimeout", 3500)
        .with_setting("Obligations", "DrainGrace", 3500)
        .with_setting("FamilyInfo", "ObeyAfter", 3500)
}

/// A connection is established a second after the attempt began: the server is given the time that
/// is left by then.
#[test]
fn a_late_connection_tells_the_server_the_remaining_time() {
    let mut environment = environment_with_long_timeouts();
    let router = environment.start();
    let mut client = router.connect();
    let queued = environment.server("o1").fill_accept_queue();
    let sent_at = Instant::now();
    client.send_request(1, "confirm", "", b"");
    wait_for(300 * MS);
    // The accept queue has room again: the kernel retransmits the SYN a second after the first one.
    let mut connection = LineConnection::new(environment.server("o1").accept_behind(&queued));
    let connected_after = sent_at.elapsed();
    assert!(
        connected_after > 500 * MS,
        "the connection was not delayed: {connected_after:?}"
    );
    let request = connection.read_request();
    let left = (4000 * MS).saturating_sub(connected_after);
    assert!(
        remaining_time(&request) <= left + LIMIT_TOLERANCE,
        "server given {:?}, left {left:?}",
        remaining_time(&request)
    );
    assert!(
        remaining_time(&request) > 1000 * MS,
        "the server was not given the time left: {:?}",
        remaining_time(&request)
    );
    connection.respond(&request, "OK", "tell=via_origin", b"done");
    assert_eq!(client.read_answer_word(), "ACK");
}

/// The servers drop repeats of `confirm` for two seconds. A repeat is decided on within it, but its
/// connection is established only afterwards: it is never sent.
#[test]
fn a_repeat_whose_connection_comes_up_after_the_dedup_window_is_not_sent() {
    const DEDUP_WINDOW: Duration = Duration::from_secs(2);
    let mut environment = environment_with_long_timeouts().with_server("o2", "origin");
    let confirm = &mut environment.file["settings"]["Classes"][1];
    assert_eq!(confirm["Name"], "confirm");
    confirm["Effect"] = "token".into();
    confirm["Window"] = json!(DEDUP_WINDOW.as_millis() as u64);
    let router = environment.start();
    let mut client = router.connect();
    client.send_request(1, "confirm", "", b"");
    let (first, mut connection) = accept_at_any(&environment.servers);
    connection.read_request();
    let sent_at = Instant::now();
    let servers = environment.servers.iter();
    let queues: Vec<_> = servers
        .filter(|server| server.name != first)
        .map(|server| (server, server.fill_accept_queue()))
        .collect();
    wait_until("the time of the reset", || sent_at.elapsed() > 1600 * MS);
    connection.reset();
    wait_until("the end of the window", || {
        sent_at.elapsed() > DEDUP_WINDOW + SLACK
    });
    assert!(client.has_unread_data(), "no answer when the window ended");
    // The kernel retransmits the SYN a second after the first one.
    let mut late = Vec::new();
    wait_until("the delayed connection", || {
        for (server, queue) in &queues {
            late.extend(accepted_except(server, queue));
        }
        !late.is_empty() && sent_at.elapsed() > 3500 * MS
    });
    for connection in late {
        assert_eq!(received_text(connection), "", "sent after the window");
    }
}

/// Waits until the router connects to one of these servers, and returns the server's name.
fn accept_at_any(servers: &[FakeServer]) -> (String, LineConnection) {
    let mut accepted = None;
    wait_until("a connection", || {
        accepted = servers.iter().find_map(|server| {
            let stream = try_accept(&server.listener)?;
            Some((server.name.clone(), LineConnection::new(stream)))
        });
        accepted.is_some()
    });
    accepted.unwrap()
}

/// Accepts what waits at a server, and returns the connections that do not belong to the queue.
fn accepted_except(server: &FakeServer, queue: &[TcpStream]) -> Vec<TcpStream> {
    let port = |stream: &TcpStream| stream.local_addr().unwrap().port();
    let ports: Vec<u16> = queue.iter().map(port).collect();
    let accepted = std::iter::from_fn(|| try_accept(&server.listener));
    accepted
        .filter(|stream| !ports.contains(&stream.peer_addr().unwrap().port()))
        .collect()
}

/// During a pause a connection to a server is established, and then the client disconnects or
/// cancels. The router resumes with both pending, and must not begin an attempt.
#[test]
fn no_attempt_begins_for_a_client_that_left_during_a_pause() {
    for closes in [true, false] {
        let mut environment = environment_with_long_timeouts();
        let router = environment.start();
        let (mut client, mut other) = (router.connect(), router.connect());
        assert_eq!(
            (client.health(), other.health()),
            ("GREEN".into(), "GREEN".into())
        );
        let queued = environment.server("o1").fill_accept_queue();
        client.send_request(1, "confirm", "", b"");
        assert_eq!(client.health(), "GREEN", "the request was read");
        wait_for(100 * MS);
        router.pause();
        let connection = environment.server("o1").accept_behind(&queued);
        let mut kept = None;
        if closes {
            drop(client);
        } else {
            client.abort(1);
            kept = Some(client);
        }
        wait_for(200 * MS);
        router.resume();
        assert_eq!(other.health(), "GREEN");
        wait_for(100 * MS);
        drop(kept);
        assert_eq!(received_text(connection), "", "closes: {closes}");
    }
}

/// The text received on a connection so far.
fn received_text(mut stream: TcpStream) -> String {
    use std::io::Read;
    stream.set_nonblocking(true).unwrap();
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).into_owned()
}

/// The time of a pause counts against requests that arrived during it, on an established connection
/// and on a new one. A request that arrives afterwards has all of its time, however long its
/// connection was idle.
#[test]
fn requests_unread_during_a_pause_have_used_that_time() {
    let mut environment = environment_with_long_timeouts();
    let router = environment.start();
    let (mut established, mut idle) = (router.connect(), router.connect());
    assert_eq!(
        (established.health(), idle.health()),
        ("GREEN".into(), "GREEN".into())
    );
    router.pause();
    let mut new = router.connect();
    let sent_at = Instant::now();
    established.send_request(1, "page", "", b"");
    new.send_request(2, "page", "", b"");
    wait_for(700 * MS);
    router.resume();
    let mut server = environment.server("c1").accept();
    for _ in 0..2 {
        let request = server.read_request();
        let left = (4000 * MS).saturating_sub(sent_at.elapsed());
        assert!(
            remaining_time(&request) <= left + LIMIT_TOLERANCE,
            "server given {:?}, left {left:?}",
            remaining_time(&request)
        );
        assert!(
            remaining_time(&request) > 2500 * MS,
            "{:?}",
            remaining_time(&request)
        );
        server.respond(&request, "OK", HIT_FIELDS, b"x");
    }
    assert_eq!(
        (established.read_answer_word(), new.read_answer_word()),
        ("ACK".into(), "ACK".into())
    );
    wait_for(300 * MS);
    idle.send_request(3, "page", "", b"");
    let request = server.read_request();
    assert!(
        remaining_time(&request) > 3800 * MS,
        "server given {:?} of 4 s",
        remaining_time(&request)
    );
    server.respond(&request, "OK", HIT_FIELDS, b"x");
    assert_eq!(idle.read_answer_word(), "ACK");
}

/// A request whose deadline may have passed before it was read is rejected without an attempt.
#[test]
fn a_request_whose_deadline_may_have_passed_in_a_pause_is_rejected() {
    let mut environment = environment_with_long_timeouts();
    let router = environment.start();
    let mut client = router.connect();
    assert_eq!(client.health(), "GREEN");
    router.pause();
    client.send_request(1, "page", "d=300", b"");
    wait_for(500 * MS);
    router.resume();
    assert_eq!(client.read_answer_word(), "NAK");
    assert!(environment.no_server_has_a_new_connection(), "forwarded");
}
