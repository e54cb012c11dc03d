//! Failover of a zone's requests to other zones: decided together by the routers of the zone, from
//! the states that all zones publish. No I/O. `docs/regions.md` compares the alternatives and
//! states the guarantees.
//!
//! | module | content |
//! | --- | --- |
//! | [`evidence`] | pooled outcomes at the zone's caches; when a zone counts as bad, and as good again |
//! | [`messages`] | what is published, in bytes |
//! | [`planner`] | spare capacities, the plan of the zone, the zone of a request |
//!
//! Nothing here sends, rejects or answers a request: it only selects the zone among whose caches
//! the decisions choose, and every rule is enforced where each attempt passes. Only requests that
//! may be repeated and have no side effect go to another zone: a deduplicated request never leaves
//! the group of servers that drops its repeats, and one that must not run twice stays in the zone
//! that received it.

pub mod evidence;
pub mod messages;
pub mod planner;

pub use planner::{FailoverConfig, FailoverPlanner, KIND_POLICIES, TargetZone, ZoneCapacity};
