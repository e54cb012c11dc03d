//! What a tenant may ask for: a rate with bursts, and a budget of retries that grows with what it has
//! served. State is bounded however many names come: tenants that were served keep theirs, the rest share
//! what a sketch remembers.
//!
//! A flood of new names cannot evict an honest tenant's state: a name gets a row of its own only once it has
//! been served so often, and rows leave by when they were last served. Before that it is counted in a
//! count-min sketch (Cormode and Muthukrishnan, "An improved data stream summary", 2005), where names that
//! meet are taken for one: a new tenant among a flood of new ones is rejected with them, an old one is not.

use chalkhall::interface::Arrival;
use lru::LruCache;
use std::num::NonZeroUsize;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Rows of tenants known by name, and how often one must have been served to get one.
const ROWS: NonZeroUsize = NonZeroUsize::new(4096).unwrap();
const SERVED_FOR_ROW: f64 = 8.0;
/// The sketch: rows and columns.
const DEEP: usize = 4;
const WIDE: usize = 2048;
/// What the sketch remembers halves in this time.
const FADES: Duration = Duration::from_secs(10);

/// Retries for each request of a tenant that was served, and how many may be saved up: a fifth more work at
/// the most once all fails, and enough for a short break.
const RETRIES: f64 = 0.2;
const RETRIES_MOST: f64 = 20.0;

/// One, as far as sums of parts of it go.
const WHOLE: f64 = 1.0 - 1e-9;

/// What a tenant may do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowed {
    /// Requests a second, and how many at once after a pause.
    pub rate: f64,
    pub burst: f64,
    /// Retries for each request served, and how many may be saved up.
    pub retries: f64,
    pub retries_most: f64,
}

impl Allowed {
    /// A rate with a burst, as the operator gives them, and the usual retries.
    pub fn at(rate: f64, burst: f64) -> Allowed {
        Allowed {
            rate,
            burst,
            retries: RETRIES,
            retries_most: RETRIES_MOST,
        }
    }
}

/// Whose request it is: the customer's where the settings name customers, else all who ask for its group of
/// objects, who are then limited together.
pub fn tenant(arrival: &Arrival, by_customer: bool) -> [u8; 8] {
    if by_customer {
        (arrival.customer as u64).to_le_bytes()
    } else {
        arrival.group.to_le_bytes()
    }
}

/// What becomes of a request at the door.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    Taken,
    /// Rejected; a further one is taken after so long at the earliest.
    Late(Duration),
}

#[derive(Clone, Copy, Debug)]
struct Row {
    at: Duration,
    tokens: f64,
    retries: f64,
}

impl Row {
    fn fill(&mut self, now: Duration, allowed: &Allowed) {
        let since = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        self.tokens = (self.tokens + allowed.rate * since).min(allowed.burst);
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Column {
    at: Duration,
    /// Requests lately, and how many of them were served.
    asked: f64,
    served: f64,
}

impl Column {
    fn fade(&mut self, now: Duration) {
        let fades = (-now.saturating_sub(self.at).div_duration_f64(FADES)).exp2();
        (self.at, self.asked, self.served) =
            (self.at.max(now), self.asked * fades, self.served * fades);
    }
}

/// The limits of all tenants of a cell.
pub struct Tenants {
    allowed: Allowed,
    rows: LruCache<u64, Row>,
    sketch: Vec<Column>,
    seed: u64,
}

impl Tenants {
    pub fn new(allowed: Allowed, seed: u64) -> Tenants {
        Tenants {
            allowed,
            rows: LruCache::new(ROWS),
            sketch: vec![Column::default(); DEEP * WIDE],
            seed,
        }
    }

    fn key(&self, tenant: &[u8]) -> u64 {
        // A seed of its own: nobody outside can make names meet on purpose.
        xxh3_64_with_seed(tenant, self.seed)
    }

    fn columns(&self, key: u64) -> [usize; DEEP] {
        std::array::from_fn(|n| {
            n * WIDE + (xxh3_64_with_seed(&key.to_le_bytes(), n as u64) % WIDE as u64) as usize
        })
    }

    /// A request of a tenant comes; `again`: it is known to be a retry.
    pub fn request(&mut self, now: Duration, tenant: &[u8], again: bool) -> Verdict {
        let (key, allowed) = (self.key(tenant), self.allowed);
        if let Some(row) = self.rows.peek_mut(&key) {
            row.fill(now, &allowed);
            if again && row.retries < WHOLE {
                return Verdict::Late(Duration::from_secs_f64(1.0 / allowed.rate.max(1e-3)));
            }
            if row.tokens < WHOLE {
                return Verdict::Late(Duration::from_secs_f64(
                    (1.0 - row.tokens) / allowed.rate.max(1e-3),
                ));
            }
            row.tokens -= 1.0;
            row.retries -= f64::from(again);
            return Verdict::Taken;
        }
        // Known to nobody: what the least filled of its columns has asked for lately is at least its own.
        let columns = self.columns(key);
        for at in columns {
            self.sketch[at].fade(now);
        }
        let asked = columns
            .iter()
            .map(|at| self.sketch[*at].asked)
            .fold(f64::INFINITY, f64::min);
        // What fades by half in a span adds up to the rate times the span over ln 2.
        let steady = allowed.rate * FADES.as_secs_f64() / std::f64::consts::LN_2;
        if asked + 1.0 > steady + allowed.burst {
            let over = (asked + 1.0) / (steady + allowed.burst);
            return Verdict::Late(FADES.mul_f64(over.log2().clamp(0.01, 1.0)));
        }
        columns.iter().for_each(|at| self.sketch[*at].asked += 1.0);
        Verdict::Taken
    }

    /// A request of a tenant was served.
    pub fn served(&mut self, now: Duration, tenant: &[u8]) {
        let (key, allowed) = (self.key(tenant), self.allowed);
        if let Some(row) = self.rows.get_mut(&key) {
            row.retries = (row.retries + allowed.retries).min(allowed.retries_most);
            return;
        }
        let columns = self.columns(key);
        for at in columns {
            self.sketch[at].fade(now);
            self.sketch[at].served += 1.0;
        }
        let served = columns
            .iter()
            .map(|at| self.sketch[*at].served)
            .fold(f64::INFINITY, f64::min);
        if served >= SERVED_FOR_ROW && self.may_evict(now) {
            let (tokens, retries) = (allowed.burst / 2.0, 0.0);
            self.rows.put(
                key,
                Row {
                    at: now,
                    tokens,
                    retries,
                },
            );
            columns.iter().for_each(|at| self.sketch[*at].served = 0.0);
        }
    }

    /// A row that was of use lately is not given up for a new name.
    fn may_evict(&self, now: Duration) -> bool {
        let oldest = self
            .rows
            .peek_lru()
            .filter(|_| self.rows.len() == ROWS.get());
        oldest.is_none_or(|(_, row)| now >= row.at + FADES)
    }

    /// Tenants known by name.
    pub fn known(&self) -> usize {
        self.rows.len()
    }
}

#[cfg(test)]
mod tests;
