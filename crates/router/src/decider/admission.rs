//! Admission of new requests: each is refused at once or passed to the routing logic.

use super::Decider;
use super::requests::{PendingRequest, Requester};
use crate::cell_routing::RetryAfter;
use crate::messages::{ClientReply, FinalAnswer, NewRequest};
use chalkhall::interface::IncomingRequest;
use std::time::Duration;

impl Decider {
    /// Handles a request that a client connection has read.
    pub(super) fn receive_request(&mut self, mut new: NewRequest) {
        if !new.cancellation.is_active() {
            // The client has left before the request was processed.
            return;
        }
        let waited = self.dispatcher.now.saturating_sub(new.received_after);
        if let Err(refusal) = self.admit(&mut new.arrival, new.forwarded.body.len(), waited) {
            new.reply_permit.send(ClientReply {
                tag: new.tag,
                id: new.arrival.id,
                answer: refusal,
            });
            return;
        }
        let now = self.dispatcher.now;
        self.dispatcher.open_request(PendingRequest {
            requester: Some(Requester::Client(new.reply_permit)),
            tag: new.tag,
            cancellation: new.cancellation,
            arrival: new.arrival.clone(),
            forwarded: new.forwarded,
            is_non_idempotent: self.is_non_idempotent(&new.arrival),
            received_at: now,
            attempts: Vec::new(),
        });
        self.router.request(now, new.arrival, &mut self.dispatcher);
    }

    /// Checks the id of a new request, capacity and limits, and sets its remaining time, its cell
    /// and its zone.
    ///
    /// # Errors
    /// The final answer if the request is refused.
    fn admit(
        &mut self,
        arrival: &mut IncomingRequest,
        body_bytes: usize,
        waited: Duration,
    ) -> Result<(), FinalAnswer> {
        if self.dispatcher.requests.contains(&arrival.id) {
            self.protocol_errors
                .log("request refused: its id is in use by an open request");
            return Err(FinalAnswer::Failed);
        }
        if self.executed_ids.contains(&arrival.id) {
            self.protocol_errors
                .log("request refused: an earlier one with its id may have run");
            return Err(FinalAnswer::Failed);
        }
        let rejected = FinalAnswer::Rejected(self.router.retry_after);
        if !self.has_capacity(arrival, body_bytes) {
            return Err(rejected);
        }
        arrival.time_left = arrival.time_left.saturating_sub(waited);
        let now = self.dispatcher.now;
        let is_non_idempotent = self.is_non_idempotent(arrival);
        if let Some(cells) = &mut self.cell_routing
            && let Err(RetryAfter(wait)) = cells.assign_cell(now, arrival, is_non_idempotent)
        {
            // The client is told when its tenant has quota again, but at most the longest wait that
            // clients honour.
            let retry_after = self.max_retry_after.map(|longest| wait.min(longest));
            return Err(FinalAnswer::Rejected(retry_after));
        }
        if let Some(failover) = &mut self.zone_failover
            && failover.assign_zone(now, arrival).is_err()
        {
            return Err(rejected);
        }
        Ok(())
    }

    /// Whether memory and the request table have capacity for one more request. Without this check
    /// the process could be killed for its memory use, or the table grow past its limit.
    fn has_capacity(&mut self, arrival: &IncomingRequest, body_bytes: usize) -> bool {
        let dispatcher = &mut self.dispatcher;
        let held = dispatcher.memory.held_with(body_bytes, arrival.kb);
        if let Some(local_cache) = &mut dispatcher.local_cache {
            local_cache.evict_for_bodies(held as u64);
            local_cache.evict_bytes(dispatcher.memory.excess_with(arrival.kb) as u64);
        }
        dispatcher.requests.len() < self.limits.open_requests
            && dispatcher.memory.admits(body_bytes, arrival.kb)
    }

    fn is_non_idempotent(&self, arrival: &IncomingRequest) -> bool {
        self.is_non_idempotent_class.get(arrival.class) == Some(&true)
    }
}
