//! The optional subsystems beside the decisions, and the work they do by time.

use super::{Decider, FinalOutcome};
use crate::cell_routing::CellRouting;
use crate::gossip_socket::GossipSender;
use crate::local_cache::{LocalCache, Revalidation};
use crate::messages::{AttemptEnded, CancellationFlag};
use crate::zone_failover::ZoneFailover;
use chalkhall::interface::{Member, Standing};
use chalkhall_gossip::Talk;
use chalkhall_store::threads::End;
use std::time::Duration;

use super::requests::{PendingRequest, Requester};

/// What an operator can turn on beside the decisions.
pub struct Subsystems {
    /// Copies that the router itself keeps.
    pub local_cache: Option<LocalCache>,
    /// The map of cells, and the limits of tenants.
    pub cell_routing: Option<CellRouting>,
    /// Exchange with the routers of the same tier.
    pub gossip: Option<Gossip>,
    /// Failover to other zones, decided together with their routers.
    pub zone_failover: Option<ZoneFailover>,
}

/// Gossip with the other routers of the zone, and how it reaches them.
pub struct Gossip {
    /// The protocol.
    pub talk: Talk,
    /// Its transport.
    pub sender: GossipSender,
}

impl Decider {
    /// Does the background work that is due. `late`: by how much the event loop came later than
    /// planned.
    pub(super) fn run_background_work(&mut self, late: Duration) {
        self.tick_gossip();
        self.tick_zone_failover();
        let Some(local_cache) = &mut self.dispatcher.local_cache else {
            return;
        };
        local_cache.tick(late);
        for revalidation in local_cache.take_revalidations() {
            self.revalidate(revalidation);
        }
    }

    /// When a subsystem next has work to do.
    pub(super) fn subsystems_wakeup(&self) -> Option<Duration> {
        let now = self.dispatcher.now;
        let local_cache = self.dispatcher.local_cache.as_ref();
        let gossip = self.dispatcher.gossip.as_ref();
        let wakeups = [
            local_cache.and_then(|local_cache| local_cache.next_wakeup(now)),
            gossip.map(|gossip| gossip.talk.next()),
            self.zone_failover.as_ref().map(ZoneFailover::next_wakeup),
        ];
        wakeups.into_iter().flatten().min()
    }

    fn tick_gossip(&mut self) {
        let now = self.dispatcher.now;
        let is_due = |gossip: &Gossip| now >= gossip.talk.next();
        if !self.dispatcher.gossip.as_ref().is_some_and(is_due) {
            return;
        }
        self.refresh_gossip_members();
        if let Some(Gossip { talk, sender }) = &mut self.dispatcher.gossip
            && now >= talk.next()
        {
            talk.tick(now, sender, &mut self.router);
        }
    }

    fn tick_zone_failover(&mut self) {
        let now = self.dispatcher.now;
        let Some(failover) = &mut self.zone_failover else {
            return;
        };
        if now >= failover.next_wakeup() {
            let servers = &self.dispatcher.servers;
            failover.tick(now, &self.router, |server| servers.address(server));
        }
    }

    /// Hands the caches of the current list to the gossip. Changes of the list come one by one,
    /// hundreds of them in a release, and each would have the whole list walked: they are taken
    /// over together before the next message to the peers.
    pub(super) fn refresh_gossip_members(&mut self) {
        let Some(Gossip { talk, .. }) = &mut self.dispatcher.gossip else {
            return;
        };
        if !std::mem::take(&mut self.is_gossip_list_stale) {
            return;
        }
        talk.caches(self.router.caches().map(|member| &member.server));
        // A cache in slow start, or one that drains, has less load than it could; it is not evened
        // out.
        let now = self.dispatcher.now;
        let is_warm = |started: Duration| now >= started + self.warm_within;
        let is_evened = |member: &&Member| {
            member.standing == Standing::Active && member.started.is_none_or(is_warm)
        };
        let evened = self.router.caches().filter(is_evened);
        talk.even(evened.map(|member| (member.server.clone(), member.capacity)));
    }

    /// Sends a request of the local cache itself, by which it learns whether a copy is still
    /// current.
    fn revalidate(&mut self, revalidation: Revalidation) {
        let Revalidation { arrival, forwarded } = revalidation;
        let now = self.dispatcher.now;
        self.dispatcher.requests.insert(PendingRequest {
            requester: Some(Requester::LocalCache),
            tag: 0,
            cancellation: CancellationFlag::default(),
            arrival: arrival.clone(),
            forwarded,
            is_non_idempotent: false,
            received_at: now,
            attempts: Vec::new(),
        });
        self.router.request(now, arrival, &mut self.dispatcher);
        self.settle();
    }

    /// An operation on the disk has ended: with it perhaps attempts that waited for it.
    pub(super) fn complete_disk_operation(&mut self, end: End) {
        let Some(local_cache) = &mut self.dispatcher.local_cache else {
            return;
        };
        local_cache.complete_disk_operation(end);
        for read in local_cache.take_completed_reads() {
            let Some(request) = self.dispatcher.requests.get(&read.attempt.request) else {
                continue;
            };
            let etag = request.forwarded.have.as_ref();
            let result = local_cache.read_result(&read.fetched, &request.arrival, etag);
            self.dispatcher.local_results.push_back(AttemptEnded {
                attempt: read.attempt,
                outcome: result.outcome,
                answer: result.answer,
            });
        }
    }

    /// A datagram of another router: of the failover between zones, or else of the gossip.
    pub(super) fn receive_datagram(&mut self, from: u64, bytes: &[u8]) {
        let now = self.dispatcher.now;
        if let Some(failover) = &mut self.zone_failover
            && failover.receive(now, from, bytes)
        {
            return;
        }
        if let Some(Gossip { talk, .. }) = &mut self.dispatcher.gossip {
            talk.heard(now, from, bytes, &mut self.router);
        }
    }

    /// A latency probe to a zone's edge has come back, or has not.
    pub(super) fn record_latency(&mut self, edge: usize, round_trip: Option<Duration>) {
        if let Some(failover) = &mut self.zone_failover {
            failover.record_latency(self.dispatcher.now, edge, round_trip);
        }
    }

    /// Tells the failover between zones how clients' requests ended.
    pub(super) fn report_final_outcomes(&mut self) {
        let now = self.dispatcher.now;
        for outcome in self.dispatcher.final_outcomes.drain(..) {
            let FinalOutcome {
                class,
                received_at,
                was_served,
            } = outcome;
            if let Some(failover) = &mut self.zone_failover {
                failover.record_final_answer(now, class, received_at, was_served);
            }
        }
    }
}
