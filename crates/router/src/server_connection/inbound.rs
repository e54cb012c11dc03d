//! Bytes received from a server, which are decoded into answers.

use super::attempts::Attempts;
use crate::retrying_stream::RetryingStream;
use crate::server_protocol::{Answer, AnswerDecoder, ProtocolError};
use bytes::{Bytes, BytesMut};
use std::io;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::ReadHalf;
use tokio::time::Instant;

/// The number of bytes by which the read buffer grows.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// The read buffer grows if it has less free space than this.
const MIN_READ_BYTES: usize = 1024;

/// Data that has been read from a connection and not been decoded yet.
#[derive(Default)]
pub(super) struct Inbound {
    buffer: BytesMut,
    decoder: AnswerDecoder,
    /// When the first bytes of the incomplete answer were received, if there is one.
    partial_since: Option<Instant>,
}

impl Inbound {
    /// Reads the bytes that have arrived, into memory that is allocated only when there are any.
    /// The rest of a body is read into the memory that was allocated for it. Returns 0 at the end
    /// of the stream.
    ///
    /// # Errors
    /// If the connection is broken.
    pub(super) async fn read(&mut self, reader: &mut ReadHalf<'_>) -> io::Result<usize> {
        reader.readable().await?;
        if let Some(mut body) = self.decoder.body_buffer() {
            return RetryingStream::new(reader).read_buf(&mut body).await;
        }
        if self.buffer.capacity() - self.buffer.len() < MIN_READ_BYTES {
            self.buffer.reserve(READ_BUFFER_BYTES);
        }
        RetryingStream::new(reader).read_buf(&mut self.buffer).await
    }

    /// Decodes the data in the buffer, and passes complete answers to the attempts.
    ///
    /// # Errors
    /// The data is not a valid answer.
    pub(super) fn decode(
        &mut self,
        now: Instant,
        attempts: &mut Attempts,
    ) -> Result<(), ProtocolError> {
        attempts.received(now);
        while let Some(answer) = self.decode_next(attempts)? {
            attempts.answered(answer);
            self.partial_since = None;
        }
        if self.decoder.partial_id().is_some() || !self.buffer.is_empty() {
            self.partial_since = self.partial_since.or(Some(now));
        }
        // The rest of an answer may take long to come: only what has been received is kept.
        self.buffer = BytesMut::from(&self.buffer[..]);
        Ok(())
    }

    fn decode_next(&mut self, attempts: &Attempts) -> Result<Option<Answer>, ProtocolError> {
        let admits = &mut |id: &Bytes, bytes| attempts.admits_body(id, bytes);
        self.decoder.decode(&mut self.buffer, admits)
    }

    /// When an incomplete answer counts as stalled: it blocks all answers behind it.
    ///
    /// An answer that is still awaited may take any time while bytes arrive. One that is no longer
    /// awaited could trickle in forever, so the total time for it is limited.
    pub(super) fn stalled_at(&self, attempts: &Attempts, timeout: Duration) -> Option<Instant> {
        let partial_since = self.partial_since?;
        let is_awaited = self
            .decoder
            .partial_id()
            .is_some_and(|id| attempts.is_in_flight(id));
        let last_progress = if is_awaited {
            attempts.last_received_at()?
        } else {
            partial_since
        };
        Some(last_progress + timeout)
    }
}
