//! What the actors of a router say to one another: below all of them, so that none needs another's file.

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
    /// What the decisions need of it.
    pub arrival: Arrival,
    /// What goes on to a server as it came.
    pub passed: ForwardedFields,
    /// The earliest time at which it may have come: it may have lain unread since.
    pub received_after: Duration,
    /// Its name on its connection.
    pub tag: u64,
    /// The reserved space for its final answer, which so cannot be lost for want of one.
    pub client: mpsc::OwnedPermit<ClientReply>,
    /// Ended by the client's connection and by the decider.
    pub wanted: CancellationFlag,
}

/// Whether a request still waits for its final answer.
///
/// Its client's connection and the decider end it; a connection to a server reads it where the first
/// byte of an attempt is sent. It is the one thing that tasks share: a cancellation that went through
/// the mailboxes between them could come behind that byte, or nowhere where one of them is full.
#[derive(Clone, Debug)]
pub struct CancellationFlag(Rc<Cell<bool>>);

impl Default for CancellationFlag {
    fn default() -> CancellationFlag {
        CancellationFlag(Rc::new(Cell::new(true)))
    }
}

impl CancellationFlag {
    /// Says that the request has its final answer or was cancelled: no further attempt may begin.
    pub fn end(&self) {
        self.0.set(false);
    }

    /// Whether the request still waits for its final answer.
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
    /// The request's name on its connection.
    pub tag: u64,
    /// The request's id: its client may have used the tag for another one meanwhile.
    pub id: Id,
    /// The answer itself.
    pub last: FinalAnswer,
}

/// What a client is told of its request in the end.
#[derive(Debug)]
pub enum FinalAnswer {
    /// The request was served, with this copy.
    Served {
        /// The copy's version.
        etag: Option<Bytes>,
        /// The copy itself.
        body: Bytes,
    },
    /// The client's own copy is still valid.
    Unchanged {
        /// The version that both copies have.
        etag: Option<Bytes>,
    },
    /// The request did not run; it may be sent again after this time.
    Rejected(Option<Duration>),
    /// The request failed, and may have run.
    Failed,
}

/// A question from an operator, and where its answer goes.
pub struct OperatorQuery {
    pub words: Vec<String>,
    pub answer: oneshot::Sender<Value>,
}

/// A connection's end of its slot: through it the connection reports its status, and hears that its
/// slot is needed for another one.
pub struct ConnectionSlot {
    /// The slot's number, which no other slot ever has.
    pub id: SlotId,
    /// Requests to close the connection once nothing is open on it.
    pub eviction_requests: mpsc::Receiver<()>,
    /// To the listener.
    pub status_updates: mpsc::Sender<SlotUpdate>,
}

/// The number of a connection slot.
pub type SlotId = u64;

/// How much a connection needs its slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotStatus {
    /// Nothing has come on the connection yet.
    Unused,
    /// Its client has sent messages, and all are answered.
    Idle,
    /// A message is on its way, a request is open, or an answer waits to be written.
    Busy,
}

/// The new status of a connection.
#[derive(Clone, Copy, Debug)]
pub struct SlotUpdate {
    /// The connection's slot.
    pub slot: SlotId,
    /// Its status from now on.
    pub status: SlotStatus,
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
