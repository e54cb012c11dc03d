//! A fleet of 200 routers in simulated time: the real decisions and the real talk, before simulated caches,
//! parents and clients, from one seed. It watches what each router owes by itself and counts what all of them
//! together do. Servers are models: a transfer runs at a client's pace while a server has no more than its
//! capacity, else all share.

use chalkhall::control::Router;
use chalkhall::interface::*;
use chalkhall_gossip::{About, Mouth, Talk, To};
use lru::LruCache;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::num::NonZeroUsize;
use std::time::Duration;

const ZONES: usize = 40;
const ROUTERS_HERE: usize = 5;
const CACHES_HERE: usize = 4;
pub const PARENTS: usize = 10;
const ROUTERS: usize = ZONES * ROUTERS_HERE;
const END: Duration = Duration::from_secs(16);
const PARTS: u64 = 16;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// What goes wrong on a day.
#[derive(Clone, Copy, Default)]
pub struct Day {
    pub seed: u64,
    pub talk: bool,
    /// Share of datagrams lost, and whether they come up to a second late and forged ones among them.
    pub lost: f64,
    pub spoilt: bool,
    /// Seven in ten routers die at 6 s and start anew at 8 s; from 5 to 7 s a cache in four takes and never
    /// answers.
    pub killed: bool,
    /// One request in seven is for the latest part of one film, four of which come a second.
    pub hot: bool,
    /// Every cache that is the first of its zone takes four times as long, and says nothing of it.
    pub slow: bool,
}

#[derive(Default, Debug)]
pub struct Seen {
    pub asked: usize,
    pub in_time: usize,
    pub rejected: usize,
    pub fills: usize,
    /// Requests that were served by what a cache had.
    pub hits: usize,
    pub by_parent: BTreeMap<String, usize>,
    pub by_first: usize,
    pub attempts: usize,
    pub bytes: usize,
    pub strangers: u64,
}

enum Event {
    Ask(usize),
    Wake(usize, u32, u64),
    End {
        router: usize,
        life: u32,
        request: Id,
        attempt: usize,
        hit: bool,
        ends: [Option<Id>; 2],
        keep: Option<u64>,
    },
    Due(usize, u32, Id),
    Datagram(usize, u64, Vec<u8>),
    Tick(usize),
    Kill,
    Revive,
}

struct Served {
    capacity: f64,
    pace: f64,
    busy: u32,
    held: LruCache<u64, ()>,
}

/// What a router orders in one call.
#[derive(Default)]
struct Orders {
    attempts: Vec<(Id, Id, Fill)>,
    answers: Vec<(Id, bool)>,
    cancels: Vec<(Id, usize)>,
    wakes: Vec<(Duration, u64)>,
    found: Vec<(u32, Id)>,
}

impl Outlet for Orders {
    fn attempt(&mut self, request: &Id, server: &Id, _limit: Duration, fill: &Fill) {
        self.attempts
            .push((request.clone(), server.clone(), fill.clone()));
    }
    fn reject(&mut self, request: &Id, _advice: Option<Duration>) {
        self.answers.push((request.clone(), true));
    }
    fn fail(&mut self, request: &Id) {
        self.answers.push((request.clone(), false));
    }
    fn cancel(&mut self, request: &Id, attempt: usize) {
        self.cancels.push((request.clone(), attempt));
    }
    fn wake_at(&mut self, at: Duration, mark: u64) {
        self.wakes.push((at, mark));
    }
    fn watch_list(&mut self) {}
    fn found(&mut self, part: u32, cache: &Id) {
        self.found.push((part, cache.clone()));
    }
}

#[derive(Default)]
struct Said(Vec<(To, Vec<u8>)>);

impl Mouth for Said {
    fn say(&mut self, to: To, bytes: &[u8]) {
        self.0.push((to, bytes.to_vec()));
    }
}

/// A request that a living router has taken: when it came, its soft deadline and its own time.
struct Taken {
    arrival: Arrival,
    key: u64,
    soft: Duration,
    open: bool,
    /// When each was sent; none: it has ended.
    attempts: Vec<Option<Duration>>,
}

struct Node {
    life: u32,
    router: Option<Router>,
    talk: Option<Talk>,
    taken: HashMap<Id, Taken>,
}

pub struct World {
    day: Day,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64)>>,
    what: HashMap<u64, Event>,
    last: u64,
    nodes: Vec<Node>,
    servers: BTreeMap<Id, Served>,
    list: Vec<Member>,
    chance: fastrand::Rng,
    seen: Seen,
}

fn told(number: usize, seed: u64) -> Deployment {
    let cold = ColdStart {
        from: 0.3,
        warm_within: ms(10_000),
        multiple: 2.0,
        span: ms(1000),
    };
    let page = Class {
        window: ms(2000),
        soft_deadline: ms(500),
        soft_stretch: 2.0,
        deadline: ms(3000),
        value: 1.0,
        late_value: 0.2,
        cacheable: true,
        in_parts: true,
        ..Class::default()
    };
    Deployment {
        number: number as u64,
        seed,
        routers: ROUTERS,
        zone: number / ROUTERS_HERE,
        routers_at: vec![ROUTERS_HERE; ZONES],
        classes: vec![page],
        tick: ms(1),
        client_kb_per_s: 5000.0,
        max_attempts: 6,
        may_cancel: true,
        longest_advice: Some(ms(500)),
        cold_cache: cold,
        cold_parent: cold,
        drain_grace: ms(500),
        purge_grace: ms(500),
        purge_done: ms(6000),
        pass_through: true,
        ..Deployment::default()
    }
}

impl World {
    fn new(day: Day) -> World {
        let mut list = Vec::new();
        let mut servers = BTreeMap::new();
        let mut add =
            |name: String, tier: Tier, zone: usize, capacity: f64, holds: usize, pace: f64| {
                let server: Id = name.as_str().into();
                let member = Member {
                    server: server.clone(),
                    tier,
                    zone,
                    capacity,
                    ..Member::default()
                };
                list.push(member);
                let held = LruCache::new(NonZeroUsize::new(holds).expect("some"));
                servers.insert(
                    server,
                    Served {
                        capacity,
                        pace,
                        busy: 0,
                        held,
                    },
                );
            };
        for zone in 0..ZONES {
            for n in 0..CACHES_HERE {
                let pace = if day.slow && n == 0 { 4.0 } else { 1.0 };
                add(
                    format!("cache-{zone}-{n}"),
                    Tier::Cache,
                    zone,
                    4.0,
                    80,
                    pace,
                );
            }
        }
        (0..PARENTS).for_each(|n| add(format!("parent-{n}"), Tier::Parent, 999, 34.0, 20_000, 1.0));
        add("origin".into(), Tier::Origin, 999, 60.0, 1, 1.0);
        let nodes = (0..ROUTERS).map(|_| Node {
            life: 0,
            router: None,
            talk: None,
            taken: HashMap::new(),
        });
        let mut world = World {
            day,
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            what: HashMap::new(),
            last: 0,
            nodes: nodes.collect(),
            servers,
            list,
            chance: fastrand::Rng::with_seed(day.seed),
            seen: Seen::default(),
        };
        for number in 0..ROUTERS {
            world.begin(number);
            let first = ms(world.chance.u64(0..150));
            world.later(first, Event::Ask(number));
        }
        if day.killed {
            world.later(ms(6000), Event::Kill);
            world.later(ms(8000), Event::Revive);
        }
        world
    }

    fn later(&mut self, wait: Duration, event: Event) {
        self.last += 1;
        self.events.push(Reverse((self.now + wait, self.last)));
        self.what.insert(self.last, event);
    }

    fn begin(&mut self, number: usize) {
        let seed = self.day.seed << 20 | (number as u64) << 4 | u64::from(self.nodes[number].life);
        let about = told(number, seed);
        let mut orders = Orders::default();
        let mut router = Router::start(self.now, &about, &mut orders);
        router.list(self.now, ListKind::Whole, &self.list, &mut orders);
        let (routers, zone, number_of) = (ROUTERS, about.zone, number as u64);
        let stands = About {
            number: number_of,
            routers,
            zone,
            routers_here: ROUTERS_HERE,
            seed,
        };
        let mut talk = self
            .day
            .talk
            .then(|| Talk::start(self.now, stands))
            .flatten();
        talk.iter_mut()
            .for_each(|talk| talk.caches(router.caches().map(|m| &m.server)));
        let wait = talk
            .as_ref()
            .map_or(END, |talk| talk.next().saturating_sub(self.now));
        let node = &mut self.nodes[number];
        (node.router, node.talk) = (Some(router), talk);
        self.later(wait, Event::Tick(number));
    }

    /// Calls the decisions of a living router, and carries out what they order.
    fn call(&mut self, number: usize, call: impl FnOnce(&mut Router, Duration, &mut Orders)) {
        let mut orders = Orders::default();
        let Some(router) = &mut self.nodes[number].router else {
            return;
        };
        call(router, self.now, &mut orders);
        let life = self.nodes[number].life;
        for (at, mark) in std::mem::take(&mut orders.wakes) {
            self.later(at.saturating_sub(self.now), Event::Wake(number, life, mark));
        }
        for (part, cache) in std::mem::take(&mut orders.found) {
            self.nodes[number]
                .talk
                .iter_mut()
                .for_each(|talk| talk.found(part, &cache));
        }
        for (id, rejected) in orders.answers {
            let taken = self.nodes[number]
                .taken
                .get_mut(&id)
                .expect("a request that was taken");
            assert!(
                std::mem::replace(&mut taken.open, false),
                "a second answer for {id}"
            );
            self.seen.rejected += usize::from(rejected);
        }
        for (id, server, fill) in orders.attempts {
            self.attempt(number, id, server, fill);
        }
        for (id, attempt) in orders.cancels {
            let out = self.nodes[number]
                .taken
                .get_mut(&id)
                .and_then(|taken| taken.attempts.get_mut(attempt));
            if let Some(sent) = out.and_then(Option::take) {
                let took = self.now - sent;
                self.ended(number, &id, attempt, Outcome::Cancelled, Remark::None, took);
            }
        }
    }

    fn attempt(&mut self, number: usize, id: Id, server: Id, fill: Fill) {
        let taken = self.nodes[number]
            .taken
            .get_mut(&id)
            .expect("a request that was taken");
        assert!(
            taken.attempts.iter().all(Option::is_none),
            "two attempts of {id} at once"
        );
        taken.attempts.push(Some(self.now));
        let (attempt, key) = (taken.attempts.len() - 1, taken.key);
        let work = taken.arrival.kb / 5000.0;
        self.seen.attempts += 1;
        self.seen.by_first += usize::from(server.ends_with("-0") && server.starts_with("cache"));
        let at = self.servers.get_mut(&server).expect("a listed server");
        at.busy += 1;
        let hit = at.held.get(&key).is_some();
        let mut slow = (f64::from(at.busy) / at.capacity).max(1.0) * at.pace;
        let mut ends = [Some(server.clone()), None];
        let mut wait = 0.002;
        if !hit && fill.source != server {
            let source = self.servers.get_mut(&fill.source).expect("a listed source");
            source.busy += 1;
            slow = slow.max(f64::from(source.busy) / source.capacity);
            wait += if source.held.put(key, ()).is_some() {
                0.010
            } else {
                0.080
            };
            ends[1] = Some(fill.source.clone());
            *self
                .seen
                .by_parent
                .entry(fill.source.to_string())
                .or_default() += 1;
            self.seen.fills += 1;
        }
        let keep = (fill.rank > 0).then_some(key);
        let life = self.nodes[number].life;
        let took = Duration::from_secs_f64(wait + work * slow);
        let mute =
            self.day.killed && (ms(5000)..ms(7000)).contains(&self.now) && server.ends_with("-1");
        // What a mute cache says reaches nobody: no life has this number.
        let life = if mute && server.starts_with("cache") {
            u32::MAX
        } else {
            life
        };
        self.later(
            took,
            Event::End {
                router: number,
                life,
                request: id,
                attempt,
                hit,
                ends,
                keep,
            },
        );
    }

    fn ended(
        &mut self,
        number: usize,
        id: &Id,
        attempt: usize,
        outcome: Outcome,
        remark: Remark,
        took: Duration,
    ) {
        let Some(taken) = self.nodes[number].taken.get_mut(id) else {
            return;
        };
        if outcome == Outcome::Served && std::mem::replace(&mut taken.open, false) {
            self.seen.in_time += usize::from(self.now <= taken.soft);
            self.seen.hits += usize::from(remark == Remark::Hit);
        }
        let over = !taken.open;
        let first_byte = Some(ms(10)).filter(|_| remark == Remark::Filled);
        let ended = Ended {
            outcome,
            remark,
            took,
            first_byte,
            over,
            load: Load::default(),
        };
        self.call(number, |router, now, orders| {
            router.result(now, id, attempt, &ended, orders)
        });
    }

    fn ask(&mut self, number: usize) {
        // Nine a second, whether or not the router lives: a dead one is nobody's gain.
        let wait = ms(self.chance.u64(0..222));
        self.later(wait, Event::Ask(number));
        if self.nodes[number].router.is_none() {
            return;
        }
        // Popularity falls with the place; a third of the objects is wanted at one zone only.
        let place = (300f64.powf(self.chance.f64()) - 1.0) as u64;
        let local = if place.is_multiple_of(3) {
            1 + number as u64 / ROUTERS_HERE as u64
        } else {
            0
        };
        let hot = self.day.hot && self.chance.u64(0..7) == 0;
        let (place, local) = if hot { (1 << 20, 0) } else { (place, local) };
        let part = if hot {
            self.now.as_millis() as u64 / 250
        } else {
            self.chance.u64(0..PARTS)
        };
        let n = self.seen.asked;
        self.seen.asked += 1;
        let id: Id = format!("a{n}").as_str().into();
        let object: Id = format!("o{place}-{local}").as_str().into();
        let kb = 400.0 + ((place * 7919) % 17) as f64 * 120.0;
        let key = place << 40 | local << 16 | part;
        let left = ms(3000);
        let arrival = Arrival {
            id: id.clone(),
            object,
            part,
            kb,
            left,
            ..Arrival::default()
        };
        let soft = self.now + ms(500) + Duration::from_secs_f64(2.0 * kb / 5000.0);
        let taken = Taken {
            arrival: arrival.clone(),
            key,
            soft,
            open: true,
            attempts: Vec::new(),
        };
        let life = self.nodes[number].life;
        self.nodes[number].taken.insert(id.clone(), taken);
        self.later(left, Event::Due(number, life, id));
        self.call(number, |router, now, orders| {
            router.request(now, arrival, orders)
        });
    }

    fn tick(&mut self, number: usize) {
        let mut said = Said::default();
        let node = &mut self.nodes[number];
        let (Some(router), Some(talk)) = (&mut node.router, &mut node.talk) else {
            return;
        };
        talk.tick(self.now, &mut said, router);
        let wait = talk.next().saturating_sub(self.now);
        self.later(wait, Event::Tick(number));
        for (to, mut bytes) in said.0 {
            let others: Vec<usize> = match to {
                To::All => (0..ROUTERS).filter(|other| *other != number).collect(),
                To::One(other) => vec![other as usize],
            };
            for other in others {
                self.seen.bytes += bytes.len();
                if self.chance.f64() < self.day.lost {
                    continue;
                }
                let mut wait = ms(self.chance.u64(1..20));
                if self.day.spoilt && self.chance.u64(0..4) == 0 {
                    wait += ms(self.chance.u64(0..1000));
                }
                if self.day.spoilt && self.chance.u64(0..10) == 0 {
                    let place = self.chance.usize(0..bytes.len());
                    bytes[place] ^= 1 << self.chance.u64(0..8);
                    let cut = self.chance.usize(0..=bytes.len());
                    self.later(wait, Event::Datagram(other, 7777, bytes[..cut].to_vec()));
                }
                self.later(wait, Event::Datagram(other, number as u64, bytes.clone()));
            }
        }
    }

    fn kill(&mut self) {
        for number in 0..ROUTERS {
            if number % 10 < 7 {
                let node = &mut self.nodes[number];
                (node.router, node.talk, node.life) = (None, None, node.life + 1);
                node.taken.clear();
            }
        }
    }

    pub fn play(day: Day) -> Seen {
        let mut world = World::new(day);
        while let Some(Reverse((at, n))) = world.events.pop() {
            world.now = at;
            let event = world.what.remove(&n).expect("an event for each place");
            let ending = at > END;
            match event {
                Event::Ask(number) if !ending => world.ask(number),
                Event::Tick(number) if !ending => world.tick(number),
                Event::Ask(_) | Event::Tick(_) => {}
                Event::Wake(number, life, mark) => {
                    if world.nodes[number].life == life {
                        world.call(number, |router, now, orders| router.wake(now, mark, orders));
                    }
                }
                Event::End {
                    router,
                    life,
                    request,
                    attempt,
                    hit,
                    ends,
                    keep,
                } => {
                    for end in ends.iter().flatten() {
                        world.servers.get_mut(end).expect("listed").busy -= 1;
                    }
                    if let (Some(key), Some(cache)) = (keep, &ends[0]) {
                        world
                            .servers
                            .get_mut(cache)
                            .expect("listed")
                            .held
                            .put(key, ());
                    }
                    let node = &mut world.nodes[router];
                    let out = node
                        .taken
                        .get_mut(&request)
                        .and_then(|taken| taken.attempts.get_mut(attempt));
                    if node.life == life
                        && let Some(sent) = out.and_then(Option::take)
                    {
                        let remark = if hit { Remark::Hit } else { Remark::Filled };
                        world.ended(
                            router,
                            &request,
                            attempt,
                            Outcome::Served,
                            remark,
                            at - sent,
                        );
                    }
                }
                Event::Due(number, life, id) => {
                    // Rule 1: whoever lived until now has answered.
                    if world.nodes[number].life == life {
                        let taken = world.nodes[number].taken.remove(&id).expect("taken");
                        assert!(
                            !taken.open,
                            "{id} got no answer in its time (seed {})",
                            day.seed
                        );
                    }
                }
                Event::Datagram(number, from, bytes) => {
                    let node = &mut world.nodes[number];
                    if let (Some(talk), Some(router)) = (&mut node.talk, &mut node.router) {
                        talk.heard(world.now, from, &bytes, router);
                    }
                }
                Event::Kill => world.kill(),
                Event::Revive => {
                    let dead: Vec<usize> = (0..ROUTERS)
                        .filter(|n| world.nodes[*n].router.is_none())
                        .collect();
                    dead.into_iter().for_each(|number| world.begin(number));
                }
            }
        }
        let talks = world.nodes.iter().filter_map(|node| node.talk.as_ref());
        world.seen.strangers = talks.map(|talk| talk.dropped().strangers).sum();
        world.seen
    }
}
