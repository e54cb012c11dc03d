//! The plan of a zone, and where a request goes by it.
//!
//! **Who decides.** The router with the least number of those of the zone that gave a sign of life lately
//! speaks for it: it works out who takes what and tells the plan under a number that only grows. All others
//! act on the plan with the greatest number that is younger than [`PLAN_LASTS`]; where there is none, all
//! stays at home, as ever. A speaker that dies is followed by the next, which goes on from the plan that it
//! acted on. In a split each half has its own speaker and decides for what it reaches: no safety hangs on
//! there being one, since a plan only says among whom to draw, for requests that may run anywhere.
//!
//! **When.** The zone's caches are held for bad by pooled outcomes ([`Health`]), or the operator drains
//! it, or they are cold and take less than is asked for. Where more than half of the zones that are
//! heard of are bad at once, it is no place's fault: nobody goes anywhere.
//!
//! **Where to.** What another zone has room for is its capacity, warm caches only, at `FULL`, less
//! what its own clients ask for, less when it is strained; shared among all zones that are bad just now,
//! so that together they do not topple it. In the order of the ways from here, by rate-limited steps
//! (`chalkhall_latency::steer`).
//!
//! **Way back.** Once words come back from it again a few requests try home (`TRIAL`); the evidence for
//! good needs more than that for bad, and what goes home at first is what its cold caches bear.

use crate::evidence::{Counted, Health};
use crate::words::{HOME, Home, LOAD, Load, PLAN, Plan, TAKERS_MOST};
use chalkhall_gossip::Mouth;
use chalkhall_gossip::gossip::{Gossip, KindPolicy, RouterIdentity};
use chalkhall_latency::{Estimate, Model, Offer, ShareTable};
use chalkhall_stats::Recent;
use std::time::Duration;

const LASTS: Duration = Duration::from_millis(2500);
/// Tellers of a zone that are kept elsewhere: one may lie.
const HOME_TELLERS: usize = 3;
pub const PLAN_LASTS: Duration = Duration::from_millis(2000);
/// All kinds that a router's gossip carries here, those of the latency model among them.
pub const KIND_POLICIES: [KindPolicy; 6] = [
    chalkhall_latency::KIND_POLICIES[0],
    chalkhall_latency::KIND_POLICIES[1],
    chalkhall_latency::KIND_POLICIES[2],
    KindPolicy {
        kind: LOAD,
        zone_only: true,
        first: false,
        max_publishers: 256,
        lifetime: LASTS,
    },
    KindPolicy {
        kind: HOME,
        zone_only: false,
        first: false,
        max_publishers: HOME_TELLERS,
        lifetime: LASTS,
    },
    KindPolicy {
        kind: PLAN,
        zone_only: true,
        first: true,
        max_publishers: 4,
        lifetime: PLAN_LASTS,
    },
];
/// A peer that gave a sign of life so lately asks for something.
const ALIVE: Duration = Duration::from_secs(5);
/// Within this of a start peers have been heard.
const SETTLE: Duration = Duration::from_millis(2500);
/// Own words are told so often, and at once when the place turns bad or good.
const TELL_EVERY: Duration = Duration::from_millis(500);
const TURN_EVERY: Duration = Duration::from_millis(250);
/// Share of its capacity up to which a zone takes others' requests.
const FULL: f64 = 0.85;
/// A plan in which no share moves by more than this is the same.
const MOVED: f64 = 0.01;
/// One in which a share moves by more than this is told in a hurry.
const MUCH: f64 = 0.1;
/// Share of requests that try a bad home: where words come back from it again, and where nobody has asked.
const TRIAL: f64 = 1.0 / 8.0;
const TRIAL_BLIND: f64 = 1.0 / 32.0;
/// Of its capacity a zone's room grows by so much in a second at most; it shrinks at once. What comes
/// anew shows in its strain only a second later, and parts that go to and fro are fetched each time.
const ROOM_GROWS: f64 = 0.15;
/// Over this share of requests not served in time a zone has no room at all.
const STRAIN_MOST: f64 = 0.10;
/// What a router asks for is averaged over this.
const DEMAND_OVER: Duration = Duration::from_secs(2);
/// Recent requests by which the least worth are known.
const WORTHS: usize = 256;

#[derive(Clone, Copy, Debug)]
pub struct About {
    pub number: u16,
    pub routers: usize,
    pub place: u8,
    pub places: usize,
    pub incarnation: u32,
    pub seed: u64,
    /// Requests may go to other zones' caches. Otherwise all is only told and shown.
    pub abroad: bool,
}

/// What the list tells of a zone's caches together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Place {
    /// Active caches' capacity, in transfers; and of that what their warmth leaves.
    pub capacity: f64,
    pub present: f64,
    /// Of those that are warm.
    pub warm: f64,
}

/// Among whose caches a request is to be drawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Where {
    Home,
    Abroad(usize),
    /// There is no room for it anywhere.
    Nowhere,
}

/// What an operator, or a front, is shown.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    pub bad: bool,
    pub drained: bool,
    pub flaps: u32,
    pub speaker: bool,
    /// The plan in force, and who told it.
    pub plan: Option<(Plan, u16)>,
    pub demand: f64,
    pub peers: usize,
    /// By zone: bad, drained, demand, room for this one.
    pub places: Vec<(bool, bool, f64, f64)>,
}

/// An edge as a front is shown it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Edge {
    pub edge: usize,
    /// Of this zone's requests, by the plan in force.
    pub share: f64,
    /// In transfers, for this zone.
    pub room: f64,
    pub bad: bool,
    pub way: Option<Estimate>,
    pub leg: Option<Estimate>,
}

pub struct Regions {
    about: About,
    gossip: Gossip,
    model: Model,
    seen: Counted,
    health: Health,
    /// What is asked for here, and what of it was not served in time.
    demand: (f64, Duration),
    strain: Counted,
    places: Vec<Place>,
    drained: Vec<bool>,
    /// What each had room for when it was last reckoned, and when that was.
    rooms: Vec<f64>,
    reckoned: Option<Duration>,
    table: ShareTable,
    number: u32,
    /// The last plan acted on, and whose it was.
    plan: Option<(Plan, u16)>,
    trial: f64,
    /// Bad and drained, as told last.
    told_of: (bool, bool),
    started: Duration,
    told: Duration,
    planned: Duration,
    turned: Duration,
    urgent: bool,
    worths: Recent,
    chance: fastrand::Rng,
}

impl Regions {
    /// None where there is nobody to talk to.
    pub fn start(now: Duration, about: About) -> Option<Regions> {
        let About {
            number,
            routers,
            place: zone,
            places,
            incarnation,
            seed,
            ..
        } = about;
        let identity = RouterIdentity {
            number,
            routers,
            zone,
            incarnation,
            seed,
        };
        let fits = places <= usize::from(u8::MAX) && usize::from(zone) < places;
        let gossip = Gossip::start(now, identity, &KIND_POLICIES).filter(|_| fits)?;
        let mut chance = fastrand::Rng::with_seed(seed ^ 0x2e91);
        // Routers that start together do not all speak in the same instant.
        let lag = TURN_EVERY.mul_f64(chance.f64());
        Some(Regions {
            about,
            gossip,
            model: Model::new(number, zone, places),
            seen: Counted::default(),
            health: Health::default(),
            demand: (0.0, now),
            strain: Counted::default(),
            places: vec![Place::default(); places],
            drained: vec![false; places],
            rooms: vec![0.0; places],
            reckoned: None,
            table: ShareTable::default(),
            number: 0,
            plan: None,
            trial: TRIAL_BLIND,
            told_of: (false, false),
            started: now,
            told: now,
            planned: now,
            turned: now.saturating_sub(lag),
            urgent: false,
            worths: Recent::new(WORTHS),
            chance,
        })
    }

    pub fn model(&mut self) -> &mut Model {
        &mut self.model
    }

    pub fn gossip(&self) -> &Gossip {
        &self.gossip
    }

    /// The list tells of caches anew, by zone. More zones than there are are not known.
    pub fn list(&mut self, places: &[Place]) {
        self.places
            .iter_mut()
            .zip(places)
            .for_each(|(known, told)| *known = *told);
    }

    /// The operator empties these zones, or takes them into use again.
    pub fn drain(&mut self, places: &[usize]) {
        self.drained
            .iter_mut()
            .enumerate()
            .for_each(|(place, drained)| *drained = places.contains(&place));
        self.urgent = true;
    }

    /// An attempt at caches of this zone has ended, in a way that says something of them.
    pub fn saw(&mut self, now: Duration, good: bool) {
        let before = self.seen.says_bad(now);
        self.seen.saw(now, good, 1.0);
        // That turns in a hurry: peers see as little as this one.
        self.urgent |= !self.health.is_bad() && !before && self.seen.says_bad(now);
    }

    /// A request has come, of so much work in seconds at a client's pace.
    pub fn asked(&mut self, now: Duration, work: f64) {
        let demand = self.asks(now);
        self.demand = (demand + work / DEMAND_OVER.as_secs_f64(), now);
    }

    fn asks(&self, now: Duration) -> f64 {
        self.demand.0
            * (-now
                .saturating_sub(self.demand.1)
                .div_duration_f64(DEMAND_OVER))
            .exp()
    }

    /// A request of this zone's clients has its final answer, in time or not.
    pub fn answered(&mut self, now: Duration, in_time: bool) {
        self.strain.saw(now, in_time, 1.0);
    }

    /// The ways to be measured now, by edge.
    pub fn to_measure(&mut self, now: Duration) -> Vec<usize> {
        // Who hears nobody measures all: at a start, before peers are heard, that would be everybody at once.
        if now < self.started + SETTLE {
            return Vec::new();
        }
        self.model.paths_to_probe(now, &self.gossip)
    }

    pub fn next(&self) -> Duration {
        let own = self.turned + TURN_EVERY;
        if self.urgent {
            Duration::ZERO
        } else {
            own.min(self.gossip.next_tick())
        }
    }

    pub fn heard(&mut self, now: Duration, from: u64, bytes: &[u8]) -> bool {
        let ours = self.gossip.receive(now, from, bytes);
        for topic in self.gossip.take_updated_topics() {
            // A word of a peer that may turn what is held here is looked at now, a plan too.
            if topic.kind == LOAD || topic.kind == PLAN {
                self.judge(now);
                self.follow(now);
                break;
            }
        }
        ours
    }

    /// The loads of the zone's routers that are heard of, this one's among them.
    fn loads(&self, now: Duration) -> impl Iterator<Item = (u16, Load)> {
        let (good, bad) = self.seen.now(now);
        let own = (
            self.about.number,
            Load {
                demand: self.asks(now),
                good,
                bad,
            },
        );
        let number = self.about.number;
        let peers = self
            .gossip
            .messages(now, LOAD)
            .filter(move |(topic, _)| topic.publisher != number);
        let peers = peers.filter_map(move |(topic, message)| {
            let age = now.saturating_sub(message.published_at);
            let fades = (-age.div_duration_f64(crate::evidence::HALF_LIFE)).exp2();
            let load = Load::decode(&message.payload)?;
            Some((
                topic.publisher,
                Load {
                    good: load.good * fades,
                    bad: load.bad * fades,
                    ..load
                },
            ))
        });
        peers.chain([own])
    }

    fn judge(&mut self, now: Duration) {
        // No router counts for more than four requests: one that is itself broken is outvoted.
        let (good, bad, peers) =
            self.loads(now)
                .fold((0.0, 0.0, 0), |(good, bad, peers), (_, load)| {
                    let scale = (4.0 / (load.good + load.bad).max(4.0)).min(1.0);
                    (good + load.good * scale, bad + load.bad * scale, peers + 1)
                });
        // Nobody heard: as ever, on its own.
        if peers > 1 {
            self.urgent |= self.health.judge(now, good, bad);
        }
    }

    /// What a zone tells of itself: by most of its tellers, and by the middle of them.
    pub fn home(&self, now: Duration, place: usize) -> Option<Home> {
        if place == usize::from(self.about.place) {
            return Some(self.own_home(now));
        }
        let words = self
            .gossip
            .messages(now, HOME)
            .filter(|(_, message)| usize::from(message.zone) == place);
        let told: Vec<Home> = words
            .filter_map(|(_, message)| Home::decode(&message.payload))
            .collect();
        let most =
            |of: fn(&Home) -> bool| told.iter().filter(|home| of(home)).count() * 2 > told.len();
        let middle = |of: fn(&Home) -> f64| {
            let mut all: Vec<f64> = told.iter().map(of).collect();
            all.sort_by(f64::total_cmp);
            all.get(all.len() / 2).copied()
        };
        let (bad, drained) = (most(|home| home.bad), most(|home| home.drained));
        Some(Home {
            bad,
            drained,
            demand: middle(|home| home.demand)?,
            strain: middle(|home| home.strain)?,
        })
    }

    /// What the zone asks for: what is heard of, and for each peer that lives but of whose load nothing
    /// is known just now as much as the others ask for on average. Too little told would overfill this place.
    fn demand_here(&self, now: Duration) -> f64 {
        let (sum, known) = self.loads(now).fold((0.0, 0.0), |(sum, known), (_, load)| {
            (sum + load.demand, known + 1.0)
        });
        let alive = self.gossip.live_peers(now, ALIVE).count() as f64 + 1.0;
        sum * (alive / known).max(1.0)
    }

    fn own_home(&self, now: Duration) -> Home {
        let (good, bad) = self.strain.now(now);
        Home {
            bad: self.health.is_bad(),
            drained: self.drained[usize::from(self.about.place)],
            demand: self.demand_here(now),
            strain: if good + bad > 1.0 {
                bad / (good + bad)
            } else {
                0.0
            },
        }
    }

    /// The router that speaks for the zone, as far as this one hears.
    pub fn speaker(&self, now: Duration) -> u16 {
        self.loads(now)
            .map(|(number, _)| number)
            .min()
            .unwrap_or(self.about.number)
    }

    /// More than half of the zones heard of are bad.
    fn all_bad(&self, homes: &[Option<Home>]) -> bool {
        let heard = homes.iter().flatten().count();
        let bad = homes.iter().flatten().filter(|home| home.bad).count();
        bad * 2 > heard
    }

    /// What this zone may send to each, itself among them.
    fn offers(&self, now: Duration, homes: &[Option<Home>]) -> (Vec<Offer>, Vec<f64>) {
        let since = self
            .reckoned
            .map_or(0.0, |at| now.saturating_sub(at).as_secs_f64());
        let mut rooms = vec![0.0; self.places.len()];
        let own = usize::from(self.about.place);
        let bad = homes
            .iter()
            .flatten()
            .filter(|home| home.bad)
            .count()
            .max(1) as f64;
        let mut offers = Vec::new();
        for (edge, (place, home)) in self.places.iter().zip(homes).enumerate() {
            if edge == own {
                // Near while safe: all that it can do now, before anything leaves. One that is drained comes
                // last, and keeps what nobody else has taken yet: nothing fails there.
                let last = if self.drained[own] {
                    Duration::from_secs(3600)
                } else {
                    Duration::ZERO
                };
                let path = Some(Estimate {
                    p50: Some(last),
                    p90: Some(last),
                    lost: 0.0,
                    doubt: 0.0,
                    reporters: 1,
                });
                offers.push(Offer {
                    edge,
                    path,
                    capacity: if self.health.is_bad() {
                        0.0
                    } else {
                        place.present
                    },
                });
                continue;
            }
            // Of whom nothing is heard nothing is known: it may be down with all of its routers.
            let Some(home) = home else { continue };
            let path = self.model.path(now, &self.gossip, edge);
            let silent = path.is_some_and(|path| path.p50.is_none());
            let usable =
                self.about.abroad && !home.bad && !home.drained && !self.drained[edge] && !silent;
            let strain = 1.0 - (home.strain / STRAIN_MOST).min(1.0);
            let room = (place.warm * FULL - home.demand).max(0.0) * strain;
            let grown = self.rooms[edge] + ROOM_GROWS * place.capacity * since;
            let room = room.min(if self.reckoned.is_some() { grown } else { room });
            rooms[edge] = room;
            let room = room / bad;
            offers.push(Offer {
                edge,
                path,
                capacity: if usable { room } else { 0.0 },
            });
        }
        (offers, rooms)
    }

    fn homes(&self, now: Duration) -> Vec<Option<Home>> {
        (0..self.about.places)
            .map(|place| self.home(now, place))
            .collect()
    }

    /// Takes up the plan with the greatest number, of those that are told now; none where none is.
    fn follow(&mut self, now: Duration) {
        let words = self
            .gossip
            .messages(now, PLAN)
            .filter_map(|(topic, message)| {
                Some((Plan::decode(&message.payload)?, topic.publisher))
            });
        // Of two under one number that of the lesser teller, everywhere.
        let best =
            words.max_by_key(|(plan, publisher)| (plan.number, std::cmp::Reverse(*publisher)));
        if let Some((plan, publisher)) = &best
            && *publisher != self.about.number
        {
            self.number = self.number.max(plan.number);
            self.table.adopt(now, &plan.shares);
        }
        self.plan = best;
    }

    /// Tells and is told; decides, where this router speaks for its zone.
    pub fn tick(&mut self, now: Duration, mouth: &mut dyn Mouth) {
        if self.urgent || now >= self.turned + TURN_EVERY {
            self.turned = now;
            self.judge(now);
            let home = usize::from(self.about.place);
            self.trial = match self
                .model
                .path(now, &self.gossip, home)
                .filter(|_| self.health.is_bad())
            {
                None => TRIAL_BLIND,
                Some(way) if way.p50.is_some() => TRIAL,
                Some(_) => 0.0,
            };
            let urgent = std::mem::take(&mut self.urgent);
            if urgent || now >= self.told + TELL_EVERY {
                self.told = now;
                let (good, bad) = self.seen.now(now);
                let load = Load {
                    demand: self.asks(now),
                    good,
                    bad,
                };
                self.gossip.publish(now, LOAD, 0, load.encode(), urgent);
                let home = self.own_home(now);
                // All zones hear at once only of what turns, and of no more tellers than are kept: a word
                // in a hurry costs the whole fleet some datagrams each.
                let now_of = (home.bad, home.drained);
                let turned = std::mem::replace(&mut self.told_of, now_of) != now_of;
                let before = self
                    .loads(now)
                    .filter(|(number, _)| *number < self.about.number)
                    .count();
                self.gossip
                    .publish(now, HOME, 0, home.encode(), turned && before < HOME_TELLERS);
                for (kind, part, body) in self.model.messages_to_publish(now, &self.gossip) {
                    self.gossip.publish(now, kind, part, body, false);
                }
            }
            // Not so often that a plan's word is replaced before it has spread.
            let due = urgent || now >= self.planned + TELL_EVERY;
            if due && self.speaker(now) == self.about.number {
                self.planned = now;
                self.plan(now, urgent);
            }
            self.follow(now);
        }
        self.gossip.tick(now, mouth);
    }

    fn plan(&mut self, now: Duration, urgent: bool) {
        let (homes, own) = (self.homes(now), usize::from(self.about.place));
        let demand = homes[own].map_or(0.0, |home| home.demand);
        let (offers, rooms) = self.offers(now, &homes);
        (self.rooms, self.reckoned) = (rooms, Some(now));
        let stays = self.all_bad(&homes) && !self.drained[own];
        let before: Vec<(usize, f64)> = self.table.shares().to_vec();
        if stays {
            self.table.adopt(now, &[(own, 1.0)]);
        } else if before.is_empty()
            && !self.drained[own]
            && offers.iter().any(|o| o.edge == own && o.capacity >= demand)
        {
            return; // Nothing has ever left, and nothing has to.
        } else {
            if before.is_empty() {
                self.table.adopt(now, &[(own, 1.0)]);
            }
            self.table.update(now, demand, &offers);
        }
        let shares: Vec<(usize, f64)> = self
            .table
            .shares()
            .iter()
            .copied()
            .filter(|(_, share)| *share > 0.0)
            .take(TAKERS_MOST)
            .collect();
        let moved = |(edge, share): &(usize, f64)| {
            before
                .iter()
                .find(|(e, _)| e == edge)
                .is_none_or(|(_, before)| (before - share).abs() > MOVED)
        };
        let changed = shares.iter().any(moved)
            || before.iter().filter(|(_, s)| *s > 0.0).count() != shares.len();
        let much = shares.iter().any(|(edge, share)| {
            let known = before
                .iter()
                .find(|(e, _)| e == edge)
                .map_or(0.0, |(_, share)| *share);
            (known - share).abs() > MUCH
        });
        let home_again = shares == [(own, 1.0)];
        if home_again && !changed {
            // All is at home: once peers have heard so, nothing needs to be told.
            self.table = ShareTable::default();
            return;
        }
        self.number += u32::from(changed);
        let plan = Plan {
            number: self.number,
            shares,
        };
        self.gossip
            .publish(now, PLAN, self.about.place, plan.encode(), urgent || much);
    }

    /// Where a request goes. `at`: from 0 to 1, the same for the same part, so that few move as shares do.
    /// `may_leave`: it may run again anywhere and leaves no mark. `worth`: what it earns for its work; where
    /// not all can be taken the least of it is turned away.
    pub fn request(&mut self, at: f64, may_leave: bool, worth: f64) -> Where {
        self.worths.note(worth);
        let own = usize::from(self.about.place);
        let Some((plan, _)) = self
            .plan
            .as_ref()
            .filter(|_| may_leave && self.about.abroad)
        else {
            return Where::Home;
        };
        let sum: f64 = plan.shares.iter().map(|(_, share)| share).sum();
        // What is told is rounded down.
        let left = 1.0 - sum - TAKERS_MOST as f64 / 255.0;
        if left > 0.0
            && self.health.is_bad()
            && self.worths.len() > WORTHS / 4
            && worth < self.worths.quantile(left.min(0.999))
        {
            return Where::Nowhere;
        }
        if self.health.is_bad() && self.chance.f64() < self.trial {
            return Where::Home;
        }
        let mut upto = 0.0;
        let found = plan.shares.iter().find(|(_, share)| {
            upto += share;
            at * sum < upto
        });
        match found {
            Some((edge, _)) if *edge != own => Where::Abroad(*edge),
            _ => Where::Home,
        }
    }

    /// The plan acted on; 0: none.
    pub fn plan_number(&self) -> u32 {
        self.plan.as_ref().map_or(0, |(plan, _)| plan.number)
    }

    pub fn plan_shares(&self) -> &[(usize, f64)] {
        self.plan.as_ref().map_or(&[], |(plan, _)| &plan.shares)
    }

    pub fn is_bad(&self) -> bool {
        self.health.is_bad()
    }

    /// For a front: where this region's clients are best taken in, the best first. By what clients' ways cost
    /// where fronts have told, else by the ways from here; those with no room last.
    pub fn steer(&self, now: Duration) -> Vec<Edge> {
        let (homes, own) = (self.homes(now), usize::from(self.about.place));
        let (offers, _) = self.offers(now, &homes);
        let edge = |edge: usize| {
            let room = offers
                .iter()
                .find(|o| o.edge == edge)
                .map_or(0.0, |o| o.capacity);
            let home = self.plan.is_none() && edge == own && !self.health.is_bad();
            let planned = self
                .plan_shares()
                .iter()
                .find(|(e, _)| *e == edge)
                .map(|(_, share)| *share);
            Edge {
                edge,
                share: planned.unwrap_or(f64::from(u8::from(home))),
                room,
                bad: homes[edge].is_some_and(|home| home.bad),
                way: self.model.path(now, &self.gossip, edge),
                leg: self.model.client_path(now, &self.gossip, edge),
            }
        };
        let mut edges: Vec<Edge> = (0..self.about.places).map(edge).collect();
        let cost = |edge: &Edge| {
            let leg = edge.leg.and_then(|leg| leg.p50).unwrap_or(Duration::ZERO);
            let path = edge
                .way
                .and_then(|way| way.p50)
                .unwrap_or(if edge.edge == own {
                    Duration::ZERO
                } else {
                    Duration::MAX
                });
            if edge.leg.is_some() { leg } else { path }
        };
        edges.sort_by_key(|edge| (edge.room <= 0.0, cost(edge), edge.edge));
        edges
    }

    pub fn report(&self, now: Duration) -> Report {
        let homes = self.homes(now);
        let (offers, _) = self.offers(now, &homes);
        let own = usize::from(self.about.place);
        let room = |edge: usize| {
            offers
                .iter()
                .find(|o| o.edge == edge)
                .map_or(0.0, |o| o.capacity)
        };
        let of = |(place, home): (usize, &Option<Home>)| {
            let home = home.unwrap_or_default();
            (home.bad, home.drained, home.demand, room(place))
        };
        Report {
            bad: self.health.is_bad(),
            drained: self.drained[own],
            flaps: self.health.flaps(),
            speaker: self.speaker(now) == self.about.number,
            plan: self.plan.clone(),
            demand: homes[own].map_or(0.0, |home| home.demand),
            peers: self.loads(now).count() - 1,
            places: homes.iter().enumerate().map(of).collect(),
        }
    }
}

#[cfg(test)]
mod tests;
