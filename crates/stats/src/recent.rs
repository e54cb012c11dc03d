//! The latest values of a series, in order of size.

use std::collections::VecDeque;

/// The last `most` values. Noting one takes as long as moving them in memory does; a quantile takes
/// no time.
#[derive(Clone, Debug)]
pub struct Recent {
    most: usize,
    arrived: VecDeque<f64>,
    sorted: Vec<f64>,
}

impl Recent {
    /// Holds so many values; at least one.
    pub fn new(most: usize) -> Recent {
        Recent {
            most: most.max(1),
            arrived: VecDeque::new(),
            sorted: Vec::new(),
        }
    }

    /// Takes a value in, and the oldest out where there are too many. Not a number is no value.
    pub fn note(&mut self, value: f64) {
        if value.is_nan() {
            return;
        }
        if self.arrived.len() == self.most {
            let oldest = self.arrived.pop_front().unwrap_or(value);
            self.sorted
                .remove(self.sorted.partition_point(|v| *v < oldest));
        }
        self.arrived.push_back(value);
        self.sorted
            .insert(self.sorted.partition_point(|v| *v < value), value);
    }

    pub fn len(&self) -> usize {
        self.sorted.len()
    }

    pub fn is_empty(&self) -> bool {
        self.sorted.is_empty()
    }

    /// The value below which a share of them lies, from 0 to under 1; 0 where there is none.
    pub fn quantile(&self, share: f64) -> f64 {
        self.sorted
            .get((self.sorted.len() as f64 * share) as usize)
            .copied()
            .unwrap_or(0.0)
    }
}

#[cfg(test)]
mod tests;
