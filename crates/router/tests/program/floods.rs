//! One client that sends small or invalid requests at full speed: usual clients are answered in
//! time, and memory stays within the limit.

use crate::support::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::spawn;
use std::time::{Duration, Instant};

/// The least memory that a router is run with, in MB.
const MEMORY_MB: u64 = 32;
/// How long a flood lasts.
const FLOOD: Duration = Duration::from_secs(2);
/// How long a usual client waits for an answer.
const DEADLINE: Duration = Duration::from_millis(1000);
/// Requests that are written at once.
const BATCH: u64 = 64;

/// Writes requests on one connection until it is told to stop. `fields` makes the fields of a
/// request from its tag. Answers are read only if `reads`.
fn flood(
    router: &RouterProcess,
    stop: &Arc<AtomicBool>,
    reads: bool,
    fields: impl Fn(u64) -> String + Send + 'static,
) {
    let (address, stop) = (router.address(), stop.clone());
    spawn(move || {
        let mut tag = 1;
        while !stop.load(Ordering::Relaxed) {
            let Ok(mut stream) = TcpStream::connect(address) else {
                continue;
            };
            stream
                .set_write_timeout(Some(Duration::from_millis(200)))
                .unwrap();
            if reads {
                let mut answers = stream.try_clone().unwrap();
                spawn(move || {
                    let mut buffer = vec![0; 64 * 1024];
                    while answers.read(&mut buffer).is_ok_and(|bytes| bytes > 0) {}
                });
            }
            let mut is_open = true;
            while is_open && !stop.load(Ordering::Relaxed) {
                let mut batch = Vec::new();
                for _ in 0..BATCH {
                    let (number, fields) = (tag.to_string(), fields(tag));
                    batch.extend(frame(&[
                        b"REQ",
                        number.as_bytes(),
                        b"page",
                        fields.as_bytes(),
                        b"",
                    ]));
                    tag += 1;
                }
                is_open = stream.write_all(&batch).is_ok();
            }
        }
    });
}

/// Checks the answers to a usual client, and memory, during a flood.
fn check_flood(reads: bool, fields: impl Fn(u64) -> String + Send + 'static) {
    let environment = TestEnvironment::new().with_machine_limit("memory_mb", MEMORY_MB);
    let (environment, router, mut usual) = start_router_in(environment);
    for server in &environment.servers {
        answer_each_request(server.listener.try_clone().unwrap());
    }
    let stop = Arc::new(AtomicBool::new(false));
    flood(&router, &stop, reads, fields);
    let (since, mut slowest, mut peak_kb, mut answered) = (Instant::now(), Duration::ZERO, 0, 0);
    while since.elapsed() < FLOOD {
        let sent_at = Instant::now();
        answered += 1;
        usual.send_request(answered, "page", "", b"");
        let word = usual.read_answer_word();
        assert!(word == "ACK" || word == "NAK", "{word}");
        slowest = slowest.max(sent_at.elapsed());
        peak_kb = peak_kb.max(router.anonymous_kb());
    }
    stop.store(true, Ordering::Relaxed);
    eprintln!("{answered} answers, the slowest after {slowest:?}; {peak_kb} KB");
    assert!(slowest < DEADLINE, "{slowest:?}");
    assert!(peak_kb < MEMORY_MB * 1024, "{peak_kb} KB of {MEMORY_MB} MB");
}

#[test]
fn a_flood_of_requests_for_ever_new_objects_leaves_others_their_answers() {
    let fields = |tag| format!("i={},o={tag:016x},lot=1,m=0.01,d=1000", new_id());
    check_flood(true, fields);
    check_flood(false, fields);
}

#[test]
fn a_flood_of_invalid_requests_leaves_others_their_answers() {
    let no_object = |tag| format!("i={tag:016x},d=1000,x{tag}=1");
    check_flood(true, no_object);
    check_flood(false, no_object);
}

/// Clients may hold a third of the descriptors.
const SOCKETS: u64 = 1024;
const CLIENTS: usize = 330;

/// Answers that nobody reads are bounded for each connection, and the sum of all is.
#[test]
fn hundreds_of_clients_that_read_no_answers_leave_memory_for_others() {
    let environment = TestEnvironment::new()
        .with_machine_limit("memory_mb", MEMORY_MB)
        .with_machine_limit("sockets", SOCKETS);
    let (environment, router, mut usual) = start_router_in(environment);
    for server in &environment.servers {
        answer_each_request(server.listener.try_clone().unwrap());
    }
    let mut clients: Vec<TcpStream> = Vec::new();
    for _ in 0..CLIENTS {
        let stream = TcpStream::connect(router.address()).unwrap();
        socket2::SockRef::from(&stream)
            .set_recv_buffer_size(4096)
            .unwrap();
        stream.set_nonblocking(true).unwrap();
        clients.push(stream);
    }
    let (since, mut peak_kb, mut tag) = (Instant::now(), 0, 1);
    while since.elapsed() < FLOOD {
        let mut batch = Vec::new();
        for number in tag..tag + BATCH {
            batch.extend(frame(&[b"HEALTH", number.to_string().as_bytes(), b""]));
        }
        tag += BATCH;
        for client in &mut clients {
            // A partial write leaves a message that the next one breaks: that client is closed.
            let _ = client.write(&batch);
        }
        peak_kb = peak_kb.max(router.anonymous_kb());
        usual.send_request(tag, "page", "", b"");
        let word = usual.read_answer_word();
        assert!(word == "ACK" || word == "NAK", "{word}");
    }
    eprintln!("{} health checks for each client; {peak_kb} KB", tag - 1);
    assert!(peak_kb < MEMORY_MB * 1024, "{peak_kb} KB of {MEMORY_MB} MB");
}
