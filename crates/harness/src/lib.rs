//! Runs hundreds of real router processes on loopback against simulated servers, clients and discovery in
//! one process, with faults between any two, for tests, proofs and operators. The harness makes no routing
//! decisions: it knows the true state and checks the routers against it.
//!
//! | module | content |
//! | --- | --- |
//! | [`scenario`] | the scenario file |
//! | [`workload`] | requests drawn from the seed: when, at which router, for which object |
//! | [`server_model`], [`processor_sharing`], [`object_cache`] | model of the servers; no I/O |
//! | [`invariants`] | the five rules and request accounting over all routers; no I/O |
//! | [`zone_network`] | network between zones; no I/O |
//! | [`zone_metrics`] | service per zone during losses; no I/O |
//! | [`load_balance`] | load balance as measured, and under other assignment rules; no I/O |
//! | [`processes`], [`datagram_relay`], [`connections`] | processes, datagrams, connections |
//! | [`run`] | runs a scenario |
//! | [`report`] | figures, JSON, plots |

pub mod connections;
pub mod datagram_relay;
pub mod invariants;
pub mod load_balance;
pub mod object_cache;
pub mod processes;
pub mod processor_sharing;
pub mod report;
pub mod run;
pub mod scenario;
pub mod server_model;
pub mod workload;
pub mod zone_metrics;
pub mod zone_network;
