//! Cells as the decider uses them: the map drawn over the list, a request's cell, a tenant's limit at the
//! door.

use chalkhall::interface::{Arrival, Id, Member, Outcome, Remark, Standing, Tier};
use chalkhall_cells::limits::{Allowed, Tenants, Verdict, tenant};
use chalkhall_cells::map::{Cell, Map, Members, Told, What};
use chalkhall_cells::moves::Move;
use chalkhall_config::{Bound, CellMembers, Cells as Wishes};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

pub struct CellRouting {
    map: Map,
    moves: Vec<(What, Move)>,
    /// What is in flight, or remembered of it, has ended after this long.
    settle: Duration,
    members: BTreeMap<Id, Member>,
    tenants: Option<Tenants>,
    /// Tenants are the settings' customers, or groups of objects where they name none.
    by_customer: bool,
    zone: usize,
}

/// A map, and what is on its way within it: from where it is bound to another cell.
#[derive(Debug)]
pub struct Plan {
    pub map: Map,
    moves: Vec<(What, Cell, Cell)>,
}

impl Plan {
    pub fn epoch(&self) -> u64 {
        self.map.epoch()
    }
}

/// Reads what is told of cells, by the settings' names of classes.
///
/// # Errors
/// Every fault of it.
pub fn plan(wishes: &Wishes, classes: &[String]) -> Result<Plan, String> {
    let mut faults = Vec::new();
    let mut what = |bound: &Bound| match bound {
        Bound::Prefix(prefix) => What::Prefix(prefix.clone()),
        Bound::Groups(range) => What::Groups(range.clone()),
        Bound::Customer(n) => What::Customer(*n),
        Bound::Class(name) => {
            let found = classes.iter().position(|c| c == name);
            if found.is_none() {
                faults.push(format!("{name} is not a category"));
            }
            What::Class(found.unwrap_or(usize::MAX))
        }
    };
    let bindings = wishes
        .bindings
        .iter()
        .map(|(bound, cell)| (what(bound), cell.clone()))
        .collect();
    let moves: Vec<(What, &String)> = wishes
        .moves
        .iter()
        .map(|(bound, cell)| (what(bound), cell))
        .collect();
    let cells = wishes.cells.iter().map(|(name, members)| {
        let members = match members {
            CellMembers::List(names) => Members::List(names.clone()),
            CellMembers::Share(share) => Members::Share(*share),
            CellMembers::Shuffle(count) => Members::Shuffle(*count),
        };
        (name.clone(), members)
    });
    let (otherwise, overlap) = (wishes.otherwise.clone(), wishes.overlap);
    // What moves to a cell belongs to it as well.
    let arriving: Vec<String> = moves.iter().map(|(_, cell)| (*cell).clone()).collect();
    let told = Told {
        epoch: wishes.epoch,
        cells: cells.collect(),
        bindings,
        arriving,
        otherwise,
        overlap,
    };
    let map = match Map::new(told) {
        Ok(map) => map,
        Err(more) => {
            faults.extend(more);
            return Err(faults.join("; "));
        }
    };
    let mut found = Vec::new();
    for (what, cell) in moves {
        match (map.bound(&what), map.named(cell)) {
            (Some(from), Some(to)) if from != to => found.push((what, from, to)),
            (None, _) => faults.push(format!("{what:?} moves, and is not bound anywhere")),
            _ => faults.push(format!("{what:?} moves to where it is")),
        }
    }
    if faults.is_empty() {
        Ok(Plan { map, moves: found })
    } else {
        Err(faults.join("; "))
    }
}

impl CellRouting {
    /// None: there are neither cells nor limits.
    ///
    /// # Errors
    /// The map makes no sense, and why.
    pub fn new(
        wishes: &Wishes,
        classes: &[String],
        zone: usize,
        by_customer: bool,
        settle: Duration,
        seed: u64,
    ) -> Result<Option<CellRouting>, String> {
        if wishes.cells.is_empty() && wishes.tenant.is_none() {
            return Ok(None);
        }
        let Plan { map, moves } = plan(wishes, classes).map_err(|what| format!("cells: {what}"))?;
        let tenants = wishes
            .tenant
            .map(|(rate, burst)| Tenants::new(Allowed::at(rate, burst), seed));
        log::info!(cells = map.len(), epoch = map.epoch(), tenants_limited = tenants.is_some(); "cells");
        let moves = moves
            .into_iter()
            .map(|(what, from, to)| (what, Move::new(from, to, settle)))
            .collect();
        let members = BTreeMap::new();
        Ok(Some(CellRouting {
            map,
            moves,
            settle,
            members,
            tenants,
            by_customer,
            zone,
        }))
    }

    /// Takes over another map; a move that both tell goes on from where it stands. None: it is older than the
    /// one in force.
    pub fn replace_map(&mut self, now: Duration, plan: Plan) -> Option<Vec<Member>> {
        if plan.epoch() < self.map.epoch() {
            return None;
        }
        let (before, settle) = (std::mem::take(&mut self.moves), self.settle);
        let names = |map: &Map, moved: &Move| {
            (
                map.name(moved.from).to_owned(),
                map.name(moved.to).to_owned(),
            )
        };
        let mut before: Vec<(What, (String, String), Move)> = before
            .into_iter()
            .map(|(what, moved)| (what, names(&self.map, &moved), moved))
            .collect();
        for (what, from, to) in plan.moves {
            let same = |(w, ends, _): &(What, (String, String), Move)| {
                *w == what
                    && *ends == (plan.map.name(from).to_owned(), plan.map.name(to).to_owned())
            };
            let known = before
                .iter()
                .position(same)
                .map(|at| before.swap_remove(at).2);
            let mut moved = known.unwrap_or_else(|| Move::new(from, to, settle));
            (moved.from, moved.to) = (from, to);
            self.moves.push((what, moved));
        }
        self.map = plan.map;
        Some(self.draw(now))
    }

    pub fn epoch(&self) -> u64 {
        self.map.epoch()
    }

    /// Changes of the list: returned with their cells, and with whoever else is in others now.
    pub fn update_members(
        &mut self,
        now: Duration,
        whole: bool,
        members: Vec<Member>,
    ) -> Vec<Member> {
        if whole {
            self.members.clear();
        }
        let told: BTreeSet<Id> = members.iter().map(|member| member.server.clone()).collect();
        for member in members {
            self.members.insert(member.server.clone(), member);
        }
        let moved: BTreeSet<Id> = self
            .draw(now)
            .into_iter()
            .map(|member| member.server)
            .collect();
        let known = self
            .members
            .values()
            .filter(|m| whole || told.contains(&m.server) || moved.contains(&m.server));
        let out = known.cloned().collect();
        self.members
            .retain(|_, member| member.standing != Standing::Gone);
        out
    }

    /// Draws the map over the caches of this zone; who is in other cells now.
    fn draw(&mut self, now: Duration) -> Vec<Member> {
        let here = |m: &&Member| {
            m.tier == Tier::Cache && m.zone == self.zone && m.standing != Standing::Gone
        };
        let servers = self
            .members
            .values()
            .filter(here)
            .map(|m| m.server.clone())
            .collect();
        self.map.place(&servers);
        let mut moved = Vec::new();
        for member in self.members.values_mut() {
            let cells = self.map.cells_of(&member.server);
            if cells != member.cells {
                member.cells = cells;
                moved.push(member.clone());
            }
        }
        for fault in self.map.faults() {
            log::warn!(epoch = self.map.epoch(); "cells: {fault}");
        }
        let active = |m: &&Member| m.tier == Tier::Cache && m.standing == Standing::Active;
        let alive: BTreeSet<Cell> = self
            .members
            .values()
            .filter(active)
            .flat_map(|m| m.cells.iter().copied())
            .collect();
        for at in 0..self.moves.len() {
            let (from, to) = (self.moves[at].1.from, self.moves[at].1.to);
            self.step(at, |moved| {
                moved.alive(now, alive.contains(&from), alive.contains(&to))
            });
        }
        moved
    }

    /// One step of a move; told of where it leads to another state.
    fn step(&mut self, at: usize, step: impl FnOnce(&mut Move)) {
        let (what, moved) = &mut self.moves[at];
        let (before, share) = (moved.state(), moved.share());
        step(moved);
        let (state, after) = (moved.state(), moved.share());
        if (before, share) != (state, after) {
            let (from, to) = (self.map.name(moved.from), self.map.name(moved.to));
            log::info!(from = from, to = to, share = after; "cells: move of {what:?} is {state:?}");
        }
    }

    /// An attempt at a server ended: the moves that it belongs to go by it.
    pub fn record_attempt(
        &mut self,
        now: Duration,
        arrival: &Arrival,
        outcome: Outcome,
        remark: Remark,
    ) {
        let Some(cell) = arrival.cell.filter(|_| !self.moves.is_empty()) else {
            return;
        };
        for at in 0..self.moves.len() {
            if self.moves[at].0.covers(arrival) {
                self.step(at, |moved| {
                    moved.ended(now, cell, outcome, remark);
                    moved.tick(now);
                });
            }
        }
    }

    /// The map in force and where its moves stand, for operators.
    pub fn report(&self) -> Value {
        let servers = |of: Vec<Id>| of.iter().map(|s| s.to_string()).collect::<Vec<_>>();
        let cells = self.map.report().into_iter();
        let cells = cells.map(|(name, of)| json!({"cell": name, "servers": servers(of)}));
        let moves = self.moves.iter().map(|(what, moved)| {
            let (from, to) = (self.map.name(moved.from), self.map.name(moved.to));
            let (what, state) = (format!("{what:?}"), format!("{:?}", moved.state()));
            json!({"what": what, "from": from, "to": to, "state": state, "share": moved.share()})
        });
        let (cells, moves) = (cells.collect::<Vec<_>>(), moves.collect::<Vec<_>>());
        json!({"epoch": self.map.epoch(), "cells": cells, "moves": moves})
    }

    /// A request comes: its cell is set. Err: its tenant asks for too much, and may come back after so long.
    pub fn assign_cell(
        &mut self,
        now: Duration,
        arrival: &mut Arrival,
        once: bool,
    ) -> Result<(), Duration> {
        arrival.cell = self.map.cell_of(arrival);
        let moved = self
            .moves
            .iter()
            .find(|(what, moved)| arrival.cell == Some(moved.from) && what.covers(arrival));
        if let Some((_, moved)) = moved {
            arrival.cell = Some(moved.cell(xxh3_64(arrival.object.as_bytes())));
        }
        let tenant = tenant(arrival, self.by_customer);
        // What must not run twice is the last to be turned away: no tenant's rate does it.
        match self
            .tenants
            .as_mut()
            .filter(|_| !once)
            .map(|t| t.request(now, &tenant, arrival.repeated))
        {
            Some(Verdict::Late(wait)) => Err(wait),
            _ => Ok(()),
        }
    }

    pub fn record_served(&mut self, now: Duration, arrival: &Arrival) {
        let tenant = tenant(arrival, self.by_customer);
        self.tenants
            .iter_mut()
            .for_each(|tenants| tenants.served(now, &tenant));
    }
}
