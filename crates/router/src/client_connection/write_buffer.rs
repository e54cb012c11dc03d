//! Buffers the responses of one connection until they are written.

use crate::chunk_queue::ChunkQueue;
use crate::client_protocol::{RESPONSE_END, ResponseStatus, response_head};
use crate::messages::FinalAnswer;
use crate::retrying_stream::RetryingStream;
use bytes::Bytes;
use std::io;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::time::Instant;

/// The chunks of a response: the head, the body and the terminator.
pub(super) const CHUNKS_PER_RESPONSE: usize = 3;

/// Chunks to be written, in order, and the number of body bytes to report as released.
#[derive(Default)]
pub(super) struct WriteBuffer {
    chunks: ChunkQueue,
    /// Body bytes that the decider still counts as in memory.
    body_bytes: usize,
    latest_deadline: Option<Instant>,
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

    /// Adds a rejection with a retry delay.
    pub(super) fn push_rejection(&mut self, tag: u64, retry_after: Option<Duration>) {
        let fields = retry_after.map_or(String::new(), |wait| format!("w={}", wait.as_millis()));
        self.push_status(tag, ResponseStatus::Rejected, &fields);
    }

    /// Adds a response with this head and body.
    pub(super) fn push(&mut self, head: Bytes, body: Bytes) {
        self.body_bytes += body.len();
        for chunk in [head, body, Bytes::from_static(RESPONSE_END)] {
            self.chunks.push(chunk);
        }
    }

    /// Counts the body of an answer to a cancelled request, which is discarded unwritten.
    pub(super) fn discard_answer(&mut self, answer: &FinalAnswer) {
        if let FinalAnswer::Served { body, .. } = answer {
            self.body_bytes += body.len();
        }
    }

    /// Writes as much as the socket accepts in one call.
    ///
    /// # Errors
    /// If the connection is broken.
    pub(super) async fn write(
        &mut self,
        writer: &mut (impl AsyncWriteExt + Unpin),
    ) -> io::Result<()> {
        let slices = self.chunks.slices();
        let written = RetryingStream::new(writer).write_vectored(&slices).await?;
        self.chunks.advance(written);
        Ok(())
    }

    /// Writes all chunks, or as many as it can until the connection breaks.
    pub(super) async fn write_all(&mut self, writer: &mut (impl AsyncWriteExt + Unpin)) {
        while !self.is_empty() && self.write(writer).await.is_ok() {}
    }

    /// Whether everything has been written.
    pub(super) fn is_empty(&self) -> bool {
        self.chunks.is_empty()
    }

    /// The number of chunks that wait to be written.
    pub(super) fn len(&self) -> usize {
        self.chunks.len()
    }

    /// Takes the number of body bytes that have been released or are about to be.
    pub(super) fn take_body_bytes(&mut self) -> usize {
        std::mem::take(&mut self.body_bytes)
    }

    /// Records the deadline of a request.
    pub(super) fn extend_deadline(&mut self, deadline: Instant) {
        self.latest_deadline = self.latest_deadline.max(Some(deadline));
    }

    /// The latest deadline of the connection's requests, but no earlier than `at_least`.
    pub(super) fn deadline(&self, at_least: Instant) -> Instant {
        self.latest_deadline
            .map_or(at_least, |until| until.max(at_least))
    }
}

fn version_field(etag: &[u8]) -> String {
    format!("ver={}", String::from_utf8_lossy(etag))
}

#[cfg(test)]
mod tests;
