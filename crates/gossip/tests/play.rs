//! 200 routers in simulated time: what peers tell, a film that all want, slow caches, and a day on which most
//! goes wrong. `SEED=…` plays another; any must hold.

mod stand_ins;

use stand_ins::{Day, PARENTS, Seen, World};

fn share(part: usize, of: usize) -> f64 {
    part as f64 / of.max(1) as f64
}

fn seed() -> u64 {
    std::env::var("SEED")
        .ok()
        .and_then(|seed| seed.parse().ok())
        .unwrap_or(1)
}

#[test]
fn what_peers_tell_saves_fills_and_costs_little() {
    let day = Day {
        seed: seed(),
        hot: true,
        ..Day::default()
    };
    let (alone, talking) = (World::play(day), World::play(Day { talk: true, ..day }));
    let served = |seen: &Seen| share(seen.in_time, seen.asked);
    assert!(
        served(&talking) > served(&alone),
        "{:.3} after {:.3}",
        served(&talking),
        served(&alone)
    );
    let hits = |seen: &Seen| share(seen.hits, seen.asked);
    assert!(
        hits(&talking) > hits(&alone),
        "{:.3} hits after {:.3}",
        hits(&talking),
        hits(&alone)
    );
    assert!(
        share(talking.bytes, talking.asked) < 64.0,
        "{} bytes a request",
        share(talking.bytes, talking.asked)
    );
    assert_eq!(alone.bytes, 0);
}

#[test]
fn a_film_that_all_want_crowds_no_parent() {
    let seen = World::play(Day {
        seed: seed(),
        hot: true,
        talk: true,
        ..Day::default()
    });
    let most = seen.by_parent.values().copied().max().unwrap_or(0);
    let mean = share(seen.fills, PARENTS);
    assert!(
        (most as f64) < 1.6 * mean,
        "a parent had {most} fills, {mean:.0} on the mean: {:?}",
        seen.by_parent
    );
}

#[test]
fn a_cache_that_is_slow_and_silent_about_it_is_found_by_each_router() {
    let (sound, slow) = (
        Day {
            seed: seed(),
            talk: true,
            ..Day::default()
        },
        Day {
            slow: true,
            seed: seed(),
            talk: true,
            ..Day::default()
        },
    );
    let (sound, slow) = (World::play(sound), World::play(slow));
    let (before, after) = (
        share(sound.by_first, sound.attempts),
        share(slow.by_first, slow.attempts),
    );
    assert!(
        after < 0.5 * before,
        "it still gets {after:.2} of all, {before:.2} where it is sound"
    );
}

#[test]
fn seven_in_ten_killed_and_datagrams_lost_late_and_forged_break_nothing() {
    let day = Day {
        seed: seed(),
        talk: true,
        killed: true,
        hot: true,
        lost: 0.3,
        spoilt: true,
        ..Day::default()
    };
    let seen = World::play(day);
    // That every request of a living router is answered once, in its time, is watched on the way.
    assert!(seen.strangers > 0, "no forged datagram came");
    let whole = World::play(Day {
        killed: false,
        lost: 0.0,
        spoilt: false,
        ..day
    });
    let (served, before) = (
        share(seen.in_time, seen.asked),
        share(whole.in_time, whole.asked),
    );
    assert!(
        served > 0.9 * before,
        "{served:.3} of what living routers were asked, {before:.3} on a whole day"
    );
}
