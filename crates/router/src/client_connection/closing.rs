//! Why a client's connection is closed, and how that is done so that all that was written arrives.

use super::Session;
use super::read_buffer::READ_CHUNK_BYTES;
use crate::client_protocol::FrameError;
use crate::messages::Message;
use crate::uninterrupted::Uninterrupted;
use std::io;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

/// The least time in which a client that broke the protocol can take its last answers.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_millis(200);
/// What crosses a close within this time is sent again by its client: so long, and for so many
/// bytes, what still comes is read and dropped. A close over bytes that nobody read would reset the
/// connection, and lose answers that are still on their way.
const LINGER: Duration = Duration::from_millis(50);
const LINGER_BYTES: usize = 1 << 20;

/// What a client did against the protocol. Nothing more is read from it; what is open is answered
/// as failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum ProtocolViolation {
    #[error("a frame is invalid: {0}")]
    Frame(#[from] FrameError),
    #[error("a message has no tag")]
    MissingTag,
    #[error("a tag is used while a request is open under it")]
    TagInUse,
    #[error("no complete message came in time")]
    IncompleteMessage,
}

/// Why a connection is closed.
#[derive(Debug, Error)]
pub(super) enum CloseReason {
    #[error("its client closed it")]
    ClosedByClient,
    #[error("it broke: {0}")]
    Broken(#[from] io::Error),
    #[error("its client takes no answers")]
    AnswersNotTaken,
    #[error("its mailbox for answers is closed")]
    ReplyMailboxClosed,
    #[error("the router has ended")]
    RouterEnded,
    #[error("it was idle for too long")]
    IdleTimeout,
    #[error("it was idle, and its slot is needed")]
    Evicted,
    #[error("protocol violation: {0}")]
    ProtocolViolation(#[from] ProtocolViolation),
}

impl From<FrameError> for CloseReason {
    fn from(error: FrameError) -> CloseReason {
        CloseReason::ProtocolViolation(ProtocolViolation::Frame(error))
    }
}

/// How a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CloseMode {
    /// At once: nobody reads its answers.
    Abrupt,
    /// All is written; what crosses the close is dropped.
    Orderly,
    /// What is open fails, and that and all before it is written first.
    AfterFinalAnswers,
}

impl CloseReason {
    /// How a connection is closed for this reason.
    fn mode(&self) -> CloseMode {
        match self {
            CloseReason::ClosedByClient
            | CloseReason::Broken(_)
            | CloseReason::AnswersNotTaken
            | CloseReason::ReplyMailboxClosed => CloseMode::Abrupt,
            CloseReason::RouterEnded | CloseReason::IdleTimeout | CloseReason::Evicted => {
                CloseMode::Orderly
            }
            CloseReason::ProtocolViolation(_) => CloseMode::AfterFinalAnswers,
        }
    }
}

impl Session {
    /// Closes the connection as its reason asks for, and gives back all that it holds.
    pub(super) async fn close(mut self, stream: TcpStream, reason: &CloseReason) {
        log::debug!(slot = self.connection.slot.id, reason:% = reason; "client connection closed");
        match reason.mode() {
            CloseMode::Abrupt => {
                self.cancel_open_requests().await;
            }
            CloseMode::Orderly => {
                self.cancel_open_requests().await;
                close_in_order(stream).await;
            }
            CloseMode::AfterFinalAnswers => {
                self.fail_open_requests().await;
                self.write_final_answers(stream).await;
            }
        }
        self.release_bodies().await;
    }

    async fn write_final_answers(&mut self, mut stream: TcpStream) {
        let until = self
            .write_buffer
            .deadline(Instant::now() + FINAL_WRITE_TIMEOUT);
        let _ = timeout_at(until, self.write_buffer.write_all(&mut stream)).await;
        close_in_order(stream).await;
    }

    /// Waits for all answers that were on their way: the decider has heard that nobody wants them.
    /// Then tells it of the bodies that are in memory no more.
    async fn release_bodies(mut self) {
        self.replies.close();
        while let Some(reply) = self.replies.recv().await {
            self.take_reply(reply);
        }
        let bytes = self.write_buffer.take_body_bytes();
        self.send_to_decider(Message::Written(bytes)).await;
    }
}

/// Closes a connection so that all that was written arrives: nothing more is written, and what
/// still comes is dropped for a while.
async fn close_in_order(mut stream: TcpStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let (until, mut bytes_left) = (Instant::now() + LINGER, LINGER_BYTES);
    let mut dropped = Vec::with_capacity(READ_CHUNK_BYTES);
    while bytes_left > 0 {
        dropped.clear();
        let mut reader = Uninterrupted::new(&mut stream);
        match timeout_at(until, reader.read_buf(&mut dropped)).await {
            Ok(Ok(bytes)) if bytes > 0 => bytes_left = bytes_left.saturating_sub(bytes),
            _ => return,
        }
    }
}
