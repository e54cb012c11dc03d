//! The lifecycle of a router process, with its graceful shutdown, as a state machine without I/O.
//!
//! ```text
//!           endpoints known             asked to stop             all answered and no more
//!           and socket bound                                      can arrive, or out of time
//! Starting -----------------> Serving ---------------> Draining -------------------------> Ended
//!     |                                                   ^
//!     +------------------- asked to stop -----------------+
//! ```
//!
//! * `Starting`: nothing is accepted yet.
//! * `Serving`: health checks are answered as ready, requests are admitted.
//! * `Draining`: health checks are answered as not ready; connections and requests that still
//!   arrive are admitted and answered. The phase lasts for `ARRIVAL_WINDOW`, in which more may
//!   arrive, and then until no request is open. It ends in any case early enough for the final
//!   writes before the process may be killed. Further requests to stop have no effect.
//! * `Ended`: open requests fail, requests that are unread or on connections in the accept queue
//!   are rejected, all responses are written, and the process exits.
//!
//! The decider owns the phase and advances it; connections and the listener watch it.

use std::time::Duration;

/// How long connections and requests may still arrive after a request to stop.
const ARRIVAL_WINDOW: Duration = Duration::from_millis(800);
/// The process is killed no sooner after a request to stop than the longest deadline, counted up to
/// this value, plus `KILL_DELAY`.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_millis(3000);
/// The time from the longest deadline to the kill.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// Time reserved before the kill for writing the last responses and closing the disk.
pub const FINAL_WRITE_RESERVE: Duration = Duration::from_millis(250);

/// A phase of the router process. Times are those of the router's monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The socket is not bound yet, or the endpoint list is not known.
    Starting,
    /// Ready for requests.
    Serving,
    /// Asked to stop: requests that still arrive are admitted and answered, but the router is not
    /// ready any more.
    Draining {
        /// When the request to stop was received.
        since: Duration,
        /// The latest end of the phase.
        until: Duration,
    },
    /// Nothing is admitted any more.
    Ended,
}

impl Phase {
    /// Whether health checks are answered as ready.
    pub fn is_ready(self) -> bool {
        self == Phase::Serving
    }

    /// The phase after a request to stop.
    #[must_use]
    pub fn drain(self, now: Duration, longest_deadline: Duration) -> Phase {
        match self {
            Phase::Starting | Phase::Serving => {
                let killed_at = now + longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_DELAY;
                Phase::Draining {
                    since: now,
                    until: killed_at - FINAL_WRITE_RESERVE,
                }
            }
            later => later,
        }
    }

    /// The phase at this time. Draining ends when no more requests can arrive and none is open, or
    /// when its time is up.
    #[must_use]
    pub fn at(self, now: Duration, open_requests: impl Fn() -> usize) -> Phase {
        match self {
            Phase::Draining { since, until } => {
                let arrivals_ended = now >= since + ARRIVAL_WINDOW;
                if now >= until || (arrivals_ended && open_requests() == 0) {
                    Phase::Ended
                } else {
                    self
                }
            }
            same => same,
        }
    }

    /// The next time at which the phase may change.
    pub fn next_check(self, now: Duration) -> Option<Duration> {
        let Phase::Draining { since, until } = self else {
            return None;
        };
        // With short deadlines, `until` may be before the end of the arrival window.
        let next = [since + ARRIVAL_WINDOW, until]
            .into_iter()
            .filter(|time| *time > now)
            .min();
        Some(next.unwrap_or(until))
    }
}

#[cfg(test)]
mod tests;
