//! Slow start (rule 4): what all routers together send to a server that has just started stays
//! within what it bears while it warms up.
//!
//! The routers do not agree with one another. Each keeps within its share of a budget, of the work
//! sent in a span of time. Where the share of one is less than one transfer, a lottery that needs
//! no messages names the few routers that may send one.

use crate::endpoints::Endpoint;
use crate::interface::{ColdStart, Deployment, Tier};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The share of a server's budget that the routers together use: capacities may be told roughly.
const BUDGET_MARGIN: f64 = 0.45;
/// A draw of the routers that may send holds for so many spans. In the span after each new draw
/// those of both may send: the longer it holds, the fewer do.
const DRAW_LASTS_SPANS: f64 = 8.0;
/// What is drawn for takes no more than this share of the budget.
const DRAWN_MOST: f64 = 1.0 / 8.0;
/// What is drawn for and is larger than usual takes no more than this share of the budget.
const DRAWN_LARGE: f64 = 1.0 / 16.0;
/// Up to this multiple of the mean a transfer is as usual: means of classes of like size differ by
/// as much.
const DRAWN_USUAL: f64 = 1.25;
/// What is smaller than this share of the mean is drawn for as if it were not.
const DRAWN_SMALL: f64 = 0.5;
/// A mean follows this many of the last requests.
const MEAN_OVER_REQUESTS: f64 = 256.0;

/// The mean sending time of requests, in seconds.
#[derive(Clone, Copy, Debug, Default)]
struct MeanWork {
    seconds: f64,
    requests: f64,
}

impl MeanWork {
    fn record(&mut self, sending_time: Duration) {
        self.requests = (self.requests + 1.0).min(MEAN_OVER_REQUESTS);
        self.seconds += (sending_time.as_secs_f64() - self.seconds) / self.requests;
    }
}

/// How the servers of a tier start.
#[derive(Clone, Copy, Debug, Default)]
struct TierSlowStart {
    limits: ColdStart,
    /// How many routers send to one server.
    sharing_routers: f64,
}

/// What a server may be sent in a span while it warms up.
struct Budget {
    /// By all routers.
    total: f64,
    /// By this one.
    share: f64,
    /// How many spans ago the server started.
    age_spans: f64,
}

/// Decides whether a server that has just started may be sent more.
#[derive(Debug, Default)]
pub struct SlowStart {
    router_number: u64,
    zone: usize,
    /// When this router started.
    started_at: Duration,
    caches: TierSlowStart,
    parents: TierSlowStart,
    mean_work_by_class: Vec<MeanWork>,
    mean_work: MeanWork,
}

impl SlowStart {
    /// The bounds that the deployment sets, for a router that starts now.
    pub fn new(now: Duration, deployment: &Deployment, routers_in_zone: f64) -> SlowStart {
        SlowStart {
            router_number: deployment.number,
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
            mean_work_by_class: vec![MeanWork::default(); deployment.classes.len()],
            mean_work: MeanWork::default(),
        }
    }

    /// A request has come in, with an answer that takes so long to send.
    pub fn record_request(&mut self, class: usize, sending_time: Duration) {
        self.mean_work_by_class[class].record(sending_time);
        self.mean_work.record(sending_time);
    }

    /// The work that an attempt is to a server, in seconds of sending. Of a cache the mean of its
    /// class counts.
    #[inline]
    pub fn work(&self, tier: Tier, class: usize, sending_time: Duration) -> f64 {
        match tier {
            Tier::Cache => self.mean_work_by_class[class].seconds,
            _ => sending_time.as_secs_f64(),
        }
    }

    /// The longest span in which sent work counts.
    pub fn longest_span(&self) -> Duration {
        self.caches.limits.span.max(self.parents.limits.span)
    }

    /// Whether a server may be sent this work now. Most servers started long ago, and each
    /// candidate of a selection is asked about: that part is inlined.
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
            Tier::Origin | Tier::Own => return true,
        };
        let limits = &tier.limits;
        if age >= limits.warm_within + limits.span {
            return true;
        }
        // What its own zone's routers send to a cold cache of a remote zone is not known here.
        let is_remote = endpoint.member.tier == Tier::Cache && endpoint.member.zone != self.zone;
        // What an earlier incarnation of this router sent is not known to it.
        let is_blind = now < self.started_at + limits.span;
        if is_remote || is_blind {
            return false;
        }
        let budget = tier.budget(endpoint, age);
        let sent = endpoint.sent_work.sum(now, limits.span);
        sent + work <= budget.share || self.is_drawn(endpoint, &budget, sent, work)
    }

    /// Of many routers none has a share that one transfer fits in: a few, drawn by hash, may send
    /// one in each span, or as many small ones as fit in half of the mean. The sum expected in any
    /// span is that of the shares. Were each size drawn for as it is, a router would draw once for
    /// each that it is asked for.
    fn is_drawn(&self, endpoint: &Endpoint, budget: &Budget, sent: f64, work: f64) -> bool {
        let (mean, share) = (self.mean_work.seconds, budget.share);
        let small = mean * DRAWN_SMALL;
        let large = (budget.total * DRAWN_LARGE).max(mean * DRAWN_USUAL);
        if work.max(small) > large.min(budget.total * DRAWN_MOST) {
            return false;
        }
        let draw = self.draw(endpoint, budget.age_spans);
        let fits_as_small = sent + work <= small && draw * small < share;
        fits_as_small || draw * work.max(small) < share - sent
    }

    /// From 0 to 1, by server and router. Each router draws anew at times of its own: of two draws
    /// that ended and began for all at once, those of both could send within one span, twice what
    /// is expected.
    fn draw(&self, endpoint: &Endpoint, age_spans: f64) -> f64 {
        let name = endpoint.member.server.as_bytes();
        let hash = |seed| xxh3_64_with_seed(name, seed) as f64 / 2f64.powi(64);
        let offset = hash(self.router_number);
        let draws = (age_spans / DRAW_LASTS_SPANS + offset) as u64;
        hash((draws + 1) << 32 ^ self.router_number)
    }
}

impl TierSlowStart {
    fn budget(&self, endpoint: &Endpoint, age: Duration) -> Budget {
        let limits = &self.limits;
        let warmth = (age.as_secs_f64() / limits.warm_within.as_secs_f64()).min(1.0);
        let capacity = endpoint.member.capacity * (limits.from + (1.0 - limits.from) * warmth);
        let total = BUDGET_MARGIN * limits.multiple * capacity * limits.span.as_secs_f64();
        Budget {
            total,
            share: total / self.sharing_routers,
            age_spans: age.div_duration_f64(limits.span),
        }
    }
}

#[cfg(test)]
mod tests;
