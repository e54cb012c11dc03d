//! Connecting to a server, and what a failure to connect says.

use crate::io_errors::{ConnectFailure, MAX_INTERRUPTIONS};
use chalkhall::interface::Outcome;
use std::future::Future;
use std::io;
use std::time::Duration;
use tokio::time::sleep;

/// The wait before the only retry of a connect for which this machine lacked a resource.
pub(super) const LOCAL_RETRY_DELAY: Duration = Duration::from_millis(2);

/// Connects, each time on a new socket: again at once after an interruption by a signal, and once
/// more after a moment when this machine lacked a resource, which may be there by then.
///
/// # Errors
/// The last failure.
pub(super) async fn connect_with_retry<T, F>(mut connect: impl FnMut() -> F) -> io::Result<T>
where
    F: Future<Output = io::Result<T>>,
{
    let mut interruptions = 0;
    let mut is_retried = false;
    loop {
        let error = match connect().await {
            Ok(stream) => return Ok(stream),
            Err(error) => error,
        };
        match ConnectFailure::from(&error) {
            ConnectFailure::Interrupted if interruptions < MAX_INTERRUPTIONS => interruptions += 1,
            ConnectFailure::LocalResources if !is_retried => {
                is_retried = true;
                sleep(LOCAL_RETRY_DELAY).await;
            }
            _ => return Err(error),
        }
    }
}

/// How the attempts end that waited for a connection. None of them ran; but what this machine lacks
/// is not held against the server.
pub(super) fn outcome_of_connect_failure(failure: ConnectFailure) -> Outcome {
    match failure {
        ConnectFailure::Interrupted | ConnectFailure::LocalResources => Outcome::NeverSent,
        ConnectFailure::Server => Outcome::Unreachable,
    }
}

#[cfg(test)]
mod tests;
