//! A stream wrapper that retries calls that transferred nothing while the connection is usable.

use crate::io_errors::{MAX_INTERRUPTIONS, MEMORY_PAUSE, StreamFailure};
use std::future::Future;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Sleep, sleep};

/// Wraps a stream. Interrupted reads and writes are retried at once, those that failed for lack of
/// memory after a pause. All other errors are returned, and mean that the connection has ended.
///
/// A call that is cancelled between two attempts has transferred nothing, so a new wrapper may be
/// used for each call.
pub struct Uninterrupted<S> {
    stream: S,
    pause: Option<Pin<Box<Sleep>>>,
}

impl<S> Uninterrupted<S> {
    /// Wraps a stream, or a reference to one.
    pub fn new(stream: S) -> Uninterrupted<S> {
        Uninterrupted {
            stream,
            pause: None,
        }
    }

    /// Repeats a call until it has transferred something, is pending, or reports that the
    /// connection has ended.
    fn poll_call<T>(
        &mut self,
        context: &mut Context<'_>,
        mut call: impl FnMut(&mut S, &mut Context<'_>) -> Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        for _ in 0..MAX_INTERRUPTIONS {
            if let Some(pause) = &mut self.pause {
                ready!(pause.as_mut().poll(context));
                self.pause = None;
            }
            let error = match ready!(call(&mut self.stream, context)) {
                Ok(value) => return Poll::Ready(Ok(value)),
                Err(error) => error,
            };
            match StreamFailure::from(&error) {
                StreamFailure::Retry => {}
                StreamFailure::MemoryExhausted => self.pause = Some(Box::pin(sleep(MEMORY_PAUSE))),
                StreamFailure::Broken => return Poll::Ready(Err(error)),
            }
        }
        // The pause lets other tasks run, and prevents a busy loop if interruptions never end.
        let pause = self.pause.insert(Box::pin(sleep(MEMORY_PAUSE)));
        ready!(pause.as_mut().poll(context));
        context.waker().wake_by_ref();
        Poll::Pending
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Uninterrupted<S> {
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

impl<S: AsyncWrite + Unpin> AsyncWrite for Uninterrupted<S> {
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
