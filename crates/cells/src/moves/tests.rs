use super::*;
use std::collections::{HashMap, HashSet, VecDeque};

const SETTLE: Duration = Duration::from_secs(5);

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn begun() -> Move {
    let mut moved = Move::new(1, 2, SETTLE);
    moved.alive(s(0), true, true);
    moved
}

/// So many outcomes at the new cell, of which a share are hits.
fn see(moved: &mut Move, now: Duration, count: usize, hits: f64) {
    let mut hit = 0.0;
    for _ in 0..count {
        hit += hits;
        moved.told(now, 2, true, hit >= 1.0);
        hit -= hit.floor();
    }
}

#[test]
fn it_follows_the_warmth_of_the_new_cell_and_not_the_clock() {
    let mut moved = begun();
    (0..1000).for_each(|n| moved.told(s(0), 1, true, n % 5 != 0));
    // Half as warm as the old one: however long it takes, no more goes there.
    see(&mut moved, s(1000), 5000, 0.4);
    assert_eq!((moved.state(), moved.share()), (State::Warming, FIRST));
    // Warm: it doubles.
    let mut shares = vec![moved.share()];
    while moved.state() < State::Settling {
        see(&mut moved, s(1000), 16, 0.8);
        shares.extend((moved.share() != shares[shares.len() - 1]).then_some(moved.share()));
    }
    assert_eq!(shares, [0.0625, 0.125, 0.25, 0.5, 1.0]);
    moved.tick(s(1004));
    assert_eq!(
        moved.state(),
        State::Settling,
        "what began at the old cell may not have ended"
    );
    moved.tick(s(1005));
    assert_eq!(moved.state(), State::Done);
}

#[test]
fn an_object_goes_over_once_and_comes_back_only_with_all() {
    let mut moved = begun();
    let mut over: HashSet<u64> = HashSet::new();
    let objects: Vec<u64> = (0..2000u64)
        .map(|n| n.wrapping_mul(0x9E37_79B9_7F4A_7C15))
        .collect();
    while moved.state() < State::Settling {
        let now: HashSet<u64> = objects
            .iter()
            .copied()
            .filter(|o| moved.cell(*o) == 2)
            .collect();
        assert!(over.is_subset(&now));
        let share = now.len() as f64 / objects.len() as f64;
        assert!(
            (share - moved.share()).abs() < 0.03,
            "{share} of {}",
            moved.share()
        );
        over = now;
        see(&mut moved, s(1), 50, 1.0);
    }
    assert!(objects.iter().all(|o| moved.cell(*o) == 2));
    moved.reverse();
    assert!(objects.iter().all(|o| moved.cell(*o) == 1));
}

#[test]
fn a_new_cell_that_fails_or_dies_gives_it_back_and_an_old_one_that_drains_lets_it_go() {
    let mut moved = begun();
    see(&mut moved, s(1), 100, 1.0);
    for _ in 0..3 {
        moved.told(s(1), 2, false, false);
    }
    assert_eq!((moved.state(), moved.share()), (State::RolledBack, 0.0));
    let mut moved = begun();
    see(&mut moved, s(1), 100, 1.0);
    moved.alive(s(2), true, false);
    assert_eq!(moved.state(), State::RolledBack);
    let mut moved = begun();
    see(&mut moved, s(1), 100, 1.0);
    moved.alive(s(2), false, true);
    assert_eq!((moved.state(), moved.share()), (State::Settling, 1.0));
}

#[test]
fn paused_it_stays_and_reversed_twice_it_begins_anew() {
    let mut moved = begun();
    see(&mut moved, s(1), 100, 1.0);
    let share = moved.share();
    moved.pause();
    see(&mut moved, s(1), 1000, 1.0);
    assert_eq!(moved.share(), share);
    moved.resume();
    see(&mut moved, s(1), 50, 1.0);
    assert!(moved.share() > share);
    moved.reverse();
    moved.reverse();
    moved.alive(s(1), true, true);
    assert_eq!((moved.state(), moved.share()), (State::Warming, FIRST));
}

/// What can happen to a router's move.
#[derive(Clone, Copy, Debug)]
enum Event {
    Warm,
    Cold,
    Fails,
    Pause,
    Resume,
    Reverse,
    Killed,
    BothAlive,
    NewDies,
    OldDrains,
    Time,
}

const EVENTS: [Event; 11] = [
    Event::Warm,
    Event::Cold,
    Event::Fails,
    Event::Pause,
    Event::Resume,
    Event::Reverse,
    Event::Killed,
    Event::BothAlive,
    Event::NewDies,
    Event::OldDrains,
    Event::Time,
];

/// State, share in 64ths, paused, old cell alive, new cell alive.
type Key = (State, u32, bool, bool, bool);

/// Builds a move that stands so: all that its next step depends on, evidence apart.
fn at((state, share, paused, _, _): Key) -> Move {
    let mut moved = Move::new(1, 2, SETTLE);
    (moved.state, moved.share, moved.paused) = (state, f64::from(share) / 64.0, paused);
    (moved.old, moved.settles_at) = (Some(0.8), s(10));
    moved
}

fn next(key: Key, event: Event) -> Key {
    let (mut moved, mut old, mut new) = (at(key), key.3, key.4);
    match event {
        Event::Warm => see(&mut moved, s(1), 50, 0.8),
        Event::Cold => see(&mut moved, s(1), 50, 0.1),
        Event::Fails => (0..4).for_each(|_| moved.told(s(1), 2, false, false)),
        Event::Pause => moved.pause(),
        Event::Resume => moved.resume(),
        Event::Reverse => moved.reverse(),
        // Whatever it knew is lost: it is told of the move anew.
        Event::Killed => moved = Move::new(1, 2, SETTLE),
        Event::BothAlive => (old, new) = (true, true),
        Event::NewDies => new = false,
        Event::OldDrains => old = false,
        Event::Time => moved.tick(s(100)),
    }
    moved.alive(s(1), old, new);
    (
        moved.state(),
        (moved.share() * 64.0) as u32,
        moved.is_paused(),
        old,
        new,
    )
}

/// Every way in which two routers' moves can go, each by itself and in any order between them, with
/// kills, epochs told to one and not yet to the other, and cells that die: all that can be reached is
/// looked at.
#[test]
fn every_reachable_pair_of_two_routers_is_sound_and_leads_to_an_end() {
    let start: Key = (State::Prepared, 0, false, true, true);
    let mut one: HashMap<Key, Vec<Key>> = HashMap::new();
    let mut row = VecDeque::from([start]);
    while let Some(key) = row.pop_front() {
        if one.contains_key(&key) {
            continue;
        }
        let after: Vec<Key> = EVENTS.iter().map(|event| next(key, *event)).collect();
        row.extend(after.iter().copied());
        one.insert(key, after);
    }
    for (state, share, _, old, new) in one.keys() {
        let whole = match state {
            State::Prepared | State::RolledBack => *share == 0,
            State::Warming => *share == 4,
            State::Shifting => (8..64).contains(share),
            State::Settling | State::Done => *share == 64,
        };
        assert!(whole, "{state:?} at {share}/64");
        // While somebody can serve it, it is not sent where nobody can.
        if *old != *new && *state != State::Done {
            assert!(
                if *new { *share == 64 } else { *share == 0 },
                "{state:?} {share} old {old} new {new}"
            );
        }
    }
    // From everywhere both ends can be reached, but from the end itself.
    for end in [State::Done, State::RolledBack] {
        let mut good: HashSet<Key> = one.keys().copied().filter(|k| k.0 == end).collect();
        loop {
            let more: Vec<Key> = one
                .iter()
                .filter(|(k, a)| !good.contains(*k) && a.iter().any(|k| good.contains(k)))
                .map(|(k, _)| *k)
                .collect();
            if more.is_empty() {
                break;
            }
            good.extend(more);
        }
        assert!(
            one.keys().all(|k| good.contains(k) || k.0 == State::Done),
            "{end:?}"
        );
    }
    // Two routers share nothing but the cells' life: a pair is sound where each is, and an object that
    // either sends somewhere goes to one of the two cells, alive if one is.
    let mut pairs = 0u64;
    for a in one.keys() {
        for b in one.keys().filter(|b| (b.3, b.4) == (a.3, a.4)) {
            pairs += 1;
            for object in [0, u64::MAX / 3, u64::MAX] {
                for key in [a, b] {
                    let cell = at(*key).cell(object);
                    let alive = if cell == 2 { key.4 } else { key.3 };
                    assert!(
                        alive || key.0 == State::Done || !(key.3 || key.4),
                        "{key:?} sends to {cell}"
                    );
                }
            }
        }
    }
    println!("{} states of one router, {pairs} pairs", one.len());
    assert!(one.len() >= 20 && pairs >= 150);
}
