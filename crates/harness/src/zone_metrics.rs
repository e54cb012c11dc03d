//! Service of the requests of each zone, measured from the attempts that were sent.
//!
//! | figure | meaning |
//! | --- | --- |
//! | `lost_service` | value earned over requested by lost zones, from the loss until 5 s after the return |
//! | `lost_limit` | the same for full knowledge: home caches and the spare capacity of others |
//! | `plan_s` | from a loss until four in five of its attempts at caches go to other zones, the maximum |
//! | `needless` | share of attempts that left a zone whose caches were all present and warm |
//! | `toppled` | seconds in which a zone that was not lost earned under half of what it requested |

use crate::load_balance::ServerRecord;
use crate::scenario::{FaultKind, Scenario, Target};
use crate::server_model::SentAttempt;
use crate::zone_network;
use std::time::Duration;

/// Time after a return that still counts towards the loss.
const RECOVERY_PERIOD: Duration = Duration::from_secs(5);
/// A zone counts as redirected when this share of its attempts within the window goes to other zones.
const REDIRECTED_SHARE: f64 = 0.8;
const REDIRECTION_WINDOW: Duration = Duration::from_millis(300);
/// Attempts from which a window counts.
const MIN_REQUESTS: usize = 5;

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneMetrics {
    pub lost_service: f64,
    pub lost_limit: f64,
    /// None if no zone was lost or its attempts were never redirected.
    pub time_to_redirect: Option<Duration>,
    pub abroad: f64,
    pub needless_redirects: f64,
    pub overloaded_zone_seconds: u64,
}

/// By zone and second: value requested and value earned.
pub struct ZoneValue(Vec<Vec<(f64, f64)>>);

impl ZoneValue {
    pub fn new(zones: usize, seconds: usize) -> ZoneValue {
        ZoneValue(vec![vec![(0.0, 0.0); seconds]; zones])
    }

    fn entry(&mut self, zone: usize, at: Duration) -> Option<&mut (f64, f64)> {
        self.0.get_mut(zone)?.get_mut(at.as_secs() as usize)
    }

    pub fn record_requested(&mut self, zone: usize, at: Duration) {
        self.entry(zone, at)
            .into_iter()
            .for_each(|entry| entry.0 += 1.0);
    }

    pub fn record_earned(&mut self, zone: usize, at: Duration, value: f64) {
        self.entry(zone, at)
            .into_iter()
            .for_each(|entry| entry.1 += value);
    }

    fn sum(&self, zone: usize, from: Duration, to: Duration) -> (f64, f64) {
        let seconds = self.0[zone].iter().enumerate();
        let within = seconds.filter(|(n, _)| (from..to).contains(&Duration::from_secs(*n as u64)));
        within.fold((0.0, 0.0), |(a, e), (_, (requested, earned))| {
            (a + requested, e + earned)
        })
    }

    pub fn measure(
        &self,
        scenario: &Scenario,
        sent: &[SentAttempt],
        records: &[ServerRecord],
    ) -> ZoneMetrics {
        let zones = scenario.fleet.zones;
        let mut losses: Vec<(usize, Duration, Duration)> = Vec::new();
        for fault in &scenario.faults {
            let affects: Vec<usize> = match fault.kind {
                FaultKind::Lose(Target::Zone(at)) => vec![at],
                FaultKind::LoseRegion(region) => (0..zones)
                    .filter(|at| zone_network::region(*at, &scenario.fleet) == region)
                    .collect(),
                _ => Vec::new(),
            };
            losses.extend(
                affects
                    .into_iter()
                    .map(|at| (at, fault.start, fault.start + fault.duration)),
            );
        }
        let home = |attempt: &SentAttempt| attempt.router % zones;
        let (mut requested, mut earned, mut limit, mut plan) = (0.0, 0.0, 0.0, Duration::ZERO);
        let (mut was_redirected, duration) = (true, scenario.workload.duration);
        for (at, from, to) in &losses {
            let (zone_requested, zone_earned) =
                self.sum(*at, *from, (*to + RECOVERY_PERIOD).min(duration));
            (requested, earned) = (requested + zone_requested, earned + zone_earned);
            limit += zone_requested
                * omniscient_limit(
                    scenario,
                    records,
                    &losses,
                    *at,
                    *from,
                    (*to + RECOVERY_PERIOD).min(duration),
                );
            let affects =
                |attempt: &&SentAttempt| home(attempt) == *at && (*from..*to).contains(&attempt.at);
            let attempts: Vec<&SentAttempt> = sent.iter().filter(affects).collect();
            let redirected = attempts.iter().enumerate().find(|(n, attempt)| {
                let window = || {
                    attempts[*n..]
                        .iter()
                        .take_while(|other| other.at < attempt.at + REDIRECTION_WINDOW)
                };
                let elsewhere = window().filter(|other| other.zone != *at).count();
                window().count() >= MIN_REQUESTS
                    && elsewhere as f64 >= REDIRECTED_SHARE * window().count() as f64
            });
            match redirected {
                Some((_, attempt)) => plan = plan.max(attempt.at - *from),
                None => was_redirected = false,
            }
        }
        let warmup = scenario.workload.warmup;
        let counted = || {
            sent.iter()
                .filter(|attempt| attempt.at >= warmup && attempt.at < duration)
        };
        let is_fully_warm = |zone: usize, now: Duration| {
            let warm = |record: &ServerRecord| {
                record.is_listed(now)
                    && record
                        .started_at
                        .is_none_or(|at| at > now || at + record.slow_start <= now)
            };
            records
                .iter()
                .filter(|record| record.zone == zone)
                .all(warm)
        };
        let abroad = counted()
            .filter(|attempt| home(attempt) != attempt.zone)
            .count();
        let needless = counted()
            .filter(|attempt| {
                home(attempt) != attempt.zone && is_fully_warm(home(attempt), attempt.at)
            })
            .count();
        let toppled = (0..zones)
            .filter(|at| losses.iter().all(|(lost, ..)| lost != at))
            .map(|at| {
                let seconds = warmup.as_secs()..duration.as_secs();
                let second =
                    |n: u64| self.sum(at, Duration::from_secs(n), Duration::from_secs(n + 1));
                seconds
                    .map(second)
                    .filter(|(requested, earned)| *requested >= 20.0 && earned * 2.0 < *requested)
                    .count() as u64
            });
        let all = counted().count().max(1) as f64;
        ZoneMetrics {
            lost_service: if requested > 0.0 {
                earned / requested
            } else {
                1.0
            },
            lost_limit: if requested > 0.0 {
                limit / requested
            } else {
                1.0
            },
            time_to_redirect: (was_redirected && !losses.is_empty()).then_some(plan),
            abroad: abroad as f64 / all,
            needless_redirects: needless as f64 / all,
            overloaded_zone_seconds: toppled.sum(),
        }
    }
}

/// Share of a zone's requests that could be served with full knowledge: by its own caches, and by the
/// capacity that other zones have beyond their own clients' work, divided among all lost zones.
fn omniscient_limit(
    scenario: &Scenario,
    records: &[ServerRecord],
    losses: &[(usize, Duration, Duration)],
    at: usize,
    from: Duration,
    to: Duration,
) -> f64 {
    let zone_work = scenario.workload.requests_per_s / scenario.fleet.zones as f64
        * scenario.workload.mean_object_kb
        / scenario.fleet.client_kb_per_s;
    let capacity_of = |zone: usize, now: Duration| {
        let there = records
            .iter()
            .filter(|p| p.zone == zone && p.is_listed(now));
        there.map(|p| p.capacity_at(now)).sum::<f64>()
    };
    let (mut sum, mut steps, mut now) = (0.0, 0.0, from);
    while now < to {
        let lost = losses
            .iter()
            .filter(|(_, a, b)| (*a..*b).contains(&now))
            .count()
            .max(1) as f64;
        let others = (0..scenario.fleet.zones).filter(|other| *other != at);
        let spare: f64 = others
            .map(|other| (capacity_of(other, now) - zone_work).max(0.0))
            .sum();
        sum += ((capacity_of(at, now) + spare / lost) / zone_work).min(1.0);
        steps += 1.0;
        now += Duration::from_millis(250);
    }
    if steps > 0.0 { sum / steps } else { 1.0 }
}

#[cfg(test)]
mod tests;
