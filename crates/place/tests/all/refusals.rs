//! Endpoints that reject requests.

use std::collections::{BTreeMap, BTreeSet};

use filberthead_place::{Attempts, Decision, EndpointId, Load, NextAttempt, Outcome, Placer};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::support::{endpoint, id, ms, place, placer, record_served, request, service};

const OBJECTS: usize = 40;
const SEED: u64 = 3;

fn idle_load() -> Load {
    Load {
        running: 1,
        waiting: 0,
        slowdown: None,
    }
}

/// Sends `requests` requests of which each endpoint rejects a part although it has free slots.
/// Returns the endpoints that ran requests for each object.
fn endpoints_by_object(
    reject_rate: f64,
    load_reported: bool,
    requests: u64,
) -> BTreeMap<String, BTreeSet<EndpointId>> {
    let list = ["a", "b", "c", "d"].map(|name| endpoint(name, "north-1"));
    let mut placer = placer("north-1", list.into());
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut endpoints: BTreeMap<String, BTreeSet<EndpointId>> = BTreeMap::new();
    for number in 0..requests {
        let name = format!("o-{}", rng.random_range(0..OBJECTS));
        let reject = |rng: &mut StdRng| rng.random::<f64>() < reject_rate;
        let ran = run_request(&mut placer, number * 20, &name, load_reported, || {
            reject(&mut rng)
        });
        endpoints.entry(name).or_default().extend(ran);
    }
    endpoints
}

/// Makes the attempts of one request, and returns the endpoint that ran it.
fn run_request(
    placer: &mut Placer,
    at: u64,
    name: &str,
    load_reported: bool,
    mut reject: impl FnMut() -> bool,
) -> Option<EndpointId> {
    let service = service();
    let mut attempts = Attempts::new(3);
    loop {
        let mut req = request(&service, name.as_bytes());
        req.excluded = attempts.excluded();
        let Decision::Send(target) = placer.place(ms(at), req) else {
            return None;
        };
        attempts.record_sent(target.id.clone());
        if !reject() {
            record_served(placer, ms(at), &target, ms(90));
            return Some(target.id);
        }
        if load_reported {
            placer.record_load(ms(at), &target, idle_load());
        }
        placer.record_outcome(ms(at), &service, &target, Outcome::Full);
        if attempts.record_refused(&target.id, load_reported) == NextAttempt::Exhausted {
            return None;
        }
    }
}

/// All endpoints of a service reject half of their requests with free slots, and report their
/// load. If each request went on to another endpoint, every endpoint would have to load every
/// object: three times the work, and callers of all objects would wait. Each object must stay
/// where it is cached. The seed of the rejections is fixed.
#[test]
fn objects_stay_where_they_are_while_endpoints_reject_requests() {
    let endpoints = endpoints_by_object(0.5, true, 2000);
    let spread = endpoints.values().filter(|ends| ends.len() > 1).count();
    assert!(
        spread <= OBJECTS / 10,
        "{spread} of {OBJECTS}: {endpoints:?}"
    );
}

/// The same with endpoints that don't report their load. They may have no capacity at all, so
/// another one is tried.
#[test]
fn an_endpoint_that_rejects_without_reporting_load_is_not_retried() {
    let endpoints = endpoints_by_object(0.5, false, 2000);
    let spread = endpoints.values().filter(|ends| ends.len() > 1).count();
    assert!(spread > OBJECTS / 2, "{spread} of {OBJECTS}");
}

/// One of four endpoints rejects nearly all of its requests, the others none. Its objects must
/// go to the others, whether it reports its load or not: its failure rate relative to theirs
/// decides.
#[test]
fn the_only_endpoint_that_rejects_is_avoided() {
    let list = ["a", "b", "c", "d"].map(|name| endpoint(name, "north-1"));
    let mut placer = placer("north-1", list.into());
    let service = service();
    let mut late = 0;
    for number in 0..400_u64 {
        let now = ms(number * 20);
        let name = format!("o-{}", number % OBJECTS as u64);
        let Some(target) = place(&mut placer, now, &name) else {
            continue;
        };
        if target.id == id("a") {
            late += u32::from(number >= 200);
            placer.record_load(now, &target, idle_load());
            placer.record_outcome(now, &service, &target, Outcome::Full);
        } else {
            record_served(&mut placer, now, &target, ms(90));
        }
    }
    // It is the first endpoint of a quarter of the objects, and is tried again from time to
    // time.
    assert!(late <= 20, "{late} of 200");
}

/// An endpoint rejects a request and reports that two of its three slots are free. It must not
/// count as full: the next requests for its objects would be rejected by the gateway, or have
/// to be loaded elsewhere.
#[test]
fn an_endpoint_that_rejects_with_free_slots_is_not_full() {
    let mut placer = placer("north-1", vec![endpoint("a", "north-1")]);
    let target = place(&mut placer, ms(0), "o").expect("an endpoint");
    placer.record_load(ms(10), &target, idle_load());
    placer.record_outcome(ms(10), &service(), &target, Outcome::Full);
    assert!(place(&mut placer, ms(11), "o").is_some());
}

/// While a request is on its way through another gateway, a second attempt beside it took endpoints that the
/// other gateway might use too.
#[test]
fn endpoints_that_another_gateway_may_reach_are_not_left() {
    let mut attempts = Attempts::new(3);
    attempts.record_sent("a".into());
    attempts.record_sent("helper".into());
    let reserved = attempts.reserve_elsewhere(false);
    assert_eq!((reserved, attempts.left()), (1, 0));
    assert_eq!(attempts.record_ran(), NextAttempt::Exhausted);
    attempts.record_relayed(reserved, Some(1));
    assert_eq!(attempts.left(), 1);
}

/// A gateway that was silent with a request held all attempts, so none could be made beside it.
#[test]
fn an_attempt_is_kept_while_another_gateway_has_the_request() {
    for (max, reserved, left) in [(1, 0, 0), (2, 1, 0), (3, 1, 1), (4, 2, 1)] {
        let mut attempts = Attempts::new(max);
        attempts.record_sent("helper".into());
        assert_eq!(attempts.reserve_elsewhere(true), reserved, "of {max}");
        assert_eq!(attempts.left(), left, "of {max}");
    }
}

/// Endpoints that rejected a relayed request weren't counted, but for one, so it could reach more than allowed.
#[test]
fn endpoints_that_reject_a_relayed_request_count() {
    let mut attempts = Attempts::new(3);
    attempts.record_sent("helper".into());
    let reserved = attempts.reserve_elsewhere(true);
    attempts.record_relayed(reserved, Some(2));
    assert_eq!(
        attempts.record_refused(&"helper".into(), true),
        NextAttempt::Allowed
    );
    assert_eq!((attempts.reached(), attempts.left()), (2, 1));
}

/// A request that went back to an endpoint which had rejected it used the same connection, where a second copy of that
/// rejection could still come.
#[test]
fn endpoints_that_have_rejected_a_request_are_known() {
    let mut attempts = Attempts::new(3);
    for id in ["a", "b"] {
        attempts.record_sent(id.into());
    }
    attempts.record_refused(&"a".into(), true);
    assert!(attempts.was_refused_by(&"a".into()));
    assert!(!attempts.was_refused_by(&"b".into()));
}
