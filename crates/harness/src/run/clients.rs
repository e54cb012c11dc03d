//! Clients: their requests, the responses, and retries.

use super::{
    FRONT_CHECK_INTERVAL, LATE_VALUE, MAX_OPEN_PER_CONNECTION, MAX_RETRY_DELAY, Runner, Timer,
};
use crate::connections::{Request, Response};
use crate::invariants::{Outcome, TrackedRequest};
use bytes::Bytes;
use std::time::Duration;

impl Runner {
    /// Sends an attempt to the client's router, or to another one of its zone if that is down.
    pub(super) fn send_attempt(&mut self, request: usize) {
        let now = self.now();
        let (arrival, deadline) = (
            self.requests[request].arrival,
            self.requests[request].deadline,
        );
        let time_left = deadline.saturating_sub(now);
        if time_left < Duration::from_millis(20) {
            return self.abandon(request);
        }
        let home = arrival.router;
        let zone = self.routers[home].zone;
        let zones = self.scenario.fleet.zones;
        let available = (0..self.routers.len())
            .filter(|r| r % zones == zone && self.routers[*r].receives_clients);
        let chosen = if self.routers[home].receives_clients {
            Some(home)
        } else {
            let available: Vec<usize> = available.collect();
            (!available.is_empty()).then(|| available[self.rng.usize(..available.len())])
        };
        let Some(router) = chosen.filter(|r| {
            self.routers[*r].open_requests
                < MAX_OPEN_PER_CONNECTION * self.routers[*r].connections.len()
        }) else {
            return self.retry_later(request, now, Duration::ZERO);
        };
        self.last_id += 1;
        let id = self.last_id.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let (write, key) = (arrival.write, arrival.key);
        let fields = format!(
            "i={id:016x},d={},o={:016x},piece={},lot={},m={:.1}",
            time_left.as_millis(),
            key.0,
            key.1,
            key.0 % 256,
            arrival.kb
        );
        let class = if write { "confirm" } else { "page" };
        let body = if write {
            Bytes::from_static(b"confirmed")
        } else {
            Bytes::new()
        };
        let state = &mut self.routers[router];
        state.next_connection = (state.next_connection + 1) % state.connections.len();
        if state.connections[state.next_connection]
            .try_send(Request {
                id,
                class,
                fields,
                body,
            })
            .is_err()
        {
            return self.retry_later(request, now, Duration::ZERO);
        }
        state.open_requests += 1;
        self.attempts.insert(id, (request, router));
        self.requests[request].attempts += 1;
        self.model
            .invariants
            .request_started(id, TrackedRequest::new(router, write, key, now, deadline));
    }

    pub(super) fn handle_response(&mut self, now: Duration, id: u64, response: Response) {
        let Some((request, router)) = self.attempts.remove(&id) else {
            return self.model.invariants.request_ended(now, id, Outcome::Wrong);
        };
        self.routers[router].open_requests = self.routers[router].open_requests.saturating_sub(1);
        let write = self.requests[request].arrival.write;
        let key = self.requests[request].arrival.key;
        let outcome = match &response {
            // The response to a write carries no copy.
            Response::Served(_) if write => Outcome::Served(key, u64::MAX),
            Response::Served(Some((key, created_ms))) => Outcome::Served(*key, *created_ms),
            Response::Served(None) | Response::Wrong => Outcome::Wrong,
            Response::Rejected(_) => Outcome::Rejected,
            Response::Failed => Outcome::Failed,
        };
        self.model.invariants.request_ended(now, id, outcome);
        match response {
            Response::Served(_) => self.request_served(request, now),
            Response::Rejected(wait) => {
                self.second_at(now).rejected += 1;
                self.retry_later(request, now, wait.unwrap_or_default());
            }
            Response::Failed | Response::Wrong => {
                self.second_at(now).failed += 1;
                if write {
                    self.abandon(request)
                } else {
                    self.retry_later(request, now, Duration::ZERO)
                }
            }
        }
    }

    pub(super) fn request_served(&mut self, request: usize, now: Duration) {
        let (at, soft_deadline, deadline) = (
            self.requests[request].arrival.at,
            self.scenario.workload.soft_deadline,
            self.requests[request].deadline,
        );
        self.requests[request].done = true;
        let earned = if now <= at + soft_deadline {
            1.0
        } else if now <= deadline {
            LATE_VALUE
        } else {
            0.0
        };
        let _ = self
            .response_times
            .record(now.saturating_sub(at).as_millis().max(1) as u64);
        self.second_at(at).earned += earned;
        let zone = self.scenario.fleet.zones;
        self.zone_value
            .record_earned(self.requests[request].arrival.router % zone, at, earned);
    }

    /// The request ends without a served response.
    pub(super) fn abandon(&mut self, request: usize) {
        self.requests[request].done = true;
    }

    /// Retries unless the retries or the time are used up.
    pub(super) fn retry_later(&mut self, request: usize, now: Duration, retry_after: Duration) {
        let (attempts, deadline) = (
            self.requests[request].attempts,
            self.requests[request].deadline,
        );
        let honors_retry_after = self.requests[request].arrival.honors_retry_after;
        let own_delay = MAX_RETRY_DELAY.mul_f64(0.2 + 0.8 * self.rng.f64());
        let wait = if honors_retry_after && !retry_after.is_zero() {
            retry_after.mul_f64(1.0 + 0.2 * self.rng.f64())
        } else {
            own_delay
        };
        if attempts > self.scenario.workload.max_retries || now + wait >= deadline {
            return self.abandon(request);
        }
        self.retries += 1;
        self.schedule(now + wait, Timer::Retry(request));
    }

    pub(super) fn handle_connection_lost(
        &mut self,
        now: Duration,
        router: usize,
        ids: Vec<u64>,
        refused: bool,
    ) {
        if refused && self.routers[router].receives_clients {
            self.routers[router].receives_clients = false;
            self.schedule(now + FRONT_CHECK_INTERVAL, Timer::CheckRouter(router));
        }
        for id in ids {
            let Some((request, at)) = self.attempts.remove(&id) else {
                continue;
            };
            self.routers[at].open_requests = self.routers[at].open_requests.saturating_sub(1);
            // If the connection was refused, the router never received the request. Otherwise it did,
            // and must answer if it is alive.
            let request_started = self
                .model
                .invariants
                .request(id)
                .map_or(now, |request| request.started_at);
            if refused || !self.routers[at].must_answer(request_started) {
                self.model.invariants.excuse(id);
            }
            self.model
                .invariants
                .request_ended(now, id, Outcome::Nothing);
            if self.requests[request].arrival.write && !refused {
                self.abandon(request);
            } else {
                self.retry_later(request, now, Duration::ZERO);
            }
        }
    }
}
