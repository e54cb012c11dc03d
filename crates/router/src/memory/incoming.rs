//! The memory for the long bodies of requests, from when they are received until the decider has
//! admitted or refused their requests.

use super::MemoryBudget;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};

/// The part of the process' memory for bodies that are being received.
const INCOMING_DIVISOR: u64 = 8;
/// At least a few of the largest bodies can be received at a time.
const MIN_INCOMING_BYTES: u64 = 256 * 1024;

/// The memory for bodies that are being received from clients.
#[derive(Debug)]
pub struct IncomingBodies {
    budget: Rc<MemoryBudget>,
    available: Arc<Semaphore>,
    max_bytes: usize,
    /// The number of connections that wait for memory.
    waiting: Cell<usize>,
    shortage: Notify,
}

/// The memory that a body takes. Dropped once the request has been admitted or refused.
pub type BodyPermit = OwnedSemaphorePermit;

impl IncomingBodies {
    /// The memory for bodies in a process that may use this much, within its budget.
    pub fn new(process_memory: u64, budget: Rc<MemoryBudget>) -> Rc<IncomingBodies> {
        let max_bytes = (process_memory / INCOMING_DIVISOR).max(MIN_INCOMING_BYTES);
        let max_bytes = usize::try_from(max_bytes).unwrap_or(Semaphore::MAX_PERMITS);
        let max_bytes = max_bytes.min(Semaphore::MAX_PERMITS);
        Rc::new(IncomingBodies {
            budget,
            available: Arc::new(Semaphore::new(max_bytes)),
            max_bytes,
            waiting: Cell::new(0),
            shortage: Notify::new(),
        })
    }

    /// The bytes that bodies take.
    pub fn bytes(&self) -> usize {
        self.max_bytes - self.available.available_permits()
    }

    /// Waits for memory for a body, and asks connections that stand still to give up theirs. None:
    /// the memory of the process is exhausted.
    pub async fn acquire(self: Rc<Self>, bytes: usize) -> Option<BodyPermit> {
        let permits = u32::try_from(bytes).ok()?;
        let permit = match self.available.clone().try_acquire_many_owned(permits) {
            Ok(permit) => permit,
            Err(_) => {
                let _waiting = WaitingConnection::register(&self);
                let available = self.available.clone();
                available.acquire_many_owned(permits).await.ok()?
            }
        };
        self.budget.has_room(bytes).then_some(permit)
    }

    /// Whether connections wait for memory.
    pub fn is_short(&self) -> bool {
        self.waiting.get() > 0
    }

    /// Waits until a connection has to wait for memory.
    pub async fn shortage(&self) {
        self.shortage.notified().await;
    }
}

/// A connection that waits for memory.
struct WaitingConnection<'a>(&'a IncomingBodies);

impl<'a> WaitingConnection<'a> {
    fn register(bodies: &'a IncomingBodies) -> WaitingConnection<'a> {
        bodies.waiting.set(bodies.waiting.get() + 1);
        bodies.shortage.notify_waiters();
        WaitingConnection(bodies)
    }
}

impl Drop for WaitingConnection<'_> {
    fn drop(&mut self) {
        self.0.waiting.set(self.0.waiting.get() - 1);
    }
}

#[cfg(test)]
mod tests;
