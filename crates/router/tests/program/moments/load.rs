//! A client that sends requests at its own pace and counts its answers.

use crate::support::*;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

/// Requests at a pace of its own to one process, and what becomes of them.
pub struct Load {
    over: Arc<AtomicBool>,
    thread: Option<JoinHandle<(usize, HashMap<String, usize>)>>,
}

impl Load {
    /// Asks so often until it is ended, then waits for what is open.
    pub fn at(address: SocketAddr, every: Duration, seed: u64) -> Load {
        let over: Arc<AtomicBool> = Arc::default();
        let told = over.clone();
        let thread = spawn(move || {
            let (mut asked, mut words) = (0, HashMap::new());
            let Some(mut client) = TestClient::connect(address) else {
                return (0, words);
            };
            let (mut open, mut next, mut chance) =
                (0, Instant::now(), fastrand::Rng::with_seed(seed));
            let mut tag = 0;
            loop {
                let over = told.load(Ordering::Relaxed);
                if over && open == 0 {
                    return (asked, words);
                }
                if !over && Instant::now() >= next && open < 30 {
                    (tag, asked, open, next) = (tag + 1, asked + 1, open + 1, next + every);
                    let (id, object) = (chance.u64(..), chance.u64(..));
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
                            return (asked, words);
                        }
                    }
                } else {
                    sleep(MS);
                }
            }
        });
        Load {
            over,
            thread: Some(thread),
        }
    }

    pub fn end(mut self) -> (usize, HashMap<String, usize>) {
        self.over.store(true, Ordering::Relaxed);
        self.thread.take().unwrap().join().unwrap()
    }
}
