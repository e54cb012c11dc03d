//! The client protocol: decodes RESP arrays of bulk strings and encodes responses. Does no I/O.

mod frames;

pub use frames::{Frame, FrameDecoder};

use bytes::Bytes;
use std::fmt::Write;

/// Every number of this many digits fits into 64 bits.
const MAX_NUMBER_DIGITS: usize = 18;
const LINE_END: &[u8] = b"\r\n";

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
