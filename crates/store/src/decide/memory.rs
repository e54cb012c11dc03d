//! The memory tier: copies by rank, bounded in bytes including overhead.

use crate::copy::Copy;
use crate::key::Key;
use lru::LruCache;
use std::rc::Rc;

/// Ranks are 1 to 3; rank 3 is evicted last.
pub const RANKS: usize = 3;
/// The memory of an entry beside its texts and body: the copy, its list node, its share of the hash table, and
/// the allocator's overhead.
const ENTRY_OVERHEAD_BYTES: u64 = 368;

/// Evicts the lowest rank first, and the least recently used copy within a rank. A new copy never evicts a
/// higher rank.
pub struct Memory {
    /// The maximum of bytes held; 0 disables the tier.
    limit: u64,
    bytes: u64,
    ranks: [LruCache<Key, Rc<Copy>>; RANKS],
}

/// The bytes of memory counted for a copy.
pub fn charged_bytes(copy: &Copy) -> u64 {
    ENTRY_OVERHEAD_BYTES + (copy.object.len() + copy.etag.len() + copy.body.len()) as u64
}

impl Memory {
    pub fn new(limit: u64) -> Memory {
        Memory {
            limit,
            bytes: 0,
            ranks: std::array::from_fn(|_| LruCache::unbounded()),
        }
    }

    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    pub fn limit(&self) -> u64 {
        self.limit
    }

    pub fn len(&self) -> usize {
        self.ranks.iter().map(LruCache::len).sum()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    pub fn peek(&self, key: Key) -> Option<&Rc<Copy>> {
        self.ranks.iter().find_map(|rank| rank.peek(&key))
    }

    /// Returns a copy for an answer and marks it as the most recently used of its rank.
    pub fn get(&mut self, key: Key) -> Option<Rc<Copy>> {
        self.ranks
            .iter_mut()
            .find_map(|rank| rank.get(&key).cloned())
    }

    /// Changes a copy's rank after another request for it.
    pub fn set_rank(&mut self, key: Key, rank: u8) {
        let Some(copy) = self.ranks.iter_mut().find_map(|r| r.pop(&key)) else {
            return;
        };
        self.ranks[rank_index(rank)].put(key, copy);
    }

    pub fn remove(&mut self, key: Key) -> Option<Rc<Copy>> {
        let removed = self.ranks.iter_mut().find_map(|rank| rank.pop(&key))?;
        self.bytes -= charged_bytes(&removed);
        Some(removed)
    }

    /// Inserts a copy with a rank, replacing an older one of the same part. Returns false if there is no room.
    /// Evicted copies are passed to `evicted`, with their ranks.
    pub fn insert(
        &mut self,
        key: Key,
        copy: Rc<Copy>,
        rank: u8,
        evicted: &mut dyn FnMut(Rc<Copy>, u8),
    ) -> bool {
        self.remove(key);
        let (size, rank) = (charged_bytes(&copy), rank_index(rank));
        // Checked before anything is evicted, so that a copy that does not fit evicts nothing.
        let room = || {
            let lower = self.ranks[..=rank]
                .iter()
                .flat_map(|r| r.iter().map(|(_, copy)| charged_bytes(copy)));
            let mut free = self.limit.saturating_sub(self.bytes);
            free >= size
                || lower.into_iter().any(|bytes| {
                    free += bytes;
                    free >= size
                })
        };
        if size > self.limit || !room() {
            return false;
        }
        self.make_room(self.limit - size, rank, evicted);
        self.bytes += size;
        self.ranks[rank].put(key, copy);
        true
    }

    /// Evicts copies until at most `to` bytes are held.
    pub fn evict_to(&mut self, to: u64, evicted: &mut dyn FnMut(Rc<Copy>, u8)) {
        self.make_room(to, RANKS - 1, evicted);
    }

    /// Changes the maximum of bytes held, evicting what exceeds it.
    pub fn set_limit(&mut self, limit: u64, evicted: &mut dyn FnMut(Rc<Copy>, u8)) {
        self.limit = limit;
        self.evict_to(limit, evicted);
    }

    fn make_room(&mut self, to: u64, up_to: usize, evicted: &mut dyn FnMut(Rc<Copy>, u8)) {
        for at in 0..=up_to {
            while self.bytes > to {
                let Some((_, removed)) = self.ranks[at].pop_lru() else {
                    break;
                };
                self.bytes -= charged_bytes(&removed);
                evicted(removed, at as u8 + 1);
            }
        }
        debug_assert!(up_to < RANKS - 1 || self.bytes <= to);
    }
}

fn rank_index(rank: u8) -> usize {
    usize::from(rank.clamp(1, RANKS as u8)) - 1
}

#[cfg(test)]
mod tests;
