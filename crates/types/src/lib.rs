//! Identifiers, units and result codes that every package shares.
//!
//! They stand in one small package below all others, so that the step functions
//! (`consensus`, `ledger`, `steer`, `spread`) can name nodes and results without
//! depending on any transport. Nothing here does I/O or reads a clock: a moment
//! is a [`Moment`], handed in by whoever owns the runtime.

mod code;
pub mod header;
mod id;
mod name;
mod reference;

pub use code::{Meaning, ResultCode, UnknownCodeError};
pub use id::{
    ChangeId, ClusterId, Epoch, Incarnation, ParseIdError, ReplicaId, RequestId, Revision, Version,
};
pub use name::{FailureDomain, NameError, NodeName, Region, ServiceName};
pub use reference::result_codes_page;

/// A moment on the monotonic clock: time since an origin fixed at process start.
///
/// Step functions take it as an argument and never read a clock of their own, so
/// that tests pause and advance time, and so that a process that was suspended
/// sees the whole gap at its next step.
pub type Moment = std::time::Duration;
