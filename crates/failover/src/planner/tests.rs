use super::*;
use chalkhall_gossip::Destination;
use proptest::prelude::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[derive(Default)]
struct SentDatagrams(Vec<(u64, Vec<u8>)>);

impl DatagramSender for SentDatagrams {
    fn send(&mut self, to: Destination, bytes: &[u8]) {
        let Destination::One(to) = to else {
            panic!("gossip sends no broadcasts")
        };
        self.0.push((to, bytes.to_vec()));
    }
}

/// Zones of routers and caches as a fluid model: load beyond a zone's capacity is not served.
struct Simulation {
    zones: usize,
    routers: Vec<Option<FailoverPlanner>>,
    incarnations: u32,
    capacity: f64,
    /// Which zones are down; and when each was restored, with empty caches.
    down: Vec<bool>,
    restored_at: Vec<Option<u64>>,
    /// Demand of each zone's clients, in concurrent transfers.
    demand: Vec<f64>,
    /// Whether datagrams from one zone to another are lost, by zones.
    partitioned: Vec<Vec<bool>>,
    loss: f64,
    rng: fastrand::Rng,
    /// Whether all requests of a failed zone go to the next one, whatever its capacity.
    naive: bool,
    /// By zone and step of 50 ms: requested, served, sent away, sent away although the own zone had
    /// capacity.
    history: Vec<Vec<[f64; 4]>>,
    overloaded_s: Vec<f64>,
    /// How long routers of one zone have followed different plans without interruption, in ms, in
    /// steps of 50; and the longest time.
    disagreement_ms: Vec<u64>,
    max_disagreement_ms: u64,
    /// The router, if any, that records each of its attempts as failed.
    faulty_router: Option<usize>,
}

const WARM_UP_MS: u64 = 4000;

fn router(
    now: u64,
    number: usize,
    zones: usize,
    routers: usize,
    incarnation: u32,
    seed: u64,
) -> FailoverPlanner {
    let zone = (number % zones) as u8;
    let config = FailoverConfig {
        number: number as u16,
        routers,
        zone,
        zones,
        incarnation,
        seed: seed ^ number as u64,
        may_leave_zone: true,
    };
    FailoverPlanner::start(ms(now), config).expect("more than one router")
}

impl Simulation {
    fn new(zones: usize, routers: usize, load: f64, seed: u64) -> Simulation {
        let capacity = 16.0;
        Simulation {
            zones,
            routers: (0..routers)
                .map(|n| Some(router(0, n, zones, routers, 1, seed)))
                .collect(),
            incarnations: 1,
            capacity,
            down: vec![false; zones],
            restored_at: vec![None; zones],
            demand: vec![load * capacity; zones],
            partitioned: vec![vec![false; zones]; zones],
            loss: 0.05,
            rng: fastrand::Rng::with_seed(seed),
            naive: false,
            history: vec![Vec::new(); zones],
            overloaded_s: vec![0.0; zones],
            disagreement_ms: vec![0; zones],
            max_disagreement_ms: 0,
            faulty_router: None,
        }
    }

    fn current_capacity(&self, zone: usize, now: u64) -> f64 {
        if self.down[zone] {
            return 0.0;
        }
        let warm = self.restored_at[zone]
            .map_or(1.0, |at| ((now - at) as f64 / WARM_UP_MS as f64).min(1.0));
        self.capacity * (0.3 + 0.7 * warm)
    }

    fn run(&mut self, from: u64, to: u64) {
        for now in (from..to).step_by(50) {
            let routers_per_zone = self.routers.len() / self.zones;
            let listed: Vec<ZoneCapacity> = (0..self.zones)
                .map(|p| {
                    // Discovery keeps listing a failed zone.
                    let available = if self.down[p] {
                        self.capacity
                    } else {
                        self.current_capacity(p, now)
                    };
                    let warm = if self.restored_at[p].is_none_or(|at| now >= at + WARM_UP_MS) {
                        self.capacity
                    } else {
                        0.0
                    };
                    ZoneCapacity {
                        capacity: self.capacity,
                        available,
                        warm,
                    }
                })
                .collect();
            // Distribution of requests: ten per router and step, each a tenth of its demand.
            let mut sent = vec![vec![0.0; self.zones]; self.zones];
            let mut destinations: Vec<Vec<(usize, f64)>> = vec![Vec::new(); self.routers.len()];
            let mut rejected = vec![0.0; self.zones];
            for (n, destinations) in destinations.iter_mut().enumerate() {
                let zone = n % self.zones;
                let work = self.demand[zone] / routers_per_zone as f64 / 10.0;
                let naive_to = self.down[zone].then(|| {
                    (1..self.zones)
                        .map(|k| (zone + k) % self.zones)
                        .find(|p| !self.down[*p])
                });
                let Some(planner) = &mut self.routers[n] else {
                    continue;
                };
                planner.set_capacities(&listed);
                for k in 0..10 {
                    planner.record_request(ms(now), work * 0.05);
                    let point = (k as f64 + self.rng.f64()) / 10.0;
                    let to = match planner.select_zone(point, true, self.rng.f64()) {
                        TargetZone::Home if self.naive => naive_to.flatten().unwrap_or(zone),
                        TargetZone::Home => zone,
                        TargetZone::Remote(to) if !self.naive => to,
                        TargetZone::Remote(_) => zone,
                        TargetZone::Unavailable => {
                            rejected[zone] += work;
                            continue;
                        }
                    };
                    sent[zone][to] += work;
                    destinations.push((to, work));
                }
            }
            let total: Vec<f64> = (0..self.zones)
                .map(|to| sent.iter().map(|row| row[to]).sum())
                .collect();
            let served: Vec<f64> = (0..self.zones)
                .map(|p| {
                    // An overloaded zone serves less than its capacity: it works on requests that
                    // are already late.
                    let available = self.current_capacity(p, now);
                    let overload = total[p] / available.max(1e-9);
                    if overload > 1.3 {
                        0.3 / overload
                    } else {
                        (1.0 / overload).min(1.0)
                    }
                })
                .collect();
            for (p, share) in served.iter().enumerate() {
                self.overloaded_s[p] += f64::from(
                    !self.down[p] && *share < 0.5 && self.current_capacity(p, now) == self.capacity,
                ) * 0.05;
            }
            for (n, destinations) in destinations.iter().enumerate() {
                let zone = n % self.zones;
                let is_faulty = self.faulty_router == Some(n);
                let Some(planner) = &mut self.routers[n] else {
                    continue;
                };
                for (to, _) in destinations.iter().copied() {
                    let in_time = self.rng.f64() < served[to];
                    if to == zone {
                        // A late answer shows that the zone is busy, not that it is down.
                        planner.record_attempt(ms(now), !self.down[zone] && !is_faulty);
                    }
                    planner.record_answer(ms(now), in_time);
                }
                for edge in planner.paths_to_probe(ms(now)) {
                    let round_trip = (!self.down[edge])
                        .then(|| ms(2 + 10 * ((edge + self.zones - zone) % self.zones) as u64));
                    planner.model().record_probe(ms(now), edge, round_trip);
                }
            }
            for p in 0..self.zones {
                let requested: f64 = sent[p].iter().sum::<f64>() + rejected[p];
                let served_work: f64 = (0..self.zones).map(|to| sent[p][to] * served[to]).sum();
                let sent_away: f64 = (0..self.zones)
                    .filter(|to| *to != p)
                    .map(|to| sent[p][to])
                    .sum();
                let needlessly_away =
                    if !self.down[p] && self.current_capacity(p, now) >= self.demand[p] {
                        sent_away
                    } else {
                        0.0
                    };
                self.history[p].push([requested, served_work, sent_away, needlessly_away]);
                let plans: std::collections::BTreeSet<Option<u32>> = self
                    .routers
                    .iter()
                    .enumerate()
                    .filter(|(n, _)| n % self.zones == p)
                    .filter_map(|(_, r)| r.as_ref())
                    .map(|r| r.report(ms(now)).plan.map(|(plan, _)| plan.number))
                    .collect();
                self.disagreement_ms[p] = if plans.len() > 2 {
                    self.disagreement_ms[p] + 50
                } else {
                    0
                };
                self.max_disagreement_ms = self.max_disagreement_ms.max(self.disagreement_ms[p]);
            }
            for offset in (0..50).step_by(10) {
                let now = now + offset;
                for n in 0..self.routers.len() {
                    let mut datagrams = SentDatagrams::default();
                    let Some(planner) = &mut self.routers[n] else {
                        continue;
                    };
                    if ms(now) >= planner.next_tick() {
                        planner.tick(ms(now), &mut datagrams);
                    }
                    for (to, bytes) in datagrams.0 {
                        let (a, b) = (n % self.zones, to as usize % self.zones);
                        if self.partitioned[a][b] || self.rng.f64() < self.loss {
                            continue;
                        }
                        if let Some(other) = &mut self.routers[to as usize] {
                            other.receive(ms(now), n as u64, &bytes);
                        }
                    }
                }
            }
        }
    }

    fn fail(&mut self, zone: usize) {
        self.down[zone] = true;
    }

    fn restore(&mut self, zone: usize, now: u64) {
        (self.down[zone], self.restored_at[zone]) = (false, Some(now));
    }

    /// Shares of a zone's demand in an interval: served, sent away, sent away needlessly.
    fn shares(&self, zone: usize, from: u64, to: u64) -> [f64; 3] {
        let steps = &self.history[zone][from as usize / 50..to as usize / 50];
        let sum = |k: usize| steps.iter().map(|t| t[k]).sum::<f64>();
        [1, 2, 3].map(|k| sum(k) / sum(0).max(1e-9))
    }
}

#[test]
fn a_lost_zone_is_taken_over_within_two_seconds_and_restored_as_it_warms() {
    for seed in [1, 2, 3] {
        let mut simulation = Simulation::new(6, 60, 0.5, seed);
        simulation.run(0, 5000);
        let [served, sent_away, _] = simulation.shares(0, 2000, 5000);
        assert!(
            served > 0.99 && sent_away == 0.0,
            "before the failure: served {served}, sent away {sent_away}"
        );
        simulation.fail(1);
        simulation.run(5000, 10_000);
        let [first_two_seconds, _, _] = simulation.shares(1, 5000, 7000);
        let [after_detection, _, _] = simulation.shares(1, 7000, 10_000);
        assert!(
            first_two_seconds > 0.4 && after_detection > 0.9,
            "seed {seed}: served {first_two_seconds} in the first two seconds, {after_detection} after them"
        );
        simulation.restore(1, 10_000);
        simulation.run(10_000, 22_000);
        let [after_restore, _, _] = simulation.shares(1, 10_000, 15_000);
        let [after_warm_up, sent_away, needlessly_away] = simulation.shares(1, 17_000, 22_000);
        assert!(
            after_restore > 0.9 && after_warm_up > 0.98 && sent_away < 0.02,
            "seed {seed}: served {after_restore} while warming up, then {after_warm_up}; sent away {sent_away}, needlessly {needlessly_away}"
        );
        for other in [0, 2, 3, 4, 5] {
            assert!(
                simulation.shares(other, 5000, 22_000)[0] > 0.97,
                "clients of the zones that take over must not suffer"
            );
            assert_eq!(
                simulation.shares(other, 0, 22_000)[1],
                0.0,
                "requests of other zones must not leave"
            );
        }
        assert!(
            simulation.max_disagreement_ms <= 1000,
            "routers followed different plans for {} ms",
            simulation.max_disagreement_ms
        );
        assert_eq!(simulation.overloaded_s.iter().sum::<f64>(), 0.0);
    }
}

#[test]
fn at_high_load_naive_failover_overloads_the_next_zone_and_planned_failover_does_not() {
    let run = |naive: bool| {
        let mut simulation = Simulation::new(6, 60, 0.75, 7);
        simulation.naive = naive;
        simulation.run(0, 4000);
        simulation.fail(1);
        simulation.fail(4);
        simulation.run(4000, 12_000);
        let all: f64 = (0..6)
            .map(|p| simulation.shares(p, 6000, 12_000)[0])
            .sum::<f64>()
            / 6.0;
        (simulation.overloaded_s.iter().sum::<f64>(), all)
    };
    let ((naive, served_naive), (planned, served)) = (run(true), run(false));
    assert!(
        naive > 2.0,
        "naive failover overloads zones for only {naive} zone-seconds"
    );
    assert!(
        planned == 0.0 && served > served_naive + 0.1,
        "overloaded for {planned} zone-seconds, served {served}, by naive failover {served_naive}"
    );
}

#[test]
fn a_zone_that_flaps_each_second_is_left_only_a_few_times() {
    let mut simulation = Simulation::new(6, 60, 0.5, 5);
    simulation.run(0, 4000);
    for n in 0..20u64 {
        let now = 4000 + n * 1000;
        if n.is_multiple_of(2) {
            simulation.fail(1)
        } else {
            simulation.down[1] = false
        }
        simulation.run(now, now + 1000);
    }
    // Counts changes from mostly local to mostly sent away, from the first failure on.
    let mostly_local: Vec<bool> = simulation.history[1][80..]
        .iter()
        .map(|t| t[2] < 0.5 * t[0])
        .collect();
    let flaps = mostly_local.windows(2).filter(|w| w[0] && !w[1]).count();
    assert!(flaps <= 4, "requests left the zone {flaps} times in 20 s");
}

#[test]
fn no_requests_move_when_all_zones_are_bad_and_a_faulty_router_is_outvoted() {
    let mut simulation = Simulation::new(6, 60, 0.5, 6);
    simulation.run(0, 3000);
    (0..6).for_each(|p| simulation.fail(p));
    simulation.run(3000, 8000);
    let sent_away: f64 = (0..6).map(|p| simulation.shares(p, 6000, 8000)[1]).sum();
    assert!(sent_away < 0.01, "sent away {sent_away}");
    let mut simulation = Simulation::new(6, 60, 0.5, 6);
    simulation.faulty_router = Some(7);
    simulation.run(0, 8000);
    assert!((0..6).all(|p| simulation.shares(p, 0, 8000)[1] == 0.0));
}

#[test]
fn each_side_of_a_partition_decides_and_a_failed_coordinator_is_succeeded() {
    let mut simulation = Simulation::new(6, 60, 0.5, 8);
    simulation.run(0, 3000);
    for a in 0..6 {
        (0..6).for_each(|b| simulation.partitioned[a][b] = (a < 3) != (b < 3));
    }
    simulation.fail(1);
    simulation.run(3000, 9000);
    // Only zones on the same side take requests: nothing is known about the others.
    let [served, sent_away, _] = simulation.shares(1, 7000, 9000);
    assert!(
        served > 0.85 && sent_away > 0.85,
        "served {served}, sent away {sent_away}"
    );
    // The coordinator fails, and then its successor.
    simulation.routers[1] = None;
    simulation.routers[7] = None;
    simulation.run(9000, 15_000);
    let [served, sent_away, _] = simulation.shares(1, 12_000, 15_000);
    assert!(
        served > 0.85 && sent_away > 0.85,
        "served {served}, sent away {sent_away} after the coordinators failed"
    );
    simulation.incarnations += 1;
    for n in [1, 7] {
        simulation.routers[n] = Some(router(15_000, n, 6, 60, simulation.incarnations, 8));
    }
    simulation
        .partitioned
        .iter_mut()
        .flatten()
        .for_each(|partitioned| *partitioned = false);
    simulation.restore(1, 15_000);
    simulation.run(15_000, 28_000);
    let [served, sent_away, _] = simulation.shares(1, 24_000, 28_000);
    assert!(
        served > 0.98 && sent_away < 0.02,
        "served {served}, sent away {sent_away} after the partition healed"
    );
}

#[test]
fn a_drained_zone_empties_without_errors_and_takes_no_requests() {
    let mut simulation = Simulation::new(6, 60, 0.5, 9);
    simulation.run(0, 3000);
    simulation
        .routers
        .iter_mut()
        .flatten()
        .for_each(|r| r.set_drained_zones(&[2]));
    simulation.run(3000, 9000);
    let [served, sent_away, _] = simulation.shares(2, 7000, 9000);
    assert!(
        served > 0.97 && sent_away > 0.95,
        "served {served}, sent away {sent_away}"
    );
    assert!(
        simulation.shares(2, 3000, 9000)[0] > 0.97,
        "no requests may fail while the zone drains"
    );
    simulation
        .routers
        .iter_mut()
        .flatten()
        .for_each(|r| r.set_drained_zones(&[]));
    simulation.run(9000, 16_000);
    assert!(simulation.shares(2, 14_000, 16_000)[1] < 0.01);
}

#[test]
fn isolated_routers_keep_requests_and_non_repeatable_ones_never_leave_the_zone() {
    let mut simulation = Simulation::new(6, 60, 0.5, 9);
    simulation
        .partitioned
        .iter_mut()
        .flatten()
        .for_each(|partitioned| *partitioned = true);
    simulation.fail(1);
    simulation.run(0, 5000);
    assert_eq!(simulation.shares(1, 0, 5000)[1], 0.0);
    let mut simulation = Simulation::new(6, 60, 0.5, 9);
    simulation.fail(1);
    simulation.run(0, 5000);
    let planner = simulation.routers[1].as_mut().expect("a running router");
    assert!(
        (0..100).all(|n| planner.select_zone(f64::from(n) / 100.0, false, 1.0) == TargetZone::Home)
    );
    assert!(
        (0..100)
            .filter(|n| matches!(
                planner.select_zone(f64::from(*n) / 100.0, true, 1.0),
                TargetZone::Remote(_)
            ))
            .count()
            > 80
    );
}

proptest! {
    #[test]
    fn arbitrary_messages_cause_no_panic(
        messages in prop::collection::vec(
            (1u8..12, any::<u8>(), 0u16..12, prop::collection::vec(any::<u8>(), 0..40)), 0..40,
        ),
    ) {
        use chalkhall_gossip::gossip::{Message, Topic, Version, encode};
        let mut planner = router(0, 0, 4, 12, 1, 1);
        planner.set_capacities(&[ZoneCapacity { capacity: 10.0, available: 10.0, warm: 10.0 }; 4]);
        for (n, (kind, key, publisher, payload)) in messages.into_iter().enumerate() {
            let version = Version { incarnation: 1, sequence: n as u32 };
            let zone = (publisher % 4) as u8;
            let (topic, age) = (Topic { kind, key, publisher }, Duration::ZERO);
            let message = Message { topic, zone, version, age, urgent: true, payload };
            planner.receive(ms(10), u64::from(publisher), &encode(zone, &[message]));
            planner.tick(ms(10 + n as u64 * 60), &mut SentDatagrams::default());
            for point in [0.0, 0.3, 0.99] {
                let _ = planner.select_zone(point, true, 1.0);
            }
        }
        let _ = planner.report(ms(5000));
    }
}
