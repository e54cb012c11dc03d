//! A cell that holds all changes nothing: same seed, same day, same orders, with cells and without.

use chalkhall::control::Router;
use chalkhall::interface::*;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Writes down every order, and gives each attempt an outcome drawn by its order alone.
struct World {
    orders: Vec<String>,
    wakes: BTreeMap<(Duration, u64), ()>,
    ends: VecDeque<(Id, usize)>,
    attempts: BTreeMap<Id, usize>,
}

impl Outlet for World {
    fn attempt(&mut self, request: &Id, server: &Id, limit: Duration, fill: &Fill) {
        self.orders
            .push(format!("attempt {request} {server} {limit:?} {fill:?}"));
        let n = self.attempts.entry(request.clone()).or_default();
        self.ends.push_back((request.clone(), *n));
        *n += 1;
    }
    fn reject(&mut self, request: &Id, advice: Option<Duration>) {
        self.orders.push(format!("reject {request} {advice:?}"));
    }
    fn fail(&mut self, request: &Id) {
        self.orders.push(format!("fail {request}"));
    }
    fn cancel(&mut self, request: &Id, attempt: usize) {
        self.orders.push(format!("cancel {request} {attempt}"));
    }
    fn wake_at(&mut self, at: Duration, mark: u64) {
        self.wakes.insert((at, mark), ());
    }
    fn watch_list(&mut self) {}
}

fn deployment(seed: u64) -> Deployment {
    let ms = Duration::from_millis;
    let cold = ColdStart {
        from: 0.25,
        warm_within: ms(10_000),
        multiple: 2.0,
        span: ms(1000),
    };
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
    Deployment {
        number: 0,
        seed,
        routers: 2,
        zone: 1,
        routers_at: vec![0, 2],
        classes: vec![
            class(Effect::Idempotent, true),
            class(Effect::NonIdempotent, false),
        ],
        tick: ms(2),
        client_kb_per_s: 1000.0,
        max_attempts: 6,
        may_cancel: true,
        longest_advice: Some(ms(1000)),
        cold_cache: cold,
        cold_parent: cold,
        drain_grace: ms(250),
        purge_grace: ms(500),
        purge_done: ms(6000),
        pass_through: true,
        ..Deployment::default()
    }
}

fn day(seed: u64, cell: Option<u32>) -> Vec<String> {
    let (mut chance, mut now) = (fastrand::Rng::with_seed(seed), Duration::from_secs(1));
    let (orders, wakes, ends) = (Vec::new(), BTreeMap::new(), VecDeque::new());
    let mut world = World {
        orders,
        wakes,
        ends,
        attempts: BTreeMap::new(),
    };
    let mut router = Router::start(now, &deployment(seed), &mut world);
    let member = |name: &str, tier, standing| Member {
        server: name.into(),
        zone: 1,
        tier,
        capacity: 4.0,
        standing,
        cells: cell.into_iter().collect(),
        ..Member::default()
    };
    let caches = ["c1", "c2", "c3", "c4", "c5"];
    let mut list: Vec<Member> = caches
        .iter()
        .map(|c| member(c, Tier::Cache, Standing::Active))
        .collect();
    list.push(member("p1", Tier::Parent, Standing::Active));
    list.push(member("p2", Tier::Parent, Standing::Active));
    list.push(member("o1", Tier::Origin, Standing::Active));
    router.list(now, ListKind::Whole, &list, &mut world);
    for n in 0..3000 {
        now += Duration::from_millis(chance.u64(..12));
        while let Some((&(at, mark), ())) = world
            .wakes
            .first_key_value()
            .filter(|((at, _), ())| *at <= now)
        {
            world.wakes.pop_first();
            router.wake(at.max(now), mark, &mut world);
        }
        match chance.u8(..40) {
            0 => {
                let (name, standing) = (
                    caches[chance.usize(..5)],
                    [Standing::Active, Standing::Draining],
                );
                let changed = member(name, Tier::Cache, standing[chance.usize(..2)]);
                router.list(now, ListKind::Changes, &[changed], &mut world);
            }
            1 => router.purged(
                now,
                Some(format!("x{}", chance.u8(..50)).as_str().into()),
                0,
                Duration::ZERO,
            ),
            2..=19 => {
                let arrival = Arrival {
                    id: format!("a{n}").as_str().into(),
                    class: usize::from(chance.u8(..10) == 0),
                    object: format!("x{}", chance.u8(..50)).as_str().into(),
                    kb: 20.0 + f64::from(chance.u8(..200)),
                    left: Duration::from_millis(4000),
                    cell,
                    ..Arrival::default()
                };
                router.request(now, arrival, &mut world);
            }
            _ => {
                let Some((id, attempt)) = world.ends.pop_front() else {
                    continue;
                };
                let outcome = match chance.u8(..12) {
                    0 => Outcome::Error,
                    1 => Outcome::Full,
                    2 => Outcome::Broken,
                    3 => Outcome::Unreachable,
                    _ => Outcome::Served,
                };
                let over = outcome == Outcome::Served;
                let remark = if over {
                    [Remark::Hit, Remark::Filled][chance.usize(..2)]
                } else {
                    Remark::None
                };
                let (took, load) = (Duration::from_millis(chance.u64(1..400)), Load::default());
                let ended = Ended {
                    outcome,
                    remark,
                    took,
                    first_byte: None,
                    over,
                    load,
                };
                router.result(now, &id, attempt, &ended, &mut world);
            }
        }
    }
    world.orders
}

#[test]
fn with_one_cell_of_all_and_with_none_every_order_is_the_same() {
    for seed in 0..20 {
        let (without, with) = (day(seed, None), day(seed, Some(3)));
        assert!(without.len() > 1000, "{}", without.len());
        let differs = without.iter().zip(&with).position(|(a, b)| a != b);
        assert_eq!(differs.map(|n| (&without[n], &with[n])), None);
        assert_eq!(without.len(), with.len());
    }
}
