//! Admission to the disk tier: writes wear out the disk and slow down reads, so only the best copies are
//! written.
//!
//! Each copy has a rank from its access history. Two token buckets, one per second and one per day, limit the
//! bytes written: the emptier they are, the higher the rank that is required. Copies that expire before they
//! are likely to be read again are never written.

use std::time::Duration;

const DAY: Duration = Duration::from_secs(24 * 3600);
/// The capacity of the per-second bucket, in seconds of its rate.
const BURST_SECONDS: f64 = 10.0;
/// The share of both buckets that must remain after a write of rank 1, 2 and 3.
const MIN_FILL_BY_RANK: [f64; 3] = [0.5, 0.25, 0.0];

/// Why a copy is not written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Its remaining freshness is too short.
    ExpiresSoon,
    /// Its record is too large for a segment, or its texts are too long for a record.
    TooLarge,
    /// The remaining budget is reserved for higher ranks.
    OverBudget,
    /// The disk is ejected or not open yet, the index is full, no segment is free, or too many writes are
    /// pending.
    DiskUnavailable,
    /// It was purged, or a copy at least as new is held.
    Outdated,
}

pub struct Admission {
    /// The rates of the two buckets; `None`: unlimited.
    bytes_per_second: Option<f64>,
    bytes_per_day: Option<f64>,
    tokens: [f64; 2],
    started: Duration,
    refilled_at: Duration,
    least_fresh: Duration,
    admitted: u64,
    carried: u64,
}

impl Admission {
    pub fn new(
        bytes_per_second: Option<u64>,
        bytes_per_day: Option<u64>,
        least_fresh: Duration,
        now: Duration,
    ) -> Admission {
        let [bytes_per_second, bytes_per_day] =
            [bytes_per_second, bytes_per_day].map(|bytes| bytes.map(|bytes| bytes as f64));
        let tokens = [
            bytes_per_second.unwrap_or(0.0) * BURST_SECONDS,
            bytes_per_day.unwrap_or(0.0),
        ];
        Admission {
            bytes_per_second,
            bytes_per_day,
            tokens,
            started: now,
            refilled_at: now,
            least_fresh,
            admitted: 0,
            carried: 0,
        }
    }

    /// Admits a copy of this rank if the budget allows it. `fresh` is its remaining freshness; `None`: until it
    /// is purged.
    pub fn admits(
        &mut self,
        now: Duration,
        bytes: usize,
        rank: u8,
        fresh: Option<Duration>,
    ) -> Result<(), Refusal> {
        if fresh.is_some_and(|fresh| fresh < self.least_fresh) {
            return Err(Refusal::ExpiresSoon);
        }
        self.refill(now);
        let need = MIN_FILL_BY_RANK[usize::from(rank.clamp(1, 3)) - 1];
        let limits = [
            self.bytes_per_second.map(|a| a * BURST_SECONDS),
            self.bytes_per_day,
        ];
        let over_budget = limits.iter().zip(self.tokens).any(|(limit, available)| {
            limit.is_some_and(|limit| {
                available < bytes as f64 || available - (bytes as f64) < need * limit
            })
        });
        if over_budget {
            return Err(Refusal::OverBudget);
        }
        self.consume(bytes);
        self.admitted += bytes as u64;
        Ok(())
    }

    /// Whether a record may be carried over from a reclaimed segment. Carried bytes are limited to `share` of
    /// the admitted bytes, which bounds write amplification.
    pub fn admits_carry(&mut self, now: Duration, bytes: usize, share: f64) -> bool {
        self.refill(now);
        let allowed = (self.carried + bytes as u64) as f64 <= share * self.admitted as f64;
        if allowed {
            self.consume(bytes);
            self.carried += bytes as u64;
        }
        allowed
    }

    pub fn started(&self) -> Duration {
        self.started
    }

    /// Bytes admitted and bytes carried over.
    pub fn written(&self) -> (u64, u64) {
        (self.admitted, self.carried)
    }

    fn consume(&mut self, bytes: usize) {
        self.tokens
            .iter_mut()
            .for_each(|available| *available = (*available - bytes as f64).max(0.0));
    }

    fn refill(&mut self, now: Duration) {
        let since = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        let [second, day] = &mut self.tokens;
        if let Some(bytes_per_second) = self.bytes_per_second {
            *second = (*second + bytes_per_second * since).min(bytes_per_second * BURST_SECONDS);
        }
        if let Some(bytes_per_day) = self.bytes_per_day {
            *day = (*day + bytes_per_day * since / DAY.as_secs_f64()).min(bytes_per_day);
        }
    }
}

#[cfg(test)]
mod tests;
