use super::*;
use chalkhall_gossip::gossip::{RouterIdentity, encode as datagram};
use chalkhall_gossip::{DatagramSender, Destination};
use proptest::prelude::*;

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

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Routers of several zones with known latencies between them, in simulated time.
struct Simulation {
    zones: usize,
    routers: Vec<(Model, Gossip)>,
    /// Median of each path in ms; `sigma` is the deviation of its logarithm.
    true_ms: Vec<Vec<f64>>,
    sigma: f64,
    rng: fastrand::Rng,
    liar: Option<usize>,
    loss: f64,
}

fn router(number: usize, zones: usize, routers: usize, incarnation: u32) -> (Model, Gossip) {
    let zone = (number % zones) as u8;
    let identity = RouterIdentity {
        number: number as u16,
        routers,
        zone,
        incarnation,
        seed: number as u64,
    };
    let gossip =
        Gossip::start(Duration::ZERO, identity, &KIND_POLICIES).expect("more than one router");
    (Model::new(number as u16, zone, zones), gossip)
}

impl Simulation {
    fn new(zones: usize, routers: usize, seed: u64) -> Simulation {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut true_ms = vec![vec![2.0; zones]; zones];
        for (from, row) in true_ms.iter_mut().enumerate() {
            let others = row.iter_mut().enumerate().filter(|(to, _)| *to != from);
            others.for_each(|(_, path)| *path = 5.0 + 60.0 * rng.f64());
        }
        let routers = (0..routers).map(|n| router(n, zones, routers, 1)).collect();
        Simulation {
            zones,
            routers,
            true_ms,
            sigma: 0.15,
            rng,
            liar: None,
            loss: 0.1,
        }
    }

    fn sample(&mut self, from: usize, to: usize) -> Duration {
        let normal: f64 = (0..12).map(|_| self.rng.f64()).sum::<f64>() - 6.0;
        Duration::from_secs_f64(self.true_ms[from][to] * (self.sigma * normal).exp() / 1e3)
    }

    fn until(&mut self, from: u64, to: u64) {
        for now in (from..to).step_by(10) {
            for n in 0..self.routers.len() {
                let (model, gossip) = &mut self.routers[n];
                let is_turn = (now / 10 + n as u64).is_multiple_of(10);
                let edges = if is_turn {
                    model.paths_to_probe(ms(now), gossip)
                } else {
                    Vec::new()
                };
                for edge in edges {
                    let path = self.sample(n % self.zones, edge);
                    self.routers[n].0.record_probe(ms(now), edge, Some(path));
                }
                if (now + n as u64 * 10).is_multiple_of(250) {
                    let (model, gossip) = &mut self.routers[n];
                    let mut messages = model.messages_to_publish(ms(now), gossip);
                    if self.liar == Some(n) {
                        let false_summary = SketchSummary {
                            count: 60.0,
                            lost: 0.0,
                            base: 100,
                            wide: false,
                            heights: [15; 16],
                        };
                        messages = (0..self.zones)
                            .map(|e| (PATHS, e as u8, false_summary.encode().to_vec()))
                            .collect();
                        let entry = MatrixEntry {
                            p50: Some(ms(1)),
                            p90: Some(ms(1)),
                            lost: 0.0,
                            uncertainty: 0.0,
                        };
                        messages.push((
                            MATRIX,
                            0,
                            super::encode_entries(&vec![Some(entry); self.zones]),
                        ));
                    }
                    messages.into_iter().for_each(|(kind, key, payload)| {
                        gossip.publish(ms(now), kind, key, payload, false)
                    });
                }
                let mut sent = SentDatagrams::default();
                self.routers[n].1.tick(ms(now), &mut sent);
                for (to, bytes) in sent.0 {
                    if self.rng.f64() >= self.loss {
                        self.routers[to as usize]
                            .1
                            .receive(ms(now), n as u64, &bytes);
                    }
                }
            }
        }
    }

    /// Mean errors of p50 and p90 over every path and all its honest routers; and how far the
    /// routers of one zone disagree on p50, as the mean deviation from their mean.
    fn errors(&self, now: u64) -> (f64, f64, f64) {
        let (mut e50, mut e90, mut disagreement, mut count, mut ways) = (0.0, 0.0, 0.0, 0.0, 0.0);
        for zone in 0..self.zones {
            for edge in 0..self.zones {
                let true_ms = self.true_ms[zone][edge];
                let true_p90 = true_ms * (1.2816 * self.sigma).exp();
                let mut estimates = Vec::new();
                for (n, (model, gossip)) in self.routers.iter().enumerate() {
                    if n % self.zones != zone || self.liar == Some(n) {
                        continue;
                    }
                    let Some(path) = model.path(ms(now), gossip, edge) else {
                        panic!("router {n} has no estimate for edge {edge}")
                    };
                    let ms =
                        |d: Option<Duration>| d.map_or(f64::INFINITY, |d| d.as_secs_f64() * 1e3);
                    e50 += (ms(path.p50) / true_ms - 1.0).abs();
                    e90 += (ms(path.p90) / true_p90 - 1.0).abs();
                    count += 1.0;
                    estimates.push(ms(path.p50));
                }
                let mean = estimates.iter().sum::<f64>() / estimates.len() as f64;
                disagreement += estimates
                    .iter()
                    .map(|b| (b / mean - 1.0).abs())
                    .sum::<f64>()
                    / estimates.len() as f64;
                ways += 1.0;
            }
        }
        (e50 / count, e90 / count, disagreement / ways)
    }
}

#[test]
fn five_seconds_after_a_step_change_all_routers_agree_on_the_new_latency() {
    for seed in [1, 2] {
        let mut simulation = Simulation::new(6, 120, seed);
        simulation.until(0, 8000);
        let before = simulation.errors(8000);
        simulation
            .true_ms
            .iter_mut()
            .flatten()
            .for_each(|path| *path *= 5.0);
        simulation.until(8000, 13_000);
        let up = simulation.errors(13_000);
        simulation
            .true_ms
            .iter_mut()
            .flatten()
            .for_each(|path| *path /= 5.0);
        simulation.until(13_000, 18_000);
        let down = simulation.errors(18_000);
        for (e50, e90, disagreement) in [before, up, down] {
            assert!(
                e50 <= 0.10 && e90 <= 0.20 && disagreement <= 0.05,
                "seed {seed}: {before:?} {up:?} {down:?}"
            );
        }
    }
}

#[test]
fn a_publisher_of_false_values_distorts_nothing_and_a_restart_counts_nothing_twice() {
    let mut simulation = Simulation::new(6, 120, 3);
    simulation.liar = Some(7);
    simulation.until(0, 6000);
    for n in (0..120).step_by(2).filter(|n| *n != 7) {
        simulation.routers[n] = router(n, 6, 120, 2);
    }
    simulation.until(6000, 11_000);
    let (e50, e90, disagreement) = simulation.errors(11_000);
    assert!(
        e50 <= 0.10 && e90 <= 0.20 && disagreement <= 0.05,
        "errors {e50} and {e90}, disagreement {disagreement}"
    );
    // The matrix as received by another zone.
    let (model, gossip) = &simulation.routers[0];
    for edge in 0..6 {
        let entry = model
            .matrix_entry(ms(11_000), gossip, 1, edge)
            .expect("an estimate");
        let error = (entry.p50.expect("answered probes").as_secs_f64() * 1e3
            / simulation.true_ms[1][edge]
            - 1.0)
            .abs();
        assert!(
            error <= 0.25,
            "edge {edge} of the liar's zone: error {error}"
        );
    }
}

#[test]
fn probing_costs_the_same_for_ten_routers_per_zone_and_two_hundred() {
    let count = |routers_per_zone: usize| {
        let mut all: Vec<_> = (0..routers_per_zone)
            .map(|n| router(n * 6, 6, routers_per_zone * 6, 1))
            .collect();
        for (_, gossip) in &mut all {
            (0..routers_per_zone).for_each(|m| gossip.record_peer(m as u16 * 6, ms(38_000)));
        }
        let mut found = 0;
        for now in (0..40_000).step_by(100) {
            found += all
                .iter_mut()
                .map(|(m, r)| m.paths_to_probe(ms(now), r).len())
                .sum::<usize>();
        }
        found as f64 / 40.0 / 6.0
    };
    let (few, many, alone) = (count(10), count(200), count(1));
    assert_eq!(
        (few, many, alone),
        (10.0, 10.0, 2.0),
        "probes per second and path"
    );
    // Routers that are not alive are not waited for: others probe their paths.
    let (mut model, mut gossip) = router(0, 6, 120, 1);
    (1..20).for_each(|n| gossip.record_peer(n * 6, ms(0)));
    assert!(model.paths_to_probe(ms(1000), &gossip).len() < 6);
    assert_eq!(model.paths_to_probe(ms(6000), &gossip).len(), 6);
}

#[test]
fn an_edge_that_stops_answering_is_unknown_or_lost_but_never_fast() {
    let (mut model, gossip) = router(0, 6, 120, 1);
    (0..10).for_each(|n| model.record_probe(ms(n * 500), 2, Some(ms(5))));
    assert!(
        model
            .path(ms(5000), &gossip, 2)
            .expect("a sample")
            .p50
            .is_some()
    );
    (10..16).for_each(|n| model.record_probe(ms(n * 500), 2, None));
    assert_eq!(
        model.path(ms(8000), &gossip, 2).expect("a sample").p50,
        None
    );
    assert_eq!(model.path(ms(8000) + LIFETIME, &gossip, 2), None, "expired");
    model.record_probe(ms(0), 99, Some(ms(1)));
    model.record_client_samples(ms(0), 99, ms(1), 9);
    assert_eq!(model.rejected(), 2);
}

#[test]
fn samples_from_fronts_are_published_only_within_their_own_zone() {
    let (mut model, mut gossip) = router(0, 6, 120, 1);
    model.record_client_samples(ms(0), 3, ms(40), 1000);
    let client_path = model.client_path(ms(0), &gossip, 3).expect("an estimate");
    assert!((client_path.p50.expect("answered probes").as_secs_f64() / 0.040 - 1.0).abs() < 0.06);
    let mut sent = SentDatagrams::default();
    for (kind, key, payload) in model.messages_to_publish(ms(0), &gossip) {
        gossip.publish(ms(0), kind, key, payload, false);
    }
    gossip.record_peer(6, ms(0));
    (1..200).for_each(|n| gossip.tick(ms(n * 250), &mut sent));
    let (mut local, mut remote) = (router(6, 6, 120, 1).1, router(7, 6, 120, 1).1);
    for (_, bytes) in &sent.0 {
        local.receive(ms(0), 0, bytes);
        remote.receive(ms(0), 0, bytes);
    }
    assert_eq!(
        (
            local.messages(ms(0), CLIENT_PATHS).count(),
            remote.messages(ms(0), CLIENT_PATHS).count()
        ),
        (1, 0)
    );
    assert_eq!(datagram(0, &[]).len(), 4);
}

proptest! {
    #[test]
    fn decoding_accepts_only_whole_matrix_entries(bytes in prop::collection::vec(any::<u8>(), 0..140)) {
        if let Some(entries) = decode_entries(&bytes) {
            prop_assert_eq!(entries.len() * ENTRY_BYTES, bytes.len());
        }
    }
}
