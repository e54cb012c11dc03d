//! Where a zone's requests go when a place is down: decided in common by the routers of the zone, by
//! what all zones tell of themselves. No I/O. `docs/regions.md` has the ways weighed and the promises.
//!
//! | module | what |
//! | --- | --- |
//! | [`evidence`] | what each router sees of its caches, pooled; when a place is bad, and good again |
//! | [`words`] | what is told, in bytes |
//! | [`decide`] | rooms, the plan of the zone, where a request goes |
//!
//! Nothing here sends, rejects or answers: a request is told among which zone's caches the decisions are
//! to draw, and each rule is kept where every send passes. Only what may run again and leaves no mark goes to
//! another zone: a deduplicated request never leaves the group that knows its mark, and what must not run
//! twice stays where it was asked for.

pub mod decide;
pub mod evidence;
pub mod words;

pub use decide::{About, KIND_POLICIES, Place, Regions, Where};
