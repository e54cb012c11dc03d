//! `chalkhall-router`: the router process that the platform starts.

use chalkhall_router::memory::CountingAllocator;
use clap::Parser;
use std::path::PathBuf;
use std::process::ExitCode;

/// Counts what is allocated against the limit of memory.
#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// One chalkhall router on real sockets.
///
/// It is configured by the environment: ROUTER_CONFIG is the path of a JSON file; ROUTER_NAME and
/// ROUTER_LISTEN take precedence over its `name` and `listen`. SIGTERM drains and ends it, SIGHUP
/// reloads the file.
///
/// Exit codes: 0 after SIGTERM; 1 if it cannot start, with one line that names the cause; 2 for
/// invalid arguments.
#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    /// The operator's file; without it, everything that it can turn on is off
    #[arg(value_name = "FILE")]
    directives: Option<PathBuf>,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let path = arguments.directives;
    let (directives, faults) = path
        .as_deref()
        .map(chalkhall_config::read)
        .unwrap_or_default();
    if !faults.is_empty() {
        for fault in faults {
            eprintln!("chalkhall-router: {fault}");
        }
        return ExitCode::FAILURE;
    }
    chalkhall_router::logging::init(&directives.log);
    match chalkhall_router::serve(directives, path) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("chalkhall-router: {error}");
            ExitCode::FAILURE
        }
    }
}
