//! Own copies in memory, through the program on loopback.

use crate::stand_ins::*;
use serde_json::json;

const TAG: &str = "etag=4be0c1927d55a6f3";

fn started(directives: &str) -> (World, Program, Client) {
    let mut world = World::new();
    world.directives = directives.to_owned();
    let program = world.start();
    let client = program.client();
    (world, program, client)
}

fn made(ago: u64) -> String {
    made_at(unix_ms() - ago)
}

fn made_at(ms: u64) -> String {
    format!("tell=filled,{TAG},made={ms}")
}

fn ask_first(client: &mut Client) {
    client.ask(7, "page", "", b"");
}

#[test]
fn a_repeat_is_answered_from_memory() {
    let (world, _program, mut client) = started("store {\n memory 25%\n}\n");
    let mut server = keep_after(&world, &mut client);
    client.ask(7, "page", "", b"");
    assert_eq!(
        client.answer(),
        (
            7,
            "ACK".into(),
            format!("ver={}", &TAG[5..]),
            b"two".to_vec()
        )
    );
    client.ask(7, "page", &format!("ver={}", &TAG[5..]), b"");
    let (_, word, fields, body) = client.answer();
    assert!(
        word == "ACK" && fields.contains("unchanged=1") && body.is_empty(),
        "{word} {fields}"
    );
    // Another part is another copy; nothing of all this came to the server.
    client.ask(7, "page", "piece=1", b"");
    assert_eq!(server.asked().get("chunk"), "1");
}

/// Asks for object 7 until its copy is one of the router's own: a first sighting is not kept, the second is.
fn keep_after(world: &World, client: &mut Client) -> Line {
    ask_first(client);
    let mut server = world.server("c1").accept();
    let asked = server.asked();
    server.answer(&asked, "OK", &made(0), b"one");
    client.answer();
    ask_first(client);
    let asked = server.asked();
    server.answer(&asked, "OK", &made(0), b"two");
    client.answer();
    server
}

#[test]
fn a_purge_told_is_kept_by_own_copies() {
    let (world, _program, mut client) = started("store {\n memory 10MB\n}\n");
    let (mut discovery, _) = world.discovery.accept();
    let mut server = keep_after(&world, &mut client);
    let flush = json!({"rev": 2, "flush": {"collection": 1, "ms": unix_ms()}});
    discovery.say(format!("{flush}\n"));
    // Told when the next request of another object carries the bound.
    let mut tag = 100;
    until("the purge", || {
        tag += 1;
        client.ask(tag, "page", "", b"");
        let asked = server.asked();
        let bound: u64 = asked.get("maxage").parse().unwrap();
        server.answer(&asked, "OK", &made(0), b"x");
        client.answer();
        bound < 12_000
    });
    ask_first(&mut client);
    let asked = server.asked();
    assert_eq!(asked.get("item"), "0000000000000007");
    // Made before the purge, or in its very millisecond: passed on, for the server says so, but not kept.
    let purged = flush["flush"]["ms"].as_u64().unwrap();
    server.answer(&asked, "OK", &made_at(purged - 60_000), b"old");
    client.answer();
    ask_first(&mut client);
    let asked = server.asked();
    server.answer(&asked, "OK", &made_at(purged), b"in the same millisecond");
    client.answer();
    ask_first(&mut client);
    let asked = server.asked();
    // All this may have taken less than that millisecond.
    until("the next millisecond", || unix_ms() > purged);
    server.answer(&asked, "OK", &made_at(purged + 1), b"new");
    assert_eq!(client.answer().3, b"new");
    ask_first(&mut client);
    assert_eq!(client.answer().3, b"new", "made since");
}

#[test]
fn what_expired_is_asked_for_again() {
    let (world, _program, mut client) = started("store {\n memory 10MB\n}\n");
    ask_first(&mut client);
    let mut server = world.server("c1").accept();
    for _ in 0..3 {
        let asked = server.asked();
        server.answer(&asked, "OK", &made(12_001), b"old");
        client.answer();
        ask_first(&mut client);
    }
    server.asked();
}

#[test]
fn requests_for_one_part_share_a_fill() {
    let (world, _program, mut client) = started("store {\n memory 10MB\n}\n");
    let ids: Vec<String> = (1..=5)
        .map(|tag| {
            let id = format!("{:016x}", 0xabc0 + tag);
            let fields = format!("i={id},o=00000000000000aa,lot=1,m=10.5,d=4000");
            client.send(&[
                b"REQ",
                tag.to_string().as_bytes(),
                b"page",
                fields.as_bytes(),
                b"",
            ]);
            id
        })
        .collect();
    let mut server = world.server("c1").accept();
    let asked = server.asked();
    assert_eq!(asked.id, ids[0]);
    server.answer(&asked, "OK", &made(0), b"one for all");
    for _ in 1..=5 {
        let (_, word, _, body) = client.answer();
        assert_eq!((word.as_str(), &body[..]), ("ACK", &b"one for all"[..]));
    }
}

#[test]
fn own_copies_give_way_before_an_request_is_rejected() {
    let mut world = World::new();
    // Bodies in hand may take 5 MB, together with own copies 1.5 MB past what the router takes itself.
    world.file["limits"]["memory_mb"] = json!(10);
    world.directives = "store {\n memory 100%\n}\n".into();
    let program = world.start();
    let mut client = program.client();
    let body = vec![7; 200_000];
    let mut server = None;
    for tag in [7, 7, 1, 1, 2, 2, 3, 3] {
        client.ask(tag, "page", "", b"");
        let server = server.get_or_insert_with(|| world.server("c1").accept());
        let asked = server.asked();
        server.answer(&asked, "OK", &made(0), &body);
        assert_eq!(client.word(), "ACK");
    }
    let mut server = server.unwrap();
    // Four answers to come at up to 240 KB each: too much beside own copies, not for the router.
    for tag in 1000..1003 {
        client.ask(tag, "page", "", b"");
        server.asked();
    }
    ask_first(&mut client);
    assert_eq!(
        server.asked().get("item"),
        "0000000000000007",
        "its copy has left, and nothing is rejected"
    );
}

#[test]
fn faults_of_the_operators_file_are_told_at_once() {
    let mut world = World::new();
    world.directives = "store {\n memry 5MB\n disk /x\n}\nlog-format yaml\n".into();
    let (status, text) = world.spawn("").ended();
    assert_eq!(status.code(), Some(1));
    for part in [
        ":2:2: memry is not a directive of store; memory is",
        ":3:2: disk is written",
        ":5:12: \"yaml\"",
    ] {
        assert!(text.contains(part), "{part} in {text}");
    }
}

fn on_disk(world: &mut World, more: &str) -> std::path::PathBuf {
    let path = world.path().with_file_name("copies");
    let disk = path.display();
    world.directives = format!(
        "store {{\n disk {disk} 64MB\n segment 1MB\n sync-after 20ms\n least-fresh 0\n{more}\n}}\n"
    );
    path
}

/// Asks until the router answers by itself. Whatever comes to the server meanwhile is answered like this.
fn until_own(client: &mut Client, server: &mut Line, body: &[u8]) {
    let mut own = false;
    until("an own copy", || {
        ask_first(client);
        let came = loop {
            if client.ready() {
                break false;
            }
            if server.ready() {
                break true;
            }
        };
        if came {
            let asked = server.asked();
            server.answer(&asked, "OK", &made(0), body);
        }
        assert_eq!(client.answer().3, body);
        own = !came;
        own
    });
}

#[test]
fn copies_on_disk_outlive_a_kill_and_an_orderly_end() {
    let mut world = World::new();
    on_disk(&mut world, " known-purges 1h");
    let body = vec![9; 30_000];
    let mut program = world.start();
    let mut client = program.client();
    ask_first(&mut client);
    let mut server = world.server("c1").accept();
    server.serve(&body);
    client.answer();
    until_own(&mut client, &mut server, &body);
    for end in ["KILL", "TERM"] {
        program.signal(end);
        program.ended();
        program = world.start();
        client = program.client();
        let mut first = None;
        // What it wrote is there, once its index is: until then the server is asked.
        until("an own copy", || {
            ask_first(&mut client);
            until("an answer", || {
                if let Some(mut line) = world.server("c1").try_accept() {
                    line.serve(&body);
                    first = Some(line);
                }
                client.ready()
                    || first.as_mut().is_some_and(|line| {
                        if line.ready() {
                            line.serve(&body);
                        }
                        client.ready()
                    })
            });
            let (_, word, fields, found) = client.answer();
            assert_eq!((word.as_str(), &found), ("ACK", &body));
            fields == format!("ver={}", &TAG[5..])
                && !first.as_mut().is_some_and(|line| line.ready())
        });
    }
}

#[test]
fn a_copy_from_before_the_start_is_asked_about_and_then_served() {
    let mut world = World::new();
    on_disk(&mut world, " revalidate 100");
    let body = vec![9; 30_000];
    let mut program = world.start();
    let mut client = program.client();
    ask_first(&mut client);
    let mut server = world.server("c1").accept();
    server.serve(&body);
    client.answer();
    until_own(&mut client, &mut server, &body);
    program.terminate();
    program.ended();
    let program = world.start();
    // Before any client asks: nothing says that no purge was told meanwhile.
    let mut server = world.server("c1").accept();
    let asked = server.asked();
    assert_eq!(
        (asked.get("item"), asked.get("have")),
        ("0000000000000007", &TAG[5..])
    );
    server.answer(&asked, "SAME", &made(0), b"");
    let mut client = program.client();
    until_own(&mut client, &mut server, &body);
}

#[test]
fn a_directory_that_another_holds_is_not_used_and_the_router_serves() {
    let mut world = World::new();
    on_disk(&mut world, "");
    let first = world.start();
    let mut other = World::new();
    other.directives = world.directives.clone();
    let mut second = other.start();
    let mut client = second.client();
    ask_first(&mut client);
    other.server("c1").accept().serve(b"x");
    assert_eq!(client.word(), "ACK");
    second.terminate();
    let (_, text) = second.ended();
    let holder = format!("is held by process {}", first.child.id());
    assert!(
        text.contains("store: the disk is not used") && text.contains(&holder),
        "{text}"
    );
}

#[test]
fn a_live_router_tells_what_it_holds_to_its_owner_alone() {
    use std::io::{Read, Write};
    use std::os::unix::fs::PermissionsExt;
    use std::os::unix::net::UnixStream;
    let mut world = World::new();
    let socket = world.path().with_file_name("control");
    world.directives = format!(
        "control {}\nlog-format json\nstore {{\n memory 10MB\n}}\n",
        socket.display()
    );
    let mut program = world.start();
    assert_eq!(
        std::fs::metadata(&socket).unwrap().permissions().mode() & 0o777,
        0o600
    );
    let ask = |words: &str| {
        let mut stream = UnixStream::connect(&socket).unwrap();
        stream.write_all(words.as_bytes()).unwrap();
        let mut said = String::new();
        stream.read_to_string(&mut said).unwrap();
        serde_json::from_str::<serde_json::Value>(&said).unwrap()
    };
    let mut client = program.client();
    let _server = keep_after(&world, &mut client);
    let told = ask("store stat\n");
    assert_eq!(
        (
            told["memory"]["parts"].as_u64(),
            told["memory"]["most"].as_u64()
        ),
        (Some(1), Some(10_000_000))
    );
    assert!(
        ask("make tea\n")["error"]
            .as_str()
            .is_some_and(|e| e.contains("make tea"))
    );
    program.terminate();
    let (status, log) = program.ended();
    assert!(status.success() && !socket.exists());
    let lines: Vec<serde_json::Value> = log
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    assert!(
        lines
            .iter()
            .any(|line| line["memory_bytes"].as_u64() == Some(10_000_000)),
        "{log}"
    );
}
