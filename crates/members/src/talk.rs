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
        let alone = about.routers_here <= 1 || about.routers <= 1 || about.zone > usize::from(u16::MAX);
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
        self.lean.iter_mut().for_each(|lean| lean.sent(server, work));
    }

    /// Tells the peers what was sent to whom, and takes up the weights that follow.
    fn tell_loads(&mut self, now: Duration, mouth: &mut dyn Mouth, ear: &mut dyn Ear) {
        let Some(loads) = self.lean.as_mut().map(|lean| lean.tick(ear)).filter(|loads| !loads.is_empty())
        else {
            return;
        };
        let bytes = encode_loads(self.about.zone as u16, &loads);
        for (number, _) in self.peers.iter().filter(|(_, peer)| now < peer.heard + SILENT) {
            mouth.say(To::One(*number), &bytes);
        }
    }

    /// The caches of this zone, anew.
    pub fn caches<'a>(&mut self, names: impl Iterator<Item = &'a Id>) {
        self.caches.clear();
        for name in names {
            let same = self.caches.entry(mark(name));
            same.and_modify(|taken| *taken = None).or_insert_with(|| Some(name.clone()));
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
            mouth.say(To::All, &Datagram { looking: true, zone, findings: Vec::new() }.encode());
            self.ask = now + self.ask_again;
            self.ask_again = (self.ask_again * 2).min(ASK_MOST);
        }
        self.quiet += 1;
        let alive = self.quiet >= SIGN_OF_LIFE;
        for n in 0..DATAGRAMS_MOST {
            if self.queue.is_empty() && !(alive && n == 0) {
                break;
            }
            let findings = self.queue.drain(..self.queue.len().min(FINDINGS_MOST)).collect();
            let bytes = Datagram { looking: false, zone, findings }.encode();
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
        let full = || self.peers.len() + 1 >= self.about.routers_here && !self.peers.contains_key(&from);
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
mod tests {
    use super::*;
    use std::collections::BTreeSet;

    fn ms(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    #[derive(Default)]
    struct Said(Vec<(To, Vec<u8>)>);

    impl Mouth for Said {
        fn say(&mut self, to: To, bytes: &[u8]) {
            assert!(bytes.len() <= crate::codec::MOST_BYTES);
            self.0.push((to, bytes.to_vec()));
        }
    }

    #[derive(Default)]
    struct Heard(Vec<(u32, Id)>);

    impl Leaning for Heard {
        fn lean(&mut self, _cache: &Id, _by: f64) {}
    }

    impl Ear for Heard {
        fn found(&mut self, _now: Duration, part: u32, cache: Id) {
            self.0.push((part, cache));
        }
    }

    /// Six routers of zone 1 and six of zone 2, in a net that may lose what it carries.
    struct Net {
        talks: Vec<Option<Talk>>,
        heard: Vec<Heard>,
        loses: f64,
        /// Routers from this number on are cut off from those before.
        cut: usize,
        chance: fastrand::Rng,
        to_all: usize,
    }

    fn about(number: u64) -> About {
        About { number, routers: 12, zone: 1 + number as usize / 6, routers_here: 6, seed: number }
    }

    fn talk(now: u64, number: u64) -> Talk {
        let mut talk = Talk::start(ms(now), about(number)).expect("not alone");
        talk.caches(["c1".into(), "c2".into()].iter());
        talk
    }

    impl Net {
        fn new(loses: f64) -> Net {
            let talks = (0..12).map(|number| Some(talk(0, number))).collect();
            let heard = (0..12).map(|_| Heard::default()).collect();
            Net { talks, heard, loses, cut: 0, chance: fastrand::Rng::with_seed(5), to_all: 0 }
        }

        fn until(&mut self, from: u64, to: u64) {
            for now in from..to {
                for number in 0..12 {
                    let mut said = Said::default();
                    let Some(talk) = &mut self.talks[number] else { continue };
                    talk.tick(ms(now), &mut said, &mut Heard::default());
                    for (to, bytes) in said.0 {
                        self.to_all += usize::from(to == To::All);
                        let others = (0..12).filter(|o| *o != number);
                        for other in others.filter(|o| to == To::All || to == To::One(*o as u64)) {
                            let apart = (number < self.cut) != (other < self.cut);
                            let lost = apart || self.chance.f64() < self.loses;
                            if let (false, Some(talk)) = (lost, &mut self.talks[other]) {
                                talk.heard(ms(now), number as u64, &bytes, &mut self.heard[other]);
                            }
                        }
                    }
                }
            }
        }

        fn lately(&self, now: u64) -> Vec<usize> {
            self.talks.iter().map(|talk| talk.as_ref().map_or(0, |talk| talk.peers(ms(now)).0)).collect()
        }

        fn find(&mut self, number: usize, part: u32, cache: &str) {
            self.talks[number].as_mut().expect("there").found(part, &cache.into());
        }
    }

    #[test]
    fn peers_find_one_another_and_tell_what_they_find() {
        let mut net = Net::new(0.0);
        net.until(0, 1500);
        assert_eq!(net.lately(1500), [5; 12]);
        net.find(0, 77, "c2");
        net.find(0, 78, "unknown");
        net.until(1500, 2500);
        for number in 1..6 {
            assert_eq!(net.heard[number].0, [(77, "c2".into())]);
        }
        assert!(net.heard[6..].iter().all(|heard| heard.0.is_empty()), "another zone");
    }

    #[test]
    fn a_split_heals_and_who_starts_anew_is_found_without_asking_all() {
        let mut net = Net::new(0.0);
        net.until(0, 3000);
        let asked = net.to_all;
        net.cut = 3;
        net.until(3000, 9000);
        assert_eq!(net.lately(9000), [2, 2, 2, 2, 2, 2, 5, 5, 5, 5, 5, 5]);
        net.cut = 0;
        net.until(9000, 10_500);
        assert_eq!(net.lately(10_500), [5; 12]);
        assert_eq!(net.to_all, asked, "peers once heard are not looked for among all");
        net.talks[1] = None;
        net.until(10_500, 13_000);
        assert_eq!(net.lately(13_000)[0], 4);
        net.talks[1] = Some(talk(13_000, 1));
        net.until(13_000, 14_500);
        assert_eq!(net.lately(14_500), [5; 12]);
        assert_eq!(net.to_all, asked + 1, "only who starts anew asks all");
    }

    #[test]
    fn a_third_of_all_datagrams_lost_loses_no_peer_for_long() {
        let mut net = Net::new(0.33);
        net.until(0, 20_000);
        let known = net.lately(20_000);
        assert!(known.iter().sum::<usize>() >= 52, "{known:?} of five each");
    }

    #[test]
    fn nobody_is_asked_for_ever() {
        let (mut talk, mut asked) = (talk(0, 0), 0);
        for now in 0..600_000 {
            let mut said = Said::default();
            talk.tick(ms(now), &mut said, &mut Heard::default());
            asked += said.0.len();
        }
        assert!((10..=16).contains(&asked), "{asked} in ten minutes");
    }

    #[test]
    fn strangers_nonsense_and_floods_change_nothing() {
        let (mut talk, mut ear) = (talk(0, 0), Heard::default());
        let sound = Datagram { zone: 1, ..Datagram::default() }.encode();
        for from in [0, 12, u64::MAX] {
            talk.heard(ms(1), from, &sound, &mut ear);
        }
        talk.heard(ms(1), 1, &sound[..3], &mut ear);
        talk.heard(ms(1), 1, &[0; 256], &mut ear);
        assert_eq!((talk.peers(ms(1)), talk.dropped.strangers, talk.dropped.faulty), ((0, 0), 3, 2));
        // All the routers there are say that they stand here: no more are believed than there can be.
        (1..12).for_each(|from| talk.heard(ms(1), from, &sound, &mut ear));
        assert_eq!(talk.peers(ms(1)).1, 5);
        for part in 0..10_000 {
            talk.found(part, &"c1".into());
        }
        assert_eq!(talk.queue.len(), QUEUED_MOST);
        let mut said = Said::default();
        talk.tick(ms(600), &mut said, &mut Heard::default());
        assert!(said.0.len() <= 1 + 5 * DATAGRAMS_MOST);
        assert_eq!(talk.dropped.untold, 10_000 - QUEUED_MOST as u64);
    }

    #[test]
    fn a_peer_that_floods_is_believed_as_far_as_one_may_tell() {
        let (mut talk, mut ear) = (talk(0, 0), Heard::default());
        let findings: Vec<_> = (0..50).map(|part| Finding { part, cache: mark("c1") }).collect();
        let told = Datagram { zone: 1, findings, ..Datagram::default() }.encode();
        (0..1000).for_each(|_| talk.heard(ms(100), 1, &told, &mut ear));
        assert_eq!((ear.0.len(), talk.dropped.flood), (BELIEVED_MOST, 50_000 - BELIEVED_MOST as u64));
        // Another peer is not made to pay for it, and it is heard again later.
        talk.heard(ms(100), 2, &told, &mut ear);
        talk.heard(ms(100) + PERIOD, 1, &told, &mut ear);
        assert_eq!(ear.0.len(), BELIEVED_MOST + 100);
    }

    #[test]
    fn of_caches_with_one_mark_nothing_is_told_or_believed() {
        let names: Vec<Id> = (0..600).map(|n| format!("cache-{n}").as_str().into()).collect();
        let mut seen = BTreeSet::new();
        let twin = names.iter().find(|name| !seen.insert(mark(name))).expect("600 names, 255 marks");
        let first = names.iter().find(|name| mark(name) == mark(twin)).expect("its twin");
        let (mut talk, mut ear) = (talk(0, 0), Heard::default());
        talk.caches([first.clone(), twin.clone()].iter());
        talk.found(1, twin);
        assert!(talk.queue.is_empty());
        let findings = vec![Finding { part: 3, cache: mark(twin) }];
        talk.heard(ms(1), 1, &Datagram { zone: 1, findings, ..Datagram::default() }.encode(), &mut ear);
        assert!(ear.0.is_empty());
    }

    #[test]
    fn alone_there_is_nobody_to_talk_to() {
        assert!(Talk::start(ms(0), About { routers_here: 1, ..about(0) }).is_none());
    }
}
