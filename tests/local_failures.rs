//! A machine that can send nothing for a while: every attempt is reported never sent, at once.

use chalkhall::control::Router;
use chalkhall::interface::*;
use std::collections::VecDeque;
use std::time::Duration;

const ATTEMPTS_MOST: usize = 6;
const SERVERS: usize = 20;

/// Notes the attempts and the final answers of the one request under test.
#[derive(Default)]
struct World {
    attempts: VecDeque<usize>,
    made: usize,
    rejected: usize,
    failed: usize,
}

impl Outlet for World {
    fn attempt(&mut self, _: &Id, _: &Id, _: Duration, _: &Fill) {
        self.attempts.push_back(self.made);
        self.made += 1;
    }
    fn reject(&mut self, _: &Id, _: Option<Duration>) {
        self.rejected += 1;
    }
    fn fail(&mut self, _: &Id) {
        self.failed += 1;
    }
    fn cancel(&mut self, _: &Id, _: usize) {}
    fn wake_at(&mut self, _: Duration, _: u64) {}
    fn watch_list(&mut self) {}
}

fn deployment() -> Deployment {
    let ms = Duration::from_millis;
    let class = |effect, cacheable| Class {
        effect,
        window: ms(2000),
        soft_deadline: ms(500),
        soft_stretch: 2.0,
        deadline: ms(4000),
        value: 1.0,
        late_value: 0.2,
        cacheable,
        ..Class::default()
    };
    let classes = vec![
        class(Effect::Idempotent, true),
        class(Effect::NonIdempotent, false),
        class(Effect::Deduplicated, false),
    ];
    Deployment {
        routers: 1,
        routers_at: vec![1],
        classes,
        tick: ms(2),
        client_kb_per_s: 1000.0,
        max_attempts: ATTEMPTS_MOST,
        may_cancel: true,
        pass_through: true,
        ..Deployment::default()
    }
}

fn listed(router: &mut Router, now: Duration, world: &mut World) {
    let member = |name: String, tier| Member {
        server: name.as_str().into(),
        tier,
        capacity: 4.0,
        ..Member::default()
    };
    let caches = (0..SERVERS).map(|n| member(format!("c{n}"), Tier::Cache));
    let sources = [
        member("p1".into(), Tier::Parent),
        member("o1".into(), Tier::Origin),
    ];
    let list: Vec<Member> = caches.chain(sources).collect();
    router.list(now, ListKind::Whole, &list, world);
}

fn arrival(n: usize, class: usize) -> Arrival {
    Arrival {
        id: format!("a{n}").as_str().into(),
        class,
        object: format!("x{n}").as_str().into(),
        kb: 20.0,
        left: Duration::from_millis(4000),
        ..Arrival::default()
    }
}

fn never_sent() -> Ended {
    Ended {
        outcome: Outcome::NeverSent,
        remark: Remark::None,
        took: Duration::ZERO,
        first_byte: None,
        over: false,
        load: Load::default(),
    }
}

/// Not a moment passes between an attempt and its end, so that only the bound stops them.
#[test]
fn a_request_that_can_never_be_sent_is_rejected_after_a_bounded_number_of_attempts() {
    let now = Duration::from_secs(100);
    let mut world = World::default();
    let mut router = Router::start(Duration::from_secs(1), &deployment(), &mut world);
    listed(&mut router, now, &mut world);
    for n in 0..60 {
        world = World::default();
        let arrival = arrival(n, n % 3);
        let id = arrival.id.clone();
        router.request(now, arrival, &mut world);
        while let Some(attempt) = world.attempts.pop_front() {
            router.result(now, &id, attempt, &never_sent(), &mut world);
        }
        assert!(
            (1..=ATTEMPTS_MOST).contains(&world.made),
            "request {n}: {} attempts",
            world.made
        );
        assert_eq!(
            (world.rejected, world.failed),
            (1, 0),
            "request {n}: nothing ran, so trying again is safe"
        );
    }
}

/// What this machine lacks sets no server aside: the next request goes to the server that the hash
/// prefers.
#[test]
fn attempts_never_sent_leave_every_server_its_requests() {
    let now = Duration::from_secs(100);
    let first_choice = |failures: usize| {
        let mut world = World::default();
        let mut router = Router::start(Duration::from_secs(1), &deployment(), &mut world);
        listed(&mut router, now, &mut world);
        for n in 0..failures {
            world = World::default();
            let arrival = arrival(n, 0);
            let id = arrival.id.clone();
            router.request(now, arrival, &mut world);
            while let Some(attempt) = world.attempts.pop_front() {
                router.result(now, &id, attempt, &never_sent(), &mut world);
            }
        }
        let mut chosen = Chosen::default();
        for n in 0..200 {
            router.request(now, arrival(1000 + n, 0), &mut chosen);
        }
        chosen.0
    };
    assert_eq!(first_choice(0), first_choice(200));
}

/// Notes which server each request's first attempt goes to.
#[derive(Default)]
struct Chosen(Vec<Id>);

impl Outlet for Chosen {
    fn attempt(&mut self, _: &Id, server: &Id, _: Duration, _: &Fill) {
        self.0.push(server.clone());
    }
    fn reject(&mut self, _: &Id, _: Option<Duration>) {}
    fn fail(&mut self, _: &Id) {}
    fn cancel(&mut self, _: &Id, _: usize) {}
    fn wake_at(&mut self, _: Duration, _: u64) {}
    fn watch_list(&mut self) {}
}
