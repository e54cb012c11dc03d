//! The work of a play, drawn from its seed before it begins: who asks which router for what, and when.
//! Open-loop: nothing that routers do delays what comes next (coordinated omission).

use crate::copies::Key;
use crate::play::{Play, What};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    pub at: Duration,
    /// The router that the front has for this client.
    pub router: usize,
    pub key: Key,
    pub kb: f64,
    pub write: bool,
    /// The client heeds what it is told of when to come back.
    pub heeds: bool,
}

/// Sizes are bounded at this multiple of their mean.
const SIZE_MOST: f64 = 6.0;

/// The id of an object by its place in popularity.
pub fn object(seed: u64, place: usize) -> u64 {
    xxh3_64_with_seed(&(place as u64).to_be_bytes(), seed)
}

/// The size of an object, the same at every request.
pub fn size(object: u64, mean: f64) -> f64 {
    let drawn = (xxh3_64_with_seed(&object.to_be_bytes(), 5) as f64 + 1.0) / 2f64.powi(64);
    (-drawn.ln()).clamp(0.02, SIZE_MOST) * mean
}

/// What each router gets of the work; they sum up to 1. Most get less than the mean, a few several times it.
pub fn shares(routers: usize, uneven: f64, seed: u64) -> Vec<f64> {
    let mut chance = fastrand::Rng::with_seed(seed ^ 0x5eed);
    let mut weights: Vec<f64> = (0..routers)
        .map(|_| 0.5 + (uneven - 0.5).max(0.0) * chance.f64().powi(8))
        .collect();
    let busiest = chance.usize(..routers);
    let mean = weights.iter().sum::<f64>() / routers as f64;
    weights[busiest] = uneven.max(1.0) * mean;
    let sum: f64 = weights.iter().sum();
    weights.iter().map(|weight| weight / sum).collect()
}

/// Sums of a distribution, for draws from it.
pub struct Drawn(Vec<f64>);

impl Drawn {
    pub fn new(weights: impl Iterator<Item = f64>) -> Drawn {
        let sums = weights.scan(0.0, |sum, weight| {
            *sum += weight;
            Some(*sum)
        });
        Drawn(sums.collect())
    }

    pub fn draw(&self, chance: &mut fastrand::Rng) -> usize {
        let at = chance.f64() * self.0.last().copied().unwrap_or(0.0);
        self.0
            .partition_point(|sum| *sum <= at)
            .min(self.0.len().saturating_sub(1))
    }
}

/// Popularity by place: Zipf.
pub fn popularity(play: &Play) -> Drawn {
    Drawn::new((1..=play.work.objects).map(|place| (place as f64).powf(-play.work.popularity)))
}

/// Where a router stands: they are dealt out in turn.
pub fn zone(router: usize, play: &Play) -> usize {
    router % play.fleet.zones
}

/// All that comes, in order.
pub fn arrivals(play: &Play, seed: u64) -> Vec<Arrival> {
    let mut chance = fastrand::Rng::with_seed(seed);
    let (work, fleet) = (&play.work, &play.fleet);
    let routers = Drawn::new(shares(fleet.routers, work.uneven, seed).into_iter());
    let objects = popularity(play);
    let (mut now, mut all) = (0.0, Vec::new());
    loop {
        now += -(1.0 - chance.f64()).ln() / work.rate;
        let at = Duration::from_secs_f64(now);
        if at >= work.lasts {
            return all;
        }
        let (mut router, mut place) = (routers.draw(&mut chance), objects.draw(&mut chance));
        let (write, heeds) = (chance.f64() < work.writes, chance.f64() < work.heed);
        let lot = chance.f64();
        for fault in play
            .faults
            .iter()
            .filter(|f| (f.at..f.at + f.lasts).contains(&at))
        {
            match fault.what {
                What::Hot(share) if lot < share => place = work.objects + at.as_secs() as usize,
                What::Shift(from, to) if zone(router, play) == from => {
                    router = (router - from + to).min(fleet.routers - 1);
                }
                _ => {}
            }
        }
        let object = object(seed, place);
        all.push(Arrival {
            at,
            router,
            key: (object, 0),
            kb: size(object, work.kb),
            write,
            heeds,
        });
    }
}

#[cfg(test)]
mod tests;
