//! A disk in memory with injected faults, crashes and hangs. After a crash, synced data is intact; of the rest,
//! any state that a real disk could leave may remain: any subset of the unsynced writes in any order, torn at
//! sector boundaries, and each unsynced creation, rename or removal of a name either done or not. The seed
//! determines the result.

use crate::files::{File, Files};
use std::collections::BTreeMap;
use std::io;
use std::ops::Range;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};

const SECTOR: usize = 512;

#[derive(Clone, Debug)]
enum PendingChange {
    Write { at: u64, bytes: Vec<u8> },
    Truncate(u64),
}

#[derive(Clone, Debug, Default)]
struct FileContents {
    durable: Vec<u8>,
    /// The contents as programs read them, and the changes since the last sync.
    visible: Vec<u8>,
    pending: Vec<PendingChange>,
}

#[derive(Clone, Debug, Default)]
struct State {
    files: Vec<FileContents>,
    /// Names as programs see them and as they are on the disk, each with the index of its file.
    names: BTreeMap<String, usize>,
    durable_names: BTreeMap<String, usize>,
    operations: u64,
    calls: u64,
    written: u64,
    faults: Faults,
    hung: bool,
}

/// Injected faults. Operations are counted from 1: creations, removals, renames, writes, truncations and syncs.
/// Calls are counted from 1 as well, and also include listings, opens, lengths and reads.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// From this operation on, every call fails.
    pub crash_at: Option<u64>,
    /// All syncs fail, and the data that they should have synced is lost at a crash.
    pub syncs_fail: bool,
    pub writes_fail: bool,
    pub reads_fail: bool,
    pub removals_fail: bool,
    /// The maximum bytes of all files together.
    pub capacity_bytes: Option<u64>,
    /// Calls whose numbers are in this range fail.
    pub failing_calls: Range<u64>,
    /// The system error number that these calls return; without one, an error of kind `Other`.
    pub error_number: Option<i32>,
    /// A failed sync also evicts the file from the page cache, so that reads return the data on the disk.
    pub evict_on_failed_sync: bool,
}

/// A simulated disk. Clones share its state.
#[derive(Clone, Default)]
pub struct Disk {
    shared: Arc<(Mutex<State>, Condvar)>,
}

struct Handle {
    disk: Disk,
    file: usize,
}

fn other_error(message: &str) -> io::Error {
    io::Error::other(message.to_owned())
}

impl Disk {
    pub fn new() -> Disk {
        Disk::default()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared
            .0
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Locks the state; blocks while the disk hangs.
    fn lock_unless_hung(&self) -> MutexGuard<'_, State> {
        let mut state = self.state();
        while state.hung {
            state = self
                .shared
                .1
                .wait(state)
                .unwrap_or_else(|poisoned| poisoned.into_inner());
        }
        state
    }

    pub fn set_faults(&self, faults: Faults) {
        self.state().faults = faults;
    }

    /// Makes every call block, or lets blocked calls continue.
    pub fn hang(&self, hung: bool) {
        self.state().hung = hung;
        self.shared.1.notify_all();
    }

    /// The number of operations so far, and of bytes written.
    pub fn operations(&self) -> (u64, u64) {
        let state = self.state();
        (state.operations, state.written)
    }

    /// The number of calls so far, including reads.
    pub fn calls(&self) -> u64 {
        self.state().calls
    }

    /// A copy of the disk in a state that a crash at this moment could leave.
    pub fn after_crash(&self, seed: u64) -> Disk {
        let mut random = fastrand::Rng::with_seed(seed);
        let state = self.state();
        let mut after = State::default();
        // Each unsynced name change is independently done or not: a renamed file may have both names or none.
        let mut names = state.durable_names.clone();
        let differ = |name: &&String| state.names.get(*name) != state.durable_names.get(*name);
        for name in state
            .names
            .keys()
            .chain(state.durable_names.keys())
            .filter(differ)
        {
            if random.bool() {
                match state.names.get(name) {
                    Some(file) => names.insert(name.clone(), *file),
                    None => names.remove(name),
                };
            }
        }
        for (name, file) in names {
            after
                .files
                .push(contents_after_crash(&state.files[file], &mut random));
            after.names.insert(name, after.files.len() - 1);
        }
        after.durable_names = after.names.clone();
        Disk {
            shared: Arc::new((Mutex::new(after), Condvar::new())),
        }
    }

    /// Flips a bit of a file, to simulate bit rot.
    pub fn flip_bit(&self, name: &str, at: usize) {
        let mut state = self.state();
        let Some(file) = state.names.get(name).copied() else {
            return;
        };
        let content = &mut state.files[file];
        for bytes in [&mut content.visible, &mut content.durable] {
            bytes.get_mut(at).into_iter().for_each(|byte| *byte ^= 1);
        }
    }

    /// Replaces a file's contents without the program's knowledge.
    pub fn swap(&self, name: &str, bytes: &[u8]) {
        let mut state = self.state();
        let Some(file) = state.names.get(name).copied() else {
            return;
        };
        state.files[file] = FileContents {
            durable: bytes.to_vec(),
            visible: bytes.to_vec(),
            pending: Vec::new(),
        };
    }

    pub fn bytes(&self, name: &str) -> Vec<u8> {
        let state = self.state();
        state
            .names
            .get(name)
            .map(|file| state.files[*file].visible.clone())
            .unwrap_or_default()
    }
}

/// A file's contents after a crash: some of the unsynced changes, in some order, with the last one possibly torn
/// at sector boundaries.
fn contents_after_crash(content: &FileContents, random: &mut fastrand::Rng) -> FileContents {
    let mut bytes = content.durable.clone();
    let mut pending: Vec<&PendingChange> = content.pending.iter().collect();
    // Lose the last changes, any subset, or none but in another order.
    match random.u8(..3) {
        0 => pending.truncate(random.usize(..=pending.len())),
        1 => pending.retain(|_| random.bool()),
        _ => random.shuffle(&mut pending),
    }
    let torn = random.u8(..4) != 0;
    for (n, change) in pending.iter().enumerate() {
        match change {
            PendingChange::Truncate(length) => bytes.resize(*length as usize, 0),
            PendingChange::Write { at, bytes: new } => {
                let last = n + 1 == pending.len();
                for (sector_index, sector_bytes) in new.chunks(SECTOR).enumerate() {
                    if torn && last && random.bool() {
                        continue;
                    }
                    let at = *at as usize + sector_index * SECTOR;
                    if bytes.len() < at + sector_bytes.len() {
                        bytes.resize(at + sector_bytes.len(), 0);
                    }
                    bytes[at..at + sector_bytes.len()].copy_from_slice(sector_bytes);
                }
            }
        }
    }
    FileContents {
        durable: bytes.clone(),
        visible: bytes,
        pending: Vec::new(),
    }
}

impl FileContents {
    /// Makes the changes since the last sync durable, except for those dropped by a failed sync.
    fn sync(&mut self) {
        for change in std::mem::take(&mut self.pending) {
            change.apply(&mut self.durable);
        }
    }

    /// A failed sync, as on real systems: the data that could not be written is dropped, and the next sync
    /// succeeds.
    fn fail_sync(&mut self, evict_on_failed_sync: bool) {
        self.pending.clear();
        if evict_on_failed_sync {
            self.visible = self.durable.clone();
        }
    }
}

impl PendingChange {
    fn apply(&self, bytes: &mut Vec<u8>) {
        match self {
            PendingChange::Truncate(length) => bytes.resize(*length as usize, 0),
            PendingChange::Write { at, bytes: new } => write_into(bytes, *at as usize, new),
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
    /// Counts an operation, and fails if the disk has crashed or the call is to fail.
    fn check_operation(&mut self) -> io::Result<()> {
        self.operations += 1;
        self.check_call()
    }

    /// Counts a call, and fails if the disk has crashed or the call is to fail.
    fn check_call(&mut self) -> io::Result<()> {
        self.calls += 1;
        match self.has_crashed() {
            true => Err(other_error("crashed")),
            _ if self.faults.failing_calls.contains(&self.calls) => Err(self.injected_error()),
            _ => Ok(()),
        }
    }

    fn has_crashed(&self) -> bool {
        self.faults.crash_at.is_some_and(|at| self.operations >= at)
    }

    fn injected_error(&self) -> io::Error {
        self.faults
            .error_number
            .map_or_else(|| other_error("call failed"), io::Error::from_raw_os_error)
    }
}

impl Files for Disk {
    fn list(&self) -> io::Result<Vec<String>> {
        let mut state = self.lock_unless_hung();
        state.check_call()?;
        Ok(state.names.keys().cloned().collect())
    }

    fn create(&self, name: &str) -> io::Result<Arc<dyn File>> {
        let mut state = self.lock_unless_hung();
        state.check_operation()?;
        if state.names.contains_key(name) {
            return Err(io::ErrorKind::AlreadyExists.into());
        }
        state.files.push(FileContents::default());
        let file = state.files.len() - 1;
        state.names.insert(name.to_owned(), file);
        Ok(Arc::new(Handle {
            disk: self.clone(),
            file,
        }))
    }

    fn open(&self, name: &str) -> io::Result<Arc<dyn File>> {
        let mut state = self.lock_unless_hung();
        state.check_call()?;
        let file = *state.names.get(name).ok_or(io::ErrorKind::NotFound)?;
        Ok(Arc::new(Handle {
            disk: self.clone(),
            file,
        }))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut state = self.lock_unless_hung();
        state.check_operation()?;
        if state.faults.removals_fail {
            return Err(other_error("removal failed"));
        }
        state
            .names
            .remove(name)
            .map(|_| ())
            .ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.lock_unless_hung();
        state.check_operation()?;
        let file = state.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        state.names.insert(to.to_owned(), file);
        Ok(())
    }

    fn sync_names(&self) -> io::Result<()> {
        let mut state = self.lock_unless_hung();
        state.check_operation()?;
        if state.faults.syncs_fail {
            return Err(other_error("sync failed"));
        }
        state.durable_names = state.names.clone();
        Ok(())
    }
}

impl File for Handle {
    fn length(&self) -> io::Result<u64> {
        let mut state = self.disk.lock_unless_hung();
        state.check_call()?;
        Ok(state.files[self.file].visible.len() as u64)
    }

    fn read_at(&self, buffer: &mut [u8], at: u64) -> io::Result<usize> {
        let mut state = self.disk.lock_unless_hung();
        state.check_call()?;
        if state.faults.reads_fail {
            return Err(other_error("read failed"));
        }
        let visible = &state.files[self.file].visible;
        let from = visible.get(at as usize..).unwrap_or_default();
        let length = from.len().min(buffer.len());
        buffer[..length].copy_from_slice(&from[..length]);
        Ok(length)
    }

    fn write_at(&self, bytes: &[u8], at: u64) -> io::Result<()> {
        let mut state = self.disk.lock_unless_hung();
        state.check_operation()?;
        if state.faults.writes_fail {
            return Err(other_error("write failed"));
        }
        let end = at as usize + bytes.len();
        let grows = end.saturating_sub(state.files[self.file].visible.len()) as u64;
        let total_bytes = |state: &State| {
            state
                .names
                .values()
                .map(|f| state.files[*f].visible.len() as u64)
                .sum::<u64>()
        };
        if state
            .faults
            .capacity_bytes
            .is_some_and(|capacity| total_bytes(&state) + grows > capacity)
        {
            return Err(io::ErrorKind::StorageFull.into());
        }
        state.written += bytes.len() as u64;
        let content = &mut state.files[self.file];
        write_into(&mut content.visible, at as usize, bytes);
        content.pending.push(PendingChange::Write {
            at,
            bytes: bytes.to_vec(),
        });
        Ok(())
    }

    fn truncate(&self, length: u64) -> io::Result<()> {
        let mut state = self.disk.lock_unless_hung();
        state.check_operation()?;
        let content = &mut state.files[self.file];
        content.visible.resize(length as usize, 0);
        content.pending.push(PendingChange::Truncate(length));
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        let mut state = self.disk.lock_unless_hung();
        let status = state.check_operation();
        let (fails, evict_on_failed_sync, crashed) = (
            state.faults.syncs_fail,
            state.faults.evict_on_failed_sync,
            state.has_crashed(),
        );
        let content = &mut state.files[self.file];
        if !crashed && (fails || status.is_err()) {
            content.fail_sync(evict_on_failed_sync);
        }
        status?;
        if fails {
            return Err(other_error("sync failed"));
        }
        content.sync();
        Ok(())
    }
}

#[cfg(test)]
mod tests;
