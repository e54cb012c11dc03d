//! Applies the cell map to the list of servers, assigns cells to requests, and enforces the limits
//! of tenants at admission.

use chalkhall::interface::{Id, IncomingRequest, Member, Outcome, Remark, ServerState, Tier};
use chalkhall_cells::limits::{Decision, TenantLimits, Tenants, tenant_key};
use chalkhall_cells::map::{Cell, Definition, Map, Members, Scope};
use chalkhall_cells::moves::Move;
use chalkhall_config::{CellMembers, Cells as Settings, Scope as DirectiveScope};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

/// Assigns cells to servers and requests.
pub struct CellRouting {
    map: Map,
    moves: Vec<ActiveMove>,
    /// The maximum lifetime of a request and of the record by which its repetitions are recognized.
    /// A move waits for this time before it is done.
    settling_time: Duration,
    /// The listed servers.
    members: BTreeMap<Id, Member>,
    /// The limits of tenants, if there are any.
    tenants: Option<Tenants>,
    /// Whether tenants are the customers of the settings. Without customers, tenants are groups of
    /// objects.
    by_customer: bool,
    zone: usize,
}

/// A move in progress.
struct ActiveMove {
    /// The requests that move.
    scope: Scope,
    state: Move,
}

/// A move in the operator's file.
#[derive(Debug)]
struct PlannedMove {
    /// The requests that move.
    scope: Scope,
    from: Cell,
    to: Cell,
}

/// A cell map and its moves, each of which moves a scope from the cell that it is bound to.
#[derive(Debug)]
pub struct CellPlan {
    /// The map.
    pub map: Map,
    moves: Vec<PlannedMove>,
}

impl CellPlan {
    /// The epoch of the map; later maps have greater ones.
    pub fn epoch(&self) -> u64 {
        self.map.epoch()
    }
}

/// A fault of a cell map.
#[derive(Debug, Error)]
pub enum CellFault {
    /// A binding refers to a class that is not in the settings.
    #[error("{0} is not a category")]
    UnknownClass(String),
    /// The map itself is invalid.
    #[error("{0}")]
    Map(String),
    /// A scope that moves is not bound to a cell.
    #[error("{0:?} moves but is not bound to a cell")]
    MoveOfUnbound(Scope),
    /// A scope moves to the cell that it is bound to.
    #[error("{0:?} moves to the cell that it is bound to")]
    MoveToSameCell(Scope),
}

/// A cell map is invalid.
#[derive(Debug, Error)]
#[error("{}", faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; "))]
pub struct CellMapError {
    /// All faults of the map; there is at least one.
    pub faults: Vec<CellFault>,
}

/// A tenant is over its limit, and may retry after this time.
#[derive(Debug)]
pub struct RetryAfter(pub Duration);

/// Reads the cell map of the operator's file. `classes` are the names of the classes in the
/// settings.
///
/// # Errors
/// All faults of the map.
pub fn read_cell_plan(settings: &Settings, classes: &[String]) -> Result<CellPlan, CellMapError> {
    let mut faults = Vec::new();
    let mut read_binding = |(directive, cell): &(DirectiveScope, String)| {
        let scope = read_scope(directive, classes, &mut faults);
        (scope, cell.clone())
    };
    let bindings = settings.bindings.iter().map(&mut read_binding).collect();
    let moves: Vec<(Scope, String)> = settings.moves.iter().map(&mut read_binding).collect();
    let cells = settings.cells.iter();
    let map = Map::new(Definition {
        epoch: settings.epoch,
        cells: cells
            .map(|(name, cell)| (name.clone(), members(cell)))
            .collect(),
        bindings,
        // A scope that moves to a cell belongs to it as well.
        move_targets: moves.iter().map(|(_, cell)| cell.clone()).collect(),
        default_cell: settings.otherwise.clone(),
        max_overlap: settings.overlap,
    });
    let map = match map {
        Ok(map) => map,
        Err(map_faults) => {
            faults.extend(map_faults.into_iter().map(CellFault::Map));
            return Err(CellMapError { faults });
        }
    };
    let mut planned = Vec::new();
    for (scope, cell) in moves {
        match (map.cell_of_scope(&scope), map.cell_by_name(&cell)) {
            (Some(from), Some(to)) if from != to => planned.push(PlannedMove { scope, from, to }),
            (None, _) => faults.push(CellFault::MoveOfUnbound(scope)),
            _ => faults.push(CellFault::MoveToSameCell(scope)),
        }
    }
    if !faults.is_empty() {
        return Err(CellMapError { faults });
    }
    let moves = planned;
    Ok(CellPlan { map, moves })
}

/// Reads the scope of a binding. A class that is not in the settings is a fault.
fn read_scope(
    directive: &DirectiveScope,
    classes: &[String],
    faults: &mut Vec<CellFault>,
) -> Scope {
    match directive {
        DirectiveScope::Prefix(prefix) => Scope::Prefix(prefix.clone()),
        DirectiveScope::Groups(range) => Scope::Groups(range.clone()),
        DirectiveScope::Customer(number) => Scope::Customer(*number),
        DirectiveScope::Class(name) => {
            let class = classes.iter().position(|class| class == name);
            if class.is_none() {
                faults.push(CellFault::UnknownClass(name.clone()));
            }
            Scope::Class(class.unwrap_or(usize::MAX))
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
    /// Configures the cells of the operator's file. Returns `None` if it has neither cells nor
    /// limits of tenants.
    ///
    /// # Errors
    /// All faults of the map.
    pub fn new(
        settings: &Settings,
        classes: &[String],
        zone: usize,
        by_customer: bool,
        settling_time: Duration,
        seed: u64,
    ) -> Result<Option<CellRouting>, CellMapError> {
        if settings.cells.is_empty() && settings.tenant.is_none() {
            return Ok(None);
        }
        let CellPlan { map, moves } = read_cell_plan(settings, classes)?;
        let tenants = settings
            .tenant
            .map(|(rate, burst)| Tenants::new(TenantLimits::new(rate, burst), seed));
        log::info!(
            cells = map.len(), epoch = map.epoch(), tenants_limited = tenants.is_some();
            "cells: map loaded"
        );
        let moves = moves
            .into_iter()
            .map(|planned| ActiveMove {
                scope: planned.scope,
                state: Move::new(planned.from, planned.to, settling_time),
            })
            .collect();
        let members = BTreeMap::new();
        Ok(Some(CellRouting {
            map,
            moves,
            settling_time,
            members,
            tenants,
            by_customer,
            zone,
        }))
    }

    /// Replaces the map, and returns the servers whose cells change. A move that is in both maps
    /// continues from its state. Returns `None` if the new map is older than the current one.
    pub fn replace_map(&mut self, now: Duration, plan: CellPlan) -> Option<Vec<Member>> {
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
                None => Move::new(planned.from, planned.to, self.settling_time),
            };
            // The indices of the cells may differ in the new map.
            (state.from, state.to) = (planned.from, planned.to);
            let scope = planned.scope;
            self.moves.push(ActiveMove { scope, state });
        }
        self.map = plan.map;
        Some(self.assign_servers(now))
    }

    /// The epoch of the map; later maps have greater ones.
    pub fn epoch(&self) -> u64 {
        self.map.epoch()
    }

    /// Applies changes to the list. Returns the changed servers with their cells, and all other
    /// servers whose cells change.
    pub fn update_members(
        &mut self,
        now: Duration,
        is_snapshot: bool,
        members: Vec<Member>,
    ) -> Vec<Member> {
        if is_snapshot {
            self.members.clear();
        }
        let mut changed: BTreeSet<Id> = BTreeSet::new();
        for member in members {
            changed.insert(member.server.clone());
            self.members.insert(member.server.clone(), member);
        }
        let moved = self.assign_servers(now);
        changed.extend(moved.into_iter().map(|member| member.server));
        let is_changed = |member: &&Member| is_snapshot || changed.contains(&member.server);
        let updated = self.members.values().filter(is_changed).cloned().collect();
        self.members
            .retain(|_, member| member.state != ServerState::Removed);
        updated
    }

    /// Applies the map to the caches of this zone, and returns those whose cells change.
    fn assign_servers(&mut self, now: Duration) -> Vec<Member> {
        let is_assigned = |member: &&Member| {
            member.tier == Tier::Cache
                && member.zone == self.zone
                && member.state != ServerState::Removed
        };
        let assigned = self.members.values().filter(is_assigned);
        let servers = assigned.map(|member| member.server.clone()).collect();
        self.map.assign(&servers);
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
                "cells: the servers do not satisfy the map"
            );
        }
        self.update_moves(now);
        moved
    }

    /// Informs the moves which cells have an active server.
    fn update_moves(&mut self, now: Duration) {
        let is_active =
            |member: &&Member| member.tier == Tier::Cache && member.state == ServerState::Active;
        let active = self.members.values().filter(is_active);
        let live_cells: BTreeSet<Cell> = active
            .flat_map(|member| member.cells.iter().copied())
            .collect();
        for ActiveMove { scope, state } in &mut self.moves {
            let (from, to) = (
                live_cells.contains(&state.from),
                live_cells.contains(&state.to),
            );
            advance(&self.map, scope, state, |state| {
                state.update_liveness(now, from, to)
            });
        }
    }

    /// Records the result of an attempt at a server, on which the moves of its request depend.
    pub fn record_attempt(
        &mut self,
        now: Duration,
        arrival: &IncomingRequest,
        outcome: Outcome,
        remark: Remark,
    ) {
        let Some(cell) = arrival.cell else {
            return;
        };
        for ActiveMove { scope, state } in &mut self.moves {
            if scope.covers(arrival) {
                advance(&self.map, scope, state, |state| {
                    state.record_attempt(now, cell, outcome, remark);
                    state.tick(now);
                });
            }
        }
    }

    /// Reports the map and the state of its moves, for operators.
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

    /// Assigns a cell to a new request.
    ///
    /// # Errors
    /// The tenant is over its limit, and may retry after this time. Non-idempotent requests are
    /// never limited: they are the last to be rejected.
    pub fn assign_cell(
        &mut self,
        now: Duration,
        arrival: &mut IncomingRequest,
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
        let tenant = tenant_key(arrival, self.by_customer);
        match tenants.request(now, &tenant, arrival.is_retry) {
            Decision::RetryAfter(wait) => Err(RetryAfter(wait)),
            _ => Ok(()),
        }
    }

    /// Counts a request that was served towards its tenant's limit.
    pub fn record_served(&mut self, now: Duration, arrival: &IncomingRequest) {
        if let Some(tenants) = &mut self.tenants {
            let tenant = tenant_key(arrival, self.by_customer);
            tenants.served(now, &tenant);
        }
    }
}

/// Applies a step to a move, and logs a change of its state.
fn advance(map: &Map, scope: &Scope, state: &mut Move, step: impl FnOnce(&mut Move)) {
    let before = (state.state(), state.share());
    step(state);
    let after = (state.state(), state.share());
    if before != after {
        let (from, to) = (map.name(state.from), map.name(state.to));
        let (step, share) = after;
        log::info!(
            scope:? = scope, state:? = step, from = from, to = to, share = share;
            "cells: move changed state"
        );
    }
}
