//! What the routers of one zone report to each other in small datagrams, and how far it is trusted:
//! which cache has which part of an object, as one of them has found out or ordered.
//!
//! All of it is hints. Nothing here sends, rejects or answers a request. A peer's report only
//! influences where the decisions look anyway (`chalkhall::control::Router::record_peer_finding`), and no rule
//! depends on it: a part that is reported as cached counts as a repeated access and as an unlikely
//! fill, no more. Without reports from peers a router decides as if there were no gossip.

pub mod codec;
pub mod gossip;
pub mod peer_exchange;
pub mod weight_balancer;

pub use peer_exchange::{
    DatagramSender, Destination, Dropped, ExchangeConfig, HintReceiver, PeerExchange,
};
pub use weight_balancer::WeightReceiver;
