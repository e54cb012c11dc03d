//! The catalogue: what is not in the segments themselves. That is the store's ID and version, the purges, and
//! the time up to which discovery confirmed that all purges were received. It is an embedded database (`redb`)
//! over the same file layer as the segments, so that simulated crashes cover it too.

use crate::boot_clock::BootClock;
use crate::decide::purges::PurgeRecord;
use crate::files::{File, Files, read_exact_at};
use redb::backends::InMemoryBackend;
use redb::{
    Database, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition, TableError,
};
use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

pub const FILE_NAME: &str = "catalogue";
const TEMPORARY_NAME: &str = "catalogue.begun";
/// The version of a store's directory as a whole.
const DIRECTORY_VERSION: u64 = 1;
/// The database's cache of its file.
const DATABASE_CACHE_BYTES: usize = 1 << 20;
/// Longer files are rejected. The number of rows is bounded, so no valid catalogue reaches this length.
const MAX_FILE_LEN: u64 = 256 << 20;

const METADATA: TableDefinition<&str, u64> = TableDefinition::new("about");
const OBJECT_PURGES: TableDefinition<u64, u64> = TableDefinition::new("objects");
const FOLDED_PURGES: TableDefinition<u64, u64> = TableDefinition::new("folded");
const GROUP_PURGES: TableDefinition<u64, u64> = TableDefinition::new("groups");

/// One change to the catalogue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CatalogueLine {
    Purge(PurgeRecord),
    /// Discovery confirmed that every purge made up to this Unix millisecond was received; those purges are
    /// written before this line.
    ConfirmedUpTo(u64),
    /// Purges of copies in segments up to this number may have been missed; no later `ConfirmedUpTo` applies
    /// to them.
    PurgesMissedUpTo(u32),
    /// Times in segments up to this number cannot be compared with those of later starts, because the wall
    /// clock was stepped since.
    TimesUnreliableUpTo(u32),
}

/// The contents of the catalogue when it is opened.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CatalogueSnapshot {
    /// The store's ID, chosen at random when it was first opened.
    pub store_id: u64,
    pub purges: Vec<PurgeRecord>,
    /// The last `CatalogueLine::ConfirmedUpTo`. `None` if there was none since the last step of the clock.
    pub confirmed_up_to_ms: Option<u64>,
    /// The last segment whose purges may have been missed, and the last one whose times are unreliable; 0:
    /// none.
    pub purges_missed_up_to: u32,
    pub times_unreliable_up_to: u32,
    /// The wall clock was stepped since the store was last opened, so earlier times cannot be compared.
    pub clock_stepped: bool,
}

/// Why a catalogue cannot be opened or written.
#[derive(Debug)]
pub enum CatalogueError {
    /// Written by another version of the program; the directory is not changed.
    UnsupportedVersion(u64),
    /// A system call failed; a later attempt may succeed.
    Io(io::Error),
    /// The file is not a valid catalogue.
    Invalid(String),
}

impl fmt::Display for CatalogueError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            CatalogueError::UnsupportedVersion(found) => {
                write!(
                    f,
                    "directory version {found} is not supported (this program reads version {DIRECTORY_VERSION}); it is left unchanged"
                )
            }
            CatalogueError::Io(error) => write!(f, "{FILE_NAME}: {error}"),
            CatalogueError::Invalid(message) => f.write_str(message),
        }
    }
}

fn invalid(message: impl fmt::Display) -> CatalogueError {
    CatalogueError::Invalid(format!("{FILE_NAME}: {message}"))
}

/// Converts a database error: I/O errors may be transient, all others mean that the file is not a valid
/// catalogue.
fn from_redb(error: impl Into<redb::Error>) -> CatalogueError {
    match error.into() {
        redb::Error::Io(error) if !is_corruption(&error) => CatalogueError::Io(error),
        redb::Error::PreviousIo => {
            CatalogueError::Io(io::Error::other("an earlier write to the catalogue failed"))
        }
        error => invalid(error),
    }
}

fn is_corruption(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::UnexpectedEof | io::ErrorKind::InvalidData
    )
}

fn open_database(backend: impl redb::StorageBackend) -> Result<Database, CatalogueError> {
    let mut builder = Database::builder();
    builder.set_cache_size(DATABASE_CACHE_BYTES);
    builder.create_with_backend(backend).map_err(from_redb)
}

/// The rows of the catalogue, as read from its file or as they will be written to it.
#[derive(Clone, Debug, Default)]
struct Rows {
    store_id: u64,
    confirmed_up_to: Option<u64>,
    purges_missed_up_to: u32,
    times_unreliable_up_to: u32,
    clock: Option<BootClock>,
    objects: BTreeMap<u64, u64>,
    folded: BTreeMap<u64, u64>,
    groups: BTreeMap<u64, u64>,
}

impl Rows {
    /// Reads a catalogue's file without writing to it: the database repairs a copy in memory.
    fn read(file: &dyn File) -> Result<Rows, CatalogueError> {
        let length = file.length().map_err(CatalogueError::Io)?;
        if length > MAX_FILE_LEN {
            return Err(invalid("file is too long"));
        }
        let bytes = read_exact_at(file, 0, length as usize).map_err(CatalogueError::Io)?;
        let copy = InMemoryBackend::new();
        copy.set_len(length).map_err(invalid)?;
        copy.write(
            0,
            &bytes.ok_or_else(|| invalid("file was truncated while it was read"))?,
        )
        .map_err(invalid)?;
        Rows::load(&open_database(copy)?)
    }

    fn load(database: &Database) -> Result<Rows, CatalogueError> {
        let read = database.begin_read().map_err(from_redb)?;
        let metadata = match read.open_table(METADATA) {
            Err(TableError::TableDoesNotExist(_)) => {
                return Err(invalid("the version table is missing"));
            }
            found => found.map_err(from_redb)?,
        };
        let get = |name: &str| {
            Ok(metadata
                .get(name)
                .map_err(from_redb)?
                .map(|value| value.value()))
        };
        match get("version")? {
            Some(DIRECTORY_VERSION) => {}
            found => return Err(CatalogueError::UnsupportedVersion(found.unwrap_or(0))),
        }
        let boot = get("boot")?.zip(get("unix at boot")?);
        Ok(Rows {
            store_id: get("store")?.ok_or_else(|| invalid("the store's ID is missing"))?,
            confirmed_up_to: get("heard")?,
            purges_missed_up_to: get("uncovered")?.unwrap_or(0) as u32,
            times_unreliable_up_to: get("undated")?.unwrap_or(0) as u32,
            clock: boot.map(|(boot, unix_at_boot_ms)| BootClock {
                boot,
                unix_at_boot_ms,
            }),
            objects: read_table(&read, OBJECT_PURGES)?,
            folded: read_table(&read, FOLDED_PURGES)?,
            groups: read_table(&read, GROUP_PURGES)?,
        })
    }

    fn apply(&mut self, line: &CatalogueLine) {
        match line {
            CatalogueLine::Purge(PurgeRecord::Object(object, ms)) => {
                self.objects.insert(*object, *ms);
            }
            CatalogueLine::Purge(PurgeRecord::Group(slot, ms)) => {
                self.groups.insert(*slot as u64, *ms);
            }
            CatalogueLine::Purge(PurgeRecord::Folded(object, slot, ms)) => {
                self.objects.remove(object);
                self.folded.insert(*slot as u64, *ms);
            }
            CatalogueLine::ConfirmedUpTo(ms) => self.confirmed_up_to = Some(*ms),
            CatalogueLine::PurgesMissedUpTo(segment) => {
                self.purges_missed_up_to = self.purges_missed_up_to.max(*segment)
            }
            CatalogueLine::TimesUnreliableUpTo(segment) => {
                self.times_unreliable_up_to = self.times_unreliable_up_to.max(*segment)
            }
        }
    }

    /// Writes all rows to a new file; they are durable once this returns.
    fn write_all(&self, database: &Database) -> Result<(), redb::Error> {
        let write = database.begin_write()?;
        {
            let mut metadata = write.open_table(METADATA)?;
            metadata.insert("version", DIRECTORY_VERSION)?;
            metadata.insert("store", self.store_id)?;
            metadata.insert("uncovered", u64::from(self.purges_missed_up_to))?;
            metadata.insert("undated", u64::from(self.times_unreliable_up_to))?;
            if let Some(confirmed_up_to_ms) = self.confirmed_up_to {
                metadata.insert("heard", confirmed_up_to_ms)?;
            }
            if let Some(clock) = self.clock {
                metadata.insert("boot", clock.boot)?;
                metadata.insert("unix at boot", clock.unix_at_boot_ms)?;
            }
            for (definition, rows) in [
                (OBJECT_PURGES, &self.objects),
                (FOLDED_PURGES, &self.folded),
                (GROUP_PURGES, &self.groups),
            ] {
                let mut table = write.open_table(definition)?;
                for (key, ms) in rows {
                    table.insert(key, ms)?;
                }
            }
        }
        Ok(write.commit()?)
    }

    fn known(&self) -> CatalogueSnapshot {
        let folded = self
            .folded
            .iter()
            .map(|(slot, ms)| PurgeRecord::Folded(0, *slot as usize, *ms));
        let groups = self
            .groups
            .iter()
            .map(|(slot, ms)| PurgeRecord::Group(*slot as usize, *ms));
        let objects = self
            .objects
            .iter()
            .map(|(object, ms)| PurgeRecord::Object(*object, *ms));
        CatalogueSnapshot {
            store_id: self.store_id,
            purges: folded.chain(groups).chain(objects).collect(),
            confirmed_up_to_ms: self.confirmed_up_to,
            purges_missed_up_to: self.purges_missed_up_to,
            times_unreliable_up_to: self.times_unreliable_up_to,
            clock_stepped: false,
        }
    }
}

fn read_table(
    read: &redb::ReadTransaction,
    definition: TableDefinition<u64, u64>,
) -> Result<BTreeMap<u64, u64>, CatalogueError> {
    let table = match read.open_table(definition) {
        Err(TableError::TableDoesNotExist(_)) => return Ok(BTreeMap::new()),
        found => found.map_err(from_redb)?,
    };
    let rows = table.iter().map_err(from_redb)?;
    rows.map(|row| {
        row.map(|(key, ms)| (key.value(), ms.value()))
            .map_err(from_redb)
    })
    .collect()
}

/// The catalogue of a directory. A catalogue file is written only by the `Catalogue` that created it, and no
/// more after a write or sync of it has failed, because its state on disk is then unknown. All rows are then
/// written to a new file, which replaces the old one once it is durable.
pub struct Catalogue {
    files: Arc<dyn Files>,
    rows: Rows,
    /// `None` if the next write must create a new file.
    database: Option<Database>,
}

impl Catalogue {
    /// Opens the catalogue, or creates one with the ID `store_id`. `clock` is the boot clock read at this start
    /// of the program; `None` if it is unknown or steps of the clock do not matter, which keeps the reading of
    /// an earlier start.
    ///
    /// # Errors
    /// After `CatalogueError::Io`, opening can be tried again.
    pub fn open(
        files: Arc<dyn Files>,
        store_id: u64,
        clock: Option<BootClock>,
    ) -> Result<(Catalogue, CatalogueSnapshot), CatalogueError> {
        let names = files.list().map_err(CatalogueError::Io)?;
        if names.iter().any(|name| name == FILE_NAME) {
            let mut rows = Rows::read(&*files.open(FILE_NAME).map_err(CatalogueError::Io)?)?;
            // An earlier opening may have created the name without syncing it.
            files.sync_names().map_err(CatalogueError::Io)?;
            let clock_stepped = rows
                .clock
                .zip(clock)
                .is_some_and(|(then, now)| now.has_stepped_since(then));
            if clock_stepped {
                // This time was read from the clock before the step and cannot be compared.
                rows.confirmed_up_to = None;
            }
            let known = CatalogueSnapshot {
                clock_stepped,
                ..rows.known()
            };
            rows.clock = clock.or(rows.clock);
            return Ok((
                Catalogue {
                    files,
                    rows,
                    database: None,
                },
                known,
            ));
        }
        let rows = Rows {
            store_id,
            clock,
            ..Rows::default()
        };
        let mut catalogue = Catalogue {
            files,
            rows,
            database: None,
        };
        catalogue.rewrite()?;
        let known = catalogue.rows.known();
        Ok((catalogue, known))
    }

    /// Writes lines in their order; they are durable once this returns. After an error it is unknown whether
    /// they are, and the next write includes them again.
    pub fn write(&mut self, lines: &[CatalogueLine]) -> Result<(), CatalogueError> {
        lines.iter().for_each(|line| self.rows.apply(line));
        let Some(database) = &self.database else {
            return self.rewrite();
        };
        let written = append(database, lines, &self.rows).map_err(from_redb);
        if written.is_err() {
            self.database = None;
        }
        written
    }

    /// Writes all rows to a new file, which is renamed once it is complete. A partial file that a crash or an
    /// error left behind is discarded first.
    fn rewrite(&mut self) -> Result<(), CatalogueError> {
        let names = self.files.list().map_err(CatalogueError::Io)?;
        if names.iter().any(|name| name == TEMPORARY_NAME) {
            self.files
                .remove(TEMPORARY_NAME)
                .map_err(CatalogueError::Io)?;
        }
        let file = self
            .files
            .create(TEMPORARY_NAME)
            .map_err(CatalogueError::Io)?;
        let database = open_database(Backend {
            file,
            failed: AtomicBool::new(false),
        })?;
        self.rows.write_all(&database).map_err(from_redb)?;
        self.files
            .rename(TEMPORARY_NAME, FILE_NAME)
            .and_then(|()| self.files.sync_names())
            .map_err(CatalogueError::Io)?;
        self.database = Some(database);
        Ok(())
    }
}

fn append(database: &Database, lines: &[CatalogueLine], rows: &Rows) -> Result<(), redb::Error> {
    let write = database.begin_write()?;
    {
        let mut metadata = write.open_table(METADATA)?;
        let mut objects = write.open_table(OBJECT_PURGES)?;
        let mut folded = write.open_table(FOLDED_PURGES)?;
        let mut groups = write.open_table(GROUP_PURGES)?;
        for line in lines {
            match line {
                CatalogueLine::Purge(PurgeRecord::Object(object, ms)) => {
                    drop(objects.insert(object, ms)?)
                }
                CatalogueLine::Purge(PurgeRecord::Group(slot, ms)) => {
                    drop(groups.insert(*slot as u64, ms)?)
                }
                CatalogueLine::Purge(PurgeRecord::Folded(object, slot, ms)) => {
                    objects.remove(object)?;
                    folded.insert(*slot as u64, ms)?;
                }
                CatalogueLine::ConfirmedUpTo(ms) => drop(metadata.insert("heard", ms)?),
                CatalogueLine::PurgesMissedUpTo(_) => {
                    drop(metadata.insert("uncovered", u64::from(rows.purges_missed_up_to))?)
                }
                CatalogueLine::TimesUnreliableUpTo(_) => {
                    drop(metadata.insert("undated", u64::from(rows.times_unreliable_up_to))?)
                }
            }
        }
    }
    Ok(write.commit()?)
}

/// The database's file, on the file layer. After a failed write or sync, all later writes are refused.
struct Backend {
    file: Arc<dyn File>,
    failed: AtomicBool,
}

impl Backend {
    fn modify(&self, operation: impl FnOnce(&dyn File) -> io::Result<()>) -> io::Result<()> {
        if self.failed.load(Ordering::Relaxed) {
            return Err(io::Error::other("an earlier write to the catalogue failed"));
        }
        let result = operation(&*self.file);
        self.failed.fetch_or(result.is_err(), Ordering::Relaxed);
        result
    }
}

impl fmt::Debug for Backend {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(FILE_NAME)
    }
}

impl redb::StorageBackend for Backend {
    fn len(&self) -> io::Result<u64> {
        self.file.length()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        match self.file.read_at(out, offset)? {
            read if read == out.len() => Ok(()),
            _ => Err(io::ErrorKind::UnexpectedEof.into()),
        }
    }

    fn set_len(&self, length: u64) -> io::Result<()> {
        self.modify(|file| file.truncate(length))
    }

    fn sync_data(&self) -> io::Result<()> {
        self.modify(|file| file.sync())
    }

    fn write(&self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.modify(|file| file.write_at(bytes, offset))
    }
}

#[cfg(test)]
mod tests;
