//! What is asked of a placer, and what it answers.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use filberthead_types::{FailureDomain, Incarnation, NodeName, Region, ServiceName};

use crate::{Affinity, EndpointId, Mechanism, RetryBudgetConfig};

/// Where a gateway is and what bounds it.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name.
    pub gateway: NodeName,
    /// Its region.
    pub region: Region,
    /// Its failure domain.
    pub domain: FailureDomain,
    /// Region of each failure domain.
    pub regions: BTreeMap<FailureDomain, Region>,
    /// Bounds on further attempts.
    pub retry_budget: RetryBudgetConfig,
    /// Part of a region's requests that may change regions from one window to the next.
    pub max_shift: f64,
    /// Parts of the decision that are left out, in measurements.
    pub disabled: BTreeSet<Mechanism>,
}

impl Config {
    pub(crate) fn uses(&self, mechanism: Mechanism) -> bool {
        !self.disabled.contains(&mechanism)
    }
}

/// What endpoints remember: an endpoint that knows an object by one route is as slow as a
/// stranger when the same name comes by another route. Taking the two for one object sent
/// 129 first requests to where they were believed to be known, and 117 of them were slow
/// (calm day of 5,500 requests, answers over 0.55 s counted as slow).
#[derive(Clone, Copy, Debug)]
pub struct Object<'a> {
    /// The prefix of the route, which stays when routes are renamed or moved to services.
    pub prefix: &'a str,
    /// Its name there.
    pub name: &'a [u8],
}

/// What the decision needs to know of a request.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Service that its route sends it to.
    pub service: &'a ServiceName,
    /// The object that it concerns, if endpoints remember objects.
    pub object: Option<Object<'a>>,
    /// Whether its answer is large.
    pub large: bool,
    /// Time within which its answer is worth most.
    pub objective: Duration,
    /// Time until its caller has left.
    pub remaining: Duration,
    /// Whether it has been refused before: then it is better served late than not at all.
    pub is_caller_retry: bool,
    /// The only regions where it may run; empty allows all.
    pub regions: &'a [Region],
    /// Endpoints that have had it. A later start of one of them counts as having had it too:
    /// it is cold, and the request may be what made it start again.
    pub excluded: &'a [EndpointId],
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Identity that the endpoint must have.
    pub id: EndpointId,
    /// Which of its starts the request was placed at.
    pub incarnation: Option<Incarnation>,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Time that its answer should take.
    pub expected: Duration,
    /// How it stands to the object.
    pub affinity: Affinity,
    /// Whether it concerns an object.
    pub has_object: bool,
    /// Part of what follows that the way there and back takes.
    pub rtt: Duration,
    /// Time that goes by besides: the way there and back, and the wait for a slot.
    pub overhead: Duration,
}

/// Why a request has no place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No endpoint of the service may get it.
    NoEndpoint,
    /// Every endpoint has so much to do that it would answer too late.
    Overloaded,
}

/// What to do with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send it there.
    Send(Target),
    /// Refuse it; nothing has run.
    Refuse {
        /// Why.
        reason: Refusal,
        /// When the caller may come back.
        retry_after: Duration,
    },
}
