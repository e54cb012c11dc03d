//! The router's configuration: `docs/example.json` with the addresses of this run's stand-ins.

use crate::error::DemoError;
use crate::servers::{Server, Tier};
use serde_json::{Value, json};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::time::Duration;

const EXAMPLE: &str = include_str!("../../../../../docs/example.json");
/// The drain grace in the example's settings. After it, a draining server gets no requests.
pub const DRAIN_GRACE: Duration = Duration::from_millis(500);

const LOCK_PORT: u16 = 6049;
const ROUTER_PORT: u16 = 6050;
const ADDRESS_ATTEMPTS: u32 = 64;

/// A loopback address that no other demo on this machine uses, reserved by a listener.
pub struct ReservedAddress {
    address: Ipv4Addr,
    _lock: TcpListener,
}

impl ReservedAddress {
    /// Reserves an address of 127.250.0.0/16, starting at one derived from the process id.
    ///
    /// # Errors
    /// All addresses that were tried are in use.
    pub fn reserve() -> Result<ReservedAddress, DemoError> {
        for attempt in 0..ADDRESS_ATTEMPTS {
            let [.., high, low] = (std::process::id().wrapping_add(attempt)).to_be_bytes();
            let address = Ipv4Addr::new(127, 250, high, low);
            if let Ok(lock) = TcpListener::bind((address, LOCK_PORT)) {
                return Ok(ReservedAddress {
                    address,
                    _lock: lock,
                });
            }
        }
        Err(DemoError::NoFreeAddress)
    }

    /// The address at which the router listens for clients.
    pub fn router(&self) -> SocketAddr {
        SocketAddr::from((self.address, ROUTER_PORT))
    }

    /// An address for a stand-in to listen at, with a port that the system chooses.
    pub fn any_port(&self) -> SocketAddr {
        SocketAddr::from((self.address, 0))
    }
}

/// A server as discovery lists it; `health` is `active`, `leaving` (draining) or `left`.
pub fn endpoint(server: &Server, health: &str) -> Value {
    let class = match server.tier {
        Tier::Cache => "cache",
        Tier::Parent => "parent",
        Tier::Origin => "origin",
    };
    json!({"host": server.name, "dial": server.address.to_string(), "site": "here", "class": class,
        "block": 0, "health": health, "share": 4, "born_ms": 0})
}

/// The configuration file of the one router, removed with its directory when dropped.
pub struct ConfigurationFile {
    directory: PathBuf,
    path: PathBuf,
}

impl ConfigurationFile {
    /// Writes the example with these addresses and endpoints.
    ///
    /// # Errors
    /// The example is not valid JSON, or the file cannot be written.
    pub fn write(
        listen: SocketAddr,
        discovery: SocketAddr,
        endpoints: &[Value],
    ) -> Result<ConfigurationFile, DemoError> {
        let mut configuration: Value = serde_json::from_str(EXAMPLE)?;
        configuration["listen"] = json!(listen.to_string());
        configuration["board"] = json!(discovery.to_string());
        configuration["known"]["notices"][0]["pool"]["hosts"] = json!(endpoints);

        let directory = std::env::temp_dir().join(format!("chalkhall-demo-{}", std::process::id()));
        let path = directory.join("router.json");
        let write_error = |source| DemoError::Configuration {
            path: path.clone(),
            source,
        };
        std::fs::create_dir_all(&directory).map_err(write_error)?;
        std::fs::write(&path, configuration.to_string()).map_err(write_error)?;
        Ok(ConfigurationFile { directory, path })
    }

    /// The path to hand to the router as `ROUTER_CONFIG`.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for ConfigurationFile {
    fn drop(&mut self) {
        // Best effort: a file left behind in the temporary directory does no harm.
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}
