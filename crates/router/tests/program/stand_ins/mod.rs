//! Stand-ins for what a router talks to, over loopback: a client, a server (cache server, parent or origin)
//! and discovery; and the program itself. Every wait ends with what it waits for, or fails the test.

mod moment;

pub use moment::Moment;
use serde_json::{Value, json};
use std::cell::Cell;
use std::collections::HashMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::fs::OpenOptionsExt;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread::{JoinHandle, sleep};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Nothing that a test waits for takes nearly as long.
pub const LONG: Duration = Duration::from_secs(10);
/// Each time limit of the protocol is this much longer on sockets.
pub const SLACK: Duration = Duration::from_millis(50);
/// Of `open`: fails where it would wait.
const NONBLOCK: i32 = 0o4000;
const SHORT: Duration = Duration::from_millis(5);

/// The wall clock, by which the stand-ins stamp.
#[allow(clippy::disallowed_methods)]
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis() as u64
}

/// A loopback address that nobody else is given, and nobody listens at. One that had been listened at would
/// not do: a process that another test is just starting may hold the listener open for a moment more.
pub fn address() -> SocketAddr {
    static LAST: AtomicU32 = AtomicU32::new(0);
    let (n, process) = (LAST.fetch_add(1, Ordering::Relaxed), std::process::id());
    let [_, _, high, low] = n.to_be_bytes();
    SocketAddr::from((
        [
            127,
            1 + (process % 200) as u8,
            high ^ (process >> 8) as u8,
            low,
        ],
        5050,
    ))
}

fn listen() -> TcpListener {
    TcpListener::bind(address()).unwrap()
}

/// Tries until it comes true.
pub fn until(what: &str, mut come: impl FnMut() -> bool) {
    let end = Instant::now() + LONG;
    while !come() {
        assert!(Instant::now() < end, "{what}: did not come");
        sleep(SHORT);
    }
}

/// A connection that is there.
fn taken(listener: &TcpListener) -> Option<TcpStream> {
    listener.set_nonblocking(true).unwrap();
    let (stream, _) = listener.accept().ok()?;
    stream.set_nonblocking(false).unwrap();
    stream.set_read_timeout(Some(LONG)).unwrap();
    Some(stream)
}

fn accept(listener: &TcpListener) -> TcpStream {
    let mut stream = None;
    until("a connection", || {
        stream = taken(listener);
        stream.is_some()
    });
    stream.unwrap()
}

/// What a good answer for a copy holds.
pub const HIT: &str = "tell=hit,etag=4be0c1927d55a6f3,made=1";

/// One connection with lines of words: a server's or discovery's end of it.
pub struct Line {
    reader: BufReader<TcpStream>,
}

impl Line {
    pub fn new(stream: TcpStream) -> Line {
        Line {
            reader: BufReader::new(stream),
        }
    }

    /// The next line; empty at the end of the connection.
    pub fn line(&mut self) -> String {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Err(e) if e.kind() != std::io::ErrorKind::ConnectionReset => {
                panic!("no line came: {e}")
            }
            _ => line.trim_end().to_owned(),
        }
    }

    /// Something has come that was not read yet.
    pub fn ready(&mut self) -> bool {
        let stream = self.reader.get_ref();
        stream.set_nonblocking(true).unwrap();
        let come = stream.peek(&mut [0]).is_ok();
        stream.set_nonblocking(false).unwrap();
        come || !self.reader.buffer().is_empty()
    }

    pub fn say(&mut self, text: impl AsRef<[u8]>) {
        self.reader.get_mut().write_all(text.as_ref()).unwrap();
    }

    /// Breaks the connection instead of closing it.
    pub fn reset(self) {
        let stream = socket2::SockRef::from(self.reader.get_ref());
        stream.set_linger(Some(Duration::ZERO)).unwrap();
    }

    /// Says no more, and reads on.
    pub fn half_close(&self) {
        self.reader.get_ref().shutdown(Shutdown::Write).unwrap();
    }

    /// False once the other side has closed.
    pub fn still_takes(&mut self, text: &str) -> bool {
        self.reader.get_mut().write_all(text.as_bytes()).is_ok()
    }

    pub fn asked(&mut self) -> Asked {
        self.asked_or_closed().expect("the connection has ended")
    }

    /// The next request; none: the other side has closed the connection in order.
    pub fn asked_or_closed(&mut self) -> Option<Asked> {
        let line = self.line();
        (!line.is_empty()).then(|| self.asked_by(&line))
    }

    /// A request that has come; none: nothing has, or another line, or the end.
    pub fn try_asked(&mut self) -> Option<Asked> {
        if !self.ready() {
            return None;
        }
        let line = self.line();
        line.starts_with("ASK ").then(|| self.asked_by(&line))
    }

    fn asked_by(&mut self, line: &str) -> Asked {
        let words: Vec<&str> = line.split(' ').collect();
        assert!(
            words.len() == 4 && words[0] == "ASK",
            "not a request: {line:?}"
        );
        let fields = words[2].split(',').filter_map(|f| f.split_once('='));
        let fields = fields
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .collect();
        let mut body = vec![0; words[3].parse::<usize>().unwrap() + 2];
        self.reader.read_exact(&mut body).unwrap();
        assert_eq!(body.split_off(body.len() - 2), b"\r\n");
        Asked {
            id: words[1].to_owned(),
            fields,
            body,
        }
    }

    /// Takes a request and answers it as a hit.
    pub fn serve(&mut self, body: &[u8]) {
        let asked = self.asked();
        self.answer(&asked, "OK", HIT, body);
    }

    pub fn answer(&mut self, asked: &Asked, word: &str, fields: &str, body: &[u8]) {
        self.say(
            [
                format!("{} {word} {fields} {}\r\n", asked.id, body.len()).as_bytes(),
                body,
                b"\r\n",
            ]
            .concat(),
        );
    }
}

pub struct Asked {
    pub id: String,
    pub fields: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Asked {
    pub fn get(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }
}

pub struct Server {
    pub name: String,
    kind: &'static str,
    pub listener: TcpListener,
    pub dial: SocketAddr,
}

impl Server {
    pub fn new(name: &str, kind: &'static str) -> Server {
        let listener = listen();
        let dial = listener.local_addr().unwrap();
        Server {
            name: name.to_owned(),
            kind,
            listener,
            dial,
        }
    }

    pub fn entry(&self, health: &str) -> Value {
        json!({"host": self.name, "dial": self.dial.to_string(), "site": "here", "class": self.kind, "block": 0,
            "health": health, "share": 4, "born_ms": 0})
    }

    pub fn accept(&self) -> Line {
        Line::new(accept(&self.listener))
    }

    /// A connection, if one is there.
    pub fn try_accept(&self) -> Option<Line> {
        taken(&self.listener).map(Line::new)
    }

    /// Ends a connection, and waits until the router has let go of it too.
    pub fn close_all(&self, program: &Program, line: Line) {
        drop(line);
        let mut client = program.client();
        assert_eq!(client.health(), "GREEN");
    }

    /// Whoever writes to it finds the socket full soon, unless it reads.
    pub fn reads_little(&self) {
        socket2::SockRef::from(&self.listener)
            .set_recv_buffer_size(4096)
            .unwrap();
    }

    /// Fills the queue of connections that nobody takes: further ones do not come up.
    pub fn vanish(&self) -> Vec<TcpStream> {
        fill_queue(self.dial)
    }
}

/// Fills the queue of connections to an address where nobody takes them.
pub fn fill_queue(at: SocketAddr) -> Vec<TcpStream> {
    let reach = |_: &u32| TcpStream::connect_timeout(&at, Duration::from_millis(200)).ok();
    (0..8192).map_while(|n| reach(&n)).collect()
}

pub struct Discovery {
    pub listener: TcpListener,
    /// A router's connection that has been seen and not been taken yet.
    come: Cell<Option<TcpStream>>,
}

impl Discovery {
    /// Nobody listens at its address any more; which that is.
    pub fn goes_down(&mut self, watch: Line) -> SocketAddr {
        let at = self.listener.local_addr().unwrap();
        self.listener = listen();
        drop(watch);
        at
    }

    pub fn comes_back(&mut self, at: SocketAddr) {
        self.listener = TcpListener::bind(at).unwrap();
    }

    /// A router has come and not been accepted yet.
    pub fn is_watched(&self) -> bool {
        let come = self.come.take().or_else(|| taken(&self.listener));
        let watched = come.is_some();
        self.come.set(come);
        watched
    }

    /// The router's connection, and after which event it watches.
    pub fn accept(&self) -> (Line, u64) {
        let mut line = Line::new(self.come.take().unwrap_or_else(|| accept(&self.listener)));
        let watch = line.line();
        let after = watch.strip_prefix("watch ").and_then(|n| n.parse().ok());
        (
            line,
            after.unwrap_or_else(|| panic!("not a watch: {watch:?}")),
        )
    }
}

pub fn list(number: u64, entries: &[Value]) -> String {
    format!(
        "{}\n",
        json!({"rev": number, "pool": {"seq": number, "whole": false, "hosts": entries}})
    )
}

/// An id that no other request of the tests has.
fn new_id() -> String {
    static LAST: AtomicU32 = AtomicU32::new(0);
    format!("{:016x}", LAST.fetch_add(1, Ordering::Relaxed))
}

pub struct Client {
    reader: BufReader<TcpStream>,
}

/// A message of the clients' protocol.
pub fn frame(parts: &[&[u8]]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", parts.len()).into_bytes();
    for part in parts {
        bytes.extend([format!("${}\r\n", part.len()).as_bytes(), part, b"\r\n"].concat());
    }
    bytes
}

/// A final answer: its tag, word, fields and body.
pub type Answer = (u64, String, String, Vec<u8>);

impl Client {
    pub fn send(&mut self, parts: &[&[u8]]) {
        self.write(&frame(parts));
    }

    /// Says no more, and reads on.
    pub fn at(address: SocketAddr) -> Option<Client> {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_read_timeout(Some(LONG)).unwrap();
        stream.set_nodelay(true).unwrap();
        Some(Client {
            reader: BufReader::new(stream),
        })
    }

    /// A whole answer; none: the connection has ended without one.
    pub fn try_answer(&mut self) -> Option<Answer> {
        let ended = self.reader.fill_buf().is_ok_and(<[u8]>::is_empty);
        (!ended).then(|| self.answer())
    }

    /// Its word, unless the connection ends first.
    pub fn try_health(&mut self) -> Option<String> {
        self.reader
            .get_mut()
            .write_all(&frame(&[b"HEALTH", b"1000", b""]))
            .ok()?;
        let come = self.reader.fill_buf().is_ok_and(|bytes| !bytes.is_empty());
        come.then(|| self.word())
    }

    pub fn half_close(&self) {
        self.reader.get_ref().shutdown(Shutdown::Write).unwrap();
    }

    /// Breaks the connection instead of closing it.
    pub fn reset(self) {
        let stream = socket2::SockRef::from(self.reader.get_ref());
        stream.set_linger(Some(Duration::ZERO)).unwrap();
    }

    /// True when the router has ended the connection in order, with nothing more to read.
    pub fn parted(&mut self) -> bool {
        matches!(self.reader.read_to_end(&mut Vec::new()), Ok(0))
    }

    pub fn write(&mut self, bytes: &[u8]) {
        self.reader.get_mut().write_all(bytes).unwrap();
    }

    /// Asks for the object of the same number as the tag.
    pub fn ask(&mut self, tag: u64, class: &str, more: &str, body: &[u8]) -> String {
        let id = new_id();
        let fields = format!(
            "i={id},o={tag:016x},lot=1,m=10.5{}{more}",
            if more.is_empty() { "" } else { "," }
        );
        let fields = if more.contains("d=") {
            fields
        } else {
            format!("{fields},d=4000")
        };
        self.send(&[
            b"REQ",
            tag.to_string().as_bytes(),
            class.as_bytes(),
            fields.as_bytes(),
            body,
        ]);
        id
    }

    /// Asks for the object of the same number as the tag. False: the connection takes nothing more.
    pub fn try_ask(&mut self, tag: u64, class: &str, limit_ms: u64) -> bool {
        let id = new_id();
        let fields = format!("i={id},o={tag:016x},lot=1,m=1,d={limit_ms}");
        let request = frame(&[
            b"REQ",
            tag.to_string().as_bytes(),
            class.as_bytes(),
            fields.as_bytes(),
            b"",
        ]);
        self.reader.get_mut().write_all(&request).is_ok()
    }

    pub fn answer(&mut self) -> Answer {
        let mut line = |sign: char| {
            let mut line = String::new();
            self.reader.read_line(&mut line).unwrap();
            line.trim_end()
                .strip_prefix(sign)
                .and_then(|n| n.parse().ok())
                .unwrap_or_else(|| panic!("{line:?}"))
        };
        let parts: usize = line('*');
        let mut read = Vec::new();
        for _ in 0..parts {
            let mut part = vec![0; self.length() + 2];
            self.reader.read_exact(&mut part).unwrap();
            part.truncate(part.len() - 2);
            read.push(part);
        }
        let text = |part: &Vec<u8>| String::from_utf8(part.clone()).unwrap();
        (
            text(&read[0]).parse().unwrap(),
            text(&read[1]),
            text(&read[2]),
            read[3].clone(),
        )
    }

    fn length(&mut self) -> usize {
        let mut line = String::new();
        self.reader.read_line(&mut line).unwrap();
        line.trim_end().strip_prefix('$').unwrap().parse().unwrap()
    }

    /// Something has come.
    pub fn ready(&mut self) -> bool {
        let stream = self.reader.get_ref();
        stream.set_nonblocking(true).unwrap();
        let come = stream.peek(&mut [0]).is_ok();
        stream.set_nonblocking(false).unwrap();
        come || !self.reader.buffer().is_empty()
    }

    pub fn word(&mut self) -> String {
        self.answer().1
    }

    /// True when the router has closed the connection.
    pub fn closed(&mut self) -> bool {
        let mut rest = Vec::new();
        match self.reader.read_to_end(&mut rest) {
            Ok(_) => true,
            Err(e) => e.kind() == std::io::ErrorKind::ConnectionReset,
        }
    }

    pub fn health(&mut self) -> String {
        self.send(&[b"HEALTH", b"1000", b""]);
        self.word()
    }
}

/// A class of the settings, with long limits.
pub fn class(name: &str, effect: &str) -> Value {
    json!({"Name": name, "Effect": effect, "Group": "all", "Window": 5000, "Aim": 3000, "AimStretch": 2,
        "HardLimit": 5000, "Worth": 1, "LateWorth": 0.1, "Stream": false})
}

/// What the program is told; a test changes it before the start.
pub struct World {
    pub discovery: Discovery,
    pub servers: Vec<Server>,
    pub file: Value,
    /// The operator's file, where one is wanted.
    pub directives: String,
    /// What starts it, where it is not the program by itself.
    pub instead: Option<String>,
    listen: SocketAddr,
    dir: PathBuf,
}

impl World {
    /// A cache server `c1`, a parent `p1` and the origin `o1`.
    pub fn new() -> World {
        let servers = vec![
            Server::new("c1", "cache"),
            Server::new("p1", "parent"),
            Server::new("o1", "origin"),
        ];
        let listener = listen();
        let discovery = listener.local_addr().unwrap();
        let listen = address();
        static LAST: AtomicU32 = AtomicU32::new(0);
        let name = format!(
            "chalkhall-router-{}-{}",
            std::process::id(),
            LAST.fetch_add(1, Ordering::Relaxed)
        );
        let dir = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&dir).unwrap();
        // At this pace a part takes a second, so that no attempt is looked into while a test is held up.
        let settings = json!({
            "Classes": [class("page", "pure"), class("confirm", "side_effect")],
            "FamilyInfo": {"ClassFresh": [12000, 0], "ClassWrite": [false, true], "ClientKbPerS": 10,
                "CrewByZone": [1], "HomeHub": [0], "ObeyAfter": 500, "PassThroughOk": true, "ParentFloor": 0.1,
                "ParentRamp": 20000, "ParentFallMultiple": 2, "PurgeDone": 6000, "Says": "all", "ShieldKind": 1,
                "SourceKind": 2},
            "Granularity": 2, "Kinds": ["cache", "parent", "origin"],
            "Limits": {"ConnectTimeout": 400, "IdleClose": 30000, "MaxAttempts": 8, "MaxOpen": 20000,
                "MaxRetryAfter": 500, "MayCancel": true, "RetryAfter": true, "StreamsPerConn": 100},
            "Locality": 0, "MyNumber": 0, "PeersTotal": 1, "RegistryMode": "push", "Zones": ["here"],
            "Obligations": {"AnswerSlack": 8, "ColdFrom": 0.3, "DrainGrace": 500, "Fall": 1000, "TipMultiple": 2,
                "WarmWithin": 17000}});
        let file = json!({"name": "n1", "listen": listen.to_string(), "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1, "memory_mb": 192, "sockets": 1024}, "board": discovery.to_string(),
            "known": null, "settings": settings});
        World {
            discovery: Discovery {
                listener,
                come: Cell::default(),
            },
            servers,
            file,
            directives: String::new(),
            instead: None,
            listen,
            dir,
        }
    }

    pub fn server(&self, name: &str) -> &Server {
        self.servers.iter().find(|s| s.name == name).unwrap()
    }

    pub fn path(&self) -> PathBuf {
        self.dir.join("told.json")
    }

    /// Writes the file anew, as what replaces it on the platform does.
    pub fn write(&self) {
        std::fs::write(self.path(), self.file.to_string()).unwrap();
    }

    /// Discovery is somewhere else from now on.
    pub fn move_discovery(&mut self) {
        self.discovery = Discovery {
            listener: listen(),
            come: Cell::default(),
        };
        self.file["board"] = json!(self.discovery.listener.local_addr().unwrap().to_string());
    }

    fn list_known(&mut self) {
        if self.file["known"].is_null() {
            let entries: Vec<Value> = self.servers.iter().map(|s| s.entry("active")).collect();
            let first = json!({"rev": 1, "pool": {"seq": 1, "whole": true, "hosts": entries}});
            self.file["known"] = json!({"rev": 1, "notices": [first]});
        }
    }

    /// Starts the program, within the shell's limits where they are given.
    pub fn spawn(&mut self, limits: &str) -> Program {
        self.list_known();
        self.write();
        self.run(limits)
    }

    /// Starts the program and holds it where it reads its file, until that is written to what is returned.
    pub fn spawn_before_its_file(&mut self) -> (Program, File) {
        self.list_known();
        assert!(
            Command::new("mkfifo")
                .arg(self.path())
                .status()
                .unwrap()
                .success()
        );
        let (program, mut pipe) = (self.run(""), None);
        until("its reading", || {
            // Without a wait: nobody can be written to before the program reads.
            pipe = File::options()
                .write(true)
                .custom_flags(NONBLOCK)
                .open(self.path())
                .ok();
            pipe.is_some()
        });
        (program, pipe.unwrap())
    }

    fn run(&mut self, limits: &str) -> Program {
        let path = self.path();
        let mut run = format!("{limits} exec {}", env!("CARGO_BIN_EXE_chalkhall-router"));
        if !self.directives.is_empty() {
            let operators = self.dir.join("chalkhall.conf");
            std::fs::write(&operators, &self.directives).unwrap();
            run += &format!(" {}", operators.display());
        }
        let run = self.instead.clone().unwrap_or(run);
        let mut command = Command::new("/bin/sh");
        command.args(["-c", &run]).env("ROUTER_CONFIG", &path);
        let child = command
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        Program {
            child,
            listen: self.listen,
        }
    }

    /// The first connection to any server, and to which.
    pub fn first(&self) -> (&str, Line) {
        let mut found = None;
        until("a connection to any server", || {
            found = self
                .servers
                .iter()
                .find_map(|s| Some((s.name.as_str(), taken(&s.listener)?)));
            found.is_some()
        });
        let (name, stream) = found.unwrap();
        (name, Line::new(stream))
    }

    /// Starts the program and waits until it is ready.
    pub fn start(&mut self) -> Program {
        let program = self.spawn("");
        until("GREEN", || {
            program
                .connect()
                .is_some_and(|mut client| client.health() == "GREEN")
        });
        program
    }
}

impl Drop for World {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

pub struct Program {
    pub child: Child,
    listen: SocketAddr,
}

/// Clients that rest: each says nothing, or nothing after it has asked once how the router is, and comes
/// again when it is let go of.
pub struct Crowd {
    held: Arc<AtomicU32>,
    over: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Crowd {
    pub fn of(clients: usize, at: SocketAddr, asks: bool) -> Crowd {
        let mut crowd = Crowd {
            held: Arc::default(),
            over: Arc::default(),
            threads: Vec::new(),
        };
        for _ in 0..2 {
            let (held, over) = (crowd.held.clone(), crowd.over.clone());
            crowd.threads.push(std::thread::spawn(move || {
                let mut mine: Vec<TcpStream> = Vec::new();
                while !over.load(Ordering::Relaxed) {
                    mine.retain(|stream| match stream.peek(&mut [0; 64]) {
                        Ok(0) => false,
                        Err(e) => e.kind() == std::io::ErrorKind::WouldBlock,
                        Ok(_) => true,
                    });
                    while mine.len() < clients / 2 && !over.load(Ordering::Relaxed) {
                        match TcpStream::connect_timeout(&at, Duration::from_millis(50)) {
                            Ok(mut stream) => {
                                if asks {
                                    let _ = stream.write_all(&frame(&[b"HEALTH", b"1", b""]));
                                }
                                stream.set_nonblocking(true).unwrap();
                                mine.push(stream);
                                held.fetch_add(1, Ordering::Relaxed);
                            }
                            Err(_) => break,
                        }
                    }
                    sleep(SHORT * 3);
                }
            }));
        }
        crowd
    }

    /// Connections that the router's system took so far.
    pub fn held(&self) -> u32 {
        self.held.load(Ordering::Relaxed)
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        self.threads
            .drain(..)
            .for_each(|thread| drop(thread.join()));
    }
}

impl Program {
    pub fn address(&self) -> SocketAddr {
        self.listen
    }

    pub fn connect(&self) -> Option<Client> {
        Client::at(self.listen)
    }

    pub fn client(&self) -> Client {
        self.connect().expect("the program listens")
    }

    pub fn terminate(&self) {
        self.signal("TERM");
    }

    pub fn signal(&self, name: &str) {
        let sent = Command::new("/bin/sh")
            .args(["-c", &format!("kill -{name} {}", self.child.id())])
            .status();
        assert!(sent.unwrap().success());
    }

    pub fn is_stopped(&self) -> bool {
        self.is_in_state('T')
    }

    /// It has ended and was not waited for yet.
    pub fn is_zombie(&self) -> bool {
        self.is_in_state('Z')
    }

    fn is_in_state(&self, state: char) -> bool {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        stat.rsplit(") ")
            .next()
            .is_some_and(|rest| rest.starts_with(state))
    }

    /// How many it holds.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id()))
            .unwrap()
            .count()
    }

    pub fn ended(&mut self) -> (ExitStatus, String) {
        let mut status = None;
        until("the program's end", || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        let mut text = String::new();
        self.child
            .stderr
            .take()
            .unwrap()
            .read_to_string(&mut text)
            .unwrap();
        (status.unwrap(), text)
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if let Some(mut log) = self
            .child
            .stderr
            .take()
            .filter(|_| std::thread::panicking())
        {
            let mut text = String::new();
            let _ = log.read_to_string(&mut text);
            eprintln!("the program's log:\n{text}");
        }
    }
}
