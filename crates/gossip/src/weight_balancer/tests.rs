use super::*;
use proptest::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

#[derive(Default)]
struct Weights(BTreeMap<Id, f64>);

impl WeightReceiver for Weights {
    fn set_weight(&mut self, cache: &Id, log_factor: f64) {
        self.0.insert(cache.clone(), log_factor);
    }
}

fn names(count: usize) -> Vec<Id> {
    (0..count)
        .map(|n| Id::from(format!("cache-{n}").as_str()))
        .collect()
}

fn balancer(count: usize) -> WeightBalancer {
    let mut balancer = WeightBalancer::default();
    balancer.set_caches(names(count).into_iter().map(|name| (name, 4.0)));
    balancer
}

fn preferred_cache(weights: &Weights, key: u64, count: usize) -> usize {
    let draw = |n: usize| {
        let drawn = (xxh3_64_with_seed(&key.to_be_bytes(), n as u64) as f64 + 1.0) / 2f64.powi(64);
        -drawn.ln()
            / weights
                .0
                .get(&names(count)[n])
                .copied()
                .unwrap_or(0.0)
                .exp()
    };
    (0..count)
        .min_by(|a, b| draw(*a).total_cmp(&draw(*b)))
        .expect("caches")
}

/// Simulates routers that share a zone and its work, popular objects included; datagrams may be
/// lost. Returns the load of the busiest cache over the mean in the last ten seconds, with the
/// adjusted weights and without, and the largest weight by period.
fn peak_loads(routers: usize, loss: f64, seed: u64, has_liar: bool) -> (f64, f64, Vec<f64>) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let count = 4;
    let mut all: Vec<(WeightBalancer, Weights)> = (0..routers)
        .map(|_| (balancer(count), Weights::default()))
        .collect();
    let popular: Vec<f64> = (1..400).map(|n| (n as f64).powf(-0.8)).collect();
    let sum: f64 = popular.iter().sum();
    let (mut with, mut without, mut history) = (vec![0.0; count], vec![0.0; count], Vec::new());
    for period in 0..80 {
        for _ in 0..60 {
            let (mut at, mut key) = (rng.f64() * sum, 0);
            while at > popular[key] && key + 1 < popular.len() {
                at -= popular[key];
                key += 1;
            }
            let router = rng.usize(..routers);
            let key = key as u64 ^ seed << 20;
            let (chosen, unadjusted) = (
                preferred_cache(&all[router].1, key, count),
                preferred_cache(&Weights::default(), key, count),
            );
            all[router].0.record_sent(&names(count)[chosen], 0.08);
            if period >= 60 {
                (with[chosen], without[unadjusted]) =
                    (with[chosen] + 1.0, without[unadjusted] + 1.0);
            }
        }
        for router in 0..routers {
            let (balancer, weights) = &mut all[router];
            let mut reported = balancer.tick(weights);
            if has_liar && router == 0 {
                reported = vec![Load::new(cache_tag(&names(count)[0]), 60.0, 200.0)];
            }
            for other in (0..routers).filter(|other| *other != router) {
                if rng.f64() >= loss {
                    all[other].0.receive(&reported, 0.5);
                }
            }
        }
        history.push(all[1].1.0.values().copied().fold(0.0, f64::max));
    }
    let peak = |loads: &[f64]| {
        loads.iter().copied().fold(0.0, f64::max) * loads.len() as f64 / loads.iter().sum::<f64>()
    };
    (peak(&with), peak(&without), history)
}

#[test]
fn routers_together_even_out_the_load_of_uneven_popularity() {
    let seeds = 1..=6;
    let (mut with, mut without) = (0.0, 0.0);
    for seed in seeds.clone() {
        for loss in [0.0, 0.3] {
            let (a, b, history) = peak_loads(6, loss, seed, false);
            (with, without) = (with + a, without + b);
            assert!(
                a < 1.25,
                "seed {seed}, {loss} lost: {a:.3} (the plain hash {b:.3})"
            );
            // The weights converge: over the last ten seconds they move by less than 0.15.
            let late = &history[60..];
            let moves = late.iter().fold(0.0, |m: f64, log_factor| {
                m.max((log_factor - late[0]).abs())
            });
            assert!(moves < 0.15, "seed {seed}: weights move by {moves:.3}");
        }
    }
    assert!(
        with / 12.0 < without / 12.0 - 0.1,
        "{:.3} with adjusted weights, {:.3} without",
        with / 12.0,
        without / 12.0
    );
}

#[test]
fn a_lying_peer_moves_weights_no_further_than_their_bound() {
    for seed in 1..4 {
        let (_, _, history) = peak_loads(6, 0.0, seed, true);
        assert!(
            history
                .iter()
                .all(|log_factor| *log_factor <= MAX_WEIGHT_FACTOR.ln() + 1e-9),
            "{history:?}"
        );
    }
}

#[test]
fn weights_stay_at_the_capacity_with_no_peer_and_few_requests() {
    let (mut balancer, mut weights) = (balancer(4), Weights::default());
    for _ in 0..100 {
        balancer.record_sent(&names(4)[0], 0.1);
        balancer.tick(&mut weights);
    }
    assert!(
        weights.0.values().all(|log_factor| *log_factor == 0.0),
        "{weights:?}",
        weights = weights.0
    );
}

#[test]
fn removed_caches_are_forgotten_and_new_ones_start_at_their_capacity() {
    let (mut balancer, mut weights) = (balancer(3), Weights::default());
    for _ in 0..20 {
        (0..60).for_each(|_| balancer.record_sent(&names(3)[0], 0.1));
        balancer.tick(&mut weights);
    }
    assert!(weights.0[&names(3)[0]] < -0.2, "{:?}", weights.0);
    balancer.set_caches(names(4).into_iter().skip(1).map(|name| (name, 4.0)));
    balancer.record_sent(&names(3)[0], 0.1);
    let mut weights = Weights::default();
    assert!(
        balancer.tick(&mut weights).is_empty(),
        "nothing is reported about a removed cache"
    );
    assert!(!weights.0.contains_key(&names(3)[0]) && weights.0.len() == 3);
}

proptest! {
    #[test]
    fn any_reports_leave_weights_finite_bounded_and_balanced(
        reports in prop::collection::vec((any::<u8>(), any::<u16>(), any::<u8>(), any::<bool>()), 1..200),
    ) {
        let (mut balancer, mut weights) = (balancer(5), Weights::default());
        for (cache, work, requests, tick) in reports {
            balancer.receive(&[Load { cache, work_ms: work, requests }], 0.5);
            if tick {
                prop_assert!(balancer.tick(&mut weights).is_empty());
            }
            prop_assert!(weights.0.values().all(|log_factor| log_factor.is_finite() && log_factor.abs() <= MAX_WEIGHT_FACTOR.ln() + 1e-9));
        }
    }
}
