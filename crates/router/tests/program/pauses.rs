//! Pauses of the whole router process, as on a loaded shared machine.

use crate::support::*;
use std::time::{Duration, Instant};

#[test]
fn a_drain_notified_during_a_pause_applies_before_requests_received_in_it() {
    let mut environment = TestEnvironment::new().with_server("c2", "cache");
    let router = environment.start();
    let mut discovery = environment.discovery.accept_watch();
    let mut clients: Vec<TestClient> = (0..8).map(|_| router.connect()).collect();
    clients
        .iter_mut()
        .for_each(|client| assert_eq!(client.health(), "GREEN"));
    // Paused for long enough to be detected as a scheduling delay.
    router.pause();
    let paused = Instant::now();
    for (tag, client) in (1..).zip(&mut clients) {
        client.send_request(tag, "page", "", b"");
    }
    discovery.send(endpoints_event(
        2,
        &[environment.server("c1").entry("leaving")],
    ));
    wait_until("the end of the pause", || {
        paused.elapsed() > Duration::from_millis(300)
    });
    router.resume();
    let mut server = environment.server("c2").accept();
    for _ in 0..4 {
        server.read_request();
    }
    environment
        .server("c1")
        .listener
        .set_nonblocking(true)
        .unwrap();
    assert!(
        environment.server("c1").listener.accept().is_err(),
        "sent to a server that drains"
    );
}

#[test]
fn a_response_received_during_a_pause_is_not_a_timeout() {
    let (environment, router, mut client) =
        start_router_in(TestEnvironment::new().with_setting("FamilyInfo", "ClientKbPerS", 8800));
    client.send_request(1, "page", "", b"");
    let mut server = environment.server("c1").accept();
    server.respond_hit(b"x");
    assert_eq!(client.read_answer_word(), "ACK");
    // The server is now known to hold the object: an attempt that takes longer than any hit is
    // checked as overdue and cancelled.
    client.send_request(1, "page", "", b"");
    let request = server.read_request();
    router.pause();
    let paused = Instant::now();
    server.respond(&request, "OK", "tell=hit", b"y");
    wait_until("the end of the pause", || {
        paused.elapsed() > Duration::from_millis(600)
    });
    router.resume();
    assert_eq!(client.read_answer(), ClientAnswer::new(1, "ACK", "", b"y"));
}
