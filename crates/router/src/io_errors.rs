//! Classifies the errors of system calls on sockets: what each one says about this machine, about
//! the peer and about the connection, and so what may be retried. All adapters use it.
//!
//! Linux reports a shortage of this machine, a fault of one peer and a fault of the network by the
//! same kind of return value. Treating the first as the second ejects healthy servers; treating the
//! second as the first closes connections of clients for nothing.

use libc::{
    EACCES, EADDRINUSE, EADDRNOTAVAIL, EAGAIN, ECONNABORTED, ECONNREFUSED, ECONNRESET, EHOSTDOWN,
    EHOSTUNREACH, EINTR, EMFILE, ENETDOWN, ENETUNREACH, ENFILE, ENOBUFS, ENOMEM, ENONET,
    ENOPROTOOPT, EOPNOTSUPP, EPERM, EPROTO, ETIMEDOUT,
};
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;

/// An interrupted system call counts as failed after so many retries. A signal interrupts one call
/// once; more than this is a fault of its own, which must not keep the program busy.
pub const MAX_INTERRUPTIONS: usize = 16;

/// The wait before the retry of a call for which the system had no memory or buffer.
pub const MEMORY_PAUSE: Duration = Duration::from_millis(5);

/// Why no connection was made. In any case nothing has run at the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFailure {
    /// A signal interrupted the call: it may be retried at once, on a new socket.
    Interrupted,
    /// This machine had no descriptor, port, buffer or route, or forbids it. It is no fault of the
    /// server.
    LocalResources,
    /// The server refused, did not answer, or cannot be reached.
    Server,
}

/// Why no connection of a client could be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptFailure {
    /// A signal interrupted the call: it may be retried at once.
    Interrupted,
    /// The one connection that would have been accepted failed before it was. The next may be
    /// accepted.
    PerConnection,
    /// The process or the system has no descriptor left, until some are closed.
    DescriptorsExhausted,
    /// The system has no memory or buffers left, for a while.
    MemoryExhausted,
    /// Anything else, as an invalid listener. It may last, and must not be retried in a busy loop.
    Listener,
}

/// Why nothing was read from or written to a connected stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamFailure {
    /// A signal interrupted the call, or the stream was not ready: nothing was transferred, and the
    /// connection is usable.
    Retry,
    /// The system had no memory or buffer: nothing was transferred, and the connection is usable.
    MemoryExhausted,
    /// The connection has ended, whichever way that is reported.
    Broken,
}

/// Why a datagram was not sent or received. The socket stays usable after any of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramFailure {
    /// The report of what an earlier datagram met, or an interruption: the next call may be made at
    /// once.
    Transient,
    /// Anything else: it may last, and must not be retried in a busy loop.
    Persistent,
}

impl From<&io::Error> for ConnectFailure {
    fn from(error: &io::Error) -> ConnectFailure {
        match error.raw_os_error() {
            Some(EINTR) => ConnectFailure::Interrupted,
            // No descriptor: of the process, of the system.
            Some(EMFILE | ENFILE) => ConnectFailure::LocalResources,
            // No memory for the socket or its buffers.
            Some(ENOBUFS | ENOMEM) => ConnectFailure::LocalResources,
            // All local ports are in use; `connect` says so by any of them.
            Some(EADDRNOTAVAIL | EADDRINUSE | EAGAIN) => ConnectFailure::LocalResources,
            // This machine's routing table has no route, or its interface is down. This comes from
            // the machine itself, before anything is sent, and concerns all servers alike: if it
            // counted against them, a route that flaps for a moment would eject them all.
            Some(ENETUNREACH | ENETDOWN) => ConnectFailure::LocalResources,
            // This machine's packet filter or policy forbids it.
            Some(EACCES | EPERM) => ConnectFailure::LocalResources,
            // ECONNREFUSED, ECONNRESET: the server's machine answered. ETIMEDOUT, and a timeout of
            // this program: it did not. EHOSTUNREACH, EHOSTDOWN, ENONET: the network was reached,
            // this host was not (no answer to ARP, or a router's report about this one address).
            // Anything else, as EAFNOSUPPORT, comes from the address and will come again: the
            // server is better avoided like one that is down.
            _ => ConnectFailure::Server,
        }
    }
}

impl From<&io::Error> for AcceptFailure {
    fn from(error: &io::Error) -> AcceptFailure {
        match error.raw_os_error() {
            Some(EINTR | EAGAIN) => AcceptFailure::Interrupted,
            // The client has left before its connection was accepted; a packet filter forbids this
            // one.
            Some(ECONNABORTED | EPERM | EPROTO) => AcceptFailure::PerConnection,
            // Linux hands errors that already wait on the new connection to `accept`; accept(2)
            // asks to treat them like EAGAIN.
            Some(ENETDOWN | ENOPROTOOPT | EHOSTDOWN | ENONET) => AcceptFailure::PerConnection,
            Some(EHOSTUNREACH | EOPNOTSUPP | ENETUNREACH) => AcceptFailure::PerConnection,
            Some(ETIMEDOUT | ECONNRESET) => AcceptFailure::PerConnection,
            Some(EMFILE | ENFILE) => AcceptFailure::DescriptorsExhausted,
            Some(ENOBUFS | ENOMEM) => AcceptFailure::MemoryExhausted,
            _ => AcceptFailure::Listener,
        }
    }
}

impl AcceptFailure {
    /// Whether the next call may be made at once: no resource is short, and the listener is usable.
    pub fn is_transient(self) -> bool {
        matches!(
            self,
            AcceptFailure::Interrupted | AcceptFailure::PerConnection
        )
    }
}

impl From<&io::Error> for StreamFailure {
    fn from(error: &io::Error) -> StreamFailure {
        match error.raw_os_error() {
            Some(EINTR | EAGAIN) => StreamFailure::Retry,
            Some(ENOBUFS | ENOMEM) => StreamFailure::MemoryExhausted,
            // ECONNRESET, EPIPE, ETIMEDOUT, EHOSTUNREACH, ENETUNREACH and the like: TCP has given
            // up this connection, for whatever reason, and reports it once.
            Some(_) => StreamFailure::Broken,
            None if matches!(
                error.kind(),
                io::ErrorKind::Interrupted | io::ErrorKind::WouldBlock
            ) =>
            {
                StreamFailure::Retry
            }
            None => StreamFailure::Broken,
        }
    }
}

impl From<&io::Error> for DatagramFailure {
    fn from(error: &io::Error) -> DatagramFailure {
        match error.raw_os_error() {
            Some(EINTR | EAGAIN) => DatagramFailure::Transient,
            // By ICMP: nobody listens there now, or the host is not reached. Each is reported once.
            Some(ECONNREFUSED | ECONNRESET | EHOSTUNREACH | EHOSTDOWN | ENETUNREACH) => {
                DatagramFailure::Transient
            }
            _ => DatagramFailure::Persistent,
        }
    }
}

/// Whether a socket that could not be created, bound or listened on may be available a moment
/// later: a resource was short, or its address is not there yet.
pub fn is_retryable(error: &io::Error) -> bool {
    let resources = [
        EMFILE,
        ENFILE,
        ENOBUFS,
        ENOMEM,
        EADDRNOTAVAIL,
        EAGAIN,
        EINTR,
    ];
    error
        .raw_os_error()
        .is_some_and(|errno| resources.contains(&errno))
}

/// How often a call that must not wait is made at most.
const MAX_IMMEDIATE_TRIES: usize = 4;

/// Retries a call at once if a resource was short for a moment. For calls that must not wait:
/// another would take the descriptor meanwhile.
///
/// # Errors
/// The last failure.
pub fn retry_at_once<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 1..MAX_IMMEDIATE_TRIES {
        match call() {
            Err(error) if is_retryable(&error) => {}
            result => return result,
        }
    }
    call()
}

/// Has small writes sent at once. If the system refuses, the connection is slower, not broken.
pub fn set_nodelay(stream: &TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(reason:% = error; "TCP_NODELAY was not set");
    }
}

#[cfg(test)]
mod tests;
