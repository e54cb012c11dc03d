//! The protocol of cache servers, parents and the origin: encodes requests and decodes answers,
//! without I/O.
//!
//! A message is a line of words separated by spaces, followed by a body. The last word of the line
//! is the length of the body.

mod keywords;

use crate::chunk_queue::ChunkQueue;
use crate::client_protocol::{fields, number};
use bytes::buf::Limit;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use chalkhall::interface::{Fill, Load, Outcome, Remark};
use std::fmt::Write;
use std::time::Duration;

/// The maximum length of a body. Objects have at most 240,000 bytes.
const MAX_BODY_BYTES: usize = 256_000;
/// The maximum length of the line of an answer.
const MAX_LINE_BYTES: usize = 2_048;
const END_OF_LINE: &[u8] = b"\r\n";

/// The fields of a client's request that are forwarded unchanged to a server.
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
    pub client_etag: Option<Bytes>,
    /// The key by which servers recognize a repeated request.
    pub idempotency_key: Option<Bytes>,
    /// The body of a write.
    pub body: Bytes,
}

/// Encodes the line and the body of a request that is sent now to `server`. The body is not copied.
///
/// `remaining` is the time until the attempt's deadline. It is rounded down, so that the server
/// never assumes more time than the client has left. The minimum that can be stated is 1 ms; an
/// attempt without remaining time is not sent.
pub fn encode_request(
    forwarded: &ForwardedFields,
    server: &str,
    remaining: Duration,
    fill: &Fill,
) -> ChunkQueue {
    let text = |bytes: &Bytes| String::from_utf8_lossy(bytes).into_owned();
    let mut line = format!(
        "{} {} {}={},{}={},{}={},{}={}",
        keywords::REQUEST,
        text(&forwarded.id),
        keywords::CLASS,
        text(&forwarded.class),
        keywords::OBJECT,
        text(&forwarded.object),
        keywords::PART,
        text(&forwarded.part),
        keywords::TIME_LIMIT,
        remaining.as_millis().max(1)
    );
    encode_fill(&mut line, server, fill);
    if let Some(client_etag) = &forwarded.client_etag {
        let _ = write!(line, ",{}={}", keywords::CLIENT_ETAG, text(client_etag));
    }
    if let Some(key) = &forwarded.idempotency_key {
        let _ = write!(line, ",{}={}", keywords::IDEMPOTENCY_KEY, text(key));
    }
    let _ = write!(line, " {}\r\n", forwarded.body.len());
    let body = forwarded.body.clone();
    let chunks = [Bytes::from(line), body, Bytes::from_static(END_OF_LINE)];
    chunks.into_iter().collect()
}

/// Encodes what the server does on a miss. Writing to a `String` cannot fail.
fn encode_fill(line: &mut String, server: &str, fill: &Fill) {
    // A server that is its own source does not fill.
    if *fill.source != *server {
        let _ = write!(line, ",{}={}", keywords::SOURCE, fill.source);
    }
    if fill.priority > 0 {
        let _ = write!(line, ",{}={}", keywords::RETENTION_PRIORITY, fill.priority);
    }
    if let Some(max_age) = fill.max_age {
        // This is the age limit at the decision, although the server applies it when the line
        // arrives. A copy from before a purge is older by then than the time between purge and
        // decision, so the delay and the rounding can only exclude more copies than necessary.
        // Adding the delay to the limit could exceed the freshness lifetime, from which the limit
        // may be derived. The value is never 0, which would allow any age within that lifetime; the
        // fraction of 1 ms that this adds is within the grace period of a purge.
        let _ = write!(
            line,
            ",{}={}",
            keywords::MAX_AGE,
            max_age.as_millis().max(1)
        );
    }
    let flags = [
        (fill.may_join, keywords::FLAG_COALESCE),
        (fill.only_held, keywords::FLAG_ONLY_IF_CACHED),
        (!fill.parent_keeps, keywords::FLAG_NO_STORE_AT_PARENT),
        (fill.revalidate, keywords::FLAG_REFRESH),
    ];
    let flags: Vec<_> = flags
        .into_iter()
        .filter_map(|(is_set, word)| is_set.then_some(word))
        .collect();
    if !flags.is_empty() {
        let _ = write!(line, ",{}={}", keywords::FLAGS, flags.join("+"));
    }
}

/// Encodes the cancellation of the request with this id.
pub fn encode_cancel(id: &[u8]) -> Bytes {
    [keywords::CANCEL, b" ", id, END_OF_LINE].concat().into()
}

/// An answer of a server.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The id of the request.
    pub id: Bytes,
    /// The outcome of the attempt.
    pub outcome: Outcome,
    /// Whether the client already has the copy that would be sent.
    pub is_not_modified: bool,
    /// How the server obtained the answer.
    pub remark: Remark,
    /// The time to first byte of the server's source.
    pub first_byte: Option<Duration>,
    /// The load that the server reports.
    pub load: Load,
    /// The entity tag of the copy.
    pub etag: Option<Bytes>,
    /// When the origin created the copy, in Unix milliseconds.
    pub created_at_unix_ms: Option<u64>,
    /// The body of the copy; empty if it was not admitted.
    pub body: Bytes,
    /// The length of the body that the server sent.
    pub body_length: usize,
}

impl Answer {
    /// Whether the server sent a body that was not admitted.
    pub fn is_body_discarded(&self) -> bool {
        self.body.len() < self.body_length
    }
}

/// The error if a server sent something that is not a valid answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProtocolError {
    /// A line is longer than [`MAX_LINE_BYTES`].
    #[error("line exceeds {MAX_LINE_BYTES} bytes")]
    LineTooLong,
    /// The line does not consist of id, status, fields and body length.
    #[error("answer line does not have four words")]
    WordCount,
    /// The second word is not a status of the protocol.
    #[error("unknown answer status")]
    UnknownStatus,
    /// The last word is not a number, or it exceeds [`MAX_BODY_BYTES`].
    #[error("invalid body length, or more than {MAX_BODY_BYTES} bytes")]
    BodyLength,
    /// The body is not followed by a line end.
    #[error("no line end after the body")]
    BodyEnd,
}

/// Decodes answers from a stream that may be split at any byte.
#[derive(Default)]
pub struct AnswerDecoder {
    partial: Option<PartialAnswer>,
}

/// An answer whose line has been decoded, and whose body is incomplete.
struct PartialAnswer {
    answer: Answer,
    body: PartialBody,
}

/// The received part of a body and of the line end behind it.
enum PartialBody {
    /// The buffer has just the size that is needed: the answer may be kept for long.
    Admitted(BytesMut),
    /// The body was not admitted: the number of its bytes, and of the line end, that have not been
    /// received yet.
    Discarded { remaining: usize },
}

impl AnswerDecoder {
    /// The id of the partially decoded answer, if there is one.
    pub fn partial_id(&self) -> Option<&Bytes> {
        self.partial.as_ref().map(|partial| &partial.answer.id)
    }

    /// Decodes the next complete answer in the buffer. Returns `None` if more bytes are needed.
    ///
    /// `admits` is asked, with the id of the request and the length of the body, whether a body may
    /// be kept, before memory is allocated for it. If not, its bytes are discarded as they come.
    ///
    /// # Errors
    /// The data is not a valid answer. The stream cannot be used any more.
    pub fn decode(
        &mut self,
        buffer: &mut BytesMut,
        admits: &mut dyn FnMut(&Bytes, usize) -> bool,
    ) -> Result<Option<Answer>, ProtocolError> {
        let mut partial = match self.partial.take() {
            Some(partial) => partial,
            None => match take_line(buffer)? {
                Some(line) => decode_line(&line)?.into_partial(admits),
                None => return Ok(None),
            },
        };
        if !partial.receive(buffer)? {
            self.partial = Some(partial);
            return Ok(None);
        }
        Ok(Some(partial.complete()))
    }

    /// How many more bytes of a body are needed, and the buffer that they are to be read into; none
    /// if the next bytes belong elsewhere.
    pub fn body_buffer(&mut self) -> Option<Limit<&mut BytesMut>> {
        let partial = self.partial.as_mut()?;
        let needed = partial.answer.body_length + END_OF_LINE.len();
        match &mut partial.body {
            PartialBody::Admitted(body) => {
                let remaining = needed - body.len();
                Some(body.limit(remaining))
            }
            PartialBody::Discarded { .. } => None,
        }
    }
}

impl Answer {
    fn into_partial(self, admits: &mut dyn FnMut(&Bytes, usize) -> bool) -> PartialAnswer {
        let needed = self.body_length + END_OF_LINE.len();
        let body = if self.body_length == 0 || admits(&self.id, self.body_length) {
            PartialBody::Admitted(BytesMut::with_capacity(needed))
        } else {
            PartialBody::Discarded { remaining: needed }
        };
        PartialAnswer { answer: self, body }
    }
}

impl PartialAnswer {
    /// Takes what belongs to this answer from the buffer. Returns whether it is complete.
    fn receive(&mut self, buffer: &mut BytesMut) -> Result<bool, ProtocolError> {
        let body_length = self.answer.body_length;
        match &mut self.body {
            PartialBody::Admitted(body) => {
                let needed = body_length + END_OF_LINE.len();
                let taken = buffer.len().min(needed - body.len());
                body.extend_from_slice(&buffer[..taken]);
                buffer.advance(taken);
                check_line_end(body.get(body_length..).unwrap_or_default())?;
                Ok(body.len() == needed)
            }
            PartialBody::Discarded { remaining } => {
                let in_body = remaining.saturating_sub(END_OF_LINE.len());
                let skipped = buffer.len().min(in_body);
                buffer.advance(skipped);
                *remaining -= skipped;
                let received = END_OF_LINE.len().saturating_sub(*remaining);
                let taken = buffer.len().min(*remaining);
                if *remaining > END_OF_LINE.len() {
                    return Ok(false);
                }
                check_line_end_from(received, &buffer[..taken])?;
                buffer.advance(taken);
                *remaining -= taken;
                Ok(*remaining == 0)
            }
        }
    }

    fn complete(self) -> Answer {
        let mut answer = self.answer;
        if let PartialBody::Admitted(mut body) = self.body {
            body.truncate(answer.body_length);
            answer.body = body.freeze();
        }
        answer
    }
}

/// Checks the received part of a line end.
fn check_line_end(received: &[u8]) -> Result<(), ProtocolError> {
    check_line_end_from(0, received)
}

/// Checks a part of a line end that follows its first `position` bytes.
fn check_line_end_from(position: usize, received: &[u8]) -> Result<(), ProtocolError> {
    if END_OF_LINE[position..].starts_with(received) {
        Ok(())
    } else {
        Err(ProtocolError::BodyEnd)
    }
}

/// Takes a complete line from the buffer, and strips the line end.
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
    let text = &buffer[..newline];
    // Copied, as parts of the line would keep all of the buffer alive.
    let line = Bytes::copy_from_slice(text.strip_suffix(b"\r").unwrap_or(text));
    buffer.advance(newline + 1);
    Ok(Some(line))
}

fn decode_line(line: &Bytes) -> Result<Answer, ProtocolError> {
    let mut line_words = line.split(|byte| *byte == b' ');
    let mut next_word = || line_words.next().map(|word| line.slice_ref(word));
    let (Some(id), Some(status), Some(field_list), Some(length), None) = (
        next_word(),
        next_word(),
        next_word(),
        next_word(),
        next_word(),
    ) else {
        return Err(ProtocolError::WordCount);
    };
    let outcome = keywords::outcome(&status).ok_or(ProtocolError::UnknownStatus)?;
    let body_length = number(&length)
        .and_then(|length| usize::try_from(length).ok())
        .filter(|length| *length <= MAX_BODY_BYTES)
        .ok_or(ProtocolError::BodyLength)?;
    let mut answer = Answer {
        id,
        outcome,
        is_not_modified: &status[..] == keywords::STATUS_NOT_MODIFIED,
        remark: Remark::None,
        first_byte: None,
        load: Load::default(),
        etag: None,
        created_at_unix_ms: None,
        body: Bytes::new(),
        body_length,
    };
    for (name, value) in fields(&field_list) {
        decode_field(&mut answer, name, value);
    }
    Ok(answer)
}

/// Decodes one field. Unknown fields are ignored.
fn decode_field(answer: &mut Answer, name: &[u8], value: Bytes) {
    match name {
        keywords::REMARK => answer.remark = keywords::remark(&value),
        keywords::FIRST_BYTE_MS => answer.first_byte = decode_milliseconds(&value),
        keywords::LOAD => answer.load = decode_load(&value),
        keywords::ETAG => answer.etag = Some(value),
        keywords::CREATED_AT => answer.created_at_unix_ms = number(&value),
        _ => {}
    }
}

fn decode_milliseconds(value: &[u8]) -> Option<Duration> {
    let milliseconds: f64 = std::str::from_utf8(value).ok()?.parse().ok()?;
    Duration::try_from_secs_f64(milliseconds / 1e3).ok()
}

/// Decodes a load report, a list of `name:value` entries. Unknown names and values that are not
/// finite numbers are ignored.
fn decode_load(report: &[u8]) -> Load {
    let mut load = Load::default();
    for entry in report.split(|byte| *byte == b';') {
        let entry = std::str::from_utf8(entry).ok();
        let Some((name, value)) = entry.and_then(|entry| entry.split_once(':')) else {
            continue;
        };
        let value = value.parse().ok().filter(|value: &f64| value.is_finite());
        match name {
            keywords::LOAD_IN_FLIGHT | keywords::LOAD_IN_FLIGHT_SHORT => load.in_service = value,
            keywords::LOAD_QUEUED | keywords::LOAD_QUEUED_SHORT => load.queued = value,
            keywords::LOAD_UTILIZATION | keywords::LOAD_BUSY => load.utilization = value,
            keywords::LOAD_HIT_RATIO => load.hit_share = value,
            keywords::LOAD_LINK => load.link = value,
            _ => {}
        }
    }
    load
}

#[cfg(test)]
mod tests;
