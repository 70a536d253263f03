//! What gateways and control tell each other, as step functions free of I/O.
//!
//! A gateway reports to a few control replicas ([`Member`]) and to more of them while none
//! proves that it is up to date; a replica answers with the revisions that it holds and
//! tells the other replicas of the gateways that report to it ([`Registry`]). Whoever sees a
//! higher revision than its own asks for it. So a gateway that is cut off from the leader
//! still gets a change from any replica that has it, and no replica has to know which of
//! its messages arrived.
//!
//! Three things spread this way, each under a revision that only goes up:
//!
//! - the routes in force and the evacuated failure domains, under their index in the
//!   replicated log, so that all replicas number them alike;
//! - the list of endpoints, which one leader reads and stamps with its term, so that
//!   whatever a deposed leader still sends loses. Who holds an older list is told what has
//!   changed since (`list`).
//!
//! What is long goes to gateways in parts, which they ask for (`parts`).
//!
//! Invariant: a [`Member`] never goes back to a lower revision of anything. A process that
//! starts anew begins with nothing and serves nothing until it has both routes and list.

mod api;
mod contacts;
mod list;
mod member;
mod parts;
mod registry;
mod routes;

pub use api::{
    Demand, Endpoint, EndpointChange, EndpointState, GatewayInfo, Message, Order, OrderError,
    Outbound, Part, RelayedReport, Report, Revision, Revisions, Stamp,
};
pub use member::{Load, Member, Update, UpdateDelay};
pub use registry::{ProofRequest, Registry};
