//! `store torture`: crash test with real processes that are killed at random moments while they write. After each
//! kill the whole store is read and compared with what the writer had reported.

use crate::Failure;
use crate::rig::{Rig, unix_ms};
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
pub struct Found {
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
    let mut rig = Rig::open(path, MEMORY_BYTES, settings(), 2).map_err(Failure::new)?;
    let mut out = std::io::stdout().lock();
    let mut log = String::new();
    let end = Instant::now() + Duration::from_secs(30);
    while Instant::now() < end {
        for _ in 0..4 {
            let test_part = TestPart {
                object: rng.u64(..OBJECTS),
                part: rng.u64(..PARTS),
            };
            let now = rig.now();
            let copy = test_part.copy_of_version(1, unix_ms(), body_len(test_part, MAX_BODY_BYTES));
            rig.store
                .insert(now, copy, 1 + rng.u8(..3), &mut rig.connector);
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
            rig.store
                .purge(Some(&test_part.name()), 0, ms, &mut rig.connector);
        }
        rig.turn();
        log.clear();
        for (key, made) in rig
            .connector
            .durability_changes
            .iter_mut()
            .flat_map(|changes| changes.drain(..))
        {
            let _ = match made {
                Some(made) => writeln!(log, "D {key} {made}"),
                None => writeln!(log, "G {key}"),
            };
        }
        out.write_all(log.as_bytes())
            .and_then(|()| out.flush())
            .map_err(Failure::new)?;
        if let Some(why) = rig.refusal() {
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
            ("D", [key, made]) => drop(self.durable.insert(*key, *made)),
            ("G", [key]) => drop(self.durable.remove(key)),
            // The kill may truncate the last line.
            _ => {}
        }
    }

    fn read_reports(&mut self, rig: &mut Rig) {
        for (key, made) in rig
            .connector
            .durability_changes
            .iter_mut()
            .flat_map(|changes| changes.drain(..))
        {
            match made {
                Some(made) => drop(self.durable.insert(key, made)),
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
pub fn torture(program: &Path, path: &Path, kills: u32, seed: u64) -> Result<Found, Failure> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let (mut log, mut found) = (WriterLog::default(), Found::default());
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
    let mut rig = Rig::open(path, MEMORY_BYTES, without_purges, 2).map_err(Failure::new)?;
    rig.until(Duration::from_secs(30), |rig| {
        rig.is_ready() || rig.refusal().is_some()
    });
    for test_part in test_parts() {
        found.unproven_served += u64::from(get(&mut rig, test_part).is_some());
    }
    rig.end(Duration::from_secs(5));
    Ok(found)
}

fn test_parts() -> impl Iterator<Item = TestPart> {
    (0..OBJECTS).flat_map(|object| (0..PARTS).map(move |part| TestPart { object, part }))
}

fn get(rig: &mut Rig, test_part: TestPart) -> Option<std::rc::Rc<chalkhall_store::copy::Copy>> {
    let name = test_part.name();
    rig.get(Part {
        object: &name,
        part: test_part.part,
        group: test_part.group(),
    })
}

fn verify(path: &Path, log: &mut WriterLog, found: &mut Found) -> Result<(), Failure> {
    let mut rig = Rig::open(path, MEMORY_BYTES, settings(), 2).map_err(Failure::new)?;
    for (object, ms) in &log.purged {
        let name = TestPart {
            object: *object,
            part: 0,
        }
        .name();
        rig.store.purge(Some(&name), 0, *ms, &mut rig.connector);
    }
    let ready = rig.until(Duration::from_secs(30), |rig| {
        rig.is_ready() || rig.refusal().is_some()
    });
    if let Some(why) = rig.refusal() {
        return Err(Failure::new(why));
    }
    if !ready {
        return Err(Failure::new(
            "recovery of the store did not end within 30 s",
        ));
    }
    log.read_reports(&mut rig);
    let durable = log.durable.clone();
    for test_part in test_parts() {
        let purged = log.purged.get(&test_part.object).copied().unwrap_or(0);
        let copy = get(&mut rig, test_part);
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
        log.read_reports(&mut rig);
        if let Some(made) = durable.get(&test_part.key()).filter(|made| **made > purged) {
            let still_durable = log.durable.contains_key(&test_part.key());
            found.durable += 1;
            found.lost_synced +=
                u64::from(still_durable && copy.is_none_or(|copy| copy.created_at_ms < *made));
        }
    }
    found.reclaimed += rig.store.disk().map_or(0, |disk| disk.counts().reclaimed);
    rig.close(Duration::from_secs(5));
    Ok(())
}

/// Runs the crash test and prints its results.
pub fn command(path: &Path, kills: u32, seed: u64, as_json: bool) -> Result<(), Failure> {
    let program = std::env::current_exe().map_err(Failure::new)?;
    let found = torture(&program, path, kills, seed)?;
    let Found {
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
