//! Data structures without a decision: each bounded, each held against a plain one by property tests.

mod recent;
mod window;

pub use recent::Recent;
pub use window::Window;
