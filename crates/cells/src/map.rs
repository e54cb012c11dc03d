//! The cell map: assigns cache servers and requests to cells.
//!
//! Every router computes the same map from the same directives and list of servers, in any order; adding or
//! removing a server reassigns as few others as possible (rendezvous hashing: Thaler and Ravishankar, "Using
//! name-based mappings to increase hit rates", 1998). Shuffle sharding: each cell draws K of N servers, and the
//! overlap of any two cells is bounded (AWS Builders' Library, "Workload isolation using shuffle-sharding").

use chalkhall::interface::{Id, IncomingRequest};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;
use std::rc::Rc;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The index of a cell in the map.
pub type Cell = u32;
/// Maximum numbers of cells and of bindings of a map.
pub const MAX_CELLS: usize = 4096;
pub const MAX_BINDINGS: usize = 65_536;

/// The cache servers of a cell.
#[derive(Clone, Debug, PartialEq)]
pub enum Members {
    /// The servers with these names.
    List(Vec<String>),
    /// A share, from 0 to 1, of the servers that no list names; such cells are disjoint.
    Share(f64),
    /// This number of the servers that no list names, drawn by hash; cells may overlap.
    Shuffle(usize),
}

/// The scope of a binding: the requests that belong to a cell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Objects whose id starts with this prefix.
    Prefix(String),
    Groups(RangeInclusive<u64>),
    Customer(usize),
    /// A class, by its index in the settings.
    Class(usize),
}

impl Scope {
    /// Whether a request is in this scope.
    pub fn covers(&self, arrival: &IncomingRequest) -> bool {
        match self {
            Scope::Prefix(prefix) => arrival.object.starts_with(prefix.as_str()),
            Scope::Groups(range) => range.contains(&arrival.group),
            Scope::Customer(n) => arrival.customer == *n,
            Scope::Class(n) => arrival.class == *n,
        }
    }
}

/// The operator's definition of the cells.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Definition {
    /// The epoch of the map: a router never returns to an older one.
    pub epoch: u64,
    pub cells: Vec<(String, Members)>,
    pub bindings: Vec<(Scope, String)>,
    /// Target cells of moves: they are in use even if nothing is bound to them.
    pub move_targets: Vec<String>,
    /// The cell of requests without a binding; `None`: they belong to no cell and may go to any server.
    pub default_cell: Option<String>,
    /// Maximum number of servers that two shuffle-sharded cells share; `None`: unlimited.
    pub max_overlap: Option<usize>,
}

/// A valid cell map.
#[derive(Clone, Debug)]
pub struct Map {
    definition: Definition,
    prefixes: Vec<(String, Cell)>,
    groups: Vec<(RangeInclusive<u64>, Cell)>,
    customers: BTreeMap<usize, Cell>,
    classes: BTreeMap<usize, Cell>,
    default_cell: Option<Cell>,
    /// The cells of each server. A server in no cell takes no requests that belong to a cell.
    cells_by_server: BTreeMap<Id, Rc<[Cell]>>,
}

impl Map {
    /// Validates a definition.
    ///
    /// # Errors
    /// All faults of the definition.
    pub fn new(definition: Definition) -> Result<Map, Vec<String>> {
        let mut faults = Vec::new();
        if definition.cells.len() > MAX_CELLS || definition.bindings.len() > MAX_BINDINGS {
            faults.push(format!(
                "more than {MAX_CELLS} cells or {MAX_BINDINGS} bindings"
            ));
        }
        let mut cell_numbers: BTreeMap<&str, Cell> = BTreeMap::new();
        for (n, (name, members)) in definition.cells.iter().enumerate() {
            if cell_numbers.insert(name, n as Cell).is_some() {
                faults.push(format!("cell {name} is defined twice"));
            }
            match members {
                Members::List(servers) if servers.is_empty() => {
                    faults.push(format!("cell {name} lists no server"))
                }
                Members::Shuffle(0) => faults.push(format!("cell {name} draws no server")),
                Members::Share(share) if !(*share > 0.0 && *share <= 1.0) => {
                    faults.push(format!("cell {name}: share {share} is not in (0, 1]"));
                }
                _ => {}
            }
        }
        let shares: f64 = definition
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
        let mut used = BTreeSet::new();
        let mut cell = |name: &str, faults: &mut Vec<String>| {
            let found = cell_numbers.get(name).copied();
            match found {
                Some(found) => {
                    used.insert(found);
                }
                None => faults.push(format!("{name} is not a cell")),
            }
            found.unwrap_or(0)
        };
        let (mut prefixes, mut groups) = (Vec::new(), Vec::new());
        let (mut customers, mut classes) = (BTreeMap::new(), BTreeMap::new());
        for (what, name) in &definition.bindings {
            let cell = cell(name, &mut faults);
            let is_invalid = match what {
                Scope::Prefix(prefix) => {
                    let is_invalid = prefixes.iter().any(|(p, _)| p == prefix);
                    prefixes.push((prefix.clone(), cell));
                    is_invalid
                }
                Scope::Groups(range) => {
                    let overlaps = |(r, _): &(RangeInclusive<u64>, Cell)| {
                        r.start() <= range.end() && range.start() <= r.end()
                    };
                    let is_invalid = groups.iter().any(overlaps) || range.is_empty();
                    groups.push((range.clone(), cell));
                    is_invalid
                }
                Scope::Customer(n) => customers.insert(*n, cell).is_some(),
                Scope::Class(n) => classes.insert(*n, cell).is_some(),
            };
            if is_invalid {
                faults.push(format!("{what:?} is bound twice, or is an empty range"));
            }
        }
        for name in &definition.move_targets {
            cell(name, &mut faults);
        }
        let default_cell = definition
            .default_cell
            .as_deref()
            .map(|name| cell(name, &mut faults));
        for (n, (name, _)) in definition.cells.iter().enumerate() {
            if !used.contains(&(n as Cell)) {
                faults.push(format!("nothing belongs to cell {name}"));
            }
        }
        if !faults.is_empty() {
            return Err(faults);
        }
        // The longest matching prefix takes precedence.
        prefixes.sort_by_key(|(prefix, _)| std::cmp::Reverse(prefix.len()));
        Ok(Map {
            definition,
            prefixes,
            groups,
            customers,
            classes,
            default_cell,
            cells_by_server: BTreeMap::new(),
        })
    }

    pub fn epoch(&self) -> u64 {
        self.definition.epoch
    }

    pub fn name(&self, cell: Cell) -> &str {
        self.definition
            .cells
            .get(cell as usize)
            .map_or("", |(name, _)| name)
    }

    pub fn len(&self) -> usize {
        self.definition.cells.len()
    }

    pub fn is_empty(&self) -> bool {
        self.definition.cells.is_empty()
    }

    /// The cell of a request: by the binding of its object, group, customer or class, in this order.
    pub fn cell_of(&self, arrival: &IncomingRequest) -> Option<Cell> {
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
            .or(self.default_cell)
    }

    /// The cell with this name.
    pub fn cell_by_name(&self, name: &str) -> Option<Cell> {
        self.definition
            .cells
            .iter()
            .position(|(n, _)| n == name)
            .map(|n| n as Cell)
    }

    /// The cell to which exactly this scope is bound.
    pub fn cell_of_scope(&self, scope: &Scope) -> Option<Cell> {
        let found = self
            .definition
            .bindings
            .iter()
            .find(|(bound, _)| bound == scope);
        found.and_then(|(_, name)| self.cell_by_name(name))
    }

    /// The cells of a server, in order. A server in no cell takes no requests that belong to a cell.
    pub fn cells_of(&self, server: &Id) -> Rc<[Cell]> {
        self.cells_by_server
            .get(server)
            .cloned()
            .unwrap_or_else(|| Rc::from([]))
    }

    /// Assigns these cache servers to the cells.
    pub fn assign(&mut self, servers: &BTreeSet<Id>) {
        let mut cells: BTreeMap<Id, BTreeSet<Cell>> = servers
            .iter()
            .map(|s| (s.clone(), BTreeSet::new()))
            .collect();
        let numbered_cells = || {
            self.definition
                .cells
                .iter()
                .enumerate()
                .map(|(n, (name, members))| (n as Cell, name, members))
        };
        let mut listed = BTreeSet::new();
        for (cell, _, members) in numbered_cells() {
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
        let shares: Vec<(Cell, &String, f64)> = numbered_cells()
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
            // Each cell has a score weighted by its share; the share that no cell has takes part as well.
            let unassigned = ("", unshared);
            let scores = shares
                .iter()
                .map(|(cell, name, share)| (Some(*cell), score(name, server, *share)));
            let scores = scores.chain([(None, score(unassigned.0, server, unassigned.1))]);
            let best = scores
                .min_by(|a, b| a.1.total_cmp(&b.1))
                .and_then(|(cell, _)| cell);
            if let Some(cell) = best {
                cells.entry((*server).clone()).or_default().insert(cell);
            }
        }
        let mut drawn: Vec<BTreeSet<&Id>> = Vec::new();
        for (cell, name, members) in numbered_cells() {
            let Members::Shuffle(count) = members else {
                continue;
            };
            let mut ranking: Vec<(f64, &Id)> = free
                .iter()
                .map(|server| (score(name, server, 1.0), *server))
                .collect();
            ranking.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(b.1)));
            let mut selected = BTreeSet::new();
            for (_, server) in &ranking {
                let max_overlap = self.definition.max_overlap.unwrap_or(usize::MAX);
                // The server must not push the overlap with an earlier cell past the limit.
                let shared = |other: &BTreeSet<&Id>| {
                    other.intersection(&selected).count() + usize::from(other.contains(server))
                };
                if selected.len() < *count && drawn.iter().all(|other| shared(other) <= max_overlap)
                {
                    selected.insert(*server);
                }
            }
            for server in &selected {
                cells.entry((**server).clone()).or_default().insert(cell);
            }
            drawn.push(selected);
        }
        self.cells_by_server = cells
            .into_iter()
            .map(|(server, cells)| (server, cells.into_iter().collect()))
            .collect();
    }

    /// Faults of the current assignment: cells with too few servers, and servers that receive no requests because
    /// they are in no cell.
    pub fn faults(&self) -> Vec<String> {
        let mut counts = vec![0usize; self.definition.cells.len()];
        let mut unassigned = 0;
        for cells in self.cells_by_server.values() {
            cells.iter().for_each(|cell| counts[*cell as usize] += 1);
            unassigned += usize::from(cells.is_empty());
        }
        let mut faults = Vec::new();
        for ((name, members), count) in self.definition.cells.iter().zip(&counts) {
            let wanted = match members {
                Members::List(names) => names.len(),
                Members::Share(_) => 1,
                Members::Shuffle(wanted) => *wanted,
            };
            if *count < wanted {
                faults.push(format!("cell {name} has {count} of {wanted} servers"));
            }
        }
        if unassigned > 0 && self.default_cell.is_some() {
            faults.push(format!(
                "{unassigned} servers are in no cell and receive no requests: every request belongs to a cell"
            ));
        }
        faults
    }

    /// The name and servers of each cell.
    pub fn report(&self) -> Vec<(&str, Vec<Id>)> {
        let servers = |cell: Cell| {
            let of_it = self
                .cells_by_server
                .iter()
                .filter(|(_, cells)| cells.contains(&cell));
            of_it.map(|(server, _)| server.clone()).collect()
        };
        self.definition
            .cells
            .iter()
            .enumerate()
            .map(|(n, (name, _))| (name.as_str(), servers(n as Cell)))
            .collect()
    }
}

/// The score of a cell for a server: the cell with the lowest score takes it, in proportion to its weight.
fn score(cell: &str, server: &Id, weight: f64) -> f64 {
    let hash = xxh3_64_with_seed(server.as_bytes(), xxh3_64(cell.as_bytes()));
    if weight <= 1e-12 {
        return f64::INFINITY;
    }
    -((hash as f64 + 1.0) / 2f64.powi(64)).ln() / weight
}

#[cfg(test)]
mod tests;
