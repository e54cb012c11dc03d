//! Many clients that hold connections and ask for little or nothing.

use super::test_client::frame;
use super::wait::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::Duration;

/// Idle clients: each sends nothing, or one health check, and reconnects when it is closed.
pub struct IdleClients {
    /// Connections that have come up so far.
    held: Arc<AtomicU32>,
    over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl IdleClients {
    /// Keeps so many connections open, half of them from each of two threads.
    pub fn connect(clients: usize, at: SocketAddr, check_health: bool) -> IdleClients {
        let (held, over): (Arc<AtomicU32>, Arc<AtomicBool>) = Default::default();
        let threads = (0..2).map(|_| {
            let (held, over) = (held.clone(), over.clone());
            spawn(move || {
                let mut connections: Vec<TcpStream> = Vec::new();
                while !over.load(Ordering::Relaxed) {
                    connections.retain(is_open);
                    while connections.len() < clients / 2 && !over.load(Ordering::Relaxed) {
                        let Some(stream) = connect_once(at, check_health) else {
                            break;
                        };
                        connections.push(stream);
                        held.fetch_add(1, Ordering::Relaxed);
                    }
                    sleep(CHECK_INTERVAL * 3);
                }
            })
        });
        let threads = threads.collect();
        IdleClients {
            held,
            over,
            threads,
        }
    }

    /// How many connections have come up so far.
    pub fn held(&self) -> u32 {
        self.held.load(Ordering::Relaxed)
    }
}

impl Drop for IdleClients {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        self.threads
            .drain(..)
            .for_each(|thread| drop(thread.join()));
    }
}

/// One connection that does not block; none if it does not come up.
fn connect_once(at: SocketAddr, check_health: bool) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&at, Duration::from_millis(50)).ok()?;
    if check_health {
        let _ = stream.write_all(&frame(&[b"HEALTH", b"1", b""]));
    }
    stream.set_nonblocking(true).unwrap();
    Some(stream)
}

/// The router has not closed the connection.
fn is_open(stream: &TcpStream) -> bool {
    match stream.peek(&mut [0; 64]) {
        Ok(0) => false,
        Err(e) => e.kind() == std::io::ErrorKind::WouldBlock,
        Ok(_) => true,
    }
}
