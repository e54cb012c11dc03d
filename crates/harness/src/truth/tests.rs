use super::*;
use crate::watch::Life;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const WARMTH: Warmth = Warmth {
    from: 0.25,
    within: Duration::from_millis(8000),
};

/// A cache, a parent and the origin; a KB takes a millisecond.
fn truth() -> Truth {
    let server = |name: &str, tier, capacity| Server::new(name.into(), tier, capacity, 1000.0, 1);
    let servers = vec![
        server("c", Tier::Cache(0), 2.0),
        server("p", Tier::Parent, 4.0),
        server("o", Tier::Origin, 4.0),
    ];
    let mut truth = Truth::new(servers, 1, 2.0, 1000.0, WARMTH, 1_000_000);
    (1..200).for_each(|id| {
        truth
            .watch
            .begins(id, Life::new(0, id == 100, (id, 0), ms(0), ms(60_000)))
    });
    truth
}

fn ask(id: u64, key: u64) -> Ask {
    Ask {
        connection: 1,
        router: 0,
        id,
        key: (key, 0),
        kb: 100.0,
        write: false,
        source: Some(1),
        keep: 2,
        oldest: ms(60_000),
        only_held: false,
        parent_keeps: true,
    }
}

fn tells(truth: &mut Truth, until: u64) -> Vec<(u64, &'static str, &'static str)> {
    truth
        .said(ms(until))
        .iter()
        .map(|s| (s.id, s.word.text(), s.tell))
        .collect()
}

#[test]
fn a_miss_is_filled_by_way_of_the_origin_once_and_held_then() {
    let mut truth = truth();
    truth.ask(ms(0), 0, ask(1, 7));
    // 30 to the origin, 100 there, 100 at the parent, 50 on the link, 50 at the cache.
    assert_eq!(tells(&mut truth, 329), []);
    assert_eq!(tells(&mut truth, 331), [(1, "OK", "via_origin")]);
    truth.ask(ms(400), 0, ask(2, 7));
    assert_eq!(tells(&mut truth, 501), [(2, "OK", "hit")]);
    truth.servers[0].copies.clear();
    truth.ask(ms(600), 0, ask(3, 7));
    assert_eq!(tells(&mut truth, 801), [(3, "OK", "filled")]);
    assert_eq!((truth.fills, truth.hits), (2, 1));
}

#[test]
fn who_lacks_refuses_or_is_gone_is_told_apart() {
    let mut truth = truth();
    truth.ask(
        ms(0),
        0,
        Ask {
            source: None,
            ..ask(1, 1)
        },
    );
    truth.ask(
        ms(0),
        0,
        Ask {
            only_held: true,
            ..ask(2, 2)
        },
    );
    truth.servers[1].down = true;
    truth.ask(ms(1), 0, ask(3, 3));
    truth.servers[1].down = false;
    truth.servers[1].errors = true;
    truth.ask(ms(2), 0, ask(4, 4));
    truth.servers[0].errors = true;
    truth.ask(ms(3), 0, ask(5, 5));
    let told = tells(&mut truth, 50);
    assert_eq!(
        told,
        [
            (1, "MISS", ""),
            (2, "MISS", "src_lacks"),
            (3, "BUSY", "src_broke"),
            (4, "BUSY", "src_refused"),
            (5, "ERR", "")
        ]
    );
}

#[test]
fn a_write_runs_at_the_origin_and_is_counted() {
    let mut truth = truth();
    truth.ask(
        ms(0),
        0,
        Ask {
            write: true,
            ..ask(100, 9)
        },
    );
    truth.ask(
        ms(5),
        2,
        Ask {
            write: true,
            source: None,
            ..ask(100, 9)
        },
    );
    assert_eq!(tells(&mut truth, 500).len(), 2);
    assert_eq!(truth.watch.breaks.double_runs, 1);
}

#[test]
fn a_cold_server_is_pushed_over_by_the_sum_of_a_span_fills_included() {
    for at in [0, 1] {
        let mut truth = truth();
        truth.lose(ms(0), at);
        truth.back(ms(0), at);
        let bears = MULTIPLE * truth.servers[at].present(ms(0), WARMTH);
        let (most, mut id) = ((bears / 0.1) as u64, 0);
        let mut send = |truth: &mut Truth, at: u64| {
            id += 1;
            truth.ask(ms(at), 0, ask(id, id));
        };
        (0..most).for_each(|_| send(&mut truth, 1));
        assert_eq!(truth.watch.breaks.cold, 0, "{most} are what it bears");
        (0..3).for_each(|_| send(&mut truth, 2));
        assert_eq!(truth.watch.breaks.cold, 1, "one push is one break");
        let mut truth = self::truth();
        truth.lose(ms(0), at);
        truth.back(ms(0), at);
        (0..most * 2).for_each(|n| {
            truth.said(ms(n * 1200 / most));
            truth.ask(ms(n * 1200 / most), 0, ask(n + 1, n + 1));
        });
        assert_eq!(truth.watch.breaks.cold, 0, "the same in twice the time");
    }
}

#[test]
fn what_a_lost_server_held_is_gone_and_its_attempts_with_it() {
    let mut truth = truth();
    truth.servers[0].holds(
        (7, 0),
        Copy {
            kb: 100.0,
            made: 999_999,
        },
    );
    truth.ask(ms(0), 0, ask(1, 7));
    truth.lose(ms(10), 0);
    truth.back(ms(20), 0);
    assert_eq!(tells(&mut truth, 1000), []);
    truth.ask(ms(1000), 0, ask(2, 7));
    assert_eq!(tells(&mut truth, 3000), [(2, "OK", "via_origin")]);
}

#[test]
fn a_copy_older_than_asked_for_will_not_do() {
    let mut truth = truth();
    truth.servers[0].holds(
        (7, 0),
        Copy {
            kb: 100.0,
            made: 999_000,
        },
    );
    truth.watch.told_purge(ms(0), 0, 7, 1_000_000);
    truth.ask(
        ms(2000),
        0,
        Ask {
            oldest: ms(1500),
            ..ask(1, 7)
        },
    );
    assert_eq!(tells(&mut truth, 4000), [(1, "OK", "via_origin")]);
    assert_eq!(truth.watch.breaks.stale, 0);
    truth.servers[0].copies.clear();
    truth.servers[0].holds(
        (7, 0),
        Copy {
            kb: 100.0,
            made: 999_000,
        },
    );
    truth.ask(ms(5000), 0, ask(2, 7));
    assert_eq!(
        (tells(&mut truth, 6000), truth.watch.breaks.stale),
        (vec![(2, "OK", "hit")], 1)
    );
}

#[test]
fn who_gave_up_is_answered_nothing() {
    let mut truth = truth();
    truth.ask(ms(0), 0, ask(1, 7));
    truth.ask(ms(0), 0, ask(2, 8));
    truth.quit(1, Some(1));
    assert_eq!(tells(&mut truth, 3000), [(2, "OK", "via_origin")]);
}
