//! Detects scheduling delays of the event loop: it was stopped, had no CPU time or was busy for
//! long.
//!
//! What arrives meanwhile stays unread in the sockets. A request has then used some of its client's
//! time before it is read, and a client that has left is not known to have. The runtime's thread
//! reports each wait for I/O here; between two waits every socket that has something to read is
//! found.

use std::cell::Cell;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::Instant;

/// A longer time between two waits for I/O counts as a delay. An idle loop wakes every 50 ms, by
/// the timer of the decider.
const DELAY_THRESHOLD: Duration = Duration::from_millis(60);
/// A wait that lasts this long found no task ready: what was in the sockets before has been read.
const IDLE_WAIT: Duration = Duration::from_millis(1);
/// Rounds of all tasks within which clients' connections read what has arrived.
const CATCH_UP_ROUNDS: usize = 8;

thread_local! {
    static EVENT_LOOP: Cell<Option<EventLoop>> = const { Cell::new(None) };
}

/// A time in which the event loop did not run as it should.
#[derive(Clone, Copy, Debug)]
struct Delay {
    started_at: Instant,
    ended_at: Instant,
    /// All other tasks have run since.
    is_caught_up: bool,
}

/// What is known of the event loop of a thread.
#[derive(Clone, Copy, Debug)]
struct EventLoop {
    /// When the last wait for I/O began.
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

    /// The start of a delay that ended shortly before `now`: what arrived during it may be read
    /// then.
    fn recent_delay(&self, now: Instant) -> Option<Instant> {
        self.last_delay
            .filter(|delay| now < delay.ended_at + DELAY_THRESHOLD)
            .map(|delay| delay.started_at)
    }

    fn unread_since(&self, now: Instant) -> Option<Instant> {
        if self.is_delayed(now) {
            // What arrived during the delay before may be unread too.
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

/// To be called by the runtime's thread before each wait for I/O.
pub fn before_wait() {
    update(EventLoop::before_wait);
}

/// To be called by the runtime's thread after each wait for I/O.
pub fn after_wait() {
    update(EventLoop::after_wait);
}

/// Since when what is read now may have been unread, if the loop was delayed; `None` if it was not.
pub fn unread_since() -> Option<Instant> {
    EVENT_LOOP
        .get()
        .and_then(|event_loop| event_loop.unread_since(Instant::now()))
}

/// Lets all other tasks read what arrived during a delay, once for each; returns at once if there
/// was none.
///
/// `after_round` is called after each of their rounds: the caller may have a mailbox that they
/// fill.
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
