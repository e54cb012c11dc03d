//! The router's local cache: a memory tier, backed by a crash-safe disk tier.
//!
//! `decide` holds the decisions, without I/O: the same code runs in the router, in tests on a simulated disk
//! that crashes, and in the proof. `format` defines the on-disk format and `recovery` reads segments after a
//! restart; `files` is the file layer, `segment_files` runs disk operations on it, and `threads` does so on worker
//! threads beside the router. `stand_ins` holds a disk with injected faults and a driver for tests.

pub mod boot_clock;
pub mod catalogue;
pub mod copy;
pub mod decide;
pub mod files;
pub mod format;
pub mod key;
pub mod recovery;
pub mod segment_files;
pub mod stand_ins;
pub mod threads;
