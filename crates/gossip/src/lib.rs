//! What the routers of one zone tell one another in small datagrams, and how far it is believed: which
//! cache has which part of an object, as one of them has found or ordered.
//!
//! All of it is hints. Nothing here sends, rejects or answers a request; what a peer tells only goes where
//! the decisions look anyway (`chalkhall::control::Router::told`), and no rule depends on it: a part that is
//! said to be held is sighted as a repeat and is no likely fill, no more. With no peer heard everything is as
//! without.

pub mod codec;
pub mod gossip;
pub mod lean;
pub mod talk;

pub use lean::Leaning;
pub use talk::{About, Dropped, Ear, Mouth, Talk, To};
