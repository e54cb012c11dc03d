//! Opens the local cache as configured by the operator's file.

use super::{DISK_TIER, LocalCache, MEMORY_TIER, NamedClass};
use crate::boot_time::{BootTime, ClockStepBack};
use crate::clock::Clock;
use crate::configuration::Configuration;
use crate::timestamps::CopyTimes;
use bytes::Bytes;
use chalkhall_config::Store as Settings;
use chalkhall_store::decide::Store;
use chalkhall_store::decide::disk::{Disk, DiskSettings, MIN_SEGMENTS};
use chalkhall_store::decide::index::Index;
use chalkhall_store::files::{Directory, Files};
use chalkhall_store::threads::{self, CompletedOperation, DiskConnector, OpenError};
use std::collections::HashMap;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use thiserror::Error;
use tokio::sync::mpsc;

/// Memory that is reserved for everything but bodies and cached copies.
const RESERVED_MEMORY_BYTES: u64 = 8 << 20;
/// The fraction of the remaining memory that bodies and cached copies may use; the allocator needs
/// the rest.
const USABLE_FRACTION: f64 = 0.75;
/// The minimum capacity of the index, below which a disk tier is useless.
const MIN_INDEXED_PARTS: u64 = 1000;

/// A local cache that has just been opened.
pub struct OpenedCache {
    /// The cache.
    pub cache: LocalCache,
    /// The results of disk operations, for [`LocalCache::complete_disk_operation`]; `None` without
    /// a disk.
    pub disk_results: Option<mpsc::Receiver<CompletedOperation>>,
}

/// The error if the local cache cannot be opened as configured.
#[derive(Debug, Error)]
pub enum LocalCacheError {
    /// The disk threads cannot be started.
    #[error("store: disk: {0}")]
    Disk(#[source] std::io::Error),
    /// The segment size exceeds the limit of the on-disk format.
    #[error("store: segment is too large")]
    SegmentTooLarge,
    /// The disk size is less than the minimum number of segments needs.
    #[error("store: disk {bytes} bytes is too small: {MIN_SEGMENTS} segments take {min_bytes}")]
    DiskTooSmall {
        /// The configured size.
        bytes: u64,
        /// The required size.
        min_bytes: u64,
    },
    /// The index memory is too small for the minimum number of parts.
    #[error("store: index-memory {bytes} bytes is too small: it holds {parts} parts")]
    IndexTooSmall {
        /// The configured size.
        bytes: u64,
        /// The number of parts for which it suffices.
        parts: u64,
    },
}

/// A disk tier whose directory is being opened.
struct OpeningDisk {
    disk: Disk,
    threads: threads::Threads,
    results: mpsc::Receiver<CompletedOperation>,
}

impl LocalCache {
    /// Opens the local cache. Returns `None` if the operator's file enables neither memory nor
    /// disk.
    ///
    /// # Errors
    /// A directive has an invalid size, or the disk threads cannot be started.
    pub fn open(
        settings: &Settings,
        configuration: &Configuration,
        clock: Clock,
    ) -> Result<Option<OpenedCache>, LocalCacheError> {
        if settings.memory.is_none() && settings.disk.is_none() {
            return Ok(None);
        }
        let limit = configuration.limits.memory;
        let usable = (limit.saturating_sub(RESERVED_MEMORY_BYTES) as f64 * USABLE_FRACTION) as u64;
        let memory = settings.memory.map(|memory| memory.of(limit).min(usable));
        let max_memory = memory.unwrap_or(0);
        let set_back_ms = Arc::new(AtomicU64::new(0));
        let mut disk_io = DiskConnector::default();
        let (mut disk, mut disk_results) = (None, None);
        if let Some((path, bytes)) = &settings.disk {
            let disk_settings = disk_settings(settings, *bytes, limit, usable)?;
            let opening = start_disk(settings, path, disk_settings, clock, set_back_ms.clone())?;
            disk_io.threads = Some(opening.threads);
            disk = Some(opening.disk);
            disk_results = Some(opening.results);
        }
        let disk_bytes = settings.disk.as_ref().map_or(0, |(_, bytes)| *bytes);
        log::info!(memory_bytes = max_memory, disk_bytes = disk_bytes; "local cache enabled");
        let seed = configuration.deployment.seed.rotate_left(7);
        let cache = LocalCache {
            store: Store::new(max_memory, disk),
            disk_io,
            clock,
            copy_times: CopyTimes::default(),
            set_back_ms,
            early_purges: Vec::new(),
            classes: classes(configuration),
            discovery_confirmed_at: clock.now(),
            tiers: [MEMORY_TIER.into(), DISK_TIER.into()],
            usable_memory: usable,
            link_capacity: configuration.link_capacity.unwrap_or(f64::INFINITY),
            random: fastrand::Rng::with_seed(seed),
            pending_reads: HashMap::new(),
        };
        Ok(Some(OpenedCache {
            cache,
            disk_results,
        }))
    }
}

/// The classes of requests and their names.
fn classes(configuration: &Configuration) -> Vec<NamedClass> {
    let names = configuration.classes.iter();
    let names = names.map(|name| Bytes::copy_from_slice(name.as_bytes()));
    let classes = configuration.deployment.classes.iter().cloned();
    let named = names.zip(classes);
    named
        .map(|(name, class)| NamedClass { name, class })
        .collect()
}

/// Starts the disk threads, which open the directory. They store in `set_back_ms` by how much the
/// clock was set back, once that is known.
fn start_disk(
    settings: &Settings,
    path: &Path,
    disk_settings: DiskSettings,
    clock: Clock,
    set_back_ms: Arc<AtomicU64>,
) -> Result<OpeningDisk, LocalCacheError> {
    let (path, boot): (PathBuf, _) = (path.to_owned(), BootTime::read(&clock));
    let open_directory = move || {
        let directory = Directory::lock(&path).map_err(|error| OpenError::of(&path, &error))?;
        // Opening may be retried after a failure, so the largest value is kept.
        let set_back = boot.as_ref().map_or(0, |boot| step_back_ms(boot, &path));
        set_back_ms.fetch_max(set_back, Ordering::Release);
        Ok(Arc::new(directory) as Arc<dyn Files>)
    };
    let number = fastrand::u64(1..);
    let started = threads::start(open_directory, number, settings.readers);
    let (threads, results) = started.map_err(LocalCacheError::Disk)?;
    let now = clock.now();
    Ok(OpeningDisk {
        disk: Disk::new(disk_settings, now, clock.unix_ms(now)),
        threads,
        results,
    })
}

/// The milliseconds by which the wall clock was set back since an earlier start that used this
/// directory.
fn step_back_ms(boot: &BootTime, directory: &Path) -> u64 {
    let ClockStepBack {
        step_ms: set_back,
        recorded,
    } = boot.detect_step_back(directory);
    if set_back > 0 {
        log::warn!(
            set_back_ms = set_back;
            "store: clock was set back since an earlier start; its copies are revalidated first"
        );
    }
    if let Err(error) = recorded {
        let directory = directory.display();
        log::warn!(
            directory:% = directory, reason:% = error;
            "store: failed to record the boot time; a later clock step may not be detected"
        );
    }
    set_back
}

fn disk_settings(
    settings: &Settings,
    bytes: u64,
    limit: u64,
    usable: u64,
) -> Result<DiskSettings, LocalCacheError> {
    let segment = u32::try_from(settings.segment).map_err(|_| LocalCacheError::SegmentTooLarge)?;
    let min_bytes = settings.segment * MIN_SEGMENTS as u64;
    if bytes < min_bytes {
        return Err(LocalCacheError::DiskTooSmall { bytes, min_bytes });
    }
    let index = settings.index.of(limit).min(usable / 2);
    let parts = Index::max_parts(index);
    if parts < MIN_INDEXED_PARTS {
        return Err(LocalCacheError::IndexTooSmall {
            bytes: index,
            parts,
        });
    }
    log::info!(index_bytes = index, parts_at_most = parts; "store: index");
    Ok(DiskSettings {
        bytes,
        segment,
        index,
        write_bytes_per_second: settings.write_rate,
        write_bytes_per_day: settings.write_day,
        min_freshness: settings.least_fresh,
        carry: settings.carry,
        sync_after: settings.sync_after,
        sync_bytes: settings.sync_bytes,
        known_purges: settings.known_purges,
        revalidate: settings.revalidate,
        read_ahead: settings.read_ahead,
        scrub: settings.scrub,
        max_loop_delay: settings.max_loop_delay,
        admit_all: false,
    })
}
