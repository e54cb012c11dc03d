//! The failover plan of a zone, and the zone of a request by that plan.
//!
//! **Who decides.** The coordinator of a zone is the router with the lowest number of those with a
//! recent load report. It computes which zones take the requests, and publishes the plan with a
//! number that only grows. All routers follow the plan with the highest number that is younger than
//! [`PLAN_LIFETIME`]; without a plan all requests stay in their zone. When a coordinator fails, the
//! next router continues from the plan that it followed. In a partition each side has a coordinator
//! of its own, which decides for the zones that it reaches: safety does not depend on there being
//! only one, since a plan only selects among which caches requests are distributed that may run
//! anywhere.
//!
//! **When.** Requests leave a zone if its caches count as bad by pooled outcomes ([`Health`]), if
//! the operator drains it, or if they are cold and have less capacity than the demand. If more than
//! half of the zones with a known state are bad at once, the fault is not one zone's, and no
//! requests leave their zones.
//!
//! **Where to.** The spare capacity of another zone is that of its warm caches, up to
//! `MAX_UTILIZATION`, less the demand of its own clients, and less if it serves them late. It is
//! divided among all zones that are currently bad, so that together they do not overload it. Zones
//! are used in the order of their paths' latencies, with rate-limited steps
//! (`chalkhall_latency::share_table`).
//!
//! **Return.** Once a bad zone answers probes again, a few requests are tried there
//! (`TRIAL_SHARE`). Evidence for recovery has to be stronger than for failure, and the load that
//! returns first is limited to the capacity of the cold caches.

use crate::evidence::{DecayingCounts, Health};
use crate::messages::{MAX_PLAN_ZONES, PLAN, Plan, ROUTER_LOAD, RouterLoad, ZONE_STATE, ZoneState};
use chalkhall_gossip::DatagramSender;
use chalkhall_gossip::gossip::{Gossip, KindPolicy, RouterIdentity};
use chalkhall_latency::{Estimate, Model, Offer, ShareTable};
use chalkhall_stats::RecentQuantiles;
use std::time::Duration;

/// Lifetime of loads and states.
const LIFETIME: Duration = Duration::from_millis(2500);
/// Publishers of a zone's state that other zones keep: one of them may publish false values.
const ZONE_STATE_PUBLISHERS: usize = 3;
/// Lifetime of plans.
pub const PLAN_LIFETIME: Duration = Duration::from_millis(2000);
/// All kinds of messages that a router's gossip carries, including those of the latency model.
pub const KIND_POLICIES: [KindPolicy; 6] = [
    chalkhall_latency::KIND_POLICIES[0],
    chalkhall_latency::KIND_POLICIES[1],
    chalkhall_latency::KIND_POLICIES[2],
    KindPolicy {
        kind: ROUTER_LOAD,
        zone_only: true,
        has_priority: false,
        max_publishers: 256,
        lifetime: LIFETIME,
    },
    KindPolicy {
        kind: ZONE_STATE,
        zone_only: false,
        has_priority: false,
        max_publishers: ZONE_STATE_PUBLISHERS,
        lifetime: LIFETIME,
    },
    KindPolicy {
        kind: PLAN,
        zone_only: true,
        has_priority: true,
        max_publishers: 4,
        lifetime: PLAN_LIFETIME,
    },
];
/// A peer that was alive within this time counts towards the zone's demand.
const PEER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after a start within which peers become known.
const STARTUP_GRACE: Duration = Duration::from_millis(2500);
/// Interval of this router's own messages; they are also sent at once when the zone turns bad or
/// good.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which the state of the zone is evaluated.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(250);
/// Utilization of a zone's capacity up to which it takes requests of others.
const MAX_UTILIZATION: f64 = 0.85;
/// A plan in which no share changes by more than this keeps its number.
const MIN_SHARE_CHANGE: f64 = 0.01;
/// A plan in which a share changes by more than this is sent urgently.
const URGENT_SHARE_CHANGE: f64 = 0.1;
/// Share of a bad zone's requests that are still tried at its own caches, once it answers probes
/// again.
const TRIAL_SHARE: f64 = 1.0 / 8.0;
/// Share of a bad zone's requests that are tried at its own caches while there are no results of
/// probes.
const BLIND_TRIAL_SHARE: f64 = 1.0 / 32.0;
/// Growth of a zone's spare capacity per second at most, as a share of its capacity; it shrinks at
/// once. Additional load shows in the share of late answers only a second later, and parts that
/// move back and forth are fetched each time.
const MAX_CAPACITY_GROWTH: f64 = 0.15;
/// Share of late answers from which a zone has no spare capacity.
const MAX_LATE_SHARE: f64 = 0.10;
/// Time over which a router's demand is averaged.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);
/// Recent requests from which the distribution of values is known.
const VALUE_SAMPLES: usize = 256;

/// Identity of a router, and whether its requests may leave the zone.
#[derive(Clone, Copy, Debug)]
pub struct FailoverConfig {
    pub number: u16,
    pub routers: usize,
    pub zone: u8,
    pub zones: usize,
    pub incarnation: u32,
    pub seed: u64,
    /// Whether requests may go to other zones' caches. Otherwise plans are only published and
    /// shown.
    pub may_leave_zone: bool,
}

/// The capacity of a zone's caches, as listed by discovery.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneCapacity {
    /// Capacity of the active caches, in concurrent transfers.
    pub capacity: f64,
    /// The part of `capacity` that is available, by how warm the caches are.
    pub available: f64,
    /// Capacity of the warm caches.
    pub warm: f64,
}

/// The zone whose caches serve a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetZone {
    Home,
    Remote(usize),
    /// No zone has capacity for the request.
    Unavailable,
}

/// State for operators and fronts.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    pub bad: bool,
    pub drained: bool,
    pub flaps: u32,
    pub is_coordinator: bool,
    /// The plan in force and its publisher.
    pub plan: Option<(Plan, u16)>,
    pub demand: f64,
    pub peers: usize,
    /// By zone: bad, drained, demand, spare capacity for this zone.
    pub zones: Vec<(bool, bool, f64, f64)>,
}

/// An edge as reported to a front.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Edge {
    pub edge: usize,
    /// Share of this zone's requests, by the plan in force.
    pub share: f64,
    /// Spare capacity for this zone, in concurrent transfers.
    pub spare_capacity: f64,
    pub bad: bool,
    pub path: Option<Estimate>,
    pub client_path: Option<Estimate>,
}

/// The failover decisions of one router.
pub struct FailoverPlanner {
    config: FailoverConfig,
    gossip: Gossip,
    model: Model,
    outcomes: DecayingCounts,
    health: Health,
    /// Demand of this zone's clients at this router, and when it was updated.
    demand: (f64, Duration),
    /// Answers in time and late ones.
    timeliness: DecayingCounts,
    capacities: Vec<ZoneCapacity>,
    drained: Vec<bool>,
    /// Spare capacity by zone at the last computation.
    spare_capacities: Vec<f64>,
    /// When it was computed.
    spare_computed_at: Option<Duration>,
    table: ShareTable,
    plan_number: u32,
    /// The plan in force and its publisher.
    plan: Option<(Plan, u16)>,
    trial_share: f64,
    /// Whether the zone was bad and whether it was drained, as last published.
    published_state: (bool, bool),
    started_at: Duration,
    published_at: Duration,
    planned_at: Duration,
    evaluated_at: Duration,
    urgent: bool,
    values: RecentQuantiles,
    rng: fastrand::Rng,
}

impl FailoverPlanner {
    /// Returns `None` if there are no other routers, or a number is out of range.
    pub fn start(now: Duration, config: FailoverConfig) -> Option<FailoverPlanner> {
        let FailoverConfig {
            number,
            routers,
            zone,
            zones,
            incarnation,
            seed,
            ..
        } = config;
        let identity = RouterIdentity {
            number,
            routers,
            zone,
            incarnation,
            seed,
        };
        let is_valid = zones <= usize::from(u8::MAX) && usize::from(zone) < zones;
        let gossip = Gossip::start(now, identity, &KIND_POLICIES).filter(|_| is_valid)?;
        let mut rng = fastrand::Rng::with_seed(seed ^ 0x2e91);
        // Routers that start together do not all send at the same instant.
        let phase = EVALUATION_INTERVAL.mul_f64(rng.f64());
        Some(FailoverPlanner {
            config,
            gossip,
            model: Model::new(number, zone, zones),
            outcomes: DecayingCounts::default(),
            health: Health::default(),
            demand: (0.0, now),
            timeliness: DecayingCounts::default(),
            capacities: vec![ZoneCapacity::default(); zones],
            drained: vec![false; zones],
            spare_capacities: vec![0.0; zones],
            spare_computed_at: None,
            table: ShareTable::default(),
            plan_number: 0,
            plan: None,
            trial_share: BLIND_TRIAL_SHARE,
            published_state: (false, false),
            started_at: now,
            published_at: now,
            planned_at: now,
            evaluated_at: now.saturating_sub(phase),
            urgent: false,
            values: RecentQuantiles::new(VALUE_SAMPLES),
            rng,
        })
    }

    /// The latency model.
    pub fn model(&mut self) -> &mut Model {
        &mut self.model
    }

    /// The gossip with all routers.
    pub fn gossip(&self) -> &Gossip {
        &self.gossip
    }

    /// Replaces the capacities by zone. Those beyond the configured zones are ignored.
    pub fn set_capacities(&mut self, capacities: &[ZoneCapacity]) {
        self.capacities
            .iter_mut()
            .zip(capacities)
            .for_each(|(known, reported)| *known = *reported);
    }

    /// Sets the zones that are drained by the operator; all others are in use.
    pub fn set_drained_zones(&mut self, zones: &[usize]) {
        self.drained
            .iter_mut()
            .enumerate()
            .for_each(|(zone, drained)| *drained = zones.contains(&zone));
        self.urgent = true;
    }

    /// Records an attempt at caches of this zone that shows whether they are available.
    pub fn record_attempt(&mut self, now: Duration, good: bool) {
        let was_suspect = self.outcomes.suggests_bad(now);
        self.outcomes.record(now, good, 1.0);
        // A suspected failure is published urgently: each peer has as few outcomes as this router.
        self.urgent |= !self.health.is_bad() && !was_suspect && self.outcomes.suggests_bad(now);
    }

    /// Records a request: its work, in seconds at a client's rate.
    pub fn record_request(&mut self, now: Duration, work: f64) {
        let demand = self.demand_at(now);
        self.demand = (demand + work / DEMAND_WINDOW.as_secs_f64(), now);
    }

    fn demand_at(&self, now: Duration) -> f64 {
        self.demand.0
            * (-now
                .saturating_sub(self.demand.1)
                .div_duration_f64(DEMAND_WINDOW))
            .exp()
    }

    /// Records the final answer of a request of this zone's clients, in time or late.
    pub fn record_answer(&mut self, now: Duration, in_time: bool) {
        self.timeliness.record(now, in_time, 1.0);
    }

    /// The edges whose paths are to be probed now.
    pub fn paths_to_probe(&mut self, now: Duration) -> Vec<usize> {
        // A router that knows no peers probes all paths: directly after a start all routers would.
        if now < self.started_at + STARTUP_GRACE {
            return Vec::new();
        }
        self.model.paths_to_probe(now, &self.gossip)
    }

    /// When [`FailoverPlanner::tick`] is due.
    pub fn next_tick(&self) -> Duration {
        let next_evaluation = self.evaluated_at + EVALUATION_INTERVAL;
        if self.urgent {
            Duration::ZERO
        } else {
            next_evaluation.min(self.gossip.next_tick())
        }
    }

    /// Receives a datagram from the router with this number. Returns false if it contains no
    /// messages.
    pub fn receive(&mut self, now: Duration, from: u64, bytes: &[u8]) -> bool {
        let is_gossip = self.gossip.receive(now, from, bytes);
        for topic in self.gossip.take_updated_topics() {
            // Loads and plans of peers may change decisions, so they are evaluated at once.
            if topic.kind == ROUTER_LOAD || topic.kind == PLAN {
                self.update_health(now);
                self.adopt_plan(now);
                break;
            }
        }
        is_gossip
    }

    /// The known loads of the zone's routers, including this one's.
    fn loads(&self, now: Duration) -> impl Iterator<Item = (u16, RouterLoad)> {
        let (good, bad) = self.outcomes.counts_at(now);
        let own_load = (
            self.config.number,
            RouterLoad {
                demand: self.demand_at(now),
                good,
                bad,
            },
        );
        let number = self.config.number;
        let peers = self
            .gossip
            .messages(now, ROUTER_LOAD)
            .filter(move |(topic, _)| topic.publisher != number);
        let peers = peers.filter_map(move |(topic, message)| {
            let age = now.saturating_sub(message.published_at);
            let decay = (-age.div_duration_f64(crate::evidence::HALF_LIFE)).exp2();
            let load = RouterLoad::decode(&message.payload)?;
            Some((
                topic.publisher,
                RouterLoad {
                    good: load.good * decay,
                    bad: load.bad * decay,
                    ..load
                },
            ))
        });
        peers.chain([own_load])
    }

    fn update_health(&mut self, now: Duration) {
        // No router counts for more than four requests, so that one that is faulty itself is
        // outvoted.
        let (good, bad, peers) =
            self.loads(now)
                .fold((0.0, 0.0, 0), |(good, bad, peers), (_, load)| {
                    let scale = (4.0 / (load.good + load.bad).max(4.0)).min(1.0);
                    (good + load.good * scale, bad + load.bad * scale, peers + 1)
                });
        // Without known peers this router decides nothing about its zone.
        if peers > 1 {
            self.urgent |= self.health.update(now, good, bad);
        }
    }

    /// The state of a zone: by the majority of its publishers, and by the median of their values.
    pub fn zone_state(&self, now: Duration, zone: usize) -> Option<ZoneState> {
        if zone == usize::from(self.config.zone) {
            return Some(self.own_zone_state(now));
        }
        let messages = self
            .gossip
            .messages(now, ZONE_STATE)
            .filter(|(_, message)| usize::from(message.zone) == zone);
        let reports: Vec<ZoneState> = messages
            .filter_map(|(_, message)| ZoneState::decode(&message.payload))
            .collect();
        let majority = |of: fn(&ZoneState) -> bool| {
            reports.iter().filter(|state| of(state)).count() * 2 > reports.len()
        };
        let median = |of: fn(&ZoneState) -> f64| {
            let mut all: Vec<f64> = reports.iter().map(of).collect();
            all.sort_by(f64::total_cmp);
            all.get(all.len() / 2).copied()
        };
        let (bad, drained) = (majority(|state| state.bad), majority(|state| state.drained));
        Some(ZoneState {
            bad,
            drained,
            demand: median(|state| state.demand)?,
            late_share: median(|state| state.late_share)?,
        })
    }

    /// The demand of the zone: the known loads, with the average of those for each live peer whose
    /// load is currently unknown. Reporting too little would let other zones overload this one.
    fn zone_demand(&self, now: Duration) -> f64 {
        let (sum, known) = self.loads(now).fold((0.0, 0.0), |(sum, known), (_, load)| {
            (sum + load.demand, known + 1.0)
        });
        let live = self.gossip.live_peers(now, PEER_TIMEOUT).count() as f64 + 1.0;
        sum * (live / known).max(1.0)
    }

    fn own_zone_state(&self, now: Duration) -> ZoneState {
        let (good, bad) = self.timeliness.counts_at(now);
        ZoneState {
            bad: self.health.is_bad(),
            drained: self.drained[usize::from(self.config.zone)],
            demand: self.zone_demand(now),
            late_share: if good + bad > 1.0 {
                bad / (good + bad)
            } else {
                0.0
            },
        }
    }

    /// The coordinator of the zone, as far as known to this router.
    pub fn coordinator(&self, now: Duration) -> u16 {
        self.loads(now)
            .map(|(number, _)| number)
            .min()
            .unwrap_or(self.config.number)
    }

    /// Whether more than half of the zones with a known state are bad.
    fn most_zones_bad(&self, zone_states: &[Option<ZoneState>]) -> bool {
        let known = zone_states.iter().flatten().count();
        let bad = zone_states
            .iter()
            .flatten()
            .filter(|state| state.bad)
            .count();
        bad * 2 > known
    }

    /// What this zone may send to each zone, including itself; and the spare capacity by zone.
    fn offers(&self, now: Duration, zone_states: &[Option<ZoneState>]) -> (Vec<Offer>, Vec<f64>) {
        let elapsed = self
            .spare_computed_at
            .map_or(0.0, |at| now.saturating_sub(at).as_secs_f64());
        let mut spare_capacities = vec![0.0; self.capacities.len()];
        let own_zone = usize::from(self.config.zone);
        let bad_zones = zone_states
            .iter()
            .flatten()
            .filter(|state| state.bad)
            .count()
            .max(1) as f64;
        let mut offers = Vec::new();
        for (edge, (zone, state)) in self.capacities.iter().zip(zone_states).enumerate() {
            if edge == own_zone {
                // The own zone comes first, with its present capacity. If it is drained it comes
                // last, and keeps what no other zone has taken yet: no requests fail there.
                let last = if self.drained[own_zone] {
                    Duration::from_secs(3600)
                } else {
                    Duration::ZERO
                };
                let path = Some(Estimate {
                    p50: Some(last),
                    p90: Some(last),
                    lost: 0.0,
                    uncertainty: 0.0,
                    reporters: 1,
                });
                offers.push(Offer {
                    edge,
                    path,
                    capacity: if self.health.is_bad() {
                        0.0
                    } else {
                        zone.available
                    },
                });
                continue;
            }
            // A zone without a known state may be down with all of its routers.
            let Some(state) = state else { continue };
            let path = self.model.path(now, &self.gossip, edge);
            let is_unreachable = path.is_some_and(|path| path.p50.is_none());
            let is_usable = self.config.may_leave_zone
                && !state.bad
                && !state.drained
                && !self.drained[edge]
                && !is_unreachable;
            let timely_factor = 1.0 - (state.late_share / MAX_LATE_SHARE).min(1.0);
            let spare = (zone.warm * MAX_UTILIZATION - state.demand).max(0.0) * timely_factor;
            let growth_limit =
                self.spare_capacities[edge] + MAX_CAPACITY_GROWTH * zone.capacity * elapsed;
            let spare = spare.min(if self.spare_computed_at.is_some() {
                growth_limit
            } else {
                spare
            });
            spare_capacities[edge] = spare;
            let spare = spare / bad_zones;
            offers.push(Offer {
                edge,
                path,
                capacity: if is_usable { spare } else { 0.0 },
            });
        }
        (offers, spare_capacities)
    }

    fn zone_states(&self, now: Duration) -> Vec<Option<ZoneState>> {
        (0..self.config.zones)
            .map(|zone| self.zone_state(now, zone))
            .collect()
    }

    /// Adopts the valid plan with the highest number, or none if there is none.
    fn adopt_plan(&mut self, now: Duration) {
        let messages = self
            .gossip
            .messages(now, PLAN)
            .filter_map(|(topic, message)| {
                Some((Plan::decode(&message.payload)?, topic.publisher))
            });
        // Of two plans with the same number every router adopts that of the lower publisher.
        let best =
            messages.max_by_key(|(plan, publisher)| (plan.number, std::cmp::Reverse(*publisher)));
        if let Some((plan, publisher)) = &best
            && *publisher != self.config.number
        {
            self.plan_number = self.plan_number.max(plan.number);
            self.table.adopt(now, &plan.shares);
        }
        self.plan = best;
    }

    /// Evaluates the state of the zone, publishes it, plans as the coordinator, and gossips.
    pub fn tick(&mut self, now: Duration, sender: &mut dyn DatagramSender) {
        if self.urgent || now >= self.evaluated_at + EVALUATION_INTERVAL {
            self.evaluated_at = now;
            self.update_health(now);
            let own_zone = usize::from(self.config.zone);
            self.trial_share = match self
                .model
                .path(now, &self.gossip, own_zone)
                .filter(|_| self.health.is_bad())
            {
                None => BLIND_TRIAL_SHARE,
                Some(path) if path.p50.is_some() => TRIAL_SHARE,
                Some(_) => 0.0,
            };
            let urgent = std::mem::take(&mut self.urgent);
            if urgent || now >= self.published_at + PUBLISH_INTERVAL {
                self.published_at = now;
                let (good, bad) = self.outcomes.counts_at(now);
                let load = RouterLoad {
                    demand: self.demand_at(now),
                    good,
                    bad,
                };
                self.gossip
                    .publish(now, ROUTER_LOAD, 0, load.encode(), urgent);
                let own_state = self.own_zone_state(now);
                // A state is urgent for all zones only if it has changed, and only from as many
                // publishers as are kept: each urgent message costs the fleet several datagrams.
                let state = (own_state.bad, own_state.drained);
                let has_changed = std::mem::replace(&mut self.published_state, state) != state;
                let lower_numbers = self
                    .loads(now)
                    .filter(|(number, _)| *number < self.config.number)
                    .count();
                self.gossip.publish(
                    now,
                    ZONE_STATE,
                    0,
                    own_state.encode(),
                    has_changed && lower_numbers < ZONE_STATE_PUBLISHERS,
                );
                for (kind, key, payload) in self.model.messages_to_publish(now, &self.gossip) {
                    self.gossip.publish(now, kind, key, payload, false);
                }
            }
            // A plan has to spread before it is replaced.
            let is_due = urgent || now >= self.planned_at + PUBLISH_INTERVAL;
            if is_due && self.coordinator(now) == self.config.number {
                self.planned_at = now;
                self.update_plan(now, urgent);
            }
            self.adopt_plan(now);
        }
        self.gossip.tick(now, sender);
    }

    fn update_plan(&mut self, now: Duration, urgent: bool) {
        let (zone_states, own_zone) = (self.zone_states(now), usize::from(self.config.zone));
        let demand = zone_states[own_zone].map_or(0.0, |state| state.demand);
        let (offers, spare_capacities) = self.offers(now, &zone_states);
        (self.spare_capacities, self.spare_computed_at) = (spare_capacities, Some(now));
        let stays_home = self.most_zones_bad(&zone_states) && !self.drained[own_zone];
        let previous: Vec<(usize, f64)> = self.table.shares().to_vec();
        if stays_home {
            self.table.adopt(now, &[(own_zone, 1.0)]);
        } else if previous.is_empty()
            && !self.drained[own_zone]
            && offers
                .iter()
                .any(|o| o.edge == own_zone && o.capacity >= demand)
        {
            return; // Nothing has left the zone yet, and nothing has to.
        } else {
            if previous.is_empty() {
                self.table.adopt(now, &[(own_zone, 1.0)]);
            }
            self.table.update(now, demand, &offers);
        }
        let shares: Vec<(usize, f64)> = self
            .table
            .shares()
            .iter()
            .copied()
            .filter(|(_, share)| *share > 0.0)
            .take(MAX_PLAN_ZONES)
            .collect();
        let has_moved = |(edge, share): &(usize, f64)| {
            previous
                .iter()
                .find(|(e, _)| e == edge)
                .is_none_or(|(_, previous)| (previous - share).abs() > MIN_SHARE_CHANGE)
        };
        let changed = shares.iter().any(has_moved)
            || previous.iter().filter(|(_, s)| *s > 0.0).count() != shares.len();
        let is_large_change = shares.iter().any(|(edge, share)| {
            let known = previous
                .iter()
                .find(|(e, _)| e == edge)
                .map_or(0.0, |(_, share)| *share);
            (known - share).abs() > URGENT_SHARE_CHANGE
        });
        let is_back_home = shares == [(own_zone, 1.0)];
        if is_back_home && !changed {
            // All requests are back in their zone: once peers know this plan, none is needed.
            self.table = ShareTable::default();
            return;
        }
        self.plan_number += u32::from(changed);
        let plan = Plan {
            number: self.plan_number,
            shares,
        };
        self.gossip.publish(
            now,
            PLAN,
            self.config.zone,
            plan.encode(),
            urgent || is_large_change,
        );
    }

    /// Selects the zone of a request. `point`: from 0 to 1, equal for the same part, so that few
    /// requests move as shares change. `may_leave`: the request may be repeated anywhere and has no
    /// side effect. `value`: what it is worth relative to its work; if not all requests can be
    /// served, those with the lowest value are rejected.
    pub fn select_zone(&mut self, point: f64, may_leave: bool, value: f64) -> TargetZone {
        self.values.record(value);
        let own_zone = usize::from(self.config.zone);
        let Some((plan, _)) = self
            .plan
            .as_ref()
            .filter(|_| may_leave && self.config.may_leave_zone)
        else {
            return TargetZone::Home;
        };
        let sum: f64 = plan.shares.iter().map(|(_, share)| share).sum();
        // Encoded shares are rounded down.
        let unplanned = 1.0 - sum - MAX_PLAN_ZONES as f64 / 255.0;
        if unplanned > 0.0
            && self.health.is_bad()
            && self.values.len() > VALUE_SAMPLES / 4
            && value < self.values.quantile(unplanned.min(0.999))
        {
            return TargetZone::Unavailable;
        }
        if self.health.is_bad() && self.rng.f64() < self.trial_share {
            return TargetZone::Home;
        }
        let mut cumulative = 0.0;
        let found = plan.shares.iter().find(|(_, share)| {
            cumulative += share;
            point * sum < cumulative
        });
        match found {
            Some((edge, _)) if *edge != own_zone => TargetZone::Remote(*edge),
            _ => TargetZone::Home,
        }
    }

    /// The number of the plan in force; 0 without one.
    pub fn plan_number(&self) -> u32 {
        self.plan.as_ref().map_or(0, |(plan, _)| plan.number)
    }

    /// The shares of the plan in force; empty without one.
    pub fn plan_shares(&self) -> &[(usize, f64)] {
        self.plan.as_ref().map_or(&[], |(plan, _)| &plan.shares)
    }

    /// Whether the zone counts as bad.
    pub fn is_bad(&self) -> bool {
        self.health.is_bad()
    }

    /// Edges for a front: where this region's clients are best served, the best first. By the
    /// latency of clients' paths if fronts have reported them, otherwise by that of paths from
    /// here. Edges without capacity come last.
    pub fn rank_edges(&self, now: Duration) -> Vec<Edge> {
        let (zone_states, own_zone) = (self.zone_states(now), usize::from(self.config.zone));
        let (offers, _) = self.offers(now, &zone_states);
        let edge = |edge: usize| {
            let spare_capacity = offers
                .iter()
                .find(|o| o.edge == edge)
                .map_or(0.0, |o| o.capacity);
            let is_unplanned_home =
                self.plan.is_none() && edge == own_zone && !self.health.is_bad();
            let planned_share = self
                .plan_shares()
                .iter()
                .find(|(e, _)| *e == edge)
                .map(|(_, share)| *share);
            Edge {
                edge,
                share: planned_share.unwrap_or(f64::from(u8::from(is_unplanned_home))),
                spare_capacity,
                bad: zone_states[edge].is_some_and(|state| state.bad),
                path: self.model.path(now, &self.gossip, edge),
                client_path: self.model.client_path(now, &self.gossip, edge),
            }
        };
        let mut edges: Vec<Edge> = (0..self.config.zones).map(edge).collect();
        let cost = |edge: &Edge| {
            let client_latency = edge
                .client_path
                .and_then(|path| path.p50)
                .unwrap_or(Duration::ZERO);
            let path_latency =
                edge.path
                    .and_then(|path| path.p50)
                    .unwrap_or(if edge.edge == own_zone {
                        Duration::ZERO
                    } else {
                        Duration::MAX
                    });
            if edge.client_path.is_some() {
                client_latency
            } else {
                path_latency
            }
        };
        edges.sort_by_key(|edge| (edge.spare_capacity <= 0.0, cost(edge), edge.edge));
        edges
    }

    /// The state for operators and fronts.
    pub fn report(&self, now: Duration) -> Report {
        let zone_states = self.zone_states(now);
        let (offers, _) = self.offers(now, &zone_states);
        let own_zone = usize::from(self.config.zone);
        let spare_capacity = |edge: usize| {
            offers
                .iter()
                .find(|o| o.edge == edge)
                .map_or(0.0, |o| o.capacity)
        };
        let summary = |(zone, state): (usize, &Option<ZoneState>)| {
            let state = state.unwrap_or_default();
            (state.bad, state.drained, state.demand, spare_capacity(zone))
        };
        Report {
            bad: self.health.is_bad(),
            drained: self.drained[own_zone],
            flaps: self.health.flaps(),
            is_coordinator: self.coordinator(now) == self.config.number,
            plan: self.plan.clone(),
            demand: zone_states[own_zone].map_or(0.0, |state| state.demand),
            peers: self.loads(now).count() - 1,
            zones: zone_states.iter().enumerate().map(summary).collect(),
        }
    }
}

#[cfg(test)]
mod tests;
