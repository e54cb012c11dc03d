use super::*;
use std::collections::BTreeSet;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[derive(Default)]
struct SentDatagrams(Vec<(Destination, Vec<u8>)>);

impl DatagramSender for SentDatagrams {
    fn send(&mut self, to: Destination, bytes: &[u8]) {
        assert!(bytes.len() <= crate::codec::MAX_DATAGRAM_BYTES);
        self.0.push((to, bytes.to_vec()));
    }
}

#[derive(Default)]
struct ReceivedFindings(Vec<(u32, Id)>);

impl WeightReceiver for ReceivedFindings {
    fn set_weight(&mut self, _cache: &Id, _log_factor: f64) {}
}

impl HintReceiver for ReceivedFindings {
    fn receive_finding(&mut self, _now: Duration, part: u32, cache: Id) {
        self.0.push((part, cache));
    }
}

/// Six routers of zone 1 and six of zone 2, on a network that may lose datagrams.
struct Net {
    exchanges: Vec<Option<PeerExchange>>,
    received: Vec<ReceivedFindings>,
    loss: f64,
    /// Routers from this number on are partitioned from those before.
    partition_at: usize,
    rng: fastrand::Rng,
    broadcasts: usize,
}

fn config(number: u64) -> ExchangeConfig {
    ExchangeConfig {
        number,
        routers: 12,
        zone: 1 + number as usize / 6,
        routers_in_zone: 6,
        seed: number,
    }
}

fn exchange(now: u64, number: u64) -> PeerExchange {
    let mut exchange = PeerExchange::start(ms(now), config(number)).expect("more than one router");
    exchange.set_caches(["c1".into(), "c2".into()].iter());
    exchange
}

impl Net {
    fn new(loss: f64) -> Net {
        let exchanges = (0..12).map(|number| Some(exchange(0, number))).collect();
        let received = (0..12).map(|_| ReceivedFindings::default()).collect();
        Net {
            exchanges,
            received,
            loss,
            partition_at: 0,
            rng: fastrand::Rng::with_seed(5),
            broadcasts: 0,
        }
    }

    fn until(&mut self, from: u64, to: u64) {
        for now in from..to {
            for number in 0..12 {
                let mut sent = SentDatagrams::default();
                let Some(exchange) = &mut self.exchanges[number] else {
                    continue;
                };
                exchange.tick(ms(now), &mut sent, &mut ReceivedFindings::default());
                for (to, bytes) in sent.0 {
                    self.broadcasts += usize::from(to == Destination::All);
                    let others = (0..12).filter(|o| *o != number);
                    for other in others
                        .filter(|o| to == Destination::All || to == Destination::One(*o as u64))
                    {
                        let is_partitioned =
                            (number < self.partition_at) != (other < self.partition_at);
                        let lost = is_partitioned || self.rng.f64() < self.loss;
                        if let (false, Some(exchange)) = (lost, &mut self.exchanges[other]) {
                            exchange.receive(
                                ms(now),
                                number as u64,
                                &bytes,
                                &mut self.received[other],
                            );
                        }
                    }
                }
            }
        }
    }

    fn peers_in_contact(&self, now: u64) -> Vec<usize> {
        self.exchanges
            .iter()
            .map(|exchange| {
                exchange
                    .as_ref()
                    .map_or(0, |exchange| exchange.peers(ms(now)).0)
            })
            .collect()
    }

    fn find(&mut self, number: usize, part: u32, cache: &str) {
        self.exchanges[number]
            .as_mut()
            .expect("a running router")
            .record_finding(part, &cache.into());
    }
}

#[test]
fn peers_discover_each_other_and_share_findings() {
    let mut net = Net::new(0.0);
    net.until(0, 1500);
    assert_eq!(net.peers_in_contact(1500), [5; 12]);
    net.find(0, 77, "c2");
    net.find(0, 78, "unknown");
    net.until(1500, 2500);
    for number in 1..6 {
        assert_eq!(net.received[number].0, [(77, "c2".into())]);
    }
    assert!(
        net.received[6..]
            .iter()
            .all(|received| received.0.is_empty()),
        "findings must not reach another zone"
    );
}

#[test]
fn a_partition_heals_and_a_restarted_router_is_found_without_another_broadcast_by_its_peers() {
    let mut net = Net::new(0.0);
    net.until(0, 3000);
    let searches = net.broadcasts;
    net.partition_at = 3;
    net.until(3000, 9000);
    assert_eq!(
        net.peers_in_contact(9000),
        [2, 2, 2, 2, 2, 2, 5, 5, 5, 5, 5, 5]
    );
    net.partition_at = 0;
    net.until(9000, 10_500);
    assert_eq!(net.peers_in_contact(10_500), [5; 12]);
    assert_eq!(
        net.broadcasts, searches,
        "known peers must not be searched for by broadcast"
    );
    net.exchanges[1] = None;
    net.until(10_500, 13_000);
    assert_eq!(net.peers_in_contact(13_000)[0], 4);
    net.exchanges[1] = Some(exchange(13_000, 1));
    net.until(13_000, 14_500);
    assert_eq!(net.peers_in_contact(14_500), [5; 12]);
    assert_eq!(
        net.broadcasts,
        searches + 1,
        "only the restarted router broadcasts"
    );
}

#[test]
fn losing_a_third_of_all_datagrams_loses_no_peer_for_long() {
    let mut net = Net::new(0.33);
    net.until(0, 20_000);
    let known = net.peers_in_contact(20_000);
    assert!(
        known.iter().sum::<usize>() >= 52,
        "peers in contact: {known:?}, five each expected"
    );
}

#[test]
fn search_broadcasts_back_off_when_no_peer_answers() {
    let (mut exchange, mut searches) = (exchange(0, 0), 0);
    for now in 0..600_000 {
        let mut sent = SentDatagrams::default();
        exchange.tick(ms(now), &mut sent, &mut ReceivedFindings::default());
        searches += sent.0.len();
    }
    assert!(
        (10..=16).contains(&searches),
        "{searches} datagrams in ten minutes"
    );
}

#[test]
fn unknown_senders_malformed_datagrams_and_floods_are_bounded() {
    let (mut exchange, mut receiver) = (exchange(0, 0), ReceivedFindings::default());
    let valid = Datagram {
        zone: 1,
        ..Datagram::default()
    }
    .encode();
    for from in [0, 12, u64::MAX] {
        exchange.receive(ms(1), from, &valid, &mut receiver);
    }
    exchange.receive(ms(1), 1, &valid[..3], &mut receiver);
    exchange.receive(ms(1), 1, &[0; 256], &mut receiver);
    assert_eq!(
        (
            exchange.peers(ms(1)),
            exchange.dropped.unknown_senders,
            exchange.dropped.malformed
        ),
        ((0, 0), 3, 2)
    );
    // All routers claim to be in this zone: no more are accepted than the zone has.
    (1..12).for_each(|from| exchange.receive(ms(1), from, &valid, &mut receiver));
    assert_eq!(exchange.peers(ms(1)).1, 5);
    for part in 0..10_000 {
        exchange.record_finding(part, &"c1".into());
    }
    assert_eq!(exchange.pending.len(), MAX_QUEUED_FINDINGS);
    let mut sent = SentDatagrams::default();
    exchange.tick(ms(600), &mut sent, &mut ReceivedFindings::default());
    assert!(sent.0.len() <= 1 + 5 * MAX_DATAGRAMS_PER_PERIOD);
    assert_eq!(exchange.dropped.unsent, 10_000 - MAX_QUEUED_FINDINGS as u64);
}

#[test]
fn findings_of_a_flooding_peer_are_accepted_up_to_the_limit() {
    let (mut exchange, mut receiver) = (exchange(0, 0), ReceivedFindings::default());
    let findings: Vec<_> = (0..50)
        .map(|part| Finding {
            part,
            cache: cache_tag("c1"),
        })
        .collect();
    let flood = Datagram {
        zone: 1,
        findings,
        ..Datagram::default()
    }
    .encode();
    (0..1000).for_each(|_| exchange.receive(ms(100), 1, &flood, &mut receiver));
    assert_eq!(
        (receiver.0.len(), exchange.dropped.over_quota),
        (MAX_ACCEPTED_FINDINGS, 50_000 - MAX_ACCEPTED_FINDINGS as u64)
    );
    // The limit is per peer and period: another peer is not affected, nor is the next period.
    exchange.receive(ms(100), 2, &flood, &mut receiver);
    exchange.receive(ms(100) + SEND_INTERVAL, 1, &flood, &mut receiver);
    assert_eq!(receiver.0.len(), MAX_ACCEPTED_FINDINGS + 100);
}

#[test]
fn findings_for_caches_with_the_same_tag_are_neither_sent_nor_accepted() {
    let names: Vec<Id> = (0..600)
        .map(|n| format!("cache-{n}").as_str().into())
        .collect();
    let mut tags = BTreeSet::new();
    let duplicate = names
        .iter()
        .find(|name| !tags.insert(cache_tag(name)))
        .expect("600 names cannot have distinct tags out of 255");
    let first = names
        .iter()
        .find(|name| cache_tag(name) == cache_tag(duplicate))
        .expect("a name with this tag");
    let (mut exchange, mut receiver) = (exchange(0, 0), ReceivedFindings::default());
    exchange.set_caches([first.clone(), duplicate.clone()].iter());
    exchange.record_finding(1, duplicate);
    assert!(exchange.pending.is_empty());
    let findings = vec![Finding {
        part: 3,
        cache: cache_tag(duplicate),
    }];
    exchange.receive(
        ms(1),
        1,
        &Datagram {
            zone: 1,
            findings,
            ..Datagram::default()
        }
        .encode(),
        &mut receiver,
    );
    assert!(receiver.0.is_empty());
}

#[test]
fn exchange_does_not_start_in_a_zone_with_one_router() {
    assert!(
        PeerExchange::start(
            ms(0),
            ExchangeConfig {
                routers_in_zone: 1,
                ..config(0)
            }
        )
        .is_none()
    );
}
