//! Cache admission: decides from the access history which copies are retained, and at which
//! priority. A part is not kept on its first access; a part that is accessed again is ranked by
//! size, fill cost and access frequency.

use crate::interface::{Id, IncomingRequest};
use chalkhall_stats::RecentQuantiles;
use lru::LruCache;
use std::num::NonZeroUsize;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The maximum capacity of the access history, in parts.
const MAX_HISTORY_PARTS: NonZeroUsize = NonZeroUsize::new(65536).unwrap();
/// The memory that a part in the access history takes, in bytes: its history, its key, the links of
/// the list, the allocator's overhead, and its places in a hash table that is half full.
const HISTORY_PART_BYTES: usize = size_of::<PartHistory>() + 8 + 16 + 16 + 2 * 17;
/// The number of repeated accesses before admission rejects low-value parts; also the number of
/// first accesses over which the hit share is averaged.
const ACCESSES_BEFORE_ADMISSION: usize = 64;
/// The number of repeated accesses before the score distribution determines priorities.
const ACCESSES_BEFORE_PRIORITIES: usize = 256;
/// The number of recent values and scores that an access is compared with.
const RECENT_ACCESSES: usize = 1024;
/// A copy is not admitted when its value is below this quantile of recent values.
const ADMISSION_QUANTILE: f64 = 0.25;
/// The priority of admitted copies until [`ACCESSES_BEFORE_PRIORITIES`] is reached.
const DEFAULT_PRIORITY: u8 = 2;

/// The key of a part: 31 bits, as routers exchange it by gossip.
pub fn part_key(arrival: &IncomingRequest) -> u32 {
    (xxh3_64_with_seed(arrival.object.as_bytes(), arrival.part) >> 33) as u32
}

/// The last known location of a copy of a part.
#[derive(Clone, Debug)]
pub struct CopyHolder {
    /// The cache that last answered from a copy, or was last asked to keep one.
    pub cache: Id,
    /// When that cache answered or was asked.
    pub known_at: Duration,
}

/// The access history of one part of an object.
#[derive(Debug, Default)]
pub struct PartHistory {
    /// The router's request count at the last access.
    request_count: u64,
    last_access_at: Duration,
    /// The cost of a fill, in milliseconds.
    pub fill_cost: Option<f64>,
    retention_priority: u8,
    /// The last request for the part was not answered, so that the next one counts as its retry.
    pub is_unanswered: bool,
    /// The last known location of a copy.
    pub holder: Option<CopyHolder>,
}

/// The value of one access, to be compared with recent ones.
struct AccessValue {
    /// The fill cost that a copy saves, weighted by access frequency.
    value: f64,
    /// The size divided by the value; lower is better.
    score: f64,
    /// A copy is expected to expire before the next access.
    is_expired: bool,
}

/// The access history by part, with the values of recent accesses.
pub struct AccessHistory {
    parts: LruCache<u32, PartHistory>,
    request_count: u64,
    scores: RecentQuantiles,
    values: RecentQuantiles,
    /// The recent share of first accesses that were hits, on copies that other routers of the zone
    /// had admitted.
    first_access_hit_share: f64,
}

impl Default for AccessHistory {
    fn default() -> AccessHistory {
        AccessHistory::with_capacity(MAX_HISTORY_PARTS)
    }
}

impl AccessHistory {
    /// An empty history that takes at most so many bytes of memory, and holds at most
    /// [`MAX_HISTORY_PARTS`].
    pub fn within(bytes: usize) -> AccessHistory {
        let parts = NonZeroUsize::new(bytes / HISTORY_PART_BYTES).unwrap_or(NonZeroUsize::MIN);
        AccessHistory::with_capacity(parts.min(MAX_HISTORY_PARTS))
    }

    fn with_capacity(parts: NonZeroUsize) -> AccessHistory {
        AccessHistory {
            parts: LruCache::new(parts),
            request_count: 0,
            scores: RecentQuantiles::new(RECENT_ACCESSES),
            values: RecentQuantiles::new(RECENT_ACCESSES),
            first_access_hit_share: 0.0,
        }
    }

    /// Records an access and returns the priority at which a copy is retained; 0: not retained.
    /// `fresh_for` is how long a copy stays fresh; with `is_shared`, a first access counts as a
    /// repeated one.
    pub fn record_access(
        &mut self,
        now: Duration,
        arrival: &IncomingRequest,
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
        // A retry must not count as a second access: it would admit parts that are requested only
        // once.
        if arrival.is_retry || std::mem::take(&mut part.is_unanswered) {
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

    /// Ranks a repeated access among the recent ones and adds it to them.
    fn prioritize(&mut self, access: &AccessValue, previous: u8) -> u8 {
        let is_admitted = self.values.len() < ACCESSES_BEFORE_ADMISSION
            || access.value >= self.values.quantile(ADMISSION_QUANTILE);
        let priority = match self.scores.len() {
            n if n < ACCESSES_BEFORE_PRIORITIES => DEFAULT_PRIORITY,
            _ if access.score < self.scores.quantile(1.0 / 3.0) => 3,
            _ if access.score < self.scores.quantile(2.0 / 3.0) => 2,
            _ => 1,
        };
        self.values.record(access.value);
        self.scores.record(access.score);
        // A copy that expires before its next access is not admitted; if it is already kept, it
        // drops to the lowest priority.
        if access.is_expired {
            return u8::from(previous > 0);
        }
        priority * u8::from(is_admitted)
    }

    /// The history of the requested part.
    pub fn part_mut(&mut self, arrival: &IncomingRequest) -> Option<&mut PartHistory> {
        self.parts.peek_mut(&part_key(arrival))
    }

    /// The cache that was last known to hold a copy of a part.
    pub fn holder(&self, part: u32) -> Option<Id> {
        let holder = self.parts.peek(&part)?.holder.as_ref();
        holder.map(|holder| holder.cache.clone())
    }

    /// Records a copy location reported by another router. That router's request counts as an
    /// access.
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

    /// The recent share of first accesses that were hits.
    pub fn first_access_hit_share(&self) -> f64 {
        self.first_access_hit_share
    }

    /// Records the answer to a first access.
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
        // The time between accesses as a fraction of the freshness lifetime, at most 1.
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
