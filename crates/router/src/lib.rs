//! A router on real sockets, run by `serve`. All decisions are made by `chalkhall::control`.

mod backoff;
mod boot_time;
pub mod cell_routing;
mod chunk_queue;
mod client_connection;
mod client_protocol;
mod clock;
mod configuration;
mod control_socket;
mod decider;
mod discovery;
mod discovery_events;
mod error;
mod gossip_socket;
mod io_errors;
mod latency_probes;
mod lifecycle;
mod listener;
pub mod local_cache;
pub mod logging;
pub mod memory;
mod messages;
mod operator_query;
mod rate_limited_log;
mod read_wait;
mod reload;
mod retrying_stream;
mod scheduling_delay;
mod server_connection;
mod server_pool;
mod server_protocol;
mod shutdown;
mod startup;
mod timestamps;
mod zone_failover;

pub use error::RouterError;

use chalkhall_config::Directives;
use clock::Clock;
use std::path::PathBuf;
use tokio::task::LocalSet;

/// Runs a router until it has ended. It is configured by its environment and by the operator's
/// file, which are read again at each SIGHUP.
///
/// # Errors
/// If the router cannot start, or its decider panics.
pub fn serve(directives: Directives, directives_path: Option<PathBuf>) -> Result<(), RouterError> {
    memory::configure_heap();
    let clock = Clock::start();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .on_thread_park(scheduling_delay::before_wait)
        .on_thread_unpark(scheduling_delay::after_wait)
        .build()?;
    LocalSet::new().block_on(&runtime, startup::run(clock, directives, directives_path))
}
