//! The servers as they truly are: caches by zone, parents, the origin. No I/O: attempts come in,
//! answers come out, time is handed in. What it models, and how plainly:
//!
//! - a transfer runs at a client's pace at most; a server's transfers share its capacity ([`Station`]);
//! - a fill has its transfer at the parent, then one of half the work on its zone's link, then half a
//!   transfer at the cache; a parent that lacks the object has it from the origin before, after
//!   `ORIGIN_WAIT`;
//! - copies are held by rank and bytes ([`Copies`]); parents know no ranks;
//! - who has started lately gives a share of its capacity, rising in a line; sent more than `MULTIPLE` times
//!   what it can do within `SPAN` it has been pushed over, which [`Watch`] counts.

use crate::copies::{Copies, Copy, Key};
use crate::station::Station;
use crate::watch::Watch;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

pub const MULTIPLE: f64 = 2.0;
pub const SPAN: Duration = Duration::from_millis(1000);
/// Between the origin and a parent.
const ORIGIN_WAIT: Duration = Duration::from_millis(30);
/// What is said at once takes this long.
const AT_ONCE: Duration = Duration::from_millis(1);
/// A server takes this multiple of its capacity at a time, and more are turned away unseen; so many fills of
/// a cache.
const OPEN_MOST: f64 = 16.0;
const FILLS_MOST: usize = 48;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tier {
    Cache(usize),
    Parent,
    Origin,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    Active,
    Draining,
    Gone,
}

pub struct Server {
    pub name: String,
    pub tier: Tier,
    pub capacity: f64,
    /// None: long ago.
    pub started: Option<Duration>,
    pub standing: Standing,
    /// Nobody listens.
    pub down: bool,
    pub slow: f64,
    pub errors: bool,
    pub silent: bool,
    /// By group of routers: towards these it is silent.
    pub apart: Vec<bool>,
    pub resets: f64,
    station: Station<u64>,
    copies: Copies,
    fills: usize,
    /// Work sent to it within the last span.
    sent: VecDeque<(Duration, f64)>,
    over: Duration,
}

/// How fast who starts warms up.
#[derive(Clone, Copy, Debug)]
pub struct Warmth {
    pub from: f64,
    pub within: Duration,
}

impl Server {
    pub fn new(name: String, tier: Tier, capacity: f64, memory_kb: f64, groups: usize) -> Server {
        Server {
            name,
            tier,
            capacity,
            started: None,
            standing: Standing::Active,
            down: false,
            slow: 1.0,
            errors: false,
            silent: false,
            apart: vec![false; groups],
            resets: 0.0,
            station: Station::new(capacity),
            copies: Copies::new(memory_kb),
            fills: 0,
            sent: VecDeque::new(),
            over: Duration::ZERO,
        }
    }

    /// What it can do, in transfers at a client's pace.
    pub fn present(&self, now: Duration, warmth: Warmth) -> f64 {
        let Some(started) = self.started else {
            return self.capacity;
        };
        let age = now.saturating_sub(started).as_secs_f64() / warmth.within.as_secs_f64();
        self.capacity * (warmth.from + (1.0 - warmth.from) * age.min(1.0))
    }

    pub fn cold(&self, now: Duration, warmth: Warmth) -> bool {
        self.started
            .is_some_and(|started| now < started + warmth.within)
    }

    /// It holds a copy from before the play.
    pub fn holds(&mut self, key: Key, copy: Copy) {
        self.copies.keep(key, 1, copy);
    }

    pub fn open(&self) -> usize {
        self.station.len()
    }
}

/// An attempt as it comes.
#[derive(Clone, Debug)]
pub struct Ask {
    pub connection: u64,
    pub router: usize,
    pub id: u64,
    pub key: Key,
    pub kb: f64,
    pub write: bool,
    pub source: Option<usize>,
    pub keep: usize,
    /// The oldest copy that will do.
    pub oldest: Duration,
    pub only_held: bool,
    pub parent_keeps: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Word {
    Ok,
    Miss,
    Busy,
    Err,
}

impl Word {
    pub fn text(self) -> &'static str {
        match self {
            Word::Ok => "OK",
            Word::Miss => "MISS",
            Word::Busy => "BUSY",
            Word::Err => "ERR",
        }
    }
}

/// What a server says to an attempt.
#[derive(Clone, Debug)]
pub struct Said {
    pub connection: u64,
    pub id: u64,
    pub server: usize,
    pub key: Key,
    pub word: Word,
    /// The note; empty: none.
    pub tell: &'static str,
    /// Time to the source's first byte.
    pub waited: Option<Duration>,
    pub made: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// At the origin, for itself or a parent.
    Origin,
    Parent,
    Link,
    Last,
    /// Only a word is left to be said.
    Word,
}

struct Flight {
    ask: Ask,
    server: usize,
    came: Duration,
    stage: Stage,
    word: Word,
    tell: &'static str,
    waited: Option<Duration>,
    made: u64,
    filling: bool,
}

/// One accepted attempt at a cache, for what is measured of load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sent {
    pub at: Duration,
    pub server: usize,
    pub zone: usize,
    pub router: usize,
    pub key: Key,
    /// Seconds at a client's pace.
    pub work: f64,
    pub hit: bool,
}

pub struct Truth {
    pub servers: Vec<Server>,
    pub watch: Watch,
    pub warmth: Warmth,
    pub sent: Vec<Sent>,
    /// KB a second.
    pace: f64,
    /// The Unix millisecond of the start.
    unix_ms: u64,
    links: Vec<Station<u64>>,
    flights: HashMap<u64, Flight>,
    last: u64,
    delays: BinaryHeap<Reverse<(Duration, u64)>>,
    /// By object: the Unix millisecond from which the origin gives it out anew.
    pub purged: HashMap<u64, u64>,
    warmed: Duration,
    ready: Vec<Said>,
    pub fills: u64,
    pub hits: u64,
}

impl Truth {
    pub fn new(
        servers: Vec<Server>,
        zones: usize,
        link: f64,
        pace: f64,
        warmth: Warmth,
        unix_ms: u64,
    ) -> Truth {
        Truth {
            servers,
            watch: Watch::default(),
            warmth,
            sent: Vec::new(),
            pace,
            unix_ms,
            links: (0..zones).map(|_| Station::new(link)).collect(),
            flights: HashMap::new(),
            last: 0,
            delays: BinaryHeap::new(),
            purged: HashMap::new(),
            warmed: Duration::ZERO,
            ready: Vec::new(),
            fills: 0,
            hits: 0,
        }
    }

    /// Time begins anew, so much later: nothing was asked yet.
    pub fn restart(&mut self, later: Duration) {
        self.unix_ms += later.as_millis() as u64;
    }

    pub fn unix(&self, now: Duration) -> u64 {
        self.unix_ms + now.as_millis() as u64
    }

    /// A server comes, warm or not.
    pub fn join(&mut self, server: Server) -> usize {
        self.servers.push(server);
        self.servers.len() - 1
    }

    /// A server's process is gone: what is open there breaks. Returns whose attempts, for their
    /// connections.
    pub fn lose(&mut self, now: Duration, server: usize) {
        self.go(now);
        let lost = self.servers[server].station.drop_but(now, |_| false);
        for flight in lost {
            self.flights.remove(&flight);
        }
        // Fills on their way to it end with it.
        self.flights.retain(|_, flight| flight.server != server);
        let server = &mut self.servers[server];
        (server.down, server.fills) = (true, 0);
        server.copies.clear();
        server.sent.clear();
    }

    /// It is back, empty and cold.
    pub fn back(&mut self, now: Duration, server: usize) {
        self.go(now);
        let server = &mut self.servers[server];
        (server.down, server.started) = (false, Some(now));
    }

    /// Nobody waits for these any more.
    pub fn quit(&mut self, connection: u64, id: Option<u64>) {
        // What is under way ends by itself and is answered to nobody: work that was begun is done.
        let of =
            |f: &&mut Flight| f.ask.connection == connection && id.is_none_or(|id| f.ask.id == id);
        self.flights
            .values_mut()
            .filter(of)
            .for_each(|flight| flight.ask.connection = u64::MAX);
    }

    /// Notes work sent to a server; a cold one may be pushed over by it.
    fn note(&mut self, now: Duration, server: usize, work: f64) {
        let (cold, present) = {
            let server = &self.servers[server];
            (
                server.cold(now, self.warmth),
                server.present(now, self.warmth),
            )
        };
        if !cold {
            return;
        }
        let bears = MULTIPLE * present * SPAN.as_secs_f64();
        let at = &mut self.servers[server];
        at.sent.push_back((now, work));
        while at.sent.front().is_some_and(|(when, _)| *when + SPAN < now) {
            at.sent.pop_front();
        }
        let sent: f64 = at.sent.iter().map(|(_, work)| work).sum();
        if sent > bears && now >= at.over {
            // One push is one break, whatever else is in the same span.
            at.over = now + SPAN;
            self.watch.pushed_over(now, server, sent, bears);
        }
    }

    /// The highest share of what pushes a server over that it was sent lately.
    pub fn strain(&self, now: Duration, server: usize) -> f64 {
        let at = &self.servers[server];
        let sent: f64 = at
            .sent
            .iter()
            .filter(|(when, _)| *when + SPAN >= now)
            .map(|(_, work)| work)
            .sum();
        sent / (MULTIPLE * at.present(now, self.warmth) * SPAN.as_secs_f64())
    }

    fn work(&self, kb: f64) -> f64 {
        kb / self.pace
    }

    fn word(&mut self, now: Duration, mut flight: Flight, word: Word, tell: &'static str) {
        (flight.stage, flight.word, flight.tell) = (Stage::Word, word, tell);
        self.later(now + AT_ONCE, flight);
    }

    fn later(&mut self, at: Duration, flight: Flight) {
        self.last += 1;
        self.flights.insert(self.last, flight);
        self.delays.push(Reverse((at, self.last)));
    }

    fn at_station(&mut self, now: Duration, flight: Flight) {
        let full = self.work(flight.ask.kb);
        let (number, stage, server) = (self.last + 1, flight.stage, flight.server);
        self.last = number;
        let source = flight.ask.source;
        let filling = flight.filling;
        self.flights.insert(number, flight);
        let origin = || {
            self.servers
                .iter()
                .position(|s| s.tier == Tier::Origin)
                .unwrap_or(0)
        };
        match stage {
            Stage::Origin => {
                let origin = origin();
                self.servers[origin].station.add(now, number, full);
            }
            Stage::Parent => {
                let parent = source.unwrap_or(server);
                let slow = self.servers[parent].slow;
                self.servers[parent].station.add(now, number, full * slow);
            }
            Stage::Link => {
                if let Tier::Cache(zone) = self.servers[server].tier {
                    self.links[zone].add(now, number, full / 2.0);
                }
            }
            Stage::Last => {
                let at = &mut self.servers[server];
                let part = if filling { 0.5 } else { 1.0 };
                at.station.add(now, number, full * part * at.slow);
            }
            Stage::Word => {}
        }
    }

    /// An attempt comes to a server, which listens and is not silent towards it.
    pub fn ask(&mut self, now: Duration, server: usize, ask: Ask) {
        self.go(now);
        let work = self.work(ask.kb);
        self.note(now, server, work);
        let at = &mut self.servers[server];
        let (tier, full) = (at.tier, at.station.len() as f64 >= OPEN_MOST * at.capacity);
        let errors = at.errors;
        let mut flight = Flight {
            server,
            came: now,
            stage: Stage::Last,
            word: Word::Ok,
            tell: "",
            waited: None,
            made: 0,
            filling: false,
            ask,
        };
        if errors {
            return self.word(now, flight, Word::Err, "");
        }
        if full {
            return self.word(now, flight, Word::Busy, "");
        }
        if flight.ask.write {
            return self.write(now, flight);
        }
        let unix = self.unix(now);
        let young = |copy: &Copy, oldest: Duration| copy.made + oldest.as_millis() as u64 >= unix;
        let at = &mut self.servers[server];
        let held = at
            .copies
            .hit(&flight.ask.key, flight.ask.keep)
            .filter(|copy| young(copy, flight.ask.oldest));
        if let Tier::Cache(zone) = tier {
            let (router, key) = (flight.ask.router, flight.ask.key);
            self.sent.push(Sent {
                at: now,
                server,
                zone,
                router,
                key,
                work,
                hit: held.is_some(),
            });
        }
        if let Some(copy) = held {
            (flight.made, flight.tell) = (copy.made, "hit");
            self.hits += u64::from(matches!(tier, Tier::Cache(_)));
            return self.at_station(now, flight);
        }
        match (tier, flight.ask.source) {
            (Tier::Origin, _) => {
                flight.made = unix;
                self.at_station(now, flight);
            }
            (_, None) => self.word(now, flight, Word::Miss, ""),
            (_, Some(source)) => {
                let at = &mut self.servers[server];
                if at.fills >= FILLS_MOST {
                    return self.word(now, flight, Word::Busy, "no_slot");
                }
                at.fills += 1;
                flight.filling = true;
                self.fills += 1;
                self.from(now, flight, source);
            }
        }
    }

    /// What a write does, it does at the origin.
    fn write(&mut self, now: Duration, mut flight: Flight) {
        let origin = self.servers[flight.server].tier == Tier::Origin;
        if !origin && flight.ask.source.is_none() {
            return self.word(now, flight, Word::Miss, "");
        }
        self.watch.runs(now, flight.ask.id);
        flight.stage = if origin { Stage::Last } else { Stage::Origin };
        flight.tell = if origin { "" } else { "via_origin" };
        flight.made = self.unix(now);
        self.at_station(now, flight);
    }

    /// A fill from a source.
    fn from(&mut self, now: Duration, mut flight: Flight, source: usize) {
        let work = self.work(flight.ask.kb);
        self.note(now, source, work);
        let unix = self.unix(now);
        let at = &mut self.servers[source];
        if at.down || at.silent {
            // Silence shows after a while; a refusal at once.
            let wait = if at.down {
                AT_ONCE
            } else {
                Duration::from_millis(800)
            };
            (flight.stage, flight.word, flight.tell) = (Stage::Word, Word::Busy, "src_broke");
            return self.later(now + wait, flight);
        }
        if at.errors || at.station.len() as f64 >= OPEN_MOST * at.capacity {
            return self.word(now, flight, Word::Busy, "src_refused");
        }
        if at.tier == Tier::Origin {
            (flight.stage, flight.tell, flight.made) = (Stage::Origin, "via_origin", unix);
            return self.later(now + ORIGIN_WAIT, flight);
        }
        let oldest = flight.ask.oldest.as_millis() as u64;
        let held = at
            .copies
            .hit(&flight.ask.key, 0)
            .filter(|copy| copy.made + oldest >= unix);
        match held {
            Some(copy) => {
                (flight.stage, flight.tell, flight.made) = (Stage::Parent, "filled", copy.made);
                flight.waited = Some(AT_ONCE);
                self.at_station(now, flight);
            }
            None if flight.ask.only_held => self.word(now, flight, Word::Miss, "src_lacks"),
            None => {
                (flight.stage, flight.tell, flight.made) = (Stage::Origin, "via_origin", unix);
                self.later(now + ORIGIN_WAIT, flight);
            }
        }
    }

    /// When something ends next.
    pub fn next(&self) -> Option<Duration> {
        let stations = self.servers.iter().map(|s| &s.station).chain(&self.links);
        let ends = stations.filter_map(Station::next).min();
        let delay = self.delays.peek().map(|Reverse((at, _))| *at);
        ends.into_iter().chain(delay).min()
    }

    /// What is said by `now`, in order.
    pub fn said(&mut self, now: Duration) -> Vec<Said> {
        self.go(now);
        std::mem::take(&mut self.ready)
    }

    /// Goes on to `now`; what is said in the meantime waits for [`Truth::said`].
    fn go(&mut self, now: Duration) {
        let mut ready = std::mem::take(&mut self.ready);
        self.end_all(now, &mut ready);
        self.ready = ready;
        if now >= self.warmed + Duration::from_millis(50) {
            self.warmed = now;
            let warmth = self.warmth;
            for server in self.servers.iter_mut().filter(|s| s.started.is_some()) {
                let present = server.present(now, warmth);
                server.station.set(now, present);
            }
        }
    }

    fn end_all(&mut self, now: Duration, all: &mut Vec<Said>) {
        while let Some(next) = self.next().filter(|next| *next <= now) {
            if let Some(Reverse((at, number))) = self
                .delays
                .peek()
                .copied()
                .filter(|Reverse((at, _))| *at == next)
            {
                self.delays.pop();
                if let Some(flight) = self.flights.remove(&number) {
                    match flight.stage {
                        Stage::Word => self.finish(flight, all),
                        _ => self.at_station(at, flight),
                    }
                }
                continue;
            }
            let of_server = self
                .servers
                .iter()
                .position(|s| s.station.next() == Some(next));
            let ended = match of_server {
                Some(server) => self.servers[server].station.ended(next),
                None => self.links.iter_mut().find_map(|link| link.ended(next)),
            };
            let Some((number, at)) = ended else { break };
            if let Some(flight) = self.flights.remove(&number) {
                self.go_on(at, flight, all);
            }
        }
    }

    /// A transfer has ended: on with the next.
    fn go_on(&mut self, now: Duration, mut flight: Flight, all: &mut Vec<Said>) {
        let (key, copy) = (
            flight.ask.key,
            Copy {
                kb: flight.ask.kb,
                made: flight.made,
            },
        );
        let at_cache = matches!(self.servers[flight.server].tier, Tier::Cache(_));
        match flight.stage {
            Stage::Origin if flight.ask.write => flight.stage = Stage::Last,
            Stage::Origin => {
                flight.waited = Some(now.saturating_sub(flight.came));
                match flight
                    .ask
                    .source
                    .filter(|s| self.servers[*s].tier == Tier::Parent)
                {
                    Some(parent) => {
                        if flight.ask.parent_keeps {
                            self.servers[parent].copies.keep(key, 0, copy);
                        }
                        flight.stage = Stage::Parent;
                    }
                    None => flight.stage = if at_cache { Stage::Link } else { Stage::Last },
                }
            }
            Stage::Parent => flight.stage = if at_cache { Stage::Link } else { Stage::Last },
            Stage::Link => {
                flight.stage = Stage::Last;
                if flight.ask.keep > 0 {
                    let rank = flight.ask.keep;
                    self.servers[flight.server].copies.keep(key, rank, copy);
                }
            }
            Stage::Last | Stage::Word => return self.finish(flight, all),
        }
        self.at_station(now, flight);
    }

    fn finish(&mut self, flight: Flight, all: &mut Vec<Said>) {
        if flight.filling {
            let at = &mut self.servers[flight.server];
            at.fills = at.fills.saturating_sub(1);
        }
        if flight.ask.connection == u64::MAX {
            return;
        }
        if flight.word == Word::Ok && !flight.ask.write {
            self.watch.answered_from(
                flight.came,
                flight.ask.router,
                flight.ask.key.0,
                flight.made,
            );
        }
        all.push(Said {
            connection: flight.ask.connection,
            id: flight.ask.id,
            server: flight.server,
            key: flight.ask.key,
            word: flight.word,
            tell: flight.tell,
            waited: flight.waited,
            made: flight.made,
        });
    }

    /// An object is purged: servers drop their copies by and by, not at once.
    pub fn purge(&mut self, now: Duration, object: u64) -> u64 {
        let ms = self.unix(now);
        self.purged.insert(object, ms);
        ms
    }
}

#[cfg(test)]
mod tests;
