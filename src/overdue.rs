//! Overdue attempts: detects servers that have stopped answering, and decides when an attempt is
//! given up.

use crate::interface::Id;
use crate::outlier::EJECTION_LOG_ODDS;
use crate::request::Route;
use crate::router::{EventContext, Router};
use crate::timers::TimerCallback;
use std::time::Duration;

/// A hop that has not answered any request since the attempt was sent.
struct SilentHop {
    server: Id,
    /// Seconds between the hop's last answer and the sending of the attempt; the longer, the more
    /// likely the hop is faulty.
    silent_for: f64,
}

impl Router {
    /// Handles an attempt that has not ended within its timeout. A server that has not answered any
    /// request since the attempt was sent counts as silent; one overdue fill alone is not enough
    /// evidence to give the attempt up. A server that answered other requests is slow, and another
    /// attempt would double the load. After twice the timeout the answer is considered lost;
    /// waiting longer would only occupy a fill slot.
    pub(crate) fn check_overdue_attempt(
        &mut self,
        context: &mut EventContext,
        id: &Id,
        number: usize,
    ) {
        let request = self.requests.get(id).filter(|request| !request.is_finished);
        let Some((request, open)) = request.and_then(|r| Some((r, r.open_attempt(number)?))) else {
            return;
        };
        let (route, sent_at) = (open.route.clone(), open.sent_at);
        let timeout = self.attempt_timeout.timeout(request.sending_time);
        // A cached copy would have arrived by now, so the attempt is assumed to fill, unless it
        // uses a local cache, which never fills.
        let was_fill = request.attempts[number].is_fill;
        let is_filling = !route.is_local() && was_fill;
        let silent_hops = self.silent_hops(&route, sent_at);
        // A silent hop transfers nothing, so the attempt does not need a fill slot.
        let holds_slot = !route.is_local() && silent_hops.is_empty();
        self.mark_as_fill(id, number, &route, holds_slot);
        let log_odds = self.record_silence(context.now, &silent_hops);
        // At these odds one of the silent hops is faulty, even if it is unknown which.
        let waits = if silent_hops.is_empty() {
            context.now < sent_at + timeout * 2
        } else {
            is_filling && log_odds < EJECTION_LOG_ODDS
        };
        if waits {
            let callback = TimerCallback::AttemptTimeout {
                request: id.clone(),
                attempt: number,
            };
            self.set_timer(context, context.now - sent_at, callback);
            return self.dequeue_fills(context);
        }
        self.give_up_attempt(context, id, number, &route, silent_hops);
    }

    fn silent_hops(&self, route: &Route, sent_at: Duration) -> Vec<SilentHop> {
        let silent_hop = |server: &Id| {
            let last_answer_at = self.endpoints.get(server)?.last_answer_at;
            let silent_for = sent_at.checked_sub(last_answer_at)?.as_secs_f64();
            (silent_for > 0.0).then(|| SilentHop {
                server: server.clone(),
                silent_for,
            })
        };
        route.hops().filter_map(silent_hop).collect()
    }

    /// Counts an overdue attempt as a fill, unless it uses a local cache.
    fn mark_as_fill(&mut self, id: &Id, number: usize, route: &Route, holds_slot: bool) {
        let request = self.requests.get_mut(id);
        let Some(attempt) = request.and_then(|r| r.attempts.get_mut(number)) else {
            return;
        };
        attempt.is_fill |= !route.is_local();
        match (attempt.holds_fill_slot, holds_slot) {
            (false, true) => self.fill_limiter.acquire(),
            (true, false) => self.fill_limiter.release(),
            _ => {}
        }
        attempt.holds_fill_slot = holds_slot;
    }

    /// Records one failure, divided among the silent hops. Returns the sum of the log odds that
    /// they are faulty.
    fn record_silence(&mut self, now: Duration, silent_hops: &[SilentHop]) -> f64 {
        let total = silent_hops.iter().map(|hop| hop.silent_for).sum::<f64>();
        let mut log_odds = 0.0;
        for hop in silent_hops {
            let weight = hop.silent_for / total;
            self.endpoints
                .record_outcome(&hop.server, now, true, weight);
            let endpoint = self.endpoints.get(&hop.server);
            log_odds += endpoint.map_or(0.0, |endpoint| endpoint.outliers.log_odds());
        }
        log_odds
    }

    /// Cancels an attempt. Its request excludes the silent hops, or else the server, from further
    /// attempts.
    fn give_up_attempt(
        &mut self,
        context: &mut EventContext,
        id: &Id,
        number: usize,
        route: &Route,
        silent_hops: Vec<SilentHop>,
    ) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        if silent_hops.is_empty() {
            request.failed_servers.push(route.server.clone());
        }
        let silent_hops = silent_hops.into_iter().map(|hop| hop.server);
        request.failed_servers.extend(silent_hops);
        if !route.is_local() {
            self.attempt_timeout.lengthen();
        }
        context.actions.cancel(id, number);
    }
}
