//! Identifiers, units and result codes shared by all packages.
//!
//! They are in a small package below all others, so that the state machines (`consensus`,
//! `ledger`, `steer`, `spread`) can refer to nodes and results without depending on a
//! transport. Nothing here does I/O or reads a clock: the time is a [`Moment`] passed in as an
//! argument.

mod code;
mod fingerprint;
pub mod header;
mod id;
mod name;
mod reference;

pub use code::{Meaning, ResultCode, UnknownCodeError};
pub use fingerprint::{Fingerprint, RequestPrints};
pub use id::{
    ChangeId, ClusterId, Epoch, Incarnation, ParseIdError, ReplicaId, RequestId, Revision, Version,
};
pub use name::{FailureDomain, NameError, NodeName, Region, ServiceName, Workspace};
pub use reference::result_codes_page;

/// A moment on the monotonic clock: time since an origin fixed at process start.
///
/// State machines take it as an argument and never read a clock, so that tests can pause and
/// advance time, and so that a process that was suspended sees the full gap at its next step.
pub type Moment = std::time::Duration;
