//! Attempts that have not ended within their timeout: which server is silent, and when to give up.

use crate::interface::Id;
use crate::outlier::EJECTION_LOG_ODDS;
use crate::request::Route;
use crate::router::{EventContext, Router};
use crate::timers::TimerCallback;
use std::time::Duration;

/// A hop that has not answered anybody since an attempt was sent.
struct SilentHop {
    server: Id,
    /// How long before the attempt it last answered, in seconds: the longer, the likelier it is
    /// broken.
    silent_for: f64,
}

impl Router {
    /// An attempt has not ended within its timeout. A server that has not answered anybody since
    /// counts as silent, but not for one overdue fill. One that answered others is slow: another
    /// attempt would double the load. After as long again its answer is lost, and would hold a
    /// fill's slot.
    pub(crate) fn check_overdue_attempt(
        &mut self,
        context: &mut EventContext,
        id: &Id,
        number: usize,
    ) {
        let request = self.requests.get(id).filter(|request| !request.is_over);
        let Some((request, open)) = request.and_then(|r| Some((r, r.open_attempt(number)?))) else {
            return;
        };
        let (route, sent_at) = (open.route.clone(), open.sent_at);
        let usual = self.attempt_timeout.timeout(request.sending_time);
        // A copy would have been sent by now: it is being filled after all. Nothing fills a local
        // one.
        let was_fill = request.attempts[number].is_fill;
        let is_filling = !route.is_local() && was_fill;
        let silent = self.silent_hops(&route, sent_at);
        // Whoever says nothing to anybody uses no link: a slot among the fills would be held for
        // nothing.
        let holds_slot = !route.is_local() && silent.is_empty();
        self.take_for_fill(id, number, &route, holds_slot);
        let log_odds = self.count_silence(context.now, &silent);
        // Whichever it is, one of them is broken.
        let waits = if silent.is_empty() {
            context.now < sent_at + usual * 2
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
        self.give_up_attempt(context, id, number, &route, silent);
    }

    fn silent_hops(&self, route: &Route, sent_at: Duration) -> Vec<SilentHop> {
        let silent = |server: &Id| {
            let last_answer_at = self.endpoints.get(server)?.last_answer_at;
            let silent_for = sent_at.checked_sub(last_answer_at)?.as_secs_f64();
            (silent_for > 0.0).then(|| SilentHop {
                server: server.clone(),
                silent_for,
            })
        };
        route.hops().filter_map(silent).collect()
    }

    /// An overdue attempt counts as a fill, unless it is for a local copy.
    fn take_for_fill(&mut self, id: &Id, number: usize, route: &Route, holds_slot: bool) {
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

    /// One failure, divided among the hops that are silent. The sum of the log odds that they are
    /// broken.
    fn count_silence(&mut self, now: Duration, silent: &[SilentHop]) -> f64 {
        let total = silent.iter().map(|hop| hop.silent_for).sum::<f64>();
        let mut log_odds = 0.0;
        for hop in silent {
            let weight = hop.silent_for / total;
            self.endpoints
                .record_outcome(&hop.server, now, true, weight);
            let endpoint = self.endpoints.get(&hop.server);
            log_odds += endpoint.map_or(0.0, |endpoint| endpoint.outliers.log_odds());
        }
        log_odds
    }

    /// Cancels an attempt. Its request asks the silent hops, or else the server, no more.
    fn give_up_attempt(
        &mut self,
        context: &mut EventContext,
        id: &Id,
        number: usize,
        route: &Route,
        silent: Vec<SilentHop>,
    ) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        if silent.is_empty() {
            request.failed_servers.push(route.server.clone());
        }
        let silent = silent.into_iter().map(|hop| hop.server);
        request.failed_servers.extend(silent);
        if !route.is_local() {
            self.attempt_timeout.lengthen();
        }
        context.actions.cancel(id, number);
    }
}
