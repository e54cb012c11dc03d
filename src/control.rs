//! The decisions of a router under the paths that other packages use.

pub use crate::admission::part_key as part_of;
use crate::outlier::OutlierDetector;
pub use crate::router::Router;
use std::time::Duration;

/// An [`OutlierDetector`] under its former names.
#[derive(Debug, Default)]
pub struct Judged(OutlierDetector);

impl Judged {
    /// See [`OutlierDetector::is_available`].
    pub fn sound(&self, now: Duration) -> bool {
        self.0.is_available(now)
    }

    /// See [`OutlierDetector::is_ejected`].
    pub fn is_aside(&self) -> bool {
        self.0.is_ejected()
    }

    /// See [`OutlierDetector::record_sent`].
    pub fn sent(&mut self, now: Duration) {
        self.0.record_sent(now);
    }

    /// See [`OutlierDetector::record_outcome`].
    pub fn judge(&mut self, now: Duration, failed: bool, weight: f64) {
        self.0.record_outcome(now, failed, weight);
    }
}
