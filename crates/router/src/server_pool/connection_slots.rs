//! The bound on the connections to all servers together.

use std::sync::Arc;
use tokio::sync::futures::Notified;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};

/// Idle connections are closed while no more than this part of the slots is free.
const RESERVED_FRACTION: usize = 16;

/// The slots for connections to all servers: together with those of clients they are the
/// descriptors that the process may use.
pub struct ConnectionSlots {
    free: Arc<Semaphore>,
    /// At this many free slots or fewer, an idle connection is closed.
    low_watermark: usize,
    /// Awaited by the actors with an idle connection, those first that have waited for longest.
    low: Notify,
}

impl ConnectionSlots {
    /// So many slots, all of them free.
    pub fn new(capacity: usize) -> ConnectionSlots {
        ConnectionSlots {
            free: Arc::new(Semaphore::new(capacity)),
            low_watermark: capacity / RESERVED_FRACTION,
            low: Notify::new(),
        }
    }

    /// Reserves a slot; `None` if all are taken.
    ///
    /// Where few are left, an idle connection of some server is closed: with many servers idle
    /// connections alone could take all slots, and a server without a connection could not be
    /// reached.
    pub(super) fn reserve(&self) -> Option<OwnedSemaphorePermit> {
        let slot = self.free.clone().try_acquire_owned().ok();
        if self.free.available_permits() <= self.low_watermark {
            self.low.notify_one();
        }
        slot
    }

    /// Waits until an idle connection has to be closed. One waiter is woken for each.
    pub(super) fn running_low(&self) -> Notified<'_> {
        self.low.notified()
    }

    /// How many slots are free.
    #[cfg(test)]
    pub(super) fn available(&self) -> usize {
        self.free.available_permits()
    }
}
