//! What the routers of a zone see of its caches. One router of twenty sees a few outcomes a second;
//! pooled they tell within a part of a second whether the place is down, and one router that is itself
//! broken is outvoted by the rest.

use std::time::Duration;

/// An outcome so old counts half.
pub const HALF_LIFE: Duration = Duration::from_millis(800);
/// Outcomes that must be bad, over all routers, and their share, for a place to be held for bad.
const BAD_LEAST: f64 = 4.0;
const BAD_SHARE: f64 = 0.7;
/// What an outcome leaves of those of the other kind: what was a while ago says little of a place that has
/// just gone. Where six in ten fail on end, seven in ten of what is left are bad.
const LEAVES: f64 = 0.8;
/// For good again it takes more: so many good, hardly any bad, and a while.
const GOOD_LEAST: f64 = 4.0;
const GOOD_SHARE: f64 = 0.1;
/// How long it is held for bad at least; doubled each time it was good for less than `CALM` before.
pub const HOLD: Duration = Duration::from_millis(1000);
const HOLD_MOST: Duration = Duration::from_secs(16);
const CALM: Duration = Duration::from_secs(20);

/// Counts that fade.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counted {
    good: f64,
    bad: f64,
    at: Duration,
}

impl Counted {
    pub fn saw(&mut self, now: Duration, good: bool, weight: f64) {
        let ((g, b), leaves) = (self.now(now), LEAVES.powf(weight));
        let (good, bad) = if good {
            (g + weight, b * leaves)
        } else {
            (g * leaves, b + weight)
        };
        *self = Counted { good, bad, at: now };
    }

    /// By this router's own outcomes alone the place would be bad.
    pub fn says_bad(&self, now: Duration) -> bool {
        let (good, bad) = self.now(now);
        bad >= BAD_LEAST / 2.0 && bad > BAD_SHARE * (good + bad)
    }

    /// Good ones and bad ones, as they count now.
    pub fn now(&self, now: Duration) -> (f64, f64) {
        let fades = (-now.saturating_sub(self.at).div_duration_f64(HALF_LIFE)).exp2();
        (self.good * fades, self.bad * fades)
    }
}

/// What is held of a place.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Health {
    bad: bool,
    /// Since when it is as it is.
    since: Duration,
    hold: Duration,
    flaps: u32,
}

impl Default for Health {
    fn default() -> Health {
        Health {
            bad: false,
            since: Duration::ZERO,
            hold: HOLD,
            flaps: 0,
        }
    }
}

impl Health {
    pub fn is_bad(&self) -> bool {
        self.bad
    }

    /// How often it went bad.
    pub fn flaps(&self) -> u32 {
        self.flaps
    }

    /// By the pooled outcomes of a span of [`HALF_LIFE`] or so. True: it has changed.
    pub fn judge(&mut self, now: Duration, good: f64, bad: f64) -> bool {
        let share = bad / (good + bad).max(1e-9);
        let turns = if self.bad {
            now >= self.since + self.hold && good >= GOOD_LEAST && share < GOOD_SHARE
        } else {
            bad >= BAD_LEAST && share > BAD_SHARE
        };
        if !turns {
            return false;
        }
        if !self.bad {
            // A fault that comes and goes is one fault: each return is waited for longer.
            let calm = self.flaps == 0 || now >= self.since + CALM;
            self.hold = if calm {
                HOLD
            } else {
                (self.hold * 2).min(HOLD_MOST)
            };
            self.flaps += 1;
        }
        (self.bad, self.since) = (!self.bad, now);
        true
    }

    /// A peer's verdict, where this router sees too little to have its own.
    pub fn adopt(&mut self, now: Duration, bad: bool) {
        if self.bad != bad {
            (self.bad, self.since) = (bad, now);
        }
    }
}

#[cfg(test)]
mod tests;
