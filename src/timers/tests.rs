use super::*;

const DUE: Duration = Duration::from_secs(1);

#[test]
fn a_timer_fires_once() {
    let mut timers = Timers::default();
    let callback = TimerCallback::RequestDeadline("1".into());
    let (first, second) = (
        timers.set(DUE, callback.clone()),
        timers.set(DUE, TimerCallback::ReconnectList),
    );
    assert_ne!(first, second);
    assert_eq!(timers.fire(first), Some(callback));
    assert_eq!(timers.fire(first), None);
    assert_eq!(timers.fire(second), Some(TimerCallback::ReconnectList));
}

#[test]
fn a_cancelled_timer_does_not_fire_and_is_not_kept() {
    let mut timers = Timers::default();
    let first = timers.set(DUE, TimerCallback::ReconnectList);
    let second = timers.set(DUE * 2, TimerCallback::ReconnectList);
    assert_eq!(timers.cancel(second), Some(DUE * 2));
    assert_eq!(timers.len(), 1);
    assert_eq!(timers.cancel(second), None);
    assert_eq!(timers.fire(second), None);
    assert_eq!(timers.fire(first), Some(TimerCallback::ReconnectList));
    assert_eq!(timers.cancel(first), None);
    assert_eq!(timers.len(), 0);
}
