//! The adaptive timeout of attempts. It grows with each attempt that is given up, and decays with
//! each answer.

use crate::request::ANSWER_OVERHEAD;
use std::time::Duration;

/// The initial and minimum multiple of the expected answer time.
const MIN_MULTIPLE: f64 = 3.0;
const MAX_MULTIPLE: f64 = 100.0;
/// The multiple is multiplied by this for each attempt that is given up.
const GROWTH_FACTOR: f64 = 1.2;
/// The multiple is multiplied by this for each answer.
const DECAY_FACTOR: f64 = 0.99;

/// The timeout of attempts, as a multiple of the expected answer time.
#[derive(Debug)]
pub struct AdaptiveTimeout {
    multiple: f64,
}

impl Default for AdaptiveTimeout {
    fn default() -> AdaptiveTimeout {
        AdaptiveTimeout {
            multiple: MIN_MULTIPLE,
        }
    }
}

impl AdaptiveTimeout {
    /// The timeout of an attempt whose answer has this sending time.
    pub fn timeout(&self, sending_time: Duration) -> Duration {
        (ANSWER_OVERHEAD + sending_time).mul_f64(self.multiple)
    }

    /// Records that an attempt was given up; its answer might still have come in time.
    pub fn lengthen(&mut self) {
        self.multiple = (self.multiple * GROWTH_FACTOR).min(MAX_MULTIPLE);
    }

    /// Records that a request was answered.
    pub fn shorten(&mut self) {
        self.multiple = (self.multiple * DECAY_FACTOR).max(MIN_MULTIPLE);
    }
}

#[cfg(test)]
mod tests;
