//! Graceful shutdown across the tasks of the router:
//!
//! 1. SIGTERM reaches the decider as [`Message::Stop`], and the decider starts to drain (see
//!    `lifecycle`).
//! 2. While draining, new requests are answered, and health checks report that the router is not
//!    ready.
//! 3. When no request is open, or a kill may follow soon, the decider answers the remaining
//!    requests and ends.
//! 4. The listener observes the end, and gives its clients time to read their last responses.
//! 5. The disk of the local cache is closed meanwhile, within [`DISK_CLOSE_TIMEOUT`] after the
//!    decider has ended.

use crate::error::RouterError;
use crate::lifecycle;
use crate::messages::Message;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout_at};

/// Time for the disk of the local cache to be closed after the decider has ended. A kill may follow
/// soon after.
const DISK_CLOSE_TIMEOUT: Duration = Duration::from_millis(200);
const _: () =
    assert!(DISK_CLOSE_TIMEOUT.as_millis() + 50 <= lifecycle::FINAL_WRITE_RESERVE.as_millis());

/// Forwards each SIGTERM to the decider.
pub async fn forward_stop_signals(mut stop: Signal, decider: mpsc::Sender<Message>) {
    while stop.recv().await.is_some() {
        let _ = decider.send(Message::Stop).await;
    }
}

/// Waits for the remaining tasks after the listener has ended. `decider` returns the time at which
/// it ended; `disk`, if there is one, ends with the disk's threads.
///
/// # Errors
/// If the decider has panicked.
pub async fn finish(
    decider: JoinHandle<Instant>,
    disk: Option<JoinHandle<()>>,
) -> Result<(), RouterError> {
    let decider_ended_at = decider.await.map_err(RouterError::DeciderFailed)?;
    if let Some(disk) = disk {
        wait_for_disk(decider_ended_at, disk).await;
    }
    Ok(())
}

/// Waits for a disk to be closed, but not until a kill: written data is safe, and an orderly close
/// only speeds up the next start.
async fn wait_for_disk(decider_ended_at: Instant, disk: JoinHandle<()>) {
    let closed = timeout_at(decider_ended_at + DISK_CLOSE_TIMEOUT, disk).await;
    if closed.is_err() {
        log::warn!("disk tier of the local cache not closed in time");
    }
}

#[cfg(test)]
mod tests;
