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
        Copies { ranks: std::array::from_fn(|_| LruCache::unbounded()), kb: 0.0, most }
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
        let out_of_reach: f64 = self.ranks[rank + 1..].iter().flat_map(|r| r.iter()).map(|(_, c)| c.kb).sum();
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
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn copy(kb: f64) -> Copy {
        Copy { kb, made: 1 }
    }

    #[test]
    fn a_low_rank_never_pushes_out_a_higher_one() {
        let mut copies = Copies::new(30.0);
        assert!(copies.keep((1, 0), 3, copy(10.0)) && copies.keep((2, 0), 1, copy(10.0)));
        assert!(copies.keep((3, 0), 1, copy(10.0)) && copies.hit(&(2, 0), 0).is_some());
        assert!(copies.keep((4, 0), 1, copy(10.0)), "the one of rank 1 that was used longest ago goes");
        assert!(copies.peek(&(3, 0)).is_none() && copies.peek(&(2, 0)).is_some());
        assert!(!copies.keep((5, 0), 1, copy(25.0)), "rank 3 holds 10 of 30");
        assert!(copies.peek(&(1, 0)).is_some());
        assert!(copies.hit(&(1, 0), 1).is_some() && copies.keep((5, 0), 1, copy(25.0)), "it is rank 1 now");
    }

    proptest! {
        #[test]
        fn bytes_are_counted_and_bounded(
            ops in prop::collection::vec((0u64..20, 0usize..4, 0.5f64..12.0), 1..200),
        ) {
            let mut copies = Copies::new(40.0);
            for (key, rank, kb) in ops {
                copies.keep((key, 0), rank, copy(kb));
                copies.hit(&(key / 2, 0), rank);
                let held: f64 = copies.ranks.iter().flat_map(|r| r.iter()).map(|(_, c)| c.kb).sum();
                prop_assert!((held - copies.kb()).abs() < 1e-6 && held <= 40.0 + 1e-6);
            }
        }
    }
}
