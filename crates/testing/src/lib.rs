//! Harness for system tests with real processes.
//!
//! The daemons under test run as separate processes. Everything they talk to runs inside
//! the test process: [`standin`] replaces endpoints, [`platform`] replaces the list of VMs,
//! and [`proxy`] injects network faults on the connections between them. [`process`] starts,
//! kills and suspends daemons, [`cluster`] builds a system of control replicas and entries,
//! [`site`] one of control replicas and gateways, and [`client`] and [`operator`] send
//! requests, [`cut`] describes answers that end early. [`soak`] runs randomised faults against a site.
//!
//! Two rules keep test results reproducible: every listener binds to port 0, and every wait
//! is for a condition with a generous bound ([`eventually`]).

pub mod client;
pub mod cluster;
pub mod crowd;
pub mod cut;
mod endless;
mod eventually;
pub mod operator;
pub mod platform;
mod port;
pub mod process;
pub mod proxy;
pub mod record;
pub mod runtime;
pub mod site;
pub mod soak;
pub mod standin;

pub use endless::Endless;
pub use eventually::{eventually, wait_until};
pub use port::ClosedPort;
