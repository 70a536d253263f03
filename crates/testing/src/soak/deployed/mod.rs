//! Soaks of a whole deployment: as many gateways, control replicas and endpoints as its description
//! says, with its rates, deadlines and limits, each as a process of its own.
//!
//! Endpoints are processes too, so that they can be suspended, starved and killed while their
//! kernel's buffers hold requests that they haven't read. A [`DeployedPlan`] is generated from a
//! seed: faults of all kinds that start at any moment and overlap. What is checked is what callers
//! and endpoints have seen, by the same checks as in the other soaks.

mod callers;
mod cold;
mod contact;
mod crashing;
mod deployment;
mod faults;
mod given_up;
mod grants;
mod leaving;
mod limits;
mod plan;
mod rest;
mod runner;
mod sent;
mod trouble;

pub use contact::{EndpointCut, Tries, find_unserved, tries_during};
pub use crashing::{CrashSummary, CrashingRequest, crash_summaries, find_unheld};
pub use deployment::{Deployment, DeploymentError, DeploymentLimits, DomainSpec, ServiceSpec};
pub use faults::{Downtime, Faults};
pub use given_up::{PlannedStop, find_given_up};
pub use grants::{Grants, Ungranted, find_sent_without_retry, find_ungranted};
pub use leaving::{LeavingSummary, find_sent_to_leaving, leaving_summary};
pub use limits::{LimitSummary, find_exceeded, limit_summaries};
pub use plan::{Action, DeployedPlan, EndpointAction, LoadChange, TimedAction};
pub use rest::{RestSummary, WorstRest, find_unrested, rest_summary};
pub use runner::{DeployedReport, ServiceRetries, SoakPrograms, run_deployed};
pub use sent::Senders;
pub use trouble::{ALL_TROUBLES, TroubleKind};
