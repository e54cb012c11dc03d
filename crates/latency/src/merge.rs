//! Many routers' distributions of one way in one: at each bucket the tellers' shares below it are sorted, the
//! least and the greatest quarter (one of three at least) left out, the rest averaged. What comes out lies at
//! every bucket between those of two tellers that are left in, so a liar within the format moves no quantile
//! past what honest routers have themselves seen; a plain sum of counts would take as many as it claims. Of
//! fewer than three tellers nobody can say who lies.

use crate::sketch::{BUCKETS, HALF_LIFE, Share, value};
use std::time::Duration;

/// How much a way may drift in a second without anybody's word: what an estimate gains in doubt by age.
const DRIFT: f64 = 0.05;
/// A word that stands for less than this many samples by now says nothing, where another says more.
const COUNT_LEAST: f64 = 0.3;

/// What is believed of a way.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// None: so many did not come back that there is none.
    pub p50: Option<Duration>,
    pub p90: Option<Duration>,
    /// Share of words that did not come back.
    pub lost: f64,
    /// Relative, one standard deviation: of so few samples, and of their age.
    pub doubt: f64,
    pub tellers: usize,
}

impl Estimate {
    /// Half of its words come back within this at least, by two standard deviations, and at most. A way that
    /// gives nothing back costs the most there is.
    pub fn bounds(&self) -> (f64, f64) {
        let middle = self.p50.map_or(f64::INFINITY, |p50| p50.as_secs_f64());
        (
            middle / (1.0 + 2.0 * self.doubt),
            middle * (1.0 + 2.0 * self.doubt),
        )
    }
}

/// The span below which a share of all lies; none: so many did not come back.
fn quantile(below: &[f64; BUCKETS], share: f64) -> Option<Duration> {
    let at = below.iter().position(|b| *b >= share)?;
    let before = if at == 0 { 0.0 } else { below[at - 1] };
    // Within a bucket as if its samples were spread evenly over it.
    let part = (share - before) / (below[at] - before).max(1e-12);
    Some(value(at as f64 + part - 0.5))
}

/// Merges what tellers say, each with the age of its word. None where nobody says anything.
pub fn merge(told: &[(Share, Duration)]) -> Option<Estimate> {
    let weighed =
        |(share, age): &(Share, Duration)| share.count * (-age.div_duration_f64(HALF_LIFE)).exp2();
    let enough = told
        .iter()
        .filter(|word| weighed(word) >= COUNT_LEAST)
        .count();
    let words: Vec<_> = told
        .iter()
        .filter(|word| enough == 0 || weighed(word) >= COUNT_LEAST)
        .collect();
    if words.is_empty() {
        return None;
    }
    let rows: Vec<[f64; BUCKETS]> = words.iter().map(|(share, _)| share.below()).collect();
    let cut = if rows.len() >= 3 {
        (rows.len() / 4).max(1)
    } else {
        0
    };
    let middle = |values: &mut Vec<f64>| {
        values.sort_by(f64::total_cmp);
        let left = &values[cut..values.len() - cut];
        left.iter().sum::<f64>() / left.len() as f64
    };
    let mut below = [0.0; BUCKETS];
    for (at, below) in below.iter_mut().enumerate() {
        *below = middle(&mut rows.iter().map(|row| row[at]).collect());
    }
    let lost = 1.0 - below[BUCKETS - 1];
    let (p50, p90) = (quantile(&below, 0.5), quantile(&below, 0.9));
    let spread = match (p50, p90) {
        (Some(p50), Some(p90)) => (p90.as_secs_f64() / p50.as_secs_f64()).ln() / 1.2816,
        _ => 1.0,
    };
    // No teller counts for more than the middle one claims to, by as much as all the others: doubt is not to
    // be lied away either.
    let claimed = middle(&mut words.iter().map(|word| weighed(word)).collect());
    let samples = (claimed * words.len() as f64).max(0.1);
    let youngest = words
        .iter()
        .map(|(_, age)| age.as_secs_f64())
        .fold(f64::INFINITY, f64::min);
    // The median of a normal sample: variance pi/2 over its size.
    let doubt = (spread.max(0.02).powi(2) * std::f64::consts::FRAC_PI_2 / samples).sqrt()
        + DRIFT * youngest;
    Some(Estimate {
        p50,
        p90,
        lost,
        doubt,
        tellers: words.len(),
    })
}

#[cfg(test)]
mod tests;
