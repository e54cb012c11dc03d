//! The stand-ins' ends of the routers' connections: cache servers, parents and origin, discovery services,
//! clients. Each connection is a task that reads whole messages, hands them to the world, and writes what the
//! world says. Nothing is known here of what is true.

use crate::copies::Key;
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
pub const EVENTS_MOST: usize = 8192;
const OUT_MOST: usize = 2048;
/// A request that crosses the close of its connection within this is sent again, once.
const CROSSED: Duration = Duration::from_millis(50);
const CONNECT_WITHIN: Duration = Duration::from_millis(400);

/// What a router asks a server for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Asked {
    pub id: u64,
    pub class: String,
    pub key: Key,
    pub source: Option<String>,
    pub keep: usize,
    pub oldest_ms: Option<u64>,
    pub only_held: bool,
    pub parent_keeps: bool,
}

/// A final answer as a client reads it.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
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
    Asked {
        connection: u64,
        server: usize,
        group: usize,
        asked: Box<Asked>,
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
    Nonsense {
        what: String,
    },
    Watching {
        router: usize,
        after: u64,
        out: mpsc::Sender<Bytes>,
    },
    /// A router's process was started, in its so-manieth life.
    Started {
        router: usize,
        life: u32,
        child: Result<crate::children::Router, String>,
    },
    Answered {
        id: u64,
        answer: Answer,
    },
    /// The connection ended with these open; or none came up.
    Broke {
        router: usize,
        ids: Vec<u64>,
        refused: bool,
    },
}

pub type Events = mpsc::Sender<Event>;

/// One line without its end, once it is there.
fn line(buffer: &mut BytesMut) -> Option<Bytes> {
    let end = buffer.iter().position(|b| *b == b'\n')?;
    let mut line = buffer.split_to(end + 1).freeze();
    line.truncate(end - usize::from(end > 0 && line[end - 1] == b'\r'));
    Some(line)
}

fn hex(text: &str) -> Option<u64> {
    u64::from_str_radix(text, 16).ok()
}

enum Order {
    Ask(Box<Asked>, usize),
    Quit(u64),
    Noop(String),
}

fn order(line: &str) -> Option<Order> {
    let words: Vec<&str> = line.split(' ').collect();
    match words[..] {
        ["QUIT", id] => hex(id).map(Order::Quit),
        ["NOOP", tag] if !tag.is_empty() && tag.len() <= 32 => Some(Order::Noop(tag.to_owned())),
        ["ASK", id, fields, length] => {
            let mut asked = Asked {
                id: hex(id)?,
                parent_keeps: true,
                ..Asked::default()
            };
            for (name, value) in fields.split(',').filter_map(|field| field.split_once('=')) {
                match name {
                    "cls" => asked.class = value.to_owned(),
                    "item" => asked.key.0 = hex(value)?,
                    "chunk" => {
                        asked.key.1 = value.parse().ok().or(value.is_empty().then_some(0))?
                    }
                    "src" => asked.source = Some(value.to_owned()),
                    "keep" => asked.keep = value.parse().ok().filter(|rank| *rank < 4)?,
                    "maxage" => asked.oldest_ms = Some(value.parse().ok()?).filter(|ms| *ms > 0),
                    "flags" => {
                        asked.only_held = value.split('+').any(|word| word == "only-if-cached");
                        asked.parent_keeps = !value.split('+').any(|word| word == "no-store-up");
                    }
                    _ => {}
                }
            }
            Some(Order::Ask(
                Box::new(asked),
                length.parse().ok().filter(|l| *l <= 64_000)?,
            ))
        }
        _ => None,
    }
}

/// Where a server listens for one group of routers: it can close its door and open it again.
pub struct Door {
    pub at: SocketAddr,
    open: watch::Sender<bool>,
}

impl Door {
    pub fn shut(&self) {
        self.open.send_replace(false);
    }

    pub fn open_again(&self) {
        self.open.send_replace(true);
    }
}

/// # Errors
/// Of the system, in words.
pub fn door(
    at: &str,
    server: usize,
    group: usize,
    numbers: watch::Sender<u64>,
    events: Events,
) -> Result<Door, String> {
    let listener = bind(&format!("{at}:0"))?;
    let at = listener.local_addr().map_err(|e| e.to_string())?;
    let (open, mut is_open) = watch::channel(true);
    spawn_local(async move {
        let mut listener = Some(listener);
        loop {
            match &listener {
                Some(there) => tokio::select! {
                    come = there.accept() => {
                        let Ok((stream, _)) = come else { continue };
                        let mut connection = 0;
                        numbers.send_modify(|last| { *last += 1; connection = *last; });
                        spawn_local(serve(stream, connection, server, group, events.clone()));
                    }
                    changed = is_open.changed() => {
                        if changed.is_err() { return }
                        if !*is_open.borrow() { listener = None }
                    }
                },
                None => {
                    if is_open.changed().await.is_err() {
                        return;
                    }
                    if *is_open.borrow() {
                        listener = bind(&at.to_string()).ok();
                    }
                }
            }
        }
    });
    Ok(Door { at, open })
}

/// # Errors
/// Of the system, in words.
pub fn bind(at: &str) -> Result<TcpListener, String> {
    let listener = std::net::TcpListener::bind(at).map_err(|e| format!("{at}: {e}"))?;
    listener.set_nonblocking(true).map_err(|e| e.to_string())?;
    TcpListener::from_std(listener).map_err(|e| e.to_string())
}

async fn serve(stream: TcpStream, connection: u64, server: usize, group: usize, events: Events) {
    let (out, mut outs) = mpsc::channel(OUT_MOST);
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
            said = outs.recv() => {
                // The world has let go of it: it is reset, as by a process that died.
                let Some(said) = said else {
                    let whole = reader.reunite(writer);
                    if let Ok(stream) = whole { let _ = stream.set_zero_linger(); }
                    return;
                };
                if writer.write_all(&said).await.is_err() { break }
            }
            read = reader.read_buf(&mut buffer) => {
                if !matches!(read, Ok(n) if n > 0) { break }
                loop {
                    if let Some((asked, length)) = body.take() {
                        if buffer.len() < length + 2 {
                            body = Some((asked, length));
                            break;
                        }
                        buffer.advance(length + 2);
                        let come = Event::Asked { connection, server, group, asked };
                        if events.send(come).await.is_err() { break 'open }
                        continue;
                    }
                    let Some(line) = line(&mut buffer) else { break };
                    match order(&String::from_utf8_lossy(&line)) {
                        Some(Order::Ask(asked, length)) => body = Some((asked, length)),
                        Some(Order::Quit(id)) => {
                            if events.send(Event::Quit { connection, id }).await.is_err() { break 'open }
                        }
                        Some(Order::Noop(tag)) => {
                            let come = Event::Noop { connection, server, group, tag };
                            if events.send(come).await.is_err() { break 'open }
                        }
                        None => {
                            let what = format!("to server {server}: {}", String::from_utf8_lossy(&line));
                            let _ = events.send(Event::Nonsense { what }).await;
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
pub fn discovery(at: &str, router: usize, events: Events) -> Result<SocketAddr, String> {
    let listener = bind(&format!("{at}:0"))?;
    let at = listener.local_addr().map_err(|e| e.to_string())?;
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(tell(stream, router, events.clone()));
        }
    });
    Ok(at)
}

async fn tell(mut stream: TcpStream, router: usize, events: Events) {
    let mut buffer = BytesMut::new();
    let watch = loop {
        if let Some(line) = line(&mut buffer) {
            break String::from_utf8_lossy(&line).into_owned();
        }
        if !matches!(stream.read_buf(&mut buffer).await, Ok(n) if n > 0) {
            return;
        }
    };
    let Some(after) = watch.strip_prefix("watch ").and_then(|n| n.parse().ok()) else {
        let _ = events
            .send(Event::Nonsense {
                what: format!("to discovery: {watch}"),
            })
            .await;
        return;
    };
    let (out, mut outs) = mpsc::channel::<Bytes>(OUT_MOST);
    if events
        .send(Event::Watching { router, after, out })
        .await
        .is_err()
    {
        return;
    }
    loop {
        tokio::select! {
            said = outs.recv() => match said {
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

fn array(parts: &[&[u8]]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", parts.len()).into_bytes();
    for part in parts {
        bytes.extend(format!("${}\r\n", part.len()).as_bytes());
        bytes.extend(*part);
        bytes.extend(b"\r\n");
    }
    bytes
}

/// The length behind a sign at `at`, and where its line ends.
fn length(buffer: &[u8], at: usize, sign: u8) -> Option<Result<(usize, usize), ()>> {
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
fn answer(buffer: &mut BytesMut) -> Result<Option<Vec<Bytes>>, ()> {
    let Some(head) = (!buffer.is_empty())
        .then(|| length(buffer, 0, b'*'))
        .flatten()
    else {
        return Ok(None);
    };
    let (count, mut at) = head?;
    let mut places = Vec::new();
    for _ in 0..count.min(16) {
        if at >= buffer.len() {
            return Ok(None);
        }
        let Some(part) = length(buffer, at, b'$') else {
            return Ok(None);
        };
        let (long, from) = part?;
        if buffer.len() < from + long + 2 {
            return Ok(None);
        }
        places.push(from..from + long);
        at = from + long + 2;
    }
    let whole = buffer.split_to(at).freeze();
    Ok(Some(
        places.into_iter().map(|place| whole.slice(place)).collect(),
    ))
}

/// What a body says of itself, as [`body`] wrote it.
fn says(body: &[u8]) -> Option<(Key, u64)> {
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
pub fn body(key: Key, made: u64, kb: f64) -> Vec<u8> {
    let mut bytes = format!("{:016x}:{}:{made}|", key.0, key.1).into_bytes();
    let pattern = (key.0 % 251) as u8;
    bytes.resize(bytes.len() + (kb * 4.0) as usize, pattern);
    bytes
}

fn read(parts: &[Bytes]) -> Option<(u64, Answer)> {
    let [tag, word, fields, body] = parts else {
        return None;
    };
    let tag = std::str::from_utf8(tag).ok()?.parse().ok()?;
    let fields = String::from_utf8_lossy(fields);
    let of = |name: &str| {
        fields
            .split(',')
            .filter_map(|f| f.split_once('='))
            .find(|(n, _)| *n == name)
            .map(|(_, v)| v)
    };
    let answer = match &word[..] {
        b"ACK" => Answer::Served(says(body)),
        b"NAK" => Answer::Rejected(
            of("w")
                .and_then(|ms| ms.parse().ok())
                .map(Duration::from_millis),
        ),
        b"" => Answer::Wrong,
        _ => Answer::Failed,
    };
    Some((tag, answer))
}

/// The clients of one router that share a connection; opened when there is something to ask.
pub fn client(at: SocketAddr, router: usize, events: Events) -> mpsc::Sender<Request> {
    let (sender, mut requests) = mpsc::channel::<Request>(OUT_MOST);
    spawn_local(async move {
        let mut again: Vec<Request> = Vec::new();
        loop {
            let first = match again.pop() {
                Some(request) => request,
                None => match requests.recv().await {
                    Some(request) => request,
                    None => return,
                },
            };
            let stream = timeout(CONNECT_WITHIN, TcpStream::connect(at)).await;
            let Ok(Ok(stream)) = stream else {
                let ids = std::iter::once(first.id)
                    .chain(again.drain(..).map(|r| r.id))
                    .collect();
                let _ = events
                    .send(Event::Broke {
                        router,
                        ids,
                        refused: true,
                    })
                    .await;
                continue;
            };
            let _ = stream.set_nodelay(true);
            let mut open = HashMap::new();
            again.push(first);
            let kept = ask(stream, &mut again, &mut open, &mut requests, &events).await;
            let now = Instant::now();
            let (crossed, broke): (Vec<_>, Vec<_>) = open
                .into_values()
                .partition(|(_, sent, once)| kept && !once && now < *sent + CROSSED);
            again = crossed.into_iter().map(|(request, _, _)| request).collect();
            let ids: Vec<u64> = broke
                .into_iter()
                .map(|(request, _, _)| request.id)
                .collect();
            if !ids.is_empty() {
                let _ = events
                    .send(Event::Broke {
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

type Open = HashMap<u64, (Request, Instant, bool)>;

/// Until the connection ends; true where it was closed in order.
async fn ask(
    mut stream: TcpStream,
    again: &mut Vec<Request>,
    open: &mut Open,
    requests: &mut mpsc::Receiver<Request>,
    events: &Events,
) -> bool {
    let (mut reader, mut writer) = stream.split();
    let (mut tag, mut buffer) = (0u64, BytesMut::with_capacity(4096));
    loop {
        let mut next = again.pop().map(|request| (request, true));
        if next.is_none() {
            tokio::select! {
                request = requests.recv() => match request {
                    Some(request) => next = Some((request, false)),
                    None => return true,
                },
                come = reader.read_buf(&mut buffer) => {
                    match come {
                        Ok(0) => return true,
                        Err(_) => return false,
                        Ok(_) => {}
                    }
                    loop {
                        match answer(&mut buffer) {
                            Ok(None) => break,
                            Ok(Some(parts)) => {
                                let Some((tag, answer)) = read(&parts) else { return false };
                                // A tag that is not open was answered before: told under its own number.
                                let id = open.remove(&tag).map(|(request, _, _)| request.id);
                                if let Some(id) = id {
                                    let _ = events.send(Event::Answered { id, answer }).await;
                                } else {
                                    let what = format!("a second answer to tag {tag}");
                                    let _ = events.send(Event::Nonsense { what }).await;
                                }
                            }
                            Err(()) => return false,
                        }
                    }
                }
            }
        }
        if let Some((request, once)) = next {
            tag += 1;
            let number = tag.to_string();
            let (class, fields) = (request.class.as_bytes(), request.fields.as_bytes());
            let bytes = array(&[b"REQ", number.as_bytes(), class, fields, &request.body]);
            open.insert(tag, (request, Instant::now(), once));
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
            .write_all(&array(&[b"HEALTH", b"1", b""]))
            .await
            .ok()?;
        let mut buffer = BytesMut::new();
        loop {
            if let Some(parts) = answer(&mut buffer).ok()? {
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
