use super::*;
use crate::discovery_events::DiscoveredServer;
use tokio::time::advance;

const SECOND: Duration = Duration::from_secs(1);
const HOUR_MS: u64 = 3_600_000;

/// A clock on paused time, and what bounds discovery's events by it.
fn event_times() -> (Clock, EventTimes) {
    let clock = Clock::start();
    (clock, EventTimes::new(clock))
}

fn now_ms(clock: &Clock) -> u64 {
    clock.unix_ms(clock.now())
}

fn list(clock: &Clock, whole: bool, entries: &[(&str, u64, Standing)]) -> DiscoveryEvent {
    let member = |(name, stamp, standing): &(&str, u64, Standing)| Member {
        server: (*name).into(),
        standing: *standing,
        started: (*stamp > 0).then(|| clock.at_unix_ms(*stamp)),
        ..Member::default()
    };
    let dial = std::net::SocketAddr::from(([127, 0, 0, 1], 9));
    DiscoveryEvent::List {
        whole,
        servers: entries
            .iter()
            .map(|entry| DiscoveredServer {
                member: member(entry),
                address: dial,
            })
            .collect(),
    }
}

/// How long ago the only server of an event counts as started; none: long ago.
fn age_of_start(
    clock: &Clock,
    times: &mut EventTimes,
    mut notice: DiscoveryEvent,
) -> Option<Duration> {
    times.bound(&mut notice);
    times.passed();
    let DiscoveryEvent::List { servers, .. } = notice else {
        panic!("no list")
    };
    assert!(
        servers[0].member.started.is_none_or(|at| at <= clock.now()),
        "a start in the future"
    );
    servers[0].member.started.map(|at| clock.now() - at)
}

fn started(clock: &Clock, stamp: u64) -> DiscoveryEvent {
    list(clock, false, &[("c1", stamp, Standing::Active)])
}

/// How long ago a purge counts as made, in milliseconds.
fn age_of_purge(clock: &Clock, times: &mut EventTimes, stamp: u64) -> u64 {
    let mut notice = DiscoveryEvent::Purge {
        object: None,
        group: 1,
        ms: stamp,
    };
    times.bound(&mut notice);
    times.passed();
    let DiscoveryEvent::Purge { ms, .. } = notice else {
        panic!("no purge")
    };
    now_ms(clock)
        .checked_sub(ms)
        .expect("a purge in the future")
}

#[tokio::test(start_paused = true)]
async fn a_live_stamp_within_the_last_word_and_its_arrival_is_believed() {
    let (clock, mut times) = event_times();
    times.nothing_newer();
    advance(SECOND).await;
    let stamp = now_ms(&clock) - 300;
    assert_eq!(age_of_purge(&clock, &mut times, stamp), 300);
    times.nothing_newer();
    advance(SECOND).await;
    let stamp = now_ms(&clock) - 300;
    let age = age_of_start(&clock, &mut times, started(&clock, stamp)).expect("a start");
    assert!((0.299..0.302).contains(&age.as_secs_f64()), "{age:?}");
}

#[tokio::test(start_paused = true)]
async fn a_live_stamp_from_before_the_last_word_or_from_the_future_counts_as_of_its_arrival() {
    for stamp in [
        |now| now - 1100,
        |now| now - HOUR_MS,
        |now| now + HOUR_MS,
        |now| now + 5,
        |_| 1,
        |_| u64::MAX,
    ] {
        let (clock, mut times) = event_times();
        advance(SECOND * 100).await;
        times.nothing_newer();
        advance(SECOND).await;
        let stamp = stamp(now_ms(&clock));
        assert_eq!(age_of_purge(&clock, &mut times, stamp), 0, "{stamp}");
        assert_eq!(
            age_of_start(&clock, &mut times, started(&clock, stamp)),
            Some(Duration::ZERO),
            "{stamp}"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn an_event_is_no_older_than_the_one_before_it_on_a_live_watch() {
    let (clock, mut times) = event_times();
    times.nothing_newer();
    advance(SECOND).await;
    assert_eq!(age_of_purge(&clock, &mut times, now_ms(&clock)), 0);
    advance(SECOND / 2).await;
    let stamp = now_ms(&clock) - 800;
    assert_eq!(age_of_purge(&clock, &mut times, stamp), 0);
}

#[tokio::test(start_paused = true)]
async fn a_start_counts_as_it_did_when_its_stamp_was_new() {
    let (clock, mut times) = event_times();
    times.nothing_newer();
    advance(SECOND).await;
    let stamp = now_ms(&clock) - HOUR_MS;
    assert_eq!(
        age_of_start(&clock, &mut times, started(&clock, stamp)),
        Some(Duration::ZERO)
    );
    advance(SECOND * 7).await;
    // Configuration again by a change, by a whole list after a lost connection, and as it comes
    // back from having left.
    let again = started(&clock, stamp);
    assert_eq!(age_of_start(&clock, &mut times, again), Some(SECOND * 7));
    times.interrupted();
    let again = list(&clock, true, &[("c1", stamp, Standing::Active)]);
    assert_eq!(age_of_start(&clock, &mut times, again), Some(SECOND * 7));
    let left = list(&clock, false, &[("c1", stamp, Standing::Gone)]);
    assert_eq!(age_of_start(&clock, &mut times, left), Some(SECOND * 7));
    let again = started(&clock, stamp);
    assert_eq!(age_of_start(&clock, &mut times, again), Some(SECOND * 7));
    // A stamp that was not told before is a new start.
    let anew = started(&clock, stamp + 1);
    assert_eq!(age_of_start(&clock, &mut times, anew), Some(Duration::ZERO));
}

#[tokio::test(start_paused = true)]
async fn what_is_replayed_after_a_lost_connection_counts_as_of_its_arrival() {
    let (clock, mut times) = event_times();
    times.nothing_newer();
    advance(SECOND * 30).await;
    times.interrupted();
    let stamp = now_ms(&clock) - 5000;
    assert_eq!(age_of_purge(&clock, &mut times, stamp), 0);
    assert_eq!(
        age_of_start(&clock, &mut times, started(&clock, stamp)),
        Some(Duration::ZERO)
    );
    // Once discovery has nothing newer again, stamps are believed again.
    times.nothing_newer();
    advance(SECOND).await;
    let stamp = now_ms(&clock) - 400;
    assert_eq!(age_of_purge(&clock, &mut times, stamp), 400);
}

#[tokio::test(start_paused = true)]
async fn at_the_start_stamps_are_believed_but_for_those_of_the_future() {
    let (clock, mut times) = event_times();
    // The connection that comes up at the start interrupts nothing.
    times.interrupted();
    let minute_ago = now_ms(&clock) - 60_000;
    assert_eq!(age_of_purge(&clock, &mut times, minute_ago), 60_000);
    let age = age_of_start(&clock, &mut times, started(&clock, minute_ago)).expect("a start");
    assert_eq!(age.as_secs(), 60);
    let ahead = now_ms(&clock) + HOUR_MS;
    assert_eq!(age_of_purge(&clock, &mut times, ahead), 0);
    assert_eq!(
        age_of_start(&clock, &mut times, started(&clock, ahead)),
        Some(Duration::ZERO)
    );
    // It is warm in its time, not in an hour: told again it did not start again.
    advance(SECOND * 20).await;
    let again = started(&clock, ahead);
    assert_eq!(age_of_start(&clock, &mut times, again), Some(SECOND * 20));
    assert_eq!(age_of_start(&clock, &mut times, started(&clock, 0)), None);
}

#[tokio::test(start_paused = true)]
async fn starts_of_servers_that_have_left_are_forgotten_past_the_bound() {
    let (clock, mut times) = event_times();
    times.nothing_newer();
    for number in 0..MAX_STARTS * 2 {
        let name = format!("c{number}");
        let stamp = now_ms(&clock);
        times.bound(&mut list(
            &clock,
            false,
            &[(&name, stamp, Standing::Active)],
        ));
        times.bound(&mut list(&clock, false, &[(&name, stamp, Standing::Gone)]));
    }
    assert!(times.starts.len() <= MAX_STARTS, "{}", times.starts.len());
}

#[tokio::test(start_paused = true)]
async fn a_copy_is_not_made_after_it_arrives() {
    let clock = Clock::start();
    let mut times = CopyTimes::default();
    let now = now_ms(&clock);
    assert_eq!(
        times.bound(&clock, now - 700),
        Some(now - 700),
        "by an ordinary stamp"
    );
    assert_eq!(
        times.bound(&clock, now + 20),
        Some(now),
        "clocks differ a little"
    );
    assert_eq!(
        times.bound(&clock, now + HOUR_MS),
        None,
        "its age is not known"
    );
    // The clock that stamps is an hour ahead at least.
    assert_eq!(times.bound(&clock, now + HOUR_MS - 300), Some(now - 300));
    assert_eq!(
        times.bound(&clock, now),
        Some(now - HOUR_MS),
        "older than it is, to be safe"
    );
    assert_eq!(
        times.bound(&clock, now + HOUR_MS + 400),
        None,
        "further ahead than was known"
    );
    assert_eq!(times.bound(&clock, u64::MAX), None);
}

#[tokio::test(start_paused = true)]
async fn a_lead_that_is_not_seen_any_more_is_forgotten() {
    let clock = Clock::start();
    let mut times = CopyTimes::default();
    assert_eq!(times.bound(&clock, now_ms(&clock) + HOUR_MS), None);
    advance(LEAD_WINDOW).await;
    let now = now_ms(&clock);
    assert_eq!(
        times.bound(&clock, now),
        Some(now - HOUR_MS),
        "it still counts in the next window"
    );
    advance(LEAD_WINDOW).await;
    let now = now_ms(&clock);
    assert_eq!(times.bound(&clock, now), Some(now));
}
