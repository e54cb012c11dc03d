//! What became of each zone's requests: served, and where; measured from outside on what was truly sent.
//!
//! | figure | what |
//! | --- | --- |
//! | `lost_service` | of what lost zones asked for, earned: from the loss until 5 s after the return |
//! | `lost_limit` | the same for one that sees all: what home and others' true room could serve |
//! | `plan_s` | from a loss until four in five of its requests at caches go to other zones, the worst |
//! | `needless` | share of requests that left a zone whose caches were all there and warm |
//! | `toppled` | seconds in which a zone not lost earned under half of what it asked for |

use crate::even::Place;
use crate::play::{Play, What, Whom};
use crate::truth::Sent;
use crate::ways;
use std::time::Duration;

/// After a return, this long is counted in.
const AFTER: Duration = Duration::from_secs(5);
/// From here on requests count as going elsewhere, and over this span.
const ELSEWHERE: f64 = 0.8;
const WINDOW: Duration = Duration::from_millis(300);
/// Requests in a window that say something.
const LEAST: usize = 5;

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Places {
    pub lost_service: f64,
    pub lost_limit: f64,
    /// None: no zone was lost, or its requests never went elsewhere.
    pub plan: Option<Duration>,
    pub abroad: f64,
    pub needless: f64,
    pub toppled: u64,
}

/// By zone and second: asked for and earned.
pub struct Kept(Vec<Vec<(f64, f64)>>);

impl Kept {
    pub fn new(zones: usize, seconds: usize) -> Kept {
        Kept(vec![vec![(0.0, 0.0); seconds]; zones])
    }

    fn of(&mut self, zone: usize, at: Duration) -> Option<&mut (f64, f64)> {
        self.0.get_mut(zone)?.get_mut(at.as_secs() as usize)
    }

    pub fn asked(&mut self, zone: usize, at: Duration) {
        self.of(zone, at).into_iter().for_each(|of| of.0 += 1.0);
    }

    pub fn earned(&mut self, zone: usize, at: Duration, worth: f64) {
        self.of(zone, at).into_iter().for_each(|of| of.1 += worth);
    }

    fn sum(&self, zone: usize, from: Duration, to: Duration) -> (f64, f64) {
        let seconds = self.0[zone].iter().enumerate();
        let within = seconds.filter(|(n, _)| (from..to).contains(&Duration::from_secs(*n as u64)));
        within.fold((0.0, 0.0), |(a, e), (_, (asked, earned))| {
            (a + asked, e + earned)
        })
    }

    pub fn measure(&self, play: &Play, sent: &[Sent], places: &[Place]) -> Places {
        let zones = play.fleet.zones;
        let mut losses: Vec<(usize, Duration, Duration)> = Vec::new();
        for fault in &play.faults {
            let of: Vec<usize> = match fault.what {
                What::Lose(Whom::Zone(at)) => vec![at],
                What::LoseRegion(region) => (0..zones)
                    .filter(|at| ways::region(*at, &play.fleet) == region)
                    .collect(),
                _ => Vec::new(),
            };
            losses.extend(
                of.into_iter()
                    .map(|at| (at, fault.at, fault.at + fault.lasts)),
            );
        }
        let home = |one: &Sent| one.router % zones;
        let (mut asked, mut earned, mut limit, mut plan) = (0.0, 0.0, 0.0, Duration::ZERO);
        let (mut went, lasts) = (true, play.work.lasts);
        for (at, from, to) in &losses {
            let (a, e) = self.sum(*at, *from, (*to + AFTER).min(lasts));
            (asked, earned) = (asked + a, earned + e);
            limit += a * seen_by_one_that_sees_all(
                play,
                places,
                &losses,
                *at,
                *from,
                (*to + AFTER).min(lasts),
            );
            let of = |one: &&Sent| home(one) == *at && (*from..*to).contains(&one.at);
            let tries: Vec<&Sent> = sent.iter().filter(of).collect();
            let first = tries.iter().enumerate().find(|(n, one)| {
                let window = || {
                    tries[*n..]
                        .iter()
                        .take_while(|other| other.at < one.at + WINDOW)
                };
                let elsewhere = window().filter(|other| other.zone != *at).count();
                window().count() >= LEAST && elsewhere as f64 >= ELSEWHERE * window().count() as f64
            });
            match first {
                Some((_, one)) => plan = plan.max(one.at - *from),
                None => went = false,
            }
        }
        let lead = play.work.lead;
        let counted = || sent.iter().filter(|one| one.at >= lead && one.at < lasts);
        let whole = |zone: usize, now: Duration| {
            let warm = |place: &Place| {
                place.is_there(now)
                    && place
                        .started
                        .is_none_or(|at| at > now || at + place.warm_within <= now)
            };
            places.iter().filter(|place| place.zone == zone).all(warm)
        };
        let abroad = counted().filter(|one| home(one) != one.zone).count();
        let needless = counted()
            .filter(|one| home(one) != one.zone && whole(home(one), one.at))
            .count();
        let toppled = (0..zones)
            .filter(|at| losses.iter().all(|(lost, ..)| lost != at))
            .map(|at| {
                let seconds = lead.as_secs()..lasts.as_secs();
                let second =
                    |n: u64| self.sum(at, Duration::from_secs(n), Duration::from_secs(n + 1));
                seconds
                    .map(second)
                    .filter(|(asked, earned)| *asked >= 20.0 && earned * 2.0 < *asked)
                    .count() as u64
            });
        let all = counted().count().max(1) as f64;
        Places {
            lost_service: if asked > 0.0 { earned / asked } else { 1.0 },
            lost_limit: if asked > 0.0 { limit / asked } else { 1.0 },
            plan: (went && !losses.is_empty()).then_some(plan),
            abroad: abroad as f64 / all,
            needless: needless as f64 / all,
            toppled: toppled.sum(),
        }
    }
}

/// Share of a zone's requests that what is there could serve: its own caches, and of others' what they
/// have over their own clients' work, divided among all that are lost.
fn seen_by_one_that_sees_all(
    play: &Play,
    places: &[Place],
    losses: &[(usize, Duration, Duration)],
    at: usize,
    from: Duration,
    to: Duration,
) -> f64 {
    let work = play.work.rate / play.fleet.zones as f64 * play.work.kb / play.fleet.pace;
    let can = |zone: usize, now: Duration| {
        let there = places.iter().filter(|p| p.zone == zone && p.is_there(now));
        there.map(|p| p.present(now)).sum::<f64>()
    };
    let (mut sum, mut steps, mut now) = (0.0, 0.0, from);
    while now < to {
        let lost = losses
            .iter()
            .filter(|(_, a, b)| (*a..*b).contains(&now))
            .count()
            .max(1) as f64;
        let others = (0..play.fleet.zones).filter(|other| *other != at);
        let spare: f64 = others.map(|other| (can(other, now) - work).max(0.0)).sum();
        sum += ((can(at, now) + spare / lost) / work).min(1.0);
        steps += 1.0;
        now += Duration::from_millis(250);
    }
    if steps > 0.0 { sum / steps } else { 1.0 }
}

#[cfg(test)]
mod tests;
