//! What a request costs in the decisions alone, by the number of caches: time a request, and as a
//! multiple of that with the fewest. `cargo run --release --example decision_cost`, or with the
//! name of a scene and a number of caches to play just that, once.

use chalkhall::control::Router;
use chalkhall::interface::*;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const CACHES: [usize; 3] = [200, 800, 3200];
const REQUESTS: u64 = 2_000;
const ROUNDS: usize = 5;
/// Objects are asked for so many times each, in the mean.
const REPEATS: u64 = 2;

/// What all servers do with what they are sent.
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
    /// Of a hundred caches so many have just started, and so many drain.
    cold: usize,
    draining: usize,
    /// Of a hundred caches so many are ejected before the measurement.
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

/// Keeps the attempts that are to be answered, and the wakes.
#[derive(Default)]
struct Orders {
    attempts: Vec<(Id, Id)>,
    wakes: BTreeMap<(Duration, u64), ()>,
}

impl Outlet for Orders {
    fn attempt(&mut self, request: &Id, server: &Id, _limit: Duration, _fill: &Fill) {
        self.attempts.push((request.clone(), server.clone()));
    }
    fn reject(&mut self, _request: &Id, _advice: Option<Duration>) {}
    fn fail(&mut self, _request: &Id) {}
    fn cancel(&mut self, _request: &Id, _attempt: usize) {}
    fn wake_at(&mut self, at: Duration, mark: u64) {
        self.wakes.insert((at, mark), ());
    }
    fn watch_list(&mut self) {}
}

fn deployment() -> Deployment {
    let cold = ColdStart {
        from: 0.25,
        warm_within: Duration::from_secs(100_000),
        multiple: 2.0,
        span: Duration::from_secs(1),
    };
    Deployment {
        seed: 1,
        routers: 10,
        routers_at: vec![10],
        classes: vec![Class {
            soft_deadline: Duration::from_millis(500),
            soft_stretch: 2.0,
            deadline: Duration::from_secs(4),
            value: 1.0,
            late_value: 0.2,
            cacheable: true,
            ..Class::default()
        }],
        tick: Duration::from_millis(2),
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
        standing: if n % 100 < scene.draining {
            Standing::Draining
        } else {
            Standing::Active
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

fn ended(servers: Servers) -> Ended {
    let (outcome, remark) = match servers {
        Servers::AnswerFromCopies => (Outcome::Served, Remark::Hit),
        Servers::Fill => (Outcome::Served, Remark::Filled),
        Servers::Refuse => (Outcome::Full, Remark::None),
        Servers::Fail => (Outcome::Unreachable, Remark::None),
    };
    let (took, over) = (Duration::from_millis(5), outcome == Outcome::Served);
    Ended {
        outcome,
        remark,
        took,
        first_byte: Some(took),
        over,
        load: Load::default(),
    }
}

struct Player {
    router: Router,
    orders: Orders,
    now: Duration,
    next: u64,
}

impl Player {
    fn new(caches: usize, scene: Scene) -> Player {
        let (mut orders, now) = (Orders::default(), Duration::from_secs(1000));
        let mut router = Router::start(Duration::from_secs(1), &deployment(), &mut orders);
        router.list(
            now,
            ListKind::Whole,
            &members(caches, scene, now),
            &mut orders,
        );
        let mut player = Player {
            router,
            orders,
            now,
            next: 0,
        };
        player.eject(caches * scene.ejected / 100, caches);
        player
    }

    /// Requests that fail, until that many caches have failed often enough.
    fn eject(&mut self, ejected: usize, caches: usize) {
        let name = |n: usize| -> Id { format!("cache-{n:04}.zone-0").into() };
        let chosen: std::collections::BTreeSet<Id> = (0..ejected).map(name).collect();
        let mut failures: BTreeMap<Id, usize> = BTreeMap::new();
        let mut done = 0;
        for _ in 0..caches * 40 {
            if done == ejected {
                return;
            }
            // So fast that what is ejected stays so, for a second at least, through what is
            // measured.
            self.ask(Duration::from_micros(20), &mut |server| {
                if !chosen.contains(server) {
                    return ended(Servers::AnswerFromCopies);
                }
                let failed = failures.entry(server.clone()).or_default();
                *failed += 1;
                done += usize::from(*failed == 2);
                ended(Servers::Fail)
            });
        }
    }

    /// One request and all its attempts.
    fn ask(&mut self, gap: Duration, answer: &mut dyn FnMut(&Id) -> Ended) {
        self.now += gap;
        while let Some((&(at, mark), ())) = self.orders.wakes.first_key_value()
            && at <= self.now
        {
            self.orders.wakes.pop_first();
            self.router.wake(at, mark, &mut self.orders);
        }
        self.next += 1;
        let id: Id = format!("{}", self.next).into();
        let object = fastrand::Rng::with_seed(self.next).u64(..REQUESTS / REPEATS);
        let arrival = Arrival {
            id,
            object: format!("object-{object}").into(),
            kb: 20.0,
            left: Duration::from_secs(4),
            ..Arrival::default()
        };
        self.router.request(self.now, arrival, &mut self.orders);
        let mut attempt = 0;
        while let Some((request, server)) = self.orders.attempts.pop() {
            self.router.result(
                self.now,
                &request,
                attempt,
                &answer(&server),
                &mut self.orders,
            );
            attempt += 1;
        }
    }

    /// Microseconds a request.
    fn measure(&mut self, servers: Servers) -> f64 {
        let began = Instant::now();
        for _ in 0..REQUESTS {
            self.ask(Duration::from_micros(100), &mut |_| ended(servers));
        }
        began.elapsed().as_secs_f64() * 1e6 / REQUESTS as f64
    }
}

/// One scene with so many caches, once: for a tool that counts instructions.
fn play_once(scene: &str, caches: usize) {
    let scene = SCENES.iter().find(|s| s.name == scene);
    let scene = *scene.expect("the name of a scene");
    Player::new(caches, scene).measure(scene.servers);
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if let [scene, caches] = &arguments[..] {
        return play_once(scene, caches.parse().expect("a number of caches"));
    }
    println!(
        "{:16} {:>8} {:>8} {:>8}  us a request; then multiples of the first",
        "caches", 200, 800, 3200
    );
    for scene in SCENES {
        // The least of several rounds, taken in turn, so that what else runs here weighs little.
        let mut least = [f64::INFINITY; CACHES.len()];
        for _ in 0..ROUNDS {
            for (least, caches) in least.iter_mut().zip(CACHES) {
                *least = least.min(Player::new(caches, scene).measure(scene.servers));
            }
        }
        let [first, second, third] = least;
        println!(
            "{:16} {first:8.2} {second:8.2} {third:8.2}  1.00 {:5.2} {:5.2}",
            scene.name,
            second / first,
            third / first
        );
    }
}
