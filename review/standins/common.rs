//! Shared parts of the stand-ins: the record, discovery, cache servers, clients and the router process.
//! Standard library only.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

/// The processes that were started and have not been waited for.
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// The temporary folders that were made.
static FOLDERS: Mutex<Vec<PathBuf>> = Mutex::new(Vec::new());

/// Kills the processes that were started, removes the temporary folders and ends this process.
pub fn end(code: i32) -> ! {
    for process in std::mem::take(&mut *CHILDREN.lock().unwrap_or_else(|e| e.into_inner())) {
        let _ = Command::new("kill")
            .args(["-9", &process.to_string()])
            .status();
    }
    for folder in std::mem::take(&mut *FOLDERS.lock().unwrap_or_else(|e| e.into_inner())) {
        let _ = std::fs::remove_dir_all(folder);
    }
    std::process::exit(code)
}

/// Ends with "could not run".
pub fn cannot_run(why: &str) -> ! {
    eprintln!("could not run: {why}");
    end(COULD_NOT_RUN)
}

/// A failed stand-in or one that takes too long ends the run.
pub fn guard() {
    std::panic::set_hook(Box::new(|info| cannot_run(&format!("{info}"))));
    std::thread::spawn(|| {
        std::thread::sleep(Duration::from_secs(110));
        cannot_run("not finished within 110 s");
    });
}

/// The root of the repository, from the place of this program: `review/bin/NAME`.
pub fn root() -> PathBuf {
    let program = std::env::current_exe().unwrap_or_else(|e| cannot_run(&format!("{e}")));
    program
        .ancestors()
        .nth(3)
        .unwrap_or_else(|| cannot_run("no root"))
        .to_owned()
}

/// The folder of the case, the argument of the program.
pub fn case_folder() -> PathBuf {
    PathBuf::from(
        std::env::args()
            .nth(1)
            .unwrap_or_else(|| cannot_run("usage: PROGRAM FOLDER")),
    )
}

/// The configuration of `docs/example.json` with another list of servers and address of discovery.
pub fn example_configuration(root: &Path, hosts: &[String], board: SocketAddr) -> String {
    let example = std::fs::read_to_string(root.join("docs/example.json"));
    let example = example.unwrap_or_else(|e| cannot_run(&format!("docs/example.json: {e}")));
    let begin = example
        .find("\"hosts\": [")
        .unwrap_or_else(|| cannot_run("no list"))
        + 10;
    let end = begin
        + example[begin..]
            .find(']')
            .unwrap_or_else(|| cannot_run("no list"));
    let (before, after) = (&example[..begin], &example[end..]);
    format!("{before}{}{after}", hosts.join(",")).replace("127.0.0.1:9092", &board.to_string())
}

/// Replaces text that must occur in a configuration.
pub fn replace(text: &str, from: &str, to: &str) -> String {
    if !text.contains(from) {
        cannot_run(&format!("docs/example.json has no {from}"));
    }
    text.replacen(from, to, 1)
}

/// `TROUBLE=0` leaves the disruption out.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The record of what was sent, answered and run. Times are milliseconds since its start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).unwrap_or_else(|e| cannot_run(&format!("{path:?}: {e}")));
        Record {
            file: Arc::new(Mutex::new(file)),
            start: Instant::now(),
        }
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1e3
    }

    pub fn line(&self, text: &str) {
        let now = self.now();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{now:10.1} ms  {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// A temporary folder that is removed when dropped.
pub struct TempDir(pub PathBuf);

impl TempDir {
    pub fn new(name: &str) -> TempDir {
        let path = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap_or_else(|e| cannot_run(&format!("{path:?}: {e}")));
        FOLDERS.lock().unwrap().push(path.clone());
        TempDir(path)
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

pub fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&format!("listen: {e}")))
}

/// An address that is free now.
pub fn free_address() -> SocketAddr {
    listen().local_addr().unwrap()
}

// ---- Discovery (the notice board)

/// Tells numbered events, and each second the last number alone. While it is down, it has no open
/// connection and refuses new ones; events still enter it.
#[derive(Clone)]
pub struct Board {
    pub address: SocketAddr,
    events: Arc<Mutex<Vec<(u64, String)>>>,
    last: Arc<AtomicU64>,
    is_down: Arc<AtomicBool>,
}

impl Board {
    /// Starts with the events up to `last` known to the routers from their configuration.
    pub fn start(last: u64, record: &Record) -> Board {
        let listener = listen();
        let board = Board {
            address: listener.local_addr().unwrap(),
            events: Arc::default(),
            last: Arc::new(AtomicU64::new(last)),
            is_down: Arc::default(),
        };
        let (shared, record) = (board.clone(), record.clone());
        std::thread::spawn(move || shared.accept(listener, record));
        board
    }

    fn accept(&self, listener: TcpListener, record: Record) {
        let mut listener = Some(listener);
        loop {
            if self.is_down.load(Ordering::SeqCst) {
                listener = None;
            } else if listener.is_none() {
                listener = TcpListener::bind(self.address).ok();
            }
            if let Some(listener) = &listener {
                let _ = listener.set_nonblocking(true);
                if let Ok((stream, _)) = listener.accept() {
                    let _ = stream.set_nonblocking(false);
                    let (board, record) = (self.clone(), record.clone());
                    std::thread::spawn(move || board.serve(stream, &record));
                    continue;
                }
            }
            std::thread::sleep(ms(2));
        }
    }

    fn serve(&self, stream: TcpStream, record: &Record) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        record.line(&format!("notice board got: {}", line.trim()));
        let mut told: u64 = line.trim().strip_prefix("watch ")?.parse().ok()?;
        let mut writer = stream;
        let mut beat_at = Instant::now();
        while !self.is_down.load(Ordering::SeqCst) {
            let new: Vec<(u64, String)> = {
                let events = self.events.lock().unwrap();
                events
                    .iter()
                    .filter(|(rev, _)| *rev > told)
                    .cloned()
                    .collect()
            };
            for (rev, event) in new {
                writer.write_all(format!("{event}\n").as_bytes()).ok()?;
                record.line(&format!("notice board told: {event}"));
                told = rev;
            }
            if Instant::now() >= beat_at {
                let last = self.last.load(Ordering::SeqCst);
                writer.write_all(format!("{last}\n").as_bytes()).ok()?;
                beat_at = Instant::now() + ms(1000);
            }
            std::thread::sleep(ms(2));
        }
        let _ = writer.shutdown(std::net::Shutdown::Both);
        Some(())
    }

    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::SeqCst);
    }

    /// Enters an event; `body` is the part after the number, as in `"flush":{...}`.
    pub fn enter(&self, body: &str) -> String {
        let mut events = self.events.lock().unwrap();
        let rev = self.last.load(Ordering::SeqCst) + 1;
        let event = format!("{{\"rev\":{rev},{body}}}");
        events.push((rev, event.clone()));
        self.last.store(rev, Ordering::SeqCst);
        event
    }
}

// ---- Servers

/// A request line of a router: `ASK ID FIELDS LENGTH` with its body, or `QUIT ID`.
#[derive(Clone, Debug, Default)]
pub struct Ask {
    pub is_quit: bool,
    pub id: String,
    pub fields: HashMap<String, String>,
    pub line: String,
    pub body_length: usize,
}

impl Ask {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    pub fn number(&self, name: &str) -> u64 {
        self.field(name).parse().unwrap_or(0)
    }
}

/// Reads the next command of a router completely, `None` at the end of the connection.
pub fn read_ask(reader: &mut impl BufRead) -> Option<Ask> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 || !line.ends_with('\n') {
        return None;
    }
    let line = line.trim_end().to_owned();
    let words: Vec<&str> = line.split(' ').collect();
    if words[0] == "QUIT" && words.len() == 2 {
        return Some(Ask {
            is_quit: true,
            id: words[1].into(),
            line: line.clone(),
            ..Ask::default()
        });
    }
    if words[0] != "ASK" || words.len() != 4 {
        cannot_run(&format!("a router sent an unexpected line: {line}"));
    }
    let body_length: usize = words[3].parse().ok()?;
    let mut body = vec![0; body_length + 2];
    reader.read_exact(&mut body).ok()?;
    let fields = words[2]
        .split(',')
        .filter_map(|field| field.split_once('='));
    Some(Ask {
        is_quit: false,
        id: words[1].into(),
        fields: fields
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .collect(),
        body_length,
        line: line.clone(),
    })
}

pub fn answer_bytes(id: &str, word: &str, fields: &str, body: &[u8]) -> Vec<u8> {
    let mut answer = format!("{id} {word} {fields} {}\r\n", body.len()).into_bytes();
    answer.extend_from_slice(body);
    answer.extend_from_slice(b"\r\n");
    answer
}

// ---- Clients

/// Encodes a RESP array of bulk strings.
pub fn array(parts: &[&[u8]]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", parts.len()).into_bytes();
    for part in parts {
        bytes.extend_from_slice(format!("${}\r\n", part.len()).as_bytes());
        bytes.extend_from_slice(part);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes
}

/// Reads a RESP array of bulk strings, `None` at the end of the connection.
pub fn read_array(reader: &mut impl BufRead) -> Option<Vec<Vec<u8>>> {
    let length = |reader: &mut dyn BufRead, mark: char| -> Option<usize> {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        line.trim_end().strip_prefix(mark)?.parse().ok()
    };
    let count = length(reader, '*')?;
    let mut parts = Vec::with_capacity(count);
    for _ in 0..count {
        let mut part = vec![0; length(reader, '$')? + 2];
        reader.read_exact(&mut part).ok()?;
        part.truncate(part.len() - 2);
        parts.push(part);
    }
    Some(parts)
}

/// 16 hex digits from a number, scattered.
pub fn hex_id(n: u64) -> String {
    format!(
        "{:016x}",
        n.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x5bd1_e995_c0de_f00d
    )
}

// ---- The router

/// A router process, started with the command of the deploy file.
pub struct Router {
    pub child: Child,
    pub address: SocketAddr,
}

/// The value of `run` in the deploy file.
fn run_command(root: &Path) -> String {
    let path = root.join("deploy/balancer.toml");
    let text =
        std::fs::read_to_string(&path).unwrap_or_else(|e| cannot_run(&format!("{path:?}: {e}")));
    let line = text.lines().find(|line| line.starts_with("run = \""));
    let command = line.and_then(|line| line.split('"').nth(1));
    command
        .unwrap_or_else(|| cannot_run("no run command in the deploy file"))
        .to_owned()
}

impl Router {
    /// Starts a router with this configuration and waits until it answers GREEN.
    pub fn start(
        root: &Path,
        folder: &Path,
        name: &str,
        address: SocketAddr,
        configuration: &str,
    ) -> Router {
        let file = folder.join(format!("{name}.json"));
        std::fs::write(&file, configuration).unwrap();
        let log = File::create(folder.join(format!("{name}.log"))).unwrap();
        let child = Command::new("/bin/sh")
            .args(["-c", &run_command(root)])
            .current_dir(root)
            .env("ROUTER_CONFIG", &file)
            .env("ROUTER_NAME", name)
            .env("ROUTER_LISTEN", address.to_string())
            .env("TMPDIR", folder)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|e| cannot_run(&format!("router: {e}")));
        CHILDREN.lock().unwrap().push(child.id());
        let router = Router { child, address };
        let until = Instant::now() + ms(10_000);
        while router.health().as_deref() != Some("GREEN") {
            if Instant::now() > until {
                cannot_run("the router did not answer GREEN");
            }
            std::thread::sleep(ms(20));
        }
        router
    }

    pub fn health(&self) -> Option<String> {
        let mut stream = TcpStream::connect_timeout(&self.address, ms(500)).ok()?;
        stream.set_read_timeout(Some(ms(2000))).ok()?;
        stream.write_all(&array(&[b"HEALTH", b"1"])).ok()?;
        let parts = read_array(&mut BufReader::new(stream))?;
        String::from_utf8(parts.get(1)?.clone()).ok()
    }

    /// Resident memory in bytes; 0 once the process has ended.
    pub fn resident(&self) -> u64 {
        let text =
            std::fs::read_to_string(format!("/proc/{}/statm", self.child.id())).unwrap_or_default();
        let pages = text
            .split(' ')
            .nth(1)
            .and_then(|pages| pages.parse::<u64>().ok());
        pages.unwrap_or(0) * 4096
    }

    pub fn signal(&self, signal: &str) {
        let _ = Command::new("kill")
            .args([signal, &self.child.id().to_string()])
            .status();
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        CHILDREN.lock().unwrap().retain(|id| *id != self.child.id());
    }
}

/// An entry of the list of cache servers.
pub fn host(name: &str, address: SocketAddr, class: &str, block: u32) -> String {
    format!(
        "{{\"host\":\"{name}\",\"dial\":\"{address}\",\"site\":\"here\",\"class\":\"{class}\",\"block\":{block},\
         \"health\":\"active\",\"share\":4,\"born_ms\":0}}"
    )
}

// ---- Options of sockets that the standard library does not set

extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const u8, length: u32) -> i32;
}

fn set_option(socket: i32, level: i32, name: i32, value: &[i32]) {
    let length = std::mem::size_of_val(value) as u32;
    // SAFETY: the pointer and the length are those of the slice.
    if unsafe { setsockopt(socket, level, name, value.as_ptr().cast(), length) } != 0 {
        cannot_run("setsockopt");
    }
}

/// The buffer for received bytes of a listener's connections.
pub fn set_receive_buffer(listener: &TcpListener, bytes: i32) {
    set_option(listener.as_raw_fd(), 1, 8, &[bytes]);
}

/// The longest segment of a listener's connections: 1460 bytes as on an Ethernet, not 64 KB as on loopback.
pub fn set_segment_size(listener: &TcpListener, bytes: i32) {
    set_option(listener.as_raw_fd(), 6, 2, &[bytes]);
}

/// Resets a connection.
pub fn reset(stream: TcpStream) {
    set_option(stream.as_raw_fd(), 1, 13, &[1, 0]);
    let _ = stream.set_nonblocking(true);
    drop(stream);
}
