//! Encoding and decoding of datagrams, as pure functions over bytes. Nothing from a peer is
//! trusted: a datagram that is truncated, too long, of another version or with values out of bounds
//! is rejected as a whole.
//!
//! | bytes | content |
//! | --- | --- |
//! | 1 | 0xC1: this format |
//! | 1 | bit 0: the sender is looking for peers; all others 0 |
//! | 2 | the sender's zone |
//! | 5 each | findings, to the end: 4 bytes of a part's key (31 bits), 1 of its cache's tag |
//!
//! Numbers are big-endian. A cache's tag is one byte of the hash of its name; 0 stands for no
//! cache.
//!
//! Loads have datagrams of their own, so that a router that does not support them still reads the findings:
//!
//! | bytes | content |
//! | --- | --- |
//! | 1 | 0xC2: this format |
//! | 1 | 0 |
//! | 2 | the sender's zone |
//! | 4 each | loads, to the end: 1 byte of a cache's tag, 2 of sent work in ms, 1 of the number of requests |

use xxhash_rust::xxh3::xxh3_64;

/// Largest size of a datagram.
pub const MAX_DATAGRAM_BYTES: usize = 256;
const FINDINGS_FORMAT: u8 = 0xC1;
const SEEKS_PEERS_FLAG: u8 = 1;
/// Size of a datagram without findings.
pub const HEADER_BYTES: usize = 4;
const FINDING_BYTES: usize = 5;
/// Findings that fit into one datagram.
pub const MAX_FINDINGS: usize = (MAX_DATAGRAM_BYTES - HEADER_BYTES) / FINDING_BYTES;
/// Bits of a part's key.
pub const KEY_BITS: u32 = 31;

/// A part, and the tag of the cache where the sender found it or had it stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Finding {
    pub part: u32,
    pub cache: u8,
}

/// A datagram of findings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Datagram {
    pub seeks_peers: bool,
    pub zone: u16,
    pub findings: Vec<Finding>,
}

/// The reason why a datagram was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecodeError {
    /// The format is unknown, or a reserved bit is set.
    UnknownFormat,
    /// Shorter than the header, truncated within a finding, or longer than a datagram may be.
    Length,
    /// A key with too many bits, or the tag 0.
    Value,
}

const LOADS_FORMAT: u8 = 0xC2;
const LOAD_BYTES: usize = 4;

/// What a router sent to a cache in its last period.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    pub cache: u8,
    /// Milliseconds at a client's rate, saturating.
    pub work_ms: u16,
    pub requests: u8,
}

impl Load {
    /// Takes the work in seconds.
    pub fn new(cache: u8, work: f64, requests: f64) -> Load {
        Load {
            cache,
            work_ms: (work * 1e3) as u16,
            requests: requests as u8,
        }
    }

    pub fn work_seconds(&self) -> f64 {
        f64::from(self.work_ms) / 1e3
    }
}

/// Encodes as many of the loads as fit.
pub fn encode_loads(zone: u16, loads: &[Load]) -> Vec<u8> {
    let loads = &loads[..loads
        .len()
        .min((MAX_DATAGRAM_BYTES - HEADER_BYTES) / LOAD_BYTES)];
    let mut bytes = vec![LOADS_FORMAT, 0];
    bytes.extend(zone.to_be_bytes());
    for Load {
        cache,
        work_ms,
        requests,
    } in loads
    {
        bytes.push(*cache);
        bytes.extend(work_ms.to_be_bytes());
        bytes.push(*requests);
    }
    bytes
}

/// The zone and the loads of a datagram; `None` if it is not one of loads.
///
/// # Errors
///
/// Returns the reason if the datagram is malformed; it is then rejected as a whole.
pub fn decode_loads(bytes: &[u8]) -> Option<Result<(u16, Vec<Load>), DecodeError>> {
    let [LOADS_FORMAT, flags, high, low, rest @ ..] = bytes else {
        return None;
    };
    if bytes.len() > MAX_DATAGRAM_BYTES || !rest.len().is_multiple_of(LOAD_BYTES) {
        return Some(Err(DecodeError::Length));
    }
    if *flags != 0 {
        return Some(Err(DecodeError::UnknownFormat));
    }
    let load = |l: &[u8]| Load {
        cache: l[0],
        work_ms: u16::from_be_bytes([l[1], l[2]]),
        requests: l[3],
    };
    let loads: Vec<Load> = rest.chunks_exact(LOAD_BYTES).map(load).collect();
    if loads.iter().any(|load| load.cache == 0) {
        return Some(Err(DecodeError::Value));
    }
    Some(Ok((u16::from_be_bytes([*high, *low]), loads)))
}

/// The tag of a cache, from its name; never 0.
pub fn cache_tag(name: &str) -> u8 {
    ((xxh3_64(name.as_bytes()) >> 56) as u8).max(1)
}

impl Datagram {
    /// Encodes the datagram with at most [`MAX_FINDINGS`] findings.
    pub fn encode(&self) -> Vec<u8> {
        let findings = &self.findings[..self.findings.len().min(MAX_FINDINGS)];
        let mut bytes = Vec::with_capacity(HEADER_BYTES + findings.len() * FINDING_BYTES);
        bytes.extend([
            FINDINGS_FORMAT,
            if self.seeks_peers {
                SEEKS_PEERS_FLAG
            } else {
                0
            },
        ]);
        bytes.extend(self.zone.to_be_bytes());
        for finding in findings {
            bytes.extend(finding.part.to_be_bytes());
            bytes.push(finding.cache);
        }
        bytes
    }

    /// Decodes a datagram of findings.
    ///
    /// # Errors
    ///
    /// Returns the reason if the datagram is malformed; it is then rejected as a whole.
    pub fn decode(bytes: &[u8]) -> Result<Datagram, DecodeError> {
        let [format, flags, high, low, rest @ ..] = bytes else {
            return Err(DecodeError::Length);
        };
        if bytes.len() > MAX_DATAGRAM_BYTES || rest.len() % FINDING_BYTES != 0 {
            return Err(DecodeError::Length);
        }
        if *format != FINDINGS_FORMAT || flags & !SEEKS_PEERS_FLAG != 0 {
            return Err(DecodeError::UnknownFormat);
        }
        let finding = |f: &[u8]| Finding {
            part: u32::from_be_bytes([f[0], f[1], f[2], f[3]]),
            cache: f[4],
        };
        let findings: Vec<Finding> = rest.chunks_exact(FINDING_BYTES).map(finding).collect();
        if findings
            .iter()
            .any(|f| f.part >> KEY_BITS != 0 || f.cache == 0)
        {
            return Err(DecodeError::Value);
        }
        Ok(Datagram {
            seeks_peers: flags & SEEKS_PEERS_FLAG != 0,
            zone: u16::from_be_bytes([*high, *low]),
            findings,
        })
    }
}

#[cfg(test)]
mod tests;
