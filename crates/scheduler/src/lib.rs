//! A scheduler for background work, without I/O, threads or a clock of its own.
//!
//! Work comes in kinds. Each kind has a priority, token-bucket budgets (bytes, operations and core seconds), a
//! deadline after which a waiting task counts as overdue, and a starvation limit after which it runs even
//! past its budgets. While the program's event loop is delayed, only tasks past their starvation limit run.
//!
//! ```
//! use chalkhall_scheduler::{Cost, Kind, Rate, Scheduler};
//! use std::time::Duration;
//!
//! let s = Duration::from_secs;
//! let scrub = Kind { name: "scrub", priority: 1, bytes: Some(Rate::per_second(1000.0)), ..Kind::default() };
//! let mut work = Scheduler::new(vec![scrub], Duration::from_millis(5));
//! work.offer(s(0), 0, Cost { bytes: 800.0, ..Cost::default() });
//! work.offer(s(0), 0, Cost { bytes: 800.0, ..Cost::default() });
//! assert_eq!(work.next(s(0)), Some(0));
//! assert_eq!(work.next(s(0)), None, "the token bucket is empty");
//! assert_eq!(work.next(s(1)), Some(0));
//! ```

use std::collections::VecDeque;
use std::time::Duration;

/// Maximum number of waiting tasks of one kind; further offers are refused.
const MAX_WAITING: usize = 4096;
/// Weight of a new sample in the moving average of the event loop's delay.
const DELAY_SMOOTHING: f64 = 1.0 / 8.0;
/// A delay sample older than this is ignored: a loop that reports no delay is not considered delayed.
const DELAY_MAX_AGE: Duration = Duration::from_secs(1);
/// Paused work resumes once the average delay falls below this fraction of the limit (hysteresis).
const RESUME_FRACTION: f64 = 0.5;
/// Ratio of the shares of two adjacent priorities while both have waiting tasks.
const WEIGHT_PER_PRIORITY: f64 = 4.0;

/// A token-bucket rate: `per_second` tokens per second, with a capacity of `burst_seconds` of them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    pub per_second: f64,
    pub burst_seconds: f64,
}

impl Rate {
    /// A rate whose bucket holds one second's worth of tokens.
    pub fn per_second(per_second: f64) -> Rate {
        Rate {
            per_second,
            burst_seconds: 1.0,
        }
    }
}

/// The cost of a task: an estimate when it is offered, the actual cost when it completes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    pub bytes: f64,
    pub operations: f64,
    /// Core seconds.
    pub core: f64,
}

/// One kind of work.
#[derive(Clone, Debug)]
pub struct Kind {
    pub name: &'static str,
    /// 0 is the lowest. Each step up quadruples the kind's share of the scheduled tasks.
    pub priority: u8,
    /// `None`: unlimited.
    pub bytes: Option<Rate>,
    pub operations: Option<Rate>,
    pub core: Option<Rate>,
    /// A task that has waited this long runs before tasks that have not, whatever their priority.
    pub deadline: Duration,
    /// A task that has waited this long runs even past its budgets and while work is paused.
    pub starvation_limit: Duration,
    /// Maximum number of tasks of this kind in flight.
    pub max_in_flight: usize,
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
            starvation_limit: Duration::from_secs(600),
            max_in_flight: usize::MAX,
        }
    }
}

struct TokenBucket {
    rate: Rate,
    tokens: f64,
}

impl TokenBucket {
    fn new(rate: Rate) -> TokenBucket {
        TokenBucket {
            rate,
            tokens: rate.per_second * rate.burst_seconds,
        }
    }

    fn refill(&mut self, seconds: f64) {
        let capacity = self.rate.per_second * self.rate.burst_seconds;
        self.tokens = (self.tokens + self.rate.per_second * seconds).min(capacity);
    }

    /// A task that costs more than the capacity runs when the bucket is full and leaves it in debt.
    fn can_afford(&self, cost: f64) -> bool {
        self.tokens >= cost.min(self.rate.per_second * self.rate.burst_seconds) - 1e-9
    }
}

/// Counters of one kind of work.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counters {
    pub tasks: u64,
    pub bytes: f64,
    pub core: f64,
    /// Tasks that started past their deadline, and past their starvation limit.
    pub overdue: u64,
    pub starved: u64,
    pub refused: u64,
}

struct Queue {
    kind: Kind,
    buckets: [Option<TokenBucket>; 3],
    waiting: VecDeque<(Duration, Cost)>,
    /// Estimated costs of the tasks in flight, oldest first.
    in_flight: VecDeque<Cost>,
    /// Number of tasks started, divided by the kind's weight (the virtual time of fair queueing).
    weighted_service: f64,
    counters: Counters,
}

impl Queue {
    fn weight(&self) -> f64 {
        WEIGHT_PER_PRIORITY.powi(i32::from(self.kind.priority))
    }

    fn can_afford(&self, cost: &Cost) -> bool {
        let costs = [cost.bytes, cost.operations, cost.core];
        self.buckets
            .iter()
            .zip(costs)
            .all(|(bucket, cost)| bucket.as_ref().is_none_or(|p| p.can_afford(cost)))
    }

    fn charge(&mut self, cost: &Cost, sign: f64) {
        let costs = [cost.bytes, cost.operations, cost.core];
        for (bucket, cost) in self.buckets.iter_mut().zip(costs) {
            if let Some(bucket) = bucket {
                bucket.tokens -= cost * sign;
            }
        }
    }
}

/// How urgent the oldest waiting task of a kind is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    Normal,
    Overdue,
    Starved,
}

pub struct Scheduler {
    queues: Vec<Queue>,
    refilled_at: Duration,
    /// An average event-loop delay above this pauses all work that is not starved.
    max_loop_delay: Duration,
    loop_delay: (Duration, f64),
    paused: bool,
}

impl Scheduler {
    /// Creates a scheduler whose kinds are numbered by their position in `kinds`. `max_loop_delay`: the average
    /// event-loop delay above which work pauses.
    pub fn new(kinds: Vec<Kind>, max_loop_delay: Duration) -> Scheduler {
        let queue = |kind: Kind| Queue {
            buckets: [kind.bytes, kind.operations, kind.core]
                .map(|rate| rate.map(TokenBucket::new)),
            kind,
            waiting: VecDeque::new(),
            in_flight: VecDeque::new(),
            weighted_service: 0.0,
            counters: Counters::default(),
        };
        let queues = kinds.into_iter().map(queue).collect();
        Scheduler {
            queues,
            refilled_at: Duration::ZERO,
            max_loop_delay,
            loop_delay: (Duration::ZERO, 0.0),
            paused: false,
        }
    }

    /// Records that an iteration of the event loop started `late` after it was due.
    pub fn record_loop_delay(&mut self, now: Duration, late: Duration) {
        let mean = self.loop_delay.1 + (late.as_secs_f64() - self.loop_delay.1) * DELAY_SMOOTHING;
        self.loop_delay = (now, mean);
        let limit = self.max_loop_delay.as_secs_f64();
        self.paused = mean
            > if self.paused {
                limit * RESUME_FRACTION
            } else {
                limit
            };
    }

    /// Whether work is paused because the event loop is delayed.
    pub fn is_paused(&self, now: Duration) -> bool {
        self.paused && now < self.loop_delay.0 + DELAY_MAX_AGE
    }

    /// Queues a task. Returns false if the kind is unknown or its queue is full.
    pub fn offer(&mut self, now: Duration, kind: usize, cost: Cost) -> bool {
        let Some(queue) = self.queues.get_mut(kind) else {
            return false;
        };
        if queue.waiting.len() >= MAX_WAITING {
            queue.counters.refused += 1;
            return false;
        }
        queue.waiting.push_back((now, cost));
        true
    }

    /// Number of waiting tasks and of tasks in flight of a kind.
    pub fn queue_lengths(&self, kind: usize) -> (usize, usize) {
        self.queues
            .get(kind)
            .map_or((0, 0), |queue| (queue.waiting.len(), queue.in_flight.len()))
    }

    /// Starts the next task and returns its kind. Its estimated cost is charged; [`Scheduler::complete`] corrects it.
    pub fn next(&mut self, now: Duration) -> Option<usize> {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.queues
            .iter_mut()
            .flat_map(|queue| &mut queue.buckets)
            .flatten()
            .for_each(|bucket| bucket.refill(elapsed));
        let paused = self.is_paused(now);
        let ready = self.queues.iter().enumerate().filter_map(|(n, queue)| {
            let (offered, cost) = queue
                .waiting
                .front()
                .filter(|_| queue.in_flight.len() < queue.kind.max_in_flight)?;
            let waited = now.saturating_sub(*offered);
            let urgency = match waited {
                waited if waited >= queue.kind.starvation_limit => Urgency::Starved,
                waited if waited >= queue.kind.deadline => Urgency::Overdue,
                _ => Urgency::Normal,
            };
            let can_run = urgency == Urgency::Starved || !paused && queue.can_afford(cost);
            can_run.then_some((urgency, queue.weighted_service, n))
        });
        // Most urgent first; ties go to the kind with the least weighted service.
        let best = ready.max_by(|a, b| a.0.cmp(&b.0).then(b.1.total_cmp(&a.1)).then(b.2.cmp(&a.2)));
        let (urgency, _, n) = best?;
        let queue = &mut self.queues[n];
        let (_, cost) = queue.waiting.pop_front()?;
        queue.charge(&cost, 1.0);
        queue.in_flight.push_back(cost);
        queue.counters.overdue += u64::from(urgency == Urgency::Overdue);
        queue.counters.starved += u64::from(urgency == Urgency::Starved);
        // A kind that was idle accumulates no credit: it starts level with the others.
        let min_service = self
            .queues
            .iter()
            .filter(|r| !r.waiting.is_empty())
            .map(|r| r.weighted_service)
            .fold(f64::INFINITY, f64::min);
        let queue = &mut self.queues[n];
        if min_service.is_finite() {
            queue.weighted_service = queue.weighted_service.max(min_service);
        }
        queue.weighted_service += 1.0 / queue.weight();
        Some(n)
    }

    /// Records the completion of a task and replaces the estimate of the oldest task in flight by `cost`.
    pub fn complete(&mut self, kind: usize, cost: Cost) {
        let Some(queue) = self.queues.get_mut(kind) else {
            return;
        };
        let Some(estimate) = queue.in_flight.pop_front() else {
            return;
        };
        queue.charge(&estimate, -1.0);
        queue.charge(&cost, 1.0);
        queue.counters.tasks += 1;
        queue.counters.bytes += cost.bytes;
        queue.counters.core += cost.core;
    }

    /// When to call [`Scheduler::next`] again if nothing else happens; `None` if no waiting task can start.
    pub fn next_wakeup(&self, now: Duration) -> Option<Duration> {
        let wakeup_of = |queue: &Queue| {
            let (offered, cost) = queue
                .waiting
                .front()
                .filter(|_| queue.in_flight.len() < queue.kind.max_in_flight)?;
            let starves = *offered + queue.kind.starvation_limit;
            if self.is_paused(now) {
                return Some(starves.min(self.loop_delay.0 + DELAY_MAX_AGE));
            }
            let costs = [cost.bytes, cost.operations, cost.core];
            let waits = queue
                .buckets
                .iter()
                .zip(costs)
                .filter_map(|(bucket, cost)| {
                    let bucket = bucket.as_ref()?;
                    let need = cost.min(bucket.rate.per_second * bucket.rate.burst_seconds)
                        - bucket.tokens;
                    Some(if need <= 0.0 {
                        0.0
                    } else {
                        (need / bucket.rate.per_second.max(1e-9)).min(3600.0)
                    })
                });
            let wait = Duration::from_secs_f64(waits.fold(0.0, f64::max));
            Some(starves.min(now + wait))
        };
        self.queues
            .iter()
            .filter_map(wakeup_of)
            .min()
            .map(|at| at.max(now))
    }

    /// For each kind: its name, the number of waiting tasks and of tasks in flight, and its counters.
    pub fn report(&self) -> impl Iterator<Item = (&'static str, usize, usize, Counters)> {
        self.queues.iter().map(|queue| {
            (
                queue.kind.name,
                queue.waiting.len(),
                queue.in_flight.len(),
                queue.counters,
            )
        })
    }
}

#[cfg(test)]
mod tests;
