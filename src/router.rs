//! The router: every decision about every request, as a state machine without I/O.
//!
//! [`Router::start`] once, then one method for each thing that happens, each with the time since
//! the start and the sink through which the router acts. The state is held by modules with one
//! concern each; what a request does next is decided in `lifecycle`, where to in `routing`, whether
//! it may in `dispatch`, and what is learnt from the end of an attempt, or from its silence, in
//! `completion` and `overdue`.

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

/// The wait that a rejected client is advised at most.
const RETRY_AFTER: Duration = Duration::from_millis(200);
/// The wait before the endpoint list is asked for again.
const LIST_RECONNECT_DELAY: Duration = Duration::from_millis(1000);
/// The sending time of an answer counts as no more than this.
const LONGEST_SENDING_SECONDS: f64 = 1e6;

/// What every step of a decision needs: the time, and the sink of actions.
pub(crate) struct EventContext<'a> {
    pub(crate) now: Duration,
    pub(crate) actions: &'a mut dyn Outlet,
}

/// All decisions of one router.
#[derive(Default)]
pub struct Router {
    pub(crate) zone: usize,
    pub(crate) classes: Vec<Class>,
    /// An action takes effect so much later, at most.
    pub(crate) margin: Duration,
    client_kb_per_s: f64,
    pub(crate) routers_in_zone: f64,
    pub(crate) max_attempts: usize,
    pub(crate) may_cancel: bool,
    /// The wait that a rejected client is advised, by the front end's own rejections too.
    pub advice: Option<Duration>,
    /// Parents and origin take attempts too.
    pub(crate) passes_through: bool,
    pub(crate) joins_fills: bool,
    /// When this router's own link is free again.
    pub(crate) link_free_at: Duration,

    pub(crate) endpoints: EndpointList,
    pub(crate) access_history: AccessHistory,
    pub(crate) slow_start: SlowStart,
    pub(crate) purges: PurgeLog,
    pub(crate) fill_limiter: FillLimiter,
    pub(crate) coalescing: Coalescing,
    pub(crate) attempt_timeout: AdaptiveTimeout,
    pub(crate) requests: HashMap<Id, PendingRequest>,
    timers: Timers,
    random: fastrand::Rng,
    /// How many servers were considered, in all.
    #[cfg(test)]
    pub(crate) considered: std::cell::Cell<usize>,
}

impl Router {
    /// A router of this deployment, without a list of endpoints yet.
    pub fn start(now: Duration, deployment: &Deployment, actions: &mut dyn Outlet) -> Router {
        let in_zone = deployment.routers_at.get(deployment.zone).copied();
        let routers_in_zone = in_zone.unwrap_or(deployment.routers).max(1) as f64;
        if deployment.list_on_request {
            actions.watch_list();
        }
        let margin = deployment.tick * 2;
        let is_paced = deployment.client_kb_per_s > 0.0;
        Router {
            zone: deployment.zone,
            classes: deployment.classes.clone(),
            margin,
            client_kb_per_s: if is_paced {
                deployment.client_kb_per_s
            } else {
                f64::INFINITY
            },
            routers_in_zone,
            max_attempts: deployment.max_attempts.max(1),
            may_cancel: deployment.may_cancel,
            advice: deployment
                .longest_advice
                .map(|longest| longest.min(RETRY_AFTER)),
            passes_through: deployment.pass_through,
            joins_fills: deployment.joins,
            slow_start: SlowStart::new(now, deployment, routers_in_zone),
            purges: PurgeLog::new(deployment.purge_done + margin),
            random: fastrand::Rng::with_seed(deployment.seed),
            ..Router::default()
        }
    }

    /// The endpoint list, or changes to it. A server that was restarted begins with a clean record.
    pub fn list(
        &mut self,
        now: Duration,
        kind: ListKind,
        members: &[Member],
        actions: &mut dyn Outlet,
    ) {
        match kind {
            ListKind::Changes => self.endpoints.change(members),
            ListKind::Whole | ListKind::Remembered => self.endpoints.replace(members),
            ListKind::Failed => {
                // Without a subscription a drain would never be heard of.
                let context = &mut EventContext { now, actions };
                self.set_timer(context, LIST_RECONNECT_DELAY, TimerCallback::ReconnectList);
            }
        }
    }

    /// A request comes in. It gets its one final answer by its deadline, whatever else happens.
    pub fn request(&mut self, now: Duration, arrival: Arrival, actions: &mut dyn Outlet) {
        let context = &mut EventContext { now, actions };
        let id = arrival.id.clone();
        let request = self.pending_request(now, arrival);
        let remaining = request.deadline.saturating_sub(now);
        self.requests.insert(id.clone(), request);
        let deadline = TimerCallback::RequestDeadline(id.clone());
        self.set_timer(context, remaining, deadline);
        self.advance(context, &id);
    }

    fn pending_request(&mut self, now: Duration, arrival: Arrival) -> PendingRequest {
        let class = &self.classes[arrival.class];
        let is_known = !class.cacheable || self.access_history.part_mut(&arrival).is_some();
        // With more routers in the zone, more first accesses here are repeated ones of the zone.
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
        let sending_time =
            Duration::from_secs_f64(sending_seconds.clamp(0.0, LONGEST_SENDING_SECONDS));
        self.slow_start.record_request(arrival.class, sending_time);
        PendingRequest {
            retention_priority,
            is_first_access: !is_known,
            sending_time,
            soft_deadline: now + class.soft_deadline + sending_time.mul_f64(class.soft_stretch),
            deadline: now + arrival.left.saturating_sub(self.margin),
            attempts: Vec::new(),
            open_attempts: 0,
            is_over: false,
            has_coalesced: false,
            possible_execution: None,
            failed_servers: Vec::new(),
            suspected_errors: Vec::new(),
            arrival,
        }
    }

    /// The client has left: nothing is owed any more.
    pub fn left(&mut self, now: Duration, id: &Id, actions: &mut dyn Outlet) {
        self.begun(id);
        self.close(&mut EventContext { now, actions }, id);
    }

    /// A streamed answer has begun: it belongs to the client, and nothing more is owed.
    pub fn begun(&mut self, id: &Id) {
        if let Some(request) = self.requests.get_mut(id) {
            request.is_over = true;
        }
    }

    /// An attempt has ended. Only the first result of an attempt counts.
    pub fn result(
        &mut self,
        now: Duration,
        id: &Id,
        attempt: usize,
        ended: &Ended,
        actions: &mut dyn Outlet,
    ) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let slot = request.attempts.get_mut(attempt);
        let Some(open) = slot.and_then(|attempt| attempt.open.take()) else {
            return;
        };
        request.open_attempts -= 1;
        request.is_over |= ended.over;
        let context = &mut EventContext { now, actions };
        self.complete_attempt(context, id, attempt, &open, ended);
        self.close(context, id);
    }

    /// An object, or else a group, was purged so long ago.
    pub fn purged(&mut self, now: Duration, object: Option<Id>, group: u64, ago: Duration) {
        let purged_at = now.saturating_sub(ago);
        self.purges.record(now, purged_at, object, group);
    }

    /// Another router of the zone has found a part at a cache, or had it keep it: here it is a
    /// repeated access then, and no likely fill.
    pub fn told(&mut self, now: Duration, part: u32, cache: Id) {
        self.access_history.record_holder(now, part, cache);
    }

    /// All that the list tells of and is not gone.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.endpoints.members()
    }

    /// One member, if it is not gone.
    pub fn member(&self, server: &Id) -> Option<&Member> {
        self.endpoints.get(server).map(|endpoint| &endpoint.member)
    }

    /// The caches of its zone that are not gone.
    pub fn caches(&self) -> impl Iterator<Item = &Member> {
        self.endpoints.caches_of(self.zone)
    }

    /// A cache is to be selected that much more or less, as its zone's routers agree.
    pub fn lean(&mut self, cache: &Id, by: f64) {
        self.endpoints.adjust_weight(cache, by);
    }

    /// A timer has fired.
    pub fn wake(&mut self, now: Duration, mark: u64, actions: &mut dyn Outlet) {
        let Some(callback) = self.timers.fire(mark) else {
            return;
        };
        let context = &mut EventContext { now, actions };
        match callback {
            TimerCallback::ReconnectList => context.actions.watch_list(),
            TimerCallback::RequestDeadline(id) => self.finish(context, &id),
            TimerCallback::ResumeRequest(id) => self.advance(context, &id),
            TimerCallback::FillQueueTimeout(id) => {
                if self.fill_limiter.is_queued(&id) {
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
        let id = self.timers.set(callback);
        context.actions.wake_at(context.now + delay, id);
    }
}

#[cfg(test)]
mod tests;
