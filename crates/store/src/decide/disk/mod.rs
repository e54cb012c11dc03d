//! The disk tier: what is written and where, what is reclaimed, and which copies of earlier runs may be served.
//!
//! Operations are sent through `DiskBackend` and run elsewhere, in order for each segment; a completion call
//! delivers each result. Nothing here blocks. A copy on disk is served only if all of the following hold: its
//! record verifies at the position that the index names, it is of the requested part, it was made after the
//! last purge that applies to it, and, if it is from before this start, no purge can have been missed since
//! it was written.

mod catalogue_updates;
mod reclaim;
mod retry;
mod serve;
mod start;
mod work;
mod write;

use super::admission::{Admission, Refusal};
use super::index::{Index, IndexEntry, IndexFull};
use super::purges::{PurgeRecord, Purges, group_slot};
use super::segments::{SIZE_CLASSES, Segments, State, size_class};
use crate::catalogue::{CatalogueLine, CatalogueSnapshot};
use crate::copy::Copy;
use crate::format::{
    self, FOOTER_TRAILER_LEN, FooterEntry, SEGMENT_HEADER_LEN, fits_in_record, record_len, tag_hash,
};
use crate::key::{self, Key};
use crate::recovery::{Recovered, RecoveryError};
use chalkhall::control::ServerHealth;
use chalkhall_scheduler::{Cost, Counters, Kind, Rate, Scheduler};
use retry::Retry;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

/// Segments kept free, so that writes need not wait for a reclaim.
const RESERVED_SEGMENTS: usize = 2;
/// The least number of segments that can hold an open one of each size class and others to reclaim.
pub const MIN_SEGMENTS: usize = 8;
/// The least ratio of a segment's size to the length of a record in it.
const MIN_SEGMENT_TO_RECORD_RATIO: u32 = 4;
/// Bytes of records being written, and of copies queued for admission to the disk.
const MAX_PENDING_WRITE_BYTES: usize = 8 << 20;
const MAX_DEMOTION_QUEUE_BYTES: usize = 4 << 20;
/// Segments of earlier runs recovered at once, and records of a reclaimed segment read at once.
const MAX_CONCURRENT_RECOVERIES: usize = 4;
const MAX_CONCURRENT_CARRIES: usize = 4;
/// Catalogue lines that wait to be written. If more purges arrive, no further confirmation of discovery is
/// written in this run.
const MAX_QUEUED_LINES: usize = 65_536;
/// Requested parts with unproven copies, which are revalidated first.
const MAX_REQUESTED_UNPROVEN: usize = 256;
const MAX_CONCURRENT_REVALIDATIONS: usize = 32;
/// Buckets of the index examined in one step of a sweep or of a scan for unproven copies.
const SWEEP_BUCKETS: usize = 256;
/// Slots for the last requested part of each object, by which sequential reads are detected.
const SEQUENCE_SLOTS: usize = 4096;
/// The delay before an operation that met a full queue is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(5);
/// The interval between confirmations of discovery in the catalogue.
const CONFIRMATION_INTERVAL: Duration = Duration::from_secs(10);
/// Shortest and longest backoff before a failed catalogue write is tried again, and before a segment that could
/// not be removed, listed or read is tried again. The backoff doubles with each failure.
const CATALOGUE_RETRY: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(5));
const FILE_RETRY: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(30));
/// After this many failures to list a segment, it is reclaimed without carrying over any record.
const MAX_LIST_FAILURES: u32 = 3;

/// Kinds of background work, as indices of the scheduler's kinds.
const RECLAIM: usize = 0;
const DEMOTE: usize = 1;
const REVALIDATE: usize = 2;
const SCRUB: usize = 3;
const SWEEP: usize = 4;
const READ_AHEAD: usize = 5;

/// The settings of the disk tier.
#[derive(Clone, Debug)]
pub struct DiskSettings {
    /// The maximum bytes of all segments together, and of one segment.
    pub bytes: u64,
    pub segment: u32,
    /// The maximum memory of the index, in bytes.
    pub index: u64,
    pub write_bytes_per_second: Option<u64>,
    pub write_bytes_per_day: Option<u64>,
    pub min_freshness: Duration,
    pub carry: f64,
    pub sync_after: Duration,
    pub sync_bytes: u64,
    /// The first list from discovery contains every purge made within this time before the start.
    pub known_purges: Duration,
    /// Unproven copies revalidated per second; 0: unproven copies are dropped.
    pub revalidate: f64,
    pub read_ahead: usize,
    pub scrub: u64,
    pub max_loop_delay: Duration,
    /// Baseline for measurements: copies are admitted regardless of rank, and none are carried over.
    pub admit_all: bool,
}

impl Default for DiskSettings {
    fn default() -> DiskSettings {
        DiskSettings {
            bytes: 1 << 30,
            segment: 32 << 20,
            index: 64 << 20,
            write_bytes_per_second: None,
            write_bytes_per_day: None,
            min_freshness: Duration::from_secs(60),
            carry: 0.2,
            sync_after: Duration::from_secs(1),
            sync_bytes: 8 << 20,
            known_purges: Duration::ZERO,
            revalidate: 0.0,
            read_ahead: 1,
            scrub: 1 << 20,
            max_loop_delay: Duration::from_millis(5),
            admit_all: false,
        }
    }
}

/// Why a disk operation failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A system call failed.
    Io(String),
    /// The disk is full.
    Full,
    /// The data read is damaged, missing or misplaced.
    Damaged,
}

/// The result of a read for a request.
#[derive(Clone, Debug, PartialEq)]
pub enum ReadResult {
    Copy(Rc<Copy>),
    /// The copy is damaged or may no longer be served; the request treats it as a miss.
    Gone,
    /// The disk failed.
    Failed,
}

/// Runs the tier's disk operations and receives its notifications. An operation that returns false was rejected
/// and will not complete.
pub trait DiskBackend {
    /// Reads the record at this position. Completes with `Store::complete_read`.
    fn read(&mut self, ticket: u64, segment: u32, offset: u32, length: u32) -> bool;
    /// Lists the records of a segment. Completes with `Store::complete_list`.
    fn list(&mut self, segment: u32) -> bool;
    /// Recovers a segment of an earlier run, sealing it if necessary. Completes with
    /// `Store::complete_recovery`.
    fn recover(&mut self, segment: u32) -> bool;
    /// Creates the file of a segment of this size class. A failure also fails the later writes to the segment.
    fn create_segment(&mut self, segment: u32, class: u32) -> bool;
    /// Writes a record. Completes with `Store::complete_append`.
    fn append(&mut self, ticket: u64, segment: u32, offset: u32, record: Vec<u8>) -> bool;
    /// Syncs a segment. Completes with `Store::complete_sync`.
    fn sync(&mut self, segment: u32, up_to: u32) -> bool;
    /// Writes the footer and syncs. Completes with `Store::complete_seal`.
    fn seal(&mut self, segment: u32, offset: u32, footer: Vec<u8>) -> bool;
    /// Removes a segment's file. Completes with `Store::complete_removal`.
    fn remove(&mut self, segment: u32) -> bool;
    /// Writes lines to the catalogue, in their order. Completes with `Store::complete_catalogue_write`.
    fn write_catalogue(&mut self, lines: Vec<CatalogueLine>) -> bool;
    /// Delivers the result of a read started with `Store::start_read`.
    fn read_completed(&mut self, _ticket: u64, _fetched: ReadResult) {}
    /// Requests a revalidation of this copy with its source. Completes with `Store::confirm_version` or `Store::insert`, or
    /// not at all.
    fn revalidate(&mut self, _copy: &Copy) {}
    /// Notifies that this copy is durable.
    fn copy_durable(&mut self, _key: Key, _created_at_ms: u64) {}
    /// Notifies that this copy was dropped.
    fn copy_dropped(&mut self, _key: Key) {}
}

/// Counters of the disk tier, for operators. `unknown` counts parts for which the index had no room, `foreign`
/// segments of other format versions.
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
    /// The directory is not open yet.
    Opening,
    /// Segments of earlier runs are being recovered; reads and writes already work.
    Recovering,
    Ready,
    /// The directory cannot be used, for this reason.
    Refused(String),
}

/// Why a record is being read.
enum ReadPurpose {
    Request {
        key: Key,
        index_entry: IndexEntry,
        object: Vec<u8>,
        part: u64,
        group: usize,
    },
    ReadAhead {
        key: Key,
        index_entry: IndexEntry,
    },
    Carry {
        entry: FooterEntry,
    },
    Scrub {
        key: Key,
        index_entry: IndexEntry,
    },
    Revalidate {
        key: Key,
        index_entry: IndexEntry,
    },
    /// The request that waited for it was cancelled.
    Cancelled,
}

/// A record being written.
struct PendingAppend {
    key: Key,
    object: Key,
    index_entry: IndexEntry,
    carried: bool,
}

/// The state of the current reclaim.
struct Reclaim {
    segment: u32,
    /// The segment's state before, which is restored if it cannot be listed.
    previous_state: State,
    to_carry: VecDeque<FooterEntry>,
    /// Pending operations: the listing, and reads and writes of carried records.
    in_flight: usize,
    /// Segments to be synced before this one is removed; known once nothing more is carried over.
    sync_first: Option<HashSet<u32>>,
    removing: bool,
}

/// The bytes of a segment that were not synced yet.
#[derive(Default)]
struct Unsynced {
    bytes: u64,
    since: Option<Duration>,
    /// The offset up to which a sync is in flight.
    in_flight_up_to: Option<u32>,
}

/// The disk tier.
pub struct Disk {
    settings: DiskSettings,
    phase: Phase,
    store_id: u64,
    start_ms: u64,
    index: Index,
    segments: Segments,
    admission: Admission,
    /// Outlier detection for writes and syncs. Reads for requests are judged by the request decisions instead.
    write_health: ServerHealth,
    counts: Counts,
    last_ticket: u64,
    pending_reads: HashMap<u64, ReadPurpose>,
    pending_appends: HashMap<u64, PendingAppend>,
    pending_append_bytes: usize,
    demotion_queue: VecDeque<(Rc<Copy>, u8)>,
    demotion_queue_bytes: usize,
    /// Records and unsynced bytes of each segment that is not sealed.
    unsealed: BTreeMap<u32, (Vec<FooterEntry>, Unsynced)>,
    reclaim: Option<Reclaim>,
    reclaim_retry: Retry,
    /// Segments whose files could not be removed, and segments that could not be recovered. Both are retried one
    /// at a time.
    failed_removals: VecDeque<u32>,
    remove_retry: Retry,
    retrying_removal: bool,
    failed_recoveries: VecDeque<u32>,
    recovery_retry: Retry,
    retrying_recovery: bool,
    recovery_queue: VecDeque<u32>,
    active_recoveries: usize,
    /// Discovery's first list contains all purges made after this Unix millisecond.
    purges_known_since: u64,
    /// The last confirmation of discovery that earlier runs wrote to the catalogue.
    confirmed_before_start: Option<u64>,
    /// Segments up to these numbers hold copies whose purges may have been missed, and copies whose times are
    /// unreliable because the wall clock was stepped.
    purges_missed_up_to: u32,
    times_unreliable_up_to: u32,
    /// The caller has detected that the wall clock was set back since an earlier start.
    earlier_starts_distrusted: bool,
    queued_lines: Vec<CatalogueLine>,
    lines_in_flight: Option<Vec<CatalogueLine>>,
    catalogue_retry: Retry,
    catalogue_retry_due: bool,
    /// A purge could not be queued for the catalogue, so no more confirmations are written in this run.
    confirmations_stopped: bool,
    confirmed_up_to: Option<u64>,
    last_confirmation: Duration,
    requested_unproven: VecDeque<Key>,
    unproven_scan: Option<(u8, usize)>,
    sweep_position: usize,
    scrub_position: usize,
    /// The last requested part of each object, by slot, and the part at which the last sequential read stands.
    last_parts: Vec<(Key, u64)>,
    sequential_read: Option<(Key, u64)>,
    scheduler: Scheduler,
}

impl Disk {
    /// `start_ms` is the Unix time of this start.
    pub fn new(settings: DiskSettings, now: Duration, start_ms: u64) -> Disk {
        let max_segments = (settings.bytes / u64::from(settings.segment).max(1)) as usize;
        let s = Duration::from_secs;
        let kind = |name, priority| Kind {
            name,
            priority,
            ..Kind::default()
        };
        let at_once = |n, kind: Kind| Kind {
            max_in_flight: n,
            ..kind
        };
        // Waiting demotions hold memory and waiting reclaims block writes, so both have short deadlines.
        let reclaim = Kind {
            deadline: s(1),
            starvation_limit: s(5),
            ..at_once(1, kind("reclaim", 3))
        };
        let demote = Kind {
            deadline: s(2),
            starvation_limit: s(10),
            ..kind("demote", 2)
        };
        let revalidate = Kind {
            operations: (settings.revalidate > 0.0).then(|| Rate::per_second(settings.revalidate)),
            ..at_once(MAX_CONCURRENT_REVALIDATIONS, kind("revalidate", 2))
        };
        let scrub = Kind {
            bytes: (settings.scrub > 0).then(|| Rate::per_second(settings.scrub as f64)),
            starvation_limit: Duration::MAX / 4,
            ..at_once(1, kind("scrub", 0))
        };
        let sweep = Kind {
            operations: Some(Rate::per_second(50.0)),
            ..at_once(1, kind("sweep", 0))
        };
        let ahead = Kind {
            deadline: s(1),
            starvation_limit: Duration::MAX / 4,
            ..at_once(4, kind("read-ahead", 3))
        };
        let kinds = vec![reclaim, demote, revalidate, scrub, sweep, ahead];
        Disk {
            phase: Phase::Opening,
            store_id: 0,
            start_ms,
            index: Index::new(settings.index),
            segments: Segments::new(settings.segment, max_segments),
            admission: Admission::new(
                settings.write_bytes_per_second,
                settings.write_bytes_per_day,
                settings.min_freshness,
                now,
            ),
            write_health: ServerHealth::default(),
            counts: Counts::default(),
            last_ticket: 0,
            pending_reads: HashMap::new(),
            pending_appends: HashMap::new(),
            pending_append_bytes: 0,
            demotion_queue: VecDeque::new(),
            demotion_queue_bytes: 0,
            unsealed: BTreeMap::new(),
            reclaim: None,
            reclaim_retry: Retry::new(FILE_RETRY),
            failed_removals: VecDeque::new(),
            remove_retry: Retry::new(FILE_RETRY),
            retrying_removal: false,
            failed_recoveries: VecDeque::new(),
            recovery_retry: Retry::new(FILE_RETRY),
            retrying_recovery: false,
            recovery_queue: VecDeque::new(),
            active_recoveries: 0,
            purges_known_since: start_ms.saturating_sub(settings.known_purges.as_millis() as u64),
            confirmed_before_start: None,
            purges_missed_up_to: 0,
            times_unreliable_up_to: 0,
            earlier_starts_distrusted: false,
            queued_lines: Vec::new(),
            lines_in_flight: None,
            catalogue_retry: Retry::new(CATALOGUE_RETRY),
            catalogue_retry_due: false,
            confirmations_stopped: false,
            confirmed_up_to: None,
            last_confirmation: now,
            requested_unproven: VecDeque::new(),
            unproven_scan: None,
            sweep_position: 0,
            scrub_position: 0,
            last_parts: vec![(0, 0); SEQUENCE_SLOTS],
            sequential_read: None,
            scheduler: Scheduler::new(kinds, settings.max_loop_delay),
            settings,
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

    pub fn is_ejected(&self) -> bool {
        self.write_health.is_ejected()
    }

    pub fn work_report(&self) -> impl Iterator<Item = (&'static str, usize, usize, Counters)> {
        self.scheduler.report()
    }

    /// Whether no writes to the disk are queued or in flight.
    pub fn is_quiet(&self) -> bool {
        self.pending_appends.is_empty()
            && self.demotion_queue.is_empty()
            && self.queued_lines.is_empty()
            && self.lines_in_flight.is_none()
            && self.reclaim.is_none()
            && self
                .unsealed
                .values()
                .all(|(_, unsynced)| unsynced.bytes == 0 && unsynced.in_flight_up_to.is_none())
    }

    /// The memory of the index, of queued copies and of records being written.
    pub fn bytes(&self) -> u64 {
        (self.demotion_queue_bytes + self.pending_append_bytes) as u64 + self.index.bytes()
    }

    /// Seals the open segments, so that the next start need not scan them. Completed once `is_quiet`.
    pub fn close(&mut self, now: Duration, backend: &mut dyn DiskBackend) {
        (self.demotion_queue, self.demotion_queue_bytes) = (VecDeque::new(), 0);
        (0..SIZE_CLASSES).for_each(|class| self.seal(class, backend));
        self.write_confirmation(now, backend);
    }
}
