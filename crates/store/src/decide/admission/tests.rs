use super::*;

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

#[test]
fn a_lean_purse_goes_to_the_high_ranks() {
    let mut admission = Admission::new(Some(1000), None, s(60.0), s(0.0));
    let mut spent = |rank, now| {
        let mut count = 0;
        while admission.admits(s(now), 100, rank, None).is_ok() {
            count += 1;
        }
        count
    };
    assert_eq!([spent(1, 0.0), spent(1, 0.0)], [50, 0]);
    assert_eq!([spent(2, 0.0), spent(3, 0.0)], [25, 25]);
    // Over a long time no more than the budget.
    let of_rank_3: usize = (1..100).map(|n| spent(3, f64::from(n))).sum();
    assert_eq!(of_rank_3, 990);
}

#[test]
fn a_day_has_an_end() {
    let mut admission = Admission::new(None, Some(10_000), s(0.0), s(0.0));
    let count = (0..1000)
        .filter(|_| admission.admits(s(1.0), 100, 3, None).is_ok())
        .count();
    assert_eq!(count, 100);
    assert_eq!(admission.admits(s(2.0), 100, 3, None), Err(Refusal::Budget));
    assert_eq!(admission.admits(s(43_200.0), 100, 3, None), Ok(()));
}

#[test]
fn what_expires_soon_is_not_written_and_little_is_carried() {
    let mut admission = Admission::new(None, None, s(60.0), s(0.0));
    assert_eq!(
        admission.admits(s(0.0), 10, 3, Some(s(59.0))),
        Err(Refusal::Expires)
    );
    assert_eq!(admission.admits(s(0.0), 1000, 1, Some(s(61.0))), Ok(()));
    assert!(admission.carries(s(0.0), 200, 0.25) && !admission.carries(s(0.0), 51, 0.25));
    assert_eq!(admission.written(), (1000, 200));
}
