//! Drives a store without a router, for crash tests and measurements.

use chalkhall_store::copy::Copy;
use chalkhall_store::decide::disk::{Disk, DiskSettings, Phase, ReadResult};
use chalkhall_store::decide::{CacheTier, Part, Store};
use chalkhall_store::files::{Directory, Files};
use chalkhall_store::threads::{CompletedOperation, DiskConnector, OpenError, start};
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::yield_now;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc::Receiver;

/// A store, its I/O threads and a clock.
pub struct Rig {
    pub store: Store,
    pub connector: DiskConnector,
    ends: Receiver<CompletedOperation>,
    started: Instant,
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

impl Rig {
    /// Opens a store on a directory that no other process holds.
    pub fn open(
        path: &Path,
        memory: u64,
        settings: DiskSettings,
        readers: usize,
    ) -> Result<Rig, String> {
        let path = path.to_path_buf();
        let take = move || {
            let taken = Directory::lock(&path).map_err(|error| OpenError::of(&path, &error))?;
            Ok(Arc::new(taken) as Arc<dyn Files>)
        };
        Rig::on(take, memory, settings, readers)
    }

    /// Opens a store on any implementation of files.
    pub fn on(
        take: impl FnMut() -> Result<Arc<dyn Files>, OpenError> + Send + 'static,
        memory: u64,
        settings: DiskSettings,
        readers: usize,
    ) -> Result<Rig, String> {
        let (threads, ends) =
            start(take, fastrand::u64(1..), readers).map_err(|e| e.to_string())?;
        let connector = DiskConnector {
            threads: Some(threads),
            durability_changes: Some(Vec::new()),
            ..DiskConnector::default()
        };
        // The clock starts well above zero, as a router's does.
        let disk = Disk::new(settings, CLOCK_START, unix_ms());
        Ok(Rig {
            store: Store::new(memory, Some(disk)),
            connector,
            ends,
            started: Instant::now(),
        })
    }

    /// A store without a disk tier.
    pub fn alone(memory: u64) -> Rig {
        let (_, ends) = tokio::sync::mpsc::channel(1);
        Rig {
            store: Store::new(memory, None),
            connector: DiskConnector::default(),
            ends,
            started: Instant::now(),
        }
    }

    pub fn now(&self) -> Duration {
        CLOCK_START + self.started.elapsed()
    }

    /// Processes finished operations and due work. Returns true if an operation finished.
    pub fn turn(&mut self) -> bool {
        let (now, mut completed) = (self.now(), false);
        while let Ok(end) = self.ends.try_recv() {
            self.connector.complete(&mut self.store, now, end);
            completed = true;
        }
        self.store.tick(now, &mut self.connector);
        completed
    }

    /// Calls [`Rig::turn`] until the condition holds. Returns false on a timeout.
    pub fn until(&mut self, within: Duration, mut condition: impl FnMut(&mut Rig) -> bool) -> bool {
        let end = Instant::now() + within;
        while !condition(self) {
            if Instant::now() >= end {
                return false;
            }
            if !self.turn() {
                yield_now();
            }
        }
        true
    }

    /// Whether recovery is complete.
    pub fn is_ready(&self) -> bool {
        self.store
            .disk()
            .is_some_and(|disk| *disk.phase() == Phase::Ready)
    }

    /// Why the disk tier cannot be used, if so.
    pub fn refusal(&self) -> Option<String> {
        match self.store.disk()?.phase() {
            Phase::Refused(why) => Some(why.clone()),
            _ => None,
        }
    }

    /// The copy with which a request for a part is answered.
    pub fn get(&mut self, part: Part) -> Option<Rc<Copy>> {
        match self.store.find(part, None)?.tier {
            CacheTier::Memory => self.store.get(self.now(), part),
            CacheTier::Disk => {
                let ticket = self
                    .store
                    .start_read(self.now(), part, &mut self.connector)?;
                let mut found = None;
                self.until(Duration::from_secs(10), |rig| {
                    found = rig
                        .connector
                        .completed_reads
                        .iter()
                        .position(|(t, _)| *t == ticket);
                    found.is_some()
                });
                match self.connector.completed_reads.swap_remove(found?).1 {
                    ReadResult::Copy(copy) => Some(copy),
                    _ => None,
                }
            }
        }
    }

    /// Shuts down cleanly.
    pub fn close(mut self, within: Duration) {
        let now = self.now();
        if let Some(disk) = self.store.disk_mut() {
            disk.close(now, &mut self.connector);
        }
        self.end(within);
    }

    /// Stops without sealing anything, and waits until the threads have released the directory.
    pub fn end(mut self, within: Duration) {
        self.connector.threads = None;
        let end = Instant::now() + within;
        // The channel is disconnected when the last thread has ended.
        while Instant::now() < end {
            match self.ends.try_recv() {
                Err(tokio::sync::mpsc::error::TryRecvError::Disconnected) => return,
                Err(_) => yield_now(),
                Ok(_) => {}
            }
        }
    }
}

const CLOCK_START: Duration = Duration::from_secs(1000);
