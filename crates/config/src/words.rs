//! Every directive there is: its name, what it takes, and where that goes. Its defaults are those of `Told`.

use crate::values::{self, Amount};
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::time::Duration;

/// All that an operator's file says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Told {
    pub log: Log,
    /// Where the control socket is; none: there is none.
    pub control: Option<PathBuf>,
    pub store: Store,
    pub cells: Cells,
    pub peers: Peers,
    pub regions: Regions,
}

/// What the routers of all zones decide in common. All is off unless given.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Regions {
    /// Tells all routers how this zone is, and heeds what they tell.
    pub in_common: bool,
    /// Measures the ways to other zones' caches.
    pub measure: bool,
    /// Requests may go to other zones' caches when their own are down.
    pub abroad: bool,
    /// Names of regions, and the zones of each.
    pub regions: Vec<(String, Vec<String>)>,
    /// Zones that are emptied, and take nothing.
    pub drained: Vec<String>,
}

/// Talk among the routers of a zone. Without it each decides by its own traffic alone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Peers {
    /// Tells the other routers of the zone what it sights and has under way, and heeds what they tell.
    pub tell: bool,
    /// Evens out the load of the zone's caches with the peers.
    pub even_load: bool,
}

/// Which cache servers a cell has.
#[derive(Clone, Debug, PartialEq)]
pub enum CellMembers {
    List(Vec<String>),
    Share(f64),
    Shuffle(usize),
}

/// What belongs to a cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Bound {
    Prefix(String),
    Groups(RangeInclusive<u64>),
    Customer(usize),
    Class(String),
}

/// Parts of the fleet, and what is confined to them. Without a cell, nothing is.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Cells {
    pub epoch: u64,
    pub cells: Vec<(String, CellMembers)>,
    pub bindings: Vec<(Bound, String)>,
    /// What is on its way from the cell that it is bound to, and where to.
    pub moves: Vec<(Bound, String)>,
    pub otherwise: Option<String>,
    pub overlap: Option<usize>,
    /// Requests a second of one tenant, and how many at once.
    pub tenant: Option<(f64, f64)>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    #[default]
    Text,
    Json,
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Log {
    pub format: LogFormat,
    /// As `RUST_LOG` takes it; none: `info`.
    pub level: Option<String>,
}

/// A router's own copies. All is off until memory or disk is given.
#[derive(Clone, Debug, PartialEq)]
pub struct Store {
    /// Of `limits.memory_mb`.
    pub memory: Option<Amount>,
    /// The directory, and how many bytes its segments may take.
    pub disk: Option<(PathBuf, u64)>,
    pub segment: u64,
    /// What the table of the parts on disk may take of memory.
    pub index: Amount,
    /// Bytes admitted to the disk in a second, and in a day; none: no bound.
    pub write_rate: Option<u64>,
    pub write_day: Option<u64>,
    /// What is fresh for less is not written.
    pub least_fresh: Duration,
    /// What is carried over from reclaimed segments, as a share of what is admitted.
    pub carry: f64,
    /// Threads that read.
    pub readers: usize,
    /// Written bytes are synced after so long, or so many.
    pub sync_after: Duration,
    pub sync_bytes: u64,
    /// Discovery's first list names every purge of this long before a start. 0: nothing is known of
    /// them.
    pub known_purges: Duration,
    /// Copies from before a start that are asked for again in a second; 0: they are dropped.
    pub revalidate: f64,
    /// Parts read ahead of one that is asked for in turn.
    pub read_ahead: usize,
    /// Bytes a second that are read to find damage.
    pub scrub: u64,
    /// Background work pauses while the router's own turns come later than this.
    pub yield_over: Duration,
}

impl Default for Store {
    fn default() -> Store {
        Store {
            memory: None,
            disk: None,
            segment: 32 << 20,
            index: Amount::Share(0.1),
            write_rate: None,
            write_day: None,
            least_fresh: Duration::from_secs(60),
            carry: 0.2,
            readers: 4,
            sync_after: Duration::from_secs(1),
            sync_bytes: 8 << 20,
            known_purges: Duration::ZERO,
            revalidate: 0.0,
            read_ahead: 1,
            scrub: 1 << 20,
            yield_over: Duration::from_millis(5),
        }
    }
}

/// Takes the words of one directive; a fault says at which of them, from 0.
pub type Set<T> = fn(&mut T, &[&str]) -> Result<(), (usize, String)>;

/// One directive: in which section, how many words it takes and how they are written, what it says.
pub struct Entry<T: 'static> {
    pub section: &'static str,
    pub name: &'static str,
    pub takes: &'static str,
    pub count: RangeInclusive<usize>,
    /// It may be given more than once.
    pub many: bool,
    pub says: &'static str,
    pub set: Set<T>,
}

/// All directives of one kind of file, by section; `T` is what they fill.
pub struct Table<T: 'static> {
    sections: &'static [&'static str],
    entries: &'static [Entry<T>],
}

impl<T> Table<T> {
    pub const fn new(sections: &'static [&'static str], entries: &'static [Entry<T>]) -> Table<T> {
        Table { sections, entries }
    }

    pub fn entries(&self) -> &'static [Entry<T>] {
        self.entries
    }

    pub fn find(&self, section: &str, name: &str) -> Option<&'static Entry<T>> {
        self.entries
            .iter()
            .find(|e| e.section == section && e.name == name)
    }

    pub fn names(&self, section: &str) -> impl Iterator<Item = &'static str> {
        self.entries
            .iter()
            .filter(move |e| e.section == section)
            .map(|e| e.name)
    }

    pub fn sections(&self) -> impl Iterator<Item = &'static &'static str> {
        self.sections.iter()
    }
}

/// Puts the fault of a value at its place among the words.
fn at<T>(place: usize, found: Result<T, String>) -> Result<T, (usize, String)> {
    found.map_err(|what| (place, what))
}

fn bytes_within(word: &str, least: u64, most: u64) -> Result<u64, (usize, String)> {
    let found = at(0, values::bytes(word))?;
    if (least..=most).contains(&found) {
        return Ok(found);
    }
    let say = |n| bytesize::ByteSize(n).to_string();
    Err((
        0,
        format!("{word} is not from {} to {}", say(least), say(most)),
    ))
}

fn on_or_off(word: &str) -> Result<bool, (usize, String)> {
    match word {
        "on" => Ok(true),
        "off" => Ok(false),
        other => Err((0, format!("{other:?} is neither on nor off"))),
    }
}

/// `prefix ID`, `group FROM-TO`, `customer NUMBER` or `class NAME`.
fn bound(words: &[&str]) -> Result<Bound, (usize, String)> {
    match words[0] {
        "prefix" => Ok(Bound::Prefix(words[1].to_owned())),
        "group" => {
            let (from, to) = words[1].split_once('-').unwrap_or((words[1], words[1]));
            let [from, to] = [from, to].map(|word| at(1, values::whole(word, 0, u64::MAX)));
            Ok(Bound::Groups(from?..=to?))
        }
        "customer" => Ok(Bound::Customer(
            at(1, values::whole(words[1], 0, 1 << 32))? as usize
        )),
        "category" => Ok(Bound::Class(words[1].to_owned())),
        other => Err((
            0,
            format!("{other:?} is not prefix, group, customer or category"),
        )),
    }
}

const fn one(
    section: &'static str,
    name: &'static str,
    takes: &'static str,
    says: &'static str,
    set: Set<Told>,
) -> Entry<Told> {
    Entry {
        section,
        name,
        takes,
        count: 1..=1,
        many: false,
        says,
        set,
    }
}

/// Every directive there is.
pub const WORDS: Table<Told> = Table::new(
    &["store", "cells", "peers", "regions"],
    &[
        one(
            "",
            "log-format",
            "text|json",
            "how a log line looks",
            |told, words| {
                told.log.format = match words[0] {
                    "text" => LogFormat::Text,
                    "json" => LogFormat::Json,
                    other => return Err((0, format!("{other:?} is neither text nor json"))),
                };
                Ok(())
            },
        ),
        one(
            "",
            "log-level",
            "LEVEL",
            "what is logged, as RUST_LOG says it",
            |told, words| {
                told.log.level = Some(words[0].to_owned());
                Ok(())
            },
        ),
        one(
            "",
            "control",
            "PATH",
            "a Unix socket for chalkhall's commands, mode 0600",
            |told, words| {
                told.control = Some(PathBuf::from(words[0]));
                Ok(())
            },
        ),
        one(
            "store",
            "memory",
            "SIZE|SHARE",
            "own copies in memory, within limits.memory_mb",
            |told, words| {
                told.store.memory = Some(at(0, values::amount(words[0]))?);
                Ok(())
            },
        ),
        Entry {
            section: "store",
            name: "disk",
            takes: "DIRECTORY SIZE",
            count: 2..=2,
            many: false,
            says: "own copies on disk: where, and how many bytes",
            set: |told, words| {
                let size =
                    bytes_within(words[1], 16 << 20, 1 << 50).map_err(|(_, what)| (1, what))?;
                told.store.disk = Some((PathBuf::from(words[0]), size));
                Ok(())
            },
        },
        one(
            "store",
            "segment",
            "SIZE",
            "how long a segment file gets",
            |told, words| {
                told.store.segment = bytes_within(words[0], 1_000_000, 1 << 30)?;
                Ok(())
            },
        ),
        one(
            "store",
            "index-memory",
            "SIZE|SHARE",
            "memory for the table of the parts on disk",
            |told, words| {
                told.store.index = at(0, values::amount(words[0]))?;
                Ok(())
            },
        ),
        one(
            "store",
            "write-rate",
            "SIZE",
            "bytes admitted to the disk in a second",
            |told, words| {
                told.store.write_rate = Some(bytes_within(words[0], 1 << 10, 1 << 40)?);
                Ok(())
            },
        ),
        one(
            "store",
            "write-day",
            "SIZE",
            "bytes admitted to the disk in a day",
            |told, words| {
                told.store.write_day = Some(bytes_within(words[0], 1 << 20, 1 << 50)?);
                Ok(())
            },
        ),
        one(
            "store",
            "least-fresh",
            "SPAN",
            "what is fresh for less is not written",
            |told, words| {
                told.store.least_fresh = at(0, values::span(words[0]))?;
                Ok(())
            },
        ),
        one(
            "store",
            "carry",
            "SHARE",
            "carried over from reclaimed segments, of what is admitted",
            |told, words| {
                told.store.carry = at(0, values::share(words[0]))?;
                Ok(())
            },
        ),
        one(
            "store",
            "readers",
            "COUNT",
            "threads that read from the disk",
            |told, words| {
                told.store.readers = at(0, values::whole(words[0], 1, 64))? as usize;
                Ok(())
            },
        ),
        one(
            "store",
            "sync-after",
            "SPAN",
            "how long a written part may wait to be synced",
            |told, words| {
                told.store.sync_after = at(0, values::span(words[0]))?;
                Ok(())
            },
        ),
        one(
            "store",
            "sync-bytes",
            "SIZE",
            "how many written bytes may wait to be synced",
            |told, words| {
                told.store.sync_bytes = bytes_within(words[0], 1, 1 << 40)?;
                Ok(())
            },
        ),
        one(
            "store",
            "known-purges",
            "SPAN",
            "discovery's first list names all purges of so long",
            |told, words| {
                told.store.known_purges = at(0, values::span(words[0]))?;
                Ok(())
            },
        ),
        one(
            "store",
            "revalidate",
            "COUNT",
            "unproven copies asked for again in a second",
            |told, words| {
                told.store.revalidate = at(0, values::whole(words[0], 0, 100_000))? as f64;
                Ok(())
            },
        ),
        one(
            "store",
            "read-ahead",
            "COUNT",
            "parts read ahead of one asked for in turn",
            |told, words| {
                told.store.read_ahead = at(0, values::whole(words[0], 0, 64))? as usize;
                Ok(())
            },
        ),
        one(
            "store",
            "scrub",
            "SIZE",
            "bytes a second read to find damage",
            |told, words| {
                told.store.scrub = at(0, values::bytes(words[0]))?;
                Ok(())
            },
        ),
        one(
            "store",
            "yield-over",
            "SPAN",
            "background work pauses while turns come later",
            |told, words| {
                told.store.yield_over = at(0, values::span(words[0]))?;
                Ok(())
            },
        ),
        one(
            "cells",
            "epoch",
            "NUMBER",
            "of this map: a router never goes back to an older one",
            |told, words| {
                told.cells.epoch = at(0, values::whole(words[0], 0, u64::MAX))?;
                Ok(())
            },
        ),
        Entry {
            section: "cells",
            name: "cell",
            takes: "NAME list SERVER.. | share SHARE | shuffle COUNT",
            count: 3..=1024,
            many: true,
            says: "a part of the fleet, and which cache servers it has",
            set: |told, words| {
                let members = match (words[1], &words[2..]) {
                    ("list", servers) => {
                        CellMembers::List(servers.iter().map(|s| (*s).to_owned()).collect())
                    }
                    ("share", [share]) => CellMembers::Share(at(2, values::share(share))?),
                    ("shuffle", [count]) => {
                        CellMembers::Shuffle(at(2, values::whole(count, 1, 10_000))? as usize)
                    }
                    ("share" | "shuffle", _) => return Err((3, "one word too many".into())),
                    (other, _) => {
                        return Err((1, format!("{other:?} is not list, share or shuffle")));
                    }
                };
                told.cells.cells.push((words[0].to_owned(), members));
                Ok(())
            },
        },
        Entry {
            section: "cells",
            name: "bind",
            takes: "prefix ID | group FROM[-TO] | customer NUMBER | category NAME, then CELL",
            count: 3..=3,
            many: true,
            says: "what belongs to a cell",
            set: |told, words| {
                told.cells
                    .bindings
                    .push((bound(words)?, words[2].to_owned()));
                Ok(())
            },
        },
        Entry {
            section: "cells",
            name: "move",
            takes: "what is bound, as in bind, then the CELL it goes to",
            count: 3..=3,
            many: true,
            says: "moves what is bound elsewhere to a cell, as fast as that warms up",
            set: |told, words| {
                told.cells.moves.push((bound(words)?, words[2].to_owned()));
                Ok(())
            },
        },
        one(
            "cells",
            "otherwise",
            "CELL",
            "where all else belongs; unless given, to all servers",
            |told, words| {
                told.cells.otherwise = Some(words[0].to_owned());
                Ok(())
            },
        ),
        one(
            "cells",
            "overlap",
            "COUNT",
            "servers that two drawn cells may share",
            |told, words| {
                told.cells.overlap = Some(at(0, values::whole(words[0], 0, 10_000))? as usize);
                Ok(())
            },
        ),
        one(
            "regions",
            "in-common",
            "on|off",
            "decides with all routers where requests go when a place is down",
            |told, words| {
                told.regions.in_common = on_or_off(words[0])?;
                Ok(())
            },
        ),
        one(
            "regions",
            "measure",
            "on|off",
            "with in-common: measures the ways to other zones",
            |told, words| {
                told.regions.measure = on_or_off(words[0])?;
                Ok(())
            },
        ),
        one(
            "regions",
            "abroad",
            "on|off",
            "with in-common: requests may go to other zones' caches",
            |told, words| {
                told.regions.abroad = on_or_off(words[0])?;
                Ok(())
            },
        ),
        Entry {
            section: "regions",
            name: "region",
            takes: "NAME ZONE..",
            count: 2..=64,
            many: true,
            says: "zones that are near one another",
            set: |told, words| {
                if told
                    .regions
                    .regions
                    .iter()
                    .any(|(name, _)| name == words[0])
                {
                    return Err((0, format!("region {} is told twice", words[0])));
                }
                let zones: Vec<String> = words[1..].iter().map(|w| (*w).to_owned()).collect();
                let taken =
                    |at: &String| told.regions.regions.iter().any(|(_, all)| all.contains(at));
                if let Some(place) = zones.iter().position(taken) {
                    return Err((
                        place + 1,
                        format!("{} is in a region already", words[place + 1]),
                    ));
                }
                told.regions.regions.push((words[0].to_owned(), zones));
                Ok(())
            },
        },
        Entry {
            section: "regions",
            name: "drain",
            takes: "LOCATION",
            count: 1..=1,
            many: true,
            says: "empties a zone, as fast as others can take it",
            set: |told, words| {
                told.regions.drained.push(words[0].to_owned());
                Ok(())
            },
        },
        one(
            "peers",
            "tell",
            "on|off",
            "tells the routers of the zone what it sights",
            |told, words| {
                told.peers.tell = on_or_off(words[0])?;
                Ok(())
            },
        ),
        one(
            "peers",
            "even-load",
            "on|off",
            "with tell: evens out the load of the caches",
            |told, words| {
                told.peers.even_load = on_or_off(words[0])?;
                Ok(())
            },
        ),
        Entry {
            section: "cells",
            name: "tenant-rate",
            takes: "RATE BURST",
            count: 2..=2,
            many: false,
            says: "requests a second of one tenant, and how many at once",
            set: |told, words| {
                let rate = at(0, values::whole(words[0], 1, 1_000_000))? as f64;
                told.cells.tenant =
                    Some((rate, at(1, values::whole(words[1], 1, 1_000_000))? as f64));
                Ok(())
            },
        },
    ],
);
