//! Hundreds of real router processes on loopback, with all they talk to in one process beside them, and
//! faults between any two: what tests, proofs and operators play and measure. Nothing here decides anything
//! of a router's; it knows what is true and watches.
//!
//! | module | what |
//! | --- | --- |
//! | [`play`] | a play as a file says it |
//! | [`work`] | who asks for what and when, drawn from the seed |
//! | [`truth`], [`station`], [`copies`] | the servers as they are; no I/O |
//! | [`watch`] | the five rules and conservation, over all routers together; no I/O |
//! | [`ways`] | the network between zones; no I/O |
//! | [`places`] | what became of each zone's requests; no I/O |
//! | [`even`] | how even load lies, and how it would under other rules; no I/O |
//! | [`children`], [`net`], [`wire`] | processes, datagrams, connections |
//! | [`run`] | plays it |
//! | [`report`] | figures, JSON, plots |

pub mod children;
pub mod copies;
pub mod even;
pub mod net;
pub mod places;
pub mod play;
pub mod report;
pub mod run;
pub mod station;
pub mod truth;
pub mod watch;
pub mod ways;
pub mod wire;
pub mod work;
