//! Where a request goes: the server that is to answer it, and the source of a fill.

use crate::endpoints::{Endpoint, PoolKey};
use crate::interface::{Id, Tier};
use crate::request::{PendingRequest, Route};
use crate::router::Router;
use crate::selection::{CONSIDERED_AT_MOST, Candidate};
use std::time::Duration;

/// A server with over this multiple of the others' average in-flight bytes is crowded, and comes
/// last...
const CROWDED_MULTIPLE: f64 = 2.0;
/// ...unless it has no more than these transfers of the zone in flight.
const FEW_TRANSFERS: f64 = 4.0;

/// Which servers are selected from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Health {
    /// Those that are not ejected, or whose probe is due.
    Available,
    /// All, for want of an available one.
    Any,
}

impl Router {
    /// Builds the pools that a request selects from, where they are not there.
    pub(crate) fn ensure_pools(&mut self, id: &Id) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        for tier in [Tier::Cache, Tier::Parent, Tier::Origin] {
            let key = pool_key(tier, request, self.zone);
            self.endpoints.ensure_pool(key);
        }
    }

    /// The route of the next attempt, if there is any.
    pub(crate) fn route(&self, now: Duration, id: &Id) -> Option<Route> {
        let request = self.requests.get(id)?;
        let allowed_staleness = self.allowed_staleness(now, request);
        let name = |endpoint: &Endpoint| endpoint.member.server.clone();
        let to = |server: &Endpoint, source: &Endpoint| Route {
            server: name(server),
            source: name(source),
            copy_created_at: None,
            allowed_staleness,
        };
        let select = |tier, health| self.select_server(now, tier, health, request);
        let cache =
            || select(Tier::Cache, Health::Available).or_else(|| select(Tier::Cache, Health::Any));

        // What no cache may keep runs at the origin: caches and parents on the way could only fail
        // it. One that could not be reached perhaps can be from elsewhere; ejected, it would fail
        // parents too.
        if !self.classes[request.arrival.class].cacheable {
            match select(Tier::Origin, Health::Any) {
                Some(origin) if self.passes_through => return Some(to(origin, origin)),
                Some(origin) => return cache().map(|cache| to(cache, origin)),
                None if self.endpoints.are_origins_failing(now) => return None,
                None => {}
            }
        }
        match cache() {
            // With no source left the cache itself is named: a plain send could bring a copy purged
            // since.
            Some(cache) => {
                let source = self.select_source(now, request);
                Some(to(cache, source.unwrap_or(cache)))
            }
            None if self.passes_through => {
                let source = self.select_source(now, request)?;
                Some(to(source, source))
            }
            None => None,
        }
    }

    /// Where a miss is filled from. Where no parent is available, nor the origin, the fault is the
    /// origin's: parents have what they hold.
    fn select_source(&self, now: Duration, request: &PendingRequest) -> Option<&Endpoint> {
        let order = [
            (Tier::Parent, Health::Available),
            (Tier::Origin, Health::Available),
            (Tier::Parent, Health::Any),
            (Tier::Origin, Health::Any),
        ];
        let mut order = order.into_iter();
        order.find_map(|(tier, health)| self.select_server(now, tier, health, request))
    }

    /// How long past its fresh time a copy will do: where one renewed first would hardly be in
    /// time, what its class allows. It is served and revalidated behind.
    fn allowed_staleness(&self, now: Duration, request: &PendingRequest) -> Duration {
        let is_strained =
            !self.fill_limiter.has_free_slot() || self.endpoints.are_origins_failing(now);
        if is_strained || !request.attempts.is_empty() {
            self.classes[request.arrival.class].stale_for
        } else {
            Duration::ZERO
        }
    }

    /// The first server of a tier that the hash prefers, passing over those that failed, accept
    /// nothing new, or are crowded. Each draws its own number for a part (`selection`).
    fn select_server(
        &self,
        now: Duration,
        tier: Tier,
        health: Health,
        request: &PendingRequest,
    ) -> Option<&Endpoint> {
        let arrival = &request.arrival;
        let pool = self.endpoints.pool(pool_key(tier, request, self.zone))?;
        let mut considered = 0;
        for candidates in pool.sets(&arrival.object, arrival.part) {
            let found = self.select_among(now, candidates, health, request);
            considered += candidates.len();
            #[cfg(test)]
            self.considered
                .set(self.considered.get() + candidates.len());
            if found.is_some() || considered >= CONSIDERED_AT_MOST {
                return found;
            }
        }
        None
    }

    fn select_among(
        &self,
        now: Duration,
        candidates: &[Candidate],
        health: Health,
        request: &PendingRequest,
    ) -> Option<&Endpoint> {
        let listed = candidates
            .iter()
            .filter_map(|c| Some((c, self.endpoints.at(c.slot)?)));
        let accepting: Vec<_> = listed
            .filter(|(_, endpoint)| self.accepts_new_work(now, endpoint, request))
            .collect();
        // Of two, none ever holds over twice the average of both: the others' average counts.
        let in_flight_kb = accepting.iter().map(|(_, e)| e.in_flight_kb).sum::<f64>();
        let others = (accepting.len() as f64 - 1.0).max(1.0);
        let few = (FEW_TRANSFERS / self.routers_in_zone).max(1.0);
        let is_crowded = |e: &Endpoint| {
            let average = (in_flight_kb - e.in_flight_kb) / others;
            f64::from(e.in_flight) > few && e.in_flight_kb > CROWDED_MULTIPLE * average
        };
        let is_fit = |e: &Endpoint| {
            !request.failed_servers.contains(&e.member.server)
                && (health == Health::Any || e.outliers.is_available(now))
        };
        let (object, part) = (&request.arrival.object, request.arrival.part);
        let ranked = accepting
            .iter()
            .filter(|(_, endpoint)| is_fit(endpoint))
            .map(|(c, endpoint)| (is_crowded(endpoint), c.draw(object, part), *endpoint));
        let first = ranked.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        first.map(|(_, _, endpoint)| endpoint)
    }

    /// Whether an attempt will fill: the cache is not known to hold a copy, or it was purged since.
    pub(crate) fn is_likely_fill(&mut self, id: &Id, route: &Route) -> bool {
        let Some(request) = self.requests.get(id) else {
            return false;
        };
        if !self.classes[request.arrival.class].cacheable || route.source == route.server {
            return false;
        }
        let purged_at = self.purges.last_purge(&request.arrival);
        let part = self.access_history.part_mut(&request.arrival);
        let holder = part.and_then(|part| part.holder.as_ref());
        !holder.is_some_and(|holder| {
            holder.cache == route.server && purged_at.is_none_or(|at| at < holder.known_at)
        })
    }
}

/// The pool of a tier that a request selects from.
fn pool_key(tier: Tier, request: &PendingRequest, home_zone: usize) -> PoolKey {
    let arrival = &request.arrival;
    PoolKey::new(tier, arrival.at.unwrap_or(home_zone), arrival.cell)
}
