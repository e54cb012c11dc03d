//! Which background work goes next, and when none may: a scheduler without I/O, threads or clock.
//!
//! Work comes in kinds. Each kind has a priority, budgets (bytes, operations and time of a core, each as a
//! rate with a purse), a deadline after which waiting work counts as urgent, and a bound after which it goes
//! even if all else says no: nothing starves. While the program's own turns come late, only what has passed
//! that bound goes.
//!
//! ```
//! use chalkhall_background::{Cost, Kind, Rate, Scheduler};
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
        Rate { a_second, purse: 1.0 }
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
        Purse { rate, held: rate.a_second * rate.purse }
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
        self.purses.iter().zip(costs).all(|(purse, cost)| purse.as_ref().is_none_or(|p| p.affords(cost)))
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
        Scheduler { rows, filled: Duration::ZERO, late_over, delay: (Duration::ZERO, 0.0), paused: false }
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
        let Some(row) = self.rows.get_mut(kind) else { return false };
        if row.waiting.len() >= WAITING_MOST {
            row.done.refused += 1;
            return false;
        }
        row.waiting.push_back((now, cost));
        true
    }

    /// Pieces of a kind that wait, and that are under way.
    pub fn held(&self, kind: usize) -> (usize, usize) {
        self.rows.get(kind).map_or((0, 0), |row| (row.waiting.len(), row.out.len()))
    }

    /// The kind whose oldest piece goes now. Its guessed cost is paid; `done` settles the rest.
    pub fn next(&mut self, now: Duration) -> Option<usize> {
        let since = now.saturating_sub(self.filled).as_secs_f64();
        self.filled = self.filled.max(now);
        self.rows.iter_mut().flat_map(|row| &mut row.purses).flatten().for_each(|purse| purse.fill(since));
        let paused = self.is_paused(now);
        let ready = self.rows.iter().enumerate().filter_map(|(n, row)| {
            let (offered, cost) = row.waiting.front().filter(|_| row.out.len() < row.kind.at_once)?;
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
        let Some(row) = self.rows.get_mut(kind) else { return };
        let Some(guess) = row.out.pop_front() else { return };
        row.pay(&guess, -1.0);
        row.pay(&cost, 1.0);
        row.done.pieces += 1;
        row.done.bytes += cost.bytes;
        row.done.core += cost.core;
    }

    /// When something that waits may go that may not now, if nothing else happens; none: nothing waits.
    pub fn next_look(&self, now: Duration) -> Option<Duration> {
        let of_row = |row: &Row| {
            let (offered, cost) = row.waiting.front().filter(|_| row.out.len() < row.kind.at_once)?;
            let starves = *offered + row.kind.starves;
            if self.is_paused(now) {
                return Some(starves.min(self.delay.0 + DELAY_HOLDS));
            }
            let costs = [cost.bytes, cost.operations, cost.core];
            let waits = row.purses.iter().zip(costs).filter_map(|(purse, cost)| {
                let purse = purse.as_ref()?;
                let need = cost.min(purse.rate.a_second * purse.rate.purse) - purse.held;
                Some(if need <= 0.0 { 0.0 } else { (need / purse.rate.a_second.max(1e-9)).min(3600.0) })
            });
            let wait = Duration::from_secs_f64(waits.fold(0.0, f64::max));
            Some(starves.min(now + wait))
        };
        self.rows.iter().filter_map(of_row).min().map(|at| at.max(now))
    }

    /// Of each kind: its name, what waits, what is under way, what was done.
    pub fn report(&self) -> impl Iterator<Item = (&'static str, usize, usize, Done)> {
        self.rows.iter().map(|row| (row.kind.name, row.waiting.len(), row.out.len(), row.done))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn ms(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    fn kind(priority: u8) -> Kind {
        Kind { priority, deadline: ms(1000), starves: ms(5000), ..Kind::default() }
    }

    fn one() -> Cost {
        Cost { operations: 1.0, ..Cost::default() }
    }

    #[test]
    fn priorities_share_and_none_is_shut_out() {
        let mut work = Scheduler::new(vec![kind(0), kind(1)], ms(5));
        let mut went = [0; 2];
        for _ in 0..500 {
            (0..2).filter(|n| work.held(*n).0 < 5).collect::<Vec<_>>().into_iter().for_each(|n| {
                work.offer(ms(0), n, one());
            });
            let next = work.next(ms(0)).unwrap();
            went[next] += 1;
            work.done(next, one());
        }
        assert_eq!(went, [100, 400]);
    }

    #[test]
    fn who_had_nothing_to_do_has_no_claim_on_the_past() {
        let mut work = Scheduler::new(vec![kind(1), kind(1)], ms(5));
        for _ in 0..1000 {
            work.offer(ms(0), 0, one());
            assert_eq!(work.next(ms(0)), Some(0));
        }
        let mut went = [0; 2];
        for _ in 0..100 {
            work.offer(ms(0), 0, one());
            work.offer(ms(0), 1, one());
            went[work.next(ms(0)).unwrap()] += 1;
        }
        assert!(went[0] >= 49, "{went:?}");
    }

    #[test]
    fn late_turns_pause_all_but_what_starves() {
        let mut work = Scheduler::new(vec![kind(1)], ms(5));
        work.offer(ms(0), 0, one());
        work.offer(ms(0), 0, one());
        (0..20).for_each(|_| work.turn(ms(100), ms(20)));
        assert!(work.is_paused(ms(100)) && work.next(ms(100)).is_none());
        assert_eq!(work.next_look(ms(100)), Some(ms(1100)));
        // A little better is not enough to go on, half is.
        (0..50).for_each(|_| work.turn(ms(200), ms(4)));
        assert!(work.is_paused(ms(200)));
        (0..50).for_each(|_| work.turn(ms(300), ms(2)));
        assert_eq!(work.next(ms(300)), Some(0));
        (0..50).for_each(|_| work.turn(ms(4900), ms(20)));
        assert_eq!((work.next(ms(4999)), work.next(ms(5000))), (None, Some(0)));
        // Word of the delay that has stopped coming holds nothing up.
        work.offer(ms(5000), 0, one());
        assert_eq!(work.next(ms(5901)), Some(0));
    }

    #[test]
    fn what_is_late_goes_before_a_higher_priority_and_no_more_at_once_than_may() {
        let mut low = kind(0);
        low.at_once = 1;
        let mut work = Scheduler::new(vec![low, kind(3)], ms(5));
        (0..2).for_each(|n| assert!(work.offer(ms(n), 0, one())));
        work.offer(ms(1500), 1, one());
        assert_eq!([work.next(ms(1500)), work.next(ms(1500)), work.next(ms(1500))], [Some(0), Some(1), None]);
        work.done(0, one());
        assert_eq!(work.next(ms(1500)), Some(0));
    }

    #[test]
    fn a_wrong_guess_is_settled_when_the_work_is_done() {
        let bytes = Some(Rate::a_second(100.0));
        let mut work = Scheduler::new(vec![Kind { bytes, ..kind(0) }], ms(5));
        let cost = |bytes| Cost { bytes, ..Cost::default() };
        (0..3).for_each(|_| assert!(work.offer(ms(0), 0, cost(10.0))));
        assert_eq!(work.next(ms(0)), Some(0));
        work.done(0, cost(290.0));
        // 190 in debt: it takes two seconds until ten are there again.
        assert_eq!((work.next(ms(1999)), work.next(ms(2000))), (None, Some(0)));
        assert_eq!(work.next_look(ms(2000)), Some(ms(2100)));
    }

    #[test]
    fn what_waits_is_bounded() {
        let mut work = Scheduler::new(vec![kind(0)], ms(5));
        let taken = (0..2 * WAITING_MOST).filter(|_| work.offer(ms(0), 0, one())).count();
        assert_eq!(
            (taken, work.report().next().map(|r| r.3.refused)),
            (WAITING_MOST, Some(WAITING_MOST as u64))
        );
    }

    proptest! {
        /// Whatever comes: over any run no kind takes more than its rate and one purse and one piece more,
        /// unless it starved, and no piece waits past the bound while the scheduler is asked.
        #[test]
        fn budgets_hold_and_nothing_starves(
            seed in any::<u64>(),
            rates in prop::collection::vec(10.0f64..1000.0, 1..4),
        ) {
            let kinds = rates.iter().enumerate().map(|(n, rate)| {
                Kind { bytes: Some(Rate::a_second(*rate)), priority: n as u8, ..kind(0) }
            });
            let mut work = Scheduler::new(kinds.collect(), ms(5));
            let mut chance = fastrand::Rng::with_seed(seed);
            let (mut paid, mut starved) = (vec![0.0; rates.len()], vec![0.0; rates.len()]);
            let mut waiting: Vec<VecDeque<(Duration, f64)>> = vec![VecDeque::new(); rates.len()];
            for step in 0..2000u64 {
                let now = ms(step * 10);
                let n = chance.usize(..rates.len());
                let bytes = chance.f64() * 40.0;
                if chance.u8(..3) == 0 && work.offer(now, n, Cost { bytes, ..Cost::default() }) {
                    waiting[n].push_back((now, bytes));
                }
                work.turn(now, ms(chance.u64(..12)));
                while let Some(n) = work.next(now) {
                    let (offered, bytes) = waiting[n].pop_front().unwrap();
                    let waited = now - offered;
                    prop_assert!(waited <= ms(5010), "{waited:?}");
                    if waited >= ms(5000) { starved[n] += bytes } else { paid[n] += bytes }
                    work.done(n, Cost { bytes, ..Cost::default() });
                }
            }
            for (n, rate) in rates.iter().enumerate() {
                let most = rate * 20.0 + rate + 40.0 + starved[n];
                prop_assert!(paid[n] <= most, "{} of {most}", paid[n]);
            }
        }
    }
}
