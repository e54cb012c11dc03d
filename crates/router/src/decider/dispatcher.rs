//! Where the orders of the decisions are carried out, and what stands open there.

use super::servers::ServerHandles;
use crate::clock::Clock;
use crate::gossip_socket::GossipSender;
use crate::local_cache::LocalCache;
use crate::messages::{
    AttemptEnded, AttemptId, AttemptRequest, CancellationFlag, ClientReply, FinalAnswer,
    ServerCommand,
};
use crate::rate_limited_log::RateLimitedLog;
use crate::server_protocol::{Answer, ForwardedFields};
use chalkhall::interface::{Arrival, Fill, Held, Id, Outcome, Outlet};
use chalkhall_gossip::Talk;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::Duration;
use tokio::sync::mpsc;

/// Who waits for a final answer: a client, or the store, which is told by other ways.
pub(super) enum To {
    Client(mpsc::OwnedPermit<ClientReply>),
    Store,
}

/// Of a request: to whom its final answer goes, until it has gone, and its attempts.
pub(super) struct PendingRequest {
    pub(super) client: Option<To>,
    pub(super) tag: u64,
    pub(super) wanted: CancellationFlag,
    pub(super) arrival: Arrival,
    pub(super) passed: ForwardedFields,
    /// It must not run twice.
    pub(super) once: bool,
    pub(super) begun: Duration,
    pub(super) attempts: Vec<Attempt>,
}

pub(super) struct Attempt {
    /// None: the list does not hold it.
    pub(super) server: Option<mpsc::Sender<ServerCommand>>,
    pub(super) at: Id,
    pub(super) sent: Duration,
    pub(super) open: bool,
}

/// Where the orders of the decisions are carried out.
pub(super) struct Dispatcher {
    pub(super) now: Duration,
    pub(super) clock: Clock,
    pub(super) requests: HashMap<Id, PendingRequest>,
    pub(super) servers: ServerHandles,
    pub(super) timers: BinaryHeap<Reverse<(Duration, u64)>>,
    /// Attempts that ended here: not handed on, or answered from an own copy; and requests to be forgotten
    /// when all is back.
    pub(super) ends: VecDeque<AttemptEnded>,
    pub(super) answered: Vec<Id>,
    /// Of clients' requests: class, when it came, and whether it was served.
    pub(super) finals: Vec<(usize, Duration, bool)>,
    pub(super) own: Option<LocalCache>,
    /// What is told to the other routers of the zone, and how it gets to them.
    pub(super) talk: Option<(Talk, GossipSender)>,
    /// What a request is being served with.
    pub(super) brought: Option<(Id, Box<Answer>)>,
    /// A first byte leaves this soon after its decision, or not at all.
    pub(super) leave_within: Duration,
    /// Bytes of bodies on their way to clients, attempts that may bring more, and how much each is likely
    /// to.
    pub(super) in_hand: usize,
    pub(super) out: usize,
    pub(super) object: f64,
    pub(super) refused: RateLimitedLog,
    /// KB a second of one answer.
    pub(super) pace: f64,
}

impl Dispatcher {
    /// False: there is nobody any more who waits for it.
    pub(super) fn reply(&mut self, id: &Id, last: FinalAnswer) -> bool {
        let Some(taken) = self.requests.get_mut(id) else {
            return false;
        };
        let Some(to) = taken.client.take() else {
            return false;
        };
        let bytes = if let FinalAnswer::Served { body, .. } = &last {
            body.len()
        } else {
            0
        };
        if let To::Client(_) = to {
            let served = matches!(
                last,
                FinalAnswer::Served { .. } | FinalAnswer::Unchanged { .. }
            );
            self.finals.push((taken.arrival.class, taken.begun, served));
        }
        taken.wanted.end();
        if let To::Client(client) = to {
            client.send(ClientReply {
                tag: taken.tag,
                id: id.clone(),
                last,
            });
            self.in_hand += bytes;
        }
        self.answered.push(id.clone());
        true
    }
}

impl Outlet for Dispatcher {
    fn attempt(&mut self, request: &Id, server: &Id, limit: Duration, fill: &Fill) {
        let Some(taken) = self.requests.get_mut(request) else {
            return;
        };
        let key = AttemptId {
            request: request.clone(),
            number: taken.attempts.len(),
        };
        if let Some(own) = self.own.as_mut().filter(|own| own.is_place(server)) {
            let got = own.attempt(&key, server, &taken.arrival, taken.passed.have.as_ref());
            if let Some((outcome, answer)) = got {
                self.ends.push_back(AttemptEnded {
                    attempt: key,
                    outcome,
                    answer,
                });
            }
            taken.attempts.push(Attempt {
                server: None,
                at: server.clone(),
                sent: self.now,
                open: true,
            });
            self.out += 1;
            return;
        }
        let ask = Box::new(AttemptRequest {
            attempt: key.clone(),
            forwarded: taken.passed.clone(),
            server: server.clone(),
            fill: fill.clone(),
            is_non_idempotent: taken.once,
            cancellation: taken.wanted.clone(),
            deadline: self.clock.instant(self.now + limit),
            send_by: self.clock.instant(self.now + self.leave_within),
        });
        let work = taken.arrival.kb / self.pace;
        self.talk
            .iter_mut()
            .for_each(|(talk, _)| talk.sent(server, work));
        let post = self.servers.orders_to(server);
        if post
            .as_ref()
            .is_none_or(|orders| orders.try_send(ServerCommand::Send(ask)).is_err())
        {
            self.refused.log(&format!(
                "an attempt for {server}, which is not listed or takes no more orders"
            ));
            self.ends.push_back(AttemptEnded {
                attempt: key,
                outcome: Outcome::NeverSent,
                answer: None,
            });
        }
        taken.attempts.push(Attempt {
            server: post,
            at: server.clone(),
            sent: self.now,
            open: true,
        });
        self.out += 1;
    }

    fn reject(&mut self, request: &Id, advice: Option<Duration>) {
        self.reply(request, FinalAnswer::Rejected(advice));
    }

    fn fail(&mut self, request: &Id) {
        self.reply(request, FinalAnswer::Failed);
    }

    fn cancel(&mut self, request: &Id, attempt: usize) {
        let key = AttemptId {
            request: request.clone(),
            number: attempt,
        };
        if self.own.as_mut().is_some_and(|own| own.cancel(&key)) {
            return self.ends.push_back(AttemptEnded {
                attempt: key,
                outcome: Outcome::Cancelled,
                answer: None,
            });
        }
        let attempts = self.requests.get(request).map(|taken| &taken.attempts);
        let out = attempts.and_then(|e| e.get(attempt)).filter(|e| e.open);
        if let Some(server) = out.and_then(|out| out.server.as_ref()) {
            // Where this fails the attempt ends by its own time.
            let _ = server.try_send(ServerCommand::Cancel(key));
        }
    }

    fn wake_at(&mut self, at: Duration, mark: u64) {
        self.timers.push(Reverse((at, mark)));
    }

    fn watch_list(&mut self) {
        // Discovery tells every router unasked.
    }

    fn held(&mut self, request: &Id) -> Option<Held> {
        let taken = self.requests.get(request)?;
        self.own
            .as_mut()?
            .held(&taken.arrival, taken.passed.have.as_ref())
    }

    fn found(&mut self, part: u32, cache: &Id) {
        self.talk
            .iter_mut()
            .for_each(|(talk, _)| talk.found(part, cache));
    }

    fn keep(&mut self, request: &Id, rank: u8) {
        let (Some(own), Some(taken)) = (&mut self.own, self.requests.get(request)) else {
            return;
        };
        match self.brought.take_if(|(id, _)| id == request) {
            Some((_, answer)) => own.keep(&taken.arrival, &answer, rank),
            None => own.rank(&taken.arrival, rank),
        }
    }
}
