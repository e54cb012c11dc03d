//! Dissemination of messages to all routers, or to all of a zone, with traffic per router that does
//! not grow with the fleet: an epidemic protocol (Demers and others, "Epidemic algorithms for
//! replicated database maintenance", 1987). No I/O.
//!
//! A message has a topic (its kind, a key within the kind, its publisher) and a version; of two
//! messages on one topic the newer is kept. Hence it does not matter how often, how late or in what
//! order messages arrive, and nothing is counted twice. A publisher that restarts has a higher
//! incarnation. If its wall clock was set back in between, it is sent a message of its earlier
//! incarnation that is still held, and raises its own above that (as members refute suspicions in
//! SWIM: Das and others, "SWIM", 2002). A message carries its age, to which each router adds the
//! time that it held the message, so clocks are never compared; past the lifetime of its kind it
//! counts as never published. The time that a datagram is under way is not part of the age.
//!
//! Each round a router sends two datagrams to peers of its zone and one to any router of the fleet,
//! with the messages that it has sent least often. A message is sent as many times as spread it to
//! all (log2 of the fleet, and a few more for loss) and then no more. An urgent message is sent at
//! once, within a limit per second. Of the messages of one kind and key from one zone only those of
//! the freshest few publishers are kept: enough to outvote one that publishes false values, and no
//! table grows with the fleet.
//!
//! Failures handled: datagrams lost, duplicated, late or reordered (versions, repeated sending); a
//! publisher killed and restarted (incarnations); one that falls silent (ages); one that floods
//! (limits by kind and zone). Not handled: a router that publishes in another's name, since
//! datagrams are not signed yet. The peers' addresses must be configured by the operator.

use crate::codec::MAX_DATAGRAM_BYTES;
use crate::peer_exchange::{DatagramSender, Destination};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time between two rounds.
pub const ROUND_INTERVAL: Duration = Duration::from_millis(250);
/// Peers of the zone that are sent to in each round, besides one of all routers.
const ZONE_FANOUT: usize = 2;
/// Time between two rounds of an urgent burst.
const URGENT_ROUND_INTERVAL: Duration = Duration::from_millis(20);
/// Peers, and as many of all routers, that are sent to in a round of an urgent burst.
const URGENT_FANOUT: usize = 2;
/// Rounds of an urgent burst.
const URGENT_ROUNDS: u32 = 2;
const MAX_URGENT_BURSTS_PER_SECOND: u32 = 8;
/// Upper bound on how far a router raises its incarnation above that of its start, in tenths of a
/// second: a day. A message that claims more in its name is ignored, so it cannot be pushed to the
/// largest value.
const MAX_INCARNATION_LEAD: u32 = 24 * 3600 * 10;
/// Publishers that are still to be sent a message of their own earlier incarnations.
const MAX_PENDING_RETURNS: usize = 32;
/// Number of them that are sent per round.
const RETURNS_PER_ROUND: usize = 2;
/// Transmissions of a message beyond log2 of the fleet: they compensate a loss of a third.
const EXTRA_TRANSMISSIONS: u32 = 8;
/// Messages held in total, whatever the limits by kind allow.
const MAX_MESSAGES: usize = 8192;
/// Peers that are chosen among.
const MAX_PEERS: usize = 1024;
/// Largest payload of a message.
pub const MAX_PAYLOAD_BYTES: usize = 128;

const FORMAT: u8 = 0xC3;
const HEADER_BYTES: usize = 4;
/// Kind, key, zone, publisher, incarnation, sequence, age, length.
const MESSAGE_HEADER_BYTES: usize = 16;
const URGENT_FLAG: u8 = 0x80;
const AGE_UNIT_MS: u64 = 10;

/// How messages of one kind are disseminated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KindPolicy {
    /// From 1 to 127.
    pub kind: u8,
    /// Sent only to routers of the publisher's zone.
    pub zone_only: bool,
    /// Packed into a datagram before other kinds: messages on which routers act together.
    pub has_priority: bool,
    /// Publishers that are kept for each key and zone.
    pub max_publishers: usize,
    /// Time after publication for which a message is valid.
    pub lifetime: Duration,
}

/// Identifies a message: a newer one replaces an older one on the same topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Topic {
    pub kind: u8,
    pub key: u8,
    pub publisher: u16,
}

/// Of two messages on a topic the one with the greater version is newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Version {
    pub incarnation: u32,
    pub sequence: u32,
}

/// A message as it is held.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredMessage {
    /// The zone of its publisher.
    pub zone: u8,
    pub version: Version,
    pub payload: Vec<u8>,
    /// Time of publication by this router's clock, as derived from the message's age.
    pub published_at: Duration,
    urgent: bool,
    /// How many times this router has sent it.
    transmissions: u32,
}

/// A message in a datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    pub topic: Topic,
    pub zone: u8,
    pub version: Version,
    pub age: Duration,
    pub urgent: bool,
    pub payload: Vec<u8>,
}

/// The reason why a datagram was rejected; none of its messages is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    Length,
    Value,
}

/// Encodes as many of the messages as fit, in their order.
pub fn encode(zone: u8, messages: &[Message]) -> Vec<u8> {
    let mut bytes = vec![FORMAT, 0, zone, 0];
    for message in messages {
        if bytes.len() + MESSAGE_HEADER_BYTES + message.payload.len() > MAX_DATAGRAM_BYTES
            || message.payload.len() > MAX_PAYLOAD_BYTES
        {
            continue;
        }
        let urgent = if message.urgent { URGENT_FLAG } else { 0 };
        bytes.extend([message.topic.kind | urgent, message.topic.key, message.zone]);
        bytes.extend(message.topic.publisher.to_be_bytes());
        bytes.extend(message.version.incarnation.to_be_bytes());
        bytes.extend(message.version.sequence.to_be_bytes());
        let age = (message.age.as_millis() as u64 / AGE_UNIT_MS).min(u64::from(u16::MAX)) as u16;
        bytes.extend(age.to_be_bytes());
        bytes.push(message.payload.len() as u8);
        bytes.extend(&message.payload);
        bytes[3] += 1;
    }
    bytes
}

/// The sender's zone and its messages; `None` if it is not a datagram of messages.
///
/// # Errors
///
/// Returns the reason if the datagram is malformed; it is then rejected as a whole.
pub fn decode(bytes: &[u8]) -> Option<Result<(u8, Vec<Message>), DecodeError>> {
    let [FORMAT, flags, zone, count, rest @ ..] = bytes else {
        return None;
    };
    Some(decode_messages(*flags, *count, rest).map(|messages| (*zone, messages)))
}

fn decode_messages(flags: u8, count: u8, mut rest: &[u8]) -> Result<Vec<Message>, DecodeError> {
    if flags != 0 || rest.len() + HEADER_BYTES > MAX_DATAGRAM_BYTES {
        return Err(if flags == 0 {
            DecodeError::Length
        } else {
            DecodeError::Value
        });
    }
    let mut messages = Vec::new();
    for _ in 0..count {
        let (head, after) = rest
            .split_at_checked(MESSAGE_HEADER_BYTES)
            .ok_or(DecodeError::Length)?;
        let length = usize::from(head[15]);
        let (payload, after) = after.split_at_checked(length).ok_or(DecodeError::Length)?;
        let u32_at =
            |at: usize| u32::from_be_bytes([head[at], head[at + 1], head[at + 2], head[at + 3]]);
        let u16_at = |at: usize| u16::from_be_bytes([head[at], head[at + 1]]);
        let kind = head[0] & !URGENT_FLAG;
        if kind == 0 || length > MAX_PAYLOAD_BYTES {
            return Err(DecodeError::Value);
        }
        messages.push(Message {
            topic: Topic {
                kind,
                key: head[1],
                publisher: u16_at(3),
            },
            zone: head[2],
            version: Version {
                incarnation: u32_at(5),
                sequence: u32_at(9),
            },
            age: Duration::from_millis(u64::from(u16_at(13)) * AGE_UNIT_MS),
            urgent: head[0] & URGENT_FLAG != 0,
            payload: payload.to_vec(),
        });
        rest = after;
    }
    if rest.is_empty() {
        Ok(messages)
    } else {
        Err(DecodeError::Length)
    }
}

/// Identity of a router within the fleet.
#[derive(Clone, Copy, Debug)]
pub struct RouterIdentity {
    pub number: u16,
    pub routers: usize,
    pub zone: u8,
    /// Greater at each start of this router: the Unix time of the start in tenths of a second is
    /// suitable. If the clock was set back in between, the incarnation is raised above the earlier
    /// one as soon as a message of that one is received: within three rounds, if no datagram is
    /// lost. An earlier incarnation that is ahead by more than `MAX_INCARNATION_LEAD` is left to
    /// expire.
    pub incarnation: u32,
    pub seed: u64,
}

/// Counts of dropped input, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Dropped {
    /// Malformed datagrams.
    pub malformed: u64,
    /// Messages received from or published by an unknown router, or of an unknown kind.
    pub unknown: u64,
    /// Messages that are expired, or no newer than what is held.
    pub stale: u64,
}

/// Rounds that are sent outside the regular interval, for urgent messages.
#[derive(Clone, Copy, Debug)]
struct UrgentBurst {
    next_round_at: Duration,
    rounds_left: u32,
    /// Whether some of the urgent messages are for other zones too.
    fleet_wide: bool,
}

/// The messages that one router holds, and what it has to send.
pub struct Gossip {
    identity: RouterIdentity,
    /// Upper bound for this router's own incarnation.
    max_incarnation: u32,
    policies: Vec<KindPolicy>,
    messages: BTreeMap<Topic, StoredMessage>,
    /// Routers of this zone by their own reports, with the time at which each was last alive.
    peers: BTreeMap<u16, Duration>,
    /// Sequence number of this router's last message.
    last_sequence: u32,
    next_round_at: Duration,
    /// Start of the current window of one second, and the bursts in it.
    bursts_in_window: (Duration, u32),
    urgent_burst: Option<UrgentBurst>,
    rng: fastrand::Rng,
    /// Topics with a newer message since the last call of [`Gossip::take_updated_topics`].
    updated_topics: BTreeSet<Topic>,
    /// Publishers that use a lower incarnation than before, each with a topic of which the earlier
    /// message is held.
    pending_returns: BTreeMap<u16, Topic>,
    dropped: Dropped,
}

impl Gossip {
    /// Returns `None` if there are no other routers, or a number is out of range.
    pub fn start(
        now: Duration,
        identity: RouterIdentity,
        policies: &[KindPolicy],
    ) -> Option<Gossip> {
        let is_valid = identity.routers > 1 && identity.routers <= usize::from(u16::MAX);
        let mut rng = fastrand::Rng::with_seed(identity.seed ^ 0x7e11);
        let next_round_at = now + ROUND_INTERVAL.mul_f64(rng.f64());
        (is_valid && usize::from(identity.number) < identity.routers).then(|| Gossip {
            identity,
            max_incarnation: identity.incarnation.saturating_add(MAX_INCARNATION_LEAD),
            policies: policies.to_vec(),
            messages: BTreeMap::new(),
            peers: BTreeMap::new(),
            last_sequence: 0,
            next_round_at,
            bursts_in_window: (now, 0),
            urgent_burst: None,
            rng,
            updated_topics: BTreeSet::new(),
            pending_returns: BTreeMap::new(),
            dropped: Dropped::default(),
        })
    }

    fn policy(&self, kind: u8) -> Option<KindPolicy> {
        self.policies
            .iter()
            .find(|policy| policy.kind == kind)
            .copied()
    }

    /// Publishes a message of this router, in place of its last one on the topic. One with too long
    /// a payload is not published at all.
    pub fn publish(&mut self, now: Duration, kind: u8, key: u8, payload: Vec<u8>, urgent: bool) {
        if payload.len() > MAX_PAYLOAD_BYTES || self.policy(kind).is_none() {
            return;
        }
        self.last_sequence += 1;
        let version = Version {
            incarnation: self.identity.incarnation,
            sequence: self.last_sequence,
        };
        let topic = Topic {
            kind,
            key,
            publisher: self.identity.number,
        };
        let zone = self.identity.zone;
        self.messages.insert(
            topic,
            StoredMessage {
                zone,
                version,
                payload,
                published_at: now,
                urgent,
                transmissions: 0,
            },
        );
        if urgent {
            self.schedule_urgent_burst(now, kind);
        }
    }

    fn schedule_urgent_burst(&mut self, now: Duration, kind: u8) {
        let fleet_wide = self.policy(kind).is_some_and(|policy| !policy.zone_only);
        if let Some(burst) = &mut self.urgent_burst {
            (burst.rounds_left, burst.fleet_wide) = (URGENT_ROUNDS, burst.fleet_wide || fleet_wide);
            return;
        }
        if now >= self.bursts_in_window.0 + Duration::from_secs(1) {
            self.bursts_in_window = (now, 0);
        }
        // Beyond the limit a message waits for the regular round: a flapping fault must not cause a
        // storm.
        if self.bursts_in_window.1 < MAX_URGENT_BURSTS_PER_SECOND {
            self.bursts_in_window.1 += 1;
            let next_round_at = now + URGENT_ROUND_INTERVAL.mul_f64(self.rng.f64());
            self.urgent_burst = Some(UrgentBurst {
                next_round_at,
                rounds_left: URGENT_ROUNDS,
                fleet_wide,
            });
        }
    }

    /// When [`Gossip::tick`] is due.
    pub fn next_tick(&self) -> Duration {
        self.urgent_burst.map_or(self.next_round_at, |burst| {
            burst.next_round_at.min(self.next_round_at)
        })
    }

    /// Records a router that is known by other means to be of this zone, and to have been alive at
    /// that time.
    pub fn record_peer(&mut self, number: u16, alive_at: Duration) {
        if number != self.identity.number
            && (self.peers.len() < MAX_PEERS || self.peers.contains_key(&number))
        {
            let known = self.peers.entry(number).or_default();
            *known = alive_at.max(*known);
        }
    }

    /// The peers that were alive within `timeout`, by number.
    pub fn live_peers(&self, now: Duration, timeout: Duration) -> impl Iterator<Item = u16> {
        self.peers
            .iter()
            .filter(move |(_, alive_at)| now <= **alive_at + timeout)
            .map(|(number, _)| *number)
    }

    /// Counts of dropped input since the start.
    pub fn dropped(&self) -> Dropped {
        self.dropped
    }

    /// The topics on which a newer message was received since the last call.
    pub fn take_updated_topics(&mut self) -> Vec<Topic> {
        std::mem::take(&mut self.updated_topics)
            .into_iter()
            .collect()
    }

    /// The unexpired message on a topic.
    pub fn message(&self, now: Duration, topic: &Topic) -> Option<&StoredMessage> {
        let message = self.messages.get(topic)?;
        self.policy(topic.kind)
            .filter(|policy| now < message.published_at + policy.lifetime)
            .map(|_| message)
    }

    /// All unexpired messages of a kind with their topics, in the order of topics.
    pub fn messages(
        &self,
        now: Duration,
        kind: u8,
    ) -> impl Iterator<Item = (Topic, &StoredMessage)> {
        let lifetime = self
            .policy(kind)
            .map_or(Duration::ZERO, |policy| policy.lifetime);
        let from = Topic {
            kind,
            key: 0,
            publisher: 0,
        };
        let to = Topic {
            kind,
            key: u8::MAX,
            publisher: u16::MAX,
        };
        let all = self
            .messages
            .range(from..=to)
            .map(|(topic, message)| (*topic, message));
        all.filter(move |(_, message)| now < message.published_at + lifetime)
    }

    /// How many times a message is sent.
    fn max_transmissions(&self) -> u32 {
        usize::BITS - self.identity.routers.leading_zeros() + EXTRA_TRANSMISSIONS
    }

    /// Sends what is due, the messages with the fewest transmissions first.
    pub fn tick(&mut self, now: Duration, sender: &mut dyn DatagramSender) {
        if let Some(burst) = self.urgent_burst.filter(|burst| now >= burst.next_round_at) {
            let rounds_left = burst.rounds_left - 1;
            self.urgent_burst = (rounds_left > 0).then_some(UrgentBurst {
                next_round_at: now + URGENT_ROUND_INTERVAL,
                rounds_left,
                ..burst
            });
            for _ in 0..URGENT_FANOUT {
                if burst.fleet_wide {
                    let to = self.random_router();
                    self.send(now, to, true, sender);
                }
                if let Some(peer) = self.random_peer() {
                    self.send(now, peer, true, sender);
                }
            }
        }
        if now < self.next_round_at {
            return;
        }
        // Rounds missed during a pause are not made up for.
        self.next_round_at = now + ROUND_INTERVAL;
        self.expire(now);
        for _ in 0..ZONE_FANOUT {
            if let Some(peer) = self.random_peer() {
                self.send(now, peer, false, sender);
            }
        }
        let to = self.random_router();
        self.send(now, to, false, sender);
        for _ in 0..RETURNS_PER_ROUND {
            self.return_earlier_message(now, sender);
        }
    }

    /// Sends a publisher a message of its own earlier incarnation, so that it raises its own above
    /// that.
    fn return_earlier_message(&mut self, now: Duration, sender: &mut dyn DatagramSender) {
        let Some((publisher, topic)) = self.pending_returns.pop_first() else {
            return;
        };
        let Some(message) = self.message(now, &topic) else {
            return;
        };
        let outgoing = Message {
            topic,
            zone: message.zone,
            version: message.version,
            age: now.saturating_sub(message.published_at),
            urgent: false,
            payload: message.payload.clone(),
        };
        sender.send(
            Destination::One(u64::from(publisher)),
            &encode(self.identity.zone, &[outgoing]),
        );
    }

    fn random_router(&mut self) -> u16 {
        let drawn = self.rng.usize(..self.identity.routers - 1) as u16;
        drawn + u16::from(drawn >= self.identity.number)
    }

    fn random_peer(&mut self) -> Option<u16> {
        let count = self.peers.len();
        let index = (count > 0).then(|| self.rng.usize(..count))?;
        self.peers.keys().nth(index).copied()
    }

    fn expire(&mut self, now: Duration) {
        let policies = &self.policies;
        let lifetime = |kind: u8| {
            policies
                .iter()
                .find(|policy| policy.kind == kind)
                .map_or(Duration::ZERO, |policy| policy.lifetime)
        };
        self.messages
            .retain(|topic, message| now < message.published_at + lifetime(topic.kind));
    }

    /// Sends one datagram, to a router of this zone or of another.
    fn send(&mut self, now: Duration, to: u16, urgent: bool, sender: &mut dyn DatagramSender) {
        let (in_zone, max_transmissions) = (self.peers.contains_key(&to), self.max_transmissions());
        let policies = &self.policies;
        let policy = |kind: u8| policies.iter().find(|policy| policy.kind == kind);
        let rng = &mut self.rng;
        // Messages with the fewest transmissions go first, with some randomness: strictly by count
        // the youngest would fill every datagram, and what has come over two routers would never
        // reach a third.
        let mut candidates: Vec<(f64, Topic, &mut StoredMessage)> = self
            .messages
            .iter_mut()
            .filter(|(topic, message)| {
                policy(topic.kind).is_some_and(|policy| {
                    (in_zone || !policy.zone_only) && now < message.published_at + policy.lifetime
                }) && message.transmissions < max_transmissions
                    && topic.publisher != to
                    && (!urgent || message.urgent)
            })
            .map(|(topic, message)| {
                let first = if policy(topic.kind).is_some_and(|policy| policy.has_priority) {
                    -1e3
                } else {
                    0.0
                };
                (
                    first + f64::from(message.transmissions) + 2.0 * rng.f64(),
                    *topic,
                    message,
                )
            })
            .collect();
        if candidates.is_empty() {
            return;
        }
        candidates.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (mut messages, mut free_bytes) = (Vec::new(), MAX_DATAGRAM_BYTES - HEADER_BYTES);
        for (_, topic, message) in candidates {
            let size = MESSAGE_HEADER_BYTES + message.payload.len();
            if size > free_bytes {
                continue;
            }
            free_bytes -= size;
            message.transmissions += 1;
            messages.push(Message {
                topic,
                zone: message.zone,
                version: message.version,
                age: now.saturating_sub(message.published_at),
                urgent: message.urgent,
                payload: message.payload.clone(),
            });
        }
        sender.send(
            Destination::One(u64::from(to)),
            &encode(self.identity.zone, &messages),
        );
    }

    /// Receives a datagram from the router with this number. Returns false if it is not a
    /// datagram of messages.
    pub fn receive(&mut self, now: Duration, from: u64, bytes: &[u8]) -> bool {
        let Some(decoded) = decode(bytes) else {
            return false;
        };
        let Ok((zone, messages)) = decoded else {
            self.dropped.malformed += 1;
            return true;
        };
        let is_known_router =
            from < self.identity.routers as u64 && from != u64::from(self.identity.number);
        if !is_known_router {
            self.dropped.unknown += 1;
            return true;
        }
        if zone == self.identity.zone {
            self.record_peer(from as u16, now);
        } else {
            self.peers.remove(&(from as u16));
        }
        for message in messages {
            self.accept(now, from, message);
        }
        true
    }

    fn accept(&mut self, now: Duration, from: u64, received: Message) {
        let Message {
            topic,
            zone,
            version,
            age,
            urgent,
            payload,
        } = received;
        if topic.publisher == self.identity.number {
            return self.refute(version);
        }
        let policy = self
            .policy(topic.kind)
            .filter(|policy| !policy.zone_only || zone == self.identity.zone);
        let (Some(policy), true) = (policy, usize::from(topic.publisher) < self.identity.routers)
        else {
            self.dropped.unknown += 1;
            return;
        };
        let known = self
            .messages
            .get(&topic)
            .filter(|message| now < message.published_at + policy.lifetime);
        if age >= policy.lifetime || known.is_some_and(|message| message.version >= version) {
            self.dropped.stale += 1;
            // Other routers may still relay messages of an earlier incarnation; the publisher
            // itself sends its current ones.
            let is_lower =
                known.is_some_and(|message| message.version.incarnation > version.incarnation);
            let has_restarted = is_lower && from == u64::from(topic.publisher);
            let has_capacity = self.pending_returns.len() < MAX_PENDING_RETURNS
                || self.pending_returns.contains_key(&topic.publisher);
            if has_restarted && has_capacity {
                self.pending_returns.insert(topic.publisher, topic);
            }
            return;
        }
        let published_at = now.saturating_sub(age);
        let (is_changed, is_new) = (
            known.is_none_or(|message| message.payload != payload),
            known.is_none(),
        );
        if zone == self.identity.zone {
            self.record_peer(topic.publisher, published_at);
        }
        if is_new && !self.admit_publisher(&topic, zone, published_at, policy) {
            return;
        }
        self.messages.insert(
            topic,
            StoredMessage {
                zone,
                version,
                payload,
                published_at,
                urgent,
                transmissions: 0,
            },
        );
        self.updated_topics.insert(topic);
        // Only new content is urgent: a repetition waits for the regular round.
        if urgent && is_changed {
            self.schedule_urgent_burst(now, topic.kind);
        }
    }

    /// Handles a received message in this router's own name. If it is newer than what this
    /// incarnation has published, it stems from an earlier incarnation whose clock was ahead: this
    /// router raises its incarnation above that one, along with all messages of its own.
    fn refute(&mut self, claimed: Version) {
        let published = Version {
            incarnation: self.identity.incarnation,
            sequence: self.last_sequence,
        };
        if claimed <= published || claimed.incarnation >= self.max_incarnation {
            self.dropped.stale += u64::from(claimed > published);
            return;
        }
        self.identity.incarnation = claimed.incarnation + 1;
        let (number, last_sequence) = (self.identity.number, &mut self.last_sequence);
        for (_, message) in self
            .messages
            .iter_mut()
            .filter(|(topic, _)| topic.publisher == number)
        {
            *last_sequence += 1;
            message.version = Version {
                incarnation: self.identity.incarnation,
                sequence: *last_sequence,
            };
            message.transmissions = 0;
        }
    }

    /// Whether one more publisher of this key and zone is kept; it may evict the one whose message
    /// is the oldest.
    fn admit_publisher(
        &mut self,
        topic: &Topic,
        zone: u8,
        published_at: Duration,
        policy: KindPolicy,
    ) -> bool {
        let from = Topic {
            publisher: 0,
            ..*topic
        };
        let same = self.messages.range(
            from..=Topic {
                publisher: u16::MAX,
                ..*topic
            },
        );
        let of_zone =
            same.filter(|(t, message)| message.zone == zone && t.publisher != self.identity.number);
        let (count, oldest) = of_zone.fold(
            (0, None::<(Duration, Topic)>),
            |(count, oldest), (t, message)| {
                let this = (message.published_at, *t);
                (count + 1, Some(oldest.map_or(this, |o| o.min(this))))
            },
        );
        match oldest {
            Some((at, _)) if count >= policy.max_publishers && at >= published_at => false,
            Some((_, evicted)) if count >= policy.max_publishers => {
                self.messages.remove(&evicted);
                true
            }
            _ => self.messages.len() < MAX_MESSAGES,
        }
    }
}

#[cfg(test)]
mod tests;
