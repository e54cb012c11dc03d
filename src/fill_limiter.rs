//! The fill limiter: a concurrency limit on the fills of this router (rule 4), adjusted by additive
//! increase and multiplicative decrease, and the queue of requests that wait for a slot.
//!
//! More fills than links and sources complete in time make all of them late, and a fill that times
//! out has used their capacity for nothing.

use crate::interface::Id;
use crate::wait_queue::{Ticket, WaitQueue};
use std::time::Duration;

/// The factor by which a backoff reduces the limit.
const BACKOFF_FACTOR: f64 = 0.8;
/// The maximum relative increase of the limit for one fill that is complete in time.
const MAX_GROWTH: f64 = 0.02;
/// The share of late fills above which the limit backs off. At high rates some fill is always late,
/// for example of a large object, and a backoff for each would stop nearly all fills.
const LATE_SHARE_THRESHOLD: f64 = 0.03;
/// The minimum interval between two backoffs, and the time after which the weight of a past fill
/// has decayed to 1/e.
const BACKOFF_INTERVAL: Duration = Duration::from_millis(250);
const MIN_LIMIT: f64 = 1.0;

/// What the result of a fill tells of the load on links and sources.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FillResult {
    /// The fill was complete in time.
    InTime,
    /// The fill was late, or failed under load.
    Late,
    /// The result has a cause other than load.
    Unrelated,
}

/// The exponentially decaying counts of recent fills and of late ones among them.
#[derive(Debug, Default)]
struct LateFillWindow {
    updated_at: Duration,
    ended: f64,
    late: f64,
}

impl LateFillWindow {
    fn record(&mut self, now: Duration, is_late: bool) {
        let elapsed = now.saturating_sub(self.updated_at);
        let decay = (-elapsed.div_duration_f64(BACKOFF_INTERVAL)).exp();
        self.ended = self.ended * decay + 1.0;
        self.late = self.late * decay + f64::from(is_late);
        self.updated_at = now;
    }

    fn exceeds_late_share(&self) -> bool {
        self.late > LATE_SHARE_THRESHOLD * self.ended
    }
}

/// The number of fills in flight, its limit, and the requests that wait for a slot.
#[derive(Debug)]
pub struct FillLimiter {
    in_flight: f64,
    /// Infinite until the first late fill; before that the capacity of links and sources is
    /// unknown.
    limit: f64,
    last_backoff_at: Duration,
    recent: LateFillWindow,
    queue: WaitQueue,
}

impl Default for FillLimiter {
    fn default() -> FillLimiter {
        FillLimiter {
            in_flight: 0.0,
            limit: f64::INFINITY,
            last_backoff_at: Duration::ZERO,
            recent: LateFillWindow::default(),
            queue: WaitQueue::default(),
        }
    }
}

impl FillLimiter {
    pub fn has_free_slot(&self) -> bool {
        self.in_flight < self.limit
    }

    /// Occupies a slot for a fill.
    pub fn acquire(&mut self) {
        self.in_flight += 1.0;
    }

    /// Frees the slot of a fill.
    pub fn release(&mut self) {
        self.in_flight -= 1.0;
    }

    /// Adjusts the limit to the result of a fill. `fair_share` returns this router's share of the
    /// listed capacity of its zone's caches.
    pub fn record_result(
        &mut self,
        now: Duration,
        result: FillResult,
        fair_share: impl FnOnce() -> f64,
    ) {
        if result == FillResult::InTime && self.in_flight + 1.0 >= self.limit / 2.0 {
            self.limit += (MAX_GROWTH * self.limit).min(1.0 / self.limit);
        }
        let is_late = result == FillResult::Late;
        self.recent.record(now, is_late);
        let may_back_off = now >= self.last_backoff_at + BACKOFF_INTERVAL;
        if is_late && may_back_off && self.recent.exceeds_late_share() {
            self.back_off(now, fair_share);
        }
    }

    fn back_off(&mut self, now: Duration, fair_share: impl FnOnce() -> f64) {
        // A late fill with few others in flight does not show that the capacity is that low: the
        // limit starts at the fair share or above.
        if self.limit.is_infinite() {
            self.limit = fair_share().max(self.in_flight + 1.0);
        }
        self.limit = (self.limit * BACKOFF_FACTOR).max(MIN_LIMIT);
        self.last_backoff_at = now;
    }

    /// Adds a request to the queue for a slot. Returns its place in the queue.
    pub fn enqueue(&mut self, request: &Id) -> Ticket {
        self.queue.push(request)
    }

    /// Whether the request with this ticket is queued for a slot.
    pub fn is_queued(&self, ticket: Ticket) -> bool {
        self.queue.contains(ticket)
    }

    /// Removes a request that does not need a slot any more from the queue.
    pub fn leave_queue(&mut self, ticket: Ticket) {
        self.queue.remove(ticket);
    }

    /// Removes the request with the highest value per unit of work from the queue, if a slot is
    /// free. `value` returns that value, or `None` for a finished request, which is dropped.
    pub fn dequeue(&mut self, value: impl Fn(&Id) -> Option<f64>) -> Option<Id> {
        if !self.has_free_slot() || self.queue.is_empty() {
            return None;
        }
        self.queue.retain(|request| value(request).is_some());
        let queued = self.queue.iter();
        let values = queued.filter_map(|(ticket, request)| Some((ticket, value(request)?)));
        let (best, _) = values.max_by(|(_, a), (_, b)| a.total_cmp(b))?;
        self.queue.remove(best)
    }

    /// The number of queued requests.
    #[cfg(test)]
    pub fn queue_length(&self) -> usize {
        self.queue.len()
    }
}

#[cfg(test)]
mod tests;
