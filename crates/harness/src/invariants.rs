//! Watches the five rules and that every request has one end, over all routers together, by what the world
//! around them knows. It decides nothing and stops nothing: it counts, and keeps the first breaks in words.
//!
//! Clocks: a break counts from when a message was read here, which on a busy machine may be a while after it
//! was written. [`TIMING_TOLERANCE`] is granted for that; a run whose own turns came late is void anyway.

use crate::object_cache::Key;
use std::collections::HashMap;
use std::time::Duration;

/// Granted to every limit of time.
pub const TIMING_TOLERANCE: Duration = Duration::from_millis(250);
/// The graces that routers are told.
pub const DRAIN_GRACE: Duration = Duration::from_millis(500);
pub const PURGE_GRACE: Duration = Duration::from_millis(500);
/// So many breaks are told in words.
const MAX_DESCRIPTIONS: usize = 12;

/// A request as the clients' side knows it.
#[derive(Clone, Copy, Debug)]
pub struct TrackedRequest {
    pub router: usize,
    /// It must not run twice.
    pub write: bool,
    pub key: Key,
    pub started_at: Duration,
    pub deadline: Duration,
    executions: u32,
    answered: bool,
    /// Its router was killed or stopped: it owes nothing.
    excused: bool,
}

impl TrackedRequest {
    pub fn new(
        router: usize,
        write: bool,
        key: Key,
        started_at: Duration,
        deadline: Duration,
    ) -> TrackedRequest {
        TrackedRequest {
            router,
            write,
            key,
            started_at,
            deadline,
            executions: 0,
            answered: false,
            excused: false,
        }
    }
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// With a copy of that key which the origin gave out at that Unix millisecond.
    Served(Key, u64),
    Rejected,
    Failed,
    /// What came is no answer, or not what was asked for.
    Wrong,
    /// The connection ended without one.
    Nothing,
}

/// How often each rule was broken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Breaks {
    /// Rule 1: no final answer in time, or what cannot be one; and two.
    pub lost: u64,
    pub twice: u64,
    /// Rule 2: ran twice, or was rejected after it ran.
    pub double_runs: u64,
    /// Rule 3: sent to who was told to drain.
    pub drain: u64,
    /// Rule 4: a cold server was pushed over.
    pub cold: u64,
    /// Rule 5: answered from a copy older than a purge allows.
    pub stale: u64,
    /// An attempt of no request that there is.
    pub strange: u64,
}

impl Breaks {
    pub fn all(&self) -> u64 {
        self.lost
            + self.twice
            + self.double_runs
            + self.drain
            + self.cold
            + self.stale
            + self.strange
    }
}

#[derive(Default)]
pub struct InvariantChecker {
    requests: HashMap<u64, TrackedRequest>,
    /// By router and server: when it was told that the server takes nothing new.
    drains: HashMap<(usize, usize), Duration>,
    /// By object: of the last purge, its Unix millisecond, and when each router was told.
    purges: HashMap<u64, (u64, HashMap<usize, Duration>)>,
    pub breaks: Breaks,
    pub descriptions: Vec<String>,
}

impl InvariantChecker {
    fn describe(&mut self, what: impl FnOnce() -> String) {
        if self.descriptions.len() < MAX_DESCRIPTIONS {
            self.descriptions.push(what());
        }
    }

    pub fn record_drain(&mut self, now: Duration, router: usize, server: usize) {
        self.drains.entry((router, server)).or_insert(now);
    }

    /// The server is back in the list of that router.
    pub fn record_active(&mut self, router: usize, server: usize) {
        self.drains.remove(&(router, server));
    }

    pub fn record_purge(&mut self, now: Duration, router: usize, object: u64, unix_ms: u64) {
        let purge = self
            .purges
            .entry(object)
            .or_insert_with(|| (unix_ms, HashMap::new()));
        if purge.0 < unix_ms {
            *purge = (unix_ms, HashMap::new());
        }
        if purge.0 == unix_ms {
            purge.1.entry(router).or_insert(now);
        }
    }

    pub fn request_started(&mut self, id: u64, request: TrackedRequest) {
        self.requests.insert(id, request);
    }

    pub fn request(&self, id: u64) -> Option<&TrackedRequest> {
        self.requests.get(&id)
    }

    /// An attempt has come to a server, with that source for its fill. Returns of which router it is.
    pub fn attempt_arrived(
        &mut self,
        now: Duration,
        id: u64,
        server: usize,
        source: Option<usize>,
    ) -> Option<usize> {
        let Some(request) = self.requests.get(&id) else {
            self.breaks.strange += 1;
            self.describe(|| format!("{now:?}: an attempt of {id:016x}, which nobody asked for"));
            return None;
        };
        let router = request.router;
        for end in [Some(server), source].into_iter().flatten() {
            let told_at = self.drains.get(&(router, end)).copied();
            if let Some(told_at) =
                told_at.filter(|told_at| now > *told_at + DRAIN_GRACE + TIMING_TOLERANCE)
            {
                self.breaks.drain += 1;
                self.describe(|| {
                    format!(
                        "{now:?}: router {router} names server {end}, drained since {told_at:?}"
                    )
                });
            }
        }
        Some(router)
    }

    /// The effect of a request has taken place.
    pub fn request_executed(&mut self, now: Duration, id: u64) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.executions += 1;
        if request.write && request.executions > 1 {
            let router = request.router;
            self.breaks.double_runs += 1;
            self.describe(|| format!("{now:?}: {id:016x} of router {router} ran twice"));
        }
    }

    /// What `router` asked for at `asked` was answered from a copy of that age.
    pub fn copy_served(&mut self, asked_at: Duration, router: usize, object: u64, created_ms: u64) {
        let Some((unix_ms, told_at)) = self.purges.get(&object) else {
            return;
        };
        let bound = told_at
            .get(&router)
            .is_some_and(|told_at| asked_at > *told_at + PURGE_GRACE + TIMING_TOLERANCE);
        if bound && created_ms < *unix_ms {
            self.breaks.stale += 1;
            self.describe(|| {
                format!(
                    "{asked_at:?}: router {router} took a copy of {object:016x} from before its purge"
                )
            });
        }
    }

    /// A cold server was sent more than it bears.
    pub fn server_overloaded(&mut self, now: Duration, server: usize, sent: f64, limit: f64) {
        self.breaks.cold += 1;
        self.describe(|| {
            format!(
                "{now:?}: cold server {server} was sent {sent:.2} s of work where {limit:.2} push it over"
            )
        });
    }

    /// A client has its final answer, or will have none.
    pub fn request_ended(&mut self, now: Duration, id: u64, end: Outcome) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let before = *request;
        if before.excused {
            return;
        }
        request.answered = true;
        let router = before.router;
        if before.answered {
            self.breaks.twice += 1;
            return self.describe(|| format!("{now:?}: router {router} answered {id:016x} twice"));
        }
        let wrong = matches!(end, Outcome::Wrong | Outcome::Nothing)
            || matches!(end, Outcome::Served(key, _) if key != before.key);
        if wrong || now > before.deadline + TIMING_TOLERANCE {
            self.breaks.lost += 1;
            let (started_at, deadline) = (before.started_at, before.deadline);
            self.describe(|| {
                format!(
                    "{now:?}: {id:016x} of router {router}, {started_at:?} to {deadline:?}, ended by {end:?}"
                )
            });
        }
        if end == Outcome::Rejected && before.write && before.executions > 0 {
            self.breaks.double_runs += 1;
            self.describe(|| format!("{now:?}: router {router} rejected {id:016x}, which ran"));
        }
        if let Outcome::Served((object, _), created_ms) = end {
            self.copy_served(before.started_at, router, object, created_ms);
        }
    }

    /// The router was killed or stopped: what it had open ends with it, and is not its fault.
    pub fn router_stopped(&mut self, router: usize) {
        let open = self
            .requests
            .values_mut()
            .filter(|request| request.router == router && !request.answered);
        open.for_each(|request| request.excused = true);
    }

    /// What was sent to a router that is no more.
    pub fn excuse(&mut self, id: u64) {
        self.requests
            .get_mut(&id)
            .into_iter()
            .for_each(|request| request.excused = true);
    }

    /// At the end: what was never answered is lost.
    pub fn close_all(&mut self, now: Duration) {
        let mut open: Vec<u64> = self
            .requests
            .iter()
            .filter(|(_, l)| !l.answered && !l.excused && now > l.deadline + TIMING_TOLERANCE)
            .map(|(id, _)| *id)
            .collect();
        open.sort_unstable();
        for id in open {
            self.request_ended(now, id, Outcome::Nothing);
        }
    }

    pub fn open_requests(&self) -> usize {
        self.requests
            .values()
            .filter(|request| !request.answered && !request.excused)
            .count()
    }
}

#[cfg(test)]
mod tests;
