use super::*;
use crate::discovery_events::DiscoveredServer;
use tokio::time::advance;

const SECOND: Duration = Duration::from_secs(1);
const HOUR_MS: u64 = 3_600_000;

/// A clock on paused time, with the event times that use it.
fn event_times() -> (Clock, EventTimes) {
    let clock = Clock::start();
    (clock, EventTimes::new(clock))
}

fn now_ms(clock: &Clock) -> u64 {
    clock.unix_ms(clock.now())
}

fn list(clock: &Clock, is_snapshot: bool, entries: &[(&str, u64, ServerState)]) -> DiscoveryEvent {
    let member = |(name, timestamp, state): &(&str, u64, ServerState)| Member {
        server: (*name).into(),
        state: *state,
        started: (*timestamp > 0).then(|| clock.at_unix_ms(*timestamp)),
        ..Member::default()
    };
    let endpoint = std::net::SocketAddr::from(([127, 0, 0, 1], 9));
    DiscoveryEvent::List {
        is_snapshot,
        servers: entries
            .iter()
            .map(|entry| DiscoveredServer {
                member: member(entry),
                address: endpoint,
            })
            .collect(),
    }
}

/// How long ago the only server of an event counts as started, or none if its start is not known.
fn age_of_start(
    clock: &Clock,
    times: &mut EventTimes,
    mut event: DiscoveryEvent,
) -> Option<Duration> {
    times.correct(&mut event);
    times.event_forwarded();
    let DiscoveryEvent::List { servers, .. } = event else {
        panic!("the event is not a list")
    };
    assert!(
        servers[0].member.started.is_none_or(|at| at <= clock.now()),
        "a start in the future"
    );
    servers[0].member.started.map(|at| clock.now() - at)
}

fn started(clock: &Clock, timestamp: u64) -> DiscoveryEvent {
    list(clock, false, &[("c1", timestamp, ServerState::Active)])
}

/// How many milliseconds ago a purge counts as issued.
fn age_of_purge(clock: &Clock, times: &mut EventTimes, timestamp: u64) -> u64 {
    let mut event = DiscoveryEvent::Purge {
        object: None,
        group: 1,
        purged_at_unix_ms: timestamp,
    };
    times.correct(&mut event);
    times.event_forwarded();
    let DiscoveryEvent::Purge {
        purged_at_unix_ms, ..
    } = event
    else {
        panic!("the event is not a purge")
    };
    now_ms(clock)
        .checked_sub(purged_at_unix_ms)
        .expect("a purge in the future")
}

#[tokio::test(start_paused = true)]
async fn a_live_timestamp_between_the_last_report_and_its_arrival_is_accepted() {
    let (clock, mut times) = event_times();
    times.confirm_up_to_date();
    advance(SECOND).await;
    let timestamp = now_ms(&clock) - 300;
    assert_eq!(age_of_purge(&clock, &mut times, timestamp), 300);
    times.confirm_up_to_date();
    advance(SECOND).await;
    let timestamp = now_ms(&clock) - 300;
    let age = age_of_start(&clock, &mut times, started(&clock, timestamp)).expect("a start");
    assert!((0.299..0.302).contains(&age.as_secs_f64()), "{age:?}");
}

#[tokio::test(start_paused = true)]
async fn a_live_timestamp_before_the_last_report_or_in_the_future_is_replaced_by_the_arrival() {
    for timestamp in [
        |now| now - 1100,
        |now| now - HOUR_MS,
        |now| now + HOUR_MS,
        |now| now + 5,
        |_| 1,
        |_| u64::MAX,
    ] {
        let (clock, mut times) = event_times();
        advance(SECOND * 100).await;
        times.confirm_up_to_date();
        advance(SECOND).await;
        let timestamp = timestamp(now_ms(&clock));
        assert_eq!(
            age_of_purge(&clock, &mut times, timestamp),
            0,
            "{timestamp}"
        );
        assert_eq!(
            age_of_start(&clock, &mut times, started(&clock, timestamp)),
            Some(Duration::ZERO),
            "{timestamp}"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn an_event_is_no_older_than_the_previous_one_on_a_live_connection() {
    let (clock, mut times) = event_times();
    times.confirm_up_to_date();
    advance(SECOND).await;
    assert_eq!(age_of_purge(&clock, &mut times, now_ms(&clock)), 0);
    advance(SECOND / 2).await;
    let timestamp = now_ms(&clock) - 800;
    assert_eq!(age_of_purge(&clock, &mut times, timestamp), 0);
}

#[tokio::test(start_paused = true)]
async fn a_repeated_start_keeps_its_effective_time() {
    let (clock, mut times) = event_times();
    times.confirm_up_to_date();
    advance(SECOND).await;
    let timestamp = now_ms(&clock) - HOUR_MS;
    assert_eq!(
        age_of_start(&clock, &mut times, started(&clock, timestamp)),
        Some(Duration::ZERO)
    );
    advance(SECOND * 7).await;
    // The start is repeated by a change, by a whole list after a lost connection, and when the
    // server returns after it was gone.
    let repeated = started(&clock, timestamp);
    assert_eq!(age_of_start(&clock, &mut times, repeated), Some(SECOND * 7));
    times.connection_lost();
    let repeated = list(&clock, true, &[("c1", timestamp, ServerState::Active)]);
    assert_eq!(age_of_start(&clock, &mut times, repeated), Some(SECOND * 7));
    let left = list(&clock, false, &[("c1", timestamp, ServerState::Removed)]);
    assert_eq!(age_of_start(&clock, &mut times, left), Some(SECOND * 7));
    let repeated = started(&clock, timestamp);
    assert_eq!(age_of_start(&clock, &mut times, repeated), Some(SECOND * 7));
    // A timestamp that was not received before is a new start.
    let new_start = started(&clock, timestamp + 1);
    assert_eq!(
        age_of_start(&clock, &mut times, new_start),
        Some(Duration::ZERO)
    );
}

#[tokio::test(start_paused = true)]
async fn timestamps_replayed_after_a_lost_connection_are_replaced_by_the_arrival() {
    let (clock, mut times) = event_times();
    times.confirm_up_to_date();
    advance(SECOND * 30).await;
    times.connection_lost();
    let timestamp = now_ms(&clock) - 5000;
    assert_eq!(age_of_purge(&clock, &mut times, timestamp), 0);
    assert_eq!(
        age_of_start(&clock, &mut times, started(&clock, timestamp)),
        Some(Duration::ZERO)
    );
    // Once discovery is up to date again, timestamps are accepted again.
    times.confirm_up_to_date();
    advance(SECOND).await;
    let timestamp = now_ms(&clock) - 400;
    assert_eq!(age_of_purge(&clock, &mut times, timestamp), 400);
}

#[tokio::test(start_paused = true)]
async fn at_startup_timestamps_are_accepted_unless_they_are_in_the_future() {
    let (clock, mut times) = event_times();
    // The first connection does not follow a lost one.
    times.connection_lost();
    let minute_ago = now_ms(&clock) - 60_000;
    assert_eq!(age_of_purge(&clock, &mut times, minute_ago), 60_000);
    let age = age_of_start(&clock, &mut times, started(&clock, minute_ago)).expect("a start");
    assert_eq!(age.as_secs(), 60);
    let future = now_ms(&clock) + HOUR_MS;
    assert_eq!(age_of_purge(&clock, &mut times, future), 0);
    assert_eq!(
        age_of_start(&clock, &mut times, started(&clock, future)),
        Some(Duration::ZERO)
    );
    // The slow start is not delayed by an hour: a repeated timestamp is not a new start.
    advance(SECOND * 20).await;
    let repeated = started(&clock, future);
    assert_eq!(
        age_of_start(&clock, &mut times, repeated),
        Some(SECOND * 20)
    );
    assert_eq!(age_of_start(&clock, &mut times, started(&clock, 0)), None);
}

#[tokio::test(start_paused = true)]
async fn starts_of_unlisted_servers_are_dropped_beyond_the_limit() {
    let (clock, mut times) = event_times();
    times.confirm_up_to_date();
    for number in 0..MAX_STARTS * 2 {
        let name = format!("c{number}");
        let timestamp = now_ms(&clock);
        times.correct(&mut list(
            &clock,
            false,
            &[(&name, timestamp, ServerState::Active)],
        ));
        times.correct(&mut list(
            &clock,
            false,
            &[(&name, timestamp, ServerState::Removed)],
        ));
    }
    assert!(times.starts.len() <= MAX_STARTS, "{}", times.starts.len());
}

#[tokio::test(start_paused = true)]
async fn a_copy_is_not_created_after_it_arrives() {
    let clock = Clock::start();
    let mut times = CopyTimes::default();
    let now = now_ms(&clock);
    assert_eq!(
        times.correct(&clock, now - 700),
        Some(now - 700),
        "a plausible timestamp"
    );
    assert_eq!(
        times.correct(&clock, now + 20),
        Some(now),
        "within the normal clock skew"
    );
    assert_eq!(
        times.correct(&clock, now + HOUR_MS),
        None,
        "its age is not known"
    );
    // The clock behind these timestamps is now known to be at least an hour ahead.
    assert_eq!(times.correct(&clock, now + HOUR_MS - 300), Some(now - 300));
    assert_eq!(
        times.correct(&clock, now),
        Some(now - HOUR_MS),
        "counted as older than it is, to be safe"
    );
    assert_eq!(
        times.correct(&clock, now + HOUR_MS + 400),
        None,
        "further ahead than the known offset"
    );
    assert_eq!(times.correct(&clock, u64::MAX), None);
}

#[tokio::test(start_paused = true)]
async fn an_offset_that_is_not_observed_any_more_expires() {
    let clock = Clock::start();
    let mut times = CopyTimes::default();
    assert_eq!(times.correct(&clock, now_ms(&clock) + HOUR_MS), None);
    advance(OFFSET_WINDOW).await;
    let now = now_ms(&clock);
    assert_eq!(
        times.correct(&clock, now),
        Some(now - HOUR_MS),
        "the offset still applies in the next window"
    );
    advance(OFFSET_WINDOW).await;
    let now = now_ms(&clock);
    assert_eq!(times.correct(&clock, now), Some(now));
}
