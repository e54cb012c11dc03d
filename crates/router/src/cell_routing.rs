//! Cells as the decider uses them: the map applied to the list of servers, a request's cell, and
//! the limits of tenants at admission.

use chalkhall::interface::{Arrival, Id, Member, Outcome, Remark, Standing, Tier};
use chalkhall_cells::limits::{Allowed, Tenants, Verdict, tenant};
use chalkhall_cells::map::{Cell, Map, Members, Told, What};
use chalkhall_cells::moves::Move;
use chalkhall_config::{Bound, CellMembers, Cells as Settings};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

/// Sets the cells of servers and of requests.
pub struct CellRouting {
    map: Map,
    moves: Vec<ActiveMove>,
    /// Requests in flight, and what is remembered of them, have ended after this long.
    settle: Duration,
    /// The listed servers.
    members: BTreeMap<Id, Member>,
    /// The limits of tenants, where there are any.
    tenants: Option<Tenants>,
    /// Tenants are the settings' customers, or groups of objects where they name none.
    by_customer: bool,
    zone: usize,
}

/// A move that is under way.
struct ActiveMove {
    /// What moves.
    scope: What,
    state: Move,
}

/// A move as the operator's file has it.
#[derive(Debug)]
struct PlannedMove {
    /// What moves.
    scope: What,
    from: Cell,
    to: Cell,
}

/// A map of cells, and the moves within it: of something that is bound to one cell, to another.
#[derive(Debug)]
pub struct Plan {
    /// The map.
    pub map: Map,
    moves: Vec<PlannedMove>,
}

impl Plan {
    /// The number of the map; a later one is greater.
    pub fn epoch(&self) -> u64 {
        self.map.epoch()
    }
}

/// One fault of a map of cells.
#[derive(Debug, Error)]
pub enum CellFault {
    /// A binding names a class that the settings do not have.
    #[error("{0} is not a category")]
    UnknownClass(String),
    /// The map itself does not hold together.
    #[error("{0}")]
    Map(String),
    /// What moves is in no cell.
    #[error("{0:?} moves, and is not bound anywhere")]
    MoveOfUnbound(What),
    /// What moves is in that cell already.
    #[error("{0:?} moves to where it is")]
    MoveToSameCell(What),
}

/// A map of cells that cannot be used, with all its faults.
#[derive(Debug, Error)]
#[error("{}", faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
pub struct CellMapError {
    /// Its faults; there is at least one.
    pub faults: Vec<CellFault>,
}

/// A tenant is over its limit, and may retry after this long.
#[derive(Debug)]
pub struct RetryAfter(pub Duration);

/// Reads the map of cells in the operator's file. `classes`: the names of the settings' classes.
///
/// # Errors
/// All faults of the map.
pub fn plan(settings: &Settings, classes: &[String]) -> Result<Plan, CellMapError> {
    let mut faults = Vec::new();
    let mut read_binding = |(bound, cell): &(Bound, String)| {
        let scope = read_scope(bound, classes, &mut faults);
        (scope, cell.clone())
    };
    let bindings = settings.bindings.iter().map(&mut read_binding).collect();
    let moves: Vec<(What, String)> = settings.moves.iter().map(&mut read_binding).collect();
    let cells = settings.cells.iter();
    let map = Map::new(Told {
        epoch: settings.epoch,
        cells: cells
            .map(|(name, of)| (name.clone(), members(of)))
            .collect(),
        bindings,
        // What moves to a cell belongs to it as well.
        arriving: moves.iter().map(|(_, cell)| cell.clone()).collect(),
        otherwise: settings.otherwise.clone(),
        overlap: settings.overlap,
    });
    let map = match map {
        Ok(map) => map,
        Err(of_map) => {
            faults.extend(of_map.into_iter().map(CellFault::Map));
            return Err(CellMapError { faults });
        }
    };
    let mut planned = Vec::new();
    for (scope, cell) in moves {
        match (map.bound(&scope), map.named(&cell)) {
            (Some(from), Some(to)) if from != to => planned.push(PlannedMove { scope, from, to }),
            (None, _) => faults.push(CellFault::MoveOfUnbound(scope)),
            _ => faults.push(CellFault::MoveToSameCell(scope)),
        }
    }
    if !faults.is_empty() {
        return Err(CellMapError { faults });
    }
    let moves = planned;
    Ok(Plan { map, moves })
}

/// What a binding is about. A class that the settings do not have is a fault.
fn read_scope(bound: &Bound, classes: &[String], faults: &mut Vec<CellFault>) -> What {
    match bound {
        Bound::Prefix(prefix) => What::Prefix(prefix.clone()),
        Bound::Groups(range) => What::Groups(range.clone()),
        Bound::Customer(number) => What::Customer(*number),
        Bound::Class(name) => {
            let class = classes.iter().position(|class| class == name);
            if class.is_none() {
                faults.push(CellFault::UnknownClass(name.clone()));
            }
            What::Class(class.unwrap_or(usize::MAX))
        }
    }
}

fn members(of_cell: &CellMembers) -> Members {
    match of_cell {
        CellMembers::List(names) => Members::List(names.clone()),
        CellMembers::Share(share) => Members::Share(*share),
        CellMembers::Shuffle(count) => Members::Shuffle(*count),
    }
}

impl CellRouting {
    /// The cells of the operator's file. None: it has neither cells nor limits of tenants.
    ///
    /// # Errors
    /// All faults of the map.
    pub fn new(
        settings: &Settings,
        classes: &[String],
        zone: usize,
        by_customer: bool,
        settle: Duration,
        seed: u64,
    ) -> Result<Option<CellRouting>, CellMapError> {
        if settings.cells.is_empty() && settings.tenant.is_none() {
            return Ok(None);
        }
        let Plan { map, moves } = plan(settings, classes)?;
        let tenants = settings
            .tenant
            .map(|(rate, burst)| Tenants::new(Allowed::at(rate, burst), seed));
        log::info!(
            cells = map.len(), epoch = map.epoch(), tenants_limited = tenants.is_some();
            "cells"
        );
        let moves = moves
            .into_iter()
            .map(|planned| ActiveMove {
                scope: planned.scope,
                state: Move::new(planned.from, planned.to, settle),
            })
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

    /// Takes over another map, and returns the servers whose cells change. A move that is in both
    /// maps goes on from where it is. None: the map is older than the one in force.
    pub fn replace_map(&mut self, now: Duration, plan: Plan) -> Option<Vec<Member>> {
        if plan.epoch() < self.map.epoch() {
            return None;
        }
        let mut active = std::mem::take(&mut self.moves);
        for planned in plan.moves {
            let continues = |active: &ActiveMove| {
                let names = [active.state.from, active.state.to].map(|cell| self.map.name(cell));
                active.scope == planned.scope
                    && names == [planned.from, planned.to].map(|cell| plan.map.name(cell))
            };
            let continued = active.iter().position(continues);
            let mut state = match continued {
                Some(index) => active.swap_remove(index).state,
                None => Move::new(planned.from, planned.to, self.settle),
            };
            // The same cells may have other indices in the new map.
            (state.from, state.to) = (planned.from, planned.to);
            let scope = planned.scope;
            self.moves.push(ActiveMove { scope, state });
        }
        self.map = plan.map;
        Some(self.assign_servers(now))
    }

    /// The number of the map; a later one is greater.
    pub fn epoch(&self) -> u64 {
        self.map.epoch()
    }

    /// Takes in changes of the list. Returns them with their cells, and all other servers whose
    /// cells change.
    pub fn update_members(
        &mut self,
        now: Duration,
        is_whole: bool,
        members: Vec<Member>,
    ) -> Vec<Member> {
        if is_whole {
            self.members.clear();
        }
        let mut changed: BTreeSet<Id> = BTreeSet::new();
        for member in members {
            changed.insert(member.server.clone());
            self.members.insert(member.server.clone(), member);
        }
        let moved = self.assign_servers(now);
        changed.extend(moved.into_iter().map(|member| member.server));
        let is_changed = |member: &&Member| is_whole || changed.contains(&member.server);
        let updated = self.members.values().filter(is_changed).cloned().collect();
        self.members
            .retain(|_, member| member.standing != Standing::Gone);
        updated
    }

    /// Applies the map to the caches of this zone. Returns those whose cells change.
    fn assign_servers(&mut self, now: Duration) -> Vec<Member> {
        let is_assigned = |member: &&Member| {
            member.tier == Tier::Cache
                && member.zone == self.zone
                && member.standing != Standing::Gone
        };
        let assigned = self.members.values().filter(is_assigned);
        let servers = assigned.map(|member| member.server.clone()).collect();
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
            log::warn!(
                epoch = self.map.epoch(), fault:% = fault;
                "cells: the map does not fit the servers"
            );
        }
        self.update_moves(now);
        moved
    }

    /// Tells the moves which cells have a server that takes requests.
    fn update_moves(&mut self, now: Duration) {
        let is_active =
            |member: &&Member| member.tier == Tier::Cache && member.standing == Standing::Active;
        let active = self.members.values().filter(is_active);
        let alive: BTreeSet<Cell> = active
            .flat_map(|member| member.cells.iter().copied())
            .collect();
        for ActiveMove { scope, state } in &mut self.moves {
            let (from, to) = (alive.contains(&state.from), alive.contains(&state.to));
            advance(&self.map, scope, state, |state| state.alive(now, from, to));
        }
    }

    /// An attempt at a server has ended: the moves of its request go by the outcome.
    pub fn record_attempt(
        &mut self,
        now: Duration,
        arrival: &Arrival,
        outcome: Outcome,
        remark: Remark,
    ) {
        let Some(cell) = arrival.cell else {
            return;
        };
        for ActiveMove { scope, state } in &mut self.moves {
            if scope.covers(arrival) {
                advance(&self.map, scope, state, |state| {
                    state.ended(now, cell, outcome, remark);
                    state.tick(now);
                });
            }
        }
    }

    /// The map in force and the state of its moves, for operators.
    pub fn report(&self) -> Value {
        let cells = self.map.report().into_iter().map(|(name, servers)| {
            let servers: Vec<String> = servers.iter().map(ToString::to_string).collect();
            json!({"cell": name, "servers": servers})
        });
        let moves = self.moves.iter().map(|ActiveMove { scope, state }| {
            json!({
                "what": format!("{scope:?}"),
                "from": self.map.name(state.from),
                "to": self.map.name(state.to),
                "state": format!("{:?}", state.state()),
                "share": state.share(),
            })
        });
        let (cells, moves): (Vec<Value>, Vec<Value>) = (cells.collect(), moves.collect());
        json!({"epoch": self.map.epoch(), "cells": cells, "moves": moves})
    }

    /// Sets the cell of a new request.
    ///
    /// # Errors
    /// Its tenant is over its limit, and may retry after so long. A non-idempotent request is never
    /// limited: it is the last to be rejected.
    pub fn assign_cell(
        &mut self,
        now: Duration,
        arrival: &mut Arrival,
        is_non_idempotent: bool,
    ) -> Result<(), RetryAfter> {
        arrival.cell = self.map.cell_of(arrival);
        let is_moving = |active: &&ActiveMove| {
            arrival.cell == Some(active.state.from) && active.scope.covers(arrival)
        };
        if let Some(active) = self.moves.iter().find(is_moving) {
            let object = xxh3_64(arrival.object.as_bytes());
            arrival.cell = Some(active.state.cell(object));
        }
        let Some(tenants) = self.tenants.as_mut().filter(|_| !is_non_idempotent) else {
            return Ok(());
        };
        let tenant = tenant(arrival, self.by_customer);
        match tenants.request(now, &tenant, arrival.repeated) {
            Verdict::Late(wait) => Err(RetryAfter(wait)),
            _ => Ok(()),
        }
    }

    /// A request was served, which counts towards its tenant's limit.
    pub fn record_served(&mut self, now: Duration, arrival: &Arrival) {
        if let Some(tenants) = &mut self.tenants {
            let tenant = tenant(arrival, self.by_customer);
            tenants.served(now, &tenant);
        }
    }
}

/// Takes a move one step further, and logs where that leads to another state.
fn advance(map: &Map, scope: &What, state: &mut Move, step: impl FnOnce(&mut Move)) {
    let before = (state.state(), state.share());
    step(state);
    let after = (state.state(), state.share());
    if before != after {
        let (from, to) = (map.name(state.from), map.name(state.to));
        let (step, share) = after;
        log::info!(
            scope:? = scope, state:? = step, from = from, to = to, share = share;
            "cells: a move has changed its state"
        );
    }
}
