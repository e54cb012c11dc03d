//! Takes over, at each SIGHUP, what may change while the router runs.

use crate::clock::Clock;
use crate::configuration::{self, Configuration, ConfigurationError};
use crate::discovery::NewDiscovery;
use crate::discovery_events::DiscoveryEvent;
use crate::io_errors::retry_at_once;
use crate::{cell_routing, zone_failover};
use std::cell::Cell;
use std::fs::File;
use std::path::PathBuf;
use tokio::signal::unix::Signal;
use tokio::sync::mpsc;

/// Reads the configuration and the operator's file again, and hands on what is new. Of a
/// configuration or a file that is faulty nothing is taken over.
pub struct ConfigurationReloader {
    configuration: Configuration,
    /// The operator's file.
    file: Option<PathBuf>,
    clock: Clock,
    discovery: mpsc::Sender<NewDiscovery>,
    decider: mpsc::Sender<DiscoveryEvent>,
    /// Reserved for the files that are read, where clients have taken all other descriptors.
    spare_descriptor: Cell<Option<File>>,
}

/// Reads the configuration that the environment names.
///
/// # Errors
/// The first fault that is found.
pub fn read_configuration(clock: &Clock) -> Result<Configuration, ConfigurationError> {
    configuration::load(|name| std::env::var(name).ok(), clock)
}

/// Any descriptor that is there to be given up.
fn reserve_descriptor() -> Option<File> {
    retry_at_once(|| File::open("/dev/null")).ok()
}

impl ConfigurationReloader {
    /// The reloader of a router that runs with this configuration.
    pub fn new(
        configuration: Configuration,
        file: Option<PathBuf>,
        clock: Clock,
        discovery: mpsc::Sender<NewDiscovery>,
        decider: mpsc::Sender<DiscoveryEvent>,
    ) -> ConfigurationReloader {
        ConfigurationReloader {
            configuration,
            file,
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

    /// Reads a file while a descriptor is free for it.
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
                return log::warn!(reason:% = fault; "the new configuration is not taken over");
            }
        };
        let changed = self.configuration.changed_fixed_keys(&new);
        if !changed.is_empty() {
            let keys = changed.join(", ");
            log::warn!("the new configuration has other {keys}: a restart is needed");
        }
        // Its events are read by the names in its settings: with other settings those are not the
        // names that the router runs with.
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

    /// Of the operator's file the map of cells and the drained zones are taken over; all else needs
    /// a restart.
    async fn reload_directives(&self) {
        let Some(file) = &self.file else { return };
        let (directives, faults) = self.with_spare_descriptor(|| chalkhall_config::read(file));
        if let Some(fault) = faults.first() {
            return log::warn!(
                reason:% = fault, faults = faults.len();
                "the operator's file is not taken over"
            );
        }
        let zones = &self.configuration.names.zones;
        match zone_failover::zone_indices(zones, &directives.regions.drained) {
            Ok(drained) => self.send(DiscoveryEvent::Drained(drained)).await,
            Err(fault) => {
                log::warn!(reason:% = fault; "the operator's file is not taken over");
            }
        }
        if directives.cells.cells.is_empty() {
            return;
        }
        match cell_routing::plan(&directives.cells, &self.configuration.classes) {
            Ok(plan) => self.send(DiscoveryEvent::Cells(Box::new(plan))).await,
            Err(fault) => log::warn!(reason:% = fault; "the map of cells is not taken over"),
        }
    }

    async fn send(&self, event: DiscoveryEvent) {
        // Where the decider has ended, so will this task.
        let _ = self.decider.send(event).await;
    }
}
