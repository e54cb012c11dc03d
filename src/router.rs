//! The router: a state machine without I/O that makes every decision about requests.
//!
//! [`Router::start`] creates it; each kind of event has a method, which takes the time since the
//! start and the [`ActionSink`] for the router's actions. The state is held by modules with one
//! concern each. `lifecycle` decides the next step of a request, `routing` selects its destination,
//! `dispatch` enforces the rules for sending it, and `completion` and `overdue` process results and
//! missing results of attempts.

use crate::adaptive_timeout::AdaptiveTimeout;
use crate::admission::AccessHistory;
use crate::coalescing::Coalescing;
use crate::endpoints::EndpointList;
use crate::fill_limiter::FillLimiter;
use crate::interface::*;
use crate::purge::PurgeLog;
use crate::request::PendingRequest;
use crate::slow_start::SlowStart;
use crate::timers::{TimerCallback, Timers};
use std::collections::HashMap;
use std::time::Duration;

/// The maximum retry delay that rejected clients are told.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(200);
/// The delay before the endpoint list is requested again.
const LIST_RECONNECT_DELAY: Duration = Duration::from_millis(1000);
/// How long after its decision an attempt may be sent, if the deployment sets no grace period.
const DEFAULT_SEND_TIMEOUT: Duration = Duration::from_millis(500);
/// The upper bound of the sending time of an answer.
const MAX_SENDING_SECONDS: f64 = 1e6;

/// The context of an event: its time, and the receiver of the router's actions.
pub(crate) struct EventContext<'a> {
    pub(crate) now: Duration,
    pub(crate) actions: &'a mut dyn ActionSink,
}

/// The state of a router.
#[derive(Default)]
pub struct Router {
    pub(crate) zone: usize,
    pub(crate) classes: Vec<Class>,
    /// The maximum delay until an action takes effect.
    pub(crate) max_action_delay: Duration,
    /// How long after its decision an attempt may be sent, by rules 3 and 5.
    pub(crate) send_timeout: Duration,
    client_kb_per_s: f64,
    pub(crate) routers_in_zone: f64,
    pub(crate) max_attempts: usize,
    pub(crate) may_cancel: bool,
    /// The retry delay that rejected clients are told, also by rejections of the front end.
    pub retry_after: Option<Duration>,
    /// Whether attempts can be sent to parents and origins directly.
    pub(crate) passes_through: bool,
    pub(crate) joins_fills: bool,
    /// When this router's link becomes free.
    pub(crate) link_free_at: Duration,

    pub(crate) endpoints: EndpointList,
    pub(crate) access_history: AccessHistory,
    pub(crate) slow_start: SlowStart,
    pub(crate) purges: PurgeLog,
    pub(crate) fill_limiter: FillLimiter,
    pub(crate) coalescing: Coalescing,
    pub(crate) attempt_timeout: AdaptiveTimeout,
    pub(crate) requests: HashMap<Id, PendingRequest>,
    pub(crate) timers: Timers,
    random: fastrand::Rng,
    /// The total number of servers considered by selections.
    #[cfg(test)]
    pub(crate) considered: std::cell::Cell<usize>,
}

impl Router {
    /// Creates a router with an empty endpoint list.
    pub fn start(now: Duration, deployment: &Deployment, actions: &mut dyn ActionSink) -> Router {
        let in_zone = deployment.routers_per_zone.get(deployment.zone).copied();
        let routers_in_zone = in_zone.unwrap_or(deployment.routers).max(1) as f64;
        if deployment.list_on_request {
            actions.subscribe_list();
        }
        let max_action_delay = deployment.min_call_interval * 2;
        let has_rate_limit = deployment.client_kb_per_s > 0.0;
        Router {
            zone: deployment.zone,
            classes: deployment.classes.clone(),
            max_action_delay,
            send_timeout: shortest_grace(deployment).unwrap_or(DEFAULT_SEND_TIMEOUT),
            client_kb_per_s: if has_rate_limit {
                deployment.client_kb_per_s
            } else {
                f64::INFINITY
            },
            routers_in_zone,
            max_attempts: deployment.max_attempts.max(1),
            may_cancel: deployment.may_cancel,
            retry_after: deployment
                .max_retry_after
                .map(|max_retry_after| max_retry_after.min(MAX_RETRY_AFTER)),
            passes_through: deployment.pass_through,
            joins_fills: deployment.joins_fills,
            slow_start: SlowStart::new(now, deployment, routers_in_zone),
            purges: PurgeLog::new(now, deployment.purge_done + max_action_delay),
            random: fastrand::Rng::with_seed(deployment.seed),
            access_history: deployment
                .access_history_bytes
                .map_or_else(AccessHistory::default, AccessHistory::within),
            ..Router::default()
        }
    }

    /// Updates the endpoint list. The health state of a restarted server is reset.
    pub fn update_list(
        &mut self,
        now: Duration,
        kind: ListKind,
        members: &[Member],
        actions: &mut dyn ActionSink,
    ) {
        match kind {
            ListKind::Changes => self.endpoints.change(members),
            ListKind::Snapshot | ListKind::Restored => self.endpoints.replace(members),
            ListKind::Failed => {
                // Without a subscription the router would not learn of drains.
                let context = &mut EventContext { now, actions };
                self.set_timer(context, LIST_RECONNECT_DELAY, TimerCallback::ReconnectList);
            }
        }
    }

    /// Handles an incoming request. It gets exactly one final answer, by its deadline.
    pub fn request(
        &mut self,
        now: Duration,
        arrival: IncomingRequest,
        actions: &mut dyn ActionSink,
    ) {
        let context = &mut EventContext { now, actions };
        let id = arrival.id.clone();
        let request = self.pending_request(now, arrival);
        let remaining = request.deadline.saturating_sub(now);
        self.requests.insert(id.clone(), request);
        let deadline = TimerCallback::RequestDeadline(id.clone());
        self.set_timer(context, remaining, deadline);
        self.advance(context, &id);
    }

    fn pending_request(&mut self, now: Duration, arrival: IncomingRequest) -> PendingRequest {
        let class = &self.classes[arrival.class];
        let is_known = !class.cacheable || self.access_history.part_mut(&arrival).is_some();
        // With more routers in the zone, a first access here is more often a repeated one in the
        // zone.
        let others = 1.0 - 1.0 / self.routers_in_zone;
        let shared_share = self.access_history.first_access_hit_share().max(others);
        let is_shared = self.random.f64() < shared_share;
        let retention_priority = if class.cacheable {
            self.access_history
                .record_access(now, &arrival, class.fresh, is_shared)
        } else {
            0
        };
        let sending_seconds = arrival.kb / self.client_kb_per_s;
        let sending_time = Duration::from_secs_f64(sending_seconds.clamp(0.0, MAX_SENDING_SECONDS));
        PendingRequest {
            retention_priority,
            is_first_access: !is_known,
            sending_time,
            soft_deadline: now
                + class.soft_deadline
                + sending_time.mul_f64(class.soft_deadline_multiple),
            deadline: now + arrival.time_left.saturating_sub(self.max_action_delay),
            attempts: Vec::new(),
            open_attempts: 0,
            is_finished: false,
            has_coalesced: false,
            possible_execution: None,
            failed_servers: Vec::new(),
            suspected_errors: Vec::new(),
            fill_ticket: None,
            waiter_place: None,
            timers: Vec::new(),
            arrival,
        }
    }

    /// Handles the departure of a client; its request needs no answer.
    pub fn client_left(&mut self, now: Duration, id: &Id, actions: &mut dyn ActionSink) {
        self.answer_started(id);
        self.close(&mut EventContext { now, actions }, id);
    }

    /// Handles the start of a streamed answer, which is not interrupted; the request needs no other
    /// answer.
    pub fn answer_started(&mut self, id: &Id) {
        if let Some(request) = self.requests.get_mut(id) {
            request.is_finished = true;
        }
    }

    /// Handles the end of an attempt. Only the first result of an attempt counts.
    pub fn attempt_ended(
        &mut self,
        now: Duration,
        id: &Id,
        attempt: usize,
        result: &AttemptResult,
        actions: &mut dyn ActionSink,
    ) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let slot = request.attempts.get_mut(attempt);
        let Some(open) = slot.and_then(|attempt| attempt.open.take()) else {
            return;
        };
        request.open_attempts -= 1;
        request.is_finished |= result.is_complete;
        let context = &mut EventContext { now, actions };
        self.complete_attempt(context, id, attempt, &open, result);
        self.close(context, id);
    }

    /// Handles a purge of an object, or of a group if `object` is `None`, made `ago` before `now`.
    pub fn record_purge(&mut self, now: Duration, object: Option<Id>, group: u64, ago: Duration) {
        let purged_at = now.saturating_sub(ago);
        self.purges.record(now, purged_at, object, group);
    }

    /// Handles a report of discovery that it has sent all of its events up to `as_of`. Without such
    /// reports local copies are not used: purges may have been missed.
    pub fn confirm_discovery(&mut self, as_of: Duration) {
        self.purges.confirm_complete(as_of);
    }

    /// Handles the gossip of another router of the zone that a cache holds a part or was asked to
    /// keep it. The next access here counts as a repeated one, and is not expected to fill.
    pub fn record_peer_finding(&mut self, now: Duration, part: u32, cache: Id) {
        self.access_history.record_holder(now, part, cache);
    }

    /// All listed members.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.endpoints.members()
    }

    /// A member by name, if it is listed.
    pub fn member(&self, server: &Id) -> Option<&Member> {
        self.endpoints.get(server).map(|endpoint| &endpoint.member)
    }

    /// The listed caches of this router's zone.
    pub fn caches(&self) -> impl Iterator<Item = &Member> {
        self.endpoints.caches_of(self.zone)
    }

    /// Sets the adjustment of a cache's selection weight, as agreed among the routers of its zone.
    pub fn adjust_weight(&mut self, cache: &Id, adjustment: f64) {
        self.endpoints.adjust_weight(cache, adjustment);
    }

    /// Handles a timer.
    pub fn wake(&mut self, now: Duration, timer_id: u64, actions: &mut dyn ActionSink) {
        let Some(callback) = self.timers.fire(timer_id) else {
            return;
        };
        let context = &mut EventContext { now, actions };
        match callback {
            TimerCallback::ReconnectList => context.actions.subscribe_list(),
            TimerCallback::RequestDeadline(id) => self.finish(context, &id),
            TimerCallback::ResumeRequest(id) => self.advance(context, &id),
            TimerCallback::FillQueueTimeout(id) => {
                if self.is_queued_for_fill(&id) {
                    self.finish(context, &id);
                }
            }
            TimerCallback::AttemptTimeout { request, attempt } => {
                self.check_overdue_attempt(context, &request, attempt);
            }
        }
    }

    pub(crate) fn set_timer(
        &mut self,
        context: &mut EventContext,
        delay: Duration,
        callback: TimerCallback,
    ) {
        let due = context.now + delay;
        let request = callback.request().cloned();
        let id = self.timers.set(due, callback);
        if let Some(request) = request.and_then(|request| self.requests.get_mut(&request)) {
            request.timers.push(id);
        }
        context.actions.set_timer(due, id);
    }

    /// Cancels the timers of a finished request. Otherwise they would be kept until they are due,
    /// however many requests are withdrawn meanwhile.
    pub(crate) fn cancel_timers(&mut self, context: &mut EventContext, id: &Id) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        for timer_id in std::mem::take(&mut request.timers) {
            if let Some(due) = self.timers.cancel(timer_id) {
                context.actions.cancel_timer(due, timer_id);
            }
        }
    }
}

/// The shortest grace period of a drain or a purge. An attempt that is written within this time
/// after its decision is written before the grace period of any later drain or purge ends.
fn shortest_grace(deployment: &Deployment) -> Option<Duration> {
    let graces = [deployment.drain_grace, deployment.purge_grace];
    graces.into_iter().filter(|grace| !grace.is_zero()).min()
}

#[cfg(test)]
mod tests;
