use super::*;
use proptest::prelude::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn kind(priority: u8) -> Kind {
    Kind {
        priority,
        deadline: ms(1000),
        starvation_limit: ms(5000),
        ..Kind::default()
    }
}

fn unit_cost() -> Cost {
    Cost {
        operations: 1.0,
        ..Cost::default()
    }
}

#[test]
fn priorities_share_in_proportion_without_starvation() {
    let mut work = Scheduler::new(vec![kind(0), kind(1)], ms(5));
    let mut started = [0; 2];
    for _ in 0..500 {
        (0..2)
            .filter(|n| work.queue_lengths(*n).0 < 5)
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|n| {
                work.offer(ms(0), n, unit_cost());
            });
        let next = work.next(ms(0)).unwrap();
        started[next] += 1;
        work.complete(next, unit_cost());
    }
    assert_eq!(started, [100, 400]);
}

#[test]
fn an_idle_kind_accumulates_no_credit() {
    let mut work = Scheduler::new(vec![kind(1), kind(1)], ms(5));
    for _ in 0..1000 {
        work.offer(ms(0), 0, unit_cost());
        assert_eq!(work.next(ms(0)), Some(0));
    }
    let mut started = [0; 2];
    for _ in 0..100 {
        work.offer(ms(0), 0, unit_cost());
        work.offer(ms(0), 1, unit_cost());
        started[work.next(ms(0)).unwrap()] += 1;
    }
    assert!(started[0] >= 49, "{started:?}");
}

#[test]
fn a_delayed_event_loop_pauses_all_but_starved_work() {
    let mut work = Scheduler::new(vec![kind(1)], ms(5));
    work.offer(ms(0), 0, unit_cost());
    work.offer(ms(0), 0, unit_cost());
    (0..20).for_each(|_| work.record_loop_delay(ms(100), ms(20)));
    assert!(work.is_paused(ms(100)) && work.next(ms(100)).is_none());
    assert_eq!(work.next_wakeup(ms(100)), Some(ms(1100)));
    // Work resumes only below half of the limit.
    (0..50).for_each(|_| work.record_loop_delay(ms(200), ms(4)));
    assert!(work.is_paused(ms(200)));
    (0..50).for_each(|_| work.record_loop_delay(ms(300), ms(2)));
    assert_eq!(work.next(ms(300)), Some(0));
    (0..50).for_each(|_| work.record_loop_delay(ms(4900), ms(20)));
    assert_eq!((work.next(ms(4999)), work.next(ms(5000))), (None, Some(0)));
    // An outdated delay sample pauses nothing.
    work.offer(ms(5000), 0, unit_cost());
    assert_eq!(work.next(ms(5901)), Some(0));
}

#[test]
fn overdue_work_precedes_a_higher_priority_within_the_concurrency_limit() {
    let mut low = kind(0);
    low.max_in_flight = 1;
    let mut work = Scheduler::new(vec![low, kind(3)], ms(5));
    (0..2).for_each(|n| assert!(work.offer(ms(n), 0, unit_cost())));
    work.offer(ms(1500), 1, unit_cost());
    assert_eq!(
        [
            work.next(ms(1500)),
            work.next(ms(1500)),
            work.next(ms(1500))
        ],
        [Some(0), Some(1), None]
    );
    work.complete(0, unit_cost());
    assert_eq!(work.next(ms(1500)), Some(0));
}

#[test]
fn a_wrong_cost_estimate_is_corrected_on_completion() {
    let bytes = Some(Rate::per_second(100.0));
    let mut work = Scheduler::new(vec![Kind { bytes, ..kind(0) }], ms(5));
    let cost = |bytes| Cost {
        bytes,
        ..Cost::default()
    };
    (0..3).for_each(|_| assert!(work.offer(ms(0), 0, cost(10.0))));
    assert_eq!(work.next(ms(0)), Some(0));
    work.complete(0, cost(290.0));
    // 190 tokens in debt at 100 a second: ten tokens are available again after 2 s.
    assert_eq!((work.next(ms(1999)), work.next(ms(2000))), (None, Some(0)));
    assert_eq!(work.next_wakeup(ms(2000)), Some(ms(2100)));
}

#[test]
fn the_queue_is_bounded() {
    let mut work = Scheduler::new(vec![kind(0)], ms(5));
    let accepted = (0..2 * MAX_WAITING)
        .filter(|_| work.offer(ms(0), 0, unit_cost()))
        .count();
    assert_eq!(
        (accepted, work.report().next().map(|r| r.3.refused)),
        (MAX_WAITING, Some(MAX_WAITING as u64))
    );
}

proptest! {
    /// For any sequence of offers, no kind uses more than its rate plus one bucket and one task unless it
    /// starved, and no task waits past its starvation limit while the scheduler is polled.
    #[test]
    fn budgets_hold_and_nothing_starves(
        seed in any::<u64>(),
        rates in prop::collection::vec(10.0f64..1000.0, 1..4),
    ) {
        let kinds = rates.iter().enumerate().map(|(n, rate)| {
            Kind { bytes: Some(Rate::per_second(*rate)), priority: n as u8, ..kind(0) }
        });
        let mut work = Scheduler::new(kinds.collect(), ms(5));
        let mut rng = fastrand::Rng::with_seed(seed);
        let (mut used, mut starved) = (vec![0.0; rates.len()], vec![0.0; rates.len()]);
        let mut waiting: Vec<VecDeque<(Duration, f64)>> = vec![VecDeque::new(); rates.len()];
        for step in 0..2000u64 {
            let now = ms(step * 10);
            let n = rng.usize(..rates.len());
            let bytes = rng.f64() * 40.0;
            if rng.u8(..3) == 0 && work.offer(now, n, Cost { bytes, ..Cost::default() }) {
                waiting[n].push_back((now, bytes));
            }
            work.record_loop_delay(now, ms(rng.u64(..12)));
            while let Some(n) = work.next(now) {
                let (offered, bytes) = waiting[n].pop_front().unwrap();
                let waited = now - offered;
                prop_assert!(waited <= ms(5010), "{waited:?}");
                if waited >= ms(5000) { starved[n] += bytes } else { used[n] += bytes }
                work.complete(n, Cost { bytes, ..Cost::default() });
            }
        }
        for (n, rate) in rates.iter().enumerate() {
            let limit = rate * 20.0 + rate + 40.0 + starved[n];
            prop_assert!(used[n] <= limit, "{} of {limit}", used[n]);
        }
    }
}
