//! Binds sockets at the start of the router, and waits for what is short for a moment.

use crate::io_errors::is_retryable;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::time::sleep;

/// The pause before a call is made again for the first time; it is doubled each time.
const FIRST_PAUSE: Duration = Duration::from_millis(10);
/// How often a call is made; with the pauses between this takes a second at most.
pub(super) const MAX_BIND_ATTEMPTS: u32 = 7;
/// Connections that the system accepts by itself until the program takes them.
pub(super) const ACCEPT_BACKLOG: u32 = 1024;

/// Listens at an address.
///
/// # Errors
/// At once where the address is taken or forbidden; after a second where something was short for
/// that long.
pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    bind_with(|| try_bind(address)).await
}

/// Makes a call that binds a socket, again where something is short for a moment.
///
/// # Errors
/// The last failure.
pub async fn bind_with<T>(mut bind: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let mut pause = FIRST_PAUSE;
    for _ in 1..MAX_BIND_ATTEMPTS {
        match bind() {
            Err(error) if is_retryable(&error) => {
                log::debug!(error:% = error; "a socket is bound again after a pause");
            }
            done => return done,
        }
        sleep(pause).await;
        pause *= 2;
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
