//! Weighted rendezvous hashing (Thaler and Ravishankar, 1998; weights by the logarithm of a uniform
//! draw).

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// What a place draws for a key and its part, in proportion to its weight: of several the least
/// takes it, each as often as its share of all weights, and who goes moves only its own keys.
pub fn draw(place: &str, key: &str, part: u64, weight: f64) -> f64 {
    draw_seeded(name_seed(place), key, part, weight)
}

/// The part of [`draw`] that depends on the place alone.
pub fn name_seed(place: &str) -> u64 {
    xxh3_64(place.as_bytes())
}

/// [`draw`] of the place whose [`name_seed`] this is.
pub fn draw_seeded(name_seed: u64, key: &str, part: u64, weight: f64) -> f64 {
    let hash = xxh3_64_with_seed(key.as_bytes(), name_seed.wrapping_add(part));
    -((hash as f64 + 1.0) / 2f64.powi(64)).ln() / weight.max(1e-9)
}

#[cfg(test)]
mod tests;
