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
            let same = before
                .remove(&mark)
                .flatten()
                .filter(|cache| cache.name == name);
            let cache = match same {
                Some(cache) => Cache { capacity, ..cache },
                None => Cache {
                    name,
                    capacity,
                    work: 0.0,
                    seen: 0.0,
                    by: 0.0,
                },
            };
            self.caches
                .entry(mark)
                .and_modify(|taken| *taken = None)
                .or_insert(Some(cache));
        }
        let caches = &self.caches;
        self.sent
            .retain(|mark, _| matches!(caches.get(mark), Some(Some(_))));
    }

    /// Each cache's weight over its capacity.
    pub fn weights(&self) -> impl Iterator<Item = (&Id, f64)> {
        self.caches
            .values()
            .flatten()
            .map(|cache| (&cache.name, cache.by.exp()))
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
        let told = sent
            .iter()
            .map(|(mark, (work, count))| Load::new(*mark, *work, *count))
            .collect();
        self.add(
            sent.into_iter()
                .map(|(mark, (work, count))| (mark, work, count)),
        );
        let mut caches: Vec<&mut Cache> = self.caches.values_mut().flatten().collect();
        let (work, seen, capacity) =
            caches
                .iter()
                .fold((0.0, 0.0, 0.0), |(work, seen, capacity), cache| {
                    (
                        work + cache.work,
                        seen + cache.seen,
                        capacity + cache.capacity,
                    )
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
            (cache.work, cache.seen) = (
                cache.work * (1.0 - 1.0 / MEMORY),
                cache.seen * (1.0 - 1.0 / MEMORY),
            );
            ear.lean(&cache.name, cache.by);
        }
        told
    }

    /// What a peer sent in its last period. No more of it counts than the zone could have done in ten.
    pub fn heard(&mut self, loads: &[Load], period: f64) {
        let capacity: f64 = self
            .caches
            .values()
            .flatten()
            .map(|cache| cache.capacity)
            .sum();
        let most = 10.0 * period * capacity;
        let all: f64 = loads.iter().map(Load::work).sum();
        let part = if all > most { most / all } else { 1.0 };
        self.add(
            loads
                .iter()
                .map(|load| (load.cache, load.work() * part, f64::from(load.count))),
        );
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
mod tests;
