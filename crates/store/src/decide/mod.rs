//! The decisions of the local cache: which copies are kept, in which tier, and for how long. No I/O.

pub mod admission;
pub mod disk;
pub mod index;
pub mod memory;
pub mod purges;
pub mod segments;

use crate::catalogue::CatalogueSnapshot;
use crate::copy::Copy;
use crate::format::{FooterEntry, tag_hash};
use crate::key::{self, Key};
use crate::recovery::{Recovered, RecoveryError};
use disk::{Disk, DiskBackend, Fault};
use memory::Memory;
use purges::{Purges, group_slot};
use std::rc::Rc;
use std::time::Duration;

/// The tier that holds a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheTier {
    Memory,
    Disk,
}

/// A copy that may be served: its tier, when it was made (Unix milliseconds), and whether the requester already
/// has this version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Found {
    pub tier: CacheTier,
    pub created_at_ms: u64,
    pub is_same_version: bool,
}

/// A part as identified by a request.
#[derive(Clone, Copy, Debug)]
pub struct Part<'a> {
    pub object: &'a [u8],
    pub part: u64,
    pub group: u64,
}

impl Part<'_> {
    fn hashes(&self) -> (Key, Key) {
        let object = key::object(self.object);
        (object, key::part(object, self.part))
    }
}

/// Counters of the memory tier, for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    pub kept: u64,
    pub rejected: u64,
    pub evicted: u64,
    pub evicted_for_memory: u64,
    pub purges: u64,
    pub outdated: u64,
    pub hits: u64,
    pub hit_bytes: u64,
}

/// The local cache: a memory tier, optionally backed by a disk tier.
pub struct Store {
    memory: Memory,
    disk: Option<Disk>,
    purges: Purges,
    counts: Counts,
    /// Copies evicted from memory that were not offered to the disk yet.
    evicted: Vec<(Rc<Copy>, u8)>,
}

impl Store {
    /// A store whose memory tier holds at most `memory_limit` bytes.
    pub fn new(memory_limit: u64, disk: Option<Disk>) -> Store {
        let (memory, counts) = (Memory::new(memory_limit), Counts::default());
        Store {
            memory,
            disk,
            purges: Purges::default(),
            counts,
            evicted: Vec::new(),
        }
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    pub fn memory(&self) -> &Memory {
        &self.memory
    }

    pub fn disk(&self) -> Option<&Disk> {
        self.disk.as_ref()
    }

    pub fn disk_mut(&mut self) -> Option<&mut Disk> {
        self.disk.as_mut()
    }

    /// Finds a copy of a part. `have` is the entity tag of the requester's copy.
    pub fn find(&mut self, part: Part, have: Option<&[u8]>) -> Option<Found> {
        let (object, key) = part.hashes();
        let have = have.filter(|tag| !tag.is_empty());
        if let Some(copy) = self
            .memory
            .peek(key)
            .filter(|copy| self.is_servable(copy, part, object))
        {
            let is_same_version = have.is_some_and(|tag| *tag == *copy.etag);
            return Some(Found {
                tier: CacheTier::Memory,
                created_at_ms: copy.created_at_ms,
                is_same_version,
            });
        }
        let index_entry =
            self.disk
                .as_mut()?
                .find(key, object, group_slot(part.group), &self.purges)?;
        let is_same_version = have.is_some_and(|tag| tag_hash(tag) == index_entry.tag);
        Some(Found {
            tier: CacheTier::Disk,
            created_at_ms: index_entry.created_at_ms,
            is_same_version,
        })
    }

    /// Returns the copy in memory for an answer.
    pub fn get(&mut self, now: Duration, part: Part) -> Option<Rc<Copy>> {
        let (object, key) = part.hashes();
        let copy = self
            .memory
            .get(key)
            .filter(|copy| self.is_servable(copy, part, object))?;
        self.counts.hits += 1;
        self.counts.hit_bytes += copy.body.len() as u64;
        if let Some(disk) = &mut self.disk {
            disk.record_request(now, object, part.part);
        }
        Some(copy)
    }

    /// Starts reading the copy on disk for an answer; the result arrives with `DiskBackend::read_completed`.
    /// `None` if there is no copy or the read queue is full.
    pub fn start_read(
        &mut self,
        now: Duration,
        part: Part,
        backend: &mut dyn DiskBackend,
    ) -> Option<u64> {
        let (object, key) = part.hashes();
        let disk = self.disk.as_mut()?;
        let group = group_slot(part.group);
        let index_entry = disk.find(key, object, group, &self.purges)?;
        disk.record_request(now, object, part.part);
        disk.start_request_read(key, index_entry, part.object, part.part, group, backend)
    }

    /// Whether a copy is of the requested part and no purge received since it was made applies to it (rule 5).
    fn is_servable(&self, copy: &Copy, part: Part, object: Key) -> bool {
        *copy.object == *part.object
            && copy.part == part.part
            && self
                .purges
                .survives(object, group_slot(copy.group), copy.created_at_ms)
            && self
                .purges
                .survives(object, group_slot(part.group), copy.created_at_ms)
    }

    /// Keeps a copy with a rank from 1 to 3, unless it was purged or a newer copy is held.
    pub fn insert(&mut self, now: Duration, copy: Copy, rank: u8, backend: &mut dyn DiskBackend) {
        let object = key::object(&copy.object);
        let key = key::part(object, copy.part);
        if !self
            .purges
            .survives(object, group_slot(copy.group), copy.created_at_ms)
        {
            self.counts.outdated += 1;
            return;
        }
        let on_disk = self
            .disk
            .as_ref()
            .and_then(|disk| disk.index().get(key))
            .map(|index_entry| (index_entry.created_at_ms, index_entry.tag));
        let in_memory = self
            .memory
            .peek(key)
            .filter(|held| held.object == copy.object);
        let held = in_memory
            .map(|held| (held.created_at_ms, tag_hash(&held.etag)))
            .or(on_disk);
        if let Some((created_at_ms, tag)) = held {
            if created_at_ms > copy.created_at_ms {
                self.counts.outdated += 1;
                return self.set_rank(
                    Part {
                        object: &copy.object,
                        part: copy.part,
                        group: copy.group,
                    },
                    rank,
                );
            }
            if tag != tag_hash(&copy.etag) && copy.is_multipart {
                // The object has changed: copies of its other parts that were made earlier are of an older
                // version.
                let records = self
                    .purges
                    .purge_object(object, copy.created_at_ms.saturating_sub(1));
                self.record_purges(records, backend);
            }
        }
        if let Some(disk) = &mut self.disk {
            disk.confirm_version(key, &copy.etag, copy.created_at_ms);
            disk.record_request(now, object, copy.part);
        }
        self.insert_copy(now, key, Rc::new(copy), rank);
    }

    fn insert_copy(&mut self, now: Duration, key: Key, copy: Rc<Copy>, rank: u8) {
        let (evicted, counts) = (&mut self.evicted, &mut self.counts);
        let kept = self
            .memory
            .insert(key, copy.clone(), rank, &mut |copy, rank| {
                evicted.push((copy, rank))
            });
        if kept {
            counts.kept += 1;
        } else {
            counts.rejected += 1;
            evicted.push((copy, rank));
        }
        counts.evicted += evicted.len() as u64;
        self.demote(now);
    }

    /// Offers the copies evicted from memory to the disk.
    fn demote(&mut self, now: Duration) {
        let evicted = std::mem::take(&mut self.evicted);
        if let Some(disk) = &mut self.disk {
            evicted
                .into_iter()
                .for_each(|(copy, rank)| disk.demote(now, copy, rank));
        }
    }

    /// Changes the rank of a held copy after another request for it.
    pub fn set_rank(&mut self, part: Part, rank: u8) {
        let (_, key) = part.hashes();
        self.memory.set_rank(key, rank);
        if let Some(disk) = &mut self.disk {
            disk.set_rank(key, rank);
        }
    }

    /// Applies a purge of an object, or of a group if `object` is `None`, made at this Unix millisecond.
    pub fn purge(
        &mut self,
        object: Option<&[u8]>,
        group: u64,
        ms: u64,
        backend: &mut dyn DiskBackend,
    ) {
        self.counts.purges += 1;
        let records = match object {
            Some(object) => self.purges.purge_object(key::object(object), ms),
            None => [Some(self.purges.purge_group(group, ms)), None],
        };
        self.record_purges(records, backend);
    }

    fn record_purges(
        &mut self,
        records: [Option<purges::PurgeRecord>; 2],
        backend: &mut dyn DiskBackend,
    ) {
        if let Some(disk) = &mut self.disk {
            disk.queue_purges(records.into_iter().flatten(), backend);
        }
    }

    /// Evicts copies until memory holds at most `to` bytes. They are not offered to the disk, because the queue
    /// of writes would take memory again.
    pub fn evict_to(&mut self, to: u64) {
        let evicted = &mut self.counts.evicted_for_memory;
        self.memory.evict_to(to, &mut |_, _| *evicted += 1);
    }

    /// The memory that copies and tables take, in bytes.
    pub fn bytes(&self) -> u64 {
        self.memory.bytes() + self.disk.as_ref().map_or(0, Disk::bytes)
    }

    // ---- Completion of disk operations

    pub fn complete_open(
        &mut self,
        known: &CatalogueSnapshot,
        segments: Vec<u32>,
        backend: &mut dyn DiskBackend,
    ) {
        if let Some(disk) = &mut self.disk {
            disk.complete_open(known, segments, &mut self.purges, backend);
        }
    }

    pub fn complete_recovery(
        &mut self,
        now: Duration,
        segment: u32,
        result: Result<Recovered, RecoveryError>,
        backend: &mut dyn DiskBackend,
    ) {
        if let Some(disk) = &mut self.disk {
            disk.complete_recovery(now, segment, result, &self.purges, backend);
        }
    }

    pub fn complete_read(
        &mut self,
        now: Duration,
        ticket: u64,
        result: Result<(Copy, u8), Fault>,
        backend: &mut dyn DiskBackend,
    ) {
        let Some(disk) = &mut self.disk else { return };
        if let Some((copy, rank)) = disk.complete_read(now, ticket, result, &self.purges, backend) {
            let key = key::part(key::object(&copy.object), copy.part);
            self.insert_copy(now, key, copy, rank);
        }
    }

    pub fn complete_list(
        &mut self,
        now: Duration,
        segment: u32,
        result: Result<Vec<FooterEntry>, Fault>,
        backend: &mut dyn DiskBackend,
    ) {
        if let Some(disk) = &mut self.disk {
            disk.complete_list(now, segment, result, &self.purges, backend);
        }
    }

    pub fn complete_append(
        &mut self,
        now: Duration,
        ticket: u64,
        result: Result<(), Fault>,
        backend: &mut dyn DiskBackend,
    ) {
        if let Some(disk) = &mut self.disk {
            disk.complete_append(now, ticket, result, &self.purges, backend);
        }
    }

    pub fn complete_sync(
        &mut self,
        now: Duration,
        segment: u32,
        up_to: u32,
        result: Result<(), Fault>,
        backend: &mut dyn DiskBackend,
    ) {
        if let Some(disk) = &mut self.disk {
            disk.complete_sync(now, segment, up_to, result, backend);
        }
    }

    pub fn complete_seal(
        &mut self,
        now: Duration,
        segment: u32,
        up_to: u32,
        result: Result<(), Fault>,
        backend: &mut dyn DiskBackend,
    ) {
        if let Some(disk) = &mut self.disk {
            disk.complete_seal(now, segment, up_to, result, backend);
        }
    }

    pub fn complete_removal(
        &mut self,
        now: Duration,
        segment: u32,
        result: Result<(), Fault>,
        backend: &mut dyn DiskBackend,
    ) {
        if let Some(disk) = &mut self.disk {
            disk.complete_removal(now, segment, result, backend);
        }
    }

    pub fn complete_catalogue_write(
        &mut self,
        result: Result<(), Fault>,
        backend: &mut dyn DiskBackend,
    ) {
        if let Some(disk) = &mut self.disk {
            disk.complete_catalogue_write(result, backend);
        }
    }

    /// Does the background work that is due.
    pub fn tick(&mut self, now: Duration, backend: &mut dyn DiskBackend) {
        let memory = &self.memory;
        if let Some(disk) = &mut self.disk {
            disk.tick(
                now,
                &self.purges,
                &|key| memory.peek(key).is_some(),
                backend,
            );
        }
    }

    /// The source confirmed that the version with this entity tag was current at `created_at_ms`.
    pub fn confirm_version(&mut self, part: Part, tag: &[u8], created_at_ms: u64) {
        if let Some(disk) = &mut self.disk {
            disk.confirm_version(part.hashes().1, tag, created_at_ms);
        }
    }

    /// Drops the disk copy if it is still unproven: its source has another version or could not be reached.
    pub fn drop_unproven(&mut self, part: Part, backend: &mut dyn DiskBackend) {
        if let Some(disk) = &mut self.disk {
            disk.drop_unproven(part.hashes().1, backend);
        }
    }
}

#[cfg(test)]
mod tests;
