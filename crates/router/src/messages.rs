//! What the actors of a router say to one another: below all of them, so that none needs another's file.

use crate::operator_query::Query;
use crate::server_protocol::{Answer, ForwardedFields};
use bytes::Bytes;
use chalkhall::interface::{Arrival, Fill, Id, Outcome};
use chalkhall_store::threads::End;
use serde_json::Value;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// To the decider.
pub enum Message {
    Request(Box<NewRequest>),
    /// The client of this connection has given up what it asked under this tag, or is gone.
    Left(Id, u64, mpsc::Sender<ClientReply>),
    /// So many bytes of bodies have been written to a client, or dropped.
    Written(usize),
    Ended(Ended),
    /// The actor of this server has ended, with nothing out: another is started when it is needed.
    ServerRests(Id),
    /// An order to the disk of own copies has ended.
    Disk(End),
    /// A datagram from the router of this number.
    Peer(u64, Box<[u8]>),
    /// A word to an edge came back after so long; none: it did not.
    Way(usize, Option<Duration>),
    /// An operator asks.
    OperatorQuery(OperatorQuery),
    Stop,
}

/// A request as a client's connection read it.
pub struct NewRequest {
    pub arrival: Arrival,
    pub passed: ForwardedFields,
    /// The earliest time at which it may have come: it may have lain unread since.
    pub received_after: Duration,
    pub tag: u64,
    /// A place for its final answer, which so can't be lost for want of one.
    pub client: mpsc::OwnedPermit<ClientReply>,
    pub wanted: CancellationFlag,
}

/// Whether a request still waits for its final answer. Its client's connection and the decider end it; a
/// connection asks it where the first byte of an attempt leaves. The one thing that tasks share: by way of
/// the mailboxes between them a leaving could come behind the byte, or nowhere where one of them is full.
#[derive(Clone, Debug)]
pub struct CancellationFlag(Rc<Cell<bool>>);

impl Default for CancellationFlag {
    fn default() -> CancellationFlag {
        CancellationFlag(Rc::new(Cell::new(true)))
    }
}

impl CancellationFlag {
    pub fn end(&self) {
        self.0.set(false);
    }

    pub fn still(&self) -> bool {
        self.0.get()
    }
}

pub struct Ended {
    pub key: Key,
    pub outcome: Outcome,
    pub answer: Option<Box<Answer>>,
}

/// The final answer of a request, for its client.
#[derive(Debug)]
pub struct ClientReply {
    pub tag: u64,
    pub id: Id,
    pub last: FinalAnswer,
}

#[derive(Debug)]
pub enum FinalAnswer {
    Served {
        etag: Option<Bytes>,
        body: Bytes,
    },
    /// The client's own copy holds.
    Unchanged {
        etag: Option<Bytes>,
    },
    Rejected(Option<Duration>),
    Failed,
}

/// A question from an operator, and where its answer goes.
pub struct OperatorQuery {
    pub query: Query,
    pub answer: oneshot::Sender<Value>,
}

/// A client's place: through it the client says whether it has anything open, and hears that another needs
/// it.
pub struct Place {
    pub number: u64,
    pub leave: mpsc::Receiver<()>,
    pub says: mpsc::Sender<Word>,
}

/// What a client says of itself when it changes: nothing is open, or something; it has asked for something
/// once.
#[derive(Clone, Copy, Debug)]
pub struct Word {
    pub number: u64,
    pub idle: bool,
    pub asked: bool,
}

/// An attempt of a request: the request's id and its number within it.
pub type Key = (Id, usize);

/// One attempt on its way to a server.
#[derive(Debug)]
pub struct Ask {
    pub key: Key,
    pub passed: ForwardedFields,
    /// The server's name and its orders for a miss. The line is worded from them as its first byte leaves.
    pub server: Id,
    pub fill: Fill,
    /// It must not run twice: where its connection breaks, it has failed.
    pub once: bool,
    pub wanted: CancellationFlag,
    /// When it has taken too long, and when its first byte must have left.
    pub due: Instant,
    pub leave_by: Instant,
}

pub enum ConnectionCommand {
    Ask(Box<Ask>),
    Quit(Key),
}

/// To a server's actor.
pub enum ServerCommand {
    Ask(Box<Ask>),
    Quit(Key),
    /// The list tells of a start or an address: connections from before it lead elsewhere.
    Reconnect {
        dial: SocketAddr,
        started: Option<Instant>,
    },
    Connection(u64, ConnectionEvent),
}

/// From a connection to its server's actor.
pub enum ConnectionEvent {
    Up,
    /// It could not be made for want of something on this machine; what waited for it is reported after this.
    LocalFailure,
    Ended {
        key: Key,
        outcome: Outcome,
        answer: Option<Box<Answer>>,
        silent: bool,
    },
    Down,
}
