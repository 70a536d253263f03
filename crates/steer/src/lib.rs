//! Steering decisions as a step function without I/O.
//!
//! [`Steering`] is the interface: the daemon passes observations to it as events and asks
//! it for the placement of each request. Because nothing here does I/O, the same policy
//! runs in the daemon, in experiments that compare it with baselines, and under the fuzzer.
//!
//! - An *entry* is a process that accepts callers' requests and sends them to endpoints of
//!   its failure domain or forwards them to other entries.
//! - *Control* is the replicated service that grants leases to entries and holds the table.
//! - A *row* of the table has the weight, limit, shift cap and objective of one service in
//!   one region.
//! - A *slot* is the capacity of an endpoint for one request at a time.

mod api;
mod availability;
mod config;
mod contact;
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
mod retry_budget;
mod round_robin;
mod shares;
mod shift;
mod usage;

pub use api::{
    Action, Decision, EndpointInfo, EndpointUsage, EntryInfo, Event, FinishKind, Message, Reading,
    RequestInfo, ServiceReport, ServiceUsage, Steering,
};
pub use availability::Availability;
pub use config::{Config, EndpointSelection, SlotOwnership};
pub use lease::{
    Grant, LEASE_DURATION, LEASE_MARGIN, Part, RENEW_INTERVAL, Renew, Roster, ServiceDemand,
    ServiceParts, StoredRoster,
};
pub use lessor::Lessor;
pub use ownership::Ownership;
pub use policy::Policy;
pub use retry_budget::RetryBudget;
pub use round_robin::RoundRobin;
pub use shares::LeasedShares;
