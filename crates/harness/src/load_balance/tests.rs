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

/// So many requests a second for ten seconds, each to the server that a rule names.
fn sent(rate: usize, to: impl Fn(usize) -> usize) -> Vec<SentAttempt> {
    let one = |n: usize| SentAttempt {
        at: Duration::from_secs_f64(n as f64 / rate as f64),
        server: to(n),
        zone: 0,
        router: n % 10,
        key: (n as u64 * 7919, 0),
        work: 0.05,
        hit: true,
    };
    (0..rate * 10).map(one).collect()
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
fn even_load_is_called_even_and_a_crowd_a_crowd() {
    let records = records(4);
    let even = balance_of(&sent(100, |n| n % 4), &records);
    assert!(
        (even.peak - 1.0).abs() < 0.01 && even.idle == 0.0 && even.jain > 0.999,
        "{even:?}"
    );
    assert_eq!((even.windows, even.swing), (2, 0.0));
    let crowd = balance_of(&sent(100, |_| 2), &records);
    assert!(
        (crowd.peak - 4.0).abs() < 0.01 && (crowd.idle - 0.75).abs() < 0.01,
        "{crowd:?}"
    );
    assert!((crowd.jain - 0.25).abs() < 0.01);
}

#[test]
fn a_cold_server_is_measured_by_what_it_can_do_and_never_called_idle() {
    let mut records = records(2);
    records[1].started_at = Some(Duration::ZERO);
    // Half of its capacity on average over ten seconds: a third of the work is its even part.
    let even = balance_of(&sent(120, |n| usize::from(n % 3 == 0)), &records);
    assert!(even.peak < 1.35 && even.idle == 0.0, "{even:?}");
    let none = balance_of(&sent(120, |_| 0), &records);
    assert_eq!(none.idle, 0.0, "it is cold: not idle, but spared");
}

#[test]
fn what_goes_to_and_fro_is_seen_as_a_swing() {
    let records = records(3);
    // All but a few on one server in one second, on another in the next.
    let swinging = sent(300, |n| if n % 20 == 0 { 2 } else { (n / 300) % 2 });
    assert!(balance_of(&swinging, &records).swing >= 2.0);
    assert_eq!(balance_of(&sent(300, |n| n % 3), &records).swing, 0.0);
}

#[test]
fn a_herd_is_told_from_what_the_hash_would_do() {
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
fn who_sees_all_is_more_even_than_the_hash_and_keeps_it_where_there_is_room() {
    let records = records(4);
    // A few objects want most: the plain hash is uneven.
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
    let peak = |dealt: &[SentAttempt]| balance_of(dealt, &records).peak;
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
        "the same work is dealt the same"
    );
}
