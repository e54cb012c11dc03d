//! The protocol of cache servers, parents and the origin, without I/O: requests are encoded,
//! answers decoded.
//!
//! A message is one line of words separated by spaces, of which the last is the length of the body
//! that follows.

mod words;

use crate::client_protocol::{fields, number};
use bytes::{Buf, Bytes, BytesMut};
use chalkhall::interface::{Fill, Load, Outcome, Remark};
use std::fmt::Write;
use std::time::Duration;

/// The longest body. Objects have 240,000 bytes at most.
const MAX_BODY_BYTES: usize = 256_000;
/// The longest line of an answer.
const MAX_LINE_BYTES: usize = 2_048;
const END_OF_LINE: &[u8] = b"\r\n";

/// The parts of a client's request that are sent to a server as they came.
#[derive(Clone, Debug, Default)]
pub struct ForwardedFields {
    /// The id of the request.
    pub id: Bytes,
    /// The name of its class.
    pub class: Bytes,
    /// The name of the object.
    pub object: Bytes,
    /// The part of the object.
    pub part: Bytes,
    /// The entity tag of the client's copy.
    pub have: Option<Bytes>,
    /// Servers recognize a repeated request by it.
    pub idempotency_key: Option<Bytes>,
    /// What a write stores.
    pub body: Bytes,
}

/// Encodes a request that is sent now to `server`: its line and its body.
///
/// `remaining` is the time until the attempt's deadline. It is rounded down, so that the server
/// never assumes more time than the client has left; the least that can be stated is 1 ms, and an
/// attempt without any time left is not sent.
pub fn encode_request(
    forwarded: &ForwardedFields,
    server: &str,
    remaining: Duration,
    fill: &Fill,
) -> BytesMut {
    let text = |bytes: &Bytes| String::from_utf8_lossy(bytes).into_owned();
    let mut line = format!(
        "{} {} {}={},{}={},{}={},{}={}",
        words::REQUEST,
        text(&forwarded.id),
        words::CLASS,
        text(&forwarded.class),
        words::OBJECT,
        text(&forwarded.object),
        words::PART,
        text(&forwarded.part),
        words::TIME_LIMIT,
        remaining.as_millis().max(1)
    );
    encode_fill(&mut line, server, fill);
    if let Some(have) = &forwarded.have {
        let _ = write!(line, ",{}={}", words::CLIENT_ETAG, text(have));
    }
    if let Some(key) = &forwarded.idempotency_key {
        let _ = write!(line, ",{}={}", words::IDEMPOTENCY_KEY, text(key));
    }
    let _ = write!(line, " {}\r\n", forwarded.body.len());
    let mut encoded = BytesMut::from(line.as_str());
    encoded.extend_from_slice(&forwarded.body);
    encoded.extend_from_slice(END_OF_LINE);
    encoded
}

/// What the server does on a miss. Writing to a `String` cannot fail.
fn encode_fill(line: &mut String, server: &str, fill: &Fill) {
    // A server that is named as its own source makes no fill.
    if *fill.source != *server {
        let _ = write!(line, ",{}={}", words::SOURCE, fill.source);
    }
    if fill.rank > 0 {
        let _ = write!(line, ",{}={}", words::RETENTION_PRIORITY, fill.rank);
    }
    if let Some(max_age) = fill.oldest {
        // The age that was allowed at the decision, although the server counts it from when the
        // line arrives: a copy from before a purge is older by then than the time since the purge
        // was at the decision, so the delay and the rounding only exclude more copies than
        // necessary. A later count could extend the time for which a copy is fresh, which may be
        // what bounds the age. Never 0, which would mean any age within that time; the fraction of
        // 1 ms that this adds is within the grace of a purge.
        let _ = write!(line, ",{}={}", words::MAX_AGE, max_age.as_millis().max(1));
    }
    let flags = [
        (fill.join, words::FLAG_COALESCE),
        (fill.only_held, words::FLAG_ONLY_IF_CACHED),
        (!fill.parent_keeps, words::FLAG_NO_STORE_AT_PARENT),
        (fill.renew, words::FLAG_REFRESH),
    ];
    let flags: Vec<_> = flags
        .into_iter()
        .filter_map(|(is_set, word)| is_set.then_some(word))
        .collect();
    if !flags.is_empty() {
        let _ = write!(line, ",{}={}", words::FLAGS, flags.join("+"));
    }
}

/// Encodes the cancellation of the request with this id.
pub fn encode_cancel(id: &[u8]) -> Bytes {
    [words::CANCEL, b" ", id, END_OF_LINE].concat().into()
}

/// An answer of a server.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The id of the request.
    pub id: Bytes,
    /// How the attempt has ended.
    pub outcome: Outcome,
    /// The client's copy is the one that would be sent.
    pub is_not_modified: bool,
    /// How the server came by the answer.
    pub remark: Remark,
    /// How long the server's source took until its first byte.
    pub first_byte: Option<Duration>,
    /// The load that the server reports.
    pub load: Load,
    /// The entity tag of the copy.
    pub etag: Option<Bytes>,
    /// When the origin created the copy, in Unix milliseconds.
    pub created_at_unix_ms: Option<u64>,
    /// The copy.
    pub body: Bytes,
}

/// What a server sent is not an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolError {
    /// A line has no end within the bound.
    #[error("expected the end of a line within {MAX_LINE_BYTES} bytes")]
    LineTooLong,
    /// The line of an answer is id, status, fields and body length.
    #[error("expected an answer of four words")]
    WordCount,
    /// The second word is none of the protocol's.
    #[error("expected a known answer status")]
    UnknownStatus,
    /// The last word is not a number within the bound.
    #[error("expected a body length of at most {MAX_BODY_BYTES} bytes")]
    BodyLength,
    /// The body is not followed by the end of a line.
    #[error("expected the end of a line after the body")]
    BodyEnd,
}

/// Decodes answers from a stream that may be split anywhere.
#[derive(Default)]
pub struct AnswerDecoder {
    partial: Option<PartialAnswer>,
}

/// An answer of which the line has been decoded, and the body not.
struct PartialAnswer {
    answer: Answer,
    body_length: usize,
}

impl AnswerDecoder {
    /// The id of the answer that is decoded in part.
    pub fn partial_id(&self) -> Option<&Bytes> {
        self.partial.as_ref().map(|partial| &partial.answer.id)
    }

    /// The next whole answer in the buffer; `None` if more bytes are needed.
    ///
    /// # Errors
    /// What the buffer has instead of an answer. The stream is of no use any more.
    pub fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Answer>, ProtocolError> {
        let partial = match self.partial.take() {
            Some(partial) => partial,
            None => match take_line(buffer)? {
                Some(line) => decode_line(&line)?,
                None => return Ok(None),
            },
        };
        let body_length = partial.body_length;
        let needed = body_length + END_OF_LINE.len();
        if buffer.len() < needed {
            buffer.reserve(needed - buffer.len());
            self.partial = Some(partial);
            return Ok(None);
        }
        if &buffer[body_length..needed] != END_OF_LINE {
            return Err(ProtocolError::BodyEnd);
        }
        let mut answer = partial.answer;
        answer.body = buffer.split_to(body_length).freeze();
        buffer.advance(END_OF_LINE.len());
        Ok(Some(answer))
    }
}

/// Takes a whole line from the buffer, without its end.
fn take_line(buffer: &mut BytesMut) -> Result<Option<Bytes>, ProtocolError> {
    let newline = buffer
        .iter()
        .take(MAX_LINE_BYTES)
        .position(|byte| *byte == b'\n');
    let Some(newline) = newline else {
        return if buffer.len() >= MAX_LINE_BYTES {
            Err(ProtocolError::LineTooLong)
        } else {
            Ok(None)
        };
    };
    let line = buffer.split_to(newline + 1).freeze();
    let end = if line.ends_with(END_OF_LINE) { 2 } else { 1 };
    Ok(Some(line.slice(..line.len() - end)))
}

fn decode_line(line: &Bytes) -> Result<PartialAnswer, ProtocolError> {
    let mut line_words = line.split(|byte| *byte == b' ');
    let mut next_word = || line_words.next().map(|word| line.slice_ref(word));
    let (Some(id), Some(status), Some(list), Some(length), None) = (
        next_word(),
        next_word(),
        next_word(),
        next_word(),
        next_word(),
    ) else {
        return Err(ProtocolError::WordCount);
    };
    let outcome = words::outcome(&status).ok_or(ProtocolError::UnknownStatus)?;
    let body_length = number(&length)
        .and_then(|length| usize::try_from(length).ok())
        .filter(|length| *length <= MAX_BODY_BYTES)
        .ok_or(ProtocolError::BodyLength)?;
    let mut answer = Answer {
        id,
        outcome,
        is_not_modified: &status[..] == words::STATUS_NOT_MODIFIED,
        remark: Remark::None,
        first_byte: None,
        load: Load::default(),
        etag: None,
        created_at_unix_ms: None,
        body: Bytes::new(),
    };
    for (name, value) in fields(&list) {
        decode_field(&mut answer, name, value);
    }
    Ok(PartialAnswer {
        answer,
        body_length,
    })
}

/// Unknown fields and values are left out.
fn decode_field(answer: &mut Answer, name: &[u8], value: Bytes) {
    match name {
        words::REMARK => answer.remark = words::remark(&value),
        words::FIRST_BYTE_MS => answer.first_byte = decode_milliseconds(&value),
        words::LOAD => answer.load = decode_load(&value),
        words::ETAG => answer.etag = Some(value),
        words::CREATED_AT => answer.created_at_unix_ms = number(&value),
        _ => {}
    }
}

fn decode_milliseconds(value: &[u8]) -> Option<Duration> {
    let milliseconds: f64 = std::str::from_utf8(value).ok()?.parse().ok()?;
    Duration::try_from_secs_f64(milliseconds / 1e3).ok()
}

/// A load report is `name:value` entries; unknown names and values that are no finite number are
/// left out.
fn decode_load(report: &[u8]) -> Load {
    let mut load = Load::default();
    for entry in report.split(|byte| *byte == b';') {
        let entry = std::str::from_utf8(entry).ok();
        let Some((name, value)) = entry.and_then(|entry| entry.split_once(':')) else {
            continue;
        };
        let value = value.parse().ok().filter(|value: &f64| value.is_finite());
        match name {
            words::LOAD_IN_FLIGHT | words::LOAD_IN_FLIGHT_SHORT => load.in_hand = value,
            words::LOAD_QUEUED | words::LOAD_QUEUED_SHORT => load.queued = value,
            words::LOAD_UTILIZATION | words::LOAD_BUSY => load.busy = value,
            words::LOAD_HIT_RATIO => load.hit_share = value,
            words::LOAD_LINK => load.link = value,
            _ => {}
        }
    }
    load
}

#[cfg(test)]
mod tests;
