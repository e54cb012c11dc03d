//! Completion of attempts: updates health and access statistics from the result, and continues the
//! request.

use crate::admission::{CopyHolder, part_key};
use crate::fill_limiter::FillResult;
use crate::interface::{AttemptResult, Id, Outcome, Remark, Tier};
use crate::request::{ANSWER_OVERHEAD, OpenAttempt, Route, SuspectedError};
use crate::retry::PossibleExecution;
use crate::router::{EventContext, Router};
use std::time::Duration;

/// A hit that takes longer than this multiple of the expected time counts as a failure of the
/// cache.
const SLOW_HIT_MULTIPLE: f64 = 2.0;
/// The late share of the best server of a tier at which late fills stop counting against a server
/// of that tier: if even the best server is late this often, a full link delays them all.
const LATE_FILL_BASELINE: f64 = 0.5;
const MIN_FILL_COST_MS: f64 = 1.0;
/// The weight of an outcome that the server and the source are equally likely to have caused.
const SPLIT_FAULT_WEIGHT: f64 = 0.5;

/// A completed attempt with its result.
struct Completion<'a> {
    id: &'a Id,
    route: &'a Route,
    sent_at: Duration,
    /// The attempt counted as a fill.
    is_fill: bool,
    is_late: bool,
    result: &'a AttemptResult,
}

impl Completion<'_> {
    fn is_served(&self) -> bool {
        self.result.outcome == Outcome::Served
    }

    /// Whether the attempt was answered from a copy.
    fn is_hit(&self) -> bool {
        self.is_served() && matches!(self.result.remark, Remark::Hit | Remark::Stale)
    }

    /// Whether the attempt was answered by a fill.
    fn is_filled(&self) -> bool {
        self.is_served() && !self.is_hit()
    }

    /// Whether the server sent no response.
    fn is_silent(&self) -> bool {
        use Outcome::*;
        matches!(
            self.result.outcome,
            Unreachable | Broken | TimedOut | Cancelled | NeverSent
        )
    }
}

/// The weights, from 0 to 1, with which an outcome counts for or against the server and the source.
#[derive(Clone, Copy)]
struct OutcomeWeights {
    server: f64,
    source: f64,
}

impl OutcomeWeights {
    const NONE: OutcomeWeights = OutcomeWeights::new(0.0, 0.0);

    const fn new(server: f64, source: f64) -> OutcomeWeights {
        OutcomeWeights { server, source }
    }
}

impl Router {
    /// Processes the end of an attempt and takes the next step of its request.
    pub(crate) fn complete_attempt(
        &mut self,
        context: &mut EventContext,
        id: &Id,
        number: usize,
        open: &OpenAttempt,
        result: &AttemptResult,
    ) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let attempt = &request.attempts[number];
        if attempt.holds_fill_slot {
            self.fill_limiter.release();
        }
        let expected_time = ANSWER_OVERHEAD + request.sending_time;
        let latest = request.soft_deadline.max(open.sent_at + expected_time * 2);
        let completion = Completion {
            id,
            route: &open.route,
            sent_at: open.sent_at,
            is_fill: attempt.is_fill,
            is_late: context.now > latest,
            result,
        };
        let part = part_key(&request.arrival);
        let holder_before = self.access_history.holder(part);
        self.update_statistics(context.now, &completion);
        let holder = self.access_history.holder(part);
        if let Some(holder) = holder.filter(|holder| holder_before.as_ref() != Some(holder)) {
            context.actions.holder_found(part, &holder);
        }
        if completion.is_fill {
            self.record_fill_result(context, &completion);
        }
        self.complete_waiters(context, id, completion.is_served());
        self.continue_request(context, &completion);
    }

    /// Adjusts the fill limit to the result.
    fn record_fill_result(&mut self, context: &mut EventContext, completion: &Completion) {
        let result = if self.is_unrelated_to_load(completion) {
            FillResult::Unrelated
        } else if completion.is_served() && !completion.is_late {
            FillResult::InTime
        } else {
            FillResult::Late
        };
        let (endpoints, zone) = (&self.endpoints, self.zone);
        let routers = self.routers_in_zone;
        let fair_share = || {
            let capacity: f64 = endpoints.caches_of(zone).map(|m| m.capacity).sum();
            capacity / routers
        };
        self.fill_limiter
            .record_result(context.now, result, fair_share);
        self.dequeue_fills(context);
    }

    /// Whether the result says nothing about the load on links. This holds for lost connections,
    /// for failures of unreachable, silent or ejected servers, for refusals, which a single source
    /// may cause, and for attempts that this machine could not send.
    fn is_unrelated_to_load(&self, completion: &Completion) -> bool {
        use Outcome::*;
        let result = completion.result;
        if matches!(
            result.outcome,
            Cancelled | Missing | Broken | Full | NeverSent
        ) || result.remark == Remark::SourceUnreached
        {
            return true;
        }
        let hops = completion.route.hops();
        let mut hops = hops.filter_map(|name| self.endpoints.get(name));
        hops.any(|endpoint| {
            let is_silent = endpoint.last_answer_at < completion.sent_at;
            endpoint.outliers.is_ejected() || is_silent && result.outcome == TimedOut
        })
    }

    /// Takes the next step of the request: another attempt at another server, or its final answer.
    fn continue_request(&mut self, context: &mut EventContext, completion: &Completion) {
        use Outcome::*;
        let (id, route, result) = (completion.id, completion.route, completion.result);
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let may_have_executed = result.outcome != Served && result.outcome.may_have_run();
        if may_have_executed && request.possible_execution.is_none() && !route.is_local() {
            request.possible_execution = Some(PossibleExecution {
                sent_at: completion.sent_at,
                server: route.server.clone(),
            });
        }
        if request.is_finished || result.outcome == Missing && !route.is_local() {
            return self.finish(context, id);
        }
        // If only the source failed, the same cache is tried again with another source.
        let source_failed = !matches!(
            result.remark,
            Remark::None | Remark::NoFillCapacity | Remark::Joined
        );
        let either_is_full = result.outcome == Full && result.remark == Remark::None;
        let failed = route.hops().skip(usize::from(source_failed));
        let failed = failed.take(1 + usize::from(either_is_full));
        if result.outcome != Cancelled {
            request.failed_servers.extend(failed.cloned());
        }
        self.advance(context, id);
    }

    /// Updates the statistics of servers, of the origin and of the part.
    fn update_statistics(&mut self, now: Duration, completion: &Completion) {
        let weights = self.outcome_weights(completion);
        self.record_outcome_of_hops(now, completion, weights);
        self.record_outcome_of_origins(now, completion);
        // Answers from local copies carry no information about servers.
        if completion.is_served() && !completion.route.is_local() {
            self.record_work(completion);
            self.record_answer(now, completion);
        }
    }

    fn outcome_weights(&mut self, completion: &Completion) -> OutcomeWeights {
        use Outcome::*;
        let (route, result) = (completion.route, completion.result);
        let has_source = route.source != route.server;
        match (result.outcome, result.remark) {
            (Served, _) if completion.is_hit() => OutcomeWeights::new(1.0, 0.0),
            (Served, _) => {
                let is_late = completion.is_late && has_source;
                let server = if is_late {
                    self.late_fill_weight(Tier::Cache, &route.server)
                } else {
                    1.0
                };
                OutcomeWeights::new(server, self.late_fill_weight(Tier::Parent, &route.server))
            }
            (Broken, _) => OutcomeWeights::new(SPLIT_FAULT_WEIGHT, 0.0),
            (_, Remark::SourceUnreached) => OutcomeWeights::new(0.0, 1.0),
            (Error, Remark::None) => {
                self.record_suspected_error(completion);
                OutcomeWeights::NONE
            }
            (TimedOut, Remark::None) if completion.is_fill => {
                OutcomeWeights::new(SPLIT_FAULT_WEIGHT, SPLIT_FAULT_WEIGHT)
            }
            (Unreachable, _) | (TimedOut, Remark::None) => OutcomeWeights::new(1.0, 0.0),
            _ => OutcomeWeights::NONE,
        }
    }

    /// Holds back an error that the request itself may have caused: it counts against the hops once
    /// another server has answered the request.
    fn record_suspected_error(&mut self, completion: &Completion) {
        let Some(request) = self.requests.get_mut(completion.id) else {
            return;
        };
        let weight = if completion.is_fill {
            SPLIT_FAULT_WEIGHT
        } else {
            1.0
        };
        let hops = completion.route.hops();
        let suspected = hops.take(1 + usize::from(completion.is_fill));
        request
            .suspected_errors
            .extend(suspected.map(|server| SuspectedError {
                server: server.clone(),
                weight,
            }));
    }

    /// The weight of a late fill against a server of this tier. It falls with the late share of the
    /// tier's best server, as a full link delays all. Only one cache at a time is ejected for late
    /// fills: if one were ejected after another, the last would have to take the whole load.
    fn late_fill_weight(&mut self, tier: Tier, server: &Id) -> f64 {
        if tier != Tier::Parent && self.endpoints.has_other_ejected(tier, server) {
            return 0.0;
        }
        let best_late_share = 1.0 - self.endpoints.best_on_time_share(tier);
        let weight = (LATE_FILL_BASELINE / best_late_share).log10();
        weight.clamp(0.0, 1.0)
    }

    fn record_outcome_of_hops(
        &mut self,
        now: Duration,
        completion: &Completion,
        weights: OutcomeWeights,
    ) {
        let Some(request) = self.requests.get(completion.id) else {
            return;
        };
        let (kb, result) = (request.arrival.kb, completion.result);
        let (is_filled, is_broken) = (completion.is_filled(), result.outcome == Outcome::Broken);
        // Only the cache itself can make a hit slow: a degrading cache answers later and later
        // until it fails.
        let expected_time = ANSWER_OVERHEAD + request.sending_time;
        let is_late_hit =
            completion.is_hit() && result.duration > expected_time.mul_f64(SLOW_HIT_MULTIPLE);
        let route = completion.route;
        for (name, weight) in route.hops().zip([weights.server, weights.source]) {
            let Some(endpoint) = self.endpoints.get_mut(name) else {
                continue;
            };
            endpoint.in_flight_kb = (endpoint.in_flight_kb - kb).max(0.0);
            endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
            if !completion.is_silent() && (*name == route.server || is_filled) {
                endpoint.last_answer_at = now;
            }
            let was_broken = endpoint.broken_until > now;
            if is_broken {
                endpoint.broken_until = now + ANSWER_OVERHEAD;
            }
            let counts_late = is_filled || endpoint.member.tier != Tier::Cache;
            if weight > 0.0 && !(is_broken && was_broken) {
                let is_late = is_late_hit || completion.is_late && counts_late;
                let failed = !completion.is_served() || is_late;
                self.endpoints.record_outcome(name, now, failed, weight);
            }
            if is_filled {
                self.endpoints.record_fill(name, completion.is_late);
            }
        }
    }

    /// Behind a parent, the origin's outcome is determined by the time to its first byte.
    fn record_outcome_of_origins(&mut self, now: Duration, completion: &Completion) {
        let result = completion.result;
        if !matches!(result.remark, Remark::OriginFailed | Remark::FilledByOrigin) {
            return;
        }
        let Some(request) = self.requests.get(completion.id) else {
            return;
        };
        let objective = self.classes[request.arrival.class].soft_deadline;
        let failed = !completion.is_served() || result.first_byte > Some(objective);
        let origins = self.endpoints.origins();
        let origins: Vec<Id> = origins.map(|origin| origin.member.server.clone()).collect();
        for origin in &origins {
            self.endpoints.record_outcome(origin, now, failed, 1.0);
        }
    }

    fn record_work(&mut self, completion: &Completion) {
        let Some(request) = self.requests.get(completion.id) else {
            return;
        };
        let arrival = &request.arrival;
        self.slow_start
            .record_answered(arrival.class, arrival.connection, request.sending_time);
    }

    fn record_answer(&mut self, now: Duration, completion: &Completion) {
        let Some(request) = self.requests.get_mut(completion.id) else {
            return;
        };
        for error in std::mem::take(&mut request.suspected_errors) {
            self.endpoints
                .record_outcome(&error.server, now, true, error.weight);
        }
        self.attempt_timeout.shorten();
        let is_hit = completion.is_hit();
        if request.is_first_access {
            self.access_history.record_first_access(is_hit);
        }
        let Some(part) = self.access_history.part_mut(&request.arrival) else {
            return;
        };
        let is_kept = is_hit || request.retention_priority > 0;
        part.holder = is_kept.then(|| CopyHolder {
            cache: completion.route.server.clone(),
            known_at: now,
        });
        if let Some(wait) = completion.result.first_byte {
            part.fill_cost = Some((wait.as_secs_f64() * 1e3).max(MIN_FILL_COST_MS));
        }
    }
}
