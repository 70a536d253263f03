//! Requests for one object go where it is cached.

use std::collections::{BTreeMap, BTreeSet};

use filberthead_place::{Affinity, Decision, EndpointId, Object, Outcome, Refusal, Request};

use crate::support::{
    domain, endpoint, id, ms, named_placer, place, placer, record_served, refusal, request, service,
};

fn four_endpoints() -> Vec<filberthead_fleet::Endpoint> {
    ["a", "b", "c", "d"]
        .map(|id| endpoint(id, "north-1"))
        .into()
}

/// Two gateways without communication receive requests for one object in turn. Each endpoint
/// that receives one has to load the object first, which is slow: all must go to the same
/// endpoint.
#[test]
fn gateways_agree_on_an_objects_endpoint_without_communication() {
    let mut first = placer("north-1", four_endpoints());
    let mut second = placer("north-2", four_endpoints());
    for number in 0..50 {
        let object = format!("object-{number}");
        let here = place(&mut first, ms(number), &object).expect("an endpoint");
        let there = place(&mut second, ms(number), &object).expect("an endpoint");
        assert_eq!(here.id, there.id);
        record_served(&mut first, ms(number), &here, ms(100));
        record_served(&mut second, ms(number), &there, ms(100));
    }
}

/// The list has an endpoint of a service that no route names, with the fewest requests of all.
/// No request of another service may go there.
#[test]
fn an_endpoint_of_an_unknown_service_gets_no_requests() {
    let mut unrouted = endpoint("a", "north-1");
    unrouted.service = "unrouted".parse().expect("a name");
    let mut alone = placer("north-1", vec![unrouted.clone()]);
    let service = service();
    let refused = refusal(&mut alone, ms(0), request(&service, b"o"));
    assert_eq!(refused, Some(Refusal::NoEndpoint));
    let mut placer = placer("north-1", vec![unrouted, endpoint("b", "north-1")]);
    for number in 0..30 {
        let target = place(&mut placer, ms(number), &format!("o-{number}")).expect("an endpoint");
        assert_eq!(&*target.id, "b");
        record_served(&mut placer, ms(number), &target, ms(1));
    }
}

#[test]
fn objects_are_spread_over_all_endpoints() {
    let mut placer = placer("north-1", four_endpoints());
    let mut counts = std::collections::BTreeMap::new();
    for number in 0..400 {
        let target = place(&mut placer, ms(number), &format!("o-{number}")).expect("an endpoint");
        *counts.entry(target.id.clone()).or_insert(0) += 1;
        record_served(&mut placer, ms(number), &target, ms(100));
    }
    assert_eq!(counts.len(), 4);
    assert!(
        counts.values().all(|count| (60..=140).contains(count)),
        "{counts:?}"
    );
}

/// Many callers request one object at the same moment. Its endpoint has three slots; the rest
/// must go to other endpoints instead of waiting there.
#[test]
fn a_hot_object_overflows_to_other_endpoints() {
    let mut placer = placer("north-1", four_endpoints());
    let targets: Vec<_> = (0..6)
        .filter_map(|_| place(&mut placer, ms(0), "hot"))
        .collect();
    let at_first = targets.iter().filter(|t| t.id == targets[0].id).count();
    assert!(
        (3..6).contains(&at_first),
        "{at_first} of 6 at one endpoint"
    );
}

/// An endpoint drains, or an operator has evacuated its failure domain: it receives no more
/// requests, and a request that has no other endpoint is rejected and not sent.
#[test]
fn draining_and_evacuated_endpoints_get_no_requests() {
    let mut placer = placer(
        "north-1",
        vec![endpoint("a", "north-1"), endpoint("b", "north-2")],
    );
    let mut leaving = endpoint("a", "north-1");
    leaving.state = filberthead_fleet::EndpointState::Draining;
    placer.set_endpoints(ms(1), vec![leaving, endpoint("b", "north-2")]);
    for number in 0..20 {
        let target = place(&mut placer, ms(2), &format!("o-{number}")).expect("an endpoint");
        assert_eq!(target.id, id("b"));
        record_served(&mut placer, ms(2), &target, ms(100));
    }
    placer.set_evacuated(ms(3), [domain("north-2")].into());
    let service = service();
    let refused = refusal(&mut placer, ms(4), request(&service, b"o"));
    assert_eq!(refused, Some(Refusal::NoEndpoint));
}

/// An endpoint's connections break. Requests must go elsewhere at once, return after the
/// backoff, and be sent there rather than rejected if there is no other endpoint.
#[test]
fn an_endpoint_is_avoided_after_a_broken_connection() {
    let mut placer = placer(
        "north-1",
        vec![endpoint("a", "north-1"), endpoint("b", "north-1")],
    );
    let service = service();
    let broken = place(&mut placer, ms(0), "o").expect("an endpoint");
    placer.record_outcome(ms(1), &service, &broken, Outcome::Broken);
    let other = place(&mut placer, ms(2), "o").expect("an endpoint");
    assert_ne!(other.id, broken.id);
    placer.record_outcome(ms(3), &service, &other, Outcome::Broken);
    assert!(place(&mut placer, ms(4), "o").is_some());
}

/// An endpoint is slow for a while, and its objects move to another one. Once it is as fast as
/// before, they must move back, although an avoided endpoint receives no requests that would
/// show its speed.
#[test]
fn an_endpoint_that_was_slow_is_tried_again() {
    let mut placer = placer(
        "north-1",
        vec![endpoint("a", "north-1"), endpoint("b", "north-1")],
    );
    let first = place(&mut placer, ms(0), "o").expect("an endpoint");
    record_served(&mut placer, ms(0), &first, ms(100));
    let mut moved = false;
    for number in 1..60 {
        let target = place(&mut placer, ms(number), "o").expect("an endpoint");
        let slow = target.id == first.id;
        moved |= !slow;
        let took = if slow { ms(1500) } else { ms(100) };
        record_served(&mut placer, ms(number), &target, took);
    }
    assert!(moved, "a slow endpoint is avoided");
    let now = place(&mut placer, ms(60_000), "o").expect("an endpoint");
    assert_eq!(now.id, first.id);
}

/// An endpoint accepts requests and never responds. Each of them ends only at its deadline,
/// and there is no other signal; after a few of them, the endpoint's objects must go
/// elsewhere.
#[test]
fn an_endpoint_that_never_responds_is_avoided() {
    let mut placer = placer(
        "north-1",
        vec![endpoint("a", "north-1"), endpoint("b", "north-1")],
    );
    let first = place(&mut placer, ms(0), "o").expect("an endpoint");
    record_served(&mut placer, ms(0), &first, ms(100));
    let mut silent = 0;
    for number in 1..30 {
        let target = place(&mut placer, ms(number), "o").expect("an endpoint");
        if target.id == first.id {
            silent += 1;
            placer.record_outcome(
                ms(number),
                &service(),
                &target,
                Outcome::Abandoned(ms(1000)),
            );
        } else {
            record_served(&mut placer, ms(number), &target, ms(100));
        }
    }
    assert!(silent <= 6, "{silent} of 29 requests got no response");
}

/// An endpoint loses power while connections to it are kept. Requests sent there have no
/// response until their deadlines, a second later; long before that, others must go elsewhere.
/// Once the endpoint has recovered, it is used again.
#[test]
fn a_stalled_endpoint_is_avoided_before_the_first_deadline() {
    let mut placer = placer(
        "north-1",
        vec![endpoint("a", "north-1"), endpoint("b", "north-1")],
    );
    let first = place(&mut placer, ms(0), "o").expect("an endpoint");
    record_served(&mut placer, ms(50), &first, ms(50));
    let silent = place(&mut placer, ms(100), "o").expect("an endpoint");
    assert_eq!(silent.id, first.id);
    // Its one request has no response at 900 ms, long after it was expected.
    for at in (900..1100).step_by(20) {
        let other = place(&mut placer, ms(at), "o").expect("an endpoint");
        assert_ne!(other.id, first.id, "at {at}");
        record_served(&mut placer, ms(at), &other, ms(100));
    }
    placer.record_outcome(ms(1100), &service(), &silent, Outcome::Abandoned(ms(1000)));
    let after = place(&mut placer, ms(1110), "o").expect("an endpoint");
    assert_ne!(after.id, first.id, "one missing response causes a backoff");
    record_served(&mut placer, ms(1110), &after, ms(100));
    let back = place(&mut placer, ms(30_000), "o").expect("an endpoint");
    assert_eq!(back.id, first.id);
}

/// Two routes of one service use the same names for different objects. An endpoint that has
/// handled `17` on one route is as slow with the first `17` of the other route as any other
/// endpoint. It must not be expected to have it cached, and each of the two objects must
/// settle on an endpoint of its own.
#[test]
fn a_name_on_two_routes_is_two_objects() {
    let mut placer = placer("north-1", four_endpoints());
    let service = service();
    let mut apart = 0;
    for number in 0..40 {
        let name = format!("o-{number}");
        let mut targets = Vec::new();
        for (at, prefix) in [(0, "/view/"), (100, "/lock/"), (200, "/view/")] {
            let now = ms(number * 1000 + at);
            let mut req = request(&service, name.as_bytes());
            req.object = Some(Object {
                prefix,
                name: name.as_bytes(),
            });
            let Decision::Send(target) = placer.place(now, req) else {
                panic!("{name} is rejected");
            };
            record_served(&mut placer, now, &target, ms(90));
            targets.push(target);
        }
        assert_ne!(targets[1].affinity, Affinity::Sent, "{name}");
        assert_eq!(targets[2].affinity, Affinity::Sent, "{name}");
        assert_eq!(targets[2].id, targets[0].id, "{name}");
        apart += u64::from(targets[0].id != targets[1].id);
    }
    // With four endpoints, three of four names have two different ones.
    assert!(apart >= 20, "{apart} of 40");
}

/// Guards against one endpoint that receives all requests without an object: every gateway
/// sent them to the first idle one on the list.
#[test]
fn requests_without_an_object_are_spread_over_endpoints() {
    let endpoints = || {
        (0..20)
            .map(|n| endpoint(&format!("e-{n}"), "north-1"))
            .collect()
    };
    let service = service();
    let mut counts: BTreeMap<EndpointId, u32> = BTreeMap::new();
    for gateway in 0..40 {
        let mut placer = named_placer(&format!("gateway-{gateway}"), "north-1", endpoints());
        for number in 0..10 {
            let now = ms(1000 * number);
            let req = Request {
                object: None,
                ..request(&service, b"")
            };
            let Decision::Send(target) = placer.place(now, req) else {
                panic!("all endpoints are idle");
            };
            record_served(&mut placer, now, &target, ms(100));
            *counts.entry(target.id).or_default() += 1;
        }
    }
    // 400 requests over 20 endpoints: 20 each, with a standard deviation of about 4.5.
    let most = counts.values().max().copied().unwrap_or(0);
    assert!(counts.len() == 20 && most < 40, "{counts:?}");
}

/// Guards against large responses that send their bytes between failure domains although their
/// own has capacity: an object's first endpoint was any of the region.
#[test]
fn large_responses_come_from_the_gateways_failure_domain() {
    let endpoints = || {
        let near = (0..4).map(|n| endpoint(&format!("near-{n}"), "north-1"));
        let far = (0..8).map(|n| endpoint(&format!("far-{n}"), "north-2"));
        near.chain(far).collect()
    };
    let service = service();
    let mut endpoints_by_object: BTreeMap<String, BTreeSet<EndpointId>> = BTreeMap::new();
    for gateway in 0..10 {
        let mut placer = named_placer(&format!("gateway-{gateway}"), "north-1", endpoints());
        for number in 0..40 {
            let object = format!("o-{number}");
            let req = Request {
                large: true,
                ..request(&service, object.as_bytes())
            };
            let Decision::Send(target) = placer.place(ms(1000 * number), req) else {
                panic!("all endpoints are idle");
            };
            assert!(target.id.starts_with("near"), "{target:?}");
            record_served(&mut placer, ms(1000 * number), &target, ms(100));
            endpoints_by_object
                .entry(object)
                .or_default()
                .insert(target.id);
        }
    }
    assert!(
        endpoints_by_object.values().all(|ids| ids.len() == 1),
        "{endpoints_by_object:?}"
    );
}

/// Guards against an endpoint that never receives another request without an object after one
/// failure, while the other one is idle.
#[test]
fn an_endpoint_that_has_failed_gets_requests_without_an_object_again() {
    let endpoints = ["a", "b"].map(|id| endpoint(id, "north-1")).into();
    let mut placer = placer("north-1", endpoints);
    let service = service();
    let mut failed = None;
    let mut was_used_again = false;
    for number in 0..400 {
        let now = ms(100 * number);
        let req = Request {
            object: None,
            ..request(&service, b"")
        };
        let Decision::Send(target) = placer.place(now, req) else {
            panic!("both endpoints are idle");
        };
        if failed.is_none() {
            placer.record_outcome(now, &service, &target, Outcome::Failed);
            failed = Some(target.id);
        } else {
            was_used_again |= failed.as_ref() == Some(&target.id);
            record_served(&mut placer, now, &target, ms(100));
        }
    }
    assert!(was_used_again, "not used again within 40 s");
}
