//! Request routing for a two-tier cache. For each request the router selects the cache server and
//! the source that fills a miss, decides whether and at which priority the copy is retained, and
//! handles failures.
//!
//! [`control::Router`] makes the decisions; each concern has a module of its own. [`interface`]
//! defines its input types and the [`interface::Outlet`] trait, through which it acts. Any front
//! end can drive it; `crates/simulator-adapter` is one.
//!
//! A front end implements [`interface::Outlet`] to turn the router's actions into messages:
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
