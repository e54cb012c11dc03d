//! The program on loopback, between stand-ins for all it talks to.

mod cells;
mod clients;
mod clock_steps;
mod crossings;
mod customers;
mod deadlines;
mod fleet;
mod local_failures;
mod moments;
mod own;
mod quiet_then_faults;
mod shutdown;
mod soak;
mod stand_ins;
mod wire_oracle;

use serde_json::{Value, json};
use stand_ins::*;
use std::io::Read;
use std::net::TcpListener;
use std::time::{Duration, Instant};

fn started() -> (World, Program, Client) {
    let mut world = World::new();
    let program = world.start();
    let client = program.client();
    (world, program, client)
}

fn bytes(length: usize) -> Vec<u8> {
    (0..length).map(|n| (n * 31 % 251) as u8).collect()
}

#[test]
fn a_hit_passes_unchanged() {
    let (world, _program, mut client) = started();
    let id = client.ask(7, "page", "piece=3", b"");
    let mut server = world.server("c1").accept();
    let asked = server.asked();
    assert_eq!(
        (&asked.id, asked.get("item"), asked.get("chunk")),
        (&id, "0000000000000007", "3")
    );
    assert_eq!(
        (asked.get("cls"), asked.get("src"), asked.get("maxage")),
        ("page", "p1", "12000")
    );
    assert!((3000..4000).contains(&asked.get("limit").parse::<u64>().unwrap()));
    let object = bytes(240_000);
    server.answer(
        &asked,
        "OK",
        "tell=hit,etag=4be0c1927d55a6f3,made=1",
        &object,
    );
    assert_eq!(
        client.answer(),
        (7, "ACK".into(), "ver=4be0c1927d55a6f3".into(), object)
    );
}

#[test]
fn a_write_goes_whole_to_the_origin() {
    let (world, _program, mut client) = started();
    let body = bytes(48_000);
    client.ask(1, "confirm", "", &body);
    let mut origin = world.server("o1").accept();
    let asked = origin.asked();
    assert_eq!((asked.body == body, asked.get("src")), (true, ""));
    origin.answer(&asked, "OK", "-", b"done");
    assert_eq!(
        client.answer(),
        (1, "ACK".into(), "".into(), b"done".to_vec())
    );
}

#[test]
fn a_copy_that_holds_is_not_sent_again() {
    let (world, _program, mut client) = started();
    client.ask(1, "page", "ver=4be0c1927d55a6f3", b"");
    let mut server = world.server("c1").accept();
    let asked = server.asked();
    assert_eq!(asked.get("have"), "4be0c1927d55a6f3");
    server.answer(&asked, "SAME", "tell=hit,etag=4be0c1927d55a6f3", b"");
    let (_, word, fields, body) = client.answer();
    assert!(
        word == "ACK" && fields.split(',').any(|f| f == "unchanged=1") && body.is_empty(),
        "{word} {fields}"
    );
}

#[test]
fn answers_come_in_any_order_on_shared_connections() {
    let (world, _program, mut client) = started();
    client.ask(1, "page", "", b"");
    client.ask(2, "page", "", b"");
    let mut server = world.server("c1").accept();
    let (first, second) = (server.asked(), server.asked());
    server.answer(&second, "OK", "tell=hit", b"two");
    assert_eq!(
        client.answer(),
        (2, "ACK".into(), "".into(), b"two".to_vec())
    );
    server.answer(&first, "OK", "tell=hit", b"one");
    assert_eq!(
        client.answer(),
        (1, "ACK".into(), "".into(), b"one".to_vec())
    );
}

#[test]
fn a_full_server_passes_the_request_on_and_a_miss_ends_it() {
    let (world, _program, mut client) = started();
    client.ask(1, "confirm", "", b"");
    let mut origin = world.server("o1").accept();
    let asked = origin.asked();
    origin.answer(&asked, "BUSY", "-", b"");
    // It never ran there, so even what must not run twice goes another way.
    let mut server = world.server("c1").accept();
    let asked = server.asked();
    assert_eq!((asked.get("cls"), asked.get("src")), ("confirm", "p1"));
    server.answer(&asked, "MISS", "-", b"");
    let (_, word, fields, _) = client.answer();
    assert_eq!(word, "NAK");
    assert!(fields.starts_with("w="), "{fields}");
}

#[test]
fn a_client_that_leaves_takes_its_attempts_along() {
    let (world, _program, mut client) = started();
    let id = client.ask(1, "page", "", b"");
    let mut server = world.server("c1").accept();
    let asked = server.asked();
    client.send(&[b"ABORT", b"1"]);
    assert_eq!(server.line(), format!("QUIT {id}"));
    server.answer(&asked, "OK", "tell=hit", b"late");
    assert_eq!(client.health(), "GREEN", "no answer is owed");
    let id = client.ask(2, "page", "", b"");
    server.asked();
    drop(client);
    assert_eq!(server.line(), format!("QUIT {id}"));
}

#[test]
fn what_broke_may_have_run() {
    let (world, _program, mut client) = started();
    client.ask(1, "confirm", "", b"");
    let mut origin = world.server("o1").accept();
    origin.asked();
    drop(origin);
    assert_eq!(
        client.word(),
        "FAIL",
        "written, then broken: no second attempt, no rejection"
    );
}

#[test]
fn what_was_refused_never_ran() {
    let mut world = World::new();
    world.servers[2].dial = address();
    let program = world.start();
    let mut client = program.client();
    client.ask(1, "confirm", "", b"");
    let mut server = world.server("c1").accept();
    let asked = server.asked();
    assert_eq!(asked.get("cls"), "confirm");
    server.answer(&asked, "OK", "tell=via_origin", b"done");
    assert_eq!(client.word(), "ACK");
}

#[test]
fn nonsense_from_a_server_breaks_its_connection_only() {
    let (world, _program, mut client) = started();
    client.ask(1, "confirm", "", b"");
    let mut origin = world.server("o1").accept();
    origin.asked();
    origin.say("what is this\r\n");
    assert_eq!(client.word(), "FAIL");
    assert_eq!(origin.line(), "");
    client.ask(2, "confirm", "", b"");
    let mut origin = world.server("o1").accept();
    let asked = origin.asked();
    // No client named a copy here: that one holds proves nothing.
    origin.answer(&asked, "SAME", "-", b"");
    assert_eq!(client.word(), "FAIL");
}

#[test]
fn an_answer_that_stops_short_ends_all_on_its_connection() {
    let mut world = World::new();
    world.file["settings"]["Limits"]["ConnectTimeout"] = json!(100);
    world.servers.push(Server::new("c2", "cache"));
    let program = world.start();
    let mut client = program.client();
    // Of one object, so both go to one cache.
    client.ask(1, "page", "", b"");
    client.send(&[
        b"REQ",
        b"2",
        b"page",
        b"i=00000000000000ff,o=0000000000000001,m=1,d=4000,lot=1",
        b"",
    ]);
    let (home, mut server) = world.first();
    let other = if home == "c1" { "c2" } else { "c1" };
    let asked = [server.asked(), server.asked()];
    let begun = Instant::now();
    server.say(format!("{} OK {HIT} 240000\r\nhalf", asked[0].id));
    // Both are attempted elsewhere, long before their time is up, and the connection is gone.
    let mut second = world.server(other).accept();
    second.serve(b"x");
    second.serve(b"x");
    assert_eq!((client.word(), client.word()), ("ACK".into(), "ACK".into()));
    assert!(
        begun.elapsed() < Duration::from_millis(1000),
        "{:?}",
        begun.elapsed()
    );
    assert_eq!(server.line(), "");
}

#[test]
fn a_trickle_that_nobody_wants_ends_its_connection() {
    let mut world = World::new();
    // A test that is held up for this long would trickle too slowly itself.
    world.file["settings"]["Limits"]["ConnectTimeout"] = json!(300);
    let program = world.start();
    let mut client = program.client();
    let id = client.ask(1, "page", "d=1000", b"");
    let mut server = world.server("c1").accept();
    let asked = server.asked();
    server.say(format!("{} OK {HIT} 240000\r\n", asked.id));
    // Its end is the connection's too: either may be seen first, and the other with it.
    until("the end of its time", || {
        !server.still_takes("x") || client.ready()
    });
    let ended = Instant::now();
    assert_eq!(client.word(), "NAK");
    assert!(
        ended.elapsed() < Duration::from_millis(100),
        "closed before its time: {:?}",
        ended.elapsed()
    );
    assert_eq!(server.line(), format!("QUIT {id}"));
    let late = Instant::now();
    until("a close", || !server.still_takes("x"));
    assert!(
        late.elapsed() < Duration::from_secs(2),
        "{:?}",
        late.elapsed()
    );
}

#[test]
fn silence_ends_in_time_and_its_connection_takes_nothing_new() {
    let (world, _program, mut client) = started();
    let asked_at = Instant::now();
    let id = client.ask(1, "page", "d=600", b"");
    let mut silent = world.server("c1").accept();
    silent.asked();
    assert_eq!(client.word(), "NAK");
    assert!(
        asked_at.elapsed() < Duration::from_millis(650),
        "{:?}",
        asked_at.elapsed()
    );
    assert_eq!(silent.line(), format!("QUIT {id}"));
    assert_eq!(silent.line(), "", "nothing is out on it any more");
    client.ask(2, "page", "", b"");
    let mut server = world.server("c1").accept();
    server.serve(b"back");
    assert_eq!(client.word(), "ACK");
}

#[test]
fn what_waits_past_the_grace_is_never_sent() {
    let mut world = World::new();
    world.file["settings"]["Limits"]["ConnectTimeout"] = json!(9000);
    world.file["settings"]["Obligations"]["DrainGrace"] = json!(300);
    let program = world.start();
    let mut client = program.client();
    let others = world.server("o1").vanish();
    let begun = Instant::now();
    client.ask(1, "confirm", "", b"");
    // Reported never sent, so it may go another way.
    let mut server = world.server("c1").accept();
    let asked = server.asked();
    assert!(
        begun.elapsed() >= Duration::from_millis(295),
        "{:?}",
        begun.elapsed()
    );
    server.answer(&asked, "OK", "tell=via_origin", b"done");
    assert_eq!(client.word(), "ACK");
    // When the server is back its connection comes up at last, and carries nothing.
    let local: Vec<_> = others
        .iter()
        .map(|o| o.local_addr().unwrap().port())
        .collect();
    let mut own = loop {
        let (stream, from) = world.server("o1").listener.accept().unwrap();
        if !local.contains(&from.port()) {
            break stream;
        }
    };
    drop(program);
    let mut came = Vec::new();
    let _ = own.read_to_end(&mut came);
    assert!(came.is_empty(), "{}", String::from_utf8_lossy(&came));
}

#[test]
fn what_must_not_run_twice_takes_no_connection_that_stood_idle() {
    let (world, _program, mut client) = started();
    client.ask(1, "confirm", "", b"");
    let mut idle = world.server("o1").accept();
    let asked = idle.asked();
    idle.answer(&asked, "OK", "tell=via_origin", b"one");
    assert_eq!(client.word(), "ACK");
    // While one is in use it serves for the next too.
    client.ask(2, "confirm", "", b"");
    let asked = idle.asked();
    client.ask(3, "confirm", "", b"");
    let third = idle.asked();
    idle.answer(&asked, "OK", "tell=via_origin", b"two");
    idle.answer(&third, "OK", "tell=via_origin", b"three");
    assert_eq!((client.word(), client.word()), ("ACK".into(), "ACK".into()));
    let since = Instant::now();
    until("a while", || since.elapsed() > Duration::from_millis(100));
    client.ask(4, "confirm", "", b"");
    let mut new = world.server("o1").accept();
    let asked = new.asked();
    new.answer(&asked, "OK", "tell=via_origin", b"four");
    assert_eq!(client.word(), "ACK");
}

#[test]
fn idle_connections_are_closed_before_the_server_does() {
    let mut world = World::new();
    world.file["settings"]["Limits"]["IdleClose"] = json!(300);
    let program = world.start();
    let mut client = program.client();
    client.ask(1, "page", "", b"");
    let mut server = world.server("c1").accept();
    server.serve(b"x");
    assert_eq!(client.word(), "ACK");
    assert_eq!(server.line(), "");
}

#[test]
fn a_new_server_at_an_old_address_inherits_nothing() {
    let mut world = World::new();
    let program = world.start();
    let (mut discovery, after) = world.discovery.accept();
    assert_eq!(after, 1);
    let mut client = program.client();
    client.ask(1, "page", "", b"");
    let mut old = world.server("c1").accept();
    let first = old.asked();
    let gone = world.server("c1").entry("left");
    world.servers[0].name = "c2".into();
    discovery.say(list(2, &[gone, world.server("c2").entry("active")]));
    // Told once a request of the same object comes on a connection of its own.
    let (mut tag, mut new) = (10, None);
    world.server("c2").listener.set_nonblocking(true).unwrap();
    until("a connection to the new server", || {
        tag += 1;
        client.ask(tag, "page", "", b"");
        std::thread::sleep(Duration::from_millis(20));
        new = world.server("c2").listener.accept().ok();
        new.is_some()
    });
    let (stream, _) = new.unwrap();
    stream.set_nonblocking(false).unwrap();
    let mut new = Line::new(stream);
    let second = new.asked();
    old.say(format!("{} OK tell=hit 3\r\nold\r\n", second.id));
    old.answer(&first, "OK", "tell=hit", b"first");
    assert_eq!(
        client.answer().3,
        b"first",
        "what was out at the old one still ends"
    );
    new.answer(&second, "OK", "tell=hit", b"new");
    assert_eq!(
        client.answer(),
        (tag, "ACK".into(), "".into(), b"new".to_vec())
    );
    assert_eq!(old.line(), "", "nothing is kept of the old one");
}

#[test]
fn a_server_that_moves_is_reached_where_it_is() {
    let (mut world, program, mut client) = started();
    let (mut discovery, _) = world.discovery.accept();
    client.ask(1, "page", "", b"");
    world.server("c1").accept().serve(b"x");
    assert_eq!(client.word(), "ACK");
    let old = std::mem::replace(&mut world.servers[0], Server::new("c1", "cache"));
    discovery.say(list(2, &[world.server("c1").entry("active")]));
    drop(old);
    // Rejected while nobody listens at the old address any more and the new one has not been told.
    let mut tag = 1;
    world.server("c1").listener.set_nonblocking(true).unwrap();
    until("a connection to the new address", || {
        tag += 1;
        client.ask(tag, "page", "", b"");
        std::thread::sleep(Duration::from_millis(20));
        world.server("c1").listener.accept().is_ok()
    });
    drop(program);
}

#[test]
fn the_discovery_is_followed_without_gaps() {
    let mut world = World::new();
    world.servers.push(Server::new("c2", "cache"));
    let program = world.start();
    let (mut discovery, after) = world.discovery.accept();
    assert_eq!(after, 1);
    discovery.say(list(2, &[world.server("c1").entry("leaving")]));
    drop(discovery);
    let (mut discovery, after) = world.discovery.accept();
    assert_eq!(after, 2, "after a break");
    // One that came before, then one past a gap.
    discovery.say(list(2, &[world.server("c1").entry("active")]));
    discovery.say(list(4, &[]));
    let (mut discovery, after) = world.discovery.accept();
    assert_eq!(after, 2, "after a gap");
    let said = Instant::now();
    discovery.say("7\n");
    let (mut discovery, after) = world.discovery.accept();
    assert_eq!(after, 2, "after a number ahead");
    assert!(said.elapsed() < Duration::from_secs(2), "not for silence");
    discovery.say("{nonsense\n");
    let (mut discovery, after) = world.discovery.accept();
    assert_eq!(after, 2, "after nonsense");
    // An event that cannot be used hides those after it no longer than once.
    let odd = json!({"rev": 3, "pool": {"hosts": [{"host": "c9"}]}});
    discovery.say(format!("{odd}\n"));
    let (mut discovery, after) = world.discovery.accept();
    assert_eq!(after, 2, "after an event that cannot be read");
    discovery.say(format!("{odd}\n{}", list(4, &[])));
    drop(discovery);
    assert_eq!(world.discovery.accept().1, 4);
    let mut client = program.client();
    // All go to the cache that does not drain, whichever the hash would take.
    client.ask(1, "page", "", b"");
    let mut server = world.server("c2").accept();
    for tag in 2..=9 {
        server.serve(b"x");
        assert_eq!(client.word(), "ACK");
        client.ask(tag, "page", "", b"");
    }
    server.serve(b"x");
}

#[test]
fn what_was_told_during_a_pause_goes_before_what_was_asked() {
    let mut world = World::new();
    world.servers.push(Server::new("c2", "cache"));
    let program = world.start();
    let (mut discovery, _) = world.discovery.accept();
    let mut clients: Vec<Client> = (0..8).map(|_| program.client()).collect();
    clients
        .iter_mut()
        .for_each(|client| assert_eq!(client.health(), "GREEN"));
    // Held up, as a machine that others share may be, for long enough to be noticed.
    program.signal("STOP");
    until("the pause", || program.is_stopped());
    let paused = Instant::now();
    for (tag, client) in (1..).zip(&mut clients) {
        client.ask(tag, "page", "", b"");
    }
    discovery.say(list(2, &[world.server("c1").entry("leaving")]));
    until("a long pause", || {
        paused.elapsed() > Duration::from_millis(300)
    });
    program.signal("CONT");
    let mut server = world.server("c2").accept();
    for _ in 0..4 {
        server.asked();
    }
    world.server("c1").listener.set_nonblocking(true).unwrap();
    assert!(
        world.server("c1").listener.accept().is_err(),
        "sent to a server that drains"
    );
}

#[test]
fn an_answer_that_came_during_a_pause_is_no_silence() {
    let mut world = World::new();
    world.file["settings"]["FamilyInfo"]["ClientKbPerS"] = json!(8800);
    let program = world.start();
    let mut client = program.client();
    client.ask(1, "page", "", b"");
    let mut server = world.server("c1").accept();
    server.serve(b"x");
    assert_eq!(client.word(), "ACK");
    // Now known to be held there: out for longer than any hit takes, it is looked into and called off.
    client.ask(1, "page", "", b"");
    let asked = server.asked();
    program.signal("STOP");
    until("the pause", || program.is_stopped());
    let paused = Instant::now();
    server.answer(&asked, "OK", "tell=hit", b"y");
    until("a long pause", || {
        paused.elapsed() > Duration::from_millis(600)
    });
    program.signal("CONT");
    assert_eq!(client.answer(), (1, "ACK".into(), "".into(), b"y".to_vec()));
}

#[test]
fn a_silent_discovery_is_watched_anew() {
    let mut world = World::new();
    let _program = world.start();
    let (_silent, _) = world.discovery.accept();
    assert_eq!(world.discovery.accept().1, 1);
}

#[test]
fn a_purge_bounds_the_age_of_copies() {
    let mut world = World::new();
    let program = world.start();
    let (mut discovery, _) = world.discovery.accept();
    let purged = unix_ms();
    discovery.say(format!(
        "{}\n",
        json!({"rev": 2, "flush": {"collection": 1, "ms": purged}})
    ));
    let mut client = program.client();
    client.ask(1, "page", "", b"");
    let mut server = world.server("c1").accept();
    let (mut tag, mut asked) = (1, server.asked());
    until("the purge", || {
        server.answer(&asked, "OK", "tell=hit", b"x");
        assert_eq!(client.word(), "ACK");
        tag += 1;
        client.ask(tag, "page", "", b"");
        asked = server.asked();
        asked.get("maxage") != "12000"
    });
    let oldest: u64 = asked.get("maxage").parse().unwrap();
    assert!(oldest > 0 && unix_ms() - oldest >= purged, "{oldest}");
}

#[test]
fn a_request_to_stop_loses_nothing() {
    let mut world = World::new();
    let mut program = world.start();
    let mut client = program.client();
    client.ask(1, "page", "", b"");
    let mut server = world.server("c1").accept();
    let first = server.asked();
    program.terminate();
    until("RED", || program.client().health() == "RED");
    let mut later = program.client();
    later.ask(2, "page", "", b"");
    let second = server.asked();
    server.answer(&second, "OK", "tell=hit", b"two");
    assert_eq!(later.word(), "ACK");
    // The last answer is large, and its client slow to read it.
    let object = bytes(240_000);
    server.answer(&first, "OK", "tell=hit", &object);
    assert_eq!(client.answer().3, object);
    let (status, log) = program.ended();
    assert!(status.success(), "{log}");
}

#[test]
fn what_is_open_when_time_runs_out_fails() {
    let mut world = World::new();
    let mut program = world.start();
    let mut client = program.client();
    client.ask(1, "confirm", "d=60000", b"");
    let mut origin = world.server("o1").accept();
    origin.asked();
    let asked = Instant::now();
    program.terminate();
    assert_eq!(client.word(), "FAIL");
    assert!(
        asked.elapsed() < Duration::from_millis(3700),
        "{:?}",
        asked.elapsed()
    );
    assert!(program.ended().0.success());
}

#[test]
fn a_configuration_read_anew_moves_to_its_discovery() {
    let mut world = World::new();
    world.servers.push(Server::new("c2", "cache"));
    let mut program = world.start();
    // Silent, and in the middle of an event.
    let (mut old, _) = world.discovery.accept();
    old.say("{\"rev\":2,");
    // An event of the new file, one that both have, and one that the new discovery service alone tells.
    world.move_discovery();
    let leaving: Value =
        serde_json::from_str(&list(2, &[world.server("c1").entry("leaving")])).unwrap();
    world.file["known"]["rev"] = json!(2);
    world.file["known"]["notices"]
        .as_array_mut()
        .unwrap()
        .push(leaving);
    world.file["limits"]["sockets"] = json!(512);
    world.write();
    let told = Instant::now();
    for _ in 0..3 {
        program.signal("HUP");
    }
    let (_discovery, after) = world.discovery.accept();
    assert_eq!(after, 2);
    assert!(
        told.elapsed() < Duration::from_millis(1500),
        "not for silence: {:?}",
        told.elapsed()
    );
    let mut client = program.client();
    client.ask(1, "page", "", b"");
    let mut server = world.server("c2").accept();
    for tag in 2..=9 {
        server.serve(b"x");
        assert_eq!(client.word(), "ACK");
        client.ask(tag, "page", "", b"");
    }
    program.terminate();
    until("RED", || program.client().health() == "RED");
    // One that is faulty changes nothing.
    world.file["board"] = json!("nowhere");
    world.write();
    program.signal("HUP");
    server.serve(b"x");
    assert_eq!(client.word(), "ACK");
    let (status, log) = program.ended();
    assert!(status.success(), "{log}");
    assert!(
        log.contains("board is not an address") && log.contains("limits: a restart is needed"),
        "{log}"
    );
}

#[test]
fn what_is_told_wrongly_is_named() {
    let wrong = [
        ("/listen", json!("nowhere"), "listen"),
        ("/board", json!(null), "board"),
        ("/board", json!("nowhere"), "board"),
        ("/seed", json!("not hex"), "seed"),
        ("/limits/sockets", json!(10), "sockets"),
        ("/limits/memory_mb", json!("much"), "memory_mb"),
        ("/settings", json!(null), "settings"),
        ("/settings/Classes", json!([]), "Classes"),
        ("/settings/Classes/0/Effect", json!("odd"), "Effect"),
        (
            "/settings/Obligations/DrainGrace",
            json!("long"),
            "DrainGrace",
        ),
        (
            "/settings/Limits/ConnectTimeout",
            json!([]),
            "ConnectTimeout",
        ),
        ("/settings/FamilyInfo", json!(3), "FamilyInfo"),
        ("/settings/Zones", json!([1]), "Zones"),
        ("/settings/Limits/IdleClose", json!(true), "IdleClose"),
        (
            "/settings/Limits/StreamsPerConn",
            json!(1.5),
            "StreamsPerConn",
        ),
        ("/settings/Limits/MaxOpen", json!("all"), "MaxOpen"),
        ("/limits", json!([]), "limits"),
        ("/known/rev", json!("x"), "rev"),
        ("/known", json!(7), "known"),
        ("/known/notices", json!(null), "notices"),
        ("/known/notices/0/pool/hosts/0/dial", json!("x"), "dial"),
    ];
    for (at, value, named) in wrong {
        let mut world = World::new();
        let entries: Vec<_> = world.servers.iter().map(|s| s.entry("active")).collect();
        world.file["known"] =
            json!({"rev": 1, "notices": [{"rev": 1, "pool": {"whole": true, "hosts": entries}}]});
        *world.file.pointer_mut(at).unwrap_or_else(|| panic!("{at}")) = value;
        let (status, log) = world.spawn("").ended();
        assert!(!status.success(), "{at}");
        let last = log.lines().last().unwrap_or_default();
        assert!(
            last.starts_with("chalkhall-router: ") && last.contains(named),
            "{at}: {log}"
        );
    }
    let mut world = World::new();
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    world.file["listen"] = json!(taken.local_addr().unwrap().to_string());
    assert!(world.spawn("").ended().1.contains("listen"));
}
