use super::*;
use proptest::prelude::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const LANES: [Lane; 2] = [
    Lane { kind: 1, near: false, first: false, keep: 3, lasts: Duration::from_secs(5) },
    Lane { kind: 2, near: true, first: false, keep: 64, lasts: Duration::from_secs(5) },
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
    let stand = Stand { number: number as u16, routers, place, incarnation, seed: number as u64 };
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
        Net { all, loses, bytes: 0, chance: fastrand::Rng::with_seed(3) }
    }

    fn until(&mut self, from: u64, to: u64, mut each: impl FnMut(u64, &mut Vec<Gossip>)) {
        for now in (from..to).step_by(5) {
            each(now, &mut self.all);
            for number in 0..self.all.len() {
                let mut said = Said::default();
                self.all[number].tick(ms(now), &mut said);
                for (to, bytes) in said.0 {
                    let To::One(to) = to else { panic!("nobody is told all") };
                    self.bytes += bytes.len();
                    let copies =
                        usize::from(self.chance.f64() >= self.loses) * (1 + usize::from(self.chance.bool()));
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
    let topic = Topic { kind: 1, part: 4, teller: 17 };
    let heard = net.all.iter().filter(|r| r.word(ms(2400), &topic).is_some()).count();
    assert!(heard >= 190, "{heard} of 200 within 0.4 s");
    net.until(2400, 3400, |_, _| {});
    let heard = net.all.iter().filter(|r| r.word(ms(3400), &topic).is_some()).count();
    assert!(heard >= 199, "{heard}: one may be missed until the word is said again");
    // Past its age it is as if it had never been told.
    net.until(3400, 7300, |_, _| {});
    assert!(net.all.iter().all(|r| r.words(ms(7300), 1).count() == 0));
}

#[test]
fn what_is_near_stays_near_and_bytes_do_not_grow_with_the_fleet() {
    let mut net = Net::new(200, 0.1);
    net.until(0, 7000, |now, all| {
        if now.is_multiple_of(250) {
            all.iter_mut().for_each(|r| r.say(ms(now), 2, 0, vec![1, 2, 3], false));
            all.iter_mut().for_each(|r| r.say(ms(now), 1, 0, vec![1, 2, 3], false));
        }
    });
    for (number, r) in net.all.iter().enumerate() {
        assert!(
            r.words(ms(7000), 2).all(
                |(t, w)| usize::from(t.teller) % 10 == number % 10 && usize::from(w.place) == number % 10
            )
        );
        let peers = r.words(ms(7000), 2).count();
        assert!(peers >= 15, "{peers} of 20 peers");
        for place in 0..10 {
            let tellers = r
                .words(ms(4000), 1)
                .filter(|(t, w)| w.place == place && usize::from(t.teller) != number)
                .count();
            assert!((2..=3).contains(&tellers), "{tellers} tellers of place {place} at {number}");
        }
    }
    let (large, small) = (seconds_bytes(200), seconds_bytes(20));
    assert!(large <= small * 1.3, "{large} bytes a router and second, {small} at a tenth");
}

#[test]
fn who_starts_anew_is_believed_over_its_earlier_life_and_late_words_are_not() {
    let mut r = gossip(0, 20, 1);
    let word = |incarnation, number, body: &[u8]| Carried {
        topic: Topic { kind: 1, part: 0, teller: 5 },
        place: 5,
        version: Version { incarnation, number },
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
    assert_eq!((held(&r).as_deref(), r.words(ms(100), 1).count()), (Some(b"newer".as_slice()), 1));
    r.heard(ms(100), 77, &encode(5, &[word(9, 9, b"x")]));
    assert_eq!(r.dropped().strange, 3);
}

#[test]
fn the_freshest_tellers_of_a_place_are_kept_and_no_flood_grows_the_table() {
    let mut r = gossip(0, 60_000, 1);
    for n in 1..60_000u16 {
        let topic = Topic { kind: 1 + (n % 2) as u8, part: (n % 251) as u8, teller: n };
        let version = Version { incarnation: 1, number: 1 };
        let (place, age) = ((n % 200) as u8, Duration::from_millis(u64::from(n % 97) * 10));
        let word = Carried { topic, place, version, age, urgent: true, body: vec![0; 8] };
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
