use super::*;

const WIDTH: Duration = Duration::from_secs(5);

fn records(count: usize) -> Vec<ServerRecord> {
    let record = |n: usize| ServerRecord {
        name: format!("c{n}"),
        zone: 0,
        capacity: 4.0,
        started_at: None,
        listed_during: vec![(Duration::ZERO, Duration::from_secs(100))],
        initial_capacity_share: 0.3,
        slow_start: Duration::from_secs(10),
    };
    (0..count).map(record).collect()
}

/// `rate` requests a second for ten seconds, each to the server that `to` names.
fn sent(rate: usize, to: impl Fn(usize) -> usize) -> Vec<SentAttempt> {
    let attempt = |n: usize| SentAttempt {
        at: Duration::from_secs_f64(n as f64 / rate as f64),
        server: to(n),
        zone: 0,
        router: n % 10,
        key: (n as u64 * 7919, 0),
        work: 0.05,
        hit: true,
    };
    (0..rate * 10).map(attempt).collect()
}

fn balance_of(sent: &[SentAttempt], records: &[ServerRecord]) -> LoadBalance {
    measure(
        sent,
        records,
        Duration::ZERO,
        Duration::from_secs(10),
        WIDTH,
    )
}

#[test]
fn balanced_and_concentrated_load_are_told_apart() {
    let records = records(4);
    let balanced = balance_of(&sent(100, |n| n % 4), &records);
    assert!(
        (balanced.peak - 1.0).abs() < 0.01 && balanced.idle == 0.0 && balanced.jain > 0.999,
        "{balanced:?}"
    );
    assert_eq!((balanced.windows, balanced.swing), (2, 0.0));
    let concentrated = balance_of(&sent(100, |_| 2), &records);
    assert!(
        (concentrated.peak - 4.0).abs() < 0.01 && (concentrated.idle - 0.75).abs() < 0.01,
        "{concentrated:?}"
    );
    assert!((concentrated.jain - 0.25).abs() < 0.01);
}

#[test]
fn a_cold_server_is_measured_by_its_current_capacity_and_never_counts_as_idle() {
    let mut records = records(2);
    records[1].started_at = Some(Duration::ZERO);
    // Half of its capacity on average over ten seconds: a third of the work is its fair share.
    let balanced = balance_of(&sent(120, |n| usize::from(n % 3 == 0)), &records);
    assert!(balanced.peak < 1.35 && balanced.idle == 0.0, "{balanced:?}");
    let none = balance_of(&sent(120, |_| 0), &records);
    assert_eq!(none.idle, 0.0, "a cold server does not count as idle");
}

#[test]
fn load_that_oscillates_between_servers_counts_as_a_swing() {
    let records = records(3);
    // All but a few requests go to one server in one second and to another in the next.
    let oscillating = sent(300, |n| if n % 20 == 0 { 2 } else { (n / 300) % 2 });
    assert!(balance_of(&oscillating, &records).swing >= 2.0);
    assert_eq!(balance_of(&sent(300, |n| n % 3), &records).swing, 0.0);
}

#[test]
fn a_herd_is_measured_relative_to_the_hash() {
    let records = records(4);
    let herd_of =
        |to: fn(usize) -> usize| herd(&sent(100, to), &records, 0, Duration::from_secs(2));
    let (all, spread) = (
        herd_of(|_| 1).expect("ten routers"),
        herd_of(|n| n % 4).expect("ten routers"),
    );
    assert!(all > 1.5 * spread && all > 2.0, "{all} {spread}");
    assert_eq!(
        herd(&sent(1, |_| 1), &records, 0, Duration::from_secs(2)),
        None
    );
}

#[test]
fn full_knowledge_balances_better_than_the_hash_and_keeps_its_choice_where_capacity_allows() {
    let records = records(4);
    // A few objects get most of the requests, so the plain hash is uneven.
    let mut work = sent(200, |_| 0);
    work.iter_mut()
        .enumerate()
        .for_each(|(n, s)| s.key = (if n % 3 == 0 { 1 } else { n as u64 % 40 }, 0));
    let assign_by = |rule| assign(&work, &records, rule, Duration::ZERO, WIDTH);
    let (hash, two, all) = (
        assign_by(Rule::Hash),
        assign_by(Rule::LeastOfTwo),
        assign_by(Rule::Omniscient),
    );
    let peak = |assigned: &[SentAttempt]| balance_of(assigned, &records).peak;
    assert!(
        peak(&all) < 1.05 && peak(&hash) > 1.3,
        "{} {}",
        peak(&all),
        peak(&hash)
    );
    assert!(peak(&two) < peak(&hash) + 0.01);
    let moved = hash
        .iter()
        .zip(&all)
        .filter(|(a, b)| a.server != b.server)
        .count();
    assert!(moved < work.len() / 2, "{moved} of {}", work.len());
    assert_eq!(
        assign_by(Rule::Hash),
        hash,
        "the same work is assigned the same way"
    );
}
