//! Shared support of the program tests: fakes for the router's clients, servers and discovery
//! service on loopback, the router process, and builders for its configuration. A wait whose
//! condition does not hold in time fails the test.

mod environment;
mod fake_discovery;
mod fake_server;
mod idle_clients;
mod loopback;
mod router_process;
mod running_discovery;
mod scheduled_instant;
mod settings;
mod test_client;
mod wait;

pub use environment::*;
pub use fake_discovery::*;
pub use fake_server::*;
pub use idle_clients::*;
pub use loopback::*;
pub use router_process::*;
pub use running_discovery::*;
pub use scheduled_instant::*;
pub use settings::*;
pub use test_client::*;
pub use wait::*;
