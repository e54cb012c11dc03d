//! The reasons for which a connection to a server ends.

use crate::server_protocol::ProtocolError;
use std::io;

/// The reason for which an established connection ended before this side closed it.
#[derive(Debug, thiserror::Error)]
pub(super) enum DisconnectReason {
    /// Writing to the socket failed.
    #[error("writing failed: {0}")]
    Write(#[source] io::Error),
    /// Reading from the socket failed.
    #[error("reading failed: {0}")]
    Read(#[source] io::Error),
    /// The server closed the connection.
    #[error("closed by the server")]
    ClosedByServer,
    /// The server sent something that is not an answer.
    #[error("protocol error: {0}")]
    Protocol(#[from] ProtocolError),
    /// The rest of an incomplete answer did not arrive in time.
    #[error("timed out waiting for the rest of an answer")]
    AnswerStalled,
}
