//! A fleet of 200 routers in simulated time: the real decisions and the real exchange of hints,
//! with simulated caches, parents and clients, from one seed. It asserts what each router
//! guarantees by itself and counts what all of them do together. Servers are models: a transfer
//! runs at a client's rate up to the server's capacity, above which all transfers share it.

use chalkhall::control::Router;
use chalkhall::interface::*;
use chalkhall_gossip::{DatagramSender, Destination, ExchangeConfig, PeerExchange};
use lru::LruCache;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::num::NonZeroUsize;
use std::time::Duration;

const ZONES: usize = 40;
const ROUTERS_PER_ZONE: usize = 5;
const CACHES_PER_ZONE: usize = 4;
pub const PARENTS: usize = 10;
const ROUTERS: usize = ZONES * ROUTERS_PER_ZONE;
const END: Duration = Duration::from_secs(16);
const PARTS: u64 = 16;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The faults of a scenario.
#[derive(Clone, Copy, Default)]
pub struct Scenario {
    pub seed: u64,
    pub exchange: bool,
    /// Fraction of datagrams lost.
    pub loss: f64,
    /// Datagrams are up to a second late, and there are forged ones among them.
    pub corrupts_datagrams: bool,
    /// Seven in ten routers are killed at 6 s and restarted at 8 s; from 5 to 7 s one cache in four
    /// accepts requests and never answers.
    pub kills_routers: bool,
    /// One request in seven is for the latest part of one object, of which four parts are published
    /// per second.
    pub popular_object: bool,
    /// The first cache of every zone takes four times as long, and does not report it.
    pub slow_cache: bool,
}

#[derive(Default, Debug)]
pub struct Counts {
    pub requests: usize,
    pub served_in_time: usize,
    pub rejected: usize,
    pub fills: usize,
    /// Requests served from a cache's content.
    pub hits: usize,
    pub by_parent: BTreeMap<String, usize>,
    pub attempts_at_first: usize,
    pub attempts: usize,
    pub bytes: usize,
    pub strangers: u64,
}

enum Event {
    Request(usize),
    Timer(usize, u32, u64),
    AttemptEnd {
        router: usize,
        incarnation: u32,
        request: Id,
        attempt: usize,
        hit: bool,
        endpoints: [Option<Id>; 2],
        stored_key: Option<u64>,
    },
    Deadline(usize, u32, Id),
    Datagram(usize, u64, Vec<u8>),
    Tick(usize),
    Kill,
    Restart,
}

struct ServerModel {
    capacity: f64,
    slowdown: f64,
    in_flight: u32,
    cached: LruCache<u64, ()>,
}

/// The actions that a router requests in one call.
#[derive(Default)]
struct Commands {
    attempts: Vec<(Id, Id, Fill)>,
    answers: Vec<(Id, bool)>,
    cancels: Vec<(Id, usize)>,
    timers: Vec<(Duration, u64)>,
    found: Vec<(u32, Id)>,
}

impl ActionSink for Commands {
    fn attempt(&mut self, request: &Id, server: &Id, _limits: AttemptLimits, fill: &Fill) {
        self.attempts
            .push((request.clone(), server.clone(), fill.clone()));
    }
    fn reject(&mut self, request: &Id, _retry_after: Option<Duration>) {
        self.answers.push((request.clone(), true));
    }
    fn fail(&mut self, request: &Id) {
        self.answers.push((request.clone(), false));
    }
    fn cancel(&mut self, request: &Id, attempt: usize) {
        self.cancels.push((request.clone(), attempt));
    }
    fn set_timer(&mut self, at: Duration, timer_id: u64) {
        self.timers.push((at, timer_id));
    }
    fn subscribe_list(&mut self) {}
    fn holder_found(&mut self, part: u32, cache: &Id) {
        self.found.push((part, cache.clone()));
    }
}

#[derive(Default)]
struct SentDatagrams(Vec<(Destination, Vec<u8>)>);

impl DatagramSender for SentDatagrams {
    fn send(&mut self, to: Destination, bytes: &[u8]) {
        self.0.push((to, bytes.to_vec()));
    }
}

/// A request that a running router has accepted: its arrival, its soft deadline and its attempts.
struct OpenRequest {
    arrival: IncomingRequest,
    key: u64,
    soft_deadline: Duration,
    open: bool,
    /// When each attempt was sent; `None` once it has ended.
    attempts: Vec<Option<Duration>>,
}

struct Node {
    incarnation: u32,
    router: Option<Router>,
    exchange: Option<PeerExchange>,
    open_requests: HashMap<Id, OpenRequest>,
}

pub struct Simulation {
    scenario: Scenario,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64)>>,
    pending_events: HashMap<u64, Event>,
    last_event_id: u64,
    nodes: Vec<Node>,
    servers: BTreeMap<Id, ServerModel>,
    list: Vec<Member>,
    rng: fastrand::Rng,
    counts: Counts,
}

fn deployment(number: usize, seed: u64) -> Deployment {
    let cold = SlowStartSettings {
        initial_capacity: 0.3,
        warm_up_time: ms(10_000),
        overload_multiple: 2.0,
        window: ms(1000),
    };
    let page = Class {
        dedup_window: ms(2000),
        soft_deadline: ms(500),
        soft_deadline_multiple: 2.0,
        deadline: ms(3000),
        value: 1.0,
        late_value: 0.2,
        cacheable: true,
        in_parts: true,
        ..Class::default()
    };
    Deployment {
        router_index: number as u64,
        seed,
        routers: ROUTERS,
        zone: number / ROUTERS_PER_ZONE,
        routers_per_zone: vec![ROUTERS_PER_ZONE; ZONES],
        classes: vec![page],
        min_call_interval: ms(1),
        client_kb_per_s: 5000.0,
        max_attempts: 6,
        may_cancel: true,
        max_retry_after: Some(ms(500)),
        cold_cache: cold,
        cold_parent: cold,
        drain_grace: ms(500),
        purge_grace: ms(500),
        purge_done: ms(6000),
        pass_through: true,
        ..Deployment::default()
    }
}

impl Simulation {
    fn new(scenario: Scenario) -> Simulation {
        let mut list = Vec::new();
        let mut servers = BTreeMap::new();
        let mut add = |name: String,
                       tier: Tier,
                       zone: usize,
                       capacity: f64,
                       capacity_parts: usize,
                       slowdown: f64| {
            let server: Id = name.as_str().into();
            let member = Member {
                server: server.clone(),
                tier,
                zone,
                capacity,
                ..Member::default()
            };
            list.push(member);
            let cached =
                LruCache::new(NonZeroUsize::new(capacity_parts).expect("a positive capacity"));
            servers.insert(
                server,
                ServerModel {
                    capacity,
                    slowdown,
                    in_flight: 0,
                    cached,
                },
            );
        };
        for zone in 0..ZONES {
            for n in 0..CACHES_PER_ZONE {
                let slowdown = if scenario.slow_cache && n == 0 {
                    4.0
                } else {
                    1.0
                };
                add(
                    format!("cache-{zone}-{n}"),
                    Tier::Cache,
                    zone,
                    4.0,
                    80,
                    slowdown,
                );
            }
        }
        (0..PARENTS).for_each(|n| add(format!("parent-{n}"), Tier::Parent, 999, 34.0, 20_000, 1.0));
        add("origin".into(), Tier::Origin, 999, 60.0, 1, 1.0);
        let nodes = (0..ROUTERS).map(|_| Node {
            incarnation: 0,
            router: None,
            exchange: None,
            open_requests: HashMap::new(),
        });
        let mut simulation = Simulation {
            scenario,
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            pending_events: HashMap::new(),
            last_event_id: 0,
            nodes: nodes.collect(),
            servers,
            list,
            rng: fastrand::Rng::with_seed(scenario.seed),
            counts: Counts::default(),
        };
        for number in 0..ROUTERS {
            simulation.start_router(number);
            let first = ms(simulation.rng.u64(0..150));
            simulation.schedule(first, Event::Request(number));
        }
        if scenario.kills_routers {
            simulation.schedule(ms(6000), Event::Kill);
            simulation.schedule(ms(8000), Event::Restart);
        }
        simulation
    }

    fn schedule(&mut self, wait: Duration, event: Event) {
        self.last_event_id += 1;
        self.events
            .push(Reverse((self.now + wait, self.last_event_id)));
        self.pending_events.insert(self.last_event_id, event);
    }

    fn start_router(&mut self, number: usize) {
        let seed = self.scenario.seed << 20
            | (number as u64) << 4
            | u64::from(self.nodes[number].incarnation);
        let deployment = deployment(number, seed);
        let mut commands = Commands::default();
        let mut router = Router::start(self.now, &deployment, &mut commands);
        router.update_list(self.now, ListKind::Snapshot, &self.list, &mut commands);
        let (routers, zone, own_number) = (ROUTERS, deployment.zone, number as u64);
        let config = ExchangeConfig {
            number: own_number,
            routers,
            zone,
            routers_in_zone: ROUTERS_PER_ZONE,
            seed,
        };
        let mut exchange = self
            .scenario
            .exchange
            .then(|| PeerExchange::start(self.now, config))
            .flatten();
        exchange
            .iter_mut()
            .for_each(|exchange| exchange.set_caches(router.caches().map(|m| &m.server)));
        let wait = exchange.as_ref().map_or(END, |exchange| {
            exchange.next_tick().saturating_sub(self.now)
        });
        let node = &mut self.nodes[number];
        (node.router, node.exchange) = (Some(router), exchange);
        self.schedule(wait, Event::Tick(number));
    }

    /// Calls a running router, and executes its commands.
    fn call(&mut self, number: usize, call: impl FnOnce(&mut Router, Duration, &mut Commands)) {
        let mut commands = Commands::default();
        let Some(router) = &mut self.nodes[number].router else {
            return;
        };
        call(router, self.now, &mut commands);
        let incarnation = self.nodes[number].incarnation;
        for (at, timer) in std::mem::take(&mut commands.timers) {
            self.schedule(
                at.saturating_sub(self.now),
                Event::Timer(number, incarnation, timer),
            );
        }
        for (part, cache) in std::mem::take(&mut commands.found) {
            self.nodes[number]
                .exchange
                .iter_mut()
                .for_each(|exchange| exchange.record_finding(part, &cache));
        }
        for (id, rejected) in commands.answers {
            let request = self.nodes[number]
                .open_requests
                .get_mut(&id)
                .expect("an open request");
            assert!(
                std::mem::replace(&mut request.open, false),
                "a second answer for {id}"
            );
            self.counts.rejected += usize::from(rejected);
        }
        for (id, server, fill) in commands.attempts {
            self.attempt(number, id, server, fill);
        }
        for (id, attempt) in commands.cancels {
            let open_attempt = self.nodes[number]
                .open_requests
                .get_mut(&id)
                .and_then(|request| request.attempts.get_mut(attempt));
            if let Some(sent) = open_attempt.and_then(Option::take) {
                let duration = self.now - sent;
                self.end_attempt(
                    number,
                    &id,
                    attempt,
                    Outcome::Cancelled,
                    Remark::None,
                    duration,
                );
            }
        }
    }

    fn attempt(&mut self, number: usize, id: Id, server: Id, fill: Fill) {
        let request = self.nodes[number]
            .open_requests
            .get_mut(&id)
            .expect("an open request");
        assert!(
            request.attempts.iter().all(Option::is_none),
            "two attempts of {id} at once"
        );
        request.attempts.push(Some(self.now));
        let (attempt, key) = (request.attempts.len() - 1, request.key);
        let work = request.arrival.kb / 5000.0;
        self.counts.attempts += 1;
        self.counts.attempts_at_first +=
            usize::from(server.ends_with("-0") && server.starts_with("cache"));
        let model = self.servers.get_mut(&server).expect("a listed server");
        model.in_flight += 1;
        let hit = model.cached.get(&key).is_some();
        let mut slowdown = (f64::from(model.in_flight) / model.capacity).max(1.0) * model.slowdown;
        let mut endpoints = [Some(server.clone()), None];
        let mut wait = 0.002;
        if !hit && fill.source != server {
            let source = self.servers.get_mut(&fill.source).expect("a listed source");
            source.in_flight += 1;
            slowdown = slowdown.max(f64::from(source.in_flight) / source.capacity);
            wait += if source.cached.put(key, ()).is_some() {
                0.010
            } else {
                0.080
            };
            endpoints[1] = Some(fill.source.clone());
            *self
                .counts
                .by_parent
                .entry(fill.source.to_string())
                .or_default() += 1;
            self.counts.fills += 1;
        }
        let stored_key = (fill.priority > 0).then_some(key);
        let incarnation = self.nodes[number].incarnation;
        let duration = Duration::from_secs_f64(wait + work * slowdown);
        let is_silent = self.scenario.kills_routers
            && (ms(5000)..ms(7000)).contains(&self.now)
            && server.ends_with("-1");
        // The answer of a silent cache is dropped: no incarnation has this number.
        let incarnation = if is_silent && server.starts_with("cache") {
            u32::MAX
        } else {
            incarnation
        };
        self.schedule(
            duration,
            Event::AttemptEnd {
                router: number,
                incarnation,
                request: id,
                attempt,
                hit,
                endpoints,
                stored_key,
            },
        );
    }

    fn end_attempt(
        &mut self,
        number: usize,
        id: &Id,
        attempt: usize,
        outcome: Outcome,
        remark: Remark,
        duration: Duration,
    ) {
        let Some(request) = self.nodes[number].open_requests.get_mut(id) else {
            return;
        };
        if outcome == Outcome::Served && std::mem::replace(&mut request.open, false) {
            self.counts.served_in_time += usize::from(self.now <= request.soft_deadline);
            self.counts.hits += usize::from(remark == Remark::Hit);
        }
        let is_complete = !request.open;
        let first_byte = Some(ms(10)).filter(|_| remark == Remark::Filled);
        let ended = AttemptResult {
            outcome,
            remark,
            duration,
            first_byte,
            is_complete,
            load: Load::default(),
        };
        self.call(number, |router, now, commands| {
            router.attempt_ended(now, id, attempt, &ended, commands)
        });
    }

    fn new_request(&mut self, number: usize) {
        // Nine requests per second, whether or not the router is running: those of a killed one are
        // not redistributed to others.
        let wait = ms(self.rng.u64(0..222));
        self.schedule(wait, Event::Request(number));
        if self.nodes[number].router.is_none() {
            return;
        }
        // Popularity falls with the rank; a third of the objects is requested in one zone only.
        let rank = (300f64.powf(self.rng.f64()) - 1.0) as u64;
        let local = if rank.is_multiple_of(3) {
            1 + number as u64 / ROUTERS_PER_ZONE as u64
        } else {
            0
        };
        let is_popular = self.scenario.popular_object && self.rng.u64(0..7) == 0;
        let (rank, local) = if is_popular {
            (1 << 20, 0)
        } else {
            (rank, local)
        };
        let part = if is_popular {
            self.now.as_millis() as u64 / 250
        } else {
            self.rng.u64(0..PARTS)
        };
        let n = self.counts.requests;
        self.counts.requests += 1;
        let id: Id = format!("a{n}").as_str().into();
        let object: Id = format!("o{rank}-{local}").as_str().into();
        let kb = 400.0 + ((rank * 7919) % 17) as f64 * 120.0;
        let key = rank << 40 | local << 16 | part;
        let time_left = ms(3000);
        let arrival = IncomingRequest {
            id: id.clone(),
            object,
            part,
            kb,
            time_left,
            ..IncomingRequest::default()
        };
        let soft_deadline = self.now + ms(500) + Duration::from_secs_f64(2.0 * kb / 5000.0);
        let request = OpenRequest {
            arrival: arrival.clone(),
            key,
            soft_deadline,
            open: true,
            attempts: Vec::new(),
        };
        let incarnation = self.nodes[number].incarnation;
        self.nodes[number].open_requests.insert(id.clone(), request);
        self.schedule(time_left, Event::Deadline(number, incarnation, id));
        self.call(number, |router, now, commands| {
            router.request(now, arrival, commands)
        });
    }

    fn tick(&mut self, number: usize) {
        let mut sent = SentDatagrams::default();
        let node = &mut self.nodes[number];
        let (Some(router), Some(exchange)) = (&mut node.router, &mut node.exchange) else {
            return;
        };
        exchange.tick(self.now, &mut sent, router);
        let wait = exchange.next_tick().saturating_sub(self.now);
        self.schedule(wait, Event::Tick(number));
        for (to, mut bytes) in sent.0 {
            let others: Vec<usize> = match to {
                Destination::All => (0..ROUTERS).filter(|other| *other != number).collect(),
                Destination::One(other) => vec![other as usize],
            };
            for other in others {
                self.counts.bytes += bytes.len();
                if self.rng.f64() < self.scenario.loss {
                    continue;
                }
                let mut wait = ms(self.rng.u64(1..20));
                if self.scenario.corrupts_datagrams && self.rng.u64(0..4) == 0 {
                    wait += ms(self.rng.u64(0..1000));
                }
                if self.scenario.corrupts_datagrams && self.rng.u64(0..10) == 0 {
                    let index = self.rng.usize(0..bytes.len());
                    bytes[index] ^= 1 << self.rng.u64(0..8);
                    let cut = self.rng.usize(0..=bytes.len());
                    self.schedule(wait, Event::Datagram(other, 7777, bytes[..cut].to_vec()));
                }
                self.schedule(wait, Event::Datagram(other, number as u64, bytes.clone()));
            }
        }
    }

    fn kill(&mut self) {
        for number in 0..ROUTERS {
            if number % 10 < 7 {
                let node = &mut self.nodes[number];
                (node.router, node.exchange, node.incarnation) = (None, None, node.incarnation + 1);
                node.open_requests.clear();
            }
        }
    }

    pub fn run(scenario: Scenario) -> Counts {
        let mut simulation = Simulation::new(scenario);
        while let Some(Reverse((at, n))) = simulation.events.pop() {
            simulation.now = at;
            let event = simulation
                .pending_events
                .remove(&n)
                .expect("an event for each queue entry");
            let is_past_end = at > END;
            match event {
                Event::Request(number) if !is_past_end => simulation.new_request(number),
                Event::Tick(number) if !is_past_end => simulation.tick(number),
                Event::Request(_) | Event::Tick(_) => {}
                Event::Timer(number, incarnation, timer) => {
                    if simulation.nodes[number].incarnation == incarnation {
                        simulation.call(number, |router, now, commands| {
                            router.wake(now, timer, commands)
                        });
                    }
                }
                Event::AttemptEnd {
                    router,
                    incarnation,
                    request,
                    attempt,
                    hit,
                    endpoints,
                    stored_key,
                } => {
                    for end in endpoints.iter().flatten() {
                        simulation
                            .servers
                            .get_mut(end)
                            .expect("a listed server")
                            .in_flight -= 1;
                    }
                    if let (Some(key), Some(cache)) = (stored_key, &endpoints[0]) {
                        simulation
                            .servers
                            .get_mut(cache)
                            .expect("a listed server")
                            .cached
                            .put(key, ());
                    }
                    let node = &mut simulation.nodes[router];
                    let open_attempt = node
                        .open_requests
                        .get_mut(&request)
                        .and_then(|request| request.attempts.get_mut(attempt));
                    if node.incarnation == incarnation
                        && let Some(sent) = open_attempt.and_then(Option::take)
                    {
                        let remark = if hit { Remark::Hit } else { Remark::Filled };
                        simulation.end_attempt(
                            router,
                            &request,
                            attempt,
                            Outcome::Served,
                            remark,
                            at - sent,
                        );
                    }
                }
                Event::Deadline(number, incarnation, id) => {
                    // Rule 1: a router that was running until now has answered.
                    if simulation.nodes[number].incarnation == incarnation {
                        let request = simulation.nodes[number]
                            .open_requests
                            .remove(&id)
                            .expect("an open request");
                        assert!(
                            !request.open,
                            "{id} was not answered by its deadline (seed {})",
                            scenario.seed
                        );
                    }
                }
                Event::Datagram(number, from, bytes) => {
                    let node = &mut simulation.nodes[number];
                    if let (Some(exchange), Some(router)) = (&mut node.exchange, &mut node.router) {
                        exchange.receive(simulation.now, from, &bytes, router);
                    }
                }
                Event::Kill => simulation.kill(),
                Event::Restart => {
                    let stopped: Vec<usize> = (0..ROUTERS)
                        .filter(|n| simulation.nodes[*n].router.is_none())
                        .collect();
                    stopped
                        .into_iter()
                        .for_each(|number| simulation.start_router(number));
                }
            }
        }
        let exchanges = simulation
            .nodes
            .iter()
            .filter_map(|node| node.exchange.as_ref());
        simulation.counts.strangers = exchanges
            .map(|exchange| exchange.dropped().unknown_senders)
            .sum();
        simulation.counts
    }
}
