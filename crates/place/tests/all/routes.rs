//! Routes of one service whose requests do different work.

use std::sync::Arc;

use filberthead_place::{Decision, Object, Placer, Request, RouteKey, Target};
use filberthead_route::{Route, Table};
use filberthead_types::Moment;

use crate::support::{endpoint, ms, placer, record_served, request, service, table};

/// Two routes of one service: cached objects of `/heavy/` take as long as unknown ones of `/light/`.
fn two_routes(contention_control: bool) -> Placer {
    let endpoints = (0..6).map(|n| endpoint(&format!("e-{n}"), "north-1"));
    let mut placer = placer("north-1", endpoints.collect());
    let mut table = table();
    let route = |prefix: &str, objective| {
        Arc::new(Route {
            prefix: prefix.to_owned(),
            objective,
            ..Route::clone(&table.routes[0])
        })
    };
    table.routes = vec![route("/light/", ms(600)), route("/heavy/", ms(2000))];
    // Forgets the times that were derived from the routes of the other tests.
    placer.set_routes(&Table::default());
    placer.set_routes(&table);
    if contention_control {
        placer.enable_contention_control();
    }
    placer
}

fn place_on(placer: &mut Placer, now: Moment, prefix: &str, name: &str) -> Target {
    let service = service();
    let req = Request {
        route: RouteKey::new(prefix),
        objective: if prefix == "/light/" {
            ms(600)
        } else {
            ms(2000)
        },
        remaining: ms(5000),
        object: Some(Object {
            prefix,
            name: name.as_bytes(),
        }),
        ..request(&service, b"")
    };
    match placer.place(now, req) {
        Decision::Send(target) => target,
        Decision::Refuse { reason, .. } => panic!("{name} is rejected: {reason:?}"),
    }
}

/// Requests of both routes, for 20 objects each, and the expected times of their last ones with the object
/// cached.
fn learn(placer: &mut Placer) -> (Moment, Moment) {
    let mut last = (ms(0), ms(0));
    for round in 0..20 {
        for number in 0..20 {
            let now = ms(round * 20_000 + number * 1000);
            let name = format!("o-{number}");
            for (prefix, cached, unknown) in [("/light/", 210, 710), ("/heavy/", 690, 2300)] {
                let target = place_on(placer, now, prefix, &name);
                let took = if round == 0 { ms(unknown) } else { ms(cached) };
                record_served(placer, now, &target, took);
                match prefix {
                    "/light/" => last.0 = target.expected,
                    _ => last.1 = target.expected,
                }
            }
        }
    }
    last
}

/// One service has requests that take 210 ms and others that take 690 ms, both with their objects cached. A
/// gateway that expects one time of both sends the short ones away from endpoints that would be in time, and
/// takes the long ones' cached objects for unknown.
#[test]
fn routes_with_different_work_have_expected_times_of_their_own() {
    let mut placer = two_routes(true);
    let (light, heavy) = learn(&mut placer);
    assert!(light > ms(180) && light < ms(260), "{light:?}");
    assert!(heavy > ms(620) && heavy < ms(780), "{heavy:?}");
}

/// Before the first answer, the time that is expected of a route's requests follows from its own objective.
/// The service's shortest objective would make a gateway give up endpoints that are only as slow as usual.
#[test]
fn initial_times_follow_from_the_routes_own_objective() {
    let mut placer = two_routes(true);
    let light = place_on(&mut placer, ms(0), "/light/", "o");
    let heavy = place_on(&mut placer, ms(0), "/heavy/", "o");
    assert!(heavy.expected > 3 * light.expected, "{heavy:?} {light:?}");
}

/// Guards against other decisions where nobody has asked for contention control.
#[test]
fn without_contention_control_all_routes_of_a_service_share_their_times() {
    let mut placer = two_routes(false);
    let light = place_on(&mut placer, ms(0), "/light/", "o");
    let heavy = place_on(&mut placer, ms(0), "/heavy/", "o");
    assert_eq!(heavy.expected, light.expected);
}

/// The same names arrive after the switch as before it: what was learned must be there at once.
#[test]
fn times_by_route_are_learned_before_contention_control_is_on() {
    let mut placer = two_routes(false);
    learn(&mut placer);
    placer.enable_contention_control();
    let now = ms(410_000);
    let light = place_on(&mut placer, now, "/light/", "o-19").expected;
    assert!(light > ms(180) && light < ms(260), "{light:?}");
}

/// Guards against waiting and admission by a wrong size: the expected work is that of the route, and says
/// whether the request is the fast or the slow one of the two.
#[test]
fn expected_work_is_that_of_the_route() {
    let mut placer = two_routes(true);
    learn(&mut placer);
    let service = service();
    let req = |name: &'static str| Request {
        route: RouteKey::new("/heavy/"),
        object: Some(Object {
            prefix: "/heavy/",
            name: name.as_bytes(),
        }),
        ..request(&service, b"")
    };
    let expected = placer.expected_work(ms(400_000), &req("o-19"));
    assert!(expected.is_cached);
    assert!(
        expected.cached > ms(620) && expected.cached < ms(780),
        "{expected:?}"
    );
    assert!(expected.unknown > ms(1600), "{expected:?}");
    let without_object = Request {
        object: None,
        ..req("")
    };
    assert!(!placer.expected_work(ms(400_000), &without_object).is_cached);
}

/// Every third request has to learn its object, since the endpoints remember too few. Demand that counts the
/// cached time only keeps requests in a region that can't serve them.
#[test]
fn demand_counts_the_time_that_requests_really_take() {
    let demand = |contention_control| {
        let mut placer = two_routes(contention_control);
        let service = service();
        let mut demand = Vec::new();
        for number in 0..600 {
            let now = ms(100 * number);
            placer.record_request(now, &service, 1);
            let target = place_on(&mut placer, now, "/light/", &format!("o-{}", number % 20));
            let took = if number % 3 == 0 { ms(700) } else { ms(210) };
            record_served(&mut placer, now, &target, took);
            if number % 5 == 4 {
                demand = placer.take_demand(now);
            }
        }
        demand[0].busy_milli
    };
    // 10 requests per second at (700 + 2 * 210) / 3 ms, or at 210 ms.
    let (with, without) = (demand(true), demand(false));
    assert!((3300..4200).contains(&with), "{with}");
    assert!((1900..2500).contains(&without), "{without}");
}
