//! The gate: every attempt passes [`Router::send`], and each rule is enforced here.

use crate::admission::part_key;
use crate::endpoints::Endpoint;
use crate::interface::{Effect, Fill, Id, Tier};
use crate::request::{Attempt, OpenAttempt, PendingRequest, Route};
use crate::retry::{self, RetryTarget};
use crate::router::{EventContext, Router};
use crate::timers::TimerCallback;
use std::time::Duration;

/// Why an attempt is not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The request is not pending.
    RequestUnknown,
    /// The server is not listed.
    EndpointUnknown,
    /// Rule 1: the request has its final answer, or its client has left.
    RequestOver,
    /// Rule 1: the hard deadline of the request has passed.
    DeadlinePassed,
    /// The request has had all the attempts that are allowed.
    AttemptsExhausted,
    /// An attempt of the request is in flight.
    AttemptInFlight,
    /// Rule 2: an earlier attempt may have run, and running again is not safe.
    RetryUnsafe,
    /// Rule 3: the server or the source drains, or is gone.
    EndpointDraining,
    /// Rule 4: the server or the source is warming up, and this router's share of its budget is
    /// used.
    SlowStartBudgetSpent,
    /// Rule 5: the local copy was created too long ago.
    CopyTooOld,
}

/// An attempt that passed the gate.
struct AttemptOrder {
    fill: Fill,
    /// How long it may take.
    limit: Duration,
    kb: f64,
    /// What it is to the server, and to the source.
    work: [f64; 2],
    /// After how long it is looked into; none: it cannot be cancelled, or must not.
    timeout: Option<Duration>,
}

impl Router {
    /// Sends an attempt, or says which rule forbids it.
    pub(crate) fn send(
        &mut self,
        context: &mut EventContext,
        id: &Id,
        route: Route,
    ) -> Result<(), Refusal> {
        let is_fill = self.is_likely_fill(id, &route);
        let order = self.validate_attempt(context.now, id, &route)?;
        self.record_sent(context.now, &route, &order);
        context
            .actions
            .attempt(id, &route.server, order.limit, &order.fill);
        let sent_at = context.now;
        let attempt = Attempt {
            open: Some(OpenAttempt { route, sent_at }),
            is_fill,
            holds_fill_slot: is_fill,
        };
        self.register_attempt(context, id, attempt, order.timeout);
        Ok(())
    }

    /// Every rule about sending an attempt.
    fn validate_attempt(
        &self,
        now: Duration,
        id: &Id,
        route: &Route,
    ) -> Result<AttemptOrder, Refusal> {
        let request = self.requests.get(id).ok_or(Refusal::RequestUnknown)?;
        let server = self.endpoints.get(&route.server);
        let server = server.ok_or(Refusal::EndpointUnknown)?;
        let source = self.endpoints.get(&route.source).unwrap_or(server);
        self.validate_request(now, request)?;
        let target = RetryTarget::Server(&server.member);
        if !self.is_safe_to_retry(now, request, &target) {
            return Err(Refusal::RetryUnsafe);
        }
        self.validate_endpoint(now, server, request)?;
        self.validate_endpoint(now, source, request)?;
        let max_age = self.max_age(now, request, route.allowed_staleness);
        if let (Some(created_at), Some(max_age)) = (route.copy_created_at, max_age)
            && now.saturating_sub(created_at) >= max_age
        {
            return Err(Refusal::CopyTooOld);
        }
        let class = &self.classes[request.arrival.class];
        let can_be_cancelled = self.may_cancel && !class.streamed;
        let is_watched = class.effect == Effect::Idempotent && can_be_cancelled;
        let timeout = || self.attempt_timeout.timeout(request.sending_time);
        Ok(AttemptOrder {
            fill: self.fill_order(now, request, route, server, source, max_age),
            limit: request.deadline - now,
            kb: request.arrival.kb,
            work: [server, source].map(|endpoint| self.work(endpoint, request)),
            timeout: is_watched.then(timeout),
        })
    }

    fn validate_request(&self, now: Duration, request: &PendingRequest) -> Result<(), Refusal> {
        if request.is_over {
            return Err(Refusal::RequestOver);
        }
        if now >= request.deadline {
            return Err(Refusal::DeadlinePassed);
        }
        if request.attempts.len() >= self.max_attempts {
            return Err(Refusal::AttemptsExhausted);
        }
        if request.open_attempts > 0 {
            return Err(Refusal::AttemptInFlight);
        }
        Ok(())
    }

    /// Rules 3 and 4, for a server or a source: nothing new once told that it drains or is gone;
    /// while it warms up, no more in any span than this router's share of what it bears, lest all
    /// together push it over.
    #[inline]
    fn validate_endpoint(
        &self,
        now: Duration,
        endpoint: &Endpoint,
        request: &PendingRequest,
    ) -> Result<(), Refusal> {
        if !endpoint.is_active() {
            return Err(Refusal::EndpointDraining);
        }
        let work = self.work(endpoint, request);
        if !self.slow_start.admits(now, endpoint, work) {
            return Err(Refusal::SlowStartBudgetSpent);
        }
        Ok(())
    }

    /// Whether a server or a source may be sent an attempt of a request, by rules 3 and 4.
    #[inline]
    pub(crate) fn accepts_new_work(
        &self,
        now: Duration,
        endpoint: &Endpoint,
        request: &PendingRequest,
    ) -> bool {
        self.validate_endpoint(now, endpoint, request).is_ok()
    }

    /// Rule 2: whether a request may run again at this target.
    pub(crate) fn is_safe_to_retry(
        &self,
        now: Duration,
        request: &PendingRequest,
        target: &RetryTarget,
    ) -> bool {
        let Some(execution) = &request.possible_execution else {
            return true;
        };
        let class = &self.classes[request.arrival.class];
        let ran_on = self.endpoints.get(&execution.server).map(|e| &e.member);
        retry::is_safe_to_retry(class, execution, ran_on, target, now + self.margin)
    }

    /// Rule 5: the greatest age of a copy that will do, by the last purge and by how long copies
    /// are fresh.
    fn max_age(
        &self,
        now: Duration,
        request: &PendingRequest,
        allowed_staleness: Duration,
    ) -> Option<Duration> {
        let fresh_for = self.classes[request.arrival.class].fresh;
        let by_freshness = fresh_for.map(|fresh_for| fresh_for + allowed_staleness);
        let by_purge = self.purges.max_age(now, &request.arrival);
        by_purge.into_iter().chain(by_freshness).min()
    }

    #[inline]
    fn work(&self, endpoint: &Endpoint, request: &PendingRequest) -> f64 {
        let (tier, class) = (endpoint.member.tier, request.arrival.class);
        self.slow_start.work(tier, class, request.sending_time)
    }

    fn fill_order(
        &self,
        now: Duration,
        request: &PendingRequest,
        route: &Route,
        server: &Endpoint,
        source: &Endpoint,
        max_age: Option<Duration>,
    ) -> Fill {
        let is_cacheable = self.classes[request.arrival.class].cacheable;
        let is_for_cache = server.member.tier == Tier::Cache;
        Fill {
            source: route.source.clone(),
            rank: request.retention_priority * u8::from(is_for_cache),
            oldest: max_age,
            join: self.joins_fills,
            // While the origin fails, what a parent fetches from it only holds up what it has.
            only_held: source.member.tier == Tier::Parent
                && is_cacheable
                && self.endpoints.are_origins_failing(now),
            parent_keeps: true,
            renew: !route.is_local() && !route.allowed_staleness.is_zero(),
        }
    }

    fn record_sent(&mut self, now: Duration, route: &Route, order: &AttemptOrder) {
        let span = self.slow_start.longest_span();
        for (name, work) in route.hops().zip(order.work) {
            let Some(endpoint) = self.endpoints.get_mut(name) else {
                continue;
            };
            endpoint.sent_work.note(now, span, work);
            endpoint.in_flight_kb += order.kb;
            endpoint.in_flight += 1;
            endpoint.outliers.record_sent(now);
        }
    }

    fn register_attempt(
        &mut self,
        context: &mut EventContext,
        id: &Id,
        attempt: Attempt,
        timeout: Option<Duration>,
    ) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        if attempt.holds_fill_slot {
            self.fill_limiter.acquire();
            if self.endpoints.local_capacity() > 0.0 {
                self.coalescing.lead(part_key(&request.arrival), id);
            }
        }
        let number = request.attempts.len();
        request.attempts.push(attempt);
        request.open_attempts += 1;
        if let Some(timeout) = timeout {
            let callback = TimerCallback::AttemptTimeout {
                request: id.clone(),
                attempt: number,
            };
            self.set_timer(context, timeout, callback);
        }
    }
}

#[cfg(test)]
mod tests;
