//! The commands of `chalkhall`: thin wrappers of the packages that do the work.

pub mod arguments;
pub mod cells;
pub mod check;
pub mod fleet;
pub mod store;
pub mod store_driver;
pub mod torture;

/// The error message and exit code of a failed command.
#[derive(Debug)]
pub struct Failure {
    pub code: u8,
    pub reason: String,
}

impl Failure {
    /// A failure with exit code 1.
    pub fn new(reason: impl std::fmt::Display) -> Failure {
        Failure {
            code: 1,
            reason: reason.to_string(),
        }
    }
}
