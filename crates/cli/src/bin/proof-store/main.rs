//! Plays the hard cases of the store and ends on one line of measured figures; non-zero where one falls
//! short, with its name. Bounds are checked on what was counted in this run; timings only as ratios within
//! it.

mod counted;
mod day;
mod timed;

use chalkhall_cli::torture::torture;
use chalkhall_store::stand_ins::crashes::{Seen, crash_point};
use clap::Parser;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::thread;

#[global_allocator]
static COUNTED: counted::Counted = counted::Counted;

/// Proves the store: kills, crash points, days, figures
#[derive(Parser)]
struct Arguments {
    /// Any seed must hold
    #[arg(long, env = "SEED", default_value_t = 1)]
    seed: u64,
    #[arg(long, default_value_t = 100)]
    kills: u32,
    #[arg(long, default_value_t = 6000)]
    crash_points: u64,
    /// Only some parts of it, by name: kills, crashes, days, figures
    #[arg(
        long,
        value_delimiter = ',',
        default_value = "kills,crashes,days,figures"
    )]
    only: Vec<String>,
    /// Where files are written and removed again; the system's folder for such things unless given
    #[arg(long)]
    folder: Option<PathBuf>,
}

/// The figures of the last line, and what fell short.
#[derive(Default)]
struct Line {
    figures: Vec<String>,
    short: Vec<String>,
}

impl Line {
    fn add(&mut self, name: &str, value: impl std::fmt::Display, holds: bool) {
        println!("{name} {value}{}", if holds { "" } else { "  FALLS SHORT" });
        self.figures.push(format!("{name}={value}"));
        if !holds {
            self.short.push(name.to_owned());
        }
    }

    fn share(&mut self, name: &str, value: f64, holds: bool) {
        self.add(name, format!("{value:.4}"), holds);
    }
}

/// Crash points over days of many seeds, on all cores.
fn crash_points(seed: u64, count: u64) -> Seen {
    let workers = thread::available_parallelism().map_or(4, |n| n.get() as u64);
    let work = |worker: u64| {
        let (mut all, mut chance) = (
            Seen::default(),
            fastrand::Rng::with_seed(seed ^ worker << 40),
        );
        let (mut points, mut tried) = (0, 0);
        while points < count.div_ceil(workers) && tried < 4 * count {
            tried += 1;
            let (day, at) = (chance.u64(..), chance.u64(1..620));
            let seen = crash_point(day, at);
            points += u64::from(seen.crashed);
            if seen.torn + seen.stale + seen.lost > 0 {
                println!("day {day} crashed at operation {at}: {seen:?}");
            }
            all.answers += seen.answers;
            all.durable += seen.durable;
            all.torn += seen.torn;
            all.stale += seen.stale;
            all.lost += seen.lost;
        }
        (points, all)
    };
    thread::scope(|scope| {
        let running: Vec<_> = (0..workers)
            .map(|worker| scope.spawn(move || work(worker)))
            .collect();
        let mut sum = Seen::default();
        for worker in running {
            let (points, seen) = worker.join().expect("a worker of the crash points");
            // The count of points takes the place of a day's own reclaims, which are not summed here.
            sum.reclaimed += points;
            sum.answers += seen.answers;
            sum.durable += seen.durable;
            sum.torn += seen.torn;
            sum.stale += seen.stale;
            sum.lost += seen.lost;
        }
        sum
    })
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let seed = arguments.seed;
    let folder = arguments.folder.clone().unwrap_or_else(std::env::temp_dir);
    let folder = folder.join(format!("chalkhall-proof-{}", std::process::id()));
    let mut line = Line::default();
    let ran = prove(&arguments, &folder, &mut line);
    let _ = std::fs::remove_dir_all(&folder);
    if let Err(what) = ran {
        eprintln!("proof-store: {what}");
        return ExitCode::FAILURE;
    }
    if !line.short.is_empty() {
        eprintln!(
            "proof-store: falls short (seed {seed}): {}",
            line.short.join(" ")
        );
        return ExitCode::FAILURE;
    }
    println!("proof-store: ok {} seed={seed}", line.figures.join(" "));
    ExitCode::SUCCESS
}

fn prove(told: &Arguments, folder: &Path, line: &mut Line) -> Result<(), String> {
    let (seed, wants) = (told.seed, |part: &str| {
        told.only.iter().any(|only| only == part)
    });
    // What counts runs side by side, what is timed runs alone after it.
    let (killed, crashed, days) = thread::scope(|scope| {
        let killing = wants("kills").then(|| {
            scope.spawn(|| {
                let program = std::env::current_exe()
                    .map_err(|e| e.to_string())?
                    .with_file_name("chalkhall");
                torture(&program, &folder.join("torture"), told.kills, seed).map_err(|f| f.what)
            })
        });
        let days = [false, true]
            .map(|scan| wants("days").then(|| scope.spawn(move || day::play(seed, scan))));
        let crashed = wants("crashes").then(|| crash_points(seed, told.crash_points));
        let days = days.map(|day| day.map(|day| day.join().expect("a day")));
        (
            killing.map(|killing| killing.join().expect("the kills")),
            crashed,
            days,
        )
    });
    let killed = killed.transpose()?;
    if let Some(killed) = &killed {
        line.add("kills", killed.kills, killed.kills >= told.kills);
        line.add(
            "unproven_served",
            killed.unproven_served,
            killed.unproven_served == 0,
        );
    }
    if let Some(crashed) = &crashed {
        line.add(
            "crash_points",
            crashed.reclaimed,
            crashed.reclaimed >= told.crash_points,
        );
    }
    if let (Some(killed), Some(crashed)) = (&killed, &crashed) {
        line.add(
            "answers",
            killed.answers + crashed.answers,
            killed.answers > 0 && crashed.answers > 0,
        );
        line.add(
            "synced",
            killed.durable + crashed.durable,
            killed.durable > 0 && crashed.durable > 0,
        );
        line.add(
            "torn",
            killed.torn + crashed.torn,
            killed.torn + crashed.torn == 0,
        );
        line.add(
            "stale",
            killed.stale + crashed.stale,
            killed.stale + crashed.stale == 0,
        );
        let lost = killed.lost_synced + crashed.lost;
        line.add("lost_synced", lost, lost == 0);
    }
    if let [Some(calm), Some(scan)] = &days {
        of_days(calm, scan, line);
    }
    if wants("figures") {
        let bytes = counted::index_bytes_a_part(1_000_000);
        line.add("index_bytes_part", format!("{bytes:.1}"), bytes <= 48.0);
        let counted = counted::memory_ratio();
        line.add(
            "memory_counted_ratio",
            format!("{counted:.3}"),
            (0.7..=1.0).contains(&counted),
        );
        let read = timed::read_ratio(&folder.join("reads"), seed)?;
        line.add("read_ratio", format!("{read:.2}"), read >= 0.8);
        let recover = timed::recover_ratio(&folder.join("recovery"))?;
        line.add("recover_ratio", format!("{recover:.2}"), recover <= 2.0);
        let hung = timed::hung_ratio(seed)?;
        line.add("hung_p99_ratio", format!("{hung:.2}"), hung <= 1.1);
    }
    Ok(())
}

fn of_days(calm: &day::Played, scan: &day::Played, line: &mut Line) {
    let drop = |of: fn(&day::Played) -> &day::Rates| of(calm).useful - of(scan).useful;
    line.share("useful_drop", drop(|d| &d.own), drop(|d| &d.own) < 0.02);
    line.share("useful_drop_lru", drop(|d| &d.lru), true);
    line.share("useful_drop_all", drop(|d| &d.all), true);
    let above = scan.own.bytes > scan.lru.bytes && scan.own.bytes > scan.all.bytes;
    line.share("hit", scan.own.bytes, above);
    line.share("hit_lru", scan.lru.bytes, true);
    line.share("hit_all", scan.all.bytes, true);
    let level = calm.own.bytes >= calm.lru.bytes.max(calm.all.bytes) - 0.01;
    line.share("hit_calm", calm.own.bytes, level);
    line.share("hit_calm_lru", calm.lru.bytes, true);
    line.share("hit_calm_all", calm.all.bytes, true);
    line.share("disk_full", scan.full, scan.full >= 0.8);
    line.share(
        "write_amp",
        scan.write_amp,
        scan.write_amp <= 1.3 && scan.write_amp >= 1.0,
    );
}
