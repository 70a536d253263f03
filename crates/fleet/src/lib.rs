//! State distribution between gateways and control replicas, as step functions free of I/O.
//!
//! A gateway ([`Member`]) reports to a few control replicas, and to more of them while none
//! proves that its routes are the newest. A replica ([`Registry`]) answers with the revisions
//! that it holds and relays the reports to the other replicas. A process that sees a higher
//! revision than its own pulls it from the sender. So a gateway that is cut off from the
//! leader still receives a change from any replica that has it, and no replica has to track
//! which of its messages arrived.
//!
//! Three kinds of state are distributed, each under a revision that never decreases:
//!
//! - the routes in force and the set of evacuated failure domains, each under its index in
//!   the replicated log, so that all replicas number them alike;
//! - the list of endpoints, which the leader reads and stamps with its term, so that a list
//!   from a deposed leader is always older. A holder of an older list receives only the
//!   changes since then (`list`).
//!
//! Long messages are sent to gateways in parts, which they pull one by one (`parts`).
//!
//! Invariant: a [`Member`] never returns to a lower revision of any of these. A process
//! starts without state and serves nothing until it has both routes and a list.

mod allotments;
mod api;
mod contacts;
mod division;
mod evacuations;
mod list;
mod member;
mod parts;
mod registry;
mod routes;
mod suspicion;

pub use api::{
    Demand, Endpoint, EndpointChange, EndpointState, GatewayInfo, Helper, Message, Order,
    OrderError, Outbound, Part, RelayedReport, Report, Revision, Revisions, Stamp,
};
pub use evacuations::{
    EvacuationAction, EvacuationOrder, NextStep, OrderAttempt, OrderId, OrderOutcome,
    OrderRevisions,
};
pub use member::{Load, Member, Update, UpdateDelay};
pub use registry::{COUNT_COMPLETE_AFTER, ProofRequest, Registry, WorkspaceUsage};
pub use suspicion::{EndpointLoss, EndpointStart, Suspicion, most_certain};
