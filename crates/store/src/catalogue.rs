//! What is not in the segments themselves: the store's number and version, the purges, how long the notice
//! discovery was heard. An embedded store of its own (`redb`), over the same file layer, so that a crash is
//! played on it too.

use crate::decide::purges::Mark;
use crate::files::{File, Files};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition, TableError, TableHandle};
use std::fmt;
use std::io;
use std::sync::Arc;

pub const NAME: &str = "catalogue";
const BEGUN: &str = "catalogue.begun";
/// The version of a store's directory as a whole.
const VERSION: u64 = 1;
/// What the embedded store keeps of its file in memory.
const CACHE: usize = 1 << 20;

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
}

/// What an earlier life wrote down.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Known {
    /// The store's own number, drawn at its first start.
    pub store: u64,
    pub marks: Vec<Mark>,
    /// None: never.
    pub heard: Option<u64>,
}

/// Why a catalogue cannot be used.
#[derive(Debug)]
pub enum Unusable {
    /// Written by a program of another version: nothing is touched.
    Version(u64),
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
            Unusable::Other(what) => f.write_str(what),
        }
    }
}

fn other(what: impl fmt::Display) -> Unusable {
    Unusable::Other(format!("{NAME}: {what}"))
}

fn database(file: Arc<dyn File>) -> Result<Database, Unusable> {
    let mut builder = Database::builder();
    builder.set_cache_size(CACHE);
    builder.create_with_backend(Backend(file)).map_err(other)
}

pub struct Catalogue {
    database: Database,
}

impl Catalogue {
    /// Opens the catalogue, or begins one with the number `store`.
    pub fn open(files: &dyn Files, store: u64) -> Result<(Catalogue, Known), Unusable> {
        let names = files.list().map_err(other)?;
        if names.iter().any(|name| name == NAME) {
            let catalogue = Catalogue { database: database(files.open(NAME).map_err(other)?)? };
            let known = catalogue.known()?.ok_or_else(|| other("it does not say what it is"))?;
            return Ok((catalogue, known));
        }
        // It takes its name once it is whole: what a crash leaves of a beginning is begun again.
        if names.iter().any(|name| name == BEGUN) {
            files.remove(BEGUN).map_err(other)?;
        }
        let catalogue = Catalogue { database: database(files.create(BEGUN).map_err(other)?)? };
        catalogue.begin(store)?;
        files.rename(BEGUN, NAME).and_then(|()| files.sync_names()).map_err(other)?;
        Ok((catalogue, Known { store, ..Known::default() }))
    }

    fn begin(&self, store: u64) -> Result<(), Unusable> {
        let write = self.database.begin_write().map_err(other)?;
        {
            let mut about = write.open_table(ABOUT).map_err(other)?;
            about.insert("version", VERSION).map_err(other)?;
            about.insert("store", store).map_err(other)?;
        }
        write.commit().map_err(other)
    }

    fn known(&self) -> Result<Option<Known>, Unusable> {
        let read = self.database.begin_read().map_err(other)?;
        let about = match read.open_table(ABOUT) {
            Err(TableError::TableDoesNotExist(_)) => return Ok(None),
            found => found.map_err(other)?,
        };
        let get = |name: &str| Ok(about.get(name).map_err(other)?.map(|v| v.value()));
        match get("version")? {
            Some(VERSION) => {}
            found => return Err(Unusable::Version(found.unwrap_or(0))),
        }
        let store = get("store")?.ok_or_else(|| other("the store's number is missing"))?;
        let mut marks = Vec::new();
        for definition in [FOLDED, GROUPS, OBJECTS] {
            let table = match read.open_table(definition) {
                Err(TableError::TableDoesNotExist(_)) => continue,
                found => found.map_err(other)?,
            };
            for row in table.iter().map_err(other)? {
                let (key, ms) = row.map_err(other)?;
                let (key, ms) = (key.value(), ms.value());
                marks.push(match definition.name() {
                    "folded" => Mark::Folded(0, key as usize, ms),
                    "groups" => Mark::Group(key as usize, ms),
                    _ => Mark::Object(key, ms),
                });
            }
        }
        Ok(Some(Known { store, marks, heard: get("heard")? }))
    }

    /// Writes lines down, in their order; once this returns they outlive a crash.
    pub fn write(&self, lines: &[Line]) -> Result<(), Unusable> {
        let write = self.database.begin_write().map_err(other)?;
        {
            let mut about = write.open_table(ABOUT).map_err(other)?;
            let mut objects = write.open_table(OBJECTS).map_err(other)?;
            let mut folded = write.open_table(FOLDED).map_err(other)?;
            let mut groups = write.open_table(GROUPS).map_err(other)?;
            for line in lines {
                match line {
                    Line::Purge(Mark::Object(object, ms)) => objects.insert(object, ms),
                    Line::Purge(Mark::Group(slot, ms)) => groups.insert(*slot as u64, ms),
                    Line::Purge(Mark::Folded(object, slot, ms)) => {
                        objects.remove(object).map_err(other)?;
                        folded.insert(*slot as u64, ms)
                    }
                    Line::Heard(ms) => about.insert("heard", ms),
                }
                .map_err(other)?;
            }
        }
        write.commit().map_err(other)
    }
}

/// The embedded store's file, over the file layer.
struct Backend(Arc<dyn File>);

impl fmt::Debug for Backend {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(NAME)
    }
}

impl redb::StorageBackend for Backend {
    fn len(&self) -> io::Result<u64> {
        self.0.length()
    }

    fn read(&self, at: u64, out: &mut [u8]) -> io::Result<()> {
        match self.0.read_at(out, at)? {
            read if read == out.len() => Ok(()),
            _ => Err(io::ErrorKind::UnexpectedEof.into()),
        }
    }

    fn set_len(&self, length: u64) -> io::Result<()> {
        self.0.truncate(length)
    }

    fn sync_data(&self) -> io::Result<()> {
        self.0.sync()
    }

    fn write(&self, at: u64, bytes: &[u8]) -> io::Result<()> {
        self.0.write_at(bytes, at)
    }
}

#[cfg(test)]
mod tests;
