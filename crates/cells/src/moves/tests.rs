use super::*;
use std::collections::{HashMap, HashSet, VecDeque};

const SETTLING_TIME: Duration = Duration::from_secs(5);

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn started_move() -> Move {
    let mut moved = Move::new(1, 2, SETTLING_TIME);
    moved.update_liveness(s(0), true, true);
    moved
}

/// Records `count` served requests at the new cell with this hit rate.
fn record_served(moved: &mut Move, now: Duration, count: usize, hits: f64) {
    let mut hit = 0.0;
    for _ in 0..count {
        hit += hits;
        moved.record(now, 2, true, hit >= 1.0);
        hit -= hit.floor();
    }
}

#[test]
fn the_share_follows_the_hit_rate_of_the_new_cell_and_not_the_clock() {
    let mut moved = started_move();
    (0..1000).for_each(|n| moved.record(s(0), 1, true, n % 5 != 0));
    // At half of the old cell's hit rate the share never grows.
    record_served(&mut moved, s(1000), 5000, 0.4);
    assert_eq!(
        (moved.state(), moved.share()),
        (State::Warming, INITIAL_SHARE)
    );
    // Once the cell is warm, the share doubles.
    let mut shares = vec![moved.share()];
    while moved.state() < State::Settling {
        record_served(&mut moved, s(1000), 16, 0.8);
        shares.extend((moved.share() != shares[shares.len() - 1]).then_some(moved.share()));
    }
    assert_eq!(shares, [0.0625, 0.125, 0.25, 0.5, 1.0]);
    moved.tick(s(1004));
    assert_eq!(
        moved.state(),
        State::Settling,
        "requests may still be in flight at the old cell"
    );
    moved.tick(s(1005));
    assert_eq!(moved.state(), State::Done);
}

#[test]
fn an_object_moves_once_and_returns_only_in_a_rollback() {
    let mut moved = started_move();
    let mut moved_objects: HashSet<u64> = HashSet::new();
    let objects: Vec<u64> = (0..2000u64)
        .map(|n| n.wrapping_mul(0x9E37_79B9_7F4A_7C15))
        .collect();
    while moved.state() < State::Settling {
        let now: HashSet<u64> = objects
            .iter()
            .copied()
            .filter(|o| moved.cell(*o) == 2)
            .collect();
        assert!(moved_objects.is_subset(&now));
        let share = now.len() as f64 / objects.len() as f64;
        assert!(
            (share - moved.share()).abs() < 0.03,
            "{share} of {}",
            moved.share()
        );
        moved_objects = now;
        record_served(&mut moved, s(1), 50, 1.0);
    }
    assert!(objects.iter().all(|o| moved.cell(*o) == 2));
    moved.reverse();
    assert!(objects.iter().all(|o| moved.cell(*o) == 1));
}

#[test]
fn a_failed_new_cell_rolls_back_and_a_drained_old_cell_hands_over() {
    let mut moved = started_move();
    record_served(&mut moved, s(1), 100, 1.0);
    for _ in 0..3 {
        moved.record(s(1), 2, false, false);
    }
    assert_eq!((moved.state(), moved.share()), (State::RolledBack, 0.0));
    let mut moved = started_move();
    record_served(&mut moved, s(1), 100, 1.0);
    moved.update_liveness(s(2), true, false);
    assert_eq!(moved.state(), State::RolledBack);
    let mut moved = started_move();
    record_served(&mut moved, s(1), 100, 1.0);
    moved.update_liveness(s(2), false, true);
    assert_eq!((moved.state(), moved.share()), (State::Settling, 1.0));
}

#[test]
fn a_paused_move_holds_and_one_reversed_twice_restarts() {
    let mut moved = started_move();
    record_served(&mut moved, s(1), 100, 1.0);
    let share = moved.share();
    moved.pause();
    record_served(&mut moved, s(1), 1000, 1.0);
    assert_eq!(moved.share(), share);
    moved.resume();
    record_served(&mut moved, s(1), 50, 1.0);
    assert!(moved.share() > share);
    moved.reverse();
    moved.reverse();
    moved.update_liveness(s(1), true, true);
    assert_eq!(
        (moved.state(), moved.share()),
        (State::Warming, INITIAL_SHARE)
    );
}

/// The events of a router's move.
#[derive(Clone, Copy, Debug)]
enum Event {
    WarmResults,
    ColdResults,
    Failure,
    Pause,
    Resume,
    Reverse,
    Restart,
    BothCellsUp,
    NewCellDown,
    OldCellDown,
    TimePasses,
}

const EVENTS: [Event; 11] = [
    Event::WarmResults,
    Event::ColdResults,
    Event::Failure,
    Event::Pause,
    Event::Resume,
    Event::Reverse,
    Event::Restart,
    Event::BothCellsUp,
    Event::NewCellDown,
    Event::OldCellDown,
    Event::TimePasses,
];

/// State, share in 64ths, paused, old cell alive, new cell alive.
type Key = (State, u32, bool, bool, bool);

/// Builds a move in this state: all that its next step depends on, except its samples.
fn at((state, share, paused, _, _): Key) -> Move {
    let mut moved = Move::new(1, 2, SETTLING_TIME);
    (moved.state, moved.share, moved.paused) = (state, f64::from(share) / 64.0, paused);
    (moved.old_hit_rate, moved.settled_at) = (Some(0.8), s(10));
    moved
}

fn next(key: Key, event: Event) -> Key {
    let (mut moved, mut old, mut new) = (at(key), key.3, key.4);
    match event {
        Event::WarmResults => record_served(&mut moved, s(1), 50, 0.8),
        Event::ColdResults => record_served(&mut moved, s(1), 50, 0.1),
        Event::Failure => (0..4).for_each(|_| moved.record(s(1), 2, false, false)),
        Event::Pause => moved.pause(),
        Event::Resume => moved.resume(),
        Event::Reverse => moved.reverse(),
        // A restarted router loses its state and is configured with the move again.
        Event::Restart => moved = Move::new(1, 2, SETTLING_TIME),
        Event::BothCellsUp => (old, new) = (true, true),
        Event::NewCellDown => new = false,
        Event::OldCellDown => old = false,
        Event::TimePasses => moved.tick(s(100)),
    }
    moved.update_liveness(s(1), old, new);
    (
        moved.state(),
        (moved.share() * 64.0) as u32,
        moved.is_paused(),
        old,
        new,
    )
}

/// Explores all reachable states of two routers' moves, each independent of the other and in any interleaving,
/// with restarts, epochs that only one router has received, and cells that fail.
#[test]
fn every_reachable_pair_of_router_states_is_valid_and_can_finish() {
    let start: Key = (State::Prepared, 0, false, true, true);
    let mut transitions: HashMap<Key, Vec<Key>> = HashMap::new();
    let mut pending = VecDeque::from([start]);
    while let Some(key) = pending.pop_front() {
        if transitions.contains_key(&key) {
            continue;
        }
        let after: Vec<Key> = EVENTS.iter().map(|event| next(key, *event)).collect();
        pending.extend(after.iter().copied());
        transitions.insert(key, after);
    }
    for (state, share, _, old, new) in transitions.keys() {
        let valid = match state {
            State::Prepared | State::RolledBack => *share == 0,
            State::Warming => *share == 4,
            State::Shifting => (8..64).contains(share),
            State::Settling | State::Done => *share == 64,
        };
        assert!(valid, "{state:?} at {share}/64");
        // While one cell is alive, nothing is sent to the dead one.
        if *old != *new && *state != State::Done {
            assert!(
                if *new { *share == 64 } else { *share == 0 },
                "{state:?} {share} old {old} new {new}"
            );
        }
    }
    // Both final states are reachable from every state, except from `Done`.
    for end in [State::Done, State::RolledBack] {
        let mut reaching: HashSet<Key> =
            transitions.keys().copied().filter(|k| k.0 == end).collect();
        loop {
            let more: Vec<Key> = transitions
                .iter()
                .filter(|(k, a)| !reaching.contains(*k) && a.iter().any(|k| reaching.contains(k)))
                .map(|(k, _)| *k)
                .collect();
            if more.is_empty() {
                break;
            }
            reaching.extend(more);
        }
        assert!(
            transitions
                .keys()
                .all(|k| reaching.contains(k) || k.0 == State::Done),
            "{end:?}"
        );
    }
    // Two routers have only the liveness of the cells in common, so a pair is valid if each is: every object
    // goes to one of the two cells, and to a live one if there is one.
    let mut pairs = 0u64;
    for a in transitions.keys() {
        for b in transitions.keys().filter(|b| (b.3, b.4) == (a.3, a.4)) {
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
    println!("{} states of one router, {pairs} pairs", transitions.len());
    assert!(transitions.len() >= 20 && pairs >= 150);
}
