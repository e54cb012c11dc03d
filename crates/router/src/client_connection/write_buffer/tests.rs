use super::*;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::AsyncWrite;

/// A writer that fails every other write with `EINTR` and accepts one byte in the others.
#[derive(Default)]
struct InterruptedWriter {
    taken: Vec<u8>,
    interrupted: bool,
}

impl AsyncWrite for InterruptedWriter {
    fn poll_write(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.interrupted = !self.interrupted;
        if self.interrupted {
            return Poll::Ready(Err(io::Error::from_raw_os_error(libc::EINTR)));
        }
        self.taken.extend_from_slice(&bytes[..1]);
        Poll::Ready(Ok(1))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

#[tokio::test(flavor = "current_thread")]
async fn a_response_is_written_completely_through_interrupted_and_short_writes() {
    let (mut write_buffer, mut writer) = (WriteBuffer::default(), InterruptedWriter::default());
    write_buffer.push(
        response_head(7, ResponseStatus::Served, "", 3),
        Bytes::from_static(b"abc"),
    );
    while !write_buffer.is_empty() {
        write_buffer
            .write(&mut writer)
            .await
            .expect("an interrupted write does not break the connection");
    }
    assert_eq!(
        writer.taken,
        b"*4\r\n$1\r\n7\r\n$3\r\nACK\r\n$0\r\n\r\n$3\r\nabc\r\n"
    );
}
