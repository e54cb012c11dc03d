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
            faults.push(format!("more than {CELLS_MOST} cells or {BINDINGS_MOST} bindings"));
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
        let shares: f64 =
            told.cells.iter().map(|(_, m)| if let Members::Share(s) = m { *s } else { 0.0 }).sum();
        if shares > 1.0 + 1e-9 {
            faults.push(format!("the cells' shares add up to {:.0} %", shares * 100.0));
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
        let otherwise = told.otherwise.as_deref().map(|name| cell(name, &mut faults));
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
        Ok(Map { told, prefixes, groups, customers, classes, otherwise, placed: BTreeMap::new() })
    }

    pub fn epoch(&self) -> u64 {
        self.told.epoch
    }

    pub fn name(&self, cell: Cell) -> &str {
        self.told.cells.get(cell as usize).map_or("", |(name, _)| name)
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
        let by_object = self.prefixes.iter().find(|(prefix, _)| arrival.object.starts_with(prefix.as_str()));
        let by_group =
            || self.groups.iter().find(|(range, _)| range.contains(&arrival.group)).map(|(_, cell)| *cell);
        by_object
            .map(|(_, cell)| *cell)
            .or_else(by_group)
            .or_else(|| self.customers.get(&arrival.customer).copied())
            .or_else(|| self.classes.get(&arrival.class).copied())
            .or(self.otherwise)
    }

    /// The cell of this name, and the one to which just this is bound.
    pub fn named(&self, name: &str) -> Option<Cell> {
        self.told.cells.iter().position(|(n, _)| n == name).map(|n| n as Cell)
    }

    pub fn bound(&self, what: &What) -> Option<Cell> {
        let found = self.told.bindings.iter().find(|(bound, _)| bound == what);
        found.and_then(|(_, name)| self.named(name))
    }

    /// The cells of a server, in order; none that it is in, and it takes nothing that belongs to a cell.
    pub fn cells_of(&self, server: &Id) -> Rc<[Cell]> {
        self.placed.get(server).cloned().unwrap_or_else(|| Rc::from([]))
    }

    /// Draws the map over these cache servers. Their order tells nothing.
    pub fn place(&mut self, servers: &BTreeSet<Id>) {
        let mut cells: BTreeMap<Id, BTreeSet<Cell>> =
            servers.iter().map(|s| (s.clone(), BTreeSet::new())).collect();
        let numbered =
            || self.told.cells.iter().enumerate().map(|(n, (name, members))| (n as Cell, name, members));
        let mut listed = BTreeSet::new();
        for (cell, _, members) in numbered() {
            let Members::List(names) = members else { continue };
            for server in servers.iter().filter(|s| names.iter().any(|name| **name == ***s)) {
                listed.insert(server.clone());
                cells.entry(server.clone()).or_default().insert(cell);
            }
        }
        let free: Vec<&Id> = servers.iter().filter(|s| !listed.contains(*s)).collect();
        let shares: Vec<(Cell, &String, f64)> = numbered()
            .filter_map(
                |(cell, name, members)| {
                    if let Members::Share(s) = members { Some((cell, name, *s)) } else { None }
                },
            )
            .collect();
        let unshared = 1.0 - shares.iter().map(|(_, _, share)| share).sum::<f64>();
        for server in &free {
            // Each cell draws a number for the server in proportion to its share; what no cell has draws too.
            let none = ("", unshared);
            let draws = shares.iter().map(|(cell, name, share)| (Some(*cell), draw(name, server, *share)));
            let draws = draws.chain([(None, draw(none.0, server, none.1))]);
            let best = draws.min_by(|a, b| a.1.total_cmp(&b.1)).and_then(|(cell, _)| cell);
            if let Some(cell) = best {
                cells.entry((*server).clone()).or_default().insert(cell);
            }
        }
        let mut drawn: Vec<BTreeSet<&Id>> = Vec::new();
        for (cell, name, members) in numbered() {
            let Members::Shuffle(count) = members else { continue };
            let mut row: Vec<(f64, &Id)> =
                free.iter().map(|server| (draw(name, server, 1.0), *server)).collect();
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
        self.placed =
            cells.into_iter().map(|(server, cells)| (server, cells.into_iter().collect())).collect();
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
            faults.push(format!("{nowhere} servers are in no cell, and every request belongs to one"));
        }
        faults
    }

    /// Of each cell: its name and servers.
    pub fn report(&self) -> Vec<(&str, Vec<Id>)> {
        let servers = |cell: Cell| {
            let of_it = self.placed.iter().filter(|(_, cells)| cells.contains(&cell));
            of_it.map(|(server, _)| server.clone()).collect()
        };
        self.told.cells.iter().enumerate().map(|(n, (name, _))| (name.as_str(), servers(n as Cell))).collect()
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
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn servers(range: std::ops::Range<u32>) -> BTreeSet<Id> {
        range.map(|n| Id::from(format!("s-{n:04}"))).collect()
    }

    fn told(cells: Vec<(&str, Members)>) -> Told {
        let bindings = cells.iter().enumerate().map(|(n, (name, _))| (What::Customer(n), (*name).to_owned()));
        Told {
            bindings: bindings.collect(),
            cells: cells.into_iter().map(|(name, members)| (name.to_owned(), members)).collect(),
            ..Told::default()
        }
    }

    #[test]
    fn an_request_belongs_by_what_says_most_of_it() {
        let cells = ["a", "b", "c", "d", "e"].map(|name| (name.to_owned(), Members::Shuffle(1)));
        let bind = |what, name: &str| (what, name.to_owned());
        let bindings = vec![
            bind(What::Prefix("7f".into()), "a"),
            bind(What::Prefix("7f3a".into()), "b"),
            bind(What::Groups(3..=5), "c"),
            bind(What::Customer(2), "d"),
            bind(What::Class(1), "e"),
        ];
        let otherwise = Some("a".to_owned());
        let map = Map::new(Told { cells: cells.to_vec(), bindings, otherwise, ..Told::default() }).unwrap();
        let cell = |object: &str, group, customer, class| {
            let arrival = Arrival { object: object.into(), group, customer, class, ..Arrival::default() };
            map.cell_of(&arrival).map(|cell| map.name(cell).to_owned()).unwrap()
        };
        assert_eq!(cell("7f3a00", 4, 2, 1), "b");
        assert_eq!(cell("7f0000", 4, 2, 1), "a");
        assert_eq!(cell("000000", 4, 2, 1), "c");
        assert_eq!(cell("000000", 6, 2, 1), "d");
        assert_eq!(cell("000000", 6, 3, 1), "e");
        assert_eq!(cell("000000", 6, 3, 0), "a");
    }

    #[test]
    fn every_fault_is_told_at_once() {
        let mut told = told(vec![
            ("a", Members::List(vec![])),
            ("a", Members::Share(0.7)),
            ("b", Members::Share(0.7)),
            ("c", Members::Shuffle(0)),
        ]);
        told.bindings = vec![(What::Groups(1..=9), "a".into()), (What::Groups(9..=9), "nowhere".into())];
        let faults = Map::new(told).unwrap_err().join("\n");
        for part in [
            "cell a is told twice",
            "cell a lists no server",
            "cell c draws no server",
            "add up to 140 %",
            "nowhere is not a cell",
            "is bound twice",
            "nothing belongs to cell c",
        ] {
            assert!(faults.contains(part), "{part} in {faults}");
        }
    }

    #[test]
    fn shares_are_kept_and_a_server_that_goes_moves_no_other() {
        let mut map = Map::new(told(vec![("a", Members::Share(0.25)), ("b", Members::Share(0.5))])).unwrap();
        let all = servers(0..2000);
        map.place(&all);
        let before = map.report();
        let (a, b) = (before[0].1.len(), before[1].1.len());
        assert!((420..580).contains(&a) && (900..1100).contains(&b), "{a} {b}");
        let placed = map.placed.clone();
        map.place(&servers(1..2000));
        assert!(map.placed.iter().all(|(server, cells)| placed[server] == *cells));
    }

    #[test]
    fn a_cell_that_is_left_with_too_few_is_told() {
        let list = Members::List(vec!["s-0001".into(), "gone".into()]);
        let mut map = Map::new(told(vec![("a", list), ("b", Members::Shuffle(30))])).unwrap();
        map.place(&servers(0..10));
        assert_eq!(map.faults(), ["cell a has 1 of 2 servers", "cell b has 9 of 30 servers"]);
        assert_eq!(*map.cells_of(&"s-0001".into()), [0], "a listed server is drawn by no other cell");
    }

    proptest! {
        /// All routers draw the same, whatever they heard first; no two drawn cells share more than the
        /// bound.
        #[test]
        fn drawn_cells_overlap_within_the_bound(
            count in 8u32..60,
            cells in 1usize..12,
            k in 1usize..5,
            overlap in 0usize..3,
        ) {
            let names: Vec<String> = (0..cells).map(|n| format!("cell-{n}")).collect();
            let drawn = names.iter().map(|n| (n.as_str(), Members::Shuffle(k))).collect();
            let told = Told { overlap: Some(overlap), ..told(drawn) };
            let mut map = Map::new(told).unwrap();
            map.place(&servers(0..count));
            let report = map.report().into_iter();
            let report: Vec<BTreeSet<Id>> = report.map(|(_, s)| s.into_iter().collect()).collect();
            for (n, one) in report.iter().enumerate() {
                prop_assert!(one.len() <= k);
                prop_assert!(report[..n].iter().all(|other| one.intersection(other).count() <= overlap));
            }
            let mut again = map.clone();
            again.place(&servers(0..count));
            prop_assert_eq!(map.report(), again.report());
        }
    }
}
