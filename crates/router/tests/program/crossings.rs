//! Moments in which two things meet, forced by the order of events: a row each in `docs/crossings.md`.

use crate::customers::{hasty, wide};
use crate::stand_ins::*;
use serde_json::json;
use std::io::Write;
use std::net::TcpListener;
use std::time::{Duration, Instant};

fn pass(time: Duration) {
    let since = Instant::now();
    until("a while", || since.elapsed() > time);
}

const MS: Duration = Duration::from_millis(1);

/// Nothing can be sent anywhere: whatever is asked is rejected at once.
fn rejecting() -> World {
    let mut world = World::new();
    let entries: Vec<_> = world.servers.iter().map(|s| s.entry("leaving")).collect();
    world.file["known"] =
        json!({"rev": 1, "notices": [{"rev": 1, "pool": {"whole": true, "hosts": entries}}]});
    world
}

/// The program is held up while its time to end comes: it wakes with requests unread on a connection that
/// rests, on one that nobody has accepted yet, and half of one on a third. Each whole one is answered, and no
/// connection is reset over bytes that nobody read.
#[test]
fn what_came_before_the_end_is_answered_and_nobody_is_reset() {
    let mut world = rejecting();
    let mut program = world.start();
    let (mut resting, mut half) = (program.client(), program.client());
    assert_eq!(
        (resting.health(), half.health()),
        ("GREEN".into(), "GREEN".into())
    );
    program.terminate();
    until("RED", || resting.health() == "RED");
    program.signal("STOP");
    until("the pause", || program.is_stopped());
    pass(900 * MS);
    resting.ask(1, "page", "", b"");
    resting.ask(2, "confirm", "", b"write");
    half.write(b"*5\r\n$3\r\nREQ\r\n$1\r\n7");
    let mut waiting: Vec<Client> = (0..3).map(|_| program.client()).collect();
    waiting
        .iter_mut()
        .for_each(|client| drop(client.ask(1, "page", "", b"")));
    program.signal("CONT");
    let rejected = ("NAK".to_owned(), "w=200".to_owned());
    for tag in [1, 2] {
        let (of, word, fields, _) = resting.answer();
        assert_eq!((of, (word, fields)), (tag, rejected.clone()));
    }
    for client in &mut waiting {
        let (of, word, fields, _) = client.answer();
        assert_eq!((of, (word, fields)), (1, rejected.clone()));
    }
    for client in waiting.iter_mut().chain([&mut resting, &mut half]) {
        assert!(client.parted(), "reset");
    }
    assert!(program.ended().0.success());
}

/// What comes after the router has shut its side is read, and neither sent on nor answered.
#[test]
fn what_crosses_the_shutdown_is_dropped() {
    let mut world = World::new();
    let mut program = world.start();
    let mut resting = program.client();
    assert_eq!(resting.health(), "GREEN");
    program.terminate();
    assert!(resting.parted(), "its end of the connection");
    // The system still takes this: the router reads on for a while.
    resting.ask(1, "page", "", b"");
    let (status, log) = program.ended();
    assert!(status.success(), "{log}");
    assert!(
        world
            .servers
            .iter()
            .all(|server| server.try_accept().is_none()),
        "sent on"
    );
}

/// Answers that a slow reader has not taken yet are waited for, while there is time.
#[test]
fn a_slow_reader_gets_all_of_its_answers_at_the_end() {
    let mut world = World::new();
    let mut program = world.start();
    let mut slow = program.client();
    slow.ask(1, "page", "", b"");
    let mut server = world.server("c1").accept();
    let object = vec![7; 240_000];
    for tag in 1..=32 {
        server.serve(&object);
        if tag < 32 {
            slow.ask(tag + 1, "page", "", b"");
        }
    }
    // The router has them all, and the last lies in no system's buffer.
    let mut other = program.client();
    other.ask(1, "page", "", b"");
    server.serve(b"x");
    assert_eq!(other.word(), "ACK");
    program.terminate();
    pass(1300 * MS);
    for tag in 1..=32 {
        let (of, word, _, body) = slow.answer();
        assert!(
            (of, word.as_str(), body.len()) == (tag, "ACK", 240_000),
            "answer {tag}"
        );
    }
    assert!(program.ended().0.success());
}

/// More called off in one go than there are places for answers, each answered before it was: the one that is
/// wanted is answered too.
#[test]
fn an_answer_finds_a_place_whatever_was_called_off_before() {
    let mut world = rejecting();
    let program = world.start();
    let mut client = program.client();
    let mut bytes = Vec::new();
    for tag in 1..=400u64 {
        bytes.extend(frame(&[
            b"REQ",
            tag.to_string().as_bytes(),
            b"page",
            &fields(tag),
            b"",
        ]));
        bytes.extend(frame(&[b"ABORT", tag.to_string().as_bytes()]));
    }
    bytes.extend(frame(&[b"REQ", b"1000", b"page", &fields(1000), b""]));
    // All of it is there when the router reads: in one piece, as far as that goes.
    program.signal("STOP");
    until("the pause", || program.is_stopped());
    client.write(&bytes);
    program.signal("CONT");
    let mut last = client.answer();
    while last.0 != 1000 {
        // Answers that crossed their calling off.
        last = client.answer();
    }
    assert_eq!(last.1, "NAK");
    assert_eq!(client.health(), "GREEN");
}

/// One tag called off and used again at once, and both are answered.
#[test]
fn a_tag_that_is_used_again_at_once_has_its_own_answer() {
    let mut world = World::new();
    let program = world.start();
    let mut client = program.client();
    client.ask(1, "page", "", b"");
    let mut server = world.server("c1").accept();
    let first = server.asked();
    client.send(&[b"ABORT", b"1"]);
    client.ask(1, "page", "", b"");
    assert_eq!(server.line(), format!("QUIT {}", first.id));
    let second = server.asked();
    // It crossed the QUIT.
    server.answer(&first, "OK", HIT, b"first");
    server.answer(&second, "OK", HIT, b"second");
    assert_eq!(client.answer().3, b"second");
    assert_eq!(client.health(), "GREEN", "and no other");
}

/// By a reset, or by shutting its side: then the router has heard it when this is over.
fn leaves(mut client: Client, reset: bool) {
    if reset {
        client.reset();
    } else {
        client.half_close();
        assert!(client.parted());
    }
}

/// A client that shuts its side has gone, as has one that resets: what is out is called off at once.
#[test]
fn half_closed_and_reset_clients_have_gone() {
    let mut world = World::new();
    let program = world.start();
    for reset in [false, true] {
        let mut client = program.client();
        let id = client.ask(1, "page", "", b"");
        let mut server = world.server("c1").accept();
        server.asked();
        let left = Instant::now();
        leaves(client, reset);
        assert_eq!(server.line(), format!("QUIT {id}"));
        assert!(left.elapsed() < 100 * MS, "{:?}", left.elapsed());
        world.server("c1").close_all(&program, server);
    }
}

/// That a client's copy holds is passed on only of the copy that the server names.
#[test]
fn a_copy_that_the_server_does_not_name_is_not_called_current() {
    for fields in ["tell=hit,etag=1111111111111111", "tell=hit"] {
        let mut world = World::new();
        let program = world.start();
        let mut client = program.client();
        client.ask(1, "page", "ver=4be0c1927d55a6f3", b"");
        let mut server = world.server("c1").accept();
        let asked = server.asked();
        server.answer(&asked, "SAME", fields, b"");
        // As after any error it goes another way.
        let mut parent = world.server("p1").accept();
        parent.serve(b"whole");
        let (_, word, told, body) = client.answer();
        assert!(
            word == "ACK" && !told.contains("unchanged") && body == b"whole",
            "{word} {told}"
        );
    }
}

/// Half a line of a server that says no more: the connection is let go of, and what is asked meanwhile is
/// answered all the same.
#[test]
fn half_a_line_at_rest_harms_nobody() {
    let mut world = World::new();
    world.file["settings"]["Limits"]["ConnectTimeout"] = json!(200);
    let program = world.start();
    let mut client = program.client();
    client.ask(1, "page", "", b"");
    let mut server = world.server("c1").accept();
    server.serve(b"x");
    assert_eq!(client.word(), "ACK");
    server.say("00ff OK tell=hit");
    let said = Instant::now();
    assert_eq!(server.line(), "", "let go of");
    assert!(said.elapsed() < 1000 * MS, "{:?}", said.elapsed());
    client.ask(2, "page", "", b"");
    world.server("c1").accept().serve(b"y");
    assert_eq!(client.word(), "ACK");
}

/// Numbers that stay behind, events that were told before, half lines: a discovery service that goes on like
/// this holds back as much as a silent one.
#[test]
fn a_discovery_that_tells_nothing_new_is_watched_anew() {
    let mut world = World::new();
    let _program = world.start();
    let old = list(1, &[]);
    for words in ["0\n", &old, "{\"rev\":"] {
        let (mut discovery, after) = world.discovery.accept();
        assert_eq!(after, 1);
        let begun = Instant::now();
        until("a watch anew", || {
            let _ = discovery.still_takes(words);
            pass(50 * MS);
            world.discovery.is_watched()
        });
        assert!(
            begun.elapsed() < 2600 * MS,
            "{words:?}: {:?}",
            begun.elapsed()
        );
    }
}

/// Clients that rest take every descriptor while discovery is down: it is followed again within a second of
/// its return, and who has something open is served meanwhile.
#[test]
fn a_discovery_that_comes_back_is_followed_though_no_descriptor_is_left() {
    for (descriptors, clients) in [(48, 300), (320, 700)] {
        comes_back_without_descriptors(descriptors, clients);
    }
}

fn comes_back_without_descriptors(descriptors: u32, clients: usize) {
    let mut world = World::new();
    world.file["limits"]["sockets"] = json!(1024);
    let program = world.spawn(&format!("ulimit -n {descriptors};"));
    let (discovery, after) = world.discovery.accept();
    assert_eq!(after, 1);
    let mut busy = program.client();
    busy.ask(1, "page", "", b"");
    let mut server = world.server("c1").accept();
    let asked = server.asked();
    let at = world.discovery.goes_down(discovery);
    // They come again as often as they are let go of.
    let crowd = Crowd::of(clients, program.address(), true);
    until("no descriptor left", || {
        program.descriptors() + 2 >= descriptors as usize
    });
    until("more than there are", || {
        crowd.held() as usize >= clients * 2 / 3
    });
    pass(1000 * MS);
    let back = Instant::now();
    world.discovery.comes_back(at);
    let (mut discovery, after) = world.discovery.accept();
    assert!(
        back.elapsed() < 1000 * MS,
        "followed {:?} after its return",
        back.elapsed()
    );
    assert_eq!(after, 1);
    discovery.say("1\n");
    server.answer(&asked, "OK", HIT, b"x");
    assert_eq!(busy.word(), "ACK");
    // And a new file that moves it is read.
    world.move_discovery();
    world.write();
    program.signal("HUP");
    let moved = Instant::now();
    assert_eq!(world.discovery.accept().1, 1);
    assert!(
        moved.elapsed() < 1000 * MS,
        "moved {:?} after SIGHUP",
        moved.elapsed()
    );
    drop(crowd);
}

/// After a failed accept nobody is kept from saying what he has to: requests on open connections go on at
/// their pace.
#[test]
fn requests_go_on_while_no_connection_can_be_taken() {
    let mut world = rejecting();
    world.file["limits"]["sockets"] = json!(1024);
    // More rest than are let go of at once: who has asked for something stays.
    let program = world.spawn("ulimit -n 96;");
    until("GREEN", || {
        program
            .connect()
            .is_some_and(|mut client| client.health() == "GREEN")
    });
    let mut busy = program.client();
    busy.ask(1, "page", "", b"");
    assert_eq!(busy.word(), "NAK");
    let crowd = Crowd::of(300, program.address(), false);
    until("no descriptor left", || crowd.held() >= 200);
    let mut took: Vec<Duration> = Vec::new();
    for tag in 2..=400 {
        let asked = Instant::now();
        busy.ask(tag, "page", "", b"");
        assert_eq!(busy.word(), "NAK");
        took.push(asked.elapsed());
    }
    // That long it is waited after an accept that failed: by the connections that come, by nobody else.
    let held_up = took.iter().filter(|took| **took >= 19 * MS).count();
    assert!(held_up < 10, "{held_up} of {} were held up", took.len());
    drop(crowd);
}

/// Nothing of an old file's discovery remains after a new one: not its connection, nor what it still says.
#[test]
fn an_old_discovery_is_not_heard_any_more() {
    for mut world in [World::new(), hasty(), wide()] {
        world.servers.push(Server::new("c2", "cache"));
        let program = world.start();
        let (mut old, _) = world.discovery.accept();
        let leaving = world.server("c1").entry("leaving");
        world.move_discovery();
        world.write();
        program.signal("HUP");
        let (mut new, after) = world.discovery.accept();
        assert_eq!(after, 1);
        // The old one goes on with another history of the same numbers.
        let mut took = true;
        until("the old one's close", || {
            took = took && old.still_takes(&list(2, std::slice::from_ref(&leaving)));
            !took
        });
        new.say(list(2, &[world.server("c2").entry("leaving")]));
        new.say("2\n");
        drop(new);
        assert_eq!(world.discovery.accept().1, 2);
        let class = world.file["settings"]["Classes"][0]["Name"]
            .as_str()
            .unwrap()
            .to_owned();
        let mut client = program.client();
        for tag in 1..=4 {
            client.ask(
                tag,
                &class,
                if class == "picture" {
                    "t=archive"
                } else {
                    "d=800"
                },
                b"",
            );
        }
        let mut server = world.server("c1").accept();
        for _ in 1..=4 {
            server.serve(b"x");
            assert_eq!(client.word(), "ACK");
        }
        assert!(
            world.server("c2").try_accept().is_none(),
            "sent to one that drains"
        );
    }
}

/// Asked to stop twice, with a new file between: it ends once, in time, and in order.
#[test]
fn signals_that_meet_end_it_once() {
    let mut world = World::new();
    let mut program = world.start();
    let mut client = program.client();
    client.ask(1, "page", "", b"");
    let mut server = world.server("c1").accept();
    let asked = server.asked();
    let begun = Instant::now();
    for signal in ["TERM", "HUP", "TERM", "HUP"] {
        program.signal(signal);
    }
    until("RED", || program.client().health() == "RED");
    server.answer(&asked, "OK", HIT, b"x");
    assert_eq!(client.word(), "ACK");
    let (status, log) = program.ended();
    assert!(
        status.success() && begun.elapsed() < 1500 * MS,
        "{:?} {log}",
        begun.elapsed()
    );
}

/// Asked to stop while it still reads its file: it serves as it was told, says that it goes, and ends in order
/// and in time.
#[test]
fn a_stop_before_it_is_ready_ends_it_in_order() {
    let mut world = World::new();
    let (mut program, mut pipe) = world.spawn_before_its_file();
    program.terminate();
    pipe.write_all(world.file.to_string().as_bytes()).unwrap();
    drop(pipe);
    let begun = Instant::now();
    let mut client = None;
    until("it listens", || {
        client = program.connect();
        client.is_some()
    });
    let mut client = client.unwrap();
    // The signal waits for the first turn of the program's tasks: a client may come before it.
    until("RED", || client.health() == "RED");
    client.ask(1, "page", "", b"");
    world.server("c1").accept().serve(b"x");
    assert_eq!(client.word(), "ACK", "what still comes is answered");
    let (status, log) = program.ended();
    assert!(
        status.success() && begun.elapsed() < 1500 * MS,
        "{status} {:?} {log}",
        begun.elapsed()
    );
}

/// What the system has taken for a server that hangs cannot be taken back: its QUIT follows right behind it.
#[test]
fn what_a_hung_server_has_not_read_is_followed_by_its_calling_off() {
    let mut world = World::new();
    let program = world.start();
    for reset in [false, true] {
        let mut client = program.client();
        let id = client.ask(1, "page", "", b"");
        let mut server = world.server("c1").accept();
        until("the request, unread", || server.ready());
        let gone = Instant::now();
        leaves(client, reset);
        assert_eq!(server.asked().id, id);
        assert_eq!(server.line(), format!("QUIT {id}"));
        assert!(gone.elapsed() < 100 * MS, "{:?}", gone.elapsed());
        world.server("c1").close_all(&program, server);
    }
}

/// A server hangs until its connection's socket is full. Who asks then and leaves is never sent on, though the
/// server reads on a moment later; also where settings forbid calling off what has begun.
#[test]
fn who_waits_behind_a_full_socket_and_leaves_is_never_sent_on() {
    [true, false]
        .into_iter()
        .for_each(waits_behind_a_full_socket);
}

fn waits_behind_a_full_socket(may_cancel: bool) {
    let mut world = World::new();
    world.file["settings"]["Limits"]["MayCancel"] = json!(may_cancel);
    // Nowhere else to go; and so many are listed that each is given one connection.
    world.servers.truncate(1);
    world.servers[0].reads_little();
    let mut entries = vec![world.server("c1").entry("active")];
    for n in 0..200 {
        entries.push(world.server("c1").entry("leaving"));
        entries[n + 1]["host"] = json!(format!("leaving-{n}"));
    }
    world.file["known"] =
        json!({"rev": 1, "notices": [{"rev": 1, "pool": {"whole": true, "hosts": entries}}]});
    world.file["settings"]["Limits"]["StreamsPerConn"] = json!(1000);
    let program = world.start();
    // More than any system's buffers take of one connection.
    let body = vec![7; 63_000];
    let mut busy: Vec<Client> = (0..10).map(|_| program.client()).collect();
    let mut first = Vec::new();
    for client in &mut busy {
        first.extend((1..=32).map(|tag| client.ask(tag, "page", "", &body)));
    }
    // Each has been looked at by the router when what was asked after it has its answer.
    assert!(busy.iter_mut().all(|client| client.health() == "GREEN"));
    let mut left = Vec::new();
    for n in 0..30 {
        let mut client = program.client();
        left.push(client.ask(1000 + n, "page", "", b""));
        leaves(client, n % 2 == 1);
    }
    // Those that reset have been heard too: another has come after them.
    assert_eq!(program.client().health(), "GREEN");
    let mut server = world.server("c1").accept();
    let come: Vec<String> = first
        .iter()
        .map(|_| {
            let asked = server.asked();
            server.answer(&asked, "OK", HIT, b"x");
            asked.id
        })
        .collect();
    assert!(
        left.iter().all(|id| !come.contains(id)),
        "sent on for one that has left"
    );
    assert!(
        busy.iter_mut()
            .all(|client| (1..=32).all(|_| client.word() == "ACK"))
    );
    let last = busy[0].ask(33, "page", "", b"");
    assert_eq!(
        server.asked().id,
        last,
        "nothing else has come, not even a QUIT"
    );
    assert!(world.server("c1").try_accept().is_none());
}

/// Discovery's descriptors are there before the first client is.
#[test]
fn a_discovery_that_is_down_at_the_start_is_found_when_it_comes() {
    let mut world = World::new();
    let at = address();
    world.file["board"] = json!(at.to_string());
    let program = world.start();
    let mut client = program.client();
    client.ask(1, "page", "", b"");
    world.server("c1").accept().serve(b"x");
    assert_eq!(client.word(), "ACK", "by the list of the start");
    let back = Instant::now();
    world.discovery.listener = TcpListener::bind(at).unwrap();
    assert_eq!(world.discovery.accept().1, 1);
    assert!(back.elapsed() < 1000 * MS, "{:?}", back.elapsed());
}

fn fields(tag: u64) -> Vec<u8> {
    format!("i={:016x},o={tag:016x},lot=1,m=1,d=4000", 0xabc_0000 + tag).into_bytes()
}
