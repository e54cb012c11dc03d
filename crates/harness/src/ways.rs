//! The network between zones as it truly is: what a word takes from one to another, whether it comes at
//! all, changing as a play says. Each way by itself, both directions apart. No I/O.
//!
//! Bytes on a connection are never lost: a loss costs them [`AGAIN`], as a segment that is sent again, and a
//! cut holds them until it is over. Datagrams are lost. The parents and the origin stand at a place of their
//! own, as near to each zone as zones of one region are.

use crate::play::FleetOf;
use std::time::Duration;

/// What a lost segment costs, and how often a cut is looked at.
pub const AGAIN: Duration = Duration::from_millis(200);

#[derive(Clone, Debug, PartialEq)]
pub struct Ways {
    places: usize,
    /// By from and to: one direction's usual time, what it is multiplied by, share lost, cut.
    usual: Vec<Vec<Duration>>,
    pub slow: Vec<Vec<f64>>,
    pub lost: Vec<Vec<f64>>,
    pub cut: Vec<Vec<bool>>,
    jitter: f64,
}

/// The region of a zone: they lie in blocks.
pub fn region(zone: usize, fleet: &FleetOf) -> usize {
    zone * fleet.regions / fleet.zones
}

impl Ways {
    /// None where a play says nothing of ways: then words take no time.
    pub fn new(fleet: &FleetOf) -> Option<Ways> {
        if fleet.near.is_zero() && fleet.far.is_zero() {
            return None;
        }
        // One more than there are zones: the hub.
        let places = fleet.zones + 1;
        let usual = |from: usize, to: usize| {
            if from == to {
                return fleet.near / 4;
            }
            let hub = from == fleet.zones || to == fleet.zones;
            if hub || region(from, fleet) == region(to, fleet) {
                return fleet.near;
            }
            // No two far ways are just alike.
            fleet
                .far
                .mul_f64(0.7 + 0.6 * ((from * 7 + to * 13) % 11) as f64 / 10.0)
        };
        let all = |from: usize| (0..places).map(|to| usual(from, to)).collect();
        Some(Ways {
            places,
            usual: (0..places).map(all).collect(),
            slow: vec![vec![1.0; places]; places],
            lost: vec![vec![0.0; places]; places],
            cut: vec![vec![false; places]; places],
            jitter: fleet.jitter,
        })
    }

    /// What bytes take now; none: they are held.
    pub fn takes(&self, from: usize, to: usize, chance: &mut fastrand::Rng) -> Option<Duration> {
        if self.cut[from][to] {
            return None;
        }
        let jitter = 1.0 + self.jitter * chance.f64();
        let mut takes = self.usual[from][to].mul_f64(self.slow[from][to] * jitter);
        // Sent again until it comes.
        while chance.f64() < self.lost[from][to].min(0.9) {
            takes += AGAIN;
        }
        Some(takes)
    }

    /// The same of a datagram; none: it is lost.
    pub fn datagram(&self, from: usize, to: usize, chance: &mut fastrand::Rng) -> Option<Duration> {
        if self.cut[from][to] || chance.f64() < self.lost[from][to] {
            return None;
        }
        Some(self.usual[from][to].mul_f64(self.slow[from][to] * (1.0 + self.jitter * chance.f64())))
    }

    /// The median of there and back.
    pub fn truth(&self, from: usize, to: usize) -> Duration {
        let one = |a: usize, b: usize| {
            self.usual[a][b].mul_f64(self.slow[a][b] * (1.0 + self.jitter / 2.0))
        };
        one(from, to) + one(to, from)
    }

    /// All ways that a play means by `from` and `to`; none: all of them, the hub's too.
    pub fn each(
        &mut self,
        from: Option<usize>,
        to: Option<usize>,
        mut of: impl FnMut(&mut Ways, usize, usize),
    ) {
        let all = |of: Option<usize>, places: usize| of.map_or(0..places, |one| one..one + 1);
        for a in all(from, self.places) {
            for b in all(to, self.places) {
                if a != b {
                    of(self, a, b);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
