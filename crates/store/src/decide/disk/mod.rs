//! The disk tier: what is written, where, what is reclaimed, and what may be served of what an earlier life
//! left.
//!
//! Orders go out through `Outlet` and are carried out elsewhere, in their order for one segment; how each
//! ended comes back by a call. Nothing here waits. A copy on disk is served only if all of this holds: its
//! record proves whole at the very place that the index names, it is of the part that was asked for, it was
//! made after the last purge that concerns it, and, where it is from before this start, no purge can have
//! been missed since it was written.

mod marks;
mod reclaim;
mod retry;
mod serve;
mod start;
mod work;
mod write;

use super::admission::{Admission, Refusal};
use super::index::{Index, NoRoom, Spot};
use super::purges::{Mark, Purges, group_slot};
use super::segments::{CLASSES, Segments, State, class_of};
use crate::catalogue::{Known, Line};
use crate::copy::Copy;
use crate::format::{
    self, Entry, FOOTER_TRAILER_LEN, SEGMENT_HEADER_LEN, fits_in_record, record_len, tag_hash,
};
use crate::key::{self, Key};
use crate::recovery::{Recovered, RecoveryError};
use chalkhall::control::Judged;
use chalkhall_scheduler::{Cost, Done, Kind, Rate, Scheduler};
use retry::Retry;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

/// Segments kept free, so that a write need not wait for a reclaim.
const RESERVE: usize = 2;
/// Fewer segments than this cannot hold one open of each size group and something to reclaim.
pub const SEGMENTS_LEAST: usize = 8;
/// A record takes no more of a segment than this share of it.
const LARGEST_SHARE: u32 = 4;
/// Bytes of records on their way to the disk, and of copies that wait for their turn to be written.
const WRITING_MOST: usize = 8 << 20;
const DEMOTING_MOST: usize = 4 << 20;
/// Segments of an earlier life read at once; records of a reclaimed one read at once.
const RECOVERING_MOST: usize = 4;
const CARRYING_MOST: usize = 4;
/// Purges that wait to be written down. Past them nothing more is said of how long discovery was heard.
const UNMARKED_MOST: usize = 65_536;
/// Unproven parts that were asked for and go first when copies are revalidated.
const ASKED_MOST: usize = 256;
const REVALIDATING_MOST: usize = 32;
/// Buckets of the index looked at in one step of a sweep or of a search for unproven ones.
const SWEEP_BUCKETS: usize = 256;
/// Parts asked for lately, by which is known that one is asked for in turn.
const TURNS_MOST: usize = 4096;
/// Until a sync that found its mailbox full is tried again.
const SYNC_AGAIN: Duration = Duration::from_millis(5);
/// Between two words on how long discovery was heard.
const HEARD_EVERY: Duration = Duration::from_secs(10);
/// Purges that could not be written down are tried again after the first of these spans, which doubles with
/// each failure up to the second; so are files that could not be removed, listed or read.
const MARK_RETRY: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(5));
const FILE_RETRY: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(30));
/// A segment that is to be reclaimed goes without being listed after so many failures to list it.
const LIST_FAILURES_MOST: u32 = 3;

/// Kinds of background work, by their numbers.
const RECLAIM: usize = 0;
const DEMOTE: usize = 1;
const REVALIDATE: usize = 2;
const SCRUB: usize = 3;
const SWEEP: usize = 4;
const AHEAD: usize = 5;

/// How the tier is to be, in plain figures.
#[derive(Clone, Debug)]
pub struct Wanted {
    /// Of all segments together, and of one.
    pub bytes: u64,
    pub segment: u32,
    /// Of memory for the index.
    pub index: u64,
    pub write_rate: Option<u64>,
    pub write_day: Option<u64>,
    pub least_fresh: Duration,
    pub carry: f64,
    pub sync_after: Duration,
    pub sync_bytes: u64,
    /// What is known at the start names every purge of this long before.
    pub known_purges: Duration,
    /// Unproven copies asked for again in a second; 0: they are dropped.
    pub revalidate: f64,
    pub read_ahead: usize,
    pub scrub: u64,
    pub yield_over: Duration,
    /// Baseline for measurements: all that comes is admitted and nothing is told apart by rank.
    pub admit_all: bool,
}

impl Default for Wanted {
    fn default() -> Wanted {
        Wanted {
            bytes: 1 << 30,
            segment: 32 << 20,
            index: 64 << 20,
            write_rate: None,
            write_day: None,
            least_fresh: Duration::from_secs(60),
            carry: 0.2,
            sync_after: Duration::from_secs(1),
            sync_bytes: 8 << 20,
            known_purges: Duration::ZERO,
            revalidate: 0.0,
            read_ahead: 1,
            scrub: 1 << 20,
            yield_over: Duration::from_millis(5),
            admit_all: false,
        }
    }
}

/// Why an order was not carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The system failed it.
    Io(String),
    /// No room is left on the disk.
    Full,
    /// What was read is not whole, or not what should be there.
    Damaged,
}

/// What became of a read that somebody waits for.
#[derive(Clone, Debug, PartialEq)]
pub enum Fetched {
    Copy(Rc<Copy>),
    /// It may not be served any more, or is damaged: it never was there for the asker.
    Gone,
    /// The disk failed.
    Failed,
}

/// Through this the tier acts. An order that answers false was not taken and will not end.
pub trait Outlet {
    /// The record at this place. Ends in `Store::read`.
    fn read(&mut self, ticket: u64, segment: u32, at: u32, length: u32) -> bool;
    /// What a sealed segment lists. Ends in `Store::listed`.
    fn list(&mut self, segment: u32) -> bool;
    /// What a segment of an earlier life holds; it is sealed on the way. Ends in `Store::recovered`.
    fn recover(&mut self, segment: u32) -> bool;
    /// Makes a segment's file. Its failure shows in what is written to it.
    fn begin(&mut self, segment: u32, class: u32) -> bool;
    /// Ends in `Store::appended`.
    fn append(&mut self, ticket: u64, segment: u32, at: u32, record: Vec<u8>) -> bool;
    /// Ends in `Store::synced`.
    fn sync(&mut self, segment: u32, up_to: u32) -> bool;
    /// Writes the footer and syncs. Ends in `Store::sealed`.
    fn seal(&mut self, segment: u32, at: u32, footer: Vec<u8>) -> bool;
    /// Ends in `Store::removed`.
    fn remove(&mut self, segment: u32) -> bool;
    /// Writes lines down, in their order. Ends in `Store::marked`.
    fn mark(&mut self, lines: Vec<Line>) -> bool;
    /// What became of a read that `Store::fetch` asked for.
    fn fetched(&mut self, _ticket: u64, _fetched: Fetched) {}
    /// Asks the source of this copy whether it still holds; ends in `Store::proven`, `Store::keep` or not at
    /// all.
    fn revalidate(&mut self, _copy: &Copy) {}
    /// This copy outlives a crash from now on.
    fn outlives(&mut self, _key: Key, _made: u64) {}
    /// This copy is let go of.
    fn lets_go(&mut self, _key: Key) {}
}

/// What happened so far, for operators. `unknown`: parts for which the index had no room.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    pub hits: u64,
    pub hit_bytes: u64,
    pub written: u64,
    pub carried: u64,
    pub admitted_bytes: u64,
    pub written_bytes: u64,
    pub refused_expires: u64,
    pub refused_size: u64,
    pub refused_budget: u64,
    pub refused_disk: u64,
    pub outdated: u64,
    pub damaged: u64,
    pub torn_bytes: u64,
    pub read_faults: u64,
    pub write_faults: u64,
    pub sync_faults: u64,
    pub reclaimed: u64,
    pub recovered: u64,
    pub unproven: u64,
    pub revalidated: u64,
    pub dropped_unproven: u64,
    pub unknown: u64,
    pub foreign: u64,
    pub read_ahead: u64,
    pub scrubbed: u64,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Not opened yet: nothing is known.
    Opening,
    /// What an earlier life left is being read; the rest goes on.
    Recovering,
    Ready,
    /// It cannot be used, and why.
    Refused(String),
}

enum Purpose {
    Answer {
        key: Key,
        spot: Spot,
        object: Vec<u8>,
        part: u64,
        group: usize,
    },
    Ahead {
        key: Key,
        spot: Spot,
    },
    Carry {
        entry: Entry,
    },
    Scrub {
        key: Key,
        spot: Spot,
    },
    Revalidate {
        key: Key,
        spot: Spot,
    },
    /// Nobody waits for it any more.
    Nobody,
}

struct Writing {
    key: Key,
    object: Key,
    spot: Spot,
    carried: bool,
}

/// The segment that is being reclaimed.
struct Reclaim {
    segment: u32,
    /// Its state before.
    was: State,
    todo: VecDeque<Entry>,
    /// Reads and writes of what is carried over that are not back yet.
    open: usize,
    /// Segments to be synced before the old one goes, once nothing more is carried over.
    into: Option<HashSet<u32>>,
    removing: bool,
}

#[derive(Default)]
struct Unsynced {
    bytes: u64,
    since: Option<Duration>,
    /// Up to where a sync is under way.
    under_way: Option<u32>,
}

pub struct Disk {
    wanted: Wanted,
    phase: Phase,
    store: u64,
    start_ms: u64,
    index: Index,
    segments: Segments,
    admission: Admission,
    /// Of writes and syncs. Reads that requests wait for are judged where requests are decided.
    writes: Judged,
    counts: Counts,
    tickets: u64,
    reads: HashMap<u64, Purpose>,
    writing: HashMap<u64, Writing>,
    writing_bytes: usize,
    demoting: VecDeque<(Rc<Copy>, u8)>,
    demoting_bytes: usize,
    /// Of each segment that is written: its records so far, and what of it waits to be synced.
    written: BTreeMap<u32, (Vec<Entry>, Unsynced)>,
    reclaim: Option<Reclaim>,
    reclaim_retry: Retry,
    /// Segments whose files could not be removed, and such as could not be read: tried again, one at a time.
    unremoved: VecDeque<u32>,
    remove_retry: Retry,
    removing_again: bool,
    unread: VecDeque<u32>,
    read_retry: Retry,
    reading_again: bool,
    to_recover: VecDeque<u32>,
    recovering: usize,
    /// Purges before this are told by what is known at the start; up to when discovery was heard in earlier
    /// lives.
    known_since: u64,
    heard_before: Option<u64>,
    /// Segments up to these numbers hold copies of which a purge may have been missed, and copies whose times
    /// were told by another clock.
    uncovered: u32,
    undated: u32,
    /// The wall clock was set back since an earlier start, by what the caller has found out.
    earlier_starts_distrusted: bool,
    unmarked: Vec<Line>,
    marking: Option<Vec<Line>>,
    mark_retry: Retry,
    mark_due: bool,
    /// A purge could not be written down: of this life no more is said than was.
    mute: bool,
    heard: Option<u64>,
    heard_said: Duration,
    asked: VecDeque<Key>,
    seeking: Option<(u8, usize)>,
    sweep: usize,
    scrub: usize,
    /// Of objects by slot: which part was asked for last; and the object lately asked for in turn.
    turns: Vec<(Key, u64)>,
    in_turn: Option<(Key, u64)>,
    work: Scheduler,
}

impl Disk {
    /// `start_ms`: the Unix time of this start.
    pub fn new(wanted: Wanted, now: Duration, start_ms: u64) -> Disk {
        let most = (wanted.bytes / u64::from(wanted.segment).max(1)) as usize;
        let s = Duration::from_secs;
        let kind = |name, priority| Kind {
            name,
            priority,
            ..Kind::default()
        };
        let at_once = |n, kind: Kind| Kind { at_once: n, ..kind };
        // A demotion that waits holds memory, a reclaim that waits holds up writes: both go soon, also under
        // load.
        let reclaim = Kind {
            deadline: s(1),
            starves: s(5),
            ..at_once(1, kind("reclaim", 3))
        };
        let demote = Kind {
            deadline: s(2),
            starves: s(10),
            ..kind("demote", 2)
        };
        let revalidate = Kind {
            operations: (wanted.revalidate > 0.0).then(|| Rate::a_second(wanted.revalidate)),
            ..at_once(REVALIDATING_MOST, kind("revalidate", 2))
        };
        let scrub = Kind {
            bytes: (wanted.scrub > 0).then(|| Rate::a_second(wanted.scrub as f64)),
            starves: Duration::MAX / 4,
            ..at_once(1, kind("scrub", 0))
        };
        let sweep = Kind {
            operations: Some(Rate::a_second(50.0)),
            ..at_once(1, kind("sweep", 0))
        };
        let ahead = Kind {
            deadline: s(1),
            starves: Duration::MAX / 4,
            ..at_once(4, kind("read-ahead", 3))
        };
        let kinds = vec![reclaim, demote, revalidate, scrub, sweep, ahead];
        Disk {
            phase: Phase::Opening,
            store: 0,
            start_ms,
            index: Index::new(wanted.index),
            segments: Segments::new(wanted.segment, most),
            admission: Admission::new(wanted.write_rate, wanted.write_day, wanted.least_fresh, now),
            writes: Judged::default(),
            counts: Counts::default(),
            tickets: 0,
            reads: HashMap::new(),
            writing: HashMap::new(),
            writing_bytes: 0,
            demoting: VecDeque::new(),
            demoting_bytes: 0,
            written: BTreeMap::new(),
            reclaim: None,
            reclaim_retry: Retry::new(FILE_RETRY),
            unremoved: VecDeque::new(),
            remove_retry: Retry::new(FILE_RETRY),
            removing_again: false,
            unread: VecDeque::new(),
            read_retry: Retry::new(FILE_RETRY),
            reading_again: false,
            to_recover: VecDeque::new(),
            recovering: 0,
            known_since: start_ms.saturating_sub(wanted.known_purges.as_millis() as u64),
            heard_before: None,
            uncovered: 0,
            undated: 0,
            earlier_starts_distrusted: false,
            unmarked: Vec::new(),
            marking: None,
            mark_retry: Retry::new(MARK_RETRY),
            mark_due: false,
            mute: false,
            heard: None,
            heard_said: now,
            asked: VecDeque::new(),
            seeking: None,
            sweep: 0,
            scrub: 0,
            turns: vec![(0, 0); TURNS_MOST],
            in_turn: None,
            work: Scheduler::new(kinds, wanted.yield_over),
            wanted,
        }
    }

    pub fn phase(&self) -> &Phase {
        &self.phase
    }

    pub fn counts(&self) -> Counts {
        let (admitted_bytes, _) = self.admission.written();
        Counts {
            admitted_bytes,
            ..self.counts
        }
    }

    pub fn index(&self) -> &Index {
        &self.index
    }

    pub fn segments(&self) -> &Segments {
        &self.segments
    }

    pub fn is_set_aside(&self) -> bool {
        self.writes.is_aside()
    }

    pub fn work(&self) -> impl Iterator<Item = (&'static str, usize, usize, Done)> {
        self.work.report()
    }

    /// Nothing is on its way to the disk or waits for it.
    pub fn is_quiet(&self) -> bool {
        self.writing.is_empty()
            && self.demoting.is_empty()
            && self.unmarked.is_empty()
            && self.marking.is_none()
            && self.reclaim.is_none()
            && self
                .written
                .values()
                .all(|(_, unsynced)| unsynced.bytes == 0 && unsynced.under_way.is_none())
    }

    /// What waits here of memory: copies and records on their way.
    pub fn bytes(&self) -> u64 {
        (self.demoting_bytes + self.writing_bytes) as u64 + self.index.bytes()
    }

    /// Seals what is open, so that the next start is quick. Done when `is_quiet`.
    pub fn close(&mut self, now: Duration, out: &mut dyn Outlet) {
        (self.demoting, self.demoting_bytes) = (VecDeque::new(), 0);
        (0..CLASSES).for_each(|class| self.seal(class, out));
        self.say_heard(now, out);
    }
}
