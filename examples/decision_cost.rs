//! Measures the cost of the decisions per request, by the number of caches: the time per request,
//! and its ratio to the time with the smallest number.
//!
//! Run `cargo run --release --example decision_cost`. With the name of a scene and a number of
//! caches as arguments, it runs only that scene, once.

use chalkhall::control::Router;
use chalkhall::interface::*;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const CACHES: [usize; 3] = [200, 800, 3200];
const REQUESTS: u64 = 2_000;
/// The number of client connections that send the requests.
const CONNECTIONS: u64 = 16;
const ROUNDS: usize = 5;
/// The mean number of requests per object.
const REPEATS: u64 = 2;

/// How all servers respond to attempts.
#[derive(Clone, Copy, PartialEq)]
enum Servers {
    AnswerFromCopies,
    Fill,
    Refuse,
    Fail,
}

#[derive(Clone, Copy)]
struct Scene {
    name: &'static str,
    servers: Servers,
    /// The percentage of caches that have just started.
    cold: usize,
    /// The percentage of caches that are draining.
    draining: usize,
    /// The percentage of caches that are ejected before the measurement.
    ejected: usize,
}

const SCENES: [Scene; 9] = [
    Scene::of("hits", Servers::AnswerFromCopies),
    Scene::of("fills", Servers::Fill),
    Scene::of("all refuse", Servers::Refuse),
    Scene::of("all fail", Servers::Fail),
    Scene {
        ejected: 50,
        ..Scene::of("half ejected", Servers::AnswerFromCopies)
    },
    Scene {
        ejected: 100,
        ..Scene::of("all ejected", Servers::AnswerFromCopies)
    },
    Scene {
        cold: 60,
        ..Scene::of("60 % cold", Servers::AnswerFromCopies)
    },
    Scene {
        cold: 100,
        ..Scene::of("all cold", Servers::AnswerFromCopies)
    },
    Scene {
        draining: 60,
        ..Scene::of("60 % draining", Servers::AnswerFromCopies)
    },
];

impl Scene {
    const fn of(name: &'static str, servers: Servers) -> Scene {
        Scene {
            name,
            servers,
            cold: 0,
            draining: 0,
            ejected: 0,
        }
    }
}

/// Records the attempts to be answered, and the timers.
#[derive(Default)]
struct RecordedActions {
    attempts: Vec<(Id, Id)>,
    timers: BTreeMap<(Duration, u64), ()>,
}

impl ActionSink for RecordedActions {
    fn attempt(&mut self, request: &Id, server: &Id, _limits: AttemptLimits, _fill: &Fill) {
        self.attempts.push((request.clone(), server.clone()));
    }
    fn reject(&mut self, _request: &Id, _retry_after: Option<Duration>) {}
    fn fail(&mut self, _request: &Id) {}
    fn cancel(&mut self, _request: &Id, _attempt: usize) {}
    fn set_timer(&mut self, at: Duration, timer_id: u64) {
        self.timers.insert((at, timer_id), ());
    }
    fn subscribe_list(&mut self) {}
}

fn deployment() -> Deployment {
    let cold = SlowStartSettings {
        initial_capacity: 0.25,
        warm_up_time: Duration::from_secs(100_000),
        overload_multiple: 2.0,
        window: Duration::from_secs(1),
    };
    Deployment {
        seed: 1,
        routers: 10,
        routers_per_zone: vec![10],
        classes: vec![Class {
            soft_deadline: Duration::from_millis(500),
            soft_deadline_multiple: 2.0,
            deadline: Duration::from_secs(4),
            value: 1.0,
            late_value: 0.2,
            cacheable: true,
            ..Class::default()
        }],
        min_call_interval: Duration::from_millis(2),
        client_kb_per_s: 1000.0,
        max_attempts: 4,
        may_cancel: true,
        cold_cache: cold,
        cold_parent: cold,
        purge_done: Duration::from_secs(6),
        pass_through: true,
        ..Deployment::default()
    }
}

fn members(caches: usize, scene: Scene, now: Duration) -> Vec<Member> {
    let cache = |n: usize| Member {
        server: format!("cache-{n:04}.zone-0").into(),
        capacity: 8.0,
        state: if n % 100 < scene.draining {
            ServerState::Draining
        } else {
            ServerState::Active
        },
        started: (n % 100 < scene.cold).then_some(now - Duration::from_secs(5)),
        ..Member::default()
    };
    let parent = |n: usize| Member {
        server: format!("parent-{n}").into(),
        tier: Tier::Parent,
        capacity: 400.0,
        ..Member::default()
    };
    let origin = Member {
        server: "origin".into(),
        tier: Tier::Origin,
        capacity: 400.0,
        ..Member::default()
    };
    (0..caches)
        .map(cache)
        .chain((0..8).map(parent))
        .chain([origin])
        .collect()
}

fn ended(servers: Servers) -> AttemptResult {
    let (outcome, remark) = match servers {
        Servers::AnswerFromCopies => (Outcome::Served, Remark::Hit),
        Servers::Fill => (Outcome::Served, Remark::Filled),
        Servers::Refuse => (Outcome::Full, Remark::None),
        Servers::Fail => (Outcome::Unreachable, Remark::None),
    };
    let (duration, is_complete) = (Duration::from_millis(5), outcome == Outcome::Served);
    AttemptResult {
        outcome,
        remark,
        duration,
        first_byte: Some(duration),
        is_complete,
        load: Load::default(),
    }
}

struct Benchmark {
    router: Router,
    recorded: RecordedActions,
    now: Duration,
    next: u64,
}

impl Benchmark {
    fn new(caches: usize, scene: Scene) -> Benchmark {
        let (mut recorded, now) = (RecordedActions::default(), Duration::from_secs(1000));
        let mut router = Router::start(Duration::from_secs(1), &deployment(), &mut recorded);
        router.update_list(
            now,
            ListKind::Snapshot,
            &members(caches, scene, now),
            &mut recorded,
        );
        let mut benchmark = Benchmark {
            router,
            recorded,
            now,
            next: 0,
        };
        benchmark.eject(caches * scene.ejected / 100, caches);
        benchmark
    }

    /// Sends requests that fail at the chosen caches until `ejected` of them have failed often
    /// enough.
    fn eject(&mut self, ejected: usize, caches: usize) {
        let name = |n: usize| -> Id { format!("cache-{n:04}.zone-0").into() };
        let failing: std::collections::BTreeSet<Id> = (0..ejected).map(name).collect();
        let mut failures: BTreeMap<Id, usize> = BTreeMap::new();
        let mut ejected_count = 0;
        for _ in 0..caches * 40 {
            if ejected_count == ejected {
                return;
            }
            // Requests come so fast that ejections, of at least a second, last throughout the
            // measurement.
            self.send_request(Duration::from_micros(20), &mut |server| {
                if !failing.contains(server) {
                    return ended(Servers::AnswerFromCopies);
                }
                let failed = failures.entry(server.clone()).or_default();
                *failed += 1;
                ejected_count += usize::from(*failed == 2);
                ended(Servers::Fail)
            });
        }
    }

    /// Sends one request and ends all its attempts.
    fn send_request(&mut self, gap: Duration, answer: &mut dyn FnMut(&Id) -> AttemptResult) {
        self.now += gap;
        while let Some((&(at, timer_id), ())) = self.recorded.timers.first_key_value()
            && at <= self.now
        {
            self.recorded.timers.pop_first();
            self.router.wake(at, timer_id, &mut self.recorded);
        }
        self.next += 1;
        let id: Id = format!("{}", self.next).into();
        let object = fastrand::Rng::with_seed(self.next).u64(..REQUESTS / REPEATS);
        let arrival = IncomingRequest {
            id,
            object: format!("object-{object}").into(),
            kb: 20.0,
            time_left: Duration::from_secs(4),
            connection: self.next % CONNECTIONS,
            ..IncomingRequest::default()
        };
        self.router.request(self.now, arrival, &mut self.recorded);
        let mut attempt = 0;
        while let Some((request, server)) = self.recorded.attempts.pop() {
            self.router.attempt_ended(
                self.now,
                &request,
                attempt,
                &answer(&server),
                &mut self.recorded,
            );
            attempt += 1;
        }
    }

    /// Returns microseconds per request.
    fn measure(&mut self, servers: Servers) -> f64 {
        let started_at = Instant::now();
        for _ in 0..REQUESTS {
            self.send_request(Duration::from_micros(100), &mut |_| ended(servers));
        }
        started_at.elapsed().as_secs_f64() * 1e6 / REQUESTS as f64
    }
}

/// Runs one scene once, for a tool that counts instructions.
fn play_once(scene: &str, caches: usize) {
    let scene = SCENES.iter().find(|s| s.name == scene);
    let scene = *scene.expect("the name of a scene");
    Benchmark::new(caches, scene).measure(scene.servers);
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if let [scene, caches] = &arguments[..] {
        return play_once(scene, caches.parse().expect("a number of caches"));
    }
    println!(
        "{:16} {:>8} {:>8} {:>8}  us per request; then ratios to the first",
        "caches", 200, 800, 3200
    );
    for scene in SCENES {
        // The minimum over several interleaved rounds, to reduce the influence of other load on the
        // machine.
        let mut best = [f64::INFINITY; CACHES.len()];
        for _ in 0..ROUNDS {
            for (best, caches) in best.iter_mut().zip(CACHES) {
                *best = best.min(Benchmark::new(caches, scene).measure(scene.servers));
            }
        }
        let [first, second, third] = best;
        println!(
            "{:16} {first:8.2} {second:8.2} {third:8.2}  1.00 {:5.2} {:5.2}",
            scene.name,
            second / first,
            third / first
        );
    }
}
