//! The time that a server is told of, and requests whose clients leave: what waits, waits on the client's
//! time.

use crate::stand_ins::*;
use serde_json::json;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);

/// What the terms allow a server to be told of beyond what the client has left.
const SLACK: Duration = Duration::from_millis(150);

fn pass(time: Duration) {
    let since = Instant::now();
    until("a while", || since.elapsed() > time);
}

fn limit(asked: &Asked) -> Duration {
    Duration::from_millis(asked.get("limit").parse().unwrap())
}

/// Graces and waits that leave room for what is held up here.
fn patient() -> World {
    let mut world = World::new();
    world.file["settings"]["Limits"]["ConnectTimeout"] = json!(3500);
    world.file["settings"]["Obligations"]["DrainGrace"] = json!(3500);
    world.file["settings"]["FamilyInfo"]["ObeyAfter"] = json!(3500);
    world
}

/// A connection comes up a second after the attempt was decided on: the server is told what is left then.
#[test]
fn a_connection_that_comes_up_late_passes_on_what_is_left() {
    let mut world = patient();
    let program = world.start();
    let mut client = program.client();
    let others = world.server("o1").vanish();
    let asked_at = Instant::now();
    client.ask(1, "confirm", "", b"");
    pass(300 * MS);
    // Its queue has room again: the system tries once more, a second after the first time.
    let local: Vec<_> = others
        .iter()
        .map(|o| o.local_addr().unwrap().port())
        .collect();
    let mut own = loop {
        let (stream, from) = world.server("o1").listener.accept().unwrap();
        if !local.contains(&from.port()) {
            break Line::new(stream);
        }
    };
    let up = asked_at.elapsed();
    assert!(up > 500 * MS, "it was not held up: {up:?}");
    let asked = own.asked();
    let left = (4000 * MS).saturating_sub(up);
    assert!(
        limit(&asked) <= left + SLACK,
        "told {:?}, left {left:?}",
        limit(&asked)
    );
    assert!(
        limit(&asked) > 1000 * MS,
        "what is left is passed on: {:?}",
        limit(&asked)
    );
    own.answer(&asked, "OK", "tell=via_origin", b"done");
    assert_eq!(client.word(), "ACK");
}

/// A connection to a server comes up while the program is held up, and then its client leaves, by closing or
/// by calling off: the program wakes with both, and nothing begins for who has left.
#[test]
fn nothing_begins_for_a_client_that_left_while_the_program_was_held_up() {
    for closes in [true, false] {
        let mut world = patient();
        let program = world.start();
        let (mut client, mut other) = (program.client(), program.client());
        assert_eq!(
            (client.health(), other.health()),
            ("GREEN".into(), "GREEN".into())
        );
        let others = world.server("o1").vanish();
        client.ask(1, "confirm", "", b"");
        assert_eq!(client.health(), "GREEN", "the request was read");
        pass(100 * MS);
        program.signal("STOP");
        until("the pause", || program.is_stopped());
        let local: Vec<_> = others
            .iter()
            .map(|o| o.local_addr().unwrap().port())
            .collect();
        let own = loop {
            let (stream, from) = world.server("o1").listener.accept().unwrap();
            if !local.contains(&from.port()) {
                break stream;
            }
        };
        let mut kept = None;
        if closes {
            drop(client);
        } else {
            client.send(&[b"ABORT", b"1"]);
            kept = Some(client);
        }
        pass(200 * MS);
        program.signal("CONT");
        assert_eq!(other.health(), "GREEN");
        pass(100 * MS);
        drop(kept);
        assert_eq!(came(own), "", "closes: {closes}");
    }
}

/// What has come on a connection so far.
fn came(mut stream: std::net::TcpStream) -> String {
    use std::io::Read;
    stream.set_nonblocking(true).unwrap();
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Requests that came while the program was held up have used up that time, on a connection that it had
/// known and on a new one; one that comes after it has all of its time, however long its connection rested.
#[test]
fn what_lay_unread_while_the_program_was_held_up_has_used_its_time() {
    let mut world = patient();
    let program = world.start();
    let (mut known, mut rested) = (program.client(), program.client());
    assert_eq!(
        (known.health(), rested.health()),
        ("GREEN".into(), "GREEN".into())
    );
    program.signal("STOP");
    until("the pause", || program.is_stopped());
    let mut new = program.client();
    let asked_at = Instant::now();
    known.ask(1, "page", "", b"");
    new.ask(2, "page", "", b"");
    pass(700 * MS);
    program.signal("CONT");
    let mut server = world.server("c1").accept();
    for _ in 0..2 {
        let asked = server.asked();
        let left = (4000 * MS).saturating_sub(asked_at.elapsed());
        assert!(
            limit(&asked) <= left + SLACK,
            "told {:?}, left {left:?}",
            limit(&asked)
        );
        assert!(limit(&asked) > 2500 * MS, "{:?}", limit(&asked));
        server.answer(&asked, "OK", HIT, b"x");
    }
    assert_eq!((known.word(), new.word()), ("ACK".into(), "ACK".into()));
    pass(300 * MS);
    rested.ask(3, "page", "", b"");
    let asked = server.asked();
    assert!(limit(&asked) > 3800 * MS, "told {:?} of 4 s", limit(&asked));
    server.answer(&asked, "OK", HIT, b"x");
    assert_eq!(rested.word(), "ACK");
}

/// A request whose whole time may have passed unread is rejected, and goes nowhere.
#[test]
fn what_may_have_no_time_left_after_a_hold_up_is_rejected() {
    let mut world = patient();
    let program = world.start();
    let mut client = program.client();
    assert_eq!(client.health(), "GREEN");
    program.signal("STOP");
    until("the pause", || program.is_stopped());
    client.ask(1, "page", "d=300", b"");
    pass(500 * MS);
    program.signal("CONT");
    assert_eq!(client.word(), "NAK");
    assert!(
        world
            .servers
            .iter()
            .all(|server| server.try_accept().is_none()),
        "sent on"
    );
}
