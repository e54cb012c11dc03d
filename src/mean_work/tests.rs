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
