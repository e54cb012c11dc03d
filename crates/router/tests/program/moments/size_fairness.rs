//! Requests of all sizes while memory or bandwidth is short.

use crate::support::*;
use serde_json::json;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::Instant;

/// The resource that is scarce in a run.
#[derive(Clone, Copy, PartialEq)]
pub enum Constraint {
    Unconstrained,
    /// Memory, which limits admission.
    Memory,
    /// Bandwidth of fills: they share one link one after the other, and soon miss their objective.
    Bandwidth,
}

/// Shares of requests that were answered.
#[derive(Debug)]
pub struct AnsweredShares {
    /// Among the largest tenth.
    pub largest: f64,
    /// Among all.
    pub all: f64,
}

/// Number of clients that send concurrently.
const CLIENTS: usize = 20;

/// Sends requests of one class and of all sizes, twenty at a time, and returns the shares answered.
pub fn measure_sizes(requests: usize, constraint: Constraint, seed: u64) -> AnsweredShares {
    let server = FakeServer::new("c1", "cache");
    let origin = FakeServer::new("o1", "origin");
    let entries = [server.entry("active"), origin.entry("active")];
    let memory_mb = if constraint == Constraint::Memory {
        2
    } else {
        64
    };
    let objective_ms = if constraint == Constraint::Bandwidth {
        150
    } else {
        3000
    };
    let mut environment = TestEnvironment::new()
        .with_known_endpoints(&entries)
        .with_machine_limit("memory_mb", memory_mb)
        .with_setting("FamilyInfo", "ClientKbPerS", 4000);
    environment.file["settings"]["Classes"][0]["Aim"] = json!(objective_ms);
    let router = environment.start();
    let stopped: Arc<AtomicBool> = Arc::default();
    let serving = serve_by_size(&server, constraint, stopped.clone());
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut clients: Vec<TestClient> = (0..CLIENTS).map(|_| router.connect()).collect();
    let sizes: Vec<u64> = (0..requests)
        .map(|_| 4 + (rng.f64().powi(3) * 236.0) as u64)
        .collect();
    let mut answers = Vec::new();
    for (round, sizes) in sizes.chunks_exact(CLIENTS).enumerate() {
        for ((c, client), kb) in clients.iter_mut().enumerate().zip(sizes) {
            let (id, object) = (rng.u64(..), kb * 1000 + c as u64);
            let fields = format!("i={id:016x},o={object:016x},lot=1,m={kb},d=3000");
            client.send_raw_request(round + 1, "page", fields, b"");
        }
        for (client, kb) in clients.iter_mut().zip(sizes) {
            answers.push((*kb, client.read_answer_word() == "ACK"));
        }
    }
    stopped.store(true, Ordering::Relaxed);
    drop((clients, router));
    serving.join().unwrap();
    answered_shares(sizes, &answers)
}

/// Computes the shares from the size of each request and whether it was answered.
fn answered_shares(mut sizes: Vec<u64>, answers: &[(u64, bool)]) -> AnsweredShares {
    sizes.sort();
    let large_kb = sizes[sizes.len() - sizes.len() / 10];
    let share_from = |min_kb: u64| {
        let counted = answers.iter().filter(|(kb, _)| *kb >= min_kb);
        let answered = counted.clone().filter(|(_, answered)| *answered);
        answered.count() as f64 / counted.count() as f64
    };
    AnsweredShares {
        largest: share_from(large_kb),
        all: share_from(0),
    }
}

/// Responds to each request after the time that sending the object takes, so that large ones are
/// open for longer; if bandwidth is scarce, to one after the other.
fn serve_by_size(
    server: &FakeServer,
    constraint: Constraint,
    stopped: Arc<AtomicBool>,
) -> JoinHandle<()> {
    let listener = server.listener.try_clone().unwrap();
    let link_free_at =
        (constraint == Constraint::Bandwidth).then(|| Arc::new(Mutex::new(Instant::now())));
    spawn(move || {
        listener.set_nonblocking(true).unwrap();
        let mut threads = Vec::new();
        while !stopped.load(Ordering::Relaxed) {
            let Ok((stream, _)) = listener.accept() else {
                sleep(MS);
                continue;
            };
            let (stopped, link_free_at) = (stopped.clone(), link_free_at.clone());
            threads.push(spawn(move || {
                send_by_size(stream, &stopped, link_free_at.as_deref())
            }));
        }
        threads.into_iter().for_each(|thread| drop(thread.join()));
    })
}

/// Serves one connection. The number of an object is 1,000 times its size in KB. `link_free_at` is
/// when the shared link is free, if there is one.
fn send_by_size(stream: TcpStream, stopped: &AtomicBool, link_free_at: Option<&Mutex<Instant>>) {
    stream.set_nonblocking(false).unwrap();
    stream.set_read_timeout(Some(20 * MS)).unwrap();
    let mut to = stream.try_clone().unwrap();
    let (mut reader, mut line) = (BufReader::new(stream), String::new());
    let mut pending: Vec<(Instant, String, usize)> = Vec::new();
    while !stopped.load(Ordering::Relaxed) {
        match reader.read_line(&mut line) {
            Ok(0) => return,
            Err(e) if !matches!(e.kind(), std::io::ErrorKind::WouldBlock) => return,
            Err(_) => {}
            Ok(_) => {
                let words: Vec<&str> = line.split_whitespace().collect();
                if let ["ASK", id, fields, _] = words[..] {
                    let item = fields
                        .split(',')
                        .find_map(|f| f.strip_prefix("item="))
                        .unwrap();
                    let kb = u64::from_str_radix(item, 16).unwrap() / 1000;
                    let mut at = Instant::now() + MS * kb as u32 / 4;
                    if let Some(link_free_at) = link_free_at {
                        let mut link_free_at = link_free_at.lock().unwrap();
                        at = at.max(*link_free_at + MS * kb as u32 / 4);
                        *link_free_at = at;
                    }
                    pending.push((at, id.to_owned(), kb as usize * 1000));
                }
                line.clear();
            }
        }
        while let Some(at) = pending.iter().position(|(at, ..)| Instant::now() >= *at) {
            let (_, id, length) = pending.swap_remove(at);
            let fields = if link_free_at.is_some() {
                HIT_FIELDS.replace("hit", "filled")
            } else {
                HIT_FIELDS.to_owned()
            };
            let head = format!("{id} OK {fields} {length}\r\n");
            let answer = [head.as_bytes(), &vec![7; length], b"\r\n"].concat();
            if to.write_all(&answer).is_err() {
                return;
            }
        }
    }
}
