//! One router on real sockets. Every decision is `chalkhall::control`'s; `serve` runs it.

mod backoff;
mod boot_time;
pub mod cell_routing;
mod client_connection;
mod client_protocol;
mod clock;
mod configuration;
mod control_socket;
mod decider;
mod discovery;
mod discovery_events;
mod gossip_socket;
mod io_errors;
mod latency_probes;
mod lifecycle;
mod listener;
pub mod local_cache;
pub mod logging;
mod messages;
mod rate_limited_log;
mod scheduling_delay;
mod server_connection;
mod server_pool;
mod server_protocol;
mod timestamps;
mod uninterrupted;
mod zone_failover;

use cell_routing::CellRouting;
use chalkhall_config::Told as Directives;
use chalkhall_gossip::{About, Talk};
use chalkhall_store::threads::End;
use client_connection::ClientFrontend;
use clock::Clock;
use configuration::Configuration;
use decider::{Decider, Gossip, Subsystems};
use discovery::{Discovery, NewDiscovery};
use discovery_events::DiscoveryEvent;
use io_errors::retry_at_once;
use lifecycle::Phase;
use local_cache::LocalCache;
use messages::Message;
use std::cell::Cell;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use timestamps::EventTimes;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::{Instant, timeout_at};
use zone_failover::ZoneFailover;

/// Messages waiting for the decisions. Who brings more waits, and reads nothing meanwhile.
const MESSAGES_MOST: usize = 256;
/// Events of discovery, which go before them; discovery is read no further meanwhile.
const NOTICES_MOST: usize = 64;

/// Runs a router until it has ended, told by its environment and an operator's file, which is read anew with
/// it.
///
/// # Errors
/// One line that names the key at fault, where it could not start; or what ended it before its time.
pub fn serve(directives: Directives, file: Option<PathBuf>) -> Result<(), String> {
    let clock = Clock::start();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .on_thread_park(scheduling_delay::before_wait)
        .on_thread_unpark(scheduling_delay::after_wait)
        .build()
        .map_err(|e| e.to_string())?;
    LocalSet::new().block_on(&runtime, run(clock, directives, file))
}

/// For the disk of own copies to be closed, from the end of the decisions on: a kill may come soon after.
const DISK_CLOSE_TIMEOUT: Duration = Duration::from_millis(200);
const _: () = assert!(DISK_CLOSE_TIMEOUT.as_millis() + 50 <= lifecycle::FINAL_WRITES.as_millis());

fn read(clock: &Clock) -> Result<Configuration, String> {
    configuration::told(|name| std::env::var(name).ok(), clock)
}

async fn run(clock: Clock, directives: Directives, file: Option<PathBuf>) -> Result<(), String> {
    // PendingRequest up before all else: by default either signal ends the program where it stands.
    let listen_to = |kind| signal(kind).map_err(|e| e.to_string());
    let (stop, reload) = (
        listen_to(SignalKind::terminate())?,
        listen_to(SignalKind::hangup())?,
    );
    let mut told = read(&clock)?;
    let (phase_of, phase) = watch::channel(Phase::Starting);
    let (decider, mailbox) = mpsc::channel(MESSAGES_MOST);
    let (limits, serving) = (told.limits.clone(), phase_of.clone());
    let (own, disk) = LocalCache::open(&directives.store, &told, clock)?.unzip();
    let disk = disk
        .flatten()
        .map(|ends| spawn_local(pass_on(ends, decider.clone())));
    let deployment = &told.deployment;
    // The longest that a request, or what remembers its repeats, lasts.
    let lasts = deployment
        .classes
        .iter()
        .map(|class| class.deadline.max(class.window));
    let settle = lasts.max().unwrap_or_default();
    let (zone, by_customer) = (deployment.zone, !deployment.customers.is_empty());
    let confined = CellRouting::new(
        &directives.cells,
        &told.classes,
        zone,
        by_customer,
        settle,
        deployment.seed,
    )?;
    let talk = told
        .peers
        .as_ref()
        .filter(|_| directives.peers.tell)
        .and_then(|_| {
            let here = deployment.routers_at.get(zone).copied().unwrap_or(0);
            let (number, routers, seed) = (deployment.number, deployment.routers, deployment.seed);
            let mut talk = Talk::start(
                clock.now(),
                About {
                    number,
                    routers,
                    zone,
                    routers_here: here,
                    seed,
                },
            )?;
            if directives.peers.even_load {
                talk.even_load();
            }
            Some(talk)
        });
    let (saying, sayings) = gossip_socket::saying();
    let socket_of_peers = match &told.peers {
        Some(peers) if talk.is_some() || directives.regions.in_common => {
            gossip_socket::bind(peers).await
        }
        _ => None,
    };
    if directives.regions.in_common && socket_of_peers.is_none() {
        log::warn!(
            "regions: the platform lets routers not talk; each decides by what it sees itself"
        );
    }
    let talk = talk
        .filter(|_| socket_of_peers.is_some())
        .map(|talk| Gossip {
            talk,
            sender: saying.clone(),
        });
    let (probes, to_probe) = mpsc::channel(latency_probes::PROBES_MOST);
    let abroad = match socket_of_peers {
        Some(_) => ZoneFailover::new(
            clock,
            &directives.regions,
            deployment,
            &told.places.zones,
            saying,
            probes,
        )?,
        None => None,
    };
    let subsystems = Subsystems {
        local_cache: own,
        cell_routing: confined,
        gossip: talk,
        zone_failover: abroad,
    };
    let mut decisions = Decider::start(
        clock,
        deployment,
        limits,
        phase_of,
        decider.clone(),
        subsystems,
    );
    let advice = decisions.retry_after();
    // The list comes before the first request.
    let mut times = EventTimes::new(clock);
    for mut notice in std::mem::take(&mut told.known)
        .into_iter()
        .filter_map(|(_, notice)| notice)
    {
        times.bound(&mut notice);
        decisions.apply_discovery_event(notice);
    }
    let socket = listener::bind(told.listen)
        .await
        .map_err(|e| format!("listen: {}: {e}", told.listen))?;
    let socket_of = |path: &std::path::Path| {
        control_socket::listen(path).map_err(|e| format!("control: {}: {e}", path.display()))
    };
    let questions = directives.control.as_deref().map(socket_of).transpose()?;
    let (noticed, notices) = mpsc::channel(NOTICES_MOST);
    let deciding = spawn_local(async move {
        decisions.run(mailbox, notices).await;
        Instant::now()
    });

    let (anew, told_anew) = mpsc::channel(1);
    let (address, last, places) = (told.discovery, told.last_event, told.places.clone());
    let cells = noticed.clone();
    let chance = fastrand::Rng::with_seed(told.deployment.seed);
    let held = discovery::socket(address).ok();
    let discovery = Discovery {
        address,
        last,
        faulty: None,
        places,
        clock,
        times,
        decider: noticed,
        chance,
        spare: held,
    };
    spawn_local(discovery.run(told_anew));
    spawn_local(heed(stop, decider.clone()));
    serving.send_replace(Phase::Serving);
    drop(serving);
    log::info!("{} serves on {}", told.name, told.listen);
    // Clients hold a third of the descriptors at most; a few more may be on their way out.
    let most = told.limits.sockets / 3;
    let door = Rc::new(ClientFrontend {
        classes: told.classes.clone(),
        tenants: told.tenants.clone(),
        kb_per_s: told.deployment.client_kb_per_s,
        advice,
        clock,
    });
    if let Some((socket, peers)) = socket_of_peers.zip(told.peers.clone()) {
        spawn_local(gossip_socket::run(socket, peers, sayings, decider.clone()));
    }
    spawn_local(latency_probes::run(to_probe, decider.clone()));
    if let Some(questions) = questions {
        spawn_local(control_socket::run(questions, decider.clone()));
    }
    let name = told.name.clone();
    let again = ConfigurationReloader {
        told,
        file,
        clock,
        discovery: anew,
        cells,
        spare: Cell::new(spare()),
    };
    spawn_local(again.run(reload));
    listener::run(socket, most, door, decider, phase).await;
    // Without decisions nothing can be answered: better to be started anew than to go on.
    let ended = deciding
        .await
        .map_err(|what| format!("the decisions failed: {what}"))?;
    if let Some(disk) = disk {
        wait_for_disk(ended, disk).await;
    }
    log::info!("{name} ended");
    Ok(())
}

/// Waits for a disk to be closed, but not until a kill: what was written is there anyway, and a close in order
/// only makes the next start quick.
async fn wait_for_disk(ended: Instant, disk: JoinHandle<()>) {
    if timeout_at(ended + DISK_CLOSE_TIMEOUT, disk).await.is_err() {
        log::warn!("the disk of own copies was not closed in time");
    }
}

/// ConnectionPool on how the disk's orders ended, until its threads have.
async fn pass_on(mut ends: mpsc::Receiver<End>, decider: mpsc::Sender<Message>) {
    while let Some(end) = ends.recv().await {
        let _ = decider.send(Message::Disk(end)).await;
    }
}

async fn heed(mut stop: Signal, decider: mpsc::Sender<Message>) {
    while stop.recv().await.is_some() {
        let _ = decider.send(Message::Stop).await;
    }
}

/// What is read anew at each SIGHUP, and to whom it goes. Of a configuration or a file that is faulty nothing
/// counts.
struct ConfigurationReloader {
    told: Configuration,
    file: Option<PathBuf>,
    clock: Clock,
    discovery: mpsc::Sender<NewDiscovery>,
    cells: mpsc::Sender<DiscoveryEvent>,
    spare: Cell<Option<std::fs::File>>,
}

/// Any descriptor that is there to be given up.
fn spare() -> Option<std::fs::File> {
    retry_at_once(|| std::fs::File::open("/dev/null")).ok()
}

impl ConfigurationReloader {
    async fn run(self, mut reload: Signal) {
        while reload.recv().await.is_some() {
            self.configuration().await;
            self.directives().await;
        }
    }

    /// Reads a file while a descriptor is free for it, where clients have taken all others.
    fn with_spare_descriptor<T>(&self, read: impl FnOnce() -> T) -> T {
        drop(self.spare.take());
        let what = read();
        self.spare.set(spare());
        what
    }

    async fn configuration(&self) {
        let anew = match self.with_spare_descriptor(|| read(&self.clock)) {
            Ok(anew) => anew,
            Err(what) => return log::warn!("the new configuration is not taken over: {what}"),
        };
        let otherwise = self.told.fixed_otherwise(&anew);
        if !otherwise.is_empty() {
            log::warn!(
                "the new configuration has other {}: a restart is needed",
                otherwise.join(", ")
            );
        }
        // Its events are read by the names in its settings, which are not those that the router runs with.
        let known = if otherwise.contains(&"settings") {
            Vec::new()
        } else {
            anew.known
        };
        let _ = self
            .discovery
            .send(NewDiscovery {
                address: anew.discovery,
                known,
            })
            .await;
    }

    /// Of the operator's file the map of cells and the drained zones are taken over; all else needs a
    /// restart.
    async fn directives(&self) {
        let Some(file) = &self.file else { return };
        let (directives, faults) = self.with_spare_descriptor(|| chalkhall_config::read(file));
        if let Some(fault) = faults.first() {
            return log::warn!(
                "the operator's file is not taken over: {fault} ({} faults)",
                faults.len()
            );
        }
        match zone_failover::places(&self.told.places.zones, &directives.regions.drained) {
            Ok(drained) => drop(self.cells.send(DiscoveryEvent::Drained(drained)).await),
            Err(what) => log::warn!("the operator's file is not taken over: {what}"),
        }
        if directives.cells.cells.is_empty() {
            return;
        }
        match cell_routing::plan(&directives.cells, &self.told.classes) {
            Ok(plan) => drop(self.cells.send(DiscoveryEvent::Cells(Box::new(plan))).await),
            Err(what) => log::warn!("the map of cells is not taken over: {what}"),
        }
    }
}

#[cfg(test)]
mod tests;
