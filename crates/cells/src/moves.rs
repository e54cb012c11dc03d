//! Moving a tenant from one cell to another while it is served: a state machine without I/O.
//!
//! Each router advances by its own observations, without coordination: a growing share of the tenant's objects,
//! chosen by hash, goes to the new cell. The share doubles once the hit rate in the new cell is close to that
//! in the old one, so it follows the warm-up of the new cell and not the clock. Routers may be at different
//! shares: either cell can serve any of the tenant's objects, and slow start (rule 4) is enforced where every
//! attempt is sent. A request keeps the cell that it was assigned on arrival for all its attempts.

use crate::map::Cell;
use chalkhall::control::ServerHealth;
use chalkhall::interface::{Outcome, Remark};
use std::time::Duration;

/// The share of objects that is moved first.
const INITIAL_SHARE: f64 = 1.0 / 16.0;
/// Minimum number of outcomes at a share before it may grow.
const MIN_SAMPLES: f64 = 32.0;
/// The new cell counts as warm at this fraction of the old cell's hit rate.
const WARM_HIT_RATIO: f64 = 0.7;
/// Weight of a new sample in the moving average of the old cell's hit rate.
const HIT_RATE_SMOOTHING: f64 = 1.0 / 256.0;

/// The state of a move. It advances in this order or rolls back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum State {
    /// Configured; nothing goes to the new cell yet.
    Prepared,
    /// The first share goes to the new cell.
    Warming,
    /// A growing share goes to the new cell.
    Shifting,
    /// Everything goes to the new cell; the move can still be rolled back.
    Settling,
    Done,
    /// Everything goes to the old cell again.
    RolledBack,
}

/// A move as one router performs it.
#[derive(Debug)]
pub struct Move {
    pub from: Cell,
    pub to: Cell,
    state: State,
    share: f64,
    paused: bool,
    /// Served requests at the new cell at the current share, and how many of them were hits.
    samples: f64,
    hits: f64,
    /// Hit rate at the old cell; `None` before its first served request.
    old_hit_rate: Option<f64>,
    detector: ServerHealth,
    settled_at: Duration,
    /// Time after which all requests in flight at the old cell have ended.
    settling_time: Duration,
}

impl Move {
    /// `settling_time`: the longest lifetime of a request or of its deduplication state.
    pub fn new(from: Cell, to: Cell, settling_time: Duration) -> Move {
        let (state, share, paused) = (State::Prepared, 0.0, false);
        let (samples, hits, old_hit_rate, detector) = (0.0, 0.0, None, ServerHealth::default());
        Move {
            from,
            to,
            state,
            share,
            paused,
            samples,
            hits,
            old_hit_rate,
            detector,
            settled_at: Duration::ZERO,
            settling_time,
        }
    }

    pub fn state(&self) -> State {
        self.state
    }

    /// The share of objects that goes to the new cell, from 0 to 1.
    pub fn share(&self) -> f64 {
        self.share
    }

    pub fn is_paused(&self) -> bool {
        self.paused
    }

    /// The cell of a new request. It depends only on the object and the share: objects move over as the share
    /// grows, and go back only in a rollback.
    pub fn cell(&self, object: u64) -> Cell {
        // Only the 53 bits that an f64 holds exactly: rounded up to 1.0, the last objects would never move.
        let fraction = (object >> 11) as f64 / (1u64 << 53) as f64;
        if fraction < self.share {
            self.to
        } else {
            self.from
        }
    }

    /// Holds the move at its state until [`Move::resume`].
    pub fn pause(&mut self) {
        self.paused = true;
    }

    pub fn resume(&mut self) {
        self.paused = false;
    }

    /// Reverses the move. A move in progress rolls back at once, as the old cell still has its copies. One that
    /// was rolled back restarts from the first share, as the new cell may have lost its copies. A completed move
    /// is not reversed: moving back is a new move.
    pub fn reverse(&mut self) {
        match self.state {
            State::Done => {}
            State::RolledBack => self.enter(State::Prepared, 0.0),
            _ => self.enter(State::RolledBack, 0.0),
        }
        self.paused = false;
    }

    fn enter(&mut self, state: State, share: f64) {
        (self.state, self.share, self.samples, self.hits) = (state, share, 0.0, 0.0);
        if matches!(state, State::Prepared | State::RolledBack) {
            self.detector = ServerHealth::default();
        }
    }

    /// Reports which of the two cells have live servers. A new cell without any takes no requests; an old cell
    /// without any keeps none.
    pub fn update_liveness(&mut self, now: Duration, from: bool, to: bool) {
        use State::*;
        match (self.state, from, to) {
            (Warming | Shifting | Settling, true, false) => self.enter(RolledBack, 0.0),
            // There is no old cell to fall back to: only slow start limits what the new cell is sent.
            (Prepared | Warming | Shifting | RolledBack, false, true) => self.enter_settling(now),
            (Prepared, true, true) if !self.paused => self.enter(Warming, INITIAL_SHARE),
            _ => {}
        }
    }

    fn enter_settling(&mut self, now: Duration) {
        self.enter(State::Settling, 1.0);
        self.settled_at = now + self.settling_time;
    }

    /// Records the outcome of one of the tenant's attempts at a cell. Attempts that were rejected, cancelled or
    /// never sent, and missing objects, are no evidence about the cell.
    pub fn record_attempt(&mut self, now: Duration, cell: Cell, outcome: Outcome, remark: Remark) {
        use Outcome::{Broken, Error, Served, TimedOut, Unreachable};
        if matches!(outcome, Served | Error | TimedOut | Broken | Unreachable) {
            let hit = matches!(remark, Remark::Hit | Remark::Stale);
            self.record(now, cell, outcome == Served, hit);
        }
    }

    /// Records whether a request was served, and whether it was a hit.
    fn record(&mut self, now: Duration, cell: Cell, served: bool, hit: bool) {
        use State::*;
        if cell == self.from {
            if served {
                let hit_rate = self.old_hit_rate.get_or_insert(f64::from(hit));
                *hit_rate += (f64::from(hit) - *hit_rate) * HIT_RATE_SMOOTHING;
            }
            return;
        }
        if cell != self.to || !matches!(self.state, Warming | Shifting | Settling) {
            return;
        }
        // A failing new cell rolls the move back, by the same outlier detection as for a server.
        self.detector.record_outcome(now, !served, 1.0);
        if self.detector.is_ejected() {
            return self.enter(RolledBack, 0.0);
        }
        if !served || self.paused || self.state == Settling {
            return;
        }
        self.samples += 1.0;
        self.hits += f64::from(hit);
        let warm = self.hits >= WARM_HIT_RATIO * self.old_hit_rate.unwrap_or(0.0) * self.samples;
        if self.samples >= MIN_SAMPLES && warm {
            match self.share * 2.0 {
                share if share >= 1.0 => self.enter_settling(now),
                share => self.enter(Shifting, share),
            }
        } else if self.samples >= MIN_SAMPLES * 4.0 {
            // Not warm yet: decays the early samples, which date from when the cell was coldest.
            (self.samples, self.hits) = (self.samples / 2.0, self.hits / 2.0);
        }
    }

    /// Completes a move whose settling time has passed.
    pub fn tick(&mut self, now: Duration) {
        if self.state == State::Settling && now >= self.settled_at && !self.paused {
            self.enter(State::Done, 1.0);
        }
    }
}

#[cfg(test)]
mod tests;
