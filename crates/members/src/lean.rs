//! How much more or less than its capacity each cache of the zone is to draw from the hash, so that load
//! lies even. The hash shares out objects, not work: what is wanted most lies where it falls, and one cache
//! of four has a third more than the others for good. One router of twenty sees too little to tell that from
//! chance; together they see it.
//!
//! Each period a router tells its peers the work it sent to each cache. All add up what they hear over
//! [`MEMORY`] and turn each cache's weight in the hash a little against what it has too much of. Weights move
//! objects by the hash, so routers that heard the same move the same ones, to wherever each hashes next;
//! [`GAIN`] is small against the memory, so that the same word heard by all makes nobody swing.
//!
//! Nothing rests on a peer: with none heard a router leans by what it sent itself, which is little, and back
//! to nothing where it sends too little to tell. No word moves a weight past [`MOST`], so a lie costs
//! evenness within that, never a rule: who may be sent to, and how much, is decided where every send passes.

use crate::codec::{Load, mark};
use chalkhall::interface::Id;
use std::collections::BTreeMap;

/// Periods over which work is remembered: a part of what is held goes with each.
pub const MEMORY: f64 = 10.0;
/// Share of what a weight is off by that one period turns: well under 1/[`MEMORY`] would be slow, over it
/// would swing.
pub const GAIN: f64 = 0.08;
/// A weight is at most this multiple of the capacity, and at least one through it.
pub const MOST: f64 = 2.0;
/// Requests remembered a cache, of all that are heard, from which anything is concluded.
const LEAST_SEEN: f64 = 10.0;

/// Takes the weights.
pub trait Leaning {
    /// A cache draws by its capacity times e to the power of `by`; 0: as told.
    fn lean(&mut self, cache: &Id, by: f64);
}

#[derive(Debug)]
struct Cache {
    name: Id,
    capacity: f64,
    /// Work remembered, in seconds at a client's pace, and how many requests it was.
    work: f64,
    seen: f64,
    by: f64,
}

#[derive(Debug, Default)]
pub struct Lean {
    /// By mark; none where two caches have the same: those keep their own weights.
    caches: BTreeMap<u8, Option<Cache>>,
    /// Sent by this router since the last period: work and requests.
    sent: BTreeMap<u8, (f64, f64)>,
}

impl Lean {
    /// The caches to be evened out, anew, with their capacities: those of the zone that are there and
    /// warm.
    pub fn caches(&mut self, caches: impl Iterator<Item = (Id, f64)>) {
        let mut before = std::mem::take(&mut self.caches);
        for (name, capacity) in caches {
            let mark = mark(&name);
            let same = before.remove(&mark).flatten().filter(|cache| cache.name == name);
            let cache = match same {
                Some(cache) => Cache { capacity, ..cache },
                None => Cache { name, capacity, work: 0.0, seen: 0.0, by: 0.0 },
            };
            self.caches.entry(mark).and_modify(|taken| *taken = None).or_insert(Some(cache));
        }
        let caches = &self.caches;
        self.sent.retain(|mark, _| matches!(caches.get(mark), Some(Some(_))));
    }

    /// Each cache's weight over its capacity.
    pub fn weights(&self) -> impl Iterator<Item = (&Id, f64)> {
        self.caches.values().flatten().map(|cache| (&cache.name, cache.by.exp()))
    }

    /// This router has sent a cache so much work.
    pub fn sent(&mut self, cache: &Id, work: f64) {
        let mark = mark(cache);
        if matches!(self.caches.get(&mark), Some(Some(_))) {
            let (sum, count) = self.sent.entry(mark).or_default();
            (*sum, *count) = (*sum + work, *count + 1.0);
        }
    }

    /// A period has passed: what is to be told, and the weights from now on.
    pub fn tick(&mut self, ear: &mut dyn Leaning) -> Vec<Load> {
        let sent = std::mem::take(&mut self.sent);
        let told = sent.iter().map(|(mark, (work, count))| Load::new(*mark, *work, *count)).collect();
        self.add(sent.into_iter().map(|(mark, (work, count))| (mark, work, count)));
        let mut caches: Vec<&mut Cache> = self.caches.values_mut().flatten().collect();
        let (work, seen, capacity) = caches.iter().fold((0.0, 0.0, 0.0), |(work, seen, capacity), cache| {
            (work + cache.work, seen + cache.seen, capacity + cache.capacity)
        });
        let known = seen >= LEAST_SEEN * caches.len() as f64 && work > 0.0 && capacity > 0.0;
        for cache in &mut caches {
            cache.by = if known {
                let over = cache.work / cache.capacity.max(1e-9) / (work / capacity);
                cache.by - GAIN * over.clamp(0.25, 4.0).ln()
            } else {
                cache.by * (1.0 - GAIN)
            };
        }
        // Only how weights differ means anything: their mean stays where it was.
        let mean = caches.iter().map(|cache| cache.by).sum::<f64>() / caches.len().max(1) as f64;
        for cache in caches {
            cache.by = (cache.by - mean).clamp(-MOST.ln(), MOST.ln());
            (cache.work, cache.seen) = (cache.work * (1.0 - 1.0 / MEMORY), cache.seen * (1.0 - 1.0 / MEMORY));
            ear.lean(&cache.name, cache.by);
        }
        told
    }

    /// What a peer sent in its last period. No more of it counts than the zone could have done in ten.
    pub fn heard(&mut self, loads: &[Load], period: f64) {
        let capacity: f64 = self.caches.values().flatten().map(|cache| cache.capacity).sum();
        let most = 10.0 * period * capacity;
        let all: f64 = loads.iter().map(Load::work).sum();
        let part = if all > most { most / all } else { 1.0 };
        self.add(loads.iter().map(|load| (load.cache, load.work() * part, f64::from(load.count))));
    }

    fn add(&mut self, loads: impl Iterator<Item = (u8, f64, f64)>) {
        for (mark, work, count) in loads {
            if let Some(Some(cache)) = self.caches.get_mut(&mark) {
                (cache.work, cache.seen) = (cache.work + work, cache.seen + count);
            }
        }
    }
}

#[cfg(test)]
mod tests {
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
        (0..count).map(|n| Id::from(format!("cache-{n}").as_str())).collect()
    }

    fn lean(count: usize) -> Lean {
        let mut lean = Lean::default();
        lean.caches(names(count).into_iter().map(|name| (name, 4.0)));
        lean
    }

    fn places(weights: &Weights, key: u64, count: usize) -> usize {
        let draw = |n: usize| {
            let drawn = (xxh3_64_with_seed(&key.to_be_bytes(), n as u64) as f64 + 1.0) / 2f64.powi(64);
            -drawn.ln() / weights.0.get(&names(count)[n]).copied().unwrap_or(0.0).exp()
        };
        (0..count).min_by(|a, b| draw(*a).total_cmp(&draw(*b))).expect("caches")
    }

    /// Routers that share a zone and its work, all popular objects included; datagrams may be lost. The
    /// busiest cache over the mean in the last ten seconds, with the weights at work and without.
    fn peaks(routers: usize, loses: f64, seed: u64, liar: bool) -> (f64, f64, Vec<f64>) {
        let mut chance = fastrand::Rng::with_seed(seed);
        let count = 4;
        let mut all: Vec<(Lean, Weights)> = (0..routers).map(|_| (lean(count), Weights::default())).collect();
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
                let (place, plain) =
                    (places(&all[router].1, key, count), places(&Weights::default(), key, count));
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
                assert!(a < 1.25, "seed {seed}, {loses} lost: {a:.3} (the plain hash {b:.3})");
                // Once there, weights stay: the last ten seconds move them by less than a tenth.
                let late = &track[60..];
                let moves = late.iter().fold(0.0, |m: f64, by| m.max((by - late[0]).abs()));
                assert!(moves < 0.15, "seed {seed}: weights move by {moves:.3}");
            }
        }
        assert!(with / 12.0 < without / 12.0 - 0.1, "{:.3} against {:.3}", with / 12.0, without / 12.0);
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
        assert!(weights.0.values().all(|by| *by == 0.0), "{weights:?}", weights = weights.0);
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
        assert!(lean.tick(&mut weights).is_empty(), "nothing is told of who is gone");
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
}
