//! A play, played: one task, the world, owns what is true and hears from every connection; the routers are
//! processes. One thread does all of it, so the run says how late its own turns came, and is void where they
//! came too late.

mod asking;
mod faults;
mod opening;
mod shown;
mod telling;

use crate::children::{self, Program, Router, Starter};
use crate::even::{self, Place};
use crate::net::{Carried, Net, Weather};
use crate::places::{Kept, Places};
use crate::play::{Fault, Play};
use crate::truth::{Ask, Said, Standing, Tier, Truth, Word};
use crate::watch::Breaks;
use crate::ways::{self, Ways};
use crate::wire::{self, Asked, Door, Event, Events, Request};
use crate::work::{self, Arrival};
use bytes::Bytes;
use hdrhistogram::Histogram;
use opening::Dir;
use serde_json::Value;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
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
        self.datagrams.bytes as f64
            / self.routers.max(1) as f64
            / self.lasted.as_secs_f64().max(1.0)
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

impl World {
    fn now(&self) -> Duration {
        self.began.elapsed()
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

    // What happens.

    async fn run(&mut self, mailbox: &mut mpsc::Receiver<Event>) {
        // The play's time begins now; servers that have run for long have run for longer.
        let shift = self.now();
        self.began = Instant::now();
        self.truth.restart(shift);
        self.noted
            .iter_mut()
            .for_each(|noted| noted.at = Duration::ZERO);
        let faults = self.play.faults.clone();
        faults
            .iter()
            .enumerate()
            .for_each(|(n, fault)| self.after(fault.at, Timer::Begin(n)));
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
            while let Some(Reverse((at, number))) = self
                .timers
                .peek()
                .copied()
                .filter(|Reverse((at, _))| *at <= now)
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
            let next = timer
                .into_iter()
                .chain(self.truth.next())
                .chain([end])
                .min()
                .unwrap_or(end);
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
            let Some((server, group, out)) = self.connections.get(&said.connection) else {
                continue;
            };
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
        if let Tier::Cache(at) = self.truth.servers[server].tier {
            at
        } else {
            self.play.fleet.zones
        }
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
        let fields = if fields.is_empty() {
            "-".to_owned()
        } else {
            fields.join(",")
        };
        let kb = work::size(said.key.0, self.play.work.kb);
        let body = if ok {
            wire::body(said.key, said.made, kb)
        } else {
            Vec::new()
        };
        let head = format!(
            "{:016x} {} {fields} {}\r\n",
            said.id,
            said.word.text(),
            body.len()
        );
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
            Event::Asked {
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
            Event::Noop {
                connection,
                server,
                group,
                tag,
            } => {
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
            Event::Opened {
                connection,
                server,
                group,
                out,
            } => {
                self.second(now).opened += 1;
                if !self.truth.servers[server].down {
                    self.connections.insert(connection, (server, group, out));
                }
            }
            Event::Asked {
                connection,
                server,
                group,
                asked,
            } => self.asked(now, connection, server, group, *asked),
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
            Event::Started {
                router,
                life,
                child,
            } => match child {
                Ok(child) if life == self.routers[router].life => {
                    self.routers[router].child = Some(child)
                }
                Ok(child) => self.starter.kill(child),
                Err(what) => {
                    self.tell(what);
                    self.crashed += 1;
                }
            },
            Event::Answered { id, answer } => self.answered(now, id, answer),
            Event::Broke {
                router,
                ids,
                refused,
            } => self.broke(now, router, ids, refused),
        }
    }

    fn asked(&mut self, now: Duration, connection: u64, server: usize, group: usize, asked: Asked) {
        let source = asked
            .source
            .as_ref()
            .map(|name| self.names.get(name).copied());
        if source == Some(None) {
            self.truth.watch.breaks.strange += 1;
            return;
        }
        let source = source.flatten();
        let Some(router) = self.truth.watch.comes(now, asked.id, server, source) else {
            return;
        };
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

    fn timer(&mut self, timer: Timer) {
        let now = self.now();
        match timer {
            Timer::Arrive(n) => {
                let arrival = self.arrivals[n];
                if let Some(next) = self.arrivals.get(n + 1) {
                    self.after(next.at, Timer::Arrive(n + 1));
                }
                self.second(arrival.at).asked += 1.0;
                self.kept
                    .asked(arrival.router % self.play.fleet.zones, arrival.at);
                let due = arrival.at + self.play.work.patience;
                self.wants.push(Want {
                    arrival,
                    due,
                    tries: 0,
                    done: false,
                });
                self.try_it(self.wants.len() - 1);
            }
            Timer::Again(want) => self.try_it(want),
            Timer::Begin(n) => self.begin(n),
            Timer::End(n) => self.ends(n),
            Timer::Step(n, whom) => self.step(n, whom),
            Timer::Beat => {
                let line = Bytes::from(format!("{}\n", self.noted.len()));
                for process in self.routers.iter().filter(|p| p.told == self.noted.len()) {
                    process
                        .discovery
                        .iter()
                        .for_each(|discovery| drop(discovery.try_send(line.clone())));
                }
                for router in &mut self.routers {
                    if router
                        .child
                        .as_mut()
                        .is_some_and(|child| child.ended().is_some())
                    {
                        // Nobody asked it to: those that are killed or end by order are taken out before.
                        router.child = None;
                        self.crashed += 1;
                    }
                }
                self.after(now + DISCOVERY_BEAT, Timer::Beat);
            }
            Timer::Look(router) => {
                let listen = self.routers[router].listen;
                if std::net::TcpStream::connect_timeout(&listen, Duration::from_millis(20)).is_ok()
                {
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
                if held {
                    self.after(now + ways::AGAIN, Timer::Come(event))
                } else {
                    self.come(*event)
                }
            }
            Timer::Say(connection, bytes) => {
                let Some((server, group, out)) = self.connections.get(&connection) else {
                    return;
                };
                let from = self.place(*server);
                if self
                    .ways
                    .as_ref()
                    .is_some_and(|ways| ways.cut[from][*group])
                {
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
                    let peers: Vec<usize> = (0..self.routers.len())
                        .filter(|r| self.routers[*r].zone == zone)
                        .collect();
                    self.net.lie(liar, zone, &peers, &mut self.chance);
                }
                if now < at + lasts {
                    self.after(now + Duration::from_millis(250), Timer::Lie(n));
                }
            }
        }
    }

    async fn end(&mut self, mailbox: &mut mpsc::Receiver<Event>) {
        let now = self.now();
        self.truth.watch.close(now);
        let ended = self
            .routers
            .iter_mut()
            .filter_map(|r| r.child.as_mut())
            .filter_map(Router::ended)
            .count();
        self.crashed += ended;
        for router in &mut self.routers {
            router.child.iter_mut().for_each(|child| child.terminate());
        }
        let end = Instant::now() + Duration::from_millis(1500);
        loop {
            let all = self
                .routers
                .iter_mut()
                .filter_map(|r| r.child.as_mut())
                .all(|child| child.ended().is_some());
            if all || Instant::now() > end {
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

/// Whether a folder for logs is there.
///
/// # Errors
/// Of the system, in words.
pub fn logs(folder: &Path) -> Result<(), String> {
    std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))
}
