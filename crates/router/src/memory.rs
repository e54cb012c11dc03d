//! The memory of the process: what is allocated, and whether there is room for more.

mod allocator;
mod budget;
mod incoming;

pub use allocator::{CountingAllocator, configure_heap, release_freed_pages};
pub use budget::{MemoryBudget, Reservation};
pub use incoming::{BodyPermit, IncomingBodies};
