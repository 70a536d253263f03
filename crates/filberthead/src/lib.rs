//! The library that joins the packages into the two daemons.
//!
//! A daemon is a set of duties. Each duty is a thread with a runtime of its own, owns
//! its state alone, and is joined to the others by bounded rings only, so that a duty
//! that is slow or stuck can't make another one wait or grow without bound.

mod clock;
pub mod control;
mod duty;
pub mod entry;
pub mod gateway;
mod peers;
mod ready;
mod stop;
mod supervisor;

pub use clock::Clock;
pub use duty::{Duty, DutyError, LocalFuture};
pub use stop::Stop;
pub use supervisor::SuperviseError;
