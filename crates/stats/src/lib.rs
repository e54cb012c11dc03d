//! Data structures without a decision: each bounded, each held against a plain one by property tests.

mod hashed;
mod recent;
mod window;

pub use hashed::draw;
pub use recent::Recent;
pub use window::Window;
