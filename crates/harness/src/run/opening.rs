//! Opens a fleet: addresses, servers, processes, until all are ready.

use super::{LATE_VALUE, Notice, Process, READY_WITHIN, Second, Setup, WAVE, World};
use crate::children::{Program, Router, Starter, Wanted};
use crate::copies::Copy;
use crate::even::{self, Place};
use crate::net::{Net, Weather};
use crate::places::Kept;
use crate::play::Play;
use crate::truth::{Server, Tier, Truth, Warmth};
use crate::ways::Ways;
use crate::wire::{self, Door, Event, Events};
use crate::work;
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, watch};

/// A folder of this run alone, gone with it.
pub(super) struct Dir(pub(super) PathBuf);

impl Dir {
    pub(super) fn new() -> Result<Dir, String> {
        static LAST: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
        let n = LAST.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let path =
            std::env::temp_dir().join(format!("chalkhall-harness-{}-{n}", std::process::id()));
        std::fs::create_dir_all(&path).map_err(|e| format!("{}: {e}", path.display()))?;
        Ok(Dir(path))
    }
}

impl Drop for Dir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Addresses that no other run on this machine uses: a block of the loopback range, held by a listener.
pub(super) fn block() -> Result<(u8, std::net::TcpListener), String> {
    let first = std::process::id() % 50;
    for n in 0..50 {
        let block = 201 + ((first + n) % 50) as u8;
        if let Ok(held) =
            std::net::TcpListener::bind((std::net::Ipv4Addr::new(127, block, 255, 254), 5050))
        {
            return Ok((block, held));
        }
    }
    Err("50 fleets run on this machine already".into())
}

pub(super) fn starter(program: &Program, events: &Events) -> Starter {
    let events = events.clone();
    Starter::new(program.clone(), move |router, life, child| {
        // Where nobody hears of it any more it is dropped, which kills it.
        let _ = events.try_send(Event::Started {
            router,
            life,
            child,
        });
    })
}

/// The settings that all routers of the play are told.
pub(super) fn settings(play: &Play) -> Value {
    let (fleet, work) = (&play.fleet, &play.work);
    let ms = |span: Duration| span.as_millis() as u64;
    let class = |name: &str, effect: &str, worth: f64| {
        json!({"Name": name, "Effect": effect, "Group": "all", "Window": 5000, "Aim": ms(work.soft),
            "AimStretch": 0,
            "HardLimit": ms(work.patience), "Worth": worth, "LateWorth": LATE_VALUE, "Stream": false})
    };
    let zones = (0..fleet.zones)
        .map(|n| format!("z{n}"))
        .chain(["hub".to_owned()])
        .collect::<Vec<String>>();
    let here = |at: usize| (0..fleet.routers).filter(|r| r % fleet.zones == at).count();
    let crews: Vec<usize> = (0..fleet.zones).map(here).chain([0]).collect();
    json!({
        "Classes": [class("page", "pure", 1.0), class("confirm", "side_effect", 1.0)],
        "FamilyInfo": {"ClassFresh": [ms(work.fresh), 0], "ClassWrite": [false, true],
            "ClientKbPerS": fleet.pace,
            "CrewByZone": crews, "HomeHub": vec![0; fleet.zones + 1], "ObeyAfter": 500,
            "PassThroughOk": fleet.pass_through,
            "ParentFloor": fleet.cold_from, "ParentRamp": ms(fleet.warm_within), "ParentFallMultiple": 2,
            "PurgeDone": 6000, "Says": "all", "ShieldKind": 1, "SourceKind": 2},
        "Granularity": 2, "Kinds": ["cache", "parent", "origin"],
        "Limits": {"ConnectTimeout": 400, "IdleClose": 30000, "MaxAttempts": 8, "MaxOpen": 20000,
            "MaxRetryAfter": 500,
            "MayCancel": true, "PeerMessages": true, "RetryAfter": true, "StreamsPerConn": 100},
        "Locality": 0, "MyNumber": 0, "PeersTotal": fleet.routers, "RegistryMode": "push", "Zones": zones,
        "Weights": "nominal",
        "Obligations": {"AnswerSlack": 8, "ColdFrom": fleet.cold_from, "DrainGrace": 500, "Fall": 1000,
            "TipMultiple": 2, "WarmWithin": ms(fleet.warm_within)}})
}

impl World {
    pub(super) async fn open(
        play: Play,
        setup: Setup,
        dir: PathBuf,
        events: Events,
    ) -> Result<World, String> {
        let (block, held) = block()?;
        // Held until the process ends: the block is this run's.
        std::mem::forget(held);
        let unix_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_millis() as u64);
        let fleet = play.fleet.clone();
        let warmth = Warmth {
            from: fleet.cold_from,
            within: fleet.warm_within,
        };
        let truth = Truth::new(
            Vec::new(),
            fleet.zones,
            fleet.link,
            fleet.pace,
            warmth,
            unix_ms,
        );
        let listen = |i: usize, port| {
            SocketAddr::from(([127, block, 1 + (i / 250) as u8, 1 + (i % 250) as u8], port))
        };
        let peers: Vec<SocketAddr> = (0..fleet.routers).map(|i| listen(i, 7946)).collect();
        let at = format!("127.{block}.200.1");
        let net = Net::open(peers, &at).await?;
        let ways = Ways::new(&fleet);
        let weather = Weather {
            deaf: vec![false; fleet.routers],
            seed: setup.seed,
            ways: ways.clone().map(Rc::new),
            zones: fleet.zones,
            ..Weather::default()
        };
        let arrivals = work::arrivals(&play, setup.seed);
        let shares = work::shares(fleet.routers, play.work.uneven, setup.seed);
        let routers = (0..fleet.routers).map(|i| {
            let links = 1 + (shares[i] * fleet.routers as f64).round() as usize;
            Process {
                zone: work::zone(i, &play),
                group: fleet.group(i),
                listen: listen(i, 5050),
                child: None,
                up: false,
                links: (0..links.min(8))
                    .map(|_| wire::client(listen(i, 5050), i, events.clone()))
                    .collect(),
                open: 0,
                turn: 0,
                discovery: None,
                told: 0,
                life: 0,
                since: Duration::ZERO,
                gone: None,
                config: dir.join(format!("n{i}.json")),
            }
        });
        let seconds =
            play.work.lasts.as_secs() as usize + play.work.patience.as_secs() as usize + 3;
        let histogram = || Histogram::new_with_bounds(1, 600_000, 3).map_err(|e| e.to_string());
        let mut world = World {
            began: Instant::now(),
            chance: fastrand::Rng::with_seed(setup.seed ^ 0xfa17),
            truth,
            doors: Vec::new(),
            places: Vec::new(),
            at,
            numbers: watch::channel(0).0,
            connections: HashMap::new(),
            names: HashMap::new(),
            routers: routers.collect(),
            net,
            ways,
            lately: HashMap::new(),
            kept: Kept::new(fleet.zones, seconds),
            weather: watch::channel(weather).0,
            noted: Vec::new(),
            lists_late: Duration::ZERO,
            lists_doubled: false,
            lists_cut: false,
            settings: settings(&play),
            dir,
            starter: starter(&setup.program, &events),
            setup,
            arrivals,
            wants: Vec::new(),
            tries: HashMap::new(),
            last_id: 0,
            timers: BinaryHeap::new(),
            due: HashMap::new(),
            last_timer: 0,
            struck: HashMap::new(),
            seconds: vec![Second::default(); seconds],
            answers: histogram()?,
            late: histogram()?,
            told: Vec::new(),
            joined: Vec::new(),
            retries: 0,
            strain: 0.0,
            crashed: 0,
            spare: 0,
            events,
            play,
        };
        for n in 0..fleet.caches {
            world.server(format!("c{n}"), Tier::Cache(n % fleet.zones))?;
        }
        (0..fleet.parents)
            .try_for_each(|n| world.server(format!("p{n}"), Tier::Parent).map(drop))?;
        world.server("o0".into(), Tier::Origin)?;
        world.warm();
        let all = (0..world.truth.servers.len()).collect();
        world.note(Notice::Servers(all));
        Ok(world)
    }

    /// A server that listens for every group of routers.
    pub(super) fn server(&mut self, name: String, tier: Tier) -> Result<usize, String> {
        let fleet = &self.play.fleet;
        let (capacity, memory) = match tier {
            Tier::Cache(_) => (fleet.cache_capacity, fleet.memory_kb),
            Tier::Parent => (fleet.parent_capacity, fleet.memory_kb * 20.0),
            Tier::Origin => (fleet.origin_capacity, 0.0),
        };
        let number = self.truth.join(Server::new(
            name.clone(),
            tier,
            capacity,
            memory,
            fleet.doors(),
        ));
        let doors = (0..fleet.doors())
            .map(|group| {
                wire::door(
                    &self.at,
                    number,
                    group,
                    self.numbers.clone(),
                    self.events.clone(),
                )
            })
            .collect::<Result<Vec<Door>, String>>()?;
        self.doors.push(doors);
        self.names.insert(name.clone(), number);
        let zone = if let Tier::Cache(at) = tier {
            at
        } else {
            usize::MAX
        };
        self.places.push(Place {
            name,
            zone,
            capacity,
            started: None,
            there: vec![(Duration::ZERO, Duration::MAX)],
            cold_from: fleet.cold_from,
            warm_within: fleet.warm_within,
        });
        Ok(number)
    }

    /// What servers hold that have run for long: the most wanted, where the hash puts it, as far as there is
    /// room.
    pub(super) fn warm(&mut self) {
        let unix = self.truth.unix(Duration::ZERO);
        let mut room: Vec<f64> = vec![self.play.fleet.memory_kb * 0.9; self.truth.servers.len()];
        for place in 0..self.play.work.objects {
            let object = work::object(self.setup.seed, place);
            let (key, kb) = ((object, 0), work::size(object, self.play.work.kb));
            let copy = Copy {
                kb,
                made: unix.saturating_sub(1000),
            };
            for zone in 0..self.play.fleet.zones {
                let Some(server) = even::prefers(&self.places, zone, key, Duration::ZERO)
                    .first()
                    .copied()
                else {
                    continue;
                };
                if room[server] >= kb {
                    room[server] -= kb;
                    self.truth.servers[server].holds(key, copy);
                }
            }
            if place > 20_000 {
                break;
            }
            for server in self
                .truth
                .servers
                .iter_mut()
                .filter(|s| s.tier == Tier::Parent)
            {
                server.holds(key, copy);
            }
        }
    }

    /// Starts a router's process with all that discovery has told up to now.
    pub(super) fn start(&mut self, router: usize) -> Result<(), String> {
        let (now, group) = (self.now(), self.routers[router].group);
        let notices: Vec<Value> = (0..self.noted.len())
            .map(|n| self.event(n, group))
            .collect();
        let (peers, all) = self.net.told();
        let discovery = wire::discovery(&self.at, router, self.events.clone())?;
        let process = &mut self.routers[router];
        process.life += 1;
        (process.discovery, process.told) = (None, notices.len());
        (process.since, process.gone) = (
            if process.life > 1 {
                now
            } else {
                Duration::ZERO
            },
            None,
        );
        let mut settings = self.settings.clone();
        settings["Locality"] = json!(process.zone);
        settings["MyNumber"] = json!(router);
        let life = u64::from(process.life);
        let seed = self.setup.seed.wrapping_mul(7919) ^ (router as u64) << 8 ^ life;
        let listen = process.listen;
        let own = SocketAddr::new(listen.ip(), 7946);
        let file = json!({"name": format!("n{router}"), "listen": listen.to_string(),
            "seed": format!("{seed:016x}"),
            "limits": {"cores": 1, "memory_mb": 64, "sockets": 1024}, "board": discovery.to_string(),
            "peer_listen": own.to_string(), "peers": peers, "peers_all": all,
            "flow_bytes_per_s": 1_000_000, "link_bytes_per_s": 8_000_000,
            "known": {"rev": notices.len(), "notices": notices}, "settings": settings});
        let wanted = Wanted {
            router,
            life: process.life,
            config: process.config.clone(),
            text: file.to_string(),
            directives: self.dir.join("chalkhall.conf"),
            log: self
                .setup
                .logs
                .as_ref()
                .map(|folder| folder.join(format!("n{router}.log"))),
        };
        self.starter.start(wanted);
        (0..self.noted.len()).for_each(|number| self.heard(now, router, number));
        Ok(())
    }

    pub(super) async fn start_all(
        &mut self,
        mailbox: &mut mpsc::Receiver<Event>,
    ) -> Result<(), String> {
        let mut sections: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for (section, line) in &self.play.fleet.directives {
            sections.entry(section).or_default().push(line);
        }
        let text: String = sections
            .iter()
            .map(|(name, lines)| format!("{name} {{\n    {}\n}}\n", lines.join("\n    ")))
            .collect();
        let path = self.dir.join("chalkhall.conf");
        std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))?;
        let (_, faults) = chalkhall_config::read(&path);
        if let Some(fault) = faults.first() {
            return Err(format!("directive: {fault}"));
        }
        let bar = self.bar("starting", self.routers.len());
        let end = Instant::now() + READY_WITHIN;
        for first in (0..self.routers.len()).step_by(WAVE) {
            let wave = first..(first + WAVE).min(self.routers.len());
            for router in wave.clone() {
                self.start(router)?;
            }
            for router in wave {
                while !wire::green(self.routers[router].listen).await {
                    while let Ok(event) = mailbox.try_recv() {
                        self.take(event);
                    }
                    let ended = self.routers[router].child.as_mut().and_then(Router::ended);
                    if let Some(ended) = ended {
                        return Err(format!(
                            "router n{router} ended at its start ({ended}); --logs FOLDER keeps its log"
                        ));
                    }
                    if Instant::now() > end {
                        return Err(format!(
                            "router n{router} does not say that it serves after {READY_WITHIN:?}"
                        ));
                    }
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
                self.routers[router].up = true;
                bar.inc(1);
            }
            while let Ok(event) = mailbox.try_recv() {
                self.take(event);
            }
        }
        bar.finish_and_clear();
        Ok(())
    }

    pub(super) fn bar(&self, what: &'static str, length: usize) -> indicatif::ProgressBar {
        let bar = if self.setup.progress {
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
