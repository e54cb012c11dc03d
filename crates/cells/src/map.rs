//! The cell map: which cache servers are in which cells, and which cell a request belongs to.
//!
//! Every router draws the same map from the same directives and the same list of servers, whatever the order
//! in which it heard of them; a server that comes or goes moves as few others as can be (rendezvous hashing:
//! Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998). Shuffle sharding: each
//! cell draws K of N, and no two share more than a bound (AWS Builders' Library, "Workload isolation using
//! shuffle-sharding").

use chalkhall::interface::{Arrival, Id};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;
use std::rc::Rc;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// A cell, by its place in the map.
pub type Cell = u32;
/// No map has more cells or bindings.
pub const CELLS_MOST: usize = 4096;
pub const BINDINGS_MOST: usize = 65_536;

/// Which cache servers a cell has.
#[derive(Clone, Debug, PartialEq)]
pub enum Members {
    /// Those of these names.
    List(Vec<String>),
    /// A share of those that no list names, from 0 to 1; no two such cells share a server.
    Share(f64),
    /// So many of those that no list names, drawn for this cell.
    Shuffle(usize),
}

/// What belongs to a cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum What {
    /// Objects whose id begins so.
    Prefix(String),
    Groups(RangeInclusive<u64>),
    Customer(usize),
    /// A class by its place in the settings.
    Class(usize),
}

impl What {
    /// A request is of this.
    pub fn covers(&self, arrival: &Arrival) -> bool {
        match self {
            What::Prefix(prefix) => arrival.object.starts_with(prefix.as_str()),
            What::Groups(range) => range.contains(&arrival.group),
            What::Customer(n) => arrival.customer == *n,
            What::Class(n) => arrival.class == *n,
        }
    }
}

/// What an operator says of cells.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Told {
    /// A router never goes back to an older one.
    pub epoch: u64,
    pub cells: Vec<(String, Members)>,
    pub bindings: Vec<(What, String)>,
    /// Cells to which something is on its way: they belong to somebody too.
    pub arriving: Vec<String>,
    /// Where all else belongs; none: to no cell, and to all servers.
    pub otherwise: Option<String>,
    /// Servers that two drawn cells may share at the most; none: no bound.
    pub overlap: Option<usize>,
}

/// A map that makes sense.
#[derive(Clone, Debug)]
pub struct Map {
    told: Told,
    prefixes: Vec<(String, Cell)>,
    groups: Vec<(RangeInclusive<u64>, Cell)>,
    customers: BTreeMap<usize, Cell>,
    classes: BTreeMap<usize, Cell>,
    otherwise: Option<Cell>,
    /// By server; those in no cell take nothing that belongs to one.
    placed: BTreeMap<Id, Rc<[Cell]>>,
}

impl Map {
    /// Checks what was told, whole.
    ///
    /// # Errors
    /// Every fault of it.
    pub fn new(told: Told) -> Result<Map, Vec<String>> {
        let mut faults = Vec::new();
        if told.cells.len() > CELLS_MOST || told.bindings.len() > BINDINGS_MOST {
            faults.push(format!(
                "more than {CELLS_MOST} cells or {BINDINGS_MOST} bindings"
            ));
        }
        let mut numbers: BTreeMap<&str, Cell> = BTreeMap::new();
        for (n, (name, members)) in told.cells.iter().enumerate() {
            if numbers.insert(name, n as Cell).is_some() {
                faults.push(format!("cell {name} is told twice"));
            }
            match members {
                Members::List(servers) if servers.is_empty() => {
                    faults.push(format!("cell {name} lists no server"))
                }
                Members::Shuffle(0) => faults.push(format!("cell {name} draws no server")),
                Members::Share(share) if !(*share > 0.0 && *share <= 1.0) => {
                    faults.push(format!("cell {name}: a share of {share} is none"));
                }
                _ => {}
            }
        }
        let shares: f64 = told
            .cells
            .iter()
            .map(|(_, m)| if let Members::Share(s) = m { *s } else { 0.0 })
            .sum();
        if shares > 1.0 + 1e-9 {
            faults.push(format!(
                "the cells' shares add up to {:.0} %",
                shares * 100.0
            ));
        }
        let mut bound = BTreeSet::new();
        let mut cell = |name: &str, faults: &mut Vec<String>| {
            let found = numbers.get(name).copied();
            match found {
                Some(found) => {
                    bound.insert(found);
                }
                None => faults.push(format!("{name} is not a cell")),
            }
            found.unwrap_or(0)
        };
        let (mut prefixes, mut groups) = (Vec::new(), Vec::new());
        let (mut customers, mut classes) = (BTreeMap::new(), BTreeMap::new());
        for (what, name) in &told.bindings {
            let cell = cell(name, &mut faults);
            let twice = match what {
                What::Prefix(prefix) => {
                    let twice = prefixes.iter().any(|(p, _)| p == prefix);
                    prefixes.push((prefix.clone(), cell));
                    twice
                }
                What::Groups(range) => {
                    let meets = |(r, _): &(RangeInclusive<u64>, Cell)| {
                        r.start() <= range.end() && range.start() <= r.end()
                    };
                    let twice = groups.iter().any(meets) || range.is_empty();
                    groups.push((range.clone(), cell));
                    twice
                }
                What::Customer(n) => customers.insert(*n, cell).is_some(),
                What::Class(n) => classes.insert(*n, cell).is_some(),
            };
            if twice {
                faults.push(format!("{what:?} is bound twice, or to nothing"));
            }
        }
        for name in &told.arriving {
            cell(name, &mut faults);
        }
        let otherwise = told
            .otherwise
            .as_deref()
            .map(|name| cell(name, &mut faults));
        for (n, (name, _)) in told.cells.iter().enumerate() {
            if !bound.contains(&(n as Cell)) {
                faults.push(format!("nothing belongs to cell {name}"));
            }
        }
        if !faults.is_empty() {
            return Err(faults);
        }
        // The longest prefix says most.
        prefixes.sort_by_key(|(prefix, _)| std::cmp::Reverse(prefix.len()));
        Ok(Map {
            told,
            prefixes,
            groups,
            customers,
            classes,
            otherwise,
            placed: BTreeMap::new(),
        })
    }

    pub fn epoch(&self) -> u64 {
        self.told.epoch
    }

    pub fn name(&self, cell: Cell) -> &str {
        self.told
            .cells
            .get(cell as usize)
            .map_or("", |(name, _)| name)
    }

    pub fn len(&self) -> usize {
        self.told.cells.len()
    }

    pub fn is_empty(&self) -> bool {
        self.told.cells.is_empty()
    }

    /// The cell that a request belongs to: by its object, its group, its customer, its class, in this
    /// order.
    pub fn cell_of(&self, arrival: &Arrival) -> Option<Cell> {
        let by_object = self
            .prefixes
            .iter()
            .find(|(prefix, _)| arrival.object.starts_with(prefix.as_str()));
        let by_group = || {
            self.groups
                .iter()
                .find(|(range, _)| range.contains(&arrival.group))
                .map(|(_, cell)| *cell)
        };
        by_object
            .map(|(_, cell)| *cell)
            .or_else(by_group)
            .or_else(|| self.customers.get(&arrival.customer).copied())
            .or_else(|| self.classes.get(&arrival.class).copied())
            .or(self.otherwise)
    }

    /// The cell of this name, and the one to which just this is bound.
    pub fn named(&self, name: &str) -> Option<Cell> {
        self.told
            .cells
            .iter()
            .position(|(n, _)| n == name)
            .map(|n| n as Cell)
    }

    pub fn bound(&self, what: &What) -> Option<Cell> {
        let found = self.told.bindings.iter().find(|(bound, _)| bound == what);
        found.and_then(|(_, name)| self.named(name))
    }

    /// The cells of a server, in order; none that it is in, and it takes nothing that belongs to a cell.
    pub fn cells_of(&self, server: &Id) -> Rc<[Cell]> {
        self.placed
            .get(server)
            .cloned()
            .unwrap_or_else(|| Rc::from([]))
    }

    /// Draws the map over these cache servers. Their order tells nothing.
    pub fn place(&mut self, servers: &BTreeSet<Id>) {
        let mut cells: BTreeMap<Id, BTreeSet<Cell>> = servers
            .iter()
            .map(|s| (s.clone(), BTreeSet::new()))
            .collect();
        let numbered = || {
            self.told
                .cells
                .iter()
                .enumerate()
                .map(|(n, (name, members))| (n as Cell, name, members))
        };
        let mut listed = BTreeSet::new();
        for (cell, _, members) in numbered() {
            let Members::List(names) = members else {
                continue;
            };
            for server in servers
                .iter()
                .filter(|s| names.iter().any(|name| **name == ***s))
            {
                listed.insert(server.clone());
                cells.entry(server.clone()).or_default().insert(cell);
            }
        }
        let free: Vec<&Id> = servers.iter().filter(|s| !listed.contains(*s)).collect();
        let shares: Vec<(Cell, &String, f64)> = numbered()
            .filter_map(|(cell, name, members)| {
                if let Members::Share(s) = members {
                    Some((cell, name, *s))
                } else {
                    None
                }
            })
            .collect();
        let unshared = 1.0 - shares.iter().map(|(_, _, share)| share).sum::<f64>();
        for server in &free {
            // Each cell draws a number for the server in proportion to its share; what no cell has draws too.
            let none = ("", unshared);
            let draws = shares
                .iter()
                .map(|(cell, name, share)| (Some(*cell), draw(name, server, *share)));
            let draws = draws.chain([(None, draw(none.0, server, none.1))]);
            let best = draws
                .min_by(|a, b| a.1.total_cmp(&b.1))
                .and_then(|(cell, _)| cell);
            if let Some(cell) = best {
                cells.entry((*server).clone()).or_default().insert(cell);
            }
        }
        let mut drawn: Vec<BTreeSet<&Id>> = Vec::new();
        for (cell, name, members) in numbered() {
            let Members::Shuffle(count) = members else {
                continue;
            };
            let mut row: Vec<(f64, &Id)> = free
                .iter()
                .map(|server| (draw(name, server, 1.0), *server))
                .collect();
            row.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(b.1)));
            let mut picked = BTreeSet::new();
            for (_, server) in &row {
                let bound = self.told.overlap.unwrap_or(usize::MAX);
                // One server more must not bring it past the bound with any cell drawn before.
                let shared = |other: &BTreeSet<&Id>| {
                    other.intersection(&picked).count() + usize::from(other.contains(server))
                };
                if picked.len() < *count && drawn.iter().all(|other| shared(other) <= bound) {
                    picked.insert(*server);
                }
            }
            for server in &picked {
                cells.entry((**server).clone()).or_default().insert(cell);
            }
            drawn.push(picked);
        }
        self.placed = cells
            .into_iter()
            .map(|(server, cells)| (server, cells.into_iter().collect()))
            .collect();
    }

    /// What an operator should know of the map as it is drawn: cells with too few servers, and servers in
    /// none.
    pub fn faults(&self) -> Vec<String> {
        let mut counts = vec![0usize; self.told.cells.len()];
        let mut nowhere = 0;
        for cells in self.placed.values() {
            cells.iter().for_each(|cell| counts[*cell as usize] += 1);
            nowhere += usize::from(cells.is_empty());
        }
        let mut faults = Vec::new();
        for ((name, members), count) in self.told.cells.iter().zip(&counts) {
            let wanted = match members {
                Members::List(names) => names.len(),
                Members::Share(_) => 1,
                Members::Shuffle(wanted) => *wanted,
            };
            if *count < wanted {
                faults.push(format!("cell {name} has {count} of {wanted} servers"));
            }
        }
        if nowhere > 0 && self.otherwise.is_some() {
            faults.push(format!(
                "{nowhere} servers are in no cell, and every request belongs to one"
            ));
        }
        faults
    }

    /// Of each cell: its name and servers.
    pub fn report(&self) -> Vec<(&str, Vec<Id>)> {
        let servers = |cell: Cell| {
            let of_it = self
                .placed
                .iter()
                .filter(|(_, cells)| cells.contains(&cell));
            of_it.map(|(server, _)| server.clone()).collect()
        };
        self.told
            .cells
            .iter()
            .enumerate()
            .map(|(n, (name, _))| (name.as_str(), servers(n as Cell)))
            .collect()
    }
}

/// A number for a cell and a server, smaller the greater the weight: the least of all has it.
fn draw(cell: &str, server: &Id, weight: f64) -> f64 {
    let hash = xxh3_64_with_seed(server.as_bytes(), xxh3_64(cell.as_bytes()));
    if weight <= 1e-12 {
        return f64::INFINITY;
    }
    -((hash as f64 + 1.0) / 2f64.powi(64)).ln() / weight
}

#[cfg(test)]
mod tests;
