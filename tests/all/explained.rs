//! From the id of a failed request to its cause, by logs and metrics alone.

use std::io::Write;
use std::net::TcpStream;
use std::process::Command;
use std::time::Duration;

use filberthead_testing::site::{Behaviour, HOST, Site, request};
use filberthead_testing::{eventually, wait_until};

use crate::groups::site;

const BOUND: Duration = Duration::from_secs(60);
/// Rest that doesn't end while a test runs.
const REST: Duration = Duration::from_secs(90);
const SERVICES: &[(&str, &str)] = &[("orders", "unsafe"), ("catalogue", "safe")];

fn start() -> Site {
    start_with(&["zagreb-a"])
}

/// A gateway, with an endpoint of `orders` in each of these failure domains.
fn start_with(domains: &[&str]) -> Site {
    let mut site = site().replicas(1).tolerate(0).start();
    for domain in domains {
        site.add_endpoint("orders", domain);
    }
    site.put_routes(1, SERVICES);
    site.wait_serving(0);
    wait_until("an order runs", BOUND, || {
        let answer = site.request(0, &request("POST", "/orders/warm-up", "warm"));
        answer.is_ok_and(|answer| answer.status == 200)
    });
    site
}

/// The same, with logs that `explain` reads.
fn start_explained(domains: &[&str]) -> Site {
    let mut site = start_with(domains);
    site.gateways[0].settings().set("log", "format", "json");
    site.gateways[0].restart();
    site.wait_serving(0);
    site
}

/// Waits until the explanation of a request contains all these parts.
#[track_caller]
fn wait_explained(site: &Site, id: &str, parts: &[&str]) {
    eventually(&format!("{parts:?} of {id}"), BOUND, || {
        let explanation = explain(site, id);
        let mut parts = parts.iter();
        parts.all(|part| explanation.contains(part)).then_some(())
    });
}

/// Lines of the gateway's log that contain a request's id.
fn lines(site: &Site, id: &str) -> Vec<String> {
    let log = site.dir().join("gateway-1.log");
    let text = std::fs::read_to_string(log).unwrap_or_default();
    let about = text.lines().filter(|line| line.contains(id));
    about.map(str::to_owned).collect()
}

/// Output of `filberthead explain` for a request, from the logs of all processes.
fn explain(site: &Site, id: &str) -> String {
    let log = |name: &str| site.dir().join(format!("{name}.log"));
    let output = Command::new(env!("CARGO_BIN_EXE_filberthead"))
        .args(["explain", id])
        .args([log("gateway-1"), log("control-1")])
        .output()
        .expect("the command line starts");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// Waits until a line about the request contains all these words.
#[track_caller]
fn wait_logged(site: &Site, id: &str, words: &[&str]) {
    eventually(&format!("a line with {words:?}"), BOUND, || {
        let lines = lines(site, id);
        lines
            .iter()
            .any(|line| words.iter().all(|word| line.contains(word)))
            .then_some(())
    });
}

/// An order is refused because its endpoint sheds it: the log names the endpoint, the
/// reason, the result code and the time after which the caller may retry.
#[test]
fn a_refused_request_is_explained() {
    let site = start();
    site.endpoints[0].set_behaviour(Behaviour::Sheds);
    let answer = site.request(0, &request("POST", "/orders/one", "refused-1"));
    assert_eq!(answer.expect("an answer").status, 503);
    wait_logged(&site, "refused-1", &["attempt ended", "i-1", "Full"]);
    wait_logged(
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

/// An order has waited for another one that was sent before it on the same connection. Nothing at its
/// endpoint shows why it was late.
#[test]
fn an_order_that_waited_in_line_is_explained() {
    let site = start_explained(&["zagreb-a"]);
    site.endpoints[0].set_run_time(Duration::from_millis(400));
    let order = |id: &str| {
        format!("POST /orders/{id} HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {id}\r\n\r\n")
    };
    let caller = TcpStream::connect(site.gateways[0].addr("caller"));
    let mut caller = caller.expect("a connection");
    let orders = [order("first-1"), order("second-1")].concat();
    caller.write_all(orders.as_bytes()).expect("sent orders");
    let words = ["sent ahead on its connection: started", "had to end first"];
    wait_explained(&site, "second-1", &words);
    let explanation = explain(&site, "first-1");
    assert!(!explanation.contains("sent ahead"), "{explanation}");
}

/// An order's answer is lost: the log names the endpoint that got the order, and says
/// that it may have run.
#[test]
fn an_order_whose_answer_was_lost_is_explained() {
    let site = start();
    site.endpoints[0].set_behaviour(Behaviour::LosesAnswer);
    let answer = site.request(0, &request("POST", "/orders/one", "lost-1"));
    assert_eq!(answer.expect("an answer").status, 502);
    wait_logged(&site, "lost-1", &["attempt ended", "i-1", "Broken"]);
    wait_logged(&site, "lost-1", &["lost with the request at it", "ran=1"]);
}

/// Given the JSON logs of all processes and the id of an order that got 502, one command
/// names its endpoint and the routes in force.
#[test]
fn explain_traces_a_request_through_all_logs() {
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
    eventually("the complete trace", BOUND, || {
        let explain = explain(&site, "lost-2");
        wanted
            .iter()
            .all(|part| explain.contains(part))
            .then_some(())
    });
    assert!(explain(&site, "nobody-1").contains("no line names nobody-1"));
}

/// A request reached an endpoint of another identity than the listed one: the log names the
/// listed one and that it is gone.
#[test]
fn a_request_to_an_endpoint_that_had_left_is_explained() {
    let site = start();
    site.endpoints[0].replace_instance("i-somebody-else");
    let answer = site.request(0, &request("POST", "/orders/one", "gone-1"));
    assert_eq!(answer.expect("an answer").status, 503);
    wait_logged(&site, "gone-1", &["attempt ended", "i-1", "Gone"]);
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

/// `filberthead status` doesn't show them, so operators read them here.
#[test]
fn metrics_count_endpoints_at_rest_and_leaving() {
    let site = start_with(&["zagreb-a", "zagreb-a", "split-a"]);
    site.endpoints[0].ask_for_rest(Some(REST));
    site.endpoints[1].say_leaving(true);
    let wanted = [
        "filberthead_gateway_endpoints 3",
        "filberthead_gateway_resting_endpoints 1",
        "filberthead_gateway_leaving_endpoints 1",
        "filberthead_gateway_rests_asked_for_total 1",
    ];
    wait_until("the metrics count both", BOUND, || {
        let answer = site.request(0, &request("POST", "/orders/one", "any"));
        assert!(answer.is_ok());
        let metrics = site.gateways[0].metrics();
        wanted
            .iter()
            .all(|line| metrics.lines().any(|l| l == *line))
    });
}

/// Every request fails, and one in six may be retried: the decisions name the figures that they
/// were made by.
#[test]
fn a_retry_that_the_budget_refused_is_explained() {
    let mut site = start();
    site.add_endpoint("catalogue", "zagreb-a");
    site.add_endpoint("catalogue", "zagreb-a");
    let gateway = &mut site.gateways[0];
    gateway.settings().set("budgets", "retry_floor", "0");
    gateway.settings().set("budgets", "retry_window", "1h");
    gateway.settings().set("log", "format", "json");
    gateway.restart();
    site.wait_serving(0);
    wait_until("a reading is served", BOUND, || {
        let answer = site.request(0, &request("GET", "/catalogue/one", "warm"));
        answer.is_ok_and(|answer| answer.status == 200)
    });
    for endpoint in &site.endpoints {
        endpoint.set_behaviour(Behaviour::Fails);
    }
    let mut refused = None;
    wait_until("a retry is refused", BOUND, || {
        let id = format!("r-{}", rand::random::<u32>());
        let answer = site.request(0, &request("GET", "/catalogue/one", &id));
        assert_eq!(answer.expect("an answer").status, 500);
        let trace = explain(&site, &id);
        let is_wanted = trace.contains("retry budget spent") && trace.contains("retries=1");
        refused = is_wanted.then_some(trace);
        refused.is_some()
    });
    wait_logged(&site, "attempt ended", &["\"attempt\":2", "sent_after_ms"]);
    let trace = refused.unwrap_or_default();
    for field in ["service=catalogue", "gateways=", "allowed=", "proven_ms"] {
        assert!(trace.contains(field), "{field} in {trace}");
    }
    let gateway = &site.gateways[0];
    assert!(
        gateway.metric("gateway_retries_total{service=\"catalogue\",result=\"granted\"}") > 0.5
    );
    assert!(
        gateway.metric("gateway_retries_total{service=\"catalogue\",result=\"refused\"}") > 0.5
    );
}

/// The lines about the rest were those of other requests, and the refusal didn't say that there was one.
#[test]
fn a_request_refused_while_all_endpoints_rest_is_explained() {
    let site = start_explained(&["zagreb-a"]);
    let order = |id: &str| site.request(0, &request("POST", "/orders/one", id));
    site.endpoints[0].ask_for_rest(Some(REST));
    assert_eq!(order("asked-1").expect("an answer").status, 503);
    let wants_nothing = "endpoint i-1 has rejected a request and wants nothing from this gateway";
    wait_explained(&site, "asked-1", &[wants_nothing]);
    assert_eq!(order("refused-2").expect("an answer").status, 503);
    let refused = "no endpoint was left that may run it; endpoints passed over: 1 at rest (the \
                   first is back in ";
    wait_explained(&site, "refused-2", &[refused, wants_nothing]);
}

/// Nothing about a request said that an endpoint is leaving.
#[test]
fn a_request_that_a_leaving_endpoint_didnt_get_is_explained() {
    let site = start_explained(&["zagreb-a"]);
    let order = |id: &str| site.request(0, &request("POST", "/orders/one", id));
    site.endpoints[0].say_leaving(true);
    assert_eq!(order("told-1").expect("an answer").status, 200);
    let is_leaving = "endpoint i-1 has said that it is leaving";
    wait_explained(&site, "told-1", &[is_leaving]);
    assert_eq!(order("refused-2").expect("an answer").status, 503);
    let passed_over = "endpoints passed over: 1 leaving";
    wait_explained(&site, "refused-2", &[passed_over, is_leaving]);
}

/// It was served at once, so that no line named it.
#[test]
fn a_request_that_went_to_another_region_since_endpoints_rest_is_explained() {
    let site = start_explained(&["zagreb-a", "split-a"]);
    let order = |id: &str| site.request(0, &request("POST", "/orders/one", id));
    site.endpoints[0].ask_for_rest(Some(REST));
    wait_until("the endpoint asks for rest", BOUND, || {
        order("asked").is_ok() && site.gateways[0].metric("gateway_resting_endpoints") > 0.5
    });
    assert_eq!(order("moved-1").expect("an answer").status, 200);
    let passed_over = "endpoints passed over: 1 at rest";
    wait_explained(
        &site,
        "moved-1",
        &["endpoint=i-2", "remote=true", passed_over],
    );
}
