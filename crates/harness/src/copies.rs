//! Copies that a server holds, by rank and bytes: a new one pushes out only its own rank or lower, the lowest
//! first, in a rank what was used longest ago; else it is not kept.

use lru::LruCache;

/// An object and its part.
pub type Key = (u64, u64);

/// Ranks are 0 to 3.
pub const RANKS: usize = 4;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Copy {
    pub kb: f64,
    /// When the origin gave it out, in Unix milliseconds.
    pub made: u64,
}

pub struct Copies {
    ranks: [LruCache<Key, Copy>; RANKS],
    kb: f64,
    most: f64,
}

impl Copies {
    pub fn new(most: f64) -> Copies {
        Copies {
            ranks: std::array::from_fn(|_| LruCache::unbounded()),
            kb: 0.0,
            most,
        }
    }

    pub fn kb(&self) -> f64 {
        self.kb
    }

    fn rank_of(&self, key: &Key) -> Option<usize> {
        (0..RANKS).find(|rank| self.ranks[*rank].contains(key))
    }

    /// The copy, used now; `rank` over 0 sets its rank anew.
    pub fn hit(&mut self, key: &Key, rank: usize) -> Option<Copy> {
        let at = self.rank_of(key)?;
        if rank == 0 || rank == at {
            return self.ranks[at].get(key).copied();
        }
        let copy = self.ranks[at].pop(key)?;
        self.ranks[rank.min(RANKS - 1)].put(*key, copy);
        Some(copy)
    }

    pub fn peek(&self, key: &Key) -> Option<Copy> {
        self.ranks.iter().find_map(|rank| rank.peek(key)).copied()
    }

    /// Keeps a copy, if it may push out enough.
    pub fn keep(&mut self, key: Key, rank: usize, copy: Copy) -> bool {
        self.remove(&key);
        let rank = rank.min(RANKS - 1);
        let out_of_reach: f64 = self.ranks[rank + 1..]
            .iter()
            .flat_map(|r| r.iter())
            .map(|(_, c)| c.kb)
            .sum();
        if copy.kb + out_of_reach > self.most {
            return false;
        }
        while self.kb + copy.kb > self.most {
            let Some((_, out)) = self.ranks[..=rank].iter_mut().find_map(LruCache::pop_lru) else {
                return false;
            };
            self.kb -= out.kb;
        }
        self.kb += copy.kb;
        self.ranks[rank].put(key, copy);
        true
    }

    pub fn remove(&mut self, key: &Key) -> Option<Copy> {
        let out = self.ranks.iter_mut().find_map(|rank| rank.pop(key))?;
        self.kb -= out.kb;
        Some(out)
    }

    pub fn clear(&mut self) {
        *self = Copies::new(self.most);
    }
}

#[cfg(test)]
mod tests;
