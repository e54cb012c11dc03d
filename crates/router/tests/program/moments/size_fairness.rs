//! Requests of all sizes while memory or bandwidth is short.

use crate::support::*;
use serde_json::json;
use std::io::{BufRead, BufReader, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::Instant;

/// What a day is short of.
#[derive(Clone, Copy, PartialEq)]
pub enum Shortage {
    Nothing,
    /// Memory, at the door.
    Memory,
    /// Pace of fills: all share one link in turn, and are soon late.
    Pace,
}

/// Shares of the requests that were answered.
#[derive(Debug)]
pub struct AnsweredShares {
    /// Of the largest tenth.
    pub largest: f64,
    pub all: f64,
}

/// Clients that send at once.
const CLIENTS: usize = 20;

/// Requests of one class and of all sizes, twenty at once.
pub fn measure_sizes(requests: usize, short: Shortage, seed: u64) -> AnsweredShares {
    let server = FakeServer::new("c1", "cache");
    let origin = FakeServer::new("o1", "origin");
    let entries = [server.entry("active"), origin.entry("active")];
    let memory_mb = if short == Shortage::Memory { 2 } else { 64 };
    let objective_ms = if short == Shortage::Pace { 150 } else { 3000 };
    let mut environment = TestEnvironment::new()
        .with_known_endpoints(&entries)
        .with_machine_limit("memory_mb", memory_mb)
        .with_setting("FamilyInfo", "ClientKbPerS", 4000);
    environment.file["settings"]["Classes"][0]["Aim"] = json!(objective_ms);
    let router = environment.start();
    let over: Arc<AtomicBool> = Arc::default();
    let serving = serve_by_size(&server, short, over.clone());
    let mut chance = fastrand::Rng::with_seed(seed);
    let mut clients: Vec<TestClient> = (0..CLIENTS).map(|_| router.connect()).collect();
    let sizes: Vec<u64> = (0..requests)
        .map(|_| 4 + (chance.f64().powi(3) * 236.0) as u64)
        .collect();
    let mut answers = Vec::new();
    for (round, sizes) in sizes.chunks_exact(CLIENTS).enumerate() {
        for ((c, client), kb) in clients.iter_mut().enumerate().zip(sizes) {
            let (id, object) = (chance.u64(..), kb * 1000 + c as u64);
            let fields = format!("i={id:016x},o={object:016x},lot=1,m={kb},d=3000");
            client.send_raw_request(round + 1, "page", fields, b"");
        }
        for (client, kb) in clients.iter_mut().zip(sizes) {
            answers.push((*kb, client.read_answer_word() == "ACK"));
        }
    }
    over.store(true, Ordering::Relaxed);
    drop((clients, router));
    serving.join().unwrap();
    answered_shares(sizes, &answers)
}

/// The shares of answers, each given with the size of its request.
fn answered_shares(mut sizes: Vec<u64>, answers: &[(u64, bool)]) -> AnsweredShares {
    sizes.sort();
    let large = sizes[sizes.len() - sizes.len() / 10];
    let share_from = |least_kb: u64| {
        let counted = answers.iter().filter(|(kb, _)| *kb >= least_kb);
        let answered = counted.clone().filter(|(_, answered)| *answered);
        answered.count() as f64 / counted.count() as f64
    };
    AnsweredShares {
        largest: share_from(large),
        all: share_from(0),
    }
}

/// Responds to each request after its sending time, so that large ones are open for longer; where
/// the pace is short, one after the other.
fn serve_by_size(server: &FakeServer, short: Shortage, over: Arc<AtomicBool>) -> JoinHandle<()> {
    let listener = server.listener.try_clone().unwrap();
    let free = (short == Shortage::Pace).then(|| Arc::new(Mutex::new(Instant::now())));
    spawn(move || {
        listener.set_nonblocking(true).unwrap();
        let mut threads = Vec::new();
        while !over.load(Ordering::Relaxed) {
            let Ok((stream, _)) = listener.accept() else {
                sleep(MS);
                continue;
            };
            let (over, free) = (over.clone(), free.clone());
            threads.push(spawn(move || send_by_size(stream, &over, free.as_deref())));
        }
        threads.into_iter().for_each(|thread| drop(thread.join()));
    })
}

/// The object's number tells its size, 1,000 to a KB. `free`: when the link that all share is.
fn send_by_size(stream: TcpStream, over: &AtomicBool, free: Option<&Mutex<Instant>>) {
    stream.set_nonblocking(false).unwrap();
    stream.set_read_timeout(Some(20 * MS)).unwrap();
    let mut to = stream.try_clone().unwrap();
    let (mut reader, mut line) = (BufReader::new(stream), String::new());
    let mut due: Vec<(Instant, String, usize)> = Vec::new();
    while !over.load(Ordering::Relaxed) {
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
                    if let Some(free) = free {
                        let mut free = free.lock().unwrap();
                        at = at.max(*free + MS * kb as u32 / 4);
                        *free = at;
                    }
                    due.push((at, id.to_owned(), kb as usize * 1000));
                }
                line.clear();
            }
        }
        while let Some(at) = due.iter().position(|(at, ..)| Instant::now() >= *at) {
            let (_, id, length) = due.swap_remove(at);
            let tell = if free.is_some() {
                HIT_FIELDS.replace("hit", "filled")
            } else {
                HIT_FIELDS.to_owned()
            };
            let head = format!("{id} OK {tell} {length}\r\n");
            let answer = [head.as_bytes(), &vec![7; length], b"\r\n"].concat();
            if to.write_all(&answer).is_err() {
                return;
            }
        }
    }
}
