//! A router's own copies: in memory, and behind that on a disk that survives a crash.
//!
//! `decide` holds what is decided, without I/O; `format` how things lie on disk.

pub mod copy;
pub mod decide;
pub mod format;
pub mod key;
