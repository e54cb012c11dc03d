//! Outlier detection: a sequential test on the outcomes of a server, or of a disk, that ejects it
//! when it fails too often, and lets it back by half-open probes.

use std::time::Duration;

/// What one failure adds to the log odds that a server is broken. The test tells failing in half of
/// all cases from failing in one of twenty.
const FAILURE_LOG_ODDS: f64 = std::f64::consts::LN_10;
/// What one success adds.
const SUCCESS_LOG_ODDS: f64 = -0.642;
/// The log odds at which a server is ejected: 100 to 1.
pub const EJECTION_LOG_ODDS: f64 = 4.605;
/// The distance of the first probes; each success halves it, each failure doubles it.
const FIRST_PROBE_INTERVAL: Duration = Duration::from_millis(1000);
/// The greatest distance of probes.
const LONGEST_PROBE_INTERVAL: Duration = Duration::from_millis(4000);
/// Below this distance of its probes a server counts as recovered.
const RECOVERED_PROBE_INTERVAL: Duration = Duration::from_millis(50);

/// While a server is ejected: one probe at a time.
#[derive(Clone, Copy, Debug)]
struct Ejection {
    next_probe_at: Duration,
    probe_interval: Duration,
}

/// Decides from outcomes whether one server is ejected, and when it is probed.
#[derive(Debug, Default)]
pub struct OutlierDetector {
    /// Log odds that the server is broken, from 0 to [`EJECTION_LOG_ODDS`].
    log_odds: f64,
    ejection: Option<Ejection>,
    last_sent_at: Duration,
    /// How far apart attempts usually are.
    usual_interval: Duration,
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

    /// The log odds that the server is broken.
    pub fn log_odds(&self) -> f64 {
        self.log_odds
    }

    /// An attempt was sent. While the server is ejected that was a probe, and the next is due an
    /// interval later.
    pub fn record_sent(&mut self, now: Duration) {
        let interval = now.saturating_sub(self.last_sent_at);
        self.last_sent_at = now;
        match &mut self.ejection {
            None => self.usual_interval = (self.usual_interval * 7 + interval) / 8,
            Some(ejection) => ejection.next_probe_at = now + ejection.probe_interval,
        }
    }

    /// One outcome, of a weight from 0 to 1.
    pub fn record_outcome(&mut self, now: Duration, failed: bool, weight: f64) {
        let evidence = if failed {
            FAILURE_LOG_ODDS
        } else {
            SUCCESS_LOG_ODDS
        };
        self.log_odds = (self.log_odds + weight * evidence).clamp(0.0, EJECTION_LOG_ODDS);
        let probe_interval = match self.ejection.map(|ejection| ejection.probe_interval) {
            None if self.log_odds < EJECTION_LOG_ODDS => return,
            None => FIRST_PROBE_INTERVAL,
            Some(interval) if failed => (interval * 2).min(LONGEST_PROBE_INTERVAL),
            Some(interval) => interval / 2,
        };
        // A server that is seldom used anyway is not flooded: it has recovered where probes no
        // longer limit it.
        if !failed && probe_interval < RECOVERED_PROBE_INTERVAL.max(self.usual_interval) {
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
