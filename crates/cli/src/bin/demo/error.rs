//! Errors that end the demo early.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// A failure of the demo's environment. A step with an unexpected result is not an error: the
/// summary shows it.
#[derive(Debug, thiserror::Error)]
pub enum DemoError {
    /// No address of the loopback range could be reserved.
    #[error("no free address in 127.250.0.0/16")]
    NoFreeAddress,
    /// A stand-in could not listen.
    #[error("a stand-in cannot listen at {address}")]
    Listen {
        /// The address that it could not bind.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The address of a listening stand-in could not be read.
    #[error("the address of a stand-in is unknown")]
    LocalAddress(#[source] io::Error),
    /// The example configuration is not valid JSON.
    #[error("docs/example.json is not valid JSON")]
    Example(#[from] serde_json::Error),
    /// The router's configuration could not be written.
    #[error("{} cannot be written", path.display())]
    Configuration {
        /// The file or its folder.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The router's process could not be started.
    #[error("the router cannot be started (is target/.../chalkhall built?)")]
    Start(#[source] io::Error),
    /// The router's process exited before it was told to.
    #[error("the router exited unexpectedly: {0}")]
    ExitedEarly(std::process::ExitStatus),
    /// The connection to the router failed.
    #[error("the connection to the router failed")]
    Connection(#[from] io::Error),
    /// The router sent an answer that violates the client protocol.
    #[error("the router's answer is invalid: {0}")]
    InvalidAnswer(&'static str),
    /// The demo exceeded its time limit.
    #[error("the demo did not finish within {0:?}")]
    TimeLimitExceeded(std::time::Duration),
}
