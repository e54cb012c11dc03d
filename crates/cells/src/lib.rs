//! Cells: parts of the fleet, and what is bound to them, so that harm stays where it began. No I/O.
//!
//! `map` says which cache servers a cell has and to which cell a request belongs; `limits` what a tenant may
//! ask for in a while, in bounded memory however many names there are; `moves` how a tenant goes from one
//! cell to another while it is served.

pub mod limits;
pub mod map;
pub mod moves;
pub mod plan;
