//! Words that all routers are to hear, or all of a zone, in bytes that do not grow with the fleet: an
//! epidemic (Demers and others, "Epidemic algorithms for replicated database maintenance", 1987). No I/O.
//!
//! A word has a topic (its kind, a part of it, its teller) and a version; of two of one topic the newer
//! stays. So it does not matter how often, how late or in what order words come, and nothing is counted
//! twice. A teller that starts anew has a higher incarnation; where its wall clock was set back between, it
//! is sent what is held of its earlier life, and goes above that (as members of SWIM refute: Das and others,
//! "SWIM", 2002). A word carries its age, which each router adds
//! to while it holds it, so no clocks are compared; past the span of its lane it is as if it had never been
//! told. A datagram's own time on the way is not in the age.
//!
//! Each period a router sends two datagrams to peers of its zone and one to any router of the fleet, with
//! what it has told least; a word is told on so many times as spreads it to all (log2 of the fleet, and a few
//! for loss) and no more. A word in a hurry is told on at once, within a bound a second. Of a part told from
//! one place only the freshest few tellers are kept: enough to outvote one that lies, and no table grows with
//! the fleet.
//!
//! Dangers answered: datagrams lost, doubled, late, turned round (versions, repeated telling); a teller
//! killed and started anew (incarnations); one that falls silent (ages); one that floods (bounds by lane and
//! place). Not answered: one router that speaks in another's name, since datagrams bear no signature yet;
//! the peers' addresses must be the operator's.

use crate::codec::MOST_BYTES;
use crate::talk::{Mouth, To};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Between two rounds of telling.
pub const PERIOD: Duration = Duration::from_millis(250);
/// Peers of the zone that are told something in each; beside them one of all routers.
const PEERS_TOLD: usize = 2;
/// Words in a hurry go in rounds so soon after one another, to so many peers and to as many of all routers;
/// and so many times a second at most.
const HURRY: Duration = Duration::from_millis(20);
const HURRY_TO: usize = 2;
const HURRY_ROUNDS: u32 = 2;
const HURRIES_MOST: u32 = 8;
/// A router goes so far above the incarnation of its start at most, in tenths of a second: a day. Who claims
/// more for it is not believed, and cannot push it to the greatest there is.
const INCARNATION_LEAD_MOST: u32 = 24 * 3600 * 10;
/// Tellers that are still to be sent a word of their own earlier lives; and so many of them a period.
const RETURNS_MOST: usize = 32;
const RETURNS_A_PERIOD: usize = 2;
/// Told on so many times more than log2 of the fleet: what loss of a third takes back.
const MORE: u32 = 8;
/// Words held in all, whatever the lanes allow; and peers that are chosen among.
const WORDS_MOST: usize = 8192;
const PEERS_MOST: usize = 1024;
/// Of a word's body.
pub const BODY_MOST: usize = 128;

const FORMAT: u8 = 0xC3;
const HEAD: usize = 4;
/// Kind, part, place, teller, incarnation, number, age, length.
const WORD_HEAD: usize = 16;
const URGENT: u8 = 0x80;
const AGE_UNIT_MS: u64 = 10;

/// What words of one kind are like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lane {
    /// From 1 to 127.
    pub kind: u8,
    /// Only for the routers of the teller's place.
    pub near: bool,
    /// Goes before all else in a datagram: what others act on together.
    pub first: bool,
    /// So many tellers are kept of each part and place.
    pub keep: usize,
    /// It is believed for so long.
    pub lasts: Duration,
}

/// Whose word, and on what.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Topic {
    pub kind: u8,
    pub part: u8,
    pub teller: u16,
}

/// Of two words on a topic the greater is the newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Version {
    pub incarnation: u32,
    pub number: u32,
}

/// A word as it is held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Word {
    /// The zone of its teller.
    pub place: u8,
    pub version: Version,
    pub body: Vec<u8>,
    /// When it was told, on this router's clock, as far as ages tell.
    pub told: Duration,
    urgent: bool,
    passed_on: u32,
}

/// A word on its way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Carried {
    pub topic: Topic,
    pub place: u8,
    pub version: Version,
    pub age: Duration,
    pub urgent: bool,
    pub body: Vec<u8>,
}

/// What is wrong with a datagram of words; of such a one nothing counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    Length,
    Value,
}

/// The datagram of these words; those past what fits are left out.
pub fn encode(place: u8, words: &[Carried]) -> Vec<u8> {
    let mut bytes = vec![FORMAT, 0, place, 0];
    for word in words {
        if bytes.len() + WORD_HEAD + word.body.len() > MOST_BYTES || word.body.len() > BODY_MOST {
            continue;
        }
        let urgent = if word.urgent { URGENT } else { 0 };
        bytes.extend([word.topic.kind | urgent, word.topic.part, word.place]);
        bytes.extend(word.topic.teller.to_be_bytes());
        bytes.extend(word.version.incarnation.to_be_bytes());
        bytes.extend(word.version.number.to_be_bytes());
        let age = (word.age.as_millis() as u64 / AGE_UNIT_MS).min(u64::from(u16::MAX)) as u16;
        bytes.extend(age.to_be_bytes());
        bytes.push(word.body.len() as u8);
        bytes.extend(&word.body);
        bytes[3] += 1;
    }
    bytes
}

/// The sender's place and its words; none where it is no datagram of words.
///
/// # Errors
/// Says what is wrong.
pub fn decode(bytes: &[u8]) -> Option<Result<(u8, Vec<Carried>), Fault>> {
    let [FORMAT, flags, place, count, rest @ ..] = bytes else {
        return None;
    };
    Some(read(*flags, *count, rest).map(|words| (*place, words)))
}

fn read(flags: u8, count: u8, mut rest: &[u8]) -> Result<Vec<Carried>, Fault> {
    if flags != 0 || rest.len() + HEAD > MOST_BYTES {
        return Err(if flags == 0 {
            Fault::Length
        } else {
            Fault::Value
        });
    }
    let mut words = Vec::new();
    for _ in 0..count {
        let (head, after) = rest.split_at_checked(WORD_HEAD).ok_or(Fault::Length)?;
        let length = usize::from(head[15]);
        let (body, after) = after.split_at_checked(length).ok_or(Fault::Length)?;
        let four =
            |at: usize| u32::from_be_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
        let two = |at: usize| u16::from_be_bytes([head[at], head[at + 1]]);
        let kind = head[0] & !URGENT;
        if kind == 0 || length > BODY_MOST {
            return Err(Fault::Value);
        }
        words.push(Carried {
            topic: Topic {
                kind,
                part: head[1],
                teller: two(3),
            },
            place: head[2],
            version: Version {
                incarnation: four(5),
                number: four(9),
            },
            age: Duration::from_millis(u64::from(two(13)) * AGE_UNIT_MS),
            urgent: head[0] & URGENT != 0,
            body: body.to_vec(),
        });
        rest = after;
    }
    if rest.is_empty() {
        Ok(words)
    } else {
        Err(Fault::Length)
    }
}

/// Where a router stands among all.
#[derive(Clone, Copy, Debug)]
pub struct Stand {
    pub number: u16,
    pub routers: usize,
    pub place: u8,
    /// Greater at each start of this router: the Unix time at the start in tenths of a second will do. Where
    /// the clock went back between, it is raised above that of the earlier life as soon as a word of that is
    /// heard: within three periods, where no datagram is lost. One that is further ahead than
    /// `INCARNATION_LEAD_MOST` is left to age away.
    pub incarnation: u32,
    pub seed: u64,
}

/// How often what came was dropped, and why.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Dropped {
    pub faulty: u64,
    /// From or of nobody that there is, or of no lane.
    pub strange: u64,
    /// Too old, or no newer than what is held.
    pub old: u64,
}

/// Rounds that are still to be told at once, from when, and whether anything of them is for other zones
/// too.
#[derive(Clone, Copy, Debug)]
struct Hurry {
    at: Duration,
    rounds: u32,
    far: bool,
}

pub struct Gossip {
    stand: Stand,
    /// Up to which incarnation this router raises its own.
    incarnation_most: u32,
    lanes: Vec<Lane>,
    words: BTreeMap<Topic, Word>,
    /// Routers of this place, by their own words, and when they last gave a sign of life.
    peers: BTreeMap<u16, Duration>,
    last: u32,
    next: Duration,
    /// Since when hurries are counted, how many there were; what is in a hurry now.
    hurries: (Duration, u32),
    hurry: Option<Hurry>,
    chance: fastrand::Rng,
    /// Topics that have a newer word since they were last asked for.
    news: BTreeSet<Topic>,
    /// Tellers that speak with a lower incarnation than they had, and a topic of which the earlier word is held.
    returns: BTreeMap<u16, Topic>,
    dropped: Dropped,
}

impl Gossip {
    /// None where there is nobody to talk to, or a number that does not fit.
    pub fn start(now: Duration, stand: Stand, lanes: &[Lane]) -> Option<Gossip> {
        let fits = stand.routers > 1 && stand.routers <= usize::from(u16::MAX);
        let mut chance = fastrand::Rng::with_seed(stand.seed ^ 0x7e11);
        let next = now + PERIOD.mul_f64(chance.f64());
        (fits && usize::from(stand.number) < stand.routers).then(|| Gossip {
            stand,
            incarnation_most: stand.incarnation.saturating_add(INCARNATION_LEAD_MOST),
            lanes: lanes.to_vec(),
            words: BTreeMap::new(),
            peers: BTreeMap::new(),
            last: 0,
            next,
            hurries: (now, 0),
            hurry: None,
            chance,
            news: BTreeSet::new(),
            returns: BTreeMap::new(),
            dropped: Dropped::default(),
        })
    }

    fn lane(&self, kind: u8) -> Option<Lane> {
        self.lanes.iter().find(|lane| lane.kind == kind).copied()
    }

    /// An own word, in place of the last one on this. Too long a body is not told at all.
    pub fn say(&mut self, now: Duration, kind: u8, part: u8, body: Vec<u8>, urgent: bool) {
        if body.len() > BODY_MOST || self.lane(kind).is_none() {
            return;
        }
        self.last += 1;
        let version = Version {
            incarnation: self.stand.incarnation,
            number: self.last,
        };
        let topic = Topic {
            kind,
            part,
            teller: self.stand.number,
        };
        let place = self.stand.place;
        self.words.insert(
            topic,
            Word {
                place,
                version,
                body,
                told: now,
                urgent,
                passed_on: 0,
            },
        );
        if urgent {
            self.hurry_up(now, kind);
        }
    }

    fn hurry_up(&mut self, now: Duration, kind: u8) {
        let far = self.lane(kind).is_some_and(|lane| !lane.near);
        if let Some(hurry) = &mut self.hurry {
            (hurry.rounds, hurry.far) = (HURRY_ROUNDS, hurry.far || far);
            return;
        }
        if now >= self.hurries.0 + Duration::from_secs(1) {
            self.hurries = (now, 0);
        }
        // Past the bound it goes with the next period: a fault that comes and goes must not make a storm.
        if self.hurries.1 < HURRIES_MOST {
            self.hurries.1 += 1;
            let at = now + HURRY.mul_f64(self.chance.f64());
            self.hurry = Some(Hurry {
                at,
                rounds: HURRY_ROUNDS,
                far,
            });
        }
    }

    /// When [`Gossip::tick`] has something to do.
    pub fn next(&self) -> Duration {
        self.hurry
            .map_or(self.next, |hurry| hurry.at.min(self.next))
    }

    /// A router that is known to be of this place by other ways, and was alive then.
    pub fn peer(&mut self, number: u16, alive: Duration) {
        if number != self.stand.number
            && (self.peers.len() < PEERS_MOST || self.peers.contains_key(&number))
        {
            let known = self.peers.entry(number).or_default();
            *known = alive.max(*known);
        }
    }

    /// The peers that gave a sign of life within this span, in order.
    pub fn peers(&self, now: Duration, within: Duration) -> impl Iterator<Item = u16> {
        self.peers
            .iter()
            .filter(move |(_, alive)| now <= **alive + within)
            .map(|(number, _)| *number)
    }

    pub fn dropped(&self) -> Dropped {
        self.dropped
    }

    /// Those of which a newer word came, or an own one was told, since this was last asked.
    pub fn news(&mut self) -> Vec<Topic> {
        std::mem::take(&mut self.news).into_iter().collect()
    }

    pub fn word(&self, now: Duration, topic: &Topic) -> Option<&Word> {
        let word = self.words.get(topic)?;
        self.lane(topic.kind)
            .filter(|lane| now < word.told + lane.lasts)
            .map(|_| word)
    }

    /// All words of a kind that are not past their age, with their topics, in order.
    pub fn words(&self, now: Duration, kind: u8) -> impl Iterator<Item = (Topic, &Word)> {
        let lasts = self.lane(kind).map_or(Duration::ZERO, |lane| lane.lasts);
        let from = Topic {
            kind,
            part: 0,
            teller: 0,
        };
        let to = Topic {
            kind,
            part: u8::MAX,
            teller: u16::MAX,
        };
        let all = self
            .words
            .range(from..=to)
            .map(|(topic, word)| (*topic, word));
        all.filter(move |(_, word)| now < word.told + lasts)
    }

    /// How often a word is told on.
    fn enough(&self) -> u32 {
        usize::BITS - self.stand.routers.leading_zeros() + MORE
    }

    /// Tells on what was told least.
    pub fn tick(&mut self, now: Duration, mouth: &mut dyn Mouth) {
        if let Some(hurry) = self.hurry.filter(|hurry| now >= hurry.at) {
            let rounds = hurry.rounds - 1;
            self.hurry = (rounds > 0).then_some(Hurry {
                at: now + HURRY,
                rounds,
                ..hurry
            });
            for _ in 0..HURRY_TO {
                if hurry.far {
                    let to = self.any();
                    self.tell(now, to, true, mouth);
                }
                if let Some(peer) = self.any_peer() {
                    self.tell(now, peer, true, mouth);
                }
            }
        }
        if now < self.next {
            return;
        }
        // After a pause no periods are made up for.
        self.next = now + PERIOD;
        self.forget(now);
        for _ in 0..PEERS_TOLD {
            if let Some(peer) = self.any_peer() {
                self.tell(now, peer, false, mouth);
            }
        }
        let to = self.any();
        self.tell(now, to, false, mouth);
        for _ in 0..RETURNS_A_PERIOD {
            self.return_earlier_word(now, mouth);
        }
    }

    /// Sends a teller a word of its own earlier life, for it to go above that.
    fn return_earlier_word(&mut self, now: Duration, mouth: &mut dyn Mouth) {
        let Some((teller, topic)) = self.returns.pop_first() else {
            return;
        };
        let Some(word) = self.word(now, &topic) else {
            return;
        };
        let carried = Carried {
            topic,
            place: word.place,
            version: word.version,
            age: now.saturating_sub(word.told),
            urgent: false,
            body: word.body.clone(),
        };
        mouth.say(
            To::One(u64::from(teller)),
            &encode(self.stand.place, &[carried]),
        );
    }

    fn any(&mut self) -> u16 {
        let drawn = self.chance.usize(..self.stand.routers - 1) as u16;
        drawn + u16::from(drawn >= self.stand.number)
    }

    fn any_peer(&mut self) -> Option<u16> {
        let count = self.peers.len();
        let at = (count > 0).then(|| self.chance.usize(..count))?;
        self.peers.keys().nth(at).copied()
    }

    fn forget(&mut self, now: Duration) {
        let lanes = &self.lanes;
        let lasts = |kind: u8| {
            lanes
                .iter()
                .find(|lane| lane.kind == kind)
                .map_or(Duration::ZERO, |l| l.lasts)
        };
        self.words
            .retain(|topic, word| now < word.told + lasts(topic.kind));
    }

    /// One datagram, to a router of this place or not.
    fn tell(&mut self, now: Duration, to: u16, urgent: bool, mouth: &mut dyn Mouth) {
        let (near, enough) = (self.peers.contains_key(&to), self.enough());
        let lanes = &self.lanes;
        let lane = |kind: u8| lanes.iter().find(|lane| lane.kind == kind);
        let chance = &mut self.chance;
        // What was told least goes first, but by chance too: by age alone the youngest would fill every
        // datagram, and what has come over two routers would never get to a third.
        let mut fit: Vec<(f64, Topic, &mut Word)> = self
            .words
            .iter_mut()
            .filter(|(topic, word)| {
                lane(topic.kind)
                    .is_some_and(|lane| (near || !lane.near) && now < word.told + lane.lasts)
                    && word.passed_on < enough
                    && topic.teller != to
                    && (!urgent || word.urgent)
            })
            .map(|(topic, word)| {
                let first = if lane(topic.kind).is_some_and(|lane| lane.first) {
                    -1e3
                } else {
                    0.0
                };
                (
                    first + f64::from(word.passed_on) + 2.0 * chance.f64(),
                    *topic,
                    word,
                )
            })
            .collect();
        if fit.is_empty() {
            return;
        }
        fit.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (mut words, mut room) = (Vec::new(), MOST_BYTES - HEAD);
        for (_, topic, word) in fit {
            let needs = WORD_HEAD + word.body.len();
            if needs > room {
                continue;
            }
            room -= needs;
            word.passed_on += 1;
            words.push(Carried {
                topic,
                place: word.place,
                version: word.version,
                age: now.saturating_sub(word.told),
                urgent: word.urgent,
                body: word.body.clone(),
            });
        }
        mouth.say(To::One(u64::from(to)), &encode(self.stand.place, &words));
    }

    /// A datagram has come from the router of this number; false: it is none of words.
    pub fn heard(&mut self, now: Duration, from: u64, bytes: &[u8]) -> bool {
        let Some(read) = decode(bytes) else {
            return false;
        };
        let Ok((place, words)) = read else {
            self.dropped.faulty += 1;
            return true;
        };
        let there_is = from < self.stand.routers as u64 && from != u64::from(self.stand.number);
        if !there_is {
            self.dropped.strange += 1;
            return true;
        }
        if place == self.stand.place {
            self.peer(from as u16, now);
        } else {
            self.peers.remove(&(from as u16));
        }
        for word in words {
            self.take(now, from, word);
        }
        true
    }

    fn take(&mut self, now: Duration, from: u64, carried: Carried) {
        let Carried {
            topic,
            place,
            version,
            age,
            urgent,
            body,
        } = carried;
        if topic.teller == self.stand.number {
            return self.refute(version);
        }
        let lane = self
            .lane(topic.kind)
            .filter(|lane| !lane.near || place == self.stand.place);
        let (Some(lane), true) = (lane, usize::from(topic.teller) < self.stand.routers) else {
            self.dropped.strange += 1;
            return;
        };
        let known = self
            .words
            .get(&topic)
            .filter(|word| now < word.told + lane.lasts);
        if age >= lane.lasts || known.is_some_and(|word| word.version >= version) {
            self.dropped.old += 1;
            // Others may still pass on what was told by an earlier life; the teller itself speaks as it is now.
            let lower = known.is_some_and(|word| word.version.incarnation > version.incarnation);
            let restarted = lower && from == u64::from(topic.teller);
            let has_place =
                self.returns.len() < RETURNS_MOST || self.returns.contains_key(&topic.teller);
            if restarted && has_place {
                self.returns.insert(topic.teller, topic);
            }
            return;
        }
        let told = now.saturating_sub(age);
        let (fresh, new) = (known.is_none_or(|word| word.body != body), known.is_none());
        if place == self.stand.place {
            self.peer(topic.teller, told);
        }
        if new && !self.room(&topic, place, told, lane) {
            return;
        }
        self.words.insert(
            topic,
            Word {
                place,
                version,
                body,
                told,
                urgent,
                passed_on: 0,
            },
        );
        self.news.insert(topic);
        // Only what says something new is worth a hurry: the same again goes its usual way.
        if urgent && fresh {
            self.hurry_up(now, topic.kind);
        }
    }

    /// A word in this router's own name: where it is newer than what this life has told it is of an earlier
    /// one, whose clock was ahead. This life goes above it, and all its words with it.
    fn refute(&mut self, heard: Version) {
        let told = Version {
            incarnation: self.stand.incarnation,
            number: self.last,
        };
        if heard <= told || heard.incarnation >= self.incarnation_most {
            self.dropped.old += u64::from(heard > told);
            return;
        }
        self.stand.incarnation = heard.incarnation + 1;
        let (number, last) = (self.stand.number, &mut self.last);
        for (_, word) in self
            .words
            .iter_mut()
            .filter(|(topic, _)| topic.teller == number)
        {
            *last += 1;
            word.version = Version {
                incarnation: self.stand.incarnation,
                number: *last,
            };
            word.passed_on = 0;
        }
    }

    /// Whether one more teller of this part and place is kept; it may push out the one that was heard longest
    /// ago.
    fn room(&mut self, topic: &Topic, place: u8, told: Duration, lane: Lane) -> bool {
        let from = Topic {
            teller: 0,
            ..*topic
        };
        let same = self.words.range(
            from..=Topic {
                teller: u16::MAX,
                ..*topic
            },
        );
        let of_place =
            same.filter(|(t, word)| word.place == place && t.teller != self.stand.number);
        let (count, oldest) = of_place.fold(
            (0, None::<(Duration, Topic)>),
            |(count, oldest), (t, word)| {
                let this = (word.told, *t);
                (count + 1, Some(oldest.map_or(this, |o| o.min(this))))
            },
        );
        match oldest {
            Some((at, _)) if count >= lane.keep && at >= told => false,
            Some((_, gone)) if count >= lane.keep => {
                self.words.remove(&gone);
                true
            }
            _ => self.words.len() < WORDS_MOST,
        }
    }
}

#[cfg(test)]
mod tests;
