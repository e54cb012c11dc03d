//! Memory that must not grow with what clients do, nor pass the limit of the configuration.

use crate::support::*;
use serde_json::Value;
use std::io::{BufRead, BufReader, Write, sink};
use std::net::TcpListener;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::thread::spawn;
use std::time::Instant;

/// The number of open requests that a connection may carry.
const OPEN_REQUESTS: u64 = 32;
/// Requests withdrawn before the first measurement, by which every page of the buffers and tables
/// whose sizes are bounded has been used once.
const WARM_UP_ROUNDS: u64 = 2400;
const ROUNDS: u64 = 1600;
/// The limit for the growth of memory per withdrawn request. A timer alone takes more.
const MAX_BYTES_PER_REQUEST: u64 = 16;

/// Accepts connections and reads from them without an answer.
fn discard_requests(listener: TcpListener) {
    spawn(move || {
        listener.set_nonblocking(false).unwrap();
        for mut stream in listener.incoming().flatten() {
            spawn(move || drop(std::io::copy(&mut stream, &mut sink())));
        }
    });
}

/// Sends as many requests as the connection may carry and withdraws them all, again and again.
/// After each round the router has read them.
fn withdraw_requests(client: &mut TestClient, rounds: u64, next_tag: &mut u64) {
    for _ in 0..rounds {
        let tags = *next_tag..*next_tag + OPEN_REQUESTS;
        for tag in tags.clone() {
            // All for one object: the access history has a bound of its own.
            let fields = format!("i={tag:016x},d=60000,o=00000000000000b1,lot=7,m=9");
            client.send_raw_request(tag, "page", fields, b"");
        }
        tags.clone().for_each(|tag| client.abort(tag));
        assert_eq!(client.health(), "GREEN");
        *next_tag = tags.end;
    }
}

/// Guards against a router that is killed for its memory: one client withdrew requests with long
/// deadlines, and something of each was kept until its deadline.
#[test]
fn memory_does_not_grow_with_the_requests_that_a_client_withdraws() {
    let (environment, router, mut client) = start_router();
    for server in &environment.servers {
        discard_requests(server.listener.try_clone().unwrap());
    }
    let mut next_tag = 10_000;
    withdraw_requests(&mut client, WARM_UP_ROUNDS, &mut next_tag);
    let before_kb = router.anonymous_kb();
    withdraw_requests(&mut client, ROUNDS, &mut next_tag);
    let growth_kb = router.anonymous_kb().saturating_sub(before_kb);
    let limit_kb = ROUNDS * OPEN_REQUESTS * MAX_BYTES_PER_REQUEST / 1024;
    assert!(
        growth_kb < limit_kb,
        "memory grew by {growth_kb} KB, over {limit_kb} KB, from {before_kb} KB"
    );
}

/// The least memory that a router is run with, in MB.
const LEAST_MEMORY_MB: u64 = 32;
/// The part of the memory that the access history may take.
const HISTORY_DIVISOR: u64 = 8;
/// Rounds of requests for ever new objects: more objects than fit in the history's share.
const FIRST_OBJECTS_ROUNDS: u64 = 100;
const NEW_OBJECTS_ROUNDS: u64 = 1400;

/// Requests ever new objects, as many at a time as a connection may carry.
fn request_new_objects(client: &mut TestClient, rounds: u64, next_tag: &mut u64) {
    for _ in 0..rounds {
        let tags = *next_tag..*next_tag + OPEN_REQUESTS;
        for tag in tags.clone() {
            let fields = format!("i={tag:016x},d=60000,o={tag:016x},lot=7,m=0.01");
            client.send_raw_request(tag, "page", fields, b"");
        }
        for _ in tags.clone() {
            assert_eq!(client.read_answer_word(), "ACK");
        }
        *next_tag = tags.end;
    }
}

/// Guards against a router that is killed for its memory: the access history took 10 MB at any
/// limit of memory, and was not counted.
#[test]
fn the_access_history_takes_no_more_than_its_share_of_the_memory() {
    let environment = TestEnvironment::new().with_machine_limit("memory_mb", LEAST_MEMORY_MB);
    let (environment, router, mut client) = start_router_in(environment);
    for server in &environment.servers {
        answer_each_request(server.listener.try_clone().unwrap());
    }
    let mut next_tag = 10_000;
    warm_up(&mut client);
    request_new_objects(&mut client, FIRST_OBJECTS_ROUNDS, &mut next_tag);
    let before_kb = router.anonymous_kb();
    request_new_objects(&mut client, NEW_OBJECTS_ROUNDS, &mut next_tag);
    let growth_kb = router.anonymous_kb().saturating_sub(before_kb);
    let share_kb = LEAST_MEMORY_MB * 1024 / HISTORY_DIVISOR;
    assert!(growth_kb <= share_kb, "{growth_kb} KB of {share_kb} KB");
}

/// Limits of memory under which a burst is handled, in MB.
const MEMORY_LIMITS_MB: [u64; 2] = [64, 48];
/// The body of a write, and the number of writes: more than either limit together.
const WRITE_BYTES: usize = 48_000;
const WRITES: u64 = 1600;
/// The body of the largest object, and the number of requests for such objects.
const LARGE_BODY_BYTES: usize = 240_000;
const LARGE_REQUESTS: u64 = 400;
/// Answers of small objects before the burst, by which small answers are expected.
const SMALL_REQUESTS: u64 = 400;

/// Answers each request for an object at a server, with a large body from [`SMALL_REQUESTS`] on.
/// Writes, which have a body, are not answered.
fn answer_reads(listener: TcpListener) {
    listener.set_nonblocking(false).unwrap();
    spawn(move || {
        for stream in listener.incoming().flatten() {
            spawn(move || {
                let mut connection = LineConnection::new(stream);
                while let Some(request) = connection.next_request() {
                    if !request.body.is_empty() {
                        continue;
                    }
                    let number = u64::from_str_radix(request.field("item"), 16).unwrap();
                    let is_large = number >= SMALL_REQUESTS;
                    let bytes = if is_large { LARGE_BODY_BYTES } else { 10 };
                    connection.respond(&request, "OK", HIT_FIELDS, &body_of_length(bytes));
                }
            });
        }
    });
}

/// Requests small objects, so that further answers are expected to be small.
fn warm_up(client: &mut TestClient) {
    for number in 1..SMALL_REQUESTS {
        let fields = format!("i={},o={number:016x},lot=1,m=0.01,d=4000", new_id());
        client.send_raw_request(number, "page", fields, b"");
        assert_eq!(client.read_answer_word(), "ACK");
    }
}

/// The maximum of the router's own memory for this time, in KB.
fn peak_memory_kb(router: &RouterProcess, duration: std::time::Duration) -> u64 {
    let since = Instant::now();
    let mut peak = 0;
    wait_until("the end of the measurement", || {
        peak = peak.max(router.anonymous_kb());
        since.elapsed() > duration
    });
    peak
}

/// Sends requests on connections of their own, as many as each may carry.
fn send_burst(
    router: &RouterProcess,
    requests: std::ops::Range<u64>,
    mut send: impl FnMut(&mut TestClient, u64),
) -> Vec<TestClient> {
    let mut clients = Vec::new();
    for (index, number) in requests.enumerate() {
        if (index as u64).is_multiple_of(OPEN_REQUESTS) {
            clients.push(router.connect());
        }
        send(clients.last_mut().unwrap(), number);
    }
    clients
}

/// The router's account of memory, as an operator asks for it.
fn memory_account(control: &Path) -> Value {
    let mut stream = UnixStream::connect(control).unwrap();
    stream.write_all(b"memory stat\n").unwrap();
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).unwrap();
    serde_json::from_str(&line).unwrap()
}

/// A write counts with its body while it is open, and not after its answer.
#[test]
fn an_operator_sees_the_bytes_that_open_requests_hold() {
    let mut environment = TestEnvironment::new();
    let control = environment.configuration_path().with_file_name("control");
    environment.directives = format!("control {}\n", control.display());
    let (environment, _router, mut client) = start_router_in(environment);
    client.send_request(1, "confirm", "", &body_of_length(WRITE_BYTES));
    let mut server = environment.server("o1").accept();
    let request = server.read_request();
    let account = memory_account(&control);
    assert_eq!(account["request_bodies"], WRITE_BYTES);
    assert!(account["expected_answers"].as_u64() > Some(0));
    server.respond(&request, "OK", "tell=via_origin", b"done");
    assert_eq!(client.read_answer_word(), "ACK");
    wait_until("an empty account", || memory_account(&control)["held"] == 0);
}

/// Guards against a router that is killed for its memory: the bodies of requests were not counted.
#[test]
fn writes_that_no_server_answers_stay_within_the_memory_limit() {
    for limit_mb in MEMORY_LIMITS_MB {
        let environment = TestEnvironment::new().with_machine_limit("memory_mb", limit_mb);
        let (environment, router, mut usual) = start_router_in(environment);
        discard_requests(environment.server("o1").listener.try_clone().unwrap());
        answer_reads(environment.server("c1").listener.try_clone().unwrap());
        warm_up(&mut usual);
        let body = body_of_length(WRITE_BYTES);
        let mut clients = send_burst(&router, 1..WRITES + 1, |client, number| {
            client.send_request(number, "confirm", "", &body);
        });
        let peak_kb = peak_memory_kb(&router, 500 * MS);
        eprintln!("{limit_mb} MB: {peak_kb} KB");
        assert!(peak_kb < limit_mb * 1024, "{peak_kb} KB of {limit_mb} MB");
        for client in &mut clients {
            for _ in 0..OPEN_REQUESTS {
                let word = client.read_answer_word();
                assert!(word == "NAK" || word == "FAIL", "{word}");
            }
        }
        usual.send_request(1, "page", "", b"");
        assert_eq!(usual.read_answer_word(), "ACK");
    }
}

/// Requests of unstated size, and how long a server takes to fill the first large object.
const UNSIZED_REQUESTS: u64 = 600;
const LARGE_FILL: std::time::Duration = std::time::Duration::from_millis(500);

/// Answers each request at a server. The first large object on a connection takes a while, so that
/// the answers of a burst come together.
fn answer_large_reads_late(listener: TcpListener) {
    listener.set_nonblocking(false).unwrap();
    spawn(move || {
        for stream in listener.incoming().flatten() {
            spawn(move || {
                let mut connection = LineConnection::new(stream);
                let mut has_waited = false;
                while let Some(request) = connection.next_request() {
                    let number = u64::from_str_radix(request.field("item"), 16).unwrap();
                    let is_large = number >= SMALL_REQUESTS;
                    if is_large && !std::mem::replace(&mut has_waited, true) {
                        std::thread::sleep(LARGE_FILL);
                    }
                    let bytes = if is_large { LARGE_BODY_BYTES } else { 10 };
                    connection.respond(&request, "OK", HIT_FIELDS, &body_of_length(bytes));
                }
            });
        }
    });
}

/// Sends a burst of requests for large objects to clients that do not read, and checks the peak of
/// memory; then all answers, each of which is one of `allowed`. Returns how many were served.
fn check_burst_of_large_answers(limit_mb: u64, stated_kb: f64, allowed: &[&str]) -> usize {
    let environment = TestEnvironment::new().with_machine_limit("memory_mb", limit_mb);
    let (environment, router, mut usual) = start_router_in(environment);
    for server in &environment.servers {
        answer_reads(server.listener.try_clone().unwrap());
    }
    warm_up(&mut usual);
    let large = SMALL_REQUESTS..SMALL_REQUESTS + LARGE_REQUESTS;
    let mut clients = send_burst(&router, large, |client, number| {
        let fields = format!("i={},o={number:016x},lot=1,m={stated_kb},d=60000", new_id());
        client.send_raw_request(number, "page", fields, b"");
    });
    let peak_kb = peak_memory_kb(&router, 1500 * MS);
    eprintln!("{limit_mb} MB, {stated_kb} KB stated: {peak_kb} KB");
    assert!(peak_kb < limit_mb * 1024, "{peak_kb} KB of {limit_mb} MB");
    let mut served = 0;
    for index in 0..LARGE_REQUESTS {
        let client = &mut clients[(index / OPEN_REQUESTS) as usize];
        let answer = client.read_answer();
        assert!(allowed.contains(&answer.word.as_str()), "{}", answer.word);
        served += usize::from(answer.word == "ACK");
    }
    usual.send_request(1, "page", "", b"");
    assert_eq!(usual.read_answer_word(), "ACK");
    served
}

/// Guards against a router that is killed for its memory: answers were expected to be as large as
/// the earlier ones. What is accepted is served, if its client states its size.
#[test]
fn large_answers_to_clients_that_do_not_read_stay_within_the_memory_limit() {
    for limit_mb in MEMORY_LIMITS_MB {
        let served = check_burst_of_large_answers(limit_mb, 240.0, &["ACK", "NAK"]);
        let fitting = (limit_mb << 20) as usize / 2 / (LARGE_BODY_BYTES + 10_000);
        assert!(served >= fitting, "{served} served, {fitting} fit in");
    }
}

/// The same with clients that state almost nothing: answers for which there is no memory are
/// dropped, and their requests fail.
#[test]
fn large_answers_of_understated_size_stay_within_the_memory_limit() {
    for limit_mb in MEMORY_LIMITS_MB {
        let served = check_burst_of_large_answers(limit_mb, 0.01, &["ACK", "NAK", "FAIL"]);
        assert!(served > 0, "nothing was served");
    }
}

/// Guards against a router that is killed for its memory: a burst of requests of unstated size was
/// admitted by the size of earlier answers, and their bodies were received before anyone asked
/// whether there was memory for them.
#[test]
fn a_burst_of_large_answers_of_unstated_size_stays_within_the_memory_limit() {
    for limit_mb in [48, LEAST_MEMORY_MB] {
        let environment = TestEnvironment::new()
            .with_server("c2", "cache")
            .with_server("c3", "cache")
            .with_server("c4", "cache")
            .with_directives("store {\n    memory 25%\n}\n")
            .with_machine_limit("memory_mb", limit_mb);
        let (environment, router, mut usual) = start_router_in(environment);
        for server in &environment.servers {
            answer_large_reads_late(server.listener.try_clone().unwrap());
        }
        warm_up(&mut usual);
        let large = SMALL_REQUESTS..SMALL_REQUESTS + UNSIZED_REQUESTS;
        let mut clients = send_burst(&router, large, |client, number| {
            let fields = format!("i={},o={number:016x},lot=1,d=60000", new_id());
            client.send_raw_request(number, "page", fields, b"");
        });
        let peak_kb = peak_memory_kb(&router, 3 * LARGE_FILL);
        eprintln!("{limit_mb} MB, no size stated: {peak_kb} KB");
        assert!(peak_kb < limit_mb * 1024, "{peak_kb} KB of {limit_mb} MB");
        for index in 0..UNSIZED_REQUESTS {
            let answer = clients[(index / OPEN_REQUESTS) as usize].read_answer();
            assert!(["ACK", "NAK", "FAIL"].contains(&answer.word.as_str()));
        }
        usual.send_request(1, "page", "", b"");
        assert_eq!(usual.read_answer_word(), "ACK");
    }
}
