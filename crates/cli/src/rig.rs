//! A live store on a directory, driven by whoever holds it: for torture and measurements.

use chalkhall_store::copy::Copy;
use chalkhall_store::decide::disk::{Disk, Fetched, Phase, Wanted};
use chalkhall_store::decide::{Part, Place, Store};
use chalkhall_store::files::{Directory, Files};
use chalkhall_store::threads::{End, NotTaken, Shelf, start};
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::thread::yield_now;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc::Receiver;

/// A store, its threads, and a clock.
pub struct Rig {
    pub store: Store,
    pub shelf: Shelf,
    ends: Receiver<End>,
    zero: Instant,
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

impl Rig {
    /// On a directory that nobody else holds.
    pub fn open(path: &Path, memory: u64, wanted: Wanted, readers: usize) -> Result<Rig, String> {
        let path = path.to_path_buf();
        let take = move || {
            let taken = Directory::take(&path).map_err(|error| NotTaken::of(&path, &error))?;
            Ok(Arc::new(taken) as Arc<dyn Files>)
        };
        Rig::on(take, memory, wanted, readers)
    }

    /// On any files.
    pub fn on(
        take: impl FnMut() -> Result<Arc<dyn Files>, NotTaken> + Send + 'static,
        memory: u64,
        wanted: Wanted,
        readers: usize,
    ) -> Result<Rig, String> {
        let (threads, ends) =
            start(take, fastrand::u64(1..), readers).map_err(|e| e.to_string())?;
        let shelf = Shelf {
            threads: Some(threads),
            said: Some(Vec::new()),
            ..Shelf::default()
        };
        // Spans count from well before the start, as a router's do.
        let disk = Disk::new(wanted, ZERO, unix_ms());
        Ok(Rig {
            store: Store::new(memory, Some(disk)),
            shelf,
            ends,
            zero: Instant::now(),
        })
    }

    /// Memory alone.
    pub fn alone(memory: u64) -> Rig {
        let (_, ends) = tokio::sync::mpsc::channel(1);
        Rig {
            store: Store::new(memory, None),
            shelf: Shelf::default(),
            ends,
            zero: Instant::now(),
        }
    }

    pub fn now(&self) -> Duration {
        ZERO + self.zero.elapsed()
    }

    /// Hears what ended and does what is due. True: something ended.
    pub fn turn(&mut self) -> bool {
        let (now, mut heard) = (self.now(), false);
        while let Ok(end) = self.ends.try_recv() {
            self.shelf.ended(&mut self.store, now, end);
            heard = true;
        }
        self.store.tick(now, &mut self.shelf);
        heard
    }

    /// Turns until it comes true. False: it did not in time.
    pub fn until(&mut self, within: Duration, mut come: impl FnMut(&mut Rig) -> bool) -> bool {
        let end = Instant::now() + within;
        while !come(self) {
            if Instant::now() >= end {
                return false;
            }
            if !self.turn() {
                yield_now();
            }
        }
        true
    }

    /// All that an earlier life left is known.
    pub fn is_ready(&self) -> bool {
        self.store
            .disk()
            .is_some_and(|disk| *disk.phase() == Phase::Ready)
    }

    pub fn refusal(&self) -> Option<String> {
        match self.store.disk()?.phase() {
            Phase::Refused(why) => Some(why.clone()),
            _ => None,
        }
    }

    /// What a request for a part is answered with.
    pub fn get(&mut self, part: Part) -> Option<Rc<Copy>> {
        match self.store.find(part, None)?.place {
            Place::Memory => self.store.take(self.now(), part),
            Place::Disk => {
                let ticket = self.store.fetch(self.now(), part, &mut self.shelf)?;
                let mut found = None;
                self.until(Duration::from_secs(10), |rig| {
                    found = rig.shelf.fetched.iter().position(|(t, _)| *t == ticket);
                    found.is_some()
                });
                match self.shelf.fetched.swap_remove(found?).1 {
                    Fetched::Copy(copy) => Some(copy),
                    _ => None,
                }
            }
        }
    }

    /// Ends in good order.
    pub fn close(mut self, within: Duration) {
        let now = self.now();
        if let Some(disk) = self.store.disk_mut() {
            disk.close(now, &mut self.shelf);
        }
        self.end(within);
    }

    /// Ends as it stands, nothing sealed; waits until its threads have let go of the directory.
    pub fn end(mut self, within: Duration) {
        self.shelf.threads = None;
        let end = Instant::now() + within;
        // The receiver ends when the last thread has.
        while Instant::now() < end {
            match self.ends.try_recv() {
                Err(tokio::sync::mpsc::error::TryRecvError::Disconnected) => return,
                Err(_) => yield_now(),
                Ok(_) => {}
            }
        }
    }
}

const ZERO: Duration = Duration::from_secs(1000);
