//! Carries out orders on files. May block; runs on threads of its own, or in a test's turn.

use crate::boot_clock::BootClock;
use crate::catalogue::{Catalogue, Known, Line, Unusable};
use crate::copy::Copy;
use crate::decide::disk::Fault;
use crate::files::{File, Files, read_exact_at};
use crate::format::{
    DiskAddress, Entry, FormatError, SEGMENT_HEADER_LEN, decode_record, encode_segment_header,
};
use crate::recovery::{Recovered, RecoveryError, read_footer_entries, recover, seal};
use bytes::Bytes;
use lru::LruCache;
use std::collections::HashMap;
use std::io;
use std::num::NonZeroUsize;
use std::sync::Arc;

/// Files held open by one thread.
const OPEN_MOST: NonZeroUsize = NonZeroUsize::new(16).unwrap();
const PREFIX: &str = "segment-";

fn name(segment: u32) -> String {
    format!("{PREFIX}{segment:010}")
}

fn number(name: &str) -> Option<u32> {
    name.strip_prefix(PREFIX)
        .filter(|digits| digits.len() == 10)?
        .parse()
        .ok()
}

fn fault(what: io::Error) -> Fault {
    match what.kind() {
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => Fault::Full,
        // A file that has been taken away or cut short holds nothing that could be served.
        io::ErrorKind::NotFound | io::ErrorKind::UnexpectedEof => Fault::Damaged,
        _ => Fault::Io(what.to_string()),
    }
}

/// Opens a directory: its catalogue, what that knows, and the numbers of its segments. `clock` as for
/// `Catalogue::open`.
pub fn open(
    files: &Arc<dyn Files>,
    store_id: u64,
    clock: Option<BootClock>,
) -> Result<(Catalogue, Known, Vec<u32>), Unusable> {
    let (catalogue, known) = Catalogue::open(files.clone(), store_id, clock)?;
    let names = files.list().map_err(Unusable::Io)?;
    Ok((
        catalogue,
        known,
        names.iter().filter_map(|name| number(name)).collect(),
    ))
}

/// The files of one store, for one thread.
pub struct Hands {
    files: Arc<dyn Files>,
    store_id: u64,
    open: LruCache<u32, Arc<dyn File>>,
    /// Segments of which something failed, until they are removed: what an order said to follow it must not
    /// be taken for whole.
    broken: HashMap<u32, Broken>,
}

/// What may still be done to a segment of which something failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Broken {
    /// A record was not written: those before it can be synced, but none is added and no footer lists them.
    Unwritten,
    /// A sync failed, or the segment's name may not last: no later sync proves anything.
    Unsynced,
}

impl Hands {
    pub fn new(files: Arc<dyn Files>, store_id: u64) -> Hands {
        Hands {
            files,
            store_id,
            open: LruCache::new(OPEN_MOST),
            broken: HashMap::new(),
        }
    }

    fn file(&mut self, segment: u32) -> io::Result<Arc<dyn File>> {
        if let Some(file) = self.open.get(&segment) {
            return Ok(file.clone());
        }
        let file = self.files.open(&name(segment))?;
        self.open.put(segment, file.clone());
        Ok(file)
    }

    /// A record, if it proves whole.
    pub fn read(&mut self, segment: u32, at: u32, length: u32) -> Result<(Copy, u8), Fault> {
        let file = self.file(segment).map_err(fault)?;
        let bytes = read_exact_at(&*file, u64::from(at), length as usize)
            .map_err(fault)?
            .ok_or(Fault::Damaged)?;
        let place = DiskAddress {
            store_id: self.store_id,
            segment,
            at,
        };
        decode_record(&Bytes::from(bytes), place).map_err(|_: FormatError| Fault::Damaged)
    }

    /// What a segment lists; one that has no good footer is walked through.
    pub fn list(&mut self, segment: u32) -> Result<Vec<Entry>, Fault> {
        let file = self.file(segment).map_err(fault)?;
        let length = file.length().map_err(fault)?;
        match read_footer_entries(&*file, self.store_id, segment, length).map_err(fault)? {
            Some(entries) => Ok(entries),
            None => match recover(&*file, self.store_id, segment) {
                Ok(found) => Ok(found.entries),
                Err(RecoveryError::Io(what)) => Err(fault(what)),
                Err(RecoveryError::UnsupportedVersion(_)) => Err(Fault::Damaged),
            },
        }
    }

    /// What a segment of an earlier life holds. One that was not sealed is from now on.
    pub fn recover(&mut self, segment: u32) -> Result<Recovered, RecoveryError> {
        let file = self.file(segment)?;
        let found = recover(&*file, self.store_id, segment)?;
        if !found.sealed {
            // Where that fails the next start walks through it again.
            let _ = seal(&*file, self.store_id, segment, &found);
        }
        self.open.pop(&segment);
        Ok(found)
    }

    /// Lists these records alone from now on; what stands behind the last of them is cut off.
    pub fn rewrite(&mut self, segment: u32, entries: Vec<Entry>) -> Result<(), Fault> {
        let end = entries
            .iter()
            .map(|e| e.at + e.length)
            .max()
            .unwrap_or(SEGMENT_HEADER_LEN as u32);
        let file = self.file(segment).map_err(fault)?;
        let found = Recovered {
            entries,
            end,
            ..Recovered::default()
        };
        seal(&*file, self.store_id, segment, &found).map_err(fault)
    }

    /// Makes a segment's file and sees to it that its name lasts. After an error nothing is written to it.
    pub fn begin(&mut self, segment: u32, class: u32) -> Result<(), Fault> {
        let begun = self.begin_file(segment, class);
        self.note(segment, Broken::Unsynced, begun)
    }

    fn begin_file(&mut self, segment: u32, class: u32) -> io::Result<()> {
        let file = self.files.create(&name(segment))?;
        file.write_at(&encode_segment_header(self.store_id, segment, class), 0)?;
        self.files.sync_names()?;
        self.open.put(segment, file);
        Ok(())
    }

    pub fn append(&mut self, segment: u32, at: u32, record: &[u8]) -> Result<(), Fault> {
        self.refuse_broken(segment, &[Broken::Unwritten, Broken::Unsynced])?;
        let written = self
            .file(segment)
            .and_then(|file| file.write_at(record, u64::from(at)));
        self.note(segment, Broken::Unwritten, written)
    }

    pub fn sync(&mut self, segment: u32) -> Result<(), Fault> {
        self.refuse_broken(segment, &[Broken::Unsynced])?;
        let synced = self.file(segment).and_then(|file| file.sync());
        self.note(segment, Broken::Unsynced, synced)
    }

    /// A footer vouches for every record that it lists: one that was not written must not stand in it, where
    /// it would hide an older one of the same part.
    pub fn seal(&mut self, segment: u32, at: u32, footer: &[u8]) -> Result<(), Fault> {
        self.refuse_broken(segment, &[Broken::Unwritten, Broken::Unsynced])?;
        let sealed = self.file(segment).and_then(|file| {
            file.write_at(footer, u64::from(at))?;
            file.sync()
        });
        self.note(segment, Broken::Unsynced, sealed)
    }

    /// Removes a segment's file. One that is not there is removed already, or never was made.
    pub fn remove(&mut self, segment: u32) -> Result<(), Fault> {
        self.open.pop(&segment);
        let removed = match self.files.remove(&name(segment)) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(()),
            removed => removed,
        };
        removed
            .and_then(|()| self.files.sync_names())
            .map_err(fault)?;
        self.broken.remove(&segment);
        Ok(())
    }

    fn refuse_broken(&self, segment: u32, refused: &[Broken]) -> Result<(), Fault> {
        match self.broken.get(&segment) {
            Some(broken) if refused.contains(broken) => {
                Err(Fault::Io("an earlier write or sync failed".into()))
            }
            _ => Ok(()),
        }
    }

    fn note(&mut self, segment: u32, broken: Broken, result: io::Result<()>) -> Result<(), Fault> {
        if result.is_err() {
            self.broken.insert(segment, broken);
        }
        result.map_err(fault)
    }
}

pub fn mark(catalogue: &mut Catalogue, lines: &[Line]) -> Result<(), Fault> {
    catalogue
        .write(lines)
        .map_err(|what| Fault::Io(what.to_string()))
}

#[cfg(test)]
mod tests;
