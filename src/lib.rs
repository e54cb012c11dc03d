//! chalkhall decides, request by request, how a two-tier cache answers: which cache server, filled
//! from where, kept or not and at which rank, and what to do when something fails.
//!
//! [`control::Router`] makes every decision, with one module for each concern. [`interface`] holds
//! the plain types it is called with and [`interface::Outlet`], through which it acts. Any front
//! end can drive it; `crates/simulator-adapter` is one.
//!
//! A front end turns what the router wants into messages of its own:
//!
//! ```
//! use chalkhall::interface::{Fill, Id, Outlet};
//! use std::time::Duration;
//!
//! struct Printer(Vec<String>);
//!
//! impl Outlet for Printer {
//!     fn attempt(&mut self, request: &Id, server: &Id, _limit: Duration, fill: &Fill) {
//!         self.0.push(format!("{request}: {server}, filled from {}", fill.source));
//!     }
//!     fn reject(&mut self, request: &Id, _advice: Option<Duration>) {
//!         self.0.push(format!("{request}: rejected"));
//!     }
//!     fn fail(&mut self, request: &Id) {
//!         self.0.push(format!("{request}: failed"));
//!     }
//!     fn cancel(&mut self, _request: &Id, _attempt: usize) {}
//!     fn wake_at(&mut self, _at: Duration, _mark: u64) {}
//!     fn watch_list(&mut self) {}
//! }
//!
//! let mut out = Printer(Vec::new());
//! out.reject(&"a1".into(), None);
//! assert_eq!(out.0, ["a1: rejected"]);
//! ```

#![warn(missing_docs)]

mod adaptive_timeout;
mod admission;
mod coalescing;
mod completion;
pub mod control;
mod dispatch;
mod endpoints;
mod fill_limiter;
pub mod interface;
mod lifecycle;
pub mod outlier;
mod overdue;
mod purge;
mod request;
mod retry;
pub mod router;
mod routing;
mod selection;
mod slow_start;
mod timers;
