//! Failover between zones, decided together with the routers of all zones, as the decider uses it:
//! the capacity of each zone by the list, a request's zone, the health of the local caches, gossip
//! and latency probes. Nothing is decided here.

use crate::clock::Clock;
use crate::gossip_socket::GossipSender;
use crate::latency_probes::Probe;
use chalkhall::control::Router;
use chalkhall::interface::{
    Arrival, Class, ColdStart, Deployment, Effect, Id, Member, Outcome, Remark, Standing, Tier,
};
use chalkhall_config::Regions as Settings;
use chalkhall_failover::{About, Place, Regions, Where};
use serde_json::{Value, json};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::sync::mpsc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The most samples that one observation of an operator may stand for.
const MAX_OBSERVED_SAMPLES: u32 = 1_000_000;

/// The longest latency that an operator may report, in milliseconds.
const MAX_OBSERVED_MS: u32 = 60_000;

/// What a class of requests has to do with other zones.
#[derive(Clone, Copy, Default)]
struct ClassPolicy {
    /// Its requests may be served by another zone: a cache answers them, and they may run again.
    may_leave_zone: bool,
    latency_objective: Duration,
    /// What it is worth to serve one of its requests.
    value: f64,
}

/// What was logged last: again only when it changes.
#[derive(Clone, Copy, Default, PartialEq)]
struct LoggedState {
    plan_number: u32,
    is_zone_bad: bool,
}

/// Failover between zones.
pub struct ZoneFailover {
    regions: Regions,
    sender: GossipSender,
    /// Latency probes to other zones, where they are turned on.
    probes: Option<mpsc::Sender<Probe>>,
    /// The names of the zones, by index.
    names: Vec<String>,
    /// By zone: the name of its region.
    region_of: Vec<Option<String>>,
    /// The index of this router's zone.
    zone: usize,
    number: u64,
    slow_start: ColdStart,
    pass_through: bool,
    client_kb_per_s: f64,
    classes: Vec<ClassPolicy>,
    logged: LoggedState,
}

/// The operator's file names a zone that the settings do not have.
#[derive(Debug, Error)]
#[error("regions: {0} is not a zone")]
pub struct UnknownZone(pub String);

/// No zone has capacity for a request.
#[derive(Debug)]
pub struct NoCapacity;

/// The least rate of a client, which is divided by.
const MIN_CLIENT_KB_PER_S: f64 = 1e-9;

/// The indices of the named zones.
///
/// # Errors
/// Names one that there is not.
pub fn zone_indices(names: &[String], wanted: &[String]) -> Result<Vec<usize>, UnknownZone> {
    let place = |name: &String| {
        names
            .iter()
            .position(|known| known == name)
            .ok_or_else(|| UnknownZone(name.clone()))
    };
    wanted.iter().map(place).collect()
}

/// The region of each zone, where the operator's file names one.
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

/// Starts the decisions. None: this router has to decide alone.
fn start_regions(
    clock: Clock,
    settings: &Settings,
    deployment: &Deployment,
    zone_count: usize,
) -> Option<Regions> {
    let number = u16::try_from(deployment.number);
    let zone = u8::try_from(deployment.zone);
    let (Ok(number), Ok(zone)) = (number, zone) else {
        log::warn!("regions: this router's number or zone does not fit; it decides alone");
        return None;
    };
    let now = clock.now();
    let about = About {
        number,
        routers: deployment.routers,
        place: zone,
        places: zone_count,
        // Tenths of a second, of which 32 bits overflow after thirteen years.
        incarnation: (clock.unix_ms(now) / 100) as u32,
        seed: deployment.seed,
        abroad: settings.abroad,
    };
    let regions = Regions::start(now, about);
    if regions.is_none() {
        log::warn!("regions: there is nobody to talk to; this router decides alone");
    }
    regions
}

/// A latency in milliseconds, as an operator writes it.
fn parse_latency(ms: &str) -> Option<Duration> {
    let ms = ms.parse::<f64>().ok()?;
    let is_possible = (0.0..=f64::from(MAX_OBSERVED_MS)).contains(&ms);
    is_possible.then(|| Duration::from_secs_f64(ms / 1e3))
}

/// A number of samples, as an operator writes it.
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
    /// Failover as the operator's file has it. None: it is off, or there are no other routers.
    ///
    /// # Errors
    /// The operator's file names a zone that is none.
    pub fn new(
        clock: Clock,
        settings: &Settings,
        deployment: &Deployment,
        names: &[String],
        sender: GossipSender,
        probes: mpsc::Sender<Probe>,
    ) -> Result<Option<ZoneFailover>, UnknownZone> {
        if !settings.in_common {
            return Ok(None);
        }
        let drained = zone_indices(names, &settings.drained)?;
        let region_of = regions_of_zones(settings, names)?;
        let Some(mut regions) = start_regions(clock, settings, deployment, names.len()) else {
            return Ok(None);
        };
        regions.drain(&drained);
        let (abroad, measure) = (settings.abroad, settings.measure);
        log::info!(abroad = abroad, measure = measure, places = names.len(); "regions: in common");
        Ok(Some(ZoneFailover {
            regions,
            sender,
            probes: settings.measure.then_some(probes),
            names: names.to_vec(),
            region_of,
            zone: deployment.zone,
            number: deployment.number,
            slow_start: deployment.cold_cache,
            pass_through: deployment.pass_through,
            client_kb_per_s: deployment.client_kb_per_s.max(MIN_CLIENT_KB_PER_S),
            classes: deployment.classes.iter().map(class_policy).collect(),
            logged: LoggedState::default(),
        }))
    }

    /// When there is work to do next.
    pub fn next_wakeup(&self) -> Duration {
        self.regions.next()
    }

    /// The operator's file drains these zones, and no others.
    pub fn drain_zones(&mut self, zones: &[usize]) {
        self.regions.drain(zones);
    }

    /// Takes in a datagram of another router. False: it is not about failover.
    pub fn receive(&mut self, now: Duration, from: u64, bytes: &[u8]) -> bool {
        self.regions.heard(now, from, bytes)
    }

    /// A latency probe to a zone has come back after so long; none: it has not.
    pub fn record_latency(&mut self, now: Duration, edge: usize, round_trip: Option<Duration>) {
        self.regions.model().saw(now, edge, round_trip);
        // The local caches do not answer: silence shows by this, while requests only become late.
        if edge == self.zone && round_trip.is_none() {
            self.regions.saw(now, false);
        }
    }

    /// Does what is due: gossip, decisions, latency probes. `address`: where a server is reached.
    pub fn tick(
        &mut self,
        now: Duration,
        router: &Router,
        address: impl Fn(&Id) -> Option<SocketAddr>,
    ) {
        let mut capacities = vec![Place::default(); self.names.len()];
        let mut caches: HashMap<usize, Vec<&Member>> = HashMap::new();
        let is_active =
            |member: &&Member| member.tier == Tier::Cache && member.standing == Standing::Active;
        for member in router.members().filter(is_active) {
            let Some(capacity) = capacities.get_mut(member.zone) else {
                continue;
            };
            self.add_capacity(now, member, capacity);
            caches.entry(member.zone).or_default().push(member);
        }
        self.regions.list(&capacities);
        self.regions.tick(now, &mut self.sender);
        self.send_probes(now, &caches, address);
        self.log(now);
    }

    /// Counts a cache towards the capacity of its zone, less while it is in slow start.
    fn add_capacity(&self, now: Duration, member: &Member, zone: &mut Place) {
        let age = member
            .started
            .map(|at| now.saturating_sub(at).as_secs_f64());
        let warm_within = self.slow_start.warm_within.as_secs_f64().max(1e-9);
        let warmth = age.map_or(1.0, |age| (age / warm_within).min(1.0));
        let from = self.slow_start.from;
        zone.capacity += member.capacity;
        zone.present += member.capacity * (from + (1.0 - from) * warmth);
        zone.warm += if warmth >= 1.0 { member.capacity } else { 0.0 };
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
        for edge in self.regions.to_measure(now) {
            // Each router that measures a zone probes another of its caches.
            let of_zone = caches.get(&edge).filter(|of_zone| !of_zone.is_empty());
            let server = of_zone.map(|of_zone| of_zone[(self.number as usize) % of_zone.len()]);
            if let Some(address) = server.and_then(|server| address(&server.server)) {
                let _ = probes.try_send(Probe { edge, address });
            }
        }
    }

    fn log(&mut self, now: Duration) {
        let state = LoggedState {
            plan_number: self.regions.plan_number(),
            is_zone_bad: self.regions.is_bad(),
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
        let (plan, bad) = (state.plan_number, state.is_zone_bad);
        log::info!(
            plan = plan, bad = bad, at_ms = at_ms, shares = shares.as_str();
            "regions: new plan"
        );
    }

    fn shares(&self) -> Vec<(&str, f64)> {
        let name = |edge: usize| self.names.get(edge).map_or("", String::as_str);
        self.regions
            .plan_shares()
            .iter()
            .map(|(edge, share)| (name(*edge), *share))
            .collect()
    }

    /// Sets the zone of a new request.
    ///
    /// # Errors
    /// No zone has capacity for it.
    pub fn assign_zone(&mut self, now: Duration, arrival: &mut Arrival) -> Result<(), NoCapacity> {
        let work = arrival.kb / self.client_kb_per_s;
        self.regions.asked(now, work);
        let class = self.classes.get(arrival.class).copied().unwrap_or_default();
        // A cell consists of caches of this zone: a request that belongs to one stays here.
        let may_leave = class.may_leave_zone && arrival.cell.is_none();
        let at = xxh3_64_with_seed(arrival.object.as_bytes(), arrival.part) as f64 / 2f64.powi(64);
        match self
            .regions
            .request(at, may_leave, class.value / work.max(1e-6))
        {
            Where::Home => {}
            Where::Abroad(place) => arrival.at = Some(place),
            // Parents may still have it; where they take no attempts nobody has.
            Where::Nowhere if self.pass_through => {}
            Where::Nowhere => return Err(NoCapacity),
        }
        Ok(())
    }

    /// An attempt has ended at a server, which shows something about the caches of this zone.
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
        if member.standing != Standing::Active {
            return;
        }
        match outcome {
            Served | Missing | Full => self.regions.saw(now, true),
            Unreachable | Broken => self.regions.saw(now, false),
            Error if remark == Remark::None => self.regions.saw(now, false),
            // An attempt that is late or cancelled may be so because of its source.
            _ => {}
        }
    }

    /// A request of a client has its final answer.
    pub fn record_final_answer(
        &mut self,
        now: Duration,
        class: usize,
        received_at: Duration,
        was_served: bool,
    ) {
        let class = self.classes.get(class).copied().unwrap_or_default();
        let took = now.saturating_sub(received_at);
        self.regions
            .answered(now, was_served && took <= class.latency_objective);
    }

    /// `latency observe REGION EDGE MS [COUNT]`: the latency of clients to a zone's edge, as a
    /// front measured it.
    pub fn observe(&mut self, now: Duration, words: &[&str]) -> Value {
        let error = |text: String| json!({"error": text});
        let ([region, edge, ms] | [region, edge, ms, _]) = *words else {
            return error(
                "latency observe is written: latency observe REGION EDGE MS [COUNT]".into(),
            );
        };
        let is_local = self.names.get(self.zone).is_some_and(|name| name == region)
            || self.region_of.get(self.zone).and_then(Option::as_deref) == Some(region);
        if !is_local {
            return error(format!("{region} is not this router's region or zone"));
        }
        let Some(edge) = self.names.iter().position(|name| name == edge) else {
            return error(format!("{edge} is not a zone"));
        };
        let count = words.get(3).copied().unwrap_or("1");
        let (Some(latency), Some(count)) = (parse_latency(ms), parse_count(count)) else {
            return error(format!(
                "MS is from 0 to {MAX_OBSERVED_MS}, COUNT from 1 to {MAX_OBSERVED_SAMPLES}"
            ));
        };
        self.regions.model().observed(now, edge, latency, count);
        json!({"observed": count})
    }

    /// `steer show`: for a front, which edges are to take this region's clients, in order.
    pub fn steer(&self, now: Duration) -> Value {
        let ms = |latency: Option<Duration>| latency.map(|latency| latency.as_secs_f64() * 1e3);
        let edges = self.regions.steer(now).into_iter().map(|edge| {
            json!({
                "edge": self.names.get(edge.edge).map_or("", String::as_str),
                "share": edge.share,
                "room": edge.room,
                "bad": edge.bad,
                "way_ms": edge.way.and_then(|path| ms(path.p50)),
                "way_p90_ms": edge.way.and_then(|path| ms(path.p90)),
                "clients_ms": edge.leg.and_then(|path| ms(path.p50)),
                "doubt": edge.way.map(|path| path.doubt),
            })
        });
        json!({
            "location": self.names.get(self.zone),
            "region": self.region_of.get(self.zone),
            "edges": edges.collect::<Vec<Value>>(),
        })
    }

    /// `regions stat`.
    pub fn report(&self, now: Duration) -> Value {
        let report = self.regions.report(now);
        let zones = report.places.iter().zip(&self.names);
        let zones = zones.map(|((bad, drained, demand, room), name)| {
            json!({
                "location": name,
                "bad": bad,
                "drained": drained,
                "demand": demand,
                "room": room,
            })
        });
        let share = |(edge, share): &(usize, f64)| json!([self.names.get(*edge), share]);
        let plan = report.plan.map(|(plan, coordinator)| {
            json!({
                "number": plan.number,
                "teller": coordinator,
                "shares": plan.shares.iter().map(share).collect::<Vec<_>>(),
            })
        });
        let dropped = self.regions.gossip().dropped();
        json!({
            "location": self.names.get(self.zone),
            "bad": report.bad,
            "drained": report.drained,
            "flaps": report.flaps,
            "speaks": report.speaker,
            "mates": report.peers,
            "demand": report.demand,
            "plan": plan,
            "places": zones.collect::<Vec<Value>>(),
            "faulty": dropped.faulty,
            "strange": dropped.strange,
            "old": dropped.old,
        })
    }
}
