//! A recorded oracle of what the router writes: every byte to its client and to each server, for a
//! scripted run of requests sent one after the other, reduced to a hash.
//!
//! Remaining time (`limit=`) and allowed age (`maxage=`) depend on the run and are masked. The hash
//! stays the same through a change that only rearranges code; a deliberate change of what is
//! written records it anew, in a commit that says why.

use crate::support::*;
use serde_json::json;
use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::spawn;
use xxhash_rust::xxh3::xxh3_64;

/// The hash of all records below, in the order of the scripts.
const RECORDED: u64 = 0xa3ccf51a6c92acce;
const REQUESTS: u64 = 150;

/// What one server received, in order, over all of its connections: requests come one after the
/// other.
type Records = Arc<Mutex<BTreeMap<String, Vec<String>>>>;

/// What the client waits for next, so that a server knows its part of the script.
#[derive(Clone, Copy, Default)]
struct Step {
    number: u64,
    /// Attempts that servers have answered for this request so far.
    attempts: u64,
}

/// A server that answers by the script: by the number of the request and of the attempt alone.
fn serve_script(name: String, listener: TcpListener, records: Records, step: Arc<Mutex<Step>>) {
    spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            let (name, records, step) = (name.clone(), records.clone(), step.clone());
            spawn(move || answer_all(&name, stream, &records, &step));
        }
    });
}

fn answer_all(name: &str, stream: TcpStream, records: &Records, step: &Mutex<Step>) {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    while reader.read_line(&mut line).is_ok_and(|read| read > 0) {
        let words: Vec<String> = line.split_whitespace().map(str::to_owned).collect();
        record(records, name, &masked(&line));
        line.clear();
        if words[0] != "ASK" {
            continue;
        }
        let mut body = vec![0; words[3].parse::<usize>().unwrap() + 2];
        reader.read_exact(&mut body).unwrap();
        record(records, name, &format!("{body:?}"));
        let attempt = {
            let mut step = step.lock().unwrap();
            step.attempts += 1;
            *step
        };
        let Some((word, fields, body)) = scripted_answer(attempt, &words[2]) else {
            return;
        };
        let answer = format!("{} {word} {fields} {}\r\n{body}\r\n", words[1], body.len());
        if reader.get_mut().write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// The answer's word, fields and body; none: the connection breaks without one.
fn scripted_answer(step: Step, fields: &str) -> Option<(&'static str, &'static str, &'static str)> {
    let served = match (fields.contains("have="), step.number % 3) {
        (true, _) => ("SAME", "tell=hit,etag=4be0c1927d55a6f3,ttfb=2", ""),
        (false, 0) => (
            "OK",
            "tell=hit,etag=4be0c1927d55a6f3,made=1,ttfb=1",
            "a copy",
        ),
        (false, 1) => (
            "OK",
            "tell=filled,etag=00c1927d55a6f34b,ttfb=40,meter=inflight:2",
            "a longer body\r\n",
        ),
        (false, _) => ("OK", "tell=joined,ttfb=9", ""),
    };
    match (step.number % 29, step.attempts) {
        (3, 1) => Some(("ERR", "-", "")),
        (9, 1) => Some(("BUSY", "tell=no_slot", "")),
        (13, 1) => Some(("VOID", "-", "")),
        (17, 1) => Some(("ERR", "tell=src_lacks", "")),
        (21, 1) => None,
        (25, 1) => Some(("MISS", "-", "")),
        (27, _) => Some(("BUSY", "-", "")),
        _ => Some(served),
    }
}

fn record(records: &Records, name: &str, what: &str) {
    records
        .lock()
        .unwrap()
        .entry(name.to_owned())
        .or_default()
        .push(what.to_owned());
}

/// A line without the values that depend on how long things took.
fn masked(line: &str) -> String {
    let field = |field: &str| match field.split_once('=') {
        Some((name @ ("limit" | "maxage"), _)) => format!("{name}=#"),
        _ => field.to_owned(),
    };
    line.split(',').map(field).collect::<Vec<_>>().join(",")
}

/// Plays a script through a world and adds what was written.
fn run_script(environment: &mut TestEnvironment, classes: &[&str], records: &Records, name: &str) {
    let step = Arc::new(Mutex::new(Step::default()));
    for server in &environment.servers {
        let listener = server.listener.try_clone().unwrap();
        listener.set_nonblocking(false).unwrap();
        serve_script(
            format!("{name} {}", server.name),
            listener,
            records.clone(),
            step.clone(),
        );
    }
    let router = environment.start();
    let mut client = router.connect();
    let mut seen = HashMap::new();
    for number in 1..=REQUESTS {
        *step.lock().unwrap() = Step {
            number,
            attempts: 0,
        };
        let class = classes[number as usize % classes.len()];
        let object = number * number % 23;
        let tag_of_copy = if number % 11 == 0 {
            ",ver=4be0c1927d55a6f3"
        } else {
            ""
        };
        let idempotency_key = if class == "hold" {
            format!(",k={number:032x}")
        } else {
            String::new()
        };
        let fields = format!(
            "i={number:016x},d=4500,o={object:016x},piece={},lot={},m={}.5{tag_of_copy}{idempotency_key}",
            number % 3,
            number % 5,
            1 + number % 7,
        );
        let body = if class == "page" {
            "".to_owned()
        } else {
            "x".repeat(number as usize * 10)
        };
        client.send_raw_request(number, class, &fields, body.as_bytes());
        let answer = client.read_answer();
        *seen.entry(answer.word.clone()).or_insert(0) += 1;
        // The recorded text shows an answer as a tuple.
        let answer = (answer.tag, answer.word, answer.fields, answer.body);
        record(records, &format!("{name} client"), &format!("{answer:?}"));
    }
    assert!(
        seen.get("ACK").is_some_and(|served| *served > REQUESTS / 2),
        "{name}: {seen:?}"
    );
    assert!(
        seen.len() > 1,
        "{name}: every request was served, so rejections and failures are not covered"
    );
}

/// A cache server, parent or origin beside those that every world has.
fn add_servers(environment: &mut TestEnvironment) {
    environment.servers.extend([
        FakeServer::new("c2", "cache"),
        FakeServer::new("c3", "cache"),
        FakeServer::new("p2", "parent"),
    ]);
}

fn set_known_endpoints(
    environment: &mut TestEnvironment,
    health: impl Fn(&str) -> &'static str,
    purge: Option<serde_json::Value>,
) {
    let entries: Vec<_> = environment
        .servers
        .iter()
        .map(|s| s.entry(health(&s.name)))
        .collect();
    let mut notices = vec![json!({"rev": 1, "pool": {"seq": 1, "whole": true, "hosts": entries}})];
    notices.extend(purge.map(|purge| json!({"rev": 2, "flush": purge})));
    environment.file["known"] = json!({"rev": notices.len(), "notices": notices});
}

fn with_three_effects(environment: &mut TestEnvironment) {
    let settings = &mut environment.file["settings"];
    settings["Classes"] = json!([
        class("page", "pure"),
        class("confirm", "side_effect"),
        class("hold", "token")
    ]);
    settings["FamilyInfo"]["ClassFresh"] = json!([0, 0, 0]);
    settings["FamilyInfo"]["ClassWrite"] = json!([false, true, true]);
}

#[test]
fn writes_the_recorded_bytes_to_clients_and_servers() {
    let records = Records::default();

    let mut plain = TestEnvironment::new();
    add_servers(&mut plain);
    with_three_effects(&mut plain);
    set_known_endpoints(&mut plain, |_| "active", None);
    run_script(
        &mut plain,
        &["page", "page", "confirm", "page", "hold"],
        &records,
        "plain",
    );

    let mut draining = TestEnvironment::new();
    add_servers(&mut draining);
    with_three_effects(&mut draining);
    let health = |name: &str| {
        if name == "c2" || name == "p1" {
            "leaving"
        } else {
            "active"
        }
    };
    set_known_endpoints(
        &mut draining,
        health,
        Some(json!({"collection": 2, "ms": unix_ms()})),
    );
    run_script(&mut draining, &["page"], &records, "draining and purged");

    let mut cached = TestEnvironment::new();
    with_three_effects(&mut cached);
    cached.directives = "store {\n  memory 4MB\n}\n".into();
    set_known_endpoints(&mut cached, |_| "active", None);
    run_script(
        &mut cached,
        &["page", "page", "page", "hold"],
        &records,
        "local cache",
    );

    let records = records.lock().unwrap();
    let text: String = records
        .iter()
        .map(|(name, lines)| format!("{name}\n{}\n", lines.join("\n")))
        .collect();
    if let Some(path) = std::env::var_os("WIRE_ORACLE_TEXT") {
        std::fs::write(path, &text).unwrap();
    }
    let hash = xxh3_64(text.as_bytes());
    assert_eq!(
        hash, RECORDED,
        "what the router writes has changed; the hash is now {hash:#018x}"
    );
}
