//! `store torture`: crash test with real processes that are killed at random moments while they write. After each
//! kill the whole store is read and compared with what the writer had reported.

use crate::Failure;
use crate::store_driver::{StoreDriver, unix_ms};
use chalkhall_store::decide::Part;
use chalkhall_store::decide::disk::DiskSettings;
use chalkhall_store::stand_ins::{TestPart, body_len};
use indicatif::ProgressBar;
use serde_json::json;
use std::collections::HashMap;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

const OBJECTS: u64 = 300;
const PARTS: u64 = 4;
const MAX_BODY_BYTES: usize = 60_000;
const MEMORY_BYTES: u64 = 1 << 20;
/// Discovery lists the purges of this period before a start: longer than any run, so all are known.
const KNOWN_PURGES: Duration = Duration::from_secs(100_000);

fn settings() -> DiskSettings {
    DiskSettings {
        bytes: 24 << 20,
        segment: 1 << 20,
        index: 4 << 20,
        min_freshness: Duration::ZERO,
        sync_after: Duration::from_millis(5),
        sync_bytes: 400_000,
        known_purges: KNOWN_PURGES,
        scrub: 0,
        ..DiskSettings::default()
    }
}

/// The results of a crash test.
#[derive(Clone, Copy, Debug, Default)]
pub struct CrashTestResults {
    pub kills: u32,
    pub answers: u64,
    pub durable: u64,
    pub reclaimed: u64,
    pub torn: u64,
    pub stale: u64,
    pub lost_synced: u64,
    /// Copies served after a start without knowledge of purges; there must be none.
    pub unproven_served: u64,
}

/// Writes until it is killed, and logs on standard output: `P` a purge, before it is applied; `D` a copy that is
/// durable, after it was synced; `G` a copy that is dropped, before it is removed.
pub fn writer(path: &Path, seed: u64) -> Result<(), Failure> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut driver = StoreDriver::open(path, MEMORY_BYTES, settings(), 2).map_err(Failure::new)?;
    let mut out = std::io::stdout().lock();
    let mut log = String::new();
    let end = Instant::now() + Duration::from_secs(30);
    while Instant::now() < end {
        for _ in 0..4 {
            let test_part = TestPart {
                object: rng.u64(..OBJECTS),
                part: rng.u64(..PARTS),
            };
            let now = driver.now();
            let copy = test_part.copy_of_version(1, unix_ms(), body_len(test_part, MAX_BODY_BYTES));
            driver
                .store
                .insert(now, copy, 1 + rng.u8(..3), &mut driver.connector);
        }
        if rng.u8(..10) == 0 {
            let test_part = TestPart {
                object: rng.u64(..OBJECTS),
                part: 0,
            };
            let ms = unix_ms();
            writeln!(out, "P {} {ms}", test_part.object)
                .and_then(|()| out.flush())
                .map_err(Failure::new)?;
            driver
                .store
                .purge(Some(&test_part.name()), 0, ms, &mut driver.connector);
        }
        driver.poll();
        log.clear();
        for (key, created_at_ms) in driver
            .connector
            .durability_changes
            .iter_mut()
            .flat_map(|changes| changes.drain(..))
        {
            let _ = match created_at_ms {
                Some(created_at_ms) => writeln!(log, "D {key} {created_at_ms}"),
                None => writeln!(log, "G {key}"),
            };
        }
        out.write_all(log.as_bytes())
            .and_then(|()| out.flush())
            .map_err(Failure::new)?;
        if let Some(why) = driver.disk_error() {
            return Err(Failure::new(why));
        }
        std::thread::sleep(Duration::from_micros(rng.u64(..800)));
    }
    Ok(())
}

#[derive(Default)]
struct WriterLog {
    purged: HashMap<u64, u64>,
    durable: HashMap<u64, u64>,
}

impl WriterLog {
    fn read_line(&mut self, line: &str) {
        let words: Vec<&str> = line.split(' ').collect();
        let numbers: Vec<u64> = words
            .iter()
            .skip(1)
            .filter_map(|w| w.parse().ok())
            .collect();
        match (words[0], numbers.as_slice()) {
            ("P", [object, ms]) => drop(self.purged.insert(*object, *ms)),
            ("D", [key, created_at_ms]) => drop(self.durable.insert(*key, *created_at_ms)),
            ("G", [key]) => drop(self.durable.remove(key)),
            // The kill may truncate the last line.
            _ => {}
        }
    }

    fn read_reports(&mut self, driver: &mut StoreDriver) {
        for (key, created_at_ms) in driver
            .connector
            .durability_changes
            .iter_mut()
            .flat_map(|changes| changes.drain(..))
        {
            match created_at_ms {
                Some(created_at_ms) => drop(self.durable.insert(key, created_at_ms)),
                None => drop(self.durable.remove(&key)),
            }
        }
    }
}

fn kill_and_read_log(
    mut child: Child,
    after: Duration,
    log: &mut WriterLog,
) -> Result<(), Failure> {
    let out = child
        .stdout
        .take()
        .ok_or_else(|| Failure::new("the writer's standard output is not captured"))?;
    std::thread::sleep(after);
    // The writer has ended by SIGKILL; what it had written before is still in the pipe.
    child.kill().map_err(Failure::new)?;
    for line in BufReader::new(out).lines() {
        log.read_line(&line.map_err(Failure::new)?);
    }
    child.wait().map(|_| ()).map_err(Failure::new)
}

/// Kills a writer `kills` times and verifies the store after each kill.
pub fn torture(
    program: &Path,
    path: &Path,
    kills: u32,
    seed: u64,
) -> Result<CrashTestResults, Failure> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let (mut log, mut found) = (WriterLog::default(), CrashTestResults::default());
    let bar = ProgressBar::new(u64::from(kills));
    for _ in 0..kills {
        let child = Command::new(program)
            .args([
                "store",
                "torture-writer",
                "--seed",
                &rng.u64(..).to_string(),
            ])
            .arg(path)
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|e| Failure::new(format!("{}: {e}", program.display())))?;
        kill_and_read_log(
            child,
            Duration::from_micros(rng.u64(5_000..120_000)),
            &mut log,
        )?;
        found.kills += 1;
        verify(path, &mut log, &mut found)?;
        bar.inc(1);
    }
    bar.finish_and_clear();
    // After a start without knowledge of purges, nothing on disk may be served.
    let without_purges = DiskSettings {
        known_purges: Duration::ZERO,
        ..settings()
    };
    let mut driver =
        StoreDriver::open(path, MEMORY_BYTES, without_purges, 2).map_err(Failure::new)?;
    driver.poll_until(Duration::from_secs(30), |driver| {
        driver.is_ready() || driver.disk_error().is_some()
    });
    for test_part in test_parts() {
        found.unproven_served += u64::from(get(&mut driver, test_part).is_some());
    }
    driver.stop(Duration::from_secs(5));
    Ok(found)
}

fn test_parts() -> impl Iterator<Item = TestPart> {
    (0..OBJECTS).flat_map(|object| (0..PARTS).map(move |part| TestPart { object, part }))
}

fn get(
    driver: &mut StoreDriver,
    test_part: TestPart,
) -> Option<std::rc::Rc<chalkhall_store::copy::Copy>> {
    let name = test_part.name();
    driver.get(Part {
        object: &name,
        part: test_part.part,
        group: test_part.group(),
    })
}

fn verify(path: &Path, log: &mut WriterLog, found: &mut CrashTestResults) -> Result<(), Failure> {
    let mut driver = StoreDriver::open(path, MEMORY_BYTES, settings(), 2).map_err(Failure::new)?;
    for (object, ms) in &log.purged {
        let name = TestPart {
            object: *object,
            part: 0,
        }
        .name();
        driver
            .store
            .purge(Some(&name), 0, *ms, &mut driver.connector);
    }
    let ready = driver.poll_until(Duration::from_secs(30), |driver| {
        driver.is_ready() || driver.disk_error().is_some()
    });
    if let Some(why) = driver.disk_error() {
        return Err(Failure::new(why));
    }
    if !ready {
        return Err(Failure::new(
            "recovery of the store did not end within 30 s",
        ));
    }
    log.read_reports(&mut driver);
    let durable = log.durable.clone();
    for test_part in test_parts() {
        let purged = log.purged.get(&test_part.object).copied().unwrap_or(0);
        let copy = get(&mut driver, test_part);
        if let Some(copy) = &copy {
            found.answers += 1;
            let expected = test_part.copy_of_version(
                1,
                copy.created_at_ms,
                body_len(test_part, MAX_BODY_BYTES),
            );
            found.torn += u64::from(expected != **copy);
            found.stale += u64::from(copy.created_at_ms <= purged);
        }
        log.read_reports(&mut driver);
        if let Some(created_at_ms) = durable
            .get(&test_part.key())
            .filter(|created_at_ms| **created_at_ms > purged)
        {
            let still_durable = log.durable.contains_key(&test_part.key());
            found.durable += 1;
            found.lost_synced += u64::from(
                still_durable && copy.is_none_or(|copy| copy.created_at_ms < *created_at_ms),
            );
        }
    }
    found.reclaimed += driver
        .store
        .disk()
        .map_or(0, |disk| disk.counts().reclaimed);
    driver.close(Duration::from_secs(5));
    Ok(())
}

/// Runs the crash test and prints its results.
pub fn command(path: &Path, kills: u32, seed: u64, as_json: bool) -> Result<(), Failure> {
    let program = std::env::current_exe().map_err(Failure::new)?;
    let found = torture(&program, path, kills, seed)?;
    let CrashTestResults {
        kills,
        answers,
        durable,
        torn,
        stale,
        lost_synced,
        unproven_served,
        ..
    } = found;
    if as_json {
        let report = json!({"seed": seed, "kills": kills, "answers": answers, "durable": durable, "torn": torn,
            "stale": stale, "lost_synced": lost_synced, "unproven_served": unproven_served});
        println!("{report}");
    } else {
        println!(
            "seed {seed}: {kills} kills, {answers} answers and {durable} synced copies checked; \
             torn {torn}, stale {stale}, lost {lost_synced}, served unproven {unproven_served}"
        );
    }
    match torn + stale + lost_synced + unproven_served {
        0 => Ok(()),
        n => Err(Failure::new(format!("{n} faults with seed {seed}"))),
    }
}
