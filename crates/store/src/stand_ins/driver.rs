//! A store with hands but no threads: orders wait in a row and are carried out one at a time, when told to.
//! What the store says of its copies is written down, to be held against what is found.

use crate::boot_clock::BootClock;
use crate::catalogue::{Catalogue, CatalogueError, Line};
use crate::copy::Copy;
use crate::decide::disk::{Disk as Tier, DiskBackend, Fetched, Wanted};
use crate::decide::{Part, Place, Store};
use crate::files::Files;
use crate::hands::{self, Hands};
use crate::key::{self, Key};
use bytes::Bytes;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Until a directory that could not be opened is opened again.
const OPEN_AGAIN: Duration = Duration::from_secs(1);

enum Job {
    Read(u64, u32, u32, u32),
    List(u32),
    Recover(u32),
    Begin(u32, u32),
    Append(u64, u32, u32, Vec<u8>),
    Sync(u32, u32),
    Seal(u32, u32, Vec<u8>),
    Remove(u32),
    Mark(Vec<Line>),
}

/// What a store ordered and said.
#[derive(Default)]
pub struct Orders {
    row: VecDeque<Job>,
    /// Nothing is taken while it stands: as by mailboxes that are full.
    pub full: bool,
    pub fetched: HashMap<u64, Fetched>,
    pub revalidate: Vec<Copy>,
    /// By part: when the copy was made that outlives a crash from here on.
    pub durable: HashMap<Key, u64>,
    pub let_go: u64,
}

impl Orders {
    fn take(&mut self, job: Job) -> bool {
        if !self.full {
            self.row.push_back(job);
        }
        !self.full
    }
}

impl DiskBackend for Orders {
    fn read(&mut self, ticket: u64, segment: u32, at: u32, length: u32) -> bool {
        self.take(Job::Read(ticket, segment, at, length))
    }
    fn list(&mut self, segment: u32) -> bool {
        self.take(Job::List(segment))
    }
    fn recover(&mut self, segment: u32) -> bool {
        self.take(Job::Recover(segment))
    }
    fn create_segment(&mut self, segment: u32, class: u32) -> bool {
        self.take(Job::Begin(segment, class))
    }
    fn append(&mut self, ticket: u64, segment: u32, at: u32, record: Vec<u8>) -> bool {
        self.take(Job::Append(ticket, segment, at, record))
    }
    fn sync(&mut self, segment: u32, up_to: u32) -> bool {
        self.take(Job::Sync(segment, up_to))
    }
    fn seal(&mut self, segment: u32, at: u32, footer: Vec<u8>) -> bool {
        self.take(Job::Seal(segment, at, footer))
    }
    fn remove(&mut self, segment: u32) -> bool {
        self.take(Job::Remove(segment))
    }
    fn write_catalogue(&mut self, lines: Vec<Line>) -> bool {
        self.take(Job::Mark(lines))
    }
    fn read_completed(&mut self, ticket: u64, fetched: Fetched) {
        self.fetched.insert(ticket, fetched);
    }
    fn revalidate(&mut self, copy: &Copy) {
        self.revalidate.push(Copy {
            body: Bytes::new(),
            ..copy.clone()
        });
    }
    fn copy_durable(&mut self, key: Key, made: u64) {
        self.durable.insert(key, made);
    }
    fn copy_dropped(&mut self, key: Key) {
        self.durable.remove(&key);
        self.let_go += 1;
    }
}

/// A store on files, and a clock that goes on when told.
pub struct Driver {
    pub store: Store,
    pub orders: Orders,
    pub now: Duration,
    start_ms: u64,
    hands: Option<(Hands, Catalogue)>,
    /// What is opened again, and when, as long as the system fails that.
    opening: Option<(Arc<dyn Files>, Option<BootClock>, Duration)>,
}

impl Driver {
    /// Starts at this Unix millisecond. The directory is opened at once; what it holds is read as orders are
    /// carried out.
    pub fn start(files: Arc<dyn Files>, memory: u64, wanted: Wanted, start_ms: u64) -> Driver {
        Driver::start_with_clock(files, memory, wanted, start_ms, None)
    }

    /// As `start`, where it is known how the wall clock stands to the machine's own.
    pub fn start_with_clock(
        files: Arc<dyn Files>,
        memory: u64,
        wanted: Wanted,
        start_ms: u64,
        clock: Option<BootClock>,
    ) -> Driver {
        let now = Duration::from_secs(1000);
        let store = Store::new(memory, Some(Tier::new(wanted, now, start_ms)));
        let orders = Orders::default();
        let mut driver = Driver {
            store,
            orders,
            now,
            start_ms,
            hands: None,
            opening: None,
        };
        driver.open(files, clock);
        driver
    }

    /// Opens the directory. What the system fails is tried again later, as the threads do.
    fn open(&mut self, files: Arc<dyn Files>, clock: Option<BootClock>) {
        match hands::open(&files, 0xc0ffee, clock) {
            Ok((catalogue, known, segments)) => {
                self.hands = Some((Hands::new(files, known.store), catalogue));
                self.store.complete_open(&known, segments, &mut self.orders);
            }
            Err(CatalogueError::Io(_)) => {
                self.opening = Some((files, clock, self.now + OPEN_AGAIN))
            }
            Err(why) => self
                .store
                .disk_mut()
                .into_iter()
                .for_each(|disk| disk.refused(why.to_string())),
        }
    }

    pub fn unix_ms(&self) -> u64 {
        self.start_ms + (self.now - Duration::from_secs(1000)).as_millis() as u64
    }

    /// Carries out the next order. False: there is none.
    pub fn step(&mut self) -> bool {
        let (Some(job), Some((hands, catalogue))) = (self.orders.row.pop_front(), &mut self.hands)
        else {
            return false;
        };
        let (now, store, backend) = (self.now, &mut self.store, &mut self.orders);
        match job {
            Job::Read(ticket, segment, at, length) => {
                store.complete_read(now, ticket, hands.read(segment, at, length), backend)
            }
            Job::List(segment) => store.complete_list(now, segment, hands.list(segment), backend),
            Job::Recover(segment) => {
                store.complete_recovery(now, segment, hands.recover(segment), backend)
            }
            Job::Begin(segment, class) => drop(hands.create_segment(segment, class)),
            Job::Append(ticket, segment, at, record) => {
                store.complete_append(now, ticket, hands.append(segment, at, &record), backend);
            }
            Job::Sync(segment, up_to) => {
                store.complete_sync(now, segment, up_to, hands.sync(segment), backend)
            }
            Job::Seal(segment, at, footer) => {
                store.complete_seal(now, segment, at, hands.seal(segment, at, &footer), backend)
            }
            Job::Remove(segment) => {
                store.complete_removal(now, segment, hands.remove(segment), backend)
            }
            Job::Mark(lines) => {
                store.complete_catalogue_write(hands::mark(catalogue, &lines), backend)
            }
        }
        true
    }

    /// Carries out all that is ordered, and what follows from it.
    pub fn settle(&mut self) {
        while self.step() {}
    }

    /// Lets time pass, in steps, with all that falls due in it.
    pub fn pass(&mut self, span: Duration) {
        let step = Duration::from_millis(50);
        let end = self.now + span;
        while self.now < end {
            self.now = (self.now + step).min(end);
            if let Some((files, clock, _)) = self.opening.take_if(|(_, _, due)| self.now >= *due) {
                self.open(files, clock);
            }
            self.store.tick(self.now, &mut self.orders);
            self.settle();
        }
    }

    pub fn keep(&mut self, copy: Copy, rank: u8) {
        self.store.keep(self.now, copy, rank, &mut self.orders);
    }

    pub fn purge(&mut self, object: Option<&[u8]>, group: u64) -> u64 {
        let ms = self.unix_ms();
        self.store.purge(object, group, ms, &mut self.orders);
        ms
    }

    /// What a request for a part is answered with, and from where.
    pub fn get(&mut self, part: Part) -> Option<(Place, Copy)> {
        let found = self.store.find(part, None)?;
        match found.place {
            Place::Memory => {
                let copy = self.store.take(self.now, part).expect("it was found");
                Some((Place::Memory, (*copy).clone()))
            }
            Place::Disk => {
                let ticket = self.store.fetch(self.now, part, &mut self.orders)?;
                self.settle();
                match self.orders.fetched.remove(&ticket) {
                    Some(Fetched::Copy(copy)) => Some((Place::Disk, (*copy).clone())),
                    _ => None,
                }
            }
        }
    }

    /// The end of a program that may take its time.
    pub fn close(&mut self) {
        if let Some(disk) = self.store.disk_mut() {
            disk.close(self.now, &mut self.orders);
        }
        self.settle();
    }
}

/// An object by number, and its parts with bodies that can be told from one another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Piece {
    pub object: u64,
    pub part: u64,
}

impl Piece {
    pub fn name(self) -> Bytes {
        Bytes::from(format!("{:016x}", self.object))
    }

    pub fn group(self) -> u64 {
        self.object % 7
    }

    pub fn key(self) -> Key {
        key::part(key::object(&self.name()), self.part)
    }

    /// Its copy as made at this Unix millisecond, a version of its own.
    pub fn copy(self, made: u64, bytes: usize) -> Copy {
        self.version(made, made, bytes)
    }

    /// Its copy in a version of its object: nothing of the body can pass for another's.
    pub fn version(self, version: u64, made: u64, bytes: usize) -> Copy {
        let mut chance = fastrand::Rng::with_seed(self.key() ^ version.rotate_left(40));
        let mut body = vec![0; bytes];
        chance.fill(&mut body);
        Copy {
            object: self.name(),
            part: self.part,
            group: self.group(),
            class: Bytes::from_static(b"clip"),
            made,
            kb: bytes as f64 / 1000.0,
            in_parts: true,
            tag: Bytes::from(format!("{version:016x}")),
            body: body.into(),
            ..Copy::default()
        }
    }
}

/// Bytes of a part, such that a part always has as many.
pub fn size_of(piece: Piece, most: usize) -> usize {
    let draw = piece.key() as f64 / u64::MAX as f64;
    64 + (most as f64 * draw) as usize
}
