use super::*;

#[test]
fn a_timer_fires_once() {
    let mut timers = Timers::default();
    let callback = TimerCallback::RequestDeadline("1".into());
    let (first, second) = (
        timers.set(callback.clone()),
        timers.set(TimerCallback::ReconnectList),
    );
    assert_ne!(first, second);
    assert_eq!(timers.fire(first), Some(callback));
    assert_eq!(timers.fire(first), None);
    assert_eq!(timers.fire(second), Some(TimerCallback::ReconnectList));
}
