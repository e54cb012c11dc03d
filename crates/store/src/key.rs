//! How parts and objects are known inside a store: by hash. What a hash leads to is checked by name before it
//! is served, so two that meet cost a copy, or a purge too many, and no more.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// A hash of an object or of one of its parts.
pub type Key = u64;

pub fn object(object: &[u8]) -> Key {
    xxh3_64(object)
}

/// The key of one part, from that of its object.
pub fn part(object: Key, part: u64) -> Key {
    xxh3_64_with_seed(&part.to_le_bytes(), object)
}

/// One of `slots` for a key.
pub fn slot(key: Key, slots: usize) -> usize {
    ((u128::from(key) * slots as u128) >> 64) as usize
}
