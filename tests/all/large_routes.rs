//! Distribution of configurations with thousands of routes to gateways.

use std::time::Duration;

use filberthead_testing::site::{Site, config, request};
use filberthead_testing::wait_until;
use serde_json::{Value, json};

use crate::groups::site;

const BOUND: Duration = Duration::from_secs(60);
/// Bytes above any few small messages, and far below a table of thousands of routes.
const DELTA_BOUND: f64 = 16.0 * 1024.0;

/// A configuration with `extra` additional routes to one service.
fn config_with_routes(version: u64, extra: usize) -> String {
    let text = config(version, &[("catalogue", "safe")]);
    let mut body: Value = serde_json::from_str(&text).expect("it is JSON");
    let first = body["routes"][0].clone();
    let routes = body["routes"].as_array_mut().expect("a list of routes");
    routes.extend((0..extra).map(|number| {
        let mut route = first.clone();
        route["name"] = json!(format!("r-further{number}"));
        route["path_prefix"] = json!(format!("/further{number}/"));
        route
    }));
    body.to_string()
}

fn put(site: &Site, body: &str) {
    assert_eq!(site.order("config.put", body).status, 200);
}

#[track_caller]
fn wait_in_force(site: &Site, version: u64) {
    wait_until("the version is in force at the gateway", BOUND, || {
        site.gateways[0].metric("routes_version") == version as f64
    });
}

fn received(site: &Site, kind: &str) -> f64 {
    let name = format!("peer_kind_received_bytes_total{{kind=\"{kind}\"}}");
    site.gateways[0].metric(&name)
}

#[track_caller]
fn assert_served(site: &Site, path: &str) {
    let answer = site.request(0, &request("GET", path, "read-1"));
    assert_eq!(answer.expect("an answer").status, 200, "{path}");
}

/// Guards against a large configuration that is sent in one piece, and again for each
/// change: that takes a small VM's link for seconds.
#[test]
fn a_large_table_is_sent_in_parts_and_then_as_deltas() {
    let mut site = site().start();
    site.add_endpoint("catalogue", "zagreb-a");
    put(&site, &config_with_routes(1, 0));
    site.wait_serving(0);
    put(&site, &config_with_routes(2, 3000));
    wait_in_force(&site, 2);
    assert_served(&site, "/further2999/1");
    let parts = received(&site, "part");
    assert!(parts > 4.0 * DELTA_BOUND, "{parts}");
    put(&site, &config_with_routes(3, 3001));
    wait_in_force(&site, 3);
    assert_served(&site, "/further3000/1");
    let extra = received(&site, "part") - parts;
    assert!(
        extra < DELTA_BOUND,
        "expected only the change, got {extra} bytes"
    );
    let full = received(&site, "routes") + received(&site, "routes-changed");
    assert!(full < DELTA_BOUND, "{full}");
    site.gateways[0].restart();
    wait_in_force(&site, 3);
    assert_served(&site, "/further3000/1");
    assert!(received(&site, "part") > 4.0 * DELTA_BOUND);
}
