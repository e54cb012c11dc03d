//! End-to-end tests: the router runs as a process on loopback, and fakes stand in for its clients,
//! servers, discovery service and peers.

mod cancellation;
mod cells;
mod clients;
mod clock_steps;
mod configuration;
mod deadlines;
mod deployments;
mod descriptor_limits;
mod discovery;
mod fleet;
mod floods;
mod forwarding;
mod incomplete_requests;
mod local_cache;
mod local_failures;
mod memory;
mod moments;
mod pauses;
mod quiet_then_faults;
mod server_connections;
mod shutdown;
mod shutdown_basic;
mod soak;
mod stand_ins;
mod support;
mod wire_oracle;
