//! Simulated days of requests through the router's decisions and the store, on an in-memory disk, next to two
//! baselines of the same capacity. Time is simulated, and a fill takes none.
//!
//! Popularity follows a power law (Breslau and others, "Web caching and Zipf-like distributions", INFOCOM 1999)
//! and shifts slowly. Two thirds of the objects are pages of one part; one third are clips of 8 to 20 parts that
//! are requested one after another. One start in twenty is for an object that is never requested again. On a day
//! with a scan, half as many requests again arrive during its middle third, each for a large part that is
//! requested only once.

use bytes::Bytes;
use chalkhall::control::Router;
use chalkhall::interface::*;
use chalkhall_store::copy::Copy;
use chalkhall_store::decide::disk::DiskSettings;
use chalkhall_store::decide::{CacheTier, Part};
use chalkhall_store::stand_ins::{Disk, Driver};
use lru::LruCache;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

const OBJECTS: usize = 3000;
const ZIPF_EXPONENT: f64 = 0.95;
const REQUESTS: usize = 160_000;
/// Share of the day's requests that warms the caches and is not counted.
const WARMUP_SHARE: f64 = 0.4;
/// The scan's start and end, as shares of the day.
const SCAN_SPAN: [f64; 2] = [0.45, 0.75];
const MEMORY_BYTES: u64 = 3 << 20;
const DISK_BYTES: u64 = 32 << 20;
const SEGMENT_BYTES: u32 = 512 << 10;
const REQUEST_INTERVAL: Duration = Duration::from_millis(5);
const START_UNIX_MS: u64 = 1_800_000_000_000;
/// Objects with ids from here on are requested only once.
const FIRST_ONE_OFF_ID: u64 = 1 << 40;
/// Objects of a scan have ids from here on.
const FIRST_SCANNED_ID: u64 = 1 << 41;

/// Hit ratios: of the useful requests, which are those outside of scans for objects that may be requested again, and
/// of all bytes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rates {
    pub useful: f64,
    pub bytes: f64,
}

pub struct DayOutcome {
    pub local_cache: Rates,
    pub lru: Rates,
    pub all: Rates,
    /// Bytes written over bytes admitted.
    pub write_amp: f64,
    /// Live bytes over the disk's capacity.
    pub disk_utilization: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Request {
    object: u64,
    part: u64,
    bytes: usize,
}

impl Request {
    fn is_useful(self) -> bool {
        self.object < FIRST_ONE_OFF_ID
    }
}

/// A random number from 0 to 1 that depends only on the object and on what it is for.
fn random_share(object: u64, salt: u64) -> f64 {
    fastrand::Rng::with_seed(object.wrapping_mul(0x9E37_79B9_7F4A_7C15) ^ salt).f64()
}

fn part_count(object: u64) -> u64 {
    if random_share(object, 1) < 0.33 {
        8 + (random_share(object, 2) * 13.0) as u64
    } else {
        1
    }
}

fn part_bytes(object: u64, parts: u64) -> usize {
    let (smallest, largest) = if parts > 1 {
        (6_000.0, 24_000.0)
    } else {
        (600.0, 12_000.0)
    };
    (smallest + (largest - smallest) * random_share(object, 3).powi(2)) as usize
}

/// The day's requests, in order. The useful ones are the same with and without a scan.
fn requests(seed: u64, scan: bool) -> Vec<Request> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut scan_rng = fastrand::Rng::with_seed(seed ^ 0x5ca9);
    let weights: Vec<f64> = (1..=OBJECTS)
        .map(|rank| (rank as f64).powf(-ZIPF_EXPONENT))
        .collect();
    let mut sum = 0.0;
    let cumulative_weights: Vec<f64> = weights
        .iter()
        .map(|w| {
            sum += w;
            sum
        })
        .collect();
    let mut by_popularity: Vec<u64> = (0..OBJECTS as u64).collect();
    let (mut next_object, mut one_off) = (OBJECTS as u64, FIRST_ONE_OFF_ID);
    let mut playing_clips: Vec<(u64, u64, u64)> = Vec::new();
    let mut day = Vec::new();
    let mut useful = 0;
    while useful < REQUESTS {
        if useful % 200 == 0 {
            by_popularity[rng.usize(..OBJECTS)] = next_object;
            next_object += 1;
        }
        // At most 40 clips play at the same time.
        let (object, part, parts) =
            if !playing_clips.is_empty() && (playing_clips.len() >= 40 || rng.f64() < 0.8) {
                let at = rng.usize(..playing_clips.len());
                playing_clips.swap_remove(at)
            } else if rng.u8(..20) == 0 {
                one_off += 1;
                (one_off, 0, 1)
            } else {
                let at = rng.f64() * sum;
                let object = by_popularity[cumulative_weights
                    .partition_point(|c| *c < at)
                    .min(OBJECTS - 1)];
                (object, 0, part_count(object))
            };
        // After each part, one viewer in twelve leaves.
        if part + 1 < parts && rng.u8(..12) != 0 {
            playing_clips.push((object, part + 1, parts));
        }
        day.push(Request {
            object,
            part,
            bytes: part_bytes(object, parts),
        });
        let share = useful as f64 / REQUESTS as f64;
        if scan && (SCAN_SPAN[0]..SCAN_SPAN[1]).contains(&share) && scan_rng.bool() {
            let object = FIRST_SCANNED_ID + day.len() as u64;
            day.push(Request {
                object,
                part: 0,
                bytes: 60_000 + scan_rng.usize(..60_000),
            });
        }
        useful += 1;
    }
    day
}

#[derive(Default)]
struct Tally {
    /// Hits and requests.
    useful: (u64, u64),
    /// Bytes of hits and of all requests.
    bytes: (u64, u64),
}

impl Tally {
    fn record(&mut self, request: Request, hit: bool) {
        if request.is_useful() {
            self.useful.0 += u64::from(hit);
            self.useful.1 += 1;
        }
        self.bytes.0 += if hit { request.bytes as u64 } else { 0 };
        self.bytes.1 += request.bytes as u64;
    }

    fn rates(&self) -> Rates {
        let share = |(hits, all): (u64, u64)| hits as f64 / all.max(1) as f64;
        Rates {
            useful: share(self.useful),
            bytes: share(self.bytes),
        }
    }
}

fn object_name(object: u64) -> String {
    format!("{object:016x}")
}

fn make_copy(request: Request, created_at_ms: u64, body: &Bytes) -> Copy {
    Copy {
        object: object_name(request.object).into(),
        part: request.part,
        group: 0,
        class: Bytes::from_static(b"clip"),
        created_at_ms,
        kb: request.bytes as f64 / 1000.0,
        is_multipart: true,
        etag: Bytes::from_static(b"4be0c1927d55a6f3"),
        body: body.slice(..request.bytes),
        ..Copy::default()
    }
}

fn disk_settings(admit_all: bool) -> DiskSettings {
    DiskSettings {
        bytes: DISK_BYTES,
        segment: SEGMENT_BYTES,
        index: 4 << 20,
        scrub: 0,
        min_freshness: Duration::ZERO,
        admit_all,
        ..DiskSettings::default()
    }
}

/// The surroundings of the router's decisions: a local cache kept by the store, and servers that always answer.
struct Environment {
    driver: Driver,
    body: Bytes,
    request: Request,
    attempts: usize,
    finished_attempts: VecDeque<(usize, Outcome, Remark)>,
    timers: Vec<(Duration, u64)>,
    hit: bool,
    failed: bool,
}

impl ActionSink for Environment {
    fn attempt(&mut self, _request: &Id, server: &Id, _limits: AttemptLimits, _fill: &Fill) {
        let is_local = server.starts_with('m');
        let found = is_local.then(|| {
            let object = object_name(self.request.object);
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
        self.finished_attempts
            .push_back((self.attempts, outcome, remark));
        self.attempts += 1;
    }
    fn reject(&mut self, _request: &Id, _retry_after: Option<Duration>) {
        self.failed = true;
    }
    fn fail(&mut self, _request: &Id) {
        self.failed = true;
    }
    fn cancel(&mut self, _request: &Id, _attempt: usize) {}
    fn set_timer(&mut self, at: Duration, timer_id: u64) {
        self.timers.push((at, timer_id));
    }
    fn subscribe_list(&mut self) {}
    fn local_copy(&mut self, _request: &Id) -> Option<LocalCopy> {
        let object = object_name(self.request.object);
        let part = Part {
            object: object.as_bytes(),
            part: self.request.part,
            group: 0,
        };
        let found = self.driver.store.find(part, None)?;
        let age = Duration::from_millis(self.driver.unix_ms() - found.created_at_ms);
        let place = if found.tier == CacheTier::Memory {
            "m1"
        } else {
            "m2"
        };
        Some(LocalCopy {
            cache: place.into(),
            created_at: self.driver.now - age,
            client_has_it: false,
        })
    }
    fn keep_local_copy(&mut self, _request: &Id, rank: u8) {
        if self.hit {
            let object = object_name(self.request.object);
            self.driver.store.set_rank(
                Part {
                    object: object.as_bytes(),
                    part: self.request.part,
                    group: 0,
                },
                rank,
            );
        } else {
            let copy = make_copy(self.request, self.driver.unix_ms(), &self.body);
            self.driver.keep(copy, rank);
        }
    }
}

/// A cache server, a parent, the origin, and the local cache's memory tier (`m1`) and disk tier (`m2`).
pub fn members() -> Vec<Member> {
    let member = |(server, tier): (&str, Tier)| {
        let capacity = if tier == Tier::Local {
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
    let local = [("m1", Tier::Local), ("m2", Tier::Local)];
    [
        ("c1", Tier::Cache),
        ("p1", Tier::Parent),
        ("o1", Tier::Origin),
    ]
    .into_iter()
    .chain(local)
    .map(member)
    .collect()
}

pub fn deployment() -> Deployment {
    let cold = SlowStartSettings::default();
    Deployment {
        router_index: 0,
        seed: 1,
        routers: 1,
        zone: 0,
        routers_per_zone: vec![1],
        hub_by_zone: vec![0],
        classes: vec![Class {
            dedup_window: Duration::from_secs(2),
            soft_deadline: Duration::from_secs(2),
            soft_deadline_multiple: 2.0,
            deadline: Duration::from_secs(5),
            value: 1.0,
            late_value: 0.2,
            cacheable: true,
            in_parts: true,
            ..Class::default()
        }],
        min_call_interval: Duration::from_millis(2),
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

fn simulate_store(day: &[Request], body: &Bytes) -> (Rates, f64, f64) {
    let driver = Driver::start(
        Arc::new(Disk::new()),
        MEMORY_BYTES,
        disk_settings(false),
        START_UNIX_MS,
    );
    let request = day[0];
    let (finished_attempts, timers, body) = (VecDeque::new(), Vec::new(), body.clone());
    let mut environment = Environment {
        driver,
        body,
        request,
        attempts: 0,
        finished_attempts,
        timers,
        hit: false,
        failed: false,
    };
    let mut router = Router::start(environment.driver.now, &deployment(), &mut environment);
    router.update_list(
        environment.driver.now,
        ListKind::Snapshot,
        &members(),
        &mut environment,
    );
    let mut tally = Tally::default();
    for (n, request) in day.iter().enumerate() {
        environment.driver.now += REQUEST_INTERVAL;
        let now = environment.driver.now;
        if n % 10 == 0 {
            environment
                .driver
                .store
                .tick(now, &mut environment.driver.backend);
            environment.driver.settle();
        }
        (
            environment.request,
            environment.attempts,
            environment.hit,
            environment.failed,
        ) = (*request, 0, false, false);
        let id: Id = n.to_string().into();
        let arrival = IncomingRequest {
            id: id.clone(),
            object: object_name(request.object).into(),
            part: request.part,
            kb: request.bytes as f64 / 1000.0,
            time_left: Duration::from_secs(5),
            ..IncomingRequest::default()
        };
        router.confirm_discovery(now);
        router.request(now, arrival, &mut environment);
        while let Some((attempt, outcome, remark)) = environment.finished_attempts.pop_front() {
            // The cost of a fill differs by object, from near sources to far ones.
            let wait = Duration::from_secs_f64(0.01 + 0.05 * random_share(request.object, 4));
            let first_byte = (remark == Remark::Filled).then_some(wait);
            let is_complete = outcome == Outcome::Served;
            let duration = Duration::from_millis(1);
            let ended = AttemptResult {
                outcome,
                remark,
                duration,
                first_byte,
                is_complete,
                load: Load::default(),
            };
            router.attempt_ended(now, &id, attempt, &ended, &mut environment);
        }
        assert!(!environment.failed, "a request was rejected or failed");
        // All timers belong to requests that have ended, so that they have no effect.
        environment.timers.clear();
        if n as f64 >= WARMUP_SHARE * day.len() as f64 {
            tally.record(*request, environment.hit);
        }
    }
    let disk = environment.driver.store.disk().expect("it has a disk");
    let (counts, (_, live)) = (disk.counts(), disk.segments().bytes());
    let write_amp = counts.written_bytes as f64 / counts.admitted_bytes.max(1) as f64;
    (tally.rates(), write_amp, live as f64 / DISK_BYTES as f64)
}

/// Baseline: the same store admits every copy, all with the same retention priority.
fn simulate_admit_all(day: &[Request], body: &Bytes) -> Rates {
    let mut driver = Driver::start(
        Arc::new(Disk::new()),
        MEMORY_BYTES,
        disk_settings(true),
        START_UNIX_MS,
    );
    let mut tally = Tally::default();
    for (n, request) in day.iter().enumerate() {
        driver.now += REQUEST_INTERVAL;
        if n % 10 == 0 {
            driver.store.tick(driver.now, &mut driver.backend);
            driver.settle();
        }
        let object = object_name(request.object);
        let hit = driver
            .get(Part {
                object: object.as_bytes(),
                part: request.part,
                group: 0,
            })
            .is_some();
        if !hit {
            let copy = make_copy(*request, driver.unix_ms(), body);
            driver.keep(copy, 1);
        }
        if n as f64 >= WARMUP_SHARE * day.len() as f64 {
            tally.record(*request, hit);
        }
    }
    tally.rates()
}

/// Baseline: least recently used. Only bodies count towards its capacity, no overhead.
fn simulate_lru(day: &[Request]) -> Rates {
    let mut held: LruCache<(u64, u64), usize> = LruCache::unbounded();
    let (mut bytes, mut tally) = (0, Tally::default());
    for (n, request) in day.iter().enumerate() {
        let key = (request.object, request.part);
        let hit = held.get(&key).is_some();
        if !hit {
            held.put(key, request.bytes);
            bytes += request.bytes;
            while bytes as u64 > MEMORY_BYTES + DISK_BYTES {
                bytes -= held.pop_lru().map_or(0, |(_, evicted_bytes)| evicted_bytes);
            }
        }
        if n as f64 >= WARMUP_SHARE * day.len() as f64 {
            tally.record(*request, hit);
        }
    }
    tally.rates()
}

pub fn simulate(seed: u64, scan: bool) -> DayOutcome {
    let day = requests(seed, scan);
    let distinct_parts: HashMap<(u64, u64), usize> =
        day.iter().map(|a| ((a.object, a.part), a.bytes)).collect();
    let all_bytes: usize = distinct_parts.values().sum();
    println!(
        "day {}: {} requests, {} parts, {} MB",
        if scan { "with a scan" } else { "without" },
        day.len(),
        distinct_parts.len(),
        all_bytes >> 20
    );
    let body = Bytes::from(vec![7; 200_000]);
    let (store_rates, write_amp, disk_utilization) = simulate_store(&day, &body);
    let (lru, all) = (simulate_lru(&day), simulate_admit_all(&day, &body));
    println!(
        "  own {store_rates:.4?} lru {lru:.4?} all {all:.4?} written/admitted {write_amp:.3} full {disk_utilization:.3}"
    );
    DayOutcome {
        local_cache: store_rates,
        lru,
        all,
        write_amp,
        disk_utilization,
    }
}
