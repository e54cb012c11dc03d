//! Runs a random workload on a store, crashes it at a chosen disk operation, and checks what is found after the
//! restart.
//!
//! The checks use only what the workload knows: no answer is torn, of another part or older than a purge that
//! was sent; and copies that the store reported as durable are found, unless they were dropped, purged or
//! replaced.

use super::{Disk, Driver, Faults, TestPart, body_len};
use crate::copy::Copy;
use crate::decide::Part;
use crate::decide::disk::DiskSettings;
use crate::key::Key;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

const START: u64 = 1_800_000_000_000;
const OBJECTS: u64 = 120;
const PARTS: u64 = 2;
const ACTIONS: usize = 400;
const BODY_BYTES_RANGE: usize = 15_000;
/// Within this time after the faults end, the disk tier accepts new copies as before.
pub const RECOVERY_TIME: Duration = Duration::from_secs(35);
/// The number of copies that may still be refused after that, of copies offered at one per second.
const MAX_REFUSED_AFTER_FAULTS: usize = 6;

/// The results of one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct CrashTestResults {
    /// The crash came before the workload ended.
    pub crashed: bool,
    /// Answers checked, durable copies looked for, and segments reclaimed.
    pub answers: u64,
    pub durable: u64,
    pub reclaimed: u64,
    /// The failures: torn answers, answers older than a purge, and durable copies that were not found.
    pub torn: u64,
    pub stale: u64,
    pub lost: u64,
    /// Copies offered after the faults ended that did not become durable.
    pub not_durable_after_faults: u64,
    /// Disk calls during the workload, and since the restart.
    pub calls: u64,
    pub restart_calls: u64,
}

struct Workload {
    random: fastrand::Rng,
    /// The current version of each object.
    versions: HashMap<u64, u64>,
    /// When an object's version last changed, in Unix milliseconds.
    changed: HashMap<u64, u64>,
    /// The last purge of each object and of each group, in Unix milliseconds.
    object_purges: HashMap<u64, u64>,
    group_purges: HashMap<u64, u64>,
    sent_purges: Vec<(Option<u64>, u64, u64)>,
}

impl Workload {
    fn test_part(&mut self) -> TestPart {
        // A few objects are requested often, most rarely.
        let object = (self.random.f64().powi(3) * OBJECTS as f64) as u64;
        TestPart {
            object,
            part: self.random.u64(..PARTS),
        }
    }

    fn last_purge_ms(&self, test_part: TestPart) -> u64 {
        let object = self
            .object_purges
            .get(&test_part.object)
            .copied()
            .unwrap_or(0);
        object.max(
            self.group_purges
                .get(&test_part.group())
                .copied()
                .unwrap_or(0),
        )
    }

    fn run_action(&mut self, driver: &mut Driver, results: &mut CrashTestResults) {
        let test_part = self.test_part();
        let now = driver.unix_ms();
        match self.random.u8(..100) {
            0..=54 => {
                let version = *self.versions.entry(test_part.object).or_insert(1);
                let created_at_ms = now - self.random.u64(..200);
                let copy = test_part.copy_of_version(
                    version,
                    created_at_ms,
                    body_len(test_part, BODY_BYTES_RANGE),
                );
                driver.keep(copy, 1 + self.random.u8(..3));
            }
            55..=69 => get(driver, test_part)
                .iter()
                .for_each(|copy| self.check_copy(test_part, copy, results)),
            70..=73 => {
                let ms = driver.purge(Some(&test_part.name()), 0);
                self.object_purges.insert(test_part.object, ms);
                self.sent_purges.push((Some(test_part.object), 0, ms));
            }
            74 => {
                let ms = driver.purge(None, test_part.group());
                self.group_purges.insert(test_part.group(), ms);
                self.sent_purges.push((None, test_part.group(), ms));
            }
            75..=78 => {
                *self.versions.entry(test_part.object).or_insert(1) += 1;
                self.changed.insert(test_part.object, now);
            }
            79..=84 => {
                if let Some(disk) = driver.store.disk_mut() {
                    disk.confirm_discovery_up_to(now - 1);
                }
            }
            _ => {
                driver.now += Duration::from_millis(self.random.u64(1..400));
                driver.store.tick(driver.now, &mut driver.backend);
            }
        }
        // Some of the queued operations are run.
        for _ in 0..self.random.u8(..8) {
            driver.step();
        }
    }
}

fn get(driver: &mut Driver, test_part: TestPart) -> Option<Copy> {
    let name = test_part.name();
    driver
        .get(Part {
            object: &name,
            part: test_part.part,
            group: test_part.group(),
        })
        .map(|(_, copy)| copy)
}

fn settings() -> DiskSettings {
    DiskSettings {
        bytes: 640 << 10,
        segment: 64 << 10,
        index: 1 << 20,
        min_freshness: Duration::ZERO,
        carry: 0.3,
        sync_after: Duration::from_millis(300),
        sync_bytes: 30_000,
        known_purges: Duration::from_secs(100_000),
        revalidate: 50.0,
        ..DiskSettings::default()
    }
}

/// A workload and the faults of its disk.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub actions: usize,
    /// The faults during the workload, and since the restart.
    pub faults: Faults,
    pub restart_faults: Faults,
    /// The faults end before the program is killed; otherwise it is killed when the workload ends.
    pub faults_end_before_kill: bool,
}

/// Runs the workload of this seed, crashes it at an operation, and checks what is found.
pub fn crash_point(seed: u64, crash_at: u64) -> CrashTestResults {
    let faults = Faults {
        crash_at: Some(crash_at),
        ..Faults::default()
    };
    run(&Scenario {
        seed,
        actions: ACTIONS,
        faults,
        restart_faults: Faults::default(),
        faults_end_before_kill: false,
    })
}

/// Runs a scenario, kills the program, and checks what the next start finds.
pub fn run(scenario: &Scenario) -> CrashTestResults {
    let seed = scenario.seed;
    let random = fastrand::Rng::with_seed(seed);
    let (versions, changed) = (HashMap::new(), HashMap::new());
    let (object_purges, group_purges, sent_purges) = (HashMap::new(), HashMap::new(), Vec::new());
    let mut workload = Workload {
        random,
        versions,
        changed,
        object_purges,
        group_purges,
        sent_purges,
    };
    let disk = Disk::new();
    disk.set_faults(scenario.faults.clone());
    let mut driver = Driver::start(Arc::new(disk.clone()), 30_000, settings(), START);
    let mut results = CrashTestResults::default();
    for _ in 0..scenario.actions {
        workload.run_action(&mut driver, &mut results);
        if scenario
            .faults
            .crash_at
            .is_some_and(|crash_at| disk.operations().0 >= crash_at)
        {
            results.crashed = true;
            break;
        }
    }
    if scenario.faults_end_before_kill {
        disk.set_faults(Faults::default());
        driver.advance(RECOVERY_TIME);
        results.not_durable_after_faults = count_not_durable(&mut driver);
        let durable = driver.backend.durable.clone();
        workload.check_all_parts(&mut driver, &durable, true, &mut results);
    }
    results.calls = disk.calls();
    results.reclaimed = driver
        .store
        .disk()
        .map_or(0, |disk| disk.counts().reclaimed);
    let killed_at = driver.unix_ms();
    let durable = std::mem::take(&mut driver.backend.durable);
    drop(driver);
    // The next start receives the purges of a random time before it; sometimes the clock was set back.
    let downtime = workload.random.u64(..20_000);
    let window = *workload
        .random
        .choice(&[500, 5_000, 30_000, 10_000_000])
        .unwrap_or(&0);
    let start = if workload.random.u8(..10) == 0 {
        killed_at - workload.random.u64(1..60_000)
    } else {
        killed_at + downtime
    };
    let mut restart_settings = DiskSettings {
        known_purges: Duration::from_millis(window),
        ..settings()
    };
    if !scenario.restart_faults.failing_calls.is_empty() {
        // Work continues after this start, and no copy may be dropped for lack of space.
        restart_settings.bytes *= 4;
    }
    let disk_after_crash = disk.after_crash(
        seed ^ scenario
            .faults
            .crash_at
            .unwrap_or(results.calls)
            .rotate_left(32),
    );
    disk_after_crash.set_faults(scenario.restart_faults.clone());
    let mut restarted = Driver::start(
        Arc::new(disk_after_crash.clone()),
        60_000,
        restart_settings,
        start,
    );
    for (object, group, ms) in &workload.sent_purges {
        if *ms + window >= start {
            let name = object.map(|object| TestPart { object, part: 0 }.name());
            restarted
                .store
                .purge(name.as_deref(), *group, *ms, &mut restarted.backend);
        }
    }
    let must_be_found = window == 10_000_000 && start >= killed_at;
    // Checked before the segments are recovered, and again after.
    workload.check_all_parts(&mut restarted, &durable, false, &mut results);
    if !scenario.restart_faults.failing_calls.is_empty() {
        restarted.advance(Duration::from_secs(5));
        disk_after_crash.set_faults(Faults::default());
        restarted.advance(RECOVERY_TIME);
    }
    restarted.settle();
    results.restart_calls = disk_after_crash.calls();
    workload.check_all_parts(&mut restarted, &durable, must_be_found, &mut results);
    results
}

/// Offers new copies, one per second and more than memory holds, and counts those that do not become durable.
/// The first few may be refused, because a tier that was ejected admits writes one at a time at first.
fn count_not_durable(driver: &mut Driver) -> u64 {
    let test_parts: Vec<TestPart> = (0..14)
        .map(|object| TestPart {
            object: 10_000 + object,
            part: 0,
        })
        .collect();
    for test_part in &test_parts {
        let created_at_ms = driver.unix_ms();
        driver.keep(test_part.copy_of_version(1, created_at_ms, 10_000), 3);
        driver.advance(Duration::from_secs(1));
    }
    test_parts[MAX_REFUSED_AFTER_FAULTS..10]
        .iter()
        .filter(|test_part| !driver.backend.durable.contains_key(&test_part.key()))
        .count() as u64
}

impl Workload {
    /// Requests every part and checks the answers. With `must_be_found`, the `durable` copies must be among
    /// them.
    fn check_all_parts(
        &self,
        driver: &mut Driver,
        durable: &HashMap<Key, u64>,
        must_be_found: bool,
        results: &mut CrashTestResults,
    ) {
        for object in 0..OBJECTS {
            for part in 0..PARTS {
                let test_part = TestPart { object, part };
                let found = get(driver, test_part);
                found
                    .iter()
                    .for_each(|copy| self.check_copy(test_part, copy, results));
                let Some(created_at_ms) = durable.get(&test_part.key()).filter(|_| must_be_found)
                else {
                    continue;
                };
                let invalidated = *created_at_ms <= self.last_purge_ms(test_part)
                    || self.changed.contains_key(&object);
                if !invalidated {
                    results.durable += 1;
                    results.lost +=
                        u64::from(found.is_none_or(|copy| copy.created_at_ms < *created_at_ms));
                }
            }
        }
    }

    /// Checks that an answer is intact, of the requested part, and newer than the last purge.
    fn check_copy(&self, test_part: TestPart, copy: &Copy, results: &mut CrashTestResults) {
        results.answers += 1;
        let version = std::str::from_utf8(&copy.etag)
            .ok()
            .and_then(|tag| u64::from_str_radix(tag, 16).ok());
        let expected = version.map(|version| {
            test_part.copy_of_version(
                version,
                copy.created_at_ms,
                body_len(test_part, BODY_BYTES_RANGE),
            )
        });
        results.torn += u64::from(expected.as_ref() != Some(copy));
        results.stale += u64::from(copy.created_at_ms <= self.last_purge_ms(test_part));
    }
}
