//! Computes each edge's share of the demand from the costs of paths and the capacities of edges. No
//! I/O.
//!
//! - **Order** by the path's median. One edge goes before another only if it is better by more than
//!   the uncertainty of both: two estimates whose order noise could reverse stay as they are, and
//!   no hysteresis has to be tuned.
//! - **Target**: in that order each edge takes what it has capacity for, until all demand is
//!   assigned. What is left is unassigned: its owner should reject it early instead of overloading
//!   an edge.
//! - **Shares** move towards the target by at most [`MAX_STEP_PER_SECOND`], up and down: two
//!   hundred routers that read the same table at the same instant must not all arrive at once, and
//!   the effect of a step must show before the next one. Shares of an edge that takes nothing any
//!   more are released at once, since what is sent there is lost. Three quarters of that go to
//!   other edges at once, within their known capacity, the rest by the step.
//!
//! The cost of a path excludes the queue of its edge (`model`), so load does not feed back into the
//! order. The capacity of an edge does depend on its load, through the reports of its owner; that
//! is what the step is for.

use crate::merge::Estimate;
use std::time::Duration;

/// Share of the total that moves per second at most.
pub const MAX_STEP_PER_SECOND: f64 = 0.5;
/// Share that the first update of a table may move: a quarter, as in half a second.
const INITIAL_STEP: f64 = MAX_STEP_PER_SECOND / 2.0;
/// Fraction of the shares released by unavailable edges that is reassigned at once.
const IMMEDIATE_FRACTION: f64 = 0.75;
/// Smaller shares count as none.
const MIN_SHARE: f64 = 1e-3;

/// An edge as a candidate for a share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Offer {
    pub edge: usize,
    /// `None` if unknown; such an edge comes after all known ones.
    pub path: Option<Estimate>,
    /// The load that the edge can take besides its own, in the unit of the demand. An edge without capacity
    /// takes nothing.
    pub capacity: f64,
}

/// The share of one region's demand that each edge takes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShareTable {
    /// Edges with their shares, in order of preference.
    shares: Vec<(usize, f64)>,
    updated_at: Option<Duration>,
}

fn bounds(offer: &Offer) -> (f64, f64) {
    offer
        .path
        .map_or((f64::INFINITY, f64::INFINITY), |path| path.bounds())
}

impl ShareTable {
    /// Edges with their shares, in order; the sum is at most 1. The remainder is unassigned.
    pub fn shares(&self) -> &[(usize, f64)] {
        &self.shares
    }

    /// The edge for a point between 0 and 1, such as the hash of a request; `None` if unassigned.
    /// As shares move, as few points as possible change their edge.
    pub fn edge_at(&self, point: f64) -> Option<usize> {
        let mut sum = 0.0;
        let found = self.shares.iter().find(|(_, share)| {
            sum += share;
            point < sum
        });
        found.map(|(edge, _)| *edge)
    }

    /// Continues from the table of another router: its shares replace the current ones.
    pub fn adopt(&mut self, now: Duration, shares: &[(usize, f64)]) {
        self.shares = shares.to_vec();
        self.updated_at = Some(now);
    }

    /// Updates the shares to a new time or new offers. Offers may be in any order, with each edge
    /// once.
    pub fn update(&mut self, now: Duration, demand: f64, offers: &[Offer]) {
        let rank = |edge: usize| {
            self.shares
                .iter()
                .position(|(e, _)| *e == edge)
                .unwrap_or(usize::MAX)
        };
        let mut order: Vec<&Offer> = offers.iter().collect();
        // New edges are ordered by their path; known ones keep their order.
        let median = |offer: &Offer| {
            offer
                .path
                .and_then(|path| path.p50)
                .unwrap_or(Duration::MAX)
        };
        order.sort_by_key(|offer| (rank(offer.edge), median(offer), offer.edge));
        // An edge that is certainly better moves ahead, past as many others as it is better than.
        for end in 1..order.len() {
            let mut index = end;
            while index > 0 && bounds(order[index]).1 < bounds(order[index - 1]).0 {
                order.swap(index, index - 1);
                index -= 1;
            }
        }
        let elapsed = self
            .updated_at
            .map_or(INITIAL_STEP / MAX_STEP_PER_SECOND, |updated_at| {
                now.saturating_sub(updated_at).as_secs_f64()
            });
        self.updated_at = Some(now);
        let step = MAX_STEP_PER_SECOND * elapsed.min(1.0);
        let mut unassigned = 1.0;
        let mut next: Vec<(usize, f64, f64)> = Vec::new();
        for offer in &order {
            let fitting_share = if demand > 0.0 {
                (offer.capacity / demand).clamp(0.0, 1.0)
            } else {
                1.0
            };
            let target = fitting_share.min(unassigned);
            unassigned -= target;
            let previous = self
                .shares
                .iter()
                .find(|(e, _)| *e == offer.edge)
                .map_or(0.0, |(_, share)| *share);
            next.push((
                offer.edge,
                previous,
                if offer.capacity > 0.0 { target } else { 0.0 },
            ));
        }
        // Shares of unavailable edges are released at once; all others move by the step.
        let is_unavailable = |index: usize| order[index].capacity <= 0.0;
        let freed: f64 = (0..next.len())
            .filter(|index| is_unavailable(*index))
            .map(|index| next[index].1)
            .sum();
        let step = step + freed * IMMEDIATE_FRACTION;
        for (index, (_, share, target)) in next.iter_mut().enumerate() {
            let fitting_share = if demand > 0.0 {
                order[index].capacity / demand
            } else {
                1.0
            };
            // Beyond its capacity an edge loses share even if no other can take it yet.
            let excess_over_capacity = (*share - fitting_share).clamp(0.0, step);
            *share = if is_unavailable(index) {
                0.0
            } else {
                *share - excess_over_capacity
                    + (*target - (*share - excess_over_capacity)).clamp(0.0, step)
            };
        }
        // The rest is released only as far as others take it, from the end of the order: no demand
        // is unassigned in between.
        let mut excess = next.iter().map(|(_, share, _)| share).sum::<f64>() - 1.0;
        for (_, share, target) in next.iter_mut().rev() {
            let released = (*share - *target).clamp(0.0, excess.max(0.0));
            (*share, excess) = (*share - released, excess - released);
        }
        let mut sum = 0.0;
        for (_, share, _) in &mut next {
            *share = share.min(1.0 - sum);
            *share = if *share < MIN_SHARE { 0.0 } else { *share };
            sum += *share;
        }
        self.shares = next
            .into_iter()
            .map(|(edge, share, _)| (edge, share))
            .collect();
    }
}

#[cfg(test)]
mod tests;
