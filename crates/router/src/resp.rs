//! The clients' protocol: RESP arrays of bulk strings in, answers out. Pure: no I/O.

use bytes::{Buf, Bytes, BytesMut};

/// The parts of the protocol's longest array, and the longest that each may be: verb, tag, class, fields,
/// and a body, of which a write brings up to 48,000 bytes. What is longer is nonsense, refused before it
/// takes memory.
const PARTS_MOST: [usize; 5] = [16, 20, 64, 1_024, 64_000];
/// The digits of a length, with room for leading zeros.
const DIGITS_MOST: usize = 12;

#[derive(Debug, PartialEq, Eq)]
pub struct Nonsense(pub &'static str);

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
    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<Vec<Bytes>>, Nonsense> {
        loop {
            let Some(wanted) = self.wanted else {
                match head(buffer, b'*')? {
                    None => return Ok(None),
                    // Nothing answers an empty one, so a stream of them would go on for ever.
                    Some(0) => return Err(Nonsense("an empty array")),
                    Some(n) if n > PARTS_MOST.len() => return Err(Nonsense("an array of too many parts")),
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
                    Some(n) if n > PARTS_MOST[self.parts.len()] => return Err(Nonsense("a part too long")),
                    some => self.length = some,
                }
                continue;
            };
            if buffer.len() < length + 2 {
                buffer.reserve(length + 2 - buffer.len());
                return Ok(None);
            }
            if &buffer[length..length + 2] != b"\r\n" {
                return Err(Nonsense("a part that does not end where it says"));
            }
            self.parts.push(buffer.split_to(length).freeze());
            buffer.advance(2);
            self.length = None;
        }
    }
}

/// A length behind its sign: `*3` or `$12`.
fn head(buffer: &mut BytesMut, sign: u8) -> Result<Option<usize>, Nonsense> {
    let Some(end) = buffer.iter().take(DIGITS_MOST + 3).position(|b| *b == b'\n') else {
        let wrong = buffer.first().is_some_and(|b| *b != sign) || buffer.len() > DIGITS_MOST + 2;
        return if wrong { Err(Nonsense("no length where one is due")) } else { Ok(None) };
    };
    let line = buffer.split_to(end + 1);
    let digits = line.strip_prefix(&[sign]).and_then(|l| l.strip_suffix(b"\r\n"));
    let length = digits.and_then(number).ok_or(Nonsense("no length where one is due"))?;
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
    Bytes::from(format!("*4\r\n${t}\r\n{tag}\r\n${w}\r\n{word}\r\n${f}\r\n{fields}\r\n${body}\r\n"))
}

pub const END: &[u8] = b"\r\n";

#[cfg(test)]
mod tests {
    use super::*;

    fn all(frames: &mut Frames, buffer: &mut BytesMut) -> Result<Vec<Vec<Bytes>>, Nonsense> {
        let mut found = Vec::new();
        while let Some(frame) = frames.next(buffer)? {
            found.push(frame);
        }
        Ok(found)
    }

    #[test]
    fn frames_are_the_same_at_every_split() {
        let stream = b"*5\r\n$3\r\nREQ\r\n$1\r\n7\r\n$7\r\nsegment\r\n$5\r\ni=a,d\r\n$6\r\n\r\n$1\r\n\r\n*2\r\n$5\r\nABORT\r\n$1\r\n7\r\n";
        let whole = all(&mut Frames::default(), &mut BytesMut::from(&stream[..])).unwrap();
        assert_eq!(whole[0][4], &b"\r\n$1\r\n"[..]);
        assert_eq!(whole[1], [&b"ABORT"[..], b"7"]);
        assert_eq!(whole.len(), 2);
        for at in 0..=stream.len() {
            let (mut frames, mut buffer) = (Frames::default(), BytesMut::from(&stream[..at]));
            let mut found = all(&mut frames, &mut buffer).unwrap();
            buffer.extend_from_slice(&stream[at..]);
            found.extend(all(&mut frames, &mut buffer).unwrap());
            assert_eq!(found, whole, "split at {at}");
        }
        let (mut frames, mut buffer, mut found) = (Frames::default(), BytesMut::new(), Vec::new());
        for byte in stream {
            buffer.extend_from_slice(&[*byte]);
            found.extend(all(&mut frames, &mut buffer).unwrap());
        }
        assert_eq!(found, whole);
    }

    #[test]
    fn nonsense_is_refused_before_it_takes_memory() {
        let bad = [
            "PING\r\n",
            "*6\r\n",
            "*0\r\n",
            "*x\r\n",
            "*-1\r\n",
            "*1\r\n$17\r\n",
            "*2\r\n$1\r\na\r\n$21\r\n",
            "*5\r\n$1\r\na\r\n$1\r\n1\r\n$1\r\na\r\n$1025\r\n",
            "*5\r\n$1\r\na\r\n$1\r\n1\r\n$1\r\na\r\n$1\r\na\r\n$64001\r\n",
            "*1\r\n$1\r\nab\r\n",
            "*1\r\n:1\r\n",
            "*99999999999999999999",
            "*1\n",
            "*1\r\n$\r\n",
        ];
        for text in bad {
            let (mut frames, mut buffer) = (Frames::default(), BytesMut::from(text));
            assert!(all(&mut frames, &mut buffer).is_err(), "{text:?}");
        }
    }

    #[test]
    fn fields_keep_their_bytes() {
        let list = Bytes::from_static(b"i=9b,d=1500,,x,ver=a=b");
        let found: Vec<_> = fields(&list).collect();
        assert_eq!(found[1], (&b"d"[..], Bytes::from_static(b"1500")));
        assert_eq!(found[2], (&b"ver"[..], Bytes::from_static(b"a=b")));
        assert_eq!(found.len(), 3);
    }

    #[test]
    fn an_answer_reads_back() {
        let mut stream = BytesMut::from(&answer(12, "NAK", "w=200", 0)[..]);
        stream.extend_from_slice(END);
        let frame = Frames::default().next(&mut stream).unwrap().unwrap();
        assert_eq!(frame, [&b"12"[..], b"NAK", b"w=200", b""]);
        assert!(stream.is_empty());
    }
}
