//! The stand-ins' ends of the routers' connections: cache servers, parents and origin, discovery services,
//! clients. Each connection is a task that reads whole messages, hands them to the world, and writes what the
//! world says. Nothing is known here of what is true.

use crate::object_cache::Key;
use bytes::{Buf, Bytes, BytesMut};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};

/// Messages to the world, which reads them all the time; and to a connection, past which they are lost.
pub const EVENT_QUEUE_LIMIT: usize = 8192;
const SEND_QUEUE_LIMIT: usize = 2048;
/// A request that crosses the close of its connection within this is sent again, once.
const CLOSE_RACE_WINDOW: Duration = Duration::from_millis(50);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// What a router asks a server for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AttemptMessage {
    pub id: u64,
    pub class: String,
    pub key: Key,
    pub source: Option<String>,
    pub priority: usize,
    pub max_age_ms: Option<u64>,
    pub only_if_cached: bool,
    pub store_at_parent: bool,
}

/// A final answer as a client reads it.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    /// What the body says of itself: the part, and when it was made.
    Served(Option<(Key, u64)>),
    Rejected(Option<Duration>),
    Failed,
    /// Of no word that there is.
    Wrong,
}

pub enum Event {
    Opened {
        connection: u64,
        server: usize,
        group: usize,
        out: mpsc::Sender<Bytes>,
    },
    AttemptMessage {
        connection: u64,
        server: usize,
        group: usize,
        message: Box<AttemptMessage>,
    },
    Quit {
        connection: u64,
        id: u64,
    },
    /// A word that is to come back at once.
    Noop {
        connection: u64,
        server: usize,
        group: usize,
        tag: String,
    },
    Closed {
        connection: u64,
    },
    /// What a router sent could not be read.
    Malformed {
        description: String,
    },
    DiscoverySubscribed {
        router: usize,
        after: u64,
        out: mpsc::Sender<Bytes>,
    },
    /// A router's process was started, in its so-manieth life.
    RouterStarted {
        router: usize,
        incarnation: u32,
        child: Result<crate::children::Router, String>,
    },
    Responded {
        id: u64,
        answer: Response,
    },
    /// The connection ended with these open; or none came up.
    ConnectionLost {
        router: usize,
        ids: Vec<u64>,
        refused: bool,
    },
}

pub type Events = mpsc::Sender<Event>;

/// One line without its end, once it is there.
fn take_line(buffer: &mut BytesMut) -> Option<Bytes> {
    let end = buffer.iter().position(|b| *b == b'\n')?;
    let mut line = buffer.split_to(end + 1).freeze();
    line.truncate(end - usize::from(end > 0 && line[end - 1] == b'\r'));
    Some(line)
}

fn hex(text: &str) -> Option<u64> {
    u64::from_str_radix(text, 16).ok()
}

enum Command {
    Attempt(Box<AttemptMessage>, usize),
    Quit(u64),
    Noop(String),
}

fn parse_command(line: &str) -> Option<Command> {
    let tokens: Vec<&str> = line.split(' ').collect();
    match tokens[..] {
        ["QUIT", id] => hex(id).map(Command::Quit),
        ["NOOP", tag] if !tag.is_empty() && tag.len() <= 32 => Some(Command::Noop(tag.to_owned())),
        ["ASK", id, fields, length] => {
            let mut attempt = AttemptMessage {
                id: hex(id)?,
                store_at_parent: true,
                ..AttemptMessage::default()
            };
            for (name, value) in fields.split(',').filter_map(|field| field.split_once('=')) {
                match name {
                    "cls" => attempt.class = value.to_owned(),
                    "item" => attempt.key.0 = hex(value)?,
                    "chunk" => {
                        attempt.key.1 = value.parse().ok().or(value.is_empty().then_some(0))?
                    }
                    "src" => attempt.source = Some(value.to_owned()),
                    "keep" => attempt.priority = value.parse().ok().filter(|rank| *rank < 4)?,
                    "maxage" => attempt.max_age_ms = Some(value.parse().ok()?).filter(|ms| *ms > 0),
                    "flags" => {
                        attempt.only_if_cached =
                            value.split('+').any(|word| word == "only-if-cached");
                        attempt.store_at_parent =
                            !value.split('+').any(|word| word == "no-store-up");
                    }
                    _ => {}
                }
            }
            Some(Command::Attempt(
                Box::new(attempt),
                length.parse().ok().filter(|l| *l <= 64_000)?,
            ))
        }
        _ => None,
    }
}

/// Where a server listens for one group of routers: it can close its door and open it again.
pub struct ServerListener {
    pub address: SocketAddr,
    is_open: watch::Sender<bool>,
}

impl ServerListener {
    pub fn close(&self) {
        self.is_open.send_replace(false);
    }

    pub fn reopen(&self) {
        self.is_open.send_replace(true);
    }
}

/// # Errors
/// Of the system, in words.
pub fn start_listener(
    address: &str,
    server: usize,
    group: usize,
    numbers: watch::Sender<u64>,
    events: Events,
) -> Result<ServerListener, String> {
    let listener = bind(&format!("{address}:0"))?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    let (is_open, mut open_state) = watch::channel(true);
    spawn_local(async move {
        let mut listener = Some(listener);
        loop {
            match &listener {
                Some(bound) => tokio::select! {
                    come = bound.accept() => {
                        let Ok((stream, _)) = come else { continue };
                        let mut connection = 0;
                        numbers.send_modify(|last| { *last += 1; connection = *last; });
                        spawn_local(serve_connection(stream, connection, server, group, events.clone()));
                    }
                    changed = open_state.changed() => {
                        if changed.is_err() { return }
                        if !*open_state.borrow() { listener = None }
                    }
                },
                None => {
                    if open_state.changed().await.is_err() {
                        return;
                    }
                    if *open_state.borrow() {
                        listener = bind(&address.to_string()).ok();
                    }
                }
            }
        }
    });
    Ok(ServerListener { address, is_open })
}

/// # Errors
/// Of the system, in words.
pub fn bind(at: &str) -> Result<TcpListener, String> {
    let listener = std::net::TcpListener::bind(at).map_err(|e| format!("{at}: {e}"))?;
    listener.set_nonblocking(true).map_err(|e| e.to_string())?;
    TcpListener::from_std(listener).map_err(|e| e.to_string())
}

async fn serve_connection(
    stream: TcpStream,
    connection: u64,
    server: usize,
    group: usize,
    events: Events,
) {
    let (out, mut replies) = mpsc::channel(SEND_QUEUE_LIMIT);
    let _ = stream.set_nodelay(true);
    if events
        .send(Event::Opened {
            connection,
            server,
            group,
            out,
        })
        .await
        .is_err()
    {
        return;
    }
    let (mut reader, mut writer) = stream.into_split();
    let mut buffer = BytesMut::with_capacity(4096);
    let mut body = None;
    'open: loop {
        tokio::select! {
            reply = replies.recv() => {
                // The world has let go of it: it is reset, as by a process that died.
                let Some(reply) = reply else {
                    let reunited = reader.reunite(writer);
                    if let Ok(stream) = reunited { let _ = stream.set_zero_linger(); }
                    return;
                };
                if writer.write_all(&reply).await.is_err() { break }
            }
            read = reader.read_buf(&mut buffer) => {
                if !matches!(read, Ok(n) if n > 0) { break }
                loop {
                    if let Some((message, length)) = body.take() {
                        if buffer.len() < length + 2 {
                            body = Some((message, length));
                            break;
                        }
                        buffer.advance(length + 2);
                        let event = Event::AttemptMessage { connection, server, group, message };
                        if events.send(event).await.is_err() { break 'open }
                        continue;
                    }
                    let Some(line) = take_line(&mut buffer) else { break };
                    match parse_command(&String::from_utf8_lossy(&line)) {
                        Some(Command::Attempt(attempt, length)) => body = Some((attempt, length)),
                        Some(Command::Quit(id)) => {
                            if events.send(Event::Quit { connection, id }).await.is_err() { break 'open }
                        }
                        Some(Command::Noop(tag)) => {
                            let event = Event::Noop { connection, server, group, tag };
                            if events.send(event).await.is_err() { break 'open }
                        }
                        None => {
                            let description = format!("to server {server}: {}", String::from_utf8_lossy(&line));
                            let _ = events.send(Event::Malformed { description }).await;
                            break 'open;
                        }
                    }
                }
            }
        }
    }
    let _ = events.send(Event::Closed { connection }).await;
}

/// Discovery of one router.
///
/// # Errors
/// Of the system, in words.
pub fn serve_discovery(at: &str, router: usize, events: Events) -> Result<SocketAddr, String> {
    let listener = bind(&format!("{at}:0"))?;
    let at = listener.local_addr().map_err(|e| e.to_string())?;
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(send_discovery(stream, router, events.clone()));
        }
    });
    Ok(at)
}

async fn send_discovery(mut stream: TcpStream, router: usize, events: Events) {
    let mut buffer = BytesMut::new();
    let subscription = loop {
        if let Some(line) = take_line(&mut buffer) {
            break String::from_utf8_lossy(&line).into_owned();
        }
        if !matches!(stream.read_buf(&mut buffer).await, Ok(n) if n > 0) {
            return;
        }
    };
    let Some(after) = subscription
        .strip_prefix("watch ")
        .and_then(|n| n.parse().ok())
    else {
        let _ = events
            .send(Event::Malformed {
                description: format!("to discovery: {subscription}"),
            })
            .await;
        return;
    };
    let (out, mut lines) = mpsc::channel::<Bytes>(SEND_QUEUE_LIMIT);
    if events
        .send(Event::DiscoverySubscribed { router, after, out })
        .await
        .is_err()
    {
        return;
    }
    loop {
        tokio::select! {
            said = lines.recv() => match said {
                Some(said) => if stream.write_all(&said).await.is_err() { return },
                None => return,
            },
            read = stream.read_buf(&mut buffer) => {
                if !matches!(read, Ok(n) if n > 0) { return }
                buffer.clear();
            }
        }
    }
}

/// A request that a client sends: its id, and its fields and body as they go out.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: u64,
    pub class: &'static str,
    pub fields: String,
    pub body: Bytes,
}

fn encode_array(parts: &[&[u8]]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", parts.len()).into_bytes();
    for part in parts {
        bytes.extend(format!("${}\r\n", part.len()).as_bytes());
        bytes.extend(*part);
        bytes.extend(b"\r\n");
    }
    bytes
}

/// The length behind a sign at `at`, and where its line ends.
fn parse_length(buffer: &[u8], at: usize, sign: u8) -> Option<Result<(usize, usize), ()>> {
    let rest = &buffer[at..];
    let end = rest.iter().position(|b| *b == b'\n')?;
    let digits = rest
        .get(1..end.saturating_sub(1))
        .and_then(|d| std::str::from_utf8(d).ok()?.parse().ok());
    Some(match (rest[0] == sign, digits) {
        (true, Some(n)) if n <= 1 << 20 => Ok((n, at + end + 1)),
        _ => Err(()),
    })
}

/// A whole answer: its parts.
fn decode_array(buffer: &mut BytesMut) -> Result<Option<Vec<Bytes>>, ()> {
    let Some(head) = (!buffer.is_empty())
        .then(|| parse_length(buffer, 0, b'*'))
        .flatten()
    else {
        return Ok(None);
    };
    let (count, mut at) = head?;
    let mut ranges = Vec::new();
    for _ in 0..count.min(16) {
        if at >= buffer.len() {
            return Ok(None);
        }
        let Some(part) = parse_length(buffer, at, b'$') else {
            return Ok(None);
        };
        let (length, from) = part?;
        if buffer.len() < from + length + 2 {
            return Ok(None);
        }
        ranges.push(from..from + length);
        at = from + length + 2;
    }
    let message = buffer.split_to(at).freeze();
    Ok(Some(
        ranges
            .into_iter()
            .map(|range| message.slice(range))
            .collect(),
    ))
}

/// What a body says of itself, as [`body`] wrote it.
fn parse_body(body: &[u8]) -> Option<(Key, u64)> {
    let text = std::str::from_utf8(body.get(..body.iter().position(|b| *b == b'|')?)?).ok()?;
    let mut parts = text.split(':');
    let (object, part, made) = (
        hex(parts.next()?)?,
        parts.next()?.parse().ok()?,
        parts.next()?.parse().ok()?,
    );
    Some(((object, part), made))
}

/// A body of a part that was made then; some bytes for each KB that it counts as.
pub fn encode_body(key: Key, made: u64, kb: f64) -> Vec<u8> {
    let mut bytes = format!("{:016x}:{}:{made}|", key.0, key.1).into_bytes();
    let pattern = (key.0 % 251) as u8;
    bytes.resize(bytes.len() + (kb * 4.0) as usize, pattern);
    bytes
}

fn parse_response(parts: &[Bytes]) -> Option<(u64, Response)> {
    let [tag, word, fields, body] = parts else {
        return None;
    };
    let tag = std::str::from_utf8(tag).ok()?.parse().ok()?;
    let fields = String::from_utf8_lossy(fields);
    let field = |name: &str| {
        fields
            .split(',')
            .filter_map(|f| f.split_once('='))
            .find(|(n, _)| *n == name)
            .map(|(_, v)| v)
    };
    let answer = match &word[..] {
        b"ACK" => Response::Served(parse_body(body)),
        b"NAK" => Response::Rejected(
            field("w")
                .and_then(|ms| ms.parse().ok())
                .map(Duration::from_millis),
        ),
        b"" => Response::Wrong,
        _ => Response::Failed,
    };
    Some((tag, answer))
}

/// The clients of one router that share a connection; opened when there is something to ask.
pub fn client_connection(at: SocketAddr, router: usize, events: Events) -> mpsc::Sender<Request> {
    let (sender, mut requests) = mpsc::channel::<Request>(SEND_QUEUE_LIMIT);
    spawn_local(async move {
        let mut pending: Vec<Request> = Vec::new();
        loop {
            let first = match pending.pop() {
                Some(request) => request,
                None => match requests.recv().await {
                    Some(request) => request,
                    None => return,
                },
            };
            let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(at)).await;
            let Ok(Ok(stream)) = stream else {
                let ids = std::iter::once(first.id)
                    .chain(pending.drain(..).map(|r| r.id))
                    .collect();
                let _ = events
                    .send(Event::ConnectionLost {
                        router,
                        ids,
                        refused: true,
                    })
                    .await;
                continue;
            };
            let _ = stream.set_nodelay(true);
            let mut open_requests = HashMap::new();
            pending.push(first);
            let closed_cleanly = exchange(
                stream,
                &mut pending,
                &mut open_requests,
                &mut requests,
                &events,
            )
            .await;
            let now = Instant::now();
            let (resendable, lost): (Vec<_>, Vec<_>) =
                open_requests
                    .into_values()
                    .partition(|(_, sent, was_resent)| {
                        closed_cleanly && !was_resent && now < *sent + CLOSE_RACE_WINDOW
                    });
            pending = resendable
                .into_iter()
                .map(|(request, _, _)| request)
                .collect();
            let ids: Vec<u64> = lost.into_iter().map(|(request, _, _)| request.id).collect();
            if !ids.is_empty() {
                let _ = events
                    .send(Event::ConnectionLost {
                        router,
                        ids,
                        refused: false,
                    })
                    .await;
            }
        }
    });
    sender
}

type OpenRequests = HashMap<u64, (Request, Instant, bool)>;

/// Until the connection ends; true where it was closed in order.
async fn exchange(
    mut stream: TcpStream,
    pending: &mut Vec<Request>,
    open_requests: &mut OpenRequests,
    requests: &mut mpsc::Receiver<Request>,
    events: &Events,
) -> bool {
    let (mut reader, mut writer) = stream.split();
    let (mut tag, mut buffer) = (0u64, BytesMut::with_capacity(4096));
    loop {
        let mut next = pending.pop().map(|request| (request, true));
        if next.is_none() {
            tokio::select! {
                request = requests.recv() => match request {
                    Some(request) => next = Some((request, false)),
                    None => return true,
                },
                received = reader.read_buf(&mut buffer) => {
                    match received {
                        Ok(0) => return true,
                        Err(_) => return false,
                        Ok(_) => {}
                    }
                    loop {
                        match decode_array(&mut buffer) {
                            Ok(None) => break,
                            Ok(Some(parts)) => {
                                let Some((tag, answer)) = parse_response(&parts) else { return false };
                                // A tag that is not open was answered before: told under its own number.
                                let id = open_requests.remove(&tag).map(|(request, _, _)| request.id);
                                if let Some(id) = id {
                                    let _ = events.send(Event::Responded { id, answer }).await;
                                } else {
                                    let description = format!("a second answer to tag {tag}");
                                    let _ = events.send(Event::Malformed { description }).await;
                                }
                            }
                            Err(()) => return false,
                        }
                    }
                }
            }
        }
        if let Some((request, was_resent)) = next {
            tag += 1;
            let number = tag.to_string();
            let (class, fields) = (request.class.as_bytes(), request.fields.as_bytes());
            let bytes = encode_array(&[b"REQ", number.as_bytes(), class, fields, &request.body]);
            open_requests.insert(tag, (request, Instant::now(), was_resent));
            if writer.write_all(&bytes).await.is_err() {
                return true;
            }
        }
    }
}

/// The router says that it serves.
pub async fn green(at: SocketAddr) -> bool {
    let asked = async {
        let mut stream = TcpStream::connect(at).await.ok()?;
        stream
            .write_all(&encode_array(&[b"HEALTH", b"1", b""]))
            .await
            .ok()?;
        let mut buffer = BytesMut::new();
        loop {
            if let Some(parts) = decode_array(&mut buffer).ok()? {
                return Some(parts.get(1).is_some_and(|word| &word[..] == b"GREEN"));
            }
            if stream.read_buf(&mut buffer).await.ok()? == 0 {
                return None;
            }
        }
    };
    timeout(Duration::from_secs(1), asked)
        .await
        .ok()
        .flatten()
        .unwrap_or(false)
}

#[cfg(test)]
mod tests;
