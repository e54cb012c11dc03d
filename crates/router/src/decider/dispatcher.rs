//! Executes the actions of the routing logic: attempts, replies, cancellations and timers.

use super::memory_account::MemoryAccount;
use super::requests::{Attempt, PendingRequest, RequestTable, Requester};
use super::servers::ServerHandles;
use super::subsystems::Gossip;
use crate::clock::Clock;
use crate::local_cache::LocalCache;
use crate::memory::Reservation;
use crate::messages::{
    AttemptEnded, AttemptId, AttemptRequest, ClientReply, FinalAnswer, ServerCommand,
};
use crate::rate_limited_log::RateLimitedLog;
use crate::server_protocol::Answer;
use chalkhall::interface::{ActionSink, AttemptLimits, Fill, Id, LocalCopy, Outcome};
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

/// The result of a client's request.
pub(super) struct FinalOutcome {
    pub(super) class: usize,
    pub(super) received_at: Duration,
    pub(super) was_served: bool,
}

/// The answer with which the current request has been served. The local cache may store it.
pub(super) struct ServedAnswer {
    pub(super) request: Id,
    pub(super) answer: Box<Answer>,
}

/// An attempt that has ended.
pub(super) struct ClosedAttempt {
    pub(super) server: Id,
    /// False if the server is the local cache or is not listed.
    pub(super) is_at_server: bool,
    pub(super) took: Duration,
}

/// Executes the actions of the routing logic, and holds the requests, attempts and timers that are
/// open as a result.
pub(super) struct Dispatcher {
    /// The time at which the current event is handled.
    pub(super) now: Duration,
    pub(super) clock: Clock,
    pub(super) requests: RequestTable,
    pub(super) servers: ServerHandles,
    /// When each timer of the routing logic fires, and its id; the next one first.
    pub(super) timers: BTreeSet<(Duration, u64)>,
    /// Results of attempts that ended without a server: not sent, or made at the local cache.
    pub(super) local_results: VecDeque<AttemptEnded>,
    /// Requests that are removed from the table if all their attempts have ended.
    pub(super) maybe_finished: Vec<Id>,
    pub(super) final_outcomes: Vec<FinalOutcome>,
    pub(super) local_cache: Option<LocalCache>,
    pub(super) gossip: Option<Gossip>,
    pub(super) served_answer: Option<ServedAnswer>,
    /// The memory that requests and answers take.
    pub(super) memory: MemoryAccount,
    pub(super) unsent_log: RateLimitedLog,
    /// The rate at which one answer is sent to a client.
    pub(super) client_kb_per_s: f64,
}

impl Dispatcher {
    /// Sends the final answer of a request. Returns false if nothing waits for it any more.
    pub(super) fn reply(&mut self, id: &Id, answer: FinalAnswer) -> bool {
        let Some(request) = self.requests.get_mut(id) else {
            return false;
        };
        let Some(requester) = request.requester.take() else {
            return false;
        };
        request.cancellation.cancel();
        if let Requester::Client(reply_permit) = requester {
            self.final_outcomes.push(FinalOutcome {
                class: request.arrival.class,
                received_at: request.received_at,
                was_served: is_served(&answer),
            });
            self.memory.add_unwritten(body_bytes(&answer));
            reply_permit.send(ClientReply {
                tag: request.tag,
                id: id.clone(),
                answer,
            });
        }
        self.maybe_finished.push(id.clone());
        true
    }

    /// Adds a request to the table.
    pub(super) fn open_request(&mut self, request: PendingRequest) {
        self.memory.open_request(request.forwarded.body.len());
        self.requests.insert(request);
    }

    /// Removes a request from the table if it is finished.
    pub(super) fn close_if_finished(&mut self, id: &Id) {
        if let Some(request) = self.requests.remove_if_finished(id) {
            self.memory.close_request(request.forwarded.body.len());
        }
    }

    /// Marks an attempt as ended. Returns `None` if it is not open.
    pub(super) fn close_attempt(&mut self, id: &Id, number: usize) -> Option<ClosedAttempt> {
        let request = self.requests.get_mut(id)?;
        let attempt = request.attempts.get_mut(number)?;
        if !std::mem::take(&mut attempt.is_open) {
            return None;
        }
        attempt.reservation.release();
        Some(ClosedAttempt {
            server: attempt.server.clone(),
            is_at_server: attempt.commands.is_some(),
            took: self.now.saturating_sub(attempt.sent_at),
        })
    }

    /// Makes an attempt at the local cache. Returns false if the server is not a tier of it.
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
        let etag = pending.forwarded.client_etag.as_ref();
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
            reservation: self.memory.reserve(pending.arrival.kb),
        });
        true
    }

    /// Builds the message that sends an attempt to the actor of its server.
    fn attempt_request(
        &self,
        attempt: &AttemptId,
        request: &PendingRequest,
        server: &Id,
        limits: AttemptLimits,
        fill: &Fill,
        reservation: &Rc<Reservation>,
    ) -> Box<AttemptRequest> {
        Box::new(AttemptRequest {
            attempt: attempt.clone(),
            forwarded: request.forwarded.clone(),
            server: server.clone(),
            fill: fill.clone(),
            is_non_idempotent: request.is_non_idempotent,
            cancellation: request.cancellation.clone(),
            incarnation: self.servers.incarnation(server),
            deadline: self.clock.instant(self.now + limits.duration),
            send_by: self.clock.instant(self.now + limits.send_within),
            reservation: reservation.clone(),
        })
    }

    /// Ends an attempt that could not be passed to the actor of its server: it did not run.
    fn report_unsent(&mut self, attempt: AttemptId, server: &Id) {
        self.unsent_log.log(&format!(
            "attempt not sent: server {server} is not listed or its mailbox is full"
        ));
        self.local_results.push_back(AttemptEnded {
            attempt,
            outcome: Outcome::NeverSent,
            answer: None,
        });
    }
}

impl ActionSink for Dispatcher {
    fn attempt(&mut self, request: &Id, server: &Id, limits: AttemptLimits, fill: &Fill) {
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
        let reservation = self.memory.reserve(pending.arrival.kb);
        let attempt_request =
            self.attempt_request(&attempt_id, pending, server, limits, fill, &reservation);
        let work = pending.arrival.kb / self.client_kb_per_s;
        if let Some(gossip) = &mut self.gossip {
            gossip.exchange.record_sent(server, work);
        }
        let commands = self.servers.commands_to(server);
        let is_sent = commands.as_ref().is_some_and(|commands| {
            commands
                .try_send(ServerCommand::Send(attempt_request))
                .is_ok()
        });
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
            reservation,
        });
    }

    fn reject(&mut self, request: &Id, retry_after: Option<Duration>) {
        self.reply(request, FinalAnswer::Rejected(retry_after));
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
            // If the mailbox is full, the attempt ends at its deadline.
            let _ = commands.try_send(ServerCommand::Cancel(attempt_id));
        }
    }

    fn set_timer(&mut self, at: Duration, timer_id: u64) {
        self.timers.insert((at, timer_id));
    }

    fn cancel_timer(&mut self, at: Duration, timer_id: u64) {
        self.timers.remove(&(at, timer_id));
    }

    fn subscribe_list(&mut self) {
        // Not needed: discovery sends the list to every router.
    }

    fn local_copy(&mut self, request: &Id) -> Option<LocalCopy> {
        let pending = self.requests.get(request)?;
        let local_cache = self.local_cache.as_mut()?;
        local_cache.lookup(&pending.arrival, pending.forwarded.client_etag.as_ref())
    }

    fn holder_found(&mut self, part: u32, cache: &Id) {
        if let Some(gossip) = &mut self.gossip {
            gossip.exchange.record_finding(part, cache);
        }
    }

    fn keep_local_copy(&mut self, request: &Id, retention_priority: u8) {
        let (Some(local_cache), Some(pending)) =
            (&mut self.local_cache, self.requests.get(request))
        else {
            return;
        };
        let served = &mut self.served_answer;
        match served.take_if(|served| served.request == *request) {
            Some(served) => {
                local_cache.insert(&pending.arrival, &served.answer, retention_priority)
            }
            None => local_cache.set_retention_priority(&pending.arrival, retention_priority),
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
