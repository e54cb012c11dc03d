//! The mean work of requests, as learned from those that servers have answered.
//!
//! A client states the size of what it requests, and it may be wrong. The connections of clients
//! are therefore divided into groups, and no group moves the mean by more than its share.

/// The number of groups. Numbers of connections are consecutive, so that up to this many
/// connections have a group each.
const GROUPS: usize = 16;
/// The number of requests over which the mean of a group is averaged.
const MEAN_WINDOW_REQUESTS: f64 = 256.0;
/// A group whose mean differs from the median of all groups by more than this factor counts as if
/// it differed by the factor.
const MAX_DEVIATION: f64 = 2.0;

/// The moving average of the work of one group.
#[derive(Clone, Copy, Debug, Default)]
struct GroupMean {
    seconds: f64,
    requests: f64,
}

impl GroupMean {
    fn record(&mut self, seconds: f64) {
        self.requests = (self.requests + 1.0).min(MEAN_WINDOW_REQUESTS);
        self.seconds += (seconds - self.seconds) / self.requests;
    }
}

/// The mean work of requests in seconds of sending, learned from answered requests.
#[derive(Clone, Debug, Default)]
pub struct MeanWork {
    groups: [GroupMean; GROUPS],
    seconds: Option<f64>,
}

impl MeanWork {
    /// Records the work of an answered request, in seconds, and the number of the client's
    /// connection. Work of zero means that the size is unknown, and is ignored.
    pub fn record(&mut self, connection: u64, seconds: f64) {
        if seconds <= 0.0 {
            return;
        }
        self.groups[(connection % GROUPS as u64) as usize].record(seconds);
        self.seconds = Some(self.bounded_mean());
    }

    /// The mean in seconds; `None` until a request of known size has been answered.
    #[inline]
    pub fn seconds(&self) -> Option<f64> {
        self.seconds
    }

    /// The mean of the groups, each limited to a range around their median. All have the same
    /// share, however many requests they contributed.
    fn bounded_mean(&self) -> f64 {
        let median = self.median();
        let (least, most) = (median / MAX_DEVIATION, median * MAX_DEVIATION);
        let (mut sum, mut count) = (0.0, 0.0);
        for group in self.known_groups() {
            sum += group.seconds.clamp(least, most);
            count += 1.0;
        }
        sum / count
    }

    /// The median of the groups' means; of two middle ones the larger, as too much work is the safe
    /// side for the servers.
    fn median(&self) -> f64 {
        let mut means = [0.0; GROUPS];
        let mut count = 0;
        for group in self.known_groups() {
            means[count] = group.seconds;
            count += 1;
        }
        let means = &mut means[..count];
        means.sort_unstable_by(f64::total_cmp);
        means[count / 2]
    }

    /// The groups from which at least one request was answered.
    fn known_groups(&self) -> impl Iterator<Item = &GroupMean> {
        self.groups.iter().filter(|group| group.requests > 0.0)
    }
}

#[cfg(test)]
mod tests;
