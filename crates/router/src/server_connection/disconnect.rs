//! Why a connection to a server ended.

use crate::server_protocol::ProtocolError;
use std::io;

/// Why an established connection to a server ended before this side closed it.
#[derive(Debug, thiserror::Error)]
pub(super) enum DisconnectReason {
    /// The system could not write any more.
    #[error("writing failed: {0}")]
    Write(#[source] io::Error),
    /// The system could not read any more.
    #[error("reading failed: {0}")]
    Read(#[source] io::Error),
    /// The server has ended the connection.
    #[error("closed by the server")]
    ClosedByServer,
    /// The server sent something that is not an answer.
    #[error("protocol error: {0}")]
    Protocol(#[from] ProtocolError),
    /// An answer has begun and did not go on.
    #[error("an answer stopped before its end")]
    AnswerStalled,
}
