//! A router's own copies: in memory, and behind that on a disk that survives a crash.
//!
//! `decide` holds what is decided, without I/O: the same code runs in the router, in tests on a disk that
//! crashes and in the proof. `format` says how things lie on disk, `recovery` what is left of them; `files`
//! is the file layer, `hands` carries out orders on it, `threads` does so beside the router. `stand_ins` is a
//! disk that fails as told.

pub mod boot_clock;
pub mod catalogue;
pub mod copy;
pub mod decide;
pub mod files;
pub mod format;
pub mod hands;
pub mod key;
pub mod recovery;
pub mod stand_ins;
pub mod threads;
