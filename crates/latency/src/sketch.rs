//! A distribution of spans in buckets of equal ratio, so that each quantile is correct within
//! [`RELATIVE_ERROR`] (DDSketch: Masson, Rim and Lee, VLDB 2019), in which old samples count less:
//! forward decay (Cormode, Shkapenyuk, Srivastava and Xu, ICDE 2009), where the weights of new
//! samples grow with time instead of all counts shrinking.
//!
//! The crate `sketches-ddsketch` was considered: its counts are integers, so they cannot decay, and
//! its encoding takes hundreds of bytes. Here a fixed array of buckets is enough, and its summary
//! consists of 16 heights of four bits.
//!
//! A lost probe is a sample too, longer than the timeout. It lies in a bucket above all others, so
//! that an edge that stops answering does not look fast by the probes that it did answer.

use std::time::Duration;

/// Relative error of a restored value.
pub const RELATIVE_ERROR: f64 = 0.05;
/// Ratio of a bucket's upper bound to its lower one; a value is restored as their geometric mean.
const BUCKET_RATIO: f64 = (1.0 + RELATIVE_ERROR) * (1.0 + RELATIVE_ERROR);
/// Upper bound of the first bucket; with [`BUCKETS`] of them the last one ends at about 10 s.
const MIN_SECONDS: f64 = 50e-6;
pub const BUCKETS: usize = 126;
/// Age at which a sample counts half of a new one. Five seconds after a step change the older
/// samples weigh 1 %, and 5 % in a summary that is by then two seconds old: too little to distort
/// the ninetieth percentile.
pub const HALF_LIFE: Duration = Duration::from_millis(700);
/// Weights are rescaled before they exceed the precision of a float.
const RESCALE_AT: f64 = 1e12;
/// Heights of a summary.
pub const SUMMARY_HEIGHTS: usize = 16;
/// Size of an encoded summary.
pub const SUMMARY_BYTES: usize = 3 + SUMMARY_HEIGHTS / 2;
/// Unit of an encoded count: a quarter of a sample.
const COUNT_UNIT: f64 = 0.25;

/// The index of the bucket that a span lies in.
pub fn bucket_index(span: Duration) -> usize {
    let ratio = span.as_secs_f64() / MIN_SECONDS;
    if ratio <= 1.0 {
        0
    } else {
        ((ratio.ln() / BUCKET_RATIO.ln()).ceil() as usize).min(BUCKETS - 1)
    }
}

/// The span at a bucket index; fractional indices lie between the bounds of a bucket.
pub fn bucket_value(index: f64) -> Duration {
    Duration::from_secs_f64(
        MIN_SECONDS * BUCKET_RATIO.powf(index.clamp(-1.0, BUCKETS as f64) - 0.5),
    )
}

/// The observations of one router for one path.
#[derive(Clone, Debug)]
pub struct Sketch {
    bucket_weights: [f64; BUCKETS],
    lost: f64,
    /// Reference time of the weights; `None` without samples.
    since: Option<Duration>,
    latest: Duration,
}

impl Default for Sketch {
    fn default() -> Sketch {
        Sketch {
            bucket_weights: [0.0; BUCKETS],
            lost: 0.0,
            since: None,
            latest: Duration::ZERO,
        }
    }
}

fn growth(since: Duration, now: Duration) -> f64 {
    now.saturating_sub(since).div_duration_f64(HALF_LIFE).exp2()
}

impl Sketch {
    fn weight(&mut self, now: Duration) -> f64 {
        let since = *self.since.get_or_insert(now);
        self.latest = self.latest.max(now);
        let weight = growth(since, now);
        if weight < RESCALE_AT {
            return weight;
        }
        self.bucket_weights.iter_mut().for_each(|w| *w /= weight);
        self.lost /= weight;
        self.since = Some(now);
        1.0
    }

    /// Records the round trip of an answered probe.
    pub fn record_round_trip(&mut self, now: Duration, round_trip: Duration) {
        let weight = self.weight(now);
        self.bucket_weights[bucket_index(round_trip)] += weight;
    }

    /// Records a probe that was not answered in time.
    pub fn record_loss(&mut self, now: Duration) {
        self.lost += self.weight(now);
    }

    /// Number of samples, decayed to `now`.
    pub fn count(&self, now: Duration) -> f64 {
        let Some(since) = self.since else { return 0.0 };
        (self.bucket_weights.iter().sum::<f64>() + self.lost) / growth(since, now)
    }

    /// Time of the last sample.
    pub fn latest(&self) -> Duration {
        self.latest
    }

    /// The summary to send; `None` for less than half a sample.
    pub fn summary(&self, now: Duration) -> Option<SketchSummary> {
        let count = self.count(now);
        let sum: f64 = self.bucket_weights.iter().sum();
        if count < COUNT_UNIT * 2.0 {
            return None;
        }
        let lost = self.lost / (sum + self.lost);
        let mut heights = [0u8; SUMMARY_HEIGHTS];
        if sum <= 0.0 {
            return Some(SketchSummary {
                count,
                lost: 1.0,
                base: 0,
                wide: false,
                heights,
            });
        }
        let at = |fraction: f64| {
            let mut remaining = fraction * sum;
            self.bucket_weights.iter().position(|w| {
                remaining -= w;
                remaining <= 0.0
            })
        };
        let (low, high) = (at(0.02).unwrap_or(0), at(0.98).unwrap_or(BUCKETS - 1));
        let wide = high - low >= SUMMARY_HEIGHTS;
        let base = low.min(BUCKETS - 1);
        let step = 1 + usize::from(wide);
        let mut sums = [0.0; SUMMARY_HEIGHTS];
        for (n, weight) in self.bucket_weights.iter().enumerate() {
            sums[(n.saturating_sub(base) / step).min(SUMMARY_HEIGHTS - 1)] += weight;
        }
        let highest = sums.iter().copied().fold(0.0, f64::max);
        for (height, sum) in heights.iter_mut().zip(sums) {
            *height = (sum / highest * 15.0).round() as u8;
        }
        Some(SketchSummary {
            count,
            lost,
            base: base as u8,
            wide,
            heights,
        })
    }
}

/// A distribution as it is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SketchSummary {
    /// Number of samples, decayed to the time of sending.
    pub count: f64,
    /// Share of samples that are lost probes.
    pub lost: f64,
    /// Index of the first bucket covered by the heights.
    pub base: u8,
    /// Whether each height covers two buckets instead of one.
    pub wide: bool,
    /// The heights, relative to the highest, which is 15.
    pub heights: [u8; SUMMARY_HEIGHTS],
}

impl SketchSummary {
    pub fn encode(&self) -> [u8; SUMMARY_BYTES] {
        let mut bytes = [0; SUMMARY_BYTES];
        bytes[0] = (self.count / COUNT_UNIT).round().clamp(1.0, 255.0) as u8;
        bytes[1] = (self.lost * 255.0).round() as u8;
        bytes[2] = self.base | if self.wide { 0x80 } else { 0 };
        for (byte, pair) in bytes[3..].iter_mut().zip(self.heights.chunks_exact(2)) {
            *byte = pair[0] << 4 | pair[1];
        }
        bytes
    }

    /// Returns `None` for malformed bytes.
    pub fn decode(bytes: &[u8]) -> Option<SketchSummary> {
        let [count, lost, base, rest @ ..] = bytes else {
            return None;
        };
        let mut heights = [0; SUMMARY_HEIGHTS];
        if rest.len() != SUMMARY_HEIGHTS / 2 || *count == 0 || usize::from(base & 0x7f) >= BUCKETS {
            return None;
        }
        for (pair, byte) in heights.chunks_exact_mut(2).zip(rest) {
            (pair[0], pair[1]) = (byte >> 4, byte & 15);
        }
        // Either some probes were answered, or all were lost.
        let is_all_zero = heights.iter().all(|h| *h == 0);
        if is_all_zero != (*lost == 255) {
            return None;
        }
        let (count, lost) = (f64::from(*count) * COUNT_UNIT, f64::from(*lost) / 255.0);
        Some(SketchSummary {
            count,
            lost,
            base: base & 0x7f,
            wide: base & 0x80 != 0,
            heights,
        })
    }

    /// Share of all samples at or below the end of each bucket. The last value is the share of
    /// answered probes.
    pub fn cumulative(&self) -> [f64; BUCKETS] {
        let (sum, mut below) = (
            self.heights.iter().map(|h| f64::from(*h)).sum::<f64>(),
            [0.0; BUCKETS],
        );
        let (step, returned) = (1 + usize::from(self.wide), 1.0 - self.lost);
        for (n, height) in self.heights.iter().enumerate() {
            for k in 0..step {
                let at = (usize::from(self.base) + n * step + k).min(BUCKETS - 1);
                below[at] += f64::from(*height) / sum.max(1.0) / step as f64 * returned;
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
