//! The fill limiter: a concurrency limit on the fills of this router (rule 4), found by additive
//! increase and multiplicative decrease, and the queue of requests that wait for a slot.
//!
//! More fills than links and sources end in time make all of them late, and what times out has used
//! them for nothing.

use crate::interface::Id;
use std::time::Duration;

/// What the limit is multiplied by when it backs off.
const BACKOFF: f64 = 0.8;
/// The greatest share by which one fill that ended in time raises the limit.
const GROWTH: f64 = 0.02;
/// The share of late fills that makes the limit back off: at high rates some fill is always late,
/// of a large object perhaps, and backing off for each would choke all.
const LATE_SHARE: f64 = 0.03;
/// The least time between two backoffs, and that after which past fills count for 1/e.
const BACKOFF_INTERVAL: Duration = Duration::from_millis(250);
/// The least limit.
const LEAST_LIMIT: f64 = 1.0;

/// What the end of a fill says of the load that links and sources bear.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FillResult {
    /// It was complete in time.
    InTime,
    /// It was late, or failed under load.
    Late,
    /// Nothing: its end had another cause.
    Unrelated,
}

/// How many fills ended lately, and how many of them late; both fade with time.
#[derive(Debug, Default)]
struct LateFillWindow {
    updated_at: Duration,
    ended: f64,
    late: f64,
}

impl LateFillWindow {
    fn record(&mut self, now: Duration, is_late: bool) {
        let elapsed = now.saturating_sub(self.updated_at);
        let fading = (-elapsed.div_duration_f64(BACKOFF_INTERVAL)).exp();
        self.ended = self.ended * fading + 1.0;
        self.late = self.late * fading + f64::from(is_late);
        self.updated_at = now;
    }

    fn has_many_late(&self) -> bool {
        self.late > LATE_SHARE * self.ended
    }
}

/// The fills in flight, how many may be, and the requests that wait for a slot.
#[derive(Debug)]
pub struct FillLimiter {
    in_flight: f64,
    /// Infinite until a fill was late: until then nothing says what links and sources bear.
    limit: f64,
    last_backoff_at: Duration,
    recent: LateFillWindow,
    queue: Vec<Id>,
}

impl Default for FillLimiter {
    fn default() -> FillLimiter {
        FillLimiter {
            in_flight: 0.0,
            limit: f64::INFINITY,
            last_backoff_at: Duration::ZERO,
            recent: LateFillWindow::default(),
            queue: Vec::new(),
        }
    }
}

impl FillLimiter {
    /// Whether another fill may start.
    pub fn has_free_slot(&self) -> bool {
        self.in_flight < self.limit
    }

    /// A fill takes a slot.
    pub fn acquire(&mut self) {
        self.in_flight += 1.0;
    }

    /// A fill gives its slot back.
    pub fn release(&mut self) {
        self.in_flight -= 1.0;
    }

    /// A fill ended, and the limit follows. `fair_share` gives this router's share of what the
    /// caches of its zone are listed with.
    pub fn record_result(
        &mut self,
        now: Duration,
        result: FillResult,
        fair_share: impl FnOnce() -> f64,
    ) {
        if result == FillResult::InTime && self.in_flight + 1.0 >= self.limit / 2.0 {
            self.limit += (GROWTH * self.limit).min(1.0 / self.limit);
        }
        let is_late = result == FillResult::Late;
        self.recent.record(now, is_late);
        let may_back_off = now >= self.last_backoff_at + BACKOFF_INTERVAL;
        if is_late && may_back_off && self.recent.has_many_late() {
            self.back_off(now, fair_share);
        }
    }

    fn back_off(&mut self, now: Duration, fair_share: impl FnOnce() -> f64) {
        // A late fill with few in flight is no sign that links and sources bear so few: less than
        // the fair share it is not.
        if self.limit.is_infinite() {
            self.limit = fair_share().max(self.in_flight + 1.0);
        }
        self.limit = (self.limit * BACKOFF).max(LEAST_LIMIT);
        self.last_backoff_at = now;
    }

    /// A request waits for a slot.
    pub fn enqueue(&mut self, request: &Id) {
        self.queue.push(request.clone());
    }

    /// Whether a request waits for a slot.
    pub fn is_queued(&self, request: &Id) -> bool {
        self.queue.contains(request)
    }

    /// Takes the request of the greatest value for its work out of the queue, if a slot is free.
    /// `value` tells that value, and nothing for a request that is over, which is dropped.
    pub fn dequeue(&mut self, value: impl Fn(&Id) -> Option<f64>) -> Option<Id> {
        if !self.has_free_slot() || self.queue.is_empty() {
            return None;
        }
        self.queue.retain(|request| value(request).is_some());
        let values = self.queue.iter().map(&value);
        let values = values
            .enumerate()
            .filter_map(|(n, value)| Some((n, value?)));
        let (best, _) = values.max_by(|(_, a), (_, b)| a.total_cmp(b))?;
        Some(self.queue.remove(best))
    }
}

#[cfg(test)]
mod tests;
