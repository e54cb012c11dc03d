//! Graceful shutdown: it waits for open requests and slow readers and closes connections without
//! resets, also under repeated signals. `shutdown.rs` tests the time limits.

use crate::support::*;
use std::io::Write;
use std::time::{Duration, Instant};

#[test]
fn graceful_shutdown_answers_open_and_new_requests() {
    let (environment, mut router, mut client) = start_router();
    client.send_request(1, "page", "", b"");
    let mut server = environment.server("c1").accept();
    let first = server.read_request();
    router.terminate();
    router.wait_until_draining();
    let mut later = router.connect();
    later.send_request(2, "page", "", b"");
    let second = server.read_request();
    server.respond(&second, "OK", "tell=hit", b"two");
    assert_eq!(later.read_answer_word(), "ACK");
    // The last answer is large, and the client reads it only after the shutdown has begun.
    let object = body_of_length(240_000);
    server.respond(&first, "OK", "tell=hit", &object);
    assert_eq!(client.read_answer().body, object);
    let RouterExit { status, log } = router.wait_for_exit();
    assert!(status.success(), "{log}");
}

#[test]
fn requests_open_at_the_shutdown_deadline_fail() {
    let (environment, mut router, mut client) = start_router();
    client.send_request(1, "confirm", "d=60000", b"");
    let mut origin = environment.server("o1").accept();
    origin.read_request();
    let sent_at = Instant::now();
    router.terminate();
    assert_eq!(client.read_answer_word(), "FAIL");
    assert!(
        sent_at.elapsed() < Duration::from_millis(3700),
        "{:?}",
        sent_at.elapsed()
    );
    assert!(router.wait_for_exit().status.success());
}

/// The router is paused beyond the time at which it would exit. It resumes with unread requests on
/// an idle connection, with requests on connections that it has not accepted yet, and with a
/// partial request on another one. Each complete request is answered, and no connection is reset
/// because of unread bytes.
#[test]
fn requests_received_before_the_exit_are_answered_and_no_connection_is_reset() {
    let mut environment = all_servers_draining();
    let mut router = environment.start();
    let (mut idle, mut partial) = (router.connect(), router.connect());
    assert_eq!(
        (idle.health(), partial.health()),
        ("GREEN".into(), "GREEN".into())
    );
    router.terminate();
    wait_until("the router to drain", || idle.health() == "RED");
    router.pause();
    wait_for(900 * MS);
    idle.send_request(1, "page", "", b"");
    idle.send_request(2, "confirm", "", b"write");
    partial.write(b"*5\r\n$3\r\nREQ\r\n$1\r\n7");
    let mut waiting: Vec<TestClient> = (0..3).map(|_| router.connect()).collect();
    waiting
        .iter_mut()
        .for_each(|client| drop(client.send_request(1, "page", "", b"")));
    router.resume();
    let rejected = ("NAK".to_owned(), "w=200".to_owned());
    for tag in [1, 2] {
        let ClientAnswer {
            tag: answered_tag,
            word,
            fields,
            ..
        } = idle.read_answer();
        assert_eq!((answered_tag, (word, fields)), (tag, rejected.clone()));
    }
    for client in &mut waiting {
        let ClientAnswer {
            tag: answered_tag,
            word,
            fields,
            ..
        } = client.read_answer();
        assert_eq!((answered_tag, (word, fields)), (1, rejected.clone()));
    }
    for client in waiting.iter_mut().chain([&mut idle, &mut partial]) {
        assert!(
            client.is_closed_in_order(),
            "the connection was not closed cleanly"
        );
    }
    assert!(router.wait_for_exit().status.success());
}

/// A request that arrives after the router has half-closed the connection is read, but neither
/// forwarded nor answered.
#[test]
fn a_request_that_crosses_the_connection_shutdown_is_neither_forwarded_nor_answered() {
    let mut environment = TestEnvironment::new();
    let mut router = environment.start();
    let mut idle = router.connect();
    assert_eq!(idle.health(), "GREEN");
    router.terminate();
    assert!(
        idle.is_closed_in_order(),
        "the connection was not closed cleanly"
    );
    // The write succeeds, as the router goes on reading for a while.
    idle.send_request(1, "page", "", b"");
    let RouterExit { status, log } = router.wait_for_exit();
    assert!(status.success(), "{log}");
    assert!(environment.no_server_has_a_new_connection(), "forwarded");
}

/// Within its time limit the shutdown waits for a slow reader to read its answers.
#[test]
fn a_slow_reader_gets_all_of_its_answers_before_the_exit() {
    let mut environment = TestEnvironment::new();
    let mut router = environment.start();
    let mut slow = router.connect();
    slow.send_request(1, "page", "", b"");
    let mut server = environment.server("c1").accept();
    let object = vec![7; 240_000];
    for tag in 1..=32 {
        server.respond_hit(&object);
        if tag < 32 {
            slow.send_request(tag + 1, "page", "", b"");
        }
    }
    // The router has all answers, and more of them than socket buffers take.
    let mut other = router.connect();
    other.send_request(1, "page", "", b"");
    server.respond_hit(b"x");
    assert_eq!(other.read_answer_word(), "ACK");
    router.terminate();
    wait_for(1300 * MS);
    for tag in 1..=32 {
        let ClientAnswer {
            tag: answered_tag,
            word,
            body,
            ..
        } = slow.read_answer();
        assert!(
            (answered_tag, word.as_str(), body.len()) == (tag, "ACK", 240_000),
            "answer {tag}"
        );
    }
    assert!(router.wait_for_exit().status.success());
}

/// Two stop signals with a reload between them: the router exits once, in time and gracefully.
#[test]
fn repeated_stop_and_reload_signals_end_the_router_once() {
    let (environment, mut router, mut client) = start_router();
    client.send_request(1, "page", "", b"");
    let mut server = environment.server("c1").accept();
    let request = server.read_request();
    let started_at = Instant::now();
    for signal in ["TERM", "HUP", "TERM", "HUP"] {
        router.signal(signal);
    }
    router.wait_until_draining();
    server.respond(&request, "OK", HIT_FIELDS, b"x");
    assert_eq!(client.read_answer_word(), "ACK");
    let RouterExit { status, log } = router.wait_for_exit();
    assert!(
        status.success() && started_at.elapsed() < 1500 * MS,
        "{:?} {log}",
        started_at.elapsed()
    );
}

/// A stop signal while the router still reads its configuration: it starts to serve, reports that
/// it drains, and exits gracefully and in time.
#[test]
fn a_stop_signal_before_readiness_still_shuts_down_gracefully() {
    let mut environment = TestEnvironment::new();
    let (mut router, mut pipe) = environment.spawn_blocked_reading_configuration();
    router.terminate();
    pipe.write_all(environment.file.to_string().as_bytes())
        .unwrap();
    drop(pipe);
    let started_at = Instant::now();
    let mut client = None;
    wait_until("the router to listen", || {
        client = router.try_connect();
        client.is_some()
    });
    let mut client = client.unwrap();
    // The signal is handled on the first turn of the router's tasks; a client may be served
    // earlier.
    wait_until("the router to drain", || client.health() == "RED");
    client.send_request(1, "page", "", b"");
    environment.server("c1").accept().respond_hit(b"x");
    assert_eq!(
        client.read_answer_word(),
        "ACK",
        "a request was not answered while the router drains"
    );
    let RouterExit { status, log } = router.wait_for_exit();
    assert!(
        status.success() && started_at.elapsed() < 1500 * MS,
        "{status} {:?} {log}",
        started_at.elapsed()
    );
}
