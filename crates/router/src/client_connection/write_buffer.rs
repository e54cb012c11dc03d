//! Responses of one connection that wait to be written.

use crate::client_protocol::{RESPONSE_END, ResponseStatus, response_head};
use crate::messages::FinalAnswer;
use crate::uninterrupted::Uninterrupted;
use bytes::{Buf, Bytes};
use std::collections::VecDeque;
use std::io::{self, IoSlice};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::Instant;

/// The pieces of a response: what comes before its body, the body, the end.
pub(super) const PIECES_PER_RESPONSE: usize = 3;
/// Pieces given to the system at once.
const MAX_PIECES_PER_WRITE: usize = 16;

/// Bytes to be written, in order, and how many bytes of bodies they held.
#[derive(Default)]
pub(super) struct WriteBuffer {
    pieces: VecDeque<Bytes>,
    /// Bytes of bodies that the decider still counts as in memory.
    body_bytes: usize,
    awaited_until: Option<Instant>,
}

impl WriteBuffer {
    /// Adds the final answer to a request.
    pub(super) fn push_answer(&mut self, tag: u64, answer: FinalAnswer) {
        match answer {
            FinalAnswer::Served { etag, body } => {
                let fields = etag.map_or(String::new(), |etag| version_field(&etag));
                let head = response_head(tag, ResponseStatus::Served, &fields, body.len());
                self.push(head, body);
            }
            FinalAnswer::Unchanged { etag } => {
                let unchanged = "unchanged=1".to_owned();
                let fields = match etag {
                    Some(etag) => format!("{unchanged},{}", version_field(&etag)),
                    None => unchanged,
                };
                self.push_status(tag, ResponseStatus::Served, &fields);
            }
            FinalAnswer::Rejected(retry_after) => self.push_rejection(tag, retry_after),
            FinalAnswer::Failed => self.push_status(tag, ResponseStatus::Failed, ""),
        }
    }

    /// Adds a response without a body.
    pub(super) fn push_status(&mut self, tag: u64, status: ResponseStatus, fields: &str) {
        self.push(response_head(tag, status, fields, 0), Bytes::new());
    }

    /// Adds a rejection, with the time after which the request may be sent again.
    pub(super) fn push_rejection(&mut self, tag: u64, retry_after: Option<Duration>) {
        let fields = retry_after.map_or(String::new(), |wait| format!("w={}", wait.as_millis()));
        self.push_status(tag, ResponseStatus::Rejected, &fields);
    }

    /// Adds a response: what comes before its body, and the body.
    pub(super) fn push(&mut self, head: Bytes, body: Bytes) {
        self.body_bytes += body.len();
        let pieces = [head, body, Bytes::from_static(RESPONSE_END)];
        self.pieces
            .extend(pieces.into_iter().filter(|piece| !piece.is_empty()));
    }

    /// Counts the body of an answer that nobody waits for: it is dropped unwritten.
    pub(super) fn drop_answer(&mut self, answer: &FinalAnswer) {
        if let FinalAnswer::Served { body, .. } = answer {
            self.body_bytes += body.len();
        }
    }

    /// Writes as much as the system takes now.
    ///
    /// # Errors
    /// Where the connection is gone.
    pub(super) async fn write(
        &mut self,
        writer: &mut (impl AsyncWriteExt + Unpin),
    ) -> io::Result<()> {
        let slices: Vec<IoSlice> = self
            .pieces
            .iter()
            .take(MAX_PIECES_PER_WRITE)
            .map(|piece| IoSlice::new(piece))
            .collect();
        let written = Uninterrupted::new(writer).write_vectored(&slices).await?;
        self.advance(written);
        Ok(())
    }

    /// Writes all that is left, or until the connection is gone.
    pub(super) async fn write_all(&mut self, writer: &mut (impl AsyncWriteExt + Unpin)) {
        while !self.is_empty() && self.write(writer).await.is_ok() {}
    }

    fn advance(&mut self, mut written: usize) {
        while let Some(piece) = self.pieces.front_mut().filter(|_| written > 0) {
            let part = piece.len().min(written);
            piece.advance(part);
            written -= part;
            if piece.is_empty() {
                self.pieces.pop_front();
            }
        }
    }

    /// Whether all is written.
    pub(super) fn is_empty(&self) -> bool {
        self.pieces.is_empty()
    }

    /// How many pieces wait to be written.
    pub(super) fn len(&self) -> usize {
        self.pieces.len()
    }

    /// Takes the count of bytes of bodies that are in memory no more, or will not be in a moment.
    pub(super) fn take_body_bytes(&mut self) -> usize {
        std::mem::take(&mut self.body_bytes)
    }

    /// Notes until when the client waits for the answer to one of its requests.
    pub(super) fn await_until(&mut self, deadline: Instant) {
        self.awaited_until = self.awaited_until.max(Some(deadline));
    }

    /// Until when the client waits for an answer to any of its requests, and this time at least.
    pub(super) fn deadline(&self, at_least: Instant) -> Instant {
        self.awaited_until
            .map_or(at_least, |until| until.max(at_least))
    }
}

fn version_field(etag: &[u8]) -> String {
    format!("ver={}", String::from_utf8_lossy(etag))
}

#[cfg(test)]
mod tests;
