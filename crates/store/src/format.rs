//! Segments and records as they lie on disk. Pure: bytes in, bytes out; nothing read is trusted.
//!
//! A segment is a head, records one after the other, and, once sealed, a footer that lists them. All numbers
//! are little-endian; records and footer begin at multiples of 8. Each checksum starts from the store's
//! number, the segment's and the place in it, so bytes that belong elsewhere never pass.

use crate::copy::Copy;
use crate::decide::purges::group_slot;
use crate::key::{self, Key};
use bytes::Bytes;
use std::fmt;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The version that this program writes. Another one is refused and left as it is.
pub const VERSION: u32 = 1;
pub const SEGMENT_HEAD: usize = 64;
pub const RECORD_HEAD_LEAST: usize = 72;
/// The longest head: three texts of 255 bytes each.
pub const RECORD_HEAD_MOST: usize = RECORD_HEAD_LEAST + 3 * 255 + 8;
/// No body is longer.
pub const BODY_MOST: usize = 64 << 20;
pub const ENTRY: usize = 40;
pub const TRAILER: usize = 40;
const SEGMENT_MAGIC: &[u8; 8] = b"CHSEGMNT";
const RECORD_MAGIC: &[u8; 4] = b"CHRC";
const FOOTER_MAGIC: &[u8; 8] = b"CHFOOTER";

/// Why something read is not what it should be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Wrong {
    /// It ends before it should, as a write that was torn does.
    Short,
    /// A checksum, a mark or a length does not fit.
    Damaged,
    /// Written by a program of another version.
    Version(u32),
    /// Whole, but of another part than was asked for.
    Other,
}

impl fmt::Display for Wrong {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Wrong::Short => f.write_str("ends too soon"),
            Wrong::Damaged => f.write_str("damaged"),
            Wrong::Version(found) => {
                write!(f, "of format version {found}, this program reads {VERSION}")
            }
            Wrong::Other => f.write_str("of another part"),
        }
    }
}

impl std::error::Error for Wrong {}

/// Where something lies: the seed of its checksums.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    pub store: u64,
    pub segment: u32,
    pub at: u32,
}

impl Place {
    fn seed(self) -> u64 {
        self.store ^ (u64::from(self.segment) << 32 | u64::from(self.at)).rotate_left(17)
    }
}

pub fn padded(length: usize) -> usize {
    length.next_multiple_of(8)
}

/// The head of a segment: of which store, which number, which size group.
pub fn segment_head(store: u64, segment: u32, class: u32) -> [u8; SEGMENT_HEAD] {
    let mut head = [0; SEGMENT_HEAD];
    head[..8].copy_from_slice(SEGMENT_MAGIC);
    head[8..12].copy_from_slice(&VERSION.to_le_bytes());
    head[12..16].copy_from_slice(&segment.to_le_bytes());
    head[16..24].copy_from_slice(&store.to_le_bytes());
    head[24..28].copy_from_slice(&class.to_le_bytes());
    let sum = xxh3_64_with_seed(&head[..56], store);
    head[56..].copy_from_slice(&sum.to_le_bytes());
    head
}

/// The size group in a segment's head. The version goes first: of another one nothing else is known.
pub fn read_segment_head(bytes: &[u8], store: u64, segment: u32) -> Result<u32, Wrong> {
    let head = bytes.get(..SEGMENT_HEAD).ok_or(Wrong::Short)?;
    let version = u32_at(head, 8);
    if &head[..8] == SEGMENT_MAGIC && version != VERSION {
        return Err(Wrong::Version(version));
    }
    let sound = &head[..8] == SEGMENT_MAGIC
        && u64_at(head, 56) == xxh3_64_with_seed(&head[..56], store)
        && u64_at(head, 16) == store
        && u32_at(head, 12) == segment;
    if sound {
        Ok(u32_at(head, 24))
    } else {
        Err(Wrong::Damaged)
    }
}

/// What a record's head says of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Head {
    /// Of the head and of the body; the record takes both, padded.
    pub length: usize,
    pub body: usize,
    pub rank: u8,
    /// The copy without its body.
    pub copy: Copy,
    body_sum: u64,
}

impl Head {
    pub fn record(&self) -> usize {
        self.length + padded(self.body)
    }

    /// The body's checksum is right.
    pub fn vouches_for(&self, body: &[u8], place: Place) -> bool {
        body.len() == self.body && xxh3_64_with_seed(body, place.seed()) == self.body_sum
    }

    pub fn entry(&self, at: u32) -> Entry {
        let object = key::object(&self.copy.object);
        Entry {
            key: key::part(object, self.copy.part),
            object,
            at,
            length: self.record() as u32,
            made: self.copy.made,
            group: group_slot(self.copy.group) as u16,
            rank: self.rank,
            tag: tag_sum(&self.copy.tag),
        }
    }
}

/// A short sum of a tag, by which versions are told apart without it.
pub fn tag_sum(tag: &[u8]) -> u32 {
    xxh3_64_with_seed(tag, 0) as u32
}

/// How long the record of a copy is.
pub fn record_length(copy: &Copy) -> usize {
    head_length(copy) + padded(copy.body.len())
}

fn head_length(copy: &Copy) -> usize {
    RECORD_HEAD_LEAST + padded(copy.object.len() + copy.tag.len() + copy.class.len())
}

/// A copy whose texts or body are too long for a record cannot be written.
pub fn fits(copy: &Copy) -> bool {
    let texts = [&copy.object, &copy.tag, &copy.class];
    texts.iter().all(|text| text.len() <= 255) && copy.body.len() <= BODY_MOST
}

/// Appends the record of a copy, as it stands at this place.
pub fn write_record(out: &mut Vec<u8>, copy: &Copy, rank: u8, place: Place) {
    debug_assert!(fits(copy) && place.at.is_multiple_of(8));
    let (start, length) = (out.len(), head_length(copy));
    out.extend_from_slice(RECORD_MAGIC);
    out.extend_from_slice(&(length as u16).to_le_bytes());
    out.extend_from_slice(&[rank, u8::from(copy.in_parts)]);
    out.extend_from_slice(&(copy.body.len() as u32).to_le_bytes());
    let texts = [&copy.object, &copy.tag, &copy.class];
    out.extend(texts.iter().map(|text| text.len() as u8));
    out.push(0);
    for number in [
        copy.part,
        copy.group,
        copy.made,
        copy.fresh,
        copy.kb.to_bits(),
    ] {
        out.extend_from_slice(&number.to_le_bytes());
    }
    out.extend_from_slice(&xxh3_64_with_seed(&copy.body, place.seed()).to_le_bytes());
    texts.iter().for_each(|text| out.extend_from_slice(text));
    out.resize(start + length - 8, 0);
    let sum = xxh3_64_with_seed(&out[start..], place.seed());
    out.extend_from_slice(&sum.to_le_bytes());
    out.extend_from_slice(&copy.body);
    out.resize(start + length + padded(copy.body.len()), 0);
}

/// Reads a record's head from bytes that begin at this place and may end anywhere.
pub fn read_head(bytes: &[u8], place: Place) -> Result<Head, Wrong> {
    let fixed = bytes.get(..RECORD_HEAD_LEAST).ok_or(Wrong::Short)?;
    if &fixed[..4] != RECORD_MAGIC {
        return Err(Wrong::Damaged);
    }
    let length = u16::from_le_bytes([fixed[4], fixed[5]]) as usize;
    let texts = [12, 13, 14].map(|at| fixed[at] as usize);
    if length != RECORD_HEAD_LEAST + padded(texts.iter().sum()) {
        return Err(Wrong::Damaged);
    }
    let head = bytes.get(..length).ok_or(Wrong::Short)?;
    let body = u32_at(head, 8) as usize;
    let kb = f64::from_bits(u64_at(head, 48));
    if u64_at(head, length - 8) != xxh3_64_with_seed(&head[..length - 8], place.seed())
        || body > BODY_MOST
        || !kb.is_finite()
    {
        return Err(Wrong::Damaged);
    }
    let mut at = 64;
    let [object, tag, class] = texts.map(|length| {
        at += length;
        Bytes::copy_from_slice(&head[at - length..at])
    });
    let [part, group, made, fresh] = [16, 24, 32, 40].map(|at| u64_at(head, at));
    let (in_parts, body_none) = (head[7] & 1 == 1, Bytes::new());
    let copy = Copy {
        object,
        part,
        group,
        class,
        made,
        fresh,
        kb,
        in_parts,
        tag,
        body: body_none,
    };
    Ok(Head {
        length,
        body,
        rank: head[6],
        copy,
        body_sum: u64_at(head, 56),
    })
}

/// Reads a whole record. The body is a part of `bytes`: nothing is copied.
pub fn read_record(bytes: &Bytes, place: Place) -> Result<(Copy, u8), Wrong> {
    let head = read_head(bytes, place)?;
    if bytes.len() < head.length + head.body {
        return Err(Wrong::Short);
    }
    let body = bytes.slice(head.length..head.length + head.body);
    if !head.vouches_for(&body, place) {
        return Err(Wrong::Damaged);
    }
    Ok((Copy { body, ..head.copy }, head.rank))
}

/// The next place at or after `from` where a record's mark stands: past damage, that is where reading goes
/// on.
pub fn next_mark(bytes: &[u8], from: usize) -> Option<usize> {
    let from = from.next_multiple_of(8);
    (from..bytes.len().saturating_sub(3))
        .step_by(8)
        .find(|at| &bytes[*at..*at + 4] == RECORD_MAGIC)
}

/// One record, as the footer of its segment lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    pub key: Key,
    pub object: Key,
    pub at: u32,
    /// Of the whole record.
    pub length: u32,
    pub made: u64,
    /// The slot of its group.
    pub group: u16,
    pub rank: u8,
    pub tag: u32,
}

/// The footer of a segment whose records end at `at`.
pub fn footer(entries: &[Entry], store: u64, segment: u32, at: u32) -> Vec<u8> {
    let mut out = Vec::with_capacity(entries.len() * ENTRY + TRAILER);
    for entry in entries {
        out.extend_from_slice(&entry.key.to_le_bytes());
        out.extend_from_slice(&entry.object.to_le_bytes());
        out.extend_from_slice(&entry.made.to_le_bytes());
        out.extend_from_slice(&entry.at.to_le_bytes());
        out.extend_from_slice(&entry.length.to_le_bytes());
        out.extend_from_slice(&entry.tag.to_le_bytes());
        out.extend_from_slice(&entry.group.to_le_bytes());
        out.extend_from_slice(&[entry.rank, 0]);
    }
    out.extend_from_slice(FOOTER_MAGIC);
    out.extend_from_slice(&at.to_le_bytes());
    out.extend_from_slice(&(entries.len() as u32).to_le_bytes());
    out.extend_from_slice(&VERSION.to_le_bytes());
    out.extend_from_slice(&[0; 12]);
    let sum = xxh3_64_with_seed(&out, Place { store, segment, at }.seed());
    out.extend_from_slice(&sum.to_le_bytes());
    out
}

/// Where the footer begins and how long it is, by the last bytes of a segment `length` long; none: not
/// sealed.
pub fn footer_span(trailer: &[u8], length: u64) -> Option<(u32, usize)> {
    let trailer = trailer.get(..TRAILER).filter(|t| &t[..8] == FOOTER_MAGIC)?;
    let (at, count) = (u32_at(trailer, 8), u32_at(trailer, 12) as usize);
    let span = count.checked_mul(ENTRY)?.checked_add(TRAILER)?;
    (u64::from(at) + span as u64 == length).then_some((at, span))
}

/// Reads a footer that begins at `at`.
pub fn read_footer(bytes: &[u8], store: u64, segment: u32, at: u32) -> Result<Vec<Entry>, Wrong> {
    let (Some(end), true) = (bytes.len().checked_sub(8), bytes.len() >= TRAILER) else {
        return Err(Wrong::Short);
    };
    let listed = &bytes[..bytes.len() - TRAILER];
    let whole = listed.len().is_multiple_of(ENTRY)
        && footer_span(&bytes[listed.len()..], u64::from(at) + bytes.len() as u64).is_some()
        && u64_at(bytes, end)
            == xxh3_64_with_seed(&bytes[..end], Place { store, segment, at }.seed());
    if !whole {
        return Err(Wrong::Damaged);
    }
    let entries = listed.chunks_exact(ENTRY).map(|e| Entry {
        key: u64_at(e, 0),
        object: u64_at(e, 8),
        made: u64_at(e, 16),
        at: u32_at(e, 24),
        length: u32_at(e, 28),
        tag: u32_at(e, 32),
        group: u16::from_le_bytes([e[36], e[37]]),
        rank: e[38],
    });
    Ok(entries.collect())
}

/// Callers have checked that the bytes are there.
fn u32_at(bytes: &[u8], at: usize) -> u32 {
    u32::from_le_bytes(std::array::from_fn(|n| bytes[at + n]))
}

fn u64_at(bytes: &[u8], at: usize) -> u64 {
    u64::from_le_bytes(std::array::from_fn(|n| bytes[at + n]))
}

#[cfg(test)]
mod tests;
