//! Stand-ins: a disk that crashes and fails as told, and hands that carry out orders when told.

pub mod crashes;
mod disk;
mod driver;

pub use disk::{Disk, Faults};
pub use driver::{Driver, Orders, Piece, size_of};
