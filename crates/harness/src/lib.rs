//! Hundreds of real router processes on loopback, with all they talk to in one process beside them, and
//! faults between any two: what tests, proofs and operators play and measure. Nothing here decides anything
//! of a router's; it knows what is true and watches.
//!
//! | module | what |
//! | --- | --- |
//! | [`play`] | a play as a file says it |
//! | [`workload`] | who asks for what and when, drawn from the seed |
//! | [`server_model`], [`processor_sharing`], [`object_cache`] | the servers as they are; no I/O |
//! | [`invariants`] | the five rules and conservation, over all routers together; no I/O |
//! | [`zone_network`] | the network between zones; no I/O |
//! | [`zone_metrics`] | what became of each zone's requests; no I/O |
//! | [`load_balance`] | how even load lies, and how it would under other rules; no I/O |
//! | [`children`], [`datagram_relay`], [`wire`] | processes, datagrams, connections |
//! | [`run`] | plays it |
//! | [`report`] | figures, JSON, plots |

pub mod children;
pub mod datagram_relay;
pub mod invariants;
pub mod load_balance;
pub mod object_cache;
pub mod play;
pub mod processor_sharing;
pub mod report;
pub mod run;
pub mod server_model;
pub mod wire;
pub mod workload;
pub mod zone_metrics;
pub mod zone_network;
