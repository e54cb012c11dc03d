//! Bounded data structures, each compared with a plain reference implementation by property tests.

mod name_map;
mod recent_quantiles;
mod rendezvous;
mod window_sum;

pub use name_map::NameMap;
pub use recent_quantiles::RecentQuantiles;
pub use rendezvous::{name_seed, rendezvous_score, rendezvous_score_seeded};
pub use window_sum::WindowSum;
