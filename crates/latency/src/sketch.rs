//! A distribution of spans in buckets of equal ratio, so that each quantile is right within [`ALPHA`]
//! (DDSketch: Masson, Rim and Lee, VLDB 2019), in which what is old counts less: forward decay (Cormode,
//! Shkapenyuk, Srivastava and Xu, ICDE 2009), weights growing with time in place of all counts shrinking.
//!
//! The crate `sketches-ddsketch` was weighed: its counts are whole numbers, so nothing decays, and its bytes
//! are hundreds. Here a fixed row of buckets does, and what is told of it are 16 heights of four bits.
//!
//! What was lost is a sample too: longer than it was waited for. It lies in a bucket above all others, so an
//! edge that falls silent does not look fast by its survivors.

use std::time::Duration;

/// Relative error of a value read back.
pub const ALPHA: f64 = 0.05;
/// Upper bound of a bucket over its lower; a value is read back as the middle of both, by ratio.
const RATIO: f64 = (1.0 + ALPHA) * (1.0 + ALPHA);
/// Upper bound of the first bucket; with [`BUCKETS`] of them the last ends at some 10 s.
const LEAST_S: f64 = 50e-6;
pub const BUCKETS: usize = 126;
/// A sample so old counts half of a new one. Five seconds after a step what was before is 1 %, and 5 % in a
/// word that is two seconds old by then: well under what the ninetieth percentile would be bent by.
pub const HALF_LIFE: Duration = Duration::from_millis(700);
/// Weights are brought down again before they leave what a float holds well.
const RESCALE_AT: f64 = 1e12;
/// Heights of a share.
pub const HEIGHTS: usize = 16;
/// What a share takes in a datagram.
pub const SHARE_BYTES: usize = 3 + HEIGHTS / 2;
/// Samples of a share, in quarters.
const COUNT_UNIT: f64 = 0.25;

/// In which bucket a span lies.
pub fn bucket(span: Duration) -> usize {
    let ratio = span.as_secs_f64() / LEAST_S;
    if ratio <= 1.0 {
        0
    } else {
        ((ratio.ln() / RATIO.ln()).ceil() as usize).min(BUCKETS - 1)
    }
}

/// The span at a place among the buckets; halves lie between their bounds.
pub fn value(place: f64) -> Duration {
    Duration::from_secs_f64(LEAST_S * RATIO.powf(place.clamp(-1.0, BUCKETS as f64) - 0.5))
}

/// What one router has seen of one way.
#[derive(Clone, Debug)]
pub struct Sketch {
    weights: [f64; BUCKETS],
    lost: f64,
    /// Weights count from here; none: nothing was seen.
    since: Option<Duration>,
    latest: Duration,
}

impl Default for Sketch {
    fn default() -> Sketch {
        Sketch {
            weights: [0.0; BUCKETS],
            lost: 0.0,
            since: None,
            latest: Duration::ZERO,
        }
    }
}

fn grown(since: Duration, now: Duration) -> f64 {
    now.saturating_sub(since).div_duration_f64(HALF_LIFE).exp2()
}

impl Sketch {
    fn weight(&mut self, now: Duration) -> f64 {
        let since = *self.since.get_or_insert(now);
        self.latest = self.latest.max(now);
        let weight = grown(since, now);
        if weight < RESCALE_AT {
            return weight;
        }
        self.weights.iter_mut().for_each(|w| *w /= weight);
        self.lost /= weight;
        self.since = Some(now);
        1.0
    }

    /// A word went there and back in this time.
    pub fn came(&mut self, now: Duration, way: Duration) {
        let weight = self.weight(now);
        self.weights[bucket(way)] += weight;
    }

    /// One did not come back as long as it was waited for.
    pub fn lost(&mut self, now: Duration) {
        self.lost += self.weight(now);
    }

    /// Samples as they count now.
    pub fn count(&self, now: Duration) -> f64 {
        let Some(since) = self.since else { return 0.0 };
        (self.weights.iter().sum::<f64>() + self.lost) / grown(since, now)
    }

    /// When the last sample came.
    pub fn latest(&self) -> Duration {
        self.latest
    }

    /// What is told of it; none where there is less than half a sample.
    pub fn share(&self, now: Duration) -> Option<Share> {
        let count = self.count(now);
        let sum: f64 = self.weights.iter().sum();
        if count < COUNT_UNIT * 2.0 {
            return None;
        }
        let lost = self.lost / (sum + self.lost);
        let mut heights = [0u8; HEIGHTS];
        if sum <= 0.0 {
            return Some(Share {
                count,
                lost: 1.0,
                base: 0,
                wide: false,
                heights,
            });
        }
        let at = |share: f64| {
            let mut left = share * sum;
            self.weights.iter().position(|w| {
                left -= w;
                left <= 0.0
            })
        };
        let (low, high) = (at(0.02).unwrap_or(0), at(0.98).unwrap_or(BUCKETS - 1));
        let wide = high - low >= HEIGHTS;
        let base = low.min(BUCKETS - 1);
        let step = 1 + usize::from(wide);
        let mut sums = [0.0; HEIGHTS];
        for (n, weight) in self.weights.iter().enumerate() {
            sums[(n.saturating_sub(base) / step).min(HEIGHTS - 1)] += weight;
        }
        let most = sums.iter().copied().fold(0.0, f64::max);
        for (height, sum) in heights.iter_mut().zip(sums) {
            *height = (sum / most * 15.0).round() as u8;
        }
        Some(Share {
            count,
            lost,
            base: base as u8,
            wide,
            heights,
        })
    }
}

/// A distribution as it is told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// Samples that it stands for, as they counted when it was told.
    pub count: f64,
    /// Share of them that did not come back.
    pub lost: f64,
    /// The first bucket of the heights.
    pub base: u8,
    /// Each height stands for two buckets.
    pub wide: bool,
    /// Over the greatest: 15.
    pub heights: [u8; HEIGHTS],
}

impl Share {
    pub fn encode(&self) -> [u8; SHARE_BYTES] {
        let mut bytes = [0; SHARE_BYTES];
        bytes[0] = (self.count / COUNT_UNIT).round().clamp(1.0, 255.0) as u8;
        bytes[1] = (self.lost * 255.0).round() as u8;
        bytes[2] = self.base | if self.wide { 0x80 } else { 0 };
        for (byte, pair) in bytes[3..].iter_mut().zip(self.heights.chunks_exact(2)) {
            *byte = pair[0] << 4 | pair[1];
        }
        bytes
    }

    /// None where it makes no sense: of it nothing counts.
    pub fn decode(bytes: &[u8]) -> Option<Share> {
        let [count, lost, base, rest @ ..] = bytes else {
            return None;
        };
        let mut heights = [0; HEIGHTS];
        if rest.len() != HEIGHTS / 2 || *count == 0 || usize::from(base & 0x7f) >= BUCKETS {
            return None;
        }
        for (pair, byte) in heights.chunks_exact_mut(2).zip(rest) {
            (pair[0], pair[1]) = (byte >> 4, byte & 15);
        }
        // Either something came back, or all was lost.
        let none = heights.iter().all(|h| *h == 0);
        if none != (*lost == 255) {
            return None;
        }
        let (count, lost) = (f64::from(*count) * COUNT_UNIT, f64::from(*lost) / 255.0);
        Some(Share {
            count,
            lost,
            base: base & 0x7f,
            wide: base & 0x80 != 0,
            heights,
        })
    }

    /// Share of all samples at or below the end of each bucket: it ends at what was not lost.
    pub fn below(&self) -> [f64; BUCKETS] {
        let (sum, mut below) = (
            self.heights.iter().map(|h| f64::from(*h)).sum::<f64>(),
            [0.0; BUCKETS],
        );
        let (step, came) = (1 + usize::from(self.wide), 1.0 - self.lost);
        for (n, height) in self.heights.iter().enumerate() {
            for k in 0..step {
                let at = (usize::from(self.base) + n * step + k).min(BUCKETS - 1);
                below[at] += f64::from(*height) / sum.max(1.0) / step as f64 * came;
            }
        }
        let mut all = 0.0;
        for at in &mut below {
            all += *at;
            *at = all;
        }
        below
    }
}

#[cfg(test)]
mod tests;
