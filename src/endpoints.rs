//! The endpoint list: the listed servers, the state that this router keeps for each, and the
//! indexes derived from them.
//!
//! The cost of a list change is proportional to the number of members that it names: indexes are
//! updated in place.

use crate::interface::{Id, Member, ServerState, Tier};
use crate::outlier::OutlierDetector;
use crate::selection::{Candidate, Pool};
use chalkhall_stats::{NameMap, WindowSum};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

const TIER_COUNT: usize = 4;
/// The number of recent fills over which the on-time share is averaged.
const ON_TIME_SHARE_SAMPLES: f64 = 16.0;

/// A listed server, with the state that this router keeps for it.
#[derive(Debug, Default)]
pub struct Endpoint {
    /// The list entry.
    pub member: Member,
    /// The work recently sent to the server.
    pub sent_work: WindowSum,
    /// The total answer size of attempts in flight.
    pub in_flight_kb: f64,
    /// The number of attempts in flight.
    pub in_flight: u32,
    /// The outlier detection state.
    pub outliers: OutlierDetector,
    /// The selection weight is the capacity times e to the power of this.
    weight_adjustment: f64,
    /// The recent share of fills that were complete in time.
    on_time_fill_share: f64,
    pub last_answer_at: Duration,
    /// Broken connections count as a single failure until this time, as one break ends every
    /// attempt on the connection.
    pub broken_until: Duration,
}

impl Endpoint {
    /// Whether the server accepts new requests.
    #[inline]
    pub fn is_active(&self) -> bool {
        self.member.state == ServerState::Active
    }

    fn candidate(&self, slot: usize) -> Candidate {
        let weight = self.member.capacity * self.weight_adjustment.exp();
        Candidate::new(slot, &self.member.server, weight)
    }
}

/// The aggregated health of a tier.
#[derive(Debug, Default)]
struct TierHealth {
    ejected: usize,
    /// The highest on-time share of a server of the tier; `None` when it has to be recomputed
    /// because the maximum may have fallen.
    best_on_time_share: Option<f64>,
}

/// Identifies a pool, the set of servers that compete for the same parts: the caches of a zone, or
/// of a cell in it; all parents; the origins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PoolKey {
    tier: Tier,
    zone: usize,
    cell: Option<u32>,
}

impl PoolKey {
    /// The pool of a tier for a request of this zone and cell. Parents and origins are shared by
    /// all zones and cells.
    pub fn new(tier: Tier, zone: usize, cell: Option<u32>) -> PoolKey {
        match tier {
            Tier::Cache => PoolKey { tier, zone, cell },
            _ => PoolKey {
                tier,
                zone: 0,
                cell: None,
            },
        }
    }

    /// The pools to which a member may belong: that of its tier, and one for each of its cells.
    fn of(member: &Member) -> impl Iterator<Item = PoolKey> {
        let (tier, zone) = (member.tier, member.zone);
        let cells = match tier {
            Tier::Cache => &*member.cells,
            _ => &[],
        };
        let cells = cells.iter().copied().map(Some);
        cells
            .chain([None])
            .map(move |cell| PoolKey::new(tier, zone, cell))
    }

    fn includes(&self, member: &Member) -> bool {
        let of_cell = self.cell.is_none_or(|cell| member.cells.contains(&cell));
        member.tier == self.tier
            && (self.tier != Tier::Cache || member.zone == self.zone && of_cell)
    }
}

/// All listed servers, with the indexes derived from them.
#[derive(Debug, Default)]
pub struct EndpointList {
    endpoints: NameMap<Endpoint>,
    /// Built on first use.
    pools: HashMap<PoolKey, Pool>,
    origins: BTreeSet<usize>,
    local_caches: BTreeSet<usize>,
    local_capacity: f64,
    health: [TierHealth; TIER_COUNT],
    /// The number of servers visited by iterations over the whole list.
    #[cfg(test)]
    pub visited: std::cell::Cell<usize>,
}

impl EndpointList {
    /// Replaces the whole list. Local caches stay, as no list contains them.
    pub fn replace(&mut self, members: &[Member]) {
        // Nearly all pools change, so they are rebuilt on first use.
        self.pools.clear();
        let endpoints = self.endpoints.values_mut();
        for endpoint in endpoints.filter(|e| e.member.tier != Tier::Local) {
            endpoint.member.state = ServerState::Removed;
        }
        for member in members {
            self.update_member(member);
        }
        self.endpoints
            .retain(|endpoint| endpoint.member.state != ServerState::Removed);
        self.rebuild_indexes();
        self.update_local_capacity();
    }

    /// Applies changed entries.
    pub fn change(&mut self, members: &[Member]) {
        for member in members {
            self.update_member(member);
        }
        for member in members {
            self.remove_unlisted(member);
        }
        self.update_local_capacity();
    }

    /// Updates a member and its index entries. The health state of a restarted server is reset.
    fn update_member(&mut self, member: &Member) {
        self.remove_from_indexes(&member.server, member);
        let endpoint = self.endpoints.get_or_default(&member.server);
        if endpoint.member.started != member.started {
            endpoint.outliers = OutlierDetector::default();
        }
        endpoint.member = member.clone();
        self.add_to_indexes(&member.server);
    }

    fn remove_unlisted(&mut self, member: &Member) {
        let listed = self.endpoints.get(&member.server);
        if listed.is_some_and(|endpoint| endpoint.member.state == ServerState::Removed) {
            self.remove_from_indexes(&member.server, member);
            self.endpoints.remove(&member.server);
        }
    }

    /// Removes a member from the indexes that its new entry does not belong to.
    fn remove_from_indexes(&mut self, name: &Id, next: &Member) {
        let slot = self.endpoints.slot(name);
        let (Some(slot), Some(endpoint)) = (slot, self.endpoints.get(name)) else {
            return;
        };
        let member = &endpoint.member;
        let remains_active = next.state == ServerState::Active;
        for key in PoolKey::of(member).filter(|key| !remains_active || !key.includes(next)) {
            let Some(pool) = self.pools.get_mut(&key) else {
                continue;
            };
            pool.remove(name);
            if pool.is_empty() {
                self.pools.remove(&key);
            }
        }
        self.origins.remove(&slot);
        self.local_caches.remove(&slot);
        let health = &mut self.health[member.tier as usize];
        let ejected = usize::from(endpoint.outliers.is_ejected());
        health.ejected = health.ejected.saturating_sub(ejected);
        // The tier's maximum can only fall if this member had it.
        if member.tier != next.tier || next.state == ServerState::Removed {
            let share = endpoint.on_time_fill_share;
            let best = health.best_on_time_share;
            health.best_on_time_share = best.filter(|best| share == 0.0 || share < *best);
        }
    }

    /// Adds a member to the indexes where it is missing.
    fn add_to_indexes(&mut self, name: &Id) {
        let slot = self.endpoints.slot(name);
        let (Some(slot), Some(endpoint)) = (slot, self.endpoints.get(name)) else {
            return;
        };
        let member = &endpoint.member;
        let health = &mut self.health[member.tier as usize];
        health.ejected += usize::from(endpoint.outliers.is_ejected());
        let best = health.best_on_time_share;
        health.best_on_time_share = best.map(|best| best.max(endpoint.on_time_fill_share));
        match member.tier {
            Tier::Origin => self.origins.insert(slot),
            Tier::Local => self.local_caches.insert(slot),
            Tier::Cache | Tier::Parent => false,
        };
        if !endpoint.is_active() {
            return;
        }
        for key in PoolKey::of(member) {
            if let Some(pool) = self.pools.get_mut(&key) {
                pool.insert(endpoint.candidate(slot));
            }
        }
    }

    /// Rebuilds every index except the pools.
    fn rebuild_indexes(&mut self) {
        self.origins.clear();
        self.local_caches.clear();
        self.health = Default::default();
        let names: Vec<Id> = self.members().map(|m| m.server.clone()).collect();
        names.iter().for_each(|name| self.add_to_indexes(name));
    }

    /// The local capacity is that of the largest local cache.
    fn update_local_capacity(&mut self) {
        let slots = self.local_caches.iter();
        let local = slots.filter_map(|slot| self.endpoints.at(*slot));
        self.local_capacity = local.map(|e| e.member.capacity).fold(0.0, f64::max);
    }

    /// All servers, in name order. Must not be used for a single change or request, whose cost must
    /// not depend on the size of the list.
    fn all(&self) -> impl Iterator<Item = (usize, &Endpoint)> {
        self.endpoints.iter().inspect(|_| {
            #[cfg(test)]
            self.visited.set(self.visited.get() + 1);
        })
    }

    /// All members, in name order.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.all().map(|(_, endpoint)| &endpoint.member)
    }

    /// The caches of a zone, in name order.
    pub fn caches_of(&self, zone: usize) -> impl Iterator<Item = &Member> {
        self.members()
            .filter(move |m| m.tier == Tier::Cache && m.zone == zone)
    }

    /// Returns a server by name.
    pub fn get(&self, server: &str) -> Option<&Endpoint> {
        self.endpoints.get(server)
    }

    /// Returns a server by name for updates. Outcomes are recorded by
    /// [`EndpointList::record_outcome`].
    pub fn get_mut(&mut self, server: &str) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(server)
    }

    /// Returns the server in the slot of a candidate.
    #[inline]
    pub fn at(&self, slot: usize) -> Option<&Endpoint> {
        self.endpoints.at(slot)
    }

    pub fn origins(&self) -> impl Iterator<Item = &Endpoint> {
        let slots = self.origins.iter();
        slots.filter_map(|slot| self.endpoints.at(*slot))
    }

    /// Whether there are origins and all of them are ejected.
    pub fn are_origins_failing(&self, now: Duration) -> bool {
        let mut origins = self.origins().peekable();
        origins.peek().is_some() && origins.all(|e| !e.outliers.is_available(now))
    }

    /// The number of answers at the clients' rate that this router's link transfers in parallel; 0
    /// if there is no local cache.
    pub fn local_capacity(&self) -> f64 {
        self.local_capacity
    }

    /// Sets the adjustment of a server's selection weight.
    pub fn adjust_weight(&mut self, server: &Id, adjustment: f64) {
        let endpoint = self.endpoints.get_mut(server);
        let Some(endpoint) = endpoint.filter(|e| e.weight_adjustment != adjustment) else {
            return;
        };
        endpoint.weight_adjustment = adjustment;
        // All weights change at once, at regular intervals. Updating each in place would recompute
        // the weight sum of its group for every change.
        for key in PoolKey::of(&endpoint.member) {
            self.pools.remove(&key);
        }
    }

    /// Builds a pool, unless it exists.
    pub fn ensure_pool(&mut self, key: PoolKey) {
        if self.pools.contains_key(&key) {
            return;
        }
        let pool = self.build_pool(key);
        // Empty pools are not stored, as requests may name zones and cells without servers.
        if !pool.is_empty() {
            self.pools.insert(key, pool);
        }
    }

    fn build_pool(&self, key: PoolKey) -> Pool {
        let selectable = |e: &Endpoint| e.is_active() && key.includes(&e.member);
        let listed = self.all().filter(|(_, endpoint)| selectable(endpoint));
        Pool::new(listed.map(|(slot, e)| e.candidate(slot)).collect())
    }

    /// Returns a pool, if it has been built and is not empty.
    pub fn pool(&self, key: PoolKey) -> Option<&Pool> {
        self.pools.get(&key)
    }

    /// Records an outcome of a server, with a weight from 0 to 1.
    pub fn record_outcome(&mut self, server: &Id, now: Duration, failed: bool, weight: f64) {
        let Some(endpoint) = self.endpoints.get_mut(server) else {
            return;
        };
        let was_ejected = endpoint.outliers.is_ejected();
        endpoint.outliers.record_outcome(now, failed, weight);
        let ejected = &mut self.health[endpoint.member.tier as usize].ejected;
        match (was_ejected, endpoint.outliers.is_ejected()) {
            (false, true) => *ejected += 1,
            (true, false) => *ejected = ejected.saturating_sub(1),
            _ => {}
        }
    }

    /// Records a complete fill by a server or from it, which updates its on-time share.
    pub fn record_fill(&mut self, server: &Id, is_late: bool) {
        let Some(endpoint) = self.endpoints.get_mut(server) else {
            return;
        };
        let best = &mut self.health[endpoint.member.tier as usize].best_on_time_share;
        let previous = endpoint.on_time_fill_share;
        endpoint.on_time_fill_share += (f64::from(!is_late) - previous) / ON_TIME_SHARE_SAMPLES;
        *best = best
            .map(|best| best.max(endpoint.on_time_fill_share))
            .filter(|best| !is_late || previous < *best);
    }

    /// The highest on-time share among the servers of a tier.
    pub fn best_on_time_share(&mut self, tier: Tier) -> f64 {
        if let Some(best) = self.health[tier as usize].best_on_time_share {
            return best;
        }
        let of_tier = self.all().filter(|(_, e)| e.member.tier == tier);
        let shares = of_tier.map(|(_, endpoint)| endpoint.on_time_fill_share);
        let best = shares.fold(0.0, f64::max);
        self.health[tier as usize].best_on_time_share = Some(best);
        best
    }

    /// Whether a server of this tier other than `server` is ejected.
    pub fn has_other_ejected(&self, tier: Tier, server: &Id) -> bool {
        let itself = self.endpoints.get(server);
        let itself = itself.filter(|e| e.member.tier == tier && e.outliers.is_ejected());
        self.health[tier as usize].ejected > usize::from(itself.is_some())
    }
}

#[cfg(test)]
mod tests;
