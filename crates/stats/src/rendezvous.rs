//! Weighted rendezvous hashing (Thaler and Ravishankar, 1998; weights by the logarithm of a uniform
//! draw).

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The score of a node for a key and part: the node with the lowest score owns it. Each node owns a
/// share of the keys proportional to its weight, and removing a node moves only that node's keys.
pub fn rendezvous_score(node: &str, key: &str, part: u64, weight: f64) -> f64 {
    rendezvous_score_seeded(name_seed(node), key, part, weight)
}

/// The hash seed of a node's name, for [`rendezvous_score_seeded`].
pub fn name_seed(node: &str) -> u64 {
    xxh3_64(node.as_bytes())
}

/// [`rendezvous_score`] with a precomputed [`name_seed`].
pub fn rendezvous_score_seeded(name_seed: u64, key: &str, part: u64, weight: f64) -> f64 {
    let hash = xxh3_64_with_seed(key.as_bytes(), name_seed.wrapping_add(part));
    -((hash as f64 + 1.0) / 2f64.powi(64)).ln() / weight.max(1e-9)
}

#[cfg(test)]
mod tests;
