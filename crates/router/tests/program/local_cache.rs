//! Own copies in memory, through the program on loopback.

use crate::support::*;

const TAG: &str = "etag=4be0c1927d55a6f3";

fn filled_fields(ago: u64) -> String {
    filled_fields_at(unix_ms() - ago)
}

fn filled_fields_at(ms: u64) -> String {
    format!("tell=filled,{TAG},made={ms}")
}

fn request_object(client: &mut TestClient) {
    client.send_request(7, "page", "", b"");
}

#[test]
fn a_repeated_request_is_answered_from_the_local_cache() {
    let (environment, _router, mut client) = start_router_with("store {\n memory 25%\n}\n");
    let mut server = fill_cache(&environment, &mut client);
    client.send_request(7, "page", "", b"");
    assert_eq!(
        client.read_answer(),
        ClientAnswer::new(7, "ACK", &format!("ver={}", &TAG[5..]), b"two")
    );
    client.send_request(7, "page", &format!("ver={}", &TAG[5..]), b"");
    let ClientAnswer {
        word, fields, body, ..
    } = client.read_answer();
    assert!(
        word == "ACK" && fields.contains("unchanged=1") && body.is_empty(),
        "{word} {fields}"
    );
    // Another part is another copy; nothing of all this came to the server.
    client.send_request(7, "page", "piece=1", b"");
    assert_eq!(server.read_request().field("chunk"), "1");
}

/// Asks for object 7 until its copy is one of the router's own: a first sighting is not kept, the
/// second is.
fn fill_cache(environment: &TestEnvironment, client: &mut TestClient) -> LineConnection {
    request_object(client);
    let mut server = environment.server("c1").accept();
    let request = server.read_request();
    server.respond(&request, "OK", &filled_fields(0), b"one");
    client.read_answer();
    request_object(client);
    let request = server.read_request();
    server.respond(&request, "OK", &filled_fields(0), b"two");
    client.read_answer();
    server
}

#[test]
fn the_local_cache_keeps_a_purge() {
    let (environment, _router, mut client) = start_router_with("store {\n memory 10MB\n}\n");
    let mut discovery = environment.discovery.accept_watch();
    let mut server = fill_cache(&environment, &mut client);
    let purged = unix_ms();
    discovery.send(purge_event(2, purged));
    // Told when the next request of another object carries the bound.
    let mut tag = 100;
    wait_until("the purge", || {
        tag += 1;
        client.send_request(tag, "page", "", b"");
        let request = server.read_request();
        let bound: u64 = request.field("maxage").parse().unwrap();
        server.respond(&request, "OK", &filled_fields(0), b"x");
        client.read_answer();
        bound < 12_000
    });
    request_object(&mut client);
    let request = server.read_request();
    assert_eq!(request.field("item"), "0000000000000007");
    // Made before the purge, or in its very millisecond: passed on, for the server says so, but not
    // kept.
    server.respond(&request, "OK", &filled_fields_at(purged - 60_000), b"old");
    client.read_answer();
    request_object(&mut client);
    let request = server.read_request();
    server.respond(
        &request,
        "OK",
        &filled_fields_at(purged),
        b"in the same millisecond",
    );
    client.read_answer();
    request_object(&mut client);
    let request = server.read_request();
    // All this may have taken less than that millisecond.
    wait_until("the next millisecond", || unix_ms() > purged);
    server.respond(&request, "OK", &filled_fields_at(purged + 1), b"new");
    assert_eq!(client.read_answer().body, b"new");
    request_object(&mut client);
    assert_eq!(client.read_answer().body, b"new", "made since");
}

#[test]
fn an_expired_copy_is_requested_again() {
    let (environment, _router, mut client) = start_router_with("store {\n memory 10MB\n}\n");
    request_object(&mut client);
    let mut server = environment.server("c1").accept();
    for _ in 0..3 {
        let request = server.read_request();
        server.respond(&request, "OK", &filled_fields(12_001), b"old");
        client.read_answer();
        request_object(&mut client);
    }
    server.read_request();
}

#[test]
fn concurrent_requests_for_one_part_are_coalesced() {
    let (environment, _router, mut client) = start_router_with("store {\n memory 10MB\n}\n");
    let ids: Vec<String> = (1..=5)
        .map(|tag| {
            let id = format!("{:016x}", 0xabc0 + tag);
            let fields = format!("i={id},o=00000000000000aa,lot=1,m=10.5,d=4000");
            client.send_raw_request(tag, "page", &fields, b"");
            id
        })
        .collect();
    let mut server = environment.server("c1").accept();
    let request = server.read_request();
    assert_eq!(request.id, ids[0]);
    server.respond(&request, "OK", &filled_fields(0), b"one for all");
    for _ in 1..=5 {
        let ClientAnswer { word, body, .. } = client.read_answer();
        assert_eq!((word.as_str(), &body[..]), ("ACK", &b"one for all"[..]));
    }
}

#[test]
fn cached_copies_are_evicted_before_a_request_is_rejected() {
    // Bodies in hand may take 5 MB, together with own copies 1.5 MB past what the router takes
    // itself.
    let (environment, _router, mut client) = start_router_in(
        TestEnvironment::new()
            .with_machine_limit("memory_mb", 10)
            .with_directives("store {\n memory 100%\n}\n"),
    );
    let body = vec![7; 200_000];
    let mut server = None;
    for tag in [7, 7, 1, 1, 2, 2, 3, 3] {
        client.send_request(tag, "page", "", b"");
        let server = server.get_or_insert_with(|| environment.server("c1").accept());
        let request = server.read_request();
        server.respond(&request, "OK", &filled_fields(0), &body);
        assert_eq!(client.read_answer_word(), "ACK");
    }
    let mut server = server.unwrap();
    // Four answers to come at up to 240 KB each: too much beside own copies, not for the router.
    for tag in 1000..1003 {
        client.send_request(tag, "page", "", b"");
        server.read_request();
    }
    request_object(&mut client);
    assert_eq!(
        server.read_request().field("item"),
        "0000000000000007",
        "its copy has left, and nothing is rejected"
    );
}

#[test]
fn every_fault_of_the_operators_file_is_reported_at_the_start() {
    let mut environment = TestEnvironment::new()
        .with_directives("store {\n memry 5MB\n disk /x\n}\nlog-format yaml\n");
    let RouterExit { status, log: text } = environment.spawn("").wait_for_exit();
    assert_eq!(status.code(), Some(1));
    for part in [
        ":2:2: memry is not a directive of store; memory is",
        ":3:2: disk is written",
        ":5:12: \"yaml\"",
    ] {
        assert!(text.contains(part), "{part} in {text}");
    }
}

fn configure_disk_cache(environment: &mut TestEnvironment, more: &str) -> std::path::PathBuf {
    let path = environment.configuration_path().with_file_name("copies");
    let disk = path.display();
    environment.directives = format!(
        "store {{\n disk {disk} 64MB\n segment 1MB\n sync-after 20ms\n least-fresh 0\n{more}\n}}\n"
    );
    path
}

/// Asks until the router answers by itself. Whatever comes to the server meanwhile is answered like
/// this.
fn until_served_from_cache(client: &mut TestClient, server: &mut LineConnection, body: &[u8]) {
    let mut own = false;
    wait_until("an own copy", || {
        request_object(client);
        let came = loop {
            if client.has_unread_data() {
                break false;
            }
            if server.has_unread_data() {
                break true;
            }
        };
        if came {
            let request = server.read_request();
            server.respond(&request, "OK", &filled_fields(0), body);
        }
        assert_eq!(client.read_answer().body, body);
        own = !came;
        own
    });
}

#[test]
fn copies_on_disk_survive_a_kill_and_a_graceful_shutdown() {
    let mut environment = TestEnvironment::new();
    configure_disk_cache(&mut environment, " known-purges 1h");
    let body = vec![9; 30_000];
    let mut router = environment.start();
    let mut client = router.connect();
    request_object(&mut client);
    let mut server = environment.server("c1").accept();
    server.respond_hit(&body);
    client.read_answer();
    until_served_from_cache(&mut client, &mut server, &body);
    for end in ["KILL", "TERM"] {
        router.signal(end);
        router.wait_for_exit();
        router = environment.start();
        client = router.connect();
        let mut first = None;
        // What it wrote is there, once its index is: until then the server is asked.
        wait_until("an own copy", || {
            request_object(&mut client);
            wait_until("an answer", || {
                if let Some(mut line) = environment.server("c1").try_accept() {
                    line.respond_hit(&body);
                    first = Some(line);
                }
                client.has_unread_data()
                    || first.as_mut().is_some_and(|line| {
                        if line.has_unread_data() {
                            line.respond_hit(&body);
                        }
                        client.has_unread_data()
                    })
            });
            let ClientAnswer {
                word,
                fields,
                body: found,
                ..
            } = client.read_answer();
            assert_eq!((word.as_str(), &found), ("ACK", &body));
            fields == format!("ver={}", &TAG[5..])
                && !first.as_mut().is_some_and(|line| line.has_unread_data())
        });
    }
}

#[test]
fn a_copy_from_before_the_start_is_revalidated_and_then_served() {
    let mut environment = TestEnvironment::new();
    configure_disk_cache(&mut environment, " revalidate 100");
    let body = vec![9; 30_000];
    let mut router = environment.start();
    let mut client = router.connect();
    request_object(&mut client);
    let mut server = environment.server("c1").accept();
    server.respond_hit(&body);
    client.read_answer();
    until_served_from_cache(&mut client, &mut server, &body);
    router.terminate();
    router.wait_for_exit();
    let router = environment.start();
    // Before any client asks: nothing says that no purge was told meanwhile.
    let mut server = environment.server("c1").accept();
    let request = server.read_request();
    assert_eq!(
        (request.field("item"), request.field("have")),
        ("0000000000000007", &TAG[5..])
    );
    server.respond(&request, "SAME", &filled_fields(0), b"");
    let mut client = router.connect();
    until_served_from_cache(&mut client, &mut server, &body);
}

#[test]
fn a_cache_directory_locked_by_another_router_is_not_used() {
    let mut environment = TestEnvironment::new();
    configure_disk_cache(&mut environment, "");
    let first = environment.start();
    let mut other = TestEnvironment::new();
    other.directives = environment.directives.clone();
    let mut second = other.start();
    let mut client = second.connect();
    request_object(&mut client);
    other.server("c1").accept().respond_hit(b"x");
    assert_eq!(client.read_answer_word(), "ACK");
    second.terminate();
    let text = second.wait_for_exit().log;
    let holder = format!("is held by process {}", first.child.id());
    assert!(
        text.contains("store: the disk is not used") && text.contains(&holder),
        "{text}"
    );
}

#[test]
fn the_control_socket_reports_the_cache_to_its_owner_only() {
    use std::io::{Read, Write};
    use std::os::unix::fs::PermissionsExt;
    use std::os::unix::net::UnixStream;
    let mut environment = TestEnvironment::new();
    let socket = environment.configuration_path().with_file_name("control");
    environment.directives = format!(
        "control {}\nlog-format json\nstore {{\n memory 10MB\n}}\n",
        socket.display()
    );
    let mut router = environment.start();
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
    let mut client = router.connect();
    let _server = fill_cache(&environment, &mut client);
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
    router.terminate();
    let RouterExit { status, log } = router.wait_for_exit();
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
