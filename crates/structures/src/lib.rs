//! Data structures without a decision: each bounded, each held against a plain one by property tests.

mod recent;

pub use recent::Recent;
