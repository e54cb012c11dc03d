//! Carries out the actions that the decisions order: attempts, replies, cancellations, timers.

use super::requests::{Attempt, PendingRequest, RequestTable, Requester};
use super::servers::ServerHandles;
use super::subsystems::Gossip;
use crate::clock::Clock;
use crate::local_cache::LocalCache;
use crate::messages::{
    AttemptEnded, AttemptId, AttemptRequest, ClientReply, FinalAnswer, ServerCommand,
};
use crate::rate_limited_log::RateLimitedLog;
use crate::server_protocol::Answer;
use chalkhall::interface::{Fill, Held, Id, Outcome, Outlet};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

/// How the request of a client ended.
pub(super) struct FinalOutcome {
    pub(super) class: usize,
    pub(super) received_at: Duration,
    pub(super) was_served: bool,
}

/// The answer that a request is being served with, which the local cache may keep.
pub(super) struct ServedAnswer {
    pub(super) request: Id,
    pub(super) answer: Box<Answer>,
}

/// An attempt that has just ended.
pub(super) struct ClosedAttempt {
    pub(super) server: Id,
    /// False: it never left the router, or went to the local cache.
    pub(super) is_by_server: bool,
    pub(super) took: Duration,
}

/// Carries out the actions of the decisions, and holds what is open because of them.
pub(super) struct Dispatcher {
    /// The time of the event that is being handled.
    pub(super) now: Duration,
    pub(super) clock: Clock,
    pub(super) requests: RequestTable,
    pub(super) servers: ServerHandles,
    /// When each timer of the decisions fires, and its id.
    pub(super) timers: BinaryHeap<Reverse<(Duration, u64)>>,
    /// Attempts that ended inside the router: not sent, or answered from the local cache.
    pub(super) local_results: VecDeque<AttemptEnded>,
    /// Requests to be forgotten if all their attempts have ended.
    pub(super) maybe_finished: Vec<Id>,
    pub(super) final_outcomes: Vec<FinalOutcome>,
    pub(super) local_cache: Option<LocalCache>,
    pub(super) gossip: Option<Gossip>,
    pub(super) served_answer: Option<ServedAnswer>,
    /// The first byte of an attempt leaves this soon after its decision, or not at all.
    pub(super) send_within: Duration,
    /// Bytes of bodies on their way to clients.
    pub(super) unwritten_bytes: usize,
    /// Attempts that may bring a body each.
    pub(super) open_attempts: usize,
    /// The size that a body is expected to have, from those that came.
    pub(super) expected_body_bytes: f64,
    pub(super) unsent_log: RateLimitedLog,
    /// The rate at which one answer is sent to a client.
    pub(super) client_kb_per_s: f64,
}

impl Dispatcher {
    /// Sends the final answer of a request. False: nobody waits for it any more.
    pub(super) fn reply(&mut self, id: &Id, answer: FinalAnswer) -> bool {
        let Some(request) = self.requests.get_mut(id) else {
            return false;
        };
        let Some(requester) = request.requester.take() else {
            return false;
        };
        request.cancellation.end();
        if let Requester::Client(client) = requester {
            self.final_outcomes.push(FinalOutcome {
                class: request.arrival.class,
                received_at: request.received_at,
                was_served: is_served(&answer),
            });
            self.unwritten_bytes += body_bytes(&answer);
            client.send(ClientReply {
                tag: request.tag,
                id: id.clone(),
                last: answer,
            });
        }
        self.maybe_finished.push(id.clone());
        true
    }

    /// Bytes of bodies have been written to a client, or dropped.
    pub(super) fn release_written(&mut self, bytes: usize) {
        self.unwritten_bytes = self.unwritten_bytes.saturating_sub(bytes);
    }

    /// Bytes of bodies that are in memory or expected, with one more attempt.
    pub(super) fn expected_body_bytes_with_one_more(&self) -> f64 {
        let attempts = (self.open_attempts + 1) as f64;
        self.unwritten_bytes as f64 + attempts * self.expected_body_bytes
    }

    /// Marks an attempt as ended. None: it is not open.
    pub(super) fn close_attempt(&mut self, id: &Id, number: usize) -> Option<ClosedAttempt> {
        let request = self.requests.get_mut(id)?;
        let attempt = request.attempts.get_mut(number)?;
        if !std::mem::take(&mut attempt.is_open) {
            return None;
        }
        self.open_attempts -= 1;
        Some(ClosedAttempt {
            server: attempt.server.clone(),
            is_by_server: attempt.commands.is_some(),
            took: self.now.saturating_sub(attempt.sent_at),
        })
    }

    /// Attempts to answer a request from the local cache. False: the server is not part of it.
    fn attempt_at_local_cache(&mut self, request: &Id, server: &Id) -> bool {
        let Some(pending) = self.requests.get_mut(request) else {
            return false;
        };
        let local_cache = self.local_cache.as_mut();
        let Some(local_cache) = local_cache.filter(|cache| cache.is_local(server)) else {
            return false;
        };
        let attempt_id = AttemptId {
            request: request.clone(),
            number: pending.attempts.len(),
        };
        let etag = pending.forwarded.have.as_ref();
        if let Some(result) = local_cache.attempt(&attempt_id, server, &pending.arrival, etag) {
            self.local_results.push_back(AttemptEnded {
                attempt: attempt_id,
                outcome: result.outcome,
                answer: result.answer,
            });
        }
        pending.attempts.push(Attempt {
            commands: None,
            server: server.clone(),
            sent_at: self.now,
            is_open: true,
        });
        self.open_attempts += 1;
        true
    }

    /// What the actor of a server needs to know of an attempt.
    fn order(
        &self,
        attempt: &AttemptId,
        request: &PendingRequest,
        server: &Id,
        limit: Duration,
        fill: &Fill,
    ) -> Box<AttemptRequest> {
        Box::new(AttemptRequest {
            attempt: attempt.clone(),
            forwarded: request.forwarded.clone(),
            server: server.clone(),
            fill: fill.clone(),
            is_non_idempotent: request.is_non_idempotent,
            cancellation: request.cancellation.clone(),
            deadline: self.clock.instant(self.now + limit),
            send_by: self.clock.instant(self.now + self.send_within),
        })
    }

    /// Ends an attempt that could not be handed to its server's actor: it never ran.
    fn report_unsent(&mut self, attempt: AttemptId, server: &Id) {
        self.unsent_log.log(&format!(
            "an attempt for {server}, which is not listed or takes no more orders"
        ));
        self.local_results.push_back(AttemptEnded {
            attempt,
            outcome: Outcome::NeverSent,
            answer: None,
        });
    }
}

impl Outlet for Dispatcher {
    fn attempt(&mut self, request: &Id, server: &Id, limit: Duration, fill: &Fill) {
        if self.attempt_at_local_cache(request, server) {
            return;
        }
        let Some(pending) = self.requests.get(request) else {
            return;
        };
        let attempt_id = AttemptId {
            request: request.clone(),
            number: pending.attempts.len(),
        };
        let order = self.order(&attempt_id, pending, server, limit, fill);
        let work = pending.arrival.kb / self.client_kb_per_s;
        if let Some(gossip) = &mut self.gossip {
            gossip.talk.sent(server, work);
        }
        let commands = self.servers.commands_to(server);
        let is_sent = commands
            .as_ref()
            .is_some_and(|commands| commands.try_send(ServerCommand::Send(order)).is_ok());
        if !is_sent {
            self.report_unsent(attempt_id, server);
        }
        let Some(pending) = self.requests.get_mut(request) else {
            return;
        };
        pending.attempts.push(Attempt {
            commands,
            server: server.clone(),
            sent_at: self.now,
            is_open: true,
        });
        self.open_attempts += 1;
    }

    fn reject(&mut self, request: &Id, advice: Option<Duration>) {
        self.reply(request, FinalAnswer::Rejected(advice));
    }

    fn fail(&mut self, request: &Id) {
        self.reply(request, FinalAnswer::Failed);
    }

    fn cancel(&mut self, request: &Id, attempt: usize) {
        let attempt_id = AttemptId {
            request: request.clone(),
            number: attempt,
        };
        let local_cache = self.local_cache.as_mut();
        if local_cache.is_some_and(|local_cache| local_cache.cancel(&attempt_id)) {
            self.local_results.push_back(AttemptEnded {
                attempt: attempt_id,
                outcome: Outcome::Cancelled,
                answer: None,
            });
            return;
        }
        let pending = self.requests.get(request);
        let attempt = pending.and_then(|pending| pending.attempts.get(attempt));
        let open = attempt.filter(|attempt| attempt.is_open);
        if let Some(commands) = open.and_then(|attempt| attempt.commands.as_ref()) {
            // Where this fails the attempt ends by its own time.
            let _ = commands.try_send(ServerCommand::Cancel(attempt_id));
        }
    }

    fn wake_at(&mut self, at: Duration, timer: u64) {
        self.timers.push(Reverse((at, timer)));
    }

    fn watch_list(&mut self) {
        // Discovery sends the list to every router without being asked.
    }

    fn held(&mut self, request: &Id) -> Option<Held> {
        let pending = self.requests.get(request)?;
        let local_cache = self.local_cache.as_mut()?;
        local_cache.lookup(&pending.arrival, pending.forwarded.have.as_ref())
    }

    fn found(&mut self, part: u32, cache: &Id) {
        if let Some(gossip) = &mut self.gossip {
            gossip.talk.found(part, cache);
        }
    }

    fn keep(&mut self, request: &Id, rank: u8) {
        let (Some(local_cache), Some(pending)) =
            (&mut self.local_cache, self.requests.get(request))
        else {
            return;
        };
        let served = &mut self.served_answer;
        match served.take_if(|served| served.request == *request) {
            Some(served) => local_cache.insert(&pending.arrival, &served.answer, rank),
            None => local_cache.set_retention_priority(&pending.arrival, rank),
        }
    }
}

fn is_served(answer: &FinalAnswer) -> bool {
    matches!(
        answer,
        FinalAnswer::Served { .. } | FinalAnswer::Unchanged { .. }
    )
}

fn body_bytes(answer: &FinalAnswer) -> usize {
    match answer {
        FinalAnswer::Served { body, .. } => body.len(),
        _ => 0,
    }
}
