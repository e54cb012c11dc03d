//! Hash keys of objects and parts. A copy found by its hash is compared by name before it is served, so a
//! collision costs at most a lost copy or a purge of an extra object.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The hash of an object or of one of its parts.
pub type Key = u64;

pub fn object(object: &[u8]) -> Key {
    xxh3_64(object)
}

/// The key of a part, derived from the key of its object.
pub fn part(object: Key, part: u64) -> Key {
    xxh3_64_with_seed(&part.to_le_bytes(), object)
}

/// Maps a key to one of `slots` table slots.
pub fn slot(key: Key, slots: usize) -> usize {
    ((u128::from(key) * slots as u128) >> 64) as usize
}
