//! One part of an object, as a store keeps it.

use bytes::Bytes;

/// A copy of one part. Times are Unix milliseconds, as the origin's are.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Copy {
    pub object: Bytes,
    pub part: u64,
    pub group: u64,
    /// How its class is called.
    pub class: Bytes,
    /// When the origin gave it out.
    pub made: u64,
    /// For how long it is fresh from then, in milliseconds; 0: until it is purged.
    pub fresh: u64,
    /// Its size as requests tell it.
    pub kb: f64,
    /// One of several parts of its object.
    pub in_parts: bool,
    /// The tag by which its source knows this version.
    pub tag: Bytes,
    pub body: Bytes,
}
