use super::*;
use proptest::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

#[derive(Default)]
struct Weights(BTreeMap<Id, f64>);

impl Leaning for Weights {
    fn lean(&mut self, cache: &Id, by: f64) {
        self.0.insert(cache.clone(), by);
    }
}

fn names(count: usize) -> Vec<Id> {
    (0..count)
        .map(|n| Id::from(format!("cache-{n}").as_str()))
        .collect()
}

fn lean(count: usize) -> Lean {
    let mut lean = Lean::default();
    lean.caches(names(count).into_iter().map(|name| (name, 4.0)));
    lean
}

fn places(weights: &Weights, key: u64, count: usize) -> usize {
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

/// Routers that share a zone and its work, all popular objects included; datagrams may be lost. The
/// busiest cache over the mean in the last ten seconds, with the weights at work and without.
fn peaks(routers: usize, loses: f64, seed: u64, liar: bool) -> (f64, f64, Vec<f64>) {
    let mut chance = fastrand::Rng::with_seed(seed);
    let count = 4;
    let mut all: Vec<(Lean, Weights)> = (0..routers)
        .map(|_| (lean(count), Weights::default()))
        .collect();
    let popular: Vec<f64> = (1..400).map(|n| (n as f64).powf(-0.8)).collect();
    let sum: f64 = popular.iter().sum();
    let (mut with, mut without, mut track) = (vec![0.0; count], vec![0.0; count], Vec::new());
    for period in 0..80 {
        for _ in 0..60 {
            let (mut at, mut key) = (chance.f64() * sum, 0);
            while at > popular[key] && key + 1 < popular.len() {
                at -= popular[key];
                key += 1;
            }
            let router = chance.usize(..routers);
            let key = key as u64 ^ seed << 20;
            let (place, plain) = (
                places(&all[router].1, key, count),
                places(&Weights::default(), key, count),
            );
            all[router].0.sent(&names(count)[place], 0.08);
            if period >= 60 {
                (with[place], without[plain]) = (with[place] + 1.0, without[plain] + 1.0);
            }
        }
        for router in 0..routers {
            let (lean, weights) = &mut all[router];
            let mut told = lean.tick(weights);
            if liar && router == 0 {
                told = vec![Load::new(mark(&names(count)[0]), 60.0, 200.0)];
            }
            for other in (0..routers).filter(|other| *other != router) {
                if chance.f64() >= loses {
                    all[other].0.heard(&told, 0.5);
                }
            }
        }
        track.push(all[1].1.0.values().copied().fold(0.0, f64::max));
    }
    let peak = |loads: &[f64]| {
        loads.iter().copied().fold(0.0, f64::max) * loads.len() as f64 / loads.iter().sum::<f64>()
    };
    (peak(&with), peak(&without), track)
}

#[test]
fn uneven_popularity_is_evened_out_by_all_together() {
    let seeds = 1..=6;
    let (mut with, mut without) = (0.0, 0.0);
    for seed in seeds.clone() {
        for loses in [0.0, 0.3] {
            let (a, b, track) = peaks(6, loses, seed, false);
            (with, without) = (with + a, without + b);
            assert!(
                a < 1.25,
                "seed {seed}, {loses} lost: {a:.3} (the plain hash {b:.3})"
            );
            // Once there, weights stay: the last ten seconds move them by less than a tenth.
            let late = &track[60..];
            let moves = late
                .iter()
                .fold(0.0, |m: f64, by| m.max((by - late[0]).abs()));
            assert!(moves < 0.15, "seed {seed}: weights move by {moves:.3}");
        }
    }
    assert!(
        with / 12.0 < without / 12.0 - 0.1,
        "{:.3} against {:.3}",
        with / 12.0,
        without / 12.0
    );
}

#[test]
fn a_lie_moves_weights_no_further_than_their_bound() {
    for seed in 1..4 {
        let (_, _, track) = peaks(6, 0.0, seed, true);
        assert!(track.iter().all(|by| *by <= MOST.ln() + 1e-9), "{track:?}");
    }
}

#[test]
fn alone_and_with_little_to_tell_weights_stay_as_told() {
    let (mut lean, mut weights) = (lean(4), Weights::default());
    for _ in 0..100 {
        lean.sent(&names(4)[0], 0.1);
        lean.tick(&mut weights);
    }
    assert!(
        weights.0.values().all(|by| *by == 0.0),
        "{weights:?}",
        weights = weights.0
    );
}

#[test]
fn what_is_not_listed_any_more_is_forgotten_and_a_new_one_begins_even() {
    let (mut lean, mut weights) = (lean(3), Weights::default());
    for _ in 0..20 {
        (0..60).for_each(|_| lean.sent(&names(3)[0], 0.1));
        lean.tick(&mut weights);
    }
    assert!(weights.0[&names(3)[0]] < -0.2, "{:?}", weights.0);
    lean.caches(names(4).into_iter().skip(1).map(|name| (name, 4.0)));
    lean.sent(&names(3)[0], 0.1);
    let mut weights = Weights::default();
    assert!(
        lean.tick(&mut weights).is_empty(),
        "nothing is told of who is gone"
    );
    assert!(!weights.0.contains_key(&names(3)[0]) && weights.0.len() == 3);
}

proptest! {
    #[test]
    fn whatever_is_heard_weights_are_finite_bounded_and_balanced(
        words in prop::collection::vec((any::<u8>(), any::<u16>(), any::<u8>(), any::<bool>()), 1..200),
    ) {
        let (mut lean, mut weights) = (lean(5), Weights::default());
        for (cache, work, count, tick) in words {
            lean.heard(&[Load { cache, work_ms: work, count }], 0.5);
            if tick {
                prop_assert!(lean.tick(&mut weights).is_empty());
            }
            prop_assert!(weights.0.values().all(|by| by.is_finite() && by.abs() <= MOST.ln() + 1e-9));
        }
    }
}
