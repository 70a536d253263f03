//! Retries of requests that another gateway relays: they keep the budget too.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use filberthead_testing::client::Call;
use filberthead_testing::proxy::Flow;
use filberthead_testing::site::{Behaviour, HOST, Site, SiteEndpoint, config};
use filberthead_testing::wait_until;

use crate::groups::site;

const BOUND: Duration = Duration::from_secs(60);
const SERVICES: &[(&str, &str)] = &[("catalogue", "safe"), ("stock", "safe")];
/// The gateway that can't reach endpoints, and the one that it relays through.
const CUT_OFF: usize = 0;
const HELPER: usize = 1;
const GATEWAYS: usize = 2;
const ENDPOINTS: usize = 8;
/// How long a request runs before it fails.
const RUN_TIME: Duration = Duration::from_millis(60);
/// How often a caller looks whether its request has been sent again.
const POLL: Duration = Duration::from_millis(2);
const REQUESTS: u32 = 80;
/// Requests that let a gateway retry several others.
const EARNING: usize = 40;
/// Requests on a route that has moved; the budget allows a retry of one in six.
const MOVED_REQUESTS: usize = 12;
/// Endpoints that a request may be sent to, by the routes of a [`Site`].
const MAX_ATTEMPTS: usize = 2;
/// Retries for each request, the default of the settings.
const RATIO: f64 = 0.2;

fn read(id: &str) -> Call {
    Call::new("GET", "/catalogue/1")
        .header("host", HOST)
        .header("x-request-id", id)
        .header("x-deadline-ms", "20000")
}

/// A site without a floor of the retry budget whose first gateway relays all requests.
fn start_relaying() -> Site {
    let builder = site().replicas(1).tolerate(0).gateways(GATEWAYS);
    let mut site = builder.retry_floor(0).start();
    for (service, _) in SERVICES {
        for number in 0..ENDPOINTS {
            let domain = ["zagreb-a", "split-a"][number % 2];
            site.add_linked_endpoint(service, domain);
        }
    }
    site.put_routes(1, SERVICES);
    for gateway in 0..GATEWAYS {
        site.wait_serving(gateway);
    }
    let cut_off = site.gateways[CUT_OFF].name();
    for endpoint in &site.endpoints {
        site.network.set(cut_off, &endpoint.id(), Flow::Hold);
        site.network.set(&endpoint.id(), cut_off, Flow::Hold);
    }
    let mut number = 0;
    wait_until("requests are relayed", BOUND, || {
        number += 1;
        let answer = site.request(CUT_OFF, &read(&format!("before-{number}")).bound(BOUND));
        let is_cut_off = site.gateways[CUT_OFF].metric("gateway_cut_off") > 0.0;
        is_cut_off && answer.is_ok_and(|answer| answer.status == 200)
    });
    site
}

/// Arrivals at endpoints beyond the first of each request with this prefix of its id.
fn repeats(site: &Site, prefix: &str) -> usize {
    let arrivals = site.endpoints.iter().flat_map(SiteEndpoint::arrivals);
    let mut by_id: BTreeMap<String, usize> = BTreeMap::new();
    for arrival in arrivals.filter(|arrival| arrival.id.starts_with(prefix)) {
        *by_id.entry(arrival.id).or_default() += 1;
    }
    by_id.values().map(|count| count - 1).sum()
}

/// Sends requests to a gateway that are served, so that its budget allows retries.
fn earn_retries(site: &Site, gateway: usize) {
    for number in 0..EARNING {
        let id = format!("earning-{gateway}-{number}");
        let answer = site.request(gateway, &read(&id).bound(BOUND));
        assert_eq!(answer.expect("an answer").status, 200);
    }
}

/// The helper's attempts didn't count at the gateway that had relayed the request, which sent it on.
#[test]
fn a_relayed_request_reaches_no_more_endpoints_than_its_route_allows() {
    let site = start_relaying();
    (0..GATEWAYS).for_each(|gateway| earn_retries(&site, gateway));
    for endpoint in &site.endpoints {
        endpoint.set_behaviour(Behaviour::Fails);
    }
    let answer = site.request(CUT_OFF, &read("failing").bound(BOUND));
    assert_eq!(answer.expect("an answer").status, 500);
    assert_eq!(repeats(&site, "failing") + 1, MAX_ATTEMPTS);
}

/// Sends a request, and leaves once its retry has reached an endpoint, if it isn't answered before.
fn leave_during_retry(site: &Site, id: &str) {
    let addr = site.gateways[CUT_OFF].addr("caller");
    let mut stream = TcpStream::connect(addr).expect("the gateway accepts callers");
    stream.set_read_timeout(Some(POLL)).expect("a socket");
    let head = format!(
        "GET /catalogue/1 HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {id}\r\n\
         x-deadline-ms: 20000\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).expect("an open socket");
    while repeats(site, id) == 0 && stream.read(&mut [0]).is_err() {}
}

/// A retry on its way through another gateway was given back when its caller left.
#[test]
fn relayed_retries_whose_callers_leave_keep_the_retry_budget() {
    let site = start_relaying();
    for endpoint in &site.endpoints {
        endpoint.set_run_time(RUN_TIME);
        endpoint.set_behaviour(Behaviour::Fails);
    }
    for number in 0..REQUESTS {
        leave_during_retry(&site, &format!("left-{number}-"));
    }
    let (repeats, allowed) = (repeats(&site, "left-"), RATIO * f64::from(REQUESTS));
    assert!(repeats > 0, "no request was retried");
    assert!(
        repeats as f64 <= allowed,
        "{repeats} retries of {allowed} allowed"
    );
}

/// The gateway that relays a request still has the route to the earlier service, whose budget granted the
/// retry; the helper sent it to the service that the route leads to now.
#[test]
fn a_relayed_retry_reaches_no_other_service_than_it_was_granted_for() {
    let site = start_relaying();
    earn_retries(&site, CUT_OFF);
    let (gateway, control) = (site.gateways[CUT_OFF].name(), site.controls[0].name());
    site.network.partition(&[&[gateway], &[control]]);
    let moved = config(2, SERVICES).replace(r#""service":"catalogue""#, r#""service":"stock""#);
    assert_eq!(site.order("config.put", &moved).status, 200);
    wait_until("the helper has the new route", BOUND, || {
        site.gateways[HELPER].metric("gateway_routes_version") > 1.5
    });
    for endpoint in &site.endpoints {
        endpoint.set_behaviour(Behaviour::Fails);
    }
    for number in 0..MOVED_REQUESTS {
        let call = read(&format!("moved-{number}")).bound(BOUND);
        let answer = site.request(CUT_OFF, &call).expect("an answer");
        assert_eq!(answer.status, 500, "request {number}");
    }
    assert_eq!(repeats(&site, "moved-"), 0);
}
