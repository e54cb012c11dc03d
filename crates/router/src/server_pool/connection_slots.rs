//! The limit on the connections to all servers together.

use std::sync::Arc;
use tokio::sync::futures::Notified;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};

/// Idle connections are closed while at most one in this many slots is free.
const RESERVED_SLOT_DIVISOR: usize = 16;

/// The slots for connections to all servers. Together with the slots for client connections they
/// are the descriptors that the process may use.
pub struct ConnectionSlots {
    free: Arc<Semaphore>,
    /// An idle connection is closed when at most this many slots are free.
    low_watermark: usize,
    /// Awaited by the actors with an idle connection; the longest waiter is notified first.
    low: Notify,
}

impl ConnectionSlots {
    /// Creates this many free slots.
    pub fn new(capacity: usize) -> ConnectionSlots {
        ConnectionSlots {
            free: Arc::new(Semaphore::new(capacity)),
            low_watermark: capacity / RESERVED_SLOT_DIVISOR,
            low: Notify::new(),
        }
    }

    /// Reserves a slot. Returns `None` if all are taken.
    ///
    /// If few are left, an idle connection of some server is closed: with many servers, idle
    /// connections alone could take all slots, and servers without a connection would be
    /// unreachable.
    pub(super) fn reserve(&self) -> Option<OwnedSemaphorePermit> {
        let slot = self.free.clone().try_acquire_owned().ok();
        if self.free.available_permits() <= self.low_watermark {
            self.low.notify_one();
        }
        slot
    }

    /// Waits until an idle connection has to be closed. One waiter is notified for each.
    pub(super) fn running_low(&self) -> Notified<'_> {
        self.low.notified()
    }

    /// The number of free slots.
    #[cfg(test)]
    pub(super) fn available(&self) -> usize {
        self.free.available_permits()
    }
}
