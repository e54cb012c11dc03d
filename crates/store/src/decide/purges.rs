//! What was purged, and when: for ever, in bounded memory.
//!
//! The latest purges of single objects stand one by one. Older ones are folded into a table by hash, where a
//! purge takes along whatever falls into its slot: a copy too many is dropped, never one too few kept.

use crate::key::{self, Key};
use lru::LruCache;
use std::num::NonZeroUsize;

/// Single objects remembered one by one; at a purge a second, over an hour's.
const EXACT: NonZeroUsize = NonZeroUsize::new(4096).unwrap();
/// Slots of the table of older ones, and of groups: two groups in one slot are purged together.
pub const SLOTS: usize = 65_536;
pub const GROUPS: usize = 1024;

/// What has to be written down for a purge to outlive the program. Times are Unix milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mark {
    Object(Key, u64),
    /// No longer one by one: it stands in its slot.
    Folded(Key, usize, u64),
    Group(usize, u64),
}

pub struct Purges {
    exact: LruCache<Key, u64>,
    folded: Vec<u64>,
    groups: Vec<u64>,
}

impl Default for Purges {
    fn default() -> Purges {
        Purges {
            exact: LruCache::new(EXACT),
            folded: vec![0; SLOTS],
            groups: vec![0; GROUPS],
        }
    }
}

impl Purges {
    /// A purge of an object, told or read back. Returns what is to be written down.
    pub fn object(&mut self, object: Key, ms: u64) -> [Option<Mark>; 2] {
        let latest = self.exact.get(&object).copied().unwrap_or(0).max(ms);
        let pushed = self
            .exact
            .push(object, latest)
            .filter(|(old, _)| *old != object);
        let folded = pushed.map(|(old, at)| {
            let slot = key::slot(old, SLOTS);
            self.folded[slot] = self.folded[slot].max(at);
            Mark::Folded(old, slot, self.folded[slot])
        });
        [Some(Mark::Object(object, latest)), folded]
    }

    pub fn group(&mut self, group: u64, ms: u64) -> Mark {
        let slot = group_slot(group);
        self.groups[slot] = self.groups[slot].max(ms);
        Mark::Group(slot, self.groups[slot])
    }

    /// A mark read back from an earlier life.
    pub fn restore(&mut self, mark: Mark) {
        match mark {
            Mark::Object(object, ms) => {
                self.object(object, ms);
            }
            Mark::Folded(_, slot, ms) => {
                let at = &mut self.folded[slot % SLOTS];
                *at = ms.max(*at);
            }
            Mark::Group(slot, ms) => {
                let at = &mut self.groups[slot % GROUPS];
                *at = ms.max(*at);
            }
        }
    }

    /// The last purge that may concern a copy of this object, in the slot of its group; 0: none.
    pub fn last(&self, object: Key, group_slot: usize) -> u64 {
        let exact = self.exact.peek(&object).copied().unwrap_or(0);
        exact
            .max(self.folded[key::slot(object, SLOTS)])
            .max(self.groups[group_slot % GROUPS])
    }

    /// Rule 5: a copy made in the very millisecond of a purge may be the one that was purged.
    pub fn survives(&self, object: Key, group_slot: usize, made: u64) -> bool {
        made > self.last(object, group_slot)
    }
}

pub fn group_slot(group: u64) -> usize {
    (group % GROUPS as u64) as usize
}

#[cfg(test)]
mod tests;
