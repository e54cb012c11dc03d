//! A play, played: one task, the world, owns what is true and hears from every connection; the routers are
//! processes. One thread does all of it, so the run says how late its own turns came, and is void where they
//! came too late.

use crate::children::{self, Program, Router, Starter, Wanted};
use crate::copies::Copy;
use crate::even::{self, Place, Rule};
use crate::net::{Carried, Net, Weather};
use crate::places::{Kept, Places};
use crate::play::{Fault, Part, Play, What, Whom};
use crate::truth::{Ask, Said, Server, Standing, Tier, Truth, Warmth, Word};
use crate::watch::{Breaks, Final, Life};
use crate::ways::{self, Ways};
use crate::wire::{self, Answer, Asked, Door, Event, Events, Request};
use crate::work::{self, Arrival};
use bytes::Bytes;
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, watch};
use tokio::time::sleep_until;

/// A run whose own turns came later than this, at the 99th percentile, is void.
const LATE_MOST: Duration = Duration::from_millis(60);
/// Routers are started so many at a time.
const WAVE: usize = 25;
const READY_WITHIN: Duration = Duration::from_secs(30);
/// The front notices after this that a router is gone, and looks so often whether it is back.
const FRONT_LOOKS: Duration = Duration::from_millis(300);
/// A client that is not told when, or does not heed it, comes back after up to this.
const BACK_WITHIN: Duration = Duration::from_millis(300);
/// The value of an answer after the soft deadline.
const LATE_VALUE: f64 = 0.2;
const DISCOVERY_BEAT: Duration = Duration::from_secs(1);
/// What a client asks of the widest router it may ask.
const OPEN_MOST: usize = 30;

/// How a play is to be played.
#[derive(Clone, Debug)]
pub struct Setup {
    pub program: Program,
    pub seed: u64,
    /// Where routers' logs go; none: nowhere.
    pub logs: Option<PathBuf>,
    /// A bar on the terminal.
    pub progress: bool,
}

/// What came of a request, second by second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Second {
    pub asked: f64,
    /// Value earned by what began in this second.
    pub earned: f64,
    pub rejected: u64,
    pub failed: u64,
    pub opened: u64,
    pub attempts: u64,
    pub fills: u64,
}

/// What a play showed.
#[derive(Debug)]
pub struct Shown {
    pub seed: u64,
    pub routers: usize,
    pub servers: usize,
    pub seconds: Vec<Second>,
    /// Value earned over value asked for, from the lead on.
    pub service: f64,
    /// The same from when it is measured again after the last fault.
    pub service_after: f64,
    pub even: BTreeMap<&'static str, even::Even>,
    pub herd: f64,
    pub breaks: Breaks,
    pub words: Vec<String>,
    pub places: Vec<Place>,
    pub loads: Vec<Vec<f64>>,
    /// The highest share of what pushes it over that any cold server was sent.
    pub strain: f64,
    pub hit_share: f64,
    pub answers_ms: Histogram<u64>,
    pub late_ms: Histogram<u64>,
    pub void: Option<String>,
    pub crashed: usize,
    pub datagrams: Carried,
    pub events: Vec<(Duration, String)>,
    pub retries: u64,
    pub measured_from: Duration,
    /// What became of the zones' requests.
    pub of_places: Places,
    /// From the first router's start to the end.
    pub lasted: Duration,
}

impl Shown {
    /// Bytes of datagrams that a router sent in a second, on average.
    pub fn bytes_s(&self) -> f64 {
        self.datagrams.bytes as f64 / self.routers.max(1) as f64 / self.lasted.as_secs_f64().max(1.0)
    }
}

struct Process {
    zone: usize,
    group: usize,
    listen: SocketAddr,
    child: Option<Router>,
    /// The front sends clients here.
    up: bool,
    links: Vec<mpsc::Sender<Request>>,
    open: usize,
    turn: usize,
    discovery: Option<mpsc::Sender<Bytes>>,
    /// Events told, and when the next is due.
    told: usize,
    life: u32,
    since: Duration,
    /// When it was killed (true) or asked to end.
    gone: Option<(Duration, bool)>,
    config: PathBuf,
}

impl Process {
    /// It owes an answer to what began then.
    fn owes(&self, begun: Duration) -> bool {
        match self.gone {
            None => begun >= self.since,
            Some((at, killed)) => !killed && begun < at,
        }
    }
}

/// An event of discovery: what changed.
enum Notice {
    Servers(Vec<usize>),
    Purge(u64, u64),
}

struct Noted {
    notice: Notice,
    at: Duration,
    /// As it was when told: standing by server.
    standings: Vec<(usize, Standing, Option<Duration>)>,
}

/// What a client wants, over all its tries.
struct Want {
    arrival: Arrival,
    due: Duration,
    tries: usize,
    done: bool,
}

enum Timer {
    Arrive(usize),
    Again(usize),
    Begin(usize),
    End(usize),
    Step(usize, Vec<usize>),
    Beat,
    Look(usize),
    Start(usize),
    Tell(usize),
    Lie(usize),
    /// Something has come over the ways, to a server; and from one to a connection.
    Come(Box<Event>),
    Say(u64, Bytes),
}

struct World {
    play: Play,
    began: Instant,
    chance: fastrand::Rng,
    truth: Truth,
    doors: Vec<Vec<Door>>,
    places: Vec<Place>,
    at: String,
    numbers: watch::Sender<u64>,
    events: Events,
    connections: HashMap<u64, (usize, usize, mpsc::Sender<Bytes>)>,
    names: HashMap<String, usize>,
    routers: Vec<Process>,
    net: Net,
    ways: Option<Ways>,
    /// By connection: when the last bytes each way came, since none overtake others.
    lately: HashMap<u64, [Duration; 2]>,
    kept: Kept,
    weather: watch::Sender<Weather>,
    noted: Vec<Noted>,
    lists_late: Duration,
    lists_doubled: bool,
    lists_cut: bool,
    settings: Value,
    dir: PathBuf,
    setup: Setup,
    starter: Starter,
    arrivals: Vec<Arrival>,
    wants: Vec<Want>,
    /// By the id of a try: which want, and which router.
    tries: HashMap<u64, (usize, usize)>,
    last_id: u64,
    timers: BinaryHeap<Reverse<(Duration, u64)>>,
    due: HashMap<u64, Timer>,
    last_timer: u64,
    struck: HashMap<usize, Vec<usize>>,
    seconds: Vec<Second>,
    answers: Histogram<u64>,
    late: Histogram<u64>,
    told: Vec<(Duration, String)>,
    joined: Vec<(Duration, usize)>,
    retries: u64,
    strain: f64,
    crashed: usize,
    spare: usize,
}

/// Plays it.
///
/// # Errors
/// Where it could not be played at all: in words that say what to do about it.
pub async fn play(play: &Play, setup: Setup) -> Result<Shown, String> {
    let senseless = play.faults_of_sense();
    if !senseless.is_empty() {
        return Err(senseless.join("; "));
    }
    children::reckon(play.fleet.routers)?;
    let dir = Dir::new()?;
    let (events, mailbox) = mpsc::channel(wire::EVENTS_MOST);
    let mut world = World::open(play.clone(), setup, dir.0.clone(), events).await?;
    let (carried, carry) = watch::channel(Carried::default());
    world.net.run(&world.weather.subscribe(), &carried);
    let mut mailbox = mailbox;
    world.start_all(&mut mailbox).await?;
    world.run(&mut mailbox).await;
    world.end(&mut mailbox).await;
    let carried = *carry.borrow();
    Ok(world.shown(carried))
}

/// A folder of this run alone, gone with it.
struct Dir(PathBuf);

impl Dir {
    fn new() -> Result<Dir, String> {
        static LAST: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
        let n = LAST.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("chalkhall-fleet-{}-{n}", std::process::id()));
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
fn block() -> Result<(u8, std::net::TcpListener), String> {
    let first = std::process::id() % 50;
    for n in 0..50 {
        let block = 201 + ((first + n) % 50) as u8;
        if let Ok(held) = std::net::TcpListener::bind((std::net::Ipv4Addr::new(127, block, 255, 254), 5050)) {
            return Ok((block, held));
        }
    }
    Err("50 fleets run on this machine already".into())
}

impl World {
    async fn open(play: Play, setup: Setup, dir: PathBuf, events: Events) -> Result<World, String> {
        let (block, held) = block()?;
        // Held until the process ends: the block is this run's.
        std::mem::forget(held);
        let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
        let fleet = play.fleet.clone();
        let warmth = Warmth { from: fleet.cold_from, within: fleet.warm_within };
        let truth = Truth::new(Vec::new(), fleet.zones, fleet.link, fleet.pace, warmth, unix_ms);
        let listen =
            |i: usize, port| SocketAddr::from(([127, block, 1 + (i / 250) as u8, 1 + (i % 250) as u8], port));
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
                links: (0..links.min(8)).map(|_| wire::client(listen(i, 5050), i, events.clone())).collect(),
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
        let seconds = play.work.lasts.as_secs() as usize + play.work.patience.as_secs() as usize + 3;
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
        (0..fleet.parents).try_for_each(|n| world.server(format!("p{n}"), Tier::Parent).map(drop))?;
        world.server("o0".into(), Tier::Origin)?;
        world.warm();
        let all = (0..world.truth.servers.len()).collect();
        world.note(Notice::Servers(all));
        Ok(world)
    }

    fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// A server that listens for every group of routers.
    fn server(&mut self, name: String, tier: Tier) -> Result<usize, String> {
        let fleet = &self.play.fleet;
        let (capacity, memory) = match tier {
            Tier::Cache(_) => (fleet.cache_capacity, fleet.memory_kb),
            Tier::Parent => (fleet.parent_capacity, fleet.memory_kb * 20.0),
            Tier::Origin => (fleet.origin_capacity, 0.0),
        };
        let number = self.truth.join(Server::new(name.clone(), tier, capacity, memory, fleet.doors()));
        let doors = (0..fleet.doors())
            .map(|group| wire::door(&self.at, number, group, self.numbers.clone(), self.events.clone()))
            .collect::<Result<Vec<Door>, String>>()?;
        self.doors.push(doors);
        self.names.insert(name.clone(), number);
        let zone = if let Tier::Cache(at) = tier { at } else { usize::MAX };
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
    fn warm(&mut self) {
        let unix = self.truth.unix(Duration::ZERO);
        let mut room: Vec<f64> = vec![self.play.fleet.memory_kb * 0.9; self.truth.servers.len()];
        for place in 0..self.play.work.objects {
            let object = work::object(self.setup.seed, place);
            let (key, kb) = ((object, 0), work::size(object, self.play.work.kb));
            let copy = Copy { kb, made: unix.saturating_sub(1000) };
            for zone in 0..self.play.fleet.zones {
                let Some(server) = even::prefers(&self.places, zone, key, Duration::ZERO).first().copied()
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
            for server in self.truth.servers.iter_mut().filter(|s| s.tier == Tier::Parent) {
                server.holds(key, copy);
            }
        }
    }

    fn after(&mut self, at: Duration, timer: Timer) {
        self.last_timer += 1;
        self.due.insert(self.last_timer, timer);
        self.timers.push(Reverse((at, self.last_timer)));
    }

    fn tell(&mut self, what: String) {
        let now = self.now();
        self.told.push((now, what));
    }

    // Routers.

    fn entry(&self, server: usize, standing: Standing, started: Option<Duration>, group: usize) -> Value {
        let at = &self.truth.servers[server];
        let (site, class) = match at.tier {
            Tier::Cache(zone) => (format!("z{zone}"), "cache"),
            Tier::Parent => ("hub".to_owned(), "parent"),
            Tier::Origin => ("hub".to_owned(), "origin"),
        };
        let health = match standing {
            Standing::Active => "active",
            Standing::Draining => "leaving",
            Standing::Gone => "left",
        };
        json!({"host": at.name, "dial": self.doors[server][group].at.to_string(),
            "site": site, "class": class,
            "block": server, "health": health, "share": at.capacity,
            "born_ms": started.map_or(0, |at| self.truth.unix(at))})
    }

    fn event(&self, number: usize, group: usize) -> Value {
        let noted = &self.noted[number];
        let rev = number + 1;
        match &noted.notice {
            Notice::Purge(object, ms) => {
                json!({"rev": rev, "flush": {"asset": format!("{object:016x}"), "ms": ms}})
            }
            Notice::Servers(_) => {
                let hosts = noted
                    .standings
                    .iter()
                    .map(|(server, standing, at)| self.entry(*server, *standing, *at, group));
                let hosts: Vec<Value> = hosts.collect();
                json!({"rev": rev, "pool": {"seq": rev, "whole": number == 0, "hosts": hosts}})
            }
        }
    }

    /// Discovery has something new.
    fn note(&mut self, notice: Notice) {
        let servers = if let Notice::Servers(servers) = &notice { servers.clone() } else { Vec::new() };
        let standings = servers.into_iter().map(|s| {
            let server = &self.truth.servers[s];
            (s, server.standing, server.started)
        });
        let standings = standings.collect();
        let at = self.now();
        self.noted.push(Noted { notice, at, standings });
        for router in 0..self.routers.len() {
            let wait = self.lists_late.mul_f64(self.chance.f64());
            if wait.is_zero() {
                self.tell_router(router);
            } else {
                self.after(at + wait, Timer::Tell(router));
            }
            if self.lists_cut {
                self.routers[router].discovery = None;
            }
        }
    }

    /// Tells a router's discovery connection what it has not told yet, as far as it is due.
    fn tell_router(&mut self, router: usize) {
        let (now, group) = (self.now(), self.routers[router].group);
        while self.routers[router].told < self.noted.len() {
            let Some(discovery) = self.routers[router].discovery.clone() else { return };
            let number = self.routers[router].told;
            let line = Bytes::from(format!("{}\n", self.event(number, group)));
            let copies = 1 + usize::from(self.lists_doubled);
            if (0..copies).any(|_| discovery.try_send(line.clone()).is_err()) {
                self.routers[router].discovery = None;
                return;
            }
            self.routers[router].told += 1;
            self.heard(now, router, number);
        }
    }

    /// From now on the router is held to it.
    fn heard(&mut self, now: Duration, router: usize, number: usize) {
        let noted = &self.noted[number];
        match &noted.notice {
            Notice::Purge(object, ms) => self.truth.watch.told_purge(now, router, *object, *ms),
            Notice::Servers(_) => {
                for (server, standing, _) in &noted.standings {
                    match standing {
                        Standing::Active => self.truth.watch.told_active(router, *server),
                        _ => self.truth.watch.told_drain(now, router, *server),
                    }
                }
            }
        }
    }

    /// Starts a router's process with all that discovery has told up to now.
    fn start(&mut self, router: usize) -> Result<(), String> {
        let (now, group) = (self.now(), self.routers[router].group);
        let notices: Vec<Value> = (0..self.noted.len()).map(|n| self.event(n, group)).collect();
        let (peers, all) = self.net.told();
        let discovery = wire::discovery(&self.at, router, self.events.clone())?;
        let process = &mut self.routers[router];
        process.life += 1;
        (process.discovery, process.told) = (None, notices.len());
        (process.since, process.gone) = (if process.life > 1 { now } else { Duration::ZERO }, None);
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
            log: self.setup.logs.as_ref().map(|folder| folder.join(format!("n{router}.log"))),
        };
        self.starter.start(wanted);
        (0..self.noted.len()).for_each(|number| self.heard(now, router, number));
        Ok(())
    }

    async fn start_all(&mut self, mailbox: &mut mpsc::Receiver<Event>) -> Result<(), String> {
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
        let (_, faults) = chalkhall_directives::read(&path);
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

    fn bar(&self, what: &'static str, length: usize) -> indicatif::ProgressBar {
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

    // What happens.

    async fn run(&mut self, mailbox: &mut mpsc::Receiver<Event>) {
        // The play's time begins now; servers that have run for long have run for longer.
        let shift = self.now();
        self.began = Instant::now();
        self.truth.restart(shift);
        self.noted.iter_mut().for_each(|noted| noted.at = Duration::ZERO);
        let faults = self.play.faults.clone();
        faults.iter().enumerate().for_each(|(n, fault)| self.after(fault.at, Timer::Begin(n)));
        if !self.arrivals.is_empty() {
            self.after(self.arrivals[0].at, Timer::Arrive(0));
        }
        self.after(DISCOVERY_BEAT, Timer::Beat);
        let end = self.play.work.lasts + self.play.work.patience + Duration::from_millis(500);
        let bar = self.bar("playing", end.as_secs() as usize);
        loop {
            let now = self.now();
            if now >= end {
                break;
            }
            bar.set_position(now.as_secs());
            while let Some(Reverse((at, number))) =
                self.timers.peek().copied().filter(|Reverse((at, _))| *at <= now)
            {
                self.timers.pop();
                let late = self.now().saturating_sub(at);
                let _ = self.late.record(late.as_millis() as u64);
                if let Some(timer) = self.due.remove(&number) {
                    self.timer(timer);
                }
            }
            self.answer();
            let timer = self.timers.peek().map(|Reverse((at, _))| *at);
            let next = timer.into_iter().chain(self.truth.next()).chain([end]).min().unwrap_or(end);
            let next = tokio::time::Instant::from_std(self.began + next);
            let mut come = tokio::select! {
                biased;
                event = mailbox.recv() => event,
                () = sleep_until(next) => None,
            };
            while let Some(event) = come.take() {
                self.take(event);
                come = mailbox.try_recv().ok();
            }
        }
        bar.finish_and_clear();
    }

    /// What servers say by now.
    fn answer(&mut self) {
        let now = self.now();
        for said in self.truth.said(now) {
            let Some((server, group, out)) = self.connections.get(&said.connection) else { continue };
            let at = &self.truth.servers[*server];
            if at.down || at.silent {
                continue;
            }
            let (server, group, bytes) = (*server, *group, self.worded(&said));
            if self.ways.is_some() {
                self.over(now, said.connection, server, group, bytes);
            } else {
                let _ = out.try_send(bytes);
            }
        }
    }

    /// Where a server stands, among the ways.
    fn place(&self, server: usize) -> usize {
        if let Tier::Cache(at) = self.truth.servers[server].tier { at } else { self.play.fleet.zones }
    }

    /// When bytes that leave now come: not before those that left before. A cut holds them.
    fn comes(
        &mut self,
        now: Duration,
        connection: u64,
        back: bool,
        from: usize,
        to: usize,
    ) -> Option<Duration> {
        let takes = self.ways.as_ref()?.takes(from, to, &mut self.chance);
        let last = self.lately.entry(connection).or_default();
        let at = (now + takes.unwrap_or(ways::AGAIN)).max(last[usize::from(back)]);
        last[usize::from(back)] = at;
        Some(at)
    }

    /// Bytes from a server go over the way to its router's zone.
    fn over(&mut self, now: Duration, connection: u64, server: usize, group: usize, bytes: Bytes) {
        let from = self.place(server);
        if let Some(at) = self.comes(now, connection, true, from, group) {
            self.after(at, Timer::Say(connection, bytes));
        }
    }

    fn worded(&self, said: &Said) -> Bytes {
        let mut fields = Vec::new();
        if !said.tell.is_empty() {
            fields.push(format!("tell={}", said.tell));
        }
        let ok = said.word == Word::Ok;
        if ok {
            let made = said.made;
            fields.push(format!("etag={:016x},made={made}", made ^ said.key.0));
        }
        if let Some(waited) = said.waited {
            fields.push(format!("ttfb={}", waited.as_millis()));
        }
        let fields = if fields.is_empty() { "-".to_owned() } else { fields.join(",") };
        let kb = work::size(said.key.0, self.play.work.kb);
        let body = if ok { wire::body(said.key, said.made, kb) } else { Vec::new() };
        let head = format!("{:016x} {} {fields} {}\r\n", said.id, said.word.text(), body.len());
        Bytes::from([head.as_bytes(), &body, b"\r\n"].concat())
    }

    fn second(&mut self, at: Duration) -> &mut Second {
        let last = self.seconds.len() - 1;
        &mut self.seconds[(at.as_secs() as usize).min(last)]
    }

    /// What comes to a server from another zone takes the time of its way.
    fn take(&mut self, event: Event) {
        let now = self.now();
        let (connection, server, group) = match &event {
            Event::Asked { connection, server, group, .. } => (*connection, *server, *group),
            Event::Noop { connection, server, group, .. } => (*connection, *server, *group),
            Event::Quit { connection, .. } => {
                let Some((server, group, _)) = self.connections.get(connection) else { return };
                (*connection, *server, *group)
            }
            _ => return self.come(event),
        };
        let to = self.place(server);
        match self.comes(now, connection, false, group, to) {
            Some(at) => self.after(at, Timer::Come(Box::new(event))),
            None => self.come(event),
        }
    }

    fn come(&mut self, event: Event) {
        let now = self.now();
        match event {
            Event::Noop { connection, server, group, tag } => {
                let at = &self.truth.servers[server];
                if at.down || at.silent || at.apart.get(group) == Some(&true) {
                    return;
                }
                let bytes = Bytes::from(format!("{tag} UP - 0\r\n\r\n"));
                if self.ways.is_some() {
                    self.over(now, connection, server, group, bytes);
                } else if let Some((_, _, out)) = self.connections.get(&connection) {
                    let _ = out.try_send(bytes);
                }
            }
            Event::Opened { connection, server, group, out } => {
                self.second(now).opened += 1;
                if !self.truth.servers[server].down {
                    self.connections.insert(connection, (server, group, out));
                }
            }
            Event::Asked { connection, server, group, asked } => {
                self.asked(now, connection, server, group, *asked)
            }
            Event::Quit { connection, id } => self.truth.quit(connection, Some(id)),
            Event::Closed { connection } => {
                self.connections.remove(&connection);
                self.lately.remove(&connection);
                self.truth.quit(connection, None);
            }
            Event::Nonsense { what } => {
                self.truth.watch.breaks.strange += 1;
                self.truth.watch.words.push(what);
            }
            Event::Watching { router, after, out } => {
                // Told events stay told; what was lost with the last connection is told again.
                self.routers[router].discovery = Some(out);
                self.routers[router].told = self.routers[router].told.min(after as usize);
                if self.lists_late.is_zero() {
                    self.tell_router(router);
                }
            }
            Event::Started { router, life, child } => match child {
                Ok(child) if life == self.routers[router].life => self.routers[router].child = Some(child),
                Ok(child) => self.starter.kill(child),
                Err(what) => {
                    self.tell(what);
                    self.crashed += 1;
                }
            },
            Event::Answered { id, answer } => self.answered(now, id, answer),
            Event::Broke { router, ids, refused } => self.broke(now, router, ids, refused),
        }
    }

    fn asked(&mut self, now: Duration, connection: u64, server: usize, group: usize, asked: Asked) {
        let source = asked.source.as_ref().map(|name| self.names.get(name).copied());
        if source == Some(None) {
            self.truth.watch.breaks.strange += 1;
            return;
        }
        let source = source.flatten();
        let Some(router) = self.truth.watch.comes(now, asked.id, server, source) else { return };
        self.second(now).attempts += 1;
        self.second(now).fills += u64::from(source.is_some());
        let at = &self.truth.servers[server];
        if at.down || at.silent || at.apart.get(group) == Some(&true) {
            return;
        }
        if at.resets > 0.0 && self.chance.f64() < at.resets {
            self.connections.remove(&connection);
            return;
        }
        let fresh = self.play.work.fresh.as_millis() as u64;
        self.truth.ask(
            now,
            server,
            Ask {
                connection,
                router,
                id: asked.id,
                key: asked.key,
                kb: work::size(asked.key.0, self.play.work.kb),
                write: asked.class == "confirm",
                source,
                keep: asked.keep,
                oldest: Duration::from_millis(asked.oldest_ms.unwrap_or(fresh)),
                only_held: asked.only_held,
                parent_keeps: asked.parent_keeps,
            },
        );
        for end in [Some(server), source].into_iter().flatten() {
            let at = &self.truth.servers[end];
            if at.cold(now, self.truth.warmth) {
                self.strain = self.strain.max(self.truth.strain(now, end));
            }
        }
    }

    /// Sends a try of what a client wants to the router that the front has for it.
    fn try_it(&mut self, want: usize) {
        let now = self.now();
        let (arrival, due) = (self.wants[want].arrival, self.wants[want].due);
        let left = due.saturating_sub(now);
        if left < Duration::from_millis(20) {
            return self.failed(want);
        }
        let home = arrival.router;
        let zone = self.routers[home].zone;
        let zones = self.play.fleet.zones;
        let here = (0..self.routers.len()).filter(|r| r % zones == zone && self.routers[*r].up);
        let chosen = if self.routers[home].up {
            Some(home)
        } else {
            let here: Vec<usize> = here.collect();
            (!here.is_empty()).then(|| here[self.chance.usize(..here.len())])
        };
        let Some(router) =
            chosen.filter(|r| self.routers[*r].open < OPEN_MOST * self.routers[*r].links.len())
        else {
            return self.again(want, now, Duration::ZERO);
        };
        self.last_id += 1;
        let id = self.last_id.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let (write, key) = (arrival.write, arrival.key);
        let fields = format!(
            "i={id:016x},d={},o={:016x},piece={},lot={},m={:.1}",
            left.as_millis(),
            key.0,
            key.1,
            key.0 % 256,
            arrival.kb
        );
        let class = if write { "confirm" } else { "page" };
        let body = if write { Bytes::from_static(b"confirmed") } else { Bytes::new() };
        let process = &mut self.routers[router];
        process.turn = (process.turn + 1) % process.links.len();
        if process.links[process.turn].try_send(Request { id, class, fields, body }).is_err() {
            return self.again(want, now, Duration::ZERO);
        }
        process.open += 1;
        self.tries.insert(id, (want, router));
        self.wants[want].tries += 1;
        self.truth.watch.begins(id, Life::new(router, write, key, now, due));
    }

    fn answered(&mut self, now: Duration, id: u64, answer: Answer) {
        let Some((want, router)) = self.tries.remove(&id) else {
            return self.truth.watch.ends(now, id, Final::Wrong);
        };
        self.routers[router].open = self.routers[router].open.saturating_sub(1);
        let write = self.wants[want].arrival.write;
        let key = self.wants[want].arrival.key;
        let end = match &answer {
            // What a write is answered with says nothing of copies.
            Answer::Served(_) if write => Final::Served(key, u64::MAX),
            Answer::Served(Some((key, made))) => Final::Served(*key, *made),
            Answer::Served(None) | Answer::Wrong => Final::Wrong,
            Answer::Rejected(_) => Final::Rejected,
            Answer::Failed => Final::Failed,
        };
        self.truth.watch.ends(now, id, end);
        match answer {
            Answer::Served(_) => self.served(want, now),
            Answer::Rejected(wait) => {
                self.second(now).rejected += 1;
                self.again(want, now, wait.unwrap_or_default());
            }
            Answer::Failed | Answer::Wrong => {
                self.second(now).failed += 1;
                if write { self.failed(want) } else { self.again(want, now, Duration::ZERO) }
            }
        }
    }

    fn served(&mut self, want: usize, now: Duration) {
        let (at, soft, due) = (self.wants[want].arrival.at, self.play.work.soft, self.wants[want].due);
        self.wants[want].done = true;
        let earned = if now <= at + soft {
            1.0
        } else if now <= due {
            LATE_VALUE
        } else {
            0.0
        };
        let _ = self.answers.record(now.saturating_sub(at).as_millis().max(1) as u64);
        self.second(at).earned += earned;
        let zone = self.play.fleet.zones;
        self.kept.earned(self.wants[want].arrival.router % zone, at, earned);
    }

    /// The client has what it will get: nothing.
    fn failed(&mut self, want: usize) {
        self.wants[want].done = true;
    }

    /// The client asks again, if it has the patience.
    fn again(&mut self, want: usize, now: Duration, told: Duration) {
        let (tries, due) = (self.wants[want].tries, self.wants[want].due);
        let heeds = self.wants[want].arrival.heeds;
        let own = BACK_WITHIN.mul_f64(0.2 + 0.8 * self.chance.f64());
        let wait = if heeds && !told.is_zero() { told.mul_f64(1.0 + 0.2 * self.chance.f64()) } else { own };
        if tries > self.play.work.retries || now + wait >= due {
            return self.failed(want);
        }
        self.retries += 1;
        self.after(now + wait, Timer::Again(want));
    }

    fn broke(&mut self, now: Duration, router: usize, ids: Vec<u64>, refused: bool) {
        if refused && self.routers[router].up {
            self.routers[router].up = false;
            self.after(now + FRONT_LOOKS, Timer::Look(router));
        }
        for id in ids {
            let Some((want, at)) = self.tries.remove(&id) else { continue };
            self.routers[at].open = self.routers[at].open.saturating_sub(1);
            // Refused: the router has never taken it. Broken: it has, and owed an answer, if it lives.
            let begun = self.truth.watch.life(id).map_or(now, |life| life.begun);
            if refused || !self.routers[at].owes(begun) {
                self.truth.watch.excuse(id);
            }
            self.truth.watch.ends(now, id, Final::Nothing);
            if self.wants[want].arrival.write && !refused {
                self.failed(want);
            } else {
                self.again(want, now, Duration::ZERO);
            }
        }
    }

    fn timer(&mut self, timer: Timer) {
        let now = self.now();
        match timer {
            Timer::Arrive(n) => {
                let arrival = self.arrivals[n];
                if let Some(next) = self.arrivals.get(n + 1) {
                    self.after(next.at, Timer::Arrive(n + 1));
                }
                self.second(arrival.at).asked += 1.0;
                self.kept.asked(arrival.router % self.play.fleet.zones, arrival.at);
                let due = arrival.at + self.play.work.patience;
                self.wants.push(Want { arrival, due, tries: 0, done: false });
                self.try_it(self.wants.len() - 1);
            }
            Timer::Again(want) => self.try_it(want),
            Timer::Begin(n) => self.begin(n),
            Timer::End(n) => self.ends(n),
            Timer::Step(n, whom) => self.step(n, whom),
            Timer::Beat => {
                let line = Bytes::from(format!("{}\n", self.noted.len()));
                for process in self.routers.iter().filter(|p| p.told == self.noted.len()) {
                    process.discovery.iter().for_each(|discovery| drop(discovery.try_send(line.clone())));
                }
                for router in &mut self.routers {
                    if router.child.as_mut().is_some_and(|child| child.ended().is_some()) {
                        // Nobody asked it to: those that are killed or end by order are taken out before.
                        router.child = None;
                        self.crashed += 1;
                    }
                }
                self.after(now + DISCOVERY_BEAT, Timer::Beat);
            }
            Timer::Look(router) => {
                let listen = self.routers[router].listen;
                if std::net::TcpStream::connect_timeout(&listen, Duration::from_millis(20)).is_ok() {
                    self.routers[router].up = true;
                } else {
                    self.after(now + FRONT_LOOKS, Timer::Look(router));
                }
            }
            Timer::Start(router) => {
                if self.routers[router].child.is_none()
                    && let Err(what) = self.start(router)
                {
                    self.tell(what);
                    self.crashed += 1;
                }
            }
            Timer::Tell(router) => self.tell_router(router),
            Timer::Come(event) => {
                let held = match &*event {
                    Event::Asked { server, group, .. } | Event::Noop { server, group, .. } => {
                        let to = self.place(*server);
                        self.ways.as_ref().is_some_and(|ways| ways.cut[*group][to])
                    }
                    _ => false,
                };
                if held { self.after(now + ways::AGAIN, Timer::Come(event)) } else { self.come(*event) }
            }
            Timer::Say(connection, bytes) => {
                let Some((server, group, out)) = self.connections.get(&connection) else { return };
                let from = self.place(*server);
                if self.ways.as_ref().is_some_and(|ways| ways.cut[from][*group]) {
                    return self.after(now + ways::AGAIN, Timer::Say(connection, bytes));
                }
                let at = &self.truth.servers[*server];
                if !at.down && !at.silent {
                    let _ = out.try_send(bytes);
                }
            }
            Timer::Lie(n) => {
                let Fault { at, lasts, .. } = self.play.faults[n];
                for liar in self.struck.get(&n).cloned().unwrap_or_default() {
                    let zone = self.routers[liar].zone;
                    let peers: Vec<usize> =
                        (0..self.routers.len()).filter(|r| self.routers[*r].zone == zone).collect();
                    self.net.lie(liar, zone, &peers, &mut self.chance);
                }
                if now < at + lasts {
                    self.after(now + Duration::from_millis(250), Timer::Lie(n));
                }
            }
        }
    }

    /// Who is struck, drawn from the seed.
    fn whom(&mut self, whom: Whom) -> Vec<usize> {
        let servers =
            self.truth.servers.iter().enumerate().filter(|(_, s)| s.standing == Standing::Active && !s.down);
        let (all, part): (Vec<usize>, Part) = match whom {
            Whom::Caches(part) => {
                (servers.filter(|(_, s)| matches!(s.tier, Tier::Cache(_))).map(|(n, _)| n).collect(), part)
            }
            Whom::Parents(part) => {
                (servers.filter(|(_, s)| s.tier == Tier::Parent).map(|(n, _)| n).collect(), part)
            }
            Whom::Zone(at) => (
                servers.filter(|(_, s)| s.tier == Tier::Cache(at)).map(|(n, _)| n).collect(),
                Part::Share(1.0),
            ),
            Whom::Routers(part) => {
                ((0..self.routers.len()).filter(|r| self.routers[*r].child.is_some()).collect(), part)
            }
        };
        let mut all = all;
        self.chance.shuffle(&mut all);
        all.truncate(part.of(all.len()));
        all
    }

    fn begin(&mut self, n: usize) {
        let now = self.now();
        let Fault { lasts, what, .. } = self.play.faults[n];
        let struck = match what {
            What::Slow(whom, _)
            | What::Errors(whom)
            | What::Silent(whom)
            | What::Apart(whom, _)
            | What::Resets(whom, _)
            | What::Lose(whom)
            | What::Drain(whom)
            | What::Replace(whom)
            | What::Kill(whom)
            | What::Freeze(whom)
            | What::Restart(whom)
            | What::Reload(whom)
            | What::Deaf(whom)
            | What::Lie(whom) => self.whom(whom),
            What::LoseRegion(region) => {
                let all = 0..self.play.fleet.zones;
                let of: Vec<usize> = all.filter(|at| ways::region(*at, &self.play.fleet) == region).collect();
                of.into_iter().flat_map(|at| self.whom(Whom::Zone(at))).collect()
            }
            _ => Vec::new(),
        };
        self.tell(format!("{what:?}: {} struck", struck.len()));
        self.struck.insert(n, struck.clone());
        match what {
            What::Slow(_, by) => struck.iter().for_each(|s| self.truth.servers[*s].slow = by),
            What::Errors(_) => struck.iter().for_each(|s| self.truth.servers[*s].errors = true),
            What::Silent(_) => struck.iter().for_each(|s| self.truth.servers[*s].silent = true),
            What::Apart(_, of) => {
                let groups = of.of(self.play.fleet.doors());
                for server in struck {
                    self.truth.servers[server].apart[..groups].fill(true);
                }
            }
            What::Resets(_, share) => struck.iter().for_each(|s| self.truth.servers[*s].resets = share),
            What::Lose(_) | What::LoseRegion(_) => {
                for server in &struck {
                    self.truth.lose(now, *server);
                    self.there(*server, false);
                    self.doors[*server].iter().for_each(|door| door.shut());
                }
                let lost: HashSet<usize> = struck.into_iter().collect();
                self.connections.retain(|_, (server, _, _)| !lost.contains(server));
            }
            What::Drain(_) => {
                struck.iter().for_each(|s| self.truth.servers[*s].standing = Standing::Draining);
                struck.iter().for_each(|s| self.there(*s, false));
                self.note(Notice::Servers(struck));
            }
            What::Replace(_) | What::Restart(_) => return self.step(n, struck),
            What::Join(count) => {
                let first = self.spare;
                let joined: Vec<usize> =
                    (0..count).filter_map(|k| self.fresh((first + k) % self.play.fleet.zones)).collect();
                self.note(Notice::Servers(joined));
            }
            What::Kill(_) => {
                for router in struck {
                    if let Some(child) = self.routers[router].child.take() {
                        self.starter.kill(child);
                        self.truth.watch.killed(router);
                        self.routers[router].gone = Some((now, true));
                        self.routers[router].discovery = None;
                        self.after(now + lasts, Timer::Start(router));
                    }
                }
                return;
            }
            What::Freeze(_) => {
                for router in &struck {
                    self.routers[*router].child.iter_mut().for_each(Router::freeze);
                    // What it is sent while it is frozen is not its fault.
                    self.routers[*router].up = false;
                    self.truth.watch.killed(*router);
                }
            }
            What::Reload(_) => {
                struck.iter().for_each(|r| self.routers[*r].child.iter().for_each(Router::reload));
            }
            What::Purge(count) => {
                for place in 0..count {
                    let object = work::object(self.setup.seed, place);
                    let ms = self.truth.purge(now, object);
                    self.note(Notice::Purge(object, ms));
                }
            }
            What::ListsLate(by) => self.lists_late = by,
            What::ListsDoubled => self.lists_doubled = true,
            What::ListsCut => self.lists_cut = true,
            What::Lost(share) => self.weather.send_modify(|w| w.lost = share),
            What::Doubled(share) => self.weather.send_modify(|w| w.doubled = share),
            What::Turned(share) => self.weather.send_modify(|w| w.turned = share),
            What::Late(by) => self.weather.send_modify(|w| w.late = by),
            What::Deaf(_) => self.weather.send_modify(|w| struck.iter().for_each(|r| w.deaf[*r] = true)),
            What::Lie(_) => self.after(now, Timer::Lie(n)),
            What::Hot(_) | What::Shift(..) => {}
            What::WaysSlow(from, to, by) => self.ways(from, to, |ways, a, b| ways.slow[a][b] = by),
            What::WaysCut(from, to) => self.ways(from, to, |ways, a, b| ways.cut[a][b] = true),
            What::WaysLose(from, to, share) => self.ways(from, to, |ways, a, b| ways.lost[a][b] = share),
        }
        if !lasts.is_zero() {
            self.after(now + lasts, Timer::End(n));
        }
    }

    /// Changes ways, for bytes and datagrams.
    fn ways(&mut self, from: Option<usize>, to: Option<usize>, of: impl FnMut(&mut Ways, usize, usize)) {
        let Some(ways) = &mut self.ways else { return };
        ways.each(from, to, of);
        let changed = Rc::new(ways.clone());
        self.weather.send_modify(|weather| weather.ways = Some(changed));
    }

    /// What broke is whole again.
    fn ends(&mut self, n: usize) {
        let now = self.now();
        let struck = self.struck.get(&n).cloned().unwrap_or_default();
        let what = self.play.faults[n].what;
        self.tell(format!("over: {what:?}"));
        match what {
            What::Slow(..) => struck.iter().for_each(|s| self.truth.servers[*s].slow = 1.0),
            What::Errors(_) => struck.iter().for_each(|s| self.truth.servers[*s].errors = false),
            What::Silent(_) => struck.iter().for_each(|s| self.truth.servers[*s].silent = false),
            What::Apart(..) => struck.iter().for_each(|s| self.truth.servers[*s].apart.fill(false)),
            What::Resets(..) => struck.iter().for_each(|s| self.truth.servers[*s].resets = 0.0),
            What::Lose(_) | What::LoseRegion(_) => {
                for server in &struck {
                    self.truth.back(now, *server);
                    self.there(*server, true);
                    self.doors[*server].iter().for_each(|door| door.open_again());
                    self.joined.push((now, *server));
                }
                self.note(Notice::Servers(struck));
            }
            What::Drain(_) => {
                struck.iter().for_each(|s| self.truth.servers[*s].standing = Standing::Active);
                struck.iter().for_each(|s| self.there(*s, true));
                self.note(Notice::Servers(struck));
            }
            What::Freeze(_) => {
                for router in struck {
                    self.routers[router].child.iter_mut().for_each(Router::thaw);
                    self.after(now + FRONT_LOOKS, Timer::Look(router));
                }
            }
            What::ListsLate(_) => {
                self.lists_late = Duration::ZERO;
                (0..self.routers.len()).for_each(|router| self.tell_router(router));
            }
            What::ListsDoubled => self.lists_doubled = false,
            What::ListsCut => self.lists_cut = false,
            What::Lost(_) => self.weather.send_modify(|w| w.lost = 0.0),
            What::Doubled(_) => self.weather.send_modify(|w| w.doubled = 0.0),
            What::Turned(_) => self.weather.send_modify(|w| w.turned = 0.0),
            What::Late(_) => self.weather.send_modify(|w| w.late = Duration::ZERO),
            What::Deaf(_) => self.weather.send_modify(|w| w.deaf.fill(false)),
            What::WaysSlow(from, to, _) => self.ways(from, to, |ways, a, b| ways.slow[a][b] = 1.0),
            What::WaysCut(from, to) => self.ways(from, to, |ways, a, b| ways.cut[a][b] = false),
            What::WaysLose(from, to, _) => self.ways(from, to, |ways, a, b| ways.lost[a][b] = 0.0),
            _ => {}
        }
    }

    fn there(&mut self, server: usize, is: bool) {
        let now = self.now();
        let place = &mut self.places[server];
        if is {
            place.there.push((now, Duration::MAX));
            place.started = self.truth.servers[server].started;
        } else if let Some(last) = place.there.last_mut() {
            last.1 = last.1.min(now);
        }
    }

    /// A new cache of a zone, empty and cold.
    fn fresh(&mut self, zone: usize) -> Option<usize> {
        let now = self.now();
        self.spare += 1;
        let number = self.server(format!("s{}", self.spare), Tier::Cache(zone)).ok()?;
        self.truth.back(now, number);
        let place = &mut self.places[number];
        (place.started, place.there) = (Some(now), vec![(now, Duration::MAX)]);
        self.joined.push((now, number));
        Some(number)
    }

    /// What goes step by step: the next of those that are left, and when the one after.
    fn step(&mut self, n: usize, mut left: Vec<usize>) {
        let now = self.now();
        let Fault { at, lasts, what } = self.play.faults[n];
        let Some(next) = left.pop() else { return };
        match what {
            What::Replace(_) => {
                let Tier::Cache(zone) = self.truth.servers[next].tier else { return };
                self.truth.servers[next].standing = Standing::Draining;
                self.there(next, false);
                let changed = std::iter::once(next).chain(self.fresh(zone)).collect();
                self.note(Notice::Servers(changed));
            }
            What::Restart(_) => {
                // It answers what it has taken and ends; the front asks it no more once its door is closed.
                if let Some(mut child) = self.routers[next].child.take() {
                    child.terminate();
                    self.routers[next].up = false;
                    self.routers[next].gone = Some((now, false));
                    self.routers[next].discovery = None;
                    let waits = Duration::from_millis(900);
                    // Its process is waited for by being dropped when the next one starts.
                    self.ending(child);
                    self.after(now + waits, Timer::Start(next));
                    self.after(now + waits + FRONT_LOOKS, Timer::Look(next));
                }
            }
            _ => {}
        }
        if !left.is_empty() {
            let over = (at + lasts).saturating_sub(now);
            self.after(now + over / (left.len() as u32 + 1), Timer::Step(n, left));
        }
    }

    /// Killed if it has not ended by itself when its successor starts.
    fn ending(&mut self, child: Router) {
        let mut child = child;
        tokio::task::spawn_local(async move {
            let end = Instant::now() + Duration::from_millis(850);
            while child.ended().is_none() && Instant::now() < end {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            child.kill();
        });
    }

    async fn end(&mut self, mailbox: &mut mpsc::Receiver<Event>) {
        let now = self.now();
        self.truth.watch.close(now);
        let ended =
            self.routers.iter_mut().filter_map(|r| r.child.as_mut()).filter_map(Router::ended).count();
        self.crashed += ended;
        for router in &mut self.routers {
            router.child.iter_mut().for_each(|child| child.terminate());
        }
        let end = Instant::now() + Duration::from_millis(1500);
        loop {
            let all =
                self.routers.iter_mut().filter_map(|r| r.child.as_mut()).all(|child| child.ended().is_some());
            if all || Instant::now() > end {
                break;
            }
            while mailbox.try_recv().is_ok() {}
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        self.routers.iter_mut().for_each(|router| router.child = None);
    }

    fn shown(self, datagrams: Carried) -> Shown {
        let (lead, lasts) = (self.play.work.lead, self.play.work.lasts);
        let again = self.play.measured_again();
        let served = |from: Duration, to: Duration| {
            let seconds = &self.seconds[from.as_secs() as usize..to.as_secs() as usize];
            let (asked, earned) = seconds.iter().fold((0.0, 0.0), |(a, e), s| (a + s.asked, e + s.earned));
            if asked > 0.0 { earned / asked } else { 0.0 }
        };
        let five = Duration::from_secs(5).min(lasts.saturating_sub(again).max(Duration::from_secs(1)));
        let sent = &self.truth.sent;
        let mut even = BTreeMap::new();
        even.insert("real", even::measure(sent, &self.places, again, lasts, five));
        even.insert("real_1s", even::measure(sent, &self.places, again, lasts, Duration::from_secs(1)));
        for (name, rule) in [("hash", Rule::Hash), ("two", Rule::LeastOfTwo), ("sees_all", Rule::SeesAll)] {
            let dealt = even::deal(sent, &self.places, rule, again, five);
            even.insert(name, even::measure(&dealt, &self.places, again, lasts, five));
        }
        let herds = self
            .joined
            .iter()
            .filter_map(|(at, server)| even::herd(sent, &self.places, self.places[*server].zone, *at));
        let herds: Vec<f64> = herds.collect();
        let herd = if herds.is_empty() { 1.0 } else { herds.iter().sum::<f64>() / herds.len() as f64 };
        let mut loads = vec![vec![0.0; lasts.as_secs() as usize]; self.places.len()];
        for one in sent.iter().filter(|s| s.at < lasts) {
            let could = self.places[one.server].present(one.at);
            loads[one.server][one.at.as_secs() as usize] += one.work / could.max(1e-9);
        }
        let late = Duration::from_millis(self.late.value_at_quantile(0.99));
        let void = (late > LATE_MOST).then(|| format!("its own turns came {late:?} late"));
        let asks = (self.truth.hits + self.truth.fills).max(1);
        let of_places = self.kept.measure(&self.play, sent, &self.places);
        Shown {
            of_places,
            lasted: lasts,
            seed: self.setup.seed,
            routers: self.routers.len(),
            servers: self.truth.servers.len(),
            service: served(lead, lasts),
            service_after: served(again, lasts),
            even,
            herd,
            breaks: self.truth.watch.breaks,
            words: self.truth.watch.words.clone(),
            loads,
            strain: self.strain,
            hit_share: self.truth.hits as f64 / asks as f64,
            answers_ms: self.answers,
            late_ms: self.late,
            void,
            crashed: self.crashed,
            datagrams,
            events: self.told,
            retries: self.retries,
            measured_from: again,
            places: self.places,
            seconds: self.seconds,
        }
    }
}

fn starter(program: &Program, events: &Events) -> Starter {
    let events = events.clone();
    Starter::new(program.clone(), move |router, life, child| {
        // Where nobody hears of it any more it is dropped, which kills it.
        let _ = events.try_send(Event::Started { router, life, child });
    })
}

/// The settings that all routers of the play are told.
fn settings(play: &Play) -> Value {
    let (fleet, work) = (&play.fleet, &play.work);
    let ms = |span: Duration| span.as_millis() as u64;
    let class = |name: &str, effect: &str, worth: f64| {
        json!({"Name": name, "Effect": effect, "Group": "all", "Window": 5000, "Aim": ms(work.soft),
            "AimStretch": 0,
            "HardLimit": ms(work.patience), "Worth": worth, "LateWorth": LATE_VALUE, "Stream": false})
    };
    let zones = (0..fleet.zones).map(|n| format!("z{n}")).chain(["hub".to_owned()]).collect::<Vec<String>>();
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

/// Whether a folder for logs is there.
///
/// # Errors
/// Of the system, in words.
pub fn logs(folder: &Path) -> Result<(), String> {
    std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))
}
