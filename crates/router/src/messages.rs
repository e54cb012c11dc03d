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
    Ended(AttemptEnded),
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
    pub query: Query,
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

/// Identifies one attempt of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AttemptId {
    /// The request.
    pub request: Id,
    /// The number of the attempt within its request, from 0.
    pub number: usize,
}

/// One attempt on its way to a server.
#[derive(Debug)]
pub struct AttemptRequest {
    /// Which attempt it is.
    pub attempt: AttemptId,
    /// What the server receives as the client sent it.
    pub forwarded: ForwardedFields,
    /// The name of the server.
    pub server: Id,
    /// What the server does on a miss. The request line is encoded from it when its first byte
    /// leaves.
    pub fill: Fill,
    /// It must not run twice: if its connection breaks, the attempt has failed.
    pub is_non_idempotent: bool,
    /// Whether somebody still waits for the request.
    pub cancellation: CancellationFlag,
    /// The attempt times out at this time.
    pub deadline: Instant,
    /// The first byte leaves before this time, or the attempt is not sent.
    pub send_by: Instant,
}

/// The result of an attempt.
#[derive(Debug)]
pub struct AttemptEnded {
    /// Which attempt has ended.
    pub attempt: AttemptId,
    /// How it has ended.
    pub outcome: Outcome,
    /// What the server answered, if it did.
    pub answer: Option<Box<Answer>>,
}

/// From the actor of a server to one of its connections.
pub enum ConnectionCommand {
    /// Send this attempt.
    Send(Box<AttemptRequest>),
    /// Cancel this attempt.
    Cancel(AttemptId),
}

/// To the actor of a server.
pub enum ServerCommand {
    /// Send this attempt.
    Send(Box<AttemptRequest>),
    /// Cancel this attempt.
    Cancel(AttemptId),
    /// The endpoint list has a new start or address of the server: connections from before it are
    /// retired.
    Reconnect {
        /// Where the server is now.
        address: SocketAddr,
        /// When it last started, if that is known.
        started_at: Option<Instant>,
    },
    /// Something happened on a connection of this server.
    Connection {
        /// The number of the connection.
        number: u64,
        /// What happened.
        event: ConnectionEvent,
    },
}

/// From a connection to the actor of its server.
pub enum ConnectionEvent {
    /// The connection is established.
    Established,
    /// This machine lacked a resource to connect. The ends of the queued attempts follow.
    LocalFailure,
    /// An attempt on this connection has ended.
    AttemptEnded(ConnectionAttemptEnded),
    /// The connection has ended, and all its attempts have been reported.
    Closed,
}

/// The result of an attempt, with what it says about its connection.
#[derive(Debug)]
pub struct ConnectionAttemptEnded {
    /// The result.
    pub ended: AttemptEnded,
    /// Nothing was received since the attempt was sent, for as long as a connect may take: the
    /// server may have vanished.
    pub is_silent: bool,
}

/// Builders of messages for tests.
#[cfg(test)]
pub mod fixtures;
