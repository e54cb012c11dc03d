use super::*;
use chalkhall_gossip::gossip::{RouterIdentity, encode as datagram};
use chalkhall_gossip::{Mouth, To};
use proptest::prelude::*;

#[derive(Default)]
struct Said(Vec<(u64, Vec<u8>)>);

impl Mouth for Said {
    fn say(&mut self, to: To, bytes: &[u8]) {
        let To::One(to) = to else {
            panic!("nobody is told all")
        };
        self.0.push((to, bytes.to_vec()));
    }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Routers of some zones with ways between them of known truth, in simulated time.
struct World {
    places: usize,
    routers: Vec<(Model, Gossip)>,
    /// Median of each way in ms, and the deviation of its logarithm.
    truth: Vec<Vec<f64>>,
    sigma: f64,
    chance: fastrand::Rng,
    liar: Option<usize>,
    loses: f64,
}

fn router(number: usize, places: usize, routers: usize, incarnation: u32) -> (Model, Gossip) {
    let zone = (number % places) as u8;
    let identity = RouterIdentity {
        number: number as u16,
        routers,
        zone,
        incarnation,
        seed: number as u64,
    };
    let gossip = Gossip::start(Duration::ZERO, identity, &KIND_POLICIES).expect("not alone");
    (Model::new(number as u16, zone, places), gossip)
}

impl World {
    fn new(places: usize, routers: usize, seed: u64) -> World {
        let mut chance = fastrand::Rng::with_seed(seed);
        let mut truth = vec![vec![2.0; places]; places];
        for (from, row) in truth.iter_mut().enumerate() {
            let others = row.iter_mut().enumerate().filter(|(to, _)| *to != from);
            others.for_each(|(_, way)| *way = 5.0 + 60.0 * chance.f64());
        }
        let routers = (0..routers)
            .map(|n| router(n, places, routers, 1))
            .collect();
        World {
            places,
            routers,
            truth,
            sigma: 0.15,
            chance,
            liar: None,
            loses: 0.1,
        }
    }

    fn sample(&mut self, from: usize, to: usize) -> Duration {
        let normal: f64 = (0..12).map(|_| self.chance.f64()).sum::<f64>() - 6.0;
        Duration::from_secs_f64(self.truth[from][to] * (self.sigma * normal).exp() / 1e3)
    }

    fn until(&mut self, from: u64, to: u64) {
        for now in (from..to).step_by(10) {
            for n in 0..self.routers.len() {
                let (model, gossip) = &mut self.routers[n];
                let turn = (now / 10 + n as u64).is_multiple_of(10);
                let edges = if turn {
                    model.to_measure(ms(now), gossip)
                } else {
                    Vec::new()
                };
                for edge in edges {
                    let way = self.sample(n % self.places, edge);
                    self.routers[n].0.saw(ms(now), edge, Some(way));
                }
                if (now + n as u64 * 10).is_multiple_of(250) {
                    let (model, gossip) = &mut self.routers[n];
                    let mut words = model.words(ms(now), gossip);
                    if self.liar == Some(n) {
                        let lie = Share {
                            count: 60.0,
                            lost: 0.0,
                            base: 100,
                            wide: false,
                            heights: [15; 16],
                        };
                        words = (0..self.places)
                            .map(|e| (WAYS, e as u8, lie.encode().to_vec()))
                            .collect();
                        let cell = Cell {
                            p50: Some(ms(1)),
                            p90: Some(ms(1)),
                            lost: 0.0,
                            doubt: 0.0,
                        };
                        words.push((MATRIX, 0, super::encode(&vec![Some(cell); self.places])));
                    }
                    words.into_iter().for_each(|(kind, part, body)| {
                        gossip.publish(ms(now), kind, part, body, false)
                    });
                }
                let mut said = Said::default();
                self.routers[n].1.tick(ms(now), &mut said);
                for (to, bytes) in said.0 {
                    if self.chance.f64() >= self.loses {
                        self.routers[to as usize]
                            .1
                            .receive(ms(now), n as u64, &bytes);
                    }
                }
            }
        }
    }

    /// Errors of p50 and p90 of every way against the truth, over all its honest routers: means. And how
    /// far routers of one zone lie apart in p50, as the mean deviation from their mean.
    fn errors(&self, now: u64) -> (f64, f64, f64) {
        let (mut e50, mut e90, mut spread, mut count, mut ways) = (0.0, 0.0, 0.0, 0.0, 0.0);
        for zone in 0..self.places {
            for edge in 0..self.places {
                let truth = self.truth[zone][edge];
                let ninth = truth * (1.2816 * self.sigma).exp();
                let mut believed = Vec::new();
                for (n, (model, gossip)) in self.routers.iter().enumerate() {
                    if n % self.places != zone || self.liar == Some(n) {
                        continue;
                    }
                    let Some(way) = model.way(ms(now), gossip, edge) else {
                        panic!("{n} knows nothing of {edge}")
                    };
                    let ms =
                        |d: Option<Duration>| d.map_or(f64::INFINITY, |d| d.as_secs_f64() * 1e3);
                    e50 += (ms(way.p50) / truth - 1.0).abs();
                    e90 += (ms(way.p90) / ninth - 1.0).abs();
                    count += 1.0;
                    believed.push(ms(way.p50));
                }
                let mean = believed.iter().sum::<f64>() / believed.len() as f64;
                spread += believed.iter().map(|b| (b / mean - 1.0).abs()).sum::<f64>()
                    / believed.len() as f64;
                ways += 1.0;
            }
        }
        (e50 / count, e90 / count, spread / ways)
    }
}

#[test]
fn five_seconds_after_a_step_all_know_the_new_way_and_agree() {
    for seed in [1, 2] {
        let mut world = World::new(6, 120, seed);
        world.until(0, 8000);
        let before = world.errors(8000);
        world.truth.iter_mut().flatten().for_each(|way| *way *= 5.0);
        world.until(8000, 13_000);
        let up = world.errors(13_000);
        world.truth.iter_mut().flatten().for_each(|way| *way /= 5.0);
        world.until(13_000, 18_000);
        let down = world.errors(18_000);
        for (e50, e90, spread) in [before, up, down] {
            assert!(
                e50 <= 0.10 && e90 <= 0.20 && spread <= 0.05,
                "seed {seed}: {before:?} {up:?} {down:?}"
            );
        }
    }
}

#[test]
fn a_teller_that_lies_within_the_format_bends_nothing_and_a_restart_counts_nothing_twice() {
    let mut world = World::new(6, 120, 3);
    world.liar = Some(7);
    world.until(0, 6000);
    for n in (0..120).step_by(2).filter(|n| *n != 7) {
        world.routers[n] = router(n, 6, 120, 2);
    }
    world.until(6000, 11_000);
    let (e50, e90, spread) = world.errors(11_000);
    assert!(
        e50 <= 0.10 && e90 <= 0.20 && spread <= 0.05,
        "{e50} {e90} {spread}"
    );
    // The matrix, as another zone hears of it.
    let (model, gossip) = &world.routers[0];
    for edge in 0..6 {
        let cell = model.matrix(ms(11_000), gossip, 1, edge).expect("told");
        let error =
            (cell.p50.expect("back").as_secs_f64() * 1e3 / world.truth[1][edge] - 1.0).abs();
        assert!(error <= 0.25, "{edge}: {error}, of the liar's zone");
    }
}

#[test]
fn what_is_measured_costs_the_same_for_two_routers_a_zone_and_two_hundred() {
    let count = |here: usize| {
        let mut all: Vec<_> = (0..here).map(|n| router(n * 6, 6, here * 6, 1)).collect();
        for (_, gossip) in &mut all {
            (0..here).for_each(|m| gossip.record_peer(m as u16 * 6, ms(38_000)));
        }
        let mut found = 0;
        for now in (0..40_000).step_by(100) {
            found += all
                .iter_mut()
                .map(|(m, r)| m.to_measure(ms(now), r).len())
                .sum::<usize>();
        }
        found as f64 / 40.0 / 6.0
    };
    let (few, many, alone) = (count(10), count(200), count(1));
    assert_eq!((few, many, alone), (10.0, 10.0, 2.0), "a second and way");
    // The dead are not waited for: who gave no sign of life leaves its ways to others.
    let (mut model, mut gossip) = router(0, 6, 120, 1);
    (1..20).for_each(|n| gossip.record_peer(n * 6, ms(0)));
    assert!(model.to_measure(ms(1000), &gossip).len() < 6);
    assert_eq!(model.to_measure(ms(6000), &gossip).len(), 6);
}

#[test]
fn an_edge_that_falls_silent_is_unknown_or_lost_but_never_fast() {
    let (mut model, gossip) = router(0, 6, 120, 1);
    (0..10).for_each(|n| model.saw(ms(n * 500), 2, Some(ms(5))));
    assert!(model.way(ms(5000), &gossip, 2).expect("seen").p50.is_some());
    (10..16).for_each(|n| model.saw(ms(n * 500), 2, None));
    assert_eq!(model.way(ms(8000), &gossip, 2).expect("seen").p50, None);
    assert_eq!(
        model.way(ms(8000) + LASTS, &gossip, 2),
        None,
        "past its age"
    );
    model.saw(ms(0), 99, Some(ms(1)));
    model.observed(ms(0), 99, ms(1), 9);
    assert_eq!(model.refused(), 2);
}

#[test]
fn fronts_tell_of_clients_and_only_their_own_region_hears() {
    let (mut model, mut gossip) = router(0, 6, 120, 1);
    model.observed(ms(0), 3, ms(40), 1000);
    let leg = model.leg(ms(0), &gossip, 3).expect("told");
    assert!((leg.p50.expect("back").as_secs_f64() / 0.040 - 1.0).abs() < 0.06);
    let mut said = Said::default();
    for (kind, part, body) in model.words(ms(0), &gossip) {
        gossip.publish(ms(0), kind, part, body, false);
    }
    gossip.record_peer(6, ms(0));
    (1..200).for_each(|n| gossip.tick(ms(n * 250), &mut said));
    let (mut here, mut there) = (router(6, 6, 120, 1).1, router(7, 6, 120, 1).1);
    for (_, bytes) in &said.0 {
        here.receive(ms(0), 0, bytes);
        there.receive(ms(0), 0, bytes);
    }
    assert_eq!(
        (
            here.messages(ms(0), LEGS).count(),
            there.messages(ms(0), LEGS).count()
        ),
        (1, 0)
    );
    assert_eq!(datagram(0, &[]).len(), 4);
}

proptest! {
    #[test]
    fn any_bytes_are_a_matrix_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..140)) {
        if let Some(cells) = decode(&bytes) {
            prop_assert_eq!(cells.len() * CELL, bytes.len());
        }
    }
}
