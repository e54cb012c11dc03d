//! Bytes received from a server, which are decoded into answers.

use super::attempts::Attempts;
use crate::server_protocol::{AnswerDecoder, ProtocolError};
use bytes::BytesMut;
use std::time::Duration;
use tokio::time::Instant;

/// Data that has been read from a connection and not been decoded yet.
#[derive(Default)]
pub(super) struct Inbound {
    pub(super) buffer: BytesMut,
    decoder: AnswerDecoder,
    /// When the first bytes of the incomplete answer were received, if there is one.
    partial_since: Option<Instant>,
}

impl Inbound {
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
        while let Some(answer) = self.decoder.decode(&mut self.buffer)? {
            attempts.answered(answer);
            self.partial_since = None;
        }
        if self.decoder.partial_id().is_some() || !self.buffer.is_empty() {
            self.partial_since = self.partial_since.or(Some(now));
        } else {
            // Answer bodies share this buffer's allocation and would keep all of it alive.
            self.buffer = BytesMut::new();
        }
        Ok(())
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
