//! Routing: selects the server of an attempt, and the source of a fill.

use crate::endpoints::{Endpoint, PoolKey};
use crate::interface::{Id, Tier};
use crate::request::{PendingRequest, Route};
use crate::router::Router;
use crate::selection::{CANDIDATE_LIMIT, Candidate};
use std::time::Duration;

/// A server is overloaded, and is selected last, if its in-flight bytes exceed this multiple of the
/// other servers' average...
const OVERLOAD_MULTIPLE: f64 = 2.0;
/// ...and it has more than this number of the zone's transfers in flight.
const OVERLOAD_MIN_TRANSFERS: f64 = 4.0;

/// The health requirement of a selection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Health {
    /// Servers that are not ejected, or whose probe is due.
    Available,
    /// All servers, used if none is available.
    Any,
}

impl Router {
    /// Builds the pools for a request where they do not exist.
    pub(crate) fn ensure_pools(&mut self, id: &Id) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        for tier in [Tier::Cache, Tier::Parent, Tier::Origin] {
            let key = pool_key(tier, request, self.zone);
            self.endpoints.ensure_pool(key);
        }
    }

    /// The route of the next attempt, if a server can be selected.
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

        // Uncacheable requests are executed at the origin, as caches and parents on the way would
        // only add failures. An origin that was unreachable may be reachable from another server;
        // an ejected one would fail the parents as well.
        if !self.classes[request.arrival.class].cacheable {
            match select(Tier::Origin, Health::Any) {
                Some(origin) if self.passes_through => return Some(to(origin, origin)),
                Some(origin) => return cache().map(|cache| to(cache, origin)),
                None if self.endpoints.are_origins_failing(now) => return None,
                None => {}
            }
        }
        match cache() {
            // Without a source the cache itself is named: an attempt without fill parameters could
            // return a copy that has since been purged.
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

    /// Selects the source of a fill. If neither a parent nor the origin is available, the origin is
    /// assumed to be at fault, and parents can still serve the copies that they hold.
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

    /// The staleness that an attempt accepts: if revalidating first is unlikely to be in time, what
    /// the class allows. The copy is then served and revalidated in the background.
    fn allowed_staleness(&self, now: Duration, request: &PendingRequest) -> Duration {
        let is_degraded =
            !self.fill_limiter.has_free_slot() || self.endpoints.are_origins_failing(now);
        if is_degraded || !request.attempts.is_empty() {
            self.classes[request.arrival.class].max_staleness
        } else {
            Duration::ZERO
        }
    }

    /// Selects the most preferred server of a tier by hash (see `selection`), passing over servers
    /// that failed the request, accept no new requests, or are overloaded.
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
        for candidates in pool.candidate_sets(&arrival.object, arrival.part) {
            let found = self.select_among(now, candidates, health, request);
            considered += candidates.len();
            #[cfg(test)]
            self.considered
                .set(self.considered.get() + candidates.len());
            if found.is_some() || considered >= CANDIDATE_LIMIT {
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
        // Compares with the average of the other servers: of two servers, neither can exceed twice
        // the average of both.
        let in_flight_kb = accepting.iter().map(|(_, e)| e.in_flight_kb).sum::<f64>();
        let others = (accepting.len() as f64 - 1.0).max(1.0);
        let min_transfers = (OVERLOAD_MIN_TRANSFERS / self.routers_in_zone).max(1.0);
        let is_overloaded = |e: &Endpoint| {
            let average = (in_flight_kb - e.in_flight_kb) / others;
            f64::from(e.in_flight) > min_transfers && e.in_flight_kb > OVERLOAD_MULTIPLE * average
        };
        let is_fit = |e: &Endpoint| {
            !request.failed_servers.contains(&e.member.server)
                && (health == Health::Any || e.outliers.is_available(now))
        };
        let (object, part) = (&request.arrival.object, request.arrival.part);
        let ranked = accepting
            .iter()
            .filter(|(_, endpoint)| is_fit(endpoint))
            .map(|(c, endpoint)| (is_overloaded(endpoint), c.draw(object, part), *endpoint));
        let first = ranked.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        first.map(|(_, _, endpoint)| endpoint)
    }

    /// Whether an attempt is likely to fill: the cache is not known to hold a copy, or the copy has
    /// since been purged.
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

/// The pool of a tier for a request.
fn pool_key(tier: Tier, request: &PendingRequest, home_zone: usize) -> PoolKey {
    let arrival = &request.arrival;
    PoolKey::new(tier, arrival.zone.unwrap_or(home_zone), arrival.cell)
}
