//! The datagrams: pure functions over bytes, both ways. Nothing from a peer is trusted: what is cut, too
//! long, of another version or out of bounds is an error as a whole.
//!
//! | bytes | what |
//! | --- | --- |
//! | 1 | 0xC1: this format |
//! | 1 | bit 0: the sender is looking for peers; all others 0 |
//! | 2 | the sender's zone |
//! | 5 each | findings, to the end: 4 bytes of a part's key (31 bits), 1 of the mark of its cache |
//!
//! Numbers have their high byte first. A cache's mark is a byte of its name's hash; 0 is none's.
//!
//! Loads go in datagrams of their own, so that a router which does not know them loses nothing else:
//!
//! | bytes | what |
//! | --- | --- |
//! | 1 | 0xC2: this format |
//! | 1 | 0 |
//! | 2 | the sender's zone |
//! | 4 each | loads, to the end: 1 byte of a cache's mark, 2 of work sent in ms, 1 of how many requests |

use xxhash_rust::xxh3::xxh3_64;

/// A datagram is no longer than this.
pub const MOST_BYTES: usize = 256;
const FORMAT: u8 = 0xC1;
const LOOKING: u8 = 1;
/// What a datagram without findings has.
pub const HEAD: usize = 4;
const FINDING: usize = 5;
/// So many findings fit.
pub const FINDINGS_MOST: usize = (MOST_BYTES - HEAD) / FINDING;
/// Keys of parts have so many bits.
pub const KEY_BITS: u32 = 31;

/// A part, and the mark of the cache that the sender found it at or told to keep it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Finding {
    pub part: u32,
    pub cache: u8,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Datagram {
    pub looking: bool,
    pub zone: u16,
    pub findings: Vec<Finding>,
}

/// What is wrong with a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Of another format, or with a bit that this one does not know.
    Format,
    /// Shorter than its head, cut within a finding, or longer than a datagram may be.
    Length,
    /// A key with too many bits, or a finding at no cache.
    Value,
}

const LOADS: u8 = 0xC2;
const LOAD: usize = 4;

/// What a router sent to a cache in its last period.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    pub cache: u8,
    /// Milliseconds at a client's pace; no more than fits are told.
    pub work_ms: u16,
    pub count: u8,
}

impl Load {
    /// Work in seconds.
    pub fn new(cache: u8, work: f64, count: f64) -> Load {
        Load {
            cache,
            work_ms: (work * 1e3) as u16,
            count: count as u8,
        }
    }

    /// In seconds.
    pub fn work(&self) -> f64 {
        f64::from(self.work_ms) / 1e3
    }
}

/// The datagram of these loads; those past what fits are left out.
pub fn encode_loads(zone: u16, loads: &[Load]) -> Vec<u8> {
    let loads = &loads[..loads.len().min((MOST_BYTES - HEAD) / LOAD)];
    let mut bytes = vec![LOADS, 0];
    bytes.extend(zone.to_be_bytes());
    for Load {
        cache,
        work_ms,
        count,
    } in loads
    {
        bytes.push(*cache);
        bytes.extend(work_ms.to_be_bytes());
        bytes.push(*count);
    }
    bytes
}

/// The zone and the loads of a datagram; none where it is not one of loads.
///
/// # Errors
/// Says what is wrong; of such a datagram nothing counts.
pub fn decode_loads(bytes: &[u8]) -> Option<Result<(u16, Vec<Load>), Fault>> {
    let [LOADS, marks, high, low, rest @ ..] = bytes else {
        return None;
    };
    if bytes.len() > MOST_BYTES || !rest.len().is_multiple_of(LOAD) {
        return Some(Err(Fault::Length));
    }
    if *marks != 0 {
        return Some(Err(Fault::Format));
    }
    let load = |l: &[u8]| Load {
        cache: l[0],
        work_ms: u16::from_be_bytes([l[1], l[2]]),
        count: l[3],
    };
    let loads: Vec<Load> = rest.chunks_exact(LOAD).map(load).collect();
    if loads.iter().any(|load| load.cache == 0) {
        return Some(Err(Fault::Value));
    }
    Some(Ok((u16::from_be_bytes([*high, *low]), loads)))
}

/// The mark of a cache, by its name; never 0.
pub fn mark(name: &str) -> u8 {
    ((xxh3_64(name.as_bytes()) >> 56) as u8).max(1)
}

impl Datagram {
    /// Findings past [`FINDINGS_MOST`] are left out.
    pub fn encode(&self) -> Vec<u8> {
        let findings = &self.findings[..self.findings.len().min(FINDINGS_MOST)];
        let mut bytes = Vec::with_capacity(HEAD + findings.len() * FINDING);
        bytes.extend([FORMAT, if self.looking { LOOKING } else { 0 }]);
        bytes.extend(self.zone.to_be_bytes());
        for finding in findings {
            bytes.extend(finding.part.to_be_bytes());
            bytes.push(finding.cache);
        }
        bytes
    }

    /// # Errors
    /// Says what is wrong; of such a datagram nothing counts.
    pub fn decode(bytes: &[u8]) -> Result<Datagram, Fault> {
        let [format, marks, high, low, rest @ ..] = bytes else {
            return Err(Fault::Length);
        };
        if bytes.len() > MOST_BYTES || rest.len() % FINDING != 0 {
            return Err(Fault::Length);
        }
        if *format != FORMAT || marks & !LOOKING != 0 {
            return Err(Fault::Format);
        }
        let finding = |f: &[u8]| Finding {
            part: u32::from_be_bytes([f[0], f[1], f[2], f[3]]),
            cache: f[4],
        };
        let findings: Vec<Finding> = rest.chunks_exact(FINDING).map(finding).collect();
        if findings
            .iter()
            .any(|f| f.part >> KEY_BITS != 0 || f.cache == 0)
        {
            return Err(Fault::Value);
        }
        Ok(Datagram {
            looking: marks & LOOKING != 0,
            zone: u16::from_be_bytes([*high, *low]),
            findings,
        })
    }
}

#[cfg(test)]
mod tests;
