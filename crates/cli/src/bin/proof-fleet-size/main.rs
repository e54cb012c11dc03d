//! Checks that a router's resource use does not grow with the number of cache servers. Runs router processes on
//! loopback between stand-ins, at a base size and with sixteen times as many cache servers, with the same traffic
//! per router. Prints one line of measured figures at the end. Where a figure exceeds its bound, the line names it
//! and the exit code is not zero.

mod bounds;
mod cache_servers;
mod discovery;
mod scenario;
mod settings;
mod traffic;
mod usage;

use bounds::{Growth, format_figures, violations};
use chalkhall_cli::fleet::program;
use chalkhall_harness::processes::RouterCommand;
use clap::Parser;
use scenario::{Conditions, Figures, Scenario, Size};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// Checks that a router's resource use does not grow with the fleet of cache servers
#[derive(Parser)]
struct Arguments {
    /// Seed of all random draws; the bounds must hold with any
    #[arg(long, env = "SEED", default_value_t = 1)]
    seed: u64,
    /// Cache servers at the base size
    #[arg(long, default_value_t = 200)]
    cache_servers: usize,
    /// Cache servers at the larger size, as a multiple of the base size
    #[arg(long, default_value_t = 16)]
    times: usize,
    /// Routers measured at each size
    #[arg(long, default_value_t = 4)]
    routers: usize,
    /// Mean number of requests per second and router
    #[arg(long, default_value_t = 2.0)]
    rate: f64,
    /// Length of a scenario
    #[arg(long, default_value_t = 80.0)]
    seconds: f64,
    /// Router program to run instead of the one in `chalkhall`, for comparison
    #[arg(long)]
    router: Option<PathBuf>,
    /// Check only figures that are counted: apply no bound to CPU time
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

    fn scenario(&self, times: usize, conditions: Conditions) -> Scenario {
        let seconds = if conditions == Conditions::AllRefusing {
            self.seconds / 4.0
        } else {
            self.seconds
        };
        Scenario {
            size: self.size(times),
            conditions,
            seed: self.seed,
            routers: self.routers,
            rate: self.rate,
            length: Duration::from_secs_f64(seconds),
        }
    }
}

/// Runs both sizes at the same time, so that other work on the machine affects both equally.
async fn run_both_sizes(
    arguments: &Arguments,
    program: &RouterCommand,
    conditions: Conditions,
) -> Result<Growth, String> {
    let base = arguments.scenario(1, conditions);
    let larger = arguments.scenario(arguments.times, conditions);
    let outcomes = tokio::join!(
        scenario::run(program, &base),
        scenario::run(program, &larger)
    );
    let (base, larger): (Figures, Figures) = (outcomes.0?, outcomes.1?);
    let cache_servers = arguments.cache_servers * arguments.times;
    Ok(Growth {
        base,
        larger,
        cache_servers,
    })
}

async fn prove(arguments: &Arguments) -> Result<(String, Vec<String>), String> {
    let executable = std::env::current_exe().map_err(|e| e.to_string())?;
    let program = program(
        &executable.with_file_name("chalkhall"),
        arguments.router.as_deref(),
    );
    let mut figures = Vec::new();
    let mut exceeded = Vec::new();
    for conditions in [Conditions::Normal, Conditions::AllRefusing] {
        let growth = run_both_sizes(arguments, &program, conditions).await?;
        figures.push(format_figures(conditions, &growth));
        exceeded.extend(violations(conditions, &growth, arguments.counted_only));
    }
    Ok((figures.join(" "), exceeded))
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let outcome = runtime
        .map_err(|e| e.to_string())
        .and_then(|runtime| tokio::task::LocalSet::new().block_on(&runtime, prove(&arguments)));
    match outcome {
        Ok((line, exceeded)) if exceeded.is_empty() => {
            println!("proof-fleet-size: ok seed={} {line}", arguments.seed);
            ExitCode::SUCCESS
        }
        Ok((line, exceeded)) => {
            println!(
                "proof-fleet-size: falls short: {}: seed={} {line}",
                exceeded.join("; "),
                arguments.seed
            );
            ExitCode::FAILURE
        }
        Err(reason) => {
            println!("proof-fleet-size: could not run: {reason}");
            ExitCode::FAILURE
        }
    }
}
