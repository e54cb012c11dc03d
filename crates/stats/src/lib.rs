//! Data structures without a decision: each bounded, each held against a plain one by property
//! tests.

mod hashed;
mod name_map;
mod recent;
mod window;

pub use hashed::{draw, draw_seeded, name_seed};
pub use name_map::NameMap;
pub use recent::Recent;
pub use window::Window;
