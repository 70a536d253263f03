//! Workspaces: who may send requests, where they may run, and how many.

use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

use filberthead_testing::client::{Answer, Call, Connection};
use filberthead_testing::cluster::Node;
use filberthead_testing::site::{
    Behaviour, Site, SiteEndpoint, config_with_workspaces, proven_version, request,
};
use filberthead_testing::{eventually, runtime, wait_until};
use serde_json::{Value, json};

use crate::groups::site;

const BOUND: Duration = Duration::from_secs(60);
/// Longest configuration that is accepted, in bytes.
const MAX_CONFIG: usize = 2 * 1024 * 1024;
const SERVICES: &[(&str, &str)] = &[("orders", "unsafe"), ("catalogue", "safe")];
/// Key of the workspace `alpha`, and another one of it.
const ALPHA: &str = "rbn4ryrbbkf83fgfwrz5";
const ALPHA_SECOND: &str = "6aw63is47qdqiqrh4jcd";
/// Key of the workspace `beta`.
const BETA: &str = "zzk2m8w0q4c7t1y5u9x3";

fn workspace(name: &str, keys: &[&str]) -> Value {
    json!({"name": name, "api_keys": keys, "priority": 0, "rate_per_s": 0, "burst": 0,
        "allowed_regions": []})
}

fn put(site: &Site, version: u64, workspaces: &[Value]) -> Answer {
    let config = config_with_workspaces(version, SERVICES, workspaces);
    site.order("config.put", &config)
}

/// One replica and a gateway in `zagreb-a`, with an endpoint of each service.
fn start(workspaces: &[Value]) -> Site {
    let mut site = site().replicas(1).tolerate(0).start();
    site.add_endpoint("orders", "zagreb-a");
    site.add_endpoint("catalogue", "zagreb-a");
    assert_eq!(put(&site, 1, workspaces).status, 200);
    site.wait_serving(0);
    site
}

fn keyed(method: &str, path: &str, id: &str, key: &str) -> Call {
    request(method, path, id).header("api-key", key)
}

#[track_caller]
fn send(site: &Site, call: &Call) -> Answer {
    site.request(0, call).expect("the gateway answers")
}

/// Sends the request until it gets this status: routes and endpoint lists reach the gateway with
/// some delay.
#[track_caller]
fn send_until(site: &Site, call: &Call, status: u16) -> Answer {
    eventually("the wanted answer", BOUND, || {
        let answer = send(site, call);
        (answer.status == status).then_some(answer)
    })
}

/// Sends a request over a connection that stays open.
#[track_caller]
fn send_kept(mut connection: Connection, call: Call) -> (Connection, Answer) {
    runtime::wait(async move {
        let answer = connection.send(&call).await;
        (connection, answer.expect("an answer"))
    })
}

/// Values of a header as an endpoint got them with a request.
fn received(endpoints: &[SiteEndpoint], id: &str, header: &str) -> Vec<String> {
    let runs = endpoints.iter().flat_map(SiteEndpoint::runs);
    let run = runs.into_iter().find(|run| run.id == id);
    let run = run.expect("an endpoint ran the request");
    let values = run.headers.get_all(header).iter();
    values
        .map(|value| value.to_str().expect("text").to_owned())
        .collect()
}

fn has_run(site: &Site, id: &str) -> bool {
    let mut ran = site.endpoints.iter().flat_map(SiteEndpoint::ran);
    ran.any(|ran| ran == id)
}

/// The endpoint learns the caller's workspace and never its key, whatever the caller claims.
#[test]
fn an_endpoint_gets_the_workspace_and_not_the_key() {
    let site = start(&[
        workspace("alpha", &[ALPHA, ALPHA_SECOND]),
        workspace("beta", &[BETA]),
    ]);
    send_until(&site, &keyed("GET", "/catalogue/warm-up", "w", ALPHA), 200);
    for (id, key, name) in [
        ("r-1", ALPHA, "alpha"),
        ("r-2", ALPHA_SECOND, "alpha"),
        ("r-3", BETA, "beta"),
    ] {
        let call = keyed("GET", "/catalogue/one", id, key)
            .header("x-tenant", "gamma")
            .header("connection", "x-tenant");
        assert_eq!(send(&site, &call).status, 200);
        assert_eq!(received(&site.endpoints, id, "x-tenant"), [name]);
        assert!(received(&site.endpoints, id, "api-key").is_empty());
    }
    let order = keyed("POST", "/orders/one", "o-1", BETA).body("three packs");
    assert_eq!(send_until(&site, &order, 200).status, 200);
    assert_eq!(received(&site.endpoints, "o-1", "x-tenant"), ["beta"]);
}

/// A request whose key is missing, unknown, empty or ambiguous must not run.
#[test]
fn a_request_without_a_known_key_never_runs() {
    let site = start(&[workspace("alpha", &[ALPHA]), workspace("beta", &[BETA])]);
    send_until(&site, &keyed("GET", "/catalogue/warm-up", "w", ALPHA), 200);
    let plain = request("GET", "/catalogue/one", "r-1");
    let calls = [
        plain.clone(),
        plain.clone().header("api-key", "unknown"),
        plain.clone().header("api-key", ""),
        plain
            .clone()
            .header("api-key", ALPHA)
            .header("api-key", BETA),
        plain
            .clone()
            .header("api-key", ALPHA)
            .header("api-key", ALPHA),
        plain.header("x-tenant", "alpha"),
    ];
    for call in calls {
        assert_eq!(send_until(&site, &call, 401).status, 401, "{call:?}");
    }
    assert!(!has_run(&site, "r-1"));
}

/// Routes that are public need no key, and a caller without one can't claim a workspace there.
#[test]
fn a_public_route_needs_no_key() {
    let mut site = site().replicas(1).tolerate(0).start();
    site.add_endpoint("catalogue", "zagreb-a");
    let config = config_with_workspaces(1, SERVICES, &[workspace("alpha", &[ALPHA])]);
    let mut config: Value = serde_json::from_str(&config).expect("valid JSON");
    config["routes"][1]["public"] = json!(true);
    assert_eq!(site.order("config.put", &config.to_string()).status, 200);
    site.wait_serving(0);
    let call = request("GET", "/catalogue/one", "r-1").header("x-tenant", "alpha");
    send_until(&site, &call, 200);
    assert!(received(&site.endpoints, "r-1", "x-tenant").is_empty());
    let call = keyed("GET", "/catalogue/one", "r-2", ALPHA);
    send_until(&site, &call, 200);
    assert_eq!(received(&site.endpoints, "r-2", "x-tenant"), ["alpha"]);
    assert!(received(&site.endpoints, "r-2", "api-key").is_empty());
}

/// A key is taken away while a request waits to be sent again. It must not run any more, and
/// neither may later requests on the connection.
#[test]
fn a_revoked_key_runs_nothing() {
    let site = start(&[workspace("alpha", &[ALPHA, ALPHA_SECOND])]);
    let warm_up = keyed("GET", "/catalogue/warm-up", "w", ALPHA);
    send_until(&site, &warm_up, 200);
    let connection = Connection::open(site.gateways[0].addr("caller"));
    let connection = runtime::wait(connection).expect("a connection");
    let first = keyed("GET", "/catalogue/one", "r-1", ALPHA);
    let (connection, answer) = send_kept(connection, first);
    assert_eq!(answer.status, 200);
    assert_eq!(
        put(&site, 2, &[workspace("alpha", &[ALPHA_SECOND])]).status,
        200
    );
    send_until(&site, &warm_up, 401);
    let next = keyed("GET", "/catalogue/one", "r-2", ALPHA);
    assert_eq!(send_kept(connection, next).1.status, 401);
    assert!(!has_run(&site, "r-2"));
    let second = keyed("GET", "/catalogue/one", "r-3", ALPHA_SECOND);
    assert_eq!(send(&site, &second).status, 200);
}

/// A request runs only where both its route and its workspace allow it.
#[test]
fn a_request_stays_in_the_homes_of_its_workspace() {
    let mut home = workspace("alpha", &[ALPHA]);
    home["allowed_regions"] = json!(["split"]);
    let mut nowhere = workspace("beta", &[BETA]);
    nowhere["allowed_regions"] = json!(["osijek"]);
    let mut site = start(&[home, nowhere]);
    let abroad = site.add_endpoint("catalogue", "split-a").clone();
    send_until(&site, &keyed("GET", "/catalogue/warm-up", "w", ALPHA), 200);
    for number in 0..20 {
        let id = format!("r-{number}");
        let answer = send(&site, &keyed("GET", "/catalogue/one", &id, ALPHA));
        assert_eq!(answer.status, 200);
        assert!(abroad.ran().contains(&id), "{id} ran in its home");
    }
    let started = Instant::now();
    let answer = send(&site, &keyed("GET", "/catalogue/one", "x-1", BETA));
    assert_eq!(answer.status, 503);
    assert!(started.elapsed() < Duration::from_secs(10), "at once");
    assert!(!has_run(&site, "x-1"));
}

/// A workspace sends far more than its allotment; another one is not affected. What is refused
/// has not run.
#[test]
fn a_workspace_is_kept_to_its_allotment() {
    let mut limited = workspace("alpha", &[ALPHA]);
    limited["rate_per_s"] = json!(5);
    limited["burst"] = json!(5);
    let site = start(&[limited, workspace("beta", &[BETA])]);
    send_until(&site, &keyed("GET", "/catalogue/warm-up", "w", BETA), 200);
    let (mut served, mut refused) = (Vec::new(), Vec::new());
    let started = Instant::now();
    let mut number = 0;
    // Far more than the burst, so that the rate shows; on a busy machine they take longer.
    while served.len() < 60 || refused.is_empty() {
        assert!(started.elapsed() < BOUND, "{} served", served.len());
        number += 1;
        let id = format!("r-{number}");
        let answer = send(&site, &keyed("GET", "/catalogue/one", &id, ALPHA));
        match answer.status.as_u16() {
            200 => served.push(started.elapsed()),
            429 => {
                let after: f64 = answer.header("retry-after").parse().expect("a time");
                assert!(after > 0.0);
                refused.push(id);
            }
            status => panic!("status {status}"),
        }
        let other = keyed("GET", "/catalogue/one", &format!("b-{number}"), BETA);
        assert_eq!(send(&site, &other).status, 200);
        std::thread::sleep(Duration::from_millis(10));
    }
    // Rate and burst over 5 s, with an overage of a tenth and a slack of 20 requests.
    let bound = (5.0 * 5.0 + 5.0) * 1.1 + 20.0;
    for (first, start) in served.iter().enumerate() {
        let window = served[first..].iter();
        let count = window.take_while(|at| **at < *start + Duration::from_secs(5));
        assert!((count.count() as f64) <= bound);
    }
    assert!(refused.iter().all(|id| !has_run(&site, id)));
}

/// An endpoint refuses every request; none of them may use up the allotment.
#[test]
fn requests_that_endpoints_refuse_are_given_back() {
    let mut limited = workspace("alpha", &[ALPHA]);
    limited["rate_per_s"] = json!(2);
    limited["burst"] = json!(2);
    let site = start(&[limited]);
    send_until(&site, &keyed("GET", "/catalogue/warm-up", "w", ALPHA), 200);
    let endpoints = site.endpoints.iter();
    endpoints.for_each(|endpoint| endpoint.set_behaviour(Behaviour::Sheds));
    for number in 0..20 {
        let call = keyed("GET", "/catalogue/one", &format!("r-{number}"), ALPHA);
        assert_eq!(send(&site, &call).status, 503, "refused by the endpoint");
        std::thread::sleep(Duration::from_millis(300));
    }
}

/// Two workspaces with the same key, or a key that isn't a text, leave the routes in force as
/// they are.
#[test]
fn an_invalid_workspace_changes_nothing() {
    let site = start(&[workspace("alpha", &[ALPHA])]);
    let shared = [
        workspace("alpha", &[ALPHA]),
        workspace("beta", &[BETA, ALPHA]),
    ];
    assert_eq!(put(&site, 2, &shared).status, 400);
    let mut number = workspace("beta", &[]);
    number["api_keys"] = json!([17]);
    assert_eq!(put(&site, 3, &[number]).status, 400);
    let mut text = workspace("beta", &[]);
    text["api_keys"] = json!(BETA);
    assert_eq!(put(&site, 4, &[text]).status, 400);
    send_until(&site, &keyed("GET", "/catalogue/one", "r-1", ALPHA), 200);
    send_until(&site, &keyed("GET", "/catalogue/one", "r-2", BETA), 401);
    no_key_in(site.dir());
}

/// No process writes a key to its log, whatever becomes of the request.
#[test]
fn no_log_contains_a_key() {
    let site = start(&[workspace("alpha", &[ALPHA])]);
    let call = keyed("GET", "/catalogue/one", "r-1", ALPHA);
    send_until(&site, &call, 200);
    site.endpoints[1].set_behaviour(Behaviour::Sheds);
    send_until(&site, &call, 503);
    site.endpoints[1].set_behaviour(Behaviour::LosesAnswer);
    send_until(&site, &call, 502);
    send_until(&site, &keyed("GET", "/catalogue/one", "r-2", BETA), 401);
    send_until(&site, &keyed("GET", "/nowhere/", "r-3", ALPHA), 404);
    let metrics = Call::get("/metrics").send(site.gateways[0].direct_addr("status"));
    let metrics = metrics.expect("metrics").text().to_owned();
    assert!([ALPHA, BETA].iter().all(|key| !metrics.contains(key)));
    wait_until("the log has the last request", BOUND, || {
        logs(site.dir()).iter().any(|log| log.contains("r-3"))
    });
    no_key_in(site.dir());
}

/// A workspace exceeds its allotment: operators must see its use and why requests are refused.
#[test]
fn operators_see_the_use_of_an_allotment() {
    let mut limited = workspace("alpha", &[ALPHA]);
    limited["rate_per_s"] = json!(5);
    let site = start(&[limited, workspace("beta", &[BETA])]);
    send_until(&site, &keyed("GET", "/catalogue/warm-up", "w", BETA), 200);
    let started = Instant::now();
    let shown = loop {
        assert!(started.elapsed() < BOUND, "the refusals are shown");
        send(&site, &keyed("GET", "/catalogue/one", "r", ALPHA));
        let shown = workspaces(&site);
        if shown["workspaces"][0]["refused"][0]["rate"].as_f64() > Some(1.0) {
            break shown;
        }
    };
    let alpha = &shown["workspaces"][0];
    assert_eq!(alpha["name"], "alpha");
    assert_eq!(alpha["refused"][0]["code"], 1213);
    assert_eq!(alpha["allotment"]["rate"], 5.0);
    let [offered, sent] = ["offered", "sent"].map(|name| alpha["allotment"][name].as_f64());
    assert!(offered > sent && sent > Some(0.0), "{alpha}");
    assert_eq!(shown["workspaces"][1]["allotment"], Value::Null);
    let metrics = Call::get("/metrics").send(site.gateways[0].direct_addr("status"));
    let metrics = metrics.expect("metrics").text().to_owned();
    let series = r#"workspace="alpha",code="1213",result="allotment-used""#;
    assert!(metrics.contains(series), "{metrics}");
}

/// Output of `filberthead workspaces`.
fn workspaces(site: &Site) -> Value {
    let control = site.controls[0].addr("operator").to_string();
    let output = Command::new(env!("CARGO_BIN_EXE_filberthead"))
        .args(["workspaces", "--json", "--control", &control])
        .output()
        .expect("the command line starts");
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{text}");
    assert!([ALPHA, BETA].iter().all(|key| !text.contains(key)));
    serde_json::from_str(&text).expect("JSON")
}

#[track_caller]
fn no_key_in(dir: &Path) {
    let logs = logs(dir);
    assert!(!logs.is_empty());
    for log in logs {
        for key in [ALPHA, ALPHA_SECOND, BETA] {
            assert!(!log.contains(key), "a log contains a key");
        }
    }
}

/// Contents of all logs in a site's folder.
fn logs(dir: &Path) -> Vec<String> {
    let entries = std::fs::read_dir(dir).expect("a folder");
    let paths = entries.map(|entry| entry.expect("an entry").path());
    let logs = paths.filter(|path| path.extension().is_some_and(|end| end == "log"));
    let read = |path| std::fs::read(path).expect("a readable log");
    logs.map(|path| String::from_utf8_lossy(&read(path)).into_owned())
        .collect()
}

/// A configuration of 10,000 workspaces with three keys each must be accepted and served, and a
/// change of one key must reach the gateway.
#[test]
fn ten_thousand_workspaces_are_served() {
    let key = |workspace: usize, number: usize| format!("{:020}", workspace * 10 + number);
    let names = 0..10_000_usize;
    let mut workspaces: Vec<Value> = names
        .map(|number| {
            let keys = [0, 1, 2].map(|n| key(number, n));
            let keys = keys.each_ref().map(String::as_str);
            let mut workspace = workspace(&format!("workspace-{number}"), &keys);
            workspace["rate_per_s"] = json!(16.5);
            workspace["burst"] = json!(20.0);
            workspace
        })
        .collect();
    let mut site = site().start();
    site.add_endpoint("catalogue", "zagreb-a");
    assert_eq!(put(&site, 1, &workspaces).status, 200);
    let last = key(9_999, 2);
    send_until(&site, &keyed("GET", "/catalogue/one", "r-1", &last), 200);
    assert_eq!(
        received(&site.endpoints, "r-1", "x-tenant"),
        ["workspace-9999"]
    );
    let sent = config_with_workspaces(1, SERVICES, &workspaces);
    assert!(
        site.order("config.get", "").text() == sent,
        "as it was sent"
    );
    workspaces[9_999]["api_keys"] = json!([ALPHA]);
    assert_eq!(put(&site, 2, &workspaces).status, 200);
    send_until(&site, &keyed("GET", "/catalogue/one", "r-2", ALPHA), 200);
    send_until(&site, &keyed("GET", "/catalogue/one", "r-3", &last), 401);
}

/// The longest configuration that is accepted must reach all replicas, whatever it consists of, also
/// one that has lost its disk and receives it in a snapshot. One that is longer changes nothing.
#[test]
fn the_longest_configuration_reaches_all_replicas() {
    let mut site = site().start();
    site.add_endpoint("catalogue", "zagreb-a");
    let with_prefix = |version: u64, length: usize| {
        let config = config_with_workspaces(version, SERVICES, &[]);
        let mut config: Value = serde_json::from_str(&config).expect("valid JSON");
        config["routes"][0]["path_prefix"] = json!(format!("/{}", "a".repeat(length)));
        config.to_string()
    };
    let fixed = with_prefix(1, 0).len();
    // Several, so that the log is compacted.
    for version in 1..=4 {
        let longest = with_prefix(version, MAX_CONFIG - fixed);
        assert_eq!(longest.len(), MAX_CONFIG);
        assert_eq!(site.order("config.put", &longest).status, 200);
    }
    let wait_proven = |node: &Node| {
        wait_until("the replica proves the version", BOUND, || {
            proven_version(node) == Some(4)
        });
    };
    site.controls.iter().for_each(wait_proven);
    site.controls[1].kill();
    site.controls[1].wipe();
    site.controls[1].start();
    wait_proven(&site.controls[1]);
    let too_long = with_prefix(5, MAX_CONFIG - fixed + 1);
    assert_eq!(site.order("config.put", &too_long).status, 413);
    let longest = with_prefix(4, MAX_CONFIG - fixed);
    assert!(site.order("config.get", "").text() == longest);
}
