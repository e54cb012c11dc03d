//! One client's connection: reads its requests, writes their answers in the order in which they come.

mod read_watch;

use crate::client_protocol::{END, Frames, ProtocolError, answer, fields, number};
use crate::clock::Clock;
use crate::io_errors::set_nodelay;
use crate::lifecycle::Phase;
use crate::messages::{
    CancellationFlag, ClientReply, FinalAnswer, Message, NewRequest, Place, Word,
};
use crate::server_connection::at;
use crate::server_protocol::ForwardedFields;
use crate::uninterrupted::Uninterrupted;
use bytes::{Buf, Bytes, BytesMut};
use chalkhall::interface::{Arrival, Id};
use read_watch::ReadWatch;
use std::collections::{HashMap, HashSet, VecDeque};
use std::convert::Infallible;
use std::io::{self, IoSlice};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, tcp::ReadHalf};
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, timeout, timeout_at};

/// A connection carries up to 32 open requests.
const OPEN_MOST: usize = 32;
/// The pieces of an answer that waits to be written: what comes before its body, the body, the end.
const ANSWER_PIECES: usize = 3;
/// More than this wait to be written only for a client that asks for more than a connection carries, or calls
/// much off: what it asks for then is rejected.
const REJECT_FROM: usize = ANSWER_PIECES * OPEN_MOST;
/// Past this many nothing more is read from it, and nothing of it stays open: what it calls off, or its close,
/// would lie unread while attempts begin for it.
const UNWRITTEN_MOST: usize = 4 * REJECT_FROM;
/// A mailbox that holds an answer to each open request, and to those given up while it was not looked into.
const REPLIES_MOST: usize = 4 * OPEN_MOST;
/// No request waits for longer, whatever its client says: its timers would pile up.
const WAIT_MOST: Duration = Duration::from_secs(60);
const GROUP_MOST: u64 = 255;
/// Bytes of an idempotency key, of which 32 are usual.
const KEY_MOST: usize = 64;
/// A connection that takes no byte of its answers for this long is closed, once no client waits for one any
/// more.
const STUCK: Duration = Duration::from_secs(6);
/// Clients close their idle connections after 4 s; those who keep them for good hold descriptors for nothing.
const IDLE: Duration = Duration::from_secs(5);
/// A first message, and each that has begun, comes whole within this; silence and half a message are owed an
/// end.
const WHOLE: Duration = Duration::from_secs(2);
/// For what a client whose stream cannot be read is told at last; longer while it waits for answers.
const LAST_WORDS: Duration = Duration::from_millis(200);
/// Before a close it is looked once more whether something has come: for so long, which gives the system a
/// turn; and at the end of the router, for as long in all.
const LAST_LOOK: Duration = Duration::from_millis(2);
const LAST_LOOKS: Duration = Duration::from_millis(40);
/// What crosses a close within this is sent again by its client: so long, and for so many bytes, what still
/// comes is read and dropped. A close over bytes that nobody read would reset the connection, and take
/// answers along that are still on their way.
const CROSSING: Duration = Duration::from_millis(50);
const CROSSING_BYTES: usize = 1 << 20;
/// Memory kept for what a client sends.
const READ_AT_ONCE: usize = 8 * 1024;

/// What all clients share: how the classes are called, how long one may take.
pub struct ClientFrontend {
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
    /// Top pace of one answer, in KB a second; 0: not told.
    pub kb_per_s: f64,
    /// What a client is advised whose request came as the router ended.
    pub advice: Option<Duration>,
    pub clock: Clock,
}

impl ClientFrontend {
    /// By its name in the settings; by its number where they name none.
    fn tenant(&self, name: &[u8]) -> Option<usize> {
        match &self.tenants[..] {
            [] => number(name).map(|n| n as usize),
            named => named.iter().position(|tenant| tenant.as_bytes() == name),
        }
    }
}

pub struct Client {
    pub door: Rc<ClientFrontend>,
    pub decider: mpsc::Sender<Message>,
    pub phase: watch::Receiver<Phase>,
    pub place: Place,
}

/// What a connection has waited for.
enum Event {
    Wrote(io::Result<()>),
    ClientReply(ClientReply),
    Read(io::Result<usize>),
    AskedToLeave,
    WaitedLongEnough,
}

/// Why a connection ends.
enum End {
    /// It broke, or its client closed it.
    Gone(String),
    /// With nothing open on it, by this side; or the router has ended.
    Idle(&'static str),
    /// What came cannot be read or must not come: no more is read, and what is open is answered as failed.
    ProtocolError(&'static str),
}

impl From<io::Error> for End {
    fn from(what: io::Error) -> End {
        End::Gone(what.to_string())
    }
}

impl From<ProtocolError> for End {
    fn from(what: ProtocolError) -> End {
        End::ProtocolError(what.0)
    }
}

/// Bytes to be written, with how many of them are an object's.
#[derive(Default)]
struct Unwritten {
    pieces: VecDeque<Bytes>,
    object: usize,
    /// Until when the client waits for an answer to anything that it has asked for.
    awaited_until: Option<Instant>,
}

impl Unwritten {
    fn line(&mut self, tag: u64, word: &str, fields: &str) {
        self.push(answer(tag, word, fields, 0), Bytes::new());
    }

    fn rejected(&mut self, tag: u64, advice: Option<Duration>) {
        self.line(
            tag,
            "NAK",
            &advice.map_or(String::new(), |advice| format!("w={}", advice.as_millis())),
        );
    }

    fn push(&mut self, head: Bytes, body: Bytes) {
        self.object += body.len();
        self.pieces.extend(
            [head, body, Bytes::from_static(END)]
                .into_iter()
                .filter(|piece| !piece.is_empty()),
        );
    }

    async fn write(&mut self, writer: &mut (impl AsyncWriteExt + Unpin)) -> io::Result<()> {
        let slices: Vec<IoSlice> = self
            .pieces
            .iter()
            .take(16)
            .map(|p| IoSlice::new(p))
            .collect();
        let written = Uninterrupted::new(writer).write_vectored(&slices).await?;
        self.advance(written);
        Ok(())
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

/// A request of this connection, until its final answer or its client's leaving.
struct Open {
    id: Id,
    wanted: CancellationFlag,
}

impl Client {
    pub async fn run(mut self, mut stream: TcpStream) {
        let mut open = HashMap::new();
        let mut unwritten = Unwritten::default();
        let (replies, mut mailbox) = mpsc::channel(REPLIES_MOST);
        let Err(how) = self
            .serve(
                &mut stream,
                &replies,
                &mut mailbox,
                &mut open,
                &mut unwritten,
            )
            .await;
        // Before anybody is told, lest a connection begins one meanwhile.
        open.values().for_each(|open: &Open| open.wanted.end());
        if let End::ProtocolError(_) = how {
            // Answered here, once: whatever comes for them from now on finds them closed.
            open.keys().for_each(|tag| unwritten.line(*tag, "FAIL", ""));
        }
        for (tag, open) in open.drain() {
            let _ = self
                .decider
                .send(Message::Left(open.id, tag, replies.clone()))
                .await;
        }
        match how {
            End::Gone(what) => log::debug!("client: {what}"),
            End::Idle(what) => {
                log::debug!("client: {what}");
                part(stream).await;
            }
            End::ProtocolError(what) => {
                log::debug!("client: {what}");
                let until = unwritten
                    .awaited_until
                    .max(Some(Instant::now() + LAST_WORDS));
                let last = async {
                    while !unwritten.pieces.is_empty() && unwritten.write(&mut stream).await.is_ok()
                    {
                    }
                };
                tokio::select! {
                    () = last => {}
                    () = at(until) => {}
                }
                part(stream).await;
            }
        }
        // Bodies that nobody will read take no place any more. All places for answers come back: the decider
        // has been told that nobody waits for them.
        drop(replies);
        mailbox.close();
        while let Some(reply) = mailbox.recv().await {
            say(reply, &mut open, &mut unwritten);
        }
        let _ = self.decider.send(Message::Written(unwritten.object)).await;
    }

    async fn serve(
        &mut self,
        stream: &mut TcpStream,
        replies: &mpsc::Sender<ClientReply>,
        mailbox: &mut mpsc::Receiver<ClientReply>,
        open: &mut HashMap<u64, Open>,
        unwritten: &mut Unwritten,
    ) -> Result<Infallible, End> {
        set_nodelay(stream);
        let (mut reader, mut writer) = stream.split();
        let (mut buffer, mut frames) = (BytesMut::new(), Frames::default());
        let (mut moved, mut phase) = (Instant::now(), self.phase.clone());
        let mut watch = ReadWatch::of_new_connection();
        let (mut begun, mut asked, mut said) = (None, false, (true, false));
        // It was asked for its place.
        let mut leaves = false;
        // Once the router has ended: until when what came before the end is still looked for.
        let mut ended = None;
        loop {
            if ended.is_none() && *self.phase.borrow() == Phase::Ended {
                ended = Some(Instant::now() + LAST_LOOKS);
            }
            if let Some(until) = ended {
                while let Ok(reply) = mailbox.try_recv() {
                    say(reply, open, unwritten);
                }
                if unwritten.pieces.is_empty() {
                    let until = until.min(Instant::now() + LAST_LOOK);
                    match timeout_at(until, read(&mut reader, &mut buffer)).await {
                        Ok(Ok(bytes)) if bytes > 0 => {}
                        _ => return Err(End::Idle("the router has ended")),
                    }
                    while let Some(frame) = frames.next(&mut buffer)? {
                        self.too_late(frame, unwritten);
                    }
                    continue;
                }
            }
            let idle = open.is_empty() && unwritten.pieces.is_empty() && begun.is_none();
            if (idle, asked) != said {
                said = (idle, asked);
                let word = Word {
                    number: self.place.number,
                    idle,
                    asked,
                };
                let _ = self.place.says.send(word).await;
            }
            if idle && leaves && timeout(LAST_LOOK, reader.readable()).await.is_err() {
                return Err(End::Idle("idle, and its place is needed"));
            }
            // What has come is read before anything is held against a client: the program itself may be late.
            let wait = match begun {
                _ if !unwritten.pieces.is_empty() => {
                    unwritten.awaited_until.max(Some(moved + STUCK))
                }
                Some(since) => Some(since + WHOLE),
                None if !open.is_empty() => None,
                None => Some(moved + if asked { IDLE } else { WHOLE }),
            };
            if unwritten.pieces.len() >= UNWRITTEN_MOST {
                self.fail_open(replies, open, unwritten).await;
            }
            let may_read = ended.is_none() && unwritten.pieces.len() < UNWRITTEN_MOST;
            if may_read {
                watch.begin();
            }
            let event = tokio::select! {
                biased;
                wrote = unwritten.write(&mut writer), if !unwritten.pieces.is_empty() => Event::Wrote(wrote),
                Some(reply) = mailbox.recv() => Event::ClientReply(reply),
                _ = phase.wait_for(|phase| *phase == Phase::Ended), if ended.is_none() => continue,
                read = read(&mut reader, &mut buffer), if may_read => Event::Read(read),
                // What it has just asked for is answered first.
                Some(()) = self.place.leave.recv(), if idle => Event::AskedToLeave,
                () = at(wait) => Event::WaitedLongEnough,
            };
            let unread_for = watch.unread_for();
            if may_read {
                watch.end();
            }
            match event {
                Event::Wrote(wrote) => {
                    wrote?;
                    moved = Instant::now();
                    self.written(unwritten).await;
                }
                Event::ClientReply(reply) => {
                    if unwritten.pieces.is_empty() {
                        moved = Instant::now();
                    }
                    say(reply, open, unwritten);
                    // One for a request that its client has called off leaves nothing to write.
                    self.written(unwritten).await;
                }
                Event::Read(read) => {
                    if read? == 0 {
                        return Err(End::Gone("closed".into()));
                    }
                    let received_after = self.door.clock.now().saturating_sub(unread_for);
                    while let Some(frame) = frames.next(&mut buffer)? {
                        (moved, asked, begun) = (Instant::now(), true, None);
                        let taken = self
                            .frame(frame, received_after, replies, mailbox, open, unwritten)
                            .await;
                        if taken.is_err() {
                            self.refuse_rest(&mut frames, &mut buffer, open, unwritten);
                        }
                        taken?;
                    }
                    let partly = frames.begun() || !buffer.is_empty();
                    begun = partly.then(|| begun.unwrap_or_else(Instant::now));
                    if !partly {
                        // Nobody knows when more comes: the memory is given back.
                        buffer = BytesMut::new();
                    }
                }
                Event::AskedToLeave => leaves = true,
                Event::WaitedLongEnough => {
                    return Err(match begun {
                        _ if !unwritten.pieces.is_empty() => End::Gone("takes no answers".into()),
                        Some(_) => End::ProtocolError("no whole message in time"),
                        None if timeout(LAST_LOOK, reader.readable()).await.is_ok() => continue,
                        None => End::Idle("idle"),
                    });
                }
            }
        }
    }

    /// Tells the decider of bodies that take no place any more.
    async fn written(&self, unwritten: &mut Unwritten) {
        if unwritten.pieces.is_empty() && unwritten.object > 0 {
            let _ = self
                .decider
                .send(Message::Written(std::mem::take(&mut unwritten.object)))
                .await;
        }
    }

    /// Gives the final answer to all that is open.
    async fn fail_open(
        &self,
        replies: &mpsc::Sender<ClientReply>,
        open: &mut HashMap<u64, Open>,
        unwritten: &mut Unwritten,
    ) {
        open.values().for_each(|open| open.wanted.end());
        for (tag, open) in open.drain() {
            unwritten.line(tag, "FAIL", "");
            let _ = self
                .decider
                .send(Message::Left(open.id, tag, replies.clone()))
                .await;
        }
    }

    /// Whole messages behind one that ends the connection are answered too: they were read. Each tag has one
    /// answer; those that are open get theirs at the end.
    fn refuse_rest(
        &self,
        frames: &mut Frames,
        buffer: &mut BytesMut,
        open: &HashMap<u64, Open>,
        unwritten: &mut Unwritten,
    ) {
        let mut answered: HashSet<u64> = open.keys().copied().collect();
        while let Ok(Some(frame)) = frames.next(buffer) {
            let tag = frame.get(1).and_then(|tag| number(tag));
            if tag.is_some_and(|tag| answered.insert(tag)) {
                self.too_late(frame, unwritten);
            }
        }
    }

    /// What has come behind the last that is taken, or as the router ended: it never ran.
    fn too_late(&self, frame: Vec<Bytes>, unwritten: &mut Unwritten) {
        let tag = frame
            .get(1)
            .and_then(|tag| number(tag))
            .filter(|tag| *tag > 0);
        let (Some(verb), Some(tag)) = (frame.first(), tag) else {
            return;
        };
        match &verb[..] {
            b"ABORT" => {}
            b"REQ" => unwritten.rejected(tag, self.door.advice),
            b"HEALTH" => self.health(tag, unwritten),
            _ => unwritten.line(tag, "FAIL", ""),
        }
    }

    fn health(&self, tag: u64, unwritten: &mut Unwritten) {
        let ready = self.phase.borrow().ready();
        unwritten.line(tag, if ready { "GREEN" } else { "RED" }, "");
    }

    /// A place for an answer. There are more than may be open: of those that the client has called off they
    /// come back as soon as the decider has heard of it.
    async fn place(
        replies: &mpsc::Sender<ClientReply>,
        mailbox: &mut mpsc::Receiver<ClientReply>,
        open: &mut HashMap<u64, Open>,
        unwritten: &mut Unwritten,
    ) -> Result<mpsc::OwnedPermit<ClientReply>, End> {
        loop {
            tokio::select! {
                biased;
                Some(reply) = mailbox.recv() => say(reply, open, unwritten),
                place = replies.clone().reserve_owned() => {
                    return place.map_err(|_| End::Gone("the router has ended".into()));
                }
            }
        }
    }

    async fn frame(
        &mut self,
        frame: Vec<Bytes>,
        received_after: Duration,
        replies: &mpsc::Sender<ClientReply>,
        mailbox: &mut mpsc::Receiver<ClientReply>,
        open: &mut HashMap<u64, Open>,
        unwritten: &mut Unwritten,
    ) -> Result<(), End> {
        let mut parts = frame.into_iter();
        let verb = parts.next().unwrap_or_default();
        let tag = parts
            .next()
            .and_then(|tag| number(&tag))
            .filter(|tag| *tag > 0);
        let tag = tag.ok_or(End::ProtocolError("no tag"))?;
        if open.contains_key(&tag) && &verb[..] != b"ABORT" {
            // Two answers under one tag could not be told apart: it gets one, and no more is read.
            return Err(End::ProtocolError("a tag in use"));
        }
        match &verb[..] {
            b"HEALTH" => self.health(tag, unwritten),
            b"ABORT" => {
                if let Some(Open { id, wanted }) = open.remove(&tag) {
                    wanted.end();
                    let _ = self
                        .decider
                        .send(Message::Left(id, tag, replies.clone()))
                        .await;
                }
            }
            b"REQ" => {
                let (class, list, body) = (parts.next(), parts.next(), parts.next());
                let (class, list) = (class.unwrap_or_default(), list.unwrap_or_default());
                let read = self.request(class, &list, body.unwrap_or_default());
                let crowded = open.len() >= OPEN_MOST;
                match read.and_then(|read| {
                    if crowded {
                        Err("too many open")
                    } else {
                        Ok(read)
                    }
                }) {
                    Ok(_) if unwritten.pieces.len() >= REJECT_FROM => {
                        unwritten.rejected(tag, self.door.advice);
                    }
                    Ok((arrival, passed)) => {
                        let awaited_until = self.door.clock.instant(received_after + arrival.left);
                        unwritten.awaited_until = unwritten.awaited_until.max(Some(awaited_until));
                        let client = Self::place(replies, mailbox, open, unwritten).await?;
                        let wanted = CancellationFlag::default();
                        open.insert(
                            tag,
                            Open {
                                id: arrival.id.clone(),
                                wanted: wanted.clone(),
                            },
                        );
                        let new = NewRequest {
                            arrival,
                            passed,
                            received_after,
                            tag,
                            client,
                            wanted,
                        };
                        if self
                            .decider
                            .send(Message::Request(Box::new(new)))
                            .await
                            .is_err()
                        {
                            // The router has ended meanwhile.
                            open.remove(&tag);
                            unwritten.rejected(tag, self.door.advice);
                        }
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

    fn request(
        &self,
        class: Bytes,
        list: &Bytes,
        body: Bytes,
    ) -> Result<(Arrival, ForwardedFields), &'static str> {
        let at = self
            .door
            .classes
            .iter()
            .position(|name| name.as_bytes() == class);
        let mut arrival = Arrival {
            class: at.ok_or("unknown category")?,
            ..Arrival::default()
        };
        let mut passed = ForwardedFields {
            class,
            body,
            part: Bytes::from_static(b"0"),
            ..ForwardedFields::default()
        };
        // What could not be sent while any client waits would bend what is known of its class.
        let kb_most = if self.door.kb_per_s > 0.0 {
            self.door.kb_per_s * WAIT_MOST.as_secs_f64()
        } else {
            1e9
        };
        let mut names = Vec::with_capacity(8);
        for (name, value) in fields(list) {
            if names.contains(&name) {
                return Err("a field given twice");
            }
            names.push(name);
            let digits = || number(&value).ok_or("a field that is not a number");
            match name {
                b"i" => (arrival.id, passed.id) = (hex(&value)?, value),
                b"o" => (arrival.object, passed.object) = (hex(&value)?, value),
                b"d" => arrival.left = Duration::from_millis(digits()?).min(WAIT_MOST),
                b"piece" => (arrival.part, passed.part) = (digits()?, value),
                b"lot" => {
                    arrival.group = digits()?;
                    if arrival.group > GROUP_MOST {
                        return Err("a group that is none");
                    }
                }
                b"t" => arrival.customer = self.door.tenant(&value).ok_or("unknown tenant")?,
                b"r" => arrival.repeated = &value[..] == b"1",
                b"m" => {
                    let kb = std::str::from_utf8(&value)
                        .ok()
                        .and_then(|v| v.parse::<f64>().ok());
                    arrival.kb = kb
                        .filter(|kb| (0.0..=kb_most).contains(kb))
                        .ok_or("a size that is none")?;
                }
                b"ver" => passed.have = Some(value).filter(|tag| hex(tag).is_ok()),
                b"k" => passed.idempotency_key = Some(key(value)?),
                _ => {}
            }
        }
        if arrival.id.is_empty() || arrival.object.is_empty() || arrival.left.is_zero() {
            return Err("no id, no object or no time left");
        }
        Ok((arrival, passed))
    }
}

/// Ends a connection so that all that was written arrives: nothing more is said, and what still comes is
/// dropped for a while.
async fn part(mut stream: TcpStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let (end, mut left) = (Instant::now() + CROSSING, CROSSING_BYTES);
    let mut dropped = Vec::with_capacity(READ_AT_ONCE);
    while left > 0 {
        dropped.clear();
        match timeout_at(end, Uninterrupted::new(&mut stream).read_buf(&mut dropped)).await {
            Ok(Ok(bytes)) if bytes > 0 => left = left.saturating_sub(bytes),
            _ => return,
        }
    }
}

/// Waits until something has come before it takes memory for it: most connections say nothing most of the
/// time.
async fn read(reader: &mut ReadHalf<'_>, buffer: &mut BytesMut) -> io::Result<usize> {
    reader.readable().await?;
    if buffer.capacity() - buffer.len() < 1024 {
        buffer.reserve(READ_AT_ONCE);
    }
    Uninterrupted::new(reader).read_buf(buffer).await
}

/// An id of 16 hex digits.
fn hex(value: &[u8]) -> Result<Id, &'static str> {
    let fine = value.len() == 16 && value.iter().all(u8::is_ascii_hexdigit);
    std::str::from_utf8(value)
        .ok()
        .filter(|_| fine)
        .map(Id::from)
        .ok_or("an id that is not 16 hex digits")
}

/// An idempotency key, of what can't end the field or the line that it goes on in.
fn key(value: Bytes) -> Result<Bytes, &'static str> {
    let plain = |b: &u8| b.is_ascii_alphanumeric() || b"-_.:".contains(b);
    let fine = (1..=KEY_MOST).contains(&value.len()) && value.iter().all(plain);
    fine.then_some(value).ok_or("a key that is none")
}

/// Words a request's final answer, unless the client has given it up.
fn say(reply: ClientReply, open: &mut HashMap<u64, Open>, unwritten: &mut Unwritten) {
    let ClientReply { tag, id, last } = reply;
    if open.get(&tag).is_none_or(|open| open.id != id) {
        if let FinalAnswer::Served { body, .. } = last {
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
        FinalAnswer::Served { etag, body } => {
            unwritten.push(answer(tag, "ACK", &version(etag, ""), body.len()), body);
        }
        FinalAnswer::Unchanged { etag } => {
            unwritten.line(tag, "ACK", &version(etag, "unchanged=1,"))
        }
        FinalAnswer::Rejected(advice) => unwritten.rejected(tag, advice),
        FinalAnswer::Failed => unwritten.line(tag, "FAIL", ""),
    }
}

#[cfg(test)]
mod tests;
