//! The mean work of requests, as learned from a sample of them.
//!
//! A client states the size of what it requests, and it may be wrong. The connections of clients
//! are therefore divided into groups, and no group moves the mean by more than its share.
//!
//! Sizes of objects spread widely: the mean of a few requests is usually far below that of all, and
//! rarely far above. The estimate is therefore an upper one until many requests are known.

/// The number of groups. Numbers of connections are consecutive, so that up to this many
/// connections have a group each.
const GROUPS: usize = 16;
/// The number of requests over which the mean of a group is averaged.
const MEAN_WINDOW_REQUESTS: f64 = 256.0;
/// A group of many requests whose mean differs from the median of all groups by more than this
/// factor counts as if it differed by the factor.
const MAX_DEVIATION: f64 = 2.0;
/// Groups of fewer requests may lie above the median by a factor that is larger in proportion:
/// a single large object is a considerable part of their mean.
const MANY_REQUESTS: f64 = 32.0;
/// The number of standard errors by which the estimate lies above the mean of the sample.
const STANDARD_ERRORS: f64 = 1.5;
/// The sample from which a standard error can be estimated.
const MIN_SAMPLE_REQUESTS: f64 = 2.0;

/// The moving averages of one group.
#[derive(Clone, Copy, Debug, Default)]
struct GroupMean {
    seconds: f64,
    /// The mean of the squares.
    seconds_squared: f64,
    requests: f64,
}

impl GroupMean {
    fn record(&mut self, seconds: f64) {
        self.requests = (self.requests + 1.0).min(MEAN_WINDOW_REQUESTS);
        self.seconds += (seconds - self.seconds) / self.requests;
        self.seconds_squared += (seconds * seconds - self.seconds_squared) / self.requests;
    }

    /// How far above the median of all groups the mean may lie.
    fn max_deviation(&self) -> f64 {
        max_deviation(self.requests)
    }
}

/// The factor by which the mean of so many requests may exceed what else is known of it.
fn max_deviation(requests: f64) -> f64 {
    MAX_DEVIATION * (MANY_REQUESTS / requests).max(1.0)
}

/// The mean work of requests in seconds of sending, learned from a sample of requests.
#[derive(Clone, Debug, Default)]
pub struct MeanWork {
    groups: [GroupMean; GROUPS],
    estimate: Estimate,
}

/// What a sample says of the mean.
#[derive(Clone, Copy, Debug, Default)]
struct Estimate {
    mean: f64,
    /// The size of the sample; less than the number of its requests if the groups have different
    /// numbers of them.
    requests: f64,
    standard_error: f64,
}

impl MeanWork {
    /// Records the work of a request, in seconds, and the number of the client's connection. Work
    /// of zero means that the size is unknown, and is ignored.
    pub fn record(&mut self, connection: u64, seconds: f64) {
        if seconds <= 0.0 {
            return;
        }
        self.groups[(connection % GROUPS as u64) as usize].record(seconds);
        self.estimate = self.estimate();
    }

    /// The mean of the sample in seconds; `None` if it is empty.
    #[inline]
    pub fn seconds(&self) -> Option<f64> {
        (self.estimate.requests > 0.0).then_some(self.estimate.mean)
    }

    /// An upper estimate of the mean of all requests, in seconds; `None` while the sample is too
    /// small to tell how much requests differ.
    #[inline]
    pub fn upper_seconds(&self) -> Option<f64> {
        let mean = self.seconds()?;
        let is_known = self.estimate.requests >= MIN_SAMPLE_REQUESTS;
        is_known.then_some(mean + STANDARD_ERRORS * self.estimate.standard_error)
    }

    /// The factor by which another sample of the same requests may exceed this one.
    #[inline]
    fn max_deviation(&self) -> f64 {
        max_deviation(self.estimate.requests)
    }

    /// The mean of the groups, each limited to a range around their median. All have the same
    /// share, however many requests they contributed.
    fn estimate(&self) -> Estimate {
        let median = self.median();
        let least = median / MAX_DEVIATION;
        let (mut sum, mut sum_of_squares) = (0.0, 0.0);
        let (mut groups, mut inverse_requests) = (0.0, 0.0);
        for group in self.known_groups() {
            let most = median * group.max_deviation();
            let counted = group.seconds.clamp(least, most);
            let scale = counted / group.seconds;
            sum += counted;
            sum_of_squares += group.seconds_squared * scale * scale;
            inverse_requests += 1.0 / group.requests;
            groups += 1.0;
        }
        let mean = sum / groups;
        let requests = groups * groups / inverse_requests;
        let variance = (sum_of_squares / groups - mean * mean).max(0.0);
        let standard_error = (variance / (requests - 1.0).max(1.0)).sqrt();
        Estimate {
            mean,
            requests,
            standard_error,
        }
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

    /// The groups with at least one request.
    fn known_groups(&self) -> impl Iterator<Item = &GroupMean> {
        self.groups.iter().filter(|group| group.requests > 0.0)
    }
}

/// The mean work of requests, learned from two samples of them.
///
/// Requests that were sent to a server are known at once, but a client may withdraw any number of
/// them. Those that were answered were not withdrawn, but the first answers are those of the
/// smallest objects. The larger estimate counts: neither lowers that of the other.
#[derive(Clone, Debug, Default)]
pub struct ExpectedWork {
    sent: MeanWork,
    answered: MeanWork,
}

impl ExpectedWork {
    /// Records a request as it is sent to its first server. See [`MeanWork::record`].
    pub fn record_sent(&mut self, connection: u64, seconds: f64) {
        self.sent.record(connection, seconds);
    }

    /// Records a request that a server has answered. See [`MeanWork::record`].
    pub fn record_answered(&mut self, connection: u64, seconds: f64) {
        self.answered.record(connection, seconds);
    }

    /// An upper estimate of the mean in seconds; `None` while too few requests are known.
    ///
    /// Requests that were sent exceed those that were answered by a limited factor, so that
    /// withdrawn requests for large objects do not keep warming servers without work.
    #[inline]
    pub fn seconds(&self) -> Option<f64> {
        let answered = self.answered.upper_seconds();
        let sent = self.sent.upper_seconds();
        let (Some(answered), Some(sent)) = (answered, sent) else {
            return answered.or(sent);
        };
        Some(
            sent.min(answered * self.answered.max_deviation())
                .max(answered),
        )
    }
}

#[cfg(test)]
mod tests;
