//! What is not in the segments themselves: the store's number and version, the purges, how long the notice
//! discovery was heard. An embedded store of its own (`redb`), over the same file layer, so that a crash is
//! played on it too.

use crate::boot_clock::BootClock;
use crate::decide::purges::Mark;
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

pub const NAME: &str = "catalogue";
const BEGUN: &str = "catalogue.begun";
/// The version of a store's directory as a whole.
const VERSION: u64 = 1;
/// What the embedded store keeps of its file in memory.
const CACHE: usize = 1 << 20;
/// No catalogue is longer: its rows are bounded.
const FILE_MOST: u64 = 256 << 20;

const ABOUT: TableDefinition<&str, u64> = TableDefinition::new("about");
const OBJECTS: TableDefinition<u64, u64> = TableDefinition::new("objects");
const FOLDED: TableDefinition<u64, u64> = TableDefinition::new("folded");
const GROUPS: TableDefinition<u64, u64> = TableDefinition::new("groups");

/// One thing to be written down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Line {
    Purge(Mark),
    /// Every purge made up to this Unix millisecond was told and stands before this.
    Heard(u64),
    /// Of copies in segments up to this number a purge may have been missed: no later word of `Heard` covers
    /// them.
    Uncovered(u32),
    /// Of segments up to this number the times cannot be compared with those of a later start: the wall clock
    /// was stepped since.
    Undated(u32),
}

/// What an earlier life wrote down.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Known {
    /// The store's own number, drawn at its first start.
    pub store: u64,
    pub marks: Vec<Mark>,
    /// None: never.
    pub heard: Option<u64>,
    /// The last segment of which a purge may have been missed, and of which the times are not known; 0: none.
    pub uncovered: u32,
    pub undated: u32,
    /// The wall clock was stepped since the store was last opened: by its times nothing can be compared.
    pub clock_stepped: bool,
}

/// Why a catalogue cannot be used.
#[derive(Debug)]
pub enum Unusable {
    /// Written by a program of another version: nothing is touched.
    Version(u64),
    /// The system failed a call: it may pass.
    Io(io::Error),
    Other(String),
}

impl fmt::Display for Unusable {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Unusable::Version(found) => {
                write!(
                    f,
                    "the directory is of version {found}, this program reads {VERSION}; it is left as it is"
                )
            }
            Unusable::Io(error) => write!(f, "{NAME}: {error}"),
            Unusable::Other(what) => f.write_str(what),
        }
    }
}

fn other(what: impl fmt::Display) -> Unusable {
    Unusable::Other(format!("{NAME}: {what}"))
}

/// An error of the embedded store: one of the system may pass, any other says that the file is no catalogue.
fn failed(what: impl Into<redb::Error>) -> Unusable {
    match what.into() {
        redb::Error::Io(error) if !is_damage(&error) => Unusable::Io(error),
        redb::Error::PreviousIo => Unusable::Io(io::Error::other("an earlier write failed")),
        error => other(error),
    }
}

fn is_damage(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::UnexpectedEof | io::ErrorKind::InvalidData
    )
}

fn database(backend: impl redb::StorageBackend) -> Result<Database, Unusable> {
    let mut builder = Database::builder();
    builder.set_cache_size(CACHE);
    builder.create_with_backend(backend).map_err(failed)
}

/// What the catalogue's file holds or is to hold, row by row.
#[derive(Clone, Debug, Default)]
struct Rows {
    store: u64,
    heard: Option<u64>,
    uncovered: u32,
    undated: u32,
    clock: Option<BootClock>,
    objects: BTreeMap<u64, u64>,
    folded: BTreeMap<u64, u64>,
    groups: BTreeMap<u64, u64>,
}

impl Rows {
    /// Reads a catalogue's file without writing to it: what repairs it needs are made on a copy in memory.
    fn read(file: &dyn File) -> Result<Rows, Unusable> {
        let length = file.length().map_err(Unusable::Io)?;
        if length > FILE_MOST {
            return Err(other("it is too long"));
        }
        let bytes = read_exact_at(file, 0, length as usize).map_err(Unusable::Io)?;
        let copy = InMemoryBackend::new();
        copy.set_len(length).map_err(other)?;
        copy.write(0, &bytes.ok_or_else(|| other("it was cut short"))?)
            .map_err(other)?;
        Rows::load(&database(copy)?)
    }

    fn load(database: &Database) -> Result<Rows, Unusable> {
        let read = database.begin_read().map_err(failed)?;
        let about = match read.open_table(ABOUT) {
            Err(TableError::TableDoesNotExist(_)) => {
                return Err(other("it does not say what it is"));
            }
            found => found.map_err(failed)?,
        };
        let get = |name: &str| Ok(about.get(name).map_err(failed)?.map(|value| value.value()));
        match get("version")? {
            Some(VERSION) => {}
            found => return Err(Unusable::Version(found.unwrap_or(0))),
        }
        let boot = get("boot")?.zip(get("unix at boot")?);
        Ok(Rows {
            store: get("store")?.ok_or_else(|| other("the store's number is missing"))?,
            heard: get("heard")?,
            uncovered: get("uncovered")?.unwrap_or(0) as u32,
            undated: get("undated")?.unwrap_or(0) as u32,
            clock: boot.map(|(boot, unix_at_boot_ms)| BootClock {
                boot,
                unix_at_boot_ms,
            }),
            objects: table(&read, OBJECTS)?,
            folded: table(&read, FOLDED)?,
            groups: table(&read, GROUPS)?,
        })
    }

    fn apply(&mut self, line: &Line) {
        match line {
            Line::Purge(Mark::Object(object, ms)) => drop(self.objects.insert(*object, *ms)),
            Line::Purge(Mark::Group(slot, ms)) => drop(self.groups.insert(*slot as u64, *ms)),
            Line::Purge(Mark::Folded(object, slot, ms)) => {
                self.objects.remove(object);
                self.folded.insert(*slot as u64, *ms);
            }
            Line::Heard(ms) => self.heard = Some(*ms),
            Line::Uncovered(segment) => self.uncovered = self.uncovered.max(*segment),
            Line::Undated(segment) => self.undated = self.undated.max(*segment),
        }
    }

    /// Writes all rows into a new file, durable once this returns.
    fn write_all(&self, database: &Database) -> Result<(), redb::Error> {
        let write = database.begin_write()?;
        {
            let mut about = write.open_table(ABOUT)?;
            about.insert("version", VERSION)?;
            about.insert("store", self.store)?;
            about.insert("uncovered", u64::from(self.uncovered))?;
            about.insert("undated", u64::from(self.undated))?;
            if let Some(heard) = self.heard {
                about.insert("heard", heard)?;
            }
            if let Some(clock) = self.clock {
                about.insert("boot", clock.boot)?;
                about.insert("unix at boot", clock.unix_at_boot_ms)?;
            }
            for (definition, rows) in [
                (OBJECTS, &self.objects),
                (FOLDED, &self.folded),
                (GROUPS, &self.groups),
            ] {
                let mut table = write.open_table(definition)?;
                for (key, ms) in rows {
                    table.insert(key, ms)?;
                }
            }
        }
        Ok(write.commit()?)
    }

    fn known(&self) -> Known {
        let folded = self
            .folded
            .iter()
            .map(|(slot, ms)| Mark::Folded(0, *slot as usize, *ms));
        let groups = self
            .groups
            .iter()
            .map(|(slot, ms)| Mark::Group(*slot as usize, *ms));
        let objects = self
            .objects
            .iter()
            .map(|(object, ms)| Mark::Object(*object, *ms));
        Known {
            store: self.store,
            marks: folded.chain(groups).chain(objects).collect(),
            heard: self.heard,
            uncovered: self.uncovered,
            undated: self.undated,
            clock_stepped: false,
        }
    }
}

fn table(
    read: &redb::ReadTransaction,
    definition: TableDefinition<u64, u64>,
) -> Result<BTreeMap<u64, u64>, Unusable> {
    let table = match read.open_table(definition) {
        Err(TableError::TableDoesNotExist(_)) => return Ok(BTreeMap::new()),
        found => found.map_err(failed)?,
    };
    let rows = table.iter().map_err(failed)?;
    rows.map(|row| {
        row.map(|(key, ms)| (key.value(), ms.value()))
            .map_err(failed)
    })
    .collect()
}

/// The catalogue of a directory. A file of it is written only by the `Catalogue` that made it, and not again
/// after a write or a sync of it has failed: what such a file holds on the disk is not known. All rows are then
/// written to a new file, which takes the old one's name once it is durable.
pub struct Catalogue {
    files: Arc<dyn Files>,
    rows: Rows,
    /// None: the next write begins a new file.
    database: Option<Database>,
}

impl Catalogue {
    /// Opens the catalogue, or begins one with the number `store`. `clock`: how the wall clock stands to the
    /// machine's own at this start of the program; none, where that is not known or nothing is to be judged by
    /// it: then an earlier reading stays.
    ///
    /// # Errors
    /// `Unusable::Io` may pass: opening can be tried again.
    pub fn open(
        files: Arc<dyn Files>,
        store: u64,
        clock: Option<BootClock>,
    ) -> Result<(Catalogue, Known), Unusable> {
        let names = files.list().map_err(Unusable::Io)?;
        if names.iter().any(|name| name == NAME) {
            let mut rows = Rows::read(&*files.open(NAME).map_err(Unusable::Io)?)?;
            // The name may stem from an opening whose sync of the names failed.
            files.sync_names().map_err(Unusable::Io)?;
            let clock_stepped = rows
                .clock
                .zip(clock)
                .is_some_and(|(then, now)| now.has_stepped_since(then));
            if clock_stepped {
                // A time by a clock that is no longer kept says nothing.
                rows.heard = None;
            }
            let known = Known {
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
            store,
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

    /// Writes lines down, in their order; once this returns they outlive a crash. After an error they may or
    /// may not do so, and the next write includes them.
    pub fn write(&mut self, lines: &[Line]) -> Result<(), Unusable> {
        lines.iter().for_each(|line| self.rows.apply(line));
        let Some(database) = &self.database else {
            return self.rewrite();
        };
        let written = append(database, lines, &self.rows).map_err(failed);
        if written.is_err() {
            self.database = None;
        }
        written
    }

    /// Writes all rows to a new file. It takes its name once it is whole: what a crash or an error leaves of
    /// it is begun again.
    fn rewrite(&mut self) -> Result<(), Unusable> {
        let names = self.files.list().map_err(Unusable::Io)?;
        if names.iter().any(|name| name == BEGUN) {
            self.files.remove(BEGUN).map_err(Unusable::Io)?;
        }
        let file = self.files.create(BEGUN).map_err(Unusable::Io)?;
        let database = database(Backend {
            file,
            failed: AtomicBool::new(false),
        })?;
        self.rows.write_all(&database).map_err(failed)?;
        self.files
            .rename(BEGUN, NAME)
            .and_then(|()| self.files.sync_names())
            .map_err(Unusable::Io)?;
        self.database = Some(database);
        Ok(())
    }
}

fn append(database: &Database, lines: &[Line], rows: &Rows) -> Result<(), redb::Error> {
    let write = database.begin_write()?;
    {
        let mut about = write.open_table(ABOUT)?;
        let mut objects = write.open_table(OBJECTS)?;
        let mut folded = write.open_table(FOLDED)?;
        let mut groups = write.open_table(GROUPS)?;
        for line in lines {
            match line {
                Line::Purge(Mark::Object(object, ms)) => drop(objects.insert(object, ms)?),
                Line::Purge(Mark::Group(slot, ms)) => drop(groups.insert(*slot as u64, ms)?),
                Line::Purge(Mark::Folded(object, slot, ms)) => {
                    objects.remove(object)?;
                    folded.insert(*slot as u64, ms)?;
                }
                Line::Heard(ms) => drop(about.insert("heard", ms)?),
                Line::Uncovered(_) => drop(about.insert("uncovered", u64::from(rows.uncovered))?),
                Line::Undated(_) => drop(about.insert("undated", u64::from(rows.undated))?),
            }
        }
    }
    Ok(write.commit()?)
}

/// The embedded store's file, over the file layer. After a failed write or sync nothing more is written.
struct Backend {
    file: Arc<dyn File>,
    failed: AtomicBool,
}

impl Backend {
    fn change(&self, change: impl FnOnce(&dyn File) -> io::Result<()>) -> io::Result<()> {
        if self.failed.load(Ordering::Relaxed) {
            return Err(io::Error::other("an earlier write failed"));
        }
        let changed = change(&*self.file);
        self.failed.fetch_or(changed.is_err(), Ordering::Relaxed);
        changed
    }
}

impl fmt::Debug for Backend {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(NAME)
    }
}

impl redb::StorageBackend for Backend {
    fn len(&self) -> io::Result<u64> {
        self.file.length()
    }

    fn read(&self, at: u64, out: &mut [u8]) -> io::Result<()> {
        match self.file.read_at(out, at)? {
            read if read == out.len() => Ok(()),
            _ => Err(io::ErrorKind::UnexpectedEof.into()),
        }
    }

    fn set_len(&self, length: u64) -> io::Result<()> {
        self.change(|file| file.truncate(length))
    }

    fn sync_data(&self) -> io::Result<()> {
        self.change(|file| file.sync())
    }

    fn write(&self, at: u64, bytes: &[u8]) -> io::Result<()> {
        self.change(|file| file.write_at(bytes, at))
    }
}

#[cfg(test)]
mod tests;
