//! Classifies the errors of system calls on sockets by what they say about this machine, the peer
//! and the connection, and thus by what may be retried. All adapters use it.
//!
//! Linux reports resource shortages of this machine, failures of a peer and failures of the network
//! alike, as error numbers. Mistaking a local shortage for a failure of a server ejects healthy
//! servers; mistaking a peer's failure for a shortage closes client connections needlessly.

use libc::{
    EACCES, EADDRINUSE, EADDRNOTAVAIL, EAGAIN, ECONNABORTED, ECONNREFUSED, ECONNRESET, EHOSTDOWN,
    EHOSTUNREACH, EINTR, EMFILE, ENETDOWN, ENETUNREACH, ENFILE, ENOBUFS, ENOMEM, ENONET,
    ENOPROTOOPT, EOPNOTSUPP, EPERM, EPROTO, ETIMEDOUT,
};
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;

/// An interrupted system call counts as failed after this many retries. A signal interrupts a call
/// once; further interruptions have another cause, and must not lead to a busy loop.
pub const MAX_INTERRUPTED_RETRIES: usize = 16;

/// The delay before retrying a call that failed for lack of memory or buffers.
pub const MEMORY_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Why a connect failed. In any case no request has reached the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFailure {
    /// A signal interrupted the call: it may be retried at once, on a new socket.
    Interrupted,
    /// This machine had no descriptor, port, buffer or route, or a local policy forbids the
    /// connection. The server is not at fault.
    LocalResources,
    /// The server refused the connection, did not answer, or cannot be reached.
    Server,
}

/// Why accepting a client connection failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptFailure {
    /// A signal interrupted the call: it may be retried at once.
    Interrupted,
    /// The connection failed before it was accepted. The next one may be accepted at once.
    PerConnection,
    /// The process or the system has no free descriptors.
    DescriptorsExhausted,
    /// The system has no free memory or buffers.
    MemoryExhausted,
    /// Anything else, such as an invalid listener. It may persist, and must not be retried in a
    /// busy loop.
    Listener,
}

/// Why a read or write on a connected stream failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamFailure {
    /// A signal interrupted the call, or the stream was not ready: nothing was transferred, and the
    /// connection is usable.
    Retry,
    /// The system had no free memory or buffer: nothing was transferred, and the connection is
    /// usable.
    MemoryExhausted,
    /// The connection has ended.
    Broken,
}

/// Why sending or receiving a datagram failed. The socket stays usable in each case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DatagramFailure {
    /// A delivery error of an earlier datagram, or an interruption: the next call may be made at
    /// once.
    Transient,
    /// Anything else: it may persist, and must not be retried in a busy loop.
    Persistent,
}

impl From<&io::Error> for ConnectFailure {
    fn from(error: &io::Error) -> ConnectFailure {
        match error.raw_os_error() {
            Some(EINTR) => ConnectFailure::Interrupted,
            // The process (EMFILE) or the system (ENFILE) has no free descriptors.
            Some(EMFILE | ENFILE) => ConnectFailure::LocalResources,
            // No memory for the socket or its buffers is free.
            Some(ENOBUFS | ENOMEM) => ConnectFailure::LocalResources,
            // All local ports are in use; `connect` reports it by any of these.
            Some(EADDRNOTAVAIL | EADDRINUSE | EAGAIN) => ConnectFailure::LocalResources,
            // This machine has no route, or its interface is down. It is reported locally, before
            // anything is sent, and affects all servers: if it counted against them, a flapping
            // route would eject all of them.
            Some(ENETUNREACH | ENETDOWN) => ConnectFailure::LocalResources,
            // A packet filter or policy of this machine forbids the connection.
            Some(EACCES | EPERM) => ConnectFailure::LocalResources,
            // ECONNREFUSED, ECONNRESET: the server's machine answered. ETIMEDOUT, or a timeout of
            // this process: it did not. EHOSTUNREACH, EHOSTDOWN, ENONET: the network was reached,
            // but not this host (no answer to ARP, or an ICMP error for this address). Anything
            // else, such as EAFNOSUPPORT, is caused by the address and will recur: the server is
            // avoided as if it were down.
            _ => ConnectFailure::Server,
        }
    }
}

impl From<&io::Error> for AcceptFailure {
    fn from(error: &io::Error) -> AcceptFailure {
        match error.raw_os_error() {
            Some(EINTR | EAGAIN) => AcceptFailure::Interrupted,
            // The client closed the connection before it was accepted, or a packet filter forbids
            // it.
            Some(ECONNABORTED | EPERM | EPROTO) => AcceptFailure::PerConnection,
            // Linux reports pending network errors of the new connection through `accept`;
            // accept(2) says to treat them like EAGAIN.
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
    /// Whether the next call may be made at once: no resource is exhausted, and the listener is
    /// usable.
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
            // ECONNRESET, EPIPE, ETIMEDOUT, EHOSTUNREACH, ENETUNREACH and the like: TCP has aborted
            // the connection, and reports the error once.
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
            // Reported by ICMP: the port is closed or the host unreachable. Each error is reported
            // once.
            Some(ECONNREFUSED | ECONNRESET | EHOSTUNREACH | EHOSTDOWN | ENETUNREACH) => {
                DatagramFailure::Transient
            }
            _ => DatagramFailure::Persistent,
        }
    }
}

/// Whether creating, binding or listening on a socket may succeed a moment later: a resource was
/// exhausted, or the address is not available yet.
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

/// Maximum number of calls made by `retry_immediately`.
const MAX_IMMEDIATE_TRIES: usize = 4;

/// Retries a call at once if it failed for lack of a resource. Used for calls that must not wait,
/// because another task would take the descriptor meanwhile.
///
/// # Errors
/// The last failure.
pub fn retry_immediately<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 1..MAX_IMMEDIATE_TRIES {
        match call() {
            Err(error) if is_retryable(&error) => {}
            result => return result,
        }
    }
    call()
}

/// Disables Nagle's algorithm. If that fails, the connection is slower but usable.
pub fn set_nodelay(stream: &TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(reason:% = error; "setting TCP_NODELAY failed");
    }
}

#[cfg(test)]
mod tests;
