//! Adjusts the weight of each cache of the zone in the hash, relative to its capacity, so that load
//! is even. The hash distributes objects, not work: the most popular objects lie where they hash
//! to, and one cache of four permanently has a third more load than the others. One router of
//! twenty sees too few requests to tell that from chance; together they see it.
//!
//! Each period a router reports to its peers the work that it sent to each cache. Every router adds
//! up the reports over [`MEMORY_PERIODS`] and moves each cache's weight a little against its excess
//! load. Weights move objects by the hash, so routers with the same reports move the same objects,
//! to the cache that each hashes to next. [`GAIN`] is small compared with the memory, so that
//! routers acting on the same reports do not oscillate.
//!
//! Nothing depends on a peer. Without reports a router adjusts weights by what it sent itself,
//! which is little; if that is too little for a conclusion, its adjustments decay to none. No
//! report moves a weight past [`MAX_WEIGHT_FACTOR`], so a false one costs evenness within that
//! bound and breaks no rule: which caches may be sent to, and how much, is decided where every
//! attempt passes.

use crate::codec::{Load, cache_tag};
use chalkhall::interface::Id;
use std::collections::BTreeMap;

/// Periods over which work is remembered: each period, one part in that many is forgotten.
pub const MEMORY_PERIODS: f64 = 10.0;
/// Share of a weight's error that is corrected per period: a value well under 1/[`MEMORY_PERIODS`]
/// would be slow, one above it would oscillate.
pub const GAIN: f64 = 0.08;
/// Largest ratio of a weight to the capacity; its reciprocal is the smallest.
pub const MAX_WEIGHT_FACTOR: f64 = 2.0;
/// Remembered requests per cache, over all reports, below which nothing is concluded.
const MIN_REQUESTS_PER_CACHE: f64 = 10.0;

/// Receives the adjusted weights.
pub trait WeightReceiver {
    /// Sets a cache's weight to its capacity times e to the power of `log_factor`; 0 leaves the
    /// configured weight.
    fn set_weight(&mut self, cache: &Id, log_factor: f64);
}

#[derive(Debug)]
struct Cache {
    name: Id,
    capacity: f64,
    /// Remembered work, in seconds at a client's rate, and the number of its requests.
    work: f64,
    requests: f64,
    log_factor: f64,
}

/// Remembered work by cache, and the weights that follow from it.
#[derive(Debug, Default)]
pub struct WeightBalancer {
    /// By tag. `None` where two caches have the same tag: those keep their own weights.
    caches: BTreeMap<u8, Option<Cache>>,
    /// Work and requests sent by this router since the last period.
    sent: BTreeMap<u8, (f64, f64)>,
}

impl WeightBalancer {
    /// Replaces the caches whose load is to be evened out, with their capacities: those of the zone
    /// that are present and warm.
    pub fn set_caches(&mut self, caches: impl Iterator<Item = (Id, f64)>) {
        let mut previous = std::mem::take(&mut self.caches);
        for (name, capacity) in caches {
            let tag = cache_tag(&name);
            let same = previous
                .remove(&tag)
                .flatten()
                .filter(|cache| cache.name == name);
            let cache = match same {
                Some(cache) => Cache { capacity, ..cache },
                None => Cache {
                    name,
                    capacity,
                    work: 0.0,
                    requests: 0.0,
                    log_factor: 0.0,
                },
            };
            self.caches
                .entry(tag)
                .and_modify(|existing| *existing = None)
                .or_insert(Some(cache));
        }
        let caches = &self.caches;
        self.sent
            .retain(|tag, _| matches!(caches.get(tag), Some(Some(_))));
    }

    /// Each cache's weight divided by its capacity.
    pub fn weights(&self) -> impl Iterator<Item = (&Id, f64)> {
        self.caches
            .values()
            .flatten()
            .map(|cache| (&cache.name, cache.log_factor.exp()))
    }

    /// Records work sent to a cache by this router.
    pub fn record_sent(&mut self, cache: &Id, work: f64) {
        let tag = cache_tag(cache);
        if matches!(self.caches.get(&tag), Some(Some(_))) {
            let (sum, count) = self.sent.entry(tag).or_default();
            (*sum, *count) = (*sum + work, *count + 1.0);
        }
    }

    /// Ends a period: sets the new weights, and returns the loads to be reported.
    pub fn tick(&mut self, receiver: &mut dyn WeightReceiver) -> Vec<Load> {
        let sent = std::mem::take(&mut self.sent);
        let reported = sent
            .iter()
            .map(|(tag, (work, count))| Load::new(*tag, *work, *count))
            .collect();
        self.add_loads(
            sent.into_iter()
                .map(|(tag, (work, count))| (tag, work, count)),
        );
        let mut caches: Vec<&mut Cache> = self.caches.values_mut().flatten().collect();
        let (work, requests, capacity) =
            caches
                .iter()
                .fold((0.0, 0.0, 0.0), |(work, requests, capacity), cache| {
                    (
                        work + cache.work,
                        requests + cache.requests,
                        capacity + cache.capacity,
                    )
                });
        let is_known = requests >= MIN_REQUESTS_PER_CACHE * caches.len() as f64
            && work > 0.0
            && capacity > 0.0;
        for cache in &mut caches {
            cache.log_factor = if is_known {
                let relative_load = cache.work / cache.capacity.max(1e-9) / (work / capacity);
                cache.log_factor - GAIN * relative_load.clamp(0.25, 4.0).ln()
            } else {
                cache.log_factor * (1.0 - GAIN)
            };
        }
        // Only the differences between weights matter: their mean is kept in place.
        let mean =
            caches.iter().map(|cache| cache.log_factor).sum::<f64>() / caches.len().max(1) as f64;
        for cache in caches {
            cache.log_factor =
                (cache.log_factor - mean).clamp(-MAX_WEIGHT_FACTOR.ln(), MAX_WEIGHT_FACTOR.ln());
            (cache.work, cache.requests) = (
                cache.work * (1.0 - 1.0 / MEMORY_PERIODS),
                cache.requests * (1.0 - 1.0 / MEMORY_PERIODS),
            );
            receiver.set_weight(&cache.name, cache.log_factor);
        }
        reported
    }

    /// Adds the loads that a peer reports for its last period, scaled down to at most the work that
    /// the zone could have done in ten periods.
    pub fn receive(&mut self, loads: &[Load], period: f64) {
        let capacity: f64 = self
            .caches
            .values()
            .flatten()
            .map(|cache| cache.capacity)
            .sum();
        let max_work = 10.0 * period * capacity;
        let total_work: f64 = loads.iter().map(Load::work_seconds).sum();
        let scale = if total_work > max_work {
            max_work / total_work
        } else {
            1.0
        };
        self.add_loads(loads.iter().map(|load| {
            (
                load.cache,
                load.work_seconds() * scale,
                f64::from(load.requests),
            )
        }));
    }

    fn add_loads(&mut self, loads: impl Iterator<Item = (u8, f64, f64)>) {
        for (tag, work, count) in loads {
            if let Some(Some(cache)) = self.caches.get_mut(&tag) {
                (cache.work, cache.requests) = (cache.work + work, cache.requests + count);
            }
        }
    }
}

#[cfg(test)]
mod tests;
