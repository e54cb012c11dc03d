//! Moving a tenant from one cell to another while it is served: a state machine without I/O.
//!
//! Each router moves by what it sees itself, with no word to the others: a growing share of the tenant's
//! objects, chosen by hash, goes to the new cell. The share doubles when what was sent there is answered from
//! copies about as often as in the old cell, so it follows the warmth of the new cell and not the clock. Two
//! routers at different shares break nothing: either cell may serve any of its objects, and rule 4 is kept
//! where every send passes. A request keeps the cell that it was given when it came, for all its attempts.

use crate::map::Cell;
use chalkhall::control::Judged;
use chalkhall::interface::{Outcome, Remark};
use std::time::Duration;

/// The share that goes first.
const FIRST: f64 = 1.0 / 16.0;
/// Outcomes at one share before it may grow.
const ENOUGH: f64 = 32.0;
/// Hits at the new cell, over those at the old one, from which on it is warm enough for more.
const WARM: f64 = 0.7;
/// What the old cell's share of hits is averaged over.
const MOVES: f64 = 1.0 / 256.0;

/// Where a move stands. It goes on in this order, or back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum State {
    /// Told; nothing goes to the new cell yet.
    Prepared,
    /// The first share goes there.
    Warming,
    /// More and more does.
    Shifting,
    /// All does; the old cell could still take it back.
    Settling,
    Done,
    /// All goes to the old cell again.
    RolledBack,
}

/// One move, as one router makes it.
#[derive(Debug)]
pub struct Move {
    pub from: Cell,
    pub to: Cell,
    state: State,
    share: f64,
    paused: bool,
    /// At the present share: outcomes at the new cell, and how many were hits.
    seen: f64,
    hits: f64,
    /// Share of hits at the old cell, as far as it was seen.
    old: Option<f64>,
    record: Judged,
    settles_at: Duration,
    /// What is in flight at the old cell has ended after this long.
    settle: Duration,
}

impl Move {
    /// `settle`: the longest that a request, or what remembers its repeats, lasts.
    pub fn new(from: Cell, to: Cell, settle: Duration) -> Move {
        let (state, share, paused) = (State::Prepared, 0.0, false);
        let (seen, hits, old, record) = (0.0, 0.0, None, Judged::default());
        Move {
            from,
            to,
            state,
            share,
            paused,
            seen,
            hits,
            old,
            record,
            settles_at: Duration::ZERO,
            settle,
        }
    }

    pub fn state(&self) -> State {
        self.state
    }

    /// From 0 to 1: how much goes to the new cell.
    pub fn share(&self) -> f64 {
        self.share
    }

    pub fn is_paused(&self) -> bool {
        self.paused
    }

    /// The cell of a request that comes now. For one share always the same by object; more of it goes over as
    /// the share grows and none comes back but by a roll-back.
    pub fn cell(&self, object: u64) -> Cell {
        // As many bits as a number of this kind holds: rounded up, the last objects would stay behind for
        // ever.
        let drawn = (object >> 11) as f64 / (1u64 << 53) as f64;
        if drawn < self.share {
            self.to
        } else {
            self.from
        }
    }

    /// Stays where it is until `resume`.
    pub fn pause(&mut self) {
        self.paused = true;
    }

    pub fn resume(&mut self) {
        self.paused = false;
    }

    /// Turns it round: under way it goes back at once, where the old cell's copies still are; one that went
    /// back begins anew, from the first share on: whatever the new cell had may have gone. One that is done
    /// is another move.
    pub fn reverse(&mut self) {
        match self.state {
            State::Done => {}
            State::RolledBack => self.stand(State::Prepared, 0.0),
            _ => self.stand(State::RolledBack, 0.0),
        }
        self.paused = false;
    }

    fn stand(&mut self, state: State, share: f64) {
        (self.state, self.share, self.seen, self.hits) = (state, share, 0.0, 0.0);
        if matches!(state, State::Prepared | State::RolledBack) {
            self.record = Judged::default();
        }
    }

    /// Which cells have anybody to serve. A new cell that lost all takes nothing; an old one that did keeps
    /// nothing.
    pub fn alive(&mut self, now: Duration, from: bool, to: bool) {
        use State::*;
        match (self.state, from, to) {
            (Warming | Shifting | Settling, true, false) => self.stand(RolledBack, 0.0),
            // Nobody is left to go back to: the new cell's cold budgets alone bound what it is sent.
            (Prepared | Warming | Shifting | RolledBack, false, true) => self.settling(now),
            (Prepared, true, true) if !self.paused => self.stand(Warming, FIRST),
            _ => {}
        }
    }

    fn settling(&mut self, now: Duration) {
        self.stand(State::Settling, 1.0);
        self.settles_at = now + self.settle;
    }

    /// An attempt for the tenant has ended: at which cell, and how. What was refused, called off, never
    /// sent or not there says nothing of a cell.
    pub fn ended(&mut self, now: Duration, cell: Cell, outcome: Outcome, remark: Remark) {
        use Outcome::{Broken, Error, Served, TimedOut, Unreachable};
        if matches!(outcome, Served | Error | TimedOut | Broken | Unreachable) {
            let hit = matches!(remark, Remark::Hit | Remark::Stale);
            self.told(now, cell, outcome == Served, hit);
        }
    }

    /// Whether a request was served, and from a copy there.
    fn told(&mut self, now: Duration, cell: Cell, served: bool, hit: bool) {
        use State::*;
        if cell == self.from {
            if served {
                let old = self.old.get_or_insert(f64::from(hit));
                *old += (f64::from(hit) - *old) * MOVES;
            }
            return;
        }
        if cell != self.to || !matches!(self.state, Warming | Shifting | Settling) {
            return;
        }
        // A new cell that fails its requests is no place to move to, by the same test as any server.
        self.record.judge(now, !served, 1.0);
        if self.record.is_aside() {
            return self.stand(RolledBack, 0.0);
        }
        if !served || self.paused || self.state == Settling {
            return;
        }
        self.seen += 1.0;
        self.hits += f64::from(hit);
        let warm = self.hits >= WARM * self.old.unwrap_or(0.0) * self.seen;
        if self.seen >= ENOUGH && warm {
            match self.share * 2.0 {
                share if share >= 1.0 => self.settling(now),
                share => self.stand(Shifting, share),
            }
        } else if self.seen >= ENOUGH * 4.0 {
            // Not warm yet: what was seen first, when it was coldest, is forgotten by and by.
            (self.seen, self.hits) = (self.seen / 2.0, self.hits / 2.0);
        }
    }

    /// Time passes.
    pub fn tick(&mut self, now: Duration) {
        if self.state == State::Settling && now >= self.settles_at && !self.paused {
            self.stand(State::Done, 1.0);
        }
    }
}

#[cfg(test)]
mod tests;
