//! Re-exports of the router for other packages.

pub use crate::admission::part_key;
use crate::outlier::OutlierDetector;
pub use crate::router::Router;
use std::time::Duration;

/// A wrapper of [`OutlierDetector`] with the method names that other packages use.
#[derive(Debug, Default)]
pub struct ServerHealth(OutlierDetector);

impl ServerHealth {
    /// See [`OutlierDetector::is_available`].
    pub fn is_available(&self, now: Duration) -> bool {
        self.0.is_available(now)
    }

    /// See [`OutlierDetector::is_ejected`].
    pub fn is_ejected(&self) -> bool {
        self.0.is_ejected()
    }

    /// See [`OutlierDetector::record_sent`].
    pub fn record_sent(&mut self, now: Duration) {
        self.0.record_sent(now);
    }

    /// See [`OutlierDetector::record_outcome`].
    pub fn record_outcome(&mut self, now: Duration, failed: bool, weight: f64) {
        self.0.record_outcome(now, failed, weight);
    }
}
