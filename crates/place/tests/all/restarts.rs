//! Endpoints that restart under the same identity.

use filberthead_fleet::{Endpoint, EndpointChange, EndpointState};
use filberthead_place::{Load, Outcome, Placer, Refusal, Target};
use filberthead_types::{Incarnation, Moment};

use crate::support::{
    COLD_PER_S, endpoint, ms, place, placer, record_served, refusal, request, service,
};

/// An endpoint in the gateway's failure domain that started at `at`.
fn started_at(id: &str, at: u64) -> Endpoint {
    Endpoint {
        incarnation: Some(Incarnation(at)),
        ..endpoint(id, "north-1")
    }
}

/// Applies a change of one entry of the list.
fn change_entry(placer: &mut Placer, now: Moment, endpoint: Endpoint) {
    let change = EndpointChange {
        changed: vec![endpoint],
        ..EndpointChange::default()
    };
    placer.change_endpoints(now, change);
}

fn rejection(placer: &mut Placer, now: Moment) -> Option<Refusal> {
    let service = service();
    refusal(placer, now, request(&service, b"o"))
}

fn record_outcome(placer: &mut Placer, now: Moment, target: &Target, outcome: Outcome) {
    placer.record_outcome(now, &service(), target, outcome);
}

/// A gateway whose only endpoint has a request in flight, and that request's target.
fn with_request_in_flight() -> (Placer, Target) {
    let mut placer = placer("north-1", vec![started_at("a", 100)]);
    let target = place(&mut placer, ms(0), "o").expect("an endpoint");
    (placer, target)
}

/// An endpoint with a request in flight doesn't respond, so it counts as stalled; its VM has
/// lost power. It restarts under its identity. The request is lost with the earlier start, and
/// the new one must receive requests at once.
#[test]
fn a_stall_of_the_earlier_start_is_dropped() {
    let (mut placer, _) = with_request_in_flight();
    assert_eq!(rejection(&mut placer, ms(5000)), Some(Refusal::NoEndpoint));
    change_entry(&mut placer, ms(5000), started_at("a", 4900));
    assert!(place(&mut placer, ms(5001), "o").is_some());
}

/// Another endpoint reported that it has the address, so that no more requests are sent to the
/// listed one. The listed one restarts at an address of its own.
#[test]
fn an_endpoint_that_was_gone_is_used_when_it_starts_again() {
    let (mut placer, target) = with_request_in_flight();
    record_outcome(&mut placer, ms(1), &target, Outcome::Gone);
    assert_eq!(rejection(&mut placer, ms(2)), Some(Refusal::NoEndpoint));
    let mut restarted = started_at("a", 200);
    restarted.addr.set_port(81);
    change_entry(&mut placer, ms(3), restarted.clone());
    let target = place(&mut placer, ms(4), "o").expect("an endpoint");
    assert_eq!(target.addr, restarted.addr);
}

/// Two endpoints differ only in that one broke off a request and is backed off. It restarts.
/// Its objects must go to it as if it had never failed.
#[test]
fn a_backoff_of_the_earlier_start_is_dropped() {
    let mut placer = placer("north-1", vec![started_at("a", 100), started_at("b", 100)]);
    let first = place(&mut placer, ms(0), "o").expect("an endpoint");
    record_outcome(&mut placer, ms(1), &first, Outcome::Broken);
    let second = place(&mut placer, ms(2), "o").expect("an endpoint");
    assert_ne!(second.id, first.id);
    record_outcome(&mut placer, ms(2), &second, Outcome::Abandoned(ms(0)));
    change_entry(&mut placer, ms(3), started_at(&first.id, 200));
    let third = place(&mut placer, ms(4), "o").expect("an endpoint");
    assert_eq!(third.id, first.id);
}

/// An endpoint that has handled an object is fast with it. Its next start hasn't, and a
/// gateway that still expects the object to be cached expects responses too early.
#[test]
fn objects_of_the_earlier_start_are_dropped() {
    let (mut placer, target) = with_request_in_flight();
    record_served(&mut placer, ms(50), &target, ms(50));
    let again = place(&mut placer, ms(60), "o").expect("an endpoint");
    assert_ne!(again.affinity, target.affinity);
    change_entry(&mut placer, ms(100), started_at("a", 200));
    let after = place(&mut placer, ms(101), "o").expect("an endpoint");
    assert_eq!(after.affinity, target.affinity);
}

/// A warm endpoint drains, stops, and restarts cold under its identity. It must receive
/// requests, but no more per second than it can handle.
#[test]
fn a_drained_endpoint_restarts_cold() {
    let mut placer = placer("north-1", vec![started_at("a", 100)]);
    let mut leaving = started_at("a", 100);
    leaving.state = EndpointState::Draining;
    change_entry(&mut placer, ms(0), leaving);
    assert_eq!(rejection(&mut placer, ms(1)), Some(Refusal::NoEndpoint));
    let mut restarted = started_at("a", 200);
    restarted.cold_left = ms(3000);
    change_entry(&mut placer, ms(2), restarted);
    let mut sent = 0;
    for now in 2..1002 {
        if let Some(target) = place(&mut placer, ms(now), "o") {
            record_served(&mut placer, ms(now), &target, ms(1));
            sent += 1;
        }
    }
    assert!(sent > 0, "the endpoint never warms up");
    assert!(f64::from(sent) <= COLD_PER_S, "{sent} in a second");
}

/// The list reports that an endpoint is cold for a minute, and it restarts as a warm one, as
/// endpoints do that start before there are callers. The earlier cold period must not apply.
#[test]
fn coldness_of_the_earlier_start_is_dropped() {
    let mut cold = started_at("a", 100);
    cold.cold_left = ms(60_000);
    let mut placer = placer("north-1", vec![cold]);
    change_entry(&mut placer, ms(0), started_at("a", 200));
    for now in 1..10 {
        let target = place(&mut placer, ms(now), "o").expect("an endpoint");
        record_served(&mut placer, ms(now), &target, ms(1));
    }
}

/// Requests of an earlier start end late: connections break, delayed responses arrive, another
/// endpoint reports that it has the address. None of this may affect the current start, nor
/// end its own request.
#[test]
fn late_outcomes_of_an_earlier_start_change_nothing() {
    let outcomes = [
        Outcome::Served(ms(10)),
        Outcome::Failed,
        Outcome::Full,
        Outcome::Gone,
        Outcome::Broken,
        Outcome::Abandoned(ms(4000)),
    ];
    for outcome in outcomes {
        let (mut placer, earlier) = with_request_in_flight();
        change_entry(&mut placer, ms(100), started_at("a", 200));
        let load = Load {
            running: 30,
            waiting: 30,
            slowdown: None,
        };
        placer.record_load(ms(110), &earlier, load);
        placer.record_cold(ms(110), &earlier, ms(60_000));
        record_outcome(&mut placer, ms(110), &earlier, outcome);
        let own = place(&mut placer, ms(111), "o").expect("an endpoint");
        // By now the current start's own request counts as stalled, even though the outcome of
        // another request arrived in the meantime.
        record_outcome(&mut placer, ms(4000), &earlier, outcome);
        let stalled = rejection(&mut placer, ms(4001));
        assert_eq!(stalled, Some(Refusal::NoEndpoint), "{outcome:?}");
        record_served(&mut placer, ms(4002), &own, ms(3891));
        assert!(place(&mut placer, ms(4003), "o").is_some(), "{outcome:?}");
    }
}

/// The gateway receives a full list instead of a change, as after a long disconnection. Starts
/// must be distinguished there as well.
#[test]
fn a_full_list_distinguishes_starts() {
    let (mut placer, target) = with_request_in_flight();
    record_outcome(&mut placer, ms(1), &target, Outcome::Gone);
    placer.set_endpoints(ms(2), vec![started_at("a", 100)]);
    assert_eq!(rejection(&mut placer, ms(3)), Some(Refusal::NoEndpoint));
    placer.set_endpoints(ms(4), vec![started_at("a", 200)]);
    assert!(place(&mut placer, ms(5), "o").is_some());
}

/// On a platform that doesn't report starts, each start has an identity of its own. An entry
/// that is listed again changes nothing that was learned.
#[test]
fn an_entry_without_a_start_is_the_same_endpoint() {
    let mut placer = placer("north-1", vec![endpoint("a", "north-1")]);
    let target = place(&mut placer, ms(0), "o").expect("an endpoint");
    record_outcome(&mut placer, ms(1), &target, Outcome::Gone);
    change_entry(&mut placer, ms(2), endpoint("a", "north-1"));
    assert_eq!(rejection(&mut placer, ms(3)), Some(Refusal::NoEndpoint));
}

/// Connections to the earlier start are of no use: a request that is sent on one of them is
/// lost, and one that may run only once can't be sent again. The gateway gets the addresses
/// whose connections it has to close.
#[test]
fn the_address_of_a_replaced_start_is_returned() {
    let mut placer = placer("north-1", vec![started_at("a", 100), started_at("b", 100)]);
    let mut restarted = started_at("a", 200);
    restarted.addr.set_port(81);
    let change = EndpointChange {
        changed: vec![restarted.clone()],
        ..EndpointChange::default()
    };
    let earlier = started_at("a", 100).addr;
    assert_eq!(placer.change_endpoints(ms(1), change), [earlier]);
    let list = vec![restarted, started_at("b", 200)];
    assert_eq!(placer.set_endpoints(ms(2), list.clone()), [earlier]);
    assert_eq!(placer.set_endpoints(ms(3), list), []);
}
