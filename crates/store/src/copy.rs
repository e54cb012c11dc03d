//! A cached copy of one part of an object.

use bytes::Bytes;

/// A copy of one part. Times are Unix milliseconds, by the origin's clock.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Copy {
    pub object: Bytes,
    pub part: u64,
    pub group: u64,
    /// The name of its class.
    pub class: Bytes,
    /// When the origin sent it.
    pub created_at_ms: u64,
    /// Milliseconds after `created_at_ms` for which it is fresh; 0: until it is purged.
    pub fresh_for_ms: u64,
    /// The size that requests state, in KB.
    pub kb: f64,
    /// Whether its object consists of several parts.
    pub is_multipart: bool,
    /// The entity tag of this version, as its source sent it.
    pub etag: Bytes,
    pub body: Bytes,
}
