//! A seeded world around one router: servers that answer, fail or keep silent, clients that come
//! and leave, lists, purges and gossip. All that the router does goes, line by line, into one hash.

use chalkhall::control::{Router, part_key};
use chalkhall::interface::*;
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;
use std::time::Duration;
use xxhash_rust::xxh3::Xxh3;

pub const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// What differs between the deployments that are played.
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
    /// Servers restart cold, and join, while requests come.
    pub cold_starts: bool,
    /// Every so many milliseconds a request, in the mean.
    pub request_every_ms: u64,
    /// Of a hundred attempts so many end in trouble.
    pub trouble: u64,
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
            trouble: 8,
        }
    }
}

const ZONES: usize = 2;
const PARTS_KNOWN: u64 = 400;
/// How long a day takes, and when it begins.
const DAY: Duration = ms(40_000);
const BEGIN: Duration = ms(100_000);

/// Records what the router does, and what is to happen because of it.
struct Recorder {
    hash: Xxh3,
    lines: usize,
    counts: BTreeMap<&'static str, usize>,
    now: Duration,
    wakes: BTreeMap<(Duration, u64), ()>,
    attempts: Vec<(Id, Id, Duration)>,
    cancels: Vec<(Id, usize)>,
    ended: Vec<Id>,
    watched: usize,
    asked: HashMap<Id, (Id, u64)>,
    local: HashMap<(Id, u64), Held>,
}

impl Recorder {
    fn new() -> Recorder {
        Recorder {
            hash: Xxh3::new(),
            lines: 0,
            counts: BTreeMap::new(),
            now: Duration::ZERO,
            wakes: BTreeMap::new(),
            attempts: Vec::new(),
            cancels: Vec::new(),
            ended: Vec::new(),
            watched: 0,
            asked: HashMap::new(),
            local: HashMap::new(),
        }
    }

    fn note(&mut self, kind: &'static str, line: std::fmt::Arguments) {
        let mut text = String::new();
        writeln!(text, "{} {kind} {line}", self.now.as_micros()).expect("a string takes all");
        if std::env::var_os("ORACLE_LINES").is_some() {
            print!("{text}");
        }
        self.hash.update(text.as_bytes());
        self.lines += 1;
        *self.counts.entry(kind).or_default() += 1;
    }
}

impl Outlet for Recorder {
    fn attempt(&mut self, request: &Id, server: &Id, limit: Duration, fill: &Fill) {
        self.note(
            "attempt",
            format_args!("{request} {server} {} {fill:?}", limit.as_micros()),
        );
        self.attempts.push((request.clone(), server.clone(), limit));
    }
    fn reject(&mut self, request: &Id, advice: Option<Duration>) {
        self.note("reject", format_args!("{request} {advice:?}"));
        self.ended.push(request.clone());
    }
    fn fail(&mut self, request: &Id) {
        self.note("fail", format_args!("{request}"));
        self.ended.push(request.clone());
    }
    fn cancel(&mut self, request: &Id, attempt: usize) {
        self.note("cancel", format_args!("{request} {attempt}"));
        self.cancels.push((request.clone(), attempt));
    }
    fn wake_at(&mut self, at: Duration, mark: u64) {
        self.note("wake", format_args!("{} {mark}", at.as_micros()));
        self.wakes.insert((at, mark), ());
    }
    fn watch_list(&mut self) {
        self.note("watch", format_args!(""));
        self.watched += 1;
    }
    fn held(&mut self, request: &Id) -> Option<Held> {
        self.local.get(self.asked.get(request)?).cloned()
    }
    fn found(&mut self, part: u32, cache: &Id) {
        self.note("found", format_args!("{part} {cache}"));
    }
    fn keep(&mut self, request: &Id, rank: u8) {
        self.note("keep", format_args!("{request} {rank}"));
        let Some(asked) = self.asked.get(request).cloned() else {
            return;
        };
        let place = if rank > 1 { "m1" } else { "m2" };
        let held = Held {
            place: place.into(),
            made: self.now,
            same: rank == 3,
        };
        self.local.insert(asked, held);
    }
}

/// An attempt that is out: when it ends, if it does by itself, and how.
struct InFlight {
    request: Id,
    attempt: usize,
    ends_at: Duration,
    ended: Ended,
}

/// The hash of all that the router did in one day, how many actions there were, and of each kind.
pub struct Trace {
    pub hash: u64,
    pub lines: usize,
    pub counts: BTreeMap<&'static str, usize>,
    /// How often each outcome was given.
    pub outcomes: BTreeMap<String, usize>,
}

struct World {
    setup: Setup,
    chance: fastrand::Rng,
    router: Router,
    recorder: Recorder,
    members: Vec<Member>,
    /// Attempts made of each request, and those still out.
    made: HashMap<Id, usize>,
    in_flight: Vec<InFlight>,
    live: Vec<Id>,
    next: u64,
    outcomes: BTreeMap<String, usize>,
}

fn class(effect: Effect, group: Group, fresh: Option<u64>, cacheable: bool) -> Class {
    Class {
        effect,
        group,
        window: ms(2000),
        soft_deadline: ms(500),
        soft_stretch: 2.0,
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
            stale_for: ms(20_000),
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
    let cold = ColdStart {
        from: 0.25,
        warm_within: ms(10_000),
        multiple: 2.0,
        span: ms(1000),
    };
    Deployment {
        number: 3,
        seed: setup.seed,
        routers: setup.routers,
        zone: 1,
        routers_at: vec![setup.routers / 2, setup.routers.div_ceil(2)],
        classes: classes(),
        tick: ms(2),
        client_kb_per_s: 1000.0,
        max_attempts: 5,
        may_cancel: setup.may_cancel,
        longest_advice: Some(ms(1000)),
        cold_cache: cold,
        cold_parent: ColdStart { from: 0.1, ..cold },
        drain_grace: ms(250),
        purge_grace: ms(500),
        purge_done: ms(6000),
        pass_through: setup.pass_through,
        joins: setup.joins,
        list_on_request: setup.list_on_request,
        ..Deployment::default()
    }
}

fn members(setup: &Setup, chance: &mut fastrand::Rng) -> Vec<Member> {
    let mut members = Vec::new();
    for zone in 0..ZONES {
        for n in 0..setup.caches_per_zone {
            let cells = (0..setup.cells).filter(|_| chance.u8(..) < 128).collect();
            members.push(Member {
                server: format!("cache-{zone}-{n}").into(),
                zone,
                cohort: n as u64 % 3,
                capacity: 2.0 + chance.f64() * 30.0,
                cells,
                ..Member::default()
            });
        }
    }
    for n in 0..setup.parents {
        let capacity = 20.0 + chance.f64() * 80.0;
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
                tier: Tier::Own,
                capacity,
                ..Member::default()
            });
        }
    }
    members
}

impl World {
    fn new(setup: &Setup) -> World {
        let mut chance = fastrand::Rng::with_seed(setup.seed ^ 0x0a11);
        let mut recorder = Recorder::new();
        recorder.now = BEGIN;
        let router = Router::start(BEGIN, &deployment(setup), &mut recorder);
        let members = members(setup, &mut chance);
        World {
            setup: setup.clone(),
            chance,
            router,
            recorder,
            members,
            made: HashMap::new(),
            in_flight: Vec::new(),
            live: Vec::new(),
            next: 0,
            outcomes: BTreeMap::new(),
        }
    }

    fn one_in(&mut self, of: u64) -> bool {
        self.chance.u64(..of) == 0
    }

    /// Between events: attempts made become answers to come, cancelled ones come back soon.
    fn settle(&mut self) {
        for (request, server, limit) in std::mem::take(&mut self.recorder.attempts) {
            let made = self.made.entry(request.clone()).or_default();
            let attempt = *made;
            *made += 1;
            let (took, ended) = self.answer(&server, limit);
            let ends_at = self.recorder.now + took;
            self.in_flight.push(InFlight {
                request,
                attempt,
                ends_at,
                ended,
            });
        }
        let back_at = self.recorder.now + ms(5);
        for (request, attempt) in std::mem::take(&mut self.recorder.cancels) {
            let same = |out: &&mut InFlight| out.request == request && out.attempt == attempt;
            if let Some(out) = self.in_flight.iter_mut().find(same)
                && out.ends_at > back_at
            {
                out.ends_at = back_at;
                out.ended.outcome = Outcome::Cancelled;
                out.ended.remark = Remark::None;
                out.ended.over = false;
            }
        }
        let ended = std::mem::take(&mut self.recorder.ended);
        self.live.retain(|id| !ended.contains(id));
    }

    /// How an attempt ends, and after what time.
    fn answer(&mut self, server: &str, limit: Duration) -> (Duration, Ended) {
        use Outcome::*;
        // Some servers are broken for a while: outliers to be found.
        let spell = self.recorder.now.as_secs() / 7;
        let number = server.bytes().map(u64::from).sum::<u64>() + 31 * server.len() as u64;
        let broken = (number + spell).is_multiple_of(11);
        let in_trouble = self.chance.u64(..100) < if broken { 85 } else { self.setup.trouble };
        let (outcome, remark) = if in_trouble {
            let sources = [
                Remark::SourceRefused,
                Remark::SourceUnreached,
                Remark::SourceLacks,
                Remark::NoFillPlace,
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
            let outcome = outcomes[self.chance.usize(..outcomes.len())];
            let tells = matches!(outcome, Error | Full);
            let remark = sources[self.chance.usize(..sources.len())];
            (outcome, if tells { remark } else { Remark::None })
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
            (Served, remarks[self.chance.usize(..remarks.len())])
        };
        let slow = self.one_in(12);
        let took = match outcome {
            TimedOut => limit,
            _ if slow => ms(400 + self.chance.u64(..2500)).min(limit),
            _ => ms(2 + self.chance.u64(..120)).min(limit),
        };
        let first_byte = self.chance.bool().then(|| took.mul_f64(self.chance.f64()));
        let over = outcome == Served;
        *self
            .outcomes
            .entry(format!("{outcome:?} {remark:?}"))
            .or_default() += 1;
        (
            took,
            Ended {
                outcome,
                remark,
                took,
                first_byte,
                over,
                load: Load::default(),
            },
        )
    }

    /// Time passes: what was asked to wake does, answers come, in the order of their times.
    fn pass(&mut self, until: Duration) {
        loop {
            self.settle();
            let wake = self
                .recorder
                .wakes
                .first_key_value()
                .map(|((at, mark), ())| (*at, *mark));
            let answers = self.in_flight.iter().enumerate();
            let answer = answers.map(|(n, out)| (out.ends_at, n)).min();
            let answer_first = match (wake, answer) {
                (Some((wakes, _)), Some((answers, _))) => answers < wakes,
                (None, Some(_)) => true,
                _ => false,
            };
            if answer_first {
                let Some((at, n)) = answer.filter(|(at, _)| *at <= until) else {
                    break;
                };
                let out = self.in_flight.remove(n);
                self.recorder.now = self.recorder.now.max(at);
                if out.ended.over {
                    self.live.retain(|id| *id != out.request);
                }
                let now = self.recorder.now;
                self.router.result(
                    now,
                    &out.request,
                    out.attempt,
                    &out.ended,
                    &mut self.recorder,
                );
            } else {
                let Some((at, mark)) = wake.filter(|(at, _)| *at <= until) else {
                    break;
                };
                self.recorder.wakes.pop_first();
                self.recorder.now = self.recorder.now.max(at);
                let now = self.recorder.now;
                self.router.wake(now, mark, &mut self.recorder);
            }
        }
        self.recorder.now = until;
    }

    fn part(&mut self) -> (Id, u64, u64) {
        // A few parts are wanted often, most once or twice.
        let most = if self.chance.bool() { 30 } else { PARTS_KNOWN };
        let object = self.chance.u64(..most);
        (
            format!("object-{object}").into(),
            self.chance.u64(..2),
            object % 7,
        )
    }

    fn request(&mut self) {
        let id: Id = format!("r{}", self.next).into();
        self.next += 1;
        let (object, part, group) = self.part();
        let arrival = Arrival {
            id: id.clone(),
            class: self.chance.usize(..classes().len()),
            customer: 0,
            object: object.clone(),
            part,
            group,
            kb: 1.0 + self.chance.f64().powi(4) * 900.0,
            cell: (self.setup.cells > 0 && !self.one_in(5))
                .then(|| self.chance.u32(..self.setup.cells)),
            at: self.one_in(10).then_some(0),
            left: ms(if self.one_in(20) {
                30
            } else {
                1500 + self.chance.u64(..3000)
            }),
            repeated: self.one_in(15),
        };
        self.recorder.asked.insert(id.clone(), (object, part));
        self.live.push(id);
        self.router
            .request(self.recorder.now, arrival, &mut self.recorder);
    }

    /// Something other than a request happens.
    fn disturb(&mut self) {
        let now = self.recorder.now;
        match self.chance.u8(..9) {
            0 | 1 => self.change_list(),
            2 => {
                let (object, _, group) = self.part();
                let object = self.chance.bool().then_some(object);
                let ago = ms(self.chance.u64(..800));
                self.router.purged(now, object, group, ago);
            }
            3 | 4 => {
                let (object, part, _) = self.part();
                let part = part_key(&Arrival {
                    object,
                    part,
                    ..Arrival::default()
                });
                let cache = self.any_cache();
                self.router.told(now, part, cache);
            }
            5 => {
                let (cache, by) = (self.any_cache(), self.chance.f64() - 0.5);
                self.router.lean(&cache, by);
            }
            6 if !self.live.is_empty() => {
                let id = self.live.swap_remove(self.chance.usize(..self.live.len()));
                self.router.left(now, &id, &mut self.recorder);
            }
            7 if !self.live.is_empty() => {
                let id = self.live.swap_remove(self.chance.usize(..self.live.len()));
                self.router.begun(&id);
            }
            _ => {
                let (object, part, _) = self.part();
                self.recorder.local.remove(&(object, part));
            }
        }
    }

    fn any_cache(&mut self) -> Id {
        let caches = ZONES * self.setup.caches_per_zone;
        self.members[self.chance.usize(..caches)].server.clone()
    }

    fn change_list(&mut self) {
        let now = self.recorder.now;
        let listed = self.members.len() - if self.setup.local_copies { 3 } else { 1 };
        let changed = self.chance.usize(..listed);
        let kind = self.chance.u8(..12);
        let member = &mut self.members[changed];
        member.standing = match member.standing {
            Standing::Active => Standing::Draining,
            Standing::Draining => Standing::Gone,
            Standing::Gone => Standing::Active,
        };
        if member.standing == Standing::Active && self.setup.cold_starts {
            member.started = Some(now);
        }
        match kind {
            0 => {
                let there = self.members.iter().filter(|m| m.standing != Standing::Gone);
                let there: Vec<Member> = there.filter(|m| m.tier != Tier::Own).cloned().collect();
                self.router
                    .list(now, ListKind::Whole, &there, &mut self.recorder);
            }
            1 => self
                .router
                .list(now, ListKind::Failed, &[], &mut self.recorder),
            _ => {
                let changed = [self.members[changed].clone()];
                self.router
                    .list(now, ListKind::Changes, &changed, &mut self.recorder);
            }
        }
    }

    fn play(mut self) -> Trace {
        let (now, members) = (self.recorder.now, self.members.clone());
        self.router
            .list(now, ListKind::Changes, &members, &mut self.recorder);
        let end = BEGIN + DAY;
        while self.recorder.now < end {
            let gap = ms(self.chance.u64(..2 * self.setup.request_every_ms + 1));
            self.pass(self.recorder.now + gap);
            self.request();
            if self.one_in(5) {
                self.disturb();
            }
        }
        self.pass(end + ms(10_000));
        Trace {
            hash: self.recorder.hash.digest(),
            lines: self.recorder.lines,
            counts: self.recorder.counts,
            outcomes: self.outcomes,
        }
    }
}

/// Plays one day of a deployment.
pub fn play(setup: &Setup) -> Trace {
    World::new(setup).play()
}
