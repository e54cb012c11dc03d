//! The endpoint list: the servers that the list tells of, what is known of each, and what is
//! derived from all.
//!
//! A change of the list costs as much as the members that it names: what is derived is updated in
//! place.

use crate::interface::{Id, Member, Standing, Tier};
use crate::outlier::OutlierDetector;
use crate::selection::{Candidate, Pool};
use chalkhall_stats::{NameMap, Window};
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

const TIERS: usize = 4;
/// The share of fills in time follows this many of the last ones.
const ON_TIME_SHARE_OVER: f64 = 16.0;

/// One listed server, and what this router knows of it.
#[derive(Debug, Default)]
pub struct Endpoint {
    /// As it is listed.
    pub member: Member,
    /// The work that was sent to it lately.
    pub sent_work: Window,
    /// What attempts in flight ask it for.
    pub in_flight_kb: f64,
    /// How many attempts are in flight.
    pub in_flight: u32,
    /// Whether it is ejected.
    pub outliers: OutlierDetector,
    /// It is selected by its capacity times e to the power of this.
    weight_adjustment: f64,
    /// The share of its fills that were in time.
    on_time_fill_share: f64,
    /// When it last answered.
    pub last_answer_at: Duration,
    /// All that a connection carried breaks with it: until then that is one failure.
    pub broken_until: Duration,
}

impl Endpoint {
    /// Whether it accepts anything new.
    #[inline]
    pub fn is_active(&self) -> bool {
        self.member.standing == Standing::Active
    }

    fn candidate(&self, slot: usize) -> Candidate {
        let weight = self.member.capacity * self.weight_adjustment.exp();
        Candidate::new(slot, &self.member.server, weight)
    }
}

/// What is known of all servers of a tier together.
#[derive(Debug, Default)]
struct TierHealth {
    ejected: usize,
    /// The greatest share of fills in time that one of them has; none: not known since it may have
    /// fallen.
    best_on_time_share: Option<f64>,
}

/// Which servers are selected from for the same parts: the caches of a zone, or of a cell in it;
/// all parents; the origins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PoolKey {
    tier: Tier,
    zone: usize,
    cell: Option<u32>,
}

impl PoolKey {
    /// The pool of a tier for a request of this zone and cell. Parents and origins are everybody's.
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

    /// The pools that a member may be in: of its tier, and of each of its cells.
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

/// All listed servers, with what is derived from them.
#[derive(Debug, Default)]
pub struct EndpointList {
    endpoints: NameMap<Endpoint>,
    /// Built when a request needs them.
    pools: HashMap<PoolKey, Pool>,
    origins: BTreeSet<usize>,
    local_caches: BTreeSet<usize>,
    local_capacity: f64,
    health: [TierHealth; TIERS],
    /// How many servers came by in walks over all of them.
    #[cfg(test)]
    pub walked: std::cell::Cell<usize>,
}

impl EndpointList {
    /// The list as a whole. Local caches, of which no list tells, stay.
    pub fn replace(&mut self, members: &[Member]) {
        // Almost all of them change: pools are built again when a request needs them.
        self.pools.clear();
        let endpoints = self.endpoints.values_mut();
        for endpoint in endpoints.filter(|e| e.member.tier != Tier::Own) {
            endpoint.member.standing = Standing::Gone;
        }
        for member in members {
            self.update_member(member);
        }
        self.endpoints
            .retain(|endpoint| endpoint.member.standing != Standing::Gone);
        self.derive_from_all();
        self.update_local_capacity();
    }

    /// The entries that changed.
    pub fn change(&mut self, members: &[Member]) {
        for member in members {
            self.update_member(member);
        }
        for member in members {
            self.remove_if_gone(member);
        }
        self.update_local_capacity();
    }

    /// One member as it is listed now, and what is derived from it. A server that was restarted
    /// begins with a clean record.
    fn update_member(&mut self, member: &Member) {
        self.forget_derived(&member.server, member);
        let endpoint = self.endpoints.get_or_default(&member.server);
        if endpoint.member.started != member.started {
            endpoint.outliers = OutlierDetector::default();
        }
        endpoint.member = member.clone();
        self.derive_from(&member.server);
    }

    fn remove_if_gone(&mut self, member: &Member) {
        let listed = self.endpoints.get(&member.server);
        if listed.is_some_and(|endpoint| endpoint.member.standing == Standing::Gone) {
            self.forget_derived(&member.server, member);
            self.endpoints.remove(&member.server);
        }
    }

    /// Takes out what is derived from a member, as far as it does not hold for what it is to be.
    fn forget_derived(&mut self, name: &Id, next: &Member) {
        let slot = self.endpoints.slot(name);
        let (Some(slot), Some(endpoint)) = (slot, self.endpoints.get(name)) else {
            return;
        };
        let member = &endpoint.member;
        let stays = next.standing == Standing::Active;
        for key in PoolKey::of(member).filter(|key| !stays || !key.includes(next)) {
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
        // Only who was the best can have been what the best is known from.
        if member.tier != next.tier || next.standing == Standing::Gone {
            let share = endpoint.on_time_fill_share;
            let best = health.best_on_time_share;
            health.best_on_time_share = best.filter(|best| share == 0.0 || share < *best);
        }
    }

    /// Adds what is derived from a member, where it is not there yet.
    fn derive_from(&mut self, name: &Id) {
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
            Tier::Own => self.local_caches.insert(slot),
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

    /// All that is derived from the list but the pools.
    fn derive_from_all(&mut self) {
        self.origins.clear();
        self.local_caches.clear();
        self.health = Default::default();
        let names: Vec<Id> = self.members().map(|m| m.server.clone()).collect();
        names.iter().for_each(|name| self.derive_from(name));
    }

    /// The greatest of the local caches counts.
    fn update_local_capacity(&mut self) {
        let slots = self.local_caches.iter();
        let local = slots.filter_map(|slot| self.endpoints.at(*slot));
        self.local_capacity = local.map(|e| e.member.capacity).fold(0.0, f64::max);
    }

    /// All servers, in the order of their names: what a single change or request must not go
    /// through.
    fn all(&self) -> impl Iterator<Item = (usize, &Endpoint)> {
        self.endpoints.iter().inspect(|_| {
            #[cfg(test)]
            self.walked.set(self.walked.get() + 1);
        })
    }

    /// All members, in the order of their names.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.all().map(|(_, endpoint)| &endpoint.member)
    }

    /// The caches of a zone, in the order of their names.
    pub fn caches_of(&self, zone: usize) -> impl Iterator<Item = &Member> {
        self.members()
            .filter(move |m| m.tier == Tier::Cache && m.zone == zone)
    }

    /// A server by its name.
    pub fn get(&self, server: &str) -> Option<&Endpoint> {
        self.endpoints.get(server)
    }

    /// A server by its name, to note what happens to it. Its outcomes go through
    /// [`EndpointList::record_outcome`].
    pub fn get_mut(&mut self, server: &str) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(server)
    }

    /// The server in the slot of a candidate.
    #[inline]
    pub fn at(&self, slot: usize) -> Option<&Endpoint> {
        self.endpoints.at(slot)
    }

    /// The origins.
    pub fn origins(&self) -> impl Iterator<Item = &Endpoint> {
        let slots = self.origins.iter();
        slots.filter_map(|slot| self.endpoints.at(*slot))
    }

    /// Whether there are origins, and all of them are ejected.
    pub fn are_origins_failing(&self, now: Duration) -> bool {
        let mut origins = self.origins().peekable();
        origins.peek().is_some() && origins.all(|e| !e.outliers.is_available(now))
    }

    /// How many answers at a client's pace this router's link carries at once; 0: there is no local
    /// cache.
    pub fn local_capacity(&self) -> f64 {
        self.local_capacity
    }

    /// A server is to be selected that much more or less.
    pub fn adjust_weight(&mut self, server: &Id, adjustment: f64) {
        let endpoint = self.endpoints.get_mut(server);
        let Some(endpoint) = endpoint.filter(|e| e.weight_adjustment != adjustment) else {
            return;
        };
        endpoint.weight_adjustment = adjustment;
        // All weights change together, once a period: in place each would have its group added up
        // again.
        for key in PoolKey::of(&endpoint.member) {
            self.pools.remove(&key);
        }
    }

    /// Builds a pool, unless it is there.
    pub fn ensure_pool(&mut self, key: PoolKey) {
        if self.pools.contains_key(&key) {
            return;
        }
        let pool = self.build_pool(key);
        // Requests may name zones and cells that nobody is in: those are not kept.
        if !pool.is_empty() {
            self.pools.insert(key, pool);
        }
    }

    fn build_pool(&self, key: PoolKey) -> Pool {
        let selectable = |e: &Endpoint| e.is_active() && key.includes(&e.member);
        let listed = self.all().filter(|(_, endpoint)| selectable(endpoint));
        Pool::new(listed.map(|(slot, e)| e.candidate(slot)).collect())
    }

    /// A pool, if it was built and is not empty.
    pub fn pool(&self, key: PoolKey) -> Option<&Pool> {
        self.pools.get(&key)
    }

    /// One outcome of a server, of a weight from 0 to 1.
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

    /// A fill of a server, or from it, was complete: its share of fills in time follows.
    pub fn record_fill(&mut self, server: &Id, is_late: bool) {
        let Some(endpoint) = self.endpoints.get_mut(server) else {
            return;
        };
        let best = &mut self.health[endpoint.member.tier as usize].best_on_time_share;
        let previous = endpoint.on_time_fill_share;
        endpoint.on_time_fill_share += (f64::from(!is_late) - previous) / ON_TIME_SHARE_OVER;
        *best = best
            .map(|best| best.max(endpoint.on_time_fill_share))
            .filter(|best| !is_late || previous < *best);
    }

    /// The greatest share of fills in time of a tier's servers.
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
