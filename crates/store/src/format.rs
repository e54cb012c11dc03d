//! The on-disk format of segments and records: encoding and decoding without I/O. Input is not trusted.
//!
//! A segment consists of a header, records one after the other, and, once sealed, a footer that lists them.
//! All numbers are little-endian; records and the footer start at multiples of 8. Each checksum is seeded with
//! the store's ID, the segment's number and the offset in the segment, so misplaced bytes never verify.

use crate::copy::Copy;
use crate::decide::purges::group_slot;
use crate::key::{self, Key};
use bytes::Bytes;
use std::fmt;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The format version that this program writes. Segments of other versions are rejected and left unchanged.
pub const FORMAT_VERSION: u32 = 1;
pub const SEGMENT_HEADER_LEN: usize = 64;
pub const MIN_RECORD_HEADER_LEN: usize = 72;
/// The header of a record with three texts of 255 bytes each.
pub const MAX_RECORD_HEADER_LEN: usize = MIN_RECORD_HEADER_LEN + 3 * 255 + 8;
pub const MAX_BODY_LEN: usize = 64 << 20;
pub const FOOTER_ENTRY_LEN: usize = 40;
pub const FOOTER_TRAILER_LEN: usize = 40;
const SEGMENT_MAGIC: &[u8; 8] = b"CHSEGMNT";
const RECORD_MAGIC: &[u8; 4] = b"CHRC";
const FOOTER_MAGIC: &[u8; 8] = b"CHFOOTER";

/// Why bytes read from disk cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FormatError {
    /// The input ends too early, as after a torn write.
    Truncated,
    /// A checksum, magic number or length does not match.
    Damaged,
    /// Written in another format version.
    UnsupportedVersion(u32),
    /// Intact, but of another part than requested.
    WrongPart,
}

impl fmt::Display for FormatError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            FormatError::Truncated => f.write_str("truncated"),
            FormatError::Damaged => f.write_str("damaged"),
            FormatError::UnsupportedVersion(found) => {
                write!(
                    f,
                    "format version {found} is not supported; this program reads version {FORMAT_VERSION}"
                )
            }
            FormatError::WrongPart => f.write_str("record belongs to another part"),
        }
    }
}

impl std::error::Error for FormatError {}

/// The position of a record or footer on disk, which seeds its checksums.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiskAddress {
    pub store_id: u64,
    pub segment: u32,
    pub offset: u32,
}

impl DiskAddress {
    fn checksum_seed(self) -> u64 {
        self.store_id ^ (u64::from(self.segment) << 32 | u64::from(self.offset)).rotate_left(17)
    }
}

pub fn padded_len(length: usize) -> usize {
    length.next_multiple_of(8)
}

/// Encodes a segment's header: the store's ID, the segment's number and its size class.
pub fn encode_segment_header(store_id: u64, segment: u32, class: u32) -> [u8; SEGMENT_HEADER_LEN] {
    let mut header = [0; SEGMENT_HEADER_LEN];
    header[..8].copy_from_slice(SEGMENT_MAGIC);
    header[8..12].copy_from_slice(&FORMAT_VERSION.to_le_bytes());
    header[12..16].copy_from_slice(&segment.to_le_bytes());
    header[16..24].copy_from_slice(&store_id.to_le_bytes());
    header[24..28].copy_from_slice(&class.to_le_bytes());
    let sum = xxh3_64_with_seed(&header[..56], store_id);
    header[56..].copy_from_slice(&sum.to_le_bytes());
    header
}

/// Decodes a segment's header and returns its size class. The version is checked first, because the layout of
/// other versions is unknown.
pub fn decode_segment_header(
    bytes: &[u8],
    store_id: u64,
    segment: u32,
) -> Result<u32, FormatError> {
    let header = bytes
        .get(..SEGMENT_HEADER_LEN)
        .ok_or(FormatError::Truncated)?;
    let version = u32_at(header, 8);
    if &header[..8] == SEGMENT_MAGIC && version != FORMAT_VERSION {
        return Err(FormatError::UnsupportedVersion(version));
    }
    let valid = &header[..8] == SEGMENT_MAGIC
        && u64_at(header, 56) == xxh3_64_with_seed(&header[..56], store_id)
        && u64_at(header, 16) == store_id
        && u32_at(header, 12) == segment;
    if valid {
        Ok(u32_at(header, 24))
    } else {
        Err(FormatError::Damaged)
    }
}

/// A decoded record header.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordHeader {
    /// Lengths of the header and of the body; the record takes both, with the body padded.
    pub header_len: usize,
    pub body_len: usize,
    pub rank: u8,
    /// The copy, without its body.
    pub copy: Copy,
    body_checksum: u64,
}

impl RecordHeader {
    pub fn record_len(&self) -> usize {
        self.header_len + padded_len(self.body_len)
    }

    /// Whether the body has the length and checksum given in the header.
    pub fn verifies_body(&self, body: &[u8], address: DiskAddress) -> bool {
        body.len() == self.body_len
            && xxh3_64_with_seed(body, address.checksum_seed()) == self.body_checksum
    }

    pub fn entry(&self, offset: u32) -> FooterEntry {
        let object = key::object(&self.copy.object);
        FooterEntry {
            key: key::part(object, self.copy.part),
            object,
            offset,
            length: self.record_len() as u32,
            created_at_ms: self.copy.created_at_ms,
            group: group_slot(self.copy.group) as u16,
            rank: self.rank,
            tag: tag_hash(&self.copy.etag),
        }
    }
}

/// A short hash of an entity tag, which distinguishes versions where the tag itself is not stored.
pub fn tag_hash(tag: &[u8]) -> u32 {
    xxh3_64_with_seed(tag, 0) as u32
}

pub fn record_len(copy: &Copy) -> usize {
    record_header_len(copy) + padded_len(copy.body.len())
}

fn record_header_len(copy: &Copy) -> usize {
    MIN_RECORD_HEADER_LEN + padded_len(copy.object.len() + copy.etag.len() + copy.class.len())
}

/// Whether a copy's texts and body are short enough for a record.
pub fn fits_in_record(copy: &Copy) -> bool {
    let texts = [&copy.object, &copy.etag, &copy.class];
    texts.iter().all(|text| text.len() <= 255) && copy.body.len() <= MAX_BODY_LEN
}

/// Appends the record of a copy, as stored at this address.
pub fn encode_record(out: &mut Vec<u8>, copy: &Copy, rank: u8, address: DiskAddress) {
    debug_assert!(fits_in_record(copy) && address.offset.is_multiple_of(8));
    let (start, length) = (out.len(), record_header_len(copy));
    out.extend_from_slice(RECORD_MAGIC);
    out.extend_from_slice(&(length as u16).to_le_bytes());
    out.extend_from_slice(&[rank, u8::from(copy.is_multipart)]);
    out.extend_from_slice(&(copy.body.len() as u32).to_le_bytes());
    let texts = [&copy.object, &copy.etag, &copy.class];
    out.extend(texts.iter().map(|text| text.len() as u8));
    out.push(0);
    for number in [
        copy.part,
        copy.group,
        copy.created_at_ms,
        copy.fresh_for_ms,
        copy.kb.to_bits(),
    ] {
        out.extend_from_slice(&number.to_le_bytes());
    }
    out.extend_from_slice(&xxh3_64_with_seed(&copy.body, address.checksum_seed()).to_le_bytes());
    texts.iter().for_each(|text| out.extend_from_slice(text));
    out.resize(start + length - 8, 0);
    let sum = xxh3_64_with_seed(&out[start..], address.checksum_seed());
    out.extend_from_slice(&sum.to_le_bytes());
    out.extend_from_slice(&copy.body);
    out.resize(start + length + padded_len(copy.body.len()), 0);
}

/// Decodes a record's header from bytes that start at this address and may end anywhere.
pub fn decode_record_header(
    bytes: &[u8],
    address: DiskAddress,
) -> Result<RecordHeader, FormatError> {
    let fixed = bytes
        .get(..MIN_RECORD_HEADER_LEN)
        .ok_or(FormatError::Truncated)?;
    if &fixed[..4] != RECORD_MAGIC {
        return Err(FormatError::Damaged);
    }
    let header_len = u16::from_le_bytes([fixed[4], fixed[5]]) as usize;
    let texts = [12, 13, 14].map(|offset| fixed[offset] as usize);
    if header_len != MIN_RECORD_HEADER_LEN + padded_len(texts.iter().sum()) {
        return Err(FormatError::Damaged);
    }
    let header = bytes.get(..header_len).ok_or(FormatError::Truncated)?;
    let body_len = u32_at(header, 8) as usize;
    let kb = f64::from_bits(u64_at(header, 48));
    if u64_at(header, header_len - 8)
        != xxh3_64_with_seed(&header[..header_len - 8], address.checksum_seed())
        || body_len > MAX_BODY_LEN
        || !kb.is_finite()
    {
        return Err(FormatError::Damaged);
    }
    let mut offset = 64;
    let [object, etag, class] = texts.map(|length| {
        offset += length;
        Bytes::copy_from_slice(&header[offset - length..offset])
    });
    let [part, group, created_at_ms, fresh_for_ms] =
        [16, 24, 32, 40].map(|offset| u64_at(header, offset));
    let (is_multipart, empty_body) = (header[7] & 1 == 1, Bytes::new());
    let copy = Copy {
        object,
        part,
        group,
        class,
        created_at_ms,
        fresh_for_ms,
        kb,
        is_multipart,
        etag,
        body: empty_body,
    };
    Ok(RecordHeader {
        header_len,
        body_len,
        rank: header[6],
        copy,
        body_checksum: u64_at(header, 56),
    })
}

/// Decodes a whole record. The returned body is a slice of `bytes`, without copying.
pub fn decode_record(bytes: &Bytes, address: DiskAddress) -> Result<(Copy, u8), FormatError> {
    let header = decode_record_header(bytes, address)?;
    if bytes.len() < header.header_len + header.body_len {
        return Err(FormatError::Truncated);
    }
    let body = bytes.slice(header.header_len..header.header_len + header.body_len);
    if !header.verifies_body(&body, address) {
        return Err(FormatError::Damaged);
    }
    Ok((
        Copy {
            body,
            ..header.copy
        },
        header.rank,
    ))
}

/// The next offset at or after `from` that holds a record's magic number. Scans resume there after damage.
pub fn find_record_magic(bytes: &[u8], from: usize) -> Option<usize> {
    let from = from.next_multiple_of(8);
    (from..bytes.len().saturating_sub(3))
        .step_by(8)
        .find(|offset| &bytes[*offset..*offset + 4] == RECORD_MAGIC)
}

/// A record's entry in the footer of its segment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FooterEntry {
    pub key: Key,
    pub object: Key,
    pub offset: u32,
    /// The length of the whole record.
    pub length: u32,
    pub created_at_ms: u64,
    /// The slot of its group in the purge table.
    pub group: u16,
    pub rank: u8,
    pub tag: u32,
}

/// Encodes the footer of a segment whose records end at `offset`.
pub fn encode_footer(entries: &[FooterEntry], store_id: u64, segment: u32, offset: u32) -> Vec<u8> {
    let mut out = Vec::with_capacity(entries.len() * FOOTER_ENTRY_LEN + FOOTER_TRAILER_LEN);
    for entry in entries {
        out.extend_from_slice(&entry.key.to_le_bytes());
        out.extend_from_slice(&entry.object.to_le_bytes());
        out.extend_from_slice(&entry.created_at_ms.to_le_bytes());
        out.extend_from_slice(&entry.offset.to_le_bytes());
        out.extend_from_slice(&entry.length.to_le_bytes());
        out.extend_from_slice(&entry.tag.to_le_bytes());
        out.extend_from_slice(&entry.group.to_le_bytes());
        out.extend_from_slice(&[entry.rank, 0]);
    }
    out.extend_from_slice(FOOTER_MAGIC);
    out.extend_from_slice(&offset.to_le_bytes());
    out.extend_from_slice(&(entries.len() as u32).to_le_bytes());
    out.extend_from_slice(&FORMAT_VERSION.to_le_bytes());
    out.extend_from_slice(&[0; 12]);
    let sum = xxh3_64_with_seed(
        &out,
        DiskAddress {
            store_id,
            segment,
            offset,
        }
        .checksum_seed(),
    );
    out.extend_from_slice(&sum.to_le_bytes());
    out
}

/// The offset and length of the footer, from the last bytes of a segment that is `length` bytes long. `None`
/// if the segment is not sealed.
pub fn locate_footer(trailer: &[u8], length: u64) -> Option<(u32, usize)> {
    let trailer = trailer
        .get(..FOOTER_TRAILER_LEN)
        .filter(|t| &t[..8] == FOOTER_MAGIC)?;
    let (offset, count) = (u32_at(trailer, 8), u32_at(trailer, 12) as usize);
    let footer_len = count
        .checked_mul(FOOTER_ENTRY_LEN)?
        .checked_add(FOOTER_TRAILER_LEN)?;
    (u64::from(offset) + footer_len as u64 == length).then_some((offset, footer_len))
}

/// Decodes a footer that starts at `offset`.
pub fn decode_footer(
    bytes: &[u8],
    store_id: u64,
    segment: u32,
    offset: u32,
) -> Result<Vec<FooterEntry>, FormatError> {
    let (Some(end), true) = (
        bytes.len().checked_sub(8),
        bytes.len() >= FOOTER_TRAILER_LEN,
    ) else {
        return Err(FormatError::Truncated);
    };
    let listed = &bytes[..bytes.len() - FOOTER_TRAILER_LEN];
    let valid = listed.len().is_multiple_of(FOOTER_ENTRY_LEN)
        && locate_footer(
            &bytes[listed.len()..],
            u64::from(offset) + bytes.len() as u64,
        )
        .is_some()
        && u64_at(bytes, end)
            == xxh3_64_with_seed(
                &bytes[..end],
                DiskAddress {
                    store_id,
                    segment,
                    offset,
                }
                .checksum_seed(),
            );
    if !valid {
        return Err(FormatError::Damaged);
    }
    let entries = listed.chunks_exact(FOOTER_ENTRY_LEN).map(|e| FooterEntry {
        key: u64_at(e, 0),
        object: u64_at(e, 8),
        created_at_ms: u64_at(e, 16),
        offset: u32_at(e, 24),
        length: u32_at(e, 28),
        tag: u32_at(e, 32),
        group: u16::from_le_bytes([e[36], e[37]]),
        rank: e[38],
    });
    Ok(entries.collect())
}

/// Panics if the bytes are missing; callers check the length first.
fn u32_at(bytes: &[u8], offset: usize) -> u32 {
    u32::from_le_bytes(std::array::from_fn(|n| bytes[offset + n]))
}

fn u64_at(bytes: &[u8], offset: usize) -> u64 {
    u64::from_le_bytes(std::array::from_fn(|n| bytes[offset + n]))
}

#[cfg(test)]
mod tests;
