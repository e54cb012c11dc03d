use super::*;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const KEY: Key = (7, 0);

/// One request through a router that does all that it owes, but for what a test takes away.
fn sound() -> Watch {
    let mut watch = Watch::default();
    watch.begins(1, Life::new(3, true, KEY, ms(1000), ms(2000)));
    watch.comes(ms(1010), 1, 5, None);
    watch.runs(ms(1020), 1);
    watch.ends(ms(1030), 1, Final::Served(KEY, 900));
    watch
}

#[test]
fn who_keeps_the_rules_is_not_blamed() {
    let mut watch = sound();
    watch.close(ms(9000));
    assert_eq!((watch.breaks, watch.open()), (Breaks::default(), 0));
}

#[test]
fn a_router_that_answers_late_twice_wrongly_or_never_is_caught() {
    let mut watch = Watch::default();
    let ends = [
        (1, ms(2000) + SLACK + ms(1), Final::Served(KEY, 1)),
        (2, ms(1500), Final::Wrong),
        (3, ms(1500), Final::Served((8, 0), 1)),
        (4, ms(1500), Final::Nothing),
    ];
    for id in 1..=5 {
        watch.begins(id, Life::new(0, false, KEY, ms(1000), ms(2000)));
    }
    ends.into_iter()
        .for_each(|(id, at, end)| watch.ends(at, id, end));
    watch.close(ms(9000));
    assert_eq!(
        watch.breaks,
        Breaks {
            lost: 5,
            ..Breaks::default()
        }
    );
    let mut watch = sound();
    watch.ends(ms(1040), 1, Final::Failed);
    assert_eq!(
        watch.breaks,
        Breaks {
            twice: 1,
            ..Breaks::default()
        }
    );
}

#[test]
fn a_router_that_runs_twice_or_rejects_what_ran_is_caught() {
    let mut watch = sound();
    watch.runs(ms(1050), 1);
    assert_eq!(
        watch.breaks,
        Breaks {
            double_runs: 1,
            ..Breaks::default()
        }
    );
    let mut watch = Watch::default();
    watch.begins(1, Life::new(0, true, KEY, ms(0), ms(500)));
    watch.runs(ms(10), 1);
    watch.ends(ms(20), 1, Final::Rejected);
    assert_eq!(
        watch.breaks,
        Breaks {
            double_runs: 1,
            ..Breaks::default()
        }
    );
}

#[test]
fn a_router_that_sends_to_who_drains_is_caught_fill_sources_included() {
    for (server, source) in [(5, None), (4, Some(5))] {
        let mut watch = Watch::default();
        watch.begins(1, Life::new(3, false, KEY, ms(0), ms(9000)));
        watch.told_drain(ms(100), 3, 5);
        watch.comes(ms(100) + DRAIN_GRACE, 1, server, source);
        assert_eq!(watch.breaks.all(), 0, "within its grace");
        watch.comes(ms(101) + DRAIN_GRACE + SLACK, 1, server, source);
        assert_eq!(
            watch.breaks,
            Breaks {
                drain: 1,
                ..Breaks::default()
            }
        );
        watch.told_active(3, 5);
        watch.comes(ms(5000), 1, server, source);
        assert_eq!(watch.breaks.all(), 1);
    }
}

#[test]
fn a_router_that_takes_what_was_purged_is_caught_own_copies_included() {
    let mut watch = Watch::default();
    watch.told_purge(ms(100), 3, 7, 5000);
    watch.answered_from(ms(100) + PURGE_GRACE, 3, 7, 4999);
    watch.answered_from(ms(9000), 3, 7, 5000);
    watch.answered_from(ms(9000), 4, 7, 4999);
    assert_eq!(watch.breaks.all(), 0, "in time, made after, or never told");
    watch.answered_from(ms(9000), 3, 7, 4999);
    watch.begins(1, Life::new(3, false, KEY, ms(8000), ms(9000)));
    watch.ends(ms(8100), 1, Final::Served(KEY, 4999));
    assert_eq!(
        watch.breaks,
        Breaks {
            stale: 2,
            ..Breaks::default()
        }
    );
}

#[test]
fn what_nobody_asked_for_is_caught_and_the_dead_owe_nothing() {
    let mut watch = Watch::default();
    assert_eq!(watch.comes(ms(1), 99, 0, None), None);
    assert_eq!(
        watch.breaks,
        Breaks {
            strange: 1,
            ..Breaks::default()
        }
    );
    watch.begins(1, Life::new(3, false, KEY, ms(0), ms(100)));
    watch.killed(3);
    watch.close(ms(9000));
    assert_eq!(watch.breaks.lost, 0);
}
