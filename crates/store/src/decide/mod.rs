//! What is kept, where, and for how long. No I/O.

pub mod admission;
pub mod index;
pub mod memory;
pub mod purges;
pub mod segments;

use crate::copy::Copy;
use crate::key::{self, Key};
use memory::Memory;
use purges::{Purges, group_slot};
use std::rc::Rc;

/// Where an own copy is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    Memory,
}

/// An own copy that may be served: where it is, when it was made (Unix milliseconds), whether the asker has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Found {
    pub place: Place,
    pub made: u64,
    pub same: bool,
}

/// A part, as an access names it.
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

/// What happened so far, for operators.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub kept: u64,
    pub not_kept: u64,
    pub left: u64,
    pub gave_way: u64,
    pub purged: u64,
    pub outdated: u64,
    pub hits_memory: u64,
}

/// A router's own copies.
pub struct Store {
    memory: Memory,
    purges: Purges,
    counts: Counts,
}

impl Store {
    /// Holds so many bytes in memory at the most.
    pub fn new(memory_most: u64) -> Store {
        Store { memory: Memory::new(memory_most), purges: Purges::default(), counts: Counts::default() }
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    pub fn memory(&self) -> &Memory {
        &self.memory
    }

    /// The own copy of a part; `have`: the tag of the copy that the asker holds.
    pub fn find(&self, part: Part, have: Option<&[u8]>) -> Option<Found> {
        let (object, key) = part.keys();
        let copy = self.memory.peek(key).filter(|copy| self.is_good(copy, part, object))?;
        let same = have.is_some_and(|tag| !tag.is_empty() && *tag == *copy.tag);
        Some(Found { place: Place::Memory, made: copy.made, same })
    }

    /// Takes the copy in memory for an answer.
    pub fn take(&mut self, part: Part) -> Option<Rc<Copy>> {
        let (object, key) = part.keys();
        let copy = self.memory.take(key).filter(|copy| self.is_good(copy, part, object))?;
        self.counts.hits_memory += 1;
        Some(copy)
    }

    /// Of the part that is asked for, and no purge of it was told since it was made (rule 5).
    fn is_good(&self, copy: &Copy, part: Part, object: Key) -> bool {
        *copy.object == *part.object
            && copy.part == part.part
            && self.purges.survives(object, group_slot(copy.group), copy.made)
            && self.purges.survives(object, group_slot(part.group), copy.made)
    }

    /// Keeps a copy at a rank from 1 to 3, unless it is older than a purge or than the one that is held.
    pub fn keep(&mut self, copy: Copy, rank: u8) {
        let object = key::object(&copy.object);
        let key = key::part(object, copy.part);
        if !self.purges.survives(object, group_slot(copy.group), copy.made) {
            self.counts.outdated += 1;
            return;
        }
        if let Some(held) = self.memory.peek(key).filter(|held| held.object == copy.object) {
            if held.made > copy.made {
                self.counts.outdated += 1;
                return self.memory.rank(key, rank);
            }
            if held.tag != copy.tag && copy.in_parts {
                // The object has changed: of its other parts, what was made before belongs to the older version.
                self.purges.object(object, copy.made.saturating_sub(1));
            }
        }
        let left = &mut self.counts.left;
        let kept = self.memory.keep(key, Rc::new(copy), rank, &mut |_, _| *left += 1);
        let count = if kept { &mut self.counts.kept } else { &mut self.counts.not_kept };
        *count += 1;
    }

    /// A further sighting sets the rank of what is held anew.
    pub fn rank(&mut self, part: Part, rank: u8) {
        self.memory.rank(part.keys().1, rank);
    }

    /// An object, or none: a group, was purged at this Unix millisecond.
    pub fn purge(&mut self, object: Option<&[u8]>, group: u64, ms: u64) {
        self.counts.purged += 1;
        match object {
            Some(object) => {
                self.purges.object(key::object(object), ms);
            }
            None => {
                self.purges.group(group, ms);
            }
        }
    }

    /// Gives way in memory until no more than so many bytes are held.
    pub fn give_way(&mut self, to: u64) {
        let gave_way = &mut self.counts.gave_way;
        self.memory.shrink(to, &mut |_, _| *gave_way += 1);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use bytes::Bytes;

    const PART: Part = Part { object: b"o", part: 3, group: 17 };

    fn copy(made: u64, tag: &'static str, part: u64) -> Copy {
        let (object, tag) = (Bytes::from_static(b"o"), Bytes::from_static(tag.as_bytes()));
        let body = Bytes::from_static(b"body");
        Copy { object, part, group: 17, made, tag, body, in_parts: true, ..Copy::default() }
    }

    #[test]
    fn nothing_older_than_a_purge_is_found_or_kept() {
        let mut store = Store::new(1 << 20);
        store.keep(copy(100, "a", 3), 2);
        assert_eq!(store.find(PART, Some(b"a")).map(|f| (f.made, f.same)), Some((100, true)));
        store.purge(Some(b"o"), 0, 99);
        assert!(store.take(PART).is_some(), "made after the purge");
        store.purge(None, 17, 100);
        assert!(store.find(PART, None).is_none() && store.take(PART).is_none());
        // Under way when the purge was told.
        store.keep(copy(100, "a", 3), 2);
        assert!(store.find(PART, None).is_none());
        store.keep(copy(101, "b", 3), 2);
        assert!(store.find(PART, None).is_some_and(|f| !f.same));
        assert!(store.find(Part { part: 4, ..PART }, None).is_none());
    }

    #[test]
    fn an_object_that_changed_takes_its_older_parts_along() {
        let mut store = Store::new(1 << 20);
        store.keep(copy(100, "a", 2), 2);
        store.keep(copy(150, "a", 3), 2);
        store.keep(copy(200, "b", 3), 2);
        assert!(store.find(Part { part: 2, ..PART }, None).is_none(), "of the older version");
        assert!(store.find(PART, None).is_some());
        store.keep(copy(180, "a", 2), 2);
        assert!(store.find(Part { part: 2, ..PART }, None).is_none(), "came late");
        store.keep(copy(190, "a", 3), 2);
        assert_eq!(store.find(PART, None).map(|f| f.made), Some(200), "the newer one stays");
    }

    #[test]
    fn a_refreshed_copy_of_the_same_version_leaves_the_others() {
        let mut store = Store::new(1 << 20);
        store.keep(copy(100, "a", 2), 2);
        store.keep(copy(100, "a", 3), 2);
        store.keep(copy(200, "a", 3), 2);
        assert!(store.find(Part { part: 2, ..PART }, None).is_some());
    }
}
