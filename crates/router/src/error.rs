//! Errors that prevent a router from starting, or end it.

use crate::cell_routing::CellMapError;
use crate::configuration::ConfigurationError;
use crate::local_cache::LocalCacheError;
use crate::zone_failover::UnknownZone;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;
use tokio::task::JoinError;

/// Why a router could not start, or ended early. The message is one line that names the key at
/// fault.
#[derive(Debug, Error)]
pub enum RouterError {
    /// The runtime or a signal handler could not be set up.
    #[error(transparent)]
    System(#[from] io::Error),
    /// The configuration is invalid.
    #[error(transparent)]
    Configuration(#[from] ConfigurationError),
    /// The local cache cannot be opened.
    #[error(transparent)]
    LocalCache(#[from] LocalCacheError),
    /// The map of cells in the operator's file is invalid.
    #[error("cells: {0}")]
    Cells(#[from] CellMapError),
    /// The operator's file names a zone that does not exist.
    #[error(transparent)]
    Zone(#[from] UnknownZone),
    /// Listening for clients failed.
    #[error("listen: {address}: {source}")]
    Listen {
        address: SocketAddr,
        source: io::Error,
    },
    /// The control socket cannot be opened.
    #[error("control: {}: {source}", path.display())]
    ControlSocket { path: PathBuf, source: io::Error },
    /// The decider has panicked. Nothing can be answered without it, so the router has to be
    /// restarted.
    #[error("decider task failed: {0}")]
    DeciderFailed(#[source] JoinError),
}
