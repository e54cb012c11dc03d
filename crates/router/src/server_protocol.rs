//! The protocol of cache servers, parents and origin: lines of words, bodies behind lengths. Pure: no I/O.

use crate::client_protocol::{fields, number};
use bytes::{Buf, Bytes, BytesMut};
use chalkhall::interface::{Fill, Load, Outcome, Remark};
use std::fmt::Write;
use std::time::Duration;

/// Objects hold 240,000 bytes at most.
const BODY_MOST: usize = 256_000;
const LINE_MOST: usize = 2_048;

/// What a server sent breaks the protocol: which expectation it broke.
#[derive(Debug, PartialEq, Eq)]
pub struct ProtocolError(pub &'static str);

/// What a line to a server passes on of a request as it came.
#[derive(Clone, Debug, Default)]
pub struct ForwardedFields {
    pub id: Bytes,
    pub class: Bytes,
    pub object: Bytes,
    pub part: Bytes,
    /// The tag of the client's copy.
    pub have: Option<Bytes>,
    /// By it servers know the repeats of a deduplicated request.
    pub idempotency_key: Option<Bytes>,
    pub body: Bytes,
}

/// The line of a request that leaves now; its body and the end of a line follow.
///
/// `left` is the time until the attempt's deadline. It is rounded down, so that the server is never told of
/// more than the client has left; the least that can be said is 1 ms, and who has nothing left sends nothing.
pub fn ask(passed: &ForwardedFields, server: &str, left: Duration, fill: &Fill) -> BytesMut {
    let text = |bytes: &Bytes| String::from_utf8_lossy(bytes).into_owned();
    let mut line = format!(
        "ASK {} cls={},item={},chunk={},limit={}",
        text(&passed.id),
        text(&passed.class),
        text(&passed.object),
        text(&passed.part),
        left.as_millis().max(1)
    );
    // A server named as its own source is asked for no fill.
    if *fill.source != *server {
        let _ = write!(line, ",src={}", fill.source);
    }
    if fill.rank > 0 {
        let _ = write!(line, ",keep={}", fill.rank);
    }
    if let Some(oldest) = fill.oldest {
        // The age that was allowed at the decision, though the server counts it from when the line comes: a
        // copy from before the purge is older by then than the time since the purge was at the decision, so
        // the delay and the rounding only make a copy younger than need be. Counting anew could stretch the
        // fresh time, which may be what bounds the age. Never 0, which would mean any within the fresh time;
        // the fraction of 1 ms that this adds lies within the grace of a purge.
        let _ = write!(line, ",maxage={}", oldest.as_millis().max(1));
    }
    let flags = [
        (fill.join, "collapse"),
        (fill.only_held, "only-if-cached"),
        (!fill.parent_keeps, "no-store-up"),
        (fill.renew, "refresh"),
    ];
    let flags: Vec<_> = flags
        .into_iter()
        .filter_map(|(set, word)| set.then_some(word))
        .collect();
    if !flags.is_empty() {
        let _ = write!(line, ",flags={}", flags.join("+"));
    }
    if let Some(have) = &passed.have {
        let _ = write!(line, ",have={}", text(have));
    }
    if let Some(key) = &passed.idempotency_key {
        let _ = write!(line, ",nonce={}", text(key));
    }
    let _ = write!(line, " {}\r\n", passed.body.len());
    BytesMut::from(line.as_str())
}

pub fn quit(id: &[u8]) -> Bytes {
    [b"QUIT ", id, b"\r\n"].concat().into()
}

#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    pub id: Bytes,
    pub outcome: Outcome,
    /// The client's copy is the one that would be sent.
    pub same: bool,
    pub remark: Remark,
    pub first_byte: Option<Duration>,
    pub load: Load,
    pub etag: Option<Bytes>,
    /// The Unix millisecond at which the origin gave out the copy.
    pub made: Option<u64>,
    pub body: Bytes,
}

fn remark(word: &[u8]) -> Remark {
    match word {
        b"hit" => Remark::Hit,
        b"filled" => Remark::Filled,
        b"via_origin" => Remark::FilledByOrigin,
        b"joined" => Remark::Joined,
        b"stale" => Remark::Stale,
        b"src_refused" => Remark::SourceRefused,
        b"src_broke" => Remark::SourceUnreached,
        b"src_lacks" => Remark::SourceLacks,
        b"no_slot" => Remark::NoFillPlace,
        b"origin_failed" => Remark::OriginFailed,
        _ => Remark::None,
    }
}

fn load(meter: &[u8]) -> Load {
    let mut load = Load::default();
    for entry in meter
        .split(|b| *b == b';')
        .filter_map(|entry| std::str::from_utf8(entry).ok())
    {
        let Some((name, value)) = entry.split_once(':') else {
            continue;
        };
        let value = value.parse().ok().filter(|v: &f64| v.is_finite());
        match name {
            "inflight" | "rif" => load.in_hand = value,
            "queue" | "q" => load.queued = value,
            "util" | "busy" => load.busy = value,
            "x0" => load.hit_share = value,
            "x1" => load.link = value,
            _ => {}
        }
    }
    load
}

/// Takes answers from a stream that may be split anywhere.
#[derive(Default)]
pub struct Answers {
    /// The answer whose body is coming, and the body's length.
    begun: Option<(Answer, usize)>,
}

impl Answers {
    /// Whose answer has come in part.
    pub fn coming(&self) -> Option<&Bytes> {
        self.begun.as_ref().map(|(answer, _)| &answer.id)
    }

    pub fn next(&mut self, buffer: &mut BytesMut) -> Result<Option<Answer>, ProtocolError> {
        loop {
            if let Some((_, length)) = &self.begun {
                let length = *length;
                if buffer.len() < length + 2 {
                    buffer.reserve(length + 2 - buffer.len());
                    return Ok(None);
                }
                if &buffer[length..length + 2] != b"\r\n" {
                    return Err(ProtocolError("a body that does not end where it says"));
                }
                let Some((mut answer, _)) = self.begun.take() else {
                    return Ok(None);
                };
                answer.body = buffer.split_to(length).freeze();
                buffer.advance(2);
                return Ok(Some(answer));
            }
            let Some(end) = buffer.iter().take(LINE_MOST).position(|b| *b == b'\n') else {
                let long = buffer.len() >= LINE_MOST;
                return if long {
                    Err(ProtocolError("a line too long"))
                } else {
                    Ok(None)
                };
            };
            let line = buffer.split_to(end + 1).freeze();
            let line = line.slice(..line.len() - if line.ends_with(b"\r\n") { 2 } else { 1 });
            self.begun = Some(begin(&line)?);
        }
    }
}

/// The line of an answer, and how long a body follows.
fn begin(line: &Bytes) -> Result<(Answer, usize), ProtocolError> {
    let mut words = line.split(|b| *b == b' ').map(|word| line.slice_ref(word));
    let (Some(id), Some(word), Some(list), Some(length), None) = (
        words.next(),
        words.next(),
        words.next(),
        words.next(),
        words.next(),
    ) else {
        return Err(ProtocolError("an answer that is not four words"));
    };
    let (outcome, same) = match &word[..] {
        b"OK" => (Outcome::Served, false),
        b"SAME" => (Outcome::Served, true),
        b"MISS" => (Outcome::Missing, false),
        b"BUSY" => (Outcome::Full, false),
        b"ERR" => (Outcome::Error, false),
        b"VOID" => (Outcome::NeverSent, false),
        _ => return Err(ProtocolError("an answer of an unknown word")),
    };
    let length = number(&length)
        .filter(|n| *n <= BODY_MOST as u64)
        .ok_or(ProtocolError("a body too long"))?;
    let mut answer = Answer {
        id,
        outcome,
        same,
        remark: Remark::None,
        first_byte: None,
        load: Load::default(),
        etag: None,
        made: None,
        body: Bytes::new(),
    };
    for (name, value) in fields(&list) {
        match name {
            b"tell" => answer.remark = remark(&value),
            b"ttfb" => {
                let ms = std::str::from_utf8(&value)
                    .ok()
                    .and_then(|v| v.parse::<f64>().ok());
                answer.first_byte = ms.and_then(|ms| Duration::try_from_secs_f64(ms / 1e3).ok());
            }
            b"meter" => answer.load = load(&value),
            b"etag" => answer.etag = Some(value),
            b"made" => answer.made = number(&value),
            _ => {}
        }
    }
    Ok((answer, length as usize))
}

#[cfg(test)]
mod tests;
