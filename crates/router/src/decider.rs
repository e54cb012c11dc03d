//! The actor that owns the decisions: it hands them every event, and carries out their actions.
//! Nothing is decided here.
//!
//! - `event_loop`: the actor's loop, its timers and its mailbox
//! - `admission`: new requests
//! - `attempt_results`: results of attempts
//! - `discovery_updates`: changes of the list, purges, cells
//! - `dispatcher`: the actions that the decisions order
//! - `requests`: the table of open requests
//! - `servers`: the listed servers and their actors
//! - `subsystems`: the local cache, cells, gossip and failover between zones
//! - `operator_queries`: what an operator asks a running router
//! - `shutdown`: draining, and the end

mod admission;
mod attempt_results;
mod discovery_updates;
mod dispatcher;
mod event_loop;
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
use crate::messages::Message;
use crate::rate_limited_log::RateLimitedLog;
use crate::server_pool::{ConnectionSlots, ServerActors};
use crate::zone_failover::ZoneFailover;
use chalkhall::control::Router;
use chalkhall::interface::{Class, Deployment, Effect, Member};
use dispatcher::{Dispatcher, FinalOutcome};
use requests::RequestTable;
use servers::ServerHandles;
use std::collections::{BinaryHeap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// The size that a body is expected to have before any has come: an object's largest.
const INITIAL_BODY_BYTES: f64 = 240_000.0;
/// The share by which that moves towards the size of each body that comes.
const BODY_SIZE_SMOOTHING: f64 = 1.0 / 64.0;
const MAX_CONNECTIONS_PER_SERVER: usize = 8;
/// Descriptors for neither clients nor servers: clients that are being closed, discovery, the
/// listener, peers, signals, the log and the like.
const OTHER_DESCRIPTORS: usize = 32;
/// The event loop waits no longer than this.
const MAX_WAIT: Duration = Duration::from_millis(50);
/// Where a wait of the loop took this much longer than that, the whole program was held up.
const HELD_UP_AFTER: Duration = Duration::from_millis(50);
/// Rounds of all tasks after which what lay in the sockets has come by connection and server actor
/// to the decider.
const TASK_ROUNDS: usize = 8;
/// How soon after its decision an attempt's first byte leaves where the deployment sets no grace.
const DEFAULT_SEND_WITHIN: Duration = Duration::from_millis(500);
/// Idle connections are closed before the other side does, after this share of its time.
const IDLE_SHARE: f64 = 0.8;
/// The least rate of a client, which is divided by.
const MIN_CLIENT_KB_PER_S: f64 = 1e-9;

/// The actor that owns the decisions.
pub struct Decider {
    router: Router,
    dispatcher: Dispatcher,
    /// The local cache as members of the list, until they have gone to the decisions with the first
    /// list.
    unlisted_local_members: Vec<Member>,
    cell_routing: Option<CellRouting>,
    zone_failover: Option<ZoneFailover>,
    /// For how long a cache that has started is in slow start.
    warm_within: Duration,
    limits: Limits,
    is_non_idempotent_class: Vec<bool>,
    /// Bytes of bodies, in memory and expected, past which new requests are rejected.
    max_body_bytes: f64,
    phase: watch::Sender<Phase>,
    longest_deadline: Duration,
    longest_advice: Option<Duration>,
    /// The list has changed since the gossip took it over.
    is_gossip_list_stale: bool,
    protocol_errors: RateLimitedLog,
}

impl Decider {
    /// The decider of a router that has just started, without any server.
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
            servers: ServerHandles::new(server_actors(&limits, mailbox)),
            timers: BinaryHeap::new(),
            local_results: VecDeque::new(),
            maybe_finished: Vec::new(),
            final_outcomes: Vec::new(),
            local_cache,
            gossip,
            served_answer: None,
            send_within: shortest_grace(deployment).unwrap_or(DEFAULT_SEND_WITHIN),
            unwritten_bytes: 0,
            open_attempts: 0,
            expected_body_bytes: INITIAL_BODY_BYTES,
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
            warm_within: deployment.cold_cache.warm_within,
            is_non_idempotent_class: classes.clone().map(is_non_idempotent).collect(),
            max_body_bytes: limits.memory as f64 / 2.0,
            limits,
            phase,
            longest_deadline: classes
                .map(|class| class.deadline)
                .max()
                .unwrap_or_default(),
            longest_advice: deployment.longest_advice,
            is_gossip_list_stale: false,
            protocol_errors: RateLimitedLog::default(),
        }
    }

    /// The wait that a rejected client is advised.
    pub fn retry_after(&self) -> Option<Duration> {
        self.router.advice
    }
}

/// How the actors of servers are started.
fn server_actors(limits: &Limits, decider: mpsc::Sender<Message>) -> ServerActors {
    // A third is for the connections of clients.
    let for_others = limits.sockets / 3 + OTHER_DESCRIPTORS;
    let max_connections = limits.sockets.saturating_sub(for_others);
    ServerActors {
        max_streams: limits.streams,
        connect_timeout: limits.connect_timeout,
        idle_timeout: limits.idle_close.mul_f64(IDLE_SHARE),
        decider,
        slots: Rc::new(ConnectionSlots::new(max_connections)),
    }
}

/// The shortest grace of a drain or a purge: an attempt that leaves within it was decided before
/// the grace ended.
fn shortest_grace(deployment: &Deployment) -> Option<Duration> {
    let graces = [deployment.drain_grace, deployment.purge_grace];
    graces.into_iter().filter(|grace| !grace.is_zero()).min()
}

#[cfg(test)]
mod tests;
