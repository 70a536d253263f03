//! Chooses the endpoint that each request of a gateway runs on, without I/O.
//!
//! A [`Placer`] receives the list of endpoints, the routes, the requests and their outcomes,
//! and decides where the next request goes. It reads no clock and opens no connection, so the
//! same code runs in the gateway, under a paused clock and in the placement experiments.
//!
//! An endpoint that has handled an object recently is several times faster with it. These docs
//! call such an object *cached* there, and a region other than the gateway's own *remote*.
//!
//! The parts of a decision, and the problem that each solves:
//!
//! - *Order by object* (`rank`): requests for one object go to the same endpoints, where it is
//!   cached. Every gateway computes the same order without communication.
//! - *Expected time* (`cost`): of the endpoints that may run a request, the one that should
//!   respond first is chosen, counting its queue, the round trip to it, whether it has the
//!   object cached, and how slow it has been.
//! - *Routes* (`route_times`): under contention control, times are expected for each route of a service.
//! - *Popular objects* (`objects`): under contention control, an object has an endpoint in each failure domain
//!   of its region, and more if it needs them.
//! - *Other regions* (`plan`): where a region has too few endpoints, some of its objects are
//!   placed in another region. The share of requests that run there changes only slowly, so
//!   that no region receives a step of load.
//! - *Rebalancing back* (`shift`): the share that actually runs in another region falls as
//!   slowly, also when that region is overloaded.
//! - *Cold endpoints* (`cold`): each receives no more requests per second than it can handle,
//!   summed over all gateways, without communication between them.
//! - *Limits of endpoints* (`limit_share`): each that names the rate it takes receives no more, summed
//!   over all gateways.
//! - *Rest* (`rest`): an endpoint that asks for rest gets nothing until its end, and then one request at
//!   a time until one has run.
//! - *Priority* (`priority`): under overload only the most urgent requests may be late.
//! - *Large responses* (`link`): they yield to short messages on a VM's own link.
//! - *Admission* (`admission`): large responses beyond a share of the link are rejected.
//! - *Connections* (`balance`): a gateway whose link is busier than those of its neighbours
//!   closes some connections, so that their callers choose a gateway again.
//! - *Rejections* (`attempts`): a request that an endpoint rejected although it had free slots
//!   may go there again, because its object is cached there.
//! - *Retries* (`retry_budget`): they stay within a ratio of first attempts and a floor, summed over
//!   all gateways.
//! - *Contact* (`contact`): a gateway that can't reach a failure domain's endpoints sends them nothing,
//!   whether they or its own links are down.
//! - *Crashing requests* (`quarantine`): a request under which endpoints have ended is refused.
//! - *Usual times* (`usual_times`): a gateway that is about to end takes the requests that end before it.
//! - *Waiting* (`waiting`): while a service is congested, requests wait at the gateway in order of priority.
//! - *Limits on a sum* (`sharing`): by how many gateways they are divided, and when a gateway has
//!   a part of them.

mod admission;
mod at_rest;
mod attempts;
mod balance;
mod cold;
mod contact;
mod cost;
mod decide;
mod endpoint;
mod limit_parts;
mod limit_share;
mod link;
mod mechanism;
mod named_limit;
mod objects;
mod placer;
mod plan;
mod planning;
mod priority;
mod quarantine;
mod rank;
mod request;
mod request_retries;
mod rest;
mod retry_budget;
mod route_times;
mod sharing;
mod shift;
mod suspicions;
mod unlisted;
mod usual_times;
pub mod waiting;

pub use admission::LargeResponseAdmission;
pub use attempts::{Attempts, NextAttempt};
pub use balance::ConnectionBalancer;
pub use contact::{ContactChange, ContactProbe, ContactState, PROBE_TIMEOUT};
pub use cost::Affinity;
pub use endpoint::{EndpointId, EndpointRef, Load, Outcome};
pub use link::Link;
pub use mechanism::{Mechanism, UnknownMechanism};
pub use named_limit::{LimitChange, NamedLimit};
pub use objects::ObjectChange;
pub use placer::{Availability, Placer};
pub use planning::ServiceEstimate;
pub use request::{
    Config, Decision, Expected, Homes, Object, PassedOver, Refusal, Request, Target,
};
pub use request_retries::{RequestRetries, RetryRecord, SentAs};
pub use rest::{NamedRest, RestChange};
pub use retry_budget::{
    BudgetUsage, Holder, RetryBudget, RetryBudgetConfig, RetryDecision, RetryEnd, RetryId,
};
pub use route_times::RouteKey;
pub use sharing::{HELD_FOR, LimitShare};
pub use suspicions::RunVerdict;
pub use usual_times::{TimedRoute, UsualTimes};
