//! Who there is at this zone, what is said to whom and when, and what is believed. No I/O: calls in,
//! datagrams out through a [`Mouth`], what is believed through an [`Ear`].
//!
//! Peers find one another by a datagram to all routers, which says where its sender stands: every router of
//! the same zone takes it for a peer and tells it what it tells the others. It is said again, after twice
//! as long each time, while some were never heard; never again once all were, whoever is silent: a datagram
//! to all costs as much as a minute of talk. A peer that is silent for [`SILENT`] gets a sign of life now and
//! then, so that both sides of a split find back without asking all.

use crate::codec::{Datagram, FINDINGS_MOST, Finding, HEAD, decode_loads, encode_loads, mark};
use crate::lean::{Lean, Leaning};
use chalkhall::control::Router;
use chalkhall::interface::Id;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Between two datagrams to the peers, which have what was found since.
pub const PERIOD: Duration = Duration::from_millis(500);
/// A peer that is silent for so long is away: four datagrams in a row are seldom lost by chance.
pub const SILENT: Duration = Duration::from_millis(2000);
/// Who has nothing to tell says so after so many periods: within [`SILENT`], with one lost.
const SIGN_OF_LIFE: u32 = 2;
/// Until all are asked again while peers are missing: at first, and at most.
const ASK_FIRST: Duration = Duration::from_secs(2);
const ASK_MOST: Duration = Duration::from_secs(64);
/// Findings waiting to be told; the oldest go first, which costs a peer a hint. And datagrams a period.
const QUEUED_MOST: usize = 128;
const DATAGRAMS_MOST: usize = 2;
/// Findings believed of one peer in a period: twice what it may tell, since datagrams bunch. More would push
/// out of the id list what this router has seen itself.
const BELIEVED_MOST: usize = 2 * DATAGRAMS_MOST * FINDINGS_MOST;

/// To whom a datagram goes: every router of the tier, or one by its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum To {
    All,
    One(u64),
}

/// Sends datagrams; each may be lost.
pub trait Mouth {
    fn say(&mut self, to: To, bytes: &[u8]);
}

/// Takes in what the peers tell.
pub trait Ear: Leaning {
    /// A peer has found a part at a cache, or had it kept there.
    fn found(&mut self, now: Duration, part: u32, cache: Id);
}

impl Leaning for Router {
    fn lean(&mut self, cache: &Id, by: f64) {
        Router::lean(self, cache, by);
    }
}

impl Ear for Router {
    fn found(&mut self, now: Duration, part: u32, cache: Id) {
        self.told(now, part, cache);
    }
}

/// Where a router stands.
#[derive(Clone, Copy, Debug)]
pub struct About {
    pub number: u64,
    pub routers: usize,
    pub zone: usize,
    /// How many routers the zone has, this one among them.
    pub routers_here: usize,
    pub seed: u64,
}

/// How often what came was dropped, and why.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Dropped {
    /// From nobody that there is, or from more than the zone has.
    pub strangers: u64,
    /// Of another format, cut or too long, or with values out of bounds.
    pub faulty: u64,
    /// Findings past what a peer may tell in a period.
    pub flood: u64,
    /// Own findings that were never told.
    pub untold: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Peer {
    heard: Duration,
    /// Since when findings are counted, and how many were believed.
    since: Duration,
    believed: usize,
}

pub struct Talk {
    about: About,
    /// By mark; none where two caches have the same: of those nothing is told or believed.
    caches: BTreeMap<u8, Option<Id>>,
    /// When each router of the zone was last heard; no more than there are.
    peers: BTreeMap<u64, Peer>,
    queue: VecDeque<Finding>,
    next: Duration,
    quiet: u32,
    ask: Duration,
    ask_again: Duration,
    dropped: Dropped,
    /// Weights of the caches, where load is evened out.
    lean: Option<Lean>,
}

impl Talk {
    /// None where there is nobody to talk to.
    pub fn start(now: Duration, about: About) -> Option<Talk> {
        let alone =
            about.routers_here <= 1 || about.routers <= 1 || about.zone > usize::from(u16::MAX);
        // Routers that start together do not all speak in the same instant.
        let lag = PERIOD.mul_f64(fastrand::Rng::with_seed(about.seed).f64());
        (!alone).then(|| Talk {
            about,
            caches: BTreeMap::new(),
            peers: BTreeMap::new(),
            queue: VecDeque::new(),
            next: now + lag,
            quiet: 0,
            ask: now,
            ask_again: ASK_FIRST,
            dropped: Dropped::default(),
            lean: None,
        })
    }

    /// From now on the zone's load is evened out with the peers.
    pub fn even_load(&mut self) {
        self.lean = Some(Lean::default());
    }

    /// The caches to be evened out, with their capacities, anew.
    pub fn even(&mut self, caches: impl Iterator<Item = (Id, f64)>) {
        if let Some(lean) = &mut self.lean {
            lean.caches(caches);
        }
    }

    /// Each evened cache's weight over its capacity; none where load is not evened out.
    pub fn weights(&self) -> impl Iterator<Item = (&Id, f64)> {
        self.lean.iter().flat_map(Lean::weights)
    }

    /// This router has sent a server so much work, in seconds at a client's pace.
    pub fn sent(&mut self, server: &Id, work: f64) {
        self.lean
            .iter_mut()
            .for_each(|lean| lean.sent(server, work));
    }

    /// Tells the peers what was sent to whom, and takes up the weights that follow.
    fn tell_loads(&mut self, now: Duration, mouth: &mut dyn Mouth, ear: &mut dyn Ear) {
        let Some(loads) = self
            .lean
            .as_mut()
            .map(|lean| lean.tick(ear))
            .filter(|loads| !loads.is_empty())
        else {
            return;
        };
        let bytes = encode_loads(self.about.zone as u16, &loads);
        for (number, _) in self
            .peers
            .iter()
            .filter(|(_, peer)| now < peer.heard + SILENT)
        {
            mouth.say(To::One(*number), &bytes);
        }
    }

    /// The caches of this zone, anew.
    pub fn caches<'a>(&mut self, names: impl Iterator<Item = &'a Id>) {
        self.caches.clear();
        for name in names {
            let same = self.caches.entry(mark(name));
            same.and_modify(|taken| *taken = None)
                .or_insert_with(|| Some(name.clone()));
        }
    }

    /// This router has found a part at a cache, or had it kept there.
    pub fn found(&mut self, part: u32, cache: &Id) {
        let cache = mark(cache);
        if !matches!(self.caches.get(&cache), Some(Some(_))) {
            return;
        }
        if let Some(waiting) = self.queue.iter_mut().find(|waiting| waiting.part == part) {
            waiting.cache = cache;
            return;
        }
        if self.queue.len() == QUEUED_MOST {
            self.queue.pop_front();
            self.dropped.untold += 1;
        }
        self.queue.push_back(Finding { part, cache });
    }

    /// When [`Talk::tick`] has something to do.
    pub fn next(&self) -> Duration {
        self.next
    }

    /// How many peers were heard lately, and how many ever.
    pub fn peers(&self, now: Duration) -> (usize, usize) {
        let lately = self.peers.values().filter(|peer| now < peer.heard + SILENT);
        (lately.count(), self.peers.len())
    }

    pub fn dropped(&self) -> Dropped {
        self.dropped
    }

    /// Asks who is missing, tells the peers what was found.
    pub fn tick(&mut self, now: Duration, mouth: &mut dyn Mouth, ear: &mut dyn Ear) {
        if now < self.next {
            return;
        }
        // After a pause no periods are made up for.
        self.next = now + PERIOD;
        self.tell_loads(now, mouth, ear);
        let zone = self.about.zone as u16;
        if now >= self.ask && self.peers.len() + 1 < self.about.routers_here {
            mouth.say(
                To::All,
                &Datagram {
                    looking: true,
                    zone,
                    findings: Vec::new(),
                }
                .encode(),
            );
            self.ask = now + self.ask_again;
            self.ask_again = (self.ask_again * 2).min(ASK_MOST);
        }
        self.quiet += 1;
        let alive = self.quiet >= SIGN_OF_LIFE;
        for n in 0..DATAGRAMS_MOST {
            if self.queue.is_empty() && !(alive && n == 0) {
                break;
            }
            let findings = self
                .queue
                .drain(..self.queue.len().min(FINDINGS_MOST))
                .collect();
            let bytes = Datagram {
                looking: false,
                zone,
                findings,
            }
            .encode();
            // Whoever is away is only shown a sign of life.
            let (short, signs) = (&bytes[..HEAD], alive && n == 0);
            for (number, peer) in &self.peers {
                match now < peer.heard + SILENT {
                    true => mouth.say(To::One(*number), &bytes),
                    false if signs => mouth.say(To::One(*number), short),
                    false => {}
                }
            }
            self.quiet = 0;
        }
    }

    /// A datagram has come from the router of this number.
    pub fn heard(&mut self, now: Duration, from: u64, bytes: &[u8], ear: &mut dyn Ear) {
        let there_is = from < self.about.routers as u64 && from != self.about.number;
        // More than the zone has are not peers, whoever they are.
        let full =
            || self.peers.len() + 1 >= self.about.routers_here && !self.peers.contains_key(&from);
        if let Some(loads) = decode_loads(bytes) {
            match (loads, &mut self.lean) {
                (Err(_), _) => self.dropped.faulty += 1,
                // Only of who was heard as a peer: loads make nobody one.
                (Ok((zone, loads)), Some(lean))
                    if self.peers.contains_key(&from) && usize::from(zone) == self.about.zone =>
                {
                    lean.heard(&loads, PERIOD.as_secs_f64());
                }
                _ => {}
            }
            return;
        }
        let Ok(datagram) = Datagram::decode(bytes) else {
            self.dropped.faulty += 1;
            return;
        };
        if there_is && usize::from(datagram.zone) != self.about.zone {
            return;
        }
        if !there_is || full() {
            self.dropped.strangers += 1;
            return;
        }
        let peer = self.peers.entry(from).or_default();
        peer.heard = now;
        if now >= peer.since + PERIOD {
            (peer.since, peer.believed) = (now, 0);
        }
        let believed = datagram.findings.len().min(BELIEVED_MOST - peer.believed);
        peer.believed += believed;
        self.dropped.flood += (datagram.findings.len() - believed) as u64;
        if datagram.looking {
            // It learns of this router by the next sign of life, which comes at once.
            self.quiet = SIGN_OF_LIFE;
        }
        for Finding { part, cache } in datagram.findings.into_iter().take(believed) {
            if let Some(Some(cache)) = self.caches.get(&cache) {
                ear.found(now, part, cache.clone());
            }
        }
    }
}

#[cfg(test)]
mod tests;
