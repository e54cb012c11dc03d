//! The memory for the body of a request: a connection waits for it for a short time before it
//! receives a long body, and gives it up if the body stands still while others wait.

use super::Session;
use super::closing::CloseReason;
use super::read_buffer::ReadBuffer;
use crate::memory::BodyPermit;
use std::future::{Future, pending};
use std::pin::Pin;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// How long a connection waits for memory. Nothing is read meanwhile, not even that its client has
/// left. After that the body is discarded, and its request rejected.
const MAX_BODY_WAIT: Duration = Duration::from_millis(50);
/// A body of which nothing has been received for this long gives way to others.
const STANDSTILL: Duration = Duration::from_millis(100);

/// A wait for the memory of a body.
pub(super) struct BodyWait {
    permit: Pin<Box<dyn Future<Output = Option<BodyPermit>>>>,
    /// When the bytes that have been read already may have arrived.
    received_after: Duration,
}

/// Waits for the end of a wait for memory, or forever if there is none. None: there was no memory
/// for too long.
pub(super) async fn granted(wait: &mut Option<BodyWait>) -> Option<BodyPermit> {
    match wait {
        Some(wait) => wait.permit.as_mut().await,
        None => pending().await,
    }
}

impl Session {
    /// Begins to wait for memory if the next part of the message needs any.
    pub(super) fn begin_body_wait(
        &mut self,
        read_buffer: &ReadBuffer<'_>,
        received_after: Duration,
    ) {
        let Some(bytes) = read_buffer.decoder.awaits_admission() else {
            return;
        };
        let acquired = self
            .connection
            .frontend
            .incoming_bodies
            .clone()
            .acquire(bytes);
        let limit = Instant::now() + MAX_BODY_WAIT;
        self.body_wait = Some(BodyWait {
            permit: Box::pin(async move { timeout_at(limit, acquired).await.ok().flatten() }),
            received_after,
        });
    }

    /// Receives the body for which memory was granted, or discards it.
    pub(super) async fn end_body_wait(
        &mut self,
        read_buffer: &mut ReadBuffer<'_>,
        permit: Option<BodyPermit>,
    ) -> Result<(), CloseReason> {
        let Some(wait) = self.body_wait.take() else {
            return Ok(());
        };
        if permit.is_some() {
            read_buffer.decoder.admit_part();
        } else {
            log::debug!(slot = self.connection.slot.id; "no memory for the body of a request");
            read_buffer.decoder.discard_part();
        }
        self.body_permit = permit;
        self.handle_messages_since(read_buffer, wait.received_after)
            .await
    }

    /// Gives up the memory of a body that stands still, as others wait for some.
    pub(super) fn give_way(&mut self, read_buffer: &mut ReadBuffer<'_>) {
        if read_buffer.last_read_at.elapsed() >= STANDSTILL {
            read_buffer.decoder.discard_part();
            self.body_permit = None;
        }
    }
}
