//! Few or no faults, then many: the order of events in which a router that has run undisturbed meets several
//! of them together. A row each in `docs/crossings.md`.

use crate::stand_ins::*;
use serde_json::json;
use std::collections::HashSet;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);

/// With 60 ms left a request is sent, its server reads it and says nothing, or closes without a word: there is
/// one final answer within its time, also for what must not run twice.
#[test]
fn a_request_with_little_time_left_is_answered_though_its_server_drops_it_without_a_word() {
    for closes in [false, true] {
        for (class, name) in [("page", "c1"), ("confirm", "o1")] {
            let mut world = World::new();
            let program = world.start();
            let mut client = program.client();
            let sent = Moment::now(program.child.id());
            client.ask(1, class, "d=60", b"");
            let mut server = world.server(name).accept();
            server.asked();
            let _silent = if closes { None } else { Some(server) };
            let (_, word, ..) = client.answer();
            assert!(
                sent.elapsed() <= 60 * MS + SLACK,
                "{class}, closes {closes}: after {:?}",
                sent.elapsed()
            );
            assert_eq!(
                word,
                if class == "page" { "NAK" } else { "FAIL" },
                "{class}, closes {closes}"
            );
            assert_eq!(client.health(), "GREEN", "and no second answer");
        }
    }
}

/// One request served, then the connection rests long enough to be idle for what must not run twice.
fn rested(world: &World, client: &mut Client, class: &str, server: &str) -> Line {
    client.ask(1, class, "", b"");
    let mut line = world.server(server).accept();
    line.serve(b"first");
    assert_eq!(client.word(), "ACK");
    let since = Instant::now();
    wait_until("a rest", || since.elapsed() > 100 * MS);
    line
}

/// A server has forgotten a connection that rests and resets it at the first byte: what may run twice goes
/// another way in time; what must not was never written there and runs once, on a new connection.
#[test]
fn a_connection_that_its_server_forgot_loses_nothing_and_runs_nothing_twice() {
    let mut world = World::new();
    let program = world.start();
    let mut client = program.client();
    let mut forgotten = rested(&world, &mut client, "page", "c1");
    client.ask(2, "page", "d=1000", b"");
    wait_until("the first byte", || forgotten.ready());
    forgotten.reset();
    let mut again = world.server("p1").accept();
    again.serve(b"second");
    assert_eq!(
        client.answer(),
        (
            2,
            "ACK".into(),
            "ver=4be0c1927d55a6f3".into(),
            b"second".to_vec()
        )
    );

    let mut client = program.client();
    let forgotten = rested(&world, &mut client, "confirm", "o1");
    forgotten.reset();
    client.ask(2, "confirm", "d=1000", b"");
    let mut again = world.server("o1").accept();
    again.serve(b"once");
    assert_eq!(client.answer().3, b"once");
    assert!(world.server("o1").try_accept().is_none(), "asked twice");
    assert!(
        world.server("c1").try_accept().is_none(),
        "asked elsewhere too"
    );
}

/// A machine is gone, and its connections with it: nothing tells the router, what is written goes nowhere, and
/// no new connection comes up. What must not run twice has not been written and goes another way in time.
#[test]
fn a_machine_that_vanished_silently_holds_a_request_up_no_longer_than_a_connection_takes() {
    let mut world = World::new();
    world.file["settings"]["Limits"]["ConnectTimeout"] = json!(200);
    let program = world.start();
    let mut client = program.client();
    let mut half_open = rested(&world, &mut client, "confirm", "o1");
    let _queue = world.server("o1").vanish();
    let sent = Moment::now(program.child.id());
    client.ask(2, "confirm", "d=1500", b"");
    let mut server = world.server("c1").accept();
    let asked = server.asked();
    server.answer(&asked, "OK", "tell=via_origin", b"once");
    assert_eq!(client.answer().3, b"once");
    assert!(sent.elapsed() < 1500 * MS, "{:?}", sent.elapsed());
    assert!(!half_open.ready(), "written to a connection that rested");
}

/// A first attempt hangs and is called off; the next is refused at once while its server still works on the
/// first, or the other way about. The last serves, and an answer of the first that comes after all is nobody's.
#[test]
fn a_repeat_that_is_refused_at_once_leaves_one_answer() {
    // Which cache is asked first is drawn by the object: of these some begin at either.
    for object in 1..=6 {
        let mut world = World::new();
        world.file["settings"]["FamilyInfo"]["ClientKbPerS"] = json!(8800);
        let mut refusing = Server::new("c2", "cache");
        refusing.dial = address();
        world.servers.push(refusing);
        let program = world.start();
        let mut client = program.client();
        let id = client.ask(object, "page", "d=3000", b"");
        let mut hangs = world.server("c1").accept();
        let asked = hangs.asked();
        assert_eq!(hangs.line(), format!("QUIT {id}"));
        let mut last = None;
        wait_until("another attempt", || {
            last = ["p1", "o1"]
                .iter()
                .find_map(|name| world.server(name).try_accept());
            last.is_some()
        });
        last.unwrap().serve(b"served");
        assert_eq!(client.answer().3, b"served");
        hangs.answer(&asked, "OK", HIT, b"late");
        assert_eq!(client.health(), "GREEN", "and no second answer");
    }
}

/// A request and the close of the connection on which it would go come in one moment: the program is held up
/// until both are there. Whichever it sees first, there is one answer in time, and what must not run twice is
/// written on the old connection or on a new one, never on both.
#[test]
fn a_request_and_the_close_of_its_connection_in_one_moment_end_in_one_answer() {
    for (class, name) in [("page", "c1"), ("confirm", "o1")] {
        for resets in [false, true] {
            let mut world = World::new();
            let program = world.start();
            let mut client = program.client();
            // One that is out keeps the connection in use.
            client.ask(1, class, "", b"");
            let mut old = world.server(name).accept();
            old.asked();
            program.signal("STOP");
            wait_until("the pause", || program.is_stopped());
            let id = client.ask(2, class, "d=2000", b"");
            let sent = Moment::now(program.child.id());
            let mut lines = Vec::new();
            if resets {
                old.reset();
            } else {
                old.half_close();
                lines.push(old);
            }
            program.signal("CONT");
            let (mut asked, mut answered) = (0, Vec::new());
            wait_until("both answers", || {
                lines.extend(world.servers.iter().filter_map(Server::try_accept));
                for line in &mut lines {
                    let Some(ask) = line.try_asked() else {
                        continue;
                    };
                    asked += usize::from(ask.id == id);
                    let _ = line.still_takes(&format!("{} OK {HIT} 1\r\nx\r\n", ask.id));
                }
                if client.ready() {
                    answered.push(client.answer());
                }
                answered.len() == 2
            });
            assert!(
                sent.elapsed() < 2000 * MS,
                "{class}, resets {resets}: {:?}",
                sent.elapsed()
            );
            answered.sort();
            let words: Vec<(u64, &str)> = answered
                .iter()
                .map(|(tag, word, ..)| (*tag, word.as_str()))
                .collect();
            match class {
                "page" => assert_eq!(words, [(1, "ACK"), (2, "ACK")], "resets {resets}"),
                _ => assert!(
                    asked <= 1 && words[0] == (1, "FAIL"),
                    "resets {resets}: {asked} times, {words:?}"
                ),
            }
            assert_eq!(client.health(), "GREEN", "and no third answer");
        }
    }
}

/// The slow discovery service of this test tells a new watch nothing for so long.
const SLOW: Duration = Duration::from_millis(5000);

/// What discovery has to tell counts as told after 7 s at the latest.
const TOLD_WITHIN: Duration = Duration::from_millis(7000);

/// A discovery service that takes seconds until it says the first word to a watch is waited for: given up each
/// time before it speaks, it would never be heard.
#[test]
fn a_discovery_that_takes_seconds_to_speak_is_heard() {
    let mut world = World::new();
    let program = world.start();
    let (begun, mut watches) = (Instant::now(), Vec::new());
    wait_until("a watch that waits for it", || {
        if world.discovery.is_watched() {
            watches.push((Instant::now(), world.discovery.accept().0));
        }
        // One that the router has given up shows its end.
        watches.retain_mut(|(_, watch)| !watch.ready());
        watches
            .first()
            .is_some_and(|(since, _)| since.elapsed() > SLOW)
    });
    watches[0]
        .1
        .say(list(2, &[world.server("c1").entry("leaving")]));
    assert!(begun.elapsed() < TOLD_WITHIN, "{:?}", begun.elapsed());
    until_drained(&world, &mut program.client(), None);
}

/// Asks for something, and which server it comes to, on any of its connections.
fn served_by(
    world: &World,
    client: &mut Client,
    lines: &mut Vec<(&'static str, Line)>,
    tag: u64,
) -> &'static str {
    client.ask(tag, "page", "", b"");
    let mut at = "";
    wait_until("its server", || {
        let come = ["c1", "p1"].map(|name| Some((name, world.server(name).try_accept()?)));
        lines.extend(come.into_iter().flatten());
        for (name, line) in &mut *lines {
            if let Some(asked) = line.try_asked() {
                line.answer(&asked, "OK", HIT, b"x");
                at = *name;
            }
        }
        !at.is_empty()
    });
    assert_eq!(client.word(), "ACK");
    at
}

/// Asks for one thing after another until it goes past `c1`, which drains; on connections of which one to `c1`
/// may have been taken before. A router that watches discovery anew meanwhile is told of the drain again.
fn until_drained(world: &World, client: &mut Client, taken: Option<Line>) {
    let (mut lines, mut tag) = (
        taken
            .into_iter()
            .map(|line| ("c1", line))
            .collect::<Vec<_>>(),
        10_000,
    );
    let mut watch = None;
    wait_until("the drain", || {
        if world.discovery.is_watched() {
            let (mut again, after) = world.discovery.accept();
            if after == 1 {
                again.say(list(2, &[world.server("c1").entry("leaving")]));
            }
            watch = Some(again);
        }
        tag += 1;
        served_by(world, client, &mut lines, tag) == "p1"
    });
    drop(watch);
}

/// The local ends of connections to this address that have been begun and have not come up.
fn connecting(to: SocketAddr) -> HashSet<String> {
    const SYN_SENT: &str = "02";
    let SocketAddr::V4(to) = to else {
        return HashSet::new();
    };
    let remote = format!(
        "{:08X}:{:04X}",
        u32::from_le_bytes(to.ip().octets()),
        to.port()
    );
    let sockets = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let local_end = |line: &str| match line.split_whitespace().collect::<Vec<_>>()[..] {
        [_, local, of, SYN_SENT, ..] if of == remote => Some(local.to_owned()),
        _ => None,
    };
    sockets.lines().filter_map(local_end).collect()
}

/// Three new configurations in a row, the second and third while the router still connects to the discovery
/// service of the first, which is too crowded to take it. The last counts: its service is followed at once, and
/// requests are served all the while.
#[test]
fn the_last_of_three_configurations_counts_while_the_first_is_connecting() {
    let mut world = World::new();
    let program = world.start();
    let (_old, _) = world.discovery.accept();
    let mut client = program.client();
    client.ask(1, "page", "", b"");
    let mut server = world.server("c1").accept();
    let out = server.asked();
    // Nobody takes its connections, and its queue is full.
    let crowded = Server::new("crowded", "discovery");
    let _queue = crowded.vanish();
    world.file["board"] = json!(crowded.dial.to_string());
    world.write();
    program.signal("HUP");
    wait_until("its connecting", || !connecting(crowded.dial).is_empty());
    // Nobody listens at the second's.
    world.file["board"] = json!(address().to_string());
    world.write();
    program.signal("HUP");
    world.move_discovery();
    world.write();
    let last = Moment::now(program.child.id());
    program.signal("HUP");
    let (mut discovery, after) = world.discovery.accept();
    assert!(
        last.elapsed() < 1000 * MS,
        "followed {:?} after the last",
        last.elapsed()
    );
    assert_eq!(after, 1);
    server.answer(&out, "OK", HIT, b"x");
    assert_eq!(client.word(), "ACK");
    // The second signal may have found the last file already, and the third has it watched anew.
    let _ = discovery.still_takes(&list(2, &[world.server("c1").entry("leaving")]));
    until_drained(&world, &mut client, Some(server));
}

/// How a discovery service fails to take connections.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Crowded {
    Refuses,
    /// Its queue is full: connections do not come up.
    TakesNone,
    ShutsAtOnce,
}

/// A discovery service that is too crowded for seconds to be watched: it is tried again and again at a bounded
/// pace, requests are served by the last list meanwhile, and on its return the drain told there is kept at once.
#[test]
fn a_discovery_that_is_crowded_for_seconds_is_followed_on_its_return() {
    for how in [Crowded::Refuses, Crowded::TakesNone, Crowded::ShutsAtOnce] {
        let mut world = World::new();
        let program = world.start();
        let (watch, _) = world.discovery.accept();
        let at = world.discovery.goes_down(watch);
        let listener = (how != Crowded::Refuses).then(|| TcpListener::bind(at).unwrap());
        let queue = (how == Crowded::TakesNone).then(|| fill_queue(at));
        let shuts = listener.as_ref().filter(|_| how == Crowded::ShutsAtOnce);
        shuts
            .into_iter()
            .for_each(|listener| listener.set_nonblocking(true).unwrap());
        let (begun, mut client, mut server) = (Instant::now(), program.client(), None);
        let (mut tag, mut shut, mut given_up) = (0, 0, HashSet::new());
        wait_until("three seconds of it", || {
            tag += 1;
            client.ask(tag, "page", "", b"");
            server
                .get_or_insert_with(|| world.server("c1").accept())
                .serve(b"x");
            assert_eq!(client.word(), "ACK");
            shut += shuts.map_or(0, |listener| {
                std::iter::from_fn(|| listener.accept().ok()).count()
            });
            given_up.extend(connecting(at));
            begun.elapsed() > 3000 * MS
        });
        // Each pause is half of 320 ms at least, but for the first few; each try to connect lasts 500 ms.
        match how {
            Crowded::Refuses => {}
            Crowded::TakesNone => assert!(
                (2..=8).contains(&given_up.len()),
                "{} tries",
                given_up.len()
            ),
            Crowded::ShutsAtOnce => assert!((6..=32).contains(&shut), "{shut} tries"),
        }
        drop((queue, listener));
        let back = Moment::now(program.child.id());
        world.discovery.comes_back(at);
        let (mut discovery, after) = world.discovery.accept();
        let within = if how == Crowded::TakesNone {
            1000 * MS
        } else {
            500 * MS
        };
        assert!(
            back.elapsed() < within,
            "{how:?}: followed after {:?}",
            back.elapsed()
        );
        assert_eq!(after, 1);
        discovery.say(list(2, &[world.server("c1").entry("leaving")]));
        until_drained(&world, &mut client, server);
    }
}

/// In a shorter form than an hour: after some work everything rests until idle connections have been let go of;
/// then discovery is down, and its return tells drains. The quiet time leaves no descriptor behind, requests are
/// served in the outage on new connections, and the drain is kept from its return on.
#[test]
fn an_outage_and_a_drain_behind_a_quiet_time_are_met_as_at_the_start() {
    let mut world = World::new();
    world.file["settings"]["Limits"]["IdleClose"] = json!(300);
    let program = world.start();
    let (mut watch, _) = world.discovery.accept();
    let mut client = program.client();
    assert_eq!(client.health(), "GREEN");
    let at_rest = program.descriptors();
    for tag in 1..=32 {
        client.ask(tag, "page", "", b"");
    }
    let mut used = Vec::new();
    let mut left = 32;
    wait_until("all of them", || {
        used.extend(world.server("c1").try_accept());
        for line in &mut used {
            // One that rests meanwhile is let go of: that shows as its end.
            while let Some(asked) = line.try_asked() {
                line.answer(&asked, "OK", HIT, b"x");
                left -= 1;
            }
        }
        left == 0
    });
    (0..32).for_each(|_| assert_eq!(client.word(), "ACK"));
    assert!(program.descriptors() > at_rest, "connections of its own");
    wait_until("their end", || {
        let _ = watch.still_takes("1\n");
        assert_eq!(client.health(), "GREEN");
        program.descriptors() <= at_rest
    });
    assert!(
        used.iter_mut().all(|line| line.line().is_empty()),
        "closed by the router, with nothing written"
    );

    let at = world.discovery.goes_down(watch);
    assert_eq!(served_by(&world, &mut client, &mut Vec::new(), 33), "c1");
    world.discovery.comes_back(at);
    let (mut watch, after) = world.discovery.accept();
    assert_eq!(after, 1);
    watch.say(list(2, &[world.server("c1").entry("leaving")]));
    until_drained(&world, &mut client, None);
}
