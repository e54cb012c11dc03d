//! Request routing for a two-tier cache. For each request the router selects the cache server and
//! the source that fills a miss, decides whether and at which priority the copy is retained, and
//! handles failures.
//!
//! [`control::Router`] makes the decisions; each concern has a module of its own. [`interface`]
//! defines its input types and the [`interface::ActionSink`] trait, through which it acts. Any
//! front end can drive it; `crates/simulator-adapter` is one.
//!
//! A front end implements [`interface::ActionSink`] to turn the router's actions into messages:
//!
//! ```
//! use chalkhall::interface::{ActionSink, AttemptLimits, Fill, Id};
//! use std::time::Duration;
//!
//! struct Printer(Vec<String>);
//!
//! impl ActionSink for Printer {
//!     fn attempt(&mut self, request: &Id, server: &Id, _limits: AttemptLimits, fill: &Fill) {
//!         self.0.push(format!("{request}: {server}, filled from {}", fill.source));
//!     }
//!     fn reject(&mut self, request: &Id, _retry_after: Option<Duration>) {
//!         self.0.push(format!("{request}: rejected"));
//!     }
//!     fn fail(&mut self, request: &Id) {
//!         self.0.push(format!("{request}: failed"));
//!     }
//!     fn cancel(&mut self, _request: &Id, _attempt: usize) {}
//!     fn set_timer(&mut self, _at: Duration, _timer_id: u64) {}
//!     fn subscribe_list(&mut self) {}
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
mod mean_work;
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
mod wait_queue;
