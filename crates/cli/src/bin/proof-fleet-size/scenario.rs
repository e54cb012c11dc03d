//! One scenario at one size: runs routers between the stand-ins, changes the endpoint list and measures.

use crate::cache_servers::{self, Counts};
use crate::discovery::{self, Events};
use crate::settings::{AddressBlock, ListedServer, Tier, configuration, servers, unix_ms};
use crate::traffic::{self, RequestCounts};
use crate::usage;
use chalkhall_harness::processes::{RouterCommand, RouterProcess};
use std::cell::Cell;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{JoinSet, spawn_local};
use tokio::time::{Instant, sleep};

/// One cache server out of this many is replaced during the scenario.
const SERVERS_PER_REPLACED: usize = 10;
/// One cache server out of this many refuses connections.
const SERVERS_PER_REFUSING: usize = 20;
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
/// Delay from the routers' readiness until idle memory is read.
const SETTLE_DELAY: Duration = Duration::from_millis(500);

/// The routers' request rates over their mean: some get several times as many requests as others.
const RATE_FACTORS: [f64; 4] = [0.4, 0.6, 1.0, 2.0];
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(20);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Conditions {
    /// Most cache servers answer, some refuse connections, and a tenth of them is replaced.
    Normal,
    /// Every server refuses connections.
    AllRefusing,
}

#[derive(Clone, Copy)]
pub struct Size {
    pub cache_servers: usize,
    pub larger: bool,
}

pub struct Scenario {
    pub size: Size,
    pub conditions: Conditions,
    pub seed: u64,
    pub routers: usize,
    pub rate: f64,
    pub length: Duration,
}

/// Figures of a router, as means over the routers that were measured.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    pub cache_servers: f64,
    pub idle_memory_mb: f64,
    pub peak_memory_mb: f64,
    pub cpu_start_s: f64,
    /// From the router's start to the end of the scenario.
    pub cpu_s: f64,
    pub cpu_us_per_request: f64,
    pub descriptors: f64,
    pub connections: f64,
    pub list_bytes: f64,
    pub served: f64,
    pub requests: f64,
}

/// The directory of the routers' configurations, removed when dropped.
struct ConfigurationDirectory(PathBuf);

impl ConfigurationDirectory {
    fn new(larger: bool) -> Result<ConfigurationDirectory, String> {
        let name = format!("chalkhall-fleet-size-{}-{larger}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(ConfigurationDirectory(path))
    }
}

impl Drop for ConfigurationDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The servers of the scenario, as discovery lists them at its start.
fn listed_servers(scenario: &Scenario, block: &AddressBlock) -> Vec<ListedServer> {
    let all = servers(block, scenario.size.cache_servers, scenario.size.larger);
    let refuses = |index: usize, server: &ListedServer| match scenario.conditions {
        Conditions::AllRefusing => true,
        Conditions::Normal => {
            server.tier == Tier::Cache && index % SERVERS_PER_REFUSING == SERVERS_PER_REFUSING - 1
        }
    };
    let changed = all.into_iter().enumerate();
    changed
        .map(|(index, s)| if refuses(index, &s) { s.refusing() } else { s })
        .collect()
}

fn start_routers(
    scenario: &Scenario,
    program: &RouterCommand,
    directory: &Path,
    block: &AddressBlock,
    listed_servers: &[ListedServer],
) -> Result<Vec<RouterProcess>, String> {
    let routers = (0..scenario.routers).map(|number| {
        let path = directory.join(format!("n{number}.json"));
        let text = configuration(
            block,
            number,
            scenario.size.larger,
            scenario.seed,
            listed_servers,
        )
        .to_string();
        std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))?;
        RouterProcess::start(program, &path, None, None)
            .map_err(|e| format!("a router could not be started: {e}"))
    });
    routers.collect()
}

/// In the scenario's middle third, cache servers drain and leave one after another, and a new server takes over each
/// address.
async fn replace_cache_servers(
    listed_servers: Vec<ListedServer>,
    length: Duration,
    events: Rc<Events>,
) {
    sleep(length / 3).await;
    let replaced = |(index, server): &(usize, ListedServer)| {
        server.tier == Tier::Cache && index % SERVERS_PER_REPLACED == 0
    };
    let replaced: Vec<(usize, ListedServer)> = listed_servers
        .into_iter()
        .enumerate()
        .filter(replaced)
        .collect();
    let pause = length / 3 / replaced.len().max(1) as u32;
    for (index, old) in replaced {
        events.publish(&[old.entry("leaving")]);
        sleep(pause / 2).await;
        let name = format!("n-{index:05}");
        let new = ListedServer {
            name,
            born_ms: unix_ms(),
            ..old.clone()
        };
        events.publish(&[old.entry("left"), new.entry("active")]);
        sleep(pause / 2).await;
    }
}

/// Records the highest number of descriptors that each process holds at once.
async fn watch_descriptors(processes: Vec<u32>, peaks: Rc<Vec<Cell<usize>>>) {
    loop {
        for (process, peak) in processes.iter().zip(peaks.iter()) {
            peak.set(peak.get().max(usage::descriptors(*process)));
        }
        sleep(SAMPLE_INTERVAL).await;
    }
}

/// Tells all routers to shut down, and waits until each has exited with code 0.
async fn stop_routers(mut routers: Vec<RouterProcess>) -> Result<(), String> {
    routers.iter_mut().for_each(RouterProcess::terminate);
    let deadline = Instant::now() + SHUTDOWN_TIMEOUT;
    for (number, router) in routers.iter_mut().enumerate() {
        let status = loop {
            match router.exit_status() {
                Some(status) => break status,
                None if Instant::now() > deadline => {
                    return Err(format!("router n{number} did not exit within 20 s"));
                }
                None => sleep(Duration::from_millis(20)).await,
            }
        };
        if !status.success() {
            return Err(format!("router n{number} exited with {status}"));
        }
    }
    Ok(())
}

fn mean(routers: usize, values: impl Iterator<Item = f64>) -> f64 {
    values.sum::<f64>() / routers as f64
}

fn mean_of(processes: &[u32], figure: impl Fn(u32) -> Result<f64, String>) -> Result<f64, String> {
    let values = processes
        .iter()
        .map(|process| figure(*process))
        .collect::<Result<Vec<f64>, String>>()?;
    Ok(mean(processes.len(), values.into_iter()))
}

/// Runs the scenario.
///
/// # Errors
/// The reason why it could not run.
pub async fn run(program: &RouterCommand, scenario: &Scenario) -> Result<Figures, String> {
    let (block, directory) = (
        AddressBlock::reserve()?,
        ConfigurationDirectory::new(scenario.size.larger)?,
    );
    let listed_servers = listed_servers(scenario, &block);
    let (counts, events) = (Rc::new(Counts::default()), Rc::new(Events::default()));
    let mut tasks = match scenario.conditions {
        Conditions::Normal => {
            // Servers that refuse connections get no listener: their listed port stays closed.
            let listening: Vec<ListedServer> = listed_servers.clone();
            let all = servers(&block, scenario.size.cache_servers, scenario.size.larger);
            let is_listening = |(a, b): &(ListedServer, ListedServer)| a.address == b.address;
            let listening: Vec<ListedServer> = listening
                .into_iter()
                .zip(all)
                .filter(is_listening)
                .map(|(a, _)| a)
                .collect();
            cache_servers::listen(&listening, &counts).await?
        }
        Conditions::AllRefusing => JoinSet::new(),
    };
    for router in 0..scenario.routers {
        discovery::listen(block.discovery(router), &events, &mut tasks).await?;
    }
    let routers = start_routers(scenario, program, &directory.0, &block, &listed_servers)?;
    let processes: Vec<u32> = routers.iter().map(RouterProcess::id).collect();
    for router in 0..scenario.routers {
        traffic::wait_until_ready(block.router(router)).await?;
    }
    sleep(SETTLE_DELAY).await;
    let idle_memory_mb = mean_of(&processes, |process| usage::memory_mb(process, "VmRSS"))?;
    let cpu_start_s = mean_of(&processes, usage::cpu_seconds)?;

    let peaks = Rc::new(vec![Cell::new(0); processes.len()]);
    tasks.spawn_local(watch_descriptors(processes.clone(), peaks.clone()));
    if scenario.conditions == Conditions::Normal {
        tasks.spawn_local(replace_cache_servers(
            listed_servers,
            scenario.length,
            events.clone(),
        ));
    }
    let request_counts = Rc::new(RequestCounts::default());
    let clients = (0..scenario.routers).map(|router| {
        let seed = scenario
            .seed
            .wrapping_mul(1_000)
            .wrapping_add(router as u64)
            & 0xffff_ffff;
        let rate = scenario.rate * RATE_FACTORS[router % RATE_FACTORS.len()];
        let (at, length) = (block.router(router), scenario.length);
        spawn_local(traffic::run(at, seed, rate, length, request_counts.clone()))
    });
    for client in clients.collect::<Vec<_>>() {
        client.await.map_err(|e| e.to_string())??;
    }

    let cpu_s = mean_of(&processes, usage::cpu_seconds)?;
    let peak_memory_mb = mean_of(&processes, |process| usage::memory_mb(process, "VmHWM"))?;
    stop_routers(routers).await?;
    // Frees the addresses before another scenario binds them.
    tasks.shutdown().await;
    let each = |count: u64| count as f64 / scenario.routers as f64;
    Ok(Figures {
        cache_servers: scenario.size.cache_servers as f64,
        idle_memory_mb,
        peak_memory_mb,
        cpu_start_s,
        cpu_s,
        cpu_us_per_request: (cpu_s - cpu_start_s) * 1e6
            / each(request_counts.requests.get()).max(1.0),
        descriptors: mean(scenario.routers, peaks.iter().map(|peak| peak.get() as f64)),
        connections: each(counts.connections.get()),
        list_bytes: each(events.sent_bytes.get()),
        served: request_counts.served.get() as f64 / request_counts.requests.get().max(1) as f64,
        requests: each(request_counts.requests.get()),
    })
}
