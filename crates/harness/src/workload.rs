//! The workload of a run, drawn from its seed in advance: when, at which router and for which object
//! each request arrives. It is open-loop: nothing that routers do delays later requests, which avoids
//! coordinated omission.

use crate::object_cache::Key;
use crate::scenario::{FaultKind, Scenario};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    pub at: Duration,
    /// The router that serves this client unless it is down.
    pub router: usize,
    pub key: Key,
    pub kb: f64,
    pub write: bool,
    /// The client waits for the retry-after time that it is given.
    pub honors_retry_after: bool,
}

/// Upper bound of an object's size over the mean size.
const MAX_SIZE_MULTIPLE: f64 = 6.0;

/// The id of an object by its popularity rank.
pub fn object_id(seed: u64, popularity_rank: usize) -> u64 {
    xxh3_64_with_seed(&(popularity_rank as u64).to_be_bytes(), seed)
}

/// The size of an object, which depends on its id only.
pub fn object_kb(object_id: u64, mean: f64) -> f64 {
    let drawn = (xxh3_64_with_seed(&object_id.to_be_bytes(), 5) as f64 + 1.0) / 2f64.powi(64);
    (-drawn.ln()).clamp(0.02, MAX_SIZE_MULTIPLE) * mean
}

/// Shares of the requests by router; they add up to 1. Most routers get less than the mean, a few
/// several times it.
pub fn router_shares(routers: usize, peak_to_mean: f64, seed: u64) -> Vec<f64> {
    let mut rng = fastrand::Rng::with_seed(seed ^ 0x5eed);
    let mut weights: Vec<f64> = (0..routers)
        .map(|_| 0.5 + (peak_to_mean - 0.5).max(0.0) * rng.f64().powi(8))
        .collect();
    let busiest = rng.usize(..routers);
    let mean = weights.iter().sum::<f64>() / routers as f64;
    weights[busiest] = peak_to_mean.max(1.0) * mean;
    let sum: f64 = weights.iter().sum();
    weights.iter().map(|weight| weight / sum).collect()
}

/// Cumulative weights of a distribution, to draw from it.
pub struct CumulativeWeights(Vec<f64>);

impl CumulativeWeights {
    pub fn new(weights: impl Iterator<Item = f64>) -> CumulativeWeights {
        let sums = weights.scan(0.0, |sum, weight| {
            *sum += weight;
            Some(*sum)
        });
        CumulativeWeights(sums.collect())
    }

    pub fn draw(&self, rng: &mut fastrand::Rng) -> usize {
        let at = rng.f64() * self.0.last().copied().unwrap_or(0.0);
        self.0
            .partition_point(|sum| *sum <= at)
            .min(self.0.len().saturating_sub(1))
    }
}

/// Zipf distribution over popularity ranks.
pub fn popularity_weights(scenario: &Scenario) -> CumulativeWeights {
    CumulativeWeights::new(
        (1..=scenario.workload.objects)
            .map(|popularity_rank| (popularity_rank as f64).powf(-scenario.workload.zipf_exponent)),
    )
}

/// The zone of a router; routers are assigned round-robin.
pub fn zone_of(router: usize, scenario: &Scenario) -> usize {
    router % scenario.fleet.zones
}

/// All requests, ordered by time.
pub fn arrivals(scenario: &Scenario, seed: u64) -> Vec<Arrival> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let (workload, fleet) = (&scenario.workload, &scenario.fleet);
    let routers = CumulativeWeights::new(
        router_shares(fleet.routers, workload.peak_to_mean, seed).into_iter(),
    );
    let objects = popularity_weights(scenario);
    let (mut now, mut all) = (0.0, Vec::new());
    loop {
        now += -(1.0 - rng.f64()).ln() / workload.requests_per_s;
        let at = Duration::from_secs_f64(now);
        if at >= workload.duration {
            return all;
        }
        let (mut router, mut popularity_rank) = (routers.draw(&mut rng), objects.draw(&mut rng));
        let (write, honors_retry_after) = (
            rng.f64() < workload.write_share,
            rng.f64() < workload.retry_after_share,
        );
        let hot_draw = rng.f64();
        for fault in scenario
            .faults
            .iter()
            .filter(|f| (f.start..f.start + f.duration).contains(&at))
        {
            match fault.kind {
                FaultKind::Hot(share) if hot_draw < share => {
                    popularity_rank = workload.objects + at.as_secs() as usize
                }
                FaultKind::Shift(from, to) if zone_of(router, scenario) == from => {
                    router = (router - from + to).min(fleet.routers - 1);
                }
                _ => {}
            }
        }
        let object_id = object_id(seed, popularity_rank);
        all.push(Arrival {
            at,
            router,
            key: (object_id, 0),
            kb: object_kb(object_id, workload.mean_object_kb),
            write,
            honors_retry_after,
        });
    }
}

#[cfg(test)]
mod tests;
