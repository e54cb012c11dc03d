//! The life cycle of requests: a request is answered from a local copy, waits for another request's
//! fill or for a fill slot, is sent to a server, or gets its final answer.

use crate::admission::part_key;
use crate::interface::{Effect, Id, LocalCopy};
use crate::request::{PendingRequest, Route};
use crate::retry::RetryTarget;
use crate::router::{EventContext, Router};
use crate::timers::TimerCallback;
use std::time::Duration;

/// A not-modified answer takes the sending time of the full answer divided by this.
const NOT_MODIFIED_DIVISOR: u32 = 20;
/// The minimum assumed capacity of this router's link, in answers at the clients' rate.
const MIN_LOCAL_CAPACITY: f64 = 0.01;

impl Router {
    /// Takes the next step of a request, unless it is finished or has an attempt in flight.
    pub(crate) fn advance(&mut self, context: &mut EventContext, id: &Id) {
        let request = self.requests.get(id);
        let is_idle = request.is_some_and(|r| !r.is_finished && r.open_attempts == 0);
        if !is_idle || self.answer_locally(context, id, Duration::ZERO) {
            return;
        }
        self.ensure_pools(id);
        let route = self.route(context.now, id);
        if route.as_ref().is_some_and(|r| self.is_likely_fill(id, r)) {
            if self.coalesce(context, id) {
                return;
            }
            if !self.fill_limiter.has_free_slot() {
                return self.enqueue_fill(context, id);
            }
        }
        let is_sent = route.is_some_and(|route| self.send(context, id, route).is_ok());
        let request = self.requests.get(id);
        if !is_sent && request.is_some_and(|r| r.open_attempts == 0) {
            self.finish(context, id);
        }
    }

    /// Answers from a local copy, if the local cache is healthy and this router's link can transfer
    /// the answer in time. The copy may be stale by up to `allowed_staleness`.
    fn answer_locally(
        &mut self,
        context: &mut EventContext,
        id: &Id,
        allowed_staleness: Duration,
    ) -> bool {
        let Some(request) = self.requests.get(id) else {
            return false;
        };
        let capacity = self.endpoints.local_capacity();
        if capacity <= 0.0 || !self.classes[request.arrival.class].cacheable {
            return false;
        }
        let Some(copy) = context.actions.local_copy(id) else {
            return false;
        };
        let sending_time = if copy.client_has_it {
            request.sending_time / NOT_MODIFIED_DIVISOR
        } else {
            request.sending_time
        };
        // An answer is sent at the clients' rate at most; answers use the link one after another.
        let link_time = sending_time.div_f64(capacity.max(MIN_LOCAL_CAPACITY));
        let link_free_at = self.link_free_at.max(context.now) + link_time;
        let complete_at = link_free_at.max(context.now + sending_time);
        let latest = if allowed_staleness.is_zero() {
            request.soft_deadline.min(request.deadline)
        } else {
            request.deadline
        };
        if complete_at > latest || !self.is_local_cache_usable(context.now, request, &copy) {
            return false;
        }
        let route = Route {
            server: copy.cache.clone(),
            source: copy.cache,
            copy_created_at: Some(copy.created_at),
            allowed_staleness,
        };
        let is_sent = self.send(context, id, route).is_ok();
        if is_sent {
            self.link_free_at = link_free_at;
        }
        is_sent
    }

    fn is_local_cache_usable(
        &self,
        now: Duration,
        request: &PendingRequest,
        copy: &LocalCopy,
    ) -> bool {
        let cache = self.endpoints.get(&copy.cache);
        cache.is_some_and(|cache| cache.outliers.is_available(now))
            && !request.failed_servers.contains(&copy.cache)
    }

    /// Waits for a fill of the same part that is in progress, as a second fill would only add load.
    /// A request waits once at most, and leaves time for a fill of its own, as the leader's may
    /// fail.
    fn coalesce(&mut self, context: &mut EventContext, id: &Id) -> bool {
        let Some(request) = self.requests.get_mut(id) else {
            return false;
        };
        let part = part_key(&request.arrival);
        let latest_start = request.latest_start();
        if !self.coalescing.is_filling(part)
            || latest_start <= context.now
            || std::mem::replace(&mut request.has_coalesced, true)
        {
            return false;
        }
        request.waiter_place = self.coalescing.wait(part, id);
        let delay = (latest_start - context.now) / 2;
        self.set_timer(context, delay, TimerCallback::ResumeRequest(id.clone()));
        true
    }

    /// Handles the end of an attempt for coalescing: keeps a local copy of the answer, and resumes
    /// the requests that waited for it.
    pub(crate) fn complete_waiters(&mut self, context: &mut EventContext, id: &Id, served: bool) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let completed = self.coalescing.complete(part_key(&request.arrival), id);
        // A part that other requests waited for has been requested more than once.
        let min_priority = u8::from(completed.is_shared);
        let retention_priority = request.retention_priority.max(min_priority);
        let is_cacheable = self.classes[request.arrival.class].cacheable;
        if served && retention_priority > 0 && is_cacheable {
            context.actions.keep_local_copy(id, retention_priority);
        }
        for waiter in completed.waiters {
            let resume = TimerCallback::ResumeRequest(waiter);
            self.set_timer(context, Duration::ZERO, resume);
        }
    }

    /// Waits for a fill slot, for as long as a fill could still be complete in time.
    fn enqueue_fill(&mut self, context: &mut EventContext, id: &Id) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let latest_start = request.latest_start();
        if context.now >= latest_start {
            return self.finish(context, id);
        }
        if !self.is_queued_for_fill(id) {
            let ticket = self.fill_limiter.enqueue(id);
            if let Some(request) = self.requests.get_mut(id) {
                request.fill_ticket = Some(ticket);
            }
        }
        let timeout = TimerCallback::FillQueueTimeout(id.clone());
        self.set_timer(context, latest_start - context.now, timeout);
    }

    /// Whether a request waits for a fill slot.
    pub(crate) fn is_queued_for_fill(&self, id: &Id) -> bool {
        let ticket = self.requests.get(id).and_then(|r| r.fill_ticket);
        ticket.is_some_and(|ticket| self.fill_limiter.is_queued(ticket))
    }

    /// Resumes queued requests while slots are free, the highest value per unit of work first.
    pub(crate) fn dequeue_fills(&mut self, context: &mut EventContext) {
        loop {
            let (requests, classes) = (&self.requests, &self.classes);
            let next = self.fill_limiter.dequeue(|id| {
                let request = requests.get(id).filter(|request| !request.is_finished)?;
                let work = crate::request::ANSWER_OVERHEAD + request.sending_time;
                Some(classes[request.arrival.class].value / work.as_secs_f64())
            });
            let Some(id) = next else {
                return;
            };
            self.advance(context, &id);
        }
    }

    /// Gives the final answer of an unserved request: a rejection if a retry is safe, else a
    /// failure.
    pub(crate) fn finish(&mut self, context: &mut EventContext, id: &Id) {
        let Some(request) = self.requests.get(id).filter(|r| !r.is_finished) else {
            return;
        };
        // A stale local copy, within the limit of the request's class, is better than no answer.
        let allowed_staleness = self.classes[request.arrival.class].max_staleness;
        if !allowed_staleness.is_zero()
            && request.open_attempts == 0
            && self.answer_locally(context, id, allowed_staleness)
        {
            return;
        }
        let Some(request) = self.requests.get(id) else {
            return;
        };
        if let Some(part) = self.access_history.part_mut(&request.arrival) {
            part.is_unanswered = true;
        }
        if self.may_reject(context.now, request) {
            context.actions.reject(id, self.retry_after);
        } else {
            context.actions.fail(id);
        }
        self.answer_started(id);
        self.close(context, id);
    }

    /// Whether the client may be told that a retry is safe: no attempt can still be executed, or
    /// repeated execution is safe.
    fn may_reject(&self, now: Duration, request: &PendingRequest) -> bool {
        let effect = self.classes[request.arrival.class].effect;
        let is_certain = request.open_attempts == 0 || effect == Effect::Idempotent;
        // The client waits for as long as it is told before it tries again.
        let retried_at = now + self.retry_after.unwrap_or_default();
        is_certain && self.is_safe_to_retry(retried_at, request, &RetryTarget::Client)
    }

    /// Removes a finished request from the queues in which it waits, so that they do not grow with
    /// the requests that are withdrawn.
    fn leave_queues(&mut self, id: &Id) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        if let Some(ticket) = request.fill_ticket.take() {
            self.fill_limiter.leave_queue(ticket);
        }
        if let Some(place) = request.waiter_place.take() {
            self.coalescing.leave(place);
        }
    }

    /// Cancels the timers and the open attempts of a finished request, and removes the request when
    /// all attempts have ended.
    pub(crate) fn close(&mut self, context: &mut EventContext, id: &Id) {
        if !self.requests.get(id).is_some_and(|r| r.is_finished) {
            return;
        }
        self.cancel_timers(context, id);
        self.leave_queues(id);
        let Some(request) = self.requests.get(id) else {
            return;
        };
        if self.may_cancel {
            let attempts = request.attempts.iter().enumerate();
            for (number, _) in attempts.filter(|(_, attempt)| attempt.open.is_some()) {
                context.actions.cancel(id, number);
            }
        }
        if request.open_attempts == 0 {
            self.requests.remove(id);
        }
    }
}

#[cfg(test)]
mod tests;
