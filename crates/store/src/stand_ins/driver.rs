//! Drives a store without threads: disk operations are queued and run one at a time, under the test's control.
//! The store's notifications are recorded, to be compared with what is found later.

use crate::boot_clock::BootClock;
use crate::catalogue::{Catalogue, CatalogueError, CatalogueLine};
use crate::copy::Copy;
use crate::decide::disk::{Disk as Tier, DiskBackend, DiskSettings, ReadResult};
use crate::decide::{CacheTier, Part, Store};
use crate::files::Files;
use crate::key::{self, Key};
use crate::segment_files::{self, SegmentFiles};
use bytes::Bytes;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// The delay before a directory that could not be opened is opened again.
const OPEN_RETRY: Duration = Duration::from_secs(1);

enum Operation {
    Read(u64, u32, u32, u32),
    List(u32),
    Recover(u32),
    CreateSegment(u32, u32),
    Append(u64, u32, u32, Vec<u8>),
    Sync(u32, u32),
    Seal(u32, u32, Vec<u8>),
    Remove(u32),
    WriteCatalogue(Vec<CatalogueLine>),
}

/// Queues a store's disk operations and records its notifications.
#[derive(Default)]
pub struct RecordingBackend {
    queue: VecDeque<Operation>,
    /// Rejects all operations, as full queues do.
    pub rejects_all: bool,
    pub completed_reads: HashMap<u64, ReadResult>,
    pub revalidations: Vec<Copy>,
    /// By part: when the copy was made that is reported as durable.
    pub durable: HashMap<Key, u64>,
    pub dropped: u64,
}

impl RecordingBackend {
    fn enqueue(&mut self, operation: Operation) -> bool {
        if !self.rejects_all {
            self.queue.push_back(operation);
        }
        !self.rejects_all
    }
}

impl DiskBackend for RecordingBackend {
    fn read(&mut self, ticket: u64, segment: u32, offset: u32, length: u32) -> bool {
        self.enqueue(Operation::Read(ticket, segment, offset, length))
    }
    fn list(&mut self, segment: u32) -> bool {
        self.enqueue(Operation::List(segment))
    }
    fn recover(&mut self, segment: u32) -> bool {
        self.enqueue(Operation::Recover(segment))
    }
    fn create_segment(&mut self, segment: u32, class: u32) -> bool {
        self.enqueue(Operation::CreateSegment(segment, class))
    }
    fn append(&mut self, ticket: u64, segment: u32, offset: u32, record: Vec<u8>) -> bool {
        self.enqueue(Operation::Append(ticket, segment, offset, record))
    }
    fn sync(&mut self, segment: u32, up_to: u32) -> bool {
        self.enqueue(Operation::Sync(segment, up_to))
    }
    fn seal(&mut self, segment: u32, offset: u32, footer: Vec<u8>) -> bool {
        self.enqueue(Operation::Seal(segment, offset, footer))
    }
    fn remove(&mut self, segment: u32) -> bool {
        self.enqueue(Operation::Remove(segment))
    }
    fn write_catalogue(&mut self, lines: Vec<CatalogueLine>) -> bool {
        self.enqueue(Operation::WriteCatalogue(lines))
    }
    fn read_completed(&mut self, ticket: u64, fetched: ReadResult) {
        self.completed_reads.insert(ticket, fetched);
    }
    fn revalidate(&mut self, copy: &Copy) {
        self.revalidations.push(Copy {
            body: Bytes::new(),
            ..copy.clone()
        });
    }
    fn copy_durable(&mut self, key: Key, created_at_ms: u64) {
        self.durable.insert(key, created_at_ms);
    }
    fn copy_dropped(&mut self, key: Key) {
        self.durable.remove(&key);
        self.dropped += 1;
    }
}

/// A store on files, with a simulated clock.
pub struct Driver {
    pub store: Store,
    pub backend: RecordingBackend,
    pub now: Duration,
    start_ms: u64,
    segment_files: Option<(SegmentFiles, Catalogue)>,
    /// The directory and clock to open again after a failed opening, and when.
    opening: Option<(Arc<dyn Files>, Option<BootClock>, Duration)>,
}

impl Driver {
    /// Starts a store at this Unix millisecond. The directory is opened at once; its segments are recovered as
    /// operations are run.
    pub fn start(
        files: Arc<dyn Files>,
        memory: u64,
        settings: DiskSettings,
        start_ms: u64,
    ) -> Driver {
        Driver::start_with_clock(files, memory, settings, start_ms, None)
    }

    /// Like `start`, with a boot clock.
    pub fn start_with_clock(
        files: Arc<dyn Files>,
        memory: u64,
        settings: DiskSettings,
        start_ms: u64,
        clock: Option<BootClock>,
    ) -> Driver {
        let now = Duration::from_secs(1000);
        let store = Store::new(memory, Some(Tier::new(settings, now, start_ms)));
        let backend = RecordingBackend::default();
        let mut driver = Driver {
            store,
            backend,
            now,
            start_ms,
            segment_files: None,
            opening: None,
        };
        driver.open(files, clock);
        driver
    }

    /// Opens the directory. After a transient error, opening is tried again later, as the threads do.
    fn open(&mut self, files: Arc<dyn Files>, clock: Option<BootClock>) {
        match segment_files::open_store(&files, 0xc0ffee, clock) {
            Ok((catalogue, known, segments)) => {
                self.segment_files = Some((SegmentFiles::new(files, known.store_id), catalogue));
                self.store
                    .complete_open(&known, segments, &mut self.backend);
            }
            Err(CatalogueError::Io(_)) => {
                self.opening = Some((files, clock, self.now + OPEN_RETRY))
            }
            Err(reason) => self
                .store
                .disk_mut()
                .into_iter()
                .for_each(|disk| disk.disable(reason.to_string())),
        }
    }

    pub fn unix_ms(&self) -> u64 {
        self.start_ms + (self.now - Duration::from_secs(1000)).as_millis() as u64
    }

    /// Runs the next operation. False: there is none.
    pub fn step(&mut self) -> bool {
        let (Some(operation), Some((segment_files, catalogue))) =
            (self.backend.queue.pop_front(), &mut self.segment_files)
        else {
            return false;
        };
        let (now, store, backend) = (self.now, &mut self.store, &mut self.backend);
        match operation {
            Operation::Read(ticket, segment, offset, length) => store.complete_read(
                now,
                ticket,
                segment_files.read(segment, offset, length),
                backend,
            ),
            Operation::List(segment) => {
                store.complete_list(now, segment, segment_files.list(segment), backend)
            }
            Operation::Recover(segment) => {
                store.complete_recovery(now, segment, segment_files.recover(segment), backend)
            }
            Operation::CreateSegment(segment, class) => {
                drop(segment_files.create_segment(segment, class))
            }
            Operation::Append(ticket, segment, offset, record) => {
                store.complete_append(
                    now,
                    ticket,
                    segment_files.append(segment, offset, &record),
                    backend,
                );
            }
            Operation::Sync(segment, up_to) => {
                store.complete_sync(now, segment, up_to, segment_files.sync(segment), backend)
            }
            Operation::Seal(segment, offset, footer) => store.complete_seal(
                now,
                segment,
                offset,
                segment_files.seal(segment, offset, &footer),
                backend,
            ),
            Operation::Remove(segment) => {
                store.complete_removal(now, segment, segment_files.remove(segment), backend)
            }
            Operation::WriteCatalogue(lines) => store
                .complete_catalogue_write(segment_files::write_lines(catalogue, &lines), backend),
        }
        true
    }

    /// Runs operations until the queue is empty.
    pub fn settle(&mut self) {
        while self.step() {}
    }

    /// Advances the clock in steps of 50 ms, running all work that becomes due.
    pub fn advance(&mut self, duration: Duration) {
        let step = Duration::from_millis(50);
        let end = self.now + duration;
        while self.now < end {
            self.now = (self.now + step).min(end);
            if let Some((files, clock, _)) = self.opening.take_if(|(_, _, due)| self.now >= *due) {
                self.open(files, clock);
            }
            self.store.tick(self.now, &mut self.backend);
            self.settle();
        }
    }

    pub fn keep(&mut self, copy: Copy, rank: u8) {
        self.store.insert(self.now, copy, rank, &mut self.backend);
    }

    pub fn purge(&mut self, object: Option<&[u8]>, group: u64) -> u64 {
        let ms = self.unix_ms();
        self.store.purge(object, group, ms, &mut self.backend);
        ms
    }

    /// Answers a request for a part, and returns the tier and the copy.
    pub fn get(&mut self, part: Part) -> Option<(CacheTier, Copy)> {
        let found = self.store.find(part, None)?;
        match found.tier {
            CacheTier::Memory => {
                let copy = self.store.get(self.now, part).expect("found above");
                Some((CacheTier::Memory, (*copy).clone()))
            }
            CacheTier::Disk => {
                let ticket = self.store.start_read(self.now, part, &mut self.backend)?;
                self.settle();
                match self.backend.completed_reads.remove(&ticket) {
                    Some(ReadResult::Copy(copy)) => Some((CacheTier::Disk, (*copy).clone())),
                    _ => None,
                }
            }
        }
    }

    /// Shuts the store down gracefully.
    pub fn close(&mut self) {
        if let Some(disk) = self.store.disk_mut() {
            disk.close(self.now, &mut self.backend);
        }
        self.settle();
    }
}

/// A part of a numbered test object. Its bodies are unique for each part and version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TestPart {
    pub object: u64,
    pub part: u64,
}

impl TestPart {
    pub fn name(self) -> Bytes {
        Bytes::from(format!("{:016x}", self.object))
    }

    pub fn group(self) -> u64 {
        self.object % 7
    }

    pub fn key(self) -> Key {
        key::part(key::object(&self.name()), self.part)
    }

    /// A copy made at this Unix millisecond, which is also its version.
    pub fn copy(self, created_at_ms: u64, bytes: usize) -> Copy {
        self.copy_of_version(created_at_ms, created_at_ms, bytes)
    }

    /// A copy of this version of the object. The body is pseudo-random, so that no part of it equals another's.
    pub fn copy_of_version(self, version: u64, created_at_ms: u64, bytes: usize) -> Copy {
        let mut random = fastrand::Rng::with_seed(self.key() ^ version.rotate_left(40));
        let mut body = vec![0; bytes];
        random.fill(&mut body);
        Copy {
            object: self.name(),
            part: self.part,
            group: self.group(),
            class: Bytes::from_static(b"clip"),
            created_at_ms,
            kb: bytes as f64 / 1000.0,
            is_multipart: true,
            etag: Bytes::from(format!("{version:016x}")),
            body: body.into(),
            ..Copy::default()
        }
    }
}

/// The body length of a part, from 64 to 64 + `range` bytes; always the same for the same part.
pub fn body_len(test_part: TestPart, range: usize) -> usize {
    let fraction = test_part.key() as f64 / u64::MAX as f64;
    64 + (range as f64 * fraction) as usize
}
