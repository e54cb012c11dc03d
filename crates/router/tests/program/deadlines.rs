//! The time that a server is told of, and requests whose clients leave: what waits, waits on the
//! client's time.

use crate::support::*;
use std::time::{Duration, Instant};

/// What the terms allow a server to be told of beyond what the client has left.
const LIMIT_TOLERANCE: Duration = Duration::from_millis(150);

fn told_remaining_time(request: &ReceivedRequest) -> Duration {
    Duration::from_millis(request.field("limit").parse().unwrap())
}

/// Graces and waits that leave room for what is held up here.
fn environment_with_long_timeouts() -> TestEnvironment {
    TestEnvironment::new()
        .with_setting("Limits", "ConnectTimeout", 3500)
        .with_setting("Obligations", "DrainGrace", 3500)
        .with_setting("FamilyInfo", "ObeyAfter", 3500)
}

/// A connection comes up a second after the attempt was decided on: the server is told what is left
/// then.
#[test]
fn a_late_connection_tells_the_server_the_remaining_time() {
    let mut environment = environment_with_long_timeouts();
    let router = environment.start();
    let mut client = router.connect();
    let others = environment.server("o1").fill_accept_queue();
    let asked_at = Instant::now();
    client.send_request(1, "confirm", "", b"");
    wait_for(300 * MS);
    // Its queue has room again: the system tries once more, a second after the first time.
    let mut own = LineConnection::new(environment.server("o1").accept_behind(&others));
    let up = asked_at.elapsed();
    assert!(up > 500 * MS, "it was not held up: {up:?}");
    let request = own.read_request();
    let left = (4000 * MS).saturating_sub(up);
    assert!(
        told_remaining_time(&request) <= left + LIMIT_TOLERANCE,
        "told {:?}, left {left:?}",
        told_remaining_time(&request)
    );
    assert!(
        told_remaining_time(&request) > 1000 * MS,
        "what is left is passed on: {:?}",
        told_remaining_time(&request)
    );
    own.respond(&request, "OK", "tell=via_origin", b"done");
    assert_eq!(client.read_answer_word(), "ACK");
}

/// A connection to a server comes up while the program is held up, and then its client leaves, by
/// closing or by calling off: the program wakes with both, and nothing begins for who has left.
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
        let others = environment.server("o1").fill_accept_queue();
        client.send_request(1, "confirm", "", b"");
        assert_eq!(client.health(), "GREEN", "the request was read");
        wait_for(100 * MS);
        router.pause();
        let own = environment.server("o1").accept_behind(&others);
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
        assert_eq!(received_text(own), "", "closes: {closes}");
    }
}

/// What has come on a connection so far.
fn received_text(mut stream: std::net::TcpStream) -> String {
    use std::io::Read;
    stream.set_nonblocking(true).unwrap();
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Requests that came while the program was held up have used up that time, on a connection that it
/// had known and on a new one; one that comes after it has all of its time, however long its
/// connection rested.
#[test]
fn requests_unread_during_a_pause_have_used_that_time() {
    let mut environment = environment_with_long_timeouts();
    let router = environment.start();
    let (mut known, mut rested) = (router.connect(), router.connect());
    assert_eq!(
        (known.health(), rested.health()),
        ("GREEN".into(), "GREEN".into())
    );
    router.pause();
    let mut new = router.connect();
    let asked_at = Instant::now();
    known.send_request(1, "page", "", b"");
    new.send_request(2, "page", "", b"");
    wait_for(700 * MS);
    router.resume();
    let mut server = environment.server("c1").accept();
    for _ in 0..2 {
        let request = server.read_request();
        let left = (4000 * MS).saturating_sub(asked_at.elapsed());
        assert!(
            told_remaining_time(&request) <= left + LIMIT_TOLERANCE,
            "told {:?}, left {left:?}",
            told_remaining_time(&request)
        );
        assert!(
            told_remaining_time(&request) > 2500 * MS,
            "{:?}",
            told_remaining_time(&request)
        );
        server.respond(&request, "OK", HIT_FIELDS, b"x");
    }
    assert_eq!(
        (known.read_answer_word(), new.read_answer_word()),
        ("ACK".into(), "ACK".into())
    );
    wait_for(300 * MS);
    rested.send_request(3, "page", "", b"");
    let request = server.read_request();
    assert!(
        told_remaining_time(&request) > 3800 * MS,
        "told {:?} of 4 s",
        told_remaining_time(&request)
    );
    server.respond(&request, "OK", HIT_FIELDS, b"x");
    assert_eq!(rested.read_answer_word(), "ACK");
}

/// A request whose whole time may have passed unread is rejected, and goes nowhere.
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
    assert!(environment.no_server_has_a_new_connection(), "sent on");
}
