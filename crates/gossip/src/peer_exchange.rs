//! The exchange of hints between the routers of a zone: discovery of peers, what is sent to which
//! of them and when, and what is accepted. No I/O: datagrams go out through a [`DatagramSender`], accepted
//! hints through a [`HintReceiver`].
//!
//! Peers discover each other by a broadcast to all routers that carries the sender's zone: every
//! router of the same zone adds the sender as a peer and sends it what it sends to the others. The
//! broadcast is repeated, at an interval that doubles each time, until all peers were heard from
//! once, and never after that, even if a peer falls silent: one broadcast costs as much as a minute
//! of exchange. A peer that was silent for [`PEER_TIMEOUT`] is sent occasional heartbeats, so that
//! both sides of a partition find each other again without a broadcast.

use crate::codec::{
    Datagram, Finding, HEADER_BYTES, MAX_FINDINGS, cache_tag, decode_loads, encode_loads,
};
use crate::weight_balancer::{WeightBalancer, WeightReceiver};
use chalkhall::control::Router;
use chalkhall::interface::Id;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Length of a period: the time between two datagrams to the peers, each with the findings since
/// the last one.
pub const SEND_INTERVAL: Duration = Duration::from_millis(500);
/// A peer that is silent for this long counts as absent: four consecutive datagrams are seldom lost
/// by chance.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(2000);
/// Idle periods after which a heartbeat is sent: within [`PEER_TIMEOUT`], even if one is lost.
const HEARTBEAT_PERIODS: u32 = 2;
/// Interval of the search broadcasts while peers are missing: the first, and the longest.
const MIN_SEARCH_INTERVAL: Duration = Duration::from_secs(2);
const MAX_SEARCH_INTERVAL: Duration = Duration::from_secs(64);
/// Findings waiting to be sent. The oldest are dropped first, which costs a peer a hint.
const MAX_QUEUED_FINDINGS: usize = 128;
/// Datagrams sent to each peer per period.
const MAX_DATAGRAMS_PER_PERIOD: usize = 2;
/// Findings accepted from one peer per period: twice what it may send, since datagrams arrive in
/// bursts. More would displace the accesses that this router has recorded itself.
const MAX_ACCEPTED_FINDINGS: usize = 2 * MAX_DATAGRAMS_PER_PERIOD * MAX_FINDINGS;

/// Destination of a datagram: every router of the tier, or one by its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Destination {
    All,
    One(u64),
}

/// Sends datagrams; any of them may be lost.
pub trait DatagramSender {
    /// Sends one datagram.
    fn send(&mut self, to: Destination, bytes: &[u8]);
}

/// Receives what the peers report.
pub trait HintReceiver: WeightReceiver {
    /// A peer has found a part at a cache, or had it stored there.
    fn receive_finding(&mut self, now: Duration, part: u32, cache: Id);
}

impl WeightReceiver for Router {
    fn set_weight(&mut self, cache: &Id, log_factor: f64) {
        Router::adjust_weight(self, cache, log_factor);
    }
}

impl HintReceiver for Router {
    fn receive_finding(&mut self, now: Duration, part: u32, cache: Id) {
        self.record_peer_finding(now, part, cache);
    }
}

/// Identity of this router within the fleet.
#[derive(Clone, Copy, Debug)]
pub struct ExchangeConfig {
    pub number: u64,
    pub routers: usize,
    pub zone: usize,
    /// Number of routers in the zone, including this one.
    pub routers_in_zone: usize,
    pub seed: u64,
}

/// Counts of dropped input and output, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Dropped {
    /// Datagrams from unknown routers, or from more peers than the zone has.
    pub unknown_senders: u64,
    /// Datagrams of another format, truncated, too long, or with values out of bounds.
    pub malformed: u64,
    /// Findings beyond what a peer may send per period.
    pub over_quota: u64,
    /// Findings of this router that were dropped unsent.
    pub unsent: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    last_received: Duration,
    /// Start of the period in which `accepted` findings were counted.
    window_start: Duration,
    accepted: usize,
}

/// The exchange of hints with the peers, as one router takes part in it.
pub struct PeerExchange {
    config: ExchangeConfig,
    /// By tag. `None` where two caches have the same tag: findings for those are neither sent nor
    /// accepted.
    caches: BTreeMap<u8, Option<Id>>,
    /// Routers of the zone that were heard from; at most as many as there are.
    peers: BTreeMap<u64, Peer>,
    pending: VecDeque<Finding>,
    next_tick_at: Duration,
    idle_periods: u32,
    next_search_at: Duration,
    search_interval: Duration,
    dropped: Dropped,
    /// Weights of the caches, if load is evened out.
    weight_balancer: Option<WeightBalancer>,
}

impl PeerExchange {
    /// Returns `None` if there are no other routers to exchange with.
    pub fn start(now: Duration, config: ExchangeConfig) -> Option<PeerExchange> {
        let is_alone = config.routers_in_zone <= 1
            || config.routers <= 1
            || config.zone > usize::from(u16::MAX);
        // Routers that start together do not all send at the same instant.
        let phase = SEND_INTERVAL.mul_f64(fastrand::Rng::with_seed(config.seed).f64());
        (!is_alone).then(|| PeerExchange {
            config,
            caches: BTreeMap::new(),
            peers: BTreeMap::new(),
            pending: VecDeque::new(),
            next_tick_at: now + phase,
            idle_periods: 0,
            next_search_at: now,
            search_interval: MIN_SEARCH_INTERVAL,
            dropped: Dropped::default(),
            weight_balancer: None,
        })
    }

    /// Turns on adjusting the weights of the zone's caches together with the peers.
    pub fn enable_weight_balancing(&mut self) {
        self.weight_balancer = Some(WeightBalancer::default());
    }

    /// Replaces the caches whose load is evened out, with their capacities.
    pub fn set_balanced_caches(&mut self, caches: impl Iterator<Item = (Id, f64)>) {
        if let Some(balancer) = &mut self.weight_balancer {
            balancer.set_caches(caches);
        }
    }

    /// Each cache's adjusted weight divided by its capacity; empty if load is not evened out.
    pub fn weights(&self) -> impl Iterator<Item = (&Id, f64)> {
        self.weight_balancer
            .iter()
            .flat_map(WeightBalancer::weights)
    }

    /// Records work sent to a server by this router, in seconds at a client's rate.
    pub fn record_sent(&mut self, server: &Id, work: f64) {
        self.weight_balancer
            .iter_mut()
            .for_each(|balancer| balancer.record_sent(server, work));
    }

    /// Sends the loads of the last period to the peers, and sets the new weights.
    fn send_loads(
        &mut self,
        now: Duration,
        sender: &mut dyn DatagramSender,
        receiver: &mut dyn HintReceiver,
    ) {
        let Some(loads) = self
            .weight_balancer
            .as_mut()
            .map(|balancer| balancer.tick(receiver))
            .filter(|loads| !loads.is_empty())
        else {
            return;
        };
        let bytes = encode_loads(self.config.zone as u16, &loads);
        for (number, _) in self
            .peers
            .iter()
            .filter(|(_, peer)| now < peer.last_received + PEER_TIMEOUT)
        {
            sender.send(Destination::One(*number), &bytes);
        }
    }

    /// Replaces the caches of this zone.
    pub fn set_caches<'a>(&mut self, names: impl Iterator<Item = &'a Id>) {
        self.caches.clear();
        for name in names {
            let entry = self.caches.entry(cache_tag(name));
            entry
                .and_modify(|known| *known = None)
                .or_insert_with(|| Some(name.clone()));
        }
    }

    /// Records that this router has found a part at a cache, or had it stored there.
    pub fn record_finding(&mut self, part: u32, cache: &Id) {
        let cache = cache_tag(cache);
        if !matches!(self.caches.get(&cache), Some(Some(_))) {
            return;
        }
        if let Some(queued) = self.pending.iter_mut().find(|queued| queued.part == part) {
            queued.cache = cache;
            return;
        }
        if self.pending.len() == MAX_QUEUED_FINDINGS {
            self.pending.pop_front();
            self.dropped.unsent += 1;
        }
        self.pending.push_back(Finding { part, cache });
    }

    /// When [`PeerExchange::tick`] is due.
    pub fn next_tick(&self) -> Duration {
        self.next_tick_at
    }

    /// The number of peers that were heard from within [`PEER_TIMEOUT`], and of those ever heard
    /// from.
    pub fn peers(&self, now: Duration) -> (usize, usize) {
        let recent = self
            .peers
            .values()
            .filter(|peer| now < peer.last_received + PEER_TIMEOUT);
        (recent.count(), self.peers.len())
    }

    /// Counts of dropped input and output since the start.
    pub fn dropped(&self) -> Dropped {
        self.dropped
    }

    /// Searches for missing peers, and sends the queued findings.
    pub fn tick(
        &mut self,
        now: Duration,
        sender: &mut dyn DatagramSender,
        receiver: &mut dyn HintReceiver,
    ) {
        if now < self.next_tick_at {
            return;
        }
        // Periods missed during a pause are not made up for.
        self.next_tick_at = now + SEND_INTERVAL;
        self.send_loads(now, sender, receiver);
        let zone = self.config.zone as u16;
        if now >= self.next_search_at && self.peers.len() + 1 < self.config.routers_in_zone {
            sender.send(
                Destination::All,
                &Datagram {
                    seeks_peers: true,
                    zone,
                    findings: Vec::new(),
                }
                .encode(),
            );
            self.next_search_at = now + self.search_interval;
            self.search_interval = (self.search_interval * 2).min(MAX_SEARCH_INTERVAL);
        }
        self.idle_periods += 1;
        let is_heartbeat_due = self.idle_periods >= HEARTBEAT_PERIODS;
        for n in 0..MAX_DATAGRAMS_PER_PERIOD {
            if self.pending.is_empty() && !(is_heartbeat_due && n == 0) {
                break;
            }
            let findings = self
                .pending
                .drain(..self.pending.len().min(MAX_FINDINGS))
                .collect();
            let bytes = Datagram {
                seeks_peers: false,
                zone,
                findings,
            }
            .encode();
            // Absent peers are only sent heartbeats.
            let (header, sends_heartbeat) = (&bytes[..HEADER_BYTES], is_heartbeat_due && n == 0);
            for (number, peer) in &self.peers {
                match now < peer.last_received + PEER_TIMEOUT {
                    true => sender.send(Destination::One(*number), &bytes),
                    false if sends_heartbeat => sender.send(Destination::One(*number), header),
                    false => {}
                }
            }
            self.idle_periods = 0;
        }
    }

    /// Receives a datagram from the router with this number.
    pub fn receive(
        &mut self,
        now: Duration,
        from: u64,
        bytes: &[u8],
        receiver: &mut dyn HintReceiver,
    ) {
        let is_known_router = from < self.config.routers as u64 && from != self.config.number;
        // A zone has no more peers than its configured routers, whoever claims to be one.
        let is_full = || {
            self.peers.len() + 1 >= self.config.routers_in_zone && !self.peers.contains_key(&from)
        };
        if let Some(loads) = decode_loads(bytes) {
            match (loads, &mut self.weight_balancer) {
                (Err(_), _) => self.dropped.malformed += 1,
                // Loads count only from known peers, and make no sender a peer.
                (Ok((zone, loads)), Some(balancer))
                    if self.peers.contains_key(&from) && usize::from(zone) == self.config.zone =>
                {
                    balancer.receive(&loads, SEND_INTERVAL.as_secs_f64());
                }
                _ => {}
            }
            return;
        }
        let Ok(datagram) = Datagram::decode(bytes) else {
            self.dropped.malformed += 1;
            return;
        };
        if is_known_router && usize::from(datagram.zone) != self.config.zone {
            return;
        }
        if !is_known_router || is_full() {
            self.dropped.unknown_senders += 1;
            return;
        }
        let peer = self.peers.entry(from).or_default();
        peer.last_received = now;
        if now >= peer.window_start + SEND_INTERVAL {
            (peer.window_start, peer.accepted) = (now, 0);
        }
        let accepted = datagram
            .findings
            .len()
            .min(MAX_ACCEPTED_FINDINGS - peer.accepted);
        peer.accepted += accepted;
        self.dropped.over_quota += (datagram.findings.len() - accepted) as u64;
        if datagram.seeks_peers {
            // The sender learns of this router by its next heartbeat, which is made due at once.
            self.idle_periods = HEARTBEAT_PERIODS;
        }
        for Finding { part, cache } in datagram.findings.into_iter().take(accepted) {
            if let Some(Some(cache)) = self.caches.get(&cache) {
                receiver.receive_finding(now, part, cache.clone());
            }
        }
    }
}

#[cfg(test)]
mod tests;
