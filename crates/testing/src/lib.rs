//! What tests need around the real processes.
//!
//! The system is proved by its own daemons as real processes; all that they talk to is
//! small and stands in this process: [`standin`] for endpoints, [`platform`] for the
//! list of VMs, and between all of them [`proxy`], which injects the faults of networks.
//! [`process`] starts, kills and suspends daemons, [`cluster`] puts a whole system
//! together, and [`client`] speaks for callers and operators.
//!
//! Two rules keep verdicts the same every run: whatever listens is bound to port 0, and
//! whatever is waited for is a condition with a generous bound ([`eventually`]).

pub mod client;
pub mod cluster;
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

pub use eventually::{eventually, wait_until};
pub use port::ClosedPort;
