//! A client that sends requests at a fixed interval and counts the answers.

use crate::support::*;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

/// A client that sends requests at a fixed interval to one router, and counts the kinds of answers.
pub struct Load {
    stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<(usize, HashMap<String, usize>)>>,
}

impl Load {
    /// Sends a request per interval, with up to 30 open, until it is stopped; then waits for open
    /// requests.
    pub fn start(address: SocketAddr, interval: Duration, seed: u64) -> Load {
        let stopped: Arc<AtomicBool> = Arc::default();
        let stopped_in_thread = stopped.clone();
        let thread = spawn(move || {
            let (mut sent, mut words) = (0, HashMap::new());
            let Some(mut client) = TestClient::connect(address) else {
                return (0, words);
            };
            let (mut open, mut next, mut rng) = (0, Instant::now(), fastrand::Rng::with_seed(seed));
            let mut tag = 0;
            loop {
                let stopped = stopped_in_thread.load(Ordering::Relaxed);
                if stopped && open == 0 {
                    return (sent, words);
                }
                if !stopped && Instant::now() >= next && open < 30 {
                    (tag, sent, open, next) = (tag + 1, sent + 1, open + 1, next + interval);
                    let (id, object) = (rng.u64(..), rng.u64(..));
                    let fields = format!("i={id:016x},o={object:016x},lot=1,m=10,d=1500");
                    let tag = tag.to_string();
                    client.send(&[b"REQ", tag.as_bytes(), b"page", fields.as_bytes(), b""]);
                }
                if client.has_unread_data() {
                    match client.try_read_answer() {
                        Some(answer) => {
                            *words.entry(answer.word).or_insert(0) += 1;
                            open -= 1;
                        }
                        None => {
                            *words.entry("lost".to_owned()).or_insert(0) += open;
                            return (sent, words);
                        }
                    }
                } else {
                    sleep(MS);
                }
            }
        });
        Load {
            stopped,
            thread: Some(thread),
        }
    }

    /// Stops sending; returns the number of requests sent and the answers by kind. Requests that a
    /// closed connection left open count as `lost`.
    pub fn end(mut self) -> (usize, HashMap<String, usize>) {
        self.stopped.store(true, Ordering::Relaxed);
        self.thread.take().unwrap().join().unwrap()
    }
}
