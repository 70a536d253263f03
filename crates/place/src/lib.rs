//! Where a request runs: decisions of a gateway, free of I/O.
//!
//! A [`Placer`] is told which endpoints there are, what was sent to them and how it ended,
//! and says where the next request goes. It reads no clock and opens no connection, so the
//! same code runs in the gateway, under a paused clock and in the experiments.
//!
//! How it decides, and the load that each part answers:
//!
//! - *By object* (`rank`): an endpoint that has handled an object lately is several times
//!   faster with it, so requests for one object go to the same endpoints, in an order that
//!   every gateway computes alike without talking.
//! - *By expected time* (`cost`): of the endpoints that may run a request the one goes
//!   first that should answer soonest, counting what waits there, how far it is, whether it
//!   knows the object, and how slow it has been.
//! - *Across regions* (`plan`): where a region has too few endpoints, some of its
//!   objects live in another one; the part of requests that run elsewhere changes only
//!   slowly, so that no region is met by a step of load.
//! - *Return* (`shift`): the part that really runs elsewhere falls as slowly, also when the
//!   other region is full.
//! - *Cold endpoints* (`cold`): each gets no more requests a second than it bears, from
//!   all gateways together, without their talking.
//! - *Large answers* (`link`): they give way to short messages on a VM's own link.
//! - *Admission* (`admission`): beyond a part of the link, large answers are refused.
//! - *Connections* (`balance`): a gateway with more of them than its neighbours ends some,
//!   so that their callers choose anew.
//! - *Refusals* (`attempts`): a request that was refused by an endpoint with room may go there
//!   again, where its object is known.
//! - *Retries* (`retry_budget`): further attempts stay within a part of first ones, over all
//!   gateways, without their talking.

mod admission;
mod attempts;
mod balance;
mod cold;
mod cost;
mod decide;
mod endpoint;
mod link;
mod mechanism;
mod placer;
mod plan;
mod planning;
mod rank;
mod request;
mod retry_budget;
mod shift;

pub use admission::LargeResponseAdmission;
pub use attempts::{Attempts, NextAttempt};
pub use balance::ConnectionBalancer;
pub use cost::Affinity;
pub use endpoint::{EndpointId, Load, Outcome};
pub use link::Link;
pub use mechanism::{Mechanism, UnknownMechanism};
pub use placer::Placer;
pub use planning::ServiceEstimate;
pub use request::{Config, Decision, Object, Refusal, Request, Target};
pub use retry_budget::{RetryBudget, RetryBudgetConfig};
