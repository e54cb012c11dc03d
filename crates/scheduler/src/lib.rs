//! Which background work goes next, and when none may: a scheduler without I/O, threads or clock.
//!
//! Work comes in kinds. Each kind has a priority, budgets (bytes, operations and time of a core, each as a
//! rate with a purse), a deadline after which waiting work counts as urgent, and a bound after which it goes
//! even if all else says no: nothing starves. While the program's own turns come late, only what has passed
//! that bound goes.
//!
//! ```
//! use chalkhall_scheduler::{Cost, Kind, Rate, Scheduler};
//! use std::time::Duration;
//!
//! let s = Duration::from_secs;
//! let scrub = Kind { name: "scrub", priority: 1, bytes: Some(Rate::a_second(1000.0)), ..Kind::default() };
//! let mut work = Scheduler::new(vec![scrub], Duration::from_millis(5));
//! work.offer(s(0), 0, Cost { bytes: 800.0, ..Cost::default() });
//! work.offer(s(0), 0, Cost { bytes: 800.0, ..Cost::default() });
//! assert_eq!(work.next(s(0)), Some(0));
//! assert_eq!(work.next(s(0)), None, "its purse is spent");
//! assert_eq!(work.next(s(1)), Some(0));
//! ```

use std::collections::VecDeque;
use std::time::Duration;

/// Waiting work of one kind; what is offered past it is refused.
const WAITING_MOST: usize = 4096;
/// The delay of turns is averaged over about so many.
const DELAY_MOVES: f64 = 1.0 / 8.0;
/// A word of the delay that is older than this counts for nothing: who says nothing is not late.
const DELAY_HOLDS: Duration = Duration::from_secs(1);
/// Once paused, work goes on when turns come this much earlier than what paused it.
const RESUME: f64 = 0.5;
/// What a piece of one priority gets before one of the next lower, where both wait.
const PRIORITY_STEP: f64 = 4.0;

/// So much a second, saved up for `purse` seconds at the most.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    pub a_second: f64,
    pub purse: f64,
}

impl Rate {
    /// With a purse of one second.
    pub fn a_second(a_second: f64) -> Rate {
        Rate {
            a_second,
            purse: 1.0,
        }
    }
}

/// What a piece of work takes; as offered it is a guess, as done it is what it took.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    pub bytes: f64,
    pub operations: f64,
    /// Seconds of a core.
    pub core: f64,
}

/// One kind of work.
#[derive(Clone, Debug)]
pub struct Kind {
    pub name: &'static str,
    /// 0 goes last. Each step up is worth four times as much of what all share.
    pub priority: u8,
    /// None: no bound.
    pub bytes: Option<Rate>,
    pub operations: Option<Rate>,
    pub core: Option<Rate>,
    /// Work that has waited so long goes before what has not, whatever its priority.
    pub deadline: Duration,
    /// Work that has waited so long goes even past its budget and while turns come late.
    pub starves: Duration,
    /// Pieces of it under way at once.
    pub at_once: usize,
}

impl Default for Kind {
    fn default() -> Kind {
        Kind {
            name: "",
            priority: 0,
            bytes: None,
            operations: None,
            core: None,
            deadline: Duration::from_secs(60),
            starves: Duration::from_secs(600),
            at_once: usize::MAX,
        }
    }
}

struct Purse {
    rate: Rate,
    held: f64,
}

impl Purse {
    fn new(rate: Rate) -> Purse {
        Purse {
            rate,
            held: rate.a_second * rate.purse,
        }
    }

    fn fill(&mut self, seconds: f64) {
        let most = self.rate.a_second * self.rate.purse;
        self.held = (self.held + self.rate.a_second * seconds).min(most);
    }

    /// One that costs more than a full purse goes when the purse is full; the debt is paid off after.
    fn affords(&self, cost: f64) -> bool {
        self.held >= cost.min(self.rate.a_second * self.rate.purse) - 1e-9
    }
}

/// What a kind has done so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Done {
    pub pieces: u64,
    pub bytes: f64,
    pub core: f64,
    /// Pieces that went past their deadline, and past the bound on waiting.
    pub late: u64,
    pub starved: u64,
    pub refused: u64,
}

struct Row {
    kind: Kind,
    purses: [Option<Purse>; 3],
    waiting: VecDeque<(Duration, Cost)>,
    /// Costs of the pieces under way, as they were guessed, oldest first.
    out: VecDeque<Cost>,
    /// How much it has had of what all share, over its weight.
    served: f64,
    done: Done,
}

impl Row {
    fn weight(&self) -> f64 {
        PRIORITY_STEP.powi(i32::from(self.kind.priority))
    }

    fn affords(&self, cost: &Cost) -> bool {
        let costs = [cost.bytes, cost.operations, cost.core];
        self.purses
            .iter()
            .zip(costs)
            .all(|(purse, cost)| purse.as_ref().is_none_or(|p| p.affords(cost)))
    }

    fn pay(&mut self, cost: &Cost, sign: f64) {
        let costs = [cost.bytes, cost.operations, cost.core];
        for (purse, cost) in self.purses.iter_mut().zip(costs) {
            if let Some(purse) = purse {
                purse.held -= cost * sign;
            }
        }
    }
}

/// How urgent the oldest waiting piece of a kind is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    Usual,
    Late,
    Starved,
}

pub struct Scheduler {
    rows: Vec<Row>,
    filled: Duration,
    /// Turns that come later than this pause all that can wait.
    late_over: Duration,
    delay: (Duration, f64),
    paused: bool,
}

impl Scheduler {
    /// Kinds are numbered as they stand here. `late_over`: the delay of the program's own turns that pauses
    /// work.
    pub fn new(kinds: Vec<Kind>, late_over: Duration) -> Scheduler {
        let row = |kind: Kind| Row {
            purses: [kind.bytes, kind.operations, kind.core].map(|rate| rate.map(Purse::new)),
            kind,
            waiting: VecDeque::new(),
            out: VecDeque::new(),
            served: 0.0,
            done: Done::default(),
        };
        let rows = kinds.into_iter().map(row).collect();
        Scheduler {
            rows,
            filled: Duration::ZERO,
            late_over,
            delay: (Duration::ZERO, 0.0),
            paused: false,
        }
    }

    /// A turn of the program came so much later than it was due.
    pub fn turn(&mut self, now: Duration, late: Duration) {
        let mean = self.delay.1 + (late.as_secs_f64() - self.delay.1) * DELAY_MOVES;
        self.delay = (now, mean);
        let bound = self.late_over.as_secs_f64();
        self.paused = mean > if self.paused { bound * RESUME } else { bound };
    }

    /// Whether work is held back for the program's own turns.
    pub fn is_paused(&self, now: Duration) -> bool {
        self.paused && now < self.delay.0 + DELAY_HOLDS
    }

    /// A piece of work of a kind waits from now on. False: too many do already.
    pub fn offer(&mut self, now: Duration, kind: usize, cost: Cost) -> bool {
        let Some(row) = self.rows.get_mut(kind) else {
            return false;
        };
        if row.waiting.len() >= WAITING_MOST {
            row.done.refused += 1;
            return false;
        }
        row.waiting.push_back((now, cost));
        true
    }

    /// Pieces of a kind that wait, and that are under way.
    pub fn held(&self, kind: usize) -> (usize, usize) {
        self.rows
            .get(kind)
            .map_or((0, 0), |row| (row.waiting.len(), row.out.len()))
    }

    /// The kind whose oldest piece goes now. Its guessed cost is paid; `done` settles the rest.
    pub fn next(&mut self, now: Duration) -> Option<usize> {
        let since = now.saturating_sub(self.filled).as_secs_f64();
        self.filled = self.filled.max(now);
        self.rows
            .iter_mut()
            .flat_map(|row| &mut row.purses)
            .flatten()
            .for_each(|purse| purse.fill(since));
        let paused = self.is_paused(now);
        let ready = self.rows.iter().enumerate().filter_map(|(n, row)| {
            let (offered, cost) = row
                .waiting
                .front()
                .filter(|_| row.out.len() < row.kind.at_once)?;
            let waited = now.saturating_sub(*offered);
            let urgency = match waited {
                waited if waited >= row.kind.starves => Urgency::Starved,
                waited if waited >= row.kind.deadline => Urgency::Late,
                _ => Urgency::Usual,
            };
            let may = urgency == Urgency::Starved || !paused && row.affords(cost);
            may.then_some((urgency, row.served, n))
        });
        // Most urgent first; among equals who had least of what its priority gives it.
        let best = ready.max_by(|a, b| a.0.cmp(&b.0).then(b.1.total_cmp(&a.1)).then(b.2.cmp(&a.2)));
        let (urgency, _, n) = best?;
        let row = &mut self.rows[n];
        let (_, cost) = row.waiting.pop_front()?;
        row.pay(&cost, 1.0);
        row.out.push_back(cost);
        row.done.late += u64::from(urgency == Urgency::Late);
        row.done.starved += u64::from(urgency == Urgency::Starved);
        // Who waited for nothing has no claim on the past: it starts level with the others.
        let least = self
            .rows
            .iter()
            .filter(|r| !r.waiting.is_empty())
            .map(|r| r.served)
            .fold(f64::INFINITY, f64::min);
        let row = &mut self.rows[n];
        if least.is_finite() {
            row.served = row.served.max(least);
        }
        row.served += 1.0 / row.weight();
        Some(n)
    }

    /// A piece of a kind has ended, and took so much. The oldest one's guess is settled.
    pub fn done(&mut self, kind: usize, cost: Cost) {
        let Some(row) = self.rows.get_mut(kind) else {
            return;
        };
        let Some(guess) = row.out.pop_front() else {
            return;
        };
        row.pay(&guess, -1.0);
        row.pay(&cost, 1.0);
        row.done.pieces += 1;
        row.done.bytes += cost.bytes;
        row.done.core += cost.core;
    }

    /// When something that waits may go that may not now, if nothing else happens; none: nothing waits.
    pub fn next_look(&self, now: Duration) -> Option<Duration> {
        let of_row = |row: &Row| {
            let (offered, cost) = row
                .waiting
                .front()
                .filter(|_| row.out.len() < row.kind.at_once)?;
            let starves = *offered + row.kind.starves;
            if self.is_paused(now) {
                return Some(starves.min(self.delay.0 + DELAY_HOLDS));
            }
            let costs = [cost.bytes, cost.operations, cost.core];
            let waits = row.purses.iter().zip(costs).filter_map(|(purse, cost)| {
                let purse = purse.as_ref()?;
                let need = cost.min(purse.rate.a_second * purse.rate.purse) - purse.held;
                Some(if need <= 0.0 {
                    0.0
                } else {
                    (need / purse.rate.a_second.max(1e-9)).min(3600.0)
                })
            });
            let wait = Duration::from_secs_f64(waits.fold(0.0, f64::max));
            Some(starves.min(now + wait))
        };
        self.rows
            .iter()
            .filter_map(of_row)
            .min()
            .map(|at| at.max(now))
    }

    /// Of each kind: its name, what waits, what is under way, what was done.
    pub fn report(&self) -> impl Iterator<Item = (&'static str, usize, usize, Done)> {
        self.rows
            .iter()
            .map(|row| (row.kind.name, row.waiting.len(), row.out.len(), row.done))
    }
}

#[cfg(test)]
mod tests;
