//! The table of routes, and what makes one valid.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use filberthead_types::{Region, ServiceName};
use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Kind {
    /// Idempotent; may run any number of times.
    Safe,
    /// Not idempotent; runs at most once.
    Unsafe,
    /// Idempotent, with a large answer.
    Download,
}

impl Kind {
    /// A word for it, in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Safe => "safe",
            Self::Unsafe => "unsafe",
            Self::Download => "download",
        }
    }

    /// Whether a request may run a second time.
    pub fn is_idempotent(self) -> bool {
        self != Self::Unsafe
    }
}

/// A service that a route sends requests to.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Target {
    /// The service.
    pub service: ServiceName,
    /// Its part of the requests, in relation to the other targets' weights.
    pub weight: u32,
}

/// A route: a host and a path prefix, and what is promised to requests on it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Route {
    /// Its name, for logs.
    pub name: String,
    /// Host that a request names, without port, in lower case.
    pub host: String,
    /// What the path of a request begins with.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is worth most to its caller.
    pub objective: Duration,
    /// Rank among the routes of a service; 0 goes first.
    pub priority: u8,
    /// Where requests go. Not empty in a valid table.
    pub targets: Vec<Target>,
    /// Endpoints that one request may be sent to, at most.
    pub max_attempts: u32,
    /// Whether requests for one object are best sent to one endpoint.
    pub sticky: bool,
    /// The only regions where requests may run; empty allows all.
    pub regions: Vec<Region>,
}

/// A service as its endpoints have it.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Path that tells an endpoint's health.
    pub health_path: String,
    /// Connections that an endpoint accepts from all callers together.
    pub max_connections: u32,
    /// How long an endpoint is cold after its start.
    pub cold_for: Duration,
    /// Requests a second that a cold endpoint bears.
    pub cold_per_s: f64,
}

/// What a caller may send, and how long it may take or stay idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CallerBounds {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: u64,
    /// Time for a request's head to come in.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerBounds {
    /// What applies until a table names bounds: enough for any usual client.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 64 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One whole configuration of routes.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Table {
    /// The routes. Tables that follow one another share those that stay.
    pub routes: Vec<Arc<Route>>,
    /// The services that they may name.
    pub services: Vec<Service>,
    /// Bounds for callers.
    pub bounds: CallerBounds,
}

/// Why a table isn't valid. Names the first route at fault.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
pub enum InvalidTable {
    /// A route names a service that the table lacks.
    #[snafu(display("route `{route}` names the unknown service `{service}`"))]
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: ServiceName,
    },
    /// A route lets callers wait for no time at all.
    #[snafu(display("route `{route}` has a timeout of 0"))]
    ZeroTimeout {
        /// The route.
        route: String,
    },
    /// A prefix that no path begins with.
    #[snafu(display("route `{route}` has the prefix `{prefix}`, which begins with no slash"))]
    PrefixWithoutSlash {
        /// The route.
        route: String,
        /// Its prefix.
        prefix: String,
    },
    /// A route without a host.
    #[snafu(display("route `{route}` has an empty host"))]
    EmptyHost {
        /// The route.
        route: String,
    },
    /// A route with no target, or with weights that add up to 0.
    #[snafu(display("route `{route}` sends requests nowhere"))]
    NoTarget {
        /// The route.
        route: String,
    },
}

impl Table {
    /// Finds the first fault of the table.
    ///
    /// # Errors
    ///
    /// Each fault has a variant of its own in [`InvalidTable`].
    pub fn check(&self) -> Result<(), InvalidTable> {
        let services: BTreeSet<_> = self.services.iter().map(|service| &service.name).collect();
        let has_service = |service: &ServiceName| services.contains(service);
        self.routes
            .iter()
            .try_for_each(|route| check_route(route, has_service))
    }

    /// The service of that name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.iter().find(|service| service.name == *name)
    }
}

fn check_route(
    route: &Route,
    has_service: impl Fn(&ServiceName) -> bool,
) -> Result<(), InvalidTable> {
    let name = &route.name;
    let prefix = &route.prefix;
    ensure!(!route.host.is_empty(), EmptyHostSnafu { route: name });
    ensure!(
        prefix.starts_with('/'),
        PrefixWithoutSlashSnafu {
            route: name,
            prefix
        }
    );
    ensure!(!route.timeout.is_zero(), ZeroTimeoutSnafu { route: name });
    if let Some(target) = route
        .targets
        .iter()
        .find(|target| !has_service(&target.service))
    {
        let service = target.service.clone();
        return UnknownServiceSnafu {
            route: name,
            service,
        }
        .fail();
    }
    let weight: u64 = route.targets.iter().map(|t| u64::from(t.weight)).sum();
    ensure!(weight > 0, NoTargetSnafu { route: name });
    Ok(())
}
