//! From what ways cost and what edges have room for, to who takes how much. No I/O.
//!
//! - **Order** by the way's median. One goes before another only where it is better by more than both doubt:
//!   two estimates that noise could turn round stay as they stand, and no figure for hysteresis is tuned.
//! - **Target**: in that order each edge takes what it has room for, until all is placed. What is left has
//!   nowhere to go: it is for its owner to reject early, not to be squeezed in.
//! - **Shares** move towards the target by [`STEP`] a second at most, up and down: two hundred routers that
//!   read the same table in the same instant must not arrive together, and what they do must show before
//!   they do more. Away from an edge that takes nothing any more they go at once, for what is sent there is
//!   lost; three quarters of that go to others at once, within the room that they are known to have, the
//!   rest by the step.
//!
//! A way does not hold the queue of its edge (`model`), so what is sent does not feed back into the order;
//! what an edge has room for does, through its owner's word, and that is what the step is for.

use crate::merge::Estimate;
use std::time::Duration;

/// Share of all that moves in a second.
pub const STEP: f64 = 0.5;
/// What a table begins with may go at once as far as this: a quarter of a half second's step.
const FIRST: f64 = STEP / 2.0;
/// Of what is freed by who takes nothing any more.
const AT_ONCE: f64 = 0.75;
/// Shares under this are none.
const LEAST: f64 = 1e-3;

/// An edge as it may be used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Offer {
    pub edge: usize,
    /// None: not known; such an edge comes after all that are.
    pub way: Option<Estimate>,
    /// What it can take beside its own, in the unit of the demand. Nothing: it takes nothing.
    pub room: f64,
}

/// Who takes how much of what one region asks for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// Edges and their shares, the preferred first.
    shares: Vec<(usize, f64)>,
    at: Option<Duration>,
}

fn bounds(offer: &Offer) -> (f64, f64) {
    offer
        .way
        .map_or((f64::INFINITY, f64::INFINITY), |way| way.bounds())
}

impl Table {
    /// Edges in order, with their shares; together 1 at most. What is missing has nowhere to go.
    pub fn shares(&self) -> &[(usize, f64)] {
        &self.shares
    }

    /// Of what lies between 0 and 1, as by a hash of what is asked for, which edge takes it; none: no one. As
    /// shares move, as few as can be go elsewhere.
    pub fn takes(&self, at: f64) -> Option<usize> {
        let mut sum = 0.0;
        let found = self.shares.iter().find(|(_, share)| {
            sum += share;
            at < sum
        });
        found.map(|(edge, _)| *edge)
    }

    /// Goes on from another's table: what it said is what stands.
    pub fn adopt(&mut self, now: Duration, shares: &[(usize, f64)]) {
        self.shares = shares.to_vec();
        self.at = Some(now);
    }

    /// Time has passed, or something is known anew. Offers may come in any order, each edge once.
    pub fn turn(&mut self, now: Duration, demand: f64, offers: &[Offer]) {
        let place = |edge: usize| {
            self.shares
                .iter()
                .position(|(e, _)| *e == edge)
                .unwrap_or(usize::MAX)
        };
        let mut order: Vec<&Offer> = offers.iter().collect();
        // Those that are new go by their way; those known keep their order.
        let middle = |offer: &Offer| offer.way.and_then(|way| way.p50).unwrap_or(Duration::MAX);
        order.sort_by_key(|offer| (place(offer.edge), middle(offer), offer.edge));
        // One that is better beyond doubt goes before; over as many places as it is.
        for end in 1..order.len() {
            let mut at = end;
            while at > 0 && bounds(order[at]).1 < bounds(order[at - 1]).0 {
                order.swap(at, at - 1);
                at -= 1;
            }
        }
        let elapsed = self
            .at
            .map_or(FIRST / STEP, |at| now.saturating_sub(at).as_secs_f64());
        self.at = Some(now);
        let step = STEP * elapsed.min(1.0);
        let mut left = 1.0;
        let mut next: Vec<(usize, f64, f64)> = Vec::new();
        for offer in &order {
            let fits = if demand > 0.0 {
                (offer.room / demand).clamp(0.0, 1.0)
            } else {
                1.0
            };
            let target = fits.min(left);
            left -= target;
            let before = self
                .shares
                .iter()
                .find(|(e, _)| *e == offer.edge)
                .map_or(0.0, |(_, share)| *share);
            next.push((
                offer.edge,
                before,
                if offer.room > 0.0 { target } else { 0.0 },
            ));
        }
        // What leaves who takes nothing any more is free at once; what else moves, moves by the step.
        let gone = |at: usize| order[at].room <= 0.0;
        let freed: f64 = (0..next.len())
            .filter(|at| gone(*at))
            .map(|at| next[at].1)
            .sum();
        let step = step + freed * AT_ONCE;
        for (at, (_, share, target)) in next.iter_mut().enumerate() {
            let fits = if demand > 0.0 {
                order[at].room / demand
            } else {
                1.0
            };
            // Past its room it gives way though nobody else may take it yet.
            let over = (*share - fits).clamp(0.0, step);
            *share = if gone(at) {
                0.0
            } else {
                *share - over + (*target - (*share - over)).clamp(0.0, step)
            };
        }
        // The rest is given up only as others take it, by who comes last in the order: nothing hangs between.
        let mut many = next.iter().map(|(_, share, _)| share).sum::<f64>() - 1.0;
        for (_, share, target) in next.iter_mut().rev() {
            let gives = (*share - *target).clamp(0.0, many.max(0.0));
            (*share, many) = (*share - gives, many - gives);
        }
        let mut sum = 0.0;
        for (_, share, _) in &mut next {
            *share = share.min(1.0 - sum);
            *share = if *share < LEAST { 0.0 } else { *share };
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
