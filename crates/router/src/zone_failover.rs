//! What is decided in common with the routers of all zones, as the decider uses it: the list as places,
//! a request's zone, what outcomes say of the own caches, words and probes. Nothing is decided here.

use crate::clock::Clock;
use crate::gossip_socket::GossipSender;
use crate::latency_probes::Probe;
use chalkhall::control::Router;
use chalkhall::interface::{
    Arrival, ColdStart, Deployment, Effect, Id, Member, Outcome, Remark, Standing, Tier,
};
use chalkhall_config::Regions as Wishes;
use chalkhall_failover::{About, Place, Regions, Where};
use serde_json::{Value, json};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Most samples that one observation may stand for.
const OBSERVED_MOST: u32 = 1_000_000;

pub struct ZoneFailover {
    regions: Regions,
    saying: GossipSender,
    probes: Option<mpsc::Sender<Probe>>,
    names: Vec<String>,
    /// By zone: the name of its region.
    region_of: Vec<Option<String>>,
    zone: usize,
    number: u64,
    cold: ColdStart,
    pass_through: bool,
    pace: f64,
    /// By class: it may go elsewhere, its soft deadline, what it is worth.
    classes: Vec<(bool, Duration, f64)>,
    /// The plan's number that was logged last, and whether home was bad.
    logged: (u32, bool),
}

/// Which of the named zones there are.
///
/// # Errors
/// Names one that there is not.
pub fn places(names: &[String], wished: &[String]) -> Result<Vec<usize>, String> {
    let place = |name: &String| {
        names
            .iter()
            .position(|known| known == name)
            .ok_or_else(|| format!("regions: {name} is not a zone"))
    };
    wished.iter().map(place).collect()
}

impl ZoneFailover {
    /// None: it is off, or there is nobody to talk to.
    ///
    /// # Errors
    /// What is told makes no sense here.
    pub fn new(
        clock: Clock,
        wishes: &Wishes,
        deployment: &Deployment,
        names: &[String],
        saying: GossipSender,
        probes: mpsc::Sender<Probe>,
    ) -> Result<Option<ZoneFailover>, String> {
        if !wishes.in_common {
            return Ok(None);
        }
        let drained = places(names, &wishes.drained)?;
        let mut region_of = vec![None; names.len()];
        for (region, zones) in &wishes.regions {
            for place in places(names, zones)? {
                region_of[place] = Some(region.clone());
            }
        }
        let (Ok(number), Ok(place)) = (
            u16::try_from(deployment.number),
            u8::try_from(deployment.zone),
        ) else {
            log::warn!("regions: this router's number or zone does not fit; it decides alone");
            return Ok(None);
        };
        let now = clock.now();
        let about = About {
            number,
            routers: deployment.routers,
            place,
            places: names.len(),
            // Tenths of a second, of which 32 bits go round in thirteen years.
            incarnation: (clock.unix_ms(now) / 100) as u32,
            seed: deployment.seed,
            abroad: wishes.abroad,
        };
        let Some(mut regions) = Regions::start(now, about) else {
            log::warn!("regions: there is nobody to talk to; this router decides alone");
            return Ok(None);
        };
        regions.drain(&drained);
        // What may run again, and what a cache answers.
        let may = |c: &chalkhall::interface::Class| c.effect == Effect::Idempotent && c.cacheable;
        let classes = deployment
            .classes
            .iter()
            .map(|c| (may(c), c.soft_deadline, c.value))
            .collect();
        let (abroad, measure) = (wishes.abroad, wishes.measure);
        log::info!(abroad = abroad, measure = measure, places = names.len(); "regions: in common");
        Ok(Some(ZoneFailover {
            regions,
            saying,
            probes: wishes.measure.then_some(probes),
            names: names.to_vec(),
            region_of,
            zone: deployment.zone,
            number: deployment.number,
            cold: deployment.cold_cache,
            pass_through: deployment.pass_through,
            pace: deployment.client_kb_per_s.max(1e-9),
            classes,
            logged: (0, false),
        }))
    }

    pub fn next_wakeup(&self) -> Duration {
        self.regions.next()
    }

    pub fn drain_zones(&mut self, places: &[usize]) {
        self.regions.drain(places);
    }

    pub fn receive(&mut self, now: Duration, from: u64, bytes: &[u8]) -> bool {
        self.regions.heard(now, from, bytes)
    }

    pub fn record_latency(&mut self, now: Duration, edge: usize, round_trip: Option<Duration>) {
        self.regions.model().saw(now, edge, round_trip);
        // From the own caches nothing came back: so silence shows, where requests only grow late.
        if edge == self.zone && round_trip.is_none() {
            self.regions.saw(now, false);
        }
    }

    /// Tells, decides, measures. `dial`: where a server is reached.
    pub fn tick(
        &mut self,
        now: Duration,
        router: &Router,
        dial: impl Fn(&Id) -> Option<SocketAddr>,
    ) {
        let mut places = vec![Place::default(); self.names.len()];
        let mut caches: HashMap<usize, Vec<&Member>> = HashMap::new();
        for member in router
            .members()
            .filter(|m| m.tier == Tier::Cache && m.standing == Standing::Active)
        {
            let Some(place) = places.get_mut(member.zone) else {
                continue;
            };
            let age = member
                .started
                .map(|at| now.saturating_sub(at).as_secs_f64());
            let within = self.cold.warm_within.as_secs_f64().max(1e-9);
            let warmth = age.map_or(1.0, |age| (age / within).min(1.0));
            place.capacity += member.capacity;
            place.present += member.capacity * (self.cold.from + (1.0 - self.cold.from) * warmth);
            place.warm += if warmth >= 1.0 { member.capacity } else { 0.0 };
            caches.entry(member.zone).or_default().push(member);
        }
        self.regions.list(&places);
        self.regions.tick(now, &mut self.saying);
        if let Some(probes) = &self.probes {
            for edge in self.regions.to_measure(now) {
                // Which of an edge's caches: another one for each router that measures it.
                let of = caches.get(&edge).filter(|of| !of.is_empty());
                let server = of.map(|of| of[(self.number as usize) % of.len()]);
                if let Some(dial) = server.and_then(|server| dial(&server.server)) {
                    let _ = probes.try_send(Probe { edge, dial });
                }
            }
        }
        self.log(now);
    }

    fn log(&mut self, now: Duration) {
        let (plan, bad) = (self.regions.plan_number(), self.regions.is_bad());
        if (plan, bad) != self.logged {
            self.logged = (plan, bad);
            let shares: Vec<String> = self
                .shares()
                .iter()
                .map(|(name, share)| format!("{name} {share:.2}"))
                .collect();
            let (shares, at_ms) = (shares.join(", "), now.as_millis() as u64);
            log::info!(plan = plan, bad = bad, at_ms = at_ms; "regions: plan {shares}");
        }
    }

    fn shares(&self) -> Vec<(&str, f64)> {
        let name = |edge: usize| self.names.get(edge).map_or("", String::as_str);
        self.regions
            .plan_shares()
            .iter()
            .map(|(edge, share)| (name(*edge), *share))
            .collect()
    }

    /// A request comes: its zone is set. Err: there is no room for it anywhere.
    pub fn assign_zone(&mut self, now: Duration, arrival: &mut Arrival) -> Result<(), ()> {
        let work = arrival.kb / self.pace;
        self.regions.asked(now, work);
        let (may, _, value) = self.classes.get(arrival.class).copied().unwrap_or_default();
        // A cell is of caches of this zone: what belongs to one stays.
        let may = may && arrival.cell.is_none();
        let at = xxh3_64_with_seed(arrival.object.as_bytes(), arrival.part) as f64 / 2f64.powi(64);
        match self.regions.request(at, may, value / work.max(1e-6)) {
            Where::Home => {}
            Where::Abroad(place) => arrival.at = Some(place),
            // Parents may still have it; where they take no attempts nobody has.
            Where::Nowhere if self.pass_through => {}
            Where::Nowhere => return Err(()),
        }
        Ok(())
    }

    /// An attempt has ended at a server: what that says of the own zone's caches.
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
            // What is late or called off may be so by its source.
            _ => {}
        }
    }

    /// A request has its final answer.
    pub fn record_final_answer(
        &mut self,
        now: Duration,
        class: usize,
        received_at: Duration,
        was_served: bool,
    ) {
        let soft = self
            .classes
            .get(class)
            .map_or(Duration::ZERO, |(_, soft, _)| *soft);
        self.regions
            .answered(now, was_served && now.saturating_sub(received_at) <= soft);
    }

    /// `latency observe REGION EDGE MS [COUNT]`: what a front has measured of its clients' way to an edge.
    pub fn observe(&mut self, now: Duration, words: &[&str]) -> Value {
        let wrong = |what: String| json!({"error": what});
        let ([region, edge, ms] | [region, edge, ms, _]) = *words else {
            return wrong(
                "latency observe is written: latency observe REGION EDGE MS [COUNT]".into(),
            );
        };
        let own = self.names.get(self.zone).is_some_and(|name| name == region)
            || self.region_of.get(self.zone).and_then(Option::as_deref) == Some(region);
        if !own {
            return wrong(format!("{region} is not this router's region or zone"));
        }
        let Some(edge) = self.names.iter().position(|name| name == edge) else {
            return wrong(format!("{edge} is not a zone"));
        };
        let ms = ms
            .parse::<f64>()
            .ok()
            .filter(|ms| (0.0..=60_000.0).contains(ms));
        let count = words
            .get(3)
            .map_or(Some(1), |word| word.parse().ok())
            .filter(|n| (1..=OBSERVED_MOST).contains(n));
        let (Some(ms), Some(count)) = (ms, count) else {
            return wrong(format!(
                "MS is from 0 to 60000, COUNT from 1 to {OBSERVED_MOST}"
            ));
        };
        self.regions
            .model()
            .observed(now, edge, Duration::from_secs_f64(ms / 1e3), count);
        json!({"observed": count})
    }

    /// `steer show`: for a front, which edges are to take this region's clients, in order.
    pub fn steer(&self, now: Duration) -> Value {
        let edges = self.regions.steer(now).into_iter().map(|edge| {
            let ms = |d: Option<Duration>| d.map(|d| d.as_secs_f64() * 1e3);
            let name = self.names.get(edge.edge).map_or("", String::as_str);
            json!({"edge": name, "share": edge.share, "room": edge.room, "bad": edge.bad,
                "way_ms": edge.way.and_then(|w| ms(w.p50)), "way_p90_ms": edge.way.and_then(|w| ms(w.p90)),
                "clients_ms": edge.leg.and_then(|w| ms(w.p50)), "doubt": edge.way.map(|w| w.doubt)})
        });
        let edges: Vec<Value> = edges.collect();
        let (zone, region) = (self.names.get(self.zone), self.region_of.get(self.zone));
        json!({"location": zone, "region": region, "edges": edges})
    }

    /// `regions stat`.
    pub fn report(&self, now: Duration) -> Value {
        let report = self.regions.report(now);
        let places = report.places.iter().zip(&self.names).map(|((bad, drained, demand, room), name)| {
            json!({"location": name, "bad": bad, "drained": drained, "demand": demand, "room": room})
        });
        let places: Vec<Value> = places.collect();
        let share = |(edge, share): &(usize, f64)| json!([self.names.get(*edge), share]);
        let dropped = self.regions.gossip().dropped();
        json!({
            "location": self.names.get(self.zone), "bad": report.bad, "drained": report.drained,
            "flaps": report.flaps, "speaks": report.speaker, "mates": report.peers, "demand": report.demand,
            "plan": report.plan.map(|(plan, teller)| json!({
                "number": plan.number, "teller": teller,
                "shares": plan.shares.iter().map(share).collect::<Vec<_>>(),
            })),
            "places": places,
            "faulty": dropped.faulty, "strange": dropped.strange, "old": dropped.old,
        })
    }
}
