//! Endpoints and requests for the tests.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use filberthead_fleet::{Endpoint, EndpointState};
use filberthead_place::{
    Config, Decision, EndpointId, Homes, Object, Outcome, Placer, Refusal, Request,
    RetryBudgetConfig, RouteKey, Target,
};
use filberthead_route::{CallerBounds, Kind, Route, Service, Table};
use filberthead_types::{FailureDomain, Moment, Region, ServiceName};

/// Requests per second that a cold endpoint can handle.
pub(crate) const COLD_PER_S: f64 = 6.2;

/// Limits of retries: for each request, and for each window in addition.
pub(crate) const RETRY_RATIO: f64 = 0.2;
pub(crate) const RETRY_FLOOR: f64 = 56.0;
pub(crate) const RETRY_WINDOW: Duration = Duration::from_secs(10);

pub(crate) fn ms(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

pub(crate) fn service() -> ServiceName {
    "catalogue".parse().expect("a name")
}

pub(crate) fn region(name: &str) -> Region {
    name.parse().expect("a name")
}

pub(crate) fn domain(name: &str) -> FailureDomain {
    name.parse().expect("a name")
}

/// A domain `x-1` is in region `x`.
fn region_by_domain() -> BTreeMap<FailureDomain, Region> {
    let entry = |name: &str| (domain(name), region(&name[..name.len() - 2]));
    ["north-1", "north-2", "south-1", "south-2"]
        .map(entry)
        .into_iter()
        .collect()
}

pub(crate) fn endpoint(id: &str, domain_name: &str) -> Endpoint {
    Endpoint {
        id: id.to_owned(),
        incarnation: None,
        service: service(),
        addr: SocketAddr::from(([127, 0, 0, 1], 80)),
        domain: domain(domain_name),
        slots: 3,
        state: EndpointState::Ready,
        cold_left: Duration::ZERO,
    }
}

pub(crate) fn table() -> Table {
    let target = filberthead_route::Target {
        service: service(),
        weight: 1,
    };
    Table {
        routes: vec![Arc::new(Route {
            name: "r".to_owned(),
            host: "h".to_owned(),
            prefix: "/".to_owned(),
            kind: Kind::Safe,
            timeout: ms(1000),
            objective: ms(300),
            priority: 1,
            targets: vec![target],
            max_attempts: 2,
            sticky: true,
            regions: Vec::new(),
            public: false,
        })],
        services: vec![Service {
            name: service(),
            health_path: "/healthz".to_owned(),
            max_connections: 330,
            cold_for: ms(3000),
            cold_per_s: COLD_PER_S,
        }],
        bounds: CallerBounds::default(),
        workspaces: Vec::new(),
    }
}

/// A gateway in a failure domain, with these endpoints.
pub(crate) fn placer(domain_name: &str, endpoints: Vec<Endpoint>) -> Placer {
    named_placer("gateway-1", domain_name, endpoints)
}

/// The same with a name, for tests with several gateways.
pub(crate) fn named_placer(name: &str, domain_name: &str, endpoints: Vec<Endpoint>) -> Placer {
    let regions = region_by_domain();
    let mut placer = Placer::new(Config {
        gateway: name.parse().expect("a name"),
        region: regions[&domain(domain_name)].clone(),
        domain: domain(domain_name),
        regions,
        retry_budget: RetryBudgetConfig {
            ratio: RETRY_RATIO,
            floor: RETRY_FLOOR,
            window: RETRY_WINDOW,
        },
        max_shift: 0.15,
        contention_control: false,
        disabled: BTreeSet::new(),
    });
    placer.set_routes(&table());
    placer.set_endpoints(ms(0), endpoints);
    placer
}

pub(crate) fn request<'a>(service: &'a ServiceName, object: &'a [u8]) -> Request<'a> {
    Request {
        service,
        route: RouteKey::new("/"),
        object: Some(Object {
            prefix: "/",
            name: object,
        }),
        large: false,
        objective: ms(300),
        remaining: ms(1000),
        priority: 0,
        is_caller_retry: false,
        homes: Homes::default(),
        excluded: &[],
    }
}

/// Places a request for an object; `None` if it is rejected.
pub(crate) fn place(placer: &mut Placer, now: Moment, object: &str) -> Option<Target> {
    let service = service();
    match placer.place(now, request(&service, object.as_bytes())) {
        Decision::Send(target) => Some(target),
        Decision::Refuse { .. } => None,
    }
}

/// Why a request is rejected; `None` if it is sent.
pub(crate) fn refusal(placer: &mut Placer, now: Moment, req: Request<'_>) -> Option<Refusal> {
    match placer.place(now, req) {
        Decision::Send(_) => None,
        Decision::Refuse { reason, .. } => Some(reason),
    }
}

pub(crate) fn record_served(placer: &mut Placer, now: Moment, target: &Target, took: Duration) {
    placer.record_outcome(now, &service(), target, Outcome::Served(took));
}

pub(crate) fn id(name: &str) -> EndpointId {
    name.into()
}
