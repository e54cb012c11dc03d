//! A disk in memory that keeps what was synced, and of the rest, at a crash, whatever a real one might: any
//! subset of the writes in any order, each of them torn at sectors; names made or removed but not synced, or
//! not. It fails and hangs as told. One seed makes one run.

use crate::files::{File, Files};
use std::collections::BTreeMap;
use std::io;
use std::ops::Range;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};

const SECTOR: usize = 512;

#[derive(Clone, Debug)]
enum Change {
    Write { at: u64, bytes: Vec<u8> },
    Truncate(u64),
}

#[derive(Clone, Debug, Default)]
struct Content {
    durable: Vec<u8>,
    /// As programs see it, and what made it so since the last sync.
    seen: Vec<u8>,
    pending: Vec<Change>,
}

#[derive(Clone, Debug, Default)]
struct State {
    files: Vec<Content>,
    /// Names as programs see them and as they are on the disk: to which file each leads.
    names: BTreeMap<String, usize>,
    durable_names: BTreeMap<String, usize>,
    operations: u64,
    calls: u64,
    written: u64,
    faults: Faults,
    hung: bool,
}

/// What goes wrong, and when. Operations are counted from 1: creations, removals, writes, truncations and
/// syncs. Calls are counted from 1 as well, and include what only reads: listings, opens, lengths, reads.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// From this operation on the disk is gone: every call fails.
    pub crash_at: Option<u64>,
    /// These syncs fail, and what they should have synced is lost at a crash.
    pub syncs_fail: bool,
    pub writes_fail: bool,
    pub reads_fail: bool,
    pub removals_fail: bool,
    /// All files together hold so many bytes at the most.
    pub room: Option<u64>,
    /// Every call whose number is in this range fails.
    pub failing_calls: Range<u64>,
    /// The error number of the system that failing calls return; without one, an error of no kind.
    pub error_number: Option<i32>,
    /// A failed sync also evicts the file from the page cache: reads see what is on the disk.
    pub evicts: bool,
}

/// The disk itself; clones share it.
#[derive(Clone, Default)]
pub struct Disk {
    shared: Arc<(Mutex<State>, Condvar)>,
}

struct Handle {
    disk: Disk,
    file: usize,
}

fn failed(what: &str) -> io::Error {
    io::Error::other(what.to_owned())
}

impl Disk {
    pub fn new() -> Disk {
        Disk::default()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared
            .0
            .lock()
            .unwrap_or_else(|broken| broken.into_inner())
    }

    /// Waits while the disk hangs.
    fn awake(&self) -> MutexGuard<'_, State> {
        let mut state = self.state();
        while state.hung {
            state = self
                .shared
                .1
                .wait(state)
                .unwrap_or_else(|broken| broken.into_inner());
        }
        state
    }

    pub fn set(&self, faults: Faults) {
        self.state().faults = faults;
    }

    /// Every call waits from now on, or goes on.
    pub fn hang(&self, hung: bool) {
        self.state().hung = hung;
        self.shared.1.notify_all();
    }

    /// How many operations there were, and how many bytes were written.
    pub fn operations(&self) -> (u64, u64) {
        let state = self.state();
        (state.operations, state.written)
    }

    /// How many calls there were, those that only read included.
    pub fn calls(&self) -> u64 {
        self.state().calls
    }

    /// The disk as it may be found after a crash at this moment.
    pub fn crashed(&self, seed: u64) -> Disk {
        let mut chance = fastrand::Rng::with_seed(seed);
        let state = self.state();
        let mut after = State::default();
        // Each name that differs is as before or as after, by itself: one that was renamed may be at both or
        // at none.
        let mut names = state.durable_names.clone();
        let differ = |name: &&String| state.names.get(*name) != state.durable_names.get(*name);
        for name in state
            .names
            .keys()
            .chain(state.durable_names.keys())
            .filter(differ)
        {
            if chance.bool() {
                match state.names.get(name) {
                    Some(file) => names.insert(name.clone(), *file),
                    None => names.remove(name),
                };
            }
        }
        for (name, file) in names {
            after.files.push(survivor(&state.files[file], &mut chance));
            after.names.insert(name, after.files.len() - 1);
        }
        after.durable_names = after.names.clone();
        Disk {
            shared: Arc::new((Mutex::new(after), Condvar::new())),
        }
    }

    /// Flips a bit of a file, as a disk that ages does.
    pub fn rot(&self, name: &str, at: usize) {
        let mut state = self.state();
        let Some(file) = state.names.get(name).copied() else {
            return;
        };
        let content = &mut state.files[file];
        for bytes in [&mut content.seen, &mut content.durable] {
            bytes.get_mut(at).into_iter().for_each(|byte| *byte ^= 1);
        }
    }

    /// Puts bytes in place of a file's, behind the program's back.
    pub fn swap(&self, name: &str, bytes: &[u8]) {
        let mut state = self.state();
        let Some(file) = state.names.get(name).copied() else {
            return;
        };
        state.files[file] = Content {
            durable: bytes.to_vec(),
            seen: bytes.to_vec(),
            pending: Vec::new(),
        };
    }

    pub fn bytes(&self, name: &str) -> Vec<u8> {
        let state = self.state();
        state
            .names
            .get(name)
            .map(|file| state.files[*file].seen.clone())
            .unwrap_or_default()
    }
}

/// What is left of a file: some of its changes, in some order, writes sector by sector.
fn survivor(content: &Content, chance: &mut fastrand::Rng) -> Content {
    let mut bytes = content.durable.clone();
    let mut pending: Vec<&Change> = content.pending.iter().collect();
    // Mostly the last writes are lost; sometimes any, in any order.
    match chance.u8(..3) {
        0 => pending.truncate(chance.usize(..=pending.len())),
        1 => pending.retain(|_| chance.bool()),
        _ => chance.shuffle(&mut pending),
    }
    let torn = chance.u8(..4) != 0;
    for (n, change) in pending.iter().enumerate() {
        match change {
            Change::Truncate(length) => bytes.resize(*length as usize, 0),
            Change::Write { at, bytes: new } => {
                let last = n + 1 == pending.len();
                for (sector, part) in new.chunks(SECTOR).enumerate() {
                    if torn && last && chance.bool() {
                        continue;
                    }
                    let at = *at as usize + sector * SECTOR;
                    if bytes.len() < at + part.len() {
                        bytes.resize(at + part.len(), 0);
                    }
                    bytes[at..at + part.len()].copy_from_slice(part);
                }
            }
        }
    }
    Content {
        durable: bytes.clone(),
        seen: bytes,
        pending: Vec::new(),
    }
}

impl Content {
    /// Makes durable what was written since the last sync, and nothing that an earlier failed sync dropped.
    fn sync(&mut self) {
        for change in std::mem::take(&mut self.pending) {
            change.apply(&mut self.durable);
        }
    }

    /// A sync that fails as real systems do: what could not be written is forgotten, and the next sync says
    /// that all is well.
    fn fail_sync(&mut self, evicts: bool) {
        self.pending.clear();
        if evicts {
            self.seen = self.durable.clone();
        }
    }
}

impl Change {
    fn apply(&self, bytes: &mut Vec<u8>) {
        match self {
            Change::Truncate(length) => bytes.resize(*length as usize, 0),
            Change::Write { at, bytes: new } => write_into(bytes, *at as usize, new),
        }
    }
}

fn write_into(bytes: &mut Vec<u8>, at: usize, new: &[u8]) {
    let end = at + new.len();
    if bytes.len() < end {
        bytes.resize(end, 0);
    }
    bytes[at..end].copy_from_slice(new);
}

impl State {
    /// Counts an operation, which may be the one at which the disk is gone.
    fn operate(&mut self) -> io::Result<()> {
        self.operations += 1;
        self.alive()
    }

    /// Counts a call, which may be one of those that fail.
    fn alive(&mut self) -> io::Result<()> {
        self.calls += 1;
        match self.has_crashed() {
            true => Err(failed("crashed")),
            _ if self.faults.failing_calls.contains(&self.calls) => Err(self.error()),
            _ => Ok(()),
        }
    }

    fn has_crashed(&self) -> bool {
        self.faults.crash_at.is_some_and(|at| self.operations >= at)
    }

    fn error(&self) -> io::Error {
        self.faults
            .error_number
            .map_or_else(|| failed("call failed"), io::Error::from_raw_os_error)
    }
}

impl Files for Disk {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut state = self.awake();
        state.alive()?;
        Ok(state.names.keys().cloned().collect())
    }

    fn create(&self, name: &str) -> io::Result<Arc<dyn File>> {
        let mut state = self.awake();
        state.operate()?;
        if state.names.contains_key(name) {
            return Err(io::ErrorKind::AlreadyExists.into());
        }
        state.files.push(Content::default());
        let file = state.files.len() - 1;
        state.names.insert(name.to_owned(), file);
        Ok(Arc::new(Handle {
            disk: self.clone(),
            file,
        }))
    }

    fn open(&self, name: &str) -> io::Result<Arc<dyn File>> {
        let mut state = self.awake();
        state.alive()?;
        let file = *state.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(Arc::new(Handle {
            disk: self.clone(),
            file,
        }))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut state = self.awake();
        state.operate()?;
        if state.faults.removals_fail {
            return Err(failed("removal failed"));
        }
        state
            .names
            .remove(name)
            .map(|_| ())
            .ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.awake();
        state.operate()?;
        let file = state.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        state.names.insert(to.to_owned(), file);
        Ok(())
    }

    fn sync_names(&self) -> io::Result<()> {
        let mut state = self.awake();
        state.operate()?;
        if state.faults.syncs_fail {
            return Err(failed("sync failed"));
        }
        state.durable_names = state.names.clone();
        Ok(())
    }
}

impl File for Handle {
    fn length(&self) -> io::Result<u64> {
        let mut state = self.disk.awake();
        state.alive()?;
        Ok(state.files[self.file].seen.len() as u64)
    }

    fn read_at(&self, buffer: &mut [u8], at: u64) -> io::Result<usize> {
        let mut state = self.disk.awake();
        state.alive()?;
        if state.faults.reads_fail {
            return Err(failed("read failed"));
        }
        let seen = &state.files[self.file].seen;
        let from = seen.get(at as usize..).unwrap_or_default();
        let length = from.len().min(buffer.len());
        buffer[..length].copy_from_slice(&from[..length]);
        Ok(length)
    }

    fn write_at(&self, bytes: &[u8], at: u64) -> io::Result<()> {
        let mut state = self.disk.awake();
        state.operate()?;
        if state.faults.writes_fail {
            return Err(failed("write failed"));
        }
        let end = at as usize + bytes.len();
        let grows = end.saturating_sub(state.files[self.file].seen.len()) as u64;
        let held = |state: &State| {
            state
                .names
                .values()
                .map(|f| state.files[*f].seen.len() as u64)
                .sum::<u64>()
        };
        if state
            .faults
            .room
            .is_some_and(|room| held(&state) + grows > room)
        {
            return Err(io::ErrorKind::StorageFull.into());
        }
        state.written += bytes.len() as u64;
        let content = &mut state.files[self.file];
        write_into(&mut content.seen, at as usize, bytes);
        content.pending.push(Change::Write {
            at,
            bytes: bytes.to_vec(),
        });
        Ok(())
    }

    fn truncate(&self, length: u64) -> io::Result<()> {
        let mut state = self.disk.awake();
        state.operate()?;
        let content = &mut state.files[self.file];
        content.seen.resize(length as usize, 0);
        content.pending.push(Change::Truncate(length));
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        let mut state = self.disk.awake();
        let alive = state.operate();
        let (fails, evicts, crashed) = (
            state.faults.syncs_fail,
            state.faults.evicts,
            state.has_crashed(),
        );
        let content = &mut state.files[self.file];
        if !crashed && (fails || alive.is_err()) {
            content.fail_sync(evicts);
        }
        alive?;
        if fails {
            return Err(failed("sync failed"));
        }
        content.sync();
        Ok(())
    }
}

#[cfg(test)]
mod tests;
