//! Gateways give no final refusals while their routes may be outdated.

use std::time::Duration;

use filberthead_testing::client::Answer;
use filberthead_testing::cluster::Node;
use filberthead_testing::site::{Site, config, order_at, proven_version, request};
use filberthead_testing::{eventually, wait_until};

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
    let has_first = |node: &Node| proven_version(node) == Some(1);
    wait_until("all replicas have the first routes", BOUND, || {
        site.controls.iter().all(has_first)
    });
    site
}

#[track_caller]
fn send_read(site: &Site, service: &str) -> Answer {
    let answer = site.request(0, &request("GET", &format!("/{service}/1"), "read-1"));
    answer.expect("the gateway answers")
}

/// Asserts that the answer says that nothing ran and when to retry.
#[track_caller]
fn assert_retryable(answer: &Answer) {
    assert_eq!(answer.status, 503);
    let after: f64 = answer.header("retry-after").parse().expect("a time");
    assert!(after > 0.0);
}

#[track_caller]
fn wait_served(site: &Site, service: &str) {
    wait_until("the request is served", BOUND, || {
        send_read(site, service).status == 200
    });
}

/// A gateway is partitioned from control, and operators add a route. The gateway answered
/// 404 on it, which tells a caller never to retry, although its routes had not been proved
/// to be the newest during the partition:
/// `"msg":"no route","path":"/lessons/1","version":1` while version 2 was accepted.
#[test]
fn a_gateway_that_is_cut_off_denies_no_route() {
    let site = start();
    wait_until("its routes are proved", BOUND, || {
        send_read(&site, "nowhere").status == 404
    });
    site.network.partition(&[&[GATEWAY], &CONTROLS]);
    site.put_routes(2, SECOND);
    eventually("the proof of its routes has expired", BOUND, || {
        (send_read(&site, "lessons").status != 404).then_some(())
    });
    assert_retryable(&send_read(&site, "lessons"));
    assert_eq!(
        send_read(&site, "catalogue").status,
        200,
        "routes that it has are served"
    );
    site.network.heal();
    wait_served(&site, "lessons");
    wait_until("its routes are proved again", BOUND, || {
        send_read(&site, "nowhere").status == 404
    });
}

/// A gateway starts while one control VM with older routes is partitioned from the
/// others, and that one is all that the gateway reaches. Callers that have the gateway's
/// address from before send requests at once. It used the first routes that it received,
/// and answered 404 on the route that was added since: `routes in force` with version 1,
/// then `no route`, version 1.
#[test]
fn a_gateway_that_starts_with_old_routes_denies_no_route() {
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
    assert_retryable(&send_read(&site, "lessons"));
    site.network.heal();
    wait_served(&site, "lessons");
}

/// All VMs lose power, and at first only one control VM restarts. It had missed the last
/// change, so its note of the routes in force is outdated. Without a leader it can't be
/// determined which routes are the newest. The gateway served by the old note, and answered
/// 404 on the new route.
#[test]
fn a_gateway_that_starts_from_an_old_note_denies_no_route() {
    let mut site = start();
    wait_until("the note of the first routes is written", BOUND, || {
        site.controls[2].data().join("note").exists()
    });
    site.controls[2].kill();
    put_at_any(&site, &[0, 1]);
    site.gateways[0].kill();
    site.controls[0].kill();
    site.controls[1].kill();
    let own = site.controls[2].addr("peer").to_string();
    site.controls[2].settings().set("group", "seeds", &own);
    site.gateways[0].settings().set("group", "seeds", &own);
    site.controls[2].start();
    site.gateways[0].start();
    wait_until("it has the old routes", BOUND, || {
        site.gateways[0].metric("routes_version") == 1.0
    });
    assert_retryable(&send_read(&site, "lessons"));
    wait_served(&site, "catalogue");
    site.controls[0].start();
    site.controls[1].start();
    wait_served(&site, "lessons");
}

/// A gateway is partitioned together with the leader, and the others elect another one
/// and accept a change. The old leader still answers the gateway's reports, but it may
/// not prove its routes any longer.
#[test]
fn a_gateway_that_is_cut_off_with_the_leader_denies_no_route() {
    let site = start();
    let leads = |node: &Node| node.metric("_leader") > 0.0;
    let leader = eventually("a leader", BOUND, || site.controls.iter().position(leads));
    let others: Vec<_> = (0..CONTROLS.len()).filter(|n| *n != leader).collect();
    let names: Vec<_> = others.iter().map(|n| CONTROLS[*n]).collect();
    site.network
        .partition(&[&[GATEWAY, CONTROLS[leader]], &names]);
    put_at_any(&site, &others);
    wait_until("the proof of its routes has expired", BOUND, || {
        send_read(&site, "lessons").status != 404
    });
    assert_retryable(&send_read(&site, "lessons"));
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
