use super::*;
use crate::scenario::Fault;

#[test]
fn the_same_seed_gives_the_same_workload_and_another_seed_another() {
    let scenario = Scenario::default();
    let (one, again, other) = (
        arrivals(&scenario, 7),
        arrivals(&scenario, 7),
        arrivals(&scenario, 8),
    );
    assert_eq!(one, again);
    assert_ne!(one, other);
    let rate = one.len() as f64 / scenario.workload.duration.as_secs_f64();
    assert!(
        (rate / scenario.workload.requests_per_s - 1.0).abs() < 0.1,
        "{rate}"
    );
    assert!(one.is_sorted_by_key(|a| a.at));
}

#[test]
fn shares_popularity_and_sizes_follow_the_settings() {
    let scenario = Scenario::default();
    let router_shares = router_shares(200, 6.0, 3);
    let most = router_shares.iter().copied().fold(0.0, f64::max) * 200.0;
    assert!((5.0..=6.5).contains(&most), "{most} times the mean");
    assert!(
        router_shares.iter().filter(|s| **s * 200.0 < 1.0).count() > 120,
        "most are under the mean"
    );
    let all = arrivals(&scenario, 3);
    let first = object_id(3, 0);
    let of_first = all.iter().filter(|a| a.key.0 == first).count() as f64 / all.len() as f64;
    assert!((0.015..0.08).contains(&of_first), "{of_first}");
    let mean = (0..4000)
        .map(|n| object_kb(object_id(3, n), 40.0))
        .sum::<f64>()
        / 4000.0;
    assert!((mean / 40.0 - 1.0).abs() < 0.1, "{mean}");
}

#[test]
fn a_hot_object_and_a_shift_change_the_arrivals() {
    let start = Duration::from_secs(3);
    let fault = |kind| Fault {
        start,
        duration: Duration::from_secs(4),
        kind,
    };
    let scenario = Scenario {
        faults: vec![fault(FaultKind::Hot(0.4)), fault(FaultKind::Shift(0, 1))],
        ..Scenario::default()
    };
    let all = arrivals(&scenario, 3);
    let within: Vec<&Arrival> = all
        .iter()
        .filter(|a| (start..start * 2).contains(&a.at))
        .collect();
    let hot: Vec<u64> = (3..6)
        .map(|second| object_id(3, scenario.workload.objects + second))
        .collect();
    let share =
        within.iter().filter(|a| hot.contains(&a.key.0)).count() as f64 / within.len() as f64;
    assert!((0.33..0.47).contains(&share), "{share}");
    assert!(within.iter().all(|a| zone_of(a.router, &scenario) != 0));
    assert!(
        all.iter()
            .any(|a| a.at > Duration::from_secs(7) && zone_of(a.router, &scenario) == 0)
    );
}
