//! Owns the decisions: hands them what happens, and does what they order. Nothing is decided here.

mod dispatcher;
mod servers;

use crate::cell_routing::CellRouting;
use crate::clock::Clock;
use crate::configuration::Limits;
use crate::discovery_events::DiscoveryEvent;
use crate::gossip_socket::GossipSender;
use crate::lifecycle::Phase;
use crate::local_cache::{Got, LocalCache};
use crate::messages::{
    AttemptEnded, AttemptId, CancellationFlag, ClientReply, FinalAnswer, Message, NewRequest,
    OperatorQuery,
};
use crate::rate_limited_log::RateLimitedLog;
use crate::server_pool::{ConnectionSlots, ServerActors};
use crate::zone_failover::ZoneFailover;
use chalkhall::control::Router;
use chalkhall::interface::{self, Deployment, Effect, Id, ListKind, Member, Outcome, Standing};
use chalkhall_gossip::Talk;
use chalkhall_store::threads::End;
use dispatcher::{Dispatcher, PendingRequest, To};
use serde_json::{Value, json};
use servers::{Listed, ServerHandles};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::task::yield_now;
use tokio::time::sleep_until;

/// What an attempt brings into memory is expected as lately: at first an object's bytes at most, then
/// moving by this share towards each that came.
const OBJECT_MOST: f64 = 240_000.0;
const OBJECT_MOVES: f64 = 1.0 / 64.0;
const CONNECTIONS_MOST: usize = 8;
/// Descriptors beside clients' within their third and servers': clients on their way out, discovery,
/// listener, peers, signals, log and the like.
const DESCRIPTORS_BESIDE: usize = 32;
/// The decider looks up this often at least; where it comes later than that by so much, the program was held
/// up.
const LOOK_EVERY: Duration = Duration::from_millis(50);
const PAUSE: Duration = Duration::from_millis(50);
/// Turns of all tasks within which what lies in the sockets has come from connection to server to the
/// decider.
const HOPS: usize = 8;

/// What stands beside the decisions, where it is turned on: own copies, the map of cells, talk with peers.
pub struct Subsystems {
    pub own: Option<LocalCache>,
    pub confined: Option<CellRouting>,
    pub talk: Option<(Talk, GossipSender)>,
    pub abroad: Option<ZoneFailover>,
}

pub struct Decider {
    router: Router,
    desk: Dispatcher,
    /// Places of own copies, until they have gone to the decisions with the first list.
    places: Vec<Member>,
    confined: Option<CellRouting>,
    /// What is decided in common with the routers of all zones.
    abroad: Option<ZoneFailover>,
    warm_within: Duration,
    limits: Limits,
    /// By class: whether its requests must not run twice.
    once: Vec<bool>,
    /// Bodies in hand, present and to come, past which new requests are rejected at the door.
    bodies_most: f64,
    phase: watch::Sender<Phase>,
    longest_deadline: Duration,
    longest_advice: Option<Duration>,
    /// The list has changed since the talk with the peers took it over.
    peers_list_stale: bool,
    nonsense: RateLimitedLog,
}

impl Decider {
    /// The wait that a rejected client is advised.
    pub fn advice(&self) -> Option<Duration> {
        self.router.advice
    }

    pub fn start(
        clock: Clock,
        deployment: &Deployment,
        limits: Limits,
        phase: watch::Sender<Phase>,
        messages: mpsc::Sender<Message>,
        beside: Subsystems,
    ) -> Decider {
        let Subsystems {
            own,
            confined,
            talk,
            abroad,
        } = beside;
        let now = clock.now();
        let places = own.as_ref().map(LocalCache::members).unwrap_or_default();
        // What clients may hold, and some of each kind on their way out, is theirs.
        let connections_most = limits
            .sockets
            .saturating_sub(limits.sockets / 3 + DESCRIPTORS_BESIDE);
        let mut desk = Dispatcher {
            now,
            clock,
            requests: HashMap::new(),
            servers: ServerHandles::new(ServerActors {
                max_streams: limits.streams,
                connect_timeout: limits.connect_timeout,
                // Idle connections are closed before the other side does.
                idle_timeout: limits.idle_close.mul_f64(0.8),
                decider: messages,
                slots: Rc::new(ConnectionSlots::new(connections_most)),
            }),
            timers: BinaryHeap::new(),
            ends: VecDeque::new(),
            answered: Vec::new(),
            finals: Vec::new(),
            own,
            talk,
            brought: None,
            leave_within: shortest(deployment),
            in_hand: 0,
            out: 0,
            object: OBJECT_MOST,
            refused: RateLimitedLog::default(),
            pace: deployment.client_kb_per_s.max(1e-9),
        };
        Decider {
            router: Router::start(now, deployment, &mut desk),
            desk,
            places,
            confined,
            abroad,
            warm_within: deployment.cold_cache.warm_within,
            once: deployment
                .classes
                .iter()
                .map(|c| c.effect == Effect::NonIdempotent)
                .collect(),
            bodies_most: limits.memory as f64 / 2.0,
            limits,
            phase,
            longest_deadline: deployment
                .classes
                .iter()
                .map(|c| c.deadline)
                .max()
                .unwrap_or_default(),
            longest_advice: deployment.longest_advice,
            peers_list_stale: false,
            nonsense: RateLimitedLog::default(),
        }
    }

    /// What discovery tells goes before all else: after a pause of the whole program, as on a machine
    /// that others share, a drain or a purge may wait unread for longer than its grace, behind requests and
    /// timers.
    pub async fn run(
        mut self,
        mut mailbox: mpsc::Receiver<Message>,
        mut notices: mpsc::Receiver<DiscoveryEvent>,
    ) {
        let mut due_at = self.desk.now;
        loop {
            self.desk.now = self.desk.clock.now();
            self.wake();
            self.tick(self.desk.now.saturating_sub(due_at));
            let phase = *self.phase.borrow();
            if phase.at(self.desk.now, || self.open()) == Phase::Ended {
                return self.finish(mailbox);
            }
            let due = self.desk.timers.peek().map(|Reverse((at, _))| *at);
            let own = self
                .desk
                .own
                .as_ref()
                .and_then(|own| own.next_look(self.desk.now));
            let talk = self.desk.talk.as_ref().map(|(talk, _)| talk.next());
            let talk = talk
                .into_iter()
                .chain(self.abroad.as_ref().map(ZoneFailover::next));
            let look = due
                .into_iter()
                .chain(phase.next_look(self.desk.now))
                .chain(own)
                .chain(talk)
                .min();
            let look = look
                .unwrap_or(Duration::MAX)
                .min(self.desk.now + LOOK_EVERY);
            due_at = look;
            let message = tokio::select! {
                biased;
                Some(notice) = notices.recv() => {
                    self.notice(notice);
                    None
                }
                message = mailbox.recv() => Some(message),
                () = sleep_until(self.desk.clock.instant(look)) => None,
            };
            let mut waiting = VecDeque::from([message]);
            if self.desk.clock.now() >= self.desk.now + LOOK_EVERY + PAUSE {
                // The other tasks have their turns first: discovery's, and those of the connections, lest
                // answers that came during the pause pass for silence of their servers. No more can come than
                // is out.
                for _ in 0..HOPS {
                    yield_now().await;
                    while let Ok(message) = mailbox.try_recv() {
                        waiting.push_back(Some(Some(message)));
                    }
                }
            }
            while let Ok(notice) = notices.try_recv() {
                self.notice(notice);
            }
            for message in waiting {
                match message {
                    Some(Some(message)) => self.take(message),
                    Some(None) => return self.finish(mailbox),
                    None => {}
                }
            }
        }
    }

    /// What clients wait for: requests, and whether a slow reader has not taken all of its answers yet.
    fn open(&self) -> usize {
        let waits = |taken: &&PendingRequest| matches!(taken.client, Some(To::Client(_)));
        self.desk.requests.values().filter(waits).count() + usize::from(self.desk.in_hand > 0)
    }

    /// What is still open when time has run out fails: an end without an answer would lose it.
    fn finish(&mut self, mut mailbox: mpsc::Receiver<Message>) {
        // Nobody looks into the mailbox any more: what still lies in it never ran.
        mailbox.close();
        while let Ok(message) = mailbox.try_recv() {
            let Message::Request(new) = message else {
                continue;
            };
            let last = FinalAnswer::Rejected(self.router.advice);
            new.client.send(ClientReply {
                tag: new.tag,
                id: new.arrival.id,
                last,
            });
        }
        let open: Vec<Id> = self.desk.requests.keys().cloned().collect();
        for id in open {
            if self.desk.reply(&id, FinalAnswer::Failed) {
                self.router.left(self.desk.now, &id, &mut self.desk);
            }
        }
        self.desk.own.take().into_iter().for_each(LocalCache::close);
        self.phase.send_replace(Phase::Ended);
    }

    fn wake(&mut self) {
        while let Some(Reverse((at, mark))) = self.desk.timers.peek().copied() {
            if at > self.desk.now {
                break;
            }
            self.desk.timers.pop();
            self.router.wake(self.desk.now, mark, &mut self.desk);
            self.settle();
        }
    }

    fn take(&mut self, message: Message) {
        self.desk.now = self.desk.clock.now();
        match message {
            Message::Request(new) => self.request(*new),
            Message::Left(id, tag, client) => {
                // Another's request may bear the same id: it is not this client's to end.
                let own = |taken: &&mut PendingRequest| {
                    taken.tag == tag
                        && matches!(&taken.client, Some(To::Client(c)) if c.same_channel_as_sender(&client))
                };
                if let Some(taken) = self.desk.requests.get_mut(&id).filter(own) {
                    taken.wanted.end();
                    taken.client = None;
                    self.desk.answered.push(id.clone());
                    self.router.left(self.desk.now, &id, &mut self.desk);
                }
            }
            Message::Written(bytes) => self.desk.in_hand = self.desk.in_hand.saturating_sub(bytes),
            Message::Ended(ended) => self.ended(ended),
            Message::ServerRests(server) => self.desk.servers.rests(&server),
            Message::Disk(end) => self.disk(end),
            Message::Way(edge, way) => {
                self.abroad
                    .iter_mut()
                    .for_each(|abroad| abroad.way(self.desk.now, edge, way));
            }
            Message::Peer(from, bytes) => {
                if let Some(abroad) = &mut self.abroad
                    && abroad.heard(self.desk.now, from, &bytes)
                {
                    return;
                }
                let Some((talk, _)) = &mut self.desk.talk else {
                    return;
                };
                talk.heard(self.desk.now, from, &bytes, &mut self.router);
            }
            Message::OperatorQuery(OperatorQuery { words, answer }) => {
                // Who asked may have gone.
                let _ = answer.send(self.say(&words));
            }
            Message::Stop => {
                let phase = *self.phase.borrow();
                log::info!(
                    "asked to stop, with {} requests open",
                    self.desk.requests.len()
                );
                self.phase
                    .send_replace(phase.asked_to_stop(self.desk.now, self.longest_deadline));
            }
        }
        self.settle();
    }

    fn request(&mut self, new: NewRequest) {
        let NewRequest {
            mut arrival,
            passed,
            received_after,
            tag,
            client,
            wanted,
        } = new;
        let refused = arrival.id.clone();
        if !wanted.still() {
            // It left before it was looked at.
            return;
        }
        let refuse = |client: mpsc::OwnedPermit<ClientReply>, last| {
            client.send(ClientReply {
                tag,
                id: refused,
                last,
            });
        };
        if self.desk.requests.contains_key(&arrival.id) {
            self.nonsense.log("a request with an id that is in use");
            return refuse(client, FinalAnswer::Failed);
        }
        // Rather an early rejection than being killed for memory or losing count of what is open.
        let bodies = self.desk.in_hand as f64 + (self.desk.out + 1) as f64 * self.desk.object;
        if let Some(own) = &mut self.desk.own {
            own.beside(bodies);
        }
        if bodies > self.bodies_most || self.desk.requests.len() >= self.limits.open_requests {
            return refuse(client, FinalAnswer::Rejected(self.router.advice));
        }
        arrival.left = arrival
            .left
            .saturating_sub(self.desk.now.saturating_sub(received_after));
        let once = self.once.get(arrival.class) == Some(&true);
        if let Some(confined) = &mut self.confined
            && let Err(wait) = confined.request(self.desk.now, &mut arrival, once)
        {
            // The client is told to come back when its tenant may, as far as it heeds that.
            return refuse(
                client,
                FinalAnswer::Rejected(self.longest_advice.map(|longest| wait.min(longest))),
            );
        }
        if let Some(abroad) = &mut self.abroad
            && abroad.request(self.desk.now, &mut arrival).is_err()
        {
            return refuse(client, FinalAnswer::Rejected(self.router.advice));
        }
        let (attempts, kept) = (Vec::new(), arrival.clone());
        let client = Some(To::Client(client));
        let begun = self.desk.now;
        let taken = PendingRequest {
            client,
            tag,
            wanted,
            arrival: kept,
            passed,
            once,
            begun,
            attempts,
        };
        self.desk.requests.insert(arrival.id.clone(), taken);
        self.router.request(self.desk.now, arrival, &mut self.desk);
    }

    fn ended(&mut self, ended: AttemptEnded) {
        let AttemptEnded {
            attempt:
                AttemptId {
                    request: id,
                    number: n,
                },
            outcome,
            answer,
        } = ended;
        let desk = &mut self.desk;
        let Some(taken) = desk.requests.get_mut(&id) else {
            return;
        };
        let Some(attempt) = taken.attempts.get_mut(n).filter(|e| e.open) else {
            return;
        };
        attempt.open = false;
        let by_server = attempt.server.is_some();
        desk.out -= 1;
        let took = desk.now.saturating_sub(attempt.sent);
        let have = taken.passed.have.clone();
        let mut told = interface::Ended {
            outcome,
            remark: interface::Remark::None,
            took,
            first_byte: None,
            over: false,
            load: interface::Load::default(),
        };
        if let Some(mut answer) = answer {
            if let (true, Some(own)) = (by_server, &mut desk.own) {
                answer.created_at_unix_ms =
                    answer.created_at_unix_ms.and_then(|made| own.bounded(made));
            }
            (told.remark, told.first_byte, told.load) =
                (answer.remark, answer.first_byte, answer.load);
            // That a copy holds is passed on only of the very one that the server names.
            if answer.is_not_modified && (have.is_none() || have != answer.etag) {
                self.nonsense
                    .log("a server says that a copy holds which nobody named");
                (told.outcome, told.remark) = (Outcome::Error, interface::Remark::None);
            }
            if told.outcome == Outcome::Served {
                desk.object += (answer.body.len() as f64 - desk.object) * OBJECT_MOVES;
                // The first attempt that is served is the client's answer.
                let etag = answer.etag.clone();
                let last = if answer.is_not_modified {
                    FinalAnswer::Unchanged { etag }
                } else {
                    FinalAnswer::Served {
                        etag,
                        body: answer.body.clone(),
                    }
                };
                desk.reply(&id, last);
                if let (Some(confined), Some(taken)) = (&mut self.confined, desk.requests.get(&id))
                {
                    confined.served(desk.now, &taken.arrival);
                }
                if let (true, Some(own), Some(taken)) =
                    (by_server, &mut desk.own, desk.requests.get(&id))
                {
                    own.answered(&taken.arrival, &answer, taken.passed.have.as_ref());
                }
                desk.brought = (by_server && !answer.is_not_modified).then(|| (id.clone(), answer));
            }
        }
        if let (true, Some(confined), Some(taken)) =
            (by_server, &mut self.confined, desk.requests.get(&id))
        {
            confined.ended(desk.now, &taken.arrival, told.outcome, told.remark);
        }
        told.over = desk
            .requests
            .get(&id)
            .is_some_and(|taken| taken.client.is_none() || !taken.wanted.still());
        if let (true, Some(abroad), Some(taken)) =
            (by_server, &mut self.abroad, desk.requests.get(&id))
        {
            let server = taken
                .attempts
                .get(n)
                .and_then(|attempt| self.router.member(&attempt.at));
            abroad.ended(desk.now, server, told.outcome, told.remark);
        }
        desk.answered.push(id.clone());
        self.router.result(desk.now, &id, n, &told, desk);
        desk.brought = None;
    }

    /// An order to the disk has ended: with it perhaps attempts that waited for it.
    fn disk(&mut self, end: End) {
        let Some(own) = &mut self.desk.own else {
            return;
        };
        own.ended(end);
        let got = own.got();
        for (key, fetched) in got {
            let (Some(own), Some(taken)) = (&self.desk.own, self.desk.requests.get(&key.request))
            else {
                continue;
            };
            let (outcome, answer): Got =
                own.answer_from(&fetched, &taken.arrival, taken.passed.have.as_ref());
            self.desk.ends.push_back(AttemptEnded {
                attempt: key,
                outcome,
                answer,
            });
        }
    }

    fn say(&mut self, words: &[String]) -> Value {
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        let now = self.desk.now;
        if let (["regions" | "steer" | "latency", ..], None) = (words.as_slice(), &self.abroad) {
            return json!({"error": "regions in common are off"});
        }
        match (words.as_slice(), &mut self.abroad) {
            (["regions", "stat"], Some(abroad)) => return abroad.report(now),
            (["steer", "show"], Some(abroad)) => return abroad.steer(now),
            (["latency", "observe", rest @ ..], Some(abroad)) => return abroad.observe(now, rest),
            _ => {}
        }
        match (words.as_slice(), &self.desk.own) {
            (["store", "stat"], Some(own)) => own.report(),
            (["cells", "stat"], _) => match &self.confined {
                Some(confined) => confined.report(),
                None => json!({"error": "there are no cells"}),
            },
            (["peers", "stat"], _) => match &self.desk.talk {
                Some((talk, _)) => {
                    let ((lately, ever), d) = (talk.peers(self.desk.now), talk.dropped());
                    let weights: BTreeMap<&str, f64> =
                        talk.weights().map(|(cache, by)| (&**cache, by)).collect();
                    json!({
                        "weights": weights,
                        "mates": lately, "known": ever,
                        "strangers": d.strangers, "faulty": d.faulty, "flood": d.flood, "untold": d.untold,
                    })
                }
                None => json!({"error": "this router talks to no other"}),
            },
            (["store", "stat"], None) => {
                json!({"error": "no own copies are kept: neither memory nor disk is set"})
            }
            _ => json!({"error": format!("unknown words: {}", words.join(" "))}),
        }
    }

    /// Background work of own copies, and the requests by which unproven ones are asked about.
    fn tick(&mut self, late: Duration) {
        if self
            .desk
            .talk
            .as_ref()
            .is_some_and(|(talk, _)| self.desk.now >= talk.next())
        {
            self.refresh_peers_list();
        }
        if let Some((talk, saying)) = &mut self.desk.talk
            && self.desk.now >= talk.next()
        {
            talk.tick(self.desk.now, saying, &mut self.router);
        }
        if let Some(abroad) = self
            .abroad
            .as_mut()
            .filter(|abroad| self.desk.now >= abroad.next())
        {
            let servers = &self.desk.servers;
            abroad.tick(self.desk.now, &self.router, |server| {
                servers.address(server)
            });
        }
        let Some(own) = &mut self.desk.own else {
            return;
        };
        own.tick(late);
        for (arrival, passed) in own.asks() {
            let (client, kept, attempts) = (Some(To::Store), arrival.clone(), Vec::new());
            let begun = self.desk.now;
            let (tag, wanted, once) = (0, CancellationFlag::default(), false);
            let taken = PendingRequest {
                client,
                tag,
                wanted,
                arrival: kept,
                passed,
                once,
                begun,
                attempts,
            };
            self.desk.requests.insert(arrival.id.clone(), taken);
            self.router.request(self.desk.now, arrival, &mut self.desk);
            self.settle();
        }
    }

    /// Tells the decisions of what could not be sent, and forgets requests that are answered and all back.
    fn settle(&mut self) {
        while let Some(ended) = self.desk.ends.pop_front() {
            self.ended(ended);
        }
        for (class, begun, served) in self.desk.finals.drain(..) {
            self.abroad
                .iter_mut()
                .for_each(|a| a.answered(self.desk.now, class, begun, served));
        }
        for id in std::mem::take(&mut self.desk.answered) {
            let over = |taken: &PendingRequest| {
                taken.client.is_none() && taken.attempts.iter().all(|e| !e.open)
            };
            if self.desk.requests.get(&id).is_some_and(over) {
                self.desk.requests.remove(&id);
            }
        }
    }

    pub fn notice(&mut self, notice: DiscoveryEvent) {
        let now = self.desk.clock.now();
        match notice {
            DiscoveryEvent::Drained(places) => self
                .abroad
                .iter_mut()
                .for_each(|abroad| abroad.drain(&places)),
            DiscoveryEvent::Cells(plan) => {
                let (Some(confined), epoch) = (&mut self.confined, plan.epoch()) else {
                    return;
                };
                match confined.renew(now, *plan) {
                    Some(moved) => {
                        log::info!(epoch = epoch, moved = moved.len(); "cells: taken over");
                        self.router
                            .list(now, ListKind::Changes, &moved, &mut self.desk);
                    }
                    None => {
                        let in_force = confined.epoch();
                        log::warn!(epoch = epoch, in_force = in_force; "cells: an older map is not taken");
                    }
                }
            }
            DiscoveryEvent::Heard => self.desk.own.iter_mut().for_each(LocalCache::heard),
            DiscoveryEvent::Purge { object, group, ms } => {
                let ago = now.saturating_sub(self.desk.clock.at_unix_ms(ms));
                if let Some(own) = &mut self.desk.own {
                    own.purged(object.as_ref(), group, ms);
                }
                self.router.purged(now, object, group, ago);
            }
            DiscoveryEvent::List { whole, members } => {
                let kind = if whole {
                    ListKind::Whole
                } else {
                    ListKind::Changes
                };
                if whole {
                    let listed: HashSet<&Id> =
                        members.iter().map(|(member, _)| &member.server).collect();
                    self.desk.servers.keep_only(&listed);
                }
                let share = self.limits.sockets
                    / 3
                    / (2 * members.len().max(self.desk.servers.len()).max(1));
                for (member, dial) in &members {
                    self.post(member, *dial, share.clamp(1, CONNECTIONS_MOST));
                }
                let mut members: Vec<Member> =
                    members.into_iter().map(|(member, _)| member).collect();
                if let Some(confined) = &mut self.confined {
                    members = confined.list(now, whole, members);
                }
                members.append(&mut self.places);
                self.router.list(now, kind, &members, &mut self.desk);
                self.peers_list_stale = true;
                if whole {
                    self.refresh_peers_list();
                }
            }
        }
    }

    /// The caches that the peers are told about, from the list as it is. Changes of the list come one by one, to
    /// hundreds in a release, and each would have the whole list walked: they are taken over together before
    /// the next word to the peers.
    fn refresh_peers_list(&mut self) {
        let Some((talk, _)) = &mut self.desk.talk else {
            return;
        };
        if !std::mem::take(&mut self.peers_list_stale) {
            return;
        }
        talk.caches(self.router.caches().map(|m| &m.server));
        // One that is cold or drains has less to do than it could, and is not evened out.
        let now = self.desk.now;
        let warm = |at: Duration| now >= at + self.warm_within;
        let even = |m: &&Member| m.standing == Standing::Active && m.started.is_none_or(warm);
        talk.even(
            self.router
                .caches()
                .filter(even)
                .map(|m| (m.server.clone(), m.capacity)),
        );
    }

    fn post(&mut self, member: &Member, address: SocketAddr, connections_most: usize) {
        if member.standing == Standing::Gone {
            return self.desk.servers.remove(&member.server);
        }
        let started_at = member.started.map(|at| self.desk.clock.instant(at));
        let listed = Listed {
            address,
            started: member.started,
            started_at,
            connections_most,
        };
        self.desk.servers.list(&member.server, listed);
    }
}

/// The shortest grace of a drain or a purge: a send that leaves within it was decided before the grace ended.
fn shortest(deployment: &Deployment) -> Duration {
    let graces = [deployment.drain_grace, deployment.purge_grace]
        .into_iter()
        .filter(|g| !g.is_zero());
    graces.min().unwrap_or(Duration::from_millis(500))
}

#[cfg(test)]
mod tests;
