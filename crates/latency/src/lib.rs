//! What each way between zones costs: one model of the whole fleet, measured by few, told to all,
//! forgotten with time. No I/O. `docs/latency.md` has the ways weighed.
//!
//! | module | what |
//! | --- | --- |
//! | [`sketch`] | a distribution as one router has seen it, decaying; the few bytes in which it is told |
//! | [`merge`] | many routers' distributions in one, that no single one can bend |
//! | [`model`] | who measures what and when, what is told, what is believed |
//! | [`steer`] | from ways and room to shares, without a herd and without a swing |
//!
//! A way is what a word costs from here to there and back, apart from what its server makes of it: queue,
//! fill and the size of a part are none of it. Steering by a sum that held the queue would send all to where
//! the queue is short, and make it long.

pub mod merge;
pub mod model;
pub mod sketch;
pub mod steer;

pub use merge::Estimate;
pub use model::{KIND_POLICIES, Model};
pub use sketch::{Share, Sketch};
pub use steer::{Offer, Table};
