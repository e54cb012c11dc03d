//! Results of attempts, which are reported to the client, the subsystems and the routing logic.

use super::Decider;
use super::dispatcher::{ClosedAttempt, ServedAnswer};
use crate::messages::{AttemptEnded, AttemptId, FinalAnswer};
use crate::server_protocol::Answer;
use chalkhall::interface::{self, Id, Outcome, Remark};

impl Decider {
    /// Handles the end of an attempt.
    pub(super) fn complete_attempt(&mut self, ended: AttemptEnded) {
        let AttemptEnded {
            attempt: AttemptId {
                request: id,
                number,
            },
            outcome,
            answer,
        } = ended;
        let Some(attempt) = self.dispatcher.close_attempt(&id, number) else {
            return;
        };
        let mut result = interface::AttemptResult {
            outcome,
            remark: Remark::None,
            duration: attempt.took,
            first_byte: None,
            is_complete: false,
            load: interface::Load::default(),
        };
        if let Some(answer) = answer {
            self.process_answer(&id, &attempt, answer, &mut result);
        }
        if attempt.is_at_server {
            self.record_execution(&id, outcome);
            self.report_attempt(&id, &attempt, &result);
        }
        let request = self.dispatcher.requests.get(&id);
        result.is_complete = request.is_some_and(|request| request.is_resolved());
        self.dispatcher.maybe_finished.push(id.clone());
        let now = self.dispatcher.now;
        self.router
            .attempt_ended(now, &id, number, &result, &mut self.dispatcher);
        self.dispatcher.served_answer = None;
    }

    /// Validates an answer, and forwards it to the client if the attempt was served.
    fn process_answer(
        &mut self,
        id: &Id,
        attempt: &ClosedAttempt,
        mut answer: Box<Answer>,
        result: &mut interface::AttemptResult,
    ) {
        if let (true, Some(local_cache)) = (attempt.is_at_server, &mut self.dispatcher.local_cache)
        {
            let created_at = answer.created_at_unix_ms;
            answer.created_at_unix_ms =
                created_at.and_then(|created_at| local_cache.correct_created_at(created_at));
        }
        result.remark = answer.remark;
        result.first_byte = answer.first_byte;
        result.load = answer.load;
        // "Not modified" is forwarded only if it names the copy that the client has.
        let request = self.dispatcher.requests.get(id);
        let client_etag = request.and_then(|request| request.forwarded.client_etag.as_ref());
        if answer.is_not_modified && (client_etag.is_none() || client_etag != answer.etag.as_ref())
        {
            self.protocol_errors
                .log("server answered \"not modified\" for a copy that the client did not name");
            (result.outcome, result.remark) = (Outcome::Error, Remark::None);
        }
        if result.outcome == Outcome::Served {
            self.forward_answer(id, attempt, answer);
        }
    }

    /// Sends the answer to the client: that of the first attempt that is served. If there is no
    /// memory for it, the request fails at once: its client stated too small a size.
    fn forward_answer(&mut self, id: &Id, attempt: &ClosedAttempt, answer: Box<Answer>) {
        let dispatcher = &mut self.dispatcher;
        if let Some(request) = dispatcher.requests.get(id) {
            let kb = request.arrival.kb;
            dispatcher.memory.record_answer(kb, answer.body_length);
        }
        if !dispatcher.memory.admits_answer(&answer) {
            dispatcher.reply(id, FinalAnswer::Failed);
            return;
        }
        dispatcher.reply(id, final_answer(&answer));
        if let Some(request) = dispatcher.requests.get(id) {
            if let Some(cell_routing) = &mut self.cell_routing {
                cell_routing.record_served(dispatcher.now, &request.arrival);
            }
            if let (true, Some(local_cache)) = (attempt.is_at_server, &mut dispatcher.local_cache) {
                let client_etag = request.forwarded.client_etag.as_ref();
                local_cache.record_server_answer(&request.arrival, &answer, client_etag);
            }
        }
        let is_storable = attempt.is_at_server && !answer.is_not_modified;
        dispatcher.served_answer = is_storable.then(|| ServedAnswer {
            request: id.clone(),
            answer,
        });
    }

    /// Remembers the id of a request that must not run again, if this attempt may have run.
    fn record_execution(&mut self, id: &Id, outcome: Outcome) {
        let request = self.dispatcher.requests.get(id);
        let Some(request) = request.filter(|_| outcome.may_have_run()) else {
            return;
        };
        if self.is_idempotent_class.get(request.arrival.class) == Some(&false) {
            self.executed_ids.record(id);
        }
    }

    /// Reports the result of an attempt at a listed server to cell routing and zone failover.
    fn report_attempt(
        &mut self,
        id: &Id,
        attempt: &ClosedAttempt,
        result: &interface::AttemptResult,
    ) {
        let now = self.dispatcher.now;
        let Some(request) = self.dispatcher.requests.get(id) else {
            return;
        };
        if let Some(cell_routing) = &mut self.cell_routing {
            cell_routing.record_attempt(now, &request.arrival, result.outcome, result.remark);
        }
        if let Some(failover) = &mut self.zone_failover {
            let member = self.router.member(&attempt.server);
            failover.record_attempt(now, member, result.outcome, result.remark);
        }
    }
}

fn final_answer(answer: &Answer) -> FinalAnswer {
    let etag = answer.etag.clone();
    if answer.is_not_modified {
        FinalAnswer::Unchanged { etag }
    } else {
        FinalAnswer::Served {
            etag,
            body: answer.body.clone(),
        }
    }
}
