//! Graceful shutdown, as the tasks of the router take part in it:
//!
//! 1. SIGTERM reaches the decider as [`Message::Stop`], which begins to drain (`lifecycle`).
//! 2. While it drains, what still comes is answered; health checks learn that the router is not
//!    ready.
//! 3. When nothing is open, or a kill may come, the decider answers all that is left and ends.
//! 4. The listener sees the end, and gives its clients time to read their last answers.
//! 5. The disk of the local cache is closed meanwhile, within [`DISK_CLOSE_TIMEOUT`] of the
//!    decider's end.

use crate::error::RouterError;
use crate::lifecycle;
use crate::messages::Message;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::{Instant, timeout_at};

/// For the disk of the local cache to be closed, from the end of the decisions on: a kill may come
/// soon after.
const DISK_CLOSE_TIMEOUT: Duration = Duration::from_millis(200);
const _: () = assert!(DISK_CLOSE_TIMEOUT.as_millis() + 50 <= lifecycle::FINAL_WRITES.as_millis());

/// Hands each SIGTERM to the decider.
pub async fn forward_stop_signals(mut stop: Signal, decider: mpsc::Sender<Message>) {
    while stop.recv().await.is_some() {
        let _ = decider.send(Message::Stop).await;
    }
}

/// Waits for what is left when the listener has ended. `decisions`: the decider's task, which
/// returns when it ended. `disk`: the task that ends with the threads of the disk, where there is
/// one.
///
/// # Errors
/// The decider has panicked.
pub async fn finish(
    decisions: JoinHandle<Instant>,
    disk: Option<JoinHandle<()>>,
) -> Result<(), RouterError> {
    let decisions_ended = decisions.await.map_err(RouterError::DecisionsFailed)?;
    if let Some(disk) = disk {
        wait_for_disk(decisions_ended, disk).await;
    }
    Ok(())
}

/// Waits for a disk to be closed, but not until a kill: what was written is there anyway, and a
/// close in order only makes the next start quick.
async fn wait_for_disk(decisions_ended: Instant, disk: JoinHandle<()>) {
    let closed = timeout_at(decisions_ended + DISK_CLOSE_TIMEOUT, disk).await;
    if closed.is_err() {
        log::warn!("the disk of own copies was not closed in time");
    }
}

#[cfg(test)]
mod tests;
