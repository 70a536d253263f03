//! Requests of different lengths that come to a gateway during its planned stop.

use std::thread::sleep;
use std::time::Duration;

use filberthead_testing::client::{Answer, Call};
use filberthead_testing::site::{Behaviour, HOST, Site, SiteEndpoint, config, request};
use filberthead_testing::wait_until;

use crate::groups::site;
use crate::support::run_concurrently;

const BOUND: Duration = Duration::from_secs(60);
const SERVICE: &str = "catalogue";
const NEAR: &str = "zagreb-a";
const GRACE: Duration = Duration::from_secs(10);
/// After the signal, while what can be expected to end in time is passed on.
const EARLY: Duration = Duration::from_millis(2400);
/// After the signal, when only what is sure to end in time is passed on and connections are still accepted.
const LATE: Duration = Duration::from_millis(4600);
/// More than is left of the grace period at `EARLY`.
const LONG: Duration = Duration::from_secs(7);
/// A deadline before the end of the process for a request that is sent at `LATE`.
const SHORT_DEADLINE: Duration = Duration::from_secs(3);
/// Short requests after which the averages have forgotten a long one.
const MANY: usize = 40;
/// Result code of requests that a stopping gateway doesn't take.
const STOPPING: &str = "1209";

/// A gateway with one service, whose requests come on two routes.
fn start() -> Site {
    let mut site = site().replicas(1).tolerate(0).stop_grace(GRACE).start();
    site.add_endpoint(SERVICE, NEAR);
    let config = config(1, &[(SERVICE, "unsafe")]);
    let mut config: serde_json::Value = serde_json::from_str(&config).expect("a configuration");
    let mut long = config["routes"][0].clone();
    long["name"] = "r-long".into();
    long["path_prefix"] = "/long/".into();
    let routes = config["routes"].as_array_mut().expect("routes");
    routes.push(long);
    assert_eq!(site.order("config.put", &config.to_string()).status, 200);
    site.wait_serving(0);
    wait_until("the gateway serves", BOUND, || {
        send(&site, "GET", "/catalogue/warm-up").status == 200
    });
    site
}

fn send(site: &Site, method: &str, path: &str) -> Answer {
    let call = request(method, path, path).bound(BOUND);
    site.request(0, &call).expect("the gateway answers")
}

/// Sends requests one after the other; returns their status if they have the same one.
fn send_series(site: &Site, prefix: &str, number: usize) -> Option<u16> {
    let paths = (0..number).map(|n| format!("{prefix}{n}"));
    let mut statuses = paths.map(|path| send(site, "POST", &path).status.as_u16());
    let first = statuses.next()?;
    statuses.all(|status| status == first).then_some(first)
}

fn set_run_time(site: &Site, run_time: Duration) {
    let endpoints = site.endpoints.iter();
    endpoints.for_each(|endpoint| endpoint.set_run_time(run_time));
}

fn dropped(site: &Site) -> Vec<String> {
    let endpoints = site.endpoints.iter();
    endpoints.flat_map(SiteEndpoint::dropped).collect()
}

/// Lets the gateway observe two long requests.
fn observe_long(site: &Site) {
    set_run_time(site, LONG);
    let statuses = run_concurrently(2, |n| {
        send(site, "POST", &format!("/long/before-{n}")).status
    });
    assert_eq!(statuses, [200; 2]);
    set_run_time(site, Duration::ZERO);
}

/// Stops the gateway and sends it an order some time after the signal.
fn stop_and_send(site: &Site, after: Duration, order: &Call, run_time: Duration) -> Answer {
    site.gateways[0].process_ref().terminate();
    sleep(after);
    set_run_time(site, run_time);
    site.request(0, order).expect("the gateway answers")
}

fn order(path: &str) -> Call {
    request("POST", path, path).bound(BOUND)
}

#[track_caller]
fn assert_long_is_rejected(site: &Site, after: Duration) {
    let dropped_before = dropped(site);
    let answer = stop_and_send(site, after, &order("/long/late"), LONG);
    assert_eq!(answer.status, 503);
    assert_eq!(answer.header("filberthead-result"), STOPPING);
    assert_eq!(dropped(site), dropped_before);
}

/// Short requests on another route made a long one look short: it was taken, and cut while its endpoint was at work.
#[test]
fn a_long_request_isnt_taken_for_a_short_one_of_another_route() {
    let site = start();
    observe_long(&site);
    assert_eq!(send_series(&site, "/catalogue/short-", MANY), Some(200));
    assert_long_is_rejected(&site, EARLY);
}

/// Failures that came at once made requests look short.
#[test]
fn fast_failures_dont_make_requests_look_short() {
    let site = start();
    observe_long(&site);
    site.endpoints[0].set_behaviour(Behaviour::Fails);
    assert_eq!(send_series(&site, "/long/failing-", MANY), Some(500));
    site.endpoints[0].set_behaviour(Behaviour::Serves);
    assert_long_is_rejected(&site, EARLY);
}

/// Requests whose callers left weren't observed, so those that took long enough to be given up looked short.
#[test]
fn requests_whose_callers_left_are_observed() {
    let site = start();
    assert_eq!(send_series(&site, "/long/short-", MANY), Some(200));
    set_run_time(&site, BOUND);
    run_concurrently(2, |n| {
        let path = format!("/long/left-{n}");
        let call = request("POST", &path, &path).bound(LONG);
        assert!(site.request(0, &call).is_err());
    });
    wait_until("the endpoint notices", BOUND, || dropped(&site).len() == 2);
    assert_long_is_rejected(&site, EARLY);
}

/// Long requests on one route made a short one on another look long, so that it was rejected.
#[test]
fn a_short_request_isnt_taken_for_a_long_one_of_another_route() {
    let site = start();
    assert_eq!(send_series(&site, "/catalogue/short-", MANY), Some(200));
    observe_long(&site);
    let answer = stop_and_send(&site, EARLY, &order("/catalogue/late"), Duration::ZERO);
    assert_eq!(answer.status, 200);
}

/// A late order longer than any of its route before it was taken for a short one, and cut while its endpoint was
/// at work.
#[test]
fn a_late_order_of_a_time_never_seen_is_rejected() {
    let site = start();
    assert_eq!(send_series(&site, "/long/short-", MANY), Some(200));
    assert_long_is_rejected(&site, LATE);
}

/// A late order that its caller gives up before the process ends was rejected for the times of other orders.
#[test]
fn a_late_order_whose_deadline_comes_first_is_taken() {
    let site = start();
    observe_long(&site);
    let deadline_ms = SHORT_DEADLINE.as_millis().to_string();
    let order = Call::new("POST", "/long/late")
        .header("host", HOST)
        .header("x-request-id", "late")
        .header("x-deadline-ms", &deadline_ms)
        .bound(BOUND);
    let answer = stop_and_send(&site, LATE, &order, Duration::ZERO);
    assert_eq!(answer.status, 200);
}
