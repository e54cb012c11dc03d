//! Stand-ins for the platform, discovery, the cache servers and the clients, and the control of
//! router processes. Only the standard library is used.

#![allow(dead_code)]

use std::collections::{BinaryHeap, HashMap};
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

pub fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

fn started() -> Instant {
    static STARTED: OnceLock<Instant> = OnceLock::new();
    *STARTED.get_or_init(Instant::now)
}

// ---- The record, and the end of the case

static RECORD: Mutex<Option<File>> = Mutex::new(None);
static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());
static TEMP: Mutex<Option<PathBuf>> = Mutex::new(None);

/// Writes one line with the time since the start, in seconds.
pub fn record(line: &str) {
    let at = started().elapsed().as_secs_f64();
    if let Some(file) = RECORD.lock().unwrap().as_mut() {
        let _ = writeln!(file, "{at:9.4} {line}");
    }
}

/// What a case is started with.
pub struct Case {
    /// The root of the repository.
    pub root: PathBuf,
    /// An empty folder that is removed at the end.
    pub temp: PathBuf,
    /// False: the case runs without its disruption.
    pub trouble: bool,
}

impl Case {
    pub fn open(folder: &Path, root: &Path) -> Case {
        started();
        let file = File::create(folder.join("record.txt")).expect("record.txt");
        *RECORD.lock().unwrap() = Some(file);
        let temp = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), unix_ms()));
        fs::create_dir_all(&temp).expect("temporary folder");
        *TEMP.lock().unwrap() = Some(temp.clone());
        let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
        record(&format!("disruption: {}", if trouble { "yes" } else { "no" }));
        spawn(|| {
            sleep(Duration::from_secs(115));
            finish(COULD_NOT_RUN, "the case took too long");
        });
        Case { root: root.to_owned(), temp, trouble }
    }
}

/// Ends the case: all processes are killed, the verdict is written down.
pub fn finish(status: i32, why: &str) -> ! {
    for child in CHILDREN.lock().unwrap().drain(..) {
        signal(child, "KILL");
    }
    let verdict = match status {
        HELD => "held",
        BROKEN => "broken",
        _ => "could not run",
    };
    record(&format!("verdict: {verdict}: {why}"));
    println!("{verdict}: {why}");
    if let Some(temp) = TEMP.lock().unwrap().take() {
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(temp);
        }
    }
    std::process::exit(status);
}

pub fn signal(pid: u32, name: &str) {
    let _ = Command::new("/bin/sh")
        .arg("-c")
        .arg(format!("kill -{name} {pid}"))
        .stderr(Stdio::null())
        .status();
}

// ---- Work at a later time

type Job = Box<dyn FnOnce() + Send>;
struct Due(Instant, u64, Job);
impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Due) -> std::cmp::Ordering {
        (other.0, other.1).cmp(&(self.0, self.1))
    }
}

static JOBS: Mutex<BinaryHeap<Due>> = Mutex::new(BinaryHeap::new());
static JOBS_CHANGED: Condvar = Condvar::new();
static JOBS_STARTED: AtomicBool = AtomicBool::new(false);
static JOB_NUMBER: AtomicU64 = AtomicU64::new(0);

/// Runs a job after a delay.
pub fn later(delay: Duration, job: impl FnOnce() + Send + 'static) {
    if !JOBS_STARTED.swap(true, Ordering::SeqCst) {
        spawn(run_jobs);
    }
    let number = JOB_NUMBER.fetch_add(1, Ordering::SeqCst);
    JOBS.lock().unwrap().push(Due(Instant::now() + delay, number, Box::new(job)));
    JOBS_CHANGED.notify_one();
}

fn run_jobs() {
    let mut jobs = JOBS.lock().unwrap();
    loop {
        let now = Instant::now();
        match jobs.peek() {
            Some(next) if next.0 <= now => {
                let due = jobs.pop().unwrap();
                drop(jobs);
                (due.2)();
                jobs = JOBS.lock().unwrap();
            }
            Some(next) => {
                let wait = next.0 - now;
                jobs = JOBS_CHANGED.wait_timeout(jobs, wait).unwrap().0;
            }
            None => jobs = JOBS_CHANGED.wait(jobs).unwrap(),
        }
    }
}

// ---- Addresses

pub fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

/// An address on which nobody listens at the moment.
pub fn free_address() -> SocketAddr {
    listen().local_addr().unwrap()
}

// ---- Discovery

struct BoardState {
    /// The events after those that the routers know at their start; the first has number `base + 1`.
    lines: Vec<String>,
    watchers: Vec<TcpStream>,
    is_up: bool,
    /// Changes each time the board breaks off.
    generation: u64,
}

/// The notice board.
pub struct Board {
    pub address: SocketAddr,
    base: u64,
    state: Mutex<BoardState>,
    changed: Condvar,
}

impl Board {
    /// A board on which `base` events stand before the routers start.
    pub fn start(base: u64) -> Arc<Board> {
        let listener = listen();
        let board = Arc::new(Board {
            address: listener.local_addr().unwrap(),
            base,
            state: Mutex::new(BoardState {
                lines: Vec::new(),
                watchers: Vec::new(),
                is_up: true,
                generation: 0,
            }),
            changed: Condvar::new(),
        });
        board.clone().accept(listener);
        board
    }

    fn accept(self: Arc<Board>, listener: TcpListener) {
        listener.set_nonblocking(true).unwrap();
        let generation = self.state.lock().unwrap().generation;
        spawn(move || {
            loop {
                let mut state = self.state.lock().unwrap();
                if state.generation != generation {
                    return;
                }
                match listener.accept() {
                    Ok((stream, _)) => {
                        stream.set_nonblocking(false).unwrap();
                        stream.set_nodelay(true).unwrap();
                        state.watchers.push(stream.try_clone().unwrap());
                        let board = self.clone();
                        spawn(move || board.serve(stream, generation));
                    }
                    Err(_) => {
                        drop(state);
                        sleep(ms(2));
                    }
                }
            }
        });
    }

    fn serve(&self, stream: TcpStream, generation: u64) {
        let mut line = String::new();
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        if reader.read_line(&mut line).unwrap_or(0) == 0 {
            return;
        }
        let Some(mut last) = line.trim().strip_prefix("watch ").and_then(|n| n.parse::<u64>().ok())
        else {
            return record(&format!("board: not understood: {}", line.trim()));
        };
        record(&format!("board: watch {last}"));
        let mut writer = stream;
        let mut next_number_at = Instant::now();
        let mut state = self.state.lock().unwrap();
        loop {
            if state.generation != generation {
                return;
            }
            let newest = self.base + state.lines.len() as u64;
            if last < newest {
                let text = format!("{}\n", state.lines[(last - self.base) as usize]);
                last += 1;
                if writer.write_all(text.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let now = Instant::now();
            if now >= next_number_at {
                next_number_at = now + Duration::from_secs(1);
                if writer.write_all(format!("{last}\n").as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            state = self.changed.wait_timeout(state, next_number_at - now).unwrap().0;
        }
    }

    /// Adds an event: `"pool":{...}` or `"flush":{...}`. Returns its number.
    pub fn add(&self, event: &str) -> u64 {
        let mut state = self.state.lock().unwrap();
        let number = self.base + state.lines.len() as u64 + 1;
        let line = format!("{{\"rev\":{number},{event}}}");
        record(&format!("board: event {line}"));
        state.lines.push(line);
        self.changed.notify_all();
        number
    }

    /// Ends all connections and accepts no new ones.
    pub fn break_off(&self) {
        let mut state = self.state.lock().unwrap();
        record("board: breaks off, refuses connections");
        state.generation += 1;
        state.is_up = false;
        for watcher in state.watchers.drain(..) {
            let _ = watcher.shutdown(Shutdown::Both);
        }
        self.changed.notify_all();
    }

    /// Accepts connections again, at the same address.
    pub fn come_back(self: &Arc<Board>) {
        let listener = loop {
            match TcpListener::bind(self.address) {
                Ok(listener) => break listener,
                Err(_) => sleep(ms(5)),
            }
        };
        record("board: is back");
        self.state.lock().unwrap().is_up = true;
        self.clone().accept(listener);
    }
}

/// One entry of the list of servers.
pub fn host(name: &str, dial: SocketAddr, class: &str, health: &str, share: f64, born_ms: u64) -> String {
    host_in(name, dial, class, health, share, born_ms, "here", 0)
}

#[allow(clippy::too_many_arguments)]
pub fn host_in(
    name: &str,
    dial: SocketAddr,
    class: &str,
    health: &str,
    share: f64,
    born_ms: u64,
    site: &str,
    block: u64,
) -> String {
    format!(
        "{{\"host\":\"{name}\",\"dial\":\"{dial}\",\"site\":\"{site}\",\"class\":\"{class}\",\"block\":{block},\
         \"health\":\"{health}\",\"share\":{share},\"born_ms\":{born_ms}}}"
    )
}

pub fn pool(seq: u64, whole: bool, hosts: &[String]) -> String {
    format!("\"pool\":{{\"seq\":{seq},\"whole\":{whole},\"hosts\":[{}]}}", hosts.join(","))
}

// ---- Servers

/// A request that a server received.
#[derive(Clone, Debug)]
pub struct Ask {
    pub server: String,
    pub connection: u64,
    pub id: String,
    pub fields: HashMap<String, String>,
    pub body: Vec<u8>,
    pub at: Instant,
    pub at_unix_ms: u64,
}

impl Ask {
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    /// The oldest copy that will do, in milliseconds.
    pub fn max_age(&self) -> Option<u64> {
        self.field("maxage").parse().ok().filter(|age| *age > 0)
    }
}

/// Where an answer goes.
#[derive(Clone)]
pub struct Reply {
    pub id: String,
    pub stream: Arc<Mutex<TcpStream>>,
}

impl Reply {
    pub fn send(&self, word: &str, fields: &str, body: &[u8]) {
        let mut bytes = format!("{} {word} {fields} {}\r\n", self.id, body.len()).into_bytes();
        bytes.extend_from_slice(body);
        bytes.extend_from_slice(b"\r\n");
        let _ = self.stream.lock().unwrap().write_all(&bytes);
    }
}

type Handler = dyn Fn(Ask, Reply) + Send + Sync;

pub struct Server {
    pub name: String,
    pub address: SocketAddr,
}

static CONNECTION_NUMBER: AtomicU64 = AtomicU64::new(0);

impl Server {
    /// Starts a server that handles each request with `handler`, on the thread of its connection.
    pub fn start(name: &str, handler: impl Fn(Ask, Reply) + Send + Sync + 'static) -> Server {
        let listener = listen();
        let address = listener.local_addr().unwrap();
        let handler: Arc<Handler> = Arc::new(handler);
        let server = name.to_owned();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let (server, handler) = (server.clone(), handler.clone());
                spawn(move || serve_connection(&server, stream, &*handler));
            }
        });
        Server { name: name.to_owned(), address }
    }
}

fn serve_connection(server: &str, stream: TcpStream, handler: &Handler) {
    let _ = stream.set_nodelay(true);
    let connection = CONNECTION_NUMBER.fetch_add(1, Ordering::SeqCst);
    let writer = Arc::new(Mutex::new(stream.try_clone().unwrap()));
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line).unwrap_or(0) == 0 {
            return;
        }
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        match words[..] {
            ["ASK", id, fields, length] => {
                let mut body = vec![0; length.parse::<usize>().unwrap_or(0) + 2];
                if reader.read_exact(&mut body).is_err() {
                    return;
                }
                body.truncate(body.len() - 2);
                let fields = fields
                    .split(',')
                    .filter_map(|field| field.split_once('='))
                    .map(|(name, value)| (name.to_owned(), value.to_owned()))
                    .collect();
                let ask = Ask {
                    server: server.to_owned(),
                    connection,
                    id: id.to_owned(),
                    fields,
                    body,
                    at: Instant::now(),
                    at_unix_ms: unix_ms(),
                };
                let reply = Reply { id: id.to_owned(), stream: writer.clone() };
                handler(ask, reply);
            }
            ["QUIT", id] => record(&format!("{server}: QUIT {id}")),
            ["NOOP", tag] => Reply { id: tag.to_owned(), stream: writer.clone() }.send("UP", "-", b""),
            _ => return record(&format!("{server}: not understood: {}", line.trim())),
        }
    }
}

// ---- Clients

#[derive(Clone, Debug)]
pub struct Answer {
    pub word: String,
    pub fields: String,
    pub body: Vec<u8>,
    pub at: Instant,
}

#[derive(Default)]
struct Inbox {
    answers: HashMap<u64, Vec<Answer>>,
    closed: bool,
}

/// A client with one connection.
pub struct Client {
    stream: Mutex<TcpStream>,
    inbox: Arc<(Mutex<Inbox>, Condvar)>,
    next_tag: AtomicU64,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))?;
        stream.set_nodelay(true)?;
        let reader = stream.try_clone()?;
        let inbox: Arc<(Mutex<Inbox>, Condvar)> = Arc::default();
        let for_reader = inbox.clone();
        spawn(move || read_answers(reader, &for_reader));
        Ok(Client { stream: Mutex::new(stream), inbox, next_tag: AtomicU64::new(1) })
    }

    pub fn send_words(&self, words: &[&[u8]]) -> bool {
        let mut bytes = format!("*{}\r\n", words.len()).into_bytes();
        for word in words {
            bytes.extend(format!("${}\r\n", word.len()).bytes());
            bytes.extend_from_slice(word);
            bytes.extend_from_slice(b"\r\n");
        }
        self.stream.lock().unwrap().write_all(&bytes).is_ok()
    }

    pub fn tag(&self) -> u64 {
        self.next_tag.fetch_add(1, Ordering::SeqCst)
    }

    /// Sends a request and returns its tag.
    pub fn request(&self, class: &str, fields: &str, body: &[u8]) -> u64 {
        let tag = self.tag();
        let text = tag.to_string();
        self.send_words(&[b"REQ", text.as_bytes(), class.as_bytes(), fields.as_bytes(), body]);
        tag
    }

    pub fn abort(&self, tag: u64) {
        self.send_words(&[b"ABORT", tag.to_string().as_bytes()]);
    }

    /// Waits for the answer with this tag.
    pub fn wait(&self, tag: u64, timeout: Duration) -> Option<Answer> {
        let until = Instant::now() + timeout;
        let mut inbox = self.inbox.0.lock().unwrap();
        loop {
            if let Some(answer) = inbox.answers.get(&tag).and_then(|answers| answers.first()) {
                return Some(answer.clone());
            }
            let now = Instant::now();
            if now >= until || inbox.closed {
                return None;
            }
            inbox = self.inbox.1.wait_timeout(inbox, until - now).unwrap().0;
        }
    }

    pub fn answers(&self, tag: u64) -> Vec<Answer> {
        self.inbox.0.lock().unwrap().answers.get(&tag).cloned().unwrap_or_default()
    }

    pub fn is_closed(&self) -> bool {
        self.inbox.0.lock().unwrap().closed
    }

    /// Asks for readiness; the answer's word.
    pub fn health(&self) -> Option<String> {
        let tag = self.tag();
        self.send_words(&[b"HEALTH", tag.to_string().as_bytes(), b""]);
        self.wait(tag, Duration::from_secs(2)).map(|answer| answer.word)
    }

    pub fn close(&self) {
        let _ = self.stream.lock().unwrap().shutdown(Shutdown::Both);
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        self.close();
    }
}

fn read_answers(stream: TcpStream, inbox: &(Mutex<Inbox>, Condvar)) {
    let mut reader = BufReader::with_capacity(64 * 1024, stream);
    while let Ok(words) = read_array(&mut reader) {
        let text = |index: usize| {
            words.get(index).map(|w: &Vec<u8>| String::from_utf8_lossy(w).into_owned()).unwrap_or_default()
        };
        let Ok(tag) = text(0).parse() else { break };
        let answer = Answer {
            word: text(1),
            fields: text(2),
            body: words.get(3).cloned().unwrap_or_default(),
            at: Instant::now(),
        };
        inbox.0.lock().unwrap().answers.entry(tag).or_default().push(answer);
        inbox.1.notify_all();
    }
    inbox.0.lock().unwrap().closed = true;
    inbox.1.notify_all();
}

fn read_length(reader: &mut impl BufRead, kind: u8) -> io::Result<usize> {
    let mut line = Vec::new();
    reader.read_until(b'\n', &mut line)?;
    let text = line.strip_suffix(b"\r\n").and_then(|l| l.strip_prefix(&[kind]));
    let number = text.and_then(|t| std::str::from_utf8(t).ok()).and_then(|t| t.parse().ok());
    number.ok_or_else(|| io::ErrorKind::InvalidData.into())
}

fn read_array(reader: &mut impl BufRead) -> io::Result<Vec<Vec<u8>>> {
    let parts = read_length(reader, b'*')?;
    let mut words = Vec::new();
    for _ in 0..parts {
        let mut word = vec![0; read_length(reader, b'$')? + 2];
        reader.read_exact(&mut word)?;
        word.truncate(word.len() - 2);
        words.push(word);
    }
    Ok(words)
}

static ID: AtomicU64 = AtomicU64::new(0);

/// A new id of 16 hex digits.
pub fn new_id() -> String {
    let base = ID.fetch_add(1, Ordering::SeqCst);
    let salt = u64::from(std::process::id()) << 40;
    format!("{:016x}", (salt | base).wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

// ---- Routers

pub struct Router {
    pub pid: u32,
    pub listen: SocketAddr,
    pub log: PathBuf,
    child: Mutex<Child>,
}

/// What a router is told by the platform.
pub struct RouterConfig {
    pub name: String,
    pub listen: SocketAddr,
    pub board: SocketAddr,
    pub known: Vec<String>,
    pub settings: String,
    pub memory_mb: u64,
    pub sockets: u64,
    pub peers: Option<(SocketAddr, Vec<SocketAddr>, SocketAddr)>,
    pub rates: Option<(u64, u64)>,
}

impl RouterConfig {
    pub fn new(name: &str, board: &Board, known: Vec<String>, settings: &str) -> RouterConfig {
        RouterConfig {
            name: name.to_owned(),
            listen: free_address(),
            board: board.address,
            known,
            settings: settings.to_owned(),
            memory_mb: 192,
            sockets: 1024,
            peers: None,
            rates: None,
        }
    }

    pub fn to_json(&self) -> String {
        let notices: Vec<String> = self
            .known
            .iter()
            .enumerate()
            .map(|(index, event)| format!("{{\"rev\":{},{event}}}", index + 1))
            .collect();
        let mut more = String::new();
        if let Some((listen, peers, all)) = &self.peers {
            let peers: Vec<String> = peers.iter().map(|peer| format!("\"{peer}\"")).collect();
            more += &format!(
                "\"peer_listen\":\"{listen}\",\"peers\":[{}],\"peers_all\":\"{all}\",",
                peers.join(",")
            );
        }
        if let Some((flow, link)) = self.rates {
            more += &format!("\"flow_bytes_per_s\":{flow},\"link_bytes_per_s\":{link},");
        }
        format!(
            "{{\"name\":\"{}\",\"listen\":\"{}\",\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\
             \"board\":\"{}\",{more}\"known\":{{\"rev\":{},\"notices\":[{}]}},\"settings\":{}}}",
            self.name,
            self.listen,
            self.memory_mb,
            self.sockets,
            self.board,
            notices.len(),
            notices.join(","),
            self.settings
        )
    }
}

/// The command of the deploy file that starts one router.
fn run_command(root: &Path) -> String {
    let text = fs::read_to_string(root.join("deploy/balancer.toml")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
    match line.and_then(|line| line.split('"').next()) {
        Some(command) => command.to_owned(),
        None => finish(COULD_NOT_RUN, "the deploy file has no line run"),
    }
}

impl Router {
    /// Starts a router and waits until it answers GREEN.
    pub fn start(case: &Case, config: &RouterConfig) -> Router {
        let path = case.temp.join(format!("{}.json", config.name));
        fs::write(&path, config.to_json()).expect("configuration file");
        let log = case.temp.join(format!("{}.log", config.name));
        let own = case.temp.join(format!("{}.tmp", config.name));
        fs::create_dir_all(&own).expect("TMPDIR");
        let output = File::options().create(true).append(true).open(&log).expect("log");
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(run_command(&case.root))
            .current_dir(&case.root)
            .env("ROUTER_NAME", &config.name)
            .env("ROUTER_LISTEN", config.listen.to_string())
            .env("ROUTER_CONFIG", &path)
            .env("TMPDIR", &own)
            .env_remove("RUST_LOG")
            .stdin(Stdio::null())
            .stdout(output.try_clone().unwrap())
            .stderr(output)
            .spawn();
        let Ok(child) = child else { finish(COULD_NOT_RUN, "the router did not start") };
        let router = Router { pid: child.id(), listen: config.listen, log, child: Mutex::new(child) };
        CHILDREN.lock().unwrap().push(router.pid);
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            let client = Client::connect(config.listen);
            if client.is_ok_and(|client| client.health().as_deref() == Some("GREEN")) {
                record(&format!("router {} ready, pid {}", config.name, router.pid));
                return router;
            }
            sleep(ms(10));
        }
        let log = fs::read_to_string(&router.log).unwrap_or_default();
        record(&format!("log of the router: {log}"));
        finish(COULD_NOT_RUN, "the router did not become ready")
    }

    pub fn signal(&self, name: &str) {
        record(&format!("signal {name} to router, pid {}", self.pid));
        signal(self.pid, name);
    }

    /// The exit status, if the process has ended.
    pub fn ended(&self) -> Option<String> {
        let status = self.child.lock().unwrap().try_wait().ok().flatten();
        status.map(|status| status.to_string())
    }

    /// A figure of `/proc/PID/status` in KB, such as `VmHWM`.
    pub fn memory_kb(&self, name: &str) -> u64 {
        let text = fs::read_to_string(format!("/proc/{}/status", self.pid)).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with(name));
        let figure = line.and_then(|line| line.split_whitespace().nth(1));
        figure.and_then(|figure| figure.parse().ok()).unwrap_or(0)
    }

    pub fn descriptors(&self) -> usize {
        fs::read_dir(format!("/proc/{}/fd", self.pid)).map_or(0, Iterator::count)
    }

    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}
