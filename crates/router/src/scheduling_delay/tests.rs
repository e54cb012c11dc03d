use super::*;

const MS: Duration = Duration::from_millis(1);

/// A loop at the start of a wait, and the time of that.
fn waiting_loop() -> (EventLoop, Instant) {
    let start = Instant::now();
    let mut event_loop = EventLoop::start(start);
    event_loop.before_wait(start);
    (event_loop, start)
}

#[test]
fn an_idle_loop_is_not_delayed() {
    let (mut event_loop, mut now) = waiting_loop();
    for _ in 0..100 {
        event_loop.before_wait(now);
        now += 51 * MS;
        event_loop.after_wait(now);
        assert_eq!(event_loop.unread_since(now + 2 * MS), None);
        now += 3 * MS;
    }
}

#[test]
fn a_long_wait_is_a_delay_until_everything_that_arrived_is_read() {
    let (mut event_loop, start) = waiting_loop();
    let woken = start + 900 * MS;
    event_loop.after_wait(woken);
    assert_eq!(event_loop.unread_since(woken), Some(start));
    // The ready tasks run in batches, with waits of no duration between them.
    for turn in 1..5 {
        event_loop.before_wait(woken + turn * 5 * MS);
        event_loop.after_wait(woken + turn * 5 * MS);
        assert_eq!(event_loop.unread_since(woken + turn * 5 * MS), Some(start));
    }
    // No task is ready any more.
    event_loop.before_wait(woken + 25 * MS);
    event_loop.after_wait(woken + 30 * MS);
    assert_eq!(event_loop.unread_since(woken + 30 * MS), None);
}

#[test]
fn a_delay_between_two_waits_counts_during_and_after_it() {
    let (mut event_loop, start) = waiting_loop();
    event_loop.after_wait(start + 20 * MS);
    let late = start + 700 * MS;
    assert_eq!(
        event_loop.unread_since(late),
        Some(start),
        "no wait has recorded the delay yet"
    );
    event_loop.before_wait(late);
    event_loop.after_wait(late);
    assert_eq!(event_loop.unread_since(late + MS), Some(start));
    // A second delay begins before all data received during the first has been read.
    event_loop.before_wait(late + 5 * MS);
    assert_eq!(event_loop.unread_since(late + 80 * MS), Some(start));
    event_loop.before_wait(late + 80 * MS);
    assert_eq!(event_loop.unread_since(late + 81 * MS), Some(late + 5 * MS));
    // Even a loop that is never idle has read everything by now.
    for turn in 0..100 {
        event_loop.before_wait(late + (90 + turn) * MS);
        event_loop.after_wait(late + (90 + turn) * MS);
    }
    assert_eq!(event_loop.unread_since(late + 200 * MS), None);
}

#[test]
fn tasks_catch_up_once_for_each_delay() {
    let (mut event_loop, start) = waiting_loop();
    assert!(!event_loop.needs_catch_up(start + 50 * MS));
    let delayed = start + 100 * MS;
    assert!(event_loop.needs_catch_up(delayed));
    event_loop.caught_up(delayed);
    assert!(!event_loop.needs_catch_up(delayed + MS));
    assert_eq!(
        event_loop.unread_since(delayed + MS),
        Some(start),
        "data read now arrived before"
    );
    event_loop.before_wait(delayed + 2 * MS);
    event_loop.after_wait(delayed + 90 * MS);
    assert!(event_loop.needs_catch_up(delayed + 90 * MS));
}
