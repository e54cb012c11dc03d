//! Reloads, at each SIGHUP, what may change while the router runs.

use crate::clock::Clock;
use crate::configuration::{self, Configuration, ConfigurationError};
use crate::discovery::NewDiscovery;
use crate::discovery_events::DiscoveryEvent;
use crate::io_errors::retry_immediately;
use crate::{cell_routing, zone_failover};
use std::cell::Cell;
use std::fs::File;
use std::path::PathBuf;
use tokio::signal::unix::Signal;
use tokio::sync::mpsc;

/// Reads the configuration and the operator's file again, and sends the changes to discovery and
/// the decider. A configuration or file that cannot be read or parsed is ignored as a whole.
pub struct ConfigurationReloader {
    configuration: Configuration,
    /// The path of the operator's file.
    directives_path: Option<PathBuf>,
    clock: Clock,
    discovery: mpsc::Sender<NewDiscovery>,
    decider: mpsc::Sender<DiscoveryEvent>,
    /// Reserved for reading files when clients hold all other descriptors.
    spare_descriptor: Cell<Option<File>>,
}

/// Reads the configuration that the process environment names.
///
/// # Errors
/// The first error that is found.
pub fn read_configuration(clock: &Clock) -> Result<Configuration, ConfigurationError> {
    configuration::load(|name| std::env::var(name).ok(), clock)
}

/// Opens a descriptor that can be released when another one is needed.
fn reserve_descriptor() -> Option<File> {
    retry_immediately(|| File::open("/dev/null")).ok()
}

impl ConfigurationReloader {
    /// A reloader for a router that runs with this configuration.
    pub fn new(
        configuration: Configuration,
        directives_path: Option<PathBuf>,
        clock: Clock,
        discovery: mpsc::Sender<NewDiscovery>,
        decider: mpsc::Sender<DiscoveryEvent>,
    ) -> ConfigurationReloader {
        ConfigurationReloader {
            configuration,
            directives_path,
            clock,
            discovery,
            decider,
            spare_descriptor: Cell::new(reserve_descriptor()),
        }
    }

    /// Reads both files at each signal.
    pub async fn run(self, mut reload: Signal) {
        while reload.recv().await.is_some() {
            self.reload_configuration().await;
            self.reload_directives().await;
        }
    }

    /// Releases the spare descriptor while `read` runs, so that it can open a file.
    fn with_spare_descriptor<T>(&self, read: impl FnOnce() -> T) -> T {
        drop(self.spare_descriptor.take());
        let read = read();
        self.spare_descriptor.set(reserve_descriptor());
        read
    }

    async fn reload_configuration(&self) {
        let new = match self.with_spare_descriptor(|| read_configuration(&self.clock)) {
            Ok(new) => new,
            Err(fault) => {
                return log::warn!(reason:% = fault; "configuration reload rejected");
            }
        };
        let changed = self.configuration.changed_restart_only_keys(&new);
        if !changed.is_empty() {
            let keys = changed.join(", ");
            log::warn!("the new configuration changes {keys}: a restart is needed");
        }
        // The events refer to names in the new settings. If those have changed, the names differ
        // from the ones that the router runs with, and the events are dropped.
        let known_events = if changed.contains(&"settings") {
            Vec::new()
        } else {
            new.known_events
        };
        let new = NewDiscovery {
            address: new.discovery,
            known_events,
        };
        let _ = self.discovery.send(new).await;
    }

    /// Applies the map of cells and the drained zones of the operator's file. Changes of other
    /// directives need a restart.
    async fn reload_directives(&self) {
        let Some(path) = &self.directives_path else {
            return;
        };
        let (directives, faults) = self.with_spare_descriptor(|| chalkhall_config::read(path));
        if let Some(fault) = faults.first() {
            return log::warn!(
                reason:% = fault, faults = faults.len();
                "operator's file reload rejected"
            );
        }
        let zones = &self.configuration.names.zones;
        match zone_failover::zone_indices(zones, &directives.regions.drained) {
            Ok(drained) => self.send(DiscoveryEvent::DrainedZones(drained)).await,
            Err(fault) => {
                log::warn!(reason:% = fault; "operator's file reload rejected");
            }
        }
        if directives.cells.cells.is_empty() {
            return;
        }
        match cell_routing::read_cell_plan(&directives.cells, &self.configuration.classes) {
            Ok(plan) => self.send(DiscoveryEvent::CellMap(Box::new(plan))).await,
            Err(fault) => log::warn!(reason:% = fault; "cell map reload rejected"),
        }
    }

    async fn send(&self, event: DiscoveryEvent) {
        // If the decider has ended, the process is about to exit.
        let _ = self.decider.send(event).await;
    }
}
