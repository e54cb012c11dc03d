//! `chalkhall-router`: one router on real sockets, as the platform starts it.

use clap::Parser;
use std::path::PathBuf;
use std::process::ExitCode;

/// One chalkhall router on real sockets.
///
/// It is told by the environment: ROUTER_CONFIG is the path of a JSON file; ROUTER_NAME and ROUTER_LISTEN go
/// before its `name` and `listen`. SIGTERM drains and ends it, SIGHUP reads the file anew.
///
/// Exit codes: 0 after SIGTERM; 1 where it could not start, with one line that names what is at fault; 2 for
/// arguments that make no sense.
#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    /// The operator's file; without one all that it could turn on is off
    #[arg(value_name = "FILE")]
    directives: Option<PathBuf>,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let file = arguments.directives;
    let (told, faults) = file
        .as_deref()
        .map(chalkhall_config::read)
        .unwrap_or_default();
    if !faults.is_empty() {
        faults
            .iter()
            .for_each(|fault| eprintln!("chalkhall-router: {fault}"));
        return ExitCode::FAILURE;
    }
    chalkhall_router::logging::begin(&told.log);
    match chalkhall_router::serve(told, file) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("chalkhall-router: {what}");
            ExitCode::FAILURE
        }
    }
}
