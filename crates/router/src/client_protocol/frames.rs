//! Decodes the frames of clients: arrays of parts.

use super::{FrameError, LINE_END, number};
use bytes::buf::Limit;
use bytes::{Buf, BufMut, Bytes, BytesMut};

/// Maximum length of each part of an array: command, tag, class, fields and body. The body of a
/// write has up to 48,000 bytes. Longer parts are rejected before memory is allocated for them.
const MAX_PART_BYTES: [usize; 5] = [16, 20, 64, 1_024, 64_000];
/// Maximum digits of a length, which may have leading zeros.
const MAX_LENGTH_DIGITS: usize = 12;
/// Longer parts are received only once they are admitted.
const MAX_UNADMITTED_BYTES: usize = 4096;

/// A complete frame.
#[derive(Debug, Default, PartialEq)]
pub struct Frame {
    /// The parts, none of which shares the memory of another.
    pub parts: Vec<Bytes>,
    /// A part was not admitted; it is empty.
    pub is_part_discarded: bool,
}

/// A part that is longer than [`MAX_UNADMITTED_BYTES`], with its line end.
#[derive(Debug)]
enum LongPart {
    /// Nothing of it is received before it has been admitted or refused.
    AwaitsAdmission,
    /// The buffer has just the size that is needed.
    Admitted(BytesMut),
    /// The number of its bytes, and of its line end, that have not been received yet.
    Discarded { remaining: usize },
}

/// Decodes frames from a stream that may be split anywhere.
///
/// The decoded parts of an incomplete frame are kept, so that a long frame is not parsed again
/// after every read.
#[derive(Default)]
pub struct FrameDecoder {
    frame: Frame,
    /// Number of parts of the current array, once its header has been decoded.
    expected_parts: Option<usize>,
    /// Length of the current part, once its header has been decoded.
    part_length: Option<usize>,
    /// The current part, if it is long.
    long_part: Option<LongPart>,
}

impl FrameDecoder {
    /// Whether the current frame is incomplete.
    pub fn is_inside_frame(&self) -> bool {
        self.expected_parts.is_some()
    }

    /// Takes the next complete frame, or none if more bytes are needed, or the admission of a long
    /// part. The parts are the unchanged bytes.
    ///
    /// # Errors
    /// If the stream violates the protocol. Nothing after that can be decoded.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<Frame>, FrameError> {
        let Some(expected_parts) = self.array_header(buffer)? else {
            return Ok(None);
        };
        while self.frame.parts.len() < expected_parts {
            let Some(length) = self.part_header(buffer)? else {
                return Ok(None);
            };
            let Some(part) = self.take_part(buffer, length)? else {
                return Ok(None);
            };
            self.frame.parts.push(part);
            self.part_length = None;
        }
        self.expected_parts = None;
        Ok(Some(std::mem::take(&mut self.frame)))
    }

    /// The length of the part whose admission is awaited, if there is one.
    pub fn awaits_admission(&self) -> Option<usize> {
        let awaits = matches!(self.long_part, Some(LongPart::AwaitsAdmission));
        self.part_length.filter(|_| awaits)
    }

    /// Allocates memory for the part whose admission is awaited.
    pub fn admit_part(&mut self) {
        if let Some(length) = self.awaits_admission() {
            let part = BytesMut::with_capacity(length + LINE_END.len());
            self.long_part = Some(LongPart::Admitted(part));
        }
    }

    /// Discards the current long part: what has been received of it, and the rest as it comes.
    pub fn discard_part(&mut self) {
        let (Some(part), Some(length)) = (&self.long_part, self.part_length) else {
            return;
        };
        let received = match part {
            LongPart::AwaitsAdmission => 0,
            LongPart::Admitted(part) => part.len(),
            LongPart::Discarded { .. } => return,
        };
        let remaining = length + LINE_END.len() - received;
        self.long_part = Some(LongPart::Discarded { remaining });
        self.frame.is_part_discarded = true;
    }

    /// Whether memory is allocated for a part that is not complete.
    pub fn has_admitted_part(&self) -> bool {
        matches!(self.long_part, Some(LongPart::Admitted(_)))
    }

    /// The buffer into which the rest of an admitted part is to be read, and no more than that.
    pub fn part_buffer(&mut self) -> Option<Limit<&mut BytesMut>> {
        let needed = self.part_length? + LINE_END.len();
        match &mut self.long_part {
            Some(LongPart::Admitted(part)) => {
                let remaining = needed - part.len();
                Some(part.limit(remaining))
            }
            _ => None,
        }
    }

    fn array_header(&mut self, buffer: &mut BytesMut) -> Result<Option<usize>, FrameError> {
        if self.expected_parts.is_none() {
            self.expected_parts = match take_length(buffer, b'*')? {
                Some(0) => return Err(FrameError::EmptyArray),
                Some(parts) if parts > MAX_PART_BYTES.len() => {
                    return Err(FrameError::TooManyParts(parts));
                }
                parts => parts,
            };
        }
        Ok(self.expected_parts)
    }

    fn part_header(&mut self, buffer: &mut BytesMut) -> Result<Option<usize>, FrameError> {
        if self.part_length.is_none() {
            let index = self.frame.parts.len();
            self.part_length = match take_length(buffer, b'$')? {
                Some(length) if length > MAX_PART_BYTES[index] => {
                    return Err(FrameError::PartTooLong { index, length });
                }
                length => length,
            };
            let is_long = self.part_length > Some(MAX_UNADMITTED_BYTES);
            self.long_part = is_long.then_some(LongPart::AwaitsAdmission);
        }
        Ok(self.part_length)
    }

    /// Takes a part of this length and its line end, or as much of them as is there.
    fn take_part(
        &mut self,
        buffer: &mut BytesMut,
        length: usize,
    ) -> Result<Option<Bytes>, FrameError> {
        let part = match &mut self.long_part {
            None => return take_short_part(buffer, length),
            Some(LongPart::AwaitsAdmission) => None,
            Some(LongPart::Admitted(part)) => receive_part(buffer, length, part)?,
            Some(LongPart::Discarded { remaining }) => {
                let skipped = buffer.len().min(*remaining);
                buffer.advance(skipped);
                *remaining -= skipped;
                (*remaining == 0).then(Bytes::new)
            }
        };
        if part.is_some() {
            self.long_part = None;
        }
        Ok(part)
    }
}

/// Takes a part that is complete in the buffer. It is copied: shared, it would keep all of the
/// buffer alive for as long as its request is open.
fn take_short_part(buffer: &mut BytesMut, length: usize) -> Result<Option<Bytes>, FrameError> {
    let complete = length + LINE_END.len();
    if buffer.len() < complete {
        return Ok(None);
    }
    if &buffer[length..complete] != LINE_END {
        return Err(FrameError::UnterminatedPart);
    }
    let part = Bytes::copy_from_slice(&buffer[..length]);
    buffer.advance(complete);
    Ok(Some(part))
}

/// Moves bytes from the buffer to the part that they belong to.
fn receive_part(
    buffer: &mut BytesMut,
    length: usize,
    part: &mut BytesMut,
) -> Result<Option<Bytes>, FrameError> {
    let complete = length + LINE_END.len();
    let taken = buffer.len().min(complete - part.len());
    part.extend_from_slice(&buffer[..taken]);
    buffer.advance(taken);
    if part.len() < complete {
        return Ok(None);
    }
    if &part[length..] != LINE_END {
        return Err(FrameError::UnterminatedPart);
    }
    part.truncate(length);
    Ok(Some(std::mem::take(part).freeze()))
}

/// Takes a length with its type byte: `*3` or `$12`.
fn take_length(buffer: &mut BytesMut, type_byte: u8) -> Result<Option<usize>, FrameError> {
    let longest_line = 1 + MAX_LENGTH_DIGITS + LINE_END.len();
    let line_feed = buffer
        .iter()
        .take(longest_line)
        .position(|byte| *byte == b'\n');
    let Some(line_feed) = line_feed else {
        let is_other_type = buffer.first().is_some_and(|byte| *byte != type_byte);
        return if is_other_type || buffer.len() >= longest_line {
            Err(FrameError::InvalidLength)
        } else {
            Ok(None)
        };
    };
    let line = buffer.split_to(line_feed + 1);
    let length = line
        .strip_prefix(&[type_byte])
        .and_then(|rest| rest.strip_suffix(LINE_END))
        .and_then(number)
        .ok_or(FrameError::InvalidLength)?;
    Ok(Some(length as usize))
}

#[cfg(test)]
mod tests;
