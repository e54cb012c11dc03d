//! The commands of `chalkhall`: thin wrappers of the packages that do the work.

pub mod arguments;
pub mod cells;
pub mod check;
pub mod fleet;
pub mod rig;
pub mod store;
pub mod torture;

/// The error message and exit code of a failed command.
#[derive(Debug)]
pub struct Failure {
    pub code: u8,
    pub what: String,
}

impl Failure {
    /// A failure with exit code 1.
    pub fn new(what: impl std::fmt::Display) -> Failure {
        Failure {
            code: 1,
            what: what.to_string(),
        }
    }
}
