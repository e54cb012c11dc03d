//! Clients that are slow, silent, many or talk nonsense, and the limits they meet.

use crate::bytes;
use crate::stand_ins::*;
use crate::started;
use serde_json::json;
use std::time::{Duration, Instant};

#[test]
fn nonsense_from_a_client_meets_an_answer_or_a_close() {
    let mut world = World::new();
    let program = world.start();
    let (mut client, id) = (program.client(), "00000000000000aa");
    let faulty = [
        ("nowhere", format!("i={id},o={id},d=900")),
        ("page", format!("i=short,o={id},d=900")),
        ("page", format!("i={id},o=not hex digits!!,d=900")),
        ("page", format!("i={id},o={id},d=0")),
        ("page", format!("i={id},o={id}")),
        ("page", format!("i={id},o={id},d=soon")),
        ("page", format!("i={id},o={id},d=900,m=-1")),
        ("page", format!("i={id},o={id},d=900,m=NaN")),
        ("page", format!("i={id},o={id},d=900,m=700")),
        ("page", format!("i={id},o={id},d=900,lot=256")),
        ("page", format!("i={id},o={id},d=900,d=900")),
    ];
    for (tag, (class, fields)) in (1..).zip(&faulty) {
        client.send(&[
            b"REQ",
            tag.to_string().as_bytes(),
            class.as_bytes(),
            fields.as_bytes(),
            b"",
        ]);
        assert_eq!(
            client.answer(),
            (tag, "FAIL".into(), "".into(), vec![]),
            "{class} {fields}"
        );
    }
    client.send(&[b"WHAT", b"18"]);
    assert_eq!(client.word(), "FAIL");
    for bad in [
        "*1\r\n$99999999\r\n",
        "PING\r\n",
        "*2\r\n$3\r\nREQ\r\n$1\r\nx\r\n",
    ] {
        let mut other = program.client();
        other.write(bad.as_bytes());
        assert!(other.closed(), "{bad:?}");
    }
    assert_eq!(client.health(), "GREEN", "the others are untouched");
    // No clock reaches as far as this one would wait.
    client.ask(19, "page", "d=999999999999999999", b"");
    let mut server = world.server("c1").accept();
    let asked = server.asked();
    assert!(asked.get("limit").parse::<u64>().unwrap() <= 60_000);
    server.answer(&asked, "OK", "tell=hit", b"x");
    assert_eq!(client.word(), "ACK");
    // An id that is in use.
    let id = client.ask(20, "page", "", b"");
    let asked = server.asked();
    client.send(&[
        b"REQ",
        b"21",
        b"page",
        format!("i={id},o={id},d=900").as_bytes(),
        b"",
    ]);
    assert_eq!(client.answer().1, "FAIL");
    // Nor is one client's request ended by another that names its id and goes.
    let mut other = program.client();
    other.send(&[
        b"REQ",
        b"20",
        b"page",
        format!("i={id},o={id},d=900").as_bytes(),
        b"",
    ]);
    other.send(&[b"ABORT", b"20"]);
    other.send(&[b"HEALTH", b"1000", b""]);
    // Its own answer may cross its calling off; nothing else comes before what it asked last.
    let mut said = other.answer();
    if said.0 == 20 {
        assert_eq!(said, (20, "FAIL".into(), "".into(), vec![]));
        said = other.answer();
    }
    assert_eq!((said.0, said.1.as_str()), (1000, "GREEN"));
    drop(other);
    assert_eq!(client.health(), "GREEN");
    server.answer(&asked, "OK", "tell=hit", b"x");
    assert_eq!(
        client.answer(),
        (20, "ACK".into(), "".into(), b"x".to_vec())
    );
    // One more than a connection carries.
    let mut many = program.client();
    (1..=33).for_each(|tag| drop(many.ask(tag, "page", "", b"")));
    assert_eq!(many.answer(), (33, "FAIL".into(), "".into(), vec![]));
}

#[test]
fn a_slow_reader_stalls_nobody_and_gets_all() {
    let mut world = World::new();
    let program = world.start();
    let (mut slow, mut quick) = (program.client(), program.client());
    slow.ask(1, "page", "", b"");
    let mut server = world.server("c1").accept();
    let object = bytes(240_000);
    for tag in 1..=32 {
        server.serve(&object);
        if tag < 32 {
            slow.ask(tag + 1, "page", "", b"");
        }
    }
    quick.ask(1, "page", "", b"");
    server.serve(b"x");
    assert_eq!(quick.word(), "ACK");
    for tag in 1..=32 {
        let (of, word, _, body) = slow.answer();
        assert!(
            (of, word.as_str()) == (tag, "ACK") && body == object,
            "answer {tag}"
        );
    }
}

#[test]
fn bodies_past_the_memory_are_rejected_at_the_door() {
    let mut world = World::new();
    world.file["limits"]["memory_mb"] = json!(1);
    let program = world.start();
    let mut client = program.client();
    client.ask(1, "page", "", b"");
    client.ask(2, "page", "", b"");
    client.ask(3, "page", "", b"");
    assert_eq!(client.answer(), (3, "NAK".into(), "w=200".into(), vec![]));
    let mut server = world.server("c1").accept();
    for tag in [1, 2] {
        server.serve(&bytes(240_000));
        assert_eq!(client.answer().0, tag);
    }
    client.ask(4, "page", "", b"");
    server.serve(b"x");
    assert_eq!(
        client.word(),
        "ACK",
        "what has been written takes no place any more"
    );
    // Where objects are small more may be out: to reckon with the largest would reject half of them.
    for tag in 1..=100 {
        client.ask(tag, "page", "", b"");
        server.serve(b"x");
        assert_eq!(client.word(), "ACK");
    }
    for tag in 1..=5 {
        client.ask(tag, "page", "", b"");
    }
    let asked: Vec<_> = (1..=5).map(|_| server.asked()).collect();
    asked
        .iter()
        .for_each(|asked| server.answer(asked, "OK", "tell=hit", b"x"));
    (1..=5).for_each(|_| assert_eq!(client.word(), "ACK"));
}

#[test]
fn a_tag_in_use_is_answered_once_and_no_more_is_read() {
    let (world, _program, mut client) = started();
    client.ask(1, "page", "", b"");
    let id = client.ask(2, "page", "", b"");
    let mut server = world.server("c1").accept();
    let asked = [server.asked(), server.asked()];
    client.ask(2, "page", "", b"");
    let mut tags = [client.answer(), client.answer()].map(|(tag, word, ..)| (tag, word));
    tags.sort();
    assert_eq!(tags, [(1, "FAIL".into()), (2, "FAIL".into())]);
    assert!(client.closed(), "a second answer under the same tag");
    assert!([server.line(), server.line()].contains(&format!("QUIT {id}")));
    asked
        .iter()
        .for_each(|asked| server.answer(asked, "OK", "tell=hit", b"late"));
}

#[test]
fn silence_and_half_messages_are_closed_in_time() {
    let (world, program, mut client) = started();
    let begun = Instant::now();
    let mut silent = program.client();
    let mut halves = [
        "*",
        "*5\r\n$3\r\nREQ\r\n",
        "*5\r\n$3\r\nREQ\r\n$1\r\n2\r\n$4\r\npage\r\n$9\r\ni=",
    ]
    .map(|half| (half, program.client()));
    halves
        .iter_mut()
        .for_each(|(half, client)| client.write(half.as_bytes()));
    // One with something open is told that it failed.
    client.ask(1, "page", "", b"");
    world.server("c1").accept().asked();
    client.write(b"*2\r\n$6\r\nHEA");
    assert!(silent.closed() && halves.iter_mut().all(|(_, client)| client.closed()));
    assert_eq!(client.word(), "FAIL");
    assert!(
        client.closed() && begun.elapsed() < Duration::from_secs(3),
        "{:?}",
        begun.elapsed()
    );
}

#[test]
fn the_silent_keep_nobody_out() {
    for limits in ["ulimit -n 40;", ""] {
        let mut world = World::new();
        world.file["limits"]["sockets"] = json!(if limits.is_empty() { 64 } else { 1024 });
        let program = world.spawn(limits);
        until("GREEN", || {
            program
                .connect()
                .is_some_and(|mut client| client.health() == "GREEN")
        });
        let begun = Instant::now();
        let mut busy = program.client();
        busy.ask(1, "page", "", b"");
        let mut server = world.server("c1").accept();
        let asked = server.asked();
        // They hold all places, and those who stay after an answer too.
        let mut clients: Vec<Client> = (0..120).map(|_| program.client()).collect();
        for client in &mut clients[60..] {
            client.send(&[b"HEALTH", b"1", b""]);
        }
        let mut last = program.client();
        assert_eq!(last.health(), "GREEN");
        last.ask(2, "page", "", b"");
        server.serve(b"x");
        assert_eq!(last.word(), "ACK");
        assert!(
            begun.elapsed() < Duration::from_millis(1900),
            "not for want of a whole message"
        );
        server.answer(&asked, "OK", "tell=hit", b"y");
        assert_eq!(busy.answer().3, b"y", "who has something open stays");
    }
}
