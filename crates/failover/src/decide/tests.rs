use super::*;
use chalkhall_gossip::To;
use proptest::prelude::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[derive(Default)]
struct Said(Vec<(u64, Vec<u8>)>);

impl Mouth for Said {
    fn say(&mut self, to: To, bytes: &[u8]) {
        let To::One(to) = to else {
            panic!("nobody is told all")
        };
        self.0.push((to, bytes.to_vec()));
    }
}

/// Zones of routers and caches, as a fluid: what a place is sent beyond what it can do is not served.
struct World {
    places: usize,
    routers: Vec<Option<Regions>>,
    lives: u32,
    capacity: f64,
    /// Down; and since when it is back, from nothing.
    down: Vec<bool>,
    back: Vec<Option<u64>>,
    /// What each zone's clients ask for, in transfers.
    demand: Vec<f64>,
    /// Datagrams from one zone to another are lost.
    cut: Vec<Vec<bool>>,
    loses: f64,
    chance: fastrand::Rng,
    /// Every request goes to the next zone when its own is down, whatever that has room for.
    naive: bool,
    /// By zone and turn of 50 ms: asked, served, sent abroad, sent abroad while home could have.
    shown: Vec<Vec<[f64; 4]>>,
    toppled: Vec<f64>,
    /// Routers of one zone acting on different plans, in turns of 50 ms on end; and the longest.
    apart: Vec<u64>,
    apart_most: u64,
    /// A broken router sees only failures.
    broken: Option<usize>,
}

const WARM_MS: u64 = 4000;

fn router(
    now: u64,
    number: usize,
    places: usize,
    routers: usize,
    incarnation: u32,
    seed: u64,
) -> Regions {
    let place = (number % places) as u8;
    let about = About {
        number: number as u16,
        routers,
        place,
        places,
        incarnation,
        seed: seed ^ number as u64,
        abroad: true,
    };
    Regions::start(ms(now), about).expect("not alone")
}

impl World {
    fn new(places: usize, routers: usize, load: f64, seed: u64) -> World {
        let capacity = 16.0;
        World {
            places,
            routers: (0..routers)
                .map(|n| Some(router(0, n, places, routers, 1, seed)))
                .collect(),
            lives: 1,
            capacity,
            down: vec![false; places],
            back: vec![None; places],
            demand: vec![load * capacity; places],
            cut: vec![vec![false; places]; places],
            loses: 0.05,
            chance: fastrand::Rng::with_seed(seed),
            naive: false,
            shown: vec![Vec::new(); places],
            toppled: vec![0.0; places],
            apart: vec![0; places],
            apart_most: 0,
            broken: None,
        }
    }

    fn present(&self, place: usize, now: u64) -> f64 {
        if self.down[place] {
            return 0.0;
        }
        let warm = self.back[place].map_or(1.0, |at| ((now - at) as f64 / WARM_MS as f64).min(1.0));
        self.capacity * (0.3 + 0.7 * warm)
    }

    fn until(&mut self, from: u64, to: u64) {
        for now in (from..to).step_by(50) {
            let here = self.routers.len() / self.places;
            let listed: Vec<Place> = (0..self.places)
                .map(|p| {
                    // Down, the list goes on telling of it.
                    let present = if self.down[p] {
                        self.capacity
                    } else {
                        self.present(p, now)
                    };
                    let warm = if self.back[p].is_none_or(|at| now >= at + WARM_MS) {
                        self.capacity
                    } else {
                        0.0
                    };
                    Place {
                        capacity: self.capacity,
                        present,
                        warm,
                    }
                })
                .collect();
            // Who sends where: ten requests a router and turn, each a tenth of what it asks for.
            let mut sent = vec![vec![0.0; self.places]; self.places];
            let mut went: Vec<Vec<(usize, f64)>> = vec![Vec::new(); self.routers.len()];
            let mut nowhere = vec![0.0; self.places];
            for (n, went) in went.iter_mut().enumerate() {
                let place = n % self.places;
                let work = self.demand[place] / here as f64 / 10.0;
                let naive_to = self.down[place].then(|| {
                    (1..self.places)
                        .map(|k| (place + k) % self.places)
                        .find(|p| !self.down[*p])
                });
                let Some(regions) = &mut self.routers[n] else {
                    continue;
                };
                regions.list(&listed);
                for k in 0..10 {
                    regions.asked(ms(now), work * 0.05);
                    let at = (k as f64 + self.chance.f64()) / 10.0;
                    let to = match regions.request(at, true, self.chance.f64()) {
                        Where::Home if self.naive => naive_to.flatten().unwrap_or(place),
                        Where::Home => place,
                        Where::Abroad(to) if !self.naive => to,
                        Where::Abroad(_) => place,
                        Where::Nowhere => {
                            nowhere[place] += work;
                            continue;
                        }
                    };
                    sent[place][to] += work;
                    went.push((to, work));
                }
            }
            let total: Vec<f64> = (0..self.places)
                .map(|to| sent.iter().map(|row| row[to]).sum())
                .collect();
            let served: Vec<f64> = (0..self.places)
                .map(|p| {
                    // What is asked too much of serves less than it could: it works on what comes too late.
                    let present = self.present(p, now);
                    let over = total[p] / present.max(1e-9);
                    if over > 1.3 {
                        0.3 / over
                    } else {
                        (1.0 / over).min(1.0)
                    }
                })
                .collect();
            for (p, share) in served.iter().enumerate() {
                self.toppled[p] += f64::from(
                    !self.down[p] && *share < 0.5 && self.present(p, now) == self.capacity,
                ) * 0.05;
            }
            for (n, went) in went.iter().enumerate() {
                let place = n % self.places;
                let broken = self.broken == Some(n);
                let Some(regions) = &mut self.routers[n] else {
                    continue;
                };
                for (to, _) in went.iter().copied() {
                    let good = self.chance.f64() < served[to];
                    if to == place {
                        // What is late says that the place is busy, not that it is down.
                        regions.saw(ms(now), !self.down[place] && !broken);
                    }
                    regions.answered(ms(now), good);
                }
                for edge in regions.to_measure(ms(now)) {
                    let way = (!self.down[edge])
                        .then(|| ms(2 + 10 * ((edge + self.places - place) % self.places) as u64));
                    regions.model().saw(ms(now), edge, way);
                }
            }
            for p in 0..self.places {
                let asked: f64 = sent[p].iter().sum::<f64>() + nowhere[p];
                let got: f64 = (0..self.places).map(|to| sent[p][to] * served[to]).sum();
                let abroad: f64 = (0..self.places)
                    .filter(|to| *to != p)
                    .map(|to| sent[p][to])
                    .sum();
                let needless = if !self.down[p] && self.present(p, now) >= self.demand[p] {
                    abroad
                } else {
                    0.0
                };
                self.shown[p].push([asked, got, abroad, needless]);
                let plans: std::collections::BTreeSet<Option<u32>> = self
                    .routers
                    .iter()
                    .enumerate()
                    .filter(|(n, _)| n % self.places == p)
                    .filter_map(|(_, r)| r.as_ref())
                    .map(|r| r.report(ms(now)).plan.map(|(plan, _)| plan.number))
                    .collect();
                self.apart[p] = if plans.len() > 2 {
                    self.apart[p] + 50
                } else {
                    0
                };
                self.apart_most = self.apart_most.max(self.apart[p]);
            }
            for small in (0..50).step_by(10) {
                let now = now + small;
                for n in 0..self.routers.len() {
                    let mut said = Said::default();
                    let Some(regions) = &mut self.routers[n] else {
                        continue;
                    };
                    if ms(now) >= regions.next() {
                        regions.tick(ms(now), &mut said);
                    }
                    for (to, bytes) in said.0 {
                        let (a, b) = (n % self.places, to as usize % self.places);
                        if self.cut[a][b] || self.chance.f64() < self.loses {
                            continue;
                        }
                        if let Some(other) = &mut self.routers[to as usize] {
                            other.heard(ms(now), n as u64, &bytes);
                        }
                    }
                }
            }
        }
    }

    fn lose(&mut self, place: usize) {
        self.down[place] = true;
    }

    fn comes_back(&mut self, place: usize, now: u64) {
        (self.down[place], self.back[place]) = (false, Some(now));
    }

    /// Of what was asked for at a zone in that time: served, sent abroad, sent abroad without need.
    fn shares(&self, place: usize, from: u64, to: u64) -> [f64; 3] {
        let turns = &self.shown[place][from as usize / 50..to as usize / 50];
        let sum = |k: usize| turns.iter().map(|t| t[k]).sum::<f64>();
        [1, 2, 3].map(|k| sum(k) / sum(0).max(1e-9))
    }
}

#[test]
fn a_lost_zone_is_taken_over_within_two_seconds_and_goes_home_as_it_warms() {
    for seed in [1, 2, 3] {
        let mut world = World::new(6, 60, 0.5, seed);
        world.until(0, 5000);
        let [served, abroad, _] = world.shares(0, 2000, 5000);
        assert!(served > 0.99 && abroad == 0.0, "calm: {served} {abroad}");
        world.lose(1);
        world.until(5000, 10_000);
        let [early, _, _] = world.shares(1, 5000, 7000);
        let [late, _, _] = world.shares(1, 7000, 10_000);
        assert!(
            early > 0.4 && late > 0.9,
            "seed {seed}: {early} in the first two seconds, {late} then"
        );
        world.comes_back(1, 10_000);
        world.until(10_000, 22_000);
        let [back, _, _] = world.shares(1, 10_000, 15_000);
        let [home, abroad, needless] = world.shares(1, 17_000, 22_000);
        assert!(
            back > 0.9 && home > 0.98 && abroad < 0.02,
            "seed {seed}: {back} {home} {abroad} {needless}"
        );
        for other in [0, 2, 3, 4, 5] {
            assert!(
                world.shares(other, 5000, 22_000)[0] > 0.97,
                "takers' own clients come first"
            );
            assert_eq!(
                world.shares(other, 0, 22_000)[1],
                0.0,
                "nobody else leaves home"
            );
        }
        assert!(
            world.apart_most <= 1000,
            "apart for {} ms",
            world.apart_most
        );
        assert_eq!(world.toppled.iter().sum::<f64>(), 0.0);
    }
}

#[test]
fn at_high_load_naive_failover_topples_the_next_and_this_one_does_not() {
    let play = |naive: bool| {
        let mut world = World::new(6, 60, 0.75, 7);
        world.naive = naive;
        world.until(0, 4000);
        world.lose(1);
        world.lose(4);
        world.until(4000, 12_000);
        let all: f64 = (0..6)
            .map(|p| world.shares(p, 6000, 12_000)[0])
            .sum::<f64>()
            / 6.0;
        (world.toppled.iter().sum::<f64>(), all)
    };
    let ((naive, served_naive), (ours, served)) = (play(true), play(false));
    assert!(naive > 2.0, "naive failover topples: {naive} place-seconds");
    assert!(
        ours == 0.0 && served > served_naive + 0.1,
        "{ours} place-seconds, served {served} of {served_naive}"
    );
}

#[test]
fn a_place_that_flaps_each_second_is_left_alone_after_the_second_time() {
    let mut world = World::new(6, 60, 0.5, 5);
    world.until(0, 4000);
    for n in 0..20u64 {
        let now = 4000 + n * 1000;
        if n.is_multiple_of(2) {
            world.lose(1)
        } else {
            world.down[1] = false
        }
        world.until(now, now + 1000);
    }
    // From each that went away and came back: changes between mostly home and mostly abroad.
    let homes: Vec<bool> = world.shown[1][80..]
        .iter()
        .map(|t| t[2] < 0.5 * t[0])
        .collect();
    let flaps = homes.windows(2).filter(|w| w[0] && !w[1]).count();
    assert!(flaps <= 4, "{flaps} times left in 20 s");
}

#[test]
fn all_bad_at_once_is_nobodys_fault_and_a_broken_router_is_outvoted() {
    let mut world = World::new(6, 60, 0.5, 6);
    world.until(0, 3000);
    (0..6).for_each(|p| world.lose(p));
    world.until(3000, 8000);
    let abroad: f64 = (0..6).map(|p| world.shares(p, 6000, 8000)[1]).sum();
    assert!(abroad < 0.01, "{abroad}");
    let mut world = World::new(6, 60, 0.5, 6);
    world.broken = Some(7);
    world.until(0, 8000);
    assert!((0..6).all(|p| world.shares(p, 0, 8000)[1] == 0.0));
}

#[test]
fn two_halves_each_decide_for_what_they_reach_and_a_speaker_that_dies_is_followed() {
    let mut world = World::new(6, 60, 0.5, 8);
    world.until(0, 3000);
    for a in 0..6 {
        (0..6).for_each(|b| world.cut[a][b] = (a < 3) != (b < 3));
    }
    world.lose(1);
    world.until(3000, 9000);
    // Only its half takes from it: of the others nothing is heard.
    let [served, abroad, _] = world.shares(1, 7000, 9000);
    assert!(served > 0.85 && abroad > 0.85, "{served} {abroad}");
    // Its speaker dies, and the next.
    world.routers[1] = None;
    world.routers[7] = None;
    world.until(9000, 15_000);
    let [served, abroad, _] = world.shares(1, 12_000, 15_000);
    assert!(
        served > 0.85 && abroad > 0.85,
        "{served} {abroad} after their deaths"
    );
    world.lives += 1;
    for n in [1, 7] {
        world.routers[n] = Some(router(15_000, n, 6, 60, world.lives, 8));
    }
    world.cut.iter_mut().flatten().for_each(|cut| *cut = false);
    world.comes_back(1, 15_000);
    world.until(15_000, 28_000);
    let [served, abroad, _] = world.shares(1, 24_000, 28_000);
    assert!(
        served > 0.98 && abroad < 0.02,
        "{served} {abroad} healed and back"
    );
}

#[test]
fn a_drained_zone_empties_without_a_fault_and_takes_nothing() {
    let mut world = World::new(6, 60, 0.5, 9);
    world.until(0, 3000);
    world
        .routers
        .iter_mut()
        .flatten()
        .for_each(|r| r.drain(&[2]));
    world.until(3000, 9000);
    let [served, abroad, _] = world.shares(2, 7000, 9000);
    assert!(served > 0.97 && abroad > 0.95, "{served} {abroad}");
    assert!(
        world.shares(2, 3000, 9000)[0] > 0.97,
        "without a lost request on the way"
    );
    world
        .routers
        .iter_mut()
        .flatten()
        .for_each(|r| r.drain(&[]));
    world.until(9000, 16_000);
    assert!(world.shares(2, 14_000, 16_000)[1] < 0.01);
}

#[test]
fn who_hears_nobody_goes_on_as_ever_and_what_must_not_run_twice_stays() {
    let mut world = World::new(6, 60, 0.5, 9);
    world.cut.iter_mut().flatten().for_each(|cut| *cut = true);
    world.lose(1);
    world.until(0, 5000);
    assert_eq!(world.shares(1, 0, 5000)[1], 0.0);
    let mut world = World::new(6, 60, 0.5, 9);
    world.lose(1);
    world.until(0, 5000);
    let regions = world.routers[1].as_mut().expect("there");
    assert!((0..100).all(|n| regions.request(f64::from(n) / 100.0, false, 1.0) == Where::Home));
    assert!(
        (0..100)
            .filter(|n| matches!(
                regions.request(f64::from(*n) / 100.0, true, 1.0),
                Where::Abroad(_)
            ))
            .count()
            > 80
    );
}

proptest! {
    #[test]
    fn nothing_told_breaks_it_or_sends_anything_where_there_is_no_place(
        words in prop::collection::vec(
            (1u8..12, any::<u8>(), 0u16..12, prop::collection::vec(any::<u8>(), 0..40)), 0..40,
        ),
    ) {
        use chalkhall_gossip::gossip::{Message, Topic, Version, encode};
        let mut regions = router(0, 0, 4, 12, 1, 1);
        regions.list(&[Place { capacity: 10.0, present: 10.0, warm: 10.0 }; 4]);
        for (n, (kind, key, publisher, payload)) in words.into_iter().enumerate() {
            let version = Version { incarnation: 1, sequence: n as u32 };
            let zone = (publisher % 4) as u8;
            let (topic, age) = (Topic { kind, key, publisher }, Duration::ZERO);
            let message = Message { topic, zone, version, age, urgent: true, payload };
            regions.heard(ms(10), u64::from(publisher), &encode(zone, &[message]));
            regions.tick(ms(10 + n as u64 * 60), &mut Said::default());
            for at in [0.0, 0.3, 0.99] {
                let _ = regions.request(at, true, 1.0);
            }
        }
        let _ = regions.report(ms(5000));
    }
}
