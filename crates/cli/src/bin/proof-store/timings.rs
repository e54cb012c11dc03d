//! Ratios of durations. Both durations of a ratio are measured in the same run, close to one another.

use crate::day;
use bytes::Bytes;
use chalkhall::control::Router;
use chalkhall::interface::*;
use chalkhall_cli::store_driver::StoreDriver;
use chalkhall_store::copy::Copy;
use chalkhall_store::decide::disk::DiskSettings;
use chalkhall_store::decide::{CacheTier, Part};
use chalkhall_store::files::Files;
use chalkhall_store::stand_ins::{Disk, TestPart};
use hdrhistogram::Histogram;
use std::fs::File;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

const STORE_TIMEOUT: Duration = Duration::from_secs(60);

fn disk_settings(bytes: u64) -> DiskSettings {
    DiskSettings {
        bytes,
        index: 64 << 20,
        min_freshness: Duration::ZERO,
        known_purges: Duration::from_secs(100_000),
        scrub: 0,
        read_ahead: 0,
        ..DiskSettings::default()
    }
}

/// Writes `parts` parts of `size` bytes to a new store, which then stops without an orderly shutdown, as after a
/// kill.
fn fill_store(path: &Path, parts: u64, size: usize) -> Result<Vec<TestPart>, String> {
    let mut driver = StoreDriver::open(path, 0, disk_settings(4 << 30), 4)?;
    let test_parts: Vec<TestPart> = (0..parts)
        .map(|n| TestPart {
            object: n / 16,
            part: n % 16,
        })
        .collect();
    for (n, test_part) in test_parts.iter().enumerate() {
        let created_at_ms = chalkhall_cli::store_driver::unix_ms();
        let written_count =
            |driver: &StoreDriver| driver.store.disk().map_or(0, |disk| disk.counts().written);
        // Limits the writes in flight to what the store's queues accept.
        let max_in_flight = (2 << 20) / size as u64;
        if !driver.poll_until(STORE_TIMEOUT, |driver| {
            n as u64 - written_count(driver) < max_in_flight.clamp(4, 200)
        }) {
            return Err("the disk did not catch up with the writes within 60 s".into());
        }
        let now = driver.now();
        driver.store.insert(
            now,
            test_part.copy_of_version(1, created_at_ms, size),
            2,
            &mut driver.connector,
        );
    }
    let all = |driver: &mut StoreDriver| {
        driver
            .store
            .disk()
            .is_some_and(|disk| disk.index().len() as u64 == parts)
    };
    if !driver.poll_until(STORE_TIMEOUT, all) {
        return Err(format!(
            "{:?}",
            driver.store.disk().map(|disk| disk.counts())
        ));
    }
    driver.stop(STORE_TIMEOUT);
    Ok(test_parts)
}

fn segment_files(path: &Path) -> Result<Vec<PathBuf>, String> {
    let names = std::fs::read_dir(path).map_err(|e| e.to_string())?;
    let names = names.filter_map(|entry| entry.ok().map(|entry| entry.path()));
    Ok(names
        .filter(|p| {
            p.file_name()
                .is_some_and(|n| n.to_string_lossy().starts_with("segment"))
        })
        .collect())
}

/// Throughput of verified reads of 200 KB parts through the store, over that of plain reads of the same files in
/// blocks of the same size: the median of several rounds, one after the other.
pub fn read_ratio(path: &Path, seed: u64) -> Result<f64, String> {
    const SIZE: usize = 200_000;
    let test_parts = fill_store(path, 400, SIZE)?;
    let files = segment_files(path)?;
    let mut driver = StoreDriver::open(path, 0, disk_settings(4 << 30), 4)?;
    if !driver.poll_until(STORE_TIMEOUT, |driver| driver.is_ready()) {
        return Err("the store was not ready within 60 s".into());
    }
    let names: Vec<_> = test_parts
        .iter()
        .map(|test_part| test_part.name())
        .collect();
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut ratios = Vec::new();
    for _ in 0..7 {
        let (begun, mut plain) = (Instant::now(), 0);
        for file in &files {
            let file = File::open(file).map_err(|e| e.to_string())?;
            let length = file.metadata().map_err(|e| e.to_string())?.len();
            for at in (0..length).step_by(SIZE) {
                let mut buffer = vec![0; SIZE.min((length - at) as usize)];
                file.read_exact_at(&mut buffer, at)
                    .map_err(|e| e.to_string())?;
                plain += std::hint::black_box(&buffer).len();
            }
        }
        let plain = plain as f64 / begun.elapsed().as_secs_f64();
        let mut order: Vec<usize> = (0..test_parts.len()).collect();
        rng.shuffle(&mut order);
        let (begun, mut read) = (Instant::now(), 0);
        let mut order = order.into_iter();
        let (mut in_flight, mut remaining) = (0usize, test_parts.len());
        while remaining > 0 {
            while in_flight < 16 {
                let Some(n) = order.next() else { break };
                let part = Part {
                    object: &names[n],
                    part: test_parts[n].part,
                    group: test_parts[n].group(),
                };
                let now = driver.now();
                driver
                    .store
                    .start_read(now, part, &mut driver.connector)
                    .ok_or("a part is missing from the store")?;
                in_flight += 1;
            }
            driver.poll();
            for (_, fetched) in driver.connector.completed_reads.drain(..) {
                match fetched {
                    chalkhall_store::decide::disk::ReadResult::Copy(copy) => {
                        read += copy.body.len()
                    }
                    other => return Err(format!("{other:?}")),
                }
                (in_flight, remaining) = (in_flight - 1, remaining - 1);
            }
        }
        ratios.push(read as f64 / begun.elapsed().as_secs_f64() / plain);
    }
    Ok(median(ratios))
}

/// Time until the index is complete after a kill, over the time to read the headers of the same records in sequence.
pub fn recovery_ratio(path: &Path) -> Result<f64, String> {
    let test_parts = fill_store(path, 100_000, 300)?;
    let files = segment_files(path)?;
    let mut ratios = Vec::new();
    for _ in 0..5 {
        let (begun, mut headers) = (Instant::now(), 0);
        for file in &files {
            let file = File::open(file).map_err(|e| e.to_string())?;
            let length = file.metadata().map_err(|e| e.to_string())?.len();
            let mut at = 64;
            let mut header = [0; 128];
            while at + 128 <= length
                && file.read_at(&mut header, at).is_ok()
                && &header[..4] == b"CHRC"
            {
                let header_bytes = u64::from(u16::from_le_bytes([header[4], header[5]]));
                let body_bytes = u64::from(u32::from_le_bytes([
                    header[8], header[9], header[10], header[11],
                ]));
                at += header_bytes + body_bytes.next_multiple_of(8);
                headers += 1;
            }
        }
        let plain = begun.elapsed().as_secs_f64();
        if headers != test_parts.len() {
            return Err(format!(
                "read {headers} record headers of {} parts",
                test_parts.len()
            ));
        }
        let begun = Instant::now();
        let mut driver = StoreDriver::open(path, 0, disk_settings(4 << 30), 4)?;
        let is_complete = |driver: &mut StoreDriver| {
            driver.is_ready()
                && driver
                    .store
                    .disk()
                    .is_some_and(|d| d.index().len() == test_parts.len())
        };
        if !driver.poll_until(STORE_TIMEOUT, is_complete) {
            return Err("the index was not complete within 60 s".into());
        }
        ratios.push(begun.elapsed().as_secs_f64() / plain);
        driver.stop(STORE_TIMEOUT);
    }
    Ok(median(ratios))
}

/// Runs requests that are answered from memory through the router's decisions and the store.
struct RequestRunner {
    router: Option<Router>,
    driver: StoreDriver,
    name: Bytes,
    answer: Option<Rc<Copy>>,
    timers: Vec<u64>,
}

impl RequestRunner {
    fn new(driver: StoreDriver) -> RequestRunner {
        let mut runner = RequestRunner {
            router: None,
            driver,
            name: Bytes::new(),
            answer: None,
            timers: Vec::new(),
        };
        let now = runner.driver.now();
        let mut router = Router::start(now, &day::deployment(), &mut runner);
        router.update_list(now, ListKind::Snapshot, &day::members(), &mut runner);
        runner.router = Some(router);
        runner
    }

    /// Runs one request and returns its duration, from its arrival to its end.
    fn request(&mut self, n: u64, test_part: TestPart, name: &Bytes) -> Result<Duration, String> {
        let id: Id = n.to_string().into();
        let object = std::str::from_utf8(name).map_err(|e| e.to_string())?;
        let (kb, time_left) = (2.0, Duration::from_secs(5));
        let arrival = IncomingRequest {
            id: id.clone(),
            object: object.into(),
            part: test_part.part,
            kb,
            time_left,
            ..IncomingRequest::default()
        };
        (self.name, self.answer) = (name.clone(), None);
        let mut router = self
            .router
            .take()
            .ok_or("the router is already handling a request")?;
        router.confirm_discovery(self.driver.now());
        let begun = Instant::now();
        let now = self.driver.now();
        router.request(now, arrival, self);
        let (outcome, remark, is_complete) = (Outcome::Served, Remark::Hit, true);
        let (duration, load) = (Duration::ZERO, Load::default());
        router.attempt_ended(
            now,
            &id,
            0,
            &AttemptResult {
                outcome,
                remark,
                duration,
                first_byte: None,
                is_complete,
                load,
            },
            self,
        );
        let duration = begun.elapsed();
        // Its timers fire after it has ended, outside of the measured duration.
        let timers = std::mem::take(&mut self.timers);
        timers
            .into_iter()
            .for_each(|timer_id| router.wake(now, timer_id, self));
        self.router = Some(router);
        std::hint::black_box(
            self.answer
                .take()
                .ok_or("a request was not answered from memory")?,
        );
        Ok(duration)
    }
}

impl ActionSink for RequestRunner {
    fn attempt(&mut self, _request: &Id, _server: &Id, _limits: AttemptLimits, _fill: &Fill) {
        let now = self.driver.now();
        let part = Part {
            object: &self.name,
            part: 0,
            group: 0,
        };
        self.answer = self.driver.store.get(now, part);
    }
    fn reject(&mut self, _request: &Id, _retry_after: Option<Duration>) {}
    fn fail(&mut self, _request: &Id) {}
    fn cancel(&mut self, _request: &Id, _attempt: usize) {}
    fn set_timer(&mut self, _at: Duration, timer_id: u64) {
        self.timers.push(timer_id);
    }
    fn subscribe_list(&mut self) {}
    fn local_copy(&mut self, _request: &Id) -> Option<LocalCopy> {
        let part = Part {
            object: &self.name,
            part: 0,
            group: 0,
        };
        let found = self.driver.store.find(part, None)?;
        // Nothing expires in this deployment, so the age does not matter.
        Some(LocalCopy {
            cache: "m1".into(),
            created_at: Duration::ZERO,
            client_has_it: false,
        })
        .filter(|_| found.tier == CacheTier::Memory)
    }
    fn keep_local_copy(&mut self, _request: &Id, rank: u8) {
        let name = self.name.clone();
        self.driver.store.set_rank(
            Part {
                object: &name,
                part: 0,
                group: 0,
            },
            rank,
        );
    }
}

/// The 99th percentile of the durations of requests answered from memory while the disk hangs with all its queues
/// full, over the same without a disk. It is the median over many pairs of new stores, since the position of a
/// table in memory alone changes the durations by a tenth.
pub fn hung_ratio(seed: u64) -> Result<f64, String> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let ratios: Result<Vec<f64>, String> = (0..15)
        .map(|_| hung_ratio_of_new_stores(&mut rng))
        .collect();
    Ok(median(ratios?))
}

fn hung_ratio_of_new_stores(rng: &mut fastrand::Rng) -> Result<f64, String> {
    const OBJECTS: u64 = 500;
    let test_parts: Vec<TestPart> = (0..OBJECTS)
        .map(|object| TestPart { object, part: 0 })
        .collect();
    let names: Vec<Bytes> = test_parts
        .iter()
        .map(|test_part| test_part.name())
        .collect();
    let disk = Disk::new();
    let files = disk.clone();
    let take = move || Ok(Arc::new(files.clone()) as Arc<dyn Files>);
    let mut driver = StoreDriver::open_files(take, 64 << 20, disk_settings(1 << 30), 4)?;
    if !driver.poll_until(STORE_TIMEOUT, |driver| driver.is_ready()) {
        return Err("the store was not ready within 60 s".into());
    }
    let mut runners = [
        RequestRunner::new(StoreDriver::memory_only(64 << 20)),
        RequestRunner::new(driver),
    ];
    if rng.bool() {
        runners.reverse();
    }
    let hung_index = usize::from(runners[1].driver.store.disk().is_some());
    let created_at_ms = chalkhall_cli::store_driver::unix_ms();
    for runner in &mut runners {
        for test_part in &test_parts {
            let now = runner.driver.now();
            runner.driver.store.insert(
                now,
                test_part.copy_of_version(1, created_at_ms, 2000),
                2,
                &mut runner.driver.connector,
            );
        }
    }
    disk.hang(true);
    let (mut ratios, mut requests) = (Vec::new(), 0);
    for round in 0..7u64 {
        let mut p99 = [0.0; 2];
        // The two take turns in going first.
        for which in [round as usize % 2, 1 - round as usize % 2] {
            let mut times = Histogram::<u64>::new(3).map_err(|e| e.to_string())?;
            for n in 0..10_000u64 {
                let at = rng.usize(..test_parts.len());
                let runner = &mut runners[which];
                if n % 1000 == 0 {
                    // Copies that the memory tier has no room for go on arriving, and with them writes to the disk.
                    let now = runner.driver.now();
                    let large = TestPart {
                        object: OBJECTS + round * 1000 + n,
                        part: 0,
                    };
                    runner.driver.store.insert(
                        now,
                        large.copy_of_version(1, created_at_ms, 1 << 20),
                        1,
                        &mut runner.driver.connector,
                    );
                    runner.driver.poll();
                }
                requests += 1;
                let duration = runner.request(requests, test_parts[at], &names[at])?;
                times
                    .record(duration.as_nanos() as u64)
                    .map_err(|e| e.to_string())?;
            }
            p99[which] = times.value_at_quantile(0.99) as f64;
        }
        ratios.push(p99[hung_index] / p99[1 - hung_index]);
    }
    disk.hang(false);
    Ok(median(ratios))
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}
