//! Merges many routers' distributions of one path: at each bucket the reporters' cumulative shares
//! are sorted, the lowest and the highest quarter (at least one, of three or more) are left out,
//! and the rest is averaged. The result lies at every bucket between the values of two reporters
//! that are kept, so a reporter of false but well-formed values moves no quantile past what honest
//! routers have themselves observed; a plain sum of counts would follow whatever count it claims.
//! Of fewer than three reporters none can be identified as false.

use crate::sketch::{BUCKETS, HALF_LIFE, SketchSummary, bucket_value};
use std::time::Duration;

/// Relative drift of a path per second without new reports: an estimate's uncertainty grows by this
/// with age.
const DRIFT_PER_SECOND: f64 = 0.05;
/// A report that stands for fewer samples than this after decay is ignored if another stands for
/// more.
const MIN_SAMPLES: f64 = 0.3;

/// The estimated latency of a path.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// `None` if too many probes were lost.
    pub p50: Option<Duration>,
    pub p90: Option<Duration>,
    /// Share of probes that were lost.
    pub lost: f64,
    /// Relative uncertainty as one standard deviation: from the number of samples and their age.
    pub uncertainty: f64,
    /// Number of reports that were used.
    pub reporters: usize,
}

impl Estimate {
    /// Lower and upper bound of the median in seconds, at two standard deviations. A path without
    /// answers has an infinite cost.
    pub fn bounds(&self) -> (f64, f64) {
        let median = self.p50.map_or(f64::INFINITY, |p50| p50.as_secs_f64());
        (
            median / (1.0 + 2.0 * self.uncertainty),
            median * (1.0 + 2.0 * self.uncertainty),
        )
    }
}

/// The span below which this share of all samples lies; `None` if too many probes were lost.
fn quantile(below: &[f64; BUCKETS], share: f64) -> Option<Duration> {
    let index = below.iter().position(|b| *b >= share)?;
    let before = if index == 0 { 0.0 } else { below[index - 1] };
    // Samples count as evenly spread within a bucket.
    let fraction = (share - before) / (below[index] - before).max(1e-12);
    Some(bucket_value(index as f64 + fraction - 0.5))
}

/// Merges reports, each with its age. Returns `None` if there is no report.
pub fn merge(reports: &[(SketchSummary, Duration)]) -> Option<Estimate> {
    let weight = |(summary, age): &(SketchSummary, Duration)| {
        summary.count * (-age.div_duration_f64(HALF_LIFE)).exp2()
    };
    let significant = reports
        .iter()
        .filter(|report| weight(report) >= MIN_SAMPLES)
        .count();
    let used: Vec<_> = reports
        .iter()
        .filter(|report| significant == 0 || weight(report) >= MIN_SAMPLES)
        .collect();
    if used.is_empty() {
        return None;
    }
    let rows: Vec<[f64; BUCKETS]> = used
        .iter()
        .map(|(summary, _)| summary.cumulative())
        .collect();
    let trimmed = if rows.len() >= 3 {
        (rows.len() / 4).max(1)
    } else {
        0
    };
    let trimmed_mean = |values: &mut Vec<f64>| {
        values.sort_by(f64::total_cmp);
        let kept = &values[trimmed..values.len() - trimmed];
        kept.iter().sum::<f64>() / kept.len() as f64
    };
    let mut below = [0.0; BUCKETS];
    for (at, below) in below.iter_mut().enumerate() {
        *below = trimmed_mean(&mut rows.iter().map(|row| row[at]).collect());
    }
    let lost = 1.0 - below[BUCKETS - 1];
    let (p50, p90) = (quantile(&below, 0.5), quantile(&below, 0.9));
    let spread = match (p50, p90) {
        (Some(p50), Some(p90)) => (p90.as_secs_f64() / p50.as_secs_f64()).ln() / 1.2816,
        _ => 1.0,
    };
    // No report counts for more samples than the trimmed mean of all claims, so that a false report
    // cannot reduce the uncertainty either.
    let claimed_samples = trimmed_mean(&mut used.iter().map(|report| weight(report)).collect());
    let samples = (claimed_samples * used.len() as f64).max(0.1);
    let youngest_age = used
        .iter()
        .map(|(_, age)| age.as_secs_f64())
        .fold(f64::INFINITY, f64::min);
    // Standard error of the median of a normal sample: its variance is pi/2 over the sample size.
    let uncertainty = (spread.max(0.02).powi(2) * std::f64::consts::FRAC_PI_2 / samples).sqrt()
        + DRIFT_PER_SECOND * youngest_age;
    Some(Estimate {
        p50,
        p90,
        lost,
        uncertainty,
        reporters: used.len(),
    })
}

#[cfg(test)]
mod tests;
