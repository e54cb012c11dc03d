//! Parsers of the values in directives.

use std::time::Duration;

/// An amount of memory or disk, in bytes or as a share of the total.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Amount {
    Bytes(u64),
    /// From 0 to 1.
    Share(f64),
}

impl Amount {
    /// The amount in bytes, of a total of `whole` bytes.
    pub fn of(self, whole: u64) -> u64 {
        match self {
            Amount::Bytes(bytes) => bytes,
            Amount::Share(share) => (whole as f64 * share) as u64,
        }
    }
}

/// Parses a size such as `64MB`, `1.5GiB` or `4096`.
pub fn bytes(word: &str) -> Result<u64, String> {
    let found = word
        .parse::<bytesize::ByteSize>()
        .map_err(|_| format!("{word:?} is not a size, such as 64MB"))?;
    // The crate saturates on overflow.
    if found.0 == u64::MAX {
        Err(format!("{word:?} is too large"))
    } else {
        Ok(found.0)
    }
}

/// Parses a share such as `25%`, or a size.
pub fn amount(word: &str) -> Result<Amount, String> {
    match word.strip_suffix('%') {
        Some(_) => share(word).map(Amount::Share),
        None => bytes(word).map(Amount::Bytes),
    }
}

/// Parses a share such as `25%`.
pub fn share(word: &str) -> Result<f64, String> {
    let percent = word.strip_suffix('%').and_then(|p| p.parse::<f64>().ok());
    let percent = percent.filter(|p| (0.0..=100.0).contains(p));
    percent
        .map(|p| p / 100.0)
        .ok_or_else(|| format!("{word:?} is not a share from 0% to 100%"))
}

/// Parses a duration such as `250ms` or `1m30s`, without spaces.
pub fn duration(word: &str) -> Result<Duration, String> {
    if word == "0" {
        return Ok(Duration::ZERO);
    }
    let found = humantime::parse_duration(word)
        .map_err(|_| format!("{word:?} is not a duration, such as 250ms or 10m"))?;
    // Durations are added, so none may come near the maximum of the type.
    if found > Duration::from_secs(100 * 366 * 24 * 3600) {
        return Err(format!("{word:?} is too long"));
    }
    Ok(found)
}

/// Parses an integer from `lower` to `upper`.
pub fn integer(word: &str, lower: u64, upper: u64) -> Result<u64, String> {
    let found = word.parse().ok().filter(|n| (lower..=upper).contains(n));
    found.ok_or_else(|| format!("{word:?} is not an integer from {lower} to {upper}"))
}

#[cfg(test)]
mod tests;
