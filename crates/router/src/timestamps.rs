//! Bounds the timestamps in discovery's events and in copies by what the monotonic clock proves.
//!
//! Wall clocks are stepped, this machine's and others'. A timestamp therefore counts only within
//! the span in which its event can have happened. One outside that span says nothing, and the
//! latest possible moment, the arrival, takes its place: a server that started later is earlier in
//! its slow start, and a later purge reaches more copies.

use crate::clock::Clock;
use crate::discovery_events::DiscoveryEvent;
use chalkhall::interface::{Id, Member, Standing};
use std::collections::HashMap;
use std::time::Duration;

/// Starts that are remembered; past that, those of servers that have left the list are forgotten.
const MAX_STARTS: usize = 8192;
/// A timestamp this far in the future is an ordinary difference between two clocks.
const SKEW_MS: u64 = 50;
/// What shows that the origin's clock is ahead counts for one to two of these.
const LEAD_WINDOW: Duration = Duration::from_secs(60);

/// What is known of when the next event can have happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Evidence {
    /// Discovery has not yet said that it has nothing newer: its events may be of any age.
    Startup,
    /// It had nothing newer at this moment, on the connection that is open.
    Live(Duration),
    /// The connection was lost since: its next events may have happened at any time meanwhile.
    Replayed,
}

/// A server's last start.
struct Start {
    /// As it was received.
    stamp: Duration,
    /// As it counts.
    counted: Duration,
    is_listed: bool,
}

/// Bounds the timestamps of discovery's events, in their order.
pub struct EventTimes {
    clock: Clock,
    evidence: Evidence,
    starts: HashMap<Id, Start>,
}

impl EventTimes {
    /// At the start of the router, before anything was received.
    pub fn new(clock: Clock) -> EventTimes {
        EventTimes {
            clock,
            evidence: Evidence::Startup,
            starts: HashMap::new(),
        }
    }

    /// Discovery says that it has nothing newer than what it has sent.
    pub fn nothing_newer(&mut self) {
        self.evidence = Evidence::Live(self.clock.now());
    }

    /// What comes next is of another connection or of a file: it may have happened some time ago.
    pub fn interrupted(&mut self) {
        if self.evidence != Evidence::Startup {
            self.evidence = Evidence::Replayed;
        }
    }

    /// Bounds the timestamps of an event that arrives now.
    pub fn bound(&mut self, event: &mut DiscoveryEvent) {
        let now = self.clock.now();
        match event {
            DiscoveryEvent::List { whole, servers } => {
                if *whole {
                    self.starts
                        .values_mut()
                        .for_each(|start| start.is_listed = false);
                }
                for server in servers {
                    self.bound_start(now, &mut server.member);
                }
            }
            DiscoveryEvent::Purge { ms, .. } => {
                if !self.is_possible(now, self.clock.at_unix_ms(*ms)) {
                    *ms = self.clock.unix_ms(now);
                }
            }
            DiscoveryEvent::Drained(_) | DiscoveryEvent::UpToDate | DiscoveryEvent::Cells(_) => {}
        }
    }

    /// An event was passed on: on a live connection the next one happened after it.
    pub fn passed(&mut self) {
        if let Evidence::Live(_) = self.evidence {
            self.nothing_newer();
        }
    }

    /// A start that was received before counts as it did then: only a new timestamp is a new start.
    fn bound_start(&mut self, now: Duration, member: &mut Member) {
        let is_listed = member.standing != Standing::Gone;
        let Some(stamp) = member.started else {
            self.starts.remove(&member.server);
            return;
        };
        let possible = self.is_possible(now, stamp);
        if self.starts.len() >= MAX_STARTS && !self.starts.contains_key(&member.server) {
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

/// Bounds the times at which copies were created, as their servers send them.
///
/// A copy cannot have been created after it arrived: by as much as its timestamp is in the future,
/// the clock of the server is ahead at least, and later timestamps are corrected by as much. A
/// timestamp that is too old needs no bound: the copy only counts as older than it is.
#[derive(Debug, Default)]
pub struct CopyTimes {
    /// When the current window began, and the lead seen in it and in the one before.
    window: Duration,
    lead_ms: u64,
    lead_before_ms: u64,
}

impl CopyTimes {
    /// When a copy that arrives now was created at the latest, in Unix milliseconds of this
    /// router's clock. None: its age is not known.
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
