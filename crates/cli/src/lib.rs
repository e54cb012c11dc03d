//! `chalkhall`'s commands: thin over the packages that do the work.

pub mod arguments;
pub mod cells;
pub mod check;
pub mod fleet;
pub mod rig;
pub mod store;
pub mod torture;

/// Why a command ended without doing what it was asked, and with which exit code.
#[derive(Debug)]
pub struct Failure {
    pub code: u8,
    pub what: String,
}

impl Failure {
    /// It could not be done: exit code 1.
    pub fn new(what: impl std::fmt::Display) -> Failure {
        Failure {
            code: 1,
            what: what.to_string(),
        }
    }
}
