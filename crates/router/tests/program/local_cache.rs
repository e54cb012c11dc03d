//! The local cache in memory and on disk, and the control socket that reports it.

use crate::support::*;
use std::time::{Duration, Instant};

const TAG: &str = "etag=4be0c1927d55a6f3";

fn filled_fields(age_ms: u64) -> String {
    filled_fields_at(unix_ms() - age_ms)
}

fn filled_fields_at(made_ms: u64) -> String {
    format!("tell=filled,{TAG},made={made_ms}")
}

fn request_object(client: &mut TestClient) {
    client.send_request(7, "page", "", b"");
}

/// What discovery could not deliver counts as received this long after its connection broke.
const OUTAGE_LIMIT: Duration = Duration::from_secs(2);
/// The grace of a purge, `ObeyAfter` in the default settings of the tests.
const PURGE_GRACE: Duration = Duration::from_millis(500);

#[test]
fn a_repeated_request_is_answered_from_the_local_cache() {
    let (environment, _router, mut client) = start_router_with("store {\n memory 25%\n}\n");
    let _discovery = RunningDiscovery::start(&environment.discovery);
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
    // Another part is another copy. It is the first request to reach the server since.
    client.send_request(7, "page", "piece=1", b"");
    assert_eq!(server.read_request().field("chunk"), "1");
}

/// Requests object 7 until it is in the local cache: it is admitted at its second request, not at
/// its first.
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
fn copies_made_before_a_purge_are_not_cached() {
    let (environment, _router, mut client) = start_router_with("store {\n memory 10MB\n}\n");
    let discovery = RunningDiscovery::start(&environment.discovery);
    let mut server = fill_cache(&environment, &mut client);
    let purged = unix_ms();
    discovery.publish(2, purge_event(2, purged));
    // The purge is known to be applied once a request for another object carries a lower `maxage`.
    let mut tag = 100;
    wait_until("the purge to be applied", || {
        tag += 1;
        client.send_request(tag, "page", "", b"");
        let request = server.read_request();
        let max_age: u64 = request.field("maxage").parse().unwrap();
        server.respond(&request, "OK", &filled_fields(0), b"x");
        client.read_answer();
        max_age < 12_000
    });
    request_object(&mut client);
    let request = server.read_request();
    assert_eq!(request.field("item"), "0000000000000007");
    // A copy made before the purge, or in the same millisecond, is forwarded, as the server vouches
    // for it, but not cached.
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
    // All of the above may have taken less than a millisecond.
    wait_until("the next millisecond", || unix_ms() > purged);
    server.respond(&request, "OK", &filled_fields_at(purged + 1), b"new");
    assert_eq!(client.read_answer().body, b"new");
    request_object(&mut client);
    assert_eq!(client.read_answer().body, b"new", "made after the purge");
}

/// Guards against purged copies in answers while discovery is down: the purge cannot be received,
/// so copies from before the outage must not be used once it counts as received.
#[test]
fn no_copy_from_before_an_outage_of_discovery_is_served_after_the_purge_grace() {
    let mut environment = TestEnvironment::new().with_directives("store {\n memory 10MB\n}\n");
    let discovery = RunningDiscovery::start(&environment.discovery);
    let router = environment.start();
    let mut client = router.connect();
    let mut server = fill_cache(&environment, &mut client);
    wait_until_served_from_cache(&mut client, &mut server, b"two");
    let address = environment.discovery.stop_listening();
    drop(discovery);
    let broken_at = Instant::now();
    let purged_ms = unix_ms();
    wait_until("the purge to count as received", || {
        // Until then the purged copy may be served. No server has it any more.
        request_and_respond(&mut client, &mut server, b"new");
        broken_at.elapsed() > OUTAGE_LIMIT + PURGE_GRACE + SLACK
    });
    let body = request_and_respond(&mut client, &mut server, b"new");
    assert_eq!(body, b"new", "served from before the outage");

    environment.discovery.listen_again(address);
    let discovery = RunningDiscovery::start(&environment.discovery);
    discovery.publish(2, purge_event(2, purged_ms));
    wait_until_served_from_cache(&mut client, &mut server, b"new");
}

/// Requests object 7, and answers with this body if the request reaches the server. Returns the
/// body that the client receives.
fn request_and_respond(
    client: &mut TestClient,
    server: &mut LineConnection,
    body: &[u8],
) -> Vec<u8> {
    request_object(client);
    wait_until("an answer", || {
        if server.has_unread_data() {
            let request = server.read_request();
            server.respond(&request, "OK", &filled_fields(0), body);
        }
        client.has_unread_data()
    });
    client.read_answer().body
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
    let _discovery = RunningDiscovery::start(&environment.discovery);
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
    // Bodies in flight may take 5 MB; together with cached copies they may take 1.5 MB beyond the
    // router's own memory.
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
    // Four outstanding answers of up to 240 KB each: too much beside the cached copies, but within
    // the limit without them.
    for tag in 1000..1003 {
        client.send_request(tag, "page", "", b"");
        server.read_request();
    }
    request_object(&mut client);
    assert_eq!(
        server.read_request().field("item"),
        "0000000000000007",
        "the copy was not evicted, or the request was rejected"
    );
}

#[test]
fn every_fault_of_the_operators_file_is_reported_at_startup() {
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

fn configure_disk_cache(environment: &mut TestEnvironment, more_lines: &str) -> std::path::PathBuf {
    let path = environment.configuration_path().with_file_name("copies");
    let disk = path.display();
    environment.directives = format!(
        "store {{\n disk {disk} 64MB\n segment 1MB\n sync-after 20ms\n least-fresh 0\n{more_lines}\n}}\n"
    );
    path
}

/// Requests object 7 until the router answers it from its cache. Requests that reach the server
/// meanwhile are answered with this body.
fn wait_until_served_from_cache(client: &mut TestClient, server: &mut LineConnection, body: &[u8]) {
    let mut is_cached = false;
    wait_until("an answer from the local cache", || {
        request_object(client);
        let reached_server = loop {
            if client.has_unread_data() {
                break false;
            }
            if server.has_unread_data() {
                break true;
            }
        };
        if reached_server {
            let request = server.read_request();
            server.respond(&request, "OK", &filled_fields(0), body);
        }
        assert_eq!(client.read_answer().body, body);
        is_cached = !reached_server;
        is_cached
    });
}

#[test]
fn copies_on_disk_survive_a_kill_and_a_graceful_shutdown() {
    let mut environment = TestEnvironment::new();
    configure_disk_cache(&mut environment, " known-purges 1h");
    let body = vec![9; 30_000];
    let _discovery = RunningDiscovery::start(&environment.discovery);
    let mut router = environment.start();
    let mut client = router.connect();
    request_object(&mut client);
    let mut server = environment.server("c1").accept();
    server.respond_hit(&body);
    client.read_answer();
    wait_until_served_from_cache(&mut client, &mut server, &body);
    for signal in ["KILL", "TERM"] {
        router.signal(signal);
        router.wait_for_exit();
        router = environment.start();
        client = router.connect();
        let mut first = None;
        // The copies are available once the index has been recovered; until then requests go to the
        // server.
        wait_until("an answer from the local cache", || {
            request_object(&mut client);
            wait_until("an answer", || {
                if let Some(mut connection) = environment.server("c1").try_accept() {
                    connection.respond_hit(&body);
                    first = Some(connection);
                }
                client.has_unread_data()
                    || first.as_mut().is_some_and(|connection| {
                        if connection.has_unread_data() {
                            connection.respond_hit(&body);
                        }
                        client.has_unread_data()
                    })
            });
            let ClientAnswer {
                word,
                fields,
                body: received_body,
                ..
            } = client.read_answer();
            assert_eq!((word.as_str(), &received_body), ("ACK", &body));
            fields == format!("ver={}", &TAG[5..])
                && !first
                    .as_mut()
                    .is_some_and(|connection| connection.has_unread_data())
        });
    }
}

#[test]
fn a_copy_from_before_the_start_is_revalidated_and_then_served() {
    let mut environment = TestEnvironment::new();
    configure_disk_cache(&mut environment, " revalidate 100");
    let body = vec![9; 30_000];
    let _discovery = RunningDiscovery::start(&environment.discovery);
    let mut router = environment.start();
    let mut client = router.connect();
    request_object(&mut client);
    let mut server = environment.server("c1").accept();
    server.respond_hit(&body);
    client.read_answer();
    wait_until_served_from_cache(&mut client, &mut server, &body);
    router.terminate();
    router.wait_for_exit();
    let router = environment.start();
    // Revalidated before any client requests it: a purge may have been missed while the router was
    // down.
    let mut server = environment.server("c1").accept();
    let request = server.read_request();
    assert_eq!(
        (request.field("item"), request.field("have")),
        ("0000000000000007", &TAG[5..])
    );
    server.respond(&request, "SAME", &filled_fields(0), b"");
    let mut client = router.connect();
    wait_until_served_from_cache(&mut client, &mut server, &body);
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
    let control_command = |command: &str| {
        let mut stream = UnixStream::connect(&socket).unwrap();
        stream.write_all(command.as_bytes()).unwrap();
        let mut reply = String::new();
        stream.read_to_string(&mut reply).unwrap();
        serde_json::from_str::<serde_json::Value>(&reply).unwrap()
    };
    let mut client = router.connect();
    let _server = fill_cache(&environment, &mut client);
    let stat = control_command("store stat\n");
    assert_eq!(
        (
            stat["memory"]["parts"].as_u64(),
            stat["memory"]["most"].as_u64()
        ),
        (Some(1), Some(10_000_000))
    );
    assert!(
        control_command("make tea\n")["error"]
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
