//! The clients' protocol: RESP arrays of bulk strings in, answers out. Pure: no I/O.

use bytes::{Buf, Bytes, BytesMut};

/// The parts of the protocol's longest array, and the longest that each may be: verb, tag, class, fields,
/// and a body, of which a write brings up to 48,000 bytes. What is longer is nonsense, refused before it
/// takes memory.
const PARTS_MOST: [usize; 5] = [16, 20, 64, 1_024, 64_000];
/// The digits of a length, with room for leading zeros.
const DIGITS_MOST: usize = 12;

#[derive(Debug, PartialEq, Eq)]
pub struct ProtocolError(pub &'static str);

/// Takes frames from a stream that may be split anywhere. What has been read of an unfinished frame is kept,
/// so that a long one is not walked through again with every piece that comes.
#[derive(Default)]
pub struct Frames {
    parts: Vec<Bytes>,
    /// How many parts the array has; none: its head has not come yet.
    wanted: Option<usize>,
    /// The length of the part that is coming.
    length: Option<usize>,
}

impl Frames {
    /// Something of a frame has come, but not all.
    pub fn begun(&self) -> bool {
        self.wanted.is_some()
    }

    /// The next whole frame, its parts as the bytes that came.
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<Vec<Bytes>>, ProtocolError> {
        loop {
            let Some(wanted) = self.wanted else {
                match head(buffer, b'*')? {
                    None => return Ok(None),
                    // Nothing answers an empty one, so a stream of them would go on for ever.
                    Some(0) => return Err(ProtocolError("an empty array")),
                    Some(n) if n > PARTS_MOST.len() => {
                        return Err(ProtocolError("an array of too many parts"));
                    }
                    some => self.wanted = some,
                }
                continue;
            };
            if self.parts.len() == wanted {
                self.wanted = None;
                return Ok(Some(std::mem::take(&mut self.parts)));
            }
            let Some(length) = self.length else {
                match head(buffer, b'$')? {
                    None => return Ok(None),
                    Some(n) if n > PARTS_MOST[self.parts.len()] => {
                        return Err(ProtocolError("a part too long"));
                    }
                    some => self.length = some,
                }
                continue;
            };
            if buffer.len() < length + 2 {
                buffer.reserve(length + 2 - buffer.len());
                return Ok(None);
            }
            if &buffer[length..length + 2] != b"\r\n" {
                return Err(ProtocolError("a part that does not end where it says"));
            }
            self.parts.push(buffer.split_to(length).freeze());
            buffer.advance(2);
            self.length = None;
        }
    }
}

/// A length behind its sign: `*3` or `$12`.
fn head(buffer: &mut BytesMut, sign: u8) -> Result<Option<usize>, ProtocolError> {
    let Some(end) = buffer
        .iter()
        .take(DIGITS_MOST + 3)
        .position(|b| *b == b'\n')
    else {
        let wrong = buffer.first().is_some_and(|b| *b != sign) || buffer.len() > DIGITS_MOST + 2;
        return if wrong {
            Err(ProtocolError("no length where one is due"))
        } else {
            Ok(None)
        };
    };
    let line = buffer.split_to(end + 1);
    let digits = line
        .strip_prefix(&[sign])
        .and_then(|l| l.strip_suffix(b"\r\n"));
    let length = digits
        .and_then(number)
        .ok_or(ProtocolError("no length where one is due"))?;
    Ok(Some(length as usize))
}

/// A plain decimal number of at most 18 digits.
pub fn number(digits: &[u8]) -> Option<u64> {
    let plain = !digits.is_empty() && digits.len() <= 18 && digits.iter().all(u8::is_ascii_digit);
    plain.then(|| digits.iter().fold(0, |n, d| n * 10 + u64::from(d - b'0')))
}

/// The fields `name=value,name=value`, as the bytes that came.
pub fn fields(list: &Bytes) -> impl Iterator<Item = (&[u8], Bytes)> {
    list.split(|b| *b == b',').filter_map(|field| {
        let at = field.iter().position(|b| *b == b'=')?;
        Some((&field[..at], list.slice_ref(&field[at + 1..])))
    })
}

/// What comes before the body of an answer; the body, unchanged, and `END` follow.
pub fn answer(tag: u64, word: &str, fields: &str, body: usize) -> Bytes {
    let tag = tag.to_string();
    let (t, w, f) = (tag.len(), word.len(), fields.len());
    Bytes::from(format!(
        "*4\r\n${t}\r\n{tag}\r\n${w}\r\n{word}\r\n${f}\r\n{fields}\r\n${body}\r\n"
    ))
}

pub const END: &[u8] = b"\r\n";

#[cfg(test)]
mod tests;
