//! Dispatch: every attempt is sent by [`Router::send`], which enforces all rules.

use crate::admission::part_key;
use crate::endpoints::Endpoint;
use crate::interface::{AttemptLimits, Effect, Fill, Id, Tier};
use crate::request::{Attempt, OpenAttempt, PendingRequest, Route};
use crate::retry::{self, RetryTarget};
use crate::router::{EventContext, Router};
use crate::timers::TimerCallback;
use std::time::Duration;

/// The reason why an attempt is not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The request is not pending.
    RequestUnknown,
    /// The server is not in the endpoint list.
    EndpointUnknown,
    /// Rule 1: the request has its final answer, or its client has left.
    RequestFinished,
    /// Rule 1: the hard deadline of the request has passed.
    DeadlinePassed,
    /// The request has used all its attempts.
    AttemptsExhausted,
    /// An attempt of the request is in flight.
    AttemptInFlight,
    /// Rule 2: an earlier attempt may have been executed, and a repeat is not safe.
    RetryUnsafe,
    /// Rule 3: the server or the source is draining or no longer listed.
    EndpointDraining,
    /// Rule 4: the server or the source is warming up, and this router's share of its budget is
    /// spent.
    SlowStartBudgetSpent,
    /// Rule 5: the local copy is too old.
    CopyTooOld,
    /// Rule 5: discovery has been silent, and a purge of the local copy may have been missed.
    PurgesUnconfirmed,
}

/// The parameters of an attempt that satisfies every rule.
struct ValidatedAttempt {
    fill: Fill,
    limits: AttemptLimits,
    kb: f64,
    /// The work for the server and for the source, in seconds of sending.
    work: [f64; 2],
    /// The time after which the attempt is checked; `None` if it cannot be cancelled or must not
    /// be.
    timeout: Option<Duration>,
}

impl Router {
    /// Sends an attempt, or returns the rule that forbids it.
    pub(crate) fn send(
        &mut self,
        context: &mut EventContext,
        id: &Id,
        route: Route,
    ) -> Result<(), Refusal> {
        let is_fill = self.is_likely_fill(id, &route);
        let validated = self.validate_attempt(context.now, id, &route)?;
        self.record_sent(context.now, &route, &validated);
        self.record_first_attempt(id);
        context
            .actions
            .attempt(id, &route.server, validated.limits, &validated.fill);
        let sent_at = context.now;
        let attempt = Attempt {
            open: Some(OpenAttempt { route, sent_at }),
            is_fill,
            holds_fill_slot: is_fill,
        };
        self.register_attempt(context, id, attempt, validated.timeout);
        Ok(())
    }

    /// Checks every rule for sending an attempt.
    fn validate_attempt(
        &self,
        now: Duration,
        id: &Id,
        route: &Route,
    ) -> Result<ValidatedAttempt, Refusal> {
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
        if let Some(created_at) = route.copy_created_at {
            self.validate_local_copy(now, created_at, max_age)?;
        }
        let class = &self.classes[request.arrival.class];
        let can_be_cancelled = self.may_cancel && !class.streamed;
        let has_timeout = class.effect == Effect::Idempotent && can_be_cancelled;
        let timeout = || self.attempt_timeout.timeout(request.sending_time);
        Ok(ValidatedAttempt {
            fill: self.fill_parameters(now, request, route, server, source, max_age),
            limits: AttemptLimits {
                duration: request.deadline - now,
                send_within: self.send_within(now, request),
            },
            kb: request.arrival.kb,
            work: [server, source].map(|endpoint| self.work(endpoint, request)),
            timeout: has_timeout.then(timeout),
        })
    }

    fn validate_request(&self, now: Duration, request: &PendingRequest) -> Result<(), Refusal> {
        if request.is_finished {
            return Err(Refusal::RequestFinished);
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

    /// Rules 3 and 4, for a server or a source. After the notice of a drain or removal it is sent
    /// nothing new. While it warms up, each router sends no more per window than its share of the
    /// budget, as the routers together would otherwise overload the server.
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

    /// How long from now the first byte of an attempt may be sent. Sent later, an attempt could
    /// reach a server after the grace period of a drain or a purge, or a repeat could reach one
    /// that has forgotten the earlier attempt.
    fn send_within(&self, now: Duration, request: &PendingRequest) -> Duration {
        let class = &self.classes[request.arrival.class];
        let execution = request.possible_execution.as_ref();
        let remembered_until = execution.and_then(|e| retry::remembered_until(class, e));
        let latest_arrival = now + self.max_action_delay;
        let by_dedup_window = remembered_until.map(|end| end.saturating_sub(latest_arrival));
        by_dedup_window.map_or(self.send_timeout, |time| time.min(self.send_timeout))
    }

    /// Rule 2: whether a request may be executed again at this target.
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
        let executed_on = self.endpoints.get(&execution.server).map(|e| &e.member);
        retry::is_safe_to_retry(
            class,
            execution,
            executed_on,
            target,
            now + self.max_action_delay,
        )
    }

    /// Rule 5: the maximum age of an acceptable copy, from the last purge and the freshness
    /// lifetime.
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

    /// Rule 5, for a local copy: neither its age nor a purge that was or may have been made since
    /// its creation forbids its use.
    fn validate_local_copy(
        &self,
        now: Duration,
        created_at: Duration,
        max_age: Option<Duration>,
    ) -> Result<(), Refusal> {
        if max_age.is_some_and(|max_age| now.saturating_sub(created_at) >= max_age) {
            return Err(Refusal::CopyTooOld);
        }
        if !self.purges.allows_local_copy(now, created_at) {
            return Err(Refusal::PurgesUnconfirmed);
        }
        Ok(())
    }

    #[inline]
    fn work(&self, endpoint: &Endpoint, request: &PendingRequest) -> f64 {
        let (tier, class) = (endpoint.member.tier, request.arrival.class);
        self.slow_start.work(tier, class, request.sending_time)
    }

    fn fill_parameters(
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
            priority: request.retention_priority * u8::from(is_for_cache),
            max_age,
            may_join: self.joins_fills,
            // While the origin fails, fetches from it would only delay the copies that parents
            // hold.
            only_held: source.member.tier == Tier::Parent
                && is_cacheable
                && self.endpoints.are_origins_failing(now),
            parent_keeps: true,
            revalidate: !route.is_local() && !route.allowed_staleness.is_zero(),
        }
    }

    fn record_sent(&mut self, now: Duration, route: &Route, validated: &ValidatedAttempt) {
        let window = self.slow_start.longest_window();
        for (name, work) in route.hops().zip(validated.work) {
            let Some(endpoint) = self.endpoints.get_mut(name) else {
                continue;
            };
            endpoint.sent_work.record(now, window, work);
            endpoint.in_flight_kb += validated.kb;
            endpoint.in_flight += 1;
            endpoint.outliers.record_sent(now);
        }
    }

    /// Learns the size of a request from its first attempt, long before a large one is answered.
    fn record_first_attempt(&mut self, id: &Id) {
        let request = self.requests.get(id);
        let Some(request) = request.filter(|request| request.attempts.is_empty()) else {
            return;
        };
        let arrival = &request.arrival;
        self.slow_start
            .record_sent(arrival.class, arrival.connection, request.sending_time);
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
