//! Values as operators write them.

use std::time::Duration;

/// An amount of memory or disk: bytes, or a share of what there is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Amount {
    Bytes(u64),
    /// From 0 to 1.
    Share(f64),
}

impl Amount {
    /// In bytes, of so many.
    pub fn of(self, whole: u64) -> u64 {
        match self {
            Amount::Bytes(bytes) => bytes,
            Amount::Share(share) => (whole as f64 * share) as u64,
        }
    }
}

/// `64MB`, `1.5GiB`, `4096`.
pub fn bytes(word: &str) -> Result<u64, String> {
    let found = word
        .parse::<bytesize::ByteSize>()
        .map_err(|_| format!("{word:?} is not a size, such as 64MB"))?;
    // The crate takes what it cannot hold for the most it can.
    if found.0 == u64::MAX {
        Err(format!("{word:?} is too large"))
    } else {
        Ok(found.0)
    }
}

/// `25%`, or bytes.
pub fn amount(word: &str) -> Result<Amount, String> {
    match word.strip_suffix('%') {
        Some(_) => share(word).map(Amount::Share),
        None => bytes(word).map(Amount::Bytes),
    }
}

/// `25%`.
pub fn share(word: &str) -> Result<f64, String> {
    let percent = word.strip_suffix('%').and_then(|p| p.parse::<f64>().ok());
    let percent = percent.filter(|p| (0.0..=100.0).contains(p));
    percent
        .map(|p| p / 100.0)
        .ok_or_else(|| format!("{word:?} is not a share from 0% to 100%"))
}

/// `250ms`, `1m 30s` as one word: `1m30s`.
pub fn span(word: &str) -> Result<Duration, String> {
    if word == "0" {
        return Ok(Duration::ZERO);
    }
    let found = humantime::parse_duration(word)
        .map_err(|_| format!("{word:?} is not a span, such as 250ms or 10m"))?;
    // Spans are added up: none may come near the end of what they hold.
    if found > Duration::from_secs(100 * 366 * 24 * 3600) {
        return Err(format!("{word:?} is too long"));
    }
    Ok(found)
}

/// A whole number from `least` to `most`.
pub fn whole(word: &str, least: u64, most: u64) -> Result<u64, String> {
    let found = word.parse().ok().filter(|n| (least..=most).contains(n));
    found.ok_or_else(|| format!("{word:?} is not a whole number from {least} to {most}"))
}

#[cfg(test)]
mod tests;
