//! The adaptive timeout: after how long an attempt that has not ended is looked into. It grows with
//! each attempt that is given up, and falls back with answers.

use crate::request::ANSWER_OVERHEAD;
use std::time::Duration;

/// The multiple of the usual time of an answer at the start, and the least.
const LEAST_MULTIPLE: f64 = 3.0;
/// The greatest multiple.
const GREATEST_MULTIPLE: f64 = 100.0;
/// What the multiple grows by with each attempt that is given up.
const GROWTH: f64 = 1.2;
/// What the multiple falls by with each answer.
const DECAY: f64 = 0.99;

/// The timeout of attempts, as a multiple of the time that an answer usually takes.
#[derive(Debug)]
pub struct AdaptiveTimeout {
    multiple: f64,
}

impl Default for AdaptiveTimeout {
    fn default() -> AdaptiveTimeout {
        AdaptiveTimeout {
            multiple: LEAST_MULTIPLE,
        }
    }
}

impl AdaptiveTimeout {
    /// The timeout of an attempt for an answer with this sending time.
    pub fn timeout(&self, sending_time: Duration) -> Duration {
        (ANSWER_OVERHEAD + sending_time).mul_f64(self.multiple)
    }

    /// An attempt was given up: it might have been answered in time after all.
    pub fn lengthen(&mut self) {
        self.multiple = (self.multiple * GROWTH).min(GREATEST_MULTIPLE);
    }

    /// A request was answered.
    pub fn shorten(&mut self) {
        self.multiple = (self.multiple * DECAY).max(LEAST_MULTIPLE);
    }
}

#[cfg(test)]
mod tests;
