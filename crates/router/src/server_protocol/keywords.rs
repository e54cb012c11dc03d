//! The keywords of the server protocol and their meanings.

use chalkhall::interface::{Outcome, Remark};

// The first word of a request line, and the names of its fields.
pub(super) const REQUEST: &str = "ASK";
pub(super) const CLASS: &str = "cls";
pub(super) const OBJECT: &str = "item";
pub(super) const PART: &str = "chunk";
pub(super) const TIME_LIMIT: &str = "limit";
pub(super) const SOURCE: &str = "src";
pub(super) const RETENTION_PRIORITY: &str = "keep";
pub(super) const MAX_AGE: &str = "maxage";
pub(super) const FLAGS: &str = "flags";
pub(super) const CLIENT_ETAG: &str = "have";
pub(super) const IDEMPOTENCY_KEY: &str = "nonce";

// Values of the flags field.
pub(super) const FLAG_COALESCE: &str = "collapse";
pub(super) const FLAG_ONLY_IF_CACHED: &str = "only-if-cached";
pub(super) const FLAG_NO_STORE_AT_PARENT: &str = "no-store-up";
pub(super) const FLAG_REFRESH: &str = "refresh";

/// The line that cancels a request.
pub(super) const CANCEL: &[u8] = b"QUIT";

/// The status of an answer without a body, because the client has the same copy.
pub(super) const STATUS_NOT_MODIFIED: &[u8] = b"SAME";

// Names of the fields of an answer.
pub(super) const REMARK: &[u8] = b"tell";
pub(super) const FIRST_BYTE_MS: &[u8] = b"ttfb";
pub(super) const LOAD: &[u8] = b"meter";
pub(super) const ETAG: &[u8] = b"etag";
pub(super) const CREATED_AT: &[u8] = b"made";

// Names of the entries of a load report.
pub(super) const LOAD_IN_FLIGHT: &str = "inflight";
pub(super) const LOAD_IN_FLIGHT_SHORT: &str = "rif";
pub(super) const LOAD_QUEUED: &str = "queue";
pub(super) const LOAD_QUEUED_SHORT: &str = "q";
pub(super) const LOAD_UTILIZATION: &str = "util";
pub(super) const LOAD_BUSY: &str = "busy";
pub(super) const LOAD_HIT_RATIO: &str = "x0";
pub(super) const LOAD_LINK: &str = "x1";

/// The outcome of an attempt with this answer status; `None` if the status is unknown.
pub(super) fn outcome(status: &[u8]) -> Option<Outcome> {
    Some(match status {
        b"OK" | STATUS_NOT_MODIFIED => Outcome::Served,
        b"MISS" => Outcome::Missing,
        b"BUSY" => Outcome::Full,
        b"ERR" => Outcome::Error,
        b"VOID" => Outcome::NeverSent,
        _ => return None,
    })
}

/// How the server obtained its answer; [`Remark::None`] if the word is unknown.
pub(super) fn remark(word: &[u8]) -> Remark {
    match word {
        b"hit" => Remark::Hit,
        b"filled" => Remark::Filled,
        b"via_origin" => Remark::FilledByOrigin,
        b"joined" => Remark::Joined,
        b"stale" => Remark::Stale,
        b"src_refused" => Remark::SourceRefused,
        b"src_broke" => Remark::SourceUnreached,
        b"src_lacks" => Remark::SourceLacks,
        b"no_slot" => Remark::NoFillCapacity,
        b"origin_failed" => Remark::OriginFailed,
        _ => Remark::None,
    }
}
