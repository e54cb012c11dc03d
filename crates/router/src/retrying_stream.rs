//! A stream wrapper that retries calls that transferred nothing while the connection is usable.

use crate::io_errors::{MAX_INTERRUPTED_RETRIES, MEMORY_RETRY_DELAY, StreamFailure};
use std::future::Future;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Sleep, sleep};

/// Wraps a stream. Interrupted reads and writes are retried at once, those that failed for lack of
/// memory after a delay. All other errors are returned, and mean that the connection has ended.
///
/// A call that is cancelled between two attempts has transferred nothing, so a new wrapper may be
/// used for each call.
pub struct RetryingStream<S> {
    stream: S,
    retry_delay: Option<Pin<Box<Sleep>>>,
}

impl<S> RetryingStream<S> {
    /// Wraps a stream, or a reference to one.
    pub fn new(stream: S) -> RetryingStream<S> {
        RetryingStream {
            stream,
            retry_delay: None,
        }
    }

    /// Repeats a call until it has transferred something, is pending, or reports that the
    /// connection has ended.
    fn poll_call<T>(
        &mut self,
        context: &mut Context<'_>,
        mut call: impl FnMut(&mut S, &mut Context<'_>) -> Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        for _ in 0..MAX_INTERRUPTED_RETRIES {
            if let Some(retry_delay) = &mut self.retry_delay {
                ready!(retry_delay.as_mut().poll(context));
                self.retry_delay = None;
            }
            let error = match ready!(call(&mut self.stream, context)) {
                Ok(value) => return Poll::Ready(Ok(value)),
                Err(error) => error,
            };
            match StreamFailure::from(&error) {
                StreamFailure::Retry => {}
                StreamFailure::MemoryExhausted => {
                    self.retry_delay = Some(Box::pin(sleep(MEMORY_RETRY_DELAY)))
                }
                StreamFailure::Broken => return Poll::Ready(Err(error)),
            }
        }
        // The delay lets other tasks run, and prevents a busy loop if interruptions never end.
        let retry_delay = self.retry_delay.insert(Box::pin(sleep(MEMORY_RETRY_DELAY)));
        ready!(retry_delay.as_mut().poll(context));
        context.waker().wake_by_ref();
        Poll::Pending
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for RetryingStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.poll_call(context, |stream, context| {
            Pin::new(stream).poll_read(context, buffer)
        })
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for RetryingStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_call(context, |stream, context| {
            Pin::new(stream).poll_write(context, bytes)
        })
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_call(context, |stream, context| {
            Pin::new(stream).poll_write_vectored(context, slices)
        })
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.poll_call(context, |stream, context| {
            Pin::new(stream).poll_flush(context)
        })
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.poll_call(context, |stream, context| {
            Pin::new(stream).poll_shutdown(context)
        })
    }
}

#[cfg(test)]
mod tests;
