//! Endpoints that refuse.

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
    }
}

/// For each object the endpoints that have run requests for it, after `requests` of which
/// each endpoint refuses a part, although it has slots free.
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

/// Carries one request as far as its tries go, and returns the endpoint that ran it.
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
        if attempts.record_refused(load_reported) == NextAttempt::Exhausted {
            return None;
        }
    }
}

/// All endpoints of a service refuse half of what they get, with slots free, and say so.
/// Requests that go on to another endpoint each time teach every object to every endpoint,
/// three times the work, and callers of all objects wait. Each object must stay where it is
/// known; the seed of the refusals is fixed.
#[test]
fn objects_stay_where_they_are_while_endpoints_reject_requests() {
    let endpoints = endpoints_by_object(0.5, true, 2000);
    let spread = endpoints.values().filter(|ends| ends.len() > 1).count();
    assert!(
        spread <= OBJECTS / 10,
        "{spread} of {OBJECTS}: {endpoints:?}"
    );
}

/// The same by endpoints that don't say how full they are. They may have no room at all, so
/// another one is tried.
#[test]
fn an_endpoint_that_rejects_without_reporting_load_is_not_retried() {
    let endpoints = endpoints_by_object(0.5, false, 2000);
    let spread = endpoints.values().filter(|ends| ends.len() > 1).count();
    assert!(spread > OBJECTS / 2, "{spread} of {OBJECTS}");
}

/// One of four endpoints refuses nearly all that it gets, the others nothing. Its objects
/// must go to the others, told load or not: what counts is how much worse it is than they.
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
    // A quarter of the objects have it first; it is tried again now and then.
    assert!(late <= 20, "{late} of 200");
}

/// An endpoint refuses a request and tells that two of its three slots are free. It must not
/// count as full: its objects' next requests would be refused here, or learned elsewhere.
#[test]
fn an_endpoint_that_rejects_with_free_slots_is_not_full() {
    let mut placer = placer("north-1", vec![endpoint("a", "north-1")]);
    let target = place(&mut placer, ms(0), "o").expect("a place");
    placer.record_load(ms(10), &target, idle_load());
    placer.record_outcome(ms(10), &service(), &target, Outcome::Full);
    assert!(place(&mut placer, ms(11), "o").is_some());
}
