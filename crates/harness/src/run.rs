//! Runs a scenario. One task, the runner, owns the true state and handles the events of all
//! connections; the routers are separate processes. Everything here runs on one thread, so the runner
//! measures how late its timers fire, and a run in which they fired too late is void.

mod clients;
mod discovery;
mod faults;
mod results;
mod startup;

use crate::connections::{self, AttemptMessage, Event, Events, Request, ServerListener};
use crate::datagram_relay::{DatagramCounters, DatagramFaults, DatagramRelay};
use crate::invariants::Violations;
use crate::load_balance::{self, ServerRecord};
use crate::processes::{self, RouterCommand, RouterProcess, Starter};
use crate::scenario::{Fault, Scenario};
use crate::server_model::{Attempt, ListStatus, Reply, ReplyCode, ServerModel, Tier};
use crate::workload::{self, Arrival};
use crate::zone_metrics::{ZoneMetrics, ZoneValue};
use crate::zone_network::{self, ZoneNetwork};
use bytes::Bytes;
use hdrhistogram::Histogram;
use serde_json::Value;
use startup::TempDir;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, watch};
use tokio::time::sleep_until;

/// A run whose timers fired later than this, at the 99th percentile, is void.
const MAX_TIMER_DELAY: Duration = Duration::from_millis(60);
/// Routers that are started at once.
const START_BATCH: usize = 25;
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// How soon the load balancer in front of the routers notices that one is down, and how often it then
/// checks whether it is back.
const FRONT_CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Upper bound of a client's retry delay when it has no retry-after time or does not honor it.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Value of an answer after the soft deadline.
const LATE_VALUE: f64 = 0.2;
const DISCOVERY_HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Open requests that clients allow per connection to a router.
const MAX_OPEN_PER_CONNECTION: usize = 30;

/// Options of a run.
#[derive(Clone, Debug)]
pub struct RunOptions {
    pub program: RouterCommand,
    pub seed: u64,
    /// Folder of the routers' logs; without one they are discarded.
    pub logs: Option<PathBuf>,
    /// Show a progress bar on the terminal.
    pub progress: bool,
}

/// Requests and their results in one second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SecondTotals {
    pub requested: f64,
    /// Value earned by requests that began in this second.
    pub earned: f64,
    pub rejected: u64,
    pub failed: u64,
    pub connections_opened: u64,
    pub attempts: u64,
    pub fills: u64,
}

/// Results of a run.
#[derive(Debug)]
pub struct RunResults {
    pub seed: u64,
    pub routers: usize,
    pub servers: usize,
    pub seconds: Vec<SecondTotals>,
    /// Value earned over value requested, from the end of the warm-up.
    pub service: f64,
    /// The same, from the start of the second measurement.
    pub service_after_faults: f64,
    pub load_balance: BTreeMap<&'static str, load_balance::LoadBalance>,
    pub herd: f64,
    pub violations: Violations,
    pub violation_descriptions: Vec<String>,
    pub server_records: Vec<ServerRecord>,
    pub server_loads: Vec<Vec<f64>>,
    /// The highest share of its overload threshold that any cold server was sent.
    pub overload_ratio: f64,
    pub hit_share: f64,
    pub response_ms: Histogram<u64>,
    pub timer_delay_ms: Histogram<u64>,
    pub void: Option<String>,
    pub crashed: usize,
    pub datagrams: DatagramCounters,
    pub events: Vec<(Duration, String)>,
    pub retries: u64,
    pub measured_from: Duration,
    /// Service per zone during losses.
    pub zone_metrics: ZoneMetrics,
    /// Duration of the workload.
    pub elapsed: Duration,
}

impl RunResults {
    /// Mean bytes of datagrams that a router sent per second.
    pub fn datagram_bytes_per_s(&self) -> f64 {
        self.datagrams.bytes as f64
            / self.routers.max(1) as f64
            / self.elapsed.as_secs_f64().max(1.0)
    }
}

struct RouterState {
    zone: usize,
    group: usize,
    listen: SocketAddr,
    child: Option<RouterProcess>,
    /// The load balancer in front sends clients to this router.
    receives_clients: bool,
    connections: Vec<mpsc::Sender<Request>>,
    open_requests: usize,
    next_connection: usize,
    discovery: Option<mpsc::Sender<Bytes>>,
    /// Discovery events that were sent to it.
    events_sent: usize,
    incarnation: u32,
    started_at: Duration,
    /// When it was stopped, and whether by SIGKILL (true) or SIGTERM.
    stopped: Option<(Duration, bool)>,
    config: PathBuf,
}

impl RouterState {
    /// Whether a request that began at this time must be answered.
    fn must_answer(&self, request_started: Duration) -> bool {
        match self.stopped {
            None => request_started >= self.started_at,
            Some((at, killed)) => !killed && request_started < at,
        }
    }
}

/// What a discovery event changes.
enum DiscoveryChange {
    Servers(Vec<usize>),
    Purge(u64, u64),
}

struct DiscoveryEvent {
    change: DiscoveryChange,
    at: Duration,
    /// By server: list status and start time when the event was created.
    statuses: Vec<(usize, ListStatus, Option<Duration>)>,
}

/// A client's request over all its attempts.
struct ClientRequest {
    arrival: Arrival,
    deadline: Duration,
    attempts: usize,
    done: bool,
}

enum Timer {
    Arrive(usize),
    Retry(usize),
    FaultStart(usize),
    FaultEnd(usize),
    FaultStep(usize, Vec<usize>),
    DiscoveryHeartbeat,
    CheckRouter(usize),
    StartRouter(usize),
    SendDiscovery(usize),
    SendForged(usize),
    /// A message over the zone network arrives at a server, or at a router's connection.
    DeliverEvent(Box<Event>),
    DeliverReply(u64, Bytes),
}

struct Runner {
    scenario: Scenario,
    started_at: Instant,
    rng: fastrand::Rng,
    model: ServerModel,
    listeners: Vec<Vec<ServerListener>>,
    server_records: Vec<ServerRecord>,
    server_address: String,
    connection_ids: watch::Sender<u64>,
    events: Events,
    connections: HashMap<u64, (usize, usize, mpsc::Sender<Bytes>)>,
    server_numbers: HashMap<String, usize>,
    routers: Vec<RouterState>,
    relay: DatagramRelay,
    network: Option<ZoneNetwork>,
    /// By connection: last arrival time in each direction, as bytes never overtake each other.
    last_delivery: HashMap<u64, [Duration; 2]>,
    zone_value: ZoneValue,
    datagram_faults: watch::Sender<DatagramFaults>,
    discovery_events: Vec<DiscoveryEvent>,
    discovery_delay: Duration,
    discovery_duplicated: bool,
    discovery_interrupted: bool,
    settings: Value,
    temp_dir: PathBuf,
    options: RunOptions,
    starter: Starter,
    arrivals: Vec<Arrival>,
    requests: Vec<ClientRequest>,
    /// By attempt id: the client request and the router.
    attempts: HashMap<u64, (usize, usize)>,
    last_id: u64,
    timer_queue: BinaryHeap<Reverse<(Duration, u64)>>,
    pending_timers: HashMap<u64, Timer>,
    last_timer: u64,
    fault_targets: HashMap<usize, Vec<usize>>,
    seconds: Vec<SecondTotals>,
    response_times: Histogram<u64>,
    timer_delays: Histogram<u64>,
    event_log: Vec<(Duration, String)>,
    joins: Vec<(Duration, usize)>,
    retries: u64,
    overload_ratio: f64,
    crashed: usize,
    added_servers: usize,
}

/// Runs a scenario.
///
/// # Errors
/// The scenario could not be run; the message says what to change.
pub async fn run(scenario: &Scenario, options: RunOptions) -> Result<RunResults, String> {
    let problems = scenario.inconsistencies();
    if !problems.is_empty() {
        return Err(problems.join("; "));
    }
    processes::check_machine_limits(scenario.fleet.routers)?;
    let temp_dir = TempDir::new()?;
    let (events, mailbox) = mpsc::channel(connections::EVENT_QUEUE_LIMIT);
    let mut runner = Runner::open(scenario.clone(), options, temp_dir.0.clone(), events).await?;
    let (counters, latest_counters) = watch::channel(DatagramCounters::default());
    runner
        .relay
        .start(&runner.datagram_faults.subscribe(), &counters);
    let mut mailbox = mailbox;
    runner.start_all(&mut mailbox).await?;
    runner.run_timeline(&mut mailbox).await;
    runner.stop_routers(&mut mailbox).await;
    let counters = *latest_counters.borrow();
    Ok(runner.into_results(counters))
}

impl Runner {
    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn schedule(&mut self, at: Duration, timer: Timer) {
        self.last_timer += 1;
        self.pending_timers.insert(self.last_timer, timer);
        self.timer_queue.push(Reverse((at, self.last_timer)));
    }

    fn log_event(&mut self, description: String) {
        let now = self.now();
        self.event_log.push((now, description));
    }

    async fn run_timeline(&mut self, mailbox: &mut mpsc::Receiver<Event>) {
        // Time 0 of the run is now; servers that started long ago keep that status.
        let startup_time = self.now();
        self.started_at = Instant::now();
        self.model.reset_clock(startup_time);
        self.discovery_events
            .iter_mut()
            .for_each(|event| event.at = Duration::ZERO);
        let faults = self.scenario.faults.clone();
        faults
            .iter()
            .enumerate()
            .for_each(|(n, fault)| self.schedule(fault.start, Timer::FaultStart(n)));
        if !self.arrivals.is_empty() {
            self.schedule(self.arrivals[0].at, Timer::Arrive(0));
        }
        self.schedule(DISCOVERY_HEARTBEAT_INTERVAL, Timer::DiscoveryHeartbeat);
        let end = self.scenario.workload.duration
            + self.scenario.workload.client_timeout
            + Duration::from_millis(500);
        let progress = self.progress_bar("playing", end.as_secs() as usize);
        loop {
            let now = self.now();
            if now >= end {
                break;
            }
            progress.set_position(now.as_secs());
            while let Some(Reverse((at, number))) = self
                .timer_queue
                .peek()
                .copied()
                .filter(|Reverse((at, _))| *at <= now)
            {
                self.timer_queue.pop();
                let delay = self.now().saturating_sub(at);
                let _ = self.timer_delays.record(delay.as_millis() as u64);
                if let Some(timer) = self.pending_timers.remove(&number) {
                    self.handle_timer(timer);
                }
            }
            self.send_replies();
            let timer = self.timer_queue.peek().map(|Reverse((at, _))| *at);
            let next = timer
                .into_iter()
                .chain(self.model.next_event())
                .chain([end])
                .min()
                .unwrap_or(end);
            let next = tokio::time::Instant::from_std(self.started_at + next);
            let mut received = tokio::select! {
                biased;
                event = mailbox.recv() => event,
                () = sleep_until(next) => None,
            };
            while let Some(event) = received.take() {
                self.deliver_event(event);
                received = mailbox.try_recv().ok();
            }
        }
        progress.finish_and_clear();
    }

    /// Sends the replies that are due.
    fn send_replies(&mut self) {
        let now = self.now();
        for reply in self.model.replies_until(now) {
            let Some((server, group, sender)) = self.connections.get(&reply.connection) else {
                continue;
            };
            let state = &self.model.servers[*server];
            if state.is_down || state.is_silent {
                continue;
            }
            let (server, group, bytes) = (*server, *group, self.encode_reply(&reply));
            if self.network.is_some() {
                self.send_over_network(now, reply.connection, server, group, bytes);
            } else {
                let _ = sender.try_send(bytes);
            }
        }
    }

    /// The server's node in the zone network.
    fn network_node(&self, server: usize) -> usize {
        if let Tier::Cache(at) = self.model.servers[server].tier {
            at
        } else {
            self.scenario.fleet.zones
        }
    }

    /// When bytes sent now arrive: never before bytes sent earlier on the connection. While the path is
    /// cut, delivery is retried later.
    fn delivery_time(
        &mut self,
        now: Duration,
        connection: u64,
        is_reply: bool,
        from: usize,
        to: usize,
    ) -> Option<Duration> {
        let delay = self.network.as_ref()?.delay(from, to, &mut self.rng);
        let last = self.last_delivery.entry(connection).or_default();
        let arrives_at = (now + delay.unwrap_or(zone_network::RETRANSMIT_DELAY))
            .max(last[usize::from(is_reply)]);
        last[usize::from(is_reply)] = arrives_at;
        Some(arrives_at)
    }

    /// Sends a server's reply over the network to the router's zone.
    fn send_over_network(
        &mut self,
        now: Duration,
        connection: u64,
        server: usize,
        group: usize,
        bytes: Bytes,
    ) {
        let from = self.network_node(server);
        if let Some(arrives_at) = self.delivery_time(now, connection, true, from, group) {
            self.schedule(arrives_at, Timer::DeliverReply(connection, bytes));
        }
    }

    fn encode_reply(&self, reply: &Reply) -> Bytes {
        let mut fields = Vec::new();
        if !reply.note.is_empty() {
            fields.push(format!("tell={}", reply.note));
        }
        let ok = reply.code == ReplyCode::Ok;
        if ok {
            let created_ms = reply.created_ms;
            fields.push(format!(
                "etag={:016x},made={created_ms}",
                created_ms ^ reply.key.0
            ));
        }
        if let Some(ttfb) = reply.source_ttfb {
            fields.push(format!("ttfb={}", ttfb.as_millis()));
        }
        let fields = if fields.is_empty() {
            "-".to_owned()
        } else {
            fields.join(",")
        };
        let kb = workload::object_kb(reply.key.0, self.scenario.workload.mean_object_kb);
        let body = if ok {
            connections::encode_body(reply.key, reply.created_ms, kb)
        } else {
            Vec::new()
        };
        let head = format!(
            "{:016x} {} {fields} {}\r\n",
            reply.id,
            reply.code.text(),
            body.len()
        );
        Bytes::from([head.as_bytes(), &body, b"\r\n"].concat())
    }

    fn second_at(&mut self, at: Duration) -> &mut SecondTotals {
        let last = self.seconds.len() - 1;
        &mut self.seconds[(at.as_secs() as usize).min(last)]
    }

    /// Delays an event from a router to a server by the network between their zones.
    fn deliver_event(&mut self, event: Event) {
        let now = self.now();
        let (connection, server, group) = match &event {
            Event::AttemptMessage {
                connection,
                server,
                group,
                ..
            } => (*connection, *server, *group),
            Event::Noop {
                connection,
                server,
                group,
                ..
            } => (*connection, *server, *group),
            Event::Quit { connection, .. } => {
                let Some((server, group, _)) = self.connections.get(connection) else {
                    return;
                };
                (*connection, *server, *group)
            }
            _ => return self.handle_event(event),
        };
        let to = self.network_node(server);
        match self.delivery_time(now, connection, false, group, to) {
            Some(at) => self.schedule(at, Timer::DeliverEvent(Box::new(event))),
            None => self.handle_event(event),
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::Noop {
                connection,
                server,
                group,
                tag,
            } => {
                let state = &self.model.servers[server];
                if state.is_down
                    || state.is_silent
                    || state.unreachable_from_group.get(group) == Some(&true)
                {
                    return;
                }
                let bytes = Bytes::from(format!("{tag} UP - 0\r\n\r\n"));
                if self.network.is_some() {
                    self.send_over_network(now, connection, server, group, bytes);
                } else if let Some((_, _, sender)) = self.connections.get(&connection) {
                    let _ = sender.try_send(bytes);
                }
            }
            Event::Opened {
                connection,
                server,
                group,
                sender,
            } => {
                self.second_at(now).connections_opened += 1;
                if !self.model.servers[server].is_down {
                    self.connections.insert(connection, (server, group, sender));
                }
            }
            Event::AttemptMessage {
                connection,
                server,
                group,
                message,
            } => self.handle_attempt(now, connection, server, group, *message),
            Event::Quit { connection, id } => self.model.cancel(connection, Some(id)),
            Event::Closed { connection } => {
                self.connections.remove(&connection);
                self.last_delivery.remove(&connection);
                self.model.cancel(connection, None);
            }
            Event::Malformed { description } => {
                self.model.invariants.violations.strange += 1;
                self.model.invariants.descriptions.push(description);
            }
            Event::DiscoverySubscribed {
                router,
                after,
                sender,
            } => {
                // Events sent before stay sent; those lost with the last connection are sent again.
                self.routers[router].discovery = Some(sender);
                self.routers[router].events_sent =
                    self.routers[router].events_sent.min(after as usize);
                if self.discovery_delay.is_zero() {
                    self.send_discovery_events(router);
                }
            }
            Event::RouterStarted {
                router,
                incarnation,
                child,
            } => match child {
                Ok(child) if incarnation == self.routers[router].incarnation => {
                    self.routers[router].child = Some(child)
                }
                Ok(child) => self.starter.kill(child),
                Err(error) => {
                    self.log_event(error);
                    self.crashed += 1;
                }
            },
            Event::Responded { id, response } => self.handle_response(now, id, response),
            Event::ConnectionLost {
                router,
                ids,
                refused,
            } => self.handle_connection_lost(now, router, ids, refused),
        }
    }

    fn handle_attempt(
        &mut self,
        now: Duration,
        connection: u64,
        server: usize,
        group: usize,
        message: AttemptMessage,
    ) {
        let source = message
            .source
            .as_ref()
            .map(|name| self.server_numbers.get(name).copied());
        if source == Some(None) {
            self.model.invariants.violations.strange += 1;
            return;
        }
        let source = source.flatten();
        let Some(router) = self
            .model
            .invariants
            .attempt_arrived(now, message.id, server, source)
        else {
            return;
        };
        self.second_at(now).attempts += 1;
        self.second_at(now).fills += u64::from(source.is_some());
        let state = &self.model.servers[server];
        if state.is_down
            || state.is_silent
            || state.unreachable_from_group.get(group) == Some(&true)
        {
            return;
        }
        if state.reset_share > 0.0 && self.rng.f64() < state.reset_share {
            self.connections.remove(&connection);
            return;
        }
        let default_max_age = self.scenario.workload.max_age.as_millis() as u64;
        self.model.receive(
            now,
            server,
            Attempt {
                connection,
                router,
                id: message.id,
                key: message.key,
                kb: workload::object_kb(message.key.0, self.scenario.workload.mean_object_kb),
                write: message.class == "confirm",
                source,
                priority: message.priority,
                max_age: Duration::from_millis(message.max_age_ms.unwrap_or(default_max_age)),
                only_if_cached: message.only_if_cached,
                store_at_parent: message.store_at_parent,
            },
        );
        for end in [Some(server), source].into_iter().flatten() {
            let state = &self.model.servers[end];
            if state.is_cold(now, self.model.slow_start) {
                self.overload_ratio = self.overload_ratio.max(self.model.overload_ratio(now, end));
            }
        }
    }

    fn handle_timer(&mut self, timer: Timer) {
        let now = self.now();
        match timer {
            Timer::Arrive(n) => {
                let arrival = self.arrivals[n];
                if let Some(next) = self.arrivals.get(n + 1) {
                    self.schedule(next.at, Timer::Arrive(n + 1));
                }
                self.second_at(arrival.at).requested += 1.0;
                self.zone_value
                    .record_requested(arrival.router % self.scenario.fleet.zones, arrival.at);
                let deadline = arrival.at + self.scenario.workload.client_timeout;
                self.requests.push(ClientRequest {
                    arrival,
                    deadline,
                    attempts: 0,
                    done: false,
                });
                self.send_attempt(self.requests.len() - 1);
            }
            Timer::Retry(request) => self.send_attempt(request),
            Timer::FaultStart(n) => self.start_fault(n),
            Timer::FaultEnd(n) => self.end_fault(n),
            Timer::FaultStep(n, targets) => self.step_fault(n, targets),
            Timer::DiscoveryHeartbeat => {
                let line = Bytes::from(format!("{{\"rev\":{}}}\n", self.discovery_events.len()));
                for router in self
                    .routers
                    .iter()
                    .filter(|p| p.events_sent == self.discovery_events.len())
                {
                    router
                        .discovery
                        .iter()
                        .for_each(|discovery| drop(discovery.try_send(line.clone())));
                }
                for router in &mut self.routers {
                    if router
                        .child
                        .as_mut()
                        .is_some_and(|child| child.exit_status().is_some())
                    {
                        // Routers that are killed or stopped on purpose are taken out beforehand, so
                        // this one crashed.
                        router.child = None;
                        self.crashed += 1;
                    }
                }
                self.schedule(
                    now + DISCOVERY_HEARTBEAT_INTERVAL,
                    Timer::DiscoveryHeartbeat,
                );
            }
            Timer::CheckRouter(router) => {
                let listen = self.routers[router].listen;
                if std::net::TcpStream::connect_timeout(&listen, Duration::from_millis(20)).is_ok()
                {
                    self.routers[router].receives_clients = true;
                } else {
                    self.schedule(now + FRONT_CHECK_INTERVAL, Timer::CheckRouter(router));
                }
            }
            Timer::StartRouter(router) => {
                if self.routers[router].child.is_none()
                    && let Err(error) = self.start_router(router)
                {
                    self.log_event(error);
                    self.crashed += 1;
                }
            }
            Timer::SendDiscovery(router) => self.send_discovery_events(router),
            Timer::DeliverEvent(event) => {
                let is_cut = match &*event {
                    Event::AttemptMessage { server, group, .. }
                    | Event::Noop { server, group, .. } => {
                        let to = self.network_node(*server);
                        self.network
                            .as_ref()
                            .is_some_and(|network| network.is_cut[*group][to])
                    }
                    _ => false,
                };
                if is_cut {
                    self.schedule(
                        now + zone_network::RETRANSMIT_DELAY,
                        Timer::DeliverEvent(event),
                    )
                } else {
                    self.handle_event(*event)
                }
            }
            Timer::DeliverReply(connection, bytes) => {
                let Some((server, group, sender)) = self.connections.get(&connection) else {
                    return;
                };
                let from = self.network_node(*server);
                if self
                    .network
                    .as_ref()
                    .is_some_and(|network| network.is_cut[from][*group])
                {
                    return self.schedule(
                        now + zone_network::RETRANSMIT_DELAY,
                        Timer::DeliverReply(connection, bytes),
                    );
                }
                let state = &self.model.servers[*server];
                if !state.is_down && !state.is_silent {
                    let _ = sender.try_send(bytes);
                }
            }
            Timer::SendForged(n) => {
                let Fault {
                    start, duration, ..
                } = self.scenario.faults[n];
                for sender in self.fault_targets.get(&n).cloned().unwrap_or_default() {
                    let zone = self.routers[sender].zone;
                    let peers: Vec<usize> = (0..self.routers.len())
                        .filter(|r| self.routers[*r].zone == zone)
                        .collect();
                    self.relay.send_forged(sender, zone, &peers, &mut self.rng);
                }
                if now < start + duration {
                    self.schedule(now + Duration::from_millis(250), Timer::SendForged(n));
                }
            }
        }
    }

    async fn stop_routers(&mut self, mailbox: &mut mpsc::Receiver<Event>) {
        let now = self.now();
        self.model.invariants.close_all(now);
        let ended = self
            .routers
            .iter_mut()
            .filter_map(|r| r.child.as_mut())
            .filter_map(RouterProcess::exit_status)
            .count();
        self.crashed += ended;
        for router in &mut self.routers {
            router.child.iter_mut().for_each(|child| child.terminate());
        }
        let end = Instant::now() + Duration::from_millis(1500);
        loop {
            let all_ended = self
                .routers
                .iter_mut()
                .filter_map(|r| r.child.as_mut())
                .all(|child| child.exit_status().is_some());
            if all_ended || Instant::now() > end {
                break;
            }
            while mailbox.try_recv().is_ok() {}
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        self.routers
            .iter_mut()
            .for_each(|router| router.child = None);
    }
}

/// Creates the folder for the routers' logs.
///
/// # Errors
/// The folder could not be created.
pub fn create_log_folder(folder: &Path) -> Result<(), String> {
    std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))
}
