//! Input and output of a placement decision.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use filberthead_types::{FailureDomain, Incarnation, NodeName, Region, ServiceName};

use crate::{Affinity, EndpointId, Mechanism, RetryBudgetConfig, RouteKey};

/// Where a gateway runs, and the limits of its decisions.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the gateway.
    pub gateway: NodeName,
    /// Region of the gateway.
    pub region: Region,
    /// Failure domain of the gateway.
    pub domain: FailureDomain,
    /// Region of each failure domain.
    pub regions: BTreeMap<FailureDomain, Region>,
    /// Limits of retries.
    pub retry_budget: RetryBudgetConfig,
    /// Share of a region's requests that may move to other regions between two consecutive
    /// windows.
    pub max_shift: f64,
    /// Whether contention control is on from the start.
    pub contention_control: bool,
    /// Mechanisms that are switched off, for measurements only.
    pub disabled: BTreeSet<Mechanism>,
}

impl Config {
    pub(crate) fn uses(&self, mechanism: Mechanism) -> bool {
        !self.disabled.contains(&mechanism)
    }
}

/// The unit that endpoints cache: a name together with the route's prefix. An endpoint that
/// has a name cached for one route is slow when the same name arrives by another route. With
/// both counted as one object, 129 first requests went to endpoints assumed to have the object
/// cached, and 117 of them were slow (a day of 5,500 requests without incidents; responses
/// over 0.55 s counted as slow).
#[derive(Clone, Copy, Debug)]
pub struct Object<'a> {
    /// Prefix of the route. It stays the same when the route is renamed or moved to another
    /// service.
    pub prefix: &'a str,
    /// Name of the object under that prefix.
    pub name: &'a [u8],
}

/// The regions where a request may run: those that its route and its workspace both allow.
#[derive(Clone, Copy, Debug, Default)]
pub struct Homes<'a> {
    /// The only regions that the route allows; empty allows all.
    pub route: &'a [Region],
    /// The only regions that the workspace allows; empty allows all.
    pub workspace: &'a [Region],
}

impl Homes<'_> {
    /// Whether the request may run in this region.
    pub fn allow(&self, region: Option<&Region>) -> bool {
        let allows = |regions: &[Region]| {
            regions.is_empty() || region.is_some_and(|region| regions.contains(region))
        };
        allows(self.route) && allows(self.workspace)
    }
}

/// The properties of a request that a decision depends on.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Service that the request's route selects.
    pub service: &'a ServiceName,
    /// The request's route.
    pub route: RouteKey,
    /// The object that the request is for; `None` if endpoints cache nothing for it.
    pub object: Option<Object<'a>>,
    /// Whether a large response is expected.
    pub large: bool,
    /// Latency objective of the route.
    pub objective: Duration,
    /// Time until the caller's deadline.
    pub remaining: Duration,
    /// Priority of the workspace, or else of the route; 0 is the most urgent.
    pub priority: u8,
    /// Whether the caller repeats a request that was rejected before. It is then better served
    /// late than rejected again.
    pub is_caller_retry: bool,
    /// Where the request may run.
    pub homes: Homes<'a>,
    /// Endpoints that the request isn't sent to again. A later start of one of them is
    /// excluded too: it is cold, and the request may be what made the endpoint restart.
    pub excluded: &'a [EndpointId],
}

/// The work that a request is expected to be at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Expected {
    /// Time with its object cached.
    pub cached: Duration,
    /// Time with its object unknown.
    pub unknown: Duration,
    /// Whether an endpoint is expected to have its object cached.
    pub is_cached: bool,
}

/// The endpoint that a request is sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Identity that the endpoint must have.
    pub id: EndpointId,
    /// Start of the endpoint that was chosen; `None` if the platform reports no starts.
    pub incarnation: Option<Incarnation>,
    /// Address that the endpoint listens on.
    pub addr: SocketAddr,
    /// Route of the request.
    pub route: RouteKey,
    /// Expected processing time, without `overhead`.
    pub expected: Duration,
    /// The same at the usual speed of the endpoint's VM.
    pub usual: Duration,
    /// Whether the endpoint is expected to have the object cached.
    pub affinity: Affinity,
    /// Whether the request is for an object.
    pub has_object: bool,
    /// Whether its object is sent to more than one endpoint.
    pub is_replicated: bool,
    /// Network round trip, a part of `overhead`.
    pub rtt: Duration,
    /// Network round trip and wait for a free slot.
    pub overhead: Duration,
    /// Number of the request among those of this gateway; each attempt has its own.
    pub number: u64,
    /// Whether it is in another region than the gateway.
    pub is_remote: bool,
    /// Other endpoints that weren't considered.
    pub passed_over: PassedOver,
}

impl Target {
    /// How many times longer than usual work was expected to take on the endpoint's VM.
    pub(crate) fn slowdown(&self) -> f64 {
        match self.usual.is_zero() {
            true => 1.0,
            false => self.expected.as_secs_f64() / self.usual.as_secs_f64(),
        }
    }

    /// How long work was expected to take on the endpoint's VM, in hundredths of the usual time; `None` if
    /// it is as usual.
    pub fn slowdown_percent(&self) -> Option<u32> {
        let percent = (100.0 * self.slowdown()).round() as u32;
        (percent != 100).then_some(percent)
    }
}

/// Endpoints that a request may run on, but isn't sent to because of what they have said.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PassedOver {
    /// Those at rest.
    pub resting: usize,
    /// Time until the first of those is back; `None` without any.
    pub first_back: Option<Duration>,
    /// Those back from a rest that have to answer a request before they get another one.
    pub returning: usize,
    /// Those that have said that they are leaving.
    pub leaving: usize,
}

impl PassedOver {
    /// Whether there is any.
    pub fn any(&self) -> bool {
        self.resting + self.returning + self.leaving > 0
    }
}

/// Why a request isn't sent to any endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No endpoint of the service is eligible.
    NoEndpoint,
    /// Some would be eligible, but this gateway has no contact with them.
    OutOfReach,
    /// Every eligible endpoint has so much work queued that it would respond too late.
    Overloaded,
}

/// The outcome of a placement decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send the request to this endpoint.
    Send(Target),
    /// Reject the request; it hasn't run.
    Refuse {
        /// The cause.
        reason: Refusal,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}
