//! The reading side of a client's connection: bytes in, frames out.

use super::read_watch::ReadWatch;
use crate::client_protocol::{FrameDecoder, FrameError};
use crate::uninterrupted::Uninterrupted;
use bytes::{Bytes, BytesMut};
use std::io;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::ReadHalf;
use tokio::time::{Instant, timeout};

/// Memory kept for what a client sends.
pub(super) const READ_CHUNK_BYTES: usize = 8 * 1024;
/// With less memory than this left, more is reserved before a read.
const MIN_FREE_BYTES: usize = 1024;
/// Before an idle connection is closed it is looked once more whether something has come: for so
/// long, which gives the system a turn.
pub(super) const LAST_LOOK: Duration = Duration::from_millis(2);

/// Reads frames from a connection.
pub(super) struct ReadBuffer<'a> {
    reader: ReadHalf<'a>,
    bytes: BytesMut,
    decoder: FrameDecoder,
    pub(super) watch: ReadWatch,
    /// Since when a part of a message, but not all of it, has been here.
    pub(super) incomplete_since: Option<Instant>,
}

impl<'a> ReadBuffer<'a> {
    pub(super) fn new(reader: ReadHalf<'a>) -> ReadBuffer<'a> {
        ReadBuffer {
            reader,
            bytes: BytesMut::new(),
            decoder: FrameDecoder::default(),
            watch: ReadWatch::new(),
            incomplete_since: None,
        }
    }

    /// Reads what has come; 0 bytes: the client has closed its side.
    ///
    /// Waits until something has come before it takes memory for it: most connections are silent
    /// most of the time. Dropped before it is ready, it has read nothing.
    ///
    /// # Errors
    /// Where the connection is gone.
    pub(super) async fn read(&mut self) -> io::Result<usize> {
        self.reader.readable().await?;
        if self.bytes.capacity() - self.bytes.len() < MIN_FREE_BYTES {
            self.bytes.reserve(READ_CHUNK_BYTES);
        }
        Uninterrupted::new(&mut self.reader)
            .read_buf(&mut self.bytes)
            .await
    }

    /// Takes the next complete frame of those read.
    ///
    /// # Errors
    /// Where the stream breaks the protocol.
    pub(super) fn next_frame(&mut self) -> Result<Option<Vec<Bytes>>, FrameError> {
        let frame = self.decoder.next(&mut self.bytes)?;
        if frame.is_some() {
            self.incomplete_since = None;
        }
        Ok(frame)
    }

    /// Notes, when all complete frames are taken, whether a part of one is left. Where nothing is,
    /// nobody knows when more comes: the memory is given back.
    pub(super) fn note_rest(&mut self) {
        if self.decoder.is_inside_frame() || !self.bytes.is_empty() {
            self.incomplete_since.get_or_insert_with(Instant::now);
        } else {
            self.incomplete_since = None;
            self.bytes = BytesMut::new();
        }
    }

    /// Whether something has come that is not read yet.
    pub(super) async fn has_unread(&self) -> bool {
        timeout(LAST_LOOK, self.reader.readable()).await.is_ok()
    }
}
