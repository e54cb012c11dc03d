//! `make demo`: runs one router process on loopback between stand-ins for two cache servers, a
//! parent, an origin and discovery. Sends a few requests and prints what happened to each; exit
//! code 0 only if all steps ended as expected.

mod client;
mod configuration;
mod discovery;
mod error;
mod scenario;
mod servers;
mod summary;

use error::DemoError;
use std::error::Error;
use std::process::ExitCode;
use std::time::Duration;
use summary::Summary;
use tokio::task::LocalSet;
use tokio::time::timeout;

const TIME_LIMIT: Duration = Duration::from_secs(9);

fn run() -> Result<Summary, DemoError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let outcome = LocalSet::new().block_on(&runtime, async {
        timeout(TIME_LIMIT, scenario::run()).await
    });
    outcome.unwrap_or(Err(DemoError::TimeLimitExceeded(TIME_LIMIT)))
}

fn main() -> ExitCode {
    match run() {
        Ok(summary) => {
            println!("{summary}");
            ExitCode::from(u8::from(!summary.succeeded()))
        }
        Err(error) => {
            let cause = error
                .source()
                .map_or(String::new(), |cause| format!(": {cause}"));
            eprintln!("demo: {error}{cause}");
            ExitCode::FAILURE
        }
    }
}
