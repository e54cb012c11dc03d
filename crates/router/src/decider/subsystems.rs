//! The optional subsystems beside the routing logic, and their periodic work.

use super::{Decider, FinalOutcome};
use crate::cell_routing::CellRouting;
use crate::gossip_socket::GossipSender;
use crate::local_cache::{LocalCache, Revalidation};
use crate::messages::{AttemptEnded, CancellationFlag};
use crate::zone_failover::ZoneFailover;
use chalkhall::interface::{Member, ServerState};
use chalkhall_gossip::PeerExchange;
use chalkhall_store::threads::CompletedOperation;
use std::time::Duration;

use super::requests::{PendingRequest, Requester};

/// The subsystems that an operator can turn on.
pub struct Subsystems {
    /// The router's own cache.
    pub local_cache: Option<LocalCache>,
    /// The cell map and the rate limits of tenants.
    pub cell_routing: Option<CellRouting>,
    /// Gossip with the other routers of the zone.
    pub gossip: Option<Gossip>,
    /// Failover to other zones, which is agreed with their routers.
    pub zone_failover: Option<ZoneFailover>,
}

/// Gossip with the other routers of the zone.
pub struct Gossip {
    /// The protocol state machine.
    pub exchange: PeerExchange,
    /// Its transport.
    pub sender: GossipSender,
}

impl Decider {
    /// Does the background work that is due. `late` is the delay of the event loop behind its
    /// planned wake-up.
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
            gossip.map(|gossip| gossip.exchange.next_tick()),
            self.zone_failover.as_ref().map(ZoneFailover::next_wakeup),
        ];
        wakeups.into_iter().flatten().min()
    }

    fn tick_gossip(&mut self) {
        let now = self.dispatcher.now;
        let is_due = |gossip: &Gossip| now >= gossip.exchange.next_tick();
        if !self.dispatcher.gossip.as_ref().is_some_and(is_due) {
            return;
        }
        self.refresh_gossip_members();
        if let Some(Gossip { exchange, sender }) = &mut self.dispatcher.gossip
            && now >= exchange.next_tick()
        {
            exchange.tick(now, sender, &mut self.router);
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

    /// Passes the caches of the current list to the gossip protocol, if the list has changed. This
    /// iterates over the whole list, and a rollout changes it hundreds of times, one server at a
    /// time. Changes are therefore batched until the next message to the peers.
    pub(super) fn refresh_gossip_members(&mut self) {
        let Some(Gossip { exchange, .. }) = &mut self.dispatcher.gossip else {
            return;
        };
        if !std::mem::take(&mut self.is_gossip_list_stale) {
            return;
        }
        exchange.set_caches(self.router.caches().map(|member| &member.server));
        // Caches in slow start or draining carry less load on purpose; they are excluded from load
        // balancing by gossip.
        let now = self.dispatcher.now;
        let is_warm = |started: Duration| now >= started + self.slow_start_window;
        let is_balanced = |member: &&Member| {
            member.state == ServerState::Active && member.started.is_none_or(is_warm)
        };
        let balanced = self.router.caches().filter(is_balanced);
        exchange
            .set_balanced_caches(balanced.map(|member| (member.server.clone(), member.capacity)));
    }

    /// Sends a request of the local cache that revalidates a copy.
    fn revalidate(&mut self, revalidation: Revalidation) {
        let Revalidation { arrival, forwarded } = revalidation;
        let now = self.dispatcher.now;
        self.dispatcher.open_request(PendingRequest {
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
        self.process_completions();
    }

    /// Handles the end of a disk operation, and reports the attempts that waited for it.
    pub(super) fn complete_disk_operation(&mut self, operation: CompletedOperation) {
        let Some(local_cache) = &mut self.dispatcher.local_cache else {
            return;
        };
        local_cache.complete_disk_operation(operation);
        for read in local_cache.take_completed_reads() {
            let Some(request) = self.dispatcher.requests.get(&read.attempt.request) else {
                continue;
            };
            let etag = request.forwarded.client_etag.as_ref();
            let result = local_cache.read_result(&read.result, &request.arrival, etag);
            self.dispatcher.local_results.push_back(AttemptEnded {
                attempt: read.attempt,
                outcome: result.outcome,
                answer: result.answer,
            });
        }
    }

    /// Handles a datagram of another router: of zone failover, or else of gossip.
    pub(super) fn receive_datagram(&mut self, from: u64, bytes: &[u8]) {
        let now = self.dispatcher.now;
        if let Some(failover) = &mut self.zone_failover
            && failover.receive(now, from, bytes)
        {
            return;
        }
        if let Some(Gossip { exchange, .. }) = &mut self.dispatcher.gossip {
            exchange.receive(now, from, bytes, &mut self.router);
        }
    }

    /// Records the result of a latency probe to a zone's edge; `None` if it was lost.
    pub(super) fn record_latency(&mut self, edge: usize, round_trip: Option<Duration>) {
        if let Some(failover) = &mut self.zone_failover {
            failover.record_latency(self.dispatcher.now, edge, round_trip);
        }
    }

    /// Reports the results of clients' requests to zone failover.
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
