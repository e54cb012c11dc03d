//! Bounded data structures, each compared with a plain reference implementation by property tests.

mod name_map;
mod recent;
mod rendezvous;
mod window;

pub use name_map::NameMap;
pub use recent::Recent;
pub use rendezvous::{draw, draw_seeded, name_seed};
pub use window::Window;
