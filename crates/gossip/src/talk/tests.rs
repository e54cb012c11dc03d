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
    About {
        number,
        routers: 12,
        zone: 1 + number as usize / 6,
        routers_here: 6,
        seed: number,
    }
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
        Net {
            talks,
            heard,
            loses,
            cut: 0,
            chance: fastrand::Rng::with_seed(5),
            to_all: 0,
        }
    }

    fn until(&mut self, from: u64, to: u64) {
        for now in from..to {
            for number in 0..12 {
                let mut said = Said::default();
                let Some(talk) = &mut self.talks[number] else {
                    continue;
                };
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
        self.talks
            .iter()
            .map(|talk| talk.as_ref().map_or(0, |talk| talk.peers(ms(now)).0))
            .collect()
    }

    fn find(&mut self, number: usize, part: u32, cache: &str) {
        self.talks[number]
            .as_mut()
            .expect("there")
            .found(part, &cache.into());
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
    assert!(
        net.heard[6..].iter().all(|heard| heard.0.is_empty()),
        "another zone"
    );
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
    assert_eq!(
        net.to_all, asked,
        "peers once heard are not looked for among all"
    );
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
    let sound = Datagram {
        zone: 1,
        ..Datagram::default()
    }
    .encode();
    for from in [0, 12, u64::MAX] {
        talk.heard(ms(1), from, &sound, &mut ear);
    }
    talk.heard(ms(1), 1, &sound[..3], &mut ear);
    talk.heard(ms(1), 1, &[0; 256], &mut ear);
    assert_eq!(
        (
            talk.peers(ms(1)),
            talk.dropped.strangers,
            talk.dropped.faulty
        ),
        ((0, 0), 3, 2)
    );
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
    let findings: Vec<_> = (0..50)
        .map(|part| Finding {
            part,
            cache: mark("c1"),
        })
        .collect();
    let told = Datagram {
        zone: 1,
        findings,
        ..Datagram::default()
    }
    .encode();
    (0..1000).for_each(|_| talk.heard(ms(100), 1, &told, &mut ear));
    assert_eq!(
        (ear.0.len(), talk.dropped.flood),
        (BELIEVED_MOST, 50_000 - BELIEVED_MOST as u64)
    );
    // Another peer is not made to pay for it, and it is heard again later.
    talk.heard(ms(100), 2, &told, &mut ear);
    talk.heard(ms(100) + PERIOD, 1, &told, &mut ear);
    assert_eq!(ear.0.len(), BELIEVED_MOST + 100);
}

#[test]
fn of_caches_with_one_mark_nothing_is_told_or_believed() {
    let names: Vec<Id> = (0..600)
        .map(|n| format!("cache-{n}").as_str().into())
        .collect();
    let mut seen = BTreeSet::new();
    let twin = names
        .iter()
        .find(|name| !seen.insert(mark(name)))
        .expect("600 names, 255 marks");
    let first = names
        .iter()
        .find(|name| mark(name) == mark(twin))
        .expect("its twin");
    let (mut talk, mut ear) = (talk(0, 0), Heard::default());
    talk.caches([first.clone(), twin.clone()].iter());
    talk.found(1, twin);
    assert!(talk.queue.is_empty());
    let findings = vec![Finding {
        part: 3,
        cache: mark(twin),
    }];
    talk.heard(
        ms(1),
        1,
        &Datagram {
            zone: 1,
            findings,
            ..Datagram::default()
        }
        .encode(),
        &mut ear,
    );
    assert!(ear.0.is_empty());
}

#[test]
fn alone_there_is_nobody_to_talk_to() {
    assert!(
        Talk::start(
            ms(0),
            About {
                routers_here: 1,
                ..about(0)
            }
        )
        .is_none()
    );
}
