//! A cell that contains every server does not change any decision: with the same seed, the router
//! takes the same actions with and without it.

use chalkhall::control::Router;
use chalkhall::interface::*;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Records every action, and gives each attempt an outcome in the order sent.
struct Simulation {
    actions: Vec<String>,
    timers: BTreeMap<(Duration, u64), ()>,
    open_attempts: VecDeque<(Id, usize)>,
    attempts: BTreeMap<Id, usize>,
}

impl ActionSink for Simulation {
    fn attempt(&mut self, request: &Id, server: &Id, limits: AttemptLimits, fill: &Fill) {
        self.actions.push(format!(
            "attempt {request} {server} {:?} {fill:?}",
            limits.duration
        ));
        let n = self.attempts.entry(request.clone()).or_default();
        self.open_attempts.push_back((request.clone(), *n));
        *n += 1;
    }
    fn reject(&mut self, request: &Id, retry_after: Option<Duration>) {
        self.actions
            .push(format!("reject {request} {retry_after:?}"));
    }
    fn fail(&mut self, request: &Id) {
        self.actions.push(format!("fail {request}"));
    }
    fn cancel(&mut self, request: &Id, attempt: usize) {
        self.actions.push(format!("cancel {request} {attempt}"));
    }
    fn set_timer(&mut self, at: Duration, timer_id: u64) {
        self.timers.insert((at, timer_id), ());
    }
    fn subscribe_list(&mut self) {}
}

fn deployment(seed: u64) -> Deployment {
    let ms = Duration::from_millis;
    let cold = SlowStartSettings {
        initial_capacity: 0.25,
        warm_up_time: ms(10_000),
        overload_multiple: 2.0,
        window: ms(1000),
    };
    let class = |effect, cacheable| Class {
        effect,
        dedup_window: ms(2000),
        soft_deadline: ms(500),
        soft_deadline_multiple: 2.0,
        deadline: ms(4000),
        value: 1.0,
        late_value: 0.2,
        cacheable,
        ..Class::default()
    };
    Deployment {
        router_index: 0,
        seed,
        routers: 2,
        zone: 1,
        routers_per_zone: vec![0, 2],
        classes: vec![
            class(Effect::Idempotent, true),
            class(Effect::NonIdempotent, false),
        ],
        min_call_interval: ms(2),
        client_kb_per_s: 1000.0,
        max_attempts: 6,
        may_cancel: true,
        max_retry_after: Some(ms(1000)),
        cold_cache: cold,
        cold_parent: cold,
        drain_grace: ms(250),
        purge_grace: ms(500),
        purge_done: ms(6000),
        pass_through: true,
        ..Deployment::default()
    }
}

fn simulate(seed: u64, cell: Option<u32>) -> Vec<String> {
    let (mut rng, mut now) = (fastrand::Rng::with_seed(seed), Duration::from_secs(1));
    let (actions, timers, open_attempts) = (Vec::new(), BTreeMap::new(), VecDeque::new());
    let mut simulation = Simulation {
        actions,
        timers,
        open_attempts,
        attempts: BTreeMap::new(),
    };
    let mut router = Router::start(now, &deployment(seed), &mut simulation);
    let member = |name: &str, tier, state| Member {
        server: name.into(),
        zone: 1,
        tier,
        capacity: 4.0,
        state,
        cells: cell.into_iter().collect(),
        ..Member::default()
    };
    let caches = ["c1", "c2", "c3", "c4", "c5"];
    let mut list: Vec<Member> = caches
        .iter()
        .map(|c| member(c, Tier::Cache, ServerState::Active))
        .collect();
    list.push(member("p1", Tier::Parent, ServerState::Active));
    list.push(member("p2", Tier::Parent, ServerState::Active));
    list.push(member("o1", Tier::Origin, ServerState::Active));
    router.update_list(now, ListKind::Snapshot, &list, &mut simulation);
    for n in 0..3000 {
        now += Duration::from_millis(rng.u64(..12));
        while let Some((&(at, timer_id), ())) = simulation
            .timers
            .first_key_value()
            .filter(|((at, _), ())| *at <= now)
        {
            simulation.timers.pop_first();
            router.wake(at.max(now), timer_id, &mut simulation);
        }
        match rng.u8(..40) {
            0 => {
                let (name, states) = (
                    caches[rng.usize(..5)],
                    [ServerState::Active, ServerState::Draining],
                );
                let changed = member(name, Tier::Cache, states[rng.usize(..2)]);
                router.update_list(now, ListKind::Changes, &[changed], &mut simulation);
            }
            1 => router.record_purge(
                now,
                Some(format!("x{}", rng.u8(..50)).as_str().into()),
                0,
                Duration::ZERO,
            ),
            2..=19 => {
                let arrival = IncomingRequest {
                    id: format!("a{n}").as_str().into(),
                    class: usize::from(rng.u8(..10) == 0),
                    object: format!("x{}", rng.u8(..50)).as_str().into(),
                    kb: 20.0 + f64::from(rng.u8(..200)),
                    time_left: Duration::from_millis(4000),
                    cell,
                    ..IncomingRequest::default()
                };
                router.request(now, arrival, &mut simulation);
            }
            _ => {
                let Some((id, attempt)) = simulation.open_attempts.pop_front() else {
                    continue;
                };
                let outcome = match rng.u8(..12) {
                    0 => Outcome::Error,
                    1 => Outcome::Full,
                    2 => Outcome::Broken,
                    3 => Outcome::Unreachable,
                    _ => Outcome::Served,
                };
                let is_complete = outcome == Outcome::Served;
                let remark = if is_complete {
                    [Remark::Hit, Remark::Filled][rng.usize(..2)]
                } else {
                    Remark::None
                };
                let (duration, load) = (Duration::from_millis(rng.u64(1..400)), Load::default());
                let ended = AttemptResult {
                    outcome,
                    remark,
                    duration,
                    first_byte: None,
                    is_complete,
                    load,
                };
                router.attempt_ended(now, &id, attempt, &ended, &mut simulation);
            }
        }
    }
    simulation.actions
}

#[test]
fn a_cell_with_every_server_does_not_change_any_action() {
    for seed in 0..20 {
        let (without, with) = (simulate(seed, None), simulate(seed, Some(3)));
        assert!(without.len() > 1000, "{}", without.len());
        let difference = without.iter().zip(&with).position(|(a, b)| a != b);
        assert_eq!(difference.map(|n| (&without[n], &with[n])), None);
        assert_eq!(without.len(), with.len());
    }
}
