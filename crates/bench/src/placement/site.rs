//! The deployment that patterns run on: three regions, one of which (`middle`) has a third
//! of the callers and a tenth of the slots.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use filberthead_fleet::{Endpoint, EndpointState};
use filberthead_place::{Config, RetryBudgetConfig};
use filberthead_route::{CallerBounds, Kind, Route, Service, Table, Target};
use filberthead_types::{FailureDomain, Region, ServiceName};

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub struct KindOfRequest {
    /// Name, also of its route.
    pub name: &'static str,
    pub(super) service: &'static str,
    /// Priority in patterns that have priorities; 0 is the most urgent.
    pub(super) priority: u8,
    /// Share of all requests.
    pub(super) share: f64,
    /// Mean service time where the object isn't cached, in milliseconds.
    pub(super) work_ms: f64,
    pub(super) objective_ms: u64,
    pub(super) timeout_ms: u64,
    /// Number of objects that the callers of each region use.
    pub(super) objects: u32,
}

/// The kinds of request: two for each of the two services.
pub const KINDS: [KindOfRequest; 4] = [
    kind("view", ("desk", 1), 0.55, 880.0, (600, 2000), 35),
    kind("upload", ("desk", 0), 0.20, 1160.0, (800, 2500), 24),
    kind("sign", ("lock", 0), 0.18, 600.0, (400, 1500), 24),
    kind("close", ("lock", 1), 0.07, 720.0, (500, 2000), 24),
];

/// Factor on a request's service time where its object is cached.
pub(super) const CACHED_WORK_FACTOR: f64 = 0.3;
/// Service times vary uniformly by up to this share of their mean.
pub(super) const WORK_SPREAD: f64 = 0.15;
/// Round trip to another region, in milliseconds.
pub(super) const INTER_REGION_RTT_MS: u64 = 24;

/// Failure domains: name, region, endpoints of `desk`, endpoints of `lock`.
const DOMAINS: [(&str, &str, u32, u32); 6] = [
    ("north-1", "north", 6, 3),
    ("north-2", "north", 6, 3),
    ("middle-1", "middle", 1, 1),
    ("middle-2", "middle", 1, 1),
    ("south-1", "south", 5, 2),
    ("south-2", "south", 5, 2),
];

const fn kind(
    name: &'static str,
    (service, priority): (&'static str, u8),
    share: f64,
    work_ms: f64,
    (objective_ms, timeout_ms): (u64, u64),
    objects: u32,
) -> KindOfRequest {
    KindOfRequest {
        name,
        service,
        priority,
        share,
        work_ms,
        objective_ms,
        timeout_ms,
        objects,
    }
}

impl KindOfRequest {
    pub(super) fn service(&self) -> ServiceName {
        self.service.parse().expect("a valid name")
    }

    pub(super) fn prefix(&self) -> String {
        format!("/{}/", self.name)
    }
}

pub(super) fn domains() -> Vec<FailureDomain> {
    let name = |(name, ..): &(&str, &str, u32, u32)| name.parse().expect("a valid name");
    DOMAINS.iter().map(name).collect()
}

pub(super) fn regions() -> BTreeMap<FailureDomain, Region> {
    let name_and_region = |(name, region, ..): &(&str, &str, u32, u32)| {
        let region = region.parse().expect("a valid name");
        (name.parse().expect("a valid name"), region)
    };
    DOMAINS.iter().map(name_and_region).collect()
}

pub(super) fn slots(service: &str) -> u32 {
    if service == "desk" { 6 } else { 3 }
}

/// Objects that an endpoint's cache holds.
pub(super) fn cache_capacity(service: &str) -> usize {
    if service == "desk" { 30 } else { 50 }
}

/// The endpoints of all services.
pub(super) fn endpoints() -> Vec<Endpoint> {
    let mut all = Vec::new();
    for (domain, _, desks, locks) in DOMAINS {
        for (service, count) in [("desk", desks), ("lock", locks)] {
            for number in 0..count {
                all.push(Endpoint {
                    id: format!("{service}-{domain}-{number}"),
                    incarnation: None,
                    service: service.parse().expect("a valid name"),
                    addr: SocketAddr::from(([127, 0, 0, 1], 80)),
                    domain: domain.parse().expect("a valid name"),
                    slots: slots(service),
                    state: EndpointState::Ready,
                    cold_left: Duration::ZERO,
                });
            }
        }
    }
    all
}

/// The route table, with a route for each kind of request.
pub(super) fn table() -> Table {
    let route = |kind: &KindOfRequest| Route {
        name: kind.name.to_owned(),
        host: "h".to_owned(),
        prefix: kind.prefix(),
        kind: Kind::Safe,
        timeout: Duration::from_millis(kind.timeout_ms),
        objective: Duration::from_millis(kind.objective_ms),
        priority: kind.priority,
        targets: vec![Target {
            service: kind.service(),
            weight: 1,
        }],
        max_attempts: 2,
        sticky: true,
        regions: Vec::new(),
        public: false,
    };
    let service = |name: &str| Service {
        name: name.parse().expect("a valid name"),
        health_path: "/health".to_owned(),
        max_connections: 360,
        cold_for: Duration::from_secs(3),
        cold_per_s: 5.5,
    };
    Table {
        routes: KINDS.iter().map(route).map(Arc::new).collect(),
        services: ["desk", "lock"].map(service).into(),
        bounds: CallerBounds::default(),
        workspaces: Vec::new(),
    }
}

/// Settings of a gateway in a failure domain; `number` makes its name unique.
pub(super) fn config(number: usize, domain: &FailureDomain) -> Config {
    let regions = regions();
    Config {
        gateway: format!("gateway-{number}").parse().expect("a valid name"),
        region: regions[domain].clone(),
        domain: domain.clone(),
        regions,
        retry_budget: RetryBudgetConfig {
            ratio: 0.2,
            floor: 60.0,
            window: Duration::from_secs(10),
        },
        max_shift: 0.15,
        contention_control: false,
        disabled: Default::default(),
    }
}
