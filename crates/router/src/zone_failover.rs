//! Connects the decider with `chalkhall_failover`, by which the routers of all zones agree on the
//! failover between them: passes it the capacity of each zone, the health of this zone's caches,
//! datagrams and latency probes, and sets the zones of requests. No decisions are made here.

use crate::clock::Clock;
use crate::gossip_socket::GossipSender;
use crate::latency_probes::Probe;
use chalkhall::control::Router;
use chalkhall::interface::{
    Class, Deployment, Effect, Id, IncomingRequest, Member, Outcome, Remark, ServerState,
    SlowStartSettings, Tier,
};
use chalkhall_config::Regions as Settings;
use chalkhall_failover::{FailoverConfig, FailoverPlanner, TargetZone, ZoneCapacity};
use serde_json::{Value, json};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::mpsc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The maximum number of samples that one `latency observe` may represent.
const MAX_OBSERVED_SAMPLES: u32 = 1_000_000;

/// The maximum latency that an operator may report, in milliseconds.
const MAX_OBSERVED_MS: u32 = 60_000;

/// The failover policy of a class of requests.
#[derive(Clone, Copy, Default)]
struct ClassPolicy {
    /// Whether its requests may be served by another zone: they are cacheable and idempotent.
    may_leave_zone: bool,
    latency_objective: Duration,
    /// The value of serving one of its requests.
    value: f64,
}

/// The state that was logged last; it is logged only when it changes.
#[derive(Clone, Copy, Default, PartialEq)]
struct LoggedState {
    plan_number: u32,
    is_zone_unhealthy: bool,
}

/// The failover between zones.
pub struct ZoneFailover {
    planner: FailoverPlanner,
    sender: GossipSender,
    /// The queue of latency probes to other zones, if they are enabled.
    probes: Option<mpsc::Sender<Probe>>,
    /// The names of the zones, by index.
    zone_names: Vec<String>,
    /// The name of each zone's region, by zone index.
    region_of: Vec<Option<String>>,
    /// The index of this router's zone.
    zone: usize,
    router_number: u64,
    slow_start: SlowStartSettings,
    pass_through: bool,
    client_kb_per_s: f64,
    classes: Vec<ClassPolicy>,
    logged: LoggedState,
}

/// The operator's file refers to a zone that is not in the settings.
#[derive(Debug, Error)]
#[error("regions: {0} is not a zone")]
pub struct UnknownZone(pub String);

/// No zone has capacity for a request.
#[derive(Debug)]
pub struct NoCapacity;

/// Lower bound of the client rate, which is used as a divisor.
const MIN_CLIENT_KB_PER_S: f64 = 1e-9;

/// Looks up the indices of zones by name.
///
/// # Errors
/// One of the names is unknown.
pub fn zone_indices(names: &[String], wanted: &[String]) -> Result<Vec<usize>, UnknownZone> {
    let index_of = |name: &String| {
        names
            .iter()
            .position(|known| known == name)
            .ok_or_else(|| UnknownZone(name.clone()))
    };
    wanted.iter().map(index_of).collect()
}

/// The region of each zone; `None` if the operator's file assigns none to it.
fn regions_of_zones(
    settings: &Settings,
    names: &[String],
) -> Result<Vec<Option<String>>, UnknownZone> {
    let mut region_of = vec![None; names.len()];
    for (region, zones) in &settings.regions {
        for zone in zone_indices(names, zones)? {
            region_of[zone] = Some(region.clone());
        }
    }
    Ok(region_of)
}

/// Starts the failover logic. Returns `None` if failover cannot be coordinated with other routers.
fn start_planner(
    clock: Clock,
    settings: &Settings,
    deployment: &Deployment,
    zone_count: usize,
) -> Option<FailoverPlanner> {
    let number = u16::try_from(deployment.router_index);
    let zone = u8::try_from(deployment.zone);
    let (Ok(number), Ok(zone)) = (number, zone) else {
        log::warn!(
            "regions: failover is off: the number of this router or its zone is out of range"
        );
        return None;
    };
    let now = clock.now();
    let config = FailoverConfig {
        number,
        routers: deployment.routers,
        zone,
        zones: zone_count,
        // Unix time in tenths of a second; in 32 bits it wraps around after thirteen years.
        incarnation: (clock.unix_ms(now) / 100) as u32,
        seed: deployment.seed,
        may_leave_zone: settings.cross_zone,
    };
    let planner = FailoverPlanner::start(now, config);
    if planner.is_none() {
        log::warn!("regions: failover is off: there are no other routers");
    }
    planner
}

/// Parses a latency in milliseconds.
fn parse_latency(ms: &str) -> Option<Duration> {
    let ms = ms.parse::<f64>().ok()?;
    let is_in_range = (0.0..=f64::from(MAX_OBSERVED_MS)).contains(&ms);
    is_in_range.then(|| Duration::from_secs_f64(ms / 1e3))
}

/// Parses a number of samples.
fn parse_count(count: &str) -> Option<u32> {
    let count = count.parse().ok()?;
    (1..=MAX_OBSERVED_SAMPLES).contains(&count).then_some(count)
}

fn class_policy(class: &Class) -> ClassPolicy {
    ClassPolicy {
        may_leave_zone: class.effect == Effect::Idempotent && class.cacheable,
        latency_objective: class.soft_deadline,
        value: class.value,
    }
}

impl ZoneFailover {
    /// Starts failover as configured. Returns `None` if it is off or there are no other routers.
    ///
    /// # Errors
    /// The operator's file refers to an unknown zone.
    pub fn new(
        clock: Clock,
        settings: &Settings,
        deployment: &Deployment,
        names: &[String],
        sender: GossipSender,
        probes: mpsc::Sender<Probe>,
    ) -> Result<Option<ZoneFailover>, UnknownZone> {
        if !settings.failover {
            return Ok(None);
        }
        let drained = zone_indices(names, &settings.drained)?;
        let region_of = regions_of_zones(settings, names)?;
        let Some(mut planner) = start_planner(clock, settings, deployment, names.len()) else {
            return Ok(None);
        };
        planner.set_drained_zones(&drained);
        let (abroad, measure) = (settings.cross_zone, settings.measure);
        log::info!(
            abroad = abroad, measure = measure, places = names.len();
            "regions: failover enabled"
        );
        Ok(Some(ZoneFailover {
            planner,
            sender,
            probes: settings.measure.then_some(probes),
            zone_names: names.to_vec(),
            region_of,
            zone: deployment.zone,
            router_number: deployment.router_index,
            slow_start: deployment.cold_cache,
            pass_through: deployment.pass_through,
            client_kb_per_s: deployment.client_kb_per_s.max(MIN_CLIENT_KB_PER_S),
            classes: deployment.classes.iter().map(class_policy).collect(),
            logged: LoggedState::default(),
        }))
    }

    /// When [`ZoneFailover::tick`] is due next.
    pub fn next_wakeup(&self) -> Duration {
        self.planner.next_tick()
    }

    /// Drains these zones, and no others.
    pub fn drain_zones(&mut self, zones: &[usize]) {
        self.planner.set_drained_zones(zones);
    }

    /// Handles a datagram of another router. Returns false if it does not belong to failover.
    pub fn receive(&mut self, now: Duration, from: u64, bytes: &[u8]) -> bool {
        self.planner.receive(now, from, bytes)
    }

    /// Records the round trip of a latency probe to a zone; `None` if it was lost.
    pub fn record_latency(&mut self, now: Duration, edge: usize, round_trip: Option<Duration>) {
        self.planner.model().record_probe(now, edge, round_trip);
        // A lost probe shows that caches of this zone do not respond, which requests show only as
        // timeouts.
        if edge == self.zone && round_trip.is_none() {
            self.planner.record_attempt(now, false);
        }
    }

    /// Does the work that is due: gossip, decisions and latency probes. `address` looks up the
    /// address of a server.
    pub fn tick(
        &mut self,
        now: Duration,
        router: &Router,
        address: impl Fn(&Id) -> Option<SocketAddr>,
    ) {
        let mut capacities = vec![ZoneCapacity::default(); self.zone_names.len()];
        let mut caches: HashMap<usize, Vec<&Member>> = HashMap::new();
        let is_active =
            |member: &&Member| member.tier == Tier::Cache && member.state == ServerState::Active;
        for member in router.members().filter(is_active) {
            let Some(capacity) = capacities.get_mut(member.zone) else {
                continue;
            };
            self.add_capacity(now, member, capacity);
            caches.entry(member.zone).or_default().push(member);
        }
        self.planner.set_capacities(&capacities);
        self.planner.tick(now, &mut self.sender);
        self.send_probes(now, &caches, address);
        self.log(now);
    }

    /// Adds a cache to the capacity of its zone; in slow start it counts only in part.
    fn add_capacity(&self, now: Duration, member: &Member, zone: &mut ZoneCapacity) {
        let age = member
            .started
            .map(|at| now.saturating_sub(at).as_secs_f64());
        let warm_up_secs = self.slow_start.warm_up_time.as_secs_f64().max(1e-9);
        let warm_fraction = age.map_or(1.0, |age| (age / warm_up_secs).min(1.0));
        let initial_share = self.slow_start.initial_capacity;
        zone.capacity += member.capacity;
        zone.available += member.capacity * (initial_share + (1.0 - initial_share) * warm_fraction);
        zone.warm += if warm_fraction >= 1.0 {
            member.capacity
        } else {
            0.0
        };
    }

    fn send_probes(
        &mut self,
        now: Duration,
        caches: &HashMap<usize, Vec<&Member>>,
        address: impl Fn(&Id) -> Option<SocketAddr>,
    ) {
        let Some(probes) = &self.probes else {
            return;
        };
        for edge in self.planner.paths_to_probe(now) {
            // Routers that measure the same zone probe different caches of it.
            let candidates = caches
                .get(&edge)
                .filter(|candidates| !candidates.is_empty());
            let server = candidates
                .map(|candidates| candidates[(self.router_number as usize) % candidates.len()]);
            if let Some(address) = server.and_then(|server| address(&server.server)) {
                let _ = probes.try_send(Probe { edge, address });
            }
        }
    }

    fn log(&mut self, now: Duration) {
        let state = LoggedState {
            plan_number: self.planner.plan_number(),
            is_zone_unhealthy: self.planner.is_bad(),
        };
        if state == self.logged {
            return;
        }
        self.logged = state;
        let shares: Vec<String> = self
            .shares()
            .iter()
            .map(|(name, share)| format!("{name} {share:.2}"))
            .collect();
        let (shares, at_ms) = (shares.join(", "), now.as_millis() as u64);
        let (plan, bad) = (state.plan_number, state.is_zone_unhealthy);
        log::info!(
            plan = plan, bad = bad, at_ms = at_ms, shares = shares.as_str();
            "regions: new plan"
        );
    }

    fn shares(&self) -> Vec<(&str, f64)> {
        let name = |edge: usize| self.zone_names.get(edge).map_or("", String::as_str);
        self.planner
            .plan_shares()
            .iter()
            .map(|(edge, share)| (name(*edge), *share))
            .collect()
    }

    /// Assigns a zone to a new request.
    ///
    /// # Errors
    /// No zone has capacity for it.
    pub fn assign_zone(
        &mut self,
        now: Duration,
        arrival: &mut IncomingRequest,
    ) -> Result<(), NoCapacity> {
        let work = arrival.kb / self.client_kb_per_s;
        self.planner.record_request(now, work);
        let class = self.classes.get(arrival.class).copied().unwrap_or_default();
        // A cell consists of caches of this zone, so requests of a cell stay in it.
        let may_leave = class.may_leave_zone && arrival.cell.is_none();
        let hash_fraction =
            xxh3_64_with_seed(arrival.object.as_bytes(), arrival.part) as f64 / 2f64.powi(64);
        match self
            .planner
            .select_zone(hash_fraction, may_leave, class.value / work.max(1e-6))
        {
            TargetZone::Home => {}
            TargetZone::Remote(zone) => arrival.zone = Some(zone),
            // Parents may serve it, if they accept attempts.
            TargetZone::Unavailable if self.pass_through => {}
            TargetZone::Unavailable => return Err(NoCapacity),
        }
        Ok(())
    }

    /// Records the result of an attempt at a server as evidence on the health of this zone's
    /// caches.
    pub fn record_attempt(
        &mut self,
        now: Duration,
        server: Option<&Member>,
        outcome: Outcome,
        remark: Remark,
    ) {
        use Outcome::{Broken, Error, Full, Missing, Served, Unreachable};
        let Some(member) = server.filter(|m| m.tier == Tier::Cache && m.zone == self.zone) else {
            return;
        };
        if member.state != ServerState::Active {
            return;
        }
        match outcome {
            Served | Missing | Full => self.planner.record_attempt(now, true),
            Unreachable | Broken => self.planner.record_attempt(now, false),
            Error if remark == Remark::None => self.planner.record_attempt(now, false),
            // Timeouts and cancellations may be due to the source of a fill.
            _ => {}
        }
    }

    /// Records the final answer to a client's request.
    pub fn record_final_answer(
        &mut self,
        now: Duration,
        class: usize,
        received_at: Duration,
        was_served: bool,
    ) {
        let class = self.classes.get(class).copied().unwrap_or_default();
        let took = now.saturating_sub(received_at);
        self.planner
            .record_answer(now, was_served && took <= class.latency_objective);
    }

    /// Handles `latency observe REGION EDGE MS [COUNT]`: records the latency between clients and a
    /// zone's edge that a front measured.
    pub fn observe(&mut self, now: Duration, arguments: &[&str]) -> Value {
        let error = |text: String| json!({"error": text});
        let ([region, edge, ms] | [region, edge, ms, _]) = *arguments else {
            return error(
                "latency observe is written: latency observe REGION EDGE MS [COUNT]".into(),
            );
        };
        let is_local = self
            .zone_names
            .get(self.zone)
            .is_some_and(|name| name == region)
            || self.region_of.get(self.zone).and_then(Option::as_deref) == Some(region);
        if !is_local {
            return error(format!("{region} is not this router's region or zone"));
        }
        let Some(edge) = self.zone_names.iter().position(|name| name == edge) else {
            return error(format!("{edge} is not a zone"));
        };
        let count = arguments.get(3).copied().unwrap_or("1");
        let (Some(latency), Some(count)) = (parse_latency(ms), parse_count(count)) else {
            return error(format!(
                "MS is from 0 to {MAX_OBSERVED_MS}, COUNT from 1 to {MAX_OBSERVED_SAMPLES}"
            ));
        };
        self.planner
            .model()
            .record_client_samples(now, edge, latency, count);
        json!({"observed": count})
    }

    /// Handles `steer show`: the edges to which a front should send this region's clients, in order
    /// of preference.
    pub fn steer(&self, now: Duration) -> Value {
        let ms = |latency: Option<Duration>| latency.map(|latency| latency.as_secs_f64() * 1e3);
        let edges = self.planner.rank_edges(now).into_iter().map(|edge| {
            json!({
                "edge": self.zone_names.get(edge.edge).map_or("", String::as_str),
                "share": edge.share,
                "room": edge.spare_capacity,
                "bad": edge.bad,
                "way_ms": edge.path.and_then(|path| ms(path.p50)),
                "way_p90_ms": edge.path.and_then(|path| ms(path.p90)),
                "clients_ms": edge.client_path.and_then(|path| ms(path.p50)),
                "doubt": edge.path.map(|path| path.uncertainty),
            })
        });
        json!({
            "location": self.zone_names.get(self.zone),
            "region": self.region_of.get(self.zone),
            "edges": edges.collect::<Vec<Value>>(),
        })
    }

    /// Handles `regions stat`.
    pub fn report(&self, now: Duration) -> Value {
        let report = self.planner.report(now);
        let zones = report.zones.iter().zip(&self.zone_names);
        let zones = zones.map(|((bad, drained, demand, room), name)| {
            json!({
                "location": name,
                "bad": bad,
                "drained": drained,
                "demand": demand,
                "room": room,
            })
        });
        let share = |(edge, share): &(usize, f64)| json!([self.zone_names.get(*edge), share]);
        let plan = report.plan.map(|(plan, coordinator)| {
            json!({
                "number": plan.number,
                "teller": coordinator,
                "shares": plan.shares.iter().map(share).collect::<Vec<_>>(),
            })
        });
        let dropped = self.planner.gossip().dropped();
        json!({
            "location": self.zone_names.get(self.zone),
            "bad": report.bad,
            "drained": report.drained,
            "flaps": report.flaps,
            "speaks": report.is_coordinator,
            "mates": report.peers,
            "demand": report.demand,
            "plan": plan,
            "places": zones.collect::<Vec<Value>>(),
            "faulty": dropped.malformed,
            "strange": dropped.unknown,
            "old": dropped.stale,
        })
    }
}
