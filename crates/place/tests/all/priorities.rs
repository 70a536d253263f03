//! Overload by requests of several priorities.

use std::time::Duration;

use filberthead_place::{Decision, Placer, Refusal, Request};
use filberthead_types::ServiceName;

use crate::support::{endpoint, ms, place, placer, refusal, request, service};

/// A gateway whose only endpoint has work for longer than the objective, and which has seen
/// requests of these priorities in turn.
fn overloaded(priorities: &[u8]) -> Placer {
    let mut gateway = placer("north-1", vec![endpoint("a", "north-1")]);
    let service = service();
    for number in 0..100 {
        gateway.record_request(ms(0), &service, priorities[number % priorities.len()]);
    }
    while place(&mut gateway, ms(0), "o").is_some() {}
    gateway
}

fn retry(service: &ServiceName, priority: u8) -> Request<'_> {
    Request {
        priority,
        is_caller_retry: true,
        ..request(service, b"o")
    }
}

/// With all slots taken, callers come back with less urgent requests. Kept until their deadlines
/// they would fill the endpoints' queues, and urgent ones would wait behind them.
#[test]
fn a_less_urgent_retry_is_not_kept_before_urgent_requests() {
    let service = service();
    let mut gateway = overloaded(&[0, 1, 2]);
    for priority in [1, 2] {
        let refused = refusal(&mut gateway, ms(0), retry(&service, priority));
        assert_eq!(refused, Some(Refusal::Overloaded), "priority {priority}");
    }
    assert_eq!(refusal(&mut gateway, ms(0), retry(&service, 0)), None);
}

/// Where all requests have the same priority, whatever it is, nothing yields.
#[test]
fn retries_of_one_priority_are_kept() {
    let service = service();
    let mut gateway = overloaded(&[3]);
    assert_eq!(refusal(&mut gateway, ms(0), retry(&service, 3)), None);
}

/// The urgent requests end; the others must not yield to them for good.
#[test]
fn urgent_requests_of_the_past_are_forgotten() {
    let service = service();
    let mut gateway = overloaded(&[0, 1]);
    for _ in 0..200 {
        gateway.record_request(ms(0), &service, 1);
    }
    assert_eq!(refusal(&mut gateway, ms(0), retry(&service, 1)), None);
}

/// A less urgent request is sent whenever a slot is free, and on its retry, too, if it would be
/// in time: it must not starve.
#[test]
fn a_less_urgent_request_is_served_while_it_would_be_in_time() {
    let service = service();
    let mut gateway = overloaded(&[0, 1]);
    let in_time = Request {
        objective: Duration::from_secs(30),
        remaining: Duration::from_secs(60),
        ..retry(&service, 1)
    };
    let decision = gateway.place(ms(0), in_time);
    assert!(matches!(decision, Decision::Send(_)), "{decision:?}");
}
