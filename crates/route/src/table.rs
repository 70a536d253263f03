//! The table of routes and its validation.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use filberthead_types::{Region, ServiceName, Workspace as WorkspaceName};
use serde::{Deserialize, Serialize};
use snafu::{Snafu, ensure};

use crate::{Allotment, KeyDigest, Workspace};

/// Whether requests of a route may be repeated, and how large their responses are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Kind {
    /// Idempotent; may run any number of times.
    Safe,
    /// Not idempotent; runs at most once.
    Unsafe,
    /// Idempotent, with a large response.
    Download,
}

impl Kind {
    /// Name in logs and metrics.
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
    /// Share of the requests, relative to the weights of the other targets.
    pub weight: u32,
}

/// A route: a host and a path prefix, and the properties of the requests that match them.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Route {
    /// Name in logs.
    pub name: String,
    /// Host of a request, without port, in lower case.
    pub host: String,
    /// Prefix of a request's path.
    pub prefix: String,
    /// Whether requests may be repeated.
    pub kind: Kind,
    /// Longest time until a caller receives a response.
    pub timeout: Duration,
    /// Latency objective: the time within which a response should arrive.
    pub objective: Duration,
    /// Priority among the routes of a service; 0 is the highest.
    pub priority: u8,
    /// The targets of requests. Not empty in a valid table.
    pub targets: Vec<Target>,
    /// Maximum number of endpoints that one request is sent to.
    pub max_attempts: u32,
    /// Whether requests for one object should go to the same endpoint.
    pub sticky: bool,
    /// The only regions where requests may run; empty allows all.
    pub regions: Vec<Region>,
    /// Whether requests need no API key.
    pub public: bool,
}

/// Properties of a service's endpoints.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Path of the health check.
    pub health_path: String,
    /// Connections that an endpoint accepts from all clients together.
    pub max_connections: u32,
    /// How long an endpoint is cold after its start.
    pub cold_for: Duration,
    /// Requests per second that a cold endpoint can handle.
    pub cold_per_s: f64,
}

/// Limits for the requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CallerBounds {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: u64,
    /// Time within which a request's head has to arrive.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerBounds {
    /// Limits until a table sets them: enough for any usual client.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 64 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A complete configuration of routes.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Table {
    /// The routes. Consecutive tables share the routes that are unchanged.
    pub routes: Vec<Arc<Route>>,
    /// The services that routes may name.
    pub services: Vec<Service>,
    /// Limits for callers.
    pub bounds: CallerBounds,
    /// The workspaces. If there are any, requests on routes that aren't public need a key of one
    /// of them. Consecutive tables share the workspaces that are unchanged.
    pub workspaces: Vec<Arc<Workspace>>,
}

/// Why a table isn't valid. Names the first invalid route or workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Snafu)]
pub enum InvalidTable {
    /// A route names a service that isn't in the table.
    #[snafu(display("route `{route}` names the unknown service `{service}`"))]
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: ServiceName,
    },
    /// A route has a timeout of zero.
    #[snafu(display("route `{route}` has a timeout of 0"))]
    ZeroTimeout {
        /// The route.
        route: String,
    },
    /// A prefix that matches no path, because it doesn't start with a slash.
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
    /// Two workspaces share a key, so it doesn't identify a caller.
    #[snafu(display("workspaces `{first}` and `{second}` share a key"))]
    SharedKey {
        /// A workspace.
        first: WorkspaceName,
        /// Another workspace, or a second one of the same name.
        second: WorkspaceName,
    },
    /// A workspace has an allotment that isn't a valid number of requests.
    #[snafu(display("workspace `{workspace}` has an invalid allotment"))]
    InvalidAllotment {
        /// The workspace.
        workspace: WorkspaceName,
    },
}

impl Table {
    /// Validates the table.
    ///
    /// # Errors
    ///
    /// Returns the first error that is found, each kind as its own variant of
    /// [`InvalidTable`].
    pub fn check(&self) -> Result<(), InvalidTable> {
        let services: BTreeSet<_> = self.services.iter().map(|service| &service.name).collect();
        let has_service = |service: &ServiceName| services.contains(service);
        self.routes
            .iter()
            .try_for_each(|route| check_route(route, has_service))?;
        check_workspaces(&self.workspaces)
    }

    /// The service with this name.
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

fn check_workspaces(workspaces: &[Arc<Workspace>]) -> Result<(), InvalidTable> {
    let mut holders: HashMap<KeyDigest, &Arc<Workspace>> = HashMap::new();
    for workspace in workspaces {
        for key in &workspace.keys {
            let holder = *holders.entry(*key).or_insert(workspace);
            ensure!(
                Arc::ptr_eq(holder, workspace),
                SharedKeySnafu {
                    first: holder.name.clone(),
                    second: workspace.name.clone()
                }
            );
        }
        let is_valid = workspace.allotment.is_none_or(|Allotment { rate, burst }| {
            rate > 0.0 && burst >= 0.0 && rate.is_finite() && burst.is_finite()
        });
        ensure!(
            is_valid,
            InvalidAllotmentSnafu {
                workspace: workspace.name.clone()
            }
        );
    }
    Ok(())
}
