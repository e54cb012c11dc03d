use super::*;

const NOW: Duration = Duration::from_secs(1000);

fn limiter(in_flight: usize) -> FillLimiter {
    let mut limiter = FillLimiter::default();
    (0..in_flight).for_each(|_| limiter.acquire());
    limiter
}

#[test]
fn fills_are_unlimited_until_one_is_late() {
    let mut limiter = limiter(1000);
    limiter.record_result(NOW, FillResult::InTime, || 8.0);
    limiter.record_result(NOW, FillResult::Unrelated, || 8.0);
    assert!(limiter.has_free_slot());
    limiter.record_result(NOW, FillResult::Late, || 8.0);
    assert!(!limiter.has_free_slot());
    assert_eq!(limiter.limit, 1001.0 * BACKOFF_FACTOR);
}

#[test]
fn the_initial_limit_is_at_least_the_fair_share() {
    let mut limiter = limiter(1);
    limiter.record_result(NOW, FillResult::Late, || 100.0);
    assert_eq!(limiter.limit, 100.0 * BACKOFF_FACTOR);
}

#[test]
fn the_limit_backs_off_once_per_interval_and_not_below_one() {
    let mut limiter = limiter(10);
    limiter.record_result(NOW, FillResult::Late, || 0.0);
    let first = limiter.limit;
    limiter.record_result(NOW, FillResult::Late, || 0.0);
    assert_eq!(limiter.limit, first);
    for n in 1..100 {
        limiter.record_result(NOW + BACKOFF_INTERVAL * n, FillResult::Late, || 0.0);
    }
    assert_eq!(limiter.limit, MIN_LIMIT);
}

#[test]
fn a_small_share_of_late_fills_does_not_reduce_the_limit() {
    let mut limiter = limiter(10);
    for _ in 0..100 {
        limiter.record_result(NOW, FillResult::InTime, || 0.0);
    }
    limiter.record_result(NOW, FillResult::Late, || 0.0);
    assert_eq!(limiter.limit, f64::INFINITY);
}

#[test]
fn the_limit_grows_only_while_it_is_used() {
    let mut limiter = limiter(10);
    limiter.record_result(NOW, FillResult::Late, || 0.0);
    let first = limiter.limit;
    limiter.record_result(NOW, FillResult::InTime, || 0.0);
    assert!(limiter.limit > first);
    let grown = limiter.limit;
    (0..10).for_each(|_| limiter.release());
    limiter.record_result(NOW, FillResult::InTime, || 0.0);
    assert_eq!(limiter.limit, grown);
}

#[test]
fn the_most_valuable_request_is_dequeued_first_and_finished_ones_are_dropped() {
    let mut limiter = limiter(0);
    let mut enqueue = |request: &str| limiter.enqueue(&request.into());
    let [_, over, _] = ["low", "over", "high"].map(&mut enqueue);
    let value = |request: &Id| match &**request {
        "low" => Some(1.0),
        "high" => Some(2.0),
        _ => None,
    };
    assert_eq!(limiter.dequeue(value), Some("high".into()));
    assert!(!limiter.is_queued(over));
    assert_eq!(limiter.dequeue(value), Some("low".into()));
    assert_eq!(limiter.dequeue(value), None);
    assert_eq!(limiter.queue_length(), 0);
}

#[test]
fn a_request_that_leaves_the_queue_is_not_kept() {
    let mut limiter = limiter(10);
    limiter.record_result(NOW, FillResult::Late, || 0.0);
    let [first, second] = ["1", "2"].map(|request| limiter.enqueue(&request.into()));
    limiter.leave_queue(first);
    assert!(!limiter.is_queued(first));
    assert!(limiter.is_queued(second));
    assert_eq!(limiter.queue_length(), 1);
}

#[test]
fn requests_stay_queued_while_no_slot_is_free() {
    let mut limiter = limiter(10);
    limiter.record_result(NOW, FillResult::Late, || 0.0);
    let waiting = limiter.enqueue(&"waiting".into());
    assert_eq!(limiter.dequeue(|_| Some(1.0)), None);
    assert!(limiter.is_queued(waiting));
}
