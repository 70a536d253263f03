//! Routes of one service whose requests do different work.

use std::sync::Arc;

use filberthead_place::{Decision, Object, Placer, Request, RouteKey, Target};
use filberthead_route::Route;
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
