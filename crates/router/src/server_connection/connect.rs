//! Connecting to a server, with retries, and the outcome of attempts if that fails.

use crate::io_errors::{ConnectFailure, MAX_INTERRUPTED_RETRIES};
use chalkhall::interface::Outcome;
use std::future::Future;
use std::io;
use std::time::Duration;
use tokio::time::sleep;

/// The delay before the only retry of a connect that failed for lack of a local resource.
pub(super) const LOCAL_RETRY_DELAY: Duration = Duration::from_millis(2);

/// Connects, each time on a new socket. Retries at once after an interruption by a signal, and once
/// after [`LOCAL_RETRY_DELAY`] if a local resource was exhausted, which may be free by then.
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
            ConnectFailure::Interrupted if interruptions < MAX_INTERRUPTED_RETRIES => {
                interruptions += 1
            }
            ConnectFailure::LocalResources if !is_retried => {
                is_retried = true;
                sleep(LOCAL_RETRY_DELAY).await;
            }
            _ => return Err(error),
        }
    }
}

/// The outcome of the attempts that waited for a connection which failed. None of them ran; a lack
/// of local resources does not count as a failure of the server.
pub(super) fn outcome_of_connect_failure(failure: ConnectFailure) -> Outcome {
    match failure {
        ConnectFailure::Interrupted | ConnectFailure::LocalResources => Outcome::NeverSent,
        ConnectFailure::Server => Outcome::Unreachable,
    }
}

#[cfg(test)]
mod tests;
