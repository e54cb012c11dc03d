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
    pub words: Vec<String>,
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
