//! Rate limits of tenants: a token bucket each, and a retry budget that grows with the requests served. Memory
//! is bounded for any number of names: tenants that have been served have buckets of their own, all others
//! share a sketch.
//!
//! A flood of new names cannot evict an honest tenant's state: a name gets a bucket only once it has been
//! served often enough, and buckets are evicted by when they were last served. Before that it is counted in a
//! count-min sketch (Cormode and Muthukrishnan, "An improved data stream summary", 2005), where colliding
//! names are counted as one: a new tenant amid a flood of new names is rejected with them, a known one is not.

use chalkhall::interface::IncomingRequest;
use lru::LruCache;
use std::num::NonZeroUsize;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maximum number of tenants with a bucket, and how often a tenant must have been served to get one.
const MAX_BUCKETS: NonZeroUsize = NonZeroUsize::new(4096).unwrap();
const MIN_SERVED: f64 = 8.0;
/// Dimensions of the count-min sketch.
const SKETCH_ROWS: usize = 4;
const SKETCH_COLUMNS: usize = 2048;
/// Half-life of the sketch's counters.
const HALF_LIFE: Duration = Duration::from_secs(10);

/// Retries earned by each served request, and how many can be saved up: retries add at most a fifth to the
/// load when every request fails, and the saved ones cover a short outage.
const RETRIES_PER_REQUEST: f64 = 0.2;
const MAX_SAVED_RETRIES: f64 = 20.0;

/// One token, less a tolerance for the rounding of summed fractions.
const ONE_TOKEN: f64 = 1.0 - 1e-9;

/// The limits of a tenant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantLimits {
    /// Requests per second, and the burst allowed after a pause.
    pub rate: f64,
    pub burst: f64,
    /// Retries earned by each served request, and how many can be saved up.
    pub retries_per_request: f64,
    pub max_retries: f64,
}

impl TenantLimits {
    /// The operator's rate and burst, with the default retry budget.
    pub fn new(rate: f64, burst: f64) -> TenantLimits {
        TenantLimits {
            rate,
            burst,
            retries_per_request: RETRIES_PER_REQUEST,
            max_retries: MAX_SAVED_RETRIES,
        }
    }
}

/// The key of a request's tenant: its customer where the settings name customers, else its group of objects,
/// whose clients are then limited together.
pub fn tenant_key(arrival: &IncomingRequest, by_customer: bool) -> [u8; 8] {
    if by_customer {
        (arrival.customer as u64).to_le_bytes()
    } else {
        arrival.group.to_le_bytes()
    }
}

/// The decision on a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    Accepted,
    /// Rejected; the earliest time after which a retry can be accepted.
    RetryAfter(Duration),
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    updated_at: Duration,
    tokens: f64,
    retries: f64,
}

impl Bucket {
    fn refill(&mut self, now: Duration, limits: &TenantLimits) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        self.tokens = (self.tokens + limits.rate * elapsed).min(limits.burst);
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Counter {
    updated_at: Duration,
    /// Recent requests, and how many of them were served, with exponential decay.
    requests: f64,
    served: f64,
}

impl Counter {
    fn decay(&mut self, now: Duration) {
        let factor = (-now
            .saturating_sub(self.updated_at)
            .div_duration_f64(HALF_LIFE))
        .exp2();
        (self.updated_at, self.requests, self.served) = (
            self.updated_at.max(now),
            self.requests * factor,
            self.served * factor,
        );
    }
}

/// The limits of all tenants of a cell.
pub struct Tenants {
    limits: TenantLimits,
    buckets: LruCache<u64, Bucket>,
    sketch: Vec<Counter>,
    seed: u64,
}

impl Tenants {
    pub fn new(limits: TenantLimits, seed: u64) -> Tenants {
        Tenants {
            limits,
            buckets: LruCache::new(MAX_BUCKETS),
            sketch: vec![Counter::default(); SKETCH_ROWS * SKETCH_COLUMNS],
            seed,
        }
    }

    fn key(&self, tenant: &[u8]) -> u64 {
        // Seeded per router, so that no client can provoke hash collisions.
        xxh3_64_with_seed(tenant, self.seed)
    }

    fn slots(&self, key: u64) -> [usize; SKETCH_ROWS] {
        std::array::from_fn(|n| {
            n * SKETCH_COLUMNS
                + (xxh3_64_with_seed(&key.to_le_bytes(), n as u64) % SKETCH_COLUMNS as u64) as usize
        })
    }

    /// Decides on a request of a tenant. `is_retry`: the request is known to be a retry.
    pub fn request(&mut self, now: Duration, tenant: &[u8], is_retry: bool) -> Decision {
        let (key, limits) = (self.key(tenant), self.limits);
        if let Some(bucket) = self.buckets.peek_mut(&key) {
            bucket.refill(now, &limits);
            if is_retry && bucket.retries < ONE_TOKEN {
                return Decision::RetryAfter(Duration::from_secs_f64(1.0 / limits.rate.max(1e-3)));
            }
            if bucket.tokens < ONE_TOKEN {
                return Decision::RetryAfter(Duration::from_secs_f64(
                    (1.0 - bucket.tokens) / limits.rate.max(1e-3),
                ));
            }
            bucket.tokens -= 1.0;
            bucket.retries -= f64::from(is_retry);
            return Decision::Accepted;
        }
        // An unknown tenant: the smallest of its counters is an upper bound of its own recent requests.
        let slots = self.slots(key);
        for slot in slots {
            self.sketch[slot].decay(now);
        }
        let requests = slots
            .iter()
            .map(|slot| self.sketch[*slot].requests)
            .fold(f64::INFINITY, f64::min);
        // A counter that halves every half-life converges to rate * half-life / ln 2.
        let steady_state = limits.rate * HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
        if requests + 1.0 > steady_state + limits.burst {
            let excess = (requests + 1.0) / (steady_state + limits.burst);
            return Decision::RetryAfter(HALF_LIFE.mul_f64(excess.log2().clamp(0.01, 1.0)));
        }
        slots
            .iter()
            .for_each(|slot| self.sketch[*slot].requests += 1.0);
        Decision::Accepted
    }

    /// Records that a request of a tenant was served.
    pub fn served(&mut self, now: Duration, tenant: &[u8]) {
        let (key, limits) = (self.key(tenant), self.limits);
        if let Some(bucket) = self.buckets.get_mut(&key) {
            bucket.retries = (bucket.retries + limits.retries_per_request).min(limits.max_retries);
            return;
        }
        let slots = self.slots(key);
        for slot in slots {
            self.sketch[slot].decay(now);
            self.sketch[slot].served += 1.0;
        }
        let served = slots
            .iter()
            .map(|slot| self.sketch[*slot].served)
            .fold(f64::INFINITY, f64::min);
        if served >= MIN_SERVED && self.may_evict(now) {
            let (tokens, retries) = (limits.burst / 2.0, 0.0);
            self.buckets.put(
                key,
                Bucket {
                    updated_at: now,
                    tokens,
                    retries,
                },
            );
            slots
                .iter()
                .for_each(|slot| self.sketch[*slot].served = 0.0);
        }
    }

    /// Whether a bucket can be added: one that was used within the last half-life is not evicted.
    fn may_evict(&self, now: Duration) -> bool {
        let oldest = self
            .buckets
            .peek_lru()
            .filter(|_| self.buckets.len() == MAX_BUCKETS.get());
        oldest.is_none_or(|(_, bucket)| now >= bucket.updated_at + HALF_LIFE)
    }

    /// Number of tenants that have a bucket.
    pub fn known(&self) -> usize {
        self.buckets.len()
    }
}

#[cfg(test)]
mod tests;
