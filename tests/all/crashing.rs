//! Requests that crash the endpoints that run them.

use std::net::SocketAddr;
use std::time::Duration;

use filberthead_testing::client::Call;
use filberthead_testing::cluster::{Cluster, Endpoint, Node};
use filberthead_testing::standin::{Fault, Rule, When};
use filberthead_testing::wait_until;

use crate::support::{init, programs};

const BOUND: Duration = Duration::from_secs(120);
/// Result code of a quarantined request.
const QUARANTINED: Option<u16> = Some(1207);

/// A search crashes each endpoint that runs it, and its caller sends it ten times while
/// others browse. It may take down two endpoints at most; then it is rejected with its
/// own code, and the other requests are served by the remaining endpoints.
#[test]
fn a_crashing_request_takes_down_two_endpoints_at_most() {
    let mut cluster = Cluster::builder(programs())
        .places(&[("zagreb", "zagreb-a")])
        .service("catalogue", 5)
        .prepare();
    cluster.entries[0].start();
    let entry = cluster.entries[0].addr("caller");
    let page = Call::get("/v1/services/catalogue/tricks");
    wait_until("the endpoints are in use", BOUND, || {
        page.send(entry).is_ok_and(|answer| answer.status == 200)
    });
    for endpoint in &cluster.endpoints {
        let when = When::Path("/search".to_owned());
        endpoint
            .standin
            .rule(Rule::always(when, Fault::CrashBefore));
    }
    let search = Call::get("/v1/services/catalogue/search?q=everything");
    let mut results = Vec::new();
    for _ in 0..10 {
        results.push(search.send(entry).expect("an answer").result());
        let served = page.resend(&[entry], 100).expect("an answer");
        assert_eq!(served.status, 200, "{}", served.text());
    }
    let down = |endpoint: &&Endpoint| endpoint.standin.is_down();
    let down = cluster.endpoints.iter().filter(down).count();
    assert!(
        (1..=2).contains(&down),
        "{down} endpoints are down: {results:?}"
    );
    assert!(results.contains(&QUARANTINED), "{results:?}");
    wait_until("the search stays rejected", BOUND, || {
        search
            .send(entry)
            .is_ok_and(|answer| answer.result() == QUARANTINED)
    });
}

/// A search that crashes endpoints is sent to one entry after the other, in two failure
/// domains. A quarantine found by one entry applies at all of them.
#[test]
fn a_crashing_request_is_quarantined_at_every_entry() {
    let mut cluster = Cluster::builder(programs())
        .places(&[("zagreb", "zagreb-a"), ("split", "split-a")])
        .replicas(1)
        .entries_each(2)
        .service("catalogue", 4)
        .prepare();
    cluster.controls.iter_mut().for_each(Node::start);
    init(&cluster);
    cluster.entries.iter_mut().for_each(Node::spawn);
    cluster.entries.iter_mut().for_each(Node::wait_ready);
    let entries = cluster.caller_addrs();
    let page = Call::get("/v1/services/catalogue/tricks");
    for entry in &entries {
        wait_until("the endpoints are in use", BOUND, || {
            page.send(*entry).is_ok_and(|answer| answer.status == 200)
        });
    }
    wait_for_homes(&entries);
    for endpoint in &cluster.endpoints {
        let when = When::Path("/search".to_owned());
        endpoint
            .standin
            .rule(Rule::always(when, Fault::CrashBefore));
    }
    let search = Call::get("/v1/services/catalogue/search?q=everything");
    let mut results = Vec::new();
    for n in 0..12 {
        let entry = entries[n % entries.len()];
        results.push(search.send(entry).expect("an answer").result());
    }
    let down = |endpoint: &&Endpoint| endpoint.standin.is_down();
    let down = cluster.endpoints.iter().filter(down).count();
    assert!(
        (1..=2).contains(&down),
        "{down} endpoints are down: {results:?}"
    );
    for entry in &entries {
        wait_until("the search is rejected", BOUND, || {
            search
                .send(*entry)
                .is_ok_and(|answer| answer.result() == QUARANTINED)
        });
        let served = page.resend(&[*entry], 100).expect("an answer");
        assert_eq!(served.status, 200, "{}", served.text());
    }
}

/// Waits until an order that is sent to any entry reaches its home at the first one.
fn wait_for_homes(entries: &[SocketAddr]) {
    for (n, entry) in entries.iter().enumerate() {
        wait_until("orders reach their home", BOUND, || {
            let lookup = Call::get("/v1/lookup?service=catalogue").send(entries[0]);
            let lookup: serde_json::Value = lookup.expect("an answer").json();
            let prefix = lookup["key_prefix"].as_str().unwrap_or_default().to_owned();
            let order = Call::post("/v1/services/catalogue/order", &format!("{prefix}{n}"), "");
            let answer = order.send(*entry).expect("an answer");
            matches!(answer.result(), Some(1000 | 1001))
        });
    }
}
