//! The memory that the process may allocate, including what is reserved for answers on their way.
//!
//! All allocations count, whatever they are for, so that nothing has to be counted where it is
//! held. What is read from a socket is checked before memory is allocated for it.

use super::allocator::allocated_bytes;
use std::cell::Cell;
use std::rc::Rc;

/// The part of the process' memory that may be allocated, in quarters. The rest is for pages that
/// are only partly allocated, the stacks and the data of the program.
const ALLOCATED_QUARTERS: u64 = 3;

/// The memory that the process may allocate.
#[derive(Debug)]
pub struct MemoryBudget {
    limit: usize,
    /// Reserved for answers that have not been received yet.
    reserved: Cell<usize>,
    /// Returns the bytes that are allocated.
    allocated: fn() -> usize,
}

impl MemoryBudget {
    /// The budget of a process that may use this much memory, in bytes.
    pub fn new(process_memory: u64) -> Rc<MemoryBudget> {
        MemoryBudget::with_meter(process_memory, allocated_bytes)
    }

    /// Like [`MemoryBudget::new`], with another source of the bytes that are allocated.
    pub fn with_meter(process_memory: u64, allocated: fn() -> usize) -> Rc<MemoryBudget> {
        Rc::new(MemoryBudget {
            limit: (process_memory / 4 * ALLOCATED_QUARTERS) as usize,
            reserved: Cell::new(0),
            allocated,
        })
    }

    /// The bytes that may be allocated or reserved together.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// The bytes that are allocated.
    pub fn allocated(&self) -> usize {
        (self.allocated)()
    }

    /// The bytes that are reserved for answers.
    pub fn reserved(&self) -> usize {
        self.reserved.get()
    }

    /// By how many bytes the limit would be exceeded with so many more.
    pub fn excess_with(&self, bytes: usize) -> usize {
        (self.allocated() + self.reserved() + bytes).saturating_sub(self.limit)
    }

    /// Whether so many more bytes may be allocated.
    pub fn has_room(&self, bytes: usize) -> bool {
        self.excess_with(bytes) == 0
    }

    /// Reserves memory for an answer that is expected to have this size, whether there is room for
    /// it or not.
    pub fn reserve(self: &Rc<Self>, bytes: usize) -> Rc<Reservation> {
        self.reserved.set(self.reserved() + bytes);
        Rc::new(Reservation {
            budget: self.clone(),
            bytes: Cell::new(bytes),
        })
    }
}

/// Memory that is reserved for an answer, until memory is allocated for it or the attempt ends.
#[derive(Debug)]
pub struct Reservation {
    budget: Rc<MemoryBudget>,
    bytes: Cell<usize>,
}

impl Reservation {
    /// The bytes that are still reserved.
    pub fn bytes(&self) -> usize {
        self.bytes.get()
    }

    /// Ends the reservation.
    pub fn release(&self) {
        let budget = &self.budget;
        budget.reserved.set(budget.reserved() - self.bytes.take());
    }

    /// Ends the reservation, and returns whether memory for an answer of this size may be
    /// allocated. It may if no more was reserved, unless the limit is exceeded already.
    pub fn exchange(&self, bytes: usize) -> bool {
        self.release();
        self.budget.has_room(bytes)
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.release();
    }
}

#[cfg(test)]
mod tests;
