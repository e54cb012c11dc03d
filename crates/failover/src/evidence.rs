//! The evidence that the routers of a zone have about its caches. One router of twenty sees a few
//! outcomes per second; pooled, they show within a fraction of a second whether the zone is down,
//! and one router that is faulty itself is outvoted by the rest.

use std::time::Duration;

/// Age at which an outcome counts half.
pub const HALF_LIFE: Duration = Duration::from_millis(800);
/// Bad outcomes over all routers from which a zone counts as bad.
const MIN_BAD_OUTCOMES: f64 = 4.0;
/// Share of bad outcomes above which a zone counts as bad.
const MIN_BAD_SHARE: f64 = 0.7;
/// Fraction of the outcomes of the other kind that is kept at each outcome: older ones say little
/// about a zone that has just failed. If six in ten fail continuously, seven in ten of the
/// remaining count are bad.
const OPPOSITE_RETENTION: f64 = 0.8;
/// Good outcomes over all routers from which a bad zone counts as good again. Recovery needs more
/// evidence than failure: few bad outcomes, and some time.
const MIN_GOOD_OUTCOMES: f64 = 4.0;
/// Share of bad outcomes below which a bad zone counts as good again.
const MAX_BAD_SHARE: f64 = 0.1;
/// Minimum time for which a zone counts as bad; doubled each time if it was good for less than
/// `CALM_PERIOD` before.
pub const MIN_HOLD: Duration = Duration::from_millis(1000);
/// Upper bound of that time.
const MAX_HOLD: Duration = Duration::from_secs(16);
/// After this time without a failure the hold starts at its minimum again.
const CALM_PERIOD: Duration = Duration::from_secs(20);

/// Counts of outcomes that decay with time.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingCounts {
    good: f64,
    bad: f64,
    updated_at: Duration,
}

impl DecayingCounts {
    /// Records an outcome.
    pub fn record(&mut self, now: Duration, good: bool, weight: f64) {
        let ((old_good, old_bad), retention) =
            (self.counts_at(now), OPPOSITE_RETENTION.powf(weight));
        let (good, bad) = if good {
            (old_good + weight, old_bad * retention)
        } else {
            (old_good * retention, old_bad + weight)
        };
        *self = DecayingCounts {
            good,
            bad,
            updated_at: now,
        };
    }

    /// Whether the zone would count as bad by this router's own outcomes alone.
    pub fn suggests_bad(&self, now: Duration) -> bool {
        let (good, bad) = self.counts_at(now);
        bad >= MIN_BAD_OUTCOMES / 2.0 && bad > MIN_BAD_SHARE * (good + bad)
    }

    /// The counts of good and bad outcomes, decayed to `now`.
    pub fn counts_at(&self, now: Duration) -> (f64, f64) {
        let decay = (-now
            .saturating_sub(self.updated_at)
            .div_duration_f64(HALF_LIFE))
        .exp2();
        (self.good * decay, self.bad * decay)
    }
}

/// Whether a zone counts as bad.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Health {
    bad: bool,
    /// Time of the last change.
    changed_at: Duration,
    /// Minimum time in the bad state.
    hold: Duration,
    flaps: u32,
}

impl Default for Health {
    fn default() -> Health {
        Health {
            bad: false,
            changed_at: Duration::ZERO,
            hold: MIN_HOLD,
            flaps: 0,
        }
    }
}

impl Health {
    /// Whether the zone counts as bad.
    pub fn is_bad(&self) -> bool {
        self.bad
    }

    /// How many times the zone went bad.
    pub fn flaps(&self) -> u32 {
        self.flaps
    }

    /// Updates by the pooled outcomes of about one [`HALF_LIFE`]. Returns whether the state has
    /// changed.
    pub fn update(&mut self, now: Duration, good: f64, bad: f64) -> bool {
        let share = bad / (good + bad).max(1e-9);
        let changes = if self.bad {
            now >= self.changed_at + self.hold && good >= MIN_GOOD_OUTCOMES && share < MAX_BAD_SHARE
        } else {
            bad >= MIN_BAD_OUTCOMES && share > MIN_BAD_SHARE
        };
        if !changes {
            return false;
        }
        if !self.bad {
            // A flapping fault is one fault: the zone stays bad for longer each time.
            let was_calm = self.flaps == 0 || now >= self.changed_at + CALM_PERIOD;
            self.hold = if was_calm {
                MIN_HOLD
            } else {
                (self.hold * 2).min(MAX_HOLD)
            };
            self.flaps += 1;
        }
        (self.bad, self.changed_at) = (!self.bad, now);
        true
    }

    /// Takes over a peer's state, for a router with too few outcomes of its own.
    pub fn adopt(&mut self, now: Duration, bad: bool) {
        if self.bad != bad {
            (self.bad, self.changed_at) = (bad, now);
        }
    }
}

#[cfg(test)]
mod tests;
