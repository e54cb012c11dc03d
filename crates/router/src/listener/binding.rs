//! Binds sockets when the router starts, with retries while a resource is temporarily unavailable.

use crate::io_errors::is_retryable;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::time::sleep;

/// The delay before the first retry. It doubles with each retry.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(10);
/// With the delays between them, these attempts take at most a second.
pub(super) const MAX_BIND_ATTEMPTS: u32 = 7;
/// Length of the system's accept queue.
pub(super) const ACCEPT_BACKLOG: u32 = 1024;

/// Listens on an address.
///
/// # Errors
/// The socket cannot be bound: at once if the address is in use or not permitted, after a second if
/// a resource is unavailable.
pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    bind_with(|| try_bind(address)).await
}

/// Calls `bind`, with retries while a resource is unavailable.
///
/// # Errors
/// The last failure.
pub async fn bind_with<T>(mut bind: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let mut delay = INITIAL_RETRY_DELAY;
    for _ in 1..MAX_BIND_ATTEMPTS {
        match bind() {
            Err(error) if is_retryable(&error) => {
                log::debug!(error:% = error; "binding a socket failed; retrying");
            }
            result => return result,
        }
        sleep(delay).await;
        delay *= 2;
    }
    bind()
}

fn try_bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}
