//! The reading side of a client connection: decodes frames from the received bytes.

use crate::client_protocol::{Frame, FrameDecoder, FrameError};
use crate::read_wait::ReadWait;
use crate::retrying_stream::RetryingStream;
use bytes::BytesMut;
use std::future::Future;
use std::io;
use std::pin::pin;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::{AsyncReadExt, Interest};
use tokio::net::tcp::ReadHalf;
use tokio::task::yield_now;
use tokio::time::{Instant, timeout};

/// Size of the buffer reserved for reads.
pub(super) const READ_CHUNK_BYTES: usize = 8 * 1024;
/// If less than this is free in the buffer, more is reserved before a read.
const MIN_FREE_BYTES: usize = 1024;
/// How long to wait for unread data before an idle connection is closed; long enough for the I/O
/// driver to be polled once.
pub(super) const READABILITY_CHECK_TIMEOUT: Duration = Duration::from_millis(2);

/// Reads frames from a connection.
pub(super) struct ReadBuffer<'a> {
    reader: ReadHalf<'a>,
    bytes: BytesMut,
    pub(super) decoder: FrameDecoder,
    pub(super) wait: ReadWait,
    /// Since when the buffer has held an incomplete message.
    pub(super) incomplete_since: Option<Instant>,
    /// When bytes were last read.
    pub(super) last_read_at: Instant,
}

impl<'a> ReadBuffer<'a> {
    pub(super) fn new(reader: ReadHalf<'a>) -> ReadBuffer<'a> {
        ReadBuffer {
            reader,
            bytes: BytesMut::new(),
            decoder: FrameDecoder::default(),
            wait: ReadWait::new(),
            incomplete_since: None,
            last_read_at: Instant::now(),
        }
    }

    /// Reads the available bytes, 0 if the client has closed its side.
    ///
    /// Memory is reserved only once the connection is readable, since most connections are idle
    /// most of the time. Cancel safe: if the future is dropped before it is ready, nothing has been
    /// read.
    ///
    /// # Errors
    /// If the connection is broken.
    pub(super) async fn read(&mut self) -> io::Result<usize> {
        self.reader.readable().await?;
        self.last_read_at = Instant::now();
        if let Some(mut part) = self.decoder.part_buffer() {
            return RetryingStream::new(&mut self.reader)
                .read_buf(&mut part)
                .await;
        }
        if self.bytes.capacity() - self.bytes.len() < MIN_FREE_BYTES {
            self.bytes.reserve(READ_CHUNK_BYTES);
        }
        RetryingStream::new(&mut self.reader)
            .read_buf(&mut self.bytes)
            .await
    }

    /// Takes the next complete frame from the buffer.
    ///
    /// # Errors
    /// If the stream violates the protocol.
    pub(super) fn next_frame(&mut self) -> Result<Option<Frame>, FrameError> {
        let frame = self.decoder.next(&mut self.bytes)?;
        if frame.is_some() {
            self.incomplete_since = None;
        }
        Ok(frame)
    }

    /// Takes the next complete frame from the buffer, without its long parts.
    ///
    /// # Errors
    /// If the stream violates the protocol.
    pub(super) fn next_short_frame(&mut self) -> Result<Option<Frame>, FrameError> {
        self.decoder.discard_part();
        let frame = self.next_frame()?;
        if frame.is_none() && self.decoder.awaits_admission().is_some() {
            self.decoder.discard_part();
            return self.next_frame();
        }
        Ok(frame)
    }

    /// Updates `incomplete_since` after all complete frames have been taken. The buffer keeps what
    /// it has received and no more: it is unknown when more data will arrive.
    pub(super) fn update_incomplete_since(&mut self) {
        if self.decoder.is_inside_frame() || !self.bytes.is_empty() {
            self.incomplete_since.get_or_insert_with(Instant::now);
        } else {
            self.incomplete_since = None;
        }
        self.bytes = BytesMut::from(&self.bytes[..]);
    }

    /// Lets other tasks run: a client that sends without a pause would keep all others waiting. The
    /// wait for data begins before that, as it is read in the next turn of this task.
    pub(super) async fn let_other_tasks_run(&mut self) {
        self.wait.begin_or_continue();
        yield_now().await;
    }

    /// Whether the client has closed its side, although bytes from before may still be unread.
    pub(super) fn is_closed_by_client(&self) -> bool {
        let readiness = pin!(self.reader.ready(Interest::READABLE));
        let mut context = Context::from_waker(Waker::noop());
        let readiness = readiness.poll(&mut context);
        matches!(readiness, Poll::Ready(Ok(ready)) if ready.is_read_closed())
    }

    /// Whether unread data arrives within `READABILITY_CHECK_TIMEOUT`.
    pub(super) async fn has_unread(&self) -> bool {
        timeout(READABILITY_CHECK_TIMEOUT, self.reader.readable())
            .await
            .is_ok()
    }
}
