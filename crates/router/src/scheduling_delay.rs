//! Detects scheduling delays of the event loop: the process was stopped, got no CPU time or was
//! busy.
//!
//! Data that arrives during a delay stays unread in the sockets. A request has then used part of
//! its deadline before it is read, and disconnects of clients go unnoticed. The runtime's thread
//! reports each wait for I/O here; each wait finds all readable sockets.

use std::cell::Cell;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::Instant;

/// At least this much time between two waits for I/O counts as a delay. An idle loop wakes up every
/// 50 ms, for the decider's timer.
const DELAY_THRESHOLD: Duration = Duration::from_millis(60);
/// Before a wait that lasts this long, no task was ready: all data received earlier has been read.
const IDLE_WAIT: Duration = Duration::from_millis(1);
/// Scheduling rounds within which client connections read what has arrived.
const CATCH_UP_ROUNDS: usize = 8;

thread_local! {
    static EVENT_LOOP: Cell<Option<EventLoop>> = const { Cell::new(None) };
}

/// A period in which the event loop was delayed.
#[derive(Clone, Copy, Debug)]
struct Delay {
    started_at: Instant,
    ended_at: Instant,
    /// Whether all other tasks have run since.
    is_caught_up: bool,
}

/// The state of a thread's event loop.
#[derive(Clone, Copy, Debug)]
struct EventLoop {
    /// When the last wait for I/O started.
    last_wait_at: Instant,
    /// The last delay, until everything that arrived during it has been read.
    last_delay: Option<Delay>,
}

impl EventLoop {
    fn start(now: Instant) -> EventLoop {
        EventLoop {
            last_wait_at: now,
            last_delay: None,
        }
    }

    fn before_wait(&mut self, now: Instant) {
        self.record_delay(now);
        self.last_wait_at = now;
    }

    fn after_wait(&mut self, now: Instant) {
        if now >= self.last_wait_at + IDLE_WAIT {
            self.last_delay = None;
        }
        self.record_delay(now);
    }

    fn is_delayed(&self, now: Instant) -> bool {
        now >= self.last_wait_at + DELAY_THRESHOLD
    }

    fn record_delay(&mut self, now: Instant) {
        if self.is_delayed(now) {
            self.last_delay = Some(Delay {
                started_at: self.last_wait_at,
                ended_at: now,
                is_caught_up: false,
            });
        }
    }

    fn needs_catch_up(&self, now: Instant) -> bool {
        self.is_delayed(now) || self.last_delay.is_some_and(|delay| !delay.is_caught_up)
    }

    fn caught_up(&mut self, now: Instant) {
        self.before_wait(now);
        if let Some(delay) = &mut self.last_delay {
            delay.is_caught_up = true;
        }
    }

    /// The start of a delay that ended shortly before `now`: data that arrived during it may be
    /// read only now.
    fn recent_delay(&self, now: Instant) -> Option<Instant> {
        self.last_delay
            .filter(|delay| now < delay.ended_at + DELAY_THRESHOLD)
            .map(|delay| delay.started_at)
    }

    fn unread_since(&self, now: Instant) -> Option<Instant> {
        if self.is_delayed(now) {
            // Data that arrived during the previous delay may be unread too.
            return self
                .recent_delay(self.last_wait_at)
                .or(Some(self.last_wait_at));
        }
        self.recent_delay(now)
    }
}

fn update(event: fn(&mut EventLoop, Instant)) {
    let now = Instant::now();
    let mut event_loop = EVENT_LOOP.get().unwrap_or_else(|| EventLoop::start(now));
    event(&mut event_loop, now);
    EVENT_LOOP.set(Some(event_loop));
}

/// Called by the runtime's thread before each wait for I/O.
pub fn before_wait() {
    update(EventLoop::before_wait);
}

/// Called by the runtime's thread after each wait for I/O.
pub fn after_wait() {
    update(EventLoop::after_wait);
}

/// The earliest time since which data read now may have been unread; `None` without a delay.
pub fn unread_since() -> Option<Instant> {
    EVENT_LOOP
        .get()
        .and_then(|event_loop| event_loop.unread_since(Instant::now()))
}

/// Lets all other tasks read what arrived during a delay, once per delay; returns at once if there
/// was none.
///
/// `after_round` is called after each scheduling round, for example to drain a channel on which the
/// other tasks send.
pub async fn catch_up(mut after_round: impl FnMut()) {
    if EVENT_LOOP
        .get()
        .is_some_and(|event_loop| event_loop.needs_catch_up(Instant::now()))
    {
        for _ in 0..CATCH_UP_ROUNDS {
            yield_now().await;
            after_round();
        }
        update(EventLoop::caught_up);
    }
}

#[cfg(test)]
mod tests;
