//! What was noted within a span of time, and its sum.

use std::collections::VecDeque;
use std::time::Duration;

/// Weights by when they were noted, in order of time. Each is looked at once when it comes and once
/// when it goes, so that neither noting nor the sum grows with what lies within the span.
#[derive(Clone, Debug, Default)]
pub struct Window {
    noted: VecDeque<(Duration, f64)>,
    sum: f64,
}

impl Window {
    /// Forgets what is a span old or older, and takes a weight in. Times must not fall.
    pub fn note(&mut self, now: Duration, span: Duration, weight: f64) {
        while let Some((_, gone)) = self
            .noted
            .front()
            .filter(|(at, _)| *at + span <= now)
            .copied()
        {
            self.noted.pop_front();
            self.sum -= gone;
        }
        // What is left of rounding goes with the last one.
        self.sum = if self.noted.is_empty() {
            weight
        } else {
            self.sum + weight
        };
        self.noted.push_back((now, weight));
    }

    /// The sum of what was noted less than a span ago.
    pub fn sum(&self, now: Duration, span: Duration) -> f64 {
        let old = self.noted.iter().take_while(|(at, _)| *at + span <= now);
        (self.sum - old.map(|(_, weight)| weight).sum::<f64>()).max(0.0)
    }

    pub fn len(&self) -> usize {
        self.noted.len()
    }

    pub fn is_empty(&self) -> bool {
        self.noted.is_empty()
    }
}

#[cfg(test)]
mod tests;
