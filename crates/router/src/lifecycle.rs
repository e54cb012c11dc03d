//! The life of a router process, with its graceful shutdown, as one state machine without I/O.
//!
//! ```text
//!           endpoints known             asked to stop             all answered and no more
//!           and socket bound                                      can come, or out of time
//! Starting -----------------> Serving ---------------> Draining -------------------------> Ended
//!     |                                                   ^
//!     +------------------- asked to stop -----------------+
//! ```
//!
//! * `Starting`: nothing is accepted yet.
//! * `Serving`: health checks are answered as ready, requests are admitted.
//! * `Draining`: health checks are answered as not ready; connections and requests that still come
//!   are admitted and answered. For `ARRIVALS_END_AFTER` new ones are waited for, whatever is open;
//!   after that the phase ends with the last open request. It ends in any case in time for the final
//!   writes before the process may be killed. Another request to stop changes nothing.
//! * `Ended`: what is still open fails, what is still unread or waits to be accepted is rejected,
//!   all answers are written, and the process exits.
//!
//! The decider owns the phase and advances it; connections and the listener watch it.

use std::time::Duration;

/// After a request to stop, connections and requests go on coming for up to this long.
const ARRIVALS_END_AFTER: Duration = Duration::from_millis(800);
/// The process is killed no sooner than the longest deadline, this at most, after a request to
/// stop.
const MAX_DEADLINE: Duration = Duration::from_millis(3000);
/// The time between that deadline and the kill.
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(700);
/// Kept free before the kill, for the last answers to be written and a disk to be closed meanwhile.
pub const FINAL_WRITES: Duration = Duration::from_millis(250);

/// A state of the router process. Times are those of the router's monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Not listening yet, or the endpoint list is not known.
    Starting,
    /// Ready for requests.
    Serving,
    /// Asked to stop: admits and answers what still comes, and is not ready any more.
    Draining {
        /// When the request to stop came.
        since: Duration,
        /// When the phase ends at the latest.
        until: Duration,
    },
    /// Nothing is admitted any more.
    Ended,
}

impl Phase {
    /// Whether health checks are told to send requests here.
    pub fn is_ready(self) -> bool {
        self == Phase::Serving
    }

    /// The phase after a request to stop.
    #[must_use]
    pub fn asked_to_stop(self, now: Duration, longest_deadline: Duration) -> Phase {
        match self {
            Phase::Starting | Phase::Serving => {
                let killed_at = now + longest_deadline.min(MAX_DEADLINE) + KILL_AFTER_DEADLINE;
                Phase::Draining {
                    since: now,
                    until: killed_at - FINAL_WRITES,
                }
            }
            later => later,
        }
    }

    /// The phase at this time. Draining ends when nothing more can come and no request is open, at
    /// the latest when its time is up.
    #[must_use]
    pub fn at(self, now: Duration, open_requests: impl Fn() -> usize) -> Phase {
        match self {
            Phase::Draining { since, until } => {
                let arrivals_ended = now >= since + ARRIVALS_END_AFTER;
                if now >= until || (arrivals_ended && open_requests() == 0) {
                    Phase::Ended
                } else {
                    self
                }
            }
            same => same,
        }
    }

    /// When the phase may change by time alone.
    pub fn next_look(self, now: Duration) -> Option<Duration> {
        let Phase::Draining { since, until } = self else {
            return None;
        };
        // With short deadlines the latest end comes before the end of arrivals.
        let next = [since + ARRIVALS_END_AFTER, until]
            .into_iter()
            .filter(|time| *time > now)
            .min();
        Some(next.unwrap_or(until))
    }
}

#[cfg(test)]
mod tests;
