//! Cells: parts of the fleet and the requests bound to them, which confine the effects of a fault. No I/O.
//!
//! `map` assigns cache servers and requests to cells; `limits` bounds the request rate of each tenant, in
//! bounded memory for any number of names; `moves` moves a tenant from one cell to another while it is served;
//! `plan` chooses which tenants to move.

pub mod limits;
pub mod map;
pub mod moves;
pub mod plan;
