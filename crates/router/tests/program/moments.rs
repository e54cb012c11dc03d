//! What the operators' bench is to show later, on processes of the program: clients that leave at every
//! stage, cold servers before a fleet, restarts under load and all at once, large requests under strain.
//!
//! `make test` plays it in small; `make proof-moments` in full, with any `SEED`. The figures are of the
//! stand-ins on this machine.

use crate::deployments::wide;
use crate::support::*;
use serde_json::json;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

/// What has come to a station: when its line was read, what it asked for, and where its answer goes.
struct Come {
    at: Instant,
    id: String,
    source: String,
    to: Arc<Mutex<TcpStream>>,
}

#[derive(Default)]
struct Shared {
    come: Mutex<Vec<Come>>,
    /// Takes and reads nothing.
    hangs: AtomicBool,
    over: AtomicBool,
}

/// A server that notes what comes, and answers at once, or only when it is told to.
struct Station {
    server: FakeServer,
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

impl Station {
    fn of(server: FakeServer, answers: bool) -> Station {
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
        Station {
            server,
            shared,
            thread: Some(thread),
        }
    }

    fn come(&self) -> MutexGuard<'_, Vec<Come>> {
        self.shared.come.lock().unwrap()
    }

    fn hang(&self, hangs: bool) {
        self.shared.hangs.store(hangs, Ordering::Relaxed);
    }

    fn has(&self, id: &str) -> bool {
        self.come().iter().any(|come| come.id == id)
    }

    fn tell(&self, id: &str, word: &str) {
        let come = self.come();
        let last = come.iter().rev().find(|come| come.id == id).unwrap();
        let _ = last
            .to
            .lock()
            .unwrap()
            .write_all(format!("{id} {word} - 0\r\n\r\n").as_bytes());
    }
}

impl Drop for Station {
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
            of.come.lock().unwrap().push(Come { at, id, source, to });
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

/// Worlds whose servers are these stations.
fn world_of(mut environment: TestEnvironment, stations: &[&Station]) -> TestEnvironment {
    let entries: Vec<_> = stations.iter().map(|s| s.server.entry("active")).collect();
    environment = environment.with_known_endpoints(&entries);
    environment
}

#[derive(Clone, Copy, Debug)]
enum Leaving {
    Closes,
    CallsOff,
    Resets,
}

const LEAVINGS: [Leaving; 3] = [Leaving::Closes, Leaving::CallsOff, Leaving::Resets];

fn leave(client: &mut Option<TestClient>, how: Leaving) -> Instant {
    match how {
        Leaving::Closes => drop(client.take()),
        Leaving::CallsOff => client.as_mut().unwrap().abort(1),
        Leaving::Resets => client.take().unwrap().reset(),
    }
    Instant::now()
}

/// Clients leave at every stage of a request; how many did, and of how many something began over 0.1 s later.
fn leavings(each: usize) -> (usize, usize) {
    let (mut left, mut late) = (0, Vec::new());
    for may_cancel in [true, false] {
        let [c1, c2, p1, o1] = [
            ("c1", "cache"),
            ("c2", "cache"),
            ("p1", "parent"),
            ("o1", "origin"),
        ]
        .map(|(name, kind)| Station::of(FakeServer::new(name, kind), false));
        let all = [&c1, &c2, &p1, &o1];
        let mut environment = world_of(wide(), &all);
        let settings = &mut environment.file["settings"];
        settings["Limits"]["MayCancel"] = json!(may_cancel);
        settings["Limits"]["ConnectTimeout"] = json!(3000);
        (
            settings["Obligations"]["DrainGrace"],
            settings["FamilyInfo"]["ObeyAfter"],
        ) = (json!(3000), json!(3000));
        let router = environment.start();
        let mut check = |gone: &[(String, Instant)]| {
            left += gone.len();
            for (id, at) in gone {
                let begun = all.iter().flat_map(|s| {
                    s.come()
                        .iter()
                        .map(|c| (c.id.clone(), c.at))
                        .collect::<Vec<_>>()
                });
                late.extend(begun.filter(|(of, begun)| of == id && *begun > *at + 100 * MS));
            }
        };
        let at = |id: &str| all.into_iter().find(|station| station.has(id));
        for n in 0..each {
            let how = LEAVINGS[n % LEAVINGS.len()];
            // While its first attempt is out, and while it is being repeated: the answer would allow one
            // more.
            for attempts in [1, 2] {
                let mut client = Some(router.connect());
                let id =
                    client
                        .as_mut()
                        .unwrap()
                        .send_request(1, "catalogue-card", "t=archive", b"");
                let mut out = None;
                until("the first attempt", || {
                    out = at(&id);
                    out.is_some()
                });
                if attempts == 2 {
                    let first = out.unwrap();
                    first.tell(&id, "BUSY");
                    until("the second", || {
                        out = all
                            .into_iter()
                            .find(|s| s.server.name != first.server.name && s.has(&id));
                        out.is_some()
                    });
                }
                let gone = leave(&mut client, how);
                // The leaving is there; the answer that crosses it follows.
                if let Some(client) = &mut client {
                    assert_eq!(client.health(), "GREEN");
                } else {
                    until("the leaving", || gone.elapsed() > 20 * MS);
                }
                let before: usize = all.iter().map(|s| s.come().len()).sum();
                out.unwrap().tell(&id, "BUSY");
                until("time for one more", || gone.elapsed() > 130 * MS);
                let after: usize = all.iter().map(|s| s.come().len()).sum();
                assert_eq!(
                    before, after,
                    "one more began for a client that had left ({how:?})"
                );
                check(&[(id, gone)]);
            }
        }
        // While a connection does not come up: it does a second later, when the sender tries anew.
        o1.hang(true);
        let others = o1.server.fill_accept_queue();
        let mut queued = Vec::new();
        for n in 0..each {
            let mut client = Some(router.connect());
            let id =
                client
                    .as_mut()
                    .unwrap()
                    .send_request(1, "loan-request", "t=archive", b"later");
            assert_eq!(
                client.as_mut().unwrap().health(),
                "GREEN",
                "it has been read"
            );
            queued.push((client, id, LEAVINGS[n % LEAVINGS.len()]));
        }
        let gone = queued.into_iter().map(|(mut client, id, how)| {
            let at = leave(&mut client, how);
            (id, at)
        });
        let gone: Vec<(String, Instant)> = gone.collect();
        let last = gone.last().unwrap().1;
        until("0.3 s", || last.elapsed() > 300 * MS);
        o1.hang(false);
        drop(others);
        until("the connection", || last.elapsed() > 1600 * MS);
        check(&gone);
    }
    assert!(late.is_empty(), "{} began late: {late:?}", late.len());
    (left, late.len())
}

/// Requests at a pace of its own to one process, and what becomes of them.
struct Load {
    over: Arc<AtomicBool>,
    thread: Option<JoinHandle<(usize, HashMap<String, usize>)>>,
}

impl Load {
    /// Asks so often until it is ended, then waits for what is open.
    fn at(address: SocketAddr, every: Duration, seed: u64) -> Load {
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

    fn end(mut self) -> (usize, HashMap<String, usize>) {
        self.over.store(true, Ordering::Relaxed);
        self.thread.take().unwrap().join().unwrap()
    }
}

/// A cold cache and a cold parent before so many processes that may not talk, with uneven traffic, a quarter
/// of them killed and started anew in the middle. The greatest share of what a window allows that came in
/// one, and how much.
fn cold(processes: usize, seed: u64) -> (f64, f64, usize) {
    let (c1, c2) = (
        FakeServer::new("c1", "cache"),
        FakeServer::new("c2", "cache"),
    );
    let (p1, o1) = (
        FakeServer::new("p1", "parent"),
        FakeServer::new("o1", "origin"),
    );
    let [c1, c2, p1, o1] = [c1, c2, p1, o1].map(|server| Station::of(server, true));
    let born = unix_ms();
    let started = Instant::now();
    // At 100 KB a second 10 KB are a tenth of a second of work, and a cache bears four of those at once.
    let (work, share, multiple, window) = (0.1, 4.0, 2.0, 1.0);
    let mut chance = fastrand::Rng::with_seed(seed);
    let mut environments: Vec<TestEnvironment> = (0..processes)
        .map(|n| {
            let mut environment = world_of(TestEnvironment::new(), &[&c1, &c2, &p1, &o1]);
            let hosts = environment.file["known"]["notices"][0]["pool"]["hosts"]
                .as_array_mut()
                .unwrap();
            for host in hosts
                .iter_mut()
                .filter(|host| ["c1", "p1"].contains(&host["host"].as_str().unwrap()))
            {
                host["born_ms"] = json!(born);
            }
            environment.file["seed"] = json!(format!("{:016x}", chance.u64(..)));
            let settings = &mut environment.file["settings"];
            (settings["MyNumber"], settings["PeersTotal"]) = (json!(n), json!(processes));
            settings["FamilyInfo"]["CrewByZone"] = json!([processes]);
            settings["FamilyInfo"]["ClientKbPerS"] = json!(100);
            settings["FamilyInfo"]["ParentFloor"] = json!(0.3);
            environment
        })
        .collect();
    let mut routers: Vec<RouterProcess> = environments
        .iter_mut()
        .map(|environment| environment.spawn(""))
        .collect();
    until("all ready", || {
        routers
            .iter()
            .all(|p| p.try_connect().is_some_and(|mut c| c.health() == "GREEN"))
    });
    // A fifth of them get half of the traffic.
    let every = |n: usize| {
        if n.is_multiple_of(5) {
            25 * MS
        } else {
            100 * MS
        }
    };
    let mut loads: Vec<Load> = routers
        .iter()
        .enumerate()
        .map(|(n, p)| Load::at(p.address(), every(n), seed + n as u64))
        .collect();
    let since = Instant::now();
    until("two seconds of it", || since.elapsed() > 2000 * MS);
    let again: Vec<usize> = (0..processes).filter(|n| n % 4 == 1).collect();
    for n in &again {
        routers[*n].child.kill().unwrap();
        routers[*n].child.wait().unwrap();
        routers[*n] = environments[*n].spawn("");
    }
    until("ready again", || {
        again.iter().all(|n| {
            routers[*n]
                .try_connect()
                .is_some_and(|mut c| c.health() == "GREEN")
        })
    });
    for n in again {
        let load = Load::at(routers[n].address(), every(n), seed + 1000 + n as u64);
        drop(std::mem::replace(&mut loads[n], load).end());
    }
    let since = Instant::now();
    until("two seconds more", || since.elapsed() > 2500 * MS);
    let asked: usize = loads.into_iter().map(|load| load.end().0).sum();
    assert!(asked > processes * 30, "{asked}");
    let used = |times: Vec<Instant>, ramp: f64, floor: f64| {
        let mut worst = 0.0_f64;
        for first in &times {
            let end = *first + Duration::from_secs_f64(window);
            let come = times.iter().filter(|at| *at >= first && **at < end).count();
            // What it bears at the beginning of the window, the least of it.
            let age = first.duration_since(started).as_secs_f64();
            let present = share * (floor + (1.0 - floor) * (age / ramp).min(1.0));
            let n = multiple * present * window / work;
            worst = worst.max(come as f64 / (n + 2.0 * n.sqrt() + 2.0));
        }
        worst
    };
    let at_cache = used(c1.come().iter().map(|come| come.at).collect(), 17.0, 0.3);
    let fills = [&c1, &c2].into_iter().flat_map(|station| {
        station
            .come()
            .iter()
            .filter(|come| come.source == "p1")
            .map(|come| come.at)
            .collect::<Vec<_>>()
    });
    let mut fills: Vec<Instant> = fills.chain(p1.come().iter().map(|come| come.at)).collect();
    fills.sort();
    (at_cache, used(fills, 20.0, 0.3), asked)
}

/// All started at once, their discovery services down for so long at first and then slow to speak, while idle
/// clients come back to each. How long until ready: half of them, nine in ten, the last.
fn all_at_once(processes: usize, down: Duration, clients: usize) -> [Duration; 3] {
    let mut environments: Vec<TestEnvironment> =
        (0..processes).map(|_| TestEnvironment::new()).collect();
    let discoveries: Vec<SocketAddr> = environments
        .iter_mut()
        .map(|environment| {
            let at = unused_address();
            environment.file["board"] = json!(at.to_string());
            at
        })
        .collect();
    let begun = Instant::now();
    let routers: Vec<RouterProcess> = environments
        .iter_mut()
        .map(|environment| environment.spawn("ulimit -n 128;"))
        .collect();
    let crowds: Vec<IdleClients> = routers
        .iter()
        .map(|p| IdleClients::connect(clients, p.address(), true))
        .collect();
    let mut ready = vec![None; processes];
    until("all ready", || {
        for (router, ready) in routers
            .iter()
            .zip(&mut ready)
            .filter(|(_, ready)| ready.is_none())
        {
            if router
                .try_connect()
                .and_then(|mut client| client.try_health())
                .is_some_and(|word| word == "GREEN")
            {
                *ready = Some(begun.elapsed());
            }
        }
        ready.iter().all(Option::is_some)
    });
    let mut ready: Vec<Duration> = ready.into_iter().flatten().collect();
    ready.sort();
    // And each follows its discovery service within a second of its return.
    while begun.elapsed() < down {
        sleep(MS);
    }
    let back = Instant::now();
    let discoveries: Vec<TcpListener> = discoveries
        .into_iter()
        .map(|at| TcpListener::bind(at).unwrap())
        .collect();
    for discovery in &discoveries {
        discovery.set_nonblocking(true).unwrap();
    }
    let mut followed = vec![false; processes];
    until("all discovery services followed", || {
        for (discovery, followed) in discoveries
            .iter()
            .zip(&mut followed)
            .filter(|(_, followed)| !**followed)
        {
            *followed = discovery.accept().is_ok();
        }
        followed.iter().all(|followed| *followed)
    });
    assert!(
        back.elapsed() < 1000 * MS,
        "followed {:?} after their return",
        back.elapsed()
    );
    drop(crowds);
    [
        ready[processes / 2],
        ready[processes * 9 / 10],
        ready[processes - 1],
    ]
}

/// Stopped in order and started anew, so often, under load: new connections come for 0.3 s after the signal,
/// requests on open ones for 0.2 s more. How many were asked, and how many got no final answer.
fn restarts(times: usize, seed: u64) -> (usize, usize) {
    let station = |name, kind| Station::of(FakeServer::new(name, kind), true);
    let (c1, p1, o1) = (
        station("c1", "cache"),
        station("p1", "parent"),
        station("o1", "origin"),
    );
    let mut environment = world_of(TestEnvironment::new(), &[&c1, &p1, &o1]);
    let (mut asked, mut lost) = (0, 0);
    for n in 0..times {
        let mut router = environment.start();
        let of = |k: u64| Load::at(router.address(), 4 * MS, seed + 100 * n as u64 + k);
        let mut loads: Vec<Load> = (0..3).map(of).collect();
        let mut resting = router.connect();
        assert_eq!(resting.health(), "GREEN");
        let since = Instant::now();
        until("some load", || since.elapsed() > 200 * MS);
        router.terminate();
        let told = Instant::now();
        until("new ones come", || told.elapsed() > 150 * MS);
        loads.push(of(9));
        until("the last on open ones", || told.elapsed() > 500 * MS);
        for load in loads {
            let (of_it, words) = load.end();
            asked += of_it;
            lost += of_it
                - words
                    .iter()
                    .filter(|(word, _)| *word != "lost")
                    .map(|(_, n)| n)
                    .sum::<usize>();
        }
        assert!(resting.is_closed_in_order(), "one that rested was reset");
        let RouterExit { status, log } = router.wait_for_exit();
        assert!(status.success() && told.elapsed() < 3700 * MS, "{log}");
    }
    (asked, lost)
}

/// What a day is short of.
#[derive(Clone, Copy, PartialEq)]
enum Short {
    Nothing,
    /// Memory, at the door.
    Memory,
    /// Pace of fills: all share one link in turn, and are soon late.
    Pace,
}

/// One class's requests of all sizes, twenty at once: of the largest tenth, how many are answered, and of
/// all.
fn sizes(asked: usize, short: Short, seed: u64) -> (f64, f64) {
    let server = FakeServer::new("c1", "cache");
    let listener = server.listener.try_clone().unwrap();
    let o1 = FakeServer::new("o1", "origin");
    let mut environment = TestEnvironment::new();
    let entries = [server.entry("active"), o1.entry("active")];
    environment = environment.with_known_endpoints(&entries);
    environment.file["limits"]["memory_mb"] = json!(if short == Short::Memory { 2 } else { 64 });
    environment.file["settings"]["Classes"][0]["Aim"] =
        json!(if short == Short::Pace { 150 } else { 3000 });
    environment.file["settings"]["FamilyInfo"]["ClientKbPerS"] = json!(4000);
    let router = environment.start();
    // It answers each after its sending time, so that large ones are longer out; or one after the other.
    let free = (short == Short::Pace).then(|| Arc::new(Mutex::new(Instant::now())));
    let over: Arc<AtomicBool> = Arc::default();
    let told = over.clone();
    let serving = spawn(move || {
        listener.set_nonblocking(true).unwrap();
        let mut threads = Vec::new();
        while !told.load(Ordering::Relaxed) {
            let Ok((stream, _)) = listener.accept() else {
                sleep(MS);
                continue;
            };
            let (told, free) = (told.clone(), free.clone());
            threads.push(spawn(move || send_by_size(stream, &told, free.as_deref())));
        }
        threads.into_iter().for_each(|thread| drop(thread.join()));
    });
    let mut chance = fastrand::Rng::with_seed(seed);
    let mut clients: Vec<TestClient> = (0..20).map(|_| router.connect()).collect();
    let mut sizes: Vec<u64> = (0..asked)
        .map(|_| 4 + (chance.f64().powi(3) * 236.0) as u64)
        .collect();
    let (mut answers, per) = (Vec::new(), asked / clients.len());
    for round in 0..per {
        for (c, client) in clients.iter_mut().enumerate() {
            let kb = sizes[round * 20 + c];
            let (id, object) = (chance.u64(..), kb * 1000 + c as u64);
            let fields = format!("i={id:016x},o={object:016x},lot=1,m={kb},d=3000");
            client.send(&[
                b"REQ",
                (round + 1).to_string().as_bytes(),
                b"page",
                fields.as_bytes(),
                b"",
            ]);
        }
        for (c, client) in clients.iter_mut().enumerate() {
            answers.push((sizes[round * 20 + c], client.read_answer_word() == "ACK"));
        }
    }
    over.store(true, Ordering::Relaxed);
    drop((clients, router));
    serving.join().unwrap();
    sizes.sort();
    let large = sizes[asked - asked / 10];
    let share = |of: &dyn Fn(u64) -> bool| {
        let of: Vec<bool> = answers
            .iter()
            .filter(|(kb, _)| of(*kb))
            .map(|(_, answered)| *answered)
            .collect();
        of.iter().filter(|answered| **answered).count() as f64 / of.len() as f64
    };
    (share(&|kb| kb >= large), share(&|_| true))
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

/// Small, or as the operators ask for it.
fn whole() -> bool {
    std::env::var("MOMENTS").is_ok_and(|size| size == "whole")
}

fn seed() -> u64 {
    std::env::var("SEED")
        .ok()
        .and_then(|seed| seed.parse().ok())
        .unwrap_or(1)
}

#[test]
fn operational_scenarios_keep_their_bounds() {
    let (whole, seed) = (whole(), seed());
    let (left, late) = leavings(if whole { 36 } else { 5 });
    let fleets: Vec<usize> = if whole { vec![20, 30] } else { vec![12] };
    let (mut at_cache, mut at_parent) = (0.0_f64, 0.0_f64);
    for processes in &fleets {
        let (cache, parent, _) = cold(*processes, seed);
        assert!(
            cache <= 1.0 && parent <= 1.0,
            "of what cold servers bear: {cache:.2}, {parent:.2}"
        );
        assert!(
            cache > 0.1,
            "hardly anything was sent to a cold cache: {cache:.2}"
        );
        (at_cache, at_parent) = (at_cache.max(cache), at_parent.max(parent));
    }
    let (at_once, down) = if whole {
        (30, 8000 * MS)
    } else {
        (8, 1000 * MS)
    };
    let [half, nine, last] = all_at_once(at_once, down, if whole { 100 } else { 30 });
    assert!(
        nine < 10_000 * MS && last < 30_000 * MS,
        "{nine:?} {last:?}"
    );
    let (asked, lost) = restarts(if whole { 10 } else { 2 }, seed);
    assert_eq!(lost, 0, "of {asked}");
    let requests = if whole { 4000 } else { 1000 };
    let (quiet_large, quiet) = sizes(requests, Short::Nothing, seed);
    assert!(quiet > 0.95, "a quiet day answers nearly all: {quiet:.2}");
    assert!(
        quiet_large >= quiet * 2.0 / 3.0,
        "quiet: {quiet_large:.2} of the largest, {quiet:.2} of all"
    );
    let strained = [Short::Memory, Short::Pace].map(|short| sizes(requests, short, seed));
    for (large, all) in strained {
        assert!(
            (0.1..0.95).contains(&all),
            "no strain that it can work under: {strained:.2?}"
        );
        assert!(large >= all / 2.0, "largest and all: {strained:.2?}");
    }
    let [(memory_large, memory), (pace_large, pace)] = strained;
    println!(
        "proof-moments: ok seed={seed} leavings={left} late={late} cold_processes={fleets:?} \
        cold_cache={at_cache:.3} cold_parent={at_parent:.3} ready_processes={at_once} \
        ready_p50_ms={} ready_p90_ms={} ready_last_ms={} restarts_asked={asked} \
        restarts_lost={lost} quiet_largest={quiet_large:.3} quiet_all={quiet:.3} \
        memory_largest={memory_large:.3} memory_all={memory:.3} pace_largest={pace_large:.3} \
        pace_all={pace:.3}",
        half.as_millis(),
        nine.as_millis(),
        last.as_millis(),
    );
}
