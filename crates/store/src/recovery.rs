//! What a segment of an earlier life still holds: by its footer where it was sealed, else record by record.
//! Nothing that is damaged, torn or of another place passes, and what can be read behind damage is found.

use crate::files::{File, read_exactly};
use crate::format::{
    Entry, Place, RECORD_HEAD_LEAST, RECORD_HEAD_MOST, SEGMENT_HEAD, TRAILER, Wrong, footer,
    footer_span, next_mark, padded, read_footer, read_head, read_segment_head,
};
use std::io;

/// Read at once while records are walked through.
const WINDOW: usize = 1 << 20;

/// What was found in a segment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Recovered {
    pub class: u32,
    pub entries: Vec<Entry>,
    /// It had its footer: nothing was walked through.
    pub sealed: bool,
    /// Where the last good record ends.
    pub end: u32,
    /// Records or stretches that were damaged, and bytes cut off at the end.
    pub damaged: u64,
    pub torn: u64,
}

/// Why a segment says nothing.
#[derive(Debug)]
pub enum Failed {
    Io(io::Error),
    /// Written by a program of another version: it must be left alone.
    Version(u32),
}

impl From<io::Error> for Failed {
    fn from(what: io::Error) -> Failed {
        Failed::Io(what)
    }
}

/// Reads what a segment holds.
pub fn recover(file: &dyn File, store: u64, segment: u32) -> Result<Recovered, Failed> {
    let length = file.length()?;
    let head = read_exactly(file, 0, SEGMENT_HEAD.min(length as usize))?.unwrap_or_default();
    let class = match read_segment_head(&head, store, segment) {
        Ok(class) => class,
        Err(Wrong::Version(found)) => return Err(Failed::Version(found)),
        // Its records vouch for themselves.
        Err(_) => u32::MAX,
    };
    if let Some(entries) = listed(file, store, segment, length)? {
        let end = entries
            .iter()
            .map(|e| e.at + e.length)
            .max()
            .unwrap_or(SEGMENT_HEAD as u32);
        return Ok(Recovered {
            class,
            entries,
            sealed: true,
            end,
            damaged: 0,
            torn: 0,
        });
    }
    let mut found = Recovered {
        class,
        end: SEGMENT_HEAD as u32,
        ..Recovered::default()
    };
    walk(
        file,
        store,
        segment,
        length.min(u64::from(u32::MAX)),
        &mut found,
    )?;
    found.torn = length.saturating_sub(u64::from(found.end));
    Ok(found)
}

/// The entries of a sealed segment; none: it has no footer, or a damaged one.
pub fn listed(
    file: &dyn File,
    store: u64,
    segment: u32,
    length: u64,
) -> io::Result<Option<Vec<Entry>>> {
    if length < (SEGMENT_HEAD + TRAILER) as u64 {
        return Ok(None);
    }
    let trailer = read_exactly(file, length - TRAILER as u64, TRAILER)?.unwrap_or_default();
    let Some((at, span)) = footer_span(&trailer, length) else {
        return Ok(None);
    };
    let bytes = read_exactly(file, u64::from(at), span)?.unwrap_or_default();
    Ok(read_footer(&bytes, store, segment, at).ok())
}

/// Walks through records from the head on. Bodies are read too: without a footer nothing says that they came
/// whole.
fn walk(
    file: &dyn File,
    store: u64,
    segment: u32,
    length: u64,
    found: &mut Recovered,
) -> io::Result<()> {
    let (mut at, mut lost) = (SEGMENT_HEAD as u64, false);
    while at + RECORD_HEAD_LEAST as u64 <= length {
        let place = Place {
            store,
            segment,
            at: at as u32,
        };
        let head = read_part(file, at, RECORD_HEAD_MOST, length)?;
        if let Ok(head) = read_head(&head, place) {
            let record = head.record() as u64;
            let body = read_part(file, at + head.length as u64, head.body, length)?;
            if at + record <= length && head.vouches_for(&body, place) {
                found.entries.push(head.entry(at as u32));
                at += record;
                found.end = at as u32;
                lost = false;
                continue;
            }
        }
        // One stretch of damage is counted once; behind it the next mark that proves true goes on.
        found.damaged += u64::from(!std::mem::replace(&mut lost, true));
        match seek(file, at + 8, length)? {
            Some(next) => at = next,
            None => break,
        }
    }
    Ok(())
}

fn seek(file: &dyn File, from: u64, length: u64) -> io::Result<Option<u64>> {
    let mut from = from.next_multiple_of(8);
    while from < length {
        let window = read_part(file, from, WINDOW, length)?;
        if let Some(at) = next_mark(&window, 0) {
            return Ok(Some(from + at as u64));
        }
        from += WINDOW as u64;
    }
    Ok(None)
}

fn read_part(file: &dyn File, at: u64, most: usize, length: u64) -> io::Result<Vec<u8>> {
    let most = (most as u64).min(length.saturating_sub(at)) as usize;
    let mut buffer = vec![0; most];
    let read = file.read_at(&mut buffer, at)?;
    buffer.truncate(read);
    Ok(buffer)
}

/// Cuts off what was torn and lists what is left, so that the next start need not walk.
pub fn seal(file: &dyn File, store: u64, segment: u32, found: &Recovered) -> io::Result<()> {
    let end = padded(found.end as usize) as u32;
    file.truncate(u64::from(end))?;
    file.write_at(&footer(&found.entries, store, segment, end), u64::from(end))?;
    file.sync()
}

#[cfg(test)]
mod tests;
