//! What is kept, where, and for how long. No I/O.

pub mod admission;
pub mod disk;
pub mod index;
pub mod memory;
pub mod purges;
pub mod segments;

use crate::catalogue::Known;
use crate::copy::Copy;
use crate::format::{Entry, tag_hash};
use crate::key::{self, Key};
use crate::recovery::{Recovered, RecoveryError};
use disk::{Disk, Fault, Outlet};
use memory::Memory;
use purges::{Purges, group_slot};
use std::rc::Rc;
use std::time::Duration;

/// Where an own copy is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    Memory,
    Disk,
}

/// An own copy that may be served: where it is, when it was made (Unix milliseconds), whether the asker has
/// it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Found {
    pub place: Place,
    pub made: u64,
    pub same: bool,
}

/// A part, as a request names it.
#[derive(Clone, Copy, Debug)]
pub struct Part<'a> {
    pub object: &'a [u8],
    pub part: u64,
    pub group: u64,
}

impl Part<'_> {
    fn keys(&self) -> (Key, Key) {
        let object = key::object(self.object);
        (object, key::part(object, self.part))
    }
}

/// What happened so far in memory, for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    pub kept: u64,
    pub not_kept: u64,
    pub left: u64,
    pub gave_way: u64,
    pub purges: u64,
    pub outdated: u64,
    pub hits: u64,
    pub hit_bytes: u64,
}

/// A router's own copies: a memory tier, and a disk tier behind it where one is wanted.
pub struct Store {
    memory: Memory,
    disk: Option<Disk>,
    purges: Purges,
    counts: Counts,
    /// What had to leave memory, until it has been offered to the disk.
    left: Vec<(Rc<Copy>, u8)>,
}

impl Store {
    /// Holds so many bytes in memory at the most.
    pub fn new(memory_most: u64, disk: Option<Disk>) -> Store {
        let (memory, counts) = (Memory::new(memory_most), Counts::default());
        Store {
            memory,
            disk,
            purges: Purges::default(),
            counts,
            left: Vec::new(),
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

    /// The own copy of a part; `have`: the tag of the copy that the asker holds.
    pub fn find(&mut self, part: Part, have: Option<&[u8]>) -> Option<Found> {
        let (object, key) = part.keys();
        let have = have.filter(|tag| !tag.is_empty());
        if let Some(copy) = self
            .memory
            .peek(key)
            .filter(|copy| self.is_good(copy, part, object))
        {
            let same = have.is_some_and(|tag| *tag == *copy.tag);
            return Some(Found {
                place: Place::Memory,
                made: copy.made,
                same,
            });
        }
        let spot = self
            .disk
            .as_mut()?
            .find(key, object, group_slot(part.group), &self.purges)?;
        let same = have.is_some_and(|tag| tag_hash(tag) == spot.tag);
        Some(Found {
            place: Place::Disk,
            made: spot.made,
            same,
        })
    }

    /// Takes the copy in memory for an answer.
    pub fn take(&mut self, now: Duration, part: Part) -> Option<Rc<Copy>> {
        let (object, key) = part.keys();
        let copy = self
            .memory
            .take(key)
            .filter(|copy| self.is_good(copy, part, object))?;
        self.counts.hits += 1;
        self.counts.hit_bytes += copy.body.len() as u64;
        if let Some(disk) = &mut self.disk {
            disk.sighted(now, object, part.part);
        }
        Some(copy)
    }

    /// Reads the copy on disk for an answer, which comes through `Outlet::fetched`. None: the disk does not
    /// take it.
    pub fn fetch(&mut self, now: Duration, part: Part, out: &mut dyn Outlet) -> Option<u64> {
        let (object, key) = part.keys();
        let disk = self.disk.as_mut()?;
        let group = group_slot(part.group);
        let spot = disk.find(key, object, group, &self.purges)?;
        disk.sighted(now, object, part.part);
        disk.fetch(key, spot, part.object, part.part, group, out)
    }

    /// Of the part that is asked for, and no purge of it was told since it was made (rule 5).
    fn is_good(&self, copy: &Copy, part: Part, object: Key) -> bool {
        *copy.object == *part.object
            && copy.part == part.part
            && self
                .purges
                .survives(object, group_slot(copy.group), copy.made)
            && self
                .purges
                .survives(object, group_slot(part.group), copy.made)
    }

    /// Keeps a copy at a rank from 1 to 3, unless it is older than a purge or than the one that is held.
    pub fn keep(&mut self, now: Duration, copy: Copy, rank: u8, out: &mut dyn Outlet) {
        let object = key::object(&copy.object);
        let key = key::part(object, copy.part);
        if !self
            .purges
            .survives(object, group_slot(copy.group), copy.made)
        {
            self.counts.outdated += 1;
            return;
        }
        let on_disk = self
            .disk
            .as_ref()
            .and_then(|disk| disk.index().get(key))
            .map(|spot| (spot.made, spot.tag));
        let in_memory = self
            .memory
            .peek(key)
            .filter(|held| held.object == copy.object);
        let held = in_memory
            .map(|held| (held.made, tag_hash(&held.tag)))
            .or(on_disk);
        if let Some((made, tag)) = held {
            if made > copy.made {
                self.counts.outdated += 1;
                return self.rank(
                    Part {
                        object: &copy.object,
                        part: copy.part,
                        group: copy.group,
                    },
                    rank,
                );
            }
            if tag != tag_hash(&copy.tag) && copy.in_parts {
                // The object has changed: of its other parts, what was made before belongs to the older
                // version.
                let marks = self.purges.object(object, copy.made.saturating_sub(1));
                self.mark(marks, out);
            }
        }
        if let Some(disk) = &mut self.disk {
            disk.proven(key, &copy.tag, copy.made);
            disk.sighted(now, object, copy.part);
        }
        self.put(now, key, Rc::new(copy), rank);
    }

    fn put(&mut self, now: Duration, key: Key, copy: Rc<Copy>, rank: u8) {
        let (left, counts) = (&mut self.left, &mut self.counts);
        let kept = self
            .memory
            .keep(key, copy.clone(), rank, &mut |copy, rank| {
                left.push((copy, rank))
            });
        if kept {
            counts.kept += 1;
        } else {
            counts.not_kept += 1;
            left.push((copy, rank));
        }
        counts.left += left.len() as u64;
        self.demote(now);
    }

    /// Offers to the disk what memory had no place for.
    fn demote(&mut self, now: Duration) {
        let left = std::mem::take(&mut self.left);
        if let Some(disk) = &mut self.disk {
            left.into_iter()
                .for_each(|(copy, rank)| disk.demote(now, copy, rank));
        }
    }

    /// A further sighting sets the rank of what is held anew.
    pub fn rank(&mut self, part: Part, rank: u8) {
        let (_, key) = part.keys();
        self.memory.rank(key, rank);
        if let Some(disk) = &mut self.disk {
            disk.rank(key, rank);
        }
    }

    /// An object, or none: a group, was purged at this Unix millisecond.
    pub fn purge(&mut self, object: Option<&[u8]>, group: u64, ms: u64, out: &mut dyn Outlet) {
        self.counts.purges += 1;
        let marks = match object {
            Some(object) => self.purges.object(key::object(object), ms),
            None => [Some(self.purges.group(group, ms)), None],
        };
        self.mark(marks, out);
    }

    fn mark(&mut self, marks: [Option<purges::Mark>; 2], out: &mut dyn Outlet) {
        if let Some(disk) = &mut self.disk {
            disk.purged(marks.into_iter().flatten(), out);
        }
    }

    /// Gives way in memory until no more than so many bytes are held there. What leaves is not offered to the
    /// disk: it would take memory again while it waits.
    pub fn give_way(&mut self, to: u64) {
        let gave_way = &mut self.counts.gave_way;
        self.memory.shrink(to, &mut |_, _| *gave_way += 1);
    }

    /// Bytes of memory that copies and tables take.
    pub fn bytes(&self) -> u64 {
        self.memory.bytes() + self.disk.as_ref().map_or(0, Disk::bytes)
    }

    // ---- How orders ended

    pub fn opened(&mut self, known: &Known, segments: Vec<u32>, out: &mut dyn Outlet) {
        if let Some(disk) = &mut self.disk {
            disk.opened(known, segments, &mut self.purges, out);
        }
    }

    pub fn recovered(
        &mut self,
        now: Duration,
        segment: u32,
        result: Result<Recovered, RecoveryError>,
        out: &mut dyn Outlet,
    ) {
        if let Some(disk) = &mut self.disk {
            disk.recovered(now, segment, result, &self.purges, out);
        }
    }

    pub fn read(
        &mut self,
        now: Duration,
        ticket: u64,
        result: Result<(Copy, u8), Fault>,
        out: &mut dyn Outlet,
    ) {
        let Some(disk) = &mut self.disk else { return };
        if let Some((copy, rank)) = disk.read(now, ticket, result, &self.purges, out) {
            let key = key::part(key::object(&copy.object), copy.part);
            self.put(now, key, copy, rank);
        }
    }

    pub fn listed(
        &mut self,
        now: Duration,
        segment: u32,
        result: Result<Vec<Entry>, Fault>,
        out: &mut dyn Outlet,
    ) {
        if let Some(disk) = &mut self.disk {
            disk.listed(now, segment, result, &self.purges, out);
        }
    }

    pub fn appended(
        &mut self,
        now: Duration,
        ticket: u64,
        result: Result<(), Fault>,
        out: &mut dyn Outlet,
    ) {
        if let Some(disk) = &mut self.disk {
            disk.appended(now, ticket, result, &self.purges, out);
        }
    }

    pub fn synced(
        &mut self,
        now: Duration,
        segment: u32,
        up_to: u32,
        result: Result<(), Fault>,
        out: &mut dyn Outlet,
    ) {
        if let Some(disk) = &mut self.disk {
            disk.synced(now, segment, up_to, result, out);
        }
    }

    pub fn sealed(
        &mut self,
        now: Duration,
        segment: u32,
        up_to: u32,
        result: Result<(), Fault>,
        out: &mut dyn Outlet,
    ) {
        if let Some(disk) = &mut self.disk {
            disk.sealed(now, segment, up_to, result, out);
        }
    }

    pub fn removed(
        &mut self,
        now: Duration,
        segment: u32,
        result: Result<(), Fault>,
        out: &mut dyn Outlet,
    ) {
        if let Some(disk) = &mut self.disk {
            disk.removed(now, segment, result, out);
        }
    }

    pub fn marked(&mut self, result: Result<(), Fault>, out: &mut dyn Outlet) {
        if let Some(disk) = &mut self.disk {
            disk.marked(result, out);
        }
    }

    /// Whatever is due.
    pub fn tick(&mut self, now: Duration, out: &mut dyn Outlet) {
        let memory = &self.memory;
        if let Some(disk) = &mut self.disk {
            disk.tick(now, &self.purges, &|key| memory.peek(key).is_some(), out);
        }
    }

    /// The source of a copy says that it still holds, as of a copy made at `made`.
    pub fn proven(&mut self, part: Part, tag: &[u8], made: u64) {
        if let Some(disk) = &mut self.disk {
            disk.proven(part.keys().1, tag, made);
        }
    }

    /// It does not, or could not be asked.
    pub fn disproven(&mut self, part: Part, out: &mut dyn Outlet) {
        if let Some(disk) = &mut self.disk {
            disk.disproven(part.keys().1, out);
        }
    }
}

#[cfg(test)]
mod tests;
