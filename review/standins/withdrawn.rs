//! A router stays within its memory while bad clients withdraw hundreds of requests at once. The platform
//! kills a router that goes over `memory_mb`.

#[path = "common.rs"]
mod common;

use common::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;

/// The pages give a router 32 to 192 MB.
const MEMORY_MB: u64 = 64;
const BAD_CLIENTS: u64 = 1;
/// "A connection carries up to 32 open requests".
const OPEN_REQUESTS: u64 = 32;
/// "Figures out of range": no class of the deployment waits longer than 3,000 ms.
const BAD_DEADLINE_MS: u64 = 60_000;
const DURATION_MS: f64 = 60_000.0;
const USUAL_DEADLINE_MS: u64 = 2_000;
/// The answer of a server takes so long.
const ANSWER_MS: u64 = 30;

/// A server that answers each request after a while.
fn serve(listener: TcpListener, asked: Arc<AtomicU64>) {
    for stream in listener.incoming().flatten() {
        let asked = asked.clone();
        std::thread::spawn(move || {
            let _ = stream.set_nodelay(true);
            let mut writer = stream.try_clone().unwrap();
            let (sender, answers) = std::sync::mpsc::channel::<(std::time::Instant, String)>();
            std::thread::spawn(move || {
                for (at, id) in answers {
                    std::thread::sleep(at.saturating_duration_since(std::time::Instant::now()));
                    let fields = format!("tell=hit,made={}", unix_ms());
                    if writer
                        .write_all(&answer_bytes(&id, "OK", &fields, b"page"))
                        .is_err()
                    {
                        return;
                    }
                }
            });
            let mut reader = BufReader::with_capacity(1 << 16, stream);
            while let Some(ask) = read_ask(&mut reader) {
                if !ask.is_quit {
                    asked.fetch_add(1, Ordering::Relaxed);
                    let _ = sender.send((std::time::Instant::now() + ms(ANSWER_MS), ask.id));
                }
            }
        });
    }
}

fn request(tag: u64, id: u64, object: u64, deadline_ms: u64) -> Vec<u8> {
    let fields = format!(
        "i={},d={deadline_ms},o={},lot=7,m=9",
        hex_id(id),
        hex_id(object)
    );
    array(&[
        b"REQ",
        tag.to_string().as_bytes(),
        b"page",
        fields.as_bytes(),
        b"",
    ])
}

/// Sends as many requests as a connection may carry, withdraws them all, and does it again. HEALTH tells when
/// the router has read them. It reads what is sent to it.
fn bad_client(
    address: SocketAddr,
    number: u64,
    ids: &AtomicU64,
    withdrawn: &AtomicU64,
) -> Option<()> {
    let stream = TcpStream::connect(address).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::with_capacity(1 << 16, stream);
    let mut tag = 0;
    loop {
        let first = tag + 1;
        let mut bytes = Vec::new();
        for _ in 0..OPEN_REQUESTS {
            tag += 1;
            bytes.extend(request(
                tag,
                ids.fetch_add(1, Ordering::Relaxed),
                1000 + number,
                BAD_DEADLINE_MS,
            ));
        }
        writer.write_all(&bytes).ok()?;
        std::thread::sleep(std::time::Duration::from_micros(500));
        let mut bytes = Vec::new();
        for withdrawn in first..=tag {
            bytes.extend(array(&[b"ABORT", withdrawn.to_string().as_bytes()]));
        }
        tag += 1;
        bytes.extend(array(&[b"HEALTH", tag.to_string().as_bytes()]));
        writer.write_all(&bytes).ok()?;
        while read_array(&mut reader)?.get(1)? != b"GREEN" {}
        withdrawn.fetch_add(OPEN_REQUESTS, Ordering::Relaxed);
    }
}

#[derive(Default)]
struct Usual {
    served: AtomicU64,
    other: AtomicU64,
    unanswered: AtomicU64,
}

/// Asks 50 times a second, each time on a new connection.
fn usual_client(
    address: SocketAddr,
    ids: &AtomicU64,
    usual: &Arc<Usual>,
    stop: &AtomicBool,
    record: &Record,
) {
    while !stop.load(Ordering::SeqCst) {
        let id = ids.fetch_add(1, Ordering::Relaxed);
        let (usual, record) = (usual.clone(), record.clone());
        std::thread::spawn(move || {
            let Ok(mut stream) = TcpStream::connect(address) else {
                return;
            };
            let _ = stream.set_nodelay(true);
            let _ = stream.set_read_timeout(Some(ms(USUAL_DEADLINE_MS + 500)));
            if stream
                .write_all(&request(1, id, id % 64, USUAL_DEADLINE_MS))
                .is_err()
            {
                return;
            }
            let parts = read_array(&mut BufReader::new(stream));
            let word = parts
                .and_then(|parts| parts.get(1).cloned())
                .unwrap_or_default();
            let count = match &word[..] {
                b"ACK" => &usual.served,
                b"" => {
                    record.line(&format!(
                        "a usual client's request {} ended without an answer",
                        hex_id(id)
                    ));
                    &usual.unanswered
                }
                _ => &usual.other,
            };
            count.fetch_add(1, Ordering::SeqCst);
        });
        std::thread::sleep(ms(20));
    }
}

/// Memory of its own, without the pages of files: the least that a platform counts.
fn own_memory(router: &Router) -> u64 {
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", router.child.id())).unwrap_or_default();
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("RssAnon:"));
    let kb = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kb.unwrap_or(0) * 1024
}

fn main() {
    guard();
    let (root, folder) = (root(), case_folder());
    let record = Record::create(&folder.join("record.txt"));
    let temporary = TempDir::new("withdrawn");
    let board = Board::start(1, &record);
    let asked = Arc::new(AtomicU64::new(0));
    let mut hosts = Vec::new();
    for (name, class, block) in [
        ("c1", "cache", 0),
        ("c2", "cache", 0),
        ("c3", "cache", 0),
        ("p1", "parent", 1),
        ("o1", "origin", 2),
    ] {
        let listener = listen();
        hosts.push(host(name, listener.local_addr().unwrap(), class, block));
        let asked = asked.clone();
        std::thread::spawn(move || serve(listener, asked));
    }
    let configuration = example_configuration(&root, &hosts, board.address);
    let configuration = replace(
        &configuration,
        "\"memory_mb\": 192",
        &format!("\"memory_mb\": {MEMORY_MB}"),
    );
    let mut router = Router::start(&root, &temporary.0, "n1", free_address(), &configuration);
    let address = router.address;
    record.line(&format!(
        "the router answers GREEN; own memory {} bytes",
        own_memory(&router)
    ));
    let ids = Arc::new(AtomicU64::new(1));
    let (stop, usual) = (Arc::new(AtomicBool::new(false)), Arc::new(Usual::default()));
    let clients = {
        let (ids, usual, stop, record) = (ids.clone(), usual.clone(), stop.clone(), record.clone());
        std::thread::spawn(move || usual_client(address, &ids, &usual, &stop, &record))
    };
    std::thread::sleep(ms(2000));
    let withdrawn = Arc::new(AtomicU64::new(0));
    if trouble() {
        record.line(&format!("{BAD_CLIENTS} bad client begins"));
        for number in 0..BAD_CLIENTS {
            let (ids, withdrawn) = (ids.clone(), withdrawn.clone());
            std::thread::spawn(move || bad_client(address, number, &ids, &withdrawn));
        }
    }
    let until = record.now() + DURATION_MS;
    let (mut most, mut next_line, mut was_killed) = (0, 0.0, false);
    while record.now() < until {
        let memory = own_memory(&router);
        most = most.max(memory);
        if record.now() >= next_line {
            next_line = record.now() + 1000.0;
            record.line(&format!(
                "own memory {memory} bytes; withdrawn {}, usual served {}, usual other {}, attempts at servers {}",
                withdrawn.load(Ordering::SeqCst), usual.served.load(Ordering::SeqCst),
                usual.other.load(Ordering::SeqCst), asked.load(Ordering::SeqCst)
            ));
        }
        if memory > MEMORY_MB * 1_048_576 {
            record.say(&format!("own memory {memory} bytes is over memory_mb = {MEMORY_MB}: the platform kills the router"));
            router.signal("-9");
            let _ = router.child.wait();
            was_killed = true;
            break;
        }
        if let Ok(Some(status)) = router.child.try_wait() {
            record.say(&format!("the router has ended by itself: {status}"));
            was_killed = true;
            break;
        }
        std::thread::sleep(ms(20));
    }
    stop.store(true, Ordering::SeqCst);
    let _ = clients.join();
    std::thread::sleep(ms(USUAL_DEADLINE_MS + 600));
    drop(router);
    drop(temporary);
    record.say(&format!(
        "most own memory {most} bytes of {}; requests withdrawn {}; usual requests served {}, refused or failed {}, without an answer {}",
        MEMORY_MB * 1_048_576, withdrawn.load(Ordering::SeqCst), usual.served.load(Ordering::SeqCst),
        usual.other.load(Ordering::SeqCst), usual.unanswered.load(Ordering::SeqCst)
    ));
    if usual.served.load(Ordering::SeqCst) == 0 {
        cannot_run("no usual request was served");
    }
    end(if was_killed { BROKEN } else { HELD })
}
