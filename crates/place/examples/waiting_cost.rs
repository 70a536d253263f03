//! Prints the cost of decisions under overload: `name: value unit`, a line each.

use std::collections::{BTreeMap, BTreeSet};
use std::hint::black_box;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use filberthead_fleet::{Endpoint, EndpointState};
use filberthead_place::waiting::{Enqueued, RoomLimits, Waiter, WaitingRoom};
use filberthead_place::{
    Config, Decision, Homes, Load, Object, Outcome, Placer, Request, RetryBudgetConfig, RouteKey,
};
use filberthead_types::{Moment, ServiceName};

const ENDPOINTS: usize = 172;
const SLOTS: u32 = 4;
const WAITING: usize = 100;
const WORKSPACES: u64 = 77;
const OBJECTS: u64 = 500;
const ROUNDS: u64 = 20_000;

fn ms(ms: u64) -> Moment {
    Duration::from_millis(ms)
}

fn service() -> ServiceName {
    "catalogue".parse().expect("a valid name")
}

/// A gateway that knows the endpoints of one region.
fn placer() -> Placer {
    let mut placer = Placer::new(Config {
        gateway: "gateway-1".parse().expect("a valid name"),
        region: "north".parse().expect("a valid name"),
        domain: "north-1".parse().expect("a valid name"),
        regions: BTreeMap::from([(
            "north-1".parse().expect("a valid name"),
            "north".parse().expect("a valid name"),
        )]),
        retry_budget: RetryBudgetConfig {
            ratio: 0.2,
            floor: 56.0,
            window: Duration::from_secs(10),
        },
        max_shift: 0.15,
        contention_control: true,
        disabled: BTreeSet::new(),
    });
    let endpoints = (0..ENDPOINTS).map(|n| Endpoint {
        id: format!("endpoint-{n}"),
        incarnation: None,
        service: service(),
        addr: SocketAddr::from(([127, 0, 0, 1], 1000 + n as u16)),
        domain: "north-1".parse().expect("a valid name"),
        slots: SLOTS,
        state: EndpointState::Ready,
        cold_left: Duration::ZERO,
    });
    placer.set_endpoints(ms(0), endpoints.collect());
    placer
}

fn request<'a>(service: &'a ServiceName, object: &'a [u8]) -> Request<'a> {
    Request {
        service,
        object: Some(Object {
            prefix: "/",
            name: object,
        }),
        route: RouteKey::new("/"),
        large: false,
        objective: ms(600),
        remaining: ms(1500),
        priority: 1,
        is_caller_retry: false,
        homes: Homes::default(),
        excluded: &[],
    }
}

fn waiter(placer: &mut Placer, now: Moment, number: u64, req: &Request<'_>) -> Waiter {
    let expected = placer.work_of(now, req);
    Waiter {
        site: placer.site(now, req),
        priority: (number % 3) as u8,
        workspace: format!("w{}", number % WORKSPACES).parse().ok(),
        has_returned: number.is_multiple_of(5),
        is_cached: expected.is_cached,
        work: expected.work,
        objective: req.objective,
        arrived: now,
        start_by: (now + req.objective).saturating_sub(expected.work),
        // Long enough for all to wait.
        deadline: now + Duration::from_secs(3600),
        bytes: 2000,
    }
}

/// A gateway with a full window and requests that wait.
fn congested(placer: &mut Placer) -> (WaitingRoom, Vec<filberthead_place::waiting::Ticket>) {
    let mut room = WaitingRoom::new(RoomLimits::default(), 0);
    let service = service();
    let mut started = Vec::new();
    for number in 0..20 {
        let req = request(&service, b"a");
        let first = waiter(placer, ms(0), number, &req);
        if let Enqueued::Start(ticket) = room.enqueue(ms(0), first) {
            started.push(ticket);
        }
    }
    let Decision::Send(target) = placer.place(ms(0), request(&service, b"a")) else {
        panic!("no endpoint");
    };
    let from = placer.site_of(&target).expect("a listed endpoint");
    placer.record_outcome(ms(0), &service, &target, Outcome::Withdrawn);
    let load = Load {
        running: SLOTS,
        waiting: 40,
        slowdown: None,
    };
    (0..40).for_each(|_| room.record_report(ms(0), &from, load, Some(ms(3000))));
    let mut number = 0;
    while room.len() < WAITING {
        number += 1;
        let req = request(&service, b"a");
        let waiter = waiter(placer, ms(0), number, &req);
        room.enqueue(ms(0), waiter);
    }
    (room, started)
}

fn main() {
    let mut placer = placer();
    let service = service();
    let (mut room, mut started) = congested(&mut placer);
    let mut took = Duration::ZERO;
    for number in 0..ROUNDS {
        let now = ms(number / 20);
        let object = format!("object-{}", number % OBJECTS);
        let req = request(&service, object.as_bytes());
        let ended = started.remove(0);
        let begun = Instant::now();
        room.end(now, ended);
        started.extend(room.on_slot_free(now));
        black_box(room.on_deadline(now));
        let next = waiter(&mut placer, now, number, &req);
        black_box(room.enqueue(now, next));
        took += begun.elapsed();
        let decision = placer.place_in_reach(now, req);
        if let Decision::Send(target) = decision {
            placer.record_outcome(now, &service, &target, Outcome::Withdrawn);
        }
        while started.is_empty() {
            started.extend(room.on_slot_free(now));
        }
    }
    let us = |took: Duration| took.as_secs_f64() * 1e6 / ROUNDS as f64;
    println!("waiting_decision: {:.1} us", us(took));
    println!("waiting_requests: {} requests", room.len());

    let begun = Instant::now();
    for number in 0..ROUNDS {
        let req = request(&service, b"a");
        let mut next = waiter(&mut placer, ms(1000), number, &req);
        next.deadline = ms(1001);
        black_box(room.enqueue(ms(1000), next));
    }
    println!("waiting_rejection: {:.1} us", us(begun.elapsed()));

    // What the log line of a rejection says of the endpoints.
    let begun = Instant::now();
    for _ in 0..ROUNDS {
        let req = request(&service, b"a");
        black_box(placer.availability(ms(1000), &service));
        black_box(placer.passed_over(ms(1000), &req));
        black_box(placer.rest_left(ms(1000), &req));
    }
    println!("waiting_rejection_log_scans: {:.1} us", us(begun.elapsed()));

    let begun = Instant::now();
    for number in 0..ROUNDS {
        let object = format!("object-{}", number % OBJECTS);
        let req = request(&service, object.as_bytes());
        let decision = placer.place_in_reach(ms(1000), req);
        if let Decision::Send(target) = black_box(decision) {
            placer.record_outcome(ms(1000), &service, &target, Outcome::Withdrawn);
        }
    }
    println!("waiting_placement_after_it: {:.1} us", us(begun.elapsed()));
}
