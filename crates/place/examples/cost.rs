//! Cost of a placement decision with the endpoints of a large deployment.
//!
//! Prints `name: value unit` lines.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use filberthead_fleet::{Endpoint, EndpointState};
use filberthead_place::{
    Config, Decision, Homes, Load, Object, Outcome, Placer, Request, RetryBudgetConfig, RouteKey,
};
use filberthead_route::{CallerBounds, Kind, Route, Service, Table, Target};
use filberthead_types::{FailureDomain, Moment, Region, ServiceName};

/// Endpoints of each service.
const SERVICES: [(&str, usize); 4] = [
    ("first", 172),
    ("second", 78),
    ("third", 36),
    ("fourth", 18),
];
const DOMAINS: usize = 6;
const OBJECTS: usize = 300;
const DECISIONS: u32 = 20_000;

fn name<T: std::str::FromStr>(text: &str) -> T {
    text.parse().unwrap_or_else(|_| panic!("{text} is no name"))
}

fn domain(number: usize) -> FailureDomain {
    name(&format!("domain-{number}"))
}

fn table() -> Table {
    let route = |(service, _): &(&str, usize)| {
        Arc::new(Route {
            name: (*service).to_owned(),
            host: "h".to_owned(),
            prefix: format!("/{service}/"),
            kind: Kind::Safe,
            timeout: Duration::from_millis(1500),
            objective: Duration::from_millis(600),
            priority: 1,
            targets: vec![Target {
                service: name(service),
                weight: 1,
            }],
            max_attempts: 2,
            sticky: true,
            regions: Vec::new(),
            public: false,
        })
    };
    let service = |(service, _): &(&str, usize)| Service {
        name: name(service),
        health_path: "/healthz".to_owned(),
        max_connections: 330,
        cold_for: Duration::from_secs(3),
        cold_per_s: 6.0,
    };
    Table {
        routes: SERVICES.iter().map(route).collect(),
        services: SERVICES.iter().map(service).collect(),
        bounds: CallerBounds::default(),
        workspaces: Vec::new(),
    }
}

fn endpoints() -> Vec<Endpoint> {
    let of_service = |(service, count): &(&'static str, usize)| {
        let service = *service;
        (0..*count).map(move |number| Endpoint {
            id: format!("{service}-{number}"),
            incarnation: None,
            service: name(service),
            addr: SocketAddr::from(([127, 0, 0, 1], 80)),
            domain: domain(number % DOMAINS),
            slots: 4,
            state: EndpointState::Ready,
            cold_left: Duration::ZERO,
        })
    };
    SERVICES.iter().flat_map(of_service).collect()
}

fn placer(contention_control: bool) -> Placer {
    let region = |number: usize| name::<Region>(&format!("region-{}", number / 2));
    let regions: BTreeMap<_, _> = (0..DOMAINS).map(|n| (domain(n), region(n))).collect();
    let mut placer = Placer::new(Config {
        gateway: name("gateway-1"),
        region: region(0),
        domain: domain(0),
        regions,
        retry_budget: RetryBudgetConfig {
            ratio: 0.2,
            floor: 50.0,
            window: Duration::from_secs(10),
        },
        max_shift: 0.15,
        contention_control,
        disabled: BTreeSet::new(),
    });
    placer.set_routes(&table());
    placer.set_endpoints(Duration::ZERO, endpoints());
    let counts: Vec<_> = (0..DOMAINS).map(|n| (domain(n), 11)).collect();
    placer.set_gateways(Duration::ZERO, &counts);
    placer
}

/// Median microseconds of a decision, and of taking in its answer. A mean would tell of other processes too.
fn measure(contention_control: bool) -> (f64, f64) {
    let mut placer = placer(contention_control);
    let service: ServiceName = name("first");
    let (mut deciding, mut answering) = (Vec::new(), Vec::new());
    for number in 0..DECISIONS {
        let now: Moment = Duration::from_millis(u64::from(number) * 10);
        let object = format!("object-{}", number as usize * 7 % OBJECTS);
        if number % 50 == 0 {
            placer.update_plans(now);
        }
        placer.record_request(now, &service, 1);
        let request = Request {
            service: &service,
            route: RouteKey::new("/first/"),
            object: Some(Object {
                prefix: "/first/",
                name: object.as_bytes(),
            }),
            large: false,
            objective: Duration::from_millis(600),
            remaining: Duration::from_millis(1500),
            priority: 1,
            is_caller_retry: false,
            homes: Homes::default(),
            excluded: &[],
        };
        let start = Instant::now();
        let decision = placer.place(now, request);
        deciding.push(start.elapsed());
        let Decision::Send(target) = decision else {
            continue;
        };
        let now = now + Duration::from_millis(5);
        let load = Load {
            running: 1,
            waiting: 0,
            slowdown: Some(100),
        };
        let start = Instant::now();
        placer.record_load(now, &target, load);
        let served = Outcome::Served(Duration::from_millis(276));
        placer.record_outcome(now, &service, &target, served);
        answering.push(start.elapsed());
    }
    (median_micros(deciding), median_micros(answering))
}

fn median_micros(mut times: Vec<Duration>) -> f64 {
    times.sort_unstable();
    times[times.len() / 2].as_secs_f64() * 1e6
}

fn main() {
    for (label, contention_control) in [("without", false), ("with", true)] {
        let (decision, answer) = measure(contention_control);
        println!("place_decision_{label}_contention_control: {decision:.2} us");
        println!("place_answer_{label}_contention_control: {answer:.2} us");
    }
}
