//! Why a router could not start, or ended before its time.

use crate::cell_routing::CellMapError;
use crate::configuration::ConfigurationError;
use crate::local_cache::LocalCacheError;
use crate::zone_failover::UnknownZone;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;
use tokio::task::JoinError;

/// Why a router could not start, or ended before its time. Its text is one line that names the key
/// at fault.
#[derive(Debug, Error)]
pub enum RouterError {
    /// The runtime or a signal handler could not be set up.
    #[error(transparent)]
    System(#[from] io::Error),
    /// The configuration cannot be used.
    #[error(transparent)]
    Configuration(#[from] ConfigurationError),
    /// The local cache cannot be opened.
    #[error(transparent)]
    LocalCache(#[from] LocalCacheError),
    /// The map of cells in the operator's file cannot be used.
    #[error("cells: {0}")]
    Cells(#[from] CellMapError),
    /// The operator's file names a zone that is none.
    #[error(transparent)]
    Zone(#[from] UnknownZone),
    /// Clients cannot be listened to.
    #[error("listen: {address}: {source}")]
    Listen {
        /// Where.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// The control socket cannot be opened.
    #[error("control: {}: {source}", path.display())]
    ControlSocket {
        /// Where.
        path: PathBuf,
        /// What the system says.
        source: io::Error,
    },
    /// The decisions have panicked: without them nothing can be answered, and a restart is better
    /// than to go on.
    #[error("the decisions failed: {0}")]
    DecisionsFailed(#[source] JoinError),
}
