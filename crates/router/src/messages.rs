//! Messages between the actors of a router, in a module of their own so that the actors do not
//! depend on one another.

use crate::memory::{BodyPermit, Reservation};
use crate::operator_query::Query;
use crate::server_protocol::{Answer, ForwardedFields};
use bytes::Bytes;
use chalkhall::interface::{Fill, Id, IncomingRequest, Outcome};
use chalkhall_store::threads::CompletedOperation;
use serde_json::Value;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

/// A message to the decider.
pub enum Message {
    Request(Box<NewRequest>),
    /// The client has cancelled the request with this id and tag, or its connection has closed.
    ClientLeft(Id, u64, mpsc::Sender<ClientReply>),
    /// This many body bytes have been written to a client, or dropped.
    BodyWritten(usize),
    AttemptEnded(AttemptEnded),
    /// The actor of this server has ended with no attempts in flight. A new one is started when one
    /// is needed.
    ServerActorStopped(Id),
    /// A disk operation of the local cache has ended.
    DiskOperationEnded(CompletedOperation),
    /// A datagram from the router with this number.
    PeerDatagram(u64, Box<[u8]>),
    /// The result of a latency probe of the edge with this index: its round-trip time, or none if
    /// it failed.
    LatencyMeasured(usize, Option<Duration>),
    OperatorQuery(OperatorQuery),
    Stop,
}

/// A request that was received on a client connection.
pub struct NewRequest {
    /// The fields that decisions are based on.
    pub arrival: IncomingRequest,
    /// The fields that are forwarded to a server unchanged.
    pub forwarded: ForwardedFields,
    /// The earliest time at which it may have arrived; it may have been unread since then.
    pub received_after: Duration,
    /// Identifies it on its connection.
    pub tag: u64,
    /// Reserved capacity for the final answer, so that sending it cannot fail.
    pub reply_permit: mpsc::OwnedPermit<ClientReply>,
    /// Counts a long body until the decider has admitted or refused the request.
    pub _body_permit: Option<BodyPermit>,
    /// Ended by the client connection or by the decider.
    pub cancellation: CancellationFlag,
}

/// Whether a request still waits for its final answer, or the process of a server is still the one
/// that its attempts are meant for.
///
/// The client connection and the decider end it; a server connection reads it immediately before it
/// sends the first byte of an attempt. It is the only state that these tasks share: a cancellation sent
/// through the channels between them could arrive after that byte, or not at all if a channel is
/// full.
#[derive(Clone, Debug)]
pub struct CancellationFlag(Rc<Cell<bool>>);

impl Default for CancellationFlag {
    fn default() -> CancellationFlag {
        CancellationFlag(Rc::new(Cell::new(true)))
    }
}

impl CancellationFlag {
    /// Marks the request as answered or cancelled, or the process as gone: no attempt may start.
    pub fn cancel(&self) {
        self.0.set(false);
    }

    /// Whether an attempt may start.
    pub fn is_active(&self) -> bool {
        self.0.get()
    }
}

/// The final answer to a request, sent to its client connection.
#[derive(Debug)]
pub struct ClientReply {
    /// Identifies the request on its connection.
    pub tag: u64,
    /// The request's id. Its client may have reused the tag since.
    pub id: Id,
    pub answer: FinalAnswer,
}

/// The result of a request for its client.
#[derive(Debug)]
pub enum FinalAnswer {
    /// The request was served, with this copy.
    Served {
        /// The copy's version.
        etag: Option<Bytes>,
        body: Bytes,
    },
    /// The client's own copy is still valid.
    Unchanged {
        /// The version that both copies have.
        etag: Option<Bytes>,
    },
    /// The request did not run, and may be sent again after this time.
    Rejected(Option<Duration>),
    /// The request failed, and may have run.
    Failed,
}

/// An operator's query, with the channel for its answer.
pub struct OperatorQuery {
    pub query: Query,
    pub answer: oneshot::Sender<Value>,
}

/// A client connection's end of its slot, on which it reports its status and receives eviction
/// requests.
pub struct ConnectionSlot {
    /// The slot's number, which is never reused.
    pub id: SlotId,
    /// Requests to close the connection once it is idle.
    pub eviction_requests: mpsc::Receiver<()>,
    /// Sends to the listener.
    pub status_updates: mpsc::Sender<SlotUpdate>,
}

/// The number of a connection slot.
pub type SlotId = u64;

/// The status of a connection, by which the listener selects slots for eviction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotStatus {
    /// No message has been received yet.
    Unused,
    /// Messages have been received, and all are answered.
    Idle,
    /// A message is incomplete, a request is open, or a response waits to be written.
    Busy,
}

/// Reports a new status of a connection.
#[derive(Clone, Copy, Debug)]
pub struct SlotUpdate {
    pub slot: SlotId,
    pub status: SlotStatus,
}

/// Identifies one attempt of a request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AttemptId {
    pub request: Id,
    /// Counts the attempts of a request from 0.
    pub number: usize,
}

/// An attempt to be sent to a server.
#[derive(Debug)]
pub struct AttemptRequest {
    pub attempt: AttemptId,
    /// The fields that are sent to the server as the client sent them.
    pub forwarded: ForwardedFields,
    /// The server's name.
    pub server: Id,
    /// What the server does on a miss. The request line is encoded from it when its first byte is
    /// sent.
    pub fill: Fill,
    /// The request must not run twice: if its connection breaks, the attempt has failed.
    pub is_non_idempotent: bool,
    /// Whether the request still waits for its final answer.
    pub cancellation: CancellationFlag,
    /// Whether the server's process is still the one that the attempt is meant for. After the
    /// server has left, moved or started again, another process may be at its address.
    pub incarnation: CancellationFlag,
    /// The attempt times out at this time.
    pub deadline: Instant,
    /// The attempt is not sent unless its first byte is sent before this time.
    pub send_by: Instant,
    /// Memory that is reserved for the answer.
    pub reservation: Rc<Reservation>,
}

/// The result of an attempt.
#[derive(Debug)]
pub struct AttemptEnded {
    pub attempt: AttemptId,
    pub outcome: Outcome,
    /// The server's answer, if there was one.
    pub answer: Option<Box<Answer>>,
}

/// A command from the actor of a server to one of its connections.
pub enum ConnectionCommand {
    Send(Box<AttemptRequest>),
    Cancel(AttemptId),
    /// Attempts that may not start any more end now.
    Expire,
}

/// A command or an event for the actor of a server.
pub enum ServerCommand {
    Send(Box<AttemptRequest>),
    Cancel(AttemptId),
    /// The server is not listed any more. Attempts that have started run on.
    Removed,
    /// The endpoint list has a new start time or address of the server: older connections are
    /// retired.
    Reconnect {
        address: SocketAddr,
        /// When the server last started, if that is known.
        started_at: Option<Instant>,
    },
    /// An event on a connection of this server.
    Connection {
        /// The number of the connection.
        number: u64,
        event: ConnectionEvent,
    },
}

/// An event reported by a connection to the actor of its server.
pub enum ConnectionEvent {
    Established,
    /// The connect failed because this machine lacked a resource. The results of the queued
    /// attempts follow.
    LocalFailure,
    /// An attempt on this connection has ended.
    AttemptEnded(ConnectionAttemptEnded),
    /// The connection has ended, and all its attempts have been reported.
    Closed,
}

/// The result of an attempt, with what it shows about the connection.
#[derive(Debug)]
pub struct ConnectionAttemptEnded {
    pub ended: AttemptEnded,
    /// Nothing has been received since the attempt was sent, for at least the connect timeout: the
    /// server may have disappeared.
    pub is_silent: bool,
}

#[cfg(test)]
pub mod fixtures;
