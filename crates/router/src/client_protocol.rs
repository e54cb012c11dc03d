//! The client protocol: decodes RESP arrays of bulk strings and encodes responses. Does no I/O.

use bytes::{Buf, Bytes, BytesMut};
use std::fmt::Write;

/// Maximum length of each part of an array: command, tag, class, fields and body. The body of a
/// write has up to 48,000 bytes. Longer parts are rejected before memory is allocated for them.
const MAX_PART_BYTES: [usize; 5] = [16, 20, 64, 1_024, 64_000];
/// Maximum digits of a length, which may have leading zeros.
const MAX_LENGTH_DIGITS: usize = 12;
/// Every number of this many digits fits into 64 bits.
const MAX_NUMBER_DIGITS: usize = 18;
const LINE_END: &[u8] = b"\r\n";
/// Parts of this length are copied out of the read buffer. Shared, they would keep all of it alive
/// for as long as their request is open, up to twice their size.
const MIN_COPIED_BYTES: usize = 4096;

/// Terminates a response, after its body.
pub const RESPONSE_END: &[u8] = LINE_END;

/// Why a client's stream cannot be decoded any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// Empty arrays get no response, so a client could send an endless stream of them.
    #[error("empty array")]
    EmptyArray,
    /// No message has this many parts.
    #[error("array of {0} parts")]
    TooManyParts(usize),
    /// The part at this index exceeds its maximum length.
    #[error("part {index} of an array is too long: {length} bytes")]
    PartTooLong {
        index: usize,
        /// The announced length.
        length: usize,
    },
    /// A part is not followed by a line end.
    #[error("part not terminated after its announced length")]
    UnterminatedPart,
    /// The header of an array or of a part is not a valid length.
    #[error("invalid array or part length")]
    InvalidLength,
}

/// Decodes frames from a stream that may be split anywhere.
///
/// The decoded parts of an incomplete frame are kept, so that a long frame is not parsed again
/// after every read.
#[derive(Default)]
pub struct FrameDecoder {
    parts: Vec<Bytes>,
    /// Number of parts of the current array, once its header has been decoded.
    expected_parts: Option<usize>,
    /// Length of the current part, once its header has been decoded.
    part_length: Option<usize>,
}

impl FrameDecoder {
    /// Whether the current frame is incomplete.
    pub fn is_inside_frame(&self) -> bool {
        self.expected_parts.is_some()
    }

    /// Takes the next complete frame, or none if more bytes are needed. The parts are the unchanged
    /// bytes.
    ///
    /// # Errors
    /// If the stream violates the protocol. Nothing after that can be decoded.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<Vec<Bytes>>, FrameError> {
        let Some(expected_parts) = self.array_header(buffer)? else {
            return Ok(None);
        };
        while self.parts.len() < expected_parts {
            let Some(length) = self.part_header(buffer)? else {
                return Ok(None);
            };
            let Some(part) = take_part(buffer, length)? else {
                return Ok(None);
            };
            self.parts.push(part);
            self.part_length = None;
        }
        self.expected_parts = None;
        Ok(Some(std::mem::take(&mut self.parts)))
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
            let index = self.parts.len();
            self.part_length = match take_length(buffer, b'$')? {
                Some(length) if length > MAX_PART_BYTES[index] => {
                    return Err(FrameError::PartTooLong { index, length });
                }
                length => length,
            };
        }
        Ok(self.part_length)
    }
}

/// Takes a part of this length and its line end.
fn take_part(buffer: &mut BytesMut, length: usize) -> Result<Option<Bytes>, FrameError> {
    let complete = length + LINE_END.len();
    if buffer.len() < complete {
        buffer.reserve(complete - buffer.len());
        return Ok(None);
    }
    if &buffer[length..complete] != LINE_END {
        return Err(FrameError::UnterminatedPart);
    }
    let part = if length >= MIN_COPIED_BYTES {
        let part = Bytes::copy_from_slice(&buffer[..length]);
        buffer.advance(length);
        part
    } else {
        buffer.split_to(length).freeze()
    };
    buffer.advance(LINE_END.len());
    Ok(Some(part))
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

/// Parses an unsigned decimal number of at most 18 digits.
pub fn number(digits: &[u8]) -> Option<u64> {
    let is_valid = !digits.is_empty()
        && digits.len() <= MAX_NUMBER_DIGITS
        && digits.iter().all(u8::is_ascii_digit);
    is_valid.then(|| {
        digits
            .iter()
            .fold(0, |value, digit| value * 10 + u64::from(digit - b'0'))
    })
}

/// Splits `name=value,name=value` into fields, whose values are the unchanged bytes.
pub fn fields(list: &Bytes) -> impl Iterator<Item = (&[u8], Bytes)> {
    list.split(|byte| *byte == b',').filter_map(|field| {
        let equals_sign = field.iter().position(|byte| *byte == b'=')?;
        let value = list.slice_ref(&field[equals_sign + 1..]);
        Some((&field[..equals_sign], value))
    })
}

/// The status of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseStatus {
    /// The request was served.
    Served,
    /// The request did not run, and may be sent again.
    Rejected,
    /// The request failed, and may have run.
    Failed,
    /// Health check: the router accepts requests.
    Ready,
    /// Health check: requests should be sent to other routers.
    NotReady,
}

impl ResponseStatus {
    fn as_str(self) -> &'static str {
        match self {
            ResponseStatus::Served => "ACK",
            ResponseStatus::Rejected => "NAK",
            ResponseStatus::Failed => "FAIL",
            ResponseStatus::Ready => "GREEN",
            ResponseStatus::NotReady => "RED",
        }
    }
}

/// Encodes the head of a response, which the unchanged body and `RESPONSE_END` follow.
pub fn response_head(tag: u64, status: ResponseStatus, fields: &str, body_length: usize) -> Bytes {
    let mut head = String::from("*4\r\n");
    for part in [&tag.to_string(), status.as_str(), fields] {
        let _ = write!(head, "${}\r\n{part}\r\n", part.len());
    }
    let _ = write!(head, "${body_length}\r\n");
    Bytes::from(head)
}

#[cfg(test)]
mod tests;
