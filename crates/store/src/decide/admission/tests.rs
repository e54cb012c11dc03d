use super::*;

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

#[test]
fn a_low_budget_is_reserved_for_high_ranks() {
    let mut admission = Admission::new(Some(1000), None, s(60.0), s(0.0));
    let mut admitted_of_rank = |rank, now| {
        let mut count = 0;
        while admission.admits(s(now), 100, rank, None).is_ok() {
            count += 1;
        }
        count
    };
    assert_eq!(
        [admitted_of_rank(1, 0.0), admitted_of_rank(1, 0.0)],
        [50, 0]
    );
    assert_eq!(
        [admitted_of_rank(2, 0.0), admitted_of_rank(3, 0.0)],
        [25, 25]
    );
    // In the long run, the budget is not exceeded.
    let of_rank_3: usize = (1..100).map(|n| admitted_of_rank(3, f64::from(n))).sum();
    assert_eq!(of_rank_3, 990);
}

#[test]
fn the_daily_budget_runs_out_and_refills() {
    let mut admission = Admission::new(None, Some(10_000), s(0.0), s(0.0));
    let count = (0..1000)
        .filter(|_| admission.admits(s(1.0), 100, 3, None).is_ok())
        .count();
    assert_eq!(count, 100);
    assert_eq!(
        admission.admits(s(2.0), 100, 3, None),
        Err(Refusal::OverBudget)
    );
    assert_eq!(admission.admits(s(43_200.0), 100, 3, None), Ok(()));
}

#[test]
fn copies_that_expire_soon_are_refused_and_carrying_is_limited() {
    let mut admission = Admission::new(None, None, s(60.0), s(0.0));
    assert_eq!(
        admission.admits(s(0.0), 10, 3, Some(s(59.0))),
        Err(Refusal::ExpiresSoon)
    );
    assert_eq!(admission.admits(s(0.0), 1000, 1, Some(s(61.0))), Ok(()));
    assert!(admission.admits_carry(s(0.0), 200, 0.25) && !admission.admits_carry(s(0.0), 51, 0.25));
    assert_eq!(admission.written(), (1000, 200));
}
