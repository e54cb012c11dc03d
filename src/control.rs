//! Every decision of a router. `Router::start` once, then one method for each thing that happens, each with
//! the time since the start and the outlet through which the router acts (`interface.rs`). Every attempt
//! passes `Router::send`, where the rules are enforced, and leaves a closure for its result.

use crate::interface::*;
use crate::selection::{CONSIDERED_AT_MOST, Candidate, Pool};
pub use crate::state::part_of;
use crate::state::{Request as Taken, Route, Seen};
use chalkhall_stats::{NameMap, Recent, Window};
use lru::LruCache;
use std::collections::{BTreeSet, HashMap};
use std::{num::NonZeroUsize, time::Duration};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The id list's bound; the sightings that gate and ranks need first; how many are recent (design page).
const ID_LIST: NonZeroUsize = NonZeroUsize::new(65536).unwrap();
const SIGHTINGS_BEFORE_GATE: usize = 64;
const SCORES_BEFORE_RANKS: usize = 256;
const RECENT: usize = 1024;
/// A member holding over this multiple of the others' average bytes, in more than a few of the zone's
/// transfers, is passed over.
const CROWDED: f64 = 2.0;
const FEW: f64 = 4.0;
/// Sequential test of failing in half of all cases against one in twenty: what a failure and a success add to
/// the log odds that a server is broken, and where they decide (100 to 1).
const FAILURE_ADDS: f64 = std::f64::consts::LN_10;
const SUCCESS_ADDS: f64 = -0.642;
const BROKEN_AT: f64 = 4.605;
/// A server set aside gets one attempt in this time; halved by each success, doubled by each failure.
const TRICKLE_FIRST: Duration = Duration::from_millis(1000);
const TRICKLE_SLOWEST: Duration = Duration::from_millis(4000);
const TRICKLE_FULL: Duration = Duration::from_millis(50);
/// Share of a cold server's budget that the routers together use: capacities may be told roughly.
const COLD_MARGIN: f64 = 0.45;
/// A draw of the routers that may send to a cold server holds for so many spans. In the span after each new
/// draw those of both may send: the longer it holds, the fewer do.
const DRAW_LASTS_SPANS: f64 = 8.0;
/// What is drawn for takes no more than this share of the budget; what is larger than usual, no more than
/// half of that.
const DRAWN_MOST: f64 = 1.0 / 8.0;
const DRAWN_LARGE: f64 = 1.0 / 16.0;
/// Means of classes of like size differ by as much.
const DRAWN_USUAL: f64 = 1.25;
/// What is smaller than this share of the mean is drawn for as if it were not.
const DRAWN_SMALL: f64 = 0.5;
/// A mean follows this many of the last requests.
const MEAN_OVER: f64 = 256.0;

/// What an answer takes beside its sending time; the multiple of both after which it is looked into.
const OVERHEAD: Duration = Duration::from_millis(100);
const PATIENCE: f64 = 3.0;
const PATIENCE_GROWS: f64 = 1.2;
const PATIENCE_MOST: f64 = 100.0;
const PATIENCE_FALLS: f64 = 0.99;
const SLOW_HIT: f64 = 2.0;

/// Fills under way: one more allowed for as many as end in time; a cut, so often, when over a share are late.
const FILL_CUT: f64 = 0.8;
const FILL_GROW: f64 = 0.02;
const FILL_LATE: f64 = 0.03;
const FILL_CUT_EVERY: Duration = Duration::from_millis(250);
const FILLS_LEAST: f64 = 1.0;
/// The wait that a rejected client is advised; that before the list is asked for again.
const ADVICE: Duration = Duration::from_millis(200);
const LIST_AGAIN: Duration = Duration::from_millis(1000);

type Then = Box<dyn FnOnce(&mut Router, &mut Turn)>;
type Next = Box<dyn FnOnce(&mut Router, &mut Turn, &Ended)>;

struct Turn<'a> {
    now: Duration,
    out: &'a mut dyn Outlet,
}

struct IdList {
    seen: LruCache<u32, Seen>,
    requests: u64,
    scores: Recent,
    values: Recent,
}

impl Default for IdList {
    fn default() -> IdList {
        let (scores, values) = (Recent::new(RECENT), Recent::new(RECENT));
        IdList {
            seen: LruCache::new(ID_LIST),
            requests: 0,
            scores,
            values,
        }
    }
}

impl IdList {
    /// The rank at which a copy is kept; 0: passed unkept. `shared`: a first sighting is taken for a repeat.
    fn sight(
        &mut self,
        now: Duration,
        arrival: &Arrival,
        fresh: Option<Duration>,
        shared: bool,
    ) -> u8 {
        self.requests += 1;
        let (key, count) = (part_of(arrival), self.requests);
        let Some(seen) = self.seen.get_mut(&key) else {
            self.seen.put(
                key,
                Seen {
                    count,
                    at: now,
                    rank: u8::from(shared),
                    ..Seen::default()
                },
            );
            return u8::from(shared);
        };
        // A retry would pass for a second sighting and admit what is asked for once only.
        if arrival.repeated || std::mem::take(&mut seen.unmet) {
            return seen.rank;
        }
        let since = now.saturating_sub(seen.at).as_secs_f64();
        let refresh = fresh.map_or(0.0, |fresh| (since / fresh.as_secs_f64()).min(1.0));
        let value = seen.cost.unwrap_or(1.0) * (1.0 - refresh) / (count - seen.count) as f64;
        let score = if value > 0.0 {
            arrival.kb / value
        } else {
            f64::INFINITY
        };
        let admitted =
            self.values.len() < SIGHTINGS_BEFORE_GATE || value >= self.values.quantile(0.25);
        let rank = match self.scores.len() {
            n if n < SCORES_BEFORE_RANKS => 2,
            _ if score < self.scores.quantile(1.0 / 3.0) => 3,
            _ if score < self.scores.quantile(2.0 / 3.0) => 2,
            _ => 1,
        };
        self.values.note(value);
        self.scores.note(score);
        // What expires before its next sighting is not admitted; a kept copy of it drops to the bottom.
        let rank = if refresh >= 1.0 {
            u8::from(seen.rank > 0)
        } else {
            rank * u8::from(admitted)
        };
        (seen.rank, seen.count, seen.at) = (rank, count, now);
        rank
    }

    fn known(&mut self, arrival: &Arrival) -> Option<&mut Seen> {
        self.seen.peek_mut(&part_of(arrival))
    }
}

#[derive(Default)]
struct Server {
    member: Member,
    sent: Window,
    kb_under_way: f64,
    out: u32,

    record: Judged,
    /// It draws by its capacity times e to the power of this.
    lean: f64,
    in_time: f64,
    heard: Duration,
    /// All that a connection carried breaks with it: until then that is one failure.
    broke: Duration,
}

impl Server {
    /// It as one to be drawn from a pool, with the slot that it is in.
    fn candidate(&self, slot: usize) -> Candidate {
        let weight = self.member.capacity * self.lean.exp();
        Candidate::new(slot, &self.member.server, weight)
    }
}

/// What a sequential test on its outcomes says of a server, or of a disk.
#[derive(Debug, Default)]
pub struct Judged {
    /// Log odds that it is broken; set aside: when the next attempt is due, and their distance.
    doubt: f64,
    aside: Option<(Duration, Duration)>,
    /// When something was last sent, and how far apart that usually is.
    sent: Duration,
    apart: Duration,
}

impl Judged {
    /// It may be sent something: it is not set aside, or the next of its trickle is due.
    pub fn sound(&self, now: Duration) -> bool {
        self.aside.is_none_or(|(due, _)| now >= due)
    }

    pub fn is_aside(&self) -> bool {
        self.aside.is_some()
    }

    /// Something was sent: of a trickle the next is due a spacing later.
    pub fn sent(&mut self, now: Duration) {
        let gap = now.saturating_sub(std::mem::replace(&mut self.sent, now));
        self.apart = if self.aside.is_none() {
            (self.apart * 7 + gap) / 8
        } else {
            self.apart
        };
        self.aside = self.aside.map(|(_, spacing)| (now + spacing, spacing));
    }

    /// One outcome, of a weight from 0 to 1.
    pub fn judge(&mut self, now: Duration, failed: bool, weight: f64) {
        self.doubt = (self.doubt + weight * if failed { FAILURE_ADDS } else { SUCCESS_ADDS })
            .clamp(0.0, BROKEN_AT);
        let spacing = match self.aside {
            None if self.doubt < BROKEN_AT => return,
            None => TRICKLE_FIRST,
            Some((_, spacing)) if failed => (spacing * 2).min(TRICKLE_SLOWEST),
            Some((_, spacing)) => spacing / 2,
        };
        // Who sends here seldom anyway floods nothing: its trickle is full where it no longer binds.
        let full = !failed && spacing < TRICKLE_FULL.max(self.apart);
        self.aside = (!full).then_some((now + spacing, spacing));
        self.doubt *= f64::from(self.aside.is_some());
    }
}

/// What is known of all servers of a tier together.
#[derive(Default)]
struct TierHealth {
    /// How many are ejected.
    ejected: usize,
    /// The greatest share of fills in time that one of them has; none: not known since it may have fallen.
    best_in_time: Option<f64>,
}

const TIERS: usize = 4;

/// Which servers draw for the same parts: the caches of a zone, or of a cell in it; all parents; the origins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PoolKey {
    tier: Tier,
    zone: usize,
    cell: Option<u32>,
}

impl PoolKey {
    /// The pool that draws for a request in this tier. Parents and origins are everybody's.
    fn new(tier: Tier, zone: usize, cell: Option<u32>) -> PoolKey {
        match tier {
            Tier::Cache => PoolKey { tier, zone, cell },
            _ => PoolKey {
                tier,
                zone: 0,
                cell: None,
            },
        }
    }

    /// The pools that a member may be in: of its tier, and of each of its cells.
    fn of(member: &Member) -> impl Iterator<Item = PoolKey> {
        let (tier, zone) = (member.tier, member.zone);
        let cells = match tier {
            Tier::Cache => &*member.cells,
            _ => &[],
        };
        let cells = cells.iter().copied().map(Some);
        cells
            .chain([None])
            .map(move |cell| PoolKey::new(tier, zone, cell))
    }

    fn includes(&self, member: &Member) -> bool {
        let of_cell = self.cell.is_none_or(|cell| member.cells.contains(&cell));
        member.tier == self.tier
            && (self.tier != Tier::Cache || member.zone == self.zone && of_cell)
    }
}

/// The mean sending time of requests, in seconds.
#[derive(Clone, Copy, Default)]
struct MeanWork {
    seconds: f64,
    requests: f64,
}

impl MeanWork {
    fn note(&mut self, work: Duration) {
        self.requests = (self.requests + 1.0).min(MEAN_OVER);
        self.seconds += (work.as_secs_f64() - self.seconds) / self.requests;
    }
}

/// What a cold server may be sent in a span: by all routers, and by this one.
struct SlowStart {
    budget: f64,
    share: f64,
    /// How many spans ago it started.
    age_spans: f64,
}

struct Attempt {
    next: Option<Next>,
    filling: bool,
    placed: bool, // among the fills
}

type Request = Taken<Attempt>;

#[derive(Default)]
pub struct Router {
    zone: usize,
    classes: Vec<Class>,
    margin: Duration,
    kb_per_s: f64,

    number: u64,
    /// Of caches and of parents: the bounds of a cold start, and how many routers share what one bears.
    cold: [(ColdStart, f64); 2],
    routers_here: f64,
    most_attempts: usize,
    may_cancel: bool,
    /// The wait that a rejected client is advised, at the door too.
    pub advice: Option<Duration>,
    purge_done: Duration,
    pass_through: bool,
    joins: bool,

    started: Duration,
    servers: NameMap<Server>,
    /// Who draws for the same parts, kept until the list or a weight changes.
    pools: HashMap<PoolKey, Pool>,
    /// How many servers were considered, in all.
    #[cfg(test)]
    considered: std::cell::Cell<usize>,
    /// How many came by in walks over all of them.
    #[cfg(test)]
    walked: std::cell::Cell<usize>,
    /// By tier, of the servers listed.
    health: [TierHealth; TIERS],
    /// The slots of the origins, and of the local caches.
    origins: BTreeSet<usize>,
    local_caches: BTreeSet<usize>,
    ids: IdList,
    /// Share of first sightings lately that were hits: of what others of the zone asked to keep.
    shared: f64,
    chance: fastrand::Rng,
    requests: HashMap<Id, Request>,
    thens: HashMap<u64, Then>,
    last_mark: u64,
    purges: HashMap<Result<Id, u64>, Duration>,
    /// The same, the oldest first.
    purges_by_age: BTreeSet<(Duration, Result<Id, u64>)>,
    /// Of each class, and of all requests.
    mean_work: Vec<MeanWork>,
    mean_work_of_all: MeanWork,
    /// Likely fills out, how many may be, the last cut; when one last ended, how many lately, and how many
    /// late.
    fills_out: f64,
    fills_most: f64,
    fills_cut: Duration,
    fills_lately: (Duration, f64, f64),
    patience: f64,
    waiting: Vec<Id>,
    /// How many answers this router's own link carries at once (0: no own copies), and when it is free again.
    own: f64,
    link_free: Duration,
    /// By part: whose fill is under way, and who waits for what it brings.
    filled: HashMap<u32, (Id, Vec<Id>)>,
}

impl Router {
    pub fn start(now: Duration, told: &Deployment, out: &mut dyn Outlet) -> Router {
        let routers_here = told
            .routers_at
            .get(told.zone)
            .copied()
            .unwrap_or(told.routers)
            .max(1) as f64;
        if told.list_on_request {
            out.watch_list();
        }
        Router {
            zone: told.zone,
            classes: told.classes.clone(),
            margin: told.tick * 2,
            kb_per_s: if told.client_kb_per_s > 0.0 {
                told.client_kb_per_s
            } else {
                f64::INFINITY
            },

            cold: [
                (told.cold_cache, routers_here),
                (told.cold_parent, told.routers.max(1) as f64),
            ],
            number: told.number,
            routers_here,
            most_attempts: told.max_attempts.max(1),
            may_cancel: told.may_cancel,
            advice: told.longest_advice.map(|longest| longest.min(ADVICE)),
            purge_done: told.purge_done,
            chance: fastrand::Rng::with_seed(told.seed),
            pass_through: told.pass_through,
            joins: told.joins,
            started: now,
            fills_most: f64::INFINITY,
            patience: PATIENCE,
            mean_work: vec![MeanWork::default(); told.classes.len()],
            ..Router::default()
        }
    }

    /// The list, or changes to it. A server that started anew begins with a clean record.
    pub fn list(
        &mut self,
        now: Duration,
        kind: ListKind,
        members: &[Member],
        out: &mut dyn Outlet,
    ) {
        if kind == ListKind::Failed {
            // Without a subscription a drain would never be heard of.
            return self.after(
                &mut Turn { now, out },
                LIST_AGAIN,
                Box::new(|_, turn| turn.out.watch_list()),
            );
        }
        if kind != ListKind::Changes {
            // Almost all of them change: pools are built again when a request needs them.
            self.pools.clear();
            let listed = self
                .servers
                .values_mut()
                .filter(|s| s.member.tier != Tier::Own);
            listed.for_each(|s| s.member.standing = Standing::Gone);
        }
        for member in members {
            self.update_member(member);
        }
        if kind == ListKind::Changes {
            for member in members {
                self.remove_if_gone(member);
            }
        } else {
            self.servers.retain(|s| s.member.standing != Standing::Gone);
            self.derive_from_list();
        }
        self.update_local_capacity();
    }

    /// One member as it is listed now, and what is derived from it.
    fn update_member(&mut self, member: &Member) {
        self.forget_derived(&member.server, member);
        let server = self.servers.get_or_default(&member.server);
        if server.member.started != member.started {
            server.record = Judged::default();
        }
        server.member = member.clone();
        self.derive_from_member(&member.server);
    }

    /// Takes what is derived from a member out, as far as it no longer holds for what it is to be.
    fn forget_derived(&mut self, name: &Id, next: &Member) {
        let (Some(slot), Some(server)) = (self.servers.slot(name), self.servers.get(name)) else {
            return;
        };
        let member = &server.member;
        let stays = next.standing == Standing::Active;
        for key in PoolKey::of(member).filter(|key| !stays || !key.includes(next)) {
            let Some(pool) = self.pools.get_mut(&key) else {
                continue;
            };
            pool.remove(name);
            if pool.is_empty() {
                self.pools.remove(&key);
            }
        }
        self.origins.remove(&slot);
        self.local_caches.remove(&slot);
        let health = &mut self.health[member.tier as usize];
        health.ejected = health
            .ejected
            .saturating_sub(usize::from(server.record.is_aside()));
        // Only who was the best can have been what the best is known from.
        if member.tier != next.tier || next.standing == Standing::Gone {
            let in_time = server.in_time;
            health.best_in_time = health
                .best_in_time
                .filter(|best| in_time == 0.0 || in_time < *best);
        }
    }

    /// Adds what is derived from a member, where it is not there yet.
    fn derive_from_member(&mut self, name: &Id) {
        let (Some(slot), Some(server)) = (self.servers.slot(name), self.servers.get(name)) else {
            return;
        };
        let member = &server.member;
        let health = &mut self.health[member.tier as usize];
        health.ejected += usize::from(server.record.is_aside());
        health.best_in_time = health.best_in_time.map(|best| best.max(server.in_time));
        match member.tier {
            Tier::Origin => self.origins.insert(slot),
            Tier::Own => self.local_caches.insert(slot),
            Tier::Cache | Tier::Parent => false,
        };
        if member.standing != Standing::Active {
            return;
        }
        for key in PoolKey::of(member) {
            if let Some(pool) = self.pools.get_mut(&key) {
                pool.insert(server.candidate(slot));
            }
        }
    }

    fn remove_if_gone(&mut self, member: &Member) {
        let listed = self.servers.get(&member.server);
        if listed.is_some_and(|s| s.member.standing == Standing::Gone) {
            self.forget_derived(&member.server, member);
            self.servers.remove(&member.server);
        }
    }

    /// All that is derived from the list but the pools.
    fn derive_from_list(&mut self) {
        self.origins.clear();
        self.local_caches.clear();
        self.health = Default::default();
        let names: Vec<Id> = self.members().map(|m| m.server.clone()).collect();
        names.iter().for_each(|name| self.derive_from_member(name));
    }

    /// The greatest of its local caches counts.
    fn update_local_capacity(&mut self) {
        let slots = self.local_caches.iter();
        let local = slots.filter_map(|slot| self.servers.at(*slot));
        self.own = local.map(|s| s.member.capacity).fold(0.0, f64::max);
    }

    /// All servers, in the order of their names: what a single change or request must not go through.
    fn all_servers(&self) -> impl Iterator<Item = (usize, &Server)> {
        self.servers.iter().inspect(|_| {
            #[cfg(test)]
            self.walked.set(self.walked.get() + 1);
        })
    }

    /// A request comes in: it gets its one final answer by `due` whatever else happens.
    pub fn request(&mut self, now: Duration, arrival: Arrival, out: &mut dyn Outlet) {
        let turn = &mut Turn { now, out };
        let class = &self.classes[arrival.class];
        let first = class.cacheable && self.ids.known(&arrival).is_none();
        let shared = self.chance.f64() < self.shared.max(1.0 - 1.0 / self.routers_here);
        let rank = if class.cacheable {
            self.ids.sight(now, &arrival, class.fresh, shared)
        } else {
            0
        };
        let work = Duration::from_secs_f64((arrival.kb / self.kb_per_s).clamp(0.0, 1e6));
        self.mean_work[arrival.class].note(work);
        self.mean_work_of_all.note(work);
        let due = now + arrival.left.saturating_sub(self.margin);
        let soft = now + class.soft_deadline + work.mul_f64(class.soft_stretch);
        let (id, late) = (arrival.id.clone(), arrival.id.clone());
        let request = Request::new(arrival, rank, first, work, soft, due);
        self.requests.insert(id.clone(), request);
        self.after(
            turn,
            due.saturating_sub(now),
            Box::new(move |router, turn| router.end(turn, &late)),
        );
        self.advance(turn, &id);
    }

    pub fn left(&mut self, now: Duration, id: &Id, out: &mut dyn Outlet) {
        self.requests
            .get_mut(id)
            .into_iter()
            .for_each(|request| request.ended = true);
        self.close(&mut Turn { now, out }, id);
    }

    /// A streamed answer has begun: it belongs to the client, and nothing more is owed.
    pub fn begun(&mut self, id: &Id) {
        self.requests
            .get_mut(id)
            .into_iter()
            .for_each(|request| request.ended = true);
    }

    pub fn result(
        &mut self,
        now: Duration,
        id: &Id,
        attempt: usize,
        ended: &Ended,
        out: &mut dyn Outlet,
    ) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let Some(next) = request
            .attempts
            .get_mut(attempt)
            .and_then(|e| e.next.take())
        else {
            return;
        };
        request.open -= 1;
        request.ended |= ended.over;
        let turn = &mut Turn { now, out };
        next(self, turn, ended);
        self.close(turn, id);
    }

    pub fn purged(&mut self, now: Duration, object: Option<Id>, group: u64, ago: Duration) {
        let (at, left) = (now.saturating_sub(ago), self.purge_done + self.margin);
        while let Some((purge, _)) = self.purges_by_age.first()
            && now >= *purge + left
        {
            let Some((_, key)) = self.purges_by_age.pop_first() else {
                break;
            };
            self.purges.remove(&key);
        }
        let key = object.ok_or(group);
        let before = self.purges.get(&key).copied();
        if let Some(before) = before.filter(|before| *before < at) {
            self.purges_by_age.remove(&(before, key.clone()));
        }
        if before.is_none_or(|before| before < at) {
            self.purges_by_age.insert((at, key.clone()));
            self.purges.insert(key, at);
        }
    }

    /// Another router of the zone has found a part at a cache, or had it keep it: here it is a repeat
    /// then, and no likely fill.
    pub fn told(&mut self, now: Duration, part: u32, cache: Id) {
        let count = self.ids.requests;
        let seen = self.ids.seen.get_or_insert_mut(part, || Seen {
            count,
            at: now,
            ..Seen::default()
        });
        seen.held = Some((cache, now));
    }

    /// All that the list tells of and is not gone.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.all_servers().map(|(_, s)| &s.member)
    }

    pub fn member(&self, server: &Id) -> Option<&Member> {
        self.servers.get(server).map(|s| &s.member)
    }

    /// The caches of its zone that are not gone.
    pub fn caches(&self) -> impl Iterator<Item = &Member> {
        self.members()
            .filter(|m| m.tier == Tier::Cache && m.zone == self.zone)
    }

    /// A cache is to draw that much more or less, as its zone's routers agree.
    pub fn lean(&mut self, cache: &Id, by: f64) {
        if let Some(server) = self
            .servers
            .get_mut(cache)
            .filter(|server| server.lean != by)
        {
            server.lean = by;
            // All weights change together, once a period: in place each would have its group added up anew.
            for key in PoolKey::of(&server.member) {
                self.pools.remove(&key);
            }
        }
    }

    fn held(&self, part: u32) -> Option<Id> {
        self.ids
            .seen
            .peek(&part)?
            .held
            .as_ref()
            .map(|(cache, _)| cache.clone())
    }

    pub fn wake(&mut self, now: Duration, mark: u64, out: &mut dyn Outlet) {
        let Some(then) = self.thens.remove(&mark) else {
            return;
        };
        then(self, &mut Turn { now, out });
    }

    fn after(&mut self, turn: &mut Turn, wait: Duration, then: Then) {
        self.last_mark += 1;
        self.thens.insert(self.last_mark, then);
        turn.out.wake_at(turn.now + wait, self.last_mark);
    }

    fn advance(&mut self, turn: &mut Turn, id: &Id) {
        let over = self.requests.get(id).is_none_or(|a| a.ended || a.open > 0);
        if over || self.own(turn, id, Duration::ZERO) {
            return;
        }
        self.build_pools(id);
        let route = self.route(turn.now, id);
        if route.as_ref().is_some_and(|r| self.likely_fill(id, r)) {
            if self.join(turn, id) {
                return;
            }
            if self.fills_out >= self.fills_most {
                return self.hold(turn, id);
            }
        }
        let sent = route.is_some_and(|route| self.send(turn, id, route));
        if !sent && self.requests.get(id).is_some_and(|a| a.open == 0) {
            self.end(turn, id);
        }
    }

    /// The cache is not known to hold it, or it was purged since: it would take a fill through the link.
    fn likely_fill(&mut self, id: &Id, route: &Route) -> bool {
        let Some(request) = self.requests.get(id) else {
            return false;
        };
        let purged = self.last_purge(request);
        let held = self
            .ids
            .known(&request.arrival)
            .and_then(|seen| seen.held.as_ref());
        let held =
            held.is_some_and(|(at, when)| *at == route.server && purged.is_none_or(|p| p < *when));
        self.classes[request.arrival.class].cacheable && route.source != route.server && !held
    }

    /// Answers from an own copy, if its place is sound and this router's link has it out in time. `past`: so
    /// long past its fresh time it will do.
    fn own(&mut self, turn: &mut Turn, id: &Id, past: Duration) -> bool {
        let Some(request) = self.requests.get(id) else {
            return false;
        };
        if self.own <= 0.0 || !self.classes[request.arrival.class].cacheable {
            return false;
        }
        let Some(Held { place, made, same }) = turn.out.held(id) else {
            return false;
        };
        let sound = self
            .servers
            .get(&place)
            .is_some_and(|s| s.record.sound(turn.now));
        // One answer runs at a client's pace at most, all share the link in turn; that a copy holds is soon
        // said.
        let work = if same {
            request.work / 20
        } else {
            request.work
        };
        let free = self.link_free.max(turn.now) + work.div_f64(self.own.max(0.01));
        let latest = if past.is_zero() {
            request.soft.min(request.due)
        } else {
            request.due
        };
        let fit = sound && !request.failed.contains(&place) && free.max(turn.now + work) <= latest;
        let to = Route {
            server: place.clone(),
            source: place,
            made: Some(made),
            past,
        };
        let sent = fit && self.send(turn, id, to);
        self.link_free = if sent { free } else { self.link_free };
        sent
    }

    /// Waits for the fill of the same part that is under way, which a second one would only crowd; once, and
    /// not for longer than leaves time for one of its own: what it waits for may be lost.
    fn join(&mut self, turn: &mut Turn, id: &Id) -> bool {
        let Some(request) = self.requests.get_mut(id) else {
            return false;
        };
        let latest = request
            .soft
            .min(request.due)
            .saturating_sub(OVERHEAD + request.work);
        let Some((_, followers)) = self.filled.get_mut(&part_of(&request.arrival)) else {
            return false;
        };
        if latest <= turn.now || std::mem::replace(&mut request.joined, true) {
            return false;
        }
        followers.push(id.clone());
        let (id, wait) = (id.clone(), (latest - turn.now) / 2);
        self.after(
            turn,
            wait,
            Box::new(move |router, turn| router.advance(turn, &id)),
        );
        true
    }

    /// The attempt of a request has ended: an own copy of what it brought, and on with who waited for it.
    fn pass_on(&mut self, turn: &mut Turn, id: &Id, served: bool) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let part = part_of(&request.arrival);
        let leads = self
            .filled
            .get(&part)
            .is_some_and(|(leader, _)| leader == id);
        let followers = if leads {
            self.filled.remove(&part).unwrap_or_default().1
        } else {
            Vec::new()
        };
        let rank = request.rank.max(u8::from(!followers.is_empty()));
        if served && rank > 0 && self.classes[request.arrival.class].cacheable {
            turn.out.keep(id, rank);
        }
        for id in followers {
            self.after(
                turn,
                Duration::ZERO,
                Box::new(move |router, turn| router.advance(turn, &id)),
            );
        }
    }

    /// More fills than links and sources end in time make all of them late, and what times out has used them
    /// for nothing. So a fill too many waits, as long as it could still be in time after.
    fn hold(&mut self, turn: &mut Turn, id: &Id) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let latest = request
            .soft
            .min(request.due)
            .saturating_sub(OVERHEAD + request.work);
        if turn.now >= latest {
            return self.end(turn, id);
        }
        self.waiting.push(id.clone());
        let id = id.clone();
        let too_late: Then = Box::new(move |router, turn| {
            if router.waiting.contains(&id) {
                router.end(turn, &id);
            }
        });
        self.after(turn, latest - turn.now, too_late);
    }

    /// A fill ended: how many may be out follows.
    fn fill_ended(&mut self, turn: &mut Turn, in_time: Option<bool>) {
        if in_time == Some(true) && self.fills_out + 1.0 >= self.fills_most / 2.0 {
            self.fills_most += (FILL_GROW * self.fills_most).min(1.0 / self.fills_most);
        }
        // At high rates some fill is always late, of a large object perhaps: a cut for each would choke all.
        let (last, ended, late) = self.fills_lately;
        let fades = (-turn
            .now
            .saturating_sub(last)
            .div_duration_f64(FILL_CUT_EVERY))
        .exp();
        let (ended, late) = (
            ended * fades + 1.0,
            late * fades + f64::from(in_time == Some(false)),
        );
        self.fills_lately = (turn.now, ended, late);
        if in_time == Some(false)
            && late > FILL_LATE * ended
            && turn.now >= self.fills_cut + FILL_CUT_EVERY
        {
            // Until one is late nothing says what links and sources bear. One that is late with few out is no
            // sign that they bear so few: less than the share of what the caches are listed with it is not.
            let zone_capacity: f64 = self.caches().map(|m| m.capacity).sum();
            let share = zone_capacity / self.routers_here;
            let out = share.max(self.fills_out + 1.0);
            let most = if self.fills_most.is_finite() {
                self.fills_most
            } else {
                out
            };
            self.fills_most = (most * FILL_CUT).max(FILLS_LEAST);
            self.fills_cut = turn.now;
        }
        self.fill_next(turn);
    }

    /// Places are free: who waits for one goes, most value for the work first.
    fn fill_next(&mut self, turn: &mut Turn) {
        while self.fills_out < self.fills_most {
            let (requests, classes) = (&self.requests, &self.classes);
            self.waiting
                .retain(|id| requests.get(id).is_some_and(|a| !a.ended));
            let gain = |place: &usize| {
                let request = &requests[&self.waiting[*place]];
                classes[request.arrival.class].value / (OVERHEAD + request.work).as_secs_f64()
            };
            let places = 0..self.waiting.len();
            let Some(best) = places.max_by(|a, b| gain(a).total_cmp(&gain(b))) else {
                return;
            };
            let id = self.waiting.remove(best);
            self.advance(turn, &id);
        }
    }

    /// The pools that a request is drawn in, where they are not at hand.
    fn build_pools(&mut self, id: &Id) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        for tier in [Tier::Cache, Tier::Parent, Tier::Origin] {
            let key = PoolKey::new(
                tier,
                request.arrival.at.unwrap_or(self.zone),
                request.arrival.cell,
            );
            if self.pools.contains_key(&key) {
                continue;
            }
            let pool = self.build_pool(key);
            // Requests may name zones and cells that nobody is in: those are not kept.
            if !pool.is_empty() {
                self.pools.insert(key, pool);
            }
        }
    }

    fn build_pool(&self, key: PoolKey) -> Pool {
        let active = |s: &Server| s.member.standing == Standing::Active && key.includes(&s.member);
        let listed = self.all_servers().filter(|(_, s)| active(s));
        Pool::new(listed.map(|(slot, s)| s.candidate(slot)).collect())
    }

    /// The first that the hash prefers, moving on when one fails, is full or is crowded; `any`: also one set
    /// aside. Each member draws its own number for a part (`selection.rs`).
    fn pick(&self, now: Duration, tier: Tier, any: bool, request: &Request) -> Option<&Server> {
        let arrival = &request.arrival;
        let pool = self.pools.get(&PoolKey::new(
            tier,
            arrival.at.unwrap_or(self.zone),
            arrival.cell,
        ))?;
        let mut considered = 0;
        for candidates in pool.sets(&arrival.object, arrival.part) {
            let found = self.pick_among(now, candidates, any, request);
            considered += candidates.len();
            #[cfg(test)]
            self.considered
                .set(self.considered.get() + candidates.len());
            if found.is_some() || considered >= CONSIDERED_AT_MOST {
                return found;
            }
        }
        None
    }

    fn pick_among(
        &self,
        now: Duration,
        candidates: &[Candidate],
        any: bool,
        request: &Request,
    ) -> Option<&Server> {
        let listed = candidates
            .iter()
            .filter_map(|c| Some((c, self.servers.at(c.slot)?)));
        let open: Vec<_> = listed
            .filter(|(_, s)| self.may_take(now, s, request))
            .collect();
        // Of two, none ever holds over twice the average of both: the others' average counts.
        let (all, n) = (
            open.iter().map(|(_, s)| s.kb_under_way).sum::<f64>(),
            open.len() as f64,
        );
        let others = |s: &Server| (all - s.kb_under_way) / (n - 1.0).max(1.0);
        let few = (FEW / self.routers_here).max(1.0);
        let crowded = |s: &Server| f64::from(s.out) > few && s.kb_under_way > CROWDED * others(s);
        let fit =
            |s: &Server| !request.failed.contains(&s.member.server) && (any || s.record.sound(now));
        let draw = |c: &Candidate| c.draw(&request.arrival.object, request.arrival.part);
        let left = open
            .iter()
            .filter(|(_, s)| fit(s))
            .map(|(c, s)| (crowded(s), draw(c), *s));
        let least = left.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        least.map(|(_, _, server)| server)
    }

    fn origins(&self) -> impl Iterator<Item = &Server> {
        self.origins
            .iter()
            .filter_map(|slot| self.servers.at(*slot))
    }

    fn origin_fails(&self, now: Duration) -> bool {
        let mut origins = self.origins().peekable();
        origins.peek().is_some() && origins.all(|s| !s.record.sound(now))
    }

    /// One outcome of a server, of a weight from 0 to 1.
    fn judge(&mut self, server: &Id, now: Duration, failed: bool, weight: f64) {
        let Some(server) = self.servers.get_mut(server) else {
            return;
        };
        let before = server.record.is_aside();
        server.record.judge(now, failed, weight);
        let ejected = &mut self.health[server.member.tier as usize].ejected;
        match (before, server.record.is_aside()) {
            (false, true) => *ejected += 1,
            (true, false) => *ejected = ejected.saturating_sub(1),
            _ => {}
        }
    }

    /// A fill of a server ended: its share of fills in time follows.
    fn note_fill(&mut self, server: &Id, late: bool) {
        let Some(server) = self.servers.get_mut(server) else {
            return;
        };
        let best = &mut self.health[server.member.tier as usize].best_in_time;
        let before = server.in_time;
        server.in_time += (f64::from(!late) - server.in_time) / 16.0;
        *best = best
            .map(|best| best.max(server.in_time))
            .filter(|best| !late || before < *best);
    }

    /// The greatest share of fills in time of a tier's servers.
    fn best_in_time(&mut self, tier: Tier) -> f64 {
        if let Some(best) = self.health[tier as usize].best_in_time {
            return best;
        }
        let servers = self.all_servers().map(|(_, s)| s);
        let of_tier = servers.filter(|s| s.member.tier == tier);
        let best = of_tier.map(|s| s.in_time).fold(0.0, f64::max);
        self.health[tier as usize].best_in_time = Some(best);
        best
    }

    /// How far a late fill is laid to an end in this tier: by how seldom the best of the tier is late (a full
    /// link delays all), and to one cache at a time: with one set aside after the other, the last would have to
    /// bear it all.
    fn blame_for_late_fill(&mut self, tier: Tier, server: &Id) -> f64 {
        let itself = self
            .servers
            .get(server)
            .filter(|s| s.member.tier == tier && s.record.is_aside());
        let others = self.health[tier as usize].ejected > usize::from(itself.is_some());
        if tier != Tier::Parent && others {
            return 0.0;
        }
        (0.5 / (1.0 - self.best_in_time(tier)))
            .log10()
            .clamp(0.0, 1.0)
    }

    /// How long past its fresh time a copy will do: where one renewed first would hardly be in time, what its
    /// class allows. It is served and renewed behind.
    fn past(&self, now: Duration, request: &Request) -> Duration {
        let strained = self.fills_out >= self.fills_most || self.origin_fails(now);
        let again = !request.attempts.is_empty();
        let allowed = self.classes[request.arrival.class].stale_for;
        if strained || again {
            allowed
        } else {
            Duration::ZERO
        }
    }

    fn route(&self, now: Duration, id: &Id) -> Option<Route> {
        let request = self.requests.get(id)?;
        let name = |s: &Server| s.member.server.clone();
        let past = self.past(now, request);
        let to = |s: &Server, source| Route {
            server: name(s),
            source,
            made: None,
            past,
        };
        let straight = |s: &Server| to(s, name(s));
        let pick = |tier, any| self.pick(now, tier, any, request);
        // Where no parent is sound, nor the origin, the trouble is the origin's: parents have what they hold.
        let source = || {
            let sound = pick(Tier::Parent, false).or_else(|| pick(Tier::Origin, false));
            sound
                .or_else(|| pick(Tier::Parent, true))
                .or_else(|| pick(Tier::Origin, true))
        };

        // What no cache may keep runs at the origin: caches and parents on the way could only fail it. One
        // that could not be reached perhaps can be from elsewhere; set aside, it would fail parents too.
        let runs = !self.classes[request.arrival.class].cacheable;
        let cache = || pick(Tier::Cache, false).or_else(|| pick(Tier::Cache, true));
        match pick(Tier::Origin, true).filter(|_| runs) {
            Some(origin) if self.pass_through => return Some(straight(origin)),
            Some(origin) => return cache().map(|cache| to(cache, name(origin))),
            None if runs && self.origin_fails(now) => return None,
            None => {}
        }
        match cache() {
            // With no source left the cache itself is named: a plain send could bring a copy purged since.
            Some(cache) => Some(to(cache, name(source().unwrap_or(cache)))),
            None if self.pass_through => source().map(straight),
            None => None,
        }
    }

    /// Rules 3 and 4, for a server or a source: nothing new once told that it drains or is gone; while it is
    /// cold, no more in any span than this router's share of what it bears, lest all together push it over.
    fn may_take(&self, now: Duration, server: &Server, request: &Request) -> bool {
        if server.member.standing != Standing::Active {
            return false;
        }
        let Some((cold, sharing)) = self.cold.get(server.member.tier as usize) else {
            return true;
        };
        let Some(age) = server.member.started.map(|at| now.saturating_sub(at)) else {
            return true;
        };
        // What its own zone's routers send to a cold cache elsewhere is not known here.
        let elsewhere = server.member.tier == Tier::Cache && server.member.zone != self.zone;
        // What an earlier life of this router sent is not known to it.
        let known = now >= self.started + cold.span;
        let warm = (age.as_secs_f64() / cold.warm_within.as_secs_f64()).min(1.0);
        let present = server.member.capacity * (cold.from + (1.0 - cold.from) * warm);
        let bears = COLD_MARGIN * cold.multiple * present * cold.span.as_secs_f64();
        let (share, weight) = (bears / sharing, self.weight(server, request));
        let sent = server.sent.sum(now, cold.span);
        let slow_start = SlowStart {
            budget: bears,
            share,
            age_spans: age.div_duration_f64(cold.span),
        };
        let fits = sent + weight <= share || self.is_drawn(server, &slow_start, sent, weight);
        age >= cold.warm_within + cold.span || known && !elsewhere && fits
    }

    /// Of many routers none has a share that one transfer fits in: a few, drawn by hash, may send one in each
    /// span, or as many small ones as fit in half of the mean. The sum expected in any span is that of the
    /// shares. Were each size drawn for as it is, a router would draw once for each that it is asked for.
    fn is_drawn(&self, server: &Server, slow_start: &SlowStart, sent: f64, weight: f64) -> bool {
        let (mean, share) = (self.mean_work_of_all.seconds, slow_start.share);
        let small = mean * DRAWN_SMALL;
        let large = (slow_start.budget * DRAWN_LARGE).max(mean * DRAWN_USUAL);
        if weight.max(small) > large.min(slow_start.budget * DRAWN_MOST) {
            return false;
        }
        let draw = self.slow_start_draw(server, slow_start.age_spans);
        let more_small = sent + weight <= small && draw * small < share;
        more_small || draw * weight.max(small) < share - sent
    }

    /// From 0 to 1, by server and router. Each router draws anew at times of its own: of two draws that ended
    /// and began for all at once, those of both could send within one span, twice what is expected.
    fn slow_start_draw(&self, server: &Server, age_spans: f64) -> f64 {
        let hash =
            |seed| xxh3_64_with_seed(server.member.server.as_bytes(), seed) as f64 / 2f64.powi(64);
        let offset = hash(self.number);
        let draws = (age_spans / DRAW_LASTS_SPANS + offset) as u64;
        hash((draws + 1) << 32 ^ self.number)
    }

    fn weight(&self, server: &Server, request: &Request) -> f64 {
        let mean = self.mean_work[request.arrival.class].seconds;
        if server.member.tier == Tier::Cache {
            mean
        } else {
            request.work.as_secs_f64()
        }
    }

    /// Rule 2: may this request run again, there, or (nowhere named) be rejected as safe to repeat?
    fn may_repeat(&self, now: Duration, request: &Request, at: Option<&Server>) -> bool {
        let Some((sent, first)) = &request.ran else {
            return true;
        };
        let class = &self.classes[request.arrival.class];
        let remembered = now + self.margin < *sent + class.window;
        let same = |of: fn(&Member) -> u64| {
            remembered
                && at
                    .zip(self.servers.get(first))
                    .is_some_and(|(a, b)| of(&a.member) == of(&b.member))
        };
        match (class.effect, class.group) {
            (Effect::Idempotent, _) => true,
            (Effect::NonIdempotent, _) => false,
            (Effect::Deduplicated, Group::All) => at.is_none() || remembered,
            (Effect::Deduplicated, Group::Zone) => same(|m| m.zone as u64),
            (Effect::Deduplicated, Group::Cohort) => same(|m| m.cohort),
        }
    }

    fn last_purge(&self, request: &Request) -> Option<Duration> {
        let object = self.purges.get(&Ok(request.arrival.object.clone()));
        object
            .max(self.purges.get(&Err(request.arrival.group)))
            .copied()
    }

    /// Rule 5: the oldest copy that will do, counted from the purge, and never zero: that would mean any age.
    fn oldest(&self, now: Duration, request: &Request, past: Duration) -> Option<Duration> {
        let fresh = self.classes[request.arrival.class]
            .fresh
            .map(|fresh| fresh + past);
        let current = self
            .last_purge(request)
            .filter(|at| now < *at + self.purge_done + self.margin);
        let since = current.map(|at| now.saturating_sub(at).max(Duration::from_micros(1)));
        since.into_iter().chain(fresh).min()
    }

    /// The gate: every attempt passes here, and each rule is enforced here. False: not sent.
    fn send(&mut self, turn: &mut Turn, id: &Id, route: Route) -> bool {
        let now = turn.now;
        let filling = self.likely_fill(id, &route);
        let Some(request) = self.requests.get(id) else {
            return false;
        };
        let Some(server) = self.servers.get(&route.server) else {
            return false;
        };
        let source = self.servers.get(&route.source).unwrap_or(server);
        let class = &self.classes[request.arrival.class];
        let oldest = self.oldest(now, request, route.past);
        let lawful = !request.ended
            && now < request.due
            && request.attempts.len() < self.most_attempts
            && request.open == 0
            && self.may_repeat(now, request, Some(server))
            && self.may_take(now, server, request)
            && self.may_take(now, source, request)
            && route
                .made
                .zip(oldest)
                .is_none_or(|(made, oldest)| now.saturating_sub(made) < oldest);
        if !lawful {
            return false;
        }
        let fill = Fill {
            source: route.source.clone(),
            rank: if server.member.tier == Tier::Cache {
                request.rank
            } else {
                0
            },
            oldest,
            join: self.joins,
            // While the origin fails, what a parent fetches from it only holds up what it has.
            only_held: source.member.tier == Tier::Parent
                && class.cacheable
                && self.origin_fails(now),
            parent_keeps: true,
            renew: route.made.is_none() && !route.past.is_zero(),
        };
        let watched = class.effect == Effect::Idempotent && self.may_cancel && !class.streamed;
        let wait = (OVERHEAD + request.work).mul_f64(self.patience);
        let (kb, limit) = (request.arrival.kb, request.due - now);
        let weights = [server, source].map(|s| self.weight(s, request));
        let span = self.cold[0].0.span.max(self.cold[1].0.span);
        for (name, weight) in route.ends().zip(weights) {
            let Some(server) = self.servers.get_mut(name) else {
                continue;
            };
            server.sent.note(now, span, weight);
            server.kb_under_way += kb;
            server.out += 1;
            server.record.sent(now);
        }
        turn.out.attempt(id, &route.server, limit, &fill);
        self.fills_out += f64::from(filling);
        if filling && self.own > 0.0 {
            self.filled
                .entry(part_of(&request.arrival))
                .or_insert_with(|| (id.clone(), Vec::new()));
        }
        let Some(request) = self.requests.get_mut(id) else {
            return false;
        };
        request.open += 1;
        let n = request.attempts.len();
        let (id, looked) = (id.clone(), (id.clone(), route.clone()));
        let next: Next =
            Box::new(move |router, turn, ended| router.follow(turn, &id, n, &route, now, ended));
        request.attempts.push(Attempt {
            next: Some(next),
            filling,
            placed: filling,
        });
        if watched {
            let (id, route) = looked;
            self.after(
                turn,
                wait,
                Box::new(move |r, turn| r.look_into(turn, &id, n, &route, now)),
            );
        }
        true
    }

    /// A server not heard of since is judged as silent, but not for one overdue fill. One that answered
    /// others is slow: anew would double the load. After as long again its answer is lost, and would hold a
    /// fill's place.
    fn look_into(&mut self, turn: &mut Turn, id: &Id, n: usize, route: &Route, sent: Duration) {
        let Some(request) = self.requests.get_mut(id).filter(|a| !a.ended) else {
            return;
        };
        let Some(attempt) = request.attempts.get_mut(n).filter(|e| e.next.is_some()) else {
            return;
        };
        // A copy would have been sent by now: it is being filled after all. Nothing fills an own one.
        let own = route.made.is_some();
        let filling = !own && std::mem::replace(&mut attempt.filling, true);
        // How long each end that was not heard of since had not been before: the longer, the likelier.
        let unseen = |n: &Id| {
            Some((
                n.clone(),
                sent.checked_sub(self.servers.get(n)?.heard)?.as_secs_f64(),
            ))
        };
        let silent: Vec<_> = route
            .ends()
            .filter_map(unseen)
            .filter(|(_, unseen)| *unseen > 0.0)
            .collect();
        // Whoever says nothing to anybody uses no link: a place among the fills would be held for nothing.
        let placed = std::mem::replace(&mut attempt.placed, !own && silent.is_empty());
        self.fills_out += f64::from(attempt.placed) - f64::from(placed);
        let usual = (OVERHEAD + request.work).mul_f64(self.patience);
        let (all, mut doubt) = (silent.iter().map(|(_, unseen)| unseen).sum::<f64>(), 0.0);
        for (name, unseen) in &silent {
            self.judge(name, turn.now, true, unseen / all);
            doubt += self
                .servers
                .get(name)
                .map_or(0.0, |server| server.record.doubt);
        }
        // Whichever it is, one of them is broken.
        let waits = match silent[..] {
            [] => turn.now < sent + usual * 2,
            _ => filling && doubt < BROKEN_AT,
        };
        if waits {
            let (id, route, wait) = (id.clone(), route.clone(), turn.now - sent);
            self.after(
                turn,
                wait,
                Box::new(move |r, turn| r.look_into(turn, &id, n, &route, sent)),
            );
            return self.fill_next(turn);
        }
        let answered = silent.is_empty().then(|| route.server.clone());
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request
            .failed
            .extend(silent.into_iter().map(|(name, _)| name).chain(answered));
        self.patience = if own {
            self.patience
        } else {
            (self.patience * PATIENCE_GROWS).min(PATIENCE_MOST)
        };
        turn.out.cancel(id, n)
    }

    fn learn(
        &mut self,
        now: Duration,
        id: &Id,
        route: &Route,
        filling: bool,
        late: bool,
        ended: &Ended,
    ) {
        use Outcome::*;
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let (kb, rank, work) = (request.arrival.kb, request.rank, request.work);
        let hit = ended.outcome == Served && matches!(ended.remark, Remark::Hit | Remark::Stale);
        let filled_late = ended.outcome == Served && !hit && late && route.source != route.server;
        let cache_blame = if filled_late {
            self.blame_for_late_fill(Tier::Cache, &route.server)
        } else {
            0.0
        };
        let filled = ended.outcome == Served && !hit;
        let parent_blame = if filled {
            self.blame_for_late_fill(Tier::Parent, &route.server)
        } else {
            0.0
        };
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let (at_server, at_source) = match (ended.outcome, ended.remark) {
            (Served, _) if hit => (1.0, 0.0),
            (Served, _) if filled_late => (cache_blame, parent_blame),
            (Served, _) => (1.0, parent_blame),
            (Broken, _) => (0.5, 0.0),
            (_, Remark::SourceUnreached) => (0.0, 1.0),
            // Perhaps the request's own fault: laid to them once another one has served it.
            (Error, Remark::None) => {
                let blamed = route.ends().take(1 + usize::from(filling));
                request
                    .erred
                    .extend(blamed.map(|name| (name.clone(), if filling { 0.5 } else { 1.0 })));
                (0.0, 0.0)
            }
            (TimedOut, Remark::None) if filling => (0.5, 0.5),
            (Unreachable, _) | (TimedOut, Remark::None) => (1.0, 0.0),
            _ => (0.0, 0.0),
        };
        let failed = ended.outcome != Served;
        // Only the cache itself makes a hit slow: one that ages answers, later and later, until it dies.
        let late_hit = hit && ended.took > (OVERHEAD + work).mul_f64(SLOW_HIT);
        let silent = matches!(
            ended.outcome,
            Unreachable | Broken | TimedOut | Cancelled | NeverSent
        );
        for (name, weight) in route.ends().zip([at_server, at_source]) {
            let Some(server) = self.servers.get_mut(name) else {
                continue;
            };
            server.kb_under_way = (server.kb_under_way - kb).max(0.0);
            server.out = server.out.saturating_sub(1);

            let heard = !silent && (*name == route.server || filled);
            server.heard = if heard { now } else { server.heard };
            let broken = ended.outcome == Broken;
            let counted = broken && std::mem::replace(&mut server.broke, now + OVERHEAD) > now;
            if weight > 0.0 && !counted {
                let late = late_hit || late && (filled || server.member.tier != Tier::Cache);
                self.judge(name, now, failed || late, weight);
            }
            if filled {
                self.note_fill(name, late);
            }
        }
        let Some(request) = self.requests.get(id) else {
            return;
        };
        // Behind a parent the origin is judged by how long it kept a fill waiting.
        if matches!(ended.remark, Remark::OriginFailed | Remark::FilledByOrigin) {
            let slow = ended.first_byte > Some(self.classes[request.arrival.class].soft_deadline);
            let origins: Vec<Id> = self.origins().map(|s| s.member.server.clone()).collect();
            origins
                .iter()
                .for_each(|origin| self.judge(origin, now, failed || slow, 1.0));
        }
        // An own copy says nothing of how servers are.
        if failed || route.made.is_some() {
            return;
        }
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        for (name, weight) in std::mem::take(&mut request.erred) {
            self.judge(&name, now, true, weight);
        }
        let Some(request) = self.requests.get(id) else {
            return;
        };
        self.patience = (self.patience * PATIENCE_FALLS).max(PATIENCE);
        if request.first {
            self.shared += (f64::from(hit) - self.shared) / SIGHTINGS_BEFORE_GATE as f64;
        }
        if let Some(seen) = self.ids.known(&request.arrival) {
            seen.held = (hit || rank > 0).then(|| (route.server.clone(), now));
            seen.cost = ended
                .first_byte
                .map(|wait| (wait.as_secs_f64() * 1e3).max(1.0))
                .or(seen.cost);
        }
    }

    fn follow(
        &mut self,
        turn: &mut Turn,
        id: &Id,
        n: usize,
        route: &Route,
        sent: Duration,
        ended: &Ended,
    ) {
        use Outcome::*;
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let Attempt {
            filling, placed, ..
        } = request.attempts[n];
        self.fills_out -= f64::from(placed);
        let soft = request.soft.max(sent + (OVERHEAD + request.work) * 2);
        let (part, before) = (
            part_of(&request.arrival),
            self.held(part_of(&request.arrival)),
        );
        self.learn(turn.now, id, route, filling, turn.now > soft, ended);
        if let Some(held) = self.held(part).filter(|held| before.as_ref() != Some(held)) {
            turn.out.found(part, &held);
        }
        if filling {
            // Who is dead, silent, set aside or refuses, as one source may, says nothing of what links bear; nor
            // does what this machine could not send.
            let mut ends = route.ends().filter_map(|name| self.servers.get(name));
            let dead = matches!(
                ended.outcome,
                Cancelled | Missing | Broken | Full | NeverSent
            ) || ended.remark == Remark::SourceUnreached
                || ends.any(|s| s.record.is_aside() || s.heard < sent && ended.outcome == TimedOut);
            self.fill_ended(
                turn,
                (!dead).then_some(ended.outcome == Served && turn.now <= soft),
            );
        }
        self.pass_on(turn, id, ended.outcome == Served);
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let own = route.made.is_some();
        if matches!(ended.outcome, Error | TimedOut | Broken | Cancelled)
            && request.ran.is_none()
            && !own
        {
            request.ran = Some((sent, route.server.clone()));
        }
        if request.ended || ended.outcome == Missing && !own {
            return self.end(turn, id);
        }
        // Where the source alone failed the cache is asked again, with another.
        let source_failed = !matches!(
            ended.remark,
            Remark::None | Remark::NoFillPlace | Remark::Joined
        );
        let either = usize::from(ended.outcome == Full && ended.remark == Remark::None);
        let blamed = route
            .ends()
            .skip(usize::from(source_failed))
            .take(1 + either);
        request
            .failed
            .extend(blamed.filter(|_| ended.outcome != Cancelled).cloned());
        self.advance(turn, id);
    }

    /// The final answer where none was served: a rejection where a retry is safe, else a failure.
    fn end(&mut self, turn: &mut Turn, id: &Id) {
        let Some(request) = self.requests.get(id).filter(|a| !a.ended) else {
            return;
        };
        // Better than none: an own copy past its fresh time, within what its class allows.
        let stale_for = self.classes[request.arrival.class].stale_for;
        if !stale_for.is_zero() && request.open == 0 && self.own(turn, id, stale_for) {
            return;
        }
        let Some(request) = self.requests.get(id) else {
            return;
        };
        self.ids
            .known(&request.arrival)
            .into_iter()
            .for_each(|seen| seen.unmet = true);
        let effect = self.classes[request.arrival.class].effect;
        let certain = request.open == 0 || effect == Effect::Idempotent;
        if certain && self.may_repeat(turn.now, request, None) {
            turn.out.reject(id, self.advice);
        } else {
            turn.out.fail(id);
        }
        self.requests
            .get_mut(id)
            .into_iter()
            .for_each(|request| request.ended = true);
        self.close(turn, id);
    }

    /// Once a request is over what is still out for it is called off, and it is forgotten when all is back.
    fn close(&mut self, turn: &mut Turn, id: &Id) {
        let Some(request) = self.requests.get(id).filter(|a| a.ended) else {
            return;
        };
        let out = request
            .attempts
            .iter()
            .enumerate()
            .filter(|(_, e)| e.next.is_some() && self.may_cancel);
        out.for_each(|(n, _)| turn.out.cancel(id, n));
        if request.open == 0 {
            self.requests.remove(id);
        }
    }
}

#[cfg(test)]
mod tests;
