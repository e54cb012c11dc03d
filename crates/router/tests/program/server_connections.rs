//! Connections to servers: partial and slow responses, silent servers, idle connections, and
//! servers that are replaced or change their address.

use crate::support::*;
use std::io::Read;
use std::time::{Duration, Instant};

/// A grace of drains and purges that is longer than a test takes.
const LONG_GRACE_MS: u64 = 5000;

#[test]
fn a_response_that_stalls_has_its_connections_requests_retried_elsewhere() {
    let (environment, _router, mut client) = start_router_in(
        TestEnvironment::new()
            .with_setting("Limits", "ConnectTimeout", 100)
            .with_server("c2", "cache"),
    );
    // Both requests are for one object, so they go to the same cache.
    client.send_request(1, "page", "", b"");
    client.send(&[
        b"REQ",
        b"2",
        b"page",
        b"i=00000000000000ff,o=0000000000000001,m=1,d=4000,lot=1",
        b"",
    ]);
    let (home, mut server) = environment.accept_from_any_server();
    let other = if home == "c1" { "c2" } else { "c1" };
    let request = [server.read_request(), server.read_request()];
    let started_at = Instant::now();
    server.send(format!("{} OK {HIT_FIELDS} 240000\r\nhalf", request[0].id));
    // Both are retried elsewhere, long before their deadlines, and the connection is closed.
    let mut second = environment.server(other).accept();
    second.respond_hit(b"x");
    second.respond_hit(b"x");
    assert_eq!(
        (client.read_answer_word(), client.read_answer_word()),
        ("ACK".into(), "ACK".into())
    );
    assert!(
        started_at.elapsed() < Duration::from_millis(1000),
        "{:?}",
        started_at.elapsed()
    );
    assert_eq!(server.read_line(), "");
}

#[test]
fn a_trickling_response_past_its_deadline_closes_its_connection() {
    // The timeout is long, as a test that is delayed by as much would itself trickle too slowly.
    let (environment, _router, mut client) =
        start_router_in(TestEnvironment::new().with_setting("Limits", "ConnectTimeout", 300));
    let id = client.send_request(1, "page", "d=1000", b"");
    let mut server = environment.server("c1").accept();
    let request = server.read_request();
    server.send(format!("{} OK {HIT_FIELDS} 240000\r\n", request.id));
    // The rejection and the close of the connection happen together; either may be seen first.
    wait_until("the deadline of the request", || {
        !server.try_send("x") || client.has_unread_data()
    });
    let ended = Instant::now();
    assert_eq!(client.read_answer_word(), "NAK");
    assert!(
        ended.elapsed() < Duration::from_millis(100),
        "the connection was closed before the deadline: {:?}",
        ended.elapsed()
    );
    assert_eq!(server.read_line(), format!("QUIT {id}"));
    let late = Instant::now();
    wait_until("the connection to be closed", || !server.try_send("x"));
    assert!(
        late.elapsed() < Duration::from_secs(2),
        "{:?}",
        late.elapsed()
    );
}

/// A server sends half a line and nothing more: the connection is closed, and later requests are
/// answered on another one.
#[test]
fn a_partial_line_on_an_idle_connection_closes_only_that_connection() {
    let (environment, _router, mut client) =
        start_router_in(TestEnvironment::new().with_setting("Limits", "ConnectTimeout", 200));
    client.send_request(1, "page", "", b"");
    let mut server = environment.server("c1").accept();
    server.respond_hit(b"x");
    assert_eq!(client.read_answer_word(), "ACK");
    server.send("00ff OK tell=hit");
    let sent_at = Instant::now();
    assert_eq!(server.read_line(), "", "the connection was not closed");
    assert!(sent_at.elapsed() < 1000 * MS, "{:?}", sent_at.elapsed());
    client.send_request(2, "page", "", b"");
    environment.server("c1").accept().respond_hit(b"y");
    assert_eq!(client.read_answer_word(), "ACK");
}

#[test]
fn a_silent_servers_request_is_rejected_in_time_and_its_connection_not_reused() {
    let (environment, _router, mut client) = start_router();
    let sent_at = Instant::now();
    let id = client.send_request(1, "page", "d=600", b"");
    let mut silent = environment.server("c1").accept();
    silent.read_request();
    assert_eq!(client.read_answer_word(), "NAK");
    assert!(
        sent_at.elapsed() < Duration::from_millis(650),
        "{:?}",
        sent_at.elapsed()
    );
    assert_eq!(silent.read_line(), format!("QUIT {id}"));
    assert_eq!(
        silent.read_line(),
        "",
        "the connection of the expired request was kept"
    );
    client.send_request(2, "page", "", b"");
    let mut server = environment.server("c1").accept();
    server.respond_hit(b"back");
    assert_eq!(client.read_answer_word(), "ACK");
}

#[test]
fn an_attempt_is_never_written_after_its_drain_grace() {
    let (environment, router, mut client) = start_router_in(
        TestEnvironment::new()
            .with_setting("Limits", "ConnectTimeout", 9000)
            .with_setting("Obligations", "DrainGrace", 300),
    );
    let queued = environment.server("o1").fill_accept_queue();
    let started_at = Instant::now();
    client.send_request(1, "confirm", "", b"");
    // The attempt was never sent, so the request may be sent to another server.
    let mut server = environment.server("c1").accept();
    let request = server.read_request();
    assert!(
        started_at.elapsed() >= Duration::from_millis(295),
        "{:?}",
        started_at.elapsed()
    );
    server.respond(&request, "OK", "tell=via_origin", b"done");
    assert_eq!(client.read_answer_word(), "ACK");
    // Once the server accepts again, its connection is established, and nothing is written on it.
    let mut origin_connection = environment.server("o1").accept_behind(&queued);
    drop(router);
    let mut received = Vec::new();
    let _ = origin_connection.read_to_end(&mut received);
    assert!(
        received.is_empty(),
        "{}",
        String::from_utf8_lossy(&received)
    );
}

/// Guards against work that another process gets: an attempt that waited for its connection was
/// kept for the whole grace although its server had left, and was sent to the process that came up
/// at the server's address meanwhile.
#[test]
fn an_attempt_is_not_kept_for_the_process_that_replaces_its_server() {
    let environment = TestEnvironment::new()
        .with_setting("Limits", "ConnectTimeout", 9000)
        .with_setting("Obligations", "DrainGrace", LONG_GRACE_MS)
        .with_setting("FamilyInfo", "ObeyAfter", LONG_GRACE_MS);
    let discovery = RunningDiscovery::start(&environment.discovery);
    let (environment, _router, mut client) = start_router_in(environment);
    wait_until("discovery", || discovery.has_sent_heartbeat());
    let old = environment.server("o1");
    let _queued = old.fill_accept_queue();
    client.send_request(1, "confirm", "", b"");
    assert_eq!(client.health(), "GREEN");
    // o1 leaves. Another server, which drains, comes up at its address.
    let mut new = old.entry("leaving");
    new["host"] = "o2".into();
    let replaced_at = Instant::now();
    discovery.publish(2, endpoints_event(2, &[old.entry("left"), new]));
    // The attempt was never sent, so the request may be sent to another server.
    let mut server = environment.server("c1").accept();
    let request = server.read_request();
    let waited = replaced_at.elapsed();
    assert!(
        waited < Duration::from_millis(LONG_GRACE_MS / 2),
        "{waited:?}"
    );
    server.respond(&request, "OK", "tell=via_origin", b"done");
    assert_eq!(client.read_answer_word(), "ACK");
}

#[test]
fn a_non_idempotent_request_never_uses_an_idle_connection() {
    let (environment, _router, mut client) = start_router();
    client.send_request(1, "confirm", "", b"");
    let mut idle = environment.server("o1").accept();
    let request = idle.read_request();
    idle.respond(&request, "OK", "tell=via_origin", b"one");
    assert_eq!(client.read_answer_word(), "ACK");
    // A connection that is in use carries further requests.
    client.send_request(2, "confirm", "", b"");
    let request = idle.read_request();
    client.send_request(3, "confirm", "", b"");
    let third = idle.read_request();
    idle.respond(&request, "OK", "tell=via_origin", b"two");
    idle.respond(&third, "OK", "tell=via_origin", b"three");
    assert_eq!(
        (client.read_answer_word(), client.read_answer_word()),
        ("ACK".into(), "ACK".into())
    );
    let since = Instant::now();
    wait_until("the connection to be idle for 100 ms", || {
        since.elapsed() > Duration::from_millis(100)
    });
    client.send_request(4, "confirm", "", b"");
    let mut new = environment.server("o1").accept();
    let request = new.read_request();
    new.respond(&request, "OK", "tell=via_origin", b"four");
    assert_eq!(client.read_answer_word(), "ACK");
}

#[test]
fn idle_connections_are_closed_after_the_idle_timeout() {
    let (environment, _router, mut client) =
        start_router_in(TestEnvironment::new().with_setting("Limits", "IdleClose", 300));
    client.send_request(1, "page", "", b"");
    let mut server = environment.server("c1").accept();
    server.respond_hit(b"x");
    assert_eq!(client.read_answer_word(), "ACK");
    assert_eq!(server.read_line(), "");
}

#[test]
fn a_new_server_at_an_old_address_shares_no_connection_with_the_old_one() {
    let mut environment = TestEnvironment::new();
    let router = environment.start();
    let mut discovery = environment.discovery.accept_watch();
    assert_eq!(discovery.after_revision, 1);
    let mut client = router.connect();
    client.send_request(1, "page", "", b"");
    let mut old = environment.server("c1").accept();
    let first = old.read_request();
    let old_entry = environment.server("c1").entry("left");
    environment.servers[0].name = "c2".into();
    discovery.send(endpoints_event(
        2,
        &[old_entry, environment.server("c2").entry("active")],
    ));
    // The event has been applied once a request goes out on a connection to the new server.
    let (mut tag, mut new) = (10, None);
    environment
        .server("c2")
        .listener
        .set_nonblocking(true)
        .unwrap();
    wait_until("a connection to the new server", || {
        tag += 1;
        client.send_request(tag, "page", "", b"");
        std::thread::sleep(Duration::from_millis(20));
        new = environment.server("c2").listener.accept().ok();
        new.is_some()
    });
    let (stream, _) = new.unwrap();
    stream.set_nonblocking(false).unwrap();
    let mut new = LineConnection::new(stream);
    let second = new.read_request();
    old.send(format!("{} OK tell=hit 3\r\nold\r\n", second.id));
    old.respond(&first, "OK", "tell=hit", b"first");
    assert_eq!(
        client.read_answer().body,
        b"first",
        "a request open at the old server was not answered"
    );
    new.respond(&second, "OK", "tell=hit", b"new");
    assert_eq!(
        client.read_answer(),
        ClientAnswer::new(tag, "ACK", "", b"new")
    );
    assert_eq!(
        old.read_line(),
        "",
        "the connection to the old server was kept"
    );
}

#[test]
fn a_server_with_a_new_address_is_reached_there() {
    let (mut environment, router, mut client) = start_router();
    let mut discovery = environment.discovery.accept_watch();
    client.send_request(1, "page", "", b"");
    environment.server("c1").accept().respond_hit(b"x");
    assert_eq!(client.read_answer_word(), "ACK");
    let old = std::mem::replace(&mut environment.servers[0], FakeServer::new("c1", "cache"));
    discovery.send(endpoints_event(
        2,
        &[environment.server("c1").entry("active")],
    ));
    drop(old);
    // Requests are rejected between the close of the old address and the event with the new one.
    let mut tag = 1;
    environment
        .server("c1")
        .listener
        .set_nonblocking(true)
        .unwrap();
    wait_until("a connection to the new address", || {
        tag += 1;
        client.send_request(tag, "page", "", b"");
        std::thread::sleep(Duration::from_millis(20));
        environment.server("c1").listener.accept().is_ok()
    });
    drop(router);
}
