//! Days of requests through the real decisions and the real store, on a disk in memory, beside two baselines
//! with the same bytes. Simulated: time is counted, and a fill takes none.
//!
//! Popularity falls off as a power (Breslau and others, "Web caching and Zipf-like distributions", INFOCOM
//! 1999) and moves on slowly; two thirds of the objects are pages of one part, one third clips of 8 to 20
//! parts that are asked for one after another; one start in twenty is for something that nobody asks for
//! again. On a day with a scan, in its middle third, half as many requests again are for large parts that are
//! wanted once.

use bytes::Bytes;
use chalkhall::control::Router;
use chalkhall::interface::*;
use chalkhall_store::copy::Copy;
use chalkhall_store::decide::disk::Wanted;
use chalkhall_store::decide::{Part, Place};
use chalkhall_store::stand_ins::{Disk, Driver};
use lru::LruCache;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

const OBJECTS: usize = 3000;
const EXPONENT: f64 = 0.95;
const REQUESTS: usize = 160_000;
/// Requests from this share of the day on count; the scan lasts from one share to another.
const WARM: f64 = 0.4;
const SCAN: [f64; 2] = [0.45, 0.75];
const MEMORY: u64 = 3 << 20;
const DISK: u64 = 32 << 20;
const SEGMENT: u32 = 512 << 10;
const STEP: Duration = Duration::from_millis(5);
const START: u64 = 1_800_000_000_000;
const ONCE: u64 = 1 << 40;
const SCANNED: u64 = 1 << 41;

/// Shares from 0 to 1: of useful requests, and of all bytes, that were answered from own copies.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rates {
    pub useful: f64,
    pub bytes: f64,
}

pub struct Played {
    pub own: Rates,
    pub lru: Rates,
    pub all: Rates,
    /// Bytes written over bytes admitted; live bytes over the disk's.
    pub write_amp: f64,
    pub full: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Request {
    object: u64,
    part: u64,
    bytes: usize,
}

impl Request {
    fn is_useful(self) -> bool {
        self.object < ONCE
    }
}

/// A draw that an object always has alike.
fn draw(object: u64, of: u64) -> f64 {
    fastrand::Rng::with_seed(object.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ of).f64()
}

fn parts_of(object: u64) -> u64 {
    if draw(object, 1) < 0.33 {
        8 + (draw(object, 2) * 13.0) as u64
    } else {
        1
    }
}

fn bytes_of(object: u64, parts: u64) -> usize {
    let (least, most) = if parts > 1 {
        (6_000.0, 24_000.0)
    } else {
        (600.0, 12_000.0)
    };
    (least + (most - least) * draw(object, 3).powi(2)) as usize
}

/// The day's requests in their order. Useful ones are the same with a scan and without.
fn requests(seed: u64, scan: bool) -> Vec<Request> {
    let mut chance = fastrand::Rng::with_seed(seed);
    let mut scanner = fastrand::Rng::with_seed(seed ^ 0x5ca9);
    let weights: Vec<f64> = (1..=OBJECTS)
        .map(|rank| (rank as f64).powf(-EXPONENT))
        .collect();
    let mut sum = 0.0;
    let cumulated: Vec<f64> = weights
        .iter()
        .map(|w| {
            sum += w;
            sum
        })
        .collect();
    let mut ranked: Vec<u64> = (0..OBJECTS as u64).collect();
    let (mut next, mut once) = (OBJECTS as u64, ONCE);
    let mut playing: Vec<(u64, u64, u64)> = Vec::new();
    let mut day = Vec::new();
    let mut useful = 0;
    while useful < REQUESTS {
        if useful % 200 == 0 {
            ranked[chance.usize(..OBJECTS)] = next;
            next += 1;
        }
        // Forty clips play at a time at the most.
        let (object, part, parts) =
            if !playing.is_empty() && (playing.len() >= 40 || chance.f64() < 0.8) {
                let at = chance.usize(..playing.len());
                playing.swap_remove(at)
            } else if chance.u8(..20) == 0 {
                once += 1;
                (once, 0, 1)
            } else {
                let at = chance.f64() * sum;
                let object = ranked[cumulated.partition_point(|c| *c < at).min(OBJECTS - 1)];
                (object, 0, parts_of(object))
            };
        // One viewer in twelve leaves at each part.
        if part + 1 < parts && chance.u8(..12) != 0 {
            playing.push((object, part + 1, parts));
        }
        day.push(Request {
            object,
            part,
            bytes: bytes_of(object, parts),
        });
        let share = useful as f64 / REQUESTS as f64;
        if scan && (SCAN[0]..SCAN[1]).contains(&share) && scanner.bool() {
            let object = SCANNED + day.len() as u64;
            day.push(Request {
                object,
                part: 0,
                bytes: 60_000 + scanner.usize(..60_000),
            });
        }
        useful += 1;
    }
    day
}

#[derive(Default)]
struct Tally {
    useful: (u64, u64),
    bytes: (u64, u64),
}

impl Tally {
    fn note(&mut self, request: Request, hit: bool) {
        if request.is_useful() {
            self.useful.0 += u64::from(hit);
            self.useful.1 += 1;
        }
        self.bytes.0 += if hit { request.bytes as u64 } else { 0 };
        self.bytes.1 += request.bytes as u64;
    }

    fn rates(&self) -> Rates {
        let share = |(of, all): (u64, u64)| of as f64 / all.max(1) as f64;
        Rates {
            useful: share(self.useful),
            bytes: share(self.bytes),
        }
    }
}

fn name(object: u64) -> String {
    format!("{object:016x}")
}

fn copy_of(request: Request, made: u64, body: &Bytes) -> Copy {
    Copy {
        object: name(request.object).into(),
        part: request.part,
        group: 0,
        class: Bytes::from_static(b"clip"),
        made,
        kb: request.bytes as f64 / 1000.0,
        in_parts: true,
        tag: Bytes::from_static(b"4be0c1927d55a6f3"),
        body: body.slice(..request.bytes),
        ..Copy::default()
    }
}

fn wanted(admit_all: bool) -> Wanted {
    Wanted {
        bytes: DISK,
        segment: SEGMENT,
        index: 4 << 20,
        scrub: 0,
        least_fresh: Duration::ZERO,
        admit_all,
        ..Wanted::default()
    }
}

/// What the decisions act through: own copies by the store, servers that always answer.
struct World {
    driver: Driver,
    body: Bytes,
    request: Request,
    attempted: usize,
    ends: VecDeque<(usize, Outcome, Remark)>,
    wakes: Vec<(Duration, u64)>,
    hit: bool,
    ended: bool,
}

impl Outlet for World {
    fn attempt(&mut self, _request: &Id, server: &Id, _limit: Duration, _fill: &Fill) {
        let own = server.starts_with('m');
        let found = own.then(|| {
            let object = name(self.request.object);
            let part = Part {
                object: object.as_bytes(),
                part: self.request.part,
                group: 0,
            };
            self.driver.get(part).is_some()
        });
        let (outcome, remark) = match found {
            Some(true) => (Outcome::Served, Remark::Hit),
            Some(false) => (Outcome::Missing, Remark::None),
            None => (Outcome::Served, Remark::Filled),
        };
        self.hit = found == Some(true);
        self.ends.push_back((self.attempted, outcome, remark));
        self.attempted += 1;
    }
    fn reject(&mut self, _request: &Id, _advice: Option<Duration>) {
        self.ended = true;
    }
    fn fail(&mut self, _request: &Id) {
        self.ended = true;
    }
    fn cancel(&mut self, _request: &Id, _attempt: usize) {}
    fn wake_at(&mut self, at: Duration, mark: u64) {
        self.wakes.push((at, mark));
    }
    fn watch_list(&mut self) {}
    fn held(&mut self, _request: &Id) -> Option<Held> {
        let object = name(self.request.object);
        let part = Part {
            object: object.as_bytes(),
            part: self.request.part,
            group: 0,
        };
        let found = self.driver.store.find(part, None)?;
        let age = Duration::from_millis(self.driver.unix_ms() - found.made);
        let place = if found.place == Place::Memory {
            "m1"
        } else {
            "m2"
        };
        Some(Held {
            place: place.into(),
            made: self.driver.now - age,
            same: false,
        })
    }
    fn keep(&mut self, _request: &Id, rank: u8) {
        if self.hit {
            let object = name(self.request.object);
            self.driver.store.rank(
                Part {
                    object: object.as_bytes(),
                    part: self.request.part,
                    group: 0,
                },
                rank,
            );
        } else {
            let copy = copy_of(self.request, self.driver.unix_ms(), &self.body);
            self.driver.keep(copy, rank);
        }
    }
}

/// A cache, a parent, the origin, and own copies in memory (`m1`) and on disk (`m2`).
pub fn members() -> Vec<Member> {
    let member = |(server, tier): (&str, Tier)| {
        let capacity = if tier == Tier::Own {
            f64::INFINITY
        } else {
            8.0
        };
        Member {
            server: server.into(),
            tier,
            capacity,
            ..Member::default()
        }
    };
    let own = [("m1", Tier::Own), ("m2", Tier::Own)];
    [
        ("c1", Tier::Cache),
        ("p1", Tier::Parent),
        ("o1", Tier::Origin),
    ]
    .into_iter()
    .chain(own)
    .map(member)
    .collect()
}

pub fn deployment() -> Deployment {
    let cold = ColdStart::default();
    Deployment {
        number: 0,
        seed: 1,
        routers: 1,
        zone: 0,
        routers_at: vec![1],
        hub_of: vec![0],
        classes: vec![Class {
            window: Duration::from_secs(2),
            soft_deadline: Duration::from_secs(2),
            soft_stretch: 2.0,
            deadline: Duration::from_secs(5),
            value: 1.0,
            late_value: 0.2,
            cacheable: true,
            in_parts: true,
            ..Class::default()
        }],
        tick: Duration::from_millis(2),
        client_kb_per_s: 10_000.0,
        max_attempts: 8,
        may_cancel: true,
        cold_cache: cold,
        cold_parent: cold,
        drain_grace: Duration::from_millis(500),
        purge_grace: Duration::from_millis(500),
        purge_done: Duration::from_secs(6),
        pass_through: true,
        ..Deployment::default()
    }
}

fn own(day: &[Request], body: &Bytes) -> (Rates, f64, f64) {
    let driver = Driver::start(Arc::new(Disk::new()), MEMORY, wanted(false), START);
    let request = day[0];
    let (ends, wakes, body) = (VecDeque::new(), Vec::new(), body.clone());
    let mut world = World {
        driver,
        body,
        request,
        attempted: 0,
        ends,
        wakes,
        hit: false,
        ended: false,
    };
    let mut router = Router::start(world.driver.now, &deployment(), &mut world);
    router.list(world.driver.now, ListKind::Whole, &members(), &mut world);
    let mut tally = Tally::default();
    for (n, request) in day.iter().enumerate() {
        world.driver.now += STEP;
        let now = world.driver.now;
        if n % 10 == 0 {
            world.driver.store.tick(now, &mut world.driver.orders);
            world.driver.settle();
        }
        (world.request, world.attempted, world.hit, world.ended) = (*request, 0, false, false);
        let id: Id = n.to_string().into();
        let arrival = Arrival {
            id: id.clone(),
            object: name(request.object).into(),
            part: request.part,
            kb: request.bytes as f64 / 1000.0,
            left: Duration::from_secs(5),
            ..Arrival::default()
        };
        router.request(now, arrival, &mut world);
        while let Some((attempt, outcome, remark)) = world.ends.pop_front() {
            // What it costs to fetch an object: its source is near or far.
            let wait = Duration::from_secs_f64(0.01 + 0.05 * draw(request.object, 4));
            let first_byte = (remark == Remark::Filled).then_some(wait);
            let over = outcome == Outcome::Served;
            let took = Duration::from_millis(1);
            let ended = Ended {
                outcome,
                remark,
                took,
                first_byte,
                over,
                load: Load::default(),
            };
            router.result(now, &id, attempt, &ended, &mut world);
        }
        assert!(!world.ended, "a request was rejected");
        // Timers are of requests long over: what they would do is nothing.
        world.wakes.clear();
        if n as f64 >= WARM * day.len() as f64 {
            tally.note(*request, world.hit);
        }
    }
    let disk = world.driver.store.disk().expect("it has a disk");
    let (counts, (_, live)) = (disk.counts(), disk.segments().bytes());
    let amp = counts.written_bytes as f64 / counts.admitted_bytes.max(1) as f64;
    (tally.rates(), amp, live as f64 / DISK as f64)
}

/// All that comes is kept, at one rank, in the same store.
fn all(day: &[Request], body: &Bytes) -> Rates {
    let mut driver = Driver::start(Arc::new(Disk::new()), MEMORY, wanted(true), START);
    let mut tally = Tally::default();
    for (n, request) in day.iter().enumerate() {
        driver.now += STEP;
        if n % 10 == 0 {
            driver.store.tick(driver.now, &mut driver.orders);
            driver.settle();
        }
        let object = name(request.object);
        let hit = driver
            .get(Part {
                object: object.as_bytes(),
                part: request.part,
                group: 0,
            })
            .is_some();
        if !hit {
            let copy = copy_of(*request, driver.unix_ms(), body);
            driver.keep(copy, 1);
        }
        if n as f64 >= WARM * day.len() as f64 {
            tally.note(*request, hit);
        }
    }
    tally.rates()
}

/// Least recently used, by bodies alone: no overhead is counted against it.
fn lru(day: &[Request]) -> Rates {
    let mut held: LruCache<(u64, u64), usize> = LruCache::unbounded();
    let (mut bytes, mut tally) = (0, Tally::default());
    for (n, request) in day.iter().enumerate() {
        let key = (request.object, request.part);
        let hit = held.get(&key).is_some();
        if !hit {
            held.put(key, request.bytes);
            bytes += request.bytes;
            while bytes as u64 > MEMORY + DISK {
                bytes -= held.pop_lru().map_or(0, |(_, gone)| gone);
            }
        }
        if n as f64 >= WARM * day.len() as f64 {
            tally.note(*request, hit);
        }
    }
    tally.rates()
}

pub fn play(seed: u64, scan: bool) -> Played {
    let day = requests(seed, scan);
    let distinct: HashMap<(u64, u64), usize> =
        day.iter().map(|a| ((a.object, a.part), a.bytes)).collect();
    let all_bytes: usize = distinct.values().sum();
    println!(
        "day {}: {} requests, {} parts, {} MB",
        if scan { "with a scan" } else { "without" },
        day.len(),
        distinct.len(),
        all_bytes >> 20
    );
    let body = Bytes::from(vec![7; 200_000]);
    let (ours, write_amp, full) = own(&day, &body);
    let (lru, all) = (lru(&day), all(&day, &body));
    println!(
        "  own {ours:.4?} lru {lru:.4?} all {all:.4?} written/admitted {write_amp:.3} full {full:.3}"
    );
    Played {
        own: ours,
        lru,
        all,
        write_amp,
        full,
    }
}
