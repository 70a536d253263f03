//! From the id of a failed request to its cause, by logs and metrics alone.

use std::process::Command;
use std::time::Duration;

use filberthead_testing::site::{Behaviour, Site, request};
use filberthead_testing::{eventually, wait_until};

use crate::groups::site;

const BOUND: Duration = Duration::from_secs(60);
const SERVICES: &[(&str, &str)] = &[("orders", "unsafe"), ("catalogue", "safe")];

fn start() -> Site {
    let mut site = site().replicas(1).tolerate(0).start();
    site.add_endpoint("orders", "zagreb-a");
    site.put_routes(1, SERVICES);
    site.wait_serving(0);
    wait_until("an order runs", BOUND, || {
        let answer = site.request(0, &request("POST", "/orders/warm-up", "warm"));
        answer.is_ok_and(|answer| answer.status == 200)
    });
    site
}

/// Lines of the gateway's log that name a request.
fn lines(site: &Site, id: &str) -> Vec<String> {
    let log = site.dir().join("gateway-1.log");
    let text = std::fs::read_to_string(log).unwrap_or_default();
    let about = text.lines().filter(|line| line.contains(id));
    about.map(str::to_owned).collect()
}

/// What `filberthead explain` prints of a request, from the logs of all processes.
fn story(site: &Site, id: &str) -> String {
    let log = |name: &str| site.dir().join(format!("{name}.log"));
    let output = Command::new(env!("CARGO_BIN_EXE_filberthead"))
        .args(["explain", id])
        .args([log("gateway-1"), log("control-1")])
        .output()
        .expect("the command line starts");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// Waits until a line about the request holds all these words.
#[track_caller]
fn explained(site: &Site, id: &str, words: &[&str]) {
    eventually(&format!("a line with {words:?}"), BOUND, || {
        let lines = lines(site, id);
        lines
            .iter()
            .any(|line| words.iter().all(|word| line.contains(word)))
            .then_some(())
    });
}

/// An order is refused because its endpoints send it back: the log names the endpoint, why
/// it was sent back, the code of the refusal and when the caller may come back.
#[test]
fn a_refused_request_is_explained() {
    let site = start();
    site.endpoints[0].set_behaviour(Behaviour::Sheds);
    let answer = site.request(0, &request("POST", "/orders/one", "refused-1"));
    assert_eq!(answer.expect("an answer").status, 503);
    explained(&site, "refused-1", &["attempt ended", "i-1", "Full"]);
    explained(
        &site,
        "refused-1",
        &[
            "refused",
            "1200",
            "retry_after_ms",
            "r-orders",
            "version=1",
            "list_ms",
            "control_ms",
        ],
    );
}

/// An order's answer is lost: the log names the endpoint that has it, and says that it may
/// have run.
#[test]
fn an_order_whose_answer_was_lost_is_explained() {
    let site = start();
    site.endpoints[0].set_behaviour(Behaviour::LosesAnswer);
    let answer = site.request(0, &request("POST", "/orders/one", "lost-1"));
    assert_eq!(answer.expect("an answer").status, 502);
    explained(&site, "lost-1", &["attempt ended", "i-1", "Broken"]);
    explained(&site, "lost-1", &["lost with the request at it", "ran=1"]);
}

/// An engineer has the logs of all processes as they are written, in JSON, and the id of an
/// order that got 502. One command names the endpoint that has it and the routes it went by.
#[test]
fn one_command_tells_the_story_of_a_request() {
    let mut site = start();
    site.gateways[0].settings().set("log", "format", "json");
    site.gateways[0].restart();
    site.wait_serving(0);
    site.endpoints[0].set_behaviour(Behaviour::LosesAnswer);
    let answer = site.request(0, &request("POST", "/orders/one", "lost-2"));
    assert_eq!(answer.expect("an answer").status, 502);
    let wanted = [
        "request lost-2",
        "outcome=Broken",
        "lost with the request at it endpoint=i-1",
        "routes in force",
    ];
    eventually("the whole story", BOUND, || {
        let story = story(&site, "lost-2");
        wanted.iter().all(|part| story.contains(part)).then_some(())
    });
    assert!(story(&site, "nobody-1").contains("no line names nobody-1"));
}

/// A request met an endpoint that wasn't the one on the list any more: the log names it.
#[test]
fn a_request_to_an_endpoint_that_had_left_is_explained() {
    let site = start();
    site.endpoints[0].replace_instance("i-somebody-else");
    let answer = site.request(0, &request("POST", "/orders/one", "gone-1"));
    assert_eq!(answer.expect("an answer").status, 503);
    explained(&site, "gone-1", &["attempt ended", "i-1", "Gone"]);
}

#[test]
fn metrics_count_requests_and_attempts() {
    let site = start();
    let before = site.gateways[0].metric("gateway_requests_total");
    site.endpoints[0].set_behaviour(Behaviour::Sheds);
    for number in 0..3 {
        let id = format!("m-{number}");
        let answer = site.request(0, &request("POST", "/orders/one", &id));
        assert_eq!(answer.expect("an answer").status, 503);
    }
    let gateway = &site.gateways[0];
    assert!((gateway.metric("gateway_requests_total") - before - 3.0).abs() < 1e-9);
    assert!(gateway.metric("reason=\"full\"") >= 1.0);
    assert!(gateway.metric("gateway_routes_version") > 0.5);
    assert!(gateway.metric("gateway_ready") > 0.5);
}
