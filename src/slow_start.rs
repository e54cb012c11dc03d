//! Slow start (rule 4): the routers together send a recently started server no more than it bears
//! while it warms up.
//!
//! The routers do not communicate for this. Each one keeps within its share of a budget for the
//! work sent in a `window`. If the share of one router is less than one transfer, a
//! hash-based lottery selects the few routers that may send one.

use crate::endpoints::Endpoint;
use crate::interface::{Class, Deployment, SlowStartSettings, Tier};
use crate::mean_work::ExpectedWork;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The fraction of a server's budget that the routers use together, as capacity hints may be
/// inaccurate.
const BUDGET_MARGIN: f64 = 0.45;
/// The number of windows for which a draw of the routers is valid. In the window after a new draw,
/// the routers of both draws may send, so a longer period reduces that overlap.
const DRAW_PERIOD_WINDOWS: f64 = 8.0;
/// The maximum fraction of the budget that one transfer in the lottery may take.
const MAX_DRAWN_SHARE: f64 = 1.0 / 8.0;
/// The maximum fraction of the budget that one transfer of above-average size in the lottery may
/// take.
const LARGE_DRAWN_SHARE: f64 = 1.0 / 16.0;
/// Transfers of up to this multiple of the mean count as average-sized: the means of classes of
/// similar size differ by as much.
const AVERAGE_WORK_MULTIPLE: f64 = 1.25;
/// Transfers smaller than this fraction of the mean enter the lottery as if they had that size.
const SMALL_WORK_SHARE: f64 = 0.5;

/// A request counts as at least this fraction of the mean of its class, whatever size its client
/// states.
const MIN_STATED_SHARE: f64 = 0.75;

/// The work of the requests of a class.
#[derive(Clone, Debug, Default)]
struct ClassWork {
    mean: ExpectedWork,
    /// Assumed while no mean is known: no answer is expected to take longer.
    initial_seconds: f64,
    /// No request counts as more: its answer would take longer than any client waits.
    max_seconds: f64,
}

impl From<&Class> for ClassWork {
    fn from(class: &Class) -> ClassWork {
        let has_deadline = !class.deadline.is_zero();
        ClassWork {
            mean: ExpectedWork::default(),
            initial_seconds: class.soft_deadline.as_secs_f64(),
            max_seconds: if has_deadline {
                class.deadline.as_secs_f64()
            } else {
                f64::INFINITY
            },
        }
    }
}

/// The slow-start parameters of a tier.
#[derive(Clone, Copy, Debug, Default)]
struct TierSlowStart {
    limits: SlowStartSettings,
    /// The number of routers that send to one server.
    sharing_routers: f64,
}

/// The work that a warming server may be sent in a window.
struct Budget {
    /// The work of all routers.
    total: f64,
    /// This router's share.
    share: f64,
    /// The time since the server's start, in windows.
    age_windows: f64,
}

/// Decides whether a recently started server may be sent more work.
#[derive(Debug, Default)]
pub struct SlowStart {
    router_number: u64,
    zone: usize,
    started_at: Duration,
    caches: TierSlowStart,
    parents: TierSlowStart,
    work_by_class: Vec<ClassWork>,
    mean_work: ExpectedWork,
}

impl SlowStart {
    /// Creates the state of a router that starts at `now`, with the deployment's parameters.
    pub fn new(now: Duration, deployment: &Deployment, routers_in_zone: f64) -> SlowStart {
        SlowStart {
            router_number: deployment.router_index,
            zone: deployment.zone,
            started_at: now,
            caches: TierSlowStart {
                limits: deployment.cold_cache,
                sharing_routers: routers_in_zone,
            },
            parents: TierSlowStart {
                limits: deployment.cold_parent,
                sharing_routers: deployment.routers.max(1) as f64,
            },
            work_by_class: deployment.classes.iter().map(ClassWork::from).collect(),
            mean_work: ExpectedWork::default(),
        }
    }

    /// Records a request as it is sent to its first server, with the number of the client's
    /// connection.
    pub fn record_sent(&mut self, class: usize, connection: u64, sending_time: Duration) {
        let work = &mut self.work_by_class[class];
        let seconds = sending_time.as_secs_f64().min(work.max_seconds);
        work.mean.record_sent(connection, seconds);
        self.mean_work.record_sent(connection, seconds);
    }

    /// Records a request that a server has answered, with the number of the client's connection.
    pub fn record_answered(&mut self, class: usize, connection: u64, sending_time: Duration) {
        let work = &mut self.work_by_class[class];
        let seconds = sending_time.as_secs_f64().min(work.max_seconds);
        work.mean.record_answered(connection, seconds);
        self.mean_work.record_answered(connection, seconds);
    }

    /// The work of an attempt for a server, in seconds of sending. For caches it is the mean of the
    /// class; for other servers that of the request, if the client states no implausible size.
    #[inline]
    pub fn work(&self, tier: Tier, class: usize, sending_time: Duration) -> f64 {
        let class = &self.work_by_class[class];
        let stated = sending_time.as_secs_f64().min(class.max_seconds);
        match (tier, class.mean.seconds()) {
            (Tier::Cache, Some(mean)) => mean,
            (_, Some(mean)) => stated.max(mean * MIN_STATED_SHARE),
            (_, None) => stated.max(self.mean_work.seconds().unwrap_or(class.initial_seconds)),
        }
    }

    /// The longer of the windows of the two tiers.
    pub fn longest_window(&self) -> Duration {
        self.caches.limits.window.max(self.parents.limits.window)
    }

    /// Whether a server may be sent this work now. Inlined, as it is called for each candidate of a
    /// selection and most servers started long ago.
    #[inline]
    pub fn admits(&self, now: Duration, endpoint: &Endpoint, work: f64) -> bool {
        let Some(started_at) = endpoint.member.started else {
            return true;
        };
        let age = now.saturating_sub(started_at);
        self.admits_while_warming(now, endpoint, age, work)
    }

    fn admits_while_warming(
        &self,
        now: Duration,
        endpoint: &Endpoint,
        age: Duration,
        work: f64,
    ) -> bool {
        let tier = match endpoint.member.tier {
            Tier::Cache => &self.caches,
            Tier::Parent => &self.parents,
            Tier::Origin | Tier::Local => return true,
        };
        let limits = &tier.limits;
        if age >= limits.warm_up_time + limits.window {
            return true;
        }
        // The load that the routers of a remote zone send to its warming cache is unknown here.
        let is_remote = endpoint.member.tier == Tier::Cache && endpoint.member.zone != self.zone;
        // The load that an earlier incarnation of this router sent is unknown as well.
        let is_recently_started = now < self.started_at + limits.window;
        if is_remote || is_recently_started {
            return false;
        }
        let budget = tier.budget(endpoint, age);
        let sent = endpoint.sent_work.sum(now, limits.window);
        sent + work <= budget.share || self.is_drawn(endpoint, &budget, sent, work)
    }

    /// With many routers, no share covers one transfer. A few routers, selected by hash, may then
    /// send one transfer per window, or several small ones that together fit in half of the mean.
    /// The expected sum in any window equals the sum of the shares. The lottery rounds small sizes
    /// up: with exact sizes, a router could win once for each size that it is asked for.
    fn is_drawn(&self, endpoint: &Endpoint, budget: &Budget, sent: f64, work: f64) -> bool {
        let (mean, share) = (self.mean_work.seconds().unwrap_or(work), budget.share);
        let small = mean * SMALL_WORK_SHARE;
        let large = (budget.total * LARGE_DRAWN_SHARE).max(mean * AVERAGE_WORK_MULTIPLE);
        if work.max(small) > large.min(budget.total * MAX_DRAWN_SHARE) {
            return false;
        }
        let draw = self.draw(endpoint, budget.age_windows);
        let fits_as_small = sent + work <= small && draw * small < share;
        fits_as_small || draw * work.max(small) < share - sent
    }

    /// The draw of this router for a server, from 0 to 1. Each router changes its draws at a
    /// different time: if all draws changed at once, the routers of both draws could send within
    /// one window, twice the expected work.
    fn draw(&self, endpoint: &Endpoint, age_windows: f64) -> f64 {
        let name = endpoint.member.server.as_bytes();
        let hash = |seed| xxh3_64_with_seed(name, seed) as f64 / 2f64.powi(64);
        let offset = hash(self.router_number);
        let draws = (age_windows / DRAW_PERIOD_WINDOWS + offset) as u64;
        hash((draws + 1) << 32 ^ self.router_number)
    }
}

impl TierSlowStart {
    fn budget(&self, endpoint: &Endpoint, age: Duration) -> Budget {
        let limits = &self.limits;
        let warmth = (age.as_secs_f64() / limits.warm_up_time.as_secs_f64()).min(1.0);
        let capacity = endpoint.member.capacity
            * (limits.initial_capacity + (1.0 - limits.initial_capacity) * warmth);
        let total =
            BUDGET_MARGIN * limits.overload_multiple * capacity * limits.window.as_secs_f64();
        Budget {
            total,
            share: total / self.sharing_routers,
            age_windows: age.div_duration_f64(limits.window),
        }
    }
}

#[cfg(test)]
mod tests;
