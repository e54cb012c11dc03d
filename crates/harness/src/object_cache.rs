//! The objects that a server caches, by retention priority and size. A new object evicts only objects
//! of its own or a lower priority, lowest priority first and least recently used first within one; if
//! that does not free enough space, it is not stored.

use lru::LruCache;

/// An object and its part.
pub type Key = (u64, u64);

/// Retention priorities are 0 to 3.
pub const PRIORITIES: usize = 4;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CachedObject {
    pub kb: f64,
    /// When the origin created it, in Unix milliseconds.
    pub created_ms: u64,
}

pub struct ObjectCache {
    priorities: [LruCache<Key, CachedObject>; PRIORITIES],
    kb: f64,
    capacity_kb: f64,
}

impl ObjectCache {
    pub fn new(capacity_kb: f64) -> ObjectCache {
        ObjectCache {
            priorities: std::array::from_fn(|_| LruCache::unbounded()),
            kb: 0.0,
            capacity_kb,
        }
    }

    pub fn kb(&self) -> f64 {
        self.kb
    }

    fn priority_of(&self, key: &Key) -> Option<usize> {
        (0..PRIORITIES).find(|priority| self.priorities[*priority].contains(key))
    }

    /// Returns the copy and marks it as used; `priority` over 0 replaces its priority.
    pub fn hit(&mut self, key: &Key, priority: usize) -> Option<CachedObject> {
        let at = self.priority_of(key)?;
        if priority == 0 || priority == at {
            return self.priorities[at].get(key).copied();
        }
        let copy = self.priorities[at].pop(key)?;
        self.priorities[priority.min(PRIORITIES - 1)].put(*key, copy);
        Some(copy)
    }

    pub fn peek(&self, key: &Key) -> Option<CachedObject> {
        self.priorities
            .iter()
            .find_map(|priority| priority.peek(key))
            .copied()
    }

    /// Stores a copy if enough can be evicted for it.
    pub fn store(&mut self, key: Key, priority: usize, copy: CachedObject) -> bool {
        self.remove(&key);
        let priority = priority.min(PRIORITIES - 1);
        let protected_kb: f64 = self.priorities[priority + 1..]
            .iter()
            .flat_map(|r| r.iter())
            .map(|(_, c)| c.kb)
            .sum();
        if copy.kb + protected_kb > self.capacity_kb {
            return false;
        }
        while self.kb + copy.kb > self.capacity_kb {
            let Some((_, evicted)) = self.priorities[..=priority]
                .iter_mut()
                .find_map(LruCache::pop_lru)
            else {
                return false;
            };
            self.kb -= evicted.kb;
        }
        self.kb += copy.kb;
        self.priorities[priority].put(key, copy);
        true
    }

    pub fn remove(&mut self, key: &Key) -> Option<CachedObject> {
        let evicted = self
            .priorities
            .iter_mut()
            .find_map(|priority| priority.pop(key))?;
        self.kb -= evicted.kb;
        Some(evicted)
    }

    pub fn clear(&mut self) {
        *self = ObjectCache::new(self.capacity_kb);
    }
}

#[cfg(test)]
mod tests;
