//! Model of the network between zones: delay, loss and cuts, per direction, as changed by the scenario.
//! No I/O.
//!
//! Bytes on a connection are never lost: a loss costs [`RETRANSMIT_DELAY`], like a retransmitted
//! segment, and a cut holds them until it is over. Datagrams are lost. The parents and the origin form
//! a node of their own (the hub), as close to each zone as zones of one region are to each other.

use crate::scenario::FleetSettings;
use std::time::Duration;

/// Delay of a retransmission, and the interval at which bytes held by a cut are retried.
pub const RETRANSMIT_DELAY: Duration = Duration::from_millis(200);

#[derive(Clone, Debug, PartialEq)]
pub struct ZoneNetwork {
    nodes: usize,
    /// Per source and destination node: the base one-way delay, its multiplier, the share of messages lost, and
    /// whether the path is cut.
    base_delay: Vec<Vec<Duration>>,
    pub slow_factor: Vec<Vec<f64>>,
    pub loss_share: Vec<Vec<f64>>,
    pub is_cut: Vec<Vec<bool>>,
    jitter: f64,
}

/// The region of a zone; each region consists of consecutive zones.
pub fn region(zone: usize, fleet: &FleetSettings) -> usize {
    zone * fleet.regions / fleet.zones
}

impl ZoneNetwork {
    /// None if the scenario sets no delays; messages are then not delayed at all.
    pub fn new(fleet: &FleetSettings) -> Option<ZoneNetwork> {
        if fleet.intra_region_delay.is_zero() && fleet.inter_region_delay.is_zero() {
            return None;
        }
        // One node per zone, and the hub.
        let nodes = fleet.zones + 1;
        let base_delay = |from: usize, to: usize| {
            if from == to {
                return fleet.intra_region_delay / 4;
            }
            let hub = from == fleet.zones || to == fleet.zones;
            if hub || region(from, fleet) == region(to, fleet) {
                return fleet.intra_region_delay;
            }
            // Delays differ between pairs and directions of distant zones.
            fleet
                .inter_region_delay
                .mul_f64(0.7 + 0.6 * ((from * 7 + to * 13) % 11) as f64 / 10.0)
        };
        let all = |from: usize| (0..nodes).map(|to| base_delay(from, to)).collect();
        Some(ZoneNetwork {
            nodes,
            base_delay: (0..nodes).map(all).collect(),
            slow_factor: vec![vec![1.0; nodes]; nodes],
            loss_share: vec![vec![0.0; nodes]; nodes],
            is_cut: vec![vec![false; nodes]; nodes],
            jitter: fleet.jitter,
        })
    }

    /// Delay of bytes on a connection; none while the path is cut.
    pub fn delay(&self, from: usize, to: usize, rng: &mut fastrand::Rng) -> Option<Duration> {
        if self.is_cut[from][to] {
            return None;
        }
        let jitter = 1.0 + self.jitter * rng.f64();
        let mut delay = self.base_delay[from][to].mul_f64(self.slow_factor[from][to] * jitter);
        // Retransmitted until it arrives.
        while rng.f64() < self.loss_share[from][to].min(0.9) {
            delay += RETRANSMIT_DELAY;
        }
        Some(delay)
    }

    /// Delay of a datagram; none if it is lost.
    pub fn datagram_delay(
        &self,
        from: usize,
        to: usize,
        rng: &mut fastrand::Rng,
    ) -> Option<Duration> {
        if self.is_cut[from][to] || rng.f64() < self.loss_share[from][to] {
            return None;
        }
        Some(
            self.base_delay[from][to]
                .mul_f64(self.slow_factor[from][to] * (1.0 + self.jitter * rng.f64())),
        )
    }

    /// The median round-trip time.
    pub fn median_round_trip(&self, from: usize, to: usize) -> Duration {
        let one_way = |a: usize, b: usize| {
            self.base_delay[a][b].mul_f64(self.slow_factor[a][b] * (1.0 + self.jitter / 2.0))
        };
        one_way(from, to) + one_way(to, from)
    }

    /// Calls `apply` for each path from `from` to `to`; none stands for all nodes, including the hub.
    pub fn for_each_pair(
        &mut self,
        from: Option<usize>,
        to: Option<usize>,
        mut apply: impl FnMut(&mut ZoneNetwork, usize, usize),
    ) {
        let all =
            |selected: Option<usize>, nodes: usize| selected.map_or(0..nodes, |one| one..one + 1);
        for a in all(from, self.nodes) {
            for b in all(to, self.nodes) {
                if a != b {
                    apply(self, a, b);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
