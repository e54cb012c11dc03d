//! Notices when the event loop was held up: stopped, starved of CPU time or busy for long.
//!
//! What comes meanwhile lies unread in the sockets. A request has then used up some of its client's time
//! before it is read, and a client that has left is not known to have. The runtime's thread reports each
//! wait for I/O here; between two waits every socket that has something to read is found.

use std::cell::Cell;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::Instant;

/// A longer time between two waits for I/O counts as a hold-up. A quiet loop wakes every 50 ms, for the
/// decider looks up as often.
const HELD_UP_FROM: Duration = Duration::from_millis(60);
/// A wait that lasts this long found no task ready: what lay in the sockets before has been read.
const IDLE_WAIT: Duration = Duration::from_millis(1);
/// Turns of all tasks within which clients' connections read what has come.
const CATCH_UP_TURNS: usize = 8;

thread_local! {
    static EVENT_LOOP: Cell<Option<EventLoop>> = const { Cell::new(None) };
}

#[derive(Clone, Copy, Debug)]
struct HoldUp {
    from: Instant,
    until: Instant,
    /// All other tasks have had turns since.
    caught_up: bool,
}

#[derive(Clone, Copy, Debug)]
struct EventLoop {
    /// When the last wait for I/O began.
    waits_since: Instant,
    /// The last hold-up, until all that came during it has been read.
    hold_up: Option<HoldUp>,
}

impl EventLoop {
    fn start(now: Instant) -> EventLoop {
        EventLoop {
            waits_since: now,
            hold_up: None,
        }
    }

    fn before_wait(&mut self, now: Instant) {
        self.note_hold_up(now);
        self.waits_since = now;
    }

    fn after_wait(&mut self, now: Instant) {
        if now >= self.waits_since + IDLE_WAIT {
            self.hold_up = None;
        }
        self.note_hold_up(now);
    }

    fn is_held_up(&self, now: Instant) -> bool {
        now >= self.waits_since + HELD_UP_FROM
    }

    fn note_hold_up(&mut self, now: Instant) {
        if self.is_held_up(now) {
            self.hold_up = Some(HoldUp {
                from: self.waits_since,
                until: now,
                caught_up: false,
            });
        }
    }

    fn has_to_catch_up(&self, now: Instant) -> bool {
        self.is_held_up(now) || self.hold_up.is_some_and(|hold_up| !hold_up.caught_up)
    }

    fn caught_up(&mut self, now: Instant) {
        self.before_wait(now);
        self.hold_up
            .iter_mut()
            .for_each(|hold_up| hold_up.caught_up = true);
    }

    /// The start of a hold-up that had ended shortly before `now`: what came during it may be read then.
    fn recent_hold_up(&self, now: Instant) -> Option<Instant> {
        self.hold_up
            .filter(|hold_up| now < hold_up.until + HELD_UP_FROM)
            .map(|hold_up| hold_up.from)
    }

    fn unread_since(&self, now: Instant) -> Option<Instant> {
        if self.is_held_up(now) {
            // What came during the one before may not have had its turn yet.
            return self
                .recent_hold_up(self.waits_since)
                .or(Some(self.waits_since));
        }
        self.recent_hold_up(now)
    }
}

fn note(event: fn(&mut EventLoop, Instant)) {
    let now = Instant::now();
    let mut event_loop = EVENT_LOOP.get().unwrap_or_else(|| EventLoop::start(now));
    event(&mut event_loop, now);
    EVENT_LOOP.set(Some(event_loop));
}

/// To be called by the runtime's thread before each wait for I/O.
pub fn before_wait() {
    note(EventLoop::before_wait);
}

/// To be called by the runtime's thread after each wait for I/O.
pub fn after_wait() {
    note(EventLoop::after_wait);
}

/// Since when what is read now may have lain unread, where the loop was held up; `None` where it was not.
pub fn unread_since() -> Option<Instant> {
    EVENT_LOOP
        .get()
        .and_then(|event_loop| event_loop.unread_since(Instant::now()))
}

/// Lets all other tasks read what came during a hold-up, once; without one returns at once.
///
/// `after_turn` is called after each of their turns: whoever waits here may have a mailbox that they fill.
pub async fn catch_up(mut after_turn: impl FnMut()) {
    if EVENT_LOOP
        .get()
        .is_some_and(|event_loop| event_loop.has_to_catch_up(Instant::now()))
    {
        for _ in 0..CATCH_UP_TURNS {
            yield_now().await;
            after_turn();
        }
        note(EventLoop::caught_up);
    }
}

#[cfg(test)]
mod tests;
