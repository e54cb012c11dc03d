//! Parses client messages: the command, and the fields of a request.

use super::ClientFrontend;
use crate::client_protocol::{Frame, fields, number};
use crate::server_protocol::ForwardedFields;
use bytes::Bytes;
use chalkhall::interface::{Id, IncomingRequest};
use std::time::Duration;
use thiserror::Error;

/// Longer deadlines of clients are reduced to this, so that timers do not accumulate.
const MAX_DEADLINE: Duration = Duration::from_secs(60);
const MAX_GROUP: u64 = 255;
/// Idempotency keys are usually 32 bytes long.
const MAX_IDEMPOTENCY_KEY_BYTES: usize = 64;
/// The largest size that a request may announce if no client transfer rate is configured.
const DEFAULT_MAX_KB: f64 = 1e9;
const ID_DIGITS: usize = 16;
/// The maximum number of fields of a request, several times what the protocol names.
const MAX_FIELDS: usize = 64;
/// Initial capacity for the field names of a request.
const TYPICAL_FIELD_COUNT: usize = 8;

/// The command of a client message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Command {
    Request,
    /// Cancels a request.
    Abort,
    HealthCheck,
    Unknown,
}

/// A client message.
pub(super) struct ClientMessage {
    pub(super) command: Command,
    /// Identifies the request on its connection. None: the tag is not a number, or is 0.
    pub(super) tag: Option<u64>,
    class: Bytes,
    fields: Bytes,
    body: Bytes,
    /// There was no memory for the body.
    pub(super) is_body_discarded: bool,
}

impl From<Frame> for ClientMessage {
    fn from(frame: Frame) -> ClientMessage {
        let is_body_discarded = frame.is_part_discarded;
        let mut parts = frame.parts.into_iter();
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
            is_body_discarded,
        }
    }
}

/// Why a request fails before any attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum RequestError {
    #[error("unknown class")]
    UnknownClass,
    #[error("unknown tenant")]
    UnknownTenant,
    #[error("duplicate field")]
    DuplicateField,
    #[error("more than {MAX_FIELDS} fields")]
    TooManyFields,
    #[error("field is not a number")]
    InvalidNumber,
    #[error("group is above {MAX_GROUP}")]
    InvalidGroup,
    #[error("size is not a number or out of range")]
    InvalidSize,
    #[error("id is not {ID_DIGITS} hexadecimal digits")]
    InvalidId,
    #[error("idempotency key is empty, too long or has invalid characters")]
    InvalidIdempotencyKey,
    #[error("id, object or deadline is missing")]
    MissingField,
    #[error("too many open requests on the connection")]
    TooManyOpen,
}

/// A valid request.
pub(super) struct ParsedRequest {
    pub(super) arrival: IncomingRequest,
    pub(super) forwarded: ForwardedFields,
}

impl ParsedRequest {
    /// Parses a request.
    ///
    /// # Errors
    /// The first invalid or missing field.
    pub(super) fn parse(
        message: ClientMessage,
        frontend: &ClientFrontend,
    ) -> Result<ParsedRequest, RequestError> {
        let mut request = ParsedRequest {
            arrival: IncomingRequest {
                class: frontend.class_index(&message.class)?,
                ..IncomingRequest::default()
            },
            forwarded: ForwardedFields {
                class: message.class,
                body: message.body,
                part: Bytes::from_static(b"0"),
                ..ForwardedFields::default()
            },
        };
        let mut names = Vec::with_capacity(TYPICAL_FIELD_COUNT);
        for (name, value) in fields(&message.fields) {
            if names.len() == MAX_FIELDS {
                return Err(RequestError::TooManyFields);
            }
            if names.contains(&name) {
                return Err(RequestError::DuplicateField);
            }
            names.push(name);
            request.set_field(name, value, frontend)?;
        }
        let arrival = &request.arrival;
        if arrival.id.is_empty() || arrival.object.is_empty() || arrival.time_left.is_zero() {
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
            b"d" => arrival.time_left = parse_deadline(&value)?,
            b"piece" => (arrival.part, forwarded.part) = (parse_number(&value)?, value),
            b"lot" => arrival.group = parse_group(&value)?,
            b"t" => arrival.customer = frontend.tenant_index(&value)?,
            b"r" => arrival.is_retry = &value[..] == b"1",
            b"m" => arrival.kb = parse_kb(&value, frontend.max_kb())?,
            b"ver" => forwarded.client_etag = Some(value).filter(|etag| parse_id(etag).is_ok()),
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

    /// Looks up a tenant by its name in the settings, or by its number if they name no tenants.
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

    /// The largest plausible size in KB. A size that cannot be transferred within any deadline
    /// would distort the statistics of its class.
    fn max_kb(&self) -> f64 {
        if self.max_kb_per_s > 0.0 {
            self.max_kb_per_s * MAX_DEADLINE.as_secs_f64()
        } else {
            DEFAULT_MAX_KB
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

/// Accepts only bytes that cannot terminate the field or the line in which the key is forwarded.
fn parse_idempotency_key(value: Bytes) -> Result<Bytes, RequestError> {
    let is_plain = |byte: &u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(byte);
    let is_valid =
        (1..=MAX_IDEMPOTENCY_KEY_BYTES).contains(&value.len()) && value.iter().all(is_plain);
    is_valid
        .then_some(value)
        .ok_or(RequestError::InvalidIdempotencyKey)
}
