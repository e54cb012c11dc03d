//! Proves that what a router needs does not grow with the number of cache servers: real routers on loopback
//! between stand-ins, at a usual size and at sixteen times the cache servers, with the same traffic a router.
//! Ends on one line of measured figures; non-zero where one passes its bound, with its name.

mod bounds;
mod cache_servers;
mod discovery;
mod scenario;
mod settings;
mod traffic;
mod usage;

use bounds::{Growth, exceeded, line};
use chalkhall_cli::fleet::program;
use chalkhall_harness::children::Program;
use clap::Parser;
use scenario::{Day, Figures, Scenario, Size};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Proves that a router's needs do not grow with the fleet
#[derive(Parser)]
struct Arguments {
    /// Any seed must hold
    #[arg(long, env = "SEED", default_value_t = 1)]
    seed: u64,
    /// Cache servers at the usual size
    #[arg(long, default_value_t = 200)]
    cache_servers: usize,
    /// How many times as many the larger fleet has
    #[arg(long, default_value_t = 16)]
    times: usize,
    /// Routers measured at each size
    #[arg(long, default_value_t = 4)]
    routers: usize,
    /// Requests a second of a router, in the mean
    #[arg(long, default_value_t = 2.0)]
    rate: f64,
    /// Length of the day
    #[arg(long, default_value_t = 80.0)]
    seconds: f64,
    /// Another router than the one in `chalkhall`, to compare with
    #[arg(long)]
    router: Option<PathBuf>,
    /// Only what is counted decides: no bound on CPU time
    #[arg(long)]
    counted_only: bool,
}

impl Arguments {
    fn size(&self, times: usize) -> Size {
        Size {
            cache_servers: self.cache_servers * times,
            larger: times > 1,
        }
    }

    fn scenario(&self, times: usize, day: Day) -> Scenario {
        let seconds = if day == Day::AllRefusing {
            self.seconds / 4.0
        } else {
            self.seconds
        };
        Scenario {
            size: self.size(times),
            day,
            seed: self.seed,
            routers: self.routers,
            rate: self.rate,
            length: Duration::from_secs_f64(seconds),
        }
    }
}

/// Both sizes at the same time, so that both find the machine equally busy.
async fn both_sizes(arguments: &Arguments, program: &Program, day: Day) -> Result<Growth, String> {
    let usual = arguments.scenario(1, day);
    let larger = arguments.scenario(arguments.times, day);
    let played = tokio::join!(
        scenario::play(program, &usual),
        scenario::play(program, &larger)
    );
    let (usual, larger): (Figures, Figures) = (played.0?, played.1?);
    let cache_servers = arguments.cache_servers * arguments.times;
    Ok(Growth {
        usual,
        larger,
        cache_servers,
    })
}

async fn prove(arguments: &Arguments) -> Result<(String, Vec<String>), String> {
    let own = std::env::current_exe().map_err(|e| e.to_string())?;
    let program = program(
        &own.with_file_name("chalkhall"),
        arguments.router.as_deref(),
    );
    let mut shown = Vec::new();
    let mut short = Vec::new();
    for day in [Day::Usual, Day::AllRefusing] {
        let growth = both_sizes(arguments, &program, day).await?;
        shown.push(line(day, &growth));
        short.extend(exceeded(day, &growth, arguments.counted_only));
    }
    Ok((shown.join(" "), short))
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let proved = runtime
        .map_err(|e| e.to_string())
        .and_then(|runtime| tokio::task::LocalSet::new().block_on(&runtime, prove(&arguments)));
    match proved {
        Ok((line, short)) if short.is_empty() => {
            println!("proof-fleet-size: ok seed={} {line}", arguments.seed);
            ExitCode::SUCCESS
        }
        Ok((line, short)) => {
            println!(
                "proof-fleet-size: falls short: {}: seed={} {line}",
                short.join("; "),
                arguments.seed
            );
            ExitCode::FAILURE
        }
        Err(what) => {
            println!("proof-fleet-size: could not be played: {what}");
            ExitCode::FAILURE
        }
    }
}
