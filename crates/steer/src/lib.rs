//! Steering decisions as a step function without I/O.
//!
//! [`Steering`] is the interface: the daemon passes observations to it as events and asks
//! it for the placement of each request. Because nothing here does I/O, the same policy
//! runs in the daemon, in experiments that compare it with baselines, and under the fuzzer.

mod api;
mod config;
mod cost;
mod decide;
mod endpoint;
mod estimate;
mod hash;
mod health;
mod lease;
mod lessor;
mod lookup;
mod ownership;
mod peers;
mod policy;
mod pool;
mod queue;
mod region;
mod renewal;
mod round_robin;
mod shares;
mod shift;
mod usage;

pub use api::{
    Action, Decision, EndpointInfo, EndpointUsage, EntryInfo, Event, FinishKind, Message, Reading,
    RequestInfo, ServiceReport, ServiceUsage, Steering,
};
pub use config::{Config, EndpointSelection, SlotOwnership};
pub use lease::{
    Grant, LEASE_DURATION, LEASE_MARGIN, Part, RENEW_INTERVAL, Renew, Roster, ServiceDemand,
    ServiceParts, StoredRoster,
};
pub use lessor::Lessor;
pub use ownership::Ownership;
pub use policy::Policy;
pub use round_robin::RoundRobin;
pub use shares::LeasedShares;
