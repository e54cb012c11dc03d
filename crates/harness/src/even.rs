//! How even load lies on the caches, measured from outside on what was truly sent; and the same work dealt
//! out by other rules, from the plain hash to one that sees all.
//!
//! All by zone and window: a server's load is the work sent to it (seconds at a client's pace) over what
//! it could do (capacity x warmth at that instant).
//!
//! | figure | what |
//! | --- | --- |
//! | `peak` | busiest over mean, averaged over zones and windows |
//! | `worst` | the worst of those |
//! | `idle` | share of server-windows, warm and in the list, under a quarter of the mean |
//! | `jain` | Jain's index of fairness (1984), averaged: 1 is even, 1/n all on one |
//! | `swing` | servers that went from over 1.5 x the mean to under 0.5 x and back within 5 s |
//! | `herd` | after an event: the most routers that send next to one server, over that of the hash |
//!
//! Windows in which a zone was sent less than `LEAST` requests a server say nothing and are left out:
//! of a handful, chance alone makes one the busiest by far.

use crate::copies::Key;
use crate::truth::Sent;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Requests a server, on average, from which a window counts.
const LEAST: f64 = 8.0;

/// A cache as the list and the truth have it: its zone, when it is there, and what it can do by time.
#[derive(Clone, Debug)]
pub struct Place {
    pub name: String,
    pub zone: usize,
    pub capacity: f64,
    pub started: Option<Duration>,
    /// From when and until when it is in the list and runs; more than one stretch where it was away.
    pub there: Vec<(Duration, Duration)>,
    pub cold_from: f64,
    pub warm_within: Duration,
}

impl Place {
    pub fn present(&self, now: Duration) -> f64 {
        let Some(started) = self.started.filter(|started| *started <= now) else {
            return self.capacity;
        };
        let age = (now - started).as_secs_f64() / self.warm_within.as_secs_f64();
        self.capacity * (self.cold_from + (1.0 - self.cold_from) * age.min(1.0))
    }

    pub fn is_there(&self, now: Duration) -> bool {
        self.there
            .iter()
            .any(|(from, to)| (*from..*to).contains(&now))
    }

    fn all_of(&self, from: Duration, to: Duration) -> bool {
        self.there.iter().any(|(a, b)| *a <= from && to <= *b)
    }

    fn warm(&self, now: Duration) -> bool {
        self.started
            .is_none_or(|started| started + self.warm_within <= now)
    }
}

/// The design's hash: what each server draws for an object, in proportion to its capacity; the least takes
/// it.
pub fn draw(server: &str, object: &str, capacity: f64) -> f64 {
    let hash = xxh3_64_with_seed(object.as_bytes(), xxh3_64(server.as_bytes()));
    -((hash as f64 + 1.0) / 2f64.powi(64)).ln() / capacity.max(1e-9)
}

/// How an object is called.
pub fn object(key: Key) -> String {
    format!("{:016x}", key.0)
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Even {
    pub peak: f64,
    pub worst: f64,
    pub idle: f64,
    pub jain: f64,
    pub swing: f64,
    /// Windows that counted.
    pub windows: usize,
}

/// Loads by zone and window: server, work over capacity, and how many requests.
type Windows = BTreeMap<(usize, u64), Vec<(usize, f64, usize)>>;

fn windows(
    sent: &[Sent],
    places: &[Place],
    from: Duration,
    to: Duration,
    width: Duration,
) -> Windows {
    let mut sums: HashMap<(usize, u64), (f64, usize)> = HashMap::new();
    for one in sent.iter().filter(|s| (from..to).contains(&s.at)) {
        let window = ((one.at - from).as_nanos() / width.as_nanos()) as u64;
        let sum = sums.entry((one.server, window)).or_default();
        *sum = (sum.0 + one.work, sum.1 + 1);
    }
    let mut found = Windows::new();
    for window in 0..((to.saturating_sub(from)).as_nanos() / width.as_nanos()) as u64 {
        let (begin, end) = (
            from + width * window as u32,
            from + width * (window as u32 + 1),
        );
        for (server, place) in places
            .iter()
            .enumerate()
            .filter(|(_, p)| p.all_of(begin, end))
        {
            let (work, count) = sums.get(&(server, window)).copied().unwrap_or_default();
            let could = place.present(begin + width / 2) * width.as_secs_f64();
            found.entry((place.zone, window)).or_default().push((
                server,
                work / could.max(1e-9),
                count,
            ));
        }
    }
    found.retain(|_, loads| {
        let count: usize = loads.iter().map(|(_, _, count)| count).sum();
        loads.len() > 1 && count as f64 >= LEAST * loads.len() as f64
    });
    found
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let (sum, count) = values.fold((0.0, 0.0), |(sum, count), value| (sum + value, count + 1.0));
    if count > 0.0 { sum / count } else { 0.0 }
}

/// From `from` to `to`, by windows of that width.
pub fn measure(
    sent: &[Sent],
    places: &[Place],
    from: Duration,
    to: Duration,
    width: Duration,
) -> Even {
    let windows = windows(sent, places, from, to, width);
    let (mut peaks, mut jains, mut idle, mut warm) = (Vec::new(), Vec::new(), 0usize, 0usize);
    for ((_, window), loads) in &windows {
        let average = mean(loads.iter().map(|(_, load, _)| *load));
        let most = loads.iter().map(|(_, load, _)| *load).fold(0.0, f64::max);
        let squares = mean(loads.iter().map(|(_, load, _)| load * load));
        peaks.push(most / average);
        jains.push(average * average / squares);
        let begin = from + width * *window as u32;
        for (server, load, _) in loads
            .iter()
            .filter(|(server, _, _)| places[*server].warm(begin))
        {
            let _ = server;
            warm += 1;
            idle += usize::from(*load < average / 4.0);
        }
    }
    Even {
        peak: mean(peaks.iter().copied()),
        worst: peaks.iter().copied().fold(0.0, f64::max),
        idle: idle as f64 / warm.max(1) as f64,
        jain: mean(jains.into_iter()),
        swing: swings(sent, places, from, to) as f64,
        windows: windows.len(),
    }
}

/// Servers that go from crowded to idle and back within five seconds: routers that move together. Both turns
/// must stand out of the noise of their counts by three deviations.
fn swings(sent: &[Sent], places: &[Place], from: Duration, to: Duration) -> usize {
    let windows = windows(sent, places, from, to, Duration::from_secs(1));
    let mut by_server: BTreeMap<usize, Vec<(u64, i8)>> = BTreeMap::new();
    for ((_, window), loads) in windows {
        let average = mean(loads.iter().map(|(_, load, _)| *load));
        let usual = mean(loads.iter().map(|(_, _, count)| *count as f64));
        let noise = 3.0 * average / usual.sqrt();
        for (server, load, _) in loads {
            let side = i8::from(load > (1.5 * average).max(average + noise))
                - i8::from(load < (0.5 * average).min(average - noise));
            if side != 0 {
                by_server.entry(server).or_default().push((window, side));
            }
        }
    }
    let back = |turns: &[(u64, i8)]| {
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
    by_server.values().filter(|turns| back(turns)).count()
}

/// Over the routers of the zone, the largest share whose first request after `at`, within a second, went
/// to the same server; over the same for where the hash would have sent those requests. None: hardly anybody
/// sent.
pub fn herd(sent: &[Sent], places: &[Place], zone: usize, at: Duration) -> Option<f64> {
    let until = at + Duration::from_secs(1);
    let mut first: BTreeMap<usize, &Sent> = BTreeMap::new();
    for one in sent
        .iter()
        .filter(|s| s.zone == zone && (at..until).contains(&s.at))
    {
        first.entry(one.router).or_insert(one);
    }
    if first.len() < 6 {
        return None;
    }
    let share = |chosen: &mut dyn Iterator<Item = usize>| {
        let mut counts: BTreeMap<usize, usize> = BTreeMap::new();
        chosen.for_each(|server| *counts.entry(server).or_default() += 1);
        counts.values().copied().max().unwrap_or(0) as f64 / first.len() as f64
    };
    let real = share(&mut first.values().map(|s| s.server));
    let hashed = share(
        &mut first
            .values()
            .filter_map(|s| prefers(places, s.zone, s.key, s.at).first().copied()),
    );
    (hashed > 0.0).then(|| real / hashed)
}

/// Servers of a zone that are there, in the order in which the hash prefers them for a part.
pub fn prefers(places: &[Place], zone: usize, key: Key, at: Duration) -> Vec<usize> {
    let name = object(key);
    let here = places
        .iter()
        .enumerate()
        .filter(|(_, p)| p.zone == zone && p.is_there(at));
    let mut drawn: Vec<(f64, usize)> = here
        .map(|(n, p)| (draw(&p.name, &name, p.capacity), n))
        .collect();
    drawn.sort_by(|a, b| a.0.total_cmp(&b.0));
    drawn.into_iter().map(|(_, server)| server).collect()
}

/// Rules by which the same work can be dealt out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// The hash alone.
    Hash,
    /// Of the hash's first two, the one of which this router has less out.
    LeastOfTwo,
    /// With the truth in sight: the hash's first that has room in this window, else the one with most room.
    SeesAll,
}

/// The same requests, sent where a rule sends them. A request counts as under way for its work's time.
pub fn deal(
    sent: &[Sent],
    places: &[Place],
    rule: Rule,
    from: Duration,
    width: Duration,
) -> Vec<Sent> {
    let mut out: HashMap<(usize, usize), VecDeque<Duration>> = HashMap::new();
    // What each server of a zone was given in this window, and what the zone is asked for in all of
    // it. What came before the first window is dealt out like the rest, and measured by nobody.
    let mut given: HashMap<(usize, Option<u64>), f64> = HashMap::new();
    let mut asked: HashMap<(usize, Option<u64>), f64> = HashMap::new();
    let window =
        |at: Duration| (at >= from).then(|| ((at - from).as_nanos() / width.as_nanos()) as u64);
    let could = |server: usize, window: Option<u64>| {
        let middle = from + width * window.unwrap_or(0) as u32 + width / 2;
        (places[server].present(middle) * width.as_secs_f64()).max(1e-9)
    };
    for one in sent {
        *asked.entry((one.zone, window(one.at))).or_default() += one.work;
    }
    let mut dealt = Vec::with_capacity(sent.len());
    for one in sent {
        let order = prefers(places, one.zone, one.key, one.at);
        let number = window(one.at);
        let chosen = match rule {
            Rule::Hash => order.first().copied(),
            Rule::LeastOfTwo => {
                let mut held = |server: usize| {
                    let under_way = out.entry((one.router, server)).or_default();
                    while under_way.front().is_some_and(|end| *end <= one.at) {
                        under_way.pop_front();
                    }
                    under_way.len()
                };
                order
                    .iter()
                    .take(2)
                    .copied()
                    .min_by_key(|server| held(*server))
            }
            Rule::SeesAll => {
                let all: f64 = order.iter().map(|s| could(*s, number)).sum();
                let mean = asked[&(one.zone, number)] / all.max(1e-9);
                let load = |s: &usize| {
                    let given = given.get(&(*s, number)).copied().unwrap_or(0.0);
                    (given + one.work) / could(*s, number)
                };
                let roomy = order.iter().find(|s| load(s) <= mean).copied();
                roomy.or_else(|| {
                    order
                        .iter()
                        .copied()
                        .min_by(|a, b| load(a).total_cmp(&load(b)))
                })
            }
        };
        let server = chosen.unwrap_or(one.server);
        *given.entry((server, number)).or_default() += one.work;
        if rule == Rule::LeastOfTwo {
            out.entry((one.router, server))
                .or_default()
                .push_back(one.at + Duration::from_secs_f64(one.work));
        }
        dealt.push(Sent { server, ..*one });
    }
    dealt
}

#[cfg(test)]
mod tests;
