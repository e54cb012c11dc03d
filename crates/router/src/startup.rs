//! Starts a router and runs it until it has ended.

use crate::cell_routing::CellRouting;
use crate::client_connection::ClientFrontend;
use crate::clock::Clock;
use crate::configuration::Configuration;
use crate::decider::{Decider, Gossip, Subsystems};
use crate::discovery::{Discovery, NewDiscovery};
use crate::discovery_events::DiscoveryEvent;
use crate::error::RouterError;
use crate::gossip_socket::{self, GossipSender, OutboundDatagram};
use crate::latency_probes::{self, Probe};
use crate::lifecycle::Phase;
use crate::local_cache::{LocalCache, OpenedCache};
use crate::messages::Message;
use crate::reload::{ConfigurationReloader, read_configuration};
use crate::timestamps::EventTimes;
use crate::zone_failover::ZoneFailover;
use crate::{control_socket, discovery, listener, shutdown};
use chalkhall::interface::Deployment;
use chalkhall_config::Directives;
use chalkhall_gossip::{ExchangeConfig, PeerExchange};
use chalkhall_store::threads::CompletedOperation;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::Instant;

/// Capacity of the decider's message channel. Senders wait while it is full, and read nothing from
/// their sockets meanwhile.
const MAX_MESSAGES: usize = 256;
/// Capacity of the decider's channel for discovery events. Discovery is not read while it is full.
const MAX_EVENTS: usize = 64;

/// Starts a router and runs it until it has ended.
///
/// # Errors
/// If the router cannot start, or its decider panics.
pub async fn run(
    clock: Clock,
    directives: Directives,
    directives_path: Option<PathBuf>,
) -> Result<(), RouterError> {
    // Installed first, because by default either signal kills the process.
    let signals = Signals::install()?;
    let mut configuration = read_configuration(&clock)?;
    let (phase_sender, phase) = watch::channel(Phase::Starting);
    let (decider, messages) = mpsc::channel(MAX_MESSAGES);

    let OpenedSubsystems { subsystems, tasks } =
        open_subsystems(clock, &directives, &configuration, &decider).await?;
    let mut decisions = Decider::start(
        clock,
        &configuration.deployment,
        configuration.limits.clone(),
        phase_sender.clone(),
        decider.clone(),
        subsystems,
    );
    let frontend = client_frontend(&configuration, clock, &decisions);
    // The endpoint list has to be known before the first request.
    let event_times = apply_known_events(&mut configuration, &mut decisions, clock);

    let socket = bind_listener(&configuration).await?;
    let control_socket = open_control_socket(&directives)?;
    let (events_sender, events) = mpsc::channel(MAX_EVENTS);
    let decisions = spawn_local(async move {
        decisions.run(messages, events).await;
        Instant::now()
    });
    let discovery = start_discovery(&configuration, clock, event_times, events_sender.clone());
    spawn_local(shutdown::forward_stop_signals(
        signals.stop,
        decider.clone(),
    ));
    phase_sender.send_replace(Phase::Serving);
    drop(phase_sender);
    log::info!(
        router = configuration.name.as_str(), address:% = configuration.listen;
        "serving clients"
    );

    let disk = tasks.start(&configuration, &decider);
    if let Some(control_socket) = control_socket {
        spawn_local(control_socket::run(control_socket, decider.clone()));
    }
    // Clients may hold a third of the descriptors, and a few more while connections are evicted.
    let max_clients = configuration.limits.sockets / 3;
    let name = configuration.name.clone();
    let reloader = ConfigurationReloader::new(
        configuration,
        directives_path,
        clock,
        discovery,
        events_sender,
    );
    spawn_local(reloader.run(signals.reload));

    listener::run(socket, max_clients, frontend, decider, phase).await;
    shutdown::finish(decisions, disk).await?;
    log::info!(router = name.as_str(); "ended");
    Ok(())
}

/// The signals that the process handles.
struct Signals {
    /// SIGTERM.
    stop: Signal,
    /// SIGHUP.
    reload: Signal,
}

impl Signals {
    fn install() -> Result<Signals, RouterError> {
        Ok(Signals {
            stop: signal(SignalKind::terminate())?,
            reload: signal(SignalKind::hangup())?,
        })
    }
}

/// The inputs of the subsystem tasks.
struct SubsystemTasks {
    /// The task that forwards the results of disk operations.
    disk: Option<JoinHandle<()>>,
    gossip_socket: Option<UdpSocket>,
    outbound: mpsc::Receiver<OutboundDatagram>,
    probes: mpsc::Receiver<Probe>,
}

impl SubsystemTasks {
    /// Starts the tasks of gossip and latency probes. Returns the disk's task.
    fn start(
        self,
        configuration: &Configuration,
        decider: &mpsc::Sender<Message>,
    ) -> Option<JoinHandle<()>> {
        let peers = configuration.peers.clone();
        if let Some((socket, peers)) = self.gossip_socket.zip(peers) {
            let run = gossip_socket::run(socket, peers, self.outbound, decider.clone());
            spawn_local(run);
        }
        spawn_local(latency_probes::run(self.probes, decider.clone()));
        self.disk
    }
}

/// The subsystems that the operator's file enables, with the inputs of their tasks.
struct OpenedSubsystems {
    subsystems: Subsystems,
    tasks: SubsystemTasks,
}

/// Opens the subsystems that the operator's file enables.
async fn open_subsystems(
    clock: Clock,
    directives: &Directives,
    configuration: &Configuration,
    decider: &mpsc::Sender<Message>,
) -> Result<OpenedSubsystems, RouterError> {
    let local_cache = LocalCache::open(&directives.store, configuration, clock)?;
    let (local_cache, disk_results) = match local_cache {
        Some(OpenedCache {
            cache,
            disk_results,
        }) => (Some(cache), disk_results),
        None => (None, None),
    };
    let disk =
        disk_results.map(|results| spawn_local(forward_disk_results(results, decider.clone())));
    let cell_routing = open_cell_routing(directives, configuration)?;
    let exchange = start_gossip(clock, directives, configuration);
    let (sender, outbound) = gossip_socket::channel();
    let is_gossip_wanted = exchange.is_some() || directives.regions.failover;
    let gossip_socket = match &configuration.peers {
        Some(peers) if is_gossip_wanted => gossip_socket::bind(peers).await,
        _ => None,
    };
    if directives.regions.failover && gossip_socket.is_none() {
        log::warn!("regions: routers cannot gossip; each decides on its own observations only");
    }
    let (probe_sender, probes) = mpsc::channel(latency_probes::PROBE_QUEUE_CAPACITY);
    let mut subsystems = Subsystems {
        local_cache,
        cell_routing,
        gossip: None,
        zone_failover: None,
    };
    if gossip_socket.is_some() {
        let for_gossip = sender.clone();
        subsystems.gossip = exchange.map(|exchange| Gossip {
            exchange,
            sender: for_gossip,
        });
        subsystems.zone_failover =
            open_zone_failover(clock, directives, configuration, sender, probe_sender)?;
    }
    let tasks = SubsystemTasks {
        disk,
        gossip_socket,
        outbound,
        probes,
    };
    Ok(OpenedSubsystems { subsystems, tasks })
}

/// Forwards the results of disk operations until the disk's threads have ended.
async fn forward_disk_results(
    mut results: mpsc::Receiver<CompletedOperation>,
    decider: mpsc::Sender<Message>,
) {
    while let Some(operation) = results.recv().await {
        let _ = decider.send(Message::DiskOperationEnded(operation)).await;
    }
}

fn open_cell_routing(
    directives: &Directives,
    configuration: &Configuration,
) -> Result<Option<CellRouting>, RouterError> {
    let deployment = &configuration.deployment;
    Ok(CellRouting::new(
        &directives.cells,
        &configuration.classes,
        deployment.zone,
        !deployment.customers.is_empty(),
        max_request_lifetime(deployment),
        deployment.seed,
    )?)
}

/// The longest time for which a request may be open or its repeats are recognised.
fn max_request_lifetime(deployment: &Deployment) -> Duration {
    let classes = deployment.classes.iter();
    let longest = classes
        .map(|class| class.deadline.max(class.dedup_window))
        .max();
    longest.unwrap_or_default()
}

/// Starts gossip with the routers of the zone, if it is enabled and there are others.
fn start_gossip(
    clock: Clock,
    directives: &Directives,
    configuration: &Configuration,
) -> Option<PeerExchange> {
    if configuration.peers.is_none() || !directives.peers.gossip {
        return None;
    }
    let deployment = &configuration.deployment;
    let zone = deployment.zone;
    let config = ExchangeConfig {
        number: deployment.router_index,
        routers: deployment.routers,
        zone,
        routers_in_zone: deployment.routers_per_zone.get(zone).copied().unwrap_or(0),
        seed: deployment.seed,
    };
    let mut exchange = PeerExchange::start(clock.now(), config)?;
    if directives.peers.even_load {
        exchange.enable_weight_balancing();
    }
    Some(exchange)
}

fn open_zone_failover(
    clock: Clock,
    directives: &Directives,
    configuration: &Configuration,
    sender: GossipSender,
    probes: mpsc::Sender<Probe>,
) -> Result<Option<ZoneFailover>, RouterError> {
    Ok(ZoneFailover::new(
        clock,
        &directives.regions,
        &configuration.deployment,
        &configuration.names.zones,
        sender,
        probes,
    )?)
}

fn client_frontend(
    configuration: &Configuration,
    clock: Clock,
    decisions: &Decider,
) -> Rc<ClientFrontend> {
    Rc::new(ClientFrontend {
        classes: configuration.classes.clone(),
        tenants: configuration.tenants.clone(),
        max_kb_per_s: configuration.deployment.client_kb_per_s,
        retry_after: decisions.retry_after(),
        clock,
        incoming_bodies: decisions.incoming_bodies(),
    })
}

/// Applies the discovery events in the configuration. Returns the state by which the timestamps of
/// later events are corrected.
fn apply_known_events(
    configuration: &mut Configuration,
    decisions: &mut Decider,
    clock: Clock,
) -> EventTimes {
    let mut event_times = EventTimes::new(clock);
    for known in std::mem::take(&mut configuration.known_events) {
        if let Some(mut event) = known.event {
            event_times.correct(&mut event);
            decisions.apply_discovery_event(event);
        }
    }
    event_times
}

async fn bind_listener(
    configuration: &Configuration,
) -> Result<tokio::net::TcpListener, RouterError> {
    let address = configuration.listen;
    let bound = listener::bind(address).await;
    bound.map_err(|source| RouterError::Listen { address, source })
}

fn open_control_socket(
    directives: &Directives,
) -> Result<Option<control_socket::ControlSocket>, RouterError> {
    let Some(path) = &directives.control else {
        return Ok(None);
    };
    match control_socket::listen(path) {
        Ok(socket) => Ok(Some(socket)),
        Err(source) => Err(RouterError::ControlSocket {
            path: path.clone(),
            source,
        }),
    }
}

/// Starts to watch discovery. Returns the sender for a new discovery configuration.
fn start_discovery(
    configuration: &Configuration,
    clock: Clock,
    event_times: EventTimes,
    decider: mpsc::Sender<DiscoveryEvent>,
) -> mpsc::Sender<NewDiscovery> {
    let (reconfigure, reconfigured) = mpsc::channel(1);
    let address = configuration.discovery;
    let discovery = Discovery {
        address,
        last_event: configuration.last_event,
        unreadable_event: None,
        names: configuration.names.clone(),
        clock,
        event_times,
        decider,
        random: fastrand::Rng::with_seed(configuration.deployment.seed),
        reserved_socket: discovery::new_socket(address).ok(),
    };
    spawn_local(discovery.run(reconfigured));
    reconfigure
}
