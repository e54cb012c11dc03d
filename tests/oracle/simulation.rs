//! A seeded simulation around one router: servers that answer, fail or stay silent, clients that
//! arrive and leave, list updates, purges and gossip. Every action of the router goes, line by
//! line, into one hash.

use chalkhall::control::{Router, part_key};
use chalkhall::interface::*;
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

pub const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The parameters in which the simulated deployments differ.
#[derive(Clone)]
pub struct Setup {
    pub name: &'static str,
    pub seed: u64,
    pub caches_per_zone: usize,
    pub parents: usize,
    pub routers: usize,
    pub cells: u32,
    pub pass_through: bool,
    pub may_cancel: bool,
    pub joins: bool,
    pub list_on_request: bool,
    pub local_copies: bool,
    /// Servers restart cold, and join, during the simulation.
    pub cold_starts: bool,
    /// The mean interval between requests, in milliseconds.
    pub request_every_ms: u64,
    /// The percentage of attempts that fail.
    pub failures_percent: u64,
}

impl Default for Setup {
    fn default() -> Setup {
        Setup {
            name: "",
            seed: 1,
            caches_per_zone: 20,
            parents: 4,
            routers: 2,
            cells: 0,
            pass_through: true,
            may_cancel: true,
            joins: false,
            list_on_request: false,
            local_copies: false,
            cold_starts: false,
            request_every_ms: 8,
            failures_percent: 8,
        }
    }
}

const ZONES: usize = 2;
const OBJECTS: u64 = 400;
/// The duration of the simulation, and its start time.
const DURATION: Duration = ms(40_000);
const STARTED_AT: Duration = ms(100_000);

/// Records the router's actions, and the events that follow from them.
struct Recorder {
    hash: Xxh3,
    lines: usize,
    counts: BTreeMap<&'static str, usize>,
    now: Duration,
    timers: BTreeMap<(Duration, u64), ()>,
    attempts: Vec<(Id, Id, Duration)>,
    cancels: Vec<(Id, usize)>,
    ended: Vec<Id>,
    subscriptions: usize,
    requested: HashMap<Id, (Id, u64)>,
    local_copies: HashMap<(Id, u64), LocalCopy>,
}

impl Recorder {
    fn new() -> Recorder {
        Recorder {
            hash: Xxh3::new(),
            lines: 0,
            counts: BTreeMap::new(),
            now: Duration::ZERO,
            timers: BTreeMap::new(),
            attempts: Vec::new(),
            cancels: Vec::new(),
            ended: Vec::new(),
            subscriptions: 0,
            requested: HashMap::new(),
            local_copies: HashMap::new(),
        }
    }

    fn record(&mut self, kind: &'static str, line: std::fmt::Arguments) {
        let mut text = String::new();
        writeln!(text, "{} {kind} {line}", self.now.as_micros())
            .expect("writing to a string succeeds");
        if std::env::var_os("ORACLE_LINES").is_some() {
            print!("{text}");
        }
        self.hash.update(text.as_bytes());
        self.lines += 1;
        *self.counts.entry(kind).or_default() += 1;
    }
}

impl ActionSink for Recorder {
    fn attempt(&mut self, request: &Id, server: &Id, limits: AttemptLimits, fill: &Fill) {
        self.record(
            "attempt",
            format_args!(
                "{request} {server} {} {}",
                limits.duration.as_micros(),
                fill_text(fill)
            ),
        );
        self.attempts
            .push((request.clone(), server.clone(), limits.duration));
    }
    fn reject(&mut self, request: &Id, retry_after: Option<Duration>) {
        self.record("reject", format_args!("{request} {retry_after:?}"));
        self.ended.push(request.clone());
    }
    fn fail(&mut self, request: &Id) {
        self.record("fail", format_args!("{request}"));
        self.ended.push(request.clone());
    }
    fn cancel(&mut self, request: &Id, attempt: usize) {
        self.record("cancel", format_args!("{request} {attempt}"));
        self.cancels.push((request.clone(), attempt));
    }
    fn set_timer(&mut self, at: Duration, timer_id: u64) {
        self.record("wake", format_args!("{} {timer_id}", at.as_micros()));
        self.timers.insert((at, timer_id), ());
    }
    fn subscribe_list(&mut self) {
        self.record("watch", format_args!(""));
        self.subscriptions += 1;
    }
    fn local_copy(&mut self, request: &Id) -> Option<LocalCopy> {
        self.local_copies.get(self.requested.get(request)?).cloned()
    }
    fn holder_found(&mut self, part: u32, cache: &Id) {
        self.record("found", format_args!("{part} {cache}"));
    }
    fn keep_local_copy(&mut self, request: &Id, priority: u8) {
        self.record("keep", format_args!("{request} {priority}"));
        let Some(requested) = self.requested.get(request).cloned() else {
            return;
        };
        let cache = if priority > 1 { "m1" } else { "m2" };
        let local_copy = LocalCopy {
            cache: cache.into(),
            created_at: self.now,
            client_has_it: priority == 3,
        };
        self.local_copies.insert(requested, local_copy);
    }
}

/// The text of a fill. The recorded lines use these keys.
fn fill_text(fill: &Fill) -> String {
    format!(
        "Fill {{ source: {:?}, rank: {:?}, oldest: {:?}, join: {:?}, only_held: {:?}, \
         parent_keeps: {:?}, renew: {:?} }}",
        fill.source,
        fill.priority,
        fill.max_age,
        fill.may_join,
        fill.only_held,
        fill.parent_keeps,
        fill.revalidate
    )
}

/// An attempt in flight, with the time and the result of its end.
struct InFlight {
    request: Id,
    attempt: usize,
    ends_at: Duration,
    ended: AttemptResult,
}

/// The hash of all actions in a simulation, with the number of actions in total and of each kind.
pub struct Trace {
    pub hash: u64,
    pub lines: usize,
    pub counts: BTreeMap<&'static str, usize>,
    /// The number of times that each outcome occurred.
    pub outcomes: BTreeMap<String, usize>,
}

struct Simulation {
    setup: Setup,
    rng: fastrand::Rng,
    router: Router,
    recorder: Recorder,
    members: Vec<Member>,
    /// The number of attempts sent for each request.
    attempts_sent: HashMap<Id, usize>,
    in_flight: Vec<InFlight>,
    pending: Vec<Id>,
    next_id: u64,
    outcomes: BTreeMap<String, usize>,
}

fn class(effect: Effect, group: Group, fresh: Option<u64>, cacheable: bool) -> Class {
    Class {
        effect,
        group,
        dedup_window: ms(2000),
        soft_deadline: ms(500),
        soft_deadline_multiple: 2.0,
        deadline: ms(4000),
        value: 1.0,
        late_value: 0.2,
        fresh: fresh.map(ms),
        cacheable,
        ..Class::default()
    }
}

fn classes() -> Vec<Class> {
    use Effect::*;
    vec![
        class(Idempotent, Group::All, None, true),
        Class {
            max_staleness: ms(20_000),
            value: 3.0,
            ..class(Idempotent, Group::All, Some(3000), true)
        },
        class(NonIdempotent, Group::All, None, false),
        class(Deduplicated, Group::All, None, false),
        class(Deduplicated, Group::Zone, None, true),
        class(Deduplicated, Group::Cohort, None, false),
        Class {
            streamed: true,
            in_parts: true,
            ..class(Idempotent, Group::All, None, true)
        },
    ]
}

fn deployment(setup: &Setup) -> Deployment {
    let cold = SlowStartSettings {
        initial_capacity: 0.25,
        warm_up_time: ms(10_000),
        overload_multiple: 2.0,
        window: ms(1000),
    };
    Deployment {
        router_index: 3,
        seed: setup.seed,
        routers: setup.routers,
        zone: 1,
        routers_per_zone: vec![setup.routers / 2, setup.routers.div_ceil(2)],
        classes: classes(),
        min_call_interval: ms(2),
        client_kb_per_s: 1000.0,
        max_attempts: 5,
        may_cancel: setup.may_cancel,
        max_retry_after: Some(ms(1000)),
        cold_cache: cold,
        cold_parent: SlowStartSettings {
            initial_capacity: 0.1,
            ..cold
        },
        drain_grace: ms(250),
        purge_grace: ms(500),
        purge_done: ms(6000),
        pass_through: setup.pass_through,
        joins_fills: setup.joins,
        list_on_request: setup.list_on_request,
        ..Deployment::default()
    }
}

fn members(setup: &Setup, rng: &mut fastrand::Rng) -> Vec<Member> {
    let mut members = Vec::new();
    for zone in 0..ZONES {
        for n in 0..setup.caches_per_zone {
            let cells = (0..setup.cells).filter(|_| rng.u8(..) < 128).collect();
            members.push(Member {
                server: format!("cache-{zone}-{n}").into(),
                zone,
                cohort: n as u64 % 3,
                capacity: 2.0 + rng.f64() * 30.0,
                cells,
                ..Member::default()
            });
        }
    }
    for n in 0..setup.parents {
        let capacity = 20.0 + rng.f64() * 80.0;
        let server = format!("parent-{n}").into();
        members.push(Member {
            server,
            tier: Tier::Parent,
            capacity,
            ..Member::default()
        });
    }
    members.push(Member {
        server: "origin".into(),
        tier: Tier::Origin,
        capacity: 100.0,
        ..Member::default()
    });
    if setup.local_copies {
        for (server, capacity) in [("m1", 6.0), ("m2", 3.0)] {
            let server = server.into();
            members.push(Member {
                server,
                tier: Tier::Local,
                capacity,
                ..Member::default()
            });
        }
    }
    members
}

impl Simulation {
    fn new(setup: &Setup) -> Simulation {
        let mut rng = fastrand::Rng::with_seed(setup.seed ^ 0x0a11);
        let mut recorder = Recorder::new();
        recorder.now = STARTED_AT;
        let router = Router::start(STARTED_AT, &deployment(setup), &mut recorder);
        let members = members(setup, &mut rng);
        Simulation {
            setup: setup.clone(),
            rng,
            router,
            recorder,
            members,
            attempts_sent: HashMap::new(),
            in_flight: Vec::new(),
            pending: Vec::new(),
            next_id: 0,
            outcomes: BTreeMap::new(),
        }
    }

    fn one_in(&mut self, of: u64) -> bool {
        self.rng.u64(..of) == 0
    }

    /// Processes the actions recorded since the last event: schedules the results of attempts, and
    /// ends cancelled ones soon.
    fn process_actions(&mut self) {
        for (request, server, limit) in std::mem::take(&mut self.recorder.attempts) {
            let attempts_sent = self.attempts_sent.entry(request.clone()).or_default();
            let attempt = *attempts_sent;
            *attempts_sent += 1;
            let (took, ended) = self.answer(&server, limit);
            let ends_at = self.recorder.now + took;
            self.in_flight.push(InFlight {
                request,
                attempt,
                ends_at,
                ended,
            });
        }
        let cancelled_at = self.recorder.now + ms(5);
        for (request, attempt) in std::mem::take(&mut self.recorder.cancels) {
            let same = |entry: &&mut InFlight| entry.request == request && entry.attempt == attempt;
            if let Some(entry) = self.in_flight.iter_mut().find(same)
                && entry.ends_at > cancelled_at
            {
                entry.ends_at = cancelled_at;
                entry.ended.outcome = Outcome::Cancelled;
                entry.ended.remark = Remark::None;
                entry.ended.is_complete = false;
            }
        }
        let ended = std::mem::take(&mut self.recorder.ended);
        self.pending.retain(|id| !ended.contains(id));
    }

    /// Draws the duration and the result of an attempt.
    fn answer(&mut self, server: &str, limit: Duration) -> (Duration, AttemptResult) {
        use Outcome::*;
        // Some servers are faulty for a while, so that outlier detection takes effect.
        let period = self.recorder.now.as_secs() / 7;
        let number = server.bytes().map(u64::from).sum::<u64>() + 31 * server.len() as u64;
        let is_faulty = (number + period).is_multiple_of(11);
        let fails = self.rng.u64(..100)
            < if is_faulty {
                85
            } else {
                self.setup.failures_percent
            };
        let (outcome, remark) = if fails {
            let sources = [
                Remark::SourceRefused,
                Remark::SourceUnreached,
                Remark::SourceLacks,
                Remark::NoFillCapacity,
                Remark::OriginFailed,
                Remark::None,
                Remark::None,
            ];
            let outcomes = [
                Error,
                Full,
                TimedOut,
                Unreachable,
                Broken,
                NeverSent,
                Missing,
            ];
            let outcome = outcomes[self.rng.usize(..outcomes.len())];
            let has_remark = matches!(outcome, Error | Full);
            let remark = sources[self.rng.usize(..sources.len())];
            (outcome, if has_remark { remark } else { Remark::None })
        } else {
            let remarks = [
                Remark::Hit,
                Remark::Hit,
                Remark::Filled,
                Remark::Filled,
                Remark::FilledByOrigin,
                Remark::Joined,
                Remark::Stale,
                Remark::None,
            ];
            (Served, remarks[self.rng.usize(..remarks.len())])
        };
        let is_slow = self.one_in(12);
        let duration = match outcome {
            TimedOut => limit,
            _ if is_slow => ms(400 + self.rng.u64(..2500)).min(limit),
            _ => ms(2 + self.rng.u64(..120)).min(limit),
        };
        let first_byte = self.rng.bool().then(|| duration.mul_f64(self.rng.f64()));
        let is_complete = outcome == Served;
        *self
            .outcomes
            .entry(format!("{outcome:?} {remark:?}"))
            .or_default() += 1;
        (
            duration,
            AttemptResult {
                outcome,
                remark,
                duration,
                first_byte,
                is_complete,
                load: Load::default(),
            },
        )
    }

    /// Advances the time; timers fire and attempts end in chronological order.
    fn advance_to(&mut self, until: Duration) {
        loop {
            self.process_actions();
            let wake = self
                .recorder
                .timers
                .first_key_value()
                .map(|((at, timer_id), ())| (*at, *timer_id));
            let answers = self.in_flight.iter().enumerate();
            let answer = answers.map(|(n, entry)| (entry.ends_at, n)).min();
            let answer_first = match (wake, answer) {
                (Some((timer_at, _)), Some((answer_at, _))) => answer_at < timer_at,
                (None, Some(_)) => true,
                _ => false,
            };
            if answer_first {
                let Some((at, n)) = answer.filter(|(at, _)| *at <= until) else {
                    break;
                };
                let entry = self.in_flight.remove(n);
                self.set_now(self.recorder.now.max(at));
                if entry.ended.is_complete {
                    self.pending.retain(|id| *id != entry.request);
                }
                let now = self.recorder.now;
                self.router.attempt_ended(
                    now,
                    &entry.request,
                    entry.attempt,
                    &entry.ended,
                    &mut self.recorder,
                );
            } else {
                let Some((at, timer_id)) = wake.filter(|(at, _)| *at <= until) else {
                    break;
                };
                self.recorder.timers.pop_first();
                self.set_now(self.recorder.now.max(at));
                let now = self.recorder.now;
                self.router.wake(now, timer_id, &mut self.recorder);
            }
        }
        self.set_now(until);
    }

    /// Advances the time. Discovery is up throughout.
    fn set_now(&mut self, now: Duration) {
        self.recorder.now = now;
        self.router.confirm_discovery(now);
    }

    fn part(&mut self) -> (Id, u64, u64) {
        // A few parts are requested often, most of them once or twice.
        let objects = if self.rng.bool() { 30 } else { OBJECTS };
        let object = self.rng.u64(..objects);
        (
            format!("object-{object}").into(),
            self.rng.u64(..2),
            object % 7,
        )
    }

    fn request(&mut self) {
        let id: Id = format!("r{}", self.next_id).into();
        self.next_id += 1;
        let (object, part, group) = self.part();
        let arrival = IncomingRequest {
            id: id.clone(),
            class: self.rng.usize(..classes().len()),
            customer: 0,
            object: object.clone(),
            part,
            group,
            kb: 1.0 + self.rng.f64().powi(4) * 900.0,
            connection: 0,
            cell: (self.setup.cells > 0 && !self.one_in(5))
                .then(|| self.rng.u32(..self.setup.cells)),
            zone: self.one_in(10).then_some(0),
            time_left: ms(if self.one_in(20) {
                30
            } else {
                1500 + self.rng.u64(..3000)
            }),
            is_retry: self.one_in(15),
        };
        self.recorder.requested.insert(id.clone(), (object, part));
        self.pending.push(id);
        self.router
            .request(self.recorder.now, arrival, &mut self.recorder);
    }

    /// Simulates a random event other than a request.
    fn random_event(&mut self) {
        let now = self.recorder.now;
        match self.rng.u8(..9) {
            0 | 1 => self.change_list(),
            2 => {
                let (object, _, group) = self.part();
                let object = self.rng.bool().then_some(object);
                let ago = ms(self.rng.u64(..800));
                self.router.record_purge(now, object, group, ago);
            }
            3 | 4 => {
                let (object, part, _) = self.part();
                let part = part_key(&IncomingRequest {
                    object,
                    part,
                    ..IncomingRequest::default()
                });
                let cache = self.any_cache();
                self.router.record_peer_finding(now, part, cache);
            }
            5 => {
                let (cache, by) = (self.any_cache(), self.rng.f64() - 0.5);
                self.router.adjust_weight(&cache, by);
            }
            6 if !self.pending.is_empty() => {
                let id = self
                    .pending
                    .swap_remove(self.rng.usize(..self.pending.len()));
                self.router.client_left(now, &id, &mut self.recorder);
            }
            7 if !self.pending.is_empty() => {
                let id = self
                    .pending
                    .swap_remove(self.rng.usize(..self.pending.len()));
                self.router.answer_started(&id);
            }
            _ => {
                let (object, part, _) = self.part();
                self.recorder.local_copies.remove(&(object, part));
            }
        }
    }

    fn any_cache(&mut self) -> Id {
        let caches = ZONES * self.setup.caches_per_zone;
        self.members[self.rng.usize(..caches)].server.clone()
    }

    fn change_list(&mut self) {
        let now = self.recorder.now;
        let listed_count = self.members.len() - if self.setup.local_copies { 3 } else { 1 };
        let changed = self.rng.usize(..listed_count);
        let kind = self.rng.u8(..12);
        let member = &mut self.members[changed];
        member.state = match member.state {
            ServerState::Active => ServerState::Draining,
            ServerState::Draining => ServerState::Removed,
            ServerState::Removed => ServerState::Active,
        };
        if member.state == ServerState::Active && self.setup.cold_starts {
            member.started = Some(now);
        }
        match kind {
            0 => {
                let listed_members = self
                    .members
                    .iter()
                    .filter(|m| m.state != ServerState::Removed);
                let listed_members: Vec<Member> = listed_members
                    .filter(|m| m.tier != Tier::Local)
                    .cloned()
                    .collect();
                self.router.update_list(
                    now,
                    ListKind::Snapshot,
                    &listed_members,
                    &mut self.recorder,
                );
            }
            1 => self
                .router
                .update_list(now, ListKind::Failed, &[], &mut self.recorder),
            _ => {
                let changed = [self.members[changed].clone()];
                self.router
                    .update_list(now, ListKind::Changes, &changed, &mut self.recorder);
            }
        }
    }

    fn play(mut self) -> Trace {
        let (now, members) = (self.recorder.now, self.members.clone());
        self.router
            .update_list(now, ListKind::Changes, &members, &mut self.recorder);
        let end = STARTED_AT + DURATION;
        while self.recorder.now < end {
            let gap = ms(self.rng.u64(..2 * self.setup.request_every_ms + 1));
            self.advance_to(self.recorder.now + gap);
            self.request();
            if self.one_in(5) {
                self.random_event();
            }
        }
        self.advance_to(end + ms(10_000));
        Trace {
            hash: self.recorder.hash.digest(),
            lines: self.recorder.lines,
            counts: self.recorder.counts,
            outcomes: self.outcomes,
        }
    }
}

/// Simulates a deployment.
pub fn play(setup: &Setup) -> Trace {
    Simulation::new(setup).play()
}
