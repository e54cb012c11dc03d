//! Watches the five rules and that every request has one end, over all routers together, by what the world
//! around them knows. It decides nothing and stops nothing: it counts, and keeps the first breaks in words.
//!
//! Clocks: a break counts from when a message was read here, which on a busy machine may be a while after it
//! was written. [`SLACK`] is granted for that; a run whose own turns came late is void anyway.

use crate::copies::Key;
use std::collections::HashMap;
use std::time::Duration;

/// Granted to every limit of time.
pub const SLACK: Duration = Duration::from_millis(250);
/// The graces that routers are told.
pub const DRAIN_GRACE: Duration = Duration::from_millis(500);
pub const PURGE_GRACE: Duration = Duration::from_millis(500);
/// So many breaks are told in words.
const WORDS_MOST: usize = 12;

/// A request as the clients' side knows it.
#[derive(Clone, Copy, Debug)]
pub struct Life {
    pub router: usize,
    /// It must not run twice.
    pub write: bool,
    pub key: Key,
    pub begun: Duration,
    pub due: Duration,
    runs: u32,
    answered: bool,
    /// Its router was killed or stopped: it owes nothing.
    excused: bool,
}

impl Life {
    pub fn new(router: usize, write: bool, key: Key, begun: Duration, due: Duration) -> Life {
        Life {
            router,
            write,
            key,
            begun,
            due,
            runs: 0,
            answered: false,
            excused: false,
        }
    }
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Final {
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
pub struct Watch {
    lives: HashMap<u64, Life>,
    /// By router and server: when it was told that the server takes nothing new.
    drains: HashMap<(usize, usize), Duration>,
    /// By object: of the last purge, its Unix millisecond, and when each router was told.
    purges: HashMap<u64, (u64, HashMap<usize, Duration>)>,
    pub breaks: Breaks,
    pub words: Vec<String>,
}

impl Watch {
    fn say(&mut self, what: impl FnOnce() -> String) {
        if self.words.len() < WORDS_MOST {
            self.words.push(what());
        }
    }

    pub fn told_drain(&mut self, now: Duration, router: usize, server: usize) {
        self.drains.entry((router, server)).or_insert(now);
    }

    /// The server is back in the list of that router.
    pub fn told_active(&mut self, router: usize, server: usize) {
        self.drains.remove(&(router, server));
    }

    pub fn told_purge(&mut self, now: Duration, router: usize, object: u64, unix_ms: u64) {
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

    pub fn begins(&mut self, id: u64, life: Life) {
        self.lives.insert(id, life);
    }

    pub fn life(&self, id: u64) -> Option<&Life> {
        self.lives.get(&id)
    }

    /// An attempt has come to a server, with that source for its fill. Returns of which router it is.
    pub fn comes(
        &mut self,
        now: Duration,
        id: u64,
        server: usize,
        source: Option<usize>,
    ) -> Option<usize> {
        let Some(life) = self.lives.get(&id) else {
            self.breaks.strange += 1;
            self.say(|| format!("{now:?}: an attempt of {id:016x}, which nobody asked for"));
            return None;
        };
        let router = life.router;
        for end in [Some(server), source].into_iter().flatten() {
            let told = self.drains.get(&(router, end)).copied();
            if let Some(told) = told.filter(|told| now > *told + DRAIN_GRACE + SLACK) {
                self.breaks.drain += 1;
                self.say(|| {
                    format!("{now:?}: router {router} names server {end}, drained since {told:?}")
                });
            }
        }
        Some(router)
    }

    /// The effect of a request has taken place.
    pub fn runs(&mut self, now: Duration, id: u64) {
        let Some(life) = self.lives.get_mut(&id) else {
            return;
        };
        life.runs += 1;
        if life.write && life.runs > 1 {
            let router = life.router;
            self.breaks.double_runs += 1;
            self.say(|| format!("{now:?}: {id:016x} of router {router} ran twice"));
        }
    }

    /// What `router` asked for at `asked` was answered from a copy of that age.
    pub fn answered_from(&mut self, asked: Duration, router: usize, object: u64, made: u64) {
        let Some((unix_ms, told)) = self.purges.get(&object) else {
            return;
        };
        let bound = told
            .get(&router)
            .is_some_and(|told| asked > *told + PURGE_GRACE + SLACK);
        if bound && made < *unix_ms {
            self.breaks.stale += 1;
            self.say(|| {
                format!(
                    "{asked:?}: router {router} took a copy of {object:016x} from before its purge"
                )
            });
        }
    }

    /// A cold server was sent more than it bears.
    pub fn pushed_over(&mut self, now: Duration, server: usize, sent: f64, bears: f64) {
        self.breaks.cold += 1;
        self.say(|| {
            format!(
                "{now:?}: cold server {server} was sent {sent:.2} s of work where {bears:.2} push it over"
            )
        });
    }

    /// A client has its final answer, or will have none.
    pub fn ends(&mut self, now: Duration, id: u64, end: Final) {
        let Some(life) = self.lives.get_mut(&id) else {
            return;
        };
        let before = *life;
        if before.excused {
            return;
        }
        life.answered = true;
        let router = before.router;
        if before.answered {
            self.breaks.twice += 1;
            return self.say(|| format!("{now:?}: router {router} answered {id:016x} twice"));
        }
        let wrong = matches!(end, Final::Wrong | Final::Nothing)
            || matches!(end, Final::Served(key, _) if key != before.key);
        if wrong || now > before.due + SLACK {
            self.breaks.lost += 1;
            let (begun, due) = (before.begun, before.due);
            self.say(|| {
                format!(
                    "{now:?}: {id:016x} of router {router}, {begun:?} to {due:?}, ended by {end:?}"
                )
            });
        }
        if end == Final::Rejected && before.write && before.runs > 0 {
            self.breaks.double_runs += 1;
            self.say(|| format!("{now:?}: router {router} rejected {id:016x}, which ran"));
        }
        if let Final::Served((object, _), made) = end {
            self.answered_from(before.begun, router, object, made);
        }
    }

    /// The router was killed or stopped: what it had open ends with it, and is not its fault.
    pub fn killed(&mut self, router: usize) {
        let open = self
            .lives
            .values_mut()
            .filter(|life| life.router == router && !life.answered);
        open.for_each(|life| life.excused = true);
    }

    /// What was sent to a router that is no more.
    pub fn excuse(&mut self, id: u64) {
        self.lives
            .get_mut(&id)
            .into_iter()
            .for_each(|life| life.excused = true);
    }

    /// At the end: what was never answered is lost.
    pub fn close(&mut self, now: Duration) {
        let mut open: Vec<u64> = self
            .lives
            .iter()
            .filter(|(_, l)| !l.answered && !l.excused && now > l.due + SLACK)
            .map(|(id, _)| *id)
            .collect();
        open.sort_unstable();
        for id in open {
            self.ends(now, id, Final::Nothing);
        }
    }

    pub fn open(&self) -> usize {
        self.lives
            .values()
            .filter(|life| !life.answered && !life.excused)
            .count()
    }
}

#[cfg(test)]
mod tests;
