//! Clients that write slowly, stop half way through a request or send many fields, in hundreds: the
//! router stays within its memory, and usual clients are answered.

use crate::support::*;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::thread::spawn;
use std::time::{Duration, Instant};

/// The least memory that a router is run with, in MB, and the most descriptors.
const MEMORY_MB: u64 = 32;
const SOCKETS: u64 = 1024;
/// Clients may hold a third of the descriptors.
const CLIENTS: usize = 330;
/// The length of the largest body that the router accepts, and what is sent of it at first.
const ANNOUNCED_BYTES: usize = 64_000;
const SENT_BYTES: usize = 63_900;
/// The body of a usual write.
const WRITE_BYTES: usize = 48_000;
/// How long memory is observed.
const OBSERVED_FOR: Duration = Duration::from_millis(1500);
/// The number of requests that a connection may carry.
const OPEN_REQUESTS: u64 = 32;

/// Usual clients request objects below this number, which servers answer. They leave other requests
/// unanswered.
const USUAL_OBJECTS: u64 = 100_000;
/// The number of usual objects that are requested before, twice each, so that copies of them are
/// kept: a quarter of the memory is for copies.
const WARM_UP_REQUESTS: u64 = 1000;
const USUAL_BYTES: usize = 8000;

fn answer_usual_objects(listener: TcpListener) {
    listener.set_nonblocking(false).unwrap();
    spawn(move || {
        for stream in listener.incoming().flatten() {
            stream.set_nodelay(true).unwrap();
            spawn(move || {
                let mut connection = LineConnection::new(stream);
                while let Some(request) = connection.next_request() {
                    let object = u64::from_str_radix(request.field("item"), 16).unwrap();
                    if object < USUAL_OBJECTS {
                        let fields =
                            format!("tell=filled,etag=4be0c1927d55a6f3,made={}", unix_ms());
                        let body = body_of_length(USUAL_BYTES);
                        connection.respond(&request, "OK", &fields, &body);
                    }
                }
            });
        }
    });
}

/// Requests an object as a usual client does.
fn request_object(client: &mut TestClient, number: u64) -> String {
    let fields = format!("i={},o={number:016x},lot=1,m=8,d=4000", new_id());
    client.send_raw_request(number, "page", fields, b"");
    client.read_answer_word()
}

/// A router with little memory and many descriptors, and a local cache, that has had some traffic.
fn small_router() -> (TestEnvironment, RouterProcess, TestClient) {
    let environment = TestEnvironment::new()
        .with_directives("store {\n    memory 25%\n}\n")
        .with_machine_limit("memory_mb", MEMORY_MB)
        .with_machine_limit("sockets", SOCKETS);
    let (environment, router, mut client) = start_router_in(environment);
    for server in &environment.servers {
        answer_usual_objects(server.listener.try_clone().unwrap());
    }
    for _ in 0..2 {
        for number in 1..WARM_UP_REQUESTS {
            assert_eq!(request_object(&mut client, number), "ACK");
        }
    }
    (environment, router, client)
}

/// Bytes of a request up to its body, whose length is announced.
fn head_of_write(tag: u64) -> String {
    let fields = format!("i={},o={tag:016x},lot=1,m=1,d=4000", new_id());
    format!(
        "*5\r\n$3\r\nREQ\r\n${}\r\n{tag}\r\n$7\r\nconfirm\r\n${}\r\n{fields}\r\n${ANNOUNCED_BYTES}\r\n",
        tag.to_string().len(),
        fields.len()
    )
}

/// Clients that have sent a write up to so many bytes of its body.
fn clients_inside_a_write(router: &RouterProcess, sent_bytes: usize) -> Vec<TcpStream> {
    let body = vec![b'x'; sent_bytes];
    let connect = |number: usize| {
        let mut stream = TcpStream::connect(router.address()).unwrap();
        let head = head_of_write(number as u64 + 1);
        stream.write_all(head.as_bytes()).unwrap();
        // The router may refuse the rest.
        let _ = stream.write_all(&body);
        stream
    };
    (0..CLIENTS).map(connect).collect()
}

/// Checks that memory stays within the limit while this is done again and again.
fn check_memory(router: &RouterProcess, mut work: impl FnMut()) {
    let since = Instant::now();
    let mut peak_kb = 0;
    while since.elapsed() < OBSERVED_FOR {
        peak_kb = peak_kb.max(router.anonymous_kb());
        work();
    }
    eprintln!("peak {peak_kb} KB");
    assert!(peak_kb < MEMORY_MB * 1024, "{peak_kb} KB of {MEMORY_MB} MB");
}

/// Checks that memory stays within the limit while usual requests are served.
fn check_memory_and_usual_client(router: &RouterProcess, usual: &mut TestClient) {
    let mut slowest = Duration::ZERO;
    let mut number = WARM_UP_REQUESTS;
    let mut words = std::collections::BTreeMap::<String, usize>::new();
    check_memory(router, || {
        let sent_at = Instant::now();
        *words.entry(request_object(usual, number)).or_default() += 1;
        slowest = slowest.max(sent_at.elapsed());
        number += 1;
    });
    eprintln!("slowest usual request {slowest:?}, {words:?}");
    assert!(words.keys().eq(["ACK"]), "{words:?}");
    // Bodies that stand still give way to this one.
    usual.send_request(
        USUAL_OBJECTS - 1,
        "confirm",
        "",
        &body_of_length(WRITE_BYTES),
    );
    assert_eq!(usual.read_answer_word(), "ACK");
}

/// Guards against a router that is killed for its memory: each connection kept up to twice the
/// bytes of an incomplete request, and nothing bounded them all together.
#[test]
fn hundreds_of_clients_that_stop_in_a_large_request_leave_memory_for_others() {
    let (_environment, router, mut usual) = small_router();
    let stopped = clients_inside_a_write(&router, SENT_BYTES);
    check_memory_and_usual_client(&router, &mut usual);
    drop(stopped);
}

/// The same while the rest comes a few bytes at a time.
#[test]
fn hundreds_of_clients_that_write_slowly_leave_memory_for_others() {
    let (_environment, router, mut usual) = small_router();
    let mut slow = clients_inside_a_write(&router, SENT_BYTES / 2);
    let writer = std::thread::spawn(move || {
        for _ in 0..20 {
            for stream in &mut slow {
                let _ = stream.write_all(&[b'x'; 500]);
            }
        }
        std::thread::sleep(OBSERVED_FOR);
        drop(slow);
    });
    check_memory_and_usual_client(&router, &mut usual);
    writer.join().unwrap();
}

/// The same with other requests open on each connection, each received alone. An open request kept
/// the whole buffer in which it was received.
#[test]
fn clients_with_open_requests_that_stop_in_a_large_one_leave_memory_for_others() {
    let (_environment, router, mut usual) = small_router();
    let mut clients: Vec<TestClient> = (0..CLIENTS).map(|_| router.connect()).collect();
    let mut tag = USUAL_OBJECTS;
    for _ in 1..OPEN_REQUESTS {
        for client in &mut clients {
            let fields = format!("i={},o={tag:016x},lot=1,m=0.01,d=60000", new_id());
            client.send_raw_request(tag, "page", fields, b"");
            tag += 1;
        }
        assert_eq!(usual.health(), "GREEN");
    }
    let before_kb = router.anonymous_kb();
    let body = vec![b'x'; SENT_BYTES];
    for client in &mut clients {
        client.write(head_of_write(tag).as_bytes());
        client.write(&body);
        tag += 1;
    }
    eprintln!("{before_kb} KB with {} open requests", tag - USUAL_OBJECTS);
    check_memory(&router, || drop(usual.health()));
}
