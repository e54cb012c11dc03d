//! Many clients that hold connections open and send nothing, or one health check each.

use super::test_client::frame;
use super::wait::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::Duration;

/// Idle clients that reconnect when the router closes their connections.
pub struct IdleClients {
    /// Number of connections established so far, reconnections included.
    established: Arc<AtomicU32>,
    stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl IdleClients {
    /// Keeps this many connections open, half of them from each of two threads.
    pub fn connect(clients: usize, at: SocketAddr, check_health: bool) -> IdleClients {
        let (established, stopped): (Arc<AtomicU32>, Arc<AtomicBool>) = Default::default();
        let threads = (0..2).map(|_| {
            let (established, stopped) = (established.clone(), stopped.clone());
            spawn(move || {
                let mut connections: Vec<TcpStream> = Vec::new();
                while !stopped.load(Ordering::Relaxed) {
                    connections.retain(is_open);
                    while connections.len() < clients / 2 && !stopped.load(Ordering::Relaxed) {
                        let Some(stream) = connect_once(at, check_health) else {
                            break;
                        };
                        connections.push(stream);
                        established.fetch_add(1, Ordering::Relaxed);
                    }
                    sleep(CHECK_INTERVAL * 3);
                }
            })
        });
        let threads = threads.collect();
        IdleClients {
            established,
            stopped,
            threads,
        }
    }

    /// Number of connections established so far, reconnections included.
    pub fn established(&self) -> u32 {
        self.established.load(Ordering::Relaxed)
    }
}

impl Drop for IdleClients {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        self.threads
            .drain(..)
            .for_each(|thread| drop(thread.join()));
    }
}

/// Opens one non-blocking connection; `None` if it is not established within 50 ms.
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
