//! What gateways refuse for good while their routes may have been overtaken.

use std::time::Duration;

use filberthead_testing::client::Answer;
use filberthead_testing::cluster::Node;
use filberthead_testing::site::{Site, config, order_at, proven, request};
use filberthead_testing::wait_until;

use crate::groups::site;

const BOUND: Duration = Duration::from_secs(60);
const FIRST: &[(&str, &str)] = &[("catalogue", "safe")];
const SECOND: &[(&str, &str)] = &[("catalogue", "safe"), ("lessons", "download")];
const CONTROLS: [&str; 3] = ["control-1", "control-2", "control-3"];
const GATEWAY: &str = "gateway-1";

/// Three replicas that have accepted routes, and a gateway that serves by them.
fn start() -> Site {
    let mut site = site().start();
    site.add_endpoint("catalogue", "zagreb-a");
    site.add_endpoint("lessons", "zagreb-a");
    site.put_routes(1, FIRST);
    site.wait_serving(0);
    let holds_first = |node: &Node| proven(node) == Some(1);
    wait_until("all replicas have the first routes", BOUND, || {
        site.controls.iter().all(holds_first)
    });
    site
}

#[track_caller]
fn ask(site: &Site, service: &str) -> Answer {
    let answer = site.request(0, &request("GET", &format!("/{service}/1"), "read-1"));
    answer.expect("the gateway answers")
}

/// That nothing ran, and when to come back.
#[track_caller]
fn assert_may_come_back(answer: &Answer) {
    assert_eq!(answer.status, 503);
    let after: f64 = answer.header("retry-after").parse().expect("a time");
    assert!(after > 0.0);
}

#[track_caller]
fn wait_served(site: &Site, service: &str) {
    wait_until("the request is served", BOUND, || {
        ask(site, service).status == 200
    });
}

/// A gateway starts while one control VM is cut off from the others with older routes, and
/// that one is all that the gateway reaches. Callers who have its address from before come at
/// once. It took the first routes that anybody gave it, and answered 404 on the route that was
/// added since: `routes in force` with version 1, then `no route`, version 1.
#[test]
fn a_gateway_that_starts_by_old_routes_denies_no_route() {
    let mut site = start();
    let [first, second, behind] = CONTROLS;
    site.network
        .partition(&[&[first, second], &[GATEWAY, behind]]);
    put_at_any(&site, &[0, 1]);
    let seed = site.controls[2].addr("peer");
    site.gateways[0].settings().set("group", "seeds", seed);
    site.gateways[0].restart();
    wait_until("it has the old routes", BOUND, || {
        site.gateways[0].metric("routes_version") == 1.0
    });
    assert_may_come_back(&ask(&site, "lessons"));
    site.network.heal();
    wait_served(&site, "lessons");
}

/// Puts the second routes in force at one of these replicas.
#[track_caller]
fn put_at_any(site: &Site, replicas: &[usize]) {
    wait_until("the second routes are accepted", BOUND, || {
        replicas.iter().any(|replica| {
            let node = &site.controls[*replica];
            let answer = order_at(node, "config.put", &config(2, SECOND));
            answer.is_ok_and(|answer| answer.status == 200)
        })
    });
}
