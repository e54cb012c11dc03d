//! Outlier detection: a sequential probability ratio test on the outcomes of a server or a disk,
//! which ejects it when it fails too often and readmits it by half-open probes.

use std::time::Duration;

/// The log odds that one failure adds. The test distinguishes a failure rate of one half from a
/// rate of one in twenty.
const FAILURE_LOG_ODDS: f64 = std::f64::consts::LN_10;
/// The log odds that one success adds.
const SUCCESS_LOG_ODDS: f64 = -0.642;
/// The log odds at which a server is ejected; odds of 100 to 1.
pub const EJECTION_LOG_ODDS: f64 = 4.605;
/// The initial interval between probes; each success halves it, each failure doubles it.
const INITIAL_PROBE_INTERVAL: Duration = Duration::from_millis(1000);
const MAX_PROBE_INTERVAL: Duration = Duration::from_millis(4000);
/// A server has recovered when its probe interval falls below this.
const RECOVERED_PROBE_INTERVAL: Duration = Duration::from_millis(50);

/// The state of an ejected server, which receives one probe at a time.
#[derive(Clone, Copy, Debug)]
struct Ejection {
    next_probe_at: Duration,
    probe_interval: Duration,
}

/// Decides from the outcomes of one server whether it is ejected, and when it is probed.
#[derive(Debug, Default)]
pub struct OutlierDetector {
    /// The log odds that the server is faulty, from 0 to [`EJECTION_LOG_ODDS`].
    log_odds: f64,
    ejection: Option<Ejection>,
    last_sent_at: Duration,
    /// The moving average of the interval between attempts.
    mean_interval: Duration,
}

impl OutlierDetector {
    /// Whether an attempt may be sent: the server is not ejected, or its next probe is due.
    #[inline]
    pub fn is_available(&self, now: Duration) -> bool {
        self.ejection
            .is_none_or(|ejection| now >= ejection.next_probe_at)
    }

    /// Whether the server is ejected.
    pub fn is_ejected(&self) -> bool {
        self.ejection.is_some()
    }

    /// The log odds that the server is faulty.
    pub fn log_odds(&self) -> f64 {
        self.log_odds
    }

    /// Records that an attempt was sent. While the server is ejected, the attempt is a probe, and
    /// the next one is due an interval later.
    pub fn record_sent(&mut self, now: Duration) {
        let interval = now.saturating_sub(self.last_sent_at);
        self.last_sent_at = now;
        match &mut self.ejection {
            None => self.mean_interval = (self.mean_interval * 7 + interval) / 8,
            Some(ejection) => ejection.next_probe_at = now + ejection.probe_interval,
        }
    }

    /// Records an outcome, with a weight from 0 to 1.
    pub fn record_outcome(&mut self, now: Duration, failed: bool, weight: f64) {
        let evidence = if failed {
            FAILURE_LOG_ODDS
        } else {
            SUCCESS_LOG_ODDS
        };
        self.log_odds = (self.log_odds + weight * evidence).clamp(0.0, EJECTION_LOG_ODDS);
        let probe_interval = match self.ejection.map(|ejection| ejection.probe_interval) {
            None if self.log_odds < EJECTION_LOG_ODDS => return,
            None => INITIAL_PROBE_INTERVAL,
            Some(interval) if failed => (interval * 2).min(MAX_PROBE_INTERVAL),
            Some(interval) => interval / 2,
        };
        // Ejection ends when the probe interval falls below the server's usual interval between
        // attempts: the probe rate no longer limits its load, so that readmission does not flood
        // it.
        if !failed && probe_interval < RECOVERED_PROBE_INTERVAL.max(self.mean_interval) {
            self.ejection = None;
            self.log_odds = 0.0;
            return;
        }
        self.ejection = Some(Ejection {
            next_probe_at: now + probe_interval,
            probe_interval,
        });
    }
}

#[cfg(test)]
mod tests;
