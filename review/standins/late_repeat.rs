//! A request that carries a mark against repeats is repeated only while the repeat is dropped: the connection
//! of its first attempt is reset late, and the cache server of the second one stands still meanwhile.

#[path = "common.rs"]
mod common;

use common::*;
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// The window of the class, for which repeats are dropped.
const WINDOW_MS: f64 = 1_000.0;
/// "Each time limit is 50 ms longer".
const SLACK_MS: f64 = 50.0;
const DEADLINE_MS: u64 = 3_000;
/// The largest body of a write.
const BODY_BYTES: usize = 48_000;
/// After the request came to the first cache server: when the second one stands still, when other writes
/// come, when the connection is reset, and when the second one goes on.
const STILL_AT_MS: f64 = 860.0;
const WRITES_AT_MS: f64 = 880.0;
const RESET_AT_MS: f64 = 930.0;
const GOES_ON_AT_MS: f64 = 1_130.0;

/// The origin: runs each request, and drops a repeat for the window.
#[derive(Default)]
struct Origin {
    /// When a request ran first, and how often it has run.
    runs: HashMap<String, (f64, u32)>,
}

impl Origin {
    fn execute(&mut self, id: &str, now: f64) -> u32 {
        let (first, runs) = self.runs.entry(id.to_owned()).or_insert((now, 0));
        if *runs == 0 || now > *first + WINDOW_MS + SLACK_MS {
            *runs += 1;
        }
        *runs
    }
}

#[derive(Clone)]
struct World {
    record: Record,
    origin: Arc<Mutex<Origin>>,
    /// Which cache server got a request, in order, and when it had come whole.
    got: Arc<Mutex<Vec<(String, &'static str, f64, u64)>>>,
    /// The request whose connection is to be reset.
    victim: Arc<Mutex<String>>,
    /// The cache server that stands still.
    still: Arc<Mutex<&'static str>>,
    reset_now: Arc<AtomicBool>,
}

fn serve(listener: TcpListener, name: &'static str, world: World) {
    for stream in listener.incoming().flatten() {
        let world = world.clone();
        std::thread::spawn(move || serve_connection(stream, name, &world));
    }
}

fn serve_connection(stream: TcpStream, name: &'static str, world: &World) {
    let _ = stream.set_nodelay(true);
    let mut writer = stream.try_clone().unwrap();
    let mut reader = BufReader::with_capacity(4096, stream);
    loop {
        // A server that stands still does not read; what its machine has received waits in the buffer.
        if reader.buffer().is_empty() {
            wait_for_data(&reader);
        }
        while *world.still.lock().unwrap() == name {
            std::thread::sleep(ms(1));
        }
        let Some(ask) = read_ask(&mut reader) else {
            return;
        };
        let now = world.record.now();
        world.record.line(&format!("{name} got: {}", ask.line));
        if ask.is_quit {
            continue;
        }
        let runs = world.origin.lock().unwrap().execute(&ask.id, now);
        world
            .got
            .lock()
            .unwrap()
            .push((ask.id.clone(), name, now, ask.number("limit")));
        world.record.line(&format!(
            "o1 was asked by {name} to run {}: it has run {runs} times",
            ask.id
        ));
        let is_first = world
            .got
            .lock()
            .unwrap()
            .iter()
            .filter(|got| got.0 == ask.id)
            .count()
            == 1;
        if trouble() && is_first && *world.victim.lock().unwrap() == ask.id {
            while !world.reset_now.load(Ordering::SeqCst) {
                std::thread::sleep(ms(1));
            }
            world
                .record
                .line(&format!("{name} resets the connection under {}", ask.id));
            drop(reader);
            return reset(writer);
        }
        let answer = answer_bytes(
            &ask.id,
            "OK",
            &format!("tell=via_origin,made={}", unix_ms()),
            b"done",
        );
        if writer.write_all(&answer).is_err() {
            return;
        }
    }
}

fn wait_for_data(reader: &BufReader<TcpStream>) {
    let _ = reader.get_ref().peek(&mut [0]);
}

/// Sends a write on a new connection, and records its answer as it comes.
fn send_write(
    address: SocketAddr,
    record: &Record,
    id: &str,
    object: &str,
    body: &[u8],
) -> std::thread::JoinHandle<String> {
    let fields = format!("i={id},d={DEADLINE_MS},o={object},lot=7,m=9,k={id}");
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_nodelay(true).unwrap();
    stream
        .set_read_timeout(Some(ms(DEADLINE_MS + 1000)))
        .unwrap();
    stream
        .write_all(&array(&[b"REQ", b"1", b"confirm", fields.as_bytes(), body]))
        .unwrap();
    record.line(&format!(
        "client sent: confirm {fields}, {} bytes",
        body.len()
    ));
    let (record, id) = (record.clone(), id.to_owned());
    std::thread::spawn(move || {
        let parts = read_array(&mut BufReader::new(stream)).unwrap_or_default();
        let word = parts.get(1).map_or("(none)".into(), |word| {
            String::from_utf8_lossy(word).into_owned()
        });
        record.line(&format!("client got for {id}: {word}"));
        word
    })
}

fn wait_until(record: &Record, at: f64) {
    while record.now() < at {
        std::thread::sleep(ms(1));
    }
}

fn main() {
    guard();
    let (root, folder) = (root(), case_folder());
    let record = Record::create(&folder.join("record.txt"));
    let temporary = TempDir::new("late-repeat");
    let board = Board::start(1, &record);
    let world = World {
        record: record.clone(),
        origin: Arc::default(),
        got: Arc::default(),
        victim: Arc::default(),
        still: Arc::default(),
        reset_now: Arc::default(),
    };
    let mut hosts = Vec::new();
    for (name, class, block) in [
        ("c1", "cache", 0),
        ("c2", "cache", 0),
        ("p1", "parent", 1),
        ("o1", "origin", 2),
    ] {
        let listener = listen();
        set_receive_buffer(&listener, 4096);
        set_segment_size(&listener, 1460);
        hosts.push(host(name, listener.local_addr().unwrap(), class, block));
        let world = world.clone();
        std::thread::spawn(move || serve(listener, name, world));
    }
    let example = example_configuration(&root, &hosts, board.address);
    // A class with a mark against repeats and a short window, and a deployment whose requests go to caches only.
    let configuration = replace(
        &example,
        "\"Effect\": \"side_effect\", \"Group\": \"all\", \"Window\": 5000",
        "\"Effect\": \"token\", \"Group\": \"all\", \"Window\": 1000",
    );
    let configuration = replace(
        &configuration,
        "\"PassThroughOk\": true",
        "\"PassThroughOk\": false",
    );
    let router = Router::start(&root, &temporary.0, "n1", free_address(), &configuration);
    record.line("the router answers GREEN");
    std::thread::sleep(ms(1500));

    // Small writes show which cache server the router prefers for which object.
    let mut objects: HashMap<&str, Vec<String>> = HashMap::new();
    for n in 0..16 {
        let (id, object) = (hex_id(100 + n), hex_id(200 + n));
        if send_write(router.address, &record, &id, &object, b"small")
            .join()
            .unwrap()
            != "ACK"
        {
            cannot_run("a write was not served before the disruption");
        }
        let got = world.got.lock().unwrap();
        let cache = got
            .iter()
            .find(|got| got.0 == id)
            .map(|got| got.1)
            .unwrap_or_else(|| cannot_run("not sent"));
        objects.entry(cache).or_default().push(object);
    }
    let first = objects
        .get("c1")
        .and_then(|objects| objects.first())
        .cloned();
    let others: Vec<String> = objects
        .get("c2")
        .map(|objects| objects.iter().take(4).cloned().collect())
        .unwrap_or_default();
    let Some(first) = first.filter(|_| others.len() == 4) else {
        cannot_run("no object for each cache server")
    };

    let id = hex_id(1);
    *world.victim.lock().unwrap() = id.clone();
    let answer = send_write(router.address, &record, &id, &first, b"order");
    let mut came_at = 0.0;
    while came_at == 0.0 {
        std::thread::sleep(ms(1));
        came_at = world
            .got
            .lock()
            .unwrap()
            .iter()
            .find(|got| got.0 == id)
            .map_or(0.0, |got| got.2);
    }
    wait_until(&record, came_at + STILL_AT_MS);
    if trouble() {
        *world.still.lock().unwrap() = "c2";
        record.line("c2 stands still");
    }
    wait_until(&record, came_at + WRITES_AT_MS);
    let body = vec![b'x'; BODY_BYTES];
    let writes: Vec<_> = others
        .iter()
        .enumerate()
        .map(|(n, object)| {
            send_write(
                router.address,
                &record,
                &hex_id(10 + n as u64),
                object,
                &body,
            )
        })
        .collect();
    wait_until(&record, came_at + RESET_AT_MS);
    world.reset_now.store(true, Ordering::SeqCst);
    wait_until(&record, came_at + GOES_ON_AT_MS);
    if trouble() {
        *world.still.lock().unwrap() = "";
        record.line("c2 goes on");
    }
    let word = answer.join().unwrap();
    for write in writes {
        write.join().unwrap();
    }
    std::thread::sleep(ms(300));
    drop(router);
    drop(temporary);
    let runs = world
        .origin
        .lock()
        .unwrap()
        .runs
        .get(&id)
        .map_or(0, |(_, runs)| *runs);
    let got = world.got.lock().unwrap();
    let mut late = 0;
    for (_, name, at, limit) in got.iter().filter(|got| got.0 == id).skip(1) {
        // The line tells the time that was left as its first byte was written.
        let written = DEADLINE_MS.saturating_sub(*limit);
        record.say(&format!(
            "repeat of {id}: it came to {name} {:.0} ms after the first attempt, and its line was written about {written} ms after the request",
            at - came_at
        ));
        late +=
            u32::from(at - came_at > WINDOW_MS + SLACK_MS && written as f64 > WINDOW_MS + SLACK_MS);
    }
    record.say(&format!(
        "{id}: run {runs} times, answered {word}; repeats sent after the window: {late}"
    ));
    end(if late > 0 { BROKEN } else { HELD })
}
