//! A fake server that records requests, and responds at once or on demand.

use crate::support::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::Instant;

/// A request that a server received: when its line was read, its id, the parent to fill from, and
/// the connection for the response.
pub struct RecordedRequest {
    pub at: Instant,
    pub id: String,
    pub source: String,
    writer: Arc<Mutex<TcpStream>>,
}

#[derive(Default)]
struct Shared {
    received: Mutex<Vec<RecordedRequest>>,
    /// While set, the server accepts and reads nothing.
    is_hanging: AtomicBool,
    stopped: AtomicBool,
}

/// A server that records requests, and responds to each with a hit at once, or only by `respond`.
pub struct RecordingServer {
    pub server: FakeServer,
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

impl RecordingServer {
    pub fn start(server: FakeServer, responds: bool) -> RecordingServer {
        let shared: Arc<Shared> = Arc::default();
        let (thread_shared, listener) = (shared.clone(), server.listener.try_clone().unwrap());
        listener.set_nonblocking(true).unwrap();
        let thread = spawn(move || {
            let mut connections = Vec::new();
            while !thread_shared.stopped.load(Ordering::Relaxed) {
                if thread_shared.is_hanging.load(Ordering::Relaxed) {
                    sleep(MS);
                } else if let Ok((stream, _)) = listener.accept() {
                    let thread_shared = thread_shared.clone();
                    connections.push(spawn(move || {
                        serve_connection(&thread_shared, stream, responds)
                    }));
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

    pub fn received(&self) -> MutexGuard<'_, Vec<RecordedRequest>> {
        self.shared.received.lock().unwrap()
    }

    pub fn set_hanging(&self, is_hanging: bool) {
        self.shared.is_hanging.store(is_hanging, Ordering::Relaxed);
    }

    pub fn has_received(&self, id: &str) -> bool {
        self.received().iter().any(|received| received.id == id)
    }

    pub fn respond(&self, id: &str, word: &str) {
        let received = self.received();
        let last = received
            .iter()
            .rev()
            .find(|received| received.id == id)
            .unwrap();
        let _ = last
            .writer
            .lock()
            .unwrap()
            .write_all(format!("{id} {word} - 0\r\n\r\n").as_bytes());
    }
}

impl Drop for RecordingServer {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::Relaxed);
        self.thread
            .take()
            .into_iter()
            .for_each(|thread| drop(thread.join()));
    }
}

fn serve_connection(shared: &Shared, stream: TcpStream, responds: bool) {
    stream.set_nonblocking(false).unwrap();
    stream.set_read_timeout(Some(20 * MS)).unwrap();
    let writer = Arc::new(Mutex::new(stream.try_clone().unwrap()));
    let (mut reader, mut line) = (BufReader::new(stream), String::new());
    while !shared.stopped.load(Ordering::Relaxed) {
        if shared.is_hanging.load(Ordering::Relaxed) {
            sleep(MS);
            continue;
        }
        match reader.read_line(&mut line) {
            Ok(0) => return,
            Ok(_) => {}
            // On a read timeout a partial line stays in `line`.
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock) => continue,
            Err(_) => return,
        }
        let at = Instant::now();
        let words: Vec<&str> = line.split_whitespace().collect();
        if let ["ASK", id, fields, length] = words[..] {
            let length = length.parse::<u64>().unwrap() + 2;
            if !skip(shared, &mut reader, length) {
                return;
            }
            let source = fields
                .split(',')
                .find_map(|f| f.strip_prefix("src="))
                .unwrap_or("")
                .to_owned();
            let (id, writer) = (id.to_owned(), writer.clone());
            if responds {
                let answer = format!("{id} OK {HIT_FIELDS} 1\r\nx\r\n");
                let _ = writer.lock().unwrap().write_all(answer.as_bytes());
            }
            shared.received.lock().unwrap().push(RecordedRequest {
                at,
                id,
                source,
                writer,
            });
        }
        line.clear();
    }
}

/// Skips a body; false if the connection ends within it.
fn skip(shared: &Shared, reader: &mut BufReader<TcpStream>, mut left: u64) -> bool {
    let mut bytes = [0; 4096];
    while left > 0 && !shared.stopped.load(Ordering::Relaxed) {
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

/// Makes these the servers of an environment.
pub fn environment_with_servers(
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
