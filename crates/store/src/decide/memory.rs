//! The memory tier: copies by rank, bounded in bytes with all that they take.

use crate::copy::Copy;
use crate::key::Key;
use lru::LruCache;
use std::rc::Rc;

/// Ranks are 1 to 3; 3 stays longest.
pub const RANKS: usize = 3;
/// What an entry takes beside its texts and body: itself, its node, its share of the table, what the
/// allocator adds.
const ENTRY: u64 = 368;

/// Leaves lowest rank first, within a rank what was used longest ago; a new copy never pushes out a higher
/// rank.
pub struct Memory {
    /// Bytes that may be held at the most; 0: nothing is.
    most: u64,
    bytes: u64,
    ranks: [LruCache<Key, Rc<Copy>>; RANKS],
}

/// What a copy takes in memory.
pub fn takes(copy: &Copy) -> u64 {
    ENTRY + (copy.object.len() + copy.tag.len() + copy.body.len()) as u64
}

impl Memory {
    pub fn new(most: u64) -> Memory {
        Memory {
            most,
            bytes: 0,
            ranks: std::array::from_fn(|_| LruCache::unbounded()),
        }
    }

    pub fn bytes(&self) -> u64 {
        self.bytes
    }

    pub fn most(&self) -> u64 {
        self.most
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

    /// Takes a copy for an answer: it is the one used last in its rank from now on.
    pub fn take(&mut self, key: Key) -> Option<Rc<Copy>> {
        self.ranks
            .iter_mut()
            .find_map(|rank| rank.get(&key).cloned())
    }

    /// Sets a copy's rank anew, as a further sighting gives it.
    pub fn rank(&mut self, key: Key, rank: u8) {
        let Some(copy) = self.ranks.iter_mut().find_map(|r| r.pop(&key)) else {
            return;
        };
        self.ranks[place(rank)].put(key, copy);
    }

    pub fn drop(&mut self, key: Key) -> Option<Rc<Copy>> {
        let gone = self.ranks.iter_mut().find_map(|rank| rank.pop(&key))?;
        self.bytes -= takes(&gone);
        Some(gone)
    }

    /// Keeps a copy at a rank, in place of an older one of the same part. False: there is no place for it.
    /// What had to leave is handed to `left`, with its rank.
    pub fn keep(
        &mut self,
        key: Key,
        copy: Rc<Copy>,
        rank: u8,
        left: &mut dyn FnMut(Rc<Copy>, u8),
    ) -> bool {
        self.drop(key);
        let (size, rank) = (takes(&copy), place(rank));
        // Counted before anything leaves: a copy that finds no place pushes nothing out.
        let room = || {
            let lower = self.ranks[..=rank]
                .iter()
                .flat_map(|r| r.iter().map(|(_, copy)| takes(copy)));
            let mut free = self.most.saturating_sub(self.bytes);
            free >= size
                || lower.into_iter().any(|bytes| {
                    free += bytes;
                    free >= size
                })
        };
        if size > self.most || !room() {
            return false;
        }
        self.make_room(self.most - size, rank, left);
        self.bytes += size;
        self.ranks[rank].put(key, copy);
        true
    }

    /// Gives way until no more than so many bytes are held.
    pub fn shrink(&mut self, to: u64, left: &mut dyn FnMut(Rc<Copy>, u8)) {
        self.make_room(to, RANKS - 1, left);
    }

    /// The bound from now on.
    pub fn bound(&mut self, most: u64, left: &mut dyn FnMut(Rc<Copy>, u8)) {
        self.most = most;
        self.shrink(most, left);
    }

    fn make_room(&mut self, to: u64, up_to: usize, left: &mut dyn FnMut(Rc<Copy>, u8)) {
        for at in 0..=up_to {
            while self.bytes > to {
                let Some((_, gone)) = self.ranks[at].pop_lru() else {
                    break;
                };
                self.bytes -= takes(&gone);
                left(gone, at as u8 + 1);
            }
        }
        debug_assert!(up_to < RANKS - 1 || self.bytes <= to);
    }
}

fn place(rank: u8) -> usize {
    usize::from(rank.clamp(1, RANKS as u8)) - 1
}

#[cfg(test)]
mod tests;
