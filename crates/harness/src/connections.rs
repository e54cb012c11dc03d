//! The harness's ends of the routers' connections: cache servers, parents and origin, discovery
//! services, clients. Each connection is a task that reads whole messages, passes them to the runner as
//! events, and writes what the runner sends. The tasks hold no state of the model.

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

/// Capacity of the queue of events to the runner, and of each connection's send queue; the runner drops
/// messages when the latter is full.
pub const EVENT_QUEUE_LIMIT: usize = 8192;
const SEND_QUEUE_LIMIT: usize = 2048;
/// A request that crosses an orderly close of its connection within this time is sent again, once.
const CLOSE_RACE_WINDOW: Duration = Duration::from_millis(50);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// What a router asks of a server.
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

/// A final response as a client reads it.
#[derive(Clone, Debug, PartialEq)]
pub enum Response {
    /// Key and creation time from the body.
    Served(Option<(Key, u64)>),
    Rejected(Option<Duration>),
    Failed,
    /// The status word is empty.
    Wrong,
}

pub enum Event {
    Opened {
        connection: u64,
        server: usize,
        group: usize,
        sender: mpsc::Sender<Bytes>,
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
    /// A message to be echoed at once.
    Noop {
        connection: u64,
        server: usize,
        group: usize,
        tag: String,
    },
    Closed {
        connection: u64,
    },
    /// A message from a router that cannot be parsed.
    Malformed {
        description: String,
    },
    DiscoverySubscribed {
        router: usize,
        after: u64,
        sender: mpsc::Sender<Bytes>,
    },
    /// Result of starting a router's process.
    RouterStarted {
        router: usize,
        incarnation: u32,
        child: Result<crate::processes::RouterProcess, String>,
    },
    Responded {
        id: u64,
        response: Response,
    },
    /// A connection ended with these requests open, or could not be opened.
    ConnectionLost {
        router: usize,
        ids: Vec<u64>,
        refused: bool,
    },
}

pub type Events = mpsc::Sender<Event>;

/// Takes one line without its line end, once it is complete.
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

/// A server's listener for one group of routers; it can be closed and reopened.
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
/// The address could not be bound.
pub fn start_listener(
    address: &str,
    server: usize,
    group: usize,
    connection_ids: watch::Sender<u64>,
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
                    accepted = bound.accept() => {
                        let Ok((stream, _)) = accepted else { continue };
                        let mut connection = 0;
                        connection_ids.send_modify(|last| { *last += 1; connection = *last; });
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
/// The address could not be bound.
pub fn bind(address: &str) -> Result<TcpListener, String> {
    let listener = std::net::TcpListener::bind(address).map_err(|e| format!("{address}: {e}"))?;
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
    let (sender, mut replies) = mpsc::channel(SEND_QUEUE_LIMIT);
    let _ = stream.set_nodelay(true);
    if events
        .send(Event::Opened {
            connection,
            server,
            group,
            sender,
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
                // The runner dropped the connection: reset it, as a process that died would.
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
                            let description = format!("malformed message to server {server}: {}", String::from_utf8_lossy(&line));
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

/// Serves discovery to one router.
///
/// # Errors
/// The address could not be bound.
pub fn serve_discovery(address: &str, router: usize, events: Events) -> Result<SocketAddr, String> {
    let listener = bind(&format!("{address}:0"))?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(send_discovery(stream, router, events.clone()));
        }
    });
    Ok(address)
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
                description: format!("malformed message to discovery: {subscription}"),
            })
            .await;
        return;
    };
    let (sender, mut lines) = mpsc::channel::<Bytes>(SEND_QUEUE_LIMIT);
    if events
        .send(Event::DiscoverySubscribed {
            router,
            after,
            sender,
        })
        .await
        .is_err()
    {
        return;
    }
    loop {
        tokio::select! {
            line = lines.recv() => match line {
                Some(line) => if stream.write_all(&line).await.is_err() { return },
                None => return,
            },
            read = stream.read_buf(&mut buffer) => {
                if !matches!(read, Ok(n) if n > 0) { return }
                buffer.clear();
            }
        }
    }
}

/// A client's request message: its id, and its fields and body as sent.
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

/// Parses the length after the type byte at `at`; returns it and the position after its line.
fn parse_length(buffer: &[u8], start: usize, type_byte: u8) -> Option<Result<(usize, usize), ()>> {
    let rest = &buffer[start..];
    let end = rest.iter().position(|b| *b == b'\n')?;
    let digits = rest
        .get(1..end.saturating_sub(1))
        .and_then(|d| std::str::from_utf8(d).ok()?.parse().ok());
    Some(match (rest[0] == type_byte, digits) {
        (true, Some(n)) if n <= 1 << 20 => Ok((n, start + end + 1)),
        _ => Err(()),
    })
}

/// Decodes one complete array into its parts.
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

/// Parses a body written by [`encode_body`].
fn parse_body(body: &[u8]) -> Option<(Key, u64)> {
    let text = std::str::from_utf8(body.get(..body.iter().position(|b| *b == b'|')?)?).ok()?;
    let mut parts = text.split(':');
    let (object, part, created_ms) = (
        hex(parts.next()?)?,
        parts.next()?.parse().ok()?,
        parts.next()?.parse().ok()?,
    );
    Some(((object, part), created_ms))
}

/// Body of a part created at `made`; it holds four bytes for each KB that it represents.
pub fn encode_body(key: Key, created_ms: u64, kb: f64) -> Vec<u8> {
    let mut bytes = format!("{:016x}:{}:{created_ms}|", key.0, key.1).into_bytes();
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
    let response = match &word[..] {
        b"ACK" => Response::Served(parse_body(body)),
        b"NAK" => Response::Rejected(
            field("w")
                .and_then(|ms| ms.parse().ok())
                .map(Duration::from_millis),
        ),
        b"" => Response::Wrong,
        _ => Response::Failed,
    };
    Some((tag, response))
}

/// A connection that clients share to one router; opened when there is a request to send.
pub fn client_connection(
    address: SocketAddr,
    router: usize,
    events: Events,
) -> mpsc::Sender<Request> {
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
            let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
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

/// Exchanges messages until the connection ends; returns whether it was closed in order.
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
                                let Some((tag, response)) = parse_response(&parts) else { return false };
                                // No open request has this tag: it was answered before.
                                let id = open_requests.remove(&tag).map(|(request, _, _)| request.id);
                                if let Some(id) = id {
                                    let _ = events.send(Event::Responded { id, response }).await;
                                } else {
                                    let description = format!("second response to tag {tag}");
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

/// Whether the router reports that it serves (`GREEN`).
pub async fn is_serving(address: SocketAddr) -> bool {
    let check = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
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
    timeout(Duration::from_secs(1), check)
        .await
        .ok()
        .flatten()
        .unwrap_or(false)
}

#[cfg(test)]
mod tests;
