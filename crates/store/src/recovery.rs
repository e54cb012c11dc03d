//! Recovers the records of segments that an earlier run wrote: from the footer if the segment was sealed,
//! otherwise by scanning record by record. Damaged, torn and misplaced records are skipped, and intact records
//! behind damage are found.

use crate::files::{File, read_exact_at};
use crate::format::{
    DiskAddress, FOOTER_TRAILER_LEN, FooterEntry, FormatError, MAX_RECORD_HEADER_LEN,
    MIN_RECORD_HEADER_LEN, SEGMENT_HEADER_LEN, decode_footer, decode_record_header,
    decode_segment_header, encode_footer, find_record_magic, locate_footer, padded_len,
};
use std::io;

/// Bytes read at once while searching for the next record.
const SCAN_WINDOW_BYTES: usize = 1 << 20;

/// The contents of a recovered segment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Recovered {
    pub class: u32,
    pub entries: Vec<FooterEntry>,
    /// Whether the segment had a valid footer, so that no scan was needed.
    pub sealed: bool,
    /// The offset at which the last intact record ends.
    pub end: u32,
    /// Damaged records or stretches of records.
    pub damaged: u64,
    /// Bytes after the last intact record.
    pub torn_bytes: u64,
}

/// Why a segment could not be recovered.
#[derive(Debug)]
pub enum RecoveryError {
    Io(io::Error),
    /// Written in another format version; the segment must not be changed.
    UnsupportedVersion(u32),
}

impl From<io::Error> for RecoveryError {
    fn from(error: io::Error) -> RecoveryError {
        RecoveryError::Io(error)
    }
}

/// Reads the records of a segment, without changing it.
pub fn recover(file: &dyn File, store_id: u64, segment: u32) -> Result<Recovered, RecoveryError> {
    let length = file.length()?;
    let header =
        read_exact_at(file, 0, SEGMENT_HEADER_LEN.min(length as usize))?.unwrap_or_default();
    let class = match decode_segment_header(&header, store_id, segment) {
        Ok(class) => class,
        Err(FormatError::UnsupportedVersion(found)) => {
            return Err(RecoveryError::UnsupportedVersion(found));
        }
        // The records have checksums of their own and are still usable.
        Err(_) => u32::MAX,
    };
    if let Some(entries) = read_footer_entries(file, store_id, segment, length)? {
        let end = entries
            .iter()
            .map(|e| e.offset + e.length)
            .max()
            .unwrap_or(SEGMENT_HEADER_LEN as u32);
        return Ok(Recovered {
            class,
            entries,
            sealed: true,
            end,
            damaged: 0,
            torn_bytes: 0,
        });
    }
    let mut found = Recovered {
        class,
        end: SEGMENT_HEADER_LEN as u32,
        ..Recovered::default()
    };
    scan_records(
        file,
        store_id,
        segment,
        length.min(u64::from(u32::MAX)),
        &mut found,
    )?;
    found.torn_bytes = length.saturating_sub(u64::from(found.end));
    Ok(found)
}

/// The entries in a segment's footer. `None` if the footer is missing or damaged.
pub fn read_footer_entries(
    file: &dyn File,
    store_id: u64,
    segment: u32,
    length: u64,
) -> io::Result<Option<Vec<FooterEntry>>> {
    if length < (SEGMENT_HEADER_LEN + FOOTER_TRAILER_LEN) as u64 {
        return Ok(None);
    }
    let trailer = read_exact_at(file, length - FOOTER_TRAILER_LEN as u64, FOOTER_TRAILER_LEN)?
        .unwrap_or_default();
    let Some((offset, footer_len)) = locate_footer(&trailer, length) else {
        return Ok(None);
    };
    let bytes = read_exact_at(file, u64::from(offset), footer_len)?.unwrap_or_default();
    Ok(decode_footer(&bytes, store_id, segment, offset).ok())
}

/// Scans the records after the segment's header. Bodies are read too, because without a footer a body may not
/// have been written completely.
fn scan_records(
    file: &dyn File,
    store_id: u64,
    segment: u32,
    length: u64,
    found: &mut Recovered,
) -> io::Result<()> {
    let (mut offset, mut in_damage) = (SEGMENT_HEADER_LEN as u64, false);
    while offset + MIN_RECORD_HEADER_LEN as u64 <= length {
        let address = DiskAddress {
            store_id,
            segment,
            offset: offset as u32,
        };
        let header = read_up_to(file, offset, MAX_RECORD_HEADER_LEN, length)?;
        if let Ok(header) = decode_record_header(&header, address) {
            let record = header.record_len() as u64;
            let body = read_up_to(
                file,
                offset + header.header_len as u64,
                header.body_len,
                length,
            )?;
            if offset + record <= length && header.verifies_body(&body, address) {
                found.entries.push(header.entry(offset as u32));
                offset += record;
                found.end = offset as u32;
                in_damage = false;
                continue;
            }
        }
        // A stretch of damage counts once. The scan resumes at the next magic number with a valid record.
        found.damaged += u64::from(!std::mem::replace(&mut in_damage, true));
        match find_next_record(file, offset + 8, length)? {
            Some(next) => offset = next,
            None => break,
        }
    }
    Ok(())
}

fn find_next_record(file: &dyn File, from: u64, length: u64) -> io::Result<Option<u64>> {
    let mut from = from.next_multiple_of(8);
    while from < length {
        let window = read_up_to(file, from, SCAN_WINDOW_BYTES, length)?;
        if let Some(offset) = find_record_magic(&window, 0) {
            return Ok(Some(from + offset as u64));
        }
        from += SCAN_WINDOW_BYTES as u64;
    }
    Ok(None)
}

fn read_up_to(file: &dyn File, offset: u64, max_length: usize, length: u64) -> io::Result<Vec<u8>> {
    let max_length = (max_length as u64).min(length.saturating_sub(offset)) as usize;
    let mut buffer = vec![0; max_length];
    let read = file.read_at(&mut buffer, offset)?;
    buffer.truncate(read);
    Ok(buffer)
}

/// Truncates a torn tail and writes a footer, so that the next start need not scan the segment.
pub fn seal(file: &dyn File, store_id: u64, segment: u32, found: &Recovered) -> io::Result<()> {
    let end = padded_len(found.end as usize) as u32;
    file.truncate(u64::from(end))?;
    file.write_at(
        &encode_footer(&found.entries, store_id, segment, end),
        u64::from(end),
    )?;
    file.sync()
}

#[cfg(test)]
mod tests;
