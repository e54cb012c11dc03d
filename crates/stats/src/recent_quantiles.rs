//! Quantiles of the most recent values of a series.

use std::collections::VecDeque;

/// The last `capacity` values. Adding one is linear in the capacity (it shifts a sorted vector); a
/// quantile takes constant time.
#[derive(Clone, Debug)]
pub struct RecentQuantiles {
    capacity: usize,
    by_arrival: VecDeque<f64>,
    sorted: Vec<f64>,
}

impl RecentQuantiles {
    /// Keeps the last `capacity` values, at least one.
    pub fn new(capacity: usize) -> RecentQuantiles {
        RecentQuantiles {
            capacity: capacity.max(1),
            by_arrival: VecDeque::new(),
            sorted: Vec::new(),
        }
    }

    /// Adds a value and drops the oldest one beyond the capacity. NaN is ignored.
    pub fn record(&mut self, value: f64) {
        if value.is_nan() {
            return;
        }
        if self.by_arrival.len() == self.capacity {
            let oldest = self.by_arrival.pop_front().unwrap_or(value);
            self.sorted
                .remove(self.sorted.partition_point(|v| *v < oldest));
        }
        self.by_arrival.push_back(value);
        self.sorted
            .insert(self.sorted.partition_point(|v| *v < value), value);
    }

    pub fn len(&self) -> usize {
        self.sorted.len()
    }

    pub fn is_empty(&self) -> bool {
        self.sorted.is_empty()
    }

    /// The quantile at `share`, from 0 to below 1; 0 if there are no values.
    pub fn quantile(&self, share: f64) -> f64 {
        self.sorted
            .get((self.sorted.len() as f64 * share) as usize)
            .copied()
            .unwrap_or(0.0)
    }
}

#[cfg(test)]
mod tests;
