//! Every decision of a router: where an access goes, what is kept and at which rank, what follows a failure.
//!
//! How to call it: `Router::start` once, then one method for each thing that happens (`list`, `access`,
//! `result`, `begun`, `left`, `purged`, `probed`, `wake`), each with the time since the start and the
//! outlet through which the router acts. The types of these calls and the outlet are in `interface.rs`.
//!
//! How it reads: constants; the id list (the design's mechanism); one cache server; one execution and one
//! access; the router. `Router::send` is the one gate that every execution passes: the five rules are
//! enforced there and nowhere else. Each execution leaves a closure that is handed its result.

use crate::interface::*;
use lru::LruCache;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::num::NonZeroUsize;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The id list's bound, and how many sightings are needed before the gate and the ranks act (design page).
const ID_LIST: NonZeroUsize = NonZeroUsize::new(4096).unwrap();
const SIGHTINGS_BEFORE_GATE: usize = 64;
const SCORES_BEFORE_RANKS: usize = 256;
/// How many scores and sightings count as recent.
const RECENT: usize = 1024;
/// A member holding over this multiple of the average bytes under way is passed over (design page).
const CROWDED: f64 = 2.0;

/// Sequential test: chance of a failure at a sound and at a broken server, and the odds that decide.
const SOUND_FAILS: f64 = 0.05;
const BROKEN_FAILS: f64 = 0.5;
const DECIDING_ODDS: f64 = 100.0;
/// A server set aside gets one execution in this time; halved by each success, doubled by each failure.
const TRICKLE_FIRST: Duration = Duration::from_millis(1000);
const TRICKLE_SLOWEST: Duration = Duration::from_millis(4000);
const TRICKLE_FULL: Duration = Duration::from_millis(50);

/// Share of a cold server's budget that the routers together use; less where capacities are rough.
const COLD_MARGIN: f64 = 0.6;
const COLD_MARGIN_ROUGH: f64 = 0.45;

/// What an answer takes beside its sending time, and the first guess of how far it stretches.
const OVERHEAD: Duration = Duration::from_millis(100);
const STRETCH_GUESS: (f64, f64) = (1.5, 0.5);
/// Further executions are paid from a store that each access fills a little.
const SPARE_PER_ACCESS: f64 = 0.2;
const SPARE_MOST: f64 = 40.0;

/// Fills that may be under way: one more for as many as end in time, a cut when one ends late.
const FILL_CUT: f64 = 0.9;
const FILL_CUT_EVERY: Duration = Duration::from_millis(250);
const FILLS_LEAST: f64 = 2.0;

/// What a router still says to itself when a time comes, and what it makes of an execution's end.
type Then = Box<dyn FnOnce(&mut Router, &mut Turn)>;
type Next = Box<dyn FnOnce(&mut Router, &mut Turn, &Ended)>;

/// One call: its time and where its answers go.
struct Turn<'a> {
    now: Duration,
    out: &'a mut dyn Outlet,
}

// ---- The id list: sightings, admission and ranks ----

/// The last values of something, in order of arrival and of size.
#[derive(Default)]
struct Recent {
    arrived: VecDeque<f64>,
    sorted: Vec<f64>,
}

impl Recent {
    fn note(&mut self, value: f64) {
        if self.arrived.len() == RECENT {
            let oldest = self.arrived.pop_front().unwrap_or(value);
            self.sorted.remove(self.sorted.partition_point(|v| *v < oldest));
        }
        self.arrived.push_back(value);
        self.sorted.insert(self.sorted.partition_point(|v| *v < value), value);
    }

    /// The value that this share of the recent ones lies below.
    fn quantile(&self, share: f64) -> f64 {
        let place = (self.sorted.len() as f64 * share) as usize;
        self.sorted.get(place).copied().unwrap_or(0.0)
    }
}

/// What the id list holds of one part of an object.
struct Seen {
    count: u64,
    at: Duration,
    cost: Option<f64>,
    /// It was last sent to be kept.
    kept: bool,
    /// The cache that last answered from a copy of it, or was told to keep one.
    held: Option<Id>,
    /// Its access was not honoured: the client's own retry is no new sighting.
    unmet: bool,
    rank: u8,
}

/// The recency-ordered list of ids with their stamps, and the recent scores that it is judged against.
struct IdList {
    seen: LruCache<(Id, u64), Seen>,
    accesses: u64,
    scores: Recent,
    values: Recent,
    /// Mean first-byte time told so far: stands in for an object's own.
    usual_cost: Option<f64>,
}

impl IdList {
    /// Counts a sighting and gives the rank at which a copy is kept; 0: passed unkept.
    fn sight(&mut self, now: Duration, arrival: &Arrival, category: &Category) -> u8 {
        self.accesses += 1;
        let key = (arrival.object.clone(), arrival.part);
        let accesses = self.accesses;
        let Some(seen) = self.seen.get_mut(&key) else {
            let first =
                Seen { count: accesses, at: now, cost: None, kept: false, held: None, unmet: false, rank: 0 };
            self.seen.put(key, first);
            return 0;
        };
        // A retry would pass for a second sighting and admit what is asked for once only.
        if arrival.repeated || std::mem::take(&mut seen.unmet) {
            return seen.rank;
        }
        let since = now.saturating_sub(seen.at).as_secs_f64();
        let refresh = category.fresh.map_or(0.0, |fresh| (since / fresh.as_secs_f64()).min(1.0));
        let cost = seen.cost.or(self.usual_cost).unwrap_or(1.0);
        let requests = (accesses - seen.count) as f64;
        let value = cost * (1.0 - refresh) / requests;
        let score = if value > 0.0 { arrival.kb / value } else { f64::INFINITY };
        let gate_open = self.values.sorted.len() < SIGHTINGS_BEFORE_GATE;
        let admitted = gate_open || value >= self.values.quantile(0.25);
        let rank = match self.scores.sorted.len() {
            n if n < SCORES_BEFORE_RANKS => 2,
            _ if score < self.scores.quantile(1.0 / 3.0) => 3,
            _ if score < self.scores.quantile(2.0 / 3.0) => 2,
            _ => 1,
        };
        self.values.note(value);
        self.scores.note(score);
        // Where a copy expires before it is asked for again nothing is admitted; a kept one drops to bottom.
        seen.rank = match (refresh < 1.0, admitted) {
            (true, true) => rank,
            (false, _) if seen.kept => 1,
            _ => 0,
        };
        (seen.kept, seen.count, seen.at) = (seen.rank > 0, accesses, now);
        seen.rank
    }

    fn told_cost(&mut self, arrival: &Arrival, first_byte: Duration) {
        let cost = (first_byte.as_secs_f64() * 1e3).max(1.0);
        self.usual_cost = Some(self.usual_cost.map_or(cost, |usual| usual + (cost - usual) / 32.0));
        if let Some(seen) = self.seen.peek_mut(&(arrival.object.clone(), arrival.part)) {
            seen.cost = Some(cost);
        }
    }

    fn held(&mut self, arrival: &Arrival) -> Option<&mut Option<Id>> {
        self.seen.peek_mut(&(arrival.object.clone(), arrival.part)).map(|seen| &mut seen.held)
    }

    fn unmet(&mut self, arrival: &Arrival) {
        if let Some(seen) = self.seen.peek_mut(&(arrival.object.clone(), arrival.part)) {
            seen.unmet = true;
        }
    }
}

// ---- One cache server, parent or origin ----

#[derive(Clone, Copy, PartialEq, Eq)]
enum Tier {
    Cache,
    Parent,
    Origin,
}

/// A server set aside: when its next execution is due, and how far apart they are.
struct Trickle {
    due: Duration,
    spacing: Duration,
}

struct Server {
    member: Member,
    tier: Tier,
    /// Work sent to it within the span in which a cold server falls over.
    sent: VecDeque<(Duration, f64)>,
    kb_under_way: f64,
    under_way: usize,
    /// Log odds that it is broken.
    doubt: f64,
    aside: Option<Trickle>,
    /// When it last showed that it is there, and whether it gave no sign of life since it was found missing.
    heard: Duration,
    missing: bool,
}

impl Server {
    fn new(member: Member, tier: Tier) -> Server {
        let sent = VecDeque::new();
        Server {
            member,
            tier,
            sent,
            kb_under_way: 0.0,
            under_way: 0,
            doubt: 0.0,
            aside: None,
            heard: Duration::ZERO,
            missing: false,
        }
    }

    fn sound(&self, now: Duration) -> bool {
        self.aside.as_ref().is_none_or(|trickle| now >= trickle.due)
    }

    /// One step of the sequential test, against what is usual in its tier: a trouble that strikes all alike
    /// lies behind them, and setting them aside would only scatter the objects over caches without copies.
    /// `weight` is how much of the outcome is laid to this server.
    fn judge(&mut self, now: Duration, failed: bool, weight: f64, usual: f64) {
        let sound = usual.clamp(SOUND_FAILS, 0.95);
        let broken = BROKEN_FAILS.max((1.0 + sound) / 2.0);
        let step = if failed { broken / sound } else { (1.0 - broken) / (1.0 - sound) };
        self.doubt = (self.doubt + weight * step.ln()).clamp(0.0, DECIDING_ODDS.ln());
        match &mut self.aside {
            None if self.doubt >= DECIDING_ODDS.ln() => {
                self.aside = Some(Trickle { due: now + TRICKLE_FIRST, spacing: TRICKLE_FIRST });
            }
            None => {}
            Some(trickle) => {
                trickle.spacing =
                    if failed { (trickle.spacing * 2).min(TRICKLE_SLOWEST) } else { trickle.spacing / 2 };
                trickle.due = now + trickle.spacing;
                if trickle.spacing < TRICKLE_FULL {
                    (self.aside, self.doubt) = (None, 0.0);
                }
            }
        }
    }
}

// ---- One execution, one access ----

struct Execution {
    next: Option<Next>,
    called_off: bool,
    /// It counts among the fills under way.
    filling: bool,
}

/// Where an execution goes: a server, and the source of a fill with it.
#[derive(Clone)]
struct Route {
    server: Id,
    source: Option<Id>,
}

struct Access {
    arrival: Arrival,
    rank: u8,
    /// Its sending time at the client's pace.
    work: Duration,
    soft: Duration,
    /// The final answer goes out by then.
    due: Duration,
    /// It waits for its turn to be filled.
    waits: bool,
    executions: Vec<Execution>,
    open: usize,
    begun: bool,
    ended: bool,
    /// The first execution that may have run: when it was sent, and where.
    ran: Option<(Duration, Id)>,
    /// Servers and sources that failed this access.
    failed: Vec<Id>,
}

// ---- The router ----

/// The instance: one router of one location.
pub struct Router {
    // Derived from what it was told at its start.
    location: usize,
    routers_here: f64,
    routers: f64,
    categories: Vec<Category>,
    margin: Duration,
    kb_per_s: f64,
    models: (Option<usize>, Option<usize>),
    most_executions: usize,
    second_copies: bool,
    may_cancel: bool,
    longest_advice: Option<Duration>,
    cold: (ColdStart, ColdStart),
    cold_margin: f64,
    purge_done: Duration,
    fills: bool,
    pass_through: bool,
    joins: bool,
    must_ask: bool,
    // What it has seen.
    started: Duration,
    chance: fastrand::Rng,
    servers: BTreeMap<Id, Server>,
    ids: IdList,
    accesses: HashMap<Id, Access>,
    thens: HashMap<u64, Then>,
    last_mark: u64,
    /// Purges by object and by group, while older copies may be left.
    purged_objects: HashMap<Id, Duration>,
    purged_groups: HashMap<u64, Duration>,
    /// By category: mean sending time, in seconds, and how many it is of.
    mean_work: Vec<(f64, f64)>,
    /// How far answers stretch beyond their sending time: mean and deviation.
    stretch: (f64, f64),
    spare: f64,
    /// By tier: share of outcomes that are failures, lately.
    usual_fails: [f64; 3],
    /// Executions out that are likely to be fills, how many may be, when that was last cut, who waits.
    fills_out: f64,
    fills_most: f64,
    fills_cut: Duration,
    waiting: Vec<Id>,
}

impl Router {
    pub fn start(now: Duration, seed: u64, told: &Deployment, out: &mut dyn Outlet) -> Router {
        let scant = |hints| matches!(hints, Hints::Nominal);
        let router = Router {
            location: told.location,
            routers_here: told.routers_at.get(told.location).map_or(told.routers, |n| *n).max(1) as f64,
            routers: told.routers.max(1) as f64,
            categories: told.categories.clone(),
            margin: told.tick * 2,
            kb_per_s: if told.client_kb_per_s > 0.0 { told.client_kb_per_s } else { f64::INFINITY },
            models: (told.parent_model, told.origin_model),
            most_executions: told.max_executions.max(1),
            second_copies: told.second_copies,
            may_cancel: told.may_cancel,
            longest_advice: told.longest_advice,
            cold: (told.cold_cache, told.cold_parent),
            cold_margin: if scant(told.hints) { COLD_MARGIN } else { COLD_MARGIN_ROUGH },
            purge_done: told.purge_done,
            fills: told.fills,
            pass_through: told.pass_through,
            joins: told.joins,
            must_ask: told.list_on_request,
            started: now,
            chance: fastrand::Rng::with_seed(seed),
            servers: BTreeMap::new(),
            ids: IdList {
                seen: LruCache::new(ID_LIST),
                accesses: 0,
                scores: Recent::default(),
                values: Recent::default(),
                usual_cost: None,
            },
            accesses: HashMap::new(),
            thens: HashMap::new(),
            last_mark: 0,
            purged_objects: HashMap::new(),
            purged_groups: HashMap::new(),
            mean_work: vec![(0.0, 0.0); told.categories.len()],
            stretch: STRETCH_GUESS,
            spare: SPARE_MOST,
            usual_fails: [0.0; 3],
            fills_out: 0.0,
            fills_most: 0.0,
            fills_cut: now,
            waiting: Vec::new(),
        };
        if router.must_ask {
            out.watch_list();
        }
        router
    }

    pub fn knows_category(&self, category: usize) -> bool {
        category < self.categories.len()
    }

    /// The list, or changes to it. A server that started anew begins with a clean record.
    pub fn list(&mut self, now: Duration, kind: ListKind, members: &[Member], out: &mut dyn Outlet) {
        if kind == ListKind::Failed {
            // Without a subscription a drain would never be heard of.
            let wait = Duration::from_secs(1) + Duration::from_millis(self.chance.u64(0..500));
            return self.after(&mut Turn { now, out }, wait, Box::new(|_, turn| turn.out.watch_list()));
        }
        if kind != ListKind::Changes {
            // What a whole list leaves out is gone.
            self.servers.values_mut().for_each(|s| s.member.standing = Standing::Gone);
        }
        for member in members {
            let tier = match Some(member.model) {
                model if model == self.models.0 => Tier::Parent,
                model if model == self.models.1 => Tier::Origin,
                _ => Tier::Cache,
            };
            let fresh = || Server::new(member.clone(), tier);
            let server = self.servers.entry(member.server.clone()).or_insert_with(fresh);
            if server.member.started != member.started {
                (server.doubt, server.aside) = (0.0, None);
            }
            server.member = member.clone();
        }
        if self.fills_most == 0.0 {
            let here =
                self.servers.values().filter(|s| s.tier == Tier::Cache && s.member.location == self.location);
            self.fills_most =
                (here.map(|s| s.member.capacity).sum::<f64>() / self.routers_here).max(FILLS_LEAST);
        }
        let done = |s: &Server| s.member.standing == Standing::Gone && s.under_way == 0;
        self.servers.retain(|_, s| !done(s));
    }

    /// An access comes in: it gets its one final answer by `due` whatever else happens.
    pub fn access(&mut self, now: Duration, arrival: Arrival, out: &mut dyn Outlet) {
        let turn = &mut Turn { now, out };
        let category = &self.categories[arrival.category];
        let rank = if category.cacheable { self.ids.sight(now, &arrival, category) } else { 0 };
        let work = Duration::from_secs_f64(arrival.kb / self.kb_per_s);
        let (mean, of) = &mut self.mean_work[arrival.category];
        *of = (*of + 1.0).min(256.0);
        *mean += (work.as_secs_f64() - *mean) / *of;
        let due = now + arrival.left.saturating_sub(self.margin);
        let soft = now + category.soft_limit + work.mul_f64(category.soft_stretch);
        let id = arrival.id.clone();
        let (executions, failed) = (Vec::new(), Vec::new());
        let (open, waits, begun, ended, ran) = (0, false, false, false, None);
        let access =
            Access { arrival, rank, work, soft, due, waits, executions, open, begun, ended, ran, failed };
        self.accesses.insert(id.clone(), access);
        self.spare = (self.spare + SPARE_PER_ACCESS).min(SPARE_MOST);
        let overdue = id.clone();
        let at_due = move |router: &mut Router, turn: &mut Turn| {
            if router.accesses.get(&overdue).is_some_and(|a| !a.begun) {
                router.end(turn, &overdue);
            }
        };
        self.after(turn, due.saturating_sub(now), Box::new(at_due));
        self.advance(turn, &id);
    }

    /// The client left: nothing more is sent or owed.
    pub fn left(&mut self, now: Duration, id: &Id, out: &mut dyn Outlet) {
        if let Some(access) = self.accesses.get_mut(id) {
            access.ended = true;
            self.close(&mut Turn { now, out }, id);
        }
    }

    /// A streamed answer has begun: it belongs to the client, and no limit runs any more.
    pub fn begun(&mut self, id: &Id, _execution: usize) {
        if let Some(access) = self.accesses.get_mut(id) {
            access.begun = true;
        }
    }

    /// An execution ended: what it left behind is handed the result.
    pub fn result(&mut self, now: Duration, id: &Id, execution: usize, ended: &Ended, out: &mut dyn Outlet) {
        let Some(access) = self.accesses.get_mut(id) else { return };
        let Some(next) = access.executions.get_mut(execution).and_then(|e| e.next.take()) else { return };
        access.open -= 1;
        access.ended |= ended.over;
        let turn = &mut Turn { now, out };
        next(self, turn, ended);
        if self.accesses.get(id).is_some_and(|a| a.ended) {
            self.close(turn, id);
        }
    }

    pub fn probed(&mut self, _now: Duration, _server: &Id, _answered: bool, _load: Load) {}

    /// Remembered until no older copy can be left anywhere.
    pub fn purged(&mut self, now: Duration, object: Option<Id>, group: u64, ago: Duration) {
        let (at, done) = (now.saturating_sub(ago), self.purge_done);
        self.purged_objects.retain(|_, purge| now < *purge + done);
        self.purged_groups.retain(|_, purge| now < *purge + done);
        let latest = match object {
            Some(object) => self.purged_objects.entry(object).or_insert(at),
            None => self.purged_groups.entry(group).or_insert(at),
        };
        *latest = at.max(*latest);
    }

    pub fn wake(&mut self, now: Duration, mark: u64, out: &mut dyn Outlet) {
        if let Some(then) = self.thens.remove(&mark) {
            then(self, &mut Turn { now, out });
        }
    }

    fn after(&mut self, turn: &mut Turn, wait: Duration, then: Then) {
        self.last_mark += 1;
        self.thens.insert(self.last_mark, then);
        turn.out.wake_at(turn.now + wait, self.last_mark);
    }

    /// The next execution of an access, or its end.
    fn advance(&mut self, turn: &mut Turn, id: &Id) {
        let route = self.route(turn.now, id);
        if self.fills_out >= self.fills_most && route.as_ref().is_some_and(|r| self.likely_fill(id, r)) {
            return self.hold(turn, id);
        }
        let sent = route.is_some_and(|route| self.send(turn, id, route));
        if !sent && self.accesses.get(id).is_some_and(|a| a.open == 0) {
            self.end(turn, id);
        }
    }

    /// The cache is not known to hold it: it would go through the location's link.
    fn likely_fill(&mut self, id: &Id, route: &Route) -> bool {
        let Some(access) = self.accesses.get(id) else { return false };
        let cacheable = self.fills && self.categories[access.arrival.category].cacheable;
        cacheable && self.ids.held(&access.arrival).is_none_or(|held| held.as_ref() != Some(&route.server))
    }

    /// More fills than the links and sources end in time make every one of them late, and what times out
    /// has used them for nothing. So a fill too many waits, as long as it could still be in time after.
    fn hold(&mut self, turn: &mut Turn, id: &Id) {
        let Some(access) = self.accesses.get_mut(id) else { return };
        let latest = access.soft.min(access.due).saturating_sub(OVERHEAD + access.work);
        if turn.now >= latest {
            return self.end(turn, id);
        }
        access.waits = true;
        self.waiting.push(id.clone());
        let (id, wait) = (id.clone(), latest - turn.now);
        let too_late = move |router: &mut Router, turn: &mut Turn| {
            router.waiting.retain(|waits| *waits != id);
            if router.accesses.get(&id).is_some_and(|a| a.waits) {
                router.end(turn, &id);
            }
        };
        self.after(turn, wait, Box::new(too_late));
    }

    /// A fill ended: how many may be under way follows, and those that wait go, most benefit for the work first.
    fn fill_ended(&mut self, turn: &mut Turn, in_time: Option<bool>) {
        self.fills_out -= 1.0;
        if in_time == Some(true) {
            self.fills_most += 1.0 / self.fills_most;
        } else if in_time == Some(false) && turn.now >= self.fills_cut + FILL_CUT_EVERY {
            self.fills_most = (self.fills_most * FILL_CUT).max(FILLS_LEAST);
            self.fills_cut = turn.now;
        }
        while self.fills_out < self.fills_most {
            let (accesses, categories) = (&self.accesses, &self.categories);
            self.waiting.retain(|id| accesses.get(id).is_some_and(|a| a.waits && !a.ended));
            let gain = |id: &Id| {
                let a = &accesses[id];
                categories[a.arrival.category].benefit / (OVERHEAD + a.work).as_secs_f64()
            };
            let best = (0..self.waiting.len())
                .max_by(|a, b| gain(&self.waiting[*a]).total_cmp(&gain(&self.waiting[*b])));
            let Some(best) = best else { return };
            let id = self.waiting.remove(best);
            self.accesses.get_mut(&id).into_iter().for_each(|a| a.waits = false);
            self.advance(turn, &id);
        }
    }

    // ---- Where to ----

    /// Members of a tier in the order in which the hash of an object prefers them: each member draws its own
    /// number, so that one that fails moves only its own objects, and all routers agree on the order.
    fn preferred(&self, tier: Tier, object: &Id) -> Vec<&Server> {
        let draw = |s: &Server| {
            let hash = xxh3_64_with_seed(object.as_bytes(), xxh3_64_with_seed(s.member.server.as_bytes(), 0));
            -((hash as f64 + 1.0) / 2f64.powi(64)).ln() / s.member.capacity.max(1e-9)
        };
        let here = |s: &&Server| tier != Tier::Cache || !self.fills || s.member.location == self.location;
        let of_tier = self.servers.values().filter(|s| s.tier == tier).filter(here);
        let mut drawn: Vec<_> = of_tier.map(|s| (draw(s), s)).collect();
        drawn.sort_by(|a, b| a.0.total_cmp(&b.0));
        drawn.into_iter().map(|(_, s)| s).collect()
    }

    /// The first that the hash prefers, moving on when one fails, is full or holds over twice the average.
    fn pick(&self, now: Duration, tier: Tier, access: &Access) -> Option<&Server> {
        let members = self.preferred(tier, &access.arrival.object);
        let open: Vec<_> = members.into_iter().filter(|s| self.may_take(now, s, access)).collect();
        let average = open.iter().map(|s| s.kb_under_way).sum::<f64>() / open.len().max(1) as f64;
        let fails = |s: &&&Server| access.failed.contains(&s.member.server);
        // While its link serves all it holds at half pace or better, moving on would cost a miss and gain little.
        let filled = |s: &Server| s.under_way as f64 >= 2.0 * s.member.capacity;
        let crowded = |s: &&&Server| s.kb_under_way > CROWDED * average && filled(s);
        // What strikes most of a tier lies behind it: only who is missing is then passed over, since to crowd
        // the few that seem sound, or the origin, would lose the copies that the others still hold.
        let most = open.iter().filter(|s| s.sound(now)).count() * 2 < open.len();
        let sound = || open.iter().filter(|s| !fails(s) && (s.sound(now) || most && !s.missing));
        sound().find(|s| !crowded(s)).or(sound().next()).or(open.iter().find(|s| !fails(s))).copied()
    }

    fn route(&self, now: Duration, id: &Id) -> Option<Route> {
        let access = self.accesses.get(id)?;
        let name = |s: &Server| s.member.server.clone();
        let source = || {
            let parent = self.pick(now, Tier::Parent, access).filter(|s| s.sound(now) || !s.missing);
            parent.or_else(|| self.pick(now, Tier::Origin, access)).map(name)
        };
        // What no cache may keep runs at the origin: the caches on the way could only fail it.
        if !self.categories[access.arrival.category].cacheable && self.pass_through {
            let origin = self.pick(now, Tier::Origin, access);
            if let Some(origin) = origin {
                return Some(Route { server: name(origin), source: Some(name(origin)) });
            }
        }
        if let Some(cache) = self.pick(now, Tier::Cache, access) {
            // With no source left the cache itself is named: a plain send would bear no age, and could be
            // answered from a copy older than a purge.
            let source = self.fills.then(|| source().unwrap_or_else(|| name(cache)));
            return Some(Route { server: name(cache), source });
        }
        // No cache left: straight to a parent or the origin.
        if !self.pass_through || !self.fills {
            return None;
        }
        source().map(|straight| Route { server: straight.clone(), source: Some(straight) })
    }

    // ---- The gate ----

    /// What an execution weighs in a server's cold budget: at a cache the mean of its category, at a parent
    /// its own sending time.
    fn weight(&self, server: &Server, access: &Access) -> f64 {
        match server.tier {
            Tier::Cache => self.mean_work[access.arrival.category].0,
            _ => access.work.as_secs_f64(),
        }
    }

    /// Rules 3 and 4, for a server as such or as a source: nothing new once told that it drains or is gone;
    /// and while it is cold, no more in any span than this router's own share of what it bears, so that
    /// all routers together, each alone with its share, cannot push it over.
    fn may_take(&self, now: Duration, server: &Server, access: &Access) -> bool {
        if server.member.standing != Standing::Active {
            return false;
        }
        let (cold, routers) = match server.tier {
            Tier::Cache if self.fills => (&self.cold.0, self.routers_here),
            Tier::Cache => (&self.cold.0, self.routers),
            Tier::Parent => (&self.cold.1, self.routers),
            Tier::Origin => return true,
        };
        let Some(age) = server.member.started.map(|at| now.saturating_sub(at)) else { return true };
        if age >= cold.warm_within + cold.span {
            return true;
        }
        // What an earlier life of this router sent is not known to it.
        if now < self.started + cold.span {
            return false;
        }
        let warm = (age.as_secs_f64() / cold.warm_within.as_secs_f64()).min(1.0);
        let present = server.member.capacity * (cold.from + (1.0 - cold.from) * warm);
        let bears = cold.multiple * present * cold.span.as_secs_f64() * self.cold_margin / routers;
        let sent: f64 = server.sent.iter().filter(|(at, _)| *at + cold.span > now).map(|(_, w)| w).sum();
        sent + self.weight(server, access) <= bears
    }

    /// Rule 2: may this access run again (or be declined as safe to repeat)?
    fn may_repeat(&self, now: Duration, access: &Access, at: Option<&Server>) -> bool {
        let Some((sent, first)) = &access.ran else { return true };
        let category = &self.categories[access.arrival.category];
        let within = |same: fn(&Member) -> u64| {
            let first = self.servers.get(first).map(|s| same(&s.member));
            at.is_some_and(|s| Some(same(&s.member)) == first)
        };
        match (category.effect, category.group) {
            (Effect::Idempotent, _) => true,
            (Effect::Unrepeatable, _) => false,
            (Effect::Deduplicated, Group::All) if at.is_none() => true,
            (Effect::Deduplicated, _) if now + self.margin >= *sent + category.window => false,
            (Effect::Deduplicated, Group::All) => true,
            (Effect::Deduplicated, Group::Location) => within(|m| m.location as u64),
            (Effect::Deduplicated, Group::Cohort) => within(|m| m.cohort),
        }
    }

    /// Rule 5: the oldest copy that will do. Counted from the purge, and never zero, which would mean any age.
    fn oldest(&self, now: Duration, access: &Access) -> Option<Duration> {
        let fresh = self.categories[access.arrival.category].fresh;
        let object = self.purged_objects.get(&access.arrival.object);
        let purge = object.max(self.purged_groups.get(&access.arrival.group));
        let current = purge.filter(|at| now < **at + self.purge_done + self.margin);
        let since = current.map(|at| now.saturating_sub(*at).max(Duration::from_micros(1)));
        since.into_iter().chain(fresh).min()
    }

    /// The gate: every execution passes here, and each rule is enforced here. False: not sent.
    fn send(&mut self, turn: &mut Turn, id: &Id, route: Route) -> bool {
        let now = turn.now;
        let Some(access) = self.accesses.get(id) else { return false };
        let Some(server) = self.servers.get(&route.server) else { return false };
        let source = route.source.as_ref().and_then(|s| self.servers.get(s));
        let category = &self.categories[access.arrival.category];
        let sole = category.effect == Effect::Unrepeatable || !self.second_copies;
        let lawful = !access.ended
            && now < access.due
            && access.executions.len() < self.most_executions
            && (access.open == 0 || !sole)
            && (access.open == 0 || category.effect == Effect::Idempotent)
            && self.may_repeat(now, access, Some(server))
            && self.may_take(now, server, access)
            && source.is_none_or(|s| self.may_take(now, s, access));
        if !lawful {
            return false;
        }
        let limit = access.due.saturating_sub(now);
        let watched = self.may_cancel && category.effect == Effect::Idempotent && !category.streamed;
        let patience =
            (OVERHEAD + access.work).mul_f64((self.stretch.0 + 4.0 * self.stretch.1).clamp(2.0, 4.0));
        let fill = route.source.clone().map(|source| Fill {
            source,
            rank: if server.tier == Tier::Cache { access.rank } else { 0 },
            oldest: self.oldest(now, access),
            join: self.joins,
            only_held: false,
            parent_keeps: true,
            renew: false,
        });
        let (weights, kb) =
            ([server, source.unwrap_or(server)].map(|s| self.weight(s, access)), access.arrival.kb);
        let mut both = vec![route.server.clone()];
        both.extend(route.source.clone().filter(|s| *s != route.server));
        for (name, weight) in both.iter().zip(weights) {
            let span = self.cold.0.span.max(self.cold.1.span);
            let Some(server) = self.servers.get_mut(name) else { continue };
            server.sent.push_back((now, weight));
            while server.sent.front().is_some_and(|(at, _)| *at + span <= now) {
                server.sent.pop_front();
            }
            server.kb_under_way += kb;
            server.under_way += 1;
            if let Some(trickle) = &mut server.aside {
                trickle.due = now + trickle.spacing;
            }
        }
        let filling = self.likely_fill(id, &route);
        self.fills_out += f64::from(u8::from(filling));
        let Some(access) = self.accesses.get_mut(id) else { return false };
        turn.out.execute(id, &route.server, limit, fill.as_ref());
        access.open += 1;
        let (n, id) = (access.executions.len(), id.clone());
        let (watched_id, watched_route) = (id.clone(), route.clone());
        let next: Next = Box::new(move |router, turn, ended| {
            let filling = router.accesses.get(&id).is_some_and(|a| a.executions[n].filling);
            router.learn(now, turn.now, &id, &route, filling, ended);
            if filling {
                let soft =
                    router.accesses.get(&id).map_or(turn.now, |a| a.soft.max(now + (OVERHEAD + a.work) * 2));
                let dead = ended.outcome == Outcome::Cancelled || ended.remark == Remark::SourceUnreached;
                let in_time = ended.outcome == Outcome::Honoured && turn.now <= soft;
                router.fill_ended(turn, (!dead).then_some(in_time));
            }
            router.follow(turn, &id, &route, now, ended);
        });
        access.executions.push(Execution { next: Some(next), called_off: false, filling });
        if watched {
            let check = move |router: &mut Router, turn: &mut Turn| {
                router.check_silence(turn, &watched_id, n, &watched_route, now)
            };
            self.after(turn, patience, Box::new(check));
        }
        true
    }

    /// A time has passed in which most executions have ended. One whose server has answered others meanwhile
    /// is slow and is waited for: to start it again would double the load. A server, or a source, of which
    /// nothing was heard since is silent: it is judged, and the access moves on.
    fn check_silence(&mut self, turn: &mut Turn, id: &Id, n: usize, route: &Route, sent: Duration) {
        let Some(access) = self.accesses.get_mut(id).filter(|a| !a.ended && !a.begun) else { return };
        let Some(execution) = access.executions.get_mut(n).filter(|e| e.next.is_some()) else { return };
        // A copy would have been sent by now: it is being filled after all.
        if self.fills && !std::mem::replace(&mut execution.filling, true) {
            self.fills_out += 1.0;
        }
        for name in [Some(&route.server), route.source.as_ref()].into_iter().flatten() {
            if let Some(server) = self.servers.get_mut(name).filter(|s| s.heard < sent) {
                // Behind a source there may be another that is slow: only a cache is taken for missing.
                server.missing |= *name == route.server;
                server.judge(turn.now, true, 1.0, self.usual_fails[server.tier as usize]);
                access.failed.push(name.clone());
                execution.called_off = true;
                return turn.out.cancel(id, n);
            }
        }
    }

    // ---- What follows ----

    /// What the end of an execution says of its server and its source.
    fn learn(&mut self, sent: Duration, now: Duration, id: &Id, route: &Route, filling: bool, ended: &Ended) {
        use Outcome::*;
        let Some(access) = self.accesses.get(id) else { return };
        let (kb, work) = (access.arrival.kb, access.work);
        let source = route.source.clone().filter(|s| *s != route.server);
        for name in [Some(&route.server), source.as_ref()].into_iter().flatten() {
            if let Some(server) = self.servers.get_mut(name) {
                server.kb_under_way = (server.kb_under_way - kb).max(0.0);
                server.under_way -= 1;
            }
        }
        let hit = ended.outcome == Honoured && matches!(ended.remark, Remark::Hit | Remark::Stale);
        let told =
            [&route.server].into_iter().chain(source.as_ref().filter(|_| ended.outcome == Honoured && !hit));
        for name in told.filter(|_| !matches!(ended.outcome, TimedOut | Unreachable | Cancelled | NeverSent))
        {
            self.servers.get_mut(name).into_iter().for_each(|s| (s.heard, s.missing) = (now, false));
        }
        // (failed, how much of it is laid to each); a slow fill may be the fault of either end.
        let (cache, fill) = match (ended.outcome, ended.remark) {
            (Honoured, _) => (Some((false, 1.0)), (!hit).then_some((false, 1.0))),
            // These speak of the server alone, whatever the others do.
            (Unreachable | Broken, _) => (Some((true, 1.0)), None),
            (_, Remark::SourceRefused | Remark::NoFillPlace | Remark::SourceLacks) => (None, None),
            (_, Remark::SourceUnreached | Remark::OriginFailed) => (None, Some((true, 1.0))),
            (Error | TimedOut, _) if source.is_none() || !filling => (Some((true, 1.0)), None),
            (Error | TimedOut, _) => (Some((true, 0.5)), Some((true, 0.5))),
            (Full | Cancelled | NeverSent | Missing, _) => (None, None),
        };
        for (name, verdict) in [(Some(&route.server), cache), (source.as_ref(), fill)] {
            let server = name.and_then(|name| self.servers.get_mut(name));
            if let (Some(server), Some((failed, weight))) = (server, verdict) {
                if matches!(ended.outcome, Unreachable | Broken) {
                    server.missing = true;
                    server.judge(now, failed, weight, 0.0);
                    continue;
                }
                let usual = &mut self.usual_fails[server.tier as usize];
                server.judge(now, failed, weight, *usual);
                *usual += (f64::from(u8::from(failed)) - *usual) * weight / 32.0;
            }
        }
        if ended.outcome == Honoured {
            let rank = access.rank;
            self.ids.held(&access.arrival).into_iter().for_each(|held| {
                *held = (hit || rank > 0).then(|| route.server.clone());
            });
        }
        // A fill that was not needed never reached its source.
        if let Some(server) = source.as_ref().filter(|_| hit).and_then(|s| self.servers.get_mut(s)) {
            let weight = work.as_secs_f64();
            if let Some(at) = server.sent.iter().position(|entry| *entry == (sent, weight)) {
                server.sent.remove(at);
            }
        }
        if matches!(ended.outcome, Honoured | TimedOut) {
            let ratio = ended.took.as_secs_f64() / (OVERHEAD + work).as_secs_f64();
            let (mean, deviation) = &mut self.stretch;
            *deviation += ((ratio - *mean).abs() - *deviation) / 32.0;
            *mean += (ratio - *mean) / 32.0;
        }
        if let Some(first_byte) = ended.first_byte.filter(|_| ended.outcome == Honoured) {
            self.ids.told_cost(&access.arrival, first_byte);
        }
    }

    /// What an access does next when one of its executions has ended.
    fn follow(&mut self, turn: &mut Turn, id: &Id, route: &Route, sent: Duration, ended: &Ended) {
        use Outcome::*;
        let Some(access) = self.accesses.get_mut(id) else { return };
        if matches!(ended.outcome, Error | TimedOut | Broken | Cancelled) && access.ran.is_none() {
            access.ran = Some((sent, route.server.clone()));
        }
        if access.ended || access.begun {
            return;
        }
        // The source alone failed: the cache is asked again, with another.
        let source_only = matches!(
            ended.remark,
            Remark::SourceRefused | Remark::SourceUnreached | Remark::SourceLacks | Remark::OriginFailed
        );
        match &route.source {
            Some(source) if source_only => access.failed.push(source.clone()),
            Some(source) if ended.outcome == Full && ended.remark == Remark::None => {
                access.failed.extend([route.server.clone(), source.clone()]);
            }
            _ if ended.outcome == Cancelled => {}
            _ => access.failed.push(route.server.clone()),
        }
        if self.spare < 1.0 || turn.now >= access.due {
            return self.end(turn, id);
        }
        self.spare -= 1.0;
        self.advance(turn, id);
    }

    /// The final answer where none was honoured: a decline where a retry is safe, else a give-up.
    fn end(&mut self, turn: &mut Turn, id: &Id) {
        let Some(access) = self.accesses.get(id).filter(|a| !a.ended) else { return };
        self.ids.unmet(&access.arrival);
        let effect = self.categories[access.arrival.category].effect;
        let certain = access.open == 0 || effect == Effect::Idempotent;
        if certain && self.may_repeat(turn.now, access, None) {
            turn.out.decline(id, self.longest_advice.map(|most| most.min(Duration::from_millis(200))));
        } else {
            turn.out.give_up(id);
        }
        if let Some(access) = self.accesses.get_mut(id) {
            access.ended = true;
        }
        self.close(turn, id);
    }

    /// An access is over: what is still out for it is called off, and it is forgotten once all has come back.
    fn close(&mut self, turn: &mut Turn, id: &Id) {
        let Some(access) = self.accesses.get_mut(id) else { return };
        let out = |e: &Execution| e.next.is_some() && !e.called_off;
        for (n, execution) in
            access.executions.iter_mut().enumerate().filter(|(_, e)| self.may_cancel && out(e))
        {
            execution.called_off = true;
            turn.out.cancel(id, n);
        }
        if access.open == 0 {
            self.accesses.remove(id);
        }
    }
}
