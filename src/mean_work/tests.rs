use super::*;

const USUAL_SECONDS: f64 = 0.1;

/// A mean to which each of these connections contributed many requests of the usual work.
fn learned_from(connections: u64) -> MeanWork {
    let mut mean = MeanWork::default();
    for _ in 0..100 {
        (0..connections).for_each(|connection| mean.record(connection, USUAL_SECONDS));
    }
    mean
}

#[test]
fn nothing_is_known_until_a_request_of_known_size_is_answered() {
    let mut mean = MeanWork::default();
    assert_eq!(mean.seconds(), None);
    mean.record(1, 0.0);
    assert_eq!(mean.seconds(), None);
    mean.record(1, USUAL_SECONDS);
    assert_eq!(mean.seconds(), Some(USUAL_SECONDS));
}

#[test]
fn the_mean_follows_the_work_that_all_clients_request() {
    let mut mean = learned_from(8);
    for _ in 0..2000 {
        (0..8).for_each(|connection| mean.record(connection, USUAL_SECONDS * 10.0));
    }
    let seconds = mean.seconds().expect("learned");
    assert!((0.99..1.01).contains(&seconds), "{seconds}");
}

#[test]
fn one_client_moves_the_mean_by_its_share_at_most() {
    for (connections, least, most) in [(1, 0.75, 1.51), (3, 0.87, 1.26), (15, 0.96, 1.07)] {
        for work in [1e-9, 1e9] {
            let mut mean = learned_from(connections);
            for _ in 0..100_000 {
                mean.record(connections, work);
            }
            let change = mean.seconds().expect("learned") / USUAL_SECONDS;
            // Of two clients, it is unknown which one is wrong.
            let is_bounded = connections == 1 && work > 1.0 || change <= most;
            assert!(
                change >= least && is_bounded,
                "changed by {change} by one of {} clients",
                connections + 1
            );
        }
    }
}

#[test]
fn nothing_is_expected_of_a_single_request() {
    let mut mean = MeanWork::default();
    mean.record(1, USUAL_SECONDS);
    assert_eq!(mean.upper_seconds(), None);
    mean.record(2, USUAL_SECONDS);
    assert_eq!(mean.upper_seconds(), Some(USUAL_SECONDS));
}

/// Guards against a fault: the mean of a few requests of widely spread sizes counted as the mean of
/// all, and is usually far below it.
#[test]
fn few_requests_of_different_work_give_an_upper_estimate() {
    let mut mean = MeanWork::default();
    // One in eight requests has nearly all of the work.
    let record = |mean: &mut MeanWork, request: u64| {
        let is_large = request.is_multiple_of(8);
        mean.record(request, if is_large { 0.72 } else { 0.04 });
    };
    (0..16).for_each(|request| record(&mut mean, request));
    let of_few = mean.upper_seconds().expect("learned");
    assert!(of_few > 1.4 * 0.125, "{of_few}");
    (16..4096).for_each(|request| record(&mut mean, request));
    let of_many = mean.upper_seconds().expect("learned");
    assert!(of_many < of_few, "{of_many}");
}

/// Guards against a fault: the first requests to be answered are the smallest, and what a request
/// weighs was learned from those alone.
#[test]
fn requests_that_are_not_answered_yet_count_as_well() {
    let mut work = ExpectedWork::default();
    for connection in 0..16 {
        work.record_sent(connection, USUAL_SECONDS * 5.0);
        work.record_sent(connection, USUAL_SECONDS);
        work.record_answered(connection, USUAL_SECONDS);
    }
    let seconds = work.seconds().expect("learned");
    assert!(seconds >= USUAL_SECONDS * 3.0, "{seconds}");
}

#[test]
fn withdrawn_requests_of_many_connections_raise_the_expected_work_by_a_limited_factor() {
    for withdrawn in [1e-9, 1e9] {
        let mut work = ExpectedWork::default();
        for request in 0..4096 {
            work.record_answered(request, USUAL_SECONDS);
            (0..4).for_each(|_| work.record_sent(request, withdrawn));
        }
        let change = work.seconds().expect("learned") / USUAL_SECONDS;
        assert!((0.99..2.01).contains(&change), "changed by {change}");
    }
}
