//! A soak test with new clients, objects and servers all the time, in which unbounded state shows
//! as growing memory. It runs for 8 s by default; `SOAK_SECONDS=600` makes it a long run.

use crate::support::*;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Answers every request on a connection with a fill of 20 KB until the connection ends.
fn respond_with_fills(stream: TcpStream, served: &AtomicUsize) -> std::io::Result<()> {
    stream.set_nonblocking(false)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(WAIT_LIMIT))?;
    let (mut writer, mut reader) = (stream.try_clone()?, BufReader::new(stream));
    let mut line = String::new();
    let body = vec![7u8; 20_000];
    while reader.read_line(&mut line)? > 0 {
        let words: Vec<&str> = line.split_whitespace().collect();
        if let ["ASK", id, _, length] = words[..] {
            let mut rest = vec![0; length.parse::<usize>().unwrap_or(0) + 2];
            reader.read_exact(&mut rest)?;
            let head = format!(
                "{id} OK tell=filled,etag=4be0c1927d55a6f3,made={} {}\r\n",
                unix_ms(),
                body.len()
            );
            writer.write_all(&[head.as_bytes(), &body, b"\r\n"].concat())?;
            served.fetch_add(1, Ordering::Relaxed);
        }
        line.clear();
    }
    Ok(())
}

fn accept_and_respond(listener: TcpListener, stopped: Arc<AtomicBool>, served: Arc<AtomicUsize>) {
    listener.set_nonblocking(true).unwrap();
    while !stopped.load(Ordering::Relaxed) {
        match listener.accept() {
            Ok((stream, _)) => {
                let served = served.clone();
                // The thread ends with its connection, also in the middle of a request.
                thread::spawn(move || drop(respond_with_fills(stream, &served)));
            }
            Err(_) => thread::sleep(Duration::from_millis(2)),
        }
    }
}

#[test]
fn memory_stays_bounded_under_new_clients_objects_and_servers() {
    let seconds = std::env::var("SOAK_SECONDS")
        .ok()
        .and_then(|s| s.parse().ok())
        .unwrap_or(8);
    let mut environment = TestEnvironment::new()
        .with_machine_limit("memory_mb", 64)
        .with_setting("FamilyInfo", "ClientKbPerS", 10_000)
        .with_directives("store {\n memory 25%\n}\n");
    let (stopped, served) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicUsize::new(0)),
    );
    let threads: Vec<_> = environment
        .servers
        .iter()
        .map(|server| {
            let (listener, stopped, served) = (
                server.listener.try_clone().unwrap(),
                stopped.clone(),
                served.clone(),
            );
            thread::spawn(move || accept_and_respond(listener, stopped, served))
        })
        .collect();
    let router = environment.start();
    let mut discovery = environment.discovery.accept_watch();
    let started_at = Instant::now();
    let (mut quarters, mut rounds, mut rev) = (Vec::new(), 0u64, 1);
    let mut words: HashMap<String, usize> = HashMap::new();
    let mut name = environment.server("c1").name.clone();
    for quarter in 0..4 {
        let until = started_at + Duration::from_secs(seconds) * (quarter + 1) / 4;
        while Instant::now() < until {
            // Every 16 requests come from a new client and are for objects not requested before.
            let mut client = router.connect();
            (0..16).for_each(|n| drop(client.send_request(rounds * 16 + n + 1, "page", "", b"")));
            (0..16).for_each(|_| *words.entry(client.read_answer_word()).or_default() += 1);
            rounds += 1;
            if rounds.is_multiple_of(50) {
                // A server with a new name replaces the cache at its address.
                rev += 1;
                let server = environment.server("c1");
                let mut old = server.entry("left");
                old["host"] = serde_json::json!(name);
                name = format!("c-{rev}");
                let mut new = server.entry("active");
                new["host"] = serde_json::json!(name);
                let event = endpoints_event(rev, &[old, new]);
                if !discovery.try_send(&event) {
                    // The router reconnects when discovery has been silent for two seconds.
                    discovery = environment.discovery.accept_watch();
                    discovery.send(&event);
                }
            }
        }
        quarters.push(router.resident_kb());
    }
    stopped.store(true, Ordering::Relaxed);
    threads
        .into_iter()
        .for_each(|thread| thread.join().unwrap());
    let totals = (rounds * 16, served.load(Ordering::Relaxed), rev, &words);
    eprintln!(
        "soak: {seconds} s, {totals:?} sent, served, events, answers; resident KB by quarter {quarters:?}"
    );
    let served = words.get("ACK").copied().unwrap_or(0);
    assert!(
        served > 1000 && totals.1 > 1000 && rev > 2,
        "too little load: {totals:?}"
    );
    // Cached copies fill their 16 MB in the first quarter of a long run, but later in a short one.
    let (max_kb, growth_kb) = (48 << 10, quarters[3].saturating_sub(quarters[0]));
    assert!(
        quarters[3] < max_kb,
        "resident memory over {max_kb} KB: {quarters:?} KB"
    );
    let max_growth_kb = if seconds >= 60 {
        quarters[0] / 10 + 1024
    } else {
        20 << 10
    };
    assert!(
        growth_kb < max_growth_kb,
        "memory grew by {growth_kb} KB after the first quarter: {quarters:?}"
    );
}
