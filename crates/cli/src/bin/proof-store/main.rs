//! Checks the store under kills, crashes and simulated days of requests, and prints one line of measured figures
//! at the end. Where a figure misses its bound, its name is printed and the exit code is not zero. Bounds apply
//! to what this run has counted; durations are only compared with others of the same run.

mod allocations;
mod day;
mod timings;

use chalkhall_cli::torture::torture;
use chalkhall_store::stand_ins::crashes::{CrashTestResults, crash_point};
use clap::Parser;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::thread;

#[global_allocator]
static ALLOCATOR: allocations::CountingAllocator = allocations::CountingAllocator;

/// Checks the store: kills, crash points, simulated days, figures
#[derive(Parser)]
struct Arguments {
    /// Seed of all random draws; the bounds must hold with any
    #[arg(long, env = "SEED", default_value_t = 1)]
    seed: u64,
    #[arg(long, default_value_t = 100)]
    kills: u32,
    #[arg(long, default_value_t = 6000)]
    crash_points: u64,
    /// Run only these parts: kills, crashes, days, figures
    #[arg(
        long,
        value_delimiter = ',',
        default_value = "kills,crashes,days,figures"
    )]
    only: Vec<String>,
    /// Directory for temporary files, which are removed at the end; the system's own unless given
    #[arg(long)]
    folder: Option<PathBuf>,
}

/// The figures of the last line, and the names of those that miss their bounds.
#[derive(Default)]
struct FigureLine {
    figures: Vec<String>,
    missed: Vec<String>,
}

impl FigureLine {
    fn add(&mut self, name: &str, value: impl std::fmt::Display, holds: bool) {
        println!("{name} {value}{}", if holds { "" } else { "  FALLS SHORT" });
        self.figures.push(format!("{name}={value}"));
        if !holds {
            self.missed.push(name.to_owned());
        }
    }

    fn add_ratio(&mut self, name: &str, value: f64, holds: bool) {
        self.add(name, format!("{value:.4}"), holds);
    }
}

/// Crashes simulated days, each with a random seed, at random operations, on all cores. A day that ends before its
/// operation is reached does not count towards `count`; a worker gives up after 4 × `count` days.
fn run_crash_points(seed: u64, count: u64) -> CrashTestResults {
    let workers = thread::available_parallelism().map_or(4, |n| n.get() as u64);
    let run_worker = |worker: u64| {
        let (mut all, mut rng) = (
            CrashTestResults::default(),
            fastrand::Rng::with_seed(seed ^ worker << 40),
        );
        let (mut points, mut attempts) = (0, 0);
        while points < count.div_ceil(workers) && attempts < 4 * count {
            attempts += 1;
            let (day, at) = (rng.u64(..), rng.u64(1..620));
            let outcome = crash_point(day, at);
            points += u64::from(outcome.crashed);
            if outcome.torn + outcome.stale + outcome.lost > 0 {
                println!("day {day} crashed at operation {at}: {outcome:?}");
            }
            all.answers += outcome.answers;
            all.durable += outcome.durable;
            all.torn += outcome.torn;
            all.stale += outcome.stale;
            all.lost += outcome.lost;
        }
        (points, all)
    };
    thread::scope(|scope| {
        let running: Vec<_> = (0..workers)
            .map(|worker| scope.spawn(move || run_worker(worker)))
            .collect();
        let mut sum = CrashTestResults::default();
        for worker in running {
            let (points, outcome) = worker.join().expect("a crash point worker panicked");
            // `reclaimed` holds the number of crash points: reclaims within a day are not summed here.
            sum.reclaimed += points;
            sum.answers += outcome.answers;
            sum.durable += outcome.durable;
            sum.torn += outcome.torn;
            sum.stale += outcome.stale;
            sum.lost += outcome.lost;
        }
        sum
    })
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let seed = arguments.seed;
    let directory = arguments.folder.clone().unwrap_or_else(std::env::temp_dir);
    let directory = directory.join(format!("chalkhall-proof-{}", std::process::id()));
    let mut line = FigureLine::default();
    let proved = prove(&arguments, &directory, &mut line);
    let _ = std::fs::remove_dir_all(&directory);
    if let Err(reason) = proved {
        eprintln!("proof-store: {reason}");
        return ExitCode::FAILURE;
    }
    if !line.missed.is_empty() {
        eprintln!(
            "proof-store: falls short (seed {seed}): {}",
            line.missed.join(" ")
        );
        return ExitCode::FAILURE;
    }
    println!("proof-store: ok {} seed={seed}", line.figures.join(" "));
    ExitCode::SUCCESS
}

fn prove(arguments: &Arguments, directory: &Path, line: &mut FigureLine) -> Result<(), String> {
    let (seed, is_selected) = (arguments.seed, |part: &str| {
        arguments.only.iter().any(|only| only == part)
    });
    // Parts that only count run in parallel; parts that are timed run alone afterwards.
    let (torture_outcome, crash_outcome, days) = thread::scope(|scope| {
        let torture_thread = is_selected("kills").then(|| {
            scope.spawn(|| {
                let program = std::env::current_exe()
                    .map_err(|e| e.to_string())?
                    .with_file_name("chalkhall");
                torture(&program, &directory.join("torture"), arguments.kills, seed)
                    .map_err(|f| f.what)
            })
        });
        let days = [false, true].map(|scan| {
            is_selected("days").then(|| scope.spawn(move || day::simulate(seed, scan)))
        });
        let crash_outcome =
            is_selected("crashes").then(|| run_crash_points(seed, arguments.crash_points));
        let days =
            days.map(|day| day.map(|day| day.join().expect("a thread of the days panicked")));
        (
            torture_thread
                .map(|torture_thread| torture_thread.join().expect("the torture thread panicked")),
            crash_outcome,
            days,
        )
    });
    let torture_outcome = torture_outcome.transpose()?;
    if let Some(torture_outcome) = &torture_outcome {
        line.add(
            "kills",
            torture_outcome.kills,
            torture_outcome.kills >= arguments.kills,
        );
        line.add(
            "unproven_served",
            torture_outcome.unproven_served,
            torture_outcome.unproven_served == 0,
        );
    }
    if let Some(crash_outcome) = &crash_outcome {
        line.add(
            "crash_points",
            crash_outcome.reclaimed,
            crash_outcome.reclaimed >= arguments.crash_points,
        );
    }
    if let (Some(torture_outcome), Some(crash_outcome)) = (&torture_outcome, &crash_outcome) {
        line.add(
            "answers",
            torture_outcome.answers + crash_outcome.answers,
            torture_outcome.answers > 0 && crash_outcome.answers > 0,
        );
        line.add(
            "synced",
            torture_outcome.durable + crash_outcome.durable,
            torture_outcome.durable > 0 && crash_outcome.durable > 0,
        );
        line.add(
            "torn",
            torture_outcome.torn + crash_outcome.torn,
            torture_outcome.torn + crash_outcome.torn == 0,
        );
        line.add(
            "stale",
            torture_outcome.stale + crash_outcome.stale,
            torture_outcome.stale + crash_outcome.stale == 0,
        );
        let lost = torture_outcome.lost_synced + crash_outcome.lost;
        line.add("lost_synced", lost, lost == 0);
    }
    if let [Some(calm), Some(scan)] = &days {
        add_day_figures(calm, scan, line);
    }
    if is_selected("figures") {
        let index_bytes = allocations::index_bytes_per_part(1_000_000);
        line.add(
            "index_bytes_part",
            format!("{index_bytes:.1}"),
            index_bytes <= 48.0,
        );
        let memory_ratio = allocations::memory_ratio();
        line.add(
            "memory_counted_ratio",
            format!("{memory_ratio:.3}"),
            (0.7..=1.0).contains(&memory_ratio),
        );
        let read_ratio = timings::read_ratio(&directory.join("reads"), seed)?;
        line.add("read_ratio", format!("{read_ratio:.2}"), read_ratio >= 0.8);
        let recovery_ratio = timings::recovery_ratio(&directory.join("recovery"))?;
        line.add(
            "recover_ratio",
            format!("{recovery_ratio:.2}"),
            recovery_ratio <= 2.0,
        );
        let hung_ratio = timings::hung_ratio(seed)?;
        line.add(
            "hung_p99_ratio",
            format!("{hung_ratio:.2}"),
            hung_ratio <= 1.1,
        );
    }
    Ok(())
}

fn add_day_figures(calm: &day::DayOutcome, scan: &day::DayOutcome, line: &mut FigureLine) {
    let useful_drop =
        |rates: fn(&day::DayOutcome) -> &day::Rates| rates(calm).useful - rates(scan).useful;
    line.add_ratio(
        "useful_drop",
        useful_drop(|d| &d.local_cache),
        useful_drop(|d| &d.local_cache) < 0.02,
    );
    line.add_ratio("useful_drop_lru", useful_drop(|d| &d.lru), true);
    line.add_ratio("useful_drop_all", useful_drop(|d| &d.all), true);
    let beats_baselines =
        scan.local_cache.bytes > scan.lru.bytes && scan.local_cache.bytes > scan.all.bytes;
    line.add_ratio("hit", scan.local_cache.bytes, beats_baselines);
    line.add_ratio("hit_lru", scan.lru.bytes, true);
    line.add_ratio("hit_all", scan.all.bytes, true);
    let matches_baselines = calm.local_cache.bytes >= calm.lru.bytes.max(calm.all.bytes) - 0.01;
    line.add_ratio("hit_calm", calm.local_cache.bytes, matches_baselines);
    line.add_ratio("hit_calm_lru", calm.lru.bytes, true);
    line.add_ratio("hit_calm_all", calm.all.bytes, true);
    line.add_ratio(
        "disk_full",
        scan.disk_utilization,
        scan.disk_utilization >= 0.8,
    );
    line.add_ratio(
        "write_amp",
        scan.write_amp,
        scan.write_amp <= 1.3 && scan.write_amp >= 1.0,
    );
}
