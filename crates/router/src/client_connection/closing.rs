//! Reasons for closing a client connection, and how to close it so that all written data arrives.

use super::Session;
use super::read_buffer::READ_CHUNK_BYTES;
use crate::client_protocol::FrameError;
use crate::messages::Message;
use crate::retrying_stream::RetryingStream;
use std::io;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

/// The minimum time for a client that violated the protocol to read its last responses.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_millis(200);
/// After the router has closed its side, incoming data is read and discarded for up to this time
/// and this many bytes; the client sends such requests again. Closing a socket with unread data
/// would reset the connection and lose responses in flight.
const LINGER_TIMEOUT: Duration = Duration::from_millis(50);
const MAX_LINGER_BYTES: usize = 1 << 20;

/// A protocol violation by a client. Nothing more is read from the connection, and its open
/// requests are answered with a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum ProtocolViolation {
    #[error("invalid frame: {0}")]
    Frame(#[from] FrameError),
    #[error("message without a tag")]
    MissingTag,
    #[error("tag of an open request used again")]
    TagInUse,
    #[error("message not completed in time")]
    IncompleteMessage,
}

/// Why a connection is closed.
#[derive(Debug, Error)]
pub(super) enum CloseReason {
    #[error("closed by the client")]
    ClosedByClient,
    #[error("connection broken: {0}")]
    Broken(#[from] io::Error),
    #[error("timed out writing responses")]
    WriteTimeout,
    #[error("reply channel closed")]
    ReplyChannelClosed,
    #[error("router has ended")]
    RouterEnded,
    #[error("idle timeout")]
    IdleTimeout,
    #[error("evicted while idle")]
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
    /// The connection is closed at once, because nobody reads the responses.
    Immediate,
    /// Everything has been written; data that still arrives is discarded.
    Graceful,
    /// Open requests fail, and all responses are written before the close.
    AfterFinalAnswers,
}

impl CloseReason {
    fn mode(&self) -> CloseMode {
        match self {
            CloseReason::ClosedByClient
            | CloseReason::Broken(_)
            | CloseReason::WriteTimeout
            | CloseReason::ReplyChannelClosed => CloseMode::Immediate,
            CloseReason::RouterEnded | CloseReason::IdleTimeout | CloseReason::Evicted => {
                CloseMode::Graceful
            }
            CloseReason::ProtocolViolation(_) => CloseMode::AfterFinalAnswers,
        }
    }
}

impl Session {
    /// Closes the connection as its reason requires, and releases all that it holds.
    pub(super) async fn close(mut self, stream: TcpStream, reason: &CloseReason) {
        log::debug!(slot = self.connection.slot.id, reason:% = reason; "client connection closed");
        match reason.mode() {
            CloseMode::Immediate => {
                self.cancel_open_requests().await;
            }
            CloseMode::Graceful => {
                self.cancel_open_requests().await;
                close_gracefully(stream).await;
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
        close_gracefully(stream).await;
    }

    /// Drains the replies to withdrawn requests, then reports their released body bytes to the
    /// decider.
    async fn release_bodies(mut self) {
        self.replies.close();
        while let Some(reply) = self.replies.recv().await {
            self.take_reply(reply);
        }
        let bytes = self.write_buffer.take_body_bytes();
        self.send_to_decider(Message::BodyWritten(bytes)).await;
    }
}

/// Closes a connection so that all written data arrives: shuts down the writing side, then reads
/// and discards incoming data for a while.
async fn close_gracefully(mut stream: TcpStream) {
    if stream.shutdown().await.is_err() {
        return;
    }
    let (until, mut bytes_left) = (Instant::now() + LINGER_TIMEOUT, MAX_LINGER_BYTES);
    let mut discarded = Vec::with_capacity(READ_CHUNK_BYTES);
    while bytes_left > 0 {
        discarded.clear();
        let mut reader = RetryingStream::new(&mut stream);
        match timeout_at(until, reader.read_buf(&mut discarded)).await {
            Ok(Ok(bytes)) if bytes > 0 => bytes_left = bytes_left.saturating_sub(bytes),
            _ => return,
        }
    }
}
