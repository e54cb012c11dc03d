//! chalkhall decides, access by access, how a two-tier cache answers: which cache server, filled from where,
//! kept or not and at which rank, and what to do when something fails.
//!
//! [`control::Router`] holds every decision. [`interface`] holds the plain types it is called with and
//! [`interface::Outlet`], through which it acts. Any front end can drive it; `crates/wirehost` is one.

pub mod control;
pub mod interface;
