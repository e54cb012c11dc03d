//! Stand-ins for tests: a simulated disk with injected crashes and faults, and a driver that runs a store's
//! disk operations one at a time.

pub mod crashes;
mod disk;
mod driver;

pub use disk::{Disk, Faults};
pub use driver::{Driver, RecordingBackend, TestPart, body_len};
