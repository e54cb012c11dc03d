//! Validates the timestamps in discovery events and copies against the monotonic clock.
//!
//! The wall clocks of this and other machines may be stepped. A timestamp is therefore accepted
//! only within the interval in which its event can have happened. Otherwise it is replaced by the
//! latest possible time, the arrival. That errs on the safe side: a server that started later is in
//! an earlier part of its slow start, and a later purge covers more copies.

use crate::clock::Clock;
use crate::discovery_events::DiscoveryEvent;
use chalkhall::interface::{Id, Member, ServerState};
use std::collections::HashMap;
use std::time::Duration;

/// Maximum number of recorded server starts. Beyond it, those of servers that are no longer listed
/// are dropped.
const MAX_STARTS: usize = 8192;
/// Timestamps up to this far in the future are attributed to normal clock skew.
const MAX_SKEW_MS: u64 = 50;
/// An observed clock offset is applied for one to two windows of this length.
const OFFSET_WINDOW: Duration = Duration::from_secs(60);

/// Evidence for when the next event can have happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Evidence {
    /// Discovery has not yet reported that it is up to date: its events may be of any age.
    Startup,
    /// Discovery was up to date at this time, on the current connection.
    Live(Duration),
    /// The connection was lost since then: the next events may have happened at any time in
    /// between.
    Replayed,
}

/// The last start of a server.
struct Start {
    /// The timestamp as received.
    timestamp: Duration,
    /// The time that is used for it.
    effective: Duration,
    is_listed: bool,
}

/// Validates the timestamps of discovery events in the order of their arrival.
pub struct EventTimes {
    clock: Clock,
    evidence: Evidence,
    starts: HashMap<Id, Start>,
}

impl EventTimes {
    /// The state at the start of the router, before any event has been received.
    pub fn new(clock: Clock) -> EventTimes {
        EventTimes {
            clock,
            evidence: Evidence::Startup,
            starts: HashMap::new(),
        }
    }

    /// Discovery has reported that it has sent all events.
    pub fn confirm_up_to_date(&mut self) {
        self.evidence = Evidence::Live(self.clock.now());
    }

    /// The next events are from another connection or from a file, and may have happened earlier.
    pub fn connection_lost(&mut self) {
        if self.evidence != Evidence::Startup {
            self.evidence = Evidence::Replayed;
        }
    }

    /// Replaces the timestamps of an event that arrives now where they are not possible.
    pub fn correct(&mut self, event: &mut DiscoveryEvent) {
        let now = self.clock.now();
        match event {
            DiscoveryEvent::List {
                is_snapshot,
                servers,
            } => {
                if *is_snapshot {
                    self.starts
                        .values_mut()
                        .for_each(|start| start.is_listed = false);
                }
                for server in servers {
                    self.correct_start(now, &mut server.member);
                }
            }
            DiscoveryEvent::Purge {
                purged_at_unix_ms, ..
            } => {
                if !self.is_possible(now, self.clock.at_unix_ms(*purged_at_unix_ms)) {
                    *purged_at_unix_ms = self.clock.unix_ms(now);
                }
            }
            DiscoveryEvent::DrainedZones(_)
            | DiscoveryEvent::UpToDate { .. }
            | DiscoveryEvent::CellMap(_) => {}
        }
    }

    /// An event was forwarded to the decider: on a live connection, the next one happened after it.
    pub fn event_forwarded(&mut self) {
        if let Evidence::Live(_) = self.evidence {
            self.confirm_up_to_date();
        }
    }

    /// A start that was received before keeps its effective time: only a new timestamp is a new
    /// start.
    fn correct_start(&mut self, now: Duration, member: &mut Member) {
        let is_listed = member.state != ServerState::Removed;
        let Some(timestamp) = member.started else {
            self.starts.remove(&member.server);
            return;
        };
        let is_possible = self.is_possible(now, timestamp);
        if self.starts.len() >= MAX_STARTS && !self.starts.contains_key(&member.server) {
            self.starts.retain(|_, start| start.is_listed);
        }
        let effective = if is_possible { timestamp } else { now };
        let start = self.starts.entry(member.server.clone()).or_insert(Start {
            timestamp,
            effective,
            is_listed,
        });
        if start.timestamp != timestamp {
            (start.timestamp, start.effective) = (timestamp, effective);
        }
        start.is_listed = is_listed;
        member.started = Some(start.effective);
    }

    fn is_possible(&self, now: Duration, timestamp: Duration) -> bool {
        match self.evidence {
            Evidence::Startup => timestamp <= now,
            Evidence::Live(up_to_date_at) => (up_to_date_at..=now).contains(&timestamp),
            Evidence::Replayed => false,
        }
    }
}

/// Corrects the creation times of copies, as sent by servers.
///
/// A copy cannot have been created after it arrived. If its timestamp is in the future, the clock
/// that created it is ahead by at least that much, and later timestamps are reduced by this offset.
/// A timestamp that is too old needs no correction: the copy only counts as older than it is.
#[derive(Debug, Default)]
pub struct CopyTimes {
    /// The start of the current window, and the largest offsets observed in it and in the previous
    /// one.
    window_start: Duration,
    offset_ms: u64,
    previous_offset_ms: u64,
}

impl CopyTimes {
    /// The latest time at which a copy that arrives now was created, in Unix milliseconds of this
    /// router's clock. None: its age is not known.
    pub fn correct(&mut self, clock: &Clock, created_at_ms: u64) -> Option<u64> {
        let now = clock.now();
        if now >= self.window_start + OFFSET_WINDOW {
            let is_next_window = now < self.window_start + OFFSET_WINDOW * 2;
            self.previous_offset_ms = if is_next_window { self.offset_ms } else { 0 };
            (self.window_start, self.offset_ms) = (now, 0);
        }
        let arrival = clock.unix_ms(now);
        let offset = self.offset_ms.max(self.previous_offset_ms);
        self.offset_ms = self.offset_ms.max(created_at_ms.saturating_sub(arrival));
        let created_at_ms = created_at_ms.saturating_sub(offset);
        (created_at_ms <= arrival.saturating_add(MAX_SKEW_MS)).then_some(created_at_ms.min(arrival))
    }
}

#[cfg(test)]
mod tests;
