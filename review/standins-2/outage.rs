//! A purge while discovery is down, and the copies that the router itself keeps.

use crate::rig::*;
use crate::settings::SETTINGS;
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

const OBJECT: &str = "7f3a9c21e0b4d655";
/// The grace of a purge, and the slack of each limit.
const OBEY_AFTER_MS: u64 = 500;
const SLACK_MS: u64 = 50;
/// How long after a break what the board would have told counts as told.
const TOLD_AFTER_BREAK_MS: u64 = 2000;

/// The object at the origin: each purge makes a new version of it. Servers drop a purged copy at
/// once.
struct Origin {
    version: u64,
    changed_at_ms: u64,
}

pub fn run(case: &Case) -> ! {
    let board = Board::start(1);
    let origin = Arc::new(Mutex::new(Origin { version: 1, changed_at_ms: 0 }));
    let start = |name: &str| {
        let origin = origin.clone();
        Server::start(name, move |ask, reply| {
            let version = origin.lock().unwrap().version;
            let made = unix_ms();
            record(&format!("{}: ASK {} maxage={:?} -> version {version}, made {made}", ask.server, ask.id, ask.max_age()));
            let fields = format!("tell=filled,ttfb=1.5,etag={version:016x},made={made}");
            reply.send("OK", &fields, format!("version {version}").as_bytes());
        })
    };
    let (c1, c2, p1, o1) = (start("c1"), start("c2"), start("p1"), start("o1"));
    let known = vec![pool(1, true, &[
        host("c1", c1.address, "box", "active", 4.0, 0),
        host("c2", c2.address, "box", "active", 4.0, 0),
        host("p1", p1.address, "parent", "active", 4.0, 0),
        host("o1", o1.address, "origin", "active", 4.0, 0),
    ])];
    let router = Router::start(case, &RouterConfig::new("n1", &board, known, SETTINGS));
    sleep(ms(2500));
    let client = Client::connect(router.listen).expect("a connection");
    // Asks for the object; the time at which the request was written, and the answer's body.
    let ask = || {
        let id = new_id();
        let written_at = unix_ms();
        let fields = format!("i={id},d=4000,o={OBJECT},piece=0,lot=17,m=9");
        let tag = client.request("video", &fields, b"");
        let answer = client.wait(tag, Duration::from_secs(5));
        let text = answer.map_or("no answer".to_owned(), |a| format!("{} {}", a.word, String::from_utf8_lossy(&a.body)));
        record(&format!("client: i={id} written {written_at} -> {text}"));
        (written_at, text)
    };
    let broke_at_ms = unix_ms();
    let begin = Instant::now();
    if case.trouble {
        board.break_off();
    }
    // The object is asked for all the time.
    let mut answers = Vec::new();
    let mut purge = None;
    while begin.elapsed() < ms(6000) {
        if purge.is_none() && begin.elapsed() >= ms(2400) {
            let mut origin = origin.lock().unwrap();
            origin.version = 2;
            origin.changed_at_ms = unix_ms();
            purge = Some(origin.changed_at_ms);
            drop(origin);
            board.add(&format!("\"flush\":{{\"asset\":\"{OBJECT}\",\"ms\":{}}}", purge.unwrap()));
        }
        answers.push(ask());
        sleep(ms(100));
    }
    if case.trouble {
        board.come_back();
        sleep(ms(1000));
        answers.push(ask());
    }
    let purged_at_ms = purge.unwrap_or(0);
    let told_at_ms = if case.trouble { purged_at_ms.max(broke_at_ms + TOLD_AFTER_BREAK_MS) } else { purged_at_ms };
    let from_ms = told_at_ms + OBEY_AFTER_MS + SLACK_MS;
    record(&format!("break {broke_at_ms}, purge {purged_at_ms}, told {told_at_ms}, in force from {from_ms}"));
    if answers.iter().any(|(_, text)| text == "no answer") {
        finish(COULD_NOT_RUN, "a request had no answer");
    }
    let old: Vec<_> = answers.iter().filter(|(at, text)| *at > from_ms && text.ends_with("version 1")).collect();
    if let Some((last, _)) = old.last() {
        let late = last - told_at_ms;
        finish(BROKEN, &format!("{} requests were answered from a copy older than the purge, the last one written {late} ms after it was told", old.len()));
    }
    finish(HELD, "no request was answered from a copy older than the purge")
}
