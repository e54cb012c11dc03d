//! The directives of the operator's file and what they set. The defaults are those of [`Directives`].

use crate::values::{self, Amount};
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::time::Duration;

/// The contents of an operator's file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Directives {
    pub log: Log,
    /// The path of the control socket; `None`: no control socket.
    pub control: Option<PathBuf>,
    pub store: Store,
    pub cells: Cells,
    pub peers: Peers,
    pub regions: Regions,
}

/// Failover between zones, which the routers of all zones decide in common. Off by default.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Regions {
    /// Exchanges the state of the zones with all routers and follows the common plan.
    pub failover: bool,
    /// Measures the latency to other zones' caches.
    pub measure: bool,
    /// Allows requests to go to other zones' caches when those of their own zone are down.
    pub cross_zone: bool,
    /// The names of the regions, and the zones of each.
    pub regions: Vec<(String, Vec<String>)>,
    /// Zones that are drained and receive no requests.
    pub drained: Vec<String>,
}

/// Gossip among the routers of a zone. Without it, each router decides by its own traffic alone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Peers {
    /// Exchanges observations and in-flight load with the other routers of the zone.
    pub gossip: bool,
    /// Balances the load of the zone's caches together with the peers.
    pub even_load: bool,
}

/// The cache servers of a cell.
#[derive(Clone, Debug, PartialEq)]
pub enum CellMembers {
    List(Vec<String>),
    Share(f64),
    Shuffle(usize),
}

/// The scope of a binding: the requests that belong to a cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Scope {
    Prefix(String),
    Groups(RangeInclusive<u64>),
    Customer(usize),
    Class(String),
}

/// Cells: parts of the fleet, and the requests that are confined to them. Without cells, none are.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Cells {
    pub epoch: u64,
    pub cells: Vec<(String, CellMembers)>,
    pub bindings: Vec<(Scope, String)>,
    /// Moves of bound scopes, each with its target cell.
    pub moves: Vec<(Scope, String)>,
    pub otherwise: Option<String>,
    pub overlap: Option<usize>,
    /// Requests per second of one tenant, and its burst.
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
    /// A filter in the syntax of `RUST_LOG`; `None`: `info`.
    pub level: Option<String>,
}

/// A router's local cache. Off unless memory or disk is given.
#[derive(Clone, Debug, PartialEq)]
pub struct Store {
    /// Size of the memory tier; a share is of `limits.memory_mb`.
    pub memory: Option<Amount>,
    /// The directory of the disk tier, and the maximum size of its segments in bytes.
    pub disk: Option<(PathBuf, u64)>,
    /// Size of a segment file in bytes.
    pub segment: u64,
    /// Memory for the index of the parts on disk.
    pub index: Amount,
    /// Bytes admitted to the disk per second, and per day; `None`: unlimited.
    pub write_rate: Option<u64>,
    pub write_day: Option<u64>,
    /// Copies that stay fresh for less than this are not written to disk.
    pub least_fresh: Duration,
    /// Bytes carried over from reclaimed segments, as a share of the bytes admitted.
    pub carry: f64,
    /// Number of threads that read from the disk.
    pub readers: usize,
    /// Written bytes are synced after this time, or once there are this many.
    pub sync_after: Duration,
    pub sync_bytes: u64,
    /// Discovery's first list names all purges of this period before a start. 0: past purges are
    /// unknown.
    pub known_purges: Duration,
    /// Copies from before a start that are revalidated per second; 0: they are dropped.
    pub revalidate: f64,
    /// Number of parts read ahead on sequential access.
    pub read_ahead: usize,
    /// Bytes per second that are read to detect damage.
    pub scrub: u64,
    /// Background work pauses while the event loop's delay exceeds this.
    pub max_loop_delay: Duration,
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
            max_loop_delay: Duration::from_millis(5),
        }
    }
}

/// Applies the arguments of a directive. A fault has the index of the argument, from 0.
pub type Apply<T> = fn(&mut T, &[&str]) -> Result<(), (usize, String)>;

/// A directive: its section, name, arguments and help text.
pub struct Directive<T: 'static> {
    pub section: &'static str,
    pub name: &'static str,
    /// The usage of the arguments.
    pub usage: &'static str,
    /// The number of arguments.
    pub count: RangeInclusive<usize>,
    /// The directive may be given more than once.
    pub repeatable: bool,
    /// The help text.
    pub help: &'static str,
    pub set: Apply<T>,
}

/// The sections and directives of one kind of file; `T` is the type that they fill.
pub struct Table<T: 'static> {
    sections: &'static [&'static str],
    entries: &'static [Directive<T>],
}

impl<T> Table<T> {
    pub const fn new(
        sections: &'static [&'static str],
        entries: &'static [Directive<T>],
    ) -> Table<T> {
        Table { sections, entries }
    }

    pub fn entries(&self) -> &'static [Directive<T>] {
        self.entries
    }

    pub fn find(&self, section: &str, name: &str) -> Option<&'static Directive<T>> {
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

/// Adds the index of the argument to a fault of its value.
fn at<T>(index: usize, value: Result<T, String>) -> Result<T, (usize, String)> {
    value.map_err(|what| (index, what))
}

fn bytes_within(word: &str, lower: u64, upper: u64) -> Result<u64, (usize, String)> {
    let found = at(0, values::bytes(word))?;
    if (lower..=upper).contains(&found) {
        return Ok(found);
    }
    let display = |n| bytesize::ByteSize(n).to_string();
    Err((
        0,
        format!(
            "{word} is not from {} to {}",
            display(lower),
            display(upper)
        ),
    ))
}

fn on_or_off(word: &str) -> Result<bool, (usize, String)> {
    match word {
        "on" => Ok(true),
        "off" => Ok(false),
        other => Err((0, format!("{other:?} is neither on nor off"))),
    }
}

/// Parses a scope: `prefix ID`, `group FROM-TO`, `customer NUMBER` or `category NAME`.
fn scope(args: &[&str]) -> Result<Scope, (usize, String)> {
    match args[0] {
        "prefix" => Ok(Scope::Prefix(args[1].to_owned())),
        "group" => {
            let (from, to) = args[1].split_once('-').unwrap_or((args[1], args[1]));
            let [from, to] = [from, to].map(|word| at(1, values::integer(word, 0, u64::MAX)));
            Ok(Scope::Groups(from?..=to?))
        }
        "customer" => Ok(Scope::Customer(
            at(1, values::integer(args[1], 0, 1 << 32))? as usize,
        )),
        "category" => Ok(Scope::Class(args[1].to_owned())),
        other => Err((
            0,
            format!("{other:?} is not prefix, group, customer or category"),
        )),
    }
}

const fn directive(
    section: &'static str,
    name: &'static str,
    usage: &'static str,
    help: &'static str,
    set: Apply<Directives>,
) -> Directive<Directives> {
    Directive {
        section,
        name,
        usage,
        count: 1..=1,
        repeatable: false,
        help,
        set,
    }
}

/// The directives of the operator's file.
pub const DIRECTIVES: Table<Directives> = Table::new(
    &["store", "cells", "peers", "regions"],
    &[
        directive(
            "",
            "log-format",
            "text|json",
            "format of log lines",
            |file, args| {
                file.log.format = match args[0] {
                    "text" => LogFormat::Text,
                    "json" => LogFormat::Json,
                    other => return Err((0, format!("{other:?} is neither text nor json"))),
                };
                Ok(())
            },
        ),
        directive(
            "",
            "log-level",
            "LEVEL",
            "log filter, in the syntax of RUST_LOG",
            |file, args| {
                file.log.level = Some(args[0].to_owned());
                Ok(())
            },
        ),
        directive(
            "",
            "control",
            "PATH",
            "a Unix socket for chalkhall's commands, mode 0600",
            |file, args| {
                file.control = Some(PathBuf::from(args[0]));
                Ok(())
            },
        ),
        directive(
            "store",
            "memory",
            "SIZE|SHARE",
            "local cache in memory, within limits.memory_mb",
            |file, args| {
                file.store.memory = Some(at(0, values::amount(args[0]))?);
                Ok(())
            },
        ),
        Directive {
            section: "store",
            name: "disk",
            usage: "DIRECTORY SIZE",
            count: 2..=2,
            repeatable: false,
            help: "local cache on disk: directory and maximum size",
            set: |file, args| {
                let size =
                    bytes_within(args[1], 16 << 20, 1 << 50).map_err(|(_, what)| (1, what))?;
                file.store.disk = Some((PathBuf::from(args[0]), size));
                Ok(())
            },
        },
        directive(
            "store",
            "segment",
            "SIZE",
            "size of a segment file",
            |file, args| {
                file.store.segment = bytes_within(args[0], 1_000_000, 1 << 30)?;
                Ok(())
            },
        ),
        directive(
            "store",
            "index-memory",
            "SIZE|SHARE",
            "memory for the index of the parts on disk",
            |file, args| {
                file.store.index = at(0, values::amount(args[0]))?;
                Ok(())
            },
        ),
        directive(
            "store",
            "write-rate",
            "SIZE",
            "bytes admitted to the disk per second",
            |file, args| {
                file.store.write_rate = Some(bytes_within(args[0], 1 << 10, 1 << 40)?);
                Ok(())
            },
        ),
        directive(
            "store",
            "write-day",
            "SIZE",
            "bytes admitted to the disk per day",
            |file, args| {
                file.store.write_day = Some(bytes_within(args[0], 1 << 20, 1 << 50)?);
                Ok(())
            },
        ),
        directive(
            "store",
            "least-fresh",
            "SPAN",
            "copies fresh for less than this are not written",
            |file, args| {
                file.store.least_fresh = at(0, values::duration(args[0]))?;
                Ok(())
            },
        ),
        directive(
            "store",
            "carry",
            "SHARE",
            "share of admitted bytes carried over from reclaimed segments",
            |file, args| {
                file.store.carry = at(0, values::share(args[0]))?;
                Ok(())
            },
        ),
        directive(
            "store",
            "readers",
            "COUNT",
            "threads that read from the disk",
            |file, args| {
                file.store.readers = at(0, values::integer(args[0], 1, 64))? as usize;
                Ok(())
            },
        ),
        directive(
            "store",
            "sync-after",
            "SPAN",
            "maximum time until a written part is synced",
            |file, args| {
                file.store.sync_after = at(0, values::duration(args[0]))?;
                Ok(())
            },
        ),
        directive(
            "store",
            "sync-bytes",
            "SIZE",
            "maximum number of written bytes not yet synced",
            |file, args| {
                file.store.sync_bytes = bytes_within(args[0], 1, 1 << 40)?;
                Ok(())
            },
        ),
        directive(
            "store",
            "known-purges",
            "SPAN",
            "period of purges in discovery's first list",
            |file, args| {
                file.store.known_purges = at(0, values::duration(args[0]))?;
                Ok(())
            },
        ),
        directive(
            "store",
            "revalidate",
            "COUNT",
            "copies from before a start revalidated per second",
            |file, args| {
                file.store.revalidate = at(0, values::integer(args[0], 0, 100_000))? as f64;
                Ok(())
            },
        ),
        directive(
            "store",
            "read-ahead",
            "COUNT",
            "parts read ahead on sequential access",
            |file, args| {
                file.store.read_ahead = at(0, values::integer(args[0], 0, 64))? as usize;
                Ok(())
            },
        ),
        directive(
            "store",
            "scrub",
            "SIZE",
            "bytes read per second to detect damage",
            |file, args| {
                file.store.scrub = at(0, values::bytes(args[0]))?;
                Ok(())
            },
        ),
        directive(
            "store",
            "yield-over",
            "SPAN",
            "background work pauses above this event-loop delay",
            |file, args| {
                file.store.max_loop_delay = at(0, values::duration(args[0]))?;
                Ok(())
            },
        ),
        directive(
            "cells",
            "epoch",
            "NUMBER",
            "version of the map: a router never returns to an older one",
            |file, args| {
                file.cells.epoch = at(0, values::integer(args[0], 0, u64::MAX))?;
                Ok(())
            },
        ),
        Directive {
            section: "cells",
            name: "cell",
            usage: "NAME list SERVER.. | share SHARE | shuffle COUNT",
            count: 3..=1024,
            repeatable: true,
            help: "a part of the fleet, and its cache servers",
            set: |file, args| {
                let members = match (args[1], &args[2..]) {
                    ("list", servers) => {
                        CellMembers::List(servers.iter().map(|s| (*s).to_owned()).collect())
                    }
                    ("share", [share]) => CellMembers::Share(at(2, values::share(share))?),
                    ("shuffle", [count]) => {
                        CellMembers::Shuffle(at(2, values::integer(count, 1, 10_000))? as usize)
                    }
                    ("share" | "shuffle", _) => return Err((3, "too many arguments".into())),
                    (other, _) => {
                        return Err((1, format!("{other:?} is not list, share or shuffle")));
                    }
                };
                file.cells.cells.push((args[0].to_owned(), members));
                Ok(())
            },
        },
        Directive {
            section: "cells",
            name: "bind",
            usage: "prefix ID | group FROM[-TO] | customer NUMBER | category NAME, then CELL",
            count: 3..=3,
            repeatable: true,
            help: "binds requests to a cell",
            set: |file, args| {
                file.cells.bindings.push((scope(args)?, args[2].to_owned()));
                Ok(())
            },
        },
        Directive {
            section: "cells",
            name: "move",
            usage: "a scope as in bind, then the target CELL",
            count: 3..=3,
            repeatable: true,
            help: "moves bound requests to another cell, as fast as it warms up",
            set: |file, args| {
                file.cells.moves.push((scope(args)?, args[2].to_owned()));
                Ok(())
            },
        },
        directive(
            "cells",
            "otherwise",
            "CELL",
            "cell of all other requests; by default they may go to any server",
            |file, args| {
                file.cells.otherwise = Some(args[0].to_owned());
                Ok(())
            },
        ),
        directive(
            "cells",
            "overlap",
            "COUNT",
            "maximum number of servers that two shuffle cells share",
            |file, args| {
                file.cells.overlap = Some(at(0, values::integer(args[0], 0, 10_000))? as usize);
                Ok(())
            },
        ),
        directive(
            "regions",
            "in-common",
            "on|off",
            "failover between zones by a plan common to all routers",
            |file, args| {
                file.regions.failover = on_or_off(args[0])?;
                Ok(())
            },
        ),
        directive(
            "regions",
            "measure",
            "on|off",
            "with in-common: measures the latency to other zones",
            |file, args| {
                file.regions.measure = on_or_off(args[0])?;
                Ok(())
            },
        ),
        directive(
            "regions",
            "abroad",
            "on|off",
            "with in-common: requests may go to other zones' caches",
            |file, args| {
                file.regions.cross_zone = on_or_off(args[0])?;
                Ok(())
            },
        ),
        Directive {
            section: "regions",
            name: "region",
            usage: "NAME ZONE..",
            count: 2..=64,
            repeatable: true,
            help: "zones that are close to one another",
            set: |file, args| {
                if file.regions.regions.iter().any(|(name, _)| name == args[0]) {
                    return Err((0, format!("region {} is defined twice", args[0])));
                }
                let zones: Vec<String> = args[1..].iter().map(|w| (*w).to_owned()).collect();
                let is_taken =
                    |at: &String| file.regions.regions.iter().any(|(_, all)| all.contains(at));
                if let Some(index) = zones.iter().position(is_taken) {
                    return Err((
                        index + 1,
                        format!("{} is already in a region", args[index + 1]),
                    ));
                }
                file.regions.regions.push((args[0].to_owned(), zones));
                Ok(())
            },
        },
        Directive {
            section: "regions",
            name: "drain",
            usage: "LOCATION",
            count: 1..=1,
            repeatable: true,
            help: "drains a zone, as fast as others can take its load",
            set: |file, args| {
                file.regions.drained.push(args[0].to_owned());
                Ok(())
            },
        },
        directive(
            "peers",
            "tell",
            "on|off",
            "gossip with the other routers of the zone",
            |file, args| {
                file.peers.gossip = on_or_off(args[0])?;
                Ok(())
            },
        ),
        directive(
            "peers",
            "even-load",
            "on|off",
            "with tell: balances the load of the caches",
            |file, args| {
                file.peers.even_load = on_or_off(args[0])?;
                Ok(())
            },
        ),
        Directive {
            section: "cells",
            name: "tenant-rate",
            usage: "RATE BURST",
            count: 2..=2,
            repeatable: false,
            help: "requests per second of one tenant, and its burst",
            set: |file, args| {
                let rate = at(0, values::integer(args[0], 1, 1_000_000))? as f64;
                file.cells.tenant =
                    Some((rate, at(1, values::integer(args[1], 1, 1_000_000))? as f64));
                Ok(())
            },
        },
    ],
);
