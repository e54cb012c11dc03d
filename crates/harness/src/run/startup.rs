//! Starts a fleet: addresses, servers and processes, until all routers are ready.

use super::{
    DiscoveryChange, LATE_VALUE, READY_TIMEOUT, RouterState, RunOptions, Runner, START_BATCH,
    SecondTotals,
};
use crate::connections::{self, Event, Events, ServerListener};
use crate::datagram_relay::{DatagramFaults, DatagramRelay};
use crate::load_balance::{self, ServerRecord};
use crate::object_cache::CachedObject;
use crate::processes::{RouterCommand, RouterProcess, StartRequest, Starter};
use crate::scenario::Scenario;
use crate::server_model::{Server, ServerModel, SlowStart, Tier};
use crate::workload;
use crate::zone_metrics::ZoneValue;
use crate::zone_network::ZoneNetwork;
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, watch};

/// Temporary folder of this run, removed when dropped.
pub(super) struct TempDir(pub(super) PathBuf);

impl TempDir {
    pub(super) fn new() -> Result<TempDir, String> {
        static LAST: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
        let n = LAST.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let path =
            std::env::temp_dir().join(format!("chalkhall-harness-{}-{n}", std::process::id()));
        std::fs::create_dir_all(&path).map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(TempDir(path))
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Reserves a block of the loopback range that no other run on this machine uses; the listener holds
/// it.
pub(super) fn reserve_address_block() -> Result<(u8, std::net::TcpListener), String> {
    let first = std::process::id() % 50;
    for n in 0..50 {
        let block = 201 + ((first + n) % 50) as u8;
        if let Ok(listener) =
            std::net::TcpListener::bind((std::net::Ipv4Addr::new(127, block, 255, 254), 5050))
        {
            return Ok((block, listener));
        }
    }
    Err("no free loopback address block: 50 fleets already run on this machine".into())
}

pub(super) fn spawn_starter(program: &RouterCommand, events: &Events) -> Starter {
    let events = events.clone();
    Starter::new(program.clone(), move |router, incarnation, child| {
        // If the runner is gone the event is dropped, which kills the child.
        let _ = events.try_send(Event::RouterStarted {
            router,
            incarnation,
            child,
        });
    })
}

/// The settings of all routers.
pub(super) fn router_settings(scenario: &Scenario) -> Value {
    let (fleet, workload) = (&scenario.fleet, &scenario.workload);
    let ms = |duration: Duration| duration.as_millis() as u64;
    let class = |name: &str, effect: &str, worth: f64| {
        json!({"Name": name, "Effect": effect, "Group": "all", "Window": 5000, "Aim": ms(workload.soft_deadline),
            "AimStretch": 0,
            "HardLimit": ms(workload.client_timeout), "Worth": worth, "LateWorth": LATE_VALUE, "Stream": false})
    };
    let zones = (0..fleet.zones)
        .map(|n| format!("z{n}"))
        .chain(["hub".to_owned()])
        .collect::<Vec<String>>();
    let routers_in = |at: usize| (0..fleet.routers).filter(|r| r % fleet.zones == at).count();
    let routers_by_zone: Vec<usize> = (0..fleet.zones).map(routers_in).chain([0]).collect();
    json!({
        "Classes": [class("page", "pure", 1.0), class("confirm", "side_effect", 1.0)],
        "FamilyInfo": {"ClassFresh": [ms(workload.max_age), 0], "ClassWrite": [false, true],
            "ClientKbPerS": fleet.client_kb_per_s,
            "CrewByZone": routers_by_zone, "HomeHub": vec![0; fleet.zones + 1], "ObeyAfter": 500,
            "PassThroughOk": fleet.pass_through,
            "ParentFloor": fleet.initial_capacity_share, "ParentRamp": ms(fleet.slow_start), "ParentFallMultiple": 2,
            "PurgeDone": 6000, "Says": "all", "ShieldKind": 1, "SourceKind": 2},
        "Granularity": 2, "Kinds": ["cache", "parent", "origin"],
        "Limits": {"ConnectTimeout": 400, "IdleClose": 30000, "MaxAttempts": 8, "MaxOpen": 20000,
            "MaxRetryAfter": 500,
            "MayCancel": true, "PeerMessages": true, "RetryAfter": true, "StreamsPerConn": 100},
        "Locality": 0, "MyNumber": 0, "PeersTotal": fleet.routers, "RegistryMode": "push", "Zones": zones,
        "Weights": "nominal",
        "Obligations": {"AnswerSlack": 8, "ColdFrom": fleet.initial_capacity_share, "DrainGrace": 500, "Fall": 1000,
            "TipMultiple": 2, "WarmWithin": ms(fleet.slow_start)}})
}

impl Runner {
    pub(super) async fn open(
        scenario: Scenario,
        options: RunOptions,
        temp_dir: PathBuf,
        events: Events,
    ) -> Result<Runner, String> {
        let (address_block, block_guard) = reserve_address_block()?;
        // Keeps the address block reserved until the process ends.
        std::mem::forget(block_guard);
        let unix_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_millis() as u64);
        let fleet = scenario.fleet.clone();
        let slow_start = SlowStart {
            initial_share: fleet.initial_capacity_share,
            duration: fleet.slow_start,
        };
        let model = ServerModel::new(
            Vec::new(),
            fleet.zones,
            fleet.link_capacity,
            fleet.client_kb_per_s,
            slow_start,
            unix_ms,
        );
        let listen = |i: usize, port| {
            SocketAddr::from((
                [127, address_block, 1 + (i / 250) as u8, 1 + (i % 250) as u8],
                port,
            ))
        };
        let peers: Vec<SocketAddr> = (0..fleet.routers).map(|i| listen(i, 7946)).collect();
        let server_address = format!("127.{address_block}.200.1");
        let relay = DatagramRelay::open(peers, &server_address).await?;
        let network = ZoneNetwork::new(&fleet);
        let faults = DatagramFaults {
            is_deaf: vec![false; fleet.routers],
            seed: options.seed,
            network: network.clone().map(Rc::new),
            zones: fleet.zones,
            ..DatagramFaults::default()
        };
        let arrivals = workload::arrivals(&scenario, options.seed);
        let router_shares =
            workload::router_shares(fleet.routers, scenario.workload.peak_to_mean, options.seed);
        let routers = (0..fleet.routers).map(|i| {
            let connections = 1 + (router_shares[i] * fleet.routers as f64).round() as usize;
            RouterState {
                zone: workload::zone_of(i, &scenario),
                group: fleet.address_group(i),
                listen: listen(i, 5050),
                child: None,
                receives_clients: false,
                connections: (0..connections.min(8))
                    .map(|_| connections::client_connection(listen(i, 5050), i, events.clone()))
                    .collect(),
                open_requests: 0,
                next_connection: 0,
                discovery: None,
                events_sent: 0,
                incarnation: 0,
                started_at: Duration::ZERO,
                stopped: None,
                config: temp_dir.join(format!("n{i}.json")),
            }
        });
        let seconds = scenario.workload.duration.as_secs() as usize
            + scenario.workload.client_timeout.as_secs() as usize
            + 3;
        let histogram = || Histogram::new_with_bounds(1, 600_000, 3).map_err(|e| e.to_string());
        let mut runner = Runner {
            started_at: Instant::now(),
            rng: fastrand::Rng::with_seed(options.seed ^ 0xfa17),
            model,
            listeners: Vec::new(),
            server_records: Vec::new(),
            server_address,
            connection_ids: watch::channel(0).0,
            connections: HashMap::new(),
            server_numbers: HashMap::new(),
            routers: routers.collect(),
            relay,
            network,
            last_delivery: HashMap::new(),
            zone_value: ZoneValue::new(fleet.zones, seconds),
            datagram_faults: watch::channel(faults).0,
            discovery_events: Vec::new(),
            discovery_delay: Duration::ZERO,
            discovery_duplicated: false,
            discovery_interrupted: false,
            settings: router_settings(&scenario),
            temp_dir,
            starter: spawn_starter(&options.program, &events),
            options,
            arrivals,
            requests: Vec::new(),
            attempts: HashMap::new(),
            last_id: 0,
            timer_queue: BinaryHeap::new(),
            pending_timers: HashMap::new(),
            last_timer: 0,
            fault_targets: HashMap::new(),
            seconds: vec![SecondTotals::default(); seconds],
            response_times: histogram()?,
            timer_delays: histogram()?,
            event_log: Vec::new(),
            joins: Vec::new(),
            retries: 0,
            overload_ratio: 0.0,
            crashed: 0,
            added_servers: 0,
            events,
            scenario,
        };
        for n in 0..fleet.caches {
            runner.open_server(format!("c{n}"), Tier::Cache(n % fleet.zones))?;
        }
        (0..fleet.parents)
            .try_for_each(|n| runner.open_server(format!("p{n}"), Tier::Parent).map(drop))?;
        runner.open_server("o0".into(), Tier::Origin)?;
        runner.preload_caches();
        let all = (0..runner.model.servers.len()).collect();
        runner.announce(DiscoveryChange::Servers(all));
        Ok(runner)
    }

    /// Adds a server with one listener per group of routers.
    pub(super) fn open_server(&mut self, name: String, tier: Tier) -> Result<usize, String> {
        let fleet = &self.scenario.fleet;
        let (capacity, memory) = match tier {
            Tier::Cache(_) => (fleet.cache_capacity, fleet.memory_kb),
            Tier::Parent => (fleet.parent_capacity, fleet.memory_kb * 20.0),
            Tier::Origin => (fleet.origin_capacity, 0.0),
        };
        let number = self.model.add_server(Server::new(
            name.clone(),
            tier,
            capacity,
            memory,
            fleet.address_groups(),
        ));
        let listeners = (0..fleet.address_groups())
            .map(|group| {
                connections::start_listener(
                    &self.server_address,
                    number,
                    group,
                    self.connection_ids.clone(),
                    self.events.clone(),
                )
            })
            .collect::<Result<Vec<ServerListener>, String>>()?;
        self.listeners.push(listeners);
        self.server_numbers.insert(name.clone(), number);
        let zone = if let Tier::Cache(at) = tier {
            at
        } else {
            usize::MAX
        };
        self.server_records.push(ServerRecord {
            name,
            zone,
            capacity,
            started_at: None,
            listed_during: vec![(Duration::ZERO, Duration::MAX)],
            initial_capacity_share: fleet.initial_capacity_share,
            slow_start: fleet.slow_start,
        });
        Ok(number)
    }

    /// Preloads servers that started long ago with the most popular objects, each where the hash places
    /// it, as far as there is space.
    pub(super) fn preload_caches(&mut self) {
        let now_ms = self.model.unix_ms_at(Duration::ZERO);
        let mut free_kb: Vec<f64> =
            vec![self.scenario.fleet.memory_kb * 0.9; self.model.servers.len()];
        for popularity_rank in 0..self.scenario.workload.objects {
            let object = workload::object_id(self.options.seed, popularity_rank);
            let (key, kb) = (
                (object, 0),
                workload::object_kb(object, self.scenario.workload.mean_object_kb),
            );
            let copy = CachedObject {
                kb,
                created_ms: now_ms.saturating_sub(1000),
            };
            for zone in 0..self.scenario.fleet.zones {
                let Some(server) =
                    load_balance::ranked_servers(&self.server_records, zone, key, Duration::ZERO)
                        .first()
                        .copied()
                else {
                    continue;
                };
                if free_kb[server] >= kb {
                    free_kb[server] -= kb;
                    self.model.servers[server].preload(key, copy);
                }
            }
            if popularity_rank > 20_000 {
                break;
            }
            for server in self
                .model
                .servers
                .iter_mut()
                .filter(|s| s.tier == Tier::Parent)
            {
                server.preload(key, copy);
            }
        }
    }

    /// Starts a router's process with all discovery events up to now.
    pub(super) fn start_router(&mut self, router: usize) -> Result<(), String> {
        let (now, group) = (self.now(), self.routers[router].group);
        let events: Vec<Value> = (0..self.discovery_events.len())
            .map(|n| self.event_json(n, group))
            .collect();
        let (peers, all) = self.relay.addresses();
        let discovery =
            connections::serve_discovery(&self.server_address, router, self.events.clone())?;
        let state = &mut self.routers[router];
        state.incarnation += 1;
        (state.discovery, state.events_sent) = (None, events.len());
        (state.started_at, state.stopped) = (
            if state.incarnation > 1 {
                now
            } else {
                Duration::ZERO
            },
            None,
        );
        let mut settings = self.settings.clone();
        settings["Locality"] = json!(state.zone);
        settings["MyNumber"] = json!(router);
        let incarnation = u64::from(state.incarnation);
        let seed = self.options.seed.wrapping_mul(7919) ^ (router as u64) << 8 ^ incarnation;
        let listen = state.listen;
        let peer_address = SocketAddr::new(listen.ip(), 7946);
        let file = json!({"name": format!("n{router}"), "listen": listen.to_string(),
            "seed": format!("{seed:016x}"),
            "limits": {"cores": 1, "memory_mb": 64, "sockets": 1024}, "board": discovery.to_string(),
            "peer_listen": peer_address.to_string(), "peers": peers, "peers_all": all,
            "flow_bytes_per_s": 1_000_000, "link_bytes_per_s": 8_000_000,
            "known": {"rev": events.len(), "notices": events}, "settings": settings});
        let wanted = StartRequest {
            router,
            incarnation: state.incarnation,
            config: state.config.clone(),
            config_text: file.to_string(),
            directives: self.temp_dir.join("chalkhall.conf"),
            log: self
                .options
                .logs
                .as_ref()
                .map(|folder| folder.join(format!("n{router}.log"))),
        };
        self.starter.start(wanted);
        (0..self.discovery_events.len())
            .for_each(|number| self.record_announcement(now, router, number));
        Ok(())
    }

    pub(super) async fn start_all(
        &mut self,
        mailbox: &mut mpsc::Receiver<Event>,
    ) -> Result<(), String> {
        let mut sections: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for (section, line) in &self.scenario.fleet.directives {
            sections.entry(section).or_default().push(line);
        }
        let text: String = sections
            .iter()
            .map(|(name, lines)| format!("{name} {{\n    {}\n}}\n", lines.join("\n    ")))
            .collect();
        let path = self.temp_dir.join("chalkhall.conf");
        std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))?;
        let (_, faults) = chalkhall_config::read(&path);
        if let Some(fault) = faults.first() {
            return Err(format!("directive: {fault}"));
        }
        let bar = self.progress_bar("starting", self.routers.len());
        let end = Instant::now() + READY_TIMEOUT;
        for first in (0..self.routers.len()).step_by(START_BATCH) {
            let wave = first..(first + START_BATCH).min(self.routers.len());
            for router in wave.clone() {
                self.start_router(router)?;
            }
            for router in wave {
                while !connections::is_serving(self.routers[router].listen).await {
                    while let Ok(event) = mailbox.try_recv() {
                        self.deliver_event(event);
                    }
                    let ended = self.routers[router]
                        .child
                        .as_mut()
                        .and_then(RouterProcess::exit_status);
                    if let Some(ended) = ended {
                        return Err(format!(
                            "router n{router} ended during its start ({ended}); use --logs FOLDER to keep its log"
                        ));
                    }
                    if Instant::now() > end {
                        return Err(format!(
                            "router n{router} was not ready within {READY_TIMEOUT:?}"
                        ));
                    }
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
                self.routers[router].receives_clients = true;
                bar.inc(1);
            }
            while let Ok(event) = mailbox.try_recv() {
                self.deliver_event(event);
            }
        }
        bar.finish_and_clear();
        Ok(())
    }

    pub(super) fn progress_bar(&self, what: &'static str, length: usize) -> indicatif::ProgressBar {
        let bar = if self.options.progress {
            indicatif::ProgressBar::new(length as u64)
        } else {
            indicatif::ProgressBar::hidden()
        };
        bar.with_message(what).with_style(
            indicatif::ProgressStyle::with_template("{msg} {bar:40} {pos}/{len}")
                .unwrap_or_else(|_| indicatif::ProgressStyle::default_bar()),
        )
    }
}
