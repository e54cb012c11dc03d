//! Measures how evenly load is spread over the caches, from the attempts that were sent, and the same work
//! under other assignment rules, from the plain hash to one with full knowledge.
//!
//! Everything is by zone and window: a server's load is the work sent to it (in seconds at the client rate)
//! over what it could do (capacity x warmth at that instant).
//!
//! | figure | meaning |
//! | --- | --- |
//! | `peak` | busiest server over the mean, averaged over zones and windows |
//! | `worst` | the maximum of those |
//! | `idle` | share of server-windows, warm and listed, under a quarter of the mean |
//! | `jain` | Jain's fairness index (1984), averaged: 1 is even, 1/n all on one server |
//! | `swing` | servers that went from over 1.5 x the mean to under 0.5 x and back within 5 s |
//! | `herd` | after an event: most routers that next send to one server, over that of the hash |
//!
//! Windows with fewer than `MIN_REQUESTS_PER_SERVER` requests per server are left out: with a handful of
//! requests, chance alone makes one server the busiest by far.

use crate::object_cache::Key;
use crate::server_model::SentAttempt;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Mean requests per server from which a window counts.
const MIN_REQUESTS_PER_SERVER: f64 = 8.0;

/// A server's history: its zone, when it was listed, and its capacity over time.
#[derive(Clone, Debug)]
pub struct ServerRecord {
    pub name: String,
    pub zone: usize,
    pub capacity: f64,
    pub started_at: Option<Duration>,
    /// Periods in which it was listed and running; several if it was away in between.
    pub listed_during: Vec<(Duration, Duration)>,
    pub initial_capacity_share: f64,
    pub slow_start: Duration,
}

impl ServerRecord {
    pub fn capacity_at(&self, now: Duration) -> f64 {
        let Some(started) = self.started_at.filter(|started| *started <= now) else {
            return self.capacity;
        };
        let age = (now - started).as_secs_f64() / self.slow_start.as_secs_f64();
        self.capacity
            * (self.initial_capacity_share + (1.0 - self.initial_capacity_share) * age.min(1.0))
    }

    pub fn is_listed(&self, now: Duration) -> bool {
        self.listed_during
            .iter()
            .any(|(from, to)| (*from..*to).contains(&now))
    }

    fn is_listed_throughout(&self, from: Duration, to: Duration) -> bool {
        self.listed_during
            .iter()
            .any(|(a, b)| *a <= from && to <= *b)
    }

    fn is_warm(&self, now: Duration) -> bool {
        self.started_at
            .is_none_or(|started| started + self.slow_start <= now)
    }
}

/// The hash of the design: each server draws a value per object in proportion to its capacity, and the
/// lowest value takes the object.
pub fn hash_weight(server: &str, object: &str, capacity: f64) -> f64 {
    let hash = xxh3_64_with_seed(object.as_bytes(), xxh3_64(server.as_bytes()));
    -((hash as f64 + 1.0) / 2f64.powi(64)).ln() / capacity.max(1e-9)
}

/// Name of the object in the hash.
pub fn object_name(key: Key) -> String {
    format!("{:016x}", key.0)
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadBalance {
    pub peak: f64,
    pub worst: f64,
    pub idle: f64,
    pub jain: f64,
    pub swing: f64,
    /// Windows that were counted.
    pub windows: usize,
}

/// Loads by zone and window: server, work over capacity, number of requests.
type Windows = BTreeMap<(usize, u64), Vec<(usize, f64, usize)>>;

fn windows(
    sent: &[SentAttempt],
    records: &[ServerRecord],
    from: Duration,
    to: Duration,
    width: Duration,
) -> Windows {
    let mut sums: HashMap<(usize, u64), (f64, usize)> = HashMap::new();
    for attempt in sent.iter().filter(|s| (from..to).contains(&s.at)) {
        let window = ((attempt.at - from).as_nanos() / width.as_nanos()) as u64;
        let sum = sums.entry((attempt.server, window)).or_default();
        *sum = (sum.0 + attempt.work, sum.1 + 1);
    }
    let mut found = Windows::new();
    for window in 0..((to.saturating_sub(from)).as_nanos() / width.as_nanos()) as u64 {
        let (begin, end) = (
            from + width * window as u32,
            from + width * (window as u32 + 1),
        );
        for (server, record) in records
            .iter()
            .enumerate()
            .filter(|(_, p)| p.is_listed_throughout(begin, end))
        {
            let (work, count) = sums.get(&(server, window)).copied().unwrap_or_default();
            let capacity = record.capacity_at(begin + width / 2) * width.as_secs_f64();
            found.entry((record.zone, window)).or_default().push((
                server,
                work / capacity.max(1e-9),
                count,
            ));
        }
    }
    found.retain(|_, loads| {
        let count: usize = loads.iter().map(|(_, _, count)| count).sum();
        loads.len() > 1 && count as f64 >= MIN_REQUESTS_PER_SERVER * loads.len() as f64
    });
    found
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), value| (sum + value, count + 1.0));
    if count > 0.0 { sum / count } else { 0.0 }
}

/// Measures from `from` to `to` in windows of `width`.
pub fn measure(
    sent: &[SentAttempt],
    records: &[ServerRecord],
    from: Duration,
    to: Duration,
    width: Duration,
) -> LoadBalance {
    let windows = windows(sent, records, from, to, width);
    let (mut peaks, mut jains, mut idle, mut warm) = (Vec::new(), Vec::new(), 0usize, 0usize);
    for ((_, window), loads) in &windows {
        let average = mean(loads.iter().map(|(_, load, _)| *load));
        let maximum = loads.iter().map(|(_, load, _)| *load).fold(0.0, f64::max);
        let squares = mean(loads.iter().map(|(_, load, _)| load * load));
        peaks.push(maximum / average);
        jains.push(average * average / squares);
        let begin = from + width * *window as u32;
        for (server, load, _) in loads
            .iter()
            .filter(|(server, _, _)| records[*server].is_warm(begin))
        {
            let _ = server;
            warm += 1;
            idle += usize::from(*load < average / 4.0);
        }
    }
    LoadBalance {
        peak: mean(peaks.iter().copied()),
        worst: peaks.iter().copied().fold(0.0, f64::max),
        idle: idle as f64 / warm.max(1) as f64,
        jain: mean(jains.into_iter()),
        swing: count_swings(sent, records, from, to) as f64,
        windows: windows.len(),
    }
}

/// Counts servers that go from over 1.5 times the mean load to under 0.5 times and back within five
/// seconds, a sign of routers that move together. Each move must exceed the noise of the counts by
/// three standard deviations.
fn count_swings(
    sent: &[SentAttempt],
    records: &[ServerRecord],
    from: Duration,
    to: Duration,
) -> usize {
    let windows = windows(sent, records, from, to, Duration::from_secs(1));
    let mut by_server: BTreeMap<usize, Vec<(u64, i8)>> = BTreeMap::new();
    for ((_, window), loads) in windows {
        let average = mean(loads.iter().map(|(_, load, _)| *load));
        let mean_count = mean(loads.iter().map(|(_, _, count)| *count as f64));
        let noise = 3.0 * average / mean_count.sqrt();
        for (server, load, _) in loads {
            let side = i8::from(load > (1.5 * average).max(average + noise))
                - i8::from(load < (0.5 * average).min(average - noise));
            if side != 0 {
                by_server.entry(server).or_default().push((window, side));
            }
        }
    }
    let swings_back = |turns: &[(u64, i8)]| {
        let high = |side: i8| move |(_, s): &&(u64, i8)| *s == side;
        turns
            .iter()
            .enumerate()
            .filter(|(_, t)| t.1 == 1)
            .any(|(n, first)| {
                let low = turns[n..].iter().position(|t| high(-1)(&t));
                let again = low.and_then(|low| turns[n + low..].iter().find(high(1)));
                again.is_some_and(|again| again.0 - first.0 <= 5)
            })
    };
    by_server
        .values()
        .filter(|turns| swings_back(turns))
        .count()
}

/// Over the routers of the zone, the largest share whose first request within a second after `at` went
/// to the same server, over the same share under the hash. None if fewer than six routers sent
/// anything.
pub fn herd(
    sent: &[SentAttempt],
    records: &[ServerRecord],
    zone: usize,
    at: Duration,
) -> Option<f64> {
    let until = at + Duration::from_secs(1);
    let mut first_attempts: BTreeMap<usize, &SentAttempt> = BTreeMap::new();
    for attempt in sent
        .iter()
        .filter(|s| s.zone == zone && (at..until).contains(&s.at))
    {
        first_attempts.entry(attempt.router).or_insert(attempt);
    }
    if first_attempts.len() < 6 {
        return None;
    }
    let share = |chosen: &mut dyn Iterator<Item = usize>| {
        let mut counts: BTreeMap<usize, usize> = BTreeMap::new();
        chosen.for_each(|server| *counts.entry(server).or_default() += 1);
        counts.values().copied().max().unwrap_or(0) as f64 / first_attempts.len() as f64
    };
    let observed = share(&mut first_attempts.values().map(|s| s.server));
    let hashed = share(&mut first_attempts.values().filter_map(|s| {
        ranked_servers(records, s.zone, s.key, s.at)
            .first()
            .copied()
    }));
    (hashed > 0.0).then(|| observed / hashed)
}

/// Servers of a zone that are listed at `at`, in the hash's order of preference for a part.
pub fn ranked_servers(records: &[ServerRecord], zone: usize, key: Key, at: Duration) -> Vec<usize> {
    let name = object_name(key);
    let listed = records
        .iter()
        .enumerate()
        .filter(|(_, p)| p.zone == zone && p.is_listed(at));
    let mut drawn: Vec<(f64, usize)> = listed
        .map(|(n, p)| (hash_weight(&p.name, &name, p.capacity), n))
        .collect();
    drawn.sort_by(|a, b| a.0.total_cmp(&b.0));
    drawn.into_iter().map(|(_, server)| server).collect()
}

/// Rules by which the same work can be assigned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// The hash's first server.
    Hash,
    /// Of the hash's first two servers, the one with fewer of this router's requests in flight.
    LeastOfTwo,
    /// With full knowledge: the hash's first server with spare capacity in this window, otherwise the
    /// one with the lowest load.
    Omniscient,
}

/// The same requests, assigned by a rule. A request counts as in flight for the duration of its work.
pub fn assign(
    sent: &[SentAttempt],
    records: &[ServerRecord],
    rule: Rule,
    from: Duration,
    width: Duration,
) -> Vec<SentAttempt> {
    let mut running: HashMap<(usize, usize), VecDeque<Duration>> = HashMap::new();
    // Work assigned to each server of a zone in a window, and all work requested in the zone in it.
    // Requests before the first window are assigned too, but not measured.
    let mut assigned: HashMap<(usize, Option<u64>), f64> = HashMap::new();
    let mut requested: HashMap<(usize, Option<u64>), f64> = HashMap::new();
    let window =
        |at: Duration| (at >= from).then(|| ((at - from).as_nanos() / width.as_nanos()) as u64);
    let capacity = |server: usize, window: Option<u64>| {
        let middle = from + width * window.unwrap_or(0) as u32 + width / 2;
        (records[server].capacity_at(middle) * width.as_secs_f64()).max(1e-9)
    };
    for attempt in sent {
        *requested
            .entry((attempt.zone, window(attempt.at)))
            .or_default() += attempt.work;
    }
    let mut assigned_attempts = Vec::with_capacity(sent.len());
    for attempt in sent {
        let order = ranked_servers(records, attempt.zone, attempt.key, attempt.at);
        let number = window(attempt.at);
        let chosen = match rule {
            Rule::Hash => order.first().copied(),
            Rule::LeastOfTwo => {
                let mut running_on = |server: usize| {
                    let in_flight = running.entry((attempt.router, server)).or_default();
                    while in_flight.front().is_some_and(|end| *end <= attempt.at) {
                        in_flight.pop_front();
                    }
                    in_flight.len()
                };
                order
                    .iter()
                    .take(2)
                    .copied()
                    .min_by_key(|server| running_on(*server))
            }
            Rule::Omniscient => {
                let all: f64 = order.iter().map(|s| capacity(*s, number)).sum();
                let mean = requested[&(attempt.zone, number)] / all.max(1e-9);
                let load = |s: &usize| {
                    let assigned = assigned.get(&(*s, number)).copied().unwrap_or(0.0);
                    (assigned + attempt.work) / capacity(*s, number)
                };
                let with_capacity = order.iter().find(|s| load(s) <= mean).copied();
                with_capacity.or_else(|| {
                    order
                        .iter()
                        .copied()
                        .min_by(|a, b| load(a).total_cmp(&load(b)))
                })
            }
        };
        let server = chosen.unwrap_or(attempt.server);
        *assigned.entry((server, number)).or_default() += attempt.work;
        if rule == Rule::LeastOfTwo {
            running
                .entry((attempt.router, server))
                .or_default()
                .push_back(attempt.at + Duration::from_secs_f64(attempt.work));
        }
        assigned_attempts.push(SentAttempt { server, ..*attempt });
    }
    assigned_attempts
}

#[cfg(test)]
mod tests;
