//! Why the demo could not be played to its end.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// A fault of the demo's surroundings. A step that ended otherwise than expected is no error: it is
/// shown in the summary.
#[derive(Debug, thiserror::Error)]
pub enum DemoError {
    /// No address of the loopback range could be reserved.
    #[error("no free address in 127.250.0.0/16")]
    NoFreeAddress,
    /// A stand-in could not listen.
    #[error("a stand-in cannot listen at {address}")]
    Listen {
        /// Where it should have listened.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The address of a listening stand-in could not be read.
    #[error("the address of a stand-in is unknown")]
    LocalAddress(#[source] io::Error),
    /// The example configuration is not the JSON that the demo builds upon.
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
    /// The router's process ended before it was asked to.
    #[error("the router ended by itself: {0}")]
    EndedEarly(std::process::ExitStatus),
    /// The connection to the router failed.
    #[error("the connection to the router failed")]
    Connection(#[from] io::Error),
    /// The router sent something that is no answer of the clients' protocol.
    #[error("the router's answer cannot be read: {0}")]
    Answer(&'static str),
    /// The demo took longer than it may.
    #[error("the demo was not over within {0:?}")]
    TooLong(std::time::Duration),
}
