//! The threads that touch the disk, each behind a bounded mailbox. Whoever orders never waits for them: a
//! mailbox that is full takes nothing, and a disk that hangs holds up its own threads alone.

use crate::boot_clock::BootClock;
use crate::catalogue::{Catalogue, Known, Line, Unusable};
use crate::copy::Copy;
use crate::decide::Store;
use crate::decide::disk::{Fault, Fetched, Outlet, Phase};
use crate::files::Files;
use crate::format::Entry;
use crate::hands::{self, Hands};
use crate::key::Key;
use crate::recovery::{Recovered, RecoveryError};
use bytes::Bytes;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::thread;
use std::time::Duration;
use tokio::sync::mpsc::{Sender, channel};

/// Orders that wait for one thread.
const READS_MOST: usize = 16;
const WRITES_MOST: usize = 256;
const MARKS_MOST: usize = 4;
const RECOVERS_MOST: usize = 8;
/// What ended and has not been heard of: as many as can be out.
const ENDS_MOST: usize = 2048;
/// A directory that cannot be opened is tried again after this span, which doubles up to the longest.
const OPEN_RETRY_FIRST: Duration = Duration::from_secs(1);
const OPEN_RETRY_LONGEST: Duration = Duration::from_secs(30);

/// How an order ended.
pub enum End {
    Opened {
        known: Known,
        segments: Vec<u32>,
    },
    /// The system failed the opening; it is tried again.
    NotOpenedYet(String),
    Refused(String),
    Read {
        ticket: u64,
        result: Result<(Copy, u8), Fault>,
    },
    Listed {
        segment: u32,
        result: Result<Vec<Entry>, Fault>,
    },
    Recovered {
        segment: u32,
        result: Result<Recovered, RecoveryError>,
    },
    Appended {
        ticket: u64,
        result: Result<(), Fault>,
    },
    Synced {
        segment: u32,
        up_to: u32,
        result: Result<(), Fault>,
    },
    Sealed {
        segment: u32,
        at: u32,
        result: Result<(), Fault>,
    },
    Removed {
        segment: u32,
        result: Result<(), Fault>,
    },
    Marked(Result<(), Fault>),
}

enum Job {
    Read {
        ticket: u64,
        segment: u32,
        at: u32,
        length: u32,
    },
    List(u32),
    Recover(u32),
    Begin {
        segment: u32,
        class: u32,
    },
    Append {
        ticket: u64,
        segment: u32,
        at: u32,
        record: Vec<u8>,
    },
    Sync {
        segment: u32,
        up_to: u32,
    },
    Seal {
        segment: u32,
        at: u32,
        footer: Vec<u8>,
    },
    Remove(u32),
}

/// The threads of one store. Dropped, they end when what they have is done.
pub struct Threads {
    readers: Vec<SyncSender<Job>>,
    writer: SyncSender<Job>,
    recoverer: SyncSender<Job>,
    marker: SyncSender<Vec<Line>>,
    next: usize,
}

/// Why the files of a store cannot be had.
#[derive(Debug)]
pub enum NotTaken {
    /// It may pass: the opening is tried again.
    Io(String),
    Refused(String),
}

impl NotTaken {
    /// Of an error of the system: what only another hand can mend is not tried again.
    pub fn of(path: &Path, error: &io::Error) -> NotTaken {
        let what = format!("{}: {error}", path.display());
        match error.kind() {
            io::ErrorKind::ResourceBusy
            | io::ErrorKind::PermissionDenied
            | io::ErrorKind::NotADirectory => NotTaken::Refused(what),
            _ => NotTaken::Io(what),
        }
    }
}

/// Opens a directory on a thread of its own and starts the others once it is open. `take` gives the files,
/// which may itself take a while. Where the system fails that, it is tried again, with backoff. Every end comes
/// through the receiver, the opening's first.
pub fn start(
    mut take: impl FnMut() -> Result<Arc<dyn Files>, NotTaken> + Send + 'static,
    store: u64,
    readers: usize,
) -> io::Result<(Threads, tokio::sync::mpsc::Receiver<End>)> {
    let (ends, receiver) = channel(ENDS_MOST);
    // Read here, as close as can be to the start that the store's times are compared with.
    let clock = BootClock::read();
    // The threads wait for the files, each behind its mailbox, so that all orders can be given from the
    // start.
    let (readers, reads): (Vec<_>, Vec<_>) = (0..readers.max(1))
        .map(|_| sync_channel(READS_MOST))
        .unzip();
    let (writer, writes) = sync_channel(WRITES_MOST);
    let (recoverer, recovers) = sync_channel(RECOVERS_MOST);
    let (marker, marks) = sync_channel(MARKS_MOST);
    let spawn = |name: &str, run: Box<dyn FnOnce() + Send>| {
        thread::Builder::new()
            .name(format!("store-{name}"))
            .spawn(run)
            .map(|_| ())
    };
    spawn(
        "open",
        Box::new(move || {
            let opened = open(&mut take, store, clock, &marks, &ends);
            let Some((files, (catalogue, known, segments))) = opened else {
                return;
            };
            let store = known.store;
            let _ = ends.blocking_send(End::Opened { known, segments });
            let jobs = reads.into_iter().chain([writes, recovers]);
            for (n, jobs) in jobs.enumerate() {
                let (hands, ends) = (Hands::new(files.clone(), store), ends.clone());
                let run = move || work(jobs, ends, hands);
                let started = thread::Builder::new().name(format!("store-{n}")).spawn(run);
                if let Err(what) = started {
                    log::error!("a thread of the store could not be started: {what}");
                }
            }
            drop(files);
            write_down(marks, ends, catalogue);
        }),
    )?;
    Ok((
        Threads {
            readers,
            writer,
            recoverer,
            marker,
            next: 0,
        },
        receiver,
    ))
}

type OpenDirectory = (Arc<dyn Files>, (Catalogue, Known, Vec<u32>));

/// Takes and opens the files, as often as that fails for a while. None: it was refused, or nobody waits for it
/// any more.
fn open(
    take: &mut dyn FnMut() -> Result<Arc<dyn Files>, NotTaken>,
    store: u64,
    clock: Option<BootClock>,
    marks: &Receiver<Vec<Line>>,
    ends: &Sender<End>,
) -> Option<OpenDirectory> {
    let mut wait = OPEN_RETRY_FIRST;
    loop {
        let opened = take().and_then(|files| match hands::open(&files, store, clock) {
            Ok(found) => Ok((files, found)),
            Err(Unusable::Io(error)) => Err(NotTaken::Io(error.to_string())),
            Err(what) => Err(NotTaken::Refused(what.to_string())),
        });
        let why = match opened {
            Ok(opened) => return Some(opened),
            Err(NotTaken::Io(why)) => why,
            Err(NotTaken::Refused(why)) => {
                let _ = ends.blocking_send(End::Refused(why));
                return None;
            }
        };
        ends.blocking_send(End::NotOpenedYet(why)).ok()?;
        // Nothing is written down before the store is open: this wait ends early only with its owner.
        if marks.recv_timeout(wait) != Err(RecvTimeoutError::Timeout) {
            return None;
        }
        wait = (wait * 2).min(OPEN_RETRY_LONGEST);
    }
}

/// Lets go of the files before it says, by dropping `ends`, that it has ended: the next may take them at
/// once.
fn work(jobs: Receiver<Job>, ends: Sender<End>, mut hands: Hands) {
    while let Ok(job) = jobs.recv() {
        let end = match job {
            Job::Read {
                ticket,
                segment,
                at,
                length,
            } => End::Read {
                ticket,
                result: hands.read(segment, at, length),
            },
            Job::List(segment) => End::Listed {
                segment,
                result: hands.list(segment),
            },
            Job::Recover(segment) => End::Recovered {
                segment,
                result: hands.recover(segment),
            },
            Job::Begin { segment, class } => {
                // Shows in what is written to it.
                if let Err(what) = hands.begin(segment, class) {
                    log::debug!("segment {segment}: {what:?}");
                }
                continue;
            }
            Job::Append {
                ticket,
                segment,
                at,
                record,
            } => End::Appended {
                ticket,
                result: hands.append(segment, at, &record),
            },
            Job::Sync { segment, up_to } => End::Synced {
                segment,
                up_to,
                result: hands.sync(segment),
            },
            Job::Seal {
                segment,
                at,
                footer,
            } => End::Sealed {
                segment,
                at,
                result: hands.seal(segment, at, &footer),
            },
            Job::Remove(segment) => End::Removed {
                segment,
                result: hands.remove(segment),
            },
        };
        if ends.blocking_send(end).is_err() {
            return;
        }
    }
}

fn write_down(marks: Receiver<Vec<Line>>, ends: Sender<End>, mut catalogue: Catalogue) {
    while let Ok(lines) = marks.recv() {
        if ends
            .blocking_send(End::Marked(hands::mark(&mut catalogue, &lines)))
            .is_err()
        {
            return;
        }
    }
}

impl Threads {
    /// To the next reader that takes it: one that hangs does not hold up the others.
    pub fn read(&mut self, ticket: u64, segment: u32, at: u32, length: u32) -> bool {
        let count = self.readers.len();
        self.next = (self.next + 1) % count;
        let job = || Job::Read {
            ticket,
            segment,
            at,
            length,
        };
        (0..count).any(|n| {
            self.readers[(self.next + n) % count]
                .try_send(job())
                .is_ok()
        })
    }

    pub fn list(&mut self, segment: u32) -> bool {
        self.recoverer.try_send(Job::List(segment)).is_ok()
    }

    pub fn recover(&mut self, segment: u32) -> bool {
        self.recoverer.try_send(Job::Recover(segment)).is_ok()
    }

    pub fn begin(&mut self, segment: u32, class: u32) -> bool {
        self.writer.try_send(Job::Begin { segment, class }).is_ok()
    }

    pub fn append(&mut self, ticket: u64, segment: u32, at: u32, record: Vec<u8>) -> bool {
        self.writer
            .try_send(Job::Append {
                ticket,
                segment,
                at,
                record,
            })
            .is_ok()
    }

    pub fn sync(&mut self, segment: u32, up_to: u32) -> bool {
        self.writer.try_send(Job::Sync { segment, up_to }).is_ok()
    }

    pub fn seal(&mut self, segment: u32, at: u32, footer: Vec<u8>) -> bool {
        self.writer
            .try_send(Job::Seal {
                segment,
                at,
                footer,
            })
            .is_ok()
    }

    pub fn remove(&mut self, segment: u32) -> bool {
        self.writer.try_send(Job::Remove(segment)).is_ok()
    }

    pub fn mark(&mut self, lines: Vec<Line>) -> bool {
        self.marker.try_send(lines).is_ok()
    }
}

/// Between a store and its threads: hands on orders, keeps what the store says until it is asked for.
#[derive(Default)]
pub struct Shelf {
    /// None: there is no disk, or it cannot be used.
    pub threads: Option<Threads>,
    pub fetched: Vec<(u64, Fetched)>,
    /// Copies whose source is to be asked, without their bodies.
    pub unproven: Vec<Copy>,
    /// What outlives a crash from now on (and when it was made), or was let go of (none); kept only where
    /// wanted.
    pub said: Option<Vec<(Key, Option<u64>)>>,
}

impl Shelf {
    fn order(&mut self, order: impl FnOnce(&mut Threads) -> bool) -> bool {
        self.threads.as_mut().is_some_and(order)
    }

    /// Tells the store how an order ended.
    pub fn ended(&mut self, store: &mut Store, now: Duration, end: End) {
        match end {
            End::Opened { known, segments } => {
                log::info!(segments = segments.len(); "store: opened");
                store.opened(&known, segments, self);
            }
            End::NotOpenedYet(why) => {
                log::warn!("store: the disk cannot be opened, it is tried again: {why}")
            }
            End::Refused(why) => {
                log::error!("store: the disk is not used: {why}");
                self.threads = None;
                store
                    .disk_mut()
                    .into_iter()
                    .for_each(|disk| disk.refused(why.clone()));
            }
            End::Read { ticket, result } => store.read(now, ticket, result, self),
            End::Listed { segment, result } => store.listed(now, segment, result, self),
            End::Recovered { segment, result } => {
                if let Err(RecoveryError::UnsupportedVersion(found)) = &result {
                    log::warn!(
                        "store: segment {segment} is of format version {found}: it is left alone"
                    );
                }
                store.recovered(now, segment, result, self);
                if let Some(disk) = store.disk().filter(|disk| *disk.phase() == Phase::Ready) {
                    let (known, unknown) = (disk.index().len(), disk.counts().unknown);
                    log::info!(parts = known, damaged = disk.counts().damaged; "store: ready");
                    if unknown > 0 {
                        log::warn!(
                            parts = known, unknown = unknown;
                            "store: index-memory is too small: some parts on disk are not known"
                        );
                    }
                }
            }
            End::Appended { ticket, result } => store.appended(now, ticket, result, self),
            End::Synced {
                segment,
                up_to,
                result,
            } => store.synced(now, segment, up_to, result, self),
            End::Sealed {
                segment,
                at,
                result,
            } => store.sealed(now, segment, at, result, self),
            End::Removed { segment, result } => store.removed(now, segment, result, self),
            End::Marked(result) => store.marked(result, self),
        }
    }
}

impl Outlet for Shelf {
    fn read(&mut self, ticket: u64, segment: u32, at: u32, length: u32) -> bool {
        self.order(|t| t.read(ticket, segment, at, length))
    }
    fn list(&mut self, segment: u32) -> bool {
        self.order(|t| t.list(segment))
    }
    fn recover(&mut self, segment: u32) -> bool {
        self.order(|t| t.recover(segment))
    }
    fn begin(&mut self, segment: u32, class: u32) -> bool {
        self.order(|t| t.begin(segment, class))
    }
    fn append(&mut self, ticket: u64, segment: u32, at: u32, record: Vec<u8>) -> bool {
        self.order(|t| t.append(ticket, segment, at, record))
    }
    fn sync(&mut self, segment: u32, up_to: u32) -> bool {
        self.order(|t| t.sync(segment, up_to))
    }
    fn seal(&mut self, segment: u32, at: u32, footer: Vec<u8>) -> bool {
        self.order(|t| t.seal(segment, at, footer))
    }
    fn remove(&mut self, segment: u32) -> bool {
        self.order(|t| t.remove(segment))
    }
    fn mark(&mut self, lines: Vec<Line>) -> bool {
        self.order(|t| t.mark(lines))
    }
    fn fetched(&mut self, ticket: u64, fetched: Fetched) {
        self.fetched.push((ticket, fetched));
    }
    fn revalidate(&mut self, copy: &Copy) {
        // Its body is not needed, and would keep the whole record.
        let own = |bytes: &Bytes| Bytes::copy_from_slice(bytes);
        let (object, tag, class) = (own(&copy.object), own(&copy.tag), own(&copy.class));
        self.unproven.push(Copy {
            object,
            tag,
            class,
            body: Bytes::new(),
            ..copy.clone()
        });
    }
    fn outlives(&mut self, key: Key, made: u64) {
        self.said
            .iter_mut()
            .for_each(|said| said.push((key, Some(made))));
    }
    fn lets_go(&mut self, key: Key) {
        self.said.iter_mut().for_each(|said| said.push((key, None)));
    }
}
