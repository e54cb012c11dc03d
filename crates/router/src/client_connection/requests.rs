//! Reads clients' messages: which command each one is, and the fields of a request.

use super::ClientFrontend;
use crate::client_protocol::{fields, number};
use crate::server_protocol::ForwardedFields;
use bytes::Bytes;
use chalkhall::interface::{Arrival, Id};
use std::time::Duration;
use thiserror::Error;

/// No request waits for longer, whatever its client says: its timers would pile up.
const MAX_DEADLINE: Duration = Duration::from_secs(60);
const MAX_GROUP: u64 = 255;
/// An idempotency key has 32 bytes usually.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 64;
/// The largest size that a request may announce where no client's transfer rate is configured.
const MAX_KB: f64 = 1e9;
const ID_DIGITS: usize = 16;
/// Fields of a usual request.
const USUAL_FIELDS: usize = 8;

/// What a client's message asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Command {
    Request,
    /// The client has given up a request.
    Abort,
    HealthCheck,
    Unknown,
}

/// One message of a client.
pub(super) struct ClientMessage {
    pub(super) command: Command,
    /// Which request of its connection it is about; none: what came is no number, or zero.
    pub(super) tag: Option<u64>,
    class: Bytes,
    fields: Bytes,
    body: Bytes,
}

impl From<Vec<Bytes>> for ClientMessage {
    fn from(frame: Vec<Bytes>) -> ClientMessage {
        let mut parts = frame.into_iter();
        let mut next = || parts.next().unwrap_or_default();
        let command = match &next()[..] {
            b"REQ" => Command::Request,
            b"ABORT" => Command::Abort,
            b"HEALTH" => Command::HealthCheck,
            _ => Command::Unknown,
        };
        ClientMessage {
            command,
            tag: number(&next()).filter(|tag| *tag > 0),
            class: next(),
            fields: next(),
            body: next(),
        }
    }
}

/// Why a request fails before any attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum RequestError {
    #[error("its class is not configured")]
    UnknownClass,
    #[error("its tenant is not configured")]
    UnknownTenant,
    #[error("a field is given twice")]
    DuplicateField,
    #[error("a field is not a number")]
    InvalidNumber,
    #[error("its group is above {MAX_GROUP}")]
    InvalidGroup,
    #[error("its size is no number within bounds")]
    InvalidSize,
    #[error("an id is not {ID_DIGITS} hexadecimal digits")]
    InvalidId,
    #[error("its idempotency key is empty, too long or not plain")]
    InvalidIdempotencyKey,
    #[error("it lacks its id, its object or its time")]
    MissingField,
    #[error("too many requests are open on its connection")]
    TooManyOpen,
}

/// A valid request.
pub(super) struct ParsedRequest {
    pub(super) arrival: Arrival,
    pub(super) forwarded: ForwardedFields,
}

impl ParsedRequest {
    /// Reads a request.
    ///
    /// # Errors
    /// Which of its fields is invalid.
    pub(super) fn parse(
        message: ClientMessage,
        frontend: &ClientFrontend,
    ) -> Result<ParsedRequest, RequestError> {
        let mut request = ParsedRequest {
            arrival: Arrival {
                class: frontend.class_index(&message.class)?,
                ..Arrival::default()
            },
            forwarded: ForwardedFields {
                class: message.class,
                body: message.body,
                part: Bytes::from_static(b"0"),
                ..ForwardedFields::default()
            },
        };
        let mut names = Vec::with_capacity(USUAL_FIELDS);
        for (name, value) in fields(&message.fields) {
            if names.contains(&name) {
                return Err(RequestError::DuplicateField);
            }
            names.push(name);
            request.set_field(name, value, frontend)?;
        }
        let arrival = &request.arrival;
        if arrival.id.is_empty() || arrival.object.is_empty() || arrival.left.is_zero() {
            return Err(RequestError::MissingField);
        }
        Ok(request)
    }

    fn set_field(
        &mut self,
        name: &[u8],
        value: Bytes,
        frontend: &ClientFrontend,
    ) -> Result<(), RequestError> {
        let (arrival, forwarded) = (&mut self.arrival, &mut self.forwarded);
        match name {
            b"i" => (arrival.id, forwarded.id) = (parse_id(&value)?, value),
            b"o" => (arrival.object, forwarded.object) = (parse_id(&value)?, value),
            b"d" => arrival.left = parse_deadline(&value)?,
            b"piece" => (arrival.part, forwarded.part) = (parse_number(&value)?, value),
            b"lot" => arrival.group = parse_group(&value)?,
            b"t" => arrival.customer = frontend.tenant_index(&value)?,
            b"r" => arrival.repeated = &value[..] == b"1",
            b"m" => arrival.kb = parse_kb(&value, frontend.max_kb())?,
            b"ver" => forwarded.have = Some(value).filter(|etag| parse_id(etag).is_ok()),
            b"k" => forwarded.idempotency_key = Some(parse_idempotency_key(value)?),
            _ => {}
        }
        Ok(())
    }
}

impl ClientFrontend {
    fn class_index(&self, name: &[u8]) -> Result<usize, RequestError> {
        self.classes
            .iter()
            .position(|class| class.as_bytes() == name)
            .ok_or(RequestError::UnknownClass)
    }

    /// By its name in the settings; by its number where they name none.
    fn tenant_index(&self, name: &[u8]) -> Result<usize, RequestError> {
        let index = if self.tenants.is_empty() {
            number(name).map(|number| number as usize)
        } else {
            self.tenants
                .iter()
                .position(|tenant| tenant.as_bytes() == name)
        };
        index.ok_or(RequestError::UnknownTenant)
    }

    /// A size that could not be sent while any client waits would distort the statistics of its
    /// class.
    fn max_kb(&self) -> f64 {
        if self.max_kb_per_s > 0.0 {
            self.max_kb_per_s * MAX_DEADLINE.as_secs_f64()
        } else {
            MAX_KB
        }
    }
}

fn parse_number(value: &[u8]) -> Result<u64, RequestError> {
    number(value).ok_or(RequestError::InvalidNumber)
}

fn parse_deadline(value: &[u8]) -> Result<Duration, RequestError> {
    let deadline = Duration::from_millis(parse_number(value)?);
    Ok(deadline.min(MAX_DEADLINE))
}

fn parse_group(value: &[u8]) -> Result<u64, RequestError> {
    let group = parse_number(value)?;
    if group > MAX_GROUP {
        return Err(RequestError::InvalidGroup);
    }
    Ok(group)
}

fn parse_kb(value: &[u8], max_kb: f64) -> Result<f64, RequestError> {
    std::str::from_utf8(value)
        .ok()
        .and_then(|digits| digits.parse::<f64>().ok())
        .filter(|kb| (0.0..=max_kb).contains(kb))
        .ok_or(RequestError::InvalidSize)
}

fn parse_id(value: &[u8]) -> Result<Id, RequestError> {
    let is_valid = value.len() == ID_DIGITS && value.iter().all(u8::is_ascii_hexdigit);
    std::str::from_utf8(value)
        .ok()
        .filter(|_| is_valid)
        .map(Id::from)
        .ok_or(RequestError::InvalidId)
}

/// Only bytes that cannot end the field or the line in which the key is forwarded.
fn parse_idempotency_key(value: Bytes) -> Result<Bytes, RequestError> {
    let is_plain = |byte: &u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(byte);
    let is_valid =
        (1..=MAX_IDEMPOTENCY_KEY_BYTES).contains(&value.len()) && value.iter().all(is_plain);
    is_valid
        .then_some(value)
        .ok_or(RequestError::InvalidIdempotencyKey)
}
