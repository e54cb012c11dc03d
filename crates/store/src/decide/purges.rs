//! All purges ever received, in bounded memory.
//!
//! The latest purges of objects are kept exactly. Older ones are folded into a hash table, where a purge
//! applies to every object in its slot: this may drop more copies than were purged, but never fewer.

use crate::key::{self, Key};
use lru::LruCache;
use std::num::NonZeroUsize;

/// Objects whose purges are kept exactly. At one purge a second this covers more than an hour.
const MAX_EXACT: NonZeroUsize = NonZeroUsize::new(4096).unwrap();
/// Slots of the table of older purges.
pub const FOLDED_SLOTS: usize = 65_536;
/// Slots of groups; groups that share a slot are purged together.
pub const GROUP_SLOTS: usize = 1024;

/// A catalogue entry that makes a purge durable. Times are Unix milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PurgeRecord {
    Object(Key, u64),
    /// The object's purge is no longer kept exactly, but in its slot.
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
            exact: LruCache::new(MAX_EXACT),
            folded: vec![0; FOLDED_SLOTS],
            groups: vec![0; GROUP_SLOTS],
        }
    }
}

impl Purges {
    /// Applies a purge of an object. Returns the entries to write to the catalogue.
    pub fn purge_object(&mut self, object: Key, ms: u64) -> [Option<PurgeRecord>; 2] {
        let latest = self.exact.get(&object).copied().unwrap_or(0).max(ms);
        let evicted = self
            .exact
            .push(object, latest)
            .filter(|(old, _)| *old != object);
        let folded = evicted.map(|(old, purged_at)| {
            let slot = key::slot(old, FOLDED_SLOTS);
            self.folded[slot] = self.folded[slot].max(purged_at);
            PurgeRecord::Folded(old, slot, self.folded[slot])
        });
        [Some(PurgeRecord::Object(object, latest)), folded]
    }

    pub fn purge_group(&mut self, group: u64, ms: u64) -> PurgeRecord {
        let slot = group_slot(group);
        self.groups[slot] = self.groups[slot].max(ms);
        PurgeRecord::Group(slot, self.groups[slot])
    }

    /// Applies an entry that was read from the catalogue.
    pub fn restore(&mut self, record: PurgeRecord) {
        match record {
            PurgeRecord::Object(object, ms) => {
                self.purge_object(object, ms);
            }
            PurgeRecord::Folded(_, slot, ms) => {
                let purged_at = &mut self.folded[slot % FOLDED_SLOTS];
                *purged_at = ms.max(*purged_at);
            }
            PurgeRecord::Group(slot, ms) => {
                let purged_at = &mut self.groups[slot % GROUP_SLOTS];
                *purged_at = ms.max(*purged_at);
            }
        }
    }

    /// The time of the last purge that may apply to a copy of this object, or to its group's slot; 0: none.
    pub fn last_purge_ms(&self, object: Key, group_slot: usize) -> u64 {
        let exact = self.exact.peek(&object).copied().unwrap_or(0);
        exact
            .max(self.folded[key::slot(object, FOLDED_SLOTS)])
            .max(self.groups[group_slot % GROUP_SLOTS])
    }

    /// Whether a copy made at this time is newer than every purge that may apply to it (rule 5). A copy made in
    /// the millisecond of a purge does not survive, since it may be the purged version.
    pub fn survives(&self, object: Key, group_slot: usize, created_at_ms: u64) -> bool {
        created_at_ms > self.last_purge_ms(object, group_slot)
    }
}

/// The slot of a group in the purge table.
pub fn group_slot(group: u64) -> usize {
    (group % GROUP_SLOTS as u64) as usize
}

#[cfg(test)]
mod tests;
