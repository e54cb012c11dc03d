use super::*;
use libc::{ECONNRESET, EHOSTUNREACH, EINTR, ENOBUFS, ENOMEM, EPIPE, ETIMEDOUT};
use std::collections::VecDeque;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::Instant;

/// A stream that fails with the errnos of a script, one for each call, and then transfers one byte
/// per call.
#[derive(Default)]
struct Scripted {
    script: VecDeque<i32>,
    calls: usize,
    unread: VecDeque<u8>,
    written: Vec<u8>,
}

impl Scripted {
    fn next(&mut self) -> io::Result<()> {
        self.calls += 1;
        self.script
            .pop_front()
            .map_or(Ok(()), |errno| Err(io::Error::from_raw_os_error(errno)))
    }
}

impl AsyncRead for Scripted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.next()?;
        buffer.put_slice(&self.unread.pop_front().map_or(vec![], |byte| vec![byte]));
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Scripted {
    fn poll_write(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.next()?;
        self.written.extend_from_slice(&bytes[..1]);
        Poll::Ready(Ok(1))
    }

    fn poll_flush(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.next())
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.next())
    }
}

fn scripted(script: &[i32]) -> RetryingStream<Scripted> {
    RetryingStream::new(Scripted {
        script: script.iter().copied().collect(),
        ..Scripted::default()
    })
}

#[tokio::test(start_paused = true)]
async fn interrupted_calls_transfer_every_byte_once() {
    let mut stream = scripted(&[EINTR, EINTR, EINTR]);
    stream.stream.unread = (*b"answer").into();
    let mut read = Vec::new();
    stream.read_to_end(&mut read).await.unwrap();
    assert_eq!(read, b"answer");
    stream.stream.script = [EINTR, EINTR].into();
    stream.write_all(b"request").await.unwrap();
    assert_eq!(stream.stream.written, b"request");
    stream.stream.script = [EINTR].into();
    stream.shutdown().await.unwrap();
}

#[tokio::test(start_paused = true)]
async fn a_call_without_memory_is_retried_after_a_pause() {
    let begin = Instant::now();
    let mut stream = scripted(&[ENOBUFS, ENOMEM]);
    stream.write_all(b"a").await.unwrap();
    assert_eq!(stream.stream.calls, 3);
    assert!(
        begin.elapsed() >= MEMORY_RETRY_DELAY * 2,
        "{:?}",
        begin.elapsed()
    );
}

/// Linux does not interrupt calls endlessly; if it did, other tasks on this thread would still run.
#[tokio::test(start_paused = true)]
async fn endless_interruptions_cause_no_busy_loop() {
    let begin = Instant::now();
    let mut stream = scripted(&vec![EINTR; MAX_INTERRUPTED_RETRIES * 10]);
    stream.write_all(b"a").await.unwrap();
    assert!(
        begin.elapsed() >= MEMORY_RETRY_DELAY * 10,
        "{:?}",
        begin.elapsed()
    );
}

#[tokio::test(start_paused = true)]
async fn an_ended_connection_is_returned_as_an_error_at_once() {
    for errno in [ECONNRESET, EPIPE, ETIMEDOUT, EHOSTUNREACH] {
        let mut stream = scripted(&[errno]);
        let error = stream.write_all(b"a").await.unwrap_err();
        assert_eq!(
            (error.raw_os_error(), stream.stream.calls),
            (Some(errno), 1)
        );
        let mut stream = scripted(&[errno]);
        assert_eq!(
            stream.read_u8().await.unwrap_err().raw_os_error(),
            Some(errno)
        );
    }
}
