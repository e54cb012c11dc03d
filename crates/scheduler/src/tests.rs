use super::*;
use proptest::prelude::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn kind(priority: u8) -> Kind {
    Kind {
        priority,
        deadline: ms(1000),
        starves: ms(5000),
        ..Kind::default()
    }
}

fn one() -> Cost {
    Cost {
        operations: 1.0,
        ..Cost::default()
    }
}

#[test]
fn priorities_share_and_none_is_shut_out() {
    let mut work = Scheduler::new(vec![kind(0), kind(1)], ms(5));
    let mut went = [0; 2];
    for _ in 0..500 {
        (0..2)
            .filter(|n| work.held(*n).0 < 5)
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|n| {
                work.offer(ms(0), n, one());
            });
        let next = work.next(ms(0)).unwrap();
        went[next] += 1;
        work.done(next, one());
    }
    assert_eq!(went, [100, 400]);
}

#[test]
fn who_had_nothing_to_do_has_no_claim_on_the_past() {
    let mut work = Scheduler::new(vec![kind(1), kind(1)], ms(5));
    for _ in 0..1000 {
        work.offer(ms(0), 0, one());
        assert_eq!(work.next(ms(0)), Some(0));
    }
    let mut went = [0; 2];
    for _ in 0..100 {
        work.offer(ms(0), 0, one());
        work.offer(ms(0), 1, one());
        went[work.next(ms(0)).unwrap()] += 1;
    }
    assert!(went[0] >= 49, "{went:?}");
}

#[test]
fn late_turns_pause_all_but_what_starves() {
    let mut work = Scheduler::new(vec![kind(1)], ms(5));
    work.offer(ms(0), 0, one());
    work.offer(ms(0), 0, one());
    (0..20).for_each(|_| work.turn(ms(100), ms(20)));
    assert!(work.is_paused(ms(100)) && work.next(ms(100)).is_none());
    assert_eq!(work.next_look(ms(100)), Some(ms(1100)));
    // A little better is not enough to go on, half is.
    (0..50).for_each(|_| work.turn(ms(200), ms(4)));
    assert!(work.is_paused(ms(200)));
    (0..50).for_each(|_| work.turn(ms(300), ms(2)));
    assert_eq!(work.next(ms(300)), Some(0));
    (0..50).for_each(|_| work.turn(ms(4900), ms(20)));
    assert_eq!((work.next(ms(4999)), work.next(ms(5000))), (None, Some(0)));
    // Word of the delay that has stopped coming holds nothing up.
    work.offer(ms(5000), 0, one());
    assert_eq!(work.next(ms(5901)), Some(0));
}

#[test]
fn what_is_late_goes_before_a_higher_priority_and_no_more_at_once_than_may() {
    let mut low = kind(0);
    low.at_once = 1;
    let mut work = Scheduler::new(vec![low, kind(3)], ms(5));
    (0..2).for_each(|n| assert!(work.offer(ms(n), 0, one())));
    work.offer(ms(1500), 1, one());
    assert_eq!(
        [
            work.next(ms(1500)),
            work.next(ms(1500)),
            work.next(ms(1500))
        ],
        [Some(0), Some(1), None]
    );
    work.done(0, one());
    assert_eq!(work.next(ms(1500)), Some(0));
}

#[test]
fn a_wrong_guess_is_settled_when_the_work_is_done() {
    let bytes = Some(Rate::a_second(100.0));
    let mut work = Scheduler::new(vec![Kind { bytes, ..kind(0) }], ms(5));
    let cost = |bytes| Cost {
        bytes,
        ..Cost::default()
    };
    (0..3).for_each(|_| assert!(work.offer(ms(0), 0, cost(10.0))));
    assert_eq!(work.next(ms(0)), Some(0));
    work.done(0, cost(290.0));
    // 190 in debt: it takes two seconds until ten are there again.
    assert_eq!((work.next(ms(1999)), work.next(ms(2000))), (None, Some(0)));
    assert_eq!(work.next_look(ms(2000)), Some(ms(2100)));
}

#[test]
fn what_waits_is_bounded() {
    let mut work = Scheduler::new(vec![kind(0)], ms(5));
    let taken = (0..2 * WAITING_MOST)
        .filter(|_| work.offer(ms(0), 0, one()))
        .count();
    assert_eq!(
        (taken, work.report().next().map(|r| r.3.refused)),
        (WAITING_MOST, Some(WAITING_MOST as u64))
    );
}

proptest! {
    /// Whatever comes: over any run no kind takes more than its rate and one purse and one piece more,
    /// unless it starved, and no piece waits past the bound while the scheduler is asked.
    #[test]
    fn budgets_hold_and_nothing_starves(
        seed in any::<u64>(),
        rates in prop::collection::vec(10.0f64..1000.0, 1..4),
    ) {
        let kinds = rates.iter().enumerate().map(|(n, rate)| {
            Kind { bytes: Some(Rate::a_second(*rate)), priority: n as u8, ..kind(0) }
        });
        let mut work = Scheduler::new(kinds.collect(), ms(5));
        let mut chance = fastrand::Rng::with_seed(seed);
        let (mut paid, mut starved) = (vec![0.0; rates.len()], vec![0.0; rates.len()]);
        let mut waiting: Vec<VecDeque<(Duration, f64)>> = vec![VecDeque::new(); rates.len()];
        for step in 0..2000u64 {
            let now = ms(step * 10);
            let n = chance.usize(..rates.len());
            let bytes = chance.f64() * 40.0;
            if chance.u8(..3) == 0 && work.offer(now, n, Cost { bytes, ..Cost::default() }) {
                waiting[n].push_back((now, bytes));
            }
            work.turn(now, ms(chance.u64(..12)));
            while let Some(n) = work.next(now) {
                let (offered, bytes) = waiting[n].pop_front().unwrap();
                let waited = now - offered;
                prop_assert!(waited <= ms(5010), "{waited:?}");
                if waited >= ms(5000) { starved[n] += bytes } else { paid[n] += bytes }
                work.done(n, Cost { bytes, ..Cost::default() });
            }
        }
        for (n, rate) in rates.iter().enumerate() {
            let most = rate * 20.0 + rate + 40.0 + starved[n];
            prop_assert!(paid[n] <= most, "{} of {most}", paid[n]);
        }
    }
}
