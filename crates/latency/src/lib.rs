//! The latency of each network path between zones: one model of the whole fleet, measured by a few
//! routers, sent to all, and decaying with time. No I/O. `docs/latency.md` compares the
//! alternatives.
//!
//! | module | content |
//! | --- | --- |
//! | [`sketch`] | a decaying distribution as one router has observed it, and its compact encoding |
//! | [`merge`] | the distributions of many routers as one that no single router can distort |
//! | [`model`] | who measures what and when, what is sent, what is accepted |
//! | [`share_table`] | from paths and capacities to shares, without herding and without oscillation |
//!
//! The cost of a path is the round trip of a probe, without what its server adds: queueing, fills
//! and the size of a part are excluded. Selection by a sum that included the queue would send
//! everything to where the queue is short, and make it long.

pub mod merge;
pub mod model;
pub mod share_table;
pub mod sketch;

pub use merge::Estimate;
pub use model::{KIND_POLICIES, Model};
pub use share_table::{Offer, ShareTable};
pub use sketch::{Sketch, SketchSummary};
