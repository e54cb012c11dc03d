use super::*;
use crate::scenario::Fault;

#[test]
fn a_zone_loss_is_measured_from_the_attempts() {
    let s = Duration::from_secs;
    let mut scenario = Scenario::default();
    scenario.workload.duration = s(10);
    scenario.workload.warmup = s(0);
    scenario.workload.requests_per_s = 60.0;
    scenario.faults.push(Fault {
        start: s(2),
        duration: s(2),
        kind: FaultKind::Lose(Target::Zone(1)),
    });
    let record = |zone: usize| ServerRecord {
        name: format!("c{zone}"),
        zone,
        capacity: 4.0,
        started_at: None,
        listed_during: if zone == 1 {
            vec![(s(0), s(2)), (s(4), s(99))]
        } else {
            vec![(s(0), s(99))]
        },
        initial_capacity_share: 0.3,
        slow_start: s(2),
    };
    let records: Vec<ServerRecord> = (0..4).map(record).collect();
    let mut zone_value = ZoneValue::new(4, 12);
    let mut sent = Vec::new();
    for n in 0..1000u64 {
        let at = Duration::from_millis(n * 10);
        zone_value.record_requested(1, at);
        let away = (s(3)..s(4)).contains(&at);
        if away || !(s(2)..s(4)).contains(&at) {
            zone_value.record_earned(1, at, 1.0);
        }
        let zone = if away || n == 900 { 2 } else { 1 };
        sent.push(SentAttempt {
            at,
            server: 0,
            zone,
            router: 5,
            key: (1, 0),
            work: 0.1,
            hit: true,
        });
    }
    let found = zone_value.measure(&scenario, &sent, &records);
    assert!((found.lost_service - 6.0 / 7.0).abs() < 1e-9, "{found:?}");
    assert!(
        found
            .time_to_redirect
            .is_some_and(|plan| plan > Duration::from_millis(700) && plan <= s(1)),
        "{found:?}"
    );
    assert!(
        (found.needless_redirects - 0.001).abs() < 1e-9 && found.overloaded_zone_seconds == 0,
        "{found:?}"
    );
    assert!(found.lost_limit > 0.9);
}
