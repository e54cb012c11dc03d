//! Runs disk operations on segment files. Calls may block; they run on worker threads, or inside a test driver.

use crate::boot_clock::BootClock;
use crate::catalogue::{Catalogue, CatalogueError, CatalogueLine, CatalogueSnapshot};
use crate::copy::Copy;
use crate::decide::disk::Fault;
use crate::files::{File, Files, read_exact_at};
use crate::format::{
    DiskAddress, FooterEntry, FormatError, SEGMENT_HEADER_LEN, decode_record, encode_segment_header,
};
use crate::recovery::{Recovered, RecoveryError, read_footer_entries, recover, seal};
use bytes::Bytes;
use lru::LruCache;
use std::collections::HashMap;
use std::io;
use std::num::NonZeroUsize;
use std::sync::Arc;

/// Files kept open by each thread.
const MAX_OPEN_FILES: NonZeroUsize = NonZeroUsize::new(16).unwrap();
const SEGMENT_FILE_PREFIX: &str = "segment-";

fn segment_file_name(segment: u32) -> String {
    format!("{SEGMENT_FILE_PREFIX}{segment:010}")
}

fn parse_segment_number(name: &str) -> Option<u32> {
    name.strip_prefix(SEGMENT_FILE_PREFIX)
        .filter(|digits| digits.len() == 10)?
        .parse()
        .ok()
}

fn fault_of(error: io::Error) -> Fault {
    match error.kind() {
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => Fault::Full,
        // A missing or truncated file holds nothing that could be served.
        io::ErrorKind::NotFound | io::ErrorKind::UnexpectedEof => Fault::Damaged,
        _ => Fault::Io(error.to_string()),
    }
}

/// Opens a directory: returns its catalogue, the catalogue's contents, and the numbers of its segments. For
/// `clock` see `Catalogue::open`.
pub fn open_store(
    files: &Arc<dyn Files>,
    store_id: u64,
    clock: Option<BootClock>,
) -> Result<(Catalogue, CatalogueSnapshot, Vec<u32>), CatalogueError> {
    let (catalogue, known) = Catalogue::open(files.clone(), store_id, clock)?;
    let names = files.list().map_err(CatalogueError::Io)?;
    Ok((
        catalogue,
        known,
        names
            .iter()
            .filter_map(|name| parse_segment_number(name))
            .collect(),
    ))
}

/// Runs disk operations on the segment files of one store, on one thread.
pub struct SegmentFiles {
    files: Arc<dyn Files>,
    store_id: u64,
    open_files: LruCache<u32, Arc<dyn File>>,
    /// Segments with a failed operation, until they are removed. Later operations on them were ordered on the
    /// assumption that the failed one succeeds, so they must not report success.
    faulty: HashMap<u32, SegmentFault>,
}

/// Which operations a segment with a failed operation still allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SegmentFault {
    /// A record was not written: earlier records can still be synced, but no record or footer may follow.
    WriteFailed,
    /// A sync or the file's creation failed: later syncs do not prove that the data is durable.
    SyncFailed,
}

impl SegmentFiles {
    pub fn new(files: Arc<dyn Files>, store_id: u64) -> SegmentFiles {
        SegmentFiles {
            files,
            store_id,
            open_files: LruCache::new(MAX_OPEN_FILES),
            faulty: HashMap::new(),
        }
    }

    fn file(&mut self, segment: u32) -> io::Result<Arc<dyn File>> {
        if let Some(file) = self.open_files.get(&segment) {
            return Ok(file.clone());
        }
        let file = self.files.open(&segment_file_name(segment))?;
        self.open_files.put(segment, file.clone());
        Ok(file)
    }

    /// Reads and verifies a record.
    pub fn read(&mut self, segment: u32, offset: u32, length: u32) -> Result<(Copy, u8), Fault> {
        let file = self.file(segment).map_err(fault_of)?;
        let bytes = read_exact_at(&*file, u64::from(offset), length as usize)
            .map_err(fault_of)?
            .ok_or(Fault::Damaged)?;
        let address = DiskAddress {
            store_id: self.store_id,
            segment,
            offset,
        };
        decode_record(&Bytes::from(bytes), address).map_err(|_: FormatError| Fault::Damaged)
    }

    /// Lists a segment's records, by scanning it if it has no valid footer.
    pub fn list(&mut self, segment: u32) -> Result<Vec<FooterEntry>, Fault> {
        let file = self.file(segment).map_err(fault_of)?;
        let length = file.length().map_err(fault_of)?;
        match read_footer_entries(&*file, self.store_id, segment, length).map_err(fault_of)? {
            Some(entries) => Ok(entries),
            None => match recover(&*file, self.store_id, segment) {
                Ok(found) => Ok(found.entries),
                Err(RecoveryError::Io(error)) => Err(fault_of(error)),
                Err(RecoveryError::UnsupportedVersion(_)) => Err(Fault::Damaged),
            },
        }
    }

    /// Recovers a segment that an earlier run wrote, and seals it if it was not sealed.
    pub fn recover(&mut self, segment: u32) -> Result<Recovered, RecoveryError> {
        let file = self.file(segment)?;
        let found = recover(&*file, self.store_id, segment)?;
        if !found.sealed {
            // If sealing fails, the next start scans the segment again.
            let _ = seal(&*file, self.store_id, segment, &found);
        }
        self.open_files.pop(&segment);
        Ok(found)
    }

    /// Replaces the segment's footer by one that lists only these records, and truncates the file after the
    /// last of them.
    pub fn rewrite(&mut self, segment: u32, entries: Vec<FooterEntry>) -> Result<(), Fault> {
        let end = entries
            .iter()
            .map(|e| e.offset + e.length)
            .max()
            .unwrap_or(SEGMENT_HEADER_LEN as u32);
        let file = self.file(segment).map_err(fault_of)?;
        let found = Recovered {
            entries,
            end,
            ..Recovered::default()
        };
        seal(&*file, self.store_id, segment, &found).map_err(fault_of)
    }

    /// Creates a segment's file and syncs its name. After an error the segment takes no writes.
    pub fn create_segment(&mut self, segment: u32, class: u32) -> Result<(), Fault> {
        let created = self.create_segment_file(segment, class);
        self.record_result(segment, SegmentFault::SyncFailed, created)
    }

    fn create_segment_file(&mut self, segment: u32, class: u32) -> io::Result<()> {
        let file = self.files.create(&segment_file_name(segment))?;
        file.write_at(&encode_segment_header(self.store_id, segment, class), 0)?;
        self.files.sync_names()?;
        self.open_files.put(segment, file);
        Ok(())
    }

    pub fn append(&mut self, segment: u32, offset: u32, record: &[u8]) -> Result<(), Fault> {
        self.check_not_faulty(
            segment,
            &[SegmentFault::WriteFailed, SegmentFault::SyncFailed],
        )?;
        let written = self
            .file(segment)
            .and_then(|file| file.write_at(record, u64::from(offset)));
        self.record_result(segment, SegmentFault::WriteFailed, written)
    }

    pub fn sync(&mut self, segment: u32) -> Result<(), Fault> {
        self.check_not_faulty(segment, &[SegmentFault::SyncFailed])?;
        let synced = self.file(segment).and_then(|file| file.sync());
        self.record_result(segment, SegmentFault::SyncFailed, synced)
    }

    /// Writes the footer and syncs. Refused after a failed write: a footer that listed an unwritten record
    /// would hide an older copy of the same part at recovery.
    pub fn seal(&mut self, segment: u32, offset: u32, footer: &[u8]) -> Result<(), Fault> {
        self.check_not_faulty(
            segment,
            &[SegmentFault::WriteFailed, SegmentFault::SyncFailed],
        )?;
        let sealed = self.file(segment).and_then(|file| {
            file.write_at(footer, u64::from(offset))?;
            file.sync()
        });
        self.record_result(segment, SegmentFault::SyncFailed, sealed)
    }

    /// Removes a segment's file. A missing file counts as removed: it was removed before or never created.
    pub fn remove(&mut self, segment: u32) -> Result<(), Fault> {
        self.open_files.pop(&segment);
        let removed = match self.files.remove(&segment_file_name(segment)) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(()),
            removed => removed,
        };
        removed
            .and_then(|()| self.files.sync_names())
            .map_err(fault_of)?;
        self.faulty.remove(&segment);
        Ok(())
    }

    fn check_not_faulty(&self, segment: u32, refused: &[SegmentFault]) -> Result<(), Fault> {
        match self.faulty.get(&segment) {
            Some(fault) if refused.contains(fault) => Err(Fault::Io(
                "an earlier write or sync of this segment failed".into(),
            )),
            _ => Ok(()),
        }
    }

    fn record_result(
        &mut self,
        segment: u32,
        fault: SegmentFault,
        result: io::Result<()>,
    ) -> Result<(), Fault> {
        if result.is_err() {
            self.faulty.insert(segment, fault);
        }
        result.map_err(fault_of)
    }
}

pub fn write_lines(catalogue: &mut Catalogue, lines: &[CatalogueLine]) -> Result<(), Fault> {
    catalogue
        .write(lines)
        .map_err(|error| Fault::Io(error.to_string()))
}

#[cfg(test)]
mod tests;
