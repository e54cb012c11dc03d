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
    offer.way.map_or((f64::INFINITY, f64::INFINITY), |way| way.bounds())
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
        let place = |edge: usize| self.shares.iter().position(|(e, _)| *e == edge).unwrap_or(usize::MAX);
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
        let elapsed = self.at.map_or(FIRST / STEP, |at| now.saturating_sub(at).as_secs_f64());
        self.at = Some(now);
        let step = STEP * elapsed.min(1.0);
        let mut left = 1.0;
        let mut next: Vec<(usize, f64, f64)> = Vec::new();
        for offer in &order {
            let fits = if demand > 0.0 { (offer.room / demand).clamp(0.0, 1.0) } else { 1.0 };
            let target = fits.min(left);
            left -= target;
            let before = self.shares.iter().find(|(e, _)| *e == offer.edge).map_or(0.0, |(_, share)| *share);
            next.push((offer.edge, before, if offer.room > 0.0 { target } else { 0.0 }));
        }
        // What leaves who takes nothing any more is free at once; what else moves, moves by the step.
        let gone = |at: usize| order[at].room <= 0.0;
        let freed: f64 = (0..next.len()).filter(|at| gone(*at)).map(|at| next[at].1).sum();
        let step = step + freed * AT_ONCE;
        for (at, (_, share, target)) in next.iter_mut().enumerate() {
            let fits = if demand > 0.0 { order[at].room / demand } else { 1.0 };
            // Past its room it gives way though nobody else may take it yet.
            let over = (*share - fits).clamp(0.0, step);
            *share =
                if gone(at) { 0.0 } else { *share - over + (*target - (*share - over)).clamp(0.0, step) };
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
        self.shares = next.into_iter().map(|(edge, share, _)| (edge, share)).collect();
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn way(ms: f64, doubt: f64) -> Option<Estimate> {
        let p50 = Some(Duration::from_secs_f64(ms / 1e3));
        Some(Estimate { p50, p90: p50, lost: 0.0, doubt, tellers: 3 })
    }

    fn offer(edge: usize, ms: f64, room: f64) -> Offer {
        Offer { edge, way: way(ms, 0.05), room }
    }

    fn s(seconds: f64) -> Duration {
        Duration::from_secs_f64(seconds)
    }

    #[test]
    fn near_first_as_far_as_there_is_room_and_the_rest_has_nowhere_to_go() {
        let mut table = Table::default();
        let offers = [offer(2, 30.0, 50.0), offer(1, 5.0, 40.0), offer(3, 60.0, 0.0)];
        (0..20).for_each(|n| table.turn(s(f64::from(n) * 0.25), 100.0, &offers));
        assert_eq!(table.shares(), [(1, 0.4), (2, 0.5), (3, 0.0)]);
        assert_eq!(
            [0.0, 0.39, 0.41, 0.89, 0.91].map(|at| table.takes(at)),
            [Some(1), Some(1), Some(2), Some(2), None]
        );
    }

    #[test]
    fn noise_turns_no_order_and_a_true_change_does() {
        let mut table = Table::default();
        let mut chance = fastrand::Rng::with_seed(4);
        let mut orders = 0;
        let mut last = Vec::new();
        for n in 0..400 {
            let noisy = |edge: usize, ms: f64, chance: &mut fastrand::Rng| Offer {
                edge,
                way: way(ms * (1.0 + 0.05 * (chance.f64() * 2.0 - 1.0)), 0.05),
                room: 100.0,
            };
            let slow = if n < 200 { 10.4 } else { 30.0 };
            let offers =
                [noisy(0, 10.0, &mut chance), noisy(1, slow, &mut chance), noisy(2, 10.2, &mut chance)];
            table.turn(s(f64::from(n) * 0.25), 50.0, &offers);
            let order: Vec<usize> = table.shares().iter().map(|(edge, _)| *edge).collect();
            orders += usize::from(order != last);
            last = order;
        }
        assert!(orders <= 2, "{orders} orders: the first, and one after the change");
        assert_eq!(last.last(), Some(&1));
    }

    #[test]
    fn shares_move_by_the_step_but_leave_who_is_gone_at_once() {
        let mut table = Table::default();
        table.turn(s(0.0), 100.0, &[offer(1, 5.0, 200.0), offer(2, 20.0, 200.0)]);
        assert_eq!(table.shares()[0], (1, FIRST));
        let mut before = FIRST;
        for n in 1..10 {
            table.turn(s(f64::from(n) * 0.1), 100.0, &[offer(1, 5.0, 200.0), offer(2, 20.0, 200.0)]);
            let share = table.shares()[0].1;
            assert!(share - before <= STEP * 0.1 + 1e-9);
            before = share;
        }
        let full = table.shares()[0].1;
        table.turn(s(1.0), 100.0, &[offer(1, 5.0, 0.0), offer(2, 20.0, 200.0)]);
        assert_eq!(table.shares().iter().find(|(e, _)| *e == 1), Some(&(1, 0.0)));
        let other = table.shares().iter().find(|(e, _)| *e == 2).expect("there").1;
        assert!(other < full, "what it had does not fall on the next one at once: {other}");
    }

    #[test]
    fn what_goes_back_is_held_by_somebody_all_the_way() {
        let mut table = Table::default();
        let all = [offer(0, 0.0, 200.0), offer(1, 5.0, 40.0), offer(2, 20.0, 40.0), offer(3, 30.0, 40.0)];
        let away = |home: f64| [Offer { room: home, ..all[0] }, all[1], all[2], all[3]];
        table.adopt(s(0.0), &[(0, 1.0)]);
        (1..20).for_each(|n| table.turn(s(f64::from(n) * 0.25), 100.0, &away(0.0)));
        assert_eq!(table.shares()[0], (0, 0.0));
        for n in 20..40 {
            table.turn(s(f64::from(n) * 0.25), 100.0, &away(if n < 24 { 30.0 } else { 200.0 }));
            let sum: f64 = table.shares().iter().map(|(_, share)| share).sum();
            assert!(sum > 0.999, "{sum} at {n}: {:?}", table.shares());
        }
        assert_eq!(table.shares()[0], (0, 1.0));
    }

    /// The fastest edge grows slow by the very work that is sent to it, and everybody reads the same table.
    #[test]
    fn no_swing_though_what_is_sent_makes_an_edge_slow() {
        let mut table = Table::default();
        let (demand, capacity) = (100.0, [60.0, 60.0, 60.0]);
        let (mut history, mut load) = (Vec::new(), [0.0f64; 3]);
        for n in 0..400 {
            // Its owner tells the room that is left under nine tenths of its capacity, a second late.
            let late: &[f64; 3] = history.get(history.len().saturating_sub(4)).unwrap_or(&load);
            let offers: Vec<Offer> = (0..3)
                .map(|e| {
                    let own = 20.0;
                    let queue = 1.0 / (1.0 - ((own + late[e]) / capacity[e]).min(0.98));
                    let room = (0.9 * capacity[e] - own).max(0.0);
                    // Half of the queue's wait is taken for the way, as by a poor estimate.
                    offer(e, [5.0, 8.0, 12.0][e] * (0.5 + 0.5 * queue), room)
                })
                .collect();
            table.turn(s(f64::from(n) * 0.25), demand, &offers);
            load = [0.0; 3];
            table.shares().iter().for_each(|(e, share)| load[*e] = share * demand);
            history.push(load);
        }
        let mean = |e: usize| history[200..].iter().map(|l| l[e]).sum::<f64>() / 200.0;
        for e in 0..3 {
            let swings = history[200..].windows(20).filter(|w| {
                let (low, high) =
                    w.iter().map(|l| l[e]).fold((f64::INFINITY, 0.0f64), |(a, b), l| (a.min(l), b.max(l)));
                high > 1.5 * mean(e) && low < 0.5 * mean(e)
            });
            assert_eq!(swings.count(), 0, "edge {e}: mean {}", mean(e));
        }
    }

    proptest! {
        #[test]
        fn shares_are_shares_whatever_is_offered(
            turns in prop::collection::vec(
                (
                    prop::collection::vec((0usize..6, 0.1f64..500.0, 0.0f64..200.0, 0.0f64..0.5), 0..6),
                    0.0f64..200.0,
                    0.0f64..3.0,
                ),
                1..20,
            ),
        ) {
            let (mut table, mut now) = (Table::default(), 0.0);
            for (offers, demand, later) in turns {
                now += later;
                let mut seen = std::collections::BTreeSet::new();
                let offers: Vec<Offer> = offers.into_iter().filter(|(edge, ..)| seen.insert(*edge))
                    .map(|(edge, ms, room, doubt)| Offer { edge, way: way(ms, doubt), room }).collect();
                table.turn(s(now), demand, &offers);
                prop_assert_eq!(table.shares().len(), offers.len());
                let sum: f64 = table.shares().iter().map(|(_, share)| share).sum();
                prop_assert!(sum <= 1.0 + 1e-9 && table.shares().iter().all(|(_, share)| *share >= 0.0));
                for offer in &offers {
                    let share = table.shares().iter().find(|(e, _)| *e == offer.edge).expect("offered").1;
                    prop_assert!(offer.room > 0.0 || share == 0.0);
                }
                prop_assert!(table.takes(0.9999999).is_none() || sum > 0.99);
            }
        }
    }
}
