//! The library from which the gateway, control and entry daemons are built.
//!
//! A daemon is a set of duties. A duty is a thread that runs its own async runtime, owns its
//! state exclusively, and exchanges messages with the other duties over bounded queues (rings)
//! only, so that a slow or stuck duty can't block another one or make it use unbounded memory.

mod clock;
pub mod control;
mod duty;
pub mod entry;
mod fingerprint;
pub mod gateway;
mod peers;
mod ready;
mod stall;
mod stop;
mod supervisor;

pub use clock::Clock;
pub use duty::{Duty, DutyError, LocalFuture};
pub use stall::StallMonitor;
pub use stop::Stop;
pub use supervisor::SuperviseError;
