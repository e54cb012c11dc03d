//! The bytes that come from a server, until they are whole answers.

use super::attempts::Attempts;
use crate::server_protocol::{AnswerDecoder, ProtocolError};
use bytes::BytesMut;
use std::time::Duration;
use tokio::time::Instant;

/// What was read from a connection and not yet decoded.
#[derive(Default)]
pub(super) struct Inbound {
    pub(super) buffer: BytesMut,
    decoder: AnswerDecoder,
    /// When the first bytes of the incomplete answer came, if there is one.
    partial_since: Option<Instant>,
}

impl Inbound {
    /// Decodes what was read into the buffer, and hands whole answers to the attempts.
    ///
    /// # Errors
    /// What came is not an answer.
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
            // A body that is passed on keeps alive the buffer in which it came.
            self.buffer = BytesMut::new();
        }
        Ok(())
    }

    /// When an incomplete answer counts as stalled. It holds up all answers behind it.
    ///
    /// One that is still waited for may take its time as long as bytes come; one that nobody waits
    /// for could otherwise trickle for ever, and is bounded as a whole.
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
