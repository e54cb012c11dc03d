//! The router's phases, from start to exit: named states of one object.

use std::time::Duration;

/// After a request to stop, connections and requests go on coming for up to this long.
const ARRIVALS_END_AFTER: Duration = Duration::from_millis(800);
/// What is killed comes no sooner than the longest deadline, this at most, and this much more after it.
const DEADLINE_MOST: Duration = Duration::from_millis(3000);
const KILL_AFTER_DEADLINE: Duration = Duration::from_millis(700);
/// Held back from that for the last answers to be written, and a disk to be closed meanwhile.
pub const FINAL_WRITES: Duration = Duration::from_millis(250);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Not listening yet, or the list is not known.
    Starting,
    Serving,
    /// Asked to stop: takes and answers what still comes, no longer calls itself ready.
    Draining {
        since: Duration,
        until: Duration,
    },
    Ended,
}

impl Phase {
    pub fn ready(self) -> bool {
        self == Phase::Serving
    }

    #[must_use]
    pub fn asked_to_stop(self, now: Duration, longest_deadline: Duration) -> Phase {
        match self {
            Phase::Starting | Phase::Serving => {
                let until =
                    now + longest_deadline.min(DEADLINE_MOST) + KILL_AFTER_DEADLINE - FINAL_WRITES;
                Phase::Draining { since: now, until }
            }
            later => later,
        }
    }

    /// Draining ends when nothing more can come and all is answered, at the latest when a kill may come.
    #[must_use]
    pub fn at(self, now: Duration, open: impl Fn() -> usize) -> Phase {
        match self {
            Phase::Draining { since, until }
                if now >= until || (now >= since + ARRIVALS_END_AFTER && open() == 0) =>
            {
                Phase::Ended
            }
            same => same,
        }
    }

    /// When the phase may change by time alone.
    pub fn next_look(self, now: Duration) -> Option<Duration> {
        match self {
            Phase::Draining { since, until } => {
                // With short deadlines the latest end comes before all that may still come has.
                let next = [since + ARRIVALS_END_AFTER, until]
                    .into_iter()
                    .filter(|at| *at > now)
                    .min();
                Some(next.unwrap_or(until))
            }
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests;
