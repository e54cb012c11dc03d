use super::*;
use proptest::prelude::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const KIND_POLICIES: [KindPolicy; 2] = [
    KindPolicy {
        kind: 1,
        zone_only: false,
        has_priority: false,
        max_publishers: 3,
        lifetime: Duration::from_secs(5),
    },
    KindPolicy {
        kind: 2,
        zone_only: true,
        has_priority: false,
        max_publishers: 64,
        lifetime: Duration::from_secs(5),
    },
];

#[derive(Default)]
struct SentDatagrams(Vec<(Destination, Vec<u8>)>);

impl DatagramSender for SentDatagrams {
    fn send(&mut self, to: Destination, bytes: &[u8]) {
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
        self.0.push((to, bytes.to_vec()));
    }
}

fn gossip(number: usize, routers: usize, incarnation: u32) -> Gossip {
    let zone = (number % 10) as u8;
    let identity = RouterIdentity {
        number: number as u16,
        routers,
        zone,
        incarnation,
        seed: number as u64,
    };
    Gossip::start(Duration::ZERO, identity, &KIND_POLICIES).expect("more than one router")
}

/// Routers on a network that loses and duplicates datagrams.
struct Net {
    all: Vec<Gossip>,
    loss: f64,
    bytes: usize,
    rng: fastrand::Rng,
}

impl Net {
    fn new(routers: usize, loss: f64) -> Net {
        let all = (0..routers).map(|n| gossip(n, routers, 1)).collect();
        Net {
            all,
            loss,
            bytes: 0,
            rng: fastrand::Rng::with_seed(3),
        }
    }

    fn until(&mut self, from: u64, to: u64, mut each: impl FnMut(u64, &mut Vec<Gossip>)) {
        for now in (from..to).step_by(5) {
            each(now, &mut self.all);
            for number in 0..self.all.len() {
                let mut sent = SentDatagrams::default();
                self.all[number].tick(ms(now), &mut sent);
                for (to, bytes) in sent.0 {
                    let Destination::One(to) = to else {
                        panic!("gossip sends no broadcasts")
                    };
                    self.bytes += bytes.len();
                    let copies = usize::from(self.rng.f64() >= self.loss)
                        * (1 + usize::from(self.rng.bool()));
                    for _ in 0..copies {
                        assert!(self.all[to as usize].receive(ms(now), number as u64, &bytes));
                    }
                }
            }
        }
    }
}

fn bytes_per_router_and_second(routers: usize) -> f64 {
    let mut net = Net::new(routers, 0.0);
    let each = |now: u64, all: &mut Vec<Gossip>| {
        if now.is_multiple_of(250) {
            all.iter_mut().for_each(|r| {
                r.publish(ms(now), 1, 0, vec![7; 30], false);
                r.publish(ms(now), 2, 0, vec![7; 11], false);
            });
        }
    };
    net.until(0, 4000, each);
    net.bytes = 0;
    net.until(4000, 8000, each);
    net.bytes as f64 / 4.0 / routers as f64
}

#[test]
fn an_urgent_message_reaches_two_hundred_routers_within_half_a_second_despite_loss() {
    let mut net = Net::new(200, 0.3);
    net.until(0, 2000, |_, _| {});
    net.all[17].publish(ms(2000), 1, 4, b"down".to_vec(), true);
    net.until(2000, 2400, |_, _| {});
    let topic = Topic {
        kind: 1,
        key: 4,
        publisher: 17,
    };
    let received = net
        .all
        .iter()
        .filter(|r| r.message(ms(2400), &topic).is_some())
        .count();
    assert!(received >= 190, "{received} of 200 within 0.4 s");
    net.until(2400, 3400, |_, _| {});
    let received = net
        .all
        .iter()
        .filter(|r| r.message(ms(3400), &topic).is_some())
        .count();
    assert!(
        received >= 199,
        "{received}: one may be missed until the message is published again"
    );
    // An expired message counts as never published.
    net.until(3400, 7300, |_, _| {});
    assert!(net.all.iter().all(|r| r.messages(ms(7300), 1).count() == 0));
}

#[test]
fn zone_messages_stay_in_their_zone_and_traffic_does_not_grow_with_the_fleet() {
    let mut net = Net::new(200, 0.1);
    net.until(0, 7000, |now, all| {
        if now.is_multiple_of(250) {
            all.iter_mut()
                .for_each(|r| r.publish(ms(now), 2, 0, vec![1, 2, 3], false));
            all.iter_mut()
                .for_each(|r| r.publish(ms(now), 1, 0, vec![1, 2, 3], false));
        }
    });
    for (number, r) in net.all.iter().enumerate() {
        assert!(
            r.messages(ms(7000), 2)
                .all(
                    |(topic, message)| usize::from(topic.publisher) % 10 == number % 10
                        && usize::from(message.zone) == number % 10
                )
        );
        let peers = r.messages(ms(7000), 2).count();
        assert!(peers >= 15, "{peers} of 20 peers");
        for zone in 0..10 {
            let publishers = r
                .messages(ms(4000), 1)
                .filter(|(topic, message)| {
                    message.zone == zone && usize::from(topic.publisher) != number
                })
                .count();
            assert!(
                (2..=3).contains(&publishers),
                "{publishers} publishers of zone {zone} at router {number}"
            );
        }
    }
    let (large, small) = (
        bytes_per_router_and_second(200),
        bytes_per_router_and_second(20),
    );
    assert!(
        large <= small * 1.3,
        "{large} bytes per router and second, {small} in a fleet of a tenth"
    );
}

#[test]
fn a_restarted_router_supersedes_its_earlier_incarnation_and_late_messages_are_dropped() {
    let mut r = gossip(0, 20, 1);
    let message = |incarnation, sequence, payload: &[u8]| Message {
        topic: Topic {
            kind: 1,
            key: 0,
            publisher: 5,
        },
        zone: 5,
        version: Version {
            incarnation,
            sequence,
        },
        age: Duration::ZERO,
        urgent: false,
        payload: payload.to_vec(),
    };
    let held = |r: &Gossip| {
        r.messages(ms(100), 1)
            .next()
            .map(|(_, message)| message.payload.clone())
    };
    for (received, expected) in [
        (message(3, 9, b"first run"), b"first run".as_slice()),
        (message(4, 1, b"restarted"), b"restarted"),
        (message(3, 10, b"late"), b"restarted"),
        (message(4, 1, b"duplicate"), b"restarted"),
        (message(4, 2, b"newer"), b"newer"),
    ] {
        r.receive(ms(100), 5, &encode(5, &[received]));
        assert_eq!(held(&r).as_deref(), Some(expected));
    }
    assert_eq!(r.dropped().stale, 2);
    // From an unknown publisher, of an unknown kind, in this router's own name.
    for (publisher, kind) in [(20, 1), (5, 9), (0, 1)] {
        let mut invalid = message(9, 9, b"x");
        (invalid.topic.publisher, invalid.topic.kind) = (publisher, kind);
        r.receive(ms(100), 5, &encode(5, &[invalid]));
    }
    assert_eq!(
        (held(&r).as_deref(), r.messages(ms(100), 1).count()),
        (Some(b"newer".as_slice()), 1)
    );
    r.receive(ms(100), 77, &encode(5, &[message(9, 9, b"x")]));
    assert_eq!(r.dropped().unknown, 3);
}

#[test]
fn the_freshest_publishers_of_a_zone_are_kept_and_a_flood_stays_within_bounds() {
    let mut r = gossip(0, 60_000, 1);
    for n in 1..60_000u16 {
        let topic = Topic {
            kind: 1 + (n % 2) as u8,
            key: (n % 251) as u8,
            publisher: n,
        };
        let version = Version {
            incarnation: 1,
            sequence: 1,
        };
        let (zone, age) = (
            (n % 200) as u8,
            Duration::from_millis(u64::from(n % 97) * 10),
        );
        let message = Message {
            topic,
            zone,
            version,
            age,
            urgent: true,
            payload: vec![0; 8],
        };
        r.receive(ms(100), u64::from(n), &encode(zone, &[message]));
    }
    assert!(r.messages.len() <= MAX_MESSAGES, "{}", r.messages.len());
    let mut sent = SentDatagrams::default();
    (0..200).for_each(|n| r.tick(ms(100 + n * 5), &mut sent));
    assert!(
        sent.0.len()
            <= MAX_URGENT_BURSTS_PER_SECOND as usize * 2 * URGENT_FANOUT * URGENT_ROUNDS as usize
                + 10,
        "{}",
        sent.0.len()
    );
}

/// A restart after the wall clock was set back by an hour: the peers hold messages of the earlier
/// incarnation, which look newer than those published now.
#[test]
fn a_router_restarted_with_its_clock_set_back_is_accepted_within_three_rounds() {
    const HOUR: u32 = 36_000;
    let mut net = Net::new(20, 0.0);
    net.all[5] = gossip(5, 20, 1_000_000);
    let topic = Topic {
        kind: 1,
        key: 0,
        publisher: 5,
    };
    let payload_held = |r: &Gossip, now| {
        r.message(ms(now), &topic)
            .map(|message| message.payload.clone())
    };
    net.all[5].publish(ms(0), 1, 0, b"earlier".to_vec(), false);
    net.until(0, 3000, |_, _| {});
    assert!(
        net.all
            .iter()
            .all(|r| payload_held(r, 3000).as_deref() == Some(b"earlier"))
    );
    net.all[5] = gossip(5, 20, 1_000_000 - HOUR);
    let mut accepted_at = None;
    net.until(3000, 4000, |now, all| {
        if now == 3000 {
            all[5].publish(ms(now), 1, 0, b"now".to_vec(), false);
        }
        let others = all.iter().enumerate().filter(|(number, _)| *number != 5);
        if others
            .clone()
            .any(|(_, r)| payload_held(r, now).as_deref() == Some(b"now"))
        {
            accepted_at = accepted_at.or(Some(now));
        }
    });
    let three_periods = 3 * ROUND_INTERVAL.as_millis() as u64;
    assert!(
        accepted_at.is_some_and(|at| at <= 3000 + three_periods),
        "{accepted_at:?}"
    );
    assert_eq!(net.all[5].identity.incarnation, 1_000_001);
    net.until(4000, 5000, |_, _| {});
    assert!(
        net.all
            .iter()
            .all(|r| payload_held(r, 4900).as_deref() == Some(b"now")),
        "before the earlier message expires"
    );
}

/// Messages in a router's own name raise its incarnation by a day at most, however many are
/// received.
#[test]
fn forged_messages_raise_an_incarnation_no_further_than_its_bound() {
    for first in [1, 1_000_000, u32::MAX - 5, u32::MAX] {
        let mut r = gossip(0, 20, first);
        r.publish(ms(0), 1, 0, b"own".to_vec(), false);
        let bound = first.saturating_add(MAX_INCARNATION_LEAD);
        let claims = (1..40u32).map(|n| first.saturating_add(n * (MAX_INCARNATION_LEAD / 20)));
        for incarnation in claims.chain([bound, bound.saturating_add(1), u32::MAX]) {
            let message = Message {
                topic: Topic {
                    kind: 1,
                    key: 0,
                    publisher: 0,
                },
                zone: 0,
                version: Version {
                    incarnation,
                    sequence: u32::MAX,
                },
                age: Duration::ZERO,
                urgent: false,
                payload: b"claimed".to_vec(),
            };
            assert!(r.receive(ms(1), 5, &encode(5, &[message])));
            assert!(
                r.identity.incarnation <= bound,
                "{} of {first}",
                r.identity.incarnation
            );
            r.publish(ms(2), 1, 0, b"own".to_vec(), false);
        }
        let (_, message) = r.messages(ms(3), 1).next().expect("its own message");
        assert_eq!(message.payload, b"own");
        assert_eq!(message.version.incarnation, r.identity.incarnation);
    }
}

/// A sender that floods a router with old messages of other publishers gets bounded traffic in
/// return.
#[test]
fn messages_of_earlier_incarnations_are_returned_at_a_bounded_rate() {
    let mut r = gossip(0, 1000, 1);
    let message = |publisher: u16, incarnation| Message {
        topic: Topic {
            kind: 2,
            key: 0,
            publisher,
        },
        zone: 0,
        version: Version {
            incarnation,
            sequence: 1,
        },
        age: Duration::ZERO,
        urgent: false,
        payload: vec![1],
    };
    for publisher in (1..1000).step_by(10) {
        for incarnation in [9, 3] {
            r.receive(
                ms(1),
                u64::from(publisher),
                &encode(0, &[message(publisher, incarnation)]),
            );
        }
        // A message relayed by another router may have been delayed: it is no evidence of a
        // restart.
        r.receive(
            ms(1),
            999,
            &encode(0, &[message(publisher + 1, 9), message(publisher + 1, 3)]),
        );
    }
    assert!(
        r.pending_returns
            .keys()
            .all(|publisher| publisher % 10 == 1),
        "{:?}",
        r.pending_returns
    );
    assert_eq!(r.pending_returns.len(), MAX_PENDING_RETURNS);
    let mut sent = SentDatagrams::default();
    r.tick(ms(300), &mut sent);
    assert!(
        sent.0.len() <= ZONE_FANOUT + 1 + RETURNS_PER_ROUND,
        "{}",
        sent.0.len()
    );
}

proptest! {
    #[test]
    fn decoding_accepts_only_bytes_that_encode_to_themselves(
        mut bytes in prop::collection::vec(any::<u8>(), 0..280), with_header: bool, count in 0u8..4,
    ) {
        if with_header && bytes.len() > 4 {
            (bytes[0], bytes[1], bytes[3]) = (FORMAT, 0, count);
        }
        if let Some(Ok((zone, messages))) = decode(&bytes) {
            prop_assert_eq!(encode(zone, &messages), bytes);
        }
    }

    #[test]
    fn order_and_repetition_of_messages_do_not_change_what_is_kept(
        versions in prop::collection::vec((1u32..3, 1u32..6), 1..12), seed in any::<u64>(),
    ) {
        let message = |(incarnation, sequence): (u32, u32)| Message {
            topic: Topic { kind: 1, key: 0, publisher: 5 }, zone: 5,
            version: Version { incarnation, sequence }, age: Duration::ZERO, urgent: false,
            payload: vec![incarnation as u8, sequence as u8],
        };
        let mut reordered = versions.clone();
        reordered.extend(versions.clone());
        fastrand::Rng::with_seed(seed).shuffle(&mut reordered);
        let held = |order: &[(u32, u32)]| {
            let mut r = gossip(0, 20, 1);
            order.iter().for_each(|n| { r.receive(ms(1), 5, &encode(5, &[message(*n)])); });
            r.messages(ms(1), 1).next().map(|(_, message)| message.payload.clone())
        };
        let newest = *versions.iter().max().expect("some");
        prop_assert_eq!(held(&versions), held(&reordered));
        prop_assert_eq!(held(&reordered), Some(vec![newest.0 as u8, newest.1 as u8]));
    }
}
