//! Graceful shutdown: open requests and slow readers are waited for, connections closed in order,
//! and signals that meet. `shutdown.rs` has the time limits.

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
    // The last answer is large, and its client slow to read it.
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

/// The program is held up while its time to end comes: it wakes with requests unread on a
/// connection that rests, on one that nobody has accepted yet, and half of one on a third. Each
/// whole one is answered, and no connection is reset over bytes that nobody read.
#[test]
fn requests_received_before_the_exit_are_answered_and_no_connection_is_reset() {
    let mut environment = all_servers_draining();
    let mut router = environment.start();
    let (mut resting, mut half) = (router.connect(), router.connect());
    assert_eq!(
        (resting.health(), half.health()),
        ("GREEN".into(), "GREEN".into())
    );
    router.terminate();
    wait_until("RED", || resting.health() == "RED");
    router.pause();
    wait_for(900 * MS);
    resting.send_request(1, "page", "", b"");
    resting.send_request(2, "confirm", "", b"write");
    half.write(b"*5\r\n$3\r\nREQ\r\n$1\r\n7");
    let mut waiting: Vec<TestClient> = (0..3).map(|_| router.connect()).collect();
    waiting
        .iter_mut()
        .for_each(|client| drop(client.send_request(1, "page", "", b"")));
    router.resume();
    let rejected = ("NAK".to_owned(), "w=200".to_owned());
    for tag in [1, 2] {
        let ClientAnswer {
            tag: of,
            word,
            fields,
            ..
        } = resting.read_answer();
        assert_eq!((of, (word, fields)), (tag, rejected.clone()));
    }
    for client in &mut waiting {
        let ClientAnswer {
            tag: of,
            word,
            fields,
            ..
        } = client.read_answer();
        assert_eq!((of, (word, fields)), (1, rejected.clone()));
    }
    for client in waiting.iter_mut().chain([&mut resting, &mut half]) {
        assert!(client.is_closed_in_order(), "reset");
    }
    assert!(router.wait_for_exit().status.success());
}

/// What comes after the router has shut its side is read, and neither sent on nor answered.
#[test]
fn a_request_that_crosses_the_connection_shutdown_is_neither_forwarded_nor_answered() {
    let mut environment = TestEnvironment::new();
    let mut router = environment.start();
    let mut resting = router.connect();
    assert_eq!(resting.health(), "GREEN");
    router.terminate();
    assert!(resting.is_closed_in_order(), "its end of the connection");
    // The system still takes this: the router reads on for a while.
    resting.send_request(1, "page", "", b"");
    let RouterExit { status, log } = router.wait_for_exit();
    assert!(status.success(), "{log}");
    assert!(environment.no_server_has_a_new_connection(), "sent on");
}

/// Answers that a slow reader has not taken yet are waited for, while there is time.
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
    // The router has them all, and the last lies in no system's buffer.
    let mut other = router.connect();
    other.send_request(1, "page", "", b"");
    server.respond_hit(b"x");
    assert_eq!(other.read_answer_word(), "ACK");
    router.terminate();
    wait_for(1300 * MS);
    for tag in 1..=32 {
        let ClientAnswer {
            tag: of,
            word,
            body,
            ..
        } = slow.read_answer();
        assert!(
            (of, word.as_str(), body.len()) == (tag, "ACK", 240_000),
            "answer {tag}"
        );
    }
    assert!(router.wait_for_exit().status.success());
}

/// Asked to stop twice, with a new file between: it ends once, in time, and in order.
#[test]
fn repeated_stop_and_reload_signals_end_the_router_once() {
    let (environment, mut router, mut client) = start_router();
    client.send_request(1, "page", "", b"");
    let mut server = environment.server("c1").accept();
    let request = server.read_request();
    let begun = Instant::now();
    for signal in ["TERM", "HUP", "TERM", "HUP"] {
        router.signal(signal);
    }
    router.wait_until_draining();
    server.respond(&request, "OK", HIT_FIELDS, b"x");
    assert_eq!(client.read_answer_word(), "ACK");
    let RouterExit { status, log } = router.wait_for_exit();
    assert!(
        status.success() && begun.elapsed() < 1500 * MS,
        "{:?} {log}",
        begun.elapsed()
    );
}

/// Asked to stop while it still reads its file: it serves as it was told, says that it goes, and
/// ends in order and in time.
#[test]
fn a_stop_signal_before_readiness_still_shuts_down_gracefully() {
    let mut environment = TestEnvironment::new();
    let (mut router, mut pipe) = environment.spawn_blocked_reading_configuration();
    router.terminate();
    pipe.write_all(environment.file.to_string().as_bytes())
        .unwrap();
    drop(pipe);
    let begun = Instant::now();
    let mut client = None;
    wait_until("it listens", || {
        client = router.try_connect();
        client.is_some()
    });
    let mut client = client.unwrap();
    // The signal waits for the first turn of the program's tasks: a client may come before it.
    wait_until("RED", || client.health() == "RED");
    client.send_request(1, "page", "", b"");
    environment.server("c1").accept().respond_hit(b"x");
    assert_eq!(
        client.read_answer_word(),
        "ACK",
        "what still comes is answered"
    );
    let RouterExit { status, log } = router.wait_for_exit();
    assert!(
        status.success() && begun.elapsed() < 1500 * MS,
        "{status} {:?} {log}",
        begun.elapsed()
    );
}
