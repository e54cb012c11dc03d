use super::*;
use proptest::prelude::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const LANES: [Lane; 2] = [
    Lane {
        kind: 1,
        near: false,
        first: false,
        keep: 3,
        lasts: Duration::from_secs(5),
    },
    Lane {
        kind: 2,
        near: true,
        first: false,
        keep: 64,
        lasts: Duration::from_secs(5),
    },
];

#[derive(Default)]
struct Said(Vec<(To, Vec<u8>)>);

impl Mouth for Said {
    fn say(&mut self, to: To, bytes: &[u8]) {
        assert!(bytes.len() <= MOST_BYTES);
        self.0.push((to, bytes.to_vec()));
    }
}

fn gossip(number: usize, routers: usize, incarnation: u32) -> Gossip {
    let place = (number % 10) as u8;
    let stand = Stand {
        number: number as u16,
        routers,
        place,
        incarnation,
        seed: number as u64,
    };
    Gossip::start(Duration::ZERO, stand, &LANES).expect("not alone")
}

/// Routers in a net that loses and doubles.
struct Net {
    all: Vec<Gossip>,
    loses: f64,
    bytes: usize,
    chance: fastrand::Rng,
}

impl Net {
    fn new(routers: usize, loses: f64) -> Net {
        let all = (0..routers).map(|n| gossip(n, routers, 1)).collect();
        Net {
            all,
            loses,
            bytes: 0,
            chance: fastrand::Rng::with_seed(3),
        }
    }

    fn until(&mut self, from: u64, to: u64, mut each: impl FnMut(u64, &mut Vec<Gossip>)) {
        for now in (from..to).step_by(5) {
            each(now, &mut self.all);
            for number in 0..self.all.len() {
                let mut said = Said::default();
                self.all[number].tick(ms(now), &mut said);
                for (to, bytes) in said.0 {
                    let To::One(to) = to else {
                        panic!("nobody is told all")
                    };
                    self.bytes += bytes.len();
                    let copies = usize::from(self.chance.f64() >= self.loses)
                        * (1 + usize::from(self.chance.bool()));
                    for _ in 0..copies {
                        assert!(self.all[to as usize].heard(ms(now), number as u64, &bytes));
                    }
                }
            }
        }
    }
}

fn seconds_bytes(routers: usize) -> f64 {
    let mut net = Net::new(routers, 0.0);
    let each = |now: u64, all: &mut Vec<Gossip>| {
        if now.is_multiple_of(250) {
            all.iter_mut().for_each(|r| {
                r.say(ms(now), 1, 0, vec![7; 30], false);
                r.say(ms(now), 2, 0, vec![7; 11], false);
            });
        }
    };
    net.until(0, 4000, each);
    net.bytes = 0;
    net.until(4000, 8000, each);
    net.bytes as f64 / 4.0 / routers as f64
}

#[test]
fn a_word_in_a_hurry_reaches_two_hundred_routers_in_no_time_though_a_third_is_lost() {
    let mut net = Net::new(200, 0.3);
    net.until(0, 2000, |_, _| {});
    net.all[17].say(ms(2000), 1, 4, b"down".to_vec(), true);
    net.until(2000, 2400, |_, _| {});
    let topic = Topic {
        kind: 1,
        part: 4,
        teller: 17,
    };
    let heard = net
        .all
        .iter()
        .filter(|r| r.word(ms(2400), &topic).is_some())
        .count();
    assert!(heard >= 190, "{heard} of 200 within 0.4 s");
    net.until(2400, 3400, |_, _| {});
    let heard = net
        .all
        .iter()
        .filter(|r| r.word(ms(3400), &topic).is_some())
        .count();
    assert!(
        heard >= 199,
        "{heard}: one may be missed until the word is said again"
    );
    // Past its age it is as if it had never been told.
    net.until(3400, 7300, |_, _| {});
    assert!(net.all.iter().all(|r| r.words(ms(7300), 1).count() == 0));
}

#[test]
fn what_is_near_stays_near_and_bytes_do_not_grow_with_the_fleet() {
    let mut net = Net::new(200, 0.1);
    net.until(0, 7000, |now, all| {
        if now.is_multiple_of(250) {
            all.iter_mut()
                .for_each(|r| r.say(ms(now), 2, 0, vec![1, 2, 3], false));
            all.iter_mut()
                .for_each(|r| r.say(ms(now), 1, 0, vec![1, 2, 3], false));
        }
    });
    for (number, r) in net.all.iter().enumerate() {
        assert!(
            r.words(ms(7000), 2)
                .all(|(t, w)| usize::from(t.teller) % 10 == number % 10
                    && usize::from(w.place) == number % 10)
        );
        let peers = r.words(ms(7000), 2).count();
        assert!(peers >= 15, "{peers} of 20 peers");
        for place in 0..10 {
            let tellers = r
                .words(ms(4000), 1)
                .filter(|(t, w)| w.place == place && usize::from(t.teller) != number)
                .count();
            assert!(
                (2..=3).contains(&tellers),
                "{tellers} tellers of place {place} at {number}"
            );
        }
    }
    let (large, small) = (seconds_bytes(200), seconds_bytes(20));
    assert!(
        large <= small * 1.3,
        "{large} bytes a router and second, {small} at a tenth"
    );
}

#[test]
fn who_starts_anew_is_believed_over_its_earlier_life_and_late_words_are_not() {
    let mut r = gossip(0, 20, 1);
    let word = |incarnation, number, body: &[u8]| Carried {
        topic: Topic {
            kind: 1,
            part: 0,
            teller: 5,
        },
        place: 5,
        version: Version {
            incarnation,
            number,
        },
        age: Duration::ZERO,
        urgent: false,
        body: body.to_vec(),
    };
    let held = |r: &Gossip| r.words(ms(100), 1).next().map(|(_, w)| w.body.clone());
    for (came, stays) in [
        (word(3, 9, b"old life"), b"old life".as_slice()),
        (word(4, 1, b"new life"), b"new life"),
        (word(3, 10, b"late"), b"new life"),
        (word(4, 1, b"doubled"), b"new life"),
        (word(4, 2, b"newer"), b"newer"),
    ] {
        r.heard(ms(100), 5, &encode(5, &[came]));
        assert_eq!(held(&r).as_deref(), Some(stays));
    }
    assert_eq!(r.dropped().old, 2);
    // Of nobody that there is, of no lane, in this router's own name.
    for (teller, kind) in [(20, 1), (5, 9), (0, 1)] {
        let mut wrong = word(9, 9, b"x");
        (wrong.topic.teller, wrong.topic.kind) = (teller, kind);
        r.heard(ms(100), 5, &encode(5, &[wrong]));
    }
    assert_eq!(
        (held(&r).as_deref(), r.words(ms(100), 1).count()),
        (Some(b"newer".as_slice()), 1)
    );
    r.heard(ms(100), 77, &encode(5, &[word(9, 9, b"x")]));
    assert_eq!(r.dropped().strange, 3);
}

#[test]
fn the_freshest_tellers_of_a_place_are_kept_and_no_flood_grows_the_table() {
    let mut r = gossip(0, 60_000, 1);
    for n in 1..60_000u16 {
        let topic = Topic {
            kind: 1 + (n % 2) as u8,
            part: (n % 251) as u8,
            teller: n,
        };
        let version = Version {
            incarnation: 1,
            number: 1,
        };
        let (place, age) = (
            (n % 200) as u8,
            Duration::from_millis(u64::from(n % 97) * 10),
        );
        let word = Carried {
            topic,
            place,
            version,
            age,
            urgent: true,
            body: vec![0; 8],
        };
        r.heard(ms(100), u64::from(n), &encode(place, &[word]));
    }
    assert!(r.words.len() <= WORDS_MOST, "{}", r.words.len());
    let mut said = Said::default();
    (0..200).for_each(|n| r.tick(ms(100 + n * 5), &mut said));
    assert!(
        said.0.len() <= HURRIES_MOST as usize * 2 * HURRY_TO * HURRY_ROUNDS as usize + 10,
        "{}",
        said.0.len()
    );
}

/// A restart after the wall clock was set back by an hour: its peers hold words of its earlier life that look
/// newer than what it tells now.
#[test]
fn who_starts_anew_with_a_clock_set_back_is_believed_within_three_periods() {
    const HOUR: u32 = 36_000;
    let mut net = Net::new(20, 0.0);
    net.all[5] = gossip(5, 20, 1_000_000);
    let topic = Topic {
        kind: 1,
        part: 0,
        teller: 5,
    };
    let body_held = |r: &Gossip, now| r.word(ms(now), &topic).map(|word| word.body.clone());
    net.all[5].say(ms(0), 1, 0, b"earlier".to_vec(), false);
    net.until(0, 3000, |_, _| {});
    assert!(
        net.all
            .iter()
            .all(|r| body_held(r, 3000).as_deref() == Some(b"earlier"))
    );
    net.all[5] = gossip(5, 20, 1_000_000 - HOUR);
    let mut believed_at = None;
    net.until(3000, 4000, |now, all| {
        if now == 3000 {
            all[5].say(ms(now), 1, 0, b"now".to_vec(), false);
        }
        let others = all.iter().enumerate().filter(|(number, _)| *number != 5);
        if others
            .clone()
            .any(|(_, r)| body_held(r, now).as_deref() == Some(b"now"))
        {
            believed_at = believed_at.or(Some(now));
        }
    });
    let three_periods = 3 * PERIOD.as_millis() as u64;
    assert!(
        believed_at.is_some_and(|at| at <= 3000 + three_periods),
        "{believed_at:?}"
    );
    assert_eq!(net.all[5].stand.incarnation, 1_000_001);
    net.until(4000, 5000, |_, _| {});
    assert!(
        net.all
            .iter()
            .all(|r| body_held(r, 4900).as_deref() == Some(b"now")),
        "before the old aged away"
    );
}

/// Words in a router's own name raise its incarnation by a day at most, however many come.
#[test]
fn nobody_pushes_an_incarnation_past_its_bound() {
    for first in [1, 1_000_000, u32::MAX - 5, u32::MAX] {
        let mut r = gossip(0, 20, first);
        r.say(ms(0), 1, 0, b"own".to_vec(), false);
        let bound = first.saturating_add(INCARNATION_LEAD_MOST);
        let claims = (1..40u32).map(|n| first.saturating_add(n * (INCARNATION_LEAD_MOST / 20)));
        for incarnation in claims.chain([bound, bound.saturating_add(1), u32::MAX]) {
            let word = Carried {
                topic: Topic {
                    kind: 1,
                    part: 0,
                    teller: 0,
                },
                place: 0,
                version: Version {
                    incarnation,
                    number: u32::MAX,
                },
                age: Duration::ZERO,
                urgent: false,
                body: b"claimed".to_vec(),
            };
            assert!(r.heard(ms(1), 5, &encode(5, &[word])));
            assert!(
                r.stand.incarnation <= bound,
                "{} of {first}",
                r.stand.incarnation
            );
            r.say(ms(2), 1, 0, b"own".to_vec(), false);
        }
        let (_, word) = r.words(ms(3), 1).next().expect("its own word");
        assert_eq!(word.body, b"own");
        assert_eq!(word.version.incarnation, r.stand.incarnation);
    }
}

/// Whoever floods with old words in others' names makes this router answer within a bound.
#[test]
fn words_of_earlier_lives_are_returned_within_a_bound() {
    let mut r = gossip(0, 1000, 1);
    let word = |teller: u16, incarnation| Carried {
        topic: Topic {
            kind: 2,
            part: 0,
            teller,
        },
        place: 0,
        version: Version {
            incarnation,
            number: 1,
        },
        age: Duration::ZERO,
        urgent: false,
        body: vec![1],
    };
    for teller in (1..1000).step_by(10) {
        for incarnation in [9, 3] {
            r.heard(
                ms(1),
                u64::from(teller),
                &encode(0, &[word(teller, incarnation)]),
            );
        }
        // Passed on by another it may have been on its way for long: that says nothing of the teller.
        r.heard(
            ms(1),
            999,
            &encode(0, &[word(teller + 1, 9), word(teller + 1, 3)]),
        );
    }
    assert!(
        r.returns.keys().all(|teller| teller % 10 == 1),
        "{:?}",
        r.returns
    );
    assert_eq!(r.returns.len(), RETURNS_MOST);
    let mut said = Said::default();
    r.tick(ms(300), &mut said);
    assert!(
        said.0.len() <= PEERS_TOLD + 1 + RETURNS_A_PERIOD,
        "{}",
        said.0.len()
    );
}

proptest! {
    #[test]
    fn any_bytes_are_read_whole_or_refused(
        mut bytes in prop::collection::vec(any::<u8>(), 0..280), own: bool, count in 0u8..4,
    ) {
        if own && bytes.len() > 4 {
            (bytes[0], bytes[1], bytes[3]) = (FORMAT, 0, count);
        }
        if let Some(Ok((place, words))) = decode(&bytes) {
            prop_assert_eq!(encode(place, &words), bytes);
        }
    }

    #[test]
    fn in_whatever_order_and_however_often_words_come_the_same_stays(
        numbers in prop::collection::vec((1u32..3, 1u32..6), 1..12), turn in any::<u64>(),
    ) {
        let word = |(incarnation, number): (u32, u32)| Carried {
            topic: Topic { kind: 1, part: 0, teller: 5 }, place: 5,
            version: Version { incarnation, number }, age: Duration::ZERO, urgent: false,
            body: vec![incarnation as u8, number as u8],
        };
        let mut turned = numbers.clone();
        turned.extend(numbers.clone());
        fastrand::Rng::with_seed(turn).shuffle(&mut turned);
        let held = |order: &[(u32, u32)]| {
            let mut r = gossip(0, 20, 1);
            order.iter().for_each(|n| { r.heard(ms(1), 5, &encode(5, &[word(*n)])); });
            r.words(ms(1), 1).next().map(|(_, w)| w.body.clone())
        };
        let newest = *numbers.iter().max().expect("some");
        prop_assert_eq!(held(&numbers), held(&turned));
        prop_assert_eq!(held(&turned), Some(vec![newest.0 as u8, newest.1 as u8]));
    }
}
