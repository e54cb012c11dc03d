//! The sum of the weights recorded within a sliding time window.

use std::collections::VecDeque;
use std::time::Duration;

/// Weights in the order of their times. Each is visited once when it is added and once when it
/// expires, so the cost of adding does not grow with the number of entries in the window.
#[derive(Clone, Debug, Default)]
pub struct WindowSum {
    entries: VecDeque<(Duration, f64)>,
    sum: f64,
}

impl WindowSum {
    /// Drops entries that are `span` old or older, and adds a weight. Times must not decrease.
    pub fn record(&mut self, now: Duration, span: Duration, weight: f64) {
        while let Some((_, expired)) = self
            .entries
            .front()
            .filter(|(at, _)| *at + span <= now)
            .copied()
        {
            self.entries.pop_front();
            self.sum -= expired;
        }
        // Resets accumulated rounding errors when the window is empty.
        self.sum = if self.entries.is_empty() {
            weight
        } else {
            self.sum + weight
        };
        self.entries.push_back((now, weight));
    }

    /// The sum of the weights added less than `span` ago.
    pub fn sum(&self, now: Duration, span: Duration) -> f64 {
        let expired = self.entries.iter().take_while(|(at, _)| *at + span <= now);
        (self.sum - expired.map(|(_, weight)| weight).sum::<f64>()).max(0.0)
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

#[cfg(test)]
mod tests;
