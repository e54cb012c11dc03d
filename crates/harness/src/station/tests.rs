use super::*;
use proptest::prelude::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn about(found: Option<(u32, Duration)>, key: u32, at: u64) {
    let (found, when) = found.expect("an end");
    assert_eq!(found, key);
    assert!(
        when.abs_diff(ms(at)) < Duration::from_micros(10),
        "{when:?} is not {at} ms"
    );
}

#[test]
fn two_share_what_one_could_have_alone() {
    let mut station = Station::new(1.0);
    station.add(ms(0), 1, 0.1);
    station.add(ms(50), 2, 0.1);
    // The first has half of its work left at 50 ms, and half the pace.
    assert_eq!(station.ended(ms(149)), None);
    about(station.ended(ms(500)), 1, 150);
    about(station.ended(ms(500)), 2, 200);
    assert!(station.is_empty() && station.next().is_none());
}

#[test]
fn with_room_for_all_each_runs_at_its_own_pace_and_a_cold_one_slower() {
    let mut station = Station::new(4.0);
    (0..4).for_each(|n| station.add(ms(0), n, 0.1 + f64::from(n) / 100.0));
    about(station.ended(ms(900)), 0, 100);
    about(station.ended(ms(900)), 1, 110);
    assert_eq!(station.drop_but(ms(110), |n| *n != 2), [2]);
    station.set(ms(110), 0.5);
    about(station.ended(ms(900)), 3, 150);
}

proptest! {
    /// Work is neither lost nor made: all that comes ends, not before its work at full pace, and all of
    /// it not before the station could have done it.
    #[test]
    fn work_is_kept(
        capacity in 0.2f64..8.0, works in prop::collection::vec((0u64..50, 0.001f64..0.2), 1..60),
    ) {
        let mut station = Station::new(capacity);
        let (mut now, mut ends, mut begins) = (ms(0), Vec::new(), Vec::new());
        for (n, (gap, work)) in works.iter().enumerate() {
            now += ms(*gap);
            while let Some(end) = station.ended(now) {
                ends.push(end);
            }
            station.add(now, n, *work);
            begins.push(now);
        }
        while let Some(end) = station.ended(Duration::from_secs(3600)) {
            ends.push(end);
        }
        prop_assert_eq!(ends.len(), works.len());
        let last = ends.iter().map(|(_, at)| at.as_secs_f64()).fold(0.0, f64::max);
        let sum: f64 = works.iter().map(|(_, work)| work).sum();
        prop_assert!(last + 1e-6 >= sum / capacity);
        for (n, at) in ends {
            prop_assert!(at.as_secs_f64() + 1e-6 >= begins[n].as_secs_f64() + works[n].1);
        }
    }
}
