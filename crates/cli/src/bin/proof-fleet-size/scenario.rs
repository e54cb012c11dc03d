//! One day at one size: real routers between the stand-ins, changes of the list, and what was measured.

use crate::cache_servers::{self, Counts};
use crate::discovery::{self, Events};
use crate::settings::{Block, Listed, Tier, configuration, servers, unix_ms};
use crate::traffic::{self, Asked};
use crate::usage;
use chalkhall_harness::children::{Program, Router};
use std::cell::Cell;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{JoinSet, spawn_local};
use tokio::time::{Instant, sleep};

/// One cache server of so many is replaced during the day, one refuses connections.
const REPLACED: usize = 10;
const REFUSING: usize = 20;
const SAMPLED_EVERY: Duration = Duration::from_millis(250);
/// After the start, until idle memory is read.
const SETTLES: Duration = Duration::from_millis(500);

/// The routers' rates over their mean: some get several times what others get.
const UNEVEN: [f64; 4] = [0.4, 0.6, 1.0, 2.0];
const ENDS_WITHIN: Duration = Duration::from_secs(20);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Day {
    /// Most answer, some refuse, a tenth of the cache servers is replaced.
    Usual,
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
    pub day: Day,
    pub seed: u64,
    pub routers: usize,
    pub rate: f64,
    pub length: Duration,
}

/// What a router needed, in the mean over those that were measured.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    pub cache_servers: f64,
    pub idle_memory_mb: f64,
    pub peak_memory_mb: f64,
    pub cpu_start_s: f64,
    /// From the start on.
    pub cpu_s: f64,
    pub cpu_us_per_request: f64,
    pub descriptors: f64,
    pub connections: f64,
    pub list_bytes: f64,
    pub served: f64,
    pub requests: f64,
}

/// The configurations' folder, gone with the run.
struct Folder(PathBuf);

impl Folder {
    fn new(larger: bool) -> Result<Folder, String> {
        let name = format!("chalkhall-fleet-size-{}-{larger}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The servers of the day, as they are listed at its start.
fn listed(scenario: &Scenario, block: &Block) -> Vec<Listed> {
    let all = servers(block, scenario.size.cache_servers, scenario.size.larger);
    let refuses = |place: usize, server: &Listed| match scenario.day {
        Day::AllRefusing => true,
        Day::Usual => server.tier == Tier::Cache && place % REFUSING == REFUSING - 1,
    };
    let changed = all.into_iter().enumerate();
    changed
        .map(|(place, s)| if refuses(place, &s) { s.refusing() } else { s })
        .collect()
}

fn start(
    scenario: &Scenario,
    program: &Program,
    folder: &Path,
    block: &Block,
    listed: &[Listed],
) -> Result<Vec<Router>, String> {
    let routers = (0..scenario.routers).map(|number| {
        let path = folder.join(format!("n{number}.json"));
        let text =
            configuration(block, number, scenario.size.larger, scenario.seed, listed).to_string();
        std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))?;
        Router::start(program, &path, None, None)
            .map_err(|e| format!("a router could not be started: {e}"))
    });
    routers.collect()
}

/// In the day's middle third one cache server after another drains, goes, and another takes its address.
async fn replace(listed: Vec<Listed>, length: Duration, events: Rc<Events>) {
    sleep(length / 3).await;
    let replaced =
        |(place, server): &(usize, Listed)| server.tier == Tier::Cache && place % REPLACED == 0;
    let replaced: Vec<(usize, Listed)> = listed.into_iter().enumerate().filter(replaced).collect();
    let pause = length / 3 / replaced.len().max(1) as u32;
    for (place, old) in replaced {
        events.tell(&[old.entry("leaving")]);
        sleep(pause / 2).await;
        let name = format!("n-{place:05}");
        let new = Listed {
            name,
            born_ms: unix_ms(),
            ..old.clone()
        };
        events.tell(&[old.entry("left"), new.entry("active")]);
        sleep(pause / 2).await;
    }
}

/// The most descriptors that each process held at once.
async fn watch_descriptors(processes: Vec<u32>, most: Rc<Vec<Cell<usize>>>) {
    loop {
        for (process, most) in processes.iter().zip(most.iter()) {
            most.set(most.get().max(usage::descriptors(*process)));
        }
        sleep(SAMPLED_EVERY).await;
    }
}

/// All routers are told to end, and do so in order.
async fn end(mut routers: Vec<Router>) -> Result<(), String> {
    routers.iter_mut().for_each(Router::terminate);
    let deadline = Instant::now() + ENDS_WITHIN;
    for (number, router) in routers.iter_mut().enumerate() {
        let status = loop {
            match router.ended() {
                Some(status) => break status,
                None if Instant::now() > deadline => {
                    return Err(format!("router n{number} does not end"));
                }
                None => sleep(Duration::from_millis(20)).await,
            }
        };
        if !status.success() {
            return Err(format!("router n{number} ended with {status}"));
        }
    }
    Ok(())
}

fn mean(routers: usize, values: impl Iterator<Item = f64>) -> f64 {
    values.sum::<f64>() / routers as f64
}

fn means(processes: &[u32], of: impl Fn(u32) -> Result<f64, String>) -> Result<f64, String> {
    let values = processes
        .iter()
        .map(|process| of(*process))
        .collect::<Result<Vec<f64>, String>>()?;
    Ok(mean(processes.len(), values.into_iter()))
}

/// Plays it.
///
/// # Errors
/// It could not be played, and why.
pub async fn play(program: &Program, scenario: &Scenario) -> Result<Figures, String> {
    let (block, folder) = (Block::take()?, Folder::new(scenario.size.larger)?);
    let listed = listed(scenario, &block);
    let (counts, events) = (Rc::new(Counts::default()), Rc::new(Events::default()));
    let mut tasks = match scenario.day {
        Day::Usual => {
            // Those that refuse stay as they are: nobody listens at their port.
            let open: Vec<Listed> = listed.clone();
            let all = servers(&block, scenario.size.cache_servers, scenario.size.larger);
            let answers = |(a, b): &(Listed, Listed)| a.address == b.address;
            let open: Vec<Listed> = open
                .into_iter()
                .zip(all)
                .filter(answers)
                .map(|(a, _)| a)
                .collect();
            cache_servers::listen(&open, &counts).await?
        }
        Day::AllRefusing => JoinSet::new(),
    };
    for router in 0..scenario.routers {
        discovery::listen(block.discovery(router), &events, &mut tasks).await?;
    }
    let routers = start(scenario, program, &folder.0, &block, &listed)?;
    let processes: Vec<u32> = routers.iter().map(Router::id).collect();
    for router in 0..scenario.routers {
        traffic::ready(block.router(router)).await?;
    }
    sleep(SETTLES).await;
    let idle_memory_mb = means(&processes, |process| usage::memory_mb(process, "VmRSS"))?;
    let cpu_start_s = means(&processes, usage::cpu_seconds)?;

    let most = Rc::new(vec![Cell::new(0); processes.len()]);
    tasks.spawn_local(watch_descriptors(processes.clone(), most.clone()));
    if scenario.day == Day::Usual {
        tasks.spawn_local(replace(listed, scenario.length, events.clone()));
    }
    let asked = Rc::new(Asked::default());
    let clients = (0..scenario.routers).map(|router| {
        let seed = scenario
            .seed
            .wrapping_mul(1_000)
            .wrapping_add(router as u64)
            & 0xffff_ffff;
        let rate = scenario.rate * UNEVEN[router % UNEVEN.len()];
        let (at, length) = (block.router(router), scenario.length);
        spawn_local(traffic::play(at, seed, rate, length, asked.clone()))
    });
    for client in clients.collect::<Vec<_>>() {
        client.await.map_err(|e| e.to_string())??;
    }

    let cpu_s = means(&processes, usage::cpu_seconds)?;
    let peak_memory_mb = means(&processes, |process| usage::memory_mb(process, "VmHWM"))?;
    end(routers).await?;
    // The addresses are free again before another scenario takes them.
    tasks.shutdown().await;
    let each = |count: u64| count as f64 / scenario.routers as f64;
    Ok(Figures {
        cache_servers: scenario.size.cache_servers as f64,
        idle_memory_mb,
        peak_memory_mb,
        cpu_start_s,
        cpu_s,
        cpu_us_per_request: (cpu_s - cpu_start_s) * 1e6 / each(asked.requests.get()).max(1.0),
        descriptors: mean(scenario.routers, most.iter().map(|most| most.get() as f64)),
        connections: each(counts.connections.get()),
        list_bytes: each(events.bytes.get()),
        served: asked.served.get() as f64 / asked.requests.get().max(1) as f64,
        requests: each(asked.requests.get()),
    })
}
