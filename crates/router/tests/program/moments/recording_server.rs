//! A fake server that records what arrives, and responds at once or when it is told to.

use crate::support::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::Instant;

/// What has come to a station: when its line was read, what it asked for, and where its answer
/// goes.
pub struct RecordedRequest {
    pub at: Instant,
    pub id: String,
    pub source: String,
    to: Arc<Mutex<TcpStream>>,
}

#[derive(Default)]
struct Shared {
    come: Mutex<Vec<RecordedRequest>>,
    /// Takes and reads nothing.
    hangs: AtomicBool,
    over: AtomicBool,
}

/// A server that notes what comes, and answers at once, or only when it is told to.
pub struct RecordingServer {
    pub server: FakeServer,
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

impl RecordingServer {
    pub fn of(server: FakeServer, answers: bool) -> RecordingServer {
        let shared: Arc<Shared> = Arc::default();
        let (of, listener) = (shared.clone(), server.listener.try_clone().unwrap());
        listener.set_nonblocking(true).unwrap();
        let thread = spawn(move || {
            let mut connections = Vec::new();
            while !of.over.load(Ordering::Relaxed) {
                if of.hangs.load(Ordering::Relaxed) {
                    sleep(MS);
                } else if let Ok((stream, _)) = listener.accept() {
                    let of = of.clone();
                    connections.push(spawn(move || attend(&of, stream, answers)));
                } else {
                    sleep(MS);
                }
            }
            connections
                .into_iter()
                .for_each(|thread| drop(thread.join()));
        });
        RecordingServer {
            server,
            shared,
            thread: Some(thread),
        }
    }

    pub fn come(&self) -> MutexGuard<'_, Vec<RecordedRequest>> {
        self.shared.come.lock().unwrap()
    }

    pub fn hang(&self, hangs: bool) {
        self.shared.hangs.store(hangs, Ordering::Relaxed);
    }

    pub fn has(&self, id: &str) -> bool {
        self.come().iter().any(|come| come.id == id)
    }

    pub fn tell(&self, id: &str, word: &str) {
        let come = self.come();
        let last = come.iter().rev().find(|come| come.id == id).unwrap();
        let _ = last
            .to
            .lock()
            .unwrap()
            .write_all(format!("{id} {word} - 0\r\n\r\n").as_bytes());
    }
}

impl Drop for RecordingServer {
    fn drop(&mut self) {
        self.shared.over.store(true, Ordering::Relaxed);
        self.thread
            .take()
            .into_iter()
            .for_each(|thread| drop(thread.join()));
    }
}

fn attend(of: &Shared, stream: TcpStream, answers: bool) {
    stream.set_nonblocking(false).unwrap();
    stream.set_read_timeout(Some(20 * MS)).unwrap();
    let to = Arc::new(Mutex::new(stream.try_clone().unwrap()));
    let (mut reader, mut line) = (BufReader::new(stream), String::new());
    while !of.over.load(Ordering::Relaxed) {
        if of.hangs.load(Ordering::Relaxed) {
            sleep(MS);
            continue;
        }
        match reader.read_line(&mut line) {
            Ok(0) => return,
            Ok(_) => {}
            // Half a line stays in it.
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock) => continue,
            Err(_) => return,
        }
        let at = Instant::now();
        let words: Vec<&str> = line.split_whitespace().collect();
        if let ["ASK", id, fields, length] = words[..] {
            let length = length.parse::<u64>().unwrap() + 2;
            if !skip(of, &mut reader, length) {
                return;
            }
            let source = fields
                .split(',')
                .find_map(|f| f.strip_prefix("src="))
                .unwrap_or("")
                .to_owned();
            let (id, to) = (id.to_owned(), to.clone());
            if answers {
                let answer = format!("{id} OK {HIT_FIELDS} 1\r\nx\r\n");
                let _ = to.lock().unwrap().write_all(answer.as_bytes());
            }
            of.come
                .lock()
                .unwrap()
                .push(RecordedRequest { at, id, source, to });
        }
        line.clear();
    }
}

/// Reads past a body; false where the connection ends in it.
fn skip(of: &Shared, reader: &mut BufReader<TcpStream>, mut left: u64) -> bool {
    let mut bytes = [0; 4096];
    while left > 0 && !of.over.load(Ordering::Relaxed) {
        let part = bytes.len().min(left as usize);
        match reader.read(&mut bytes[..part]) {
            Ok(0) => return false,
            Ok(read) => left -= read as u64,
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock) => {}
            Err(_) => return false,
        }
    }
    true
}

/// Worlds whose servers are these servers.
pub fn environment_of(
    mut environment: TestEnvironment,
    servers: &[&RecordingServer],
) -> TestEnvironment {
    let entries: Vec<_> = servers
        .iter()
        .map(|server| server.server.entry("active"))
        .collect();
    environment = environment.with_known_endpoints(&entries);
    environment
}
