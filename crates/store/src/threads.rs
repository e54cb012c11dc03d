//! The threads that access the disk, each with a bounded queue. Callers never wait: a full queue rejects
//! operations, so a disk that hangs blocks only its own threads.

use crate::boot_clock::BootClock;
use crate::catalogue::{Catalogue, CatalogueError, CatalogueLine, CatalogueSnapshot};
use crate::copy::Copy;
use crate::decide::Store;
use crate::decide::disk::{DiskBackend, Fault, Phase, ReadResult};
use crate::files::Files;
use crate::format::FooterEntry;
use crate::key::Key;
use crate::recovery::{Recovered, RecoveryError};
use crate::segment_files::{self, SegmentFiles};
use bytes::Bytes;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, sync_channel};
use std::thread;
use std::time::Duration;
use tokio::sync::mpsc::{Sender, channel};

/// Operations queued for each thread.
const READ_QUEUE_LEN: usize = 16;
const WRITE_QUEUE_LEN: usize = 256;
const CATALOGUE_QUEUE_LEN: usize = 4;
const RECOVERY_QUEUE_LEN: usize = 8;
/// Results that have not been received yet; sized for all operations that can be queued or running.
const RESULT_QUEUE_LEN: usize = 2048;
/// Exponential backoff between attempts to open the directory.
const MIN_OPEN_RETRY: Duration = Duration::from_secs(1);
const MAX_OPEN_RETRY: Duration = Duration::from_secs(30);

/// A completed operation, with its result.
pub enum CompletedOperation {
    Opened {
        known: CatalogueSnapshot,
        segments: Vec<u32>,
    },
    /// A system call failed while opening; opening is tried again.
    OpenFailed(String),
    /// The directory cannot be used; opening is not tried again.
    OpenRefused(String),
    Read {
        ticket: u64,
        result: Result<(Copy, u8), Fault>,
    },
    Listed {
        segment: u32,
        result: Result<Vec<FooterEntry>, Fault>,
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
        offset: u32,
        result: Result<(), Fault>,
    },
    Removed {
        segment: u32,
        result: Result<(), Fault>,
    },
    CatalogueWritten(Result<(), Fault>),
}

enum Operation {
    Read {
        ticket: u64,
        segment: u32,
        offset: u32,
        length: u32,
    },
    List(u32),
    Recover(u32),
    CreateSegment {
        segment: u32,
        class: u32,
    },
    Append {
        ticket: u64,
        segment: u32,
        offset: u32,
        record: Vec<u8>,
    },
    Sync {
        segment: u32,
        up_to: u32,
    },
    Seal {
        segment: u32,
        offset: u32,
        footer: Vec<u8>,
    },
    Remove(u32),
}

/// The threads of one store. After this is dropped, they finish the queued operations and end.
pub struct Threads {
    readers: Vec<SyncSender<Operation>>,
    writer: SyncSender<Operation>,
    recovery: SyncSender<Operation>,
    catalogue_writer: SyncSender<Vec<CatalogueLine>>,
    next_reader: usize,
}

/// Why a store's directory cannot be opened.
#[derive(Debug)]
pub enum OpenError {
    /// The failure may be transient; opening is tried again.
    Io(String),
    /// Opening is not tried again.
    Refused(String),
}

impl OpenError {
    /// Classifies a system error: errors that need an operator's intervention are not retried.
    pub fn of(path: &Path, error: &io::Error) -> OpenError {
        let message = format!("{}: {error}", path.display());
        match error.kind() {
            io::ErrorKind::ResourceBusy
            | io::ErrorKind::PermissionDenied
            | io::ErrorKind::NotADirectory => OpenError::Refused(message),
            _ => OpenError::Io(message),
        }
    }
}

/// Opens a directory on a new thread and starts the other threads once it is open. `open_directory` may block;
/// it is retried with backoff after transient errors. The receiver gets the results of all operations, that of
/// the opening first.
pub fn start(
    mut open_directory: impl FnMut() -> Result<Arc<dyn Files>, OpenError> + Send + 'static,
    store_id: u64,
    readers: usize,
) -> io::Result<(Threads, tokio::sync::mpsc::Receiver<CompletedOperation>)> {
    let (results, receiver) = channel(RESULT_QUEUE_LEN);
    // Read here, as close as possible to the start time that the store compares its times with.
    let clock = BootClock::read();
    // The queues exist from the start, so that operations can be sent while the directory is being opened.
    let (readers, reads): (Vec<_>, Vec<_>) = (0..readers.max(1))
        .map(|_| sync_channel(READ_QUEUE_LEN))
        .unzip();
    let (writer, writes) = sync_channel(WRITE_QUEUE_LEN);
    let (recovery, recoveries) = sync_channel(RECOVERY_QUEUE_LEN);
    let (catalogue_writer, catalogue_writes) = sync_channel(CATALOGUE_QUEUE_LEN);
    let spawn = |name: &str, run: Box<dyn FnOnce() + Send>| {
        thread::Builder::new()
            .name(format!("store-{name}"))
            .spawn(run)
            .map(|_| ())
    };
    spawn(
        "open",
        Box::new(move || {
            let opened = open(
                &mut open_directory,
                store_id,
                clock,
                &catalogue_writes,
                &results,
            );
            let Some((files, (catalogue, known, segments))) = opened else {
                return;
            };
            let store_id = known.store_id;
            let _ = results.blocking_send(CompletedOperation::Opened { known, segments });
            let operations = reads.into_iter().chain([writes, recoveries]);
            for (n, operations) in operations.enumerate() {
                let (segment_files, results) =
                    (SegmentFiles::new(files.clone(), store_id), results.clone());
                let run = move || run_worker(operations, results, segment_files);
                let started = thread::Builder::new().name(format!("store-{n}")).spawn(run);
                if let Err(error) = started {
                    log::error!("store: worker thread could not be started: {error}");
                }
            }
            drop(files);
            run_catalogue_writer(catalogue_writes, results, catalogue);
        }),
    )?;
    Ok((
        Threads {
            readers,
            writer,
            recovery,
            catalogue_writer,
            next_reader: 0,
        },
        receiver,
    ))
}

type OpenedStore = (Arc<dyn Files>, (Catalogue, CatalogueSnapshot, Vec<u32>));

/// Opens the directory and the store in it, retrying after transient errors. `None` if opening was refused or
/// the store's owner has gone.
fn open(
    open_directory: &mut dyn FnMut() -> Result<Arc<dyn Files>, OpenError>,
    store_id: u64,
    clock: Option<BootClock>,
    catalogue_writes: &Receiver<Vec<CatalogueLine>>,
    results: &Sender<CompletedOperation>,
) -> Option<OpenedStore> {
    let mut wait = MIN_OPEN_RETRY;
    loop {
        let opened = open_directory().and_then(|files| {
            match segment_files::open_store(&files, store_id, clock) {
                Ok(found) => Ok((files, found)),
                Err(CatalogueError::Io(error)) => Err(OpenError::Io(error.to_string())),
                Err(error) => Err(OpenError::Refused(error.to_string())),
            }
        });
        let reason = match opened {
            Ok(opened) => return Some(opened),
            Err(OpenError::Io(reason)) => reason,
            Err(OpenError::Refused(reason)) => {
                let _ = results.blocking_send(CompletedOperation::OpenRefused(reason));
                return None;
            }
        };
        results
            .blocking_send(CompletedOperation::OpenFailed(reason))
            .ok()?;
        // No catalogue writes are sent before the store is open, so this wait ends early only when the owner
        // drops the sender.
        if catalogue_writes.recv_timeout(wait) != Err(RecvTimeoutError::Timeout) {
            return None;
        }
        wait = (wait * 2).min(MAX_OPEN_RETRY);
    }
}

/// Runs operations until the queue is closed. `segment_files` must be dropped before `results`: the closed channel
/// signals that the directory is unlocked and can be opened again at once.
fn run_worker(
    operations: Receiver<Operation>,
    results: Sender<CompletedOperation>,
    mut segment_files: SegmentFiles,
) {
    while let Ok(operation) = operations.recv() {
        let completed = match operation {
            Operation::Read {
                ticket,
                segment,
                offset,
                length,
            } => CompletedOperation::Read {
                ticket,
                result: segment_files.read(segment, offset, length),
            },
            Operation::List(segment) => CompletedOperation::Listed {
                segment,
                result: segment_files.list(segment),
            },
            Operation::Recover(segment) => CompletedOperation::Recovered {
                segment,
                result: segment_files.recover(segment),
            },
            Operation::CreateSegment { segment, class } => {
                // A failure also fails the later writes to this segment.
                if let Err(error) = segment_files.create_segment(segment, class) {
                    log::debug!("segment {segment}: could not be created: {error:?}");
                }
                continue;
            }
            Operation::Append {
                ticket,
                segment,
                offset,
                record,
            } => CompletedOperation::Appended {
                ticket,
                result: segment_files.append(segment, offset, &record),
            },
            Operation::Sync { segment, up_to } => CompletedOperation::Synced {
                segment,
                up_to,
                result: segment_files.sync(segment),
            },
            Operation::Seal {
                segment,
                offset,
                footer,
            } => CompletedOperation::Sealed {
                segment,
                offset,
                result: segment_files.seal(segment, offset, &footer),
            },
            Operation::Remove(segment) => CompletedOperation::Removed {
                segment,
                result: segment_files.remove(segment),
            },
        };
        if results.blocking_send(completed).is_err() {
            return;
        }
    }
}

fn run_catalogue_writer(
    catalogue_writes: Receiver<Vec<CatalogueLine>>,
    results: Sender<CompletedOperation>,
    mut catalogue: Catalogue,
) {
    while let Ok(lines) = catalogue_writes.recv() {
        if results
            .blocking_send(CompletedOperation::CatalogueWritten(
                segment_files::write_lines(&mut catalogue, &lines),
            ))
            .is_err()
        {
            return;
        }
    }
}

impl Threads {
    /// Sends the read to the next reader with room in its queue, so that a reader that hangs does not block
    /// the others.
    pub fn read(&mut self, ticket: u64, segment: u32, offset: u32, length: u32) -> bool {
        let count = self.readers.len();
        self.next_reader = (self.next_reader + 1) % count;
        let operation = || Operation::Read {
            ticket,
            segment,
            offset,
            length,
        };
        (0..count).any(|n| {
            self.readers[(self.next_reader + n) % count]
                .try_send(operation())
                .is_ok()
        })
    }

    pub fn list(&mut self, segment: u32) -> bool {
        self.recovery.try_send(Operation::List(segment)).is_ok()
    }

    pub fn recover(&mut self, segment: u32) -> bool {
        self.recovery.try_send(Operation::Recover(segment)).is_ok()
    }

    pub fn create_segment(&mut self, segment: u32, class: u32) -> bool {
        self.writer
            .try_send(Operation::CreateSegment { segment, class })
            .is_ok()
    }

    pub fn append(&mut self, ticket: u64, segment: u32, offset: u32, record: Vec<u8>) -> bool {
        self.writer
            .try_send(Operation::Append {
                ticket,
                segment,
                offset,
                record,
            })
            .is_ok()
    }

    pub fn sync(&mut self, segment: u32, up_to: u32) -> bool {
        self.writer
            .try_send(Operation::Sync { segment, up_to })
            .is_ok()
    }

    pub fn seal(&mut self, segment: u32, offset: u32, footer: Vec<u8>) -> bool {
        self.writer
            .try_send(Operation::Seal {
                segment,
                offset,
                footer,
            })
            .is_ok()
    }

    pub fn remove(&mut self, segment: u32) -> bool {
        self.writer.try_send(Operation::Remove(segment)).is_ok()
    }

    pub fn write_catalogue(&mut self, lines: Vec<CatalogueLine>) -> bool {
        self.catalogue_writer.try_send(lines).is_ok()
    }
}

/// Connects a store to its threads: forwards operations, and holds the store's notifications until they are
/// taken.
#[derive(Default)]
pub struct DiskConnector {
    /// `None` if there is no disk or it cannot be used.
    pub threads: Option<Threads>,
    pub completed_reads: Vec<(u64, ReadResult)>,
    /// Copies to be revalidated with their source, without their bodies.
    pub revalidations: Vec<Copy>,
    /// Copies that became durable (with the time they were made) or were dropped (`None`). Recorded only if
    /// this is `Some`.
    pub durability_changes: Option<Vec<(Key, Option<u64>)>>,
}

impl DiskConnector {
    fn send_operation(&mut self, send: impl FnOnce(&mut Threads) -> bool) -> bool {
        self.threads.as_mut().is_some_and(send)
    }

    /// Passes the result of an operation to the store.
    pub fn complete(&mut self, store: &mut Store, now: Duration, completed: CompletedOperation) {
        match completed {
            CompletedOperation::Opened { known, segments } => {
                log::info!(segments = segments.len(); "store: opened");
                store.complete_open(&known, segments, self);
            }
            CompletedOperation::OpenFailed(reason) => {
                log::warn!("store: opening the disk failed, retrying: {reason}")
            }
            CompletedOperation::OpenRefused(reason) => {
                log::error!("store: the disk is not used: {reason}");
                self.threads = None;
                store
                    .disk_mut()
                    .into_iter()
                    .for_each(|disk| disk.disable(reason.clone()));
            }
            CompletedOperation::Read { ticket, result } => {
                store.complete_read(now, ticket, result, self)
            }
            CompletedOperation::Listed { segment, result } => {
                store.complete_list(now, segment, result, self)
            }
            CompletedOperation::Recovered { segment, result } => {
                if let Err(RecoveryError::UnsupportedVersion(found)) = &result {
                    log::warn!(
                        "store: segment {segment} has unsupported format version {found} and is left unchanged"
                    );
                }
                store.complete_recovery(now, segment, result, self);
                if let Some(disk) = store.disk().filter(|disk| *disk.phase() == Phase::Ready) {
                    let (known, unknown) = (disk.index().len(), disk.counts().unknown);
                    log::info!(parts = known, damaged = disk.counts().damaged; "store: ready");
                    if unknown > 0 {
                        log::warn!(
                            parts = known, unknown = unknown;
                            "store: index-memory is too small: some parts on disk are not indexed"
                        );
                    }
                }
            }
            CompletedOperation::Appended { ticket, result } => {
                store.complete_append(now, ticket, result, self)
            }
            CompletedOperation::Synced {
                segment,
                up_to,
                result,
            } => store.complete_sync(now, segment, up_to, result, self),
            CompletedOperation::Sealed {
                segment,
                offset,
                result,
            } => store.complete_seal(now, segment, offset, result, self),
            CompletedOperation::Removed { segment, result } => {
                store.complete_removal(now, segment, result, self)
            }
            CompletedOperation::CatalogueWritten(result) => {
                store.complete_catalogue_write(result, self)
            }
        }
    }
}

impl DiskBackend for DiskConnector {
    fn read(&mut self, ticket: u64, segment: u32, offset: u32, length: u32) -> bool {
        self.send_operation(|t| t.read(ticket, segment, offset, length))
    }
    fn list(&mut self, segment: u32) -> bool {
        self.send_operation(|t| t.list(segment))
    }
    fn recover(&mut self, segment: u32) -> bool {
        self.send_operation(|t| t.recover(segment))
    }
    fn create_segment(&mut self, segment: u32, class: u32) -> bool {
        self.send_operation(|t| t.create_segment(segment, class))
    }
    fn append(&mut self, ticket: u64, segment: u32, offset: u32, record: Vec<u8>) -> bool {
        self.send_operation(|t| t.append(ticket, segment, offset, record))
    }
    fn sync(&mut self, segment: u32, up_to: u32) -> bool {
        self.send_operation(|t| t.sync(segment, up_to))
    }
    fn seal(&mut self, segment: u32, offset: u32, footer: Vec<u8>) -> bool {
        self.send_operation(|t| t.seal(segment, offset, footer))
    }
    fn remove(&mut self, segment: u32) -> bool {
        self.send_operation(|t| t.remove(segment))
    }
    fn write_catalogue(&mut self, lines: Vec<CatalogueLine>) -> bool {
        self.send_operation(|t| t.write_catalogue(lines))
    }
    fn read_completed(&mut self, ticket: u64, fetched: ReadResult) {
        self.completed_reads.push((ticket, fetched));
    }
    fn revalidate(&mut self, copy: &Copy) {
        // The body is not needed and would keep the whole record in memory.
        let own = |bytes: &Bytes| Bytes::copy_from_slice(bytes);
        let (object, etag, class) = (own(&copy.object), own(&copy.etag), own(&copy.class));
        self.revalidations.push(Copy {
            object,
            etag,
            class,
            body: Bytes::new(),
            ..copy.clone()
        });
    }
    fn copy_durable(&mut self, key: Key, created_at_ms: u64) {
        self.durability_changes
            .iter_mut()
            .for_each(|changes| changes.push((key, Some(created_at_ms))));
    }
    fn copy_dropped(&mut self, key: Key) {
        self.durability_changes
            .iter_mut()
            .for_each(|changes| changes.push((key, None)));
    }
}
