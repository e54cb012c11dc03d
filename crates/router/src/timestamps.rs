//! Bounds the Unix times in discovery's events and in copies by what the monotonic clock proves.
//!
//! Wall clocks are stepped, this machine's and those of the machines that stamp. A stamp therefore counts only
//! within the span in which its event can have happened; one outside that span says nothing, and the latest
//! moment possible, the arrival, takes its place: a server that started later is colder, and a purge that was
//! made later reaches more copies.

use crate::clock::Clock;
use crate::discovery_events::DiscoveryEvent;
use chalkhall::interface::{Id, Member, Standing};
use std::collections::HashMap;
use std::time::Duration;

/// Starts that are remembered; past them those of servers that have left the list are forgotten.
const STARTS_MOST: usize = 8192;
/// A stamp this far in the future is an ordinary difference between two clocks.
const SKEW_MS: u64 = 50;
/// What shows that the origin's clock is ahead counts for one to two of these.
const LEAD_WINDOW: Duration = Duration::from_secs(60);

/// What is known of when the next event can have happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Evidence {
    /// Discovery was not heard yet to have nothing newer: nothing says how old its events are.
    Startup,
    /// It had nothing newer at this moment, on the connection that is open.
    Live(Duration),
    /// The connection was lost since: its next events may have happened at any time meanwhile.
    Replayed,
}

/// A server's last start: as it was stamped, and as it counts.
struct Start {
    stamp: Duration,
    counted: Duration,
    is_listed: bool,
}

/// Bounds the stamps of discovery's events, in their order.
pub struct EventTimes {
    clock: Clock,
    evidence: Evidence,
    starts: HashMap<Id, Start>,
}

impl EventTimes {
    /// At the start of the router, before anything was heard.
    pub fn new(clock: Clock) -> EventTimes {
        EventTimes {
            clock,
            evidence: Evidence::Startup,
            starts: HashMap::new(),
        }
    }

    /// Discovery says that it has nothing newer than what it told.
    pub fn nothing_newer(&mut self) {
        self.evidence = Evidence::Live(self.clock.now());
    }

    /// What comes next was told on another connection or by a file: it may have happened some time ago.
    pub fn interrupted(&mut self) {
        if self.evidence != Evidence::Startup {
            self.evidence = Evidence::Replayed;
        }
    }

    /// Bounds the stamps of an event that arrives now.
    pub fn bound(&mut self, notice: &mut DiscoveryEvent) {
        let now = self.clock.now();
        match notice {
            DiscoveryEvent::List { whole, members } => {
                if *whole {
                    self.starts
                        .values_mut()
                        .for_each(|start| start.is_listed = false);
                }
                members
                    .iter_mut()
                    .for_each(|(member, _)| self.bound_start(now, member));
            }
            DiscoveryEvent::Purge { ms, .. } => {
                if !self.is_possible(now, self.clock.at_unix_ms(*ms)) {
                    *ms = self.clock.unix_ms(now);
                }
            }
            DiscoveryEvent::Drained(_) | DiscoveryEvent::Heard | DiscoveryEvent::Cells(_) => {}
        }
    }

    /// An event was passed on: on a live connection the next one happened after it.
    pub fn passed(&mut self) {
        if let Evidence::Live(_) = self.evidence {
            self.nothing_newer();
        }
    }

    /// A start that was told before counts as it did then: only a new stamp tells of a new start.
    fn bound_start(&mut self, now: Duration, member: &mut Member) {
        let is_listed = member.standing != Standing::Gone;
        let Some(stamp) = member.started else {
            self.starts.remove(&member.server);
            return;
        };
        let possible = self.is_possible(now, stamp);
        if self.starts.len() >= STARTS_MOST && !self.starts.contains_key(&member.server) {
            self.starts.retain(|_, start| start.is_listed);
        }
        let counted = if possible { stamp } else { now };
        let start = self.starts.entry(member.server.clone()).or_insert(Start {
            stamp,
            counted,
            is_listed,
        });
        if start.stamp != stamp {
            (start.stamp, start.counted) = (stamp, counted);
        }
        start.is_listed = is_listed;
        member.started = Some(start.counted);
    }

    fn is_possible(&self, now: Duration, stamp: Duration) -> bool {
        match self.evidence {
            Evidence::Startup => stamp <= now,
            Evidence::Live(nothing_newer_at) => (nothing_newer_at..=now).contains(&stamp),
            Evidence::Replayed => false,
        }
    }
}

/// Bounds the times at which copies were made, as their servers tell them.
///
/// A copy cannot have been made after it arrived: by as much as its stamp lies in the future, the clock that
/// stamps is ahead at least, and stamps that follow are taken back by as much. A stamp that is too old needs no
/// bound: the copy only counts as older than it is.
#[derive(Debug, Default)]
pub struct CopyTimes {
    /// When the current window began, and the lead seen in it and in the one before.
    window: Duration,
    lead_ms: u64,
    lead_before_ms: u64,
}

impl CopyTimes {
    /// When a copy that arrives now was made at the latest, in Unix milliseconds of this router's clock. None:
    /// nothing says how old it is.
    pub fn bound(&mut self, clock: &Clock, made: u64) -> Option<u64> {
        let now = clock.now();
        if now >= self.window + LEAD_WINDOW {
            let follows = now < self.window + LEAD_WINDOW * 2;
            self.lead_before_ms = if follows { self.lead_ms } else { 0 };
            (self.window, self.lead_ms) = (now, 0);
        }
        let arrival = clock.unix_ms(now);
        let lead = self.lead_ms.max(self.lead_before_ms);
        self.lead_ms = self.lead_ms.max(made.saturating_sub(arrival));
        let made = made.saturating_sub(lead);
        (made <= arrival.saturating_add(SKEW_MS)).then_some(made.min(arrival))
    }
}

#[cfg(test)]
mod tests;
