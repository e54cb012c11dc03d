//! The actor that owns the routing logic ([`Router`]): it passes every event to it and executes the
//! actions that it requests. The actor itself decides nothing about requests.
//!
//! - `event_loop`: the actor's loop, its timers and its mailbox
//! - `admission`: admission of new requests
//! - `attempt_results`: results of attempts
//! - `discovery_updates`: server list changes, purges, cell maps and drained zones
//! - `executed_ids`: ids of requests that must not run again
//! - `dispatcher`: executes the actions of the routing logic
//! - `requests`: the table of open requests
//! - `servers`: the listed servers and their actors
//! - `subsystems`: the local cache, cells, gossip and zone failover
//! - `operator_queries`: answers to queries of operators
//! - `shutdown`: draining and termination

mod admission;
mod attempt_results;
mod discovery_updates;
mod dispatcher;
mod event_loop;
mod executed_ids;
mod memory_account;
mod operator_queries;
mod requests;
mod servers;
mod shutdown;
mod subsystems;

pub use subsystems::{Gossip, Subsystems};

use crate::cell_routing::CellRouting;
use crate::clock::Clock;
use crate::configuration::Limits;
use crate::lifecycle::Phase;
use crate::local_cache::LocalCache;
use crate::memory::IncomingBodies;
use crate::messages::Message;
use crate::rate_limited_log::RateLimitedLog;
use crate::server_pool::{ConnectionSlots, ServerActorFactory};
use crate::zone_failover::ZoneFailover;
use chalkhall::control::Router;
use chalkhall::interface::{Class, Deployment, Effect, Member};
use dispatcher::{Dispatcher, FinalOutcome};
use executed_ids::ExecutedIds;
use memory_account::MemoryAccount;
use requests::RequestTable;
use servers::ServerHandles;
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

const MAX_CONNECTIONS_PER_SERVER: usize = 8;
/// Descriptors reserved for everything but open client and server connections: client connections
/// that are being closed, discovery, the listener, gossip, signals and the log.
const RESERVED_DESCRIPTORS: usize = 32;
/// The longest wait of the event loop.
const MAX_LOOP_WAIT: Duration = Duration::from_millis(50);
/// A wait that overruns [`MAX_LOOP_WAIT`] by this much means that the whole process was stalled.
const STALL_THRESHOLD: Duration = Duration::from_millis(50);
/// Scheduling rounds after which data that waited in the sockets has passed through the connection
/// and server actors to the decider.
const CATCH_UP_ROUNDS: usize = 8;
/// Idle connections are closed after this fraction of the server's idle timeout, so that the server
/// does not close them first.
const IDLE_TIMEOUT_FRACTION: f64 = 0.8;
/// Lower bound of the client rate, which is used as a divisor.
const MIN_CLIENT_KB_PER_S: f64 = 1e-9;

/// The actor that owns the routing logic.
pub struct Decider {
    router: Router,
    dispatcher: Dispatcher,
    /// The members that stand for the local cache, until they are passed to the routing logic with
    /// the first list.
    unlisted_local_members: Vec<Member>,
    cell_routing: Option<CellRouting>,
    zone_failover: Option<ZoneFailover>,
    /// How long a cache is in slow start after it has started.
    slow_start_window: Duration,
    limits: Limits,
    is_non_idempotent_class: Vec<bool>,
    /// Whether the requests of a class may run any number of times.
    is_idempotent_class: Vec<bool>,
    executed_ids: ExecutedIds,
    phase: watch::Sender<Phase>,
    max_deadline: Duration,
    max_retry_after: Option<Duration>,
    /// Whether the list has changed since it was last passed to the gossip protocol.
    is_gossip_list_stale: bool,
    protocol_errors: RateLimitedLog,
}

impl Decider {
    /// Creates the decider of a router that has just started and knows no servers yet.
    pub fn start(
        clock: Clock,
        deployment: &Deployment,
        limits: Limits,
        phase: watch::Sender<Phase>,
        mailbox: mpsc::Sender<Message>,
        subsystems: Subsystems,
    ) -> Decider {
        let Subsystems {
            local_cache,
            cell_routing,
            gossip,
            zone_failover,
        } = subsystems;
        let local_members = local_cache.as_ref().map(LocalCache::members);
        let mut dispatcher = Dispatcher {
            now: clock.now(),
            clock,
            requests: RequestTable::default(),
            servers: ServerHandles::new(server_actor_factory(&limits, mailbox)),
            timers: BTreeSet::new(),
            local_results: VecDeque::new(),
            maybe_finished: Vec::new(),
            final_outcomes: Vec::new(),
            local_cache,
            gossip,
            served_answer: None,
            memory: MemoryAccount::new(limits.memory),
            unsent_log: RateLimitedLog::default(),
            client_kb_per_s: deployment.client_kb_per_s.max(MIN_CLIENT_KB_PER_S),
        };
        let classes = deployment.classes.iter();
        let is_non_idempotent = |class: &Class| class.effect == Effect::NonIdempotent;
        Decider {
            router: Router::start(dispatcher.now, deployment, &mut dispatcher),
            dispatcher,
            unlisted_local_members: local_members.unwrap_or_default(),
            cell_routing,
            zone_failover,
            slow_start_window: deployment.cold_cache.warm_up_time,
            is_non_idempotent_class: classes.clone().map(is_non_idempotent).collect(),
            is_idempotent_class: classes
                .clone()
                .map(|class| class.effect == Effect::Idempotent)
                .collect(),
            executed_ids: ExecutedIds::default(),
            limits,
            phase,
            max_deadline: classes
                .map(|class| class.deadline)
                .max()
                .unwrap_or_default(),
            max_retry_after: deployment.max_retry_after,
            is_gossip_list_stale: false,
            protocol_errors: RateLimitedLog::default(),
        }
    }

    /// The time after which a rejected client is told to retry.
    pub fn retry_after(&self) -> Option<Duration> {
        self.router.retry_after
    }

    /// The memory for bodies that client connections receive.
    pub fn incoming_bodies(&self) -> Rc<IncomingBodies> {
        self.dispatcher.memory.incoming_bodies()
    }
}

/// Builds the factory of server actors, which share the descriptors that are not reserved.
fn server_actor_factory(limits: &Limits, decider: mpsc::Sender<Message>) -> ServerActorFactory {
    // A third of the descriptors is reserved for client connections.
    let reserved = limits.sockets / 3 + RESERVED_DESCRIPTORS;
    let max_connections = limits.sockets.saturating_sub(reserved);
    ServerActorFactory {
        max_streams: limits.streams,
        connect_timeout: limits.connect_timeout,
        idle_timeout: limits.idle_close.mul_f64(IDLE_TIMEOUT_FRACTION),
        decider,
        slots: Rc::new(ConnectionSlots::new(max_connections)),
    }
}

#[cfg(test)]
mod tests;
