//! Cache admission: which copies are worth keeping, and at which priority, from the history of
//! accesses. A part that is asked for once is not kept; what is asked for again is ranked by its
//! size, cost and frequency.

use crate::interface::{Arrival, Id};
use chalkhall_stats::Recent;
use lru::LruCache;
use std::num::NonZeroUsize;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The bound of the history, in parts.
const HISTORY_BOUND: NonZeroUsize = NonZeroUsize::new(65536).unwrap();
/// Repeated accesses that are needed before low values are refused; and the first accesses over
/// which the share of hits is averaged.
const ACCESSES_BEFORE_ADMISSION: usize = 64;
/// Repeated accesses that are needed before priorities are told apart.
const ACCESSES_BEFORE_PRIORITIES: usize = 256;
/// How many of the last values and scores are compared with.
const RECENT_ACCESSES: usize = 1024;
/// The quantile of recent values below which a copy is not worth keeping.
const ADMISSION_QUANTILE: f64 = 0.25;
/// The priority of a copy that is kept while priorities cannot be told apart yet.
const MIDDLE_PRIORITY: u8 = 2;

/// The key of a part: 31 bits, as routers tell one another.
pub fn part_key(arrival: &Arrival) -> u32 {
    (xxh3_64_with_seed(arrival.object.as_bytes(), arrival.part) >> 33) as u32
}

/// Where a copy of a part was last known to be.
#[derive(Clone, Debug)]
pub struct CopyHolder {
    /// The cache that last answered from a copy, or was told to keep one.
    pub cache: Id,
    /// When that was.
    pub known_at: Duration,
}

/// What is known of one part of an object.
#[derive(Debug, Default)]
pub struct PartHistory {
    /// How many requests had come when it was last asked for.
    request_count: u64,
    last_access_at: Duration,
    /// What a fill of it costs, in milliseconds.
    pub fill_cost: Option<f64>,
    retention_priority: u8,
    /// Its last request had no answer: the next is no second access.
    pub is_unanswered: bool,
    /// Where a copy of it was last known to be.
    pub holder: Option<CopyHolder>,
}

/// How one access is valued against the recent ones.
struct AccessValue {
    /// The cost that a copy saves, by how often it does.
    value: f64,
    /// Its size, by its value: the less, the better.
    score: f64,
    /// A copy will have expired before it is asked for.
    is_expired: bool,
}

/// The history of accesses, by part, and how valuable the recent ones were.
pub struct AccessHistory {
    parts: LruCache<u32, PartHistory>,
    request_count: u64,
    scores: Recent,
    values: Recent,
    /// The share of first accesses lately that were hits: copies that other routers of the zone
    /// asked to keep.
    first_access_hit_share: f64,
}

impl Default for AccessHistory {
    fn default() -> AccessHistory {
        AccessHistory {
            parts: LruCache::new(HISTORY_BOUND),
            request_count: 0,
            scores: Recent::new(RECENT_ACCESSES),
            values: Recent::new(RECENT_ACCESSES),
            first_access_hit_share: 0.0,
        }
    }
}

impl AccessHistory {
    /// Notes an access, and gives the priority at which a copy is kept; 0: not kept. `fresh_for` is
    /// how long a copy is fresh; with `is_shared` a first access counts as a repeated one.
    pub fn record_access(
        &mut self,
        now: Duration,
        arrival: &Arrival,
        fresh_for: Option<Duration>,
        is_shared: bool,
    ) -> u8 {
        self.request_count += 1;
        let (key, request_count) = (part_key(arrival), self.request_count);
        let Some(part) = self.parts.get_mut(&key) else {
            let retention_priority = u8::from(is_shared);
            let part = PartHistory {
                request_count,
                last_access_at: now,
                retention_priority,
                ..PartHistory::default()
            };
            self.parts.put(key, part);
            return retention_priority;
        };
        // A retry would pass for a second access and admit what is asked for once only.
        if arrival.repeated || std::mem::take(&mut part.is_unanswered) {
            return part.retention_priority;
        }
        let since_access = now.saturating_sub(part.last_access_at);
        let requests_between = request_count - part.request_count;
        let cost = part.fill_cost.unwrap_or(1.0);
        let previous = part.retention_priority;
        let access = AccessValue::new(arrival.kb, cost, fresh_for, since_access, requests_between);
        let retention_priority = self.prioritize(&access, previous);
        if let Some(part) = self.parts.peek_mut(&key) {
            part.retention_priority = retention_priority;
            part.request_count = request_count;
            part.last_access_at = now;
        }
        retention_priority
    }

    /// The priority of a repeated access among the recent ones, which it joins.
    fn prioritize(&mut self, access: &AccessValue, previous: u8) -> u8 {
        let is_admitted = self.values.len() < ACCESSES_BEFORE_ADMISSION
            || access.value >= self.values.quantile(ADMISSION_QUANTILE);
        let priority = match self.scores.len() {
            n if n < ACCESSES_BEFORE_PRIORITIES => MIDDLE_PRIORITY,
            _ if access.score < self.scores.quantile(1.0 / 3.0) => 3,
            _ if access.score < self.scores.quantile(2.0 / 3.0) => 2,
            _ => 1,
        };
        self.values.note(access.value);
        self.scores.note(access.score);
        // What expires before its next access is not admitted; a kept copy of it drops to the
        // bottom.
        if access.is_expired {
            return u8::from(previous > 0);
        }
        priority * u8::from(is_admitted)
    }

    /// What is known of the part that a request asks for.
    pub fn part_mut(&mut self, arrival: &Arrival) -> Option<&mut PartHistory> {
        self.parts.peek_mut(&part_key(arrival))
    }

    /// The cache where a copy of a part was last known to be.
    pub fn holder(&self, part: u32) -> Option<Id> {
        let holder = self.parts.peek(&part)?.holder.as_ref();
        holder.map(|holder| holder.cache.clone())
    }

    /// Another router knows where a copy of a part is. That router's request counts as an access.
    pub fn record_holder(&mut self, now: Duration, part: u32, cache: Id) {
        let request_count = self.request_count;
        let part = self.parts.get_or_insert_mut(part, || PartHistory {
            request_count,
            last_access_at: now,
            ..PartHistory::default()
        });
        part.holder = Some(CopyHolder {
            cache,
            known_at: now,
        });
    }

    /// The share of first accesses lately that were hits.
    pub fn first_access_hit_share(&self) -> f64 {
        self.first_access_hit_share
    }

    /// A first access was answered.
    pub fn record_first_access(&mut self, is_hit: bool) {
        let difference = f64::from(is_hit) - self.first_access_hit_share;
        self.first_access_hit_share += difference / ACCESSES_BEFORE_ADMISSION as f64;
    }
}

impl AccessValue {
    fn new(
        kb: f64,
        cost: f64,
        fresh_for: Option<Duration>,
        since_access: Duration,
        requests_between: u64,
    ) -> AccessValue {
        let since_access = since_access.as_secs_f64();
        // The share of the time between two accesses after which a copy has to be renewed.
        let expiry = fresh_for.map_or(0.0, |fresh| (since_access / fresh.as_secs_f64()).min(1.0));
        let value = cost * (1.0 - expiry) / requests_between as f64;
        let score = if value > 0.0 {
            kb / value
        } else {
            f64::INFINITY
        };
        AccessValue {
            value,
            score,
            is_expired: expiry >= 1.0,
        }
    }
}

#[cfg(test)]
mod tests;
