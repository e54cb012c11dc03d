//! One client's connection: reads its accesses, writes their answers in the order in which they come.

use crate::clock::Clock;
use crate::decider::{Last, Message, New, Reply};
use crate::lines::Passed;
use crate::phase::Phase;
use crate::resp::{END, Frames, answer, fields, number};
use bytes::{Buf, Bytes, BytesMut};
use chalkhall::interface::{Arrival, Id};
use std::collections::{HashMap, VecDeque};
use std::io::IoSlice;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep_until};

/// A connection carries up to 32 open requests.
const OPEN_MOST: usize = 32;
/// Answers to one connection that wait to be written; nothing more is read from it while there are more.
const UNWRITTEN_MOST: usize = 2 * OPEN_MOST;
/// A mailbox that holds an answer to each open access, and to those given up while it was not looked into.
const REPLIES_MOST: usize = 4 * OPEN_MOST;
/// No access waits for longer, whatever its client says: its timers would pile up.
const WAIT_MOST: Duration = Duration::from_secs(60);
/// A connection that takes no byte of its answers for this long is closed, and one that is idle for this long.
const STUCK: Duration = Duration::from_secs(6);
const IDLE: Duration = Duration::from_secs(30);
/// Memory kept for what a client sends.
const READ_AT_ONCE: usize = 8 * 1024;

/// What all clients share: how the categories are called, how long one may take.
pub struct Door {
    pub categories: Vec<String>,
    pub clock: Clock,
}

pub struct Client {
    pub door: Rc<Door>,
    pub decider: mpsc::Sender<Message>,
    pub phase: watch::Receiver<Phase>,
}

/// Bytes to be written, with how many of them are an object's.
#[derive(Default)]
struct Unwritten {
    pieces: VecDeque<Bytes>,
    object: usize,
}

impl Unwritten {
    fn line(&mut self, tag: u64, word: &str, fields: &str) {
        self.push(answer(tag, word, fields, 0), Bytes::new());
    }

    fn push(&mut self, head: Bytes, body: Bytes) {
        self.object += body.len();
        self.pieces
            .extend([head, body, Bytes::from_static(END)].into_iter().filter(|piece| !piece.is_empty()));
    }

    fn advance(&mut self, mut written: usize) {
        while let Some(piece) = self.pieces.front_mut().filter(|_| written > 0) {
            let part = piece.len().min(written);
            piece.advance(part);
            written -= part;
            if piece.is_empty() {
                self.pieces.pop_front();
            }
        }
    }
}

impl Client {
    pub async fn run(mut self, stream: TcpStream) {
        let mut open = HashMap::new();
        let mut unwritten = Unwritten::default();
        let (replies, mut mailbox) = mpsc::channel(REPLIES_MOST);
        if let Err(what) = self.serve(stream, &replies, &mut mailbox, &mut open, &mut unwritten).await {
            log::debug!("client: {what}");
        }
        // Bodies that nobody will read take no place any more.
        mailbox.close();
        while let Some(reply) = mailbox.recv().await {
            say(reply, &mut open, &mut unwritten);
        }
        for (tag, id) in open {
            let _ = self.decider.send(Message::Left(id, tag, replies.clone())).await;
        }
        let _ = self.decider.send(Message::Written(unwritten.object)).await;
    }

    async fn serve(
        &mut self,
        mut stream: TcpStream,
        replies: &mpsc::Sender<Reply>,
        mailbox: &mut mpsc::Receiver<Reply>,
        open: &mut HashMap<u64, Id>,
        unwritten: &mut Unwritten,
    ) -> Result<(), String> {
        stream.set_nodelay(true).map_err(|e| e.to_string())?;
        let (mut reader, mut writer) = stream.split();
        let (mut buffer, mut frames) = (BytesMut::with_capacity(READ_AT_ONCE), Frames::default());
        let (mut moved, mut phase) = (Instant::now(), self.phase.clone());
        let mut ended = *self.phase.borrow() == Phase::Ended;
        loop {
            if ended {
                while let Ok(reply) = mailbox.try_recv() {
                    say(reply, open, unwritten);
                }
                if unwritten.pieces.is_empty() {
                    return Ok(());
                }
            }
            let slices: Vec<IoSlice> = unwritten.pieces.iter().take(16).map(|p| IoSlice::new(p)).collect();
            let patience = if slices.is_empty() { IDLE } else { STUCK };
            tokio::select! {
                wrote = writer.write_vectored(&slices), if !slices.is_empty() => {
                    unwritten.advance(wrote.map_err(|e| e.to_string())?);
                    moved = Instant::now();
                    if unwritten.pieces.is_empty() && unwritten.object > 0 {
                        let _ = self.decider.send(Message::Written(std::mem::take(&mut unwritten.object))).await;
                    }
                }
                Some(reply) = mailbox.recv() => {
                    if unwritten.pieces.is_empty() {
                        moved = Instant::now();
                    }
                    say(reply, open, unwritten);
                }
                read = reader.read_buf(&mut buffer), if !ended && unwritten.pieces.len() < UNWRITTEN_MOST => {
                    if read.map_err(|e| e.to_string())? == 0 {
                        return Err("closed".into());
                    }
                    moved = Instant::now();
                    let read_at = self.door.clock.now();
                    while let Some(frame) = frames.next(&mut buffer).map_err(|e| e.0.to_string())? {
                        self.frame(frame, read_at, replies, open, unwritten).await?;
                    }
                    if buffer.capacity() - buffer.len() < 1024 {
                        buffer.reserve(READ_AT_ONCE);
                    }
                }
                _ = phase.wait_for(|phase| *phase == Phase::Ended), if !ended => ended = true,
                () = sleep_until(moved + patience), if !slices.is_empty() || open.is_empty() => {
                    return Err("idle, or takes no answers".into());
                }
            }
        }
    }

    async fn frame(
        &mut self,
        frame: Vec<Bytes>,
        read_at: Duration,
        replies: &mpsc::Sender<Reply>,
        open: &mut HashMap<u64, Id>,
        unwritten: &mut Unwritten,
    ) -> Result<(), String> {
        let mut parts = frame.into_iter();
        let verb = parts.next().unwrap_or_default();
        let tag = parts.next().and_then(|tag| number(&tag)).filter(|tag| *tag > 0).ok_or("no tag")?;
        match &verb[..] {
            b"HEALTH" => {
                let ready = self.phase.borrow().ready();
                unwritten.line(tag, if ready { "GREEN" } else { "RED" }, "");
            }
            b"ABORT" => {
                if let Some(id) = open.remove(&tag) {
                    let _ = self.decider.send(Message::Left(id, tag, replies.clone())).await;
                }
            }
            b"REQ" => {
                let (category, list, body) = (parts.next(), parts.next(), parts.next());
                let (category, list) = (category.unwrap_or_default(), list.unwrap_or_default());
                let read = self.access(category, &list, body.unwrap_or_default());
                let crowded = open.contains_key(&tag) || open.len() >= OPEN_MOST;
                match read
                    .and_then(|read| if crowded { Err("tag in use, or too many open") } else { Ok(read) })
                {
                    Ok((arrival, passed)) => {
                        open.insert(tag, arrival.id.clone());
                        let client = replies.clone();
                        let new = New { arrival, passed, read_at, tag, client };
                        let sent = self.decider.send(Message::Access(Box::new(new))).await;
                        sent.map_err(|_| "the router has ended")?;
                    }
                    Err(what) => {
                        log::debug!("client: {what}");
                        unwritten.line(tag, "FAIL", "");
                    }
                }
            }
            _ => unwritten.line(tag, "FAIL", ""),
        }
        Ok(())
    }

    fn access(&self, category: Bytes, list: &Bytes, body: Bytes) -> Result<(Arrival, Passed), &'static str> {
        let at = self.door.categories.iter().position(|name| name.as_bytes() == category);
        let mut arrival = Arrival { category: at.ok_or("unknown category")?, ..Arrival::default() };
        let mut passed = Passed { category, body, part: Bytes::from_static(b"0"), ..Passed::default() };
        for (name, value) in fields(list) {
            let digits = || number(&value).ok_or("a field that is not a number");
            match name {
                b"i" => (arrival.id, passed.id) = (hex(&value)?, value),
                b"o" => (arrival.object, passed.object) = (hex(&value)?, value),
                b"d" => arrival.left = Duration::from_millis(digits()?).min(WAIT_MOST),
                b"piece" => (arrival.part, passed.part) = (digits()?, value),
                b"lot" => arrival.group = digits()?,
                b"t" => arrival.customer = digits()? as usize,
                b"r" => arrival.repeated = &value[..] == b"1",
                b"m" => {
                    let kb = std::str::from_utf8(&value).ok().and_then(|v| v.parse::<f64>().ok());
                    arrival.kb = kb.filter(|kb| (0.0..1e9).contains(kb)).ok_or("a size that is none")?;
                }
                b"ver" => passed.have = Some(value).filter(|tag| hex(tag).is_ok()),
                _ => {}
            }
        }
        if arrival.id.is_empty() || arrival.object.is_empty() || arrival.left.is_zero() {
            return Err("no id, no object or no time left");
        }
        Ok((arrival, passed))
    }
}

/// An id of 16 hex digits.
fn hex(value: &[u8]) -> Result<Id, &'static str> {
    let fine = value.len() == 16 && value.iter().all(u8::is_ascii_hexdigit);
    std::str::from_utf8(value).ok().filter(|_| fine).map(Id::from).ok_or("an id that is not 16 hex digits")
}

/// Words an access's final answer, unless the client has given it up.
fn say(reply: Reply, open: &mut HashMap<u64, Id>, unwritten: &mut Unwritten) {
    let Reply { tag, id, last } = reply;
    if open.get(&tag) != Some(&id) {
        if let Last::Honoured { body, .. } = last {
            unwritten.object += body.len();
        }
        return;
    }
    open.remove(&tag);
    let version = |etag: Option<Bytes>, before: &str| match etag {
        Some(etag) => format!("{before}ver={}", String::from_utf8_lossy(&etag)),
        None => before.trim_end_matches(',').to_owned(),
    };
    match last {
        Last::Honoured { etag, body } => {
            unwritten.push(answer(tag, "ACK", &version(etag, ""), body.len()), body);
        }
        Last::Unchanged { etag } => unwritten.line(tag, "ACK", &version(etag, "unchanged=1,")),
        Last::Declined(Some(advice)) => unwritten.line(tag, "NAK", &format!("w={}", advice.as_millis())),
        Last::Declined(None) => unwritten.line(tag, "NAK", ""),
        Last::GivenUp => unwritten.line(tag, "FAIL", ""),
    }
}
