//! The clients' protocol: RESP arrays of bulk strings in, responses out. Does no I/O.

use bytes::{Buf, Bytes, BytesMut};
use std::fmt::Write;

/// The most parts of an array, and the most bytes of each: verb, tag, class, fields, and a body, of
/// which a write brings up to 48,000 bytes. What is longer is refused before it takes memory.
const MAX_PART_BYTES: [usize; 5] = [16, 20, 64, 1_024, 64_000];
/// The digits of a length, with room for leading zeros.
const MAX_LENGTH_DIGITS: usize = 12;
/// The digits of a number that is sure to fit into 64 bits.
const MAX_NUMBER_DIGITS: usize = 18;
const LINE_END: &[u8] = b"\r\n";

/// What follows the body of a response.
pub const RESPONSE_END: &[u8] = LINE_END;

/// Why a client's stream cannot be read any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// Nothing answers an empty array, so that a stream of them would go on for ever.
    #[error("an array without parts")]
    EmptyArray,
    /// No message has this many parts.
    #[error("an array of {0} parts")]
    TooManyParts(usize),
    /// The part at this index is longer than it may be.
    #[error("part {index} of an array is {length} bytes long")]
    PartTooLong {
        /// The part's index in its array.
        index: usize,
        /// The length that it announced.
        length: usize,
    },
    /// A part is not followed by the end of a line.
    #[error("a part does not end where its length says")]
    UnterminatedPart,
    /// Something else came where the length of an array or of a part was expected.
    #[error("no length where one was expected")]
    InvalidLength,
}

/// Takes frames from a stream that may be split anywhere.
///
/// What has been read of an incomplete frame is kept, so that a long one is not parsed again with
/// every piece that comes.
#[derive(Default)]
pub struct FrameDecoder {
    parts: Vec<Bytes>,
    /// How many parts the array has; none while its header has not come.
    expected_parts: Option<usize>,
    /// The length of the part that is coming; none while its header has not come.
    part_length: Option<usize>,
}

impl FrameDecoder {
    /// Whether a part of a frame has come, but not all of it.
    pub fn is_inside_frame(&self) -> bool {
        self.expected_parts.is_some()
    }

    /// Takes the next complete frame; its parts are the bytes that came. None: more has to come
    /// first.
    ///
    /// # Errors
    /// Where the stream breaks the protocol. Nothing behind that place can be read.
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

/// Takes a part of this length and the end of its line.
fn take_part(buffer: &mut BytesMut, length: usize) -> Result<Option<Bytes>, FrameError> {
    let complete = length + LINE_END.len();
    if buffer.len() < complete {
        buffer.reserve(complete - buffer.len());
        return Ok(None);
    }
    if &buffer[length..complete] != LINE_END {
        return Err(FrameError::UnterminatedPart);
    }
    let part = buffer.split_to(length).freeze();
    buffer.advance(LINE_END.len());
    Ok(Some(part))
}

/// Takes a length behind its sign: `*3` or `$12`.
fn take_length(buffer: &mut BytesMut, sign: u8) -> Result<Option<usize>, FrameError> {
    let longest_line = 1 + MAX_LENGTH_DIGITS + LINE_END.len();
    let line_feed = buffer
        .iter()
        .take(longest_line)
        .position(|byte| *byte == b'\n');
    let Some(line_feed) = line_feed else {
        let other_sign = buffer.first().is_some_and(|byte| *byte != sign);
        return if other_sign || buffer.len() >= longest_line {
            Err(FrameError::InvalidLength)
        } else {
            Ok(None)
        };
    };
    let line = buffer.split_to(line_feed + 1);
    let length = line
        .strip_prefix(&[sign])
        .and_then(|rest| rest.strip_suffix(LINE_END))
        .and_then(number)
        .ok_or(FrameError::InvalidLength)?;
    Ok(Some(length as usize))
}

/// Parses a plain decimal number of at most 18 digits.
pub fn number(digits: &[u8]) -> Option<u64> {
    let plain = !digits.is_empty()
        && digits.len() <= MAX_NUMBER_DIGITS
        && digits.iter().all(u8::is_ascii_digit);
    plain.then(|| {
        digits
            .iter()
            .fold(0, |value, digit| value * 10 + u64::from(digit - b'0'))
    })
}

/// The fields of `name=value,name=value`, as the bytes that came.
pub fn fields(list: &Bytes) -> impl Iterator<Item = (&[u8], Bytes)> {
    list.split(|byte| *byte == b',').filter_map(|field| {
        let equals_sign = field.iter().position(|byte| *byte == b'=')?;
        let value = list.slice_ref(&field[equals_sign + 1..]);
        Some((&field[..equals_sign], value))
    })
}

/// What a response says of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseStatus {
    /// It was served.
    Served,
    /// It did not run, and may be sent again.
    Rejected,
    /// It failed, and may have run.
    Failed,
    /// To a health check: requests are welcome.
    Ready,
    /// To a health check: requests should go elsewhere.
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

/// Encodes what comes before the body of a response; the body, unchanged, and `RESPONSE_END`
/// follow.
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
