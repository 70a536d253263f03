//! Requests that endpoints are at work on, at gateways that have lost contact with these endpoints.

use std::thread;
use std::time::Duration;

use filberthead_testing::client::{Answer, Call};
use filberthead_testing::proxy::Flow;
use filberthead_testing::site::{Behaviour, HOST, Site, SiteEndpoint, config, request};
use filberthead_testing::wait_until;

use crate::groups::site;
use crate::support::run_concurrently;

const BOUND: Duration = Duration::from_secs(60);
const SERVICES: &[(&str, &str)] = &[("catalogue", "safe")];
const SERVICES_OF_RELAYED: &[(&str, &str)] = &[("catalogue", "safe"), ("orders", "unsafe")];
/// The gateway that can't reach endpoints, and the nearest of those that it relays through.
const CUT_OFF: usize = 0;
const HELPER: usize = 2;
const GATEWAYS: usize = 3;
/// The gateway's failure domain, and another one.
const NEAR: &str = "zagreb-a";
const FAR: &str = "split-a";
/// Longer than it takes until contact counts as lost.
const RUN_TIME: Duration = Duration::from_secs(4);
/// Longer than all requests take, one after the other.
const GRACE: Duration = Duration::from_secs(30);
/// Time that a request has in which contact is lost with the endpoint at work, and another attempt is made.
const LONG_DEADLINE_MS: &str = "8000";
const NEAR_ENDPOINTS: usize = 2;
/// Longer than what is left of the grace period when a gateway stops listening.
const LONG_RUN_TIME: Duration = Duration::from_secs(5);
/// As many as one endpoint runs at once.
const LONG_REQUESTS: usize = 2;
const SHORT_GRACE: Duration = Duration::from_secs(10);
/// Time after a signal from which on a long request can't end in the grace period.
const TOO_LATE: Duration = Duration::from_millis(4600);
/// Result code of requests that a stopping gateway doesn't take.
const STOPPING: &str = "1209";
/// Requests that are sent while two of three endpoints reject, and retries that the gateways together may make
/// without earning them, enough for each gateway to make all: helpers earn none.
const REJECTED: usize = 10;
const RETRY_FLOOR: u32 = 90;
/// Longer than a helper may be silent.
const SLOW_RUN_TIME: Duration = Duration::from_millis(1500);
/// As many as tell that requests are slow.
const SLOW_REQUESTS: usize = 8;
const REQUESTS: usize = 4;
/// Requests that let the gateway retry all of these.
const EARNING: usize = 40;

/// A gateway whose nearest endpoints run one request at a time, so that health checks wait as well.
fn start() -> Site {
    let builder = site().replicas(1).tolerate(0).stop_grace(GRACE);
    let mut site = builder.retry_floor(0).start();
    for _ in 0..NEAR_ENDPOINTS {
        site.add_endpoint("catalogue", NEAR).limit(1, 10);
    }
    site
}

fn serve(site: &Site, earning: usize) {
    site.put_routes(1, SERVICES);
    site.wait_serving(0);
    wait_until("the gateway serves", BOUND, || {
        read(site, "warm-up").status == 200
    });
    for number in 0..earning {
        assert_eq!(read(site, &format!("earning-{number}")).status, 200);
    }
    for endpoint in &site.endpoints[..NEAR_ENDPOINTS] {
        endpoint.set_run_time(RUN_TIME);
    }
}

fn read(site: &Site, id: &str) -> Answer {
    let call = request("GET", &format!("/catalogue/{id}"), id).bound(BOUND);
    site.request(0, &call).expect("the gateway answers")
}

fn has_run(endpoint: &SiteEndpoint) -> bool {
    endpoint.ran().iter().any(|id| id.starts_with("read-"))
}

/// Sends requests at once, acts when all near endpoints are at work, and returns the statuses.
fn statuses(site: &Site, act: impl FnOnce(&Site)) -> Vec<u16> {
    thread::scope(|scope| {
        let reads: Vec<_> = (0..REQUESTS)
            .map(|number| {
                scope.spawn(move || read(site, &format!("read-{number}")).status.as_u16())
            })
            .collect();
        wait_until("the endpoints are at work", BOUND, || {
            site.endpoints[..NEAR_ENDPOINTS].iter().all(has_run)
        });
        act(site);
        let statuses = reads.into_iter().map(|read| read.join());
        statuses
            .map(|status| status.expect("no thread panics"))
            .collect()
    })
}

/// Contact was lost with endpoints that were at work, the budget allowed no retry, and the gateway answered
/// 502 in their place.
#[test]
fn a_stopping_gateway_waits_for_endpoints_that_are_at_work() {
    let site = start();
    serve(&site, 0);
    let statuses = statuses(&site, |site| site.gateways[0].process_ref().terminate());
    assert_eq!(statuses, [200; REQUESTS]);
}

/// Two attempts ran until the deadline, and one of them was logged as superseded.
#[test]
fn attempts_that_run_side_by_side_until_the_deadline_end_by_it() {
    let mut site = start();
    site.add_endpoint("catalogue", FAR);
    serve(&site, EARNING);
    for endpoint in &site.endpoints {
        endpoint.set_run_time(BOUND);
    }
    let statuses = run_concurrently(REQUESTS, |number| {
        let id = format!("read-{number}");
        let call = Call::new("GET", &format!("/catalogue/{id}"))
            .header("host", HOST)
            .header("x-request-id", &id)
            .header("x-deadline-ms", LONG_DEADLINE_MS);
        site.request(0, &call).expect("the gateway answers").status
    });
    assert_eq!(statuses, [504; REQUESTS]);
    let log = std::fs::read_to_string(site.dir().join("gateway-1.log")).expect("a log");
    let ended = |text: &str| {
        let mut lines = log.lines().filter(|line| line.contains("attempt ended"));
        lines.any(|line| line.contains(text))
    };
    assert!(ended(" attempt=2 "), "no attempts ran side by side");
    assert!(ended("given_up=deadline"));
    assert!(!ended("given_up=superseded"));
}

/// The attempt at an endpoint at work was ended before it was known that others refuse the request.
#[test]
fn a_refused_retry_doesnt_end_the_attempt_that_it_was_to_replace() {
    let mut site = start();
    for _ in 0..2 {
        site.add_endpoint("catalogue", FAR)
            .set_behaviour(Behaviour::Sheds);
    }
    let (near, far) = site.endpoints.split_at(NEAR_ENDPOINTS);
    site.list.set(near.iter().map(SiteEndpoint::line).collect());
    serve(&site, EARNING);
    // Before, requests might be placed there at first.
    let statuses = statuses(&site, Site::show_endpoints);
    assert_eq!(statuses, [200; REQUESTS]);
    let mut got = far.iter().flat_map(SiteEndpoint::arrivals);
    let is_refused = got.any(|arrival| arrival.id.starts_with("read-"));
    assert!(is_refused, "no retry was sent");
}

/// A gateway with one endpoint, which has answered some requests.
fn start_idle() -> Site {
    let builder = site().replicas(1).tolerate(0).stop_grace(SHORT_GRACE);
    let mut site = builder.start();
    site.add_endpoint("catalogue", NEAR);
    site.put_routes(1, SERVICES);
    site.wait_serving(0);
    wait_until("the gateway serves", BOUND, || {
        read(&site, "warm-up").status == 200
    });
    for number in 0..EARNING {
        assert_eq!(read(&site, &format!("before-{number}")).status, 200);
    }
    site
}

/// A stopping gateway took a request that usually runs for longer than was left of the grace period, and ended
/// while the endpoint was at work on it.
#[test]
fn a_stopping_gateway_takes_only_requests_that_can_end_before_it_does() {
    let site = start_idle();
    site.endpoints[0].set_run_time(LONG_RUN_TIME);
    let statuses = run_concurrently(LONG_REQUESTS, |number| {
        read(&site, &format!("read-{number}")).status
    });
    assert_eq!(statuses, [200; LONG_REQUESTS]);
    site.gateways[0].process_ref().terminate();
    thread::sleep(TOO_LATE);
    let answers = run_concurrently(LONG_REQUESTS, |number| {
        let id = format!("late-{number}");
        let call = request("GET", &format!("/catalogue/{id}"), &id).bound(BOUND);
        site.request(0, &call)
    });
    for answer in answers {
        let answer = answer.expect("an answer");
        assert_eq!(answer.status, 503);
        assert_eq!(answer.header("filberthead-result"), STOPPING);
    }
    let mut ran = site.endpoints.iter().flat_map(SiteEndpoint::ran);
    assert!(!ran.any(|id| id.starts_with("late-")));
}

/// Most requests end in time though their callers would wait for longer.
#[test]
fn a_stopping_gateway_takes_requests_that_usually_end_in_time() {
    let site = start_idle();
    site.gateways[0].process_ref().terminate();
    wait_until("it reports that it is stopping", BOUND, || {
        !site.is_serving(0)
    });
    for number in 0..REQUESTS {
        assert_eq!(read(&site, &format!("read-{number}")).status, 200);
    }
}

/// An attempt that another one's answer ended counted against its endpoint, as if that had been abandoned.
#[test]
fn a_superseded_attempt_isnt_counted_as_abandoned() {
    let mut site = start();
    site.add_endpoint("catalogue", FAR);
    let near = site.endpoints[..NEAR_ENDPOINTS].iter();
    site.list.set(near.map(SiteEndpoint::line).collect());
    serve(&site, EARNING);
    assert_eq!(statuses(&site, Site::show_endpoints), [200; REQUESTS]);
    let ended =
        |how: &str| site.gateways[0].metric(&format!("gateway_attempts_total{{reason=\"{how}\""));
    assert!(ended("superseded") > 0.0, "no attempts ran side by side");
    assert_eq!(ended("abandoned"), 0.0);
}

/// A site whose first gateway relays all requests, and may send each to three endpoints.
fn start_relaying(earning: usize) -> Site {
    start_relaying_to(&[NEAR, FAR], 0, earning)
}

/// The same, with endpoints of each service in these failure domains, and retries that the gateways together may
/// make without earning them.
fn start_relaying_to(domains: &[&str], retry_floor: u32, earning: usize) -> Site {
    let builder = site().replicas(1).tolerate(0).gateways(GATEWAYS);
    let mut site = builder.retry_floor(retry_floor).start();
    for (service, _) in SERVICES_OF_RELAYED {
        for domain in domains {
            site.add_linked_endpoint(service, domain);
        }
    }
    let routes = config(1, SERVICES_OF_RELAYED);
    let routes = routes.replace(r#""max_attempts":2"#, r#""max_attempts":3"#);
    assert_eq!(site.order("config.put", &routes).status, 200);
    (0..GATEWAYS).for_each(|gateway| site.wait_serving(gateway));
    let cut_off = site.gateways[CUT_OFF].name();
    for endpoint in &site.endpoints {
        site.network.set(cut_off, &endpoint.id(), Flow::Hold);
        site.network.set(&endpoint.id(), cut_off, Flow::Hold);
    }
    wait_until("requests are relayed", BOUND, || {
        let is_served = read(&site, "warm-up").status == 200;
        is_served && site.gateways[CUT_OFF].metric("gateway_cut_off") > 0.0
    });
    for number in 0..earning {
        assert_eq!(read(&site, &format!("earning-{number}")).status, 200);
    }
    site
}

/// Sends a request to the first gateway and suspends the helper once an endpoint is at work on it. Returns the
/// status and how often the request has reached an endpoint.
fn relay_through_silent_helper(site: &Site, method: &str, service: &str) -> (u16, usize) {
    let path = format!("/{service}/1");
    let call = Call::new(method, &path)
        .header("host", HOST)
        .header("x-request-id", "silent")
        .header("x-deadline-ms", LONG_DEADLINE_MS);
    let set_run_time = |run_time| {
        let endpoints = site.endpoints.iter();
        endpoints.for_each(|endpoint| endpoint.set_run_time(run_time));
    };
    let arrivals = || {
        let arrivals = site.endpoints.iter().flat_map(SiteEndpoint::arrivals);
        arrivals.filter(|arrival| arrival.id == "silent").count()
    };
    set_run_time(BOUND);
    let status = thread::scope(|scope| {
        let sent = scope.spawn(|| site.request(CUT_OFF, &call.bound(BOUND)));
        wait_until("an endpoint is at work", BOUND, || arrivals() > 0);
        site.gateways[HELPER].process_ref().suspend();
        set_run_time(Duration::ZERO);
        let answer = sent.join().expect("no thread panics");
        answer.expect("an answer").status
    });
    site.gateways[HELPER].process_ref().resume();
    (status.as_u16(), arrivals())
}

/// A relayed request waited for a silent gateway until its deadline.
#[test]
fn a_relayed_request_is_sent_through_another_gateway_when_one_is_silent() {
    let site = start_relaying(EARNING);
    let outcome = relay_through_silent_helper(&site, "GET", "catalogue");
    assert_eq!(outcome, (200, 2));
}

#[test]
fn a_relayed_request_is_sent_once_without_a_retry_in_the_budget() {
    let site = start_relaying(0);
    let outcome = relay_through_silent_helper(&site, "GET", "catalogue");
    assert_eq!(outcome, (504, 1));
}

#[test]
fn a_relayed_order_is_sent_once_though_its_gateway_is_silent() {
    let site = start_relaying(EARNING);
    let outcome = relay_through_silent_helper(&site, "POST", "orders");
    assert_eq!(outcome, (504, 1));
}

/// An attempt was kept for a silent gateway, and was missing where one rejected a request: callers got 503
/// though a third endpoint would have served them.
#[test]
fn a_relayed_request_that_two_endpoints_reject_is_served_by_the_third() {
    let site = start_relaying_to(&[NEAR; 3], RETRY_FLOOR, EARNING);
    let of_service = site.endpoints.iter().filter(|e| e.service() == "catalogue");
    let shedding: Vec<&SiteEndpoint> = of_service.take(2).collect();
    for endpoint in &shedding {
        endpoint.set_behaviour(Behaviour::Sheds);
    }
    let rejected = |endpoint: &SiteEndpoint, id: &str| {
        let arrivals = endpoint.arrivals();
        arrivals.iter().any(|arrival| arrival.id == id)
    };
    let mut rejected_twice = 0;
    for number in 0..REJECTED {
        let id = format!("rejected-{number}");
        assert_eq!(read(&site, &id).status, 200, "{id}");
        rejected_twice += usize::from(shedding.iter().all(|e| rejected(e, &id)));
    }
    assert!(rejected_twice > 0, "none was rejected by two endpoints");
}

/// A gateway was taken for silent whose requests usually run for longer than it may be silent.
#[test]
fn a_relayed_request_that_usually_runs_for_long_is_sent_once() {
    let site = start_relaying(EARNING);
    for endpoint in &site.endpoints {
        endpoint.set_run_time(SLOW_RUN_TIME);
    }
    for number in 0..SLOW_REQUESTS {
        assert_eq!(read(&site, &format!("usual-{number}")).status, 200);
    }
    assert_eq!(read(&site, "slow").status, 200);
    let arrivals = site.endpoints.iter().flat_map(SiteEndpoint::arrivals);
    assert_eq!(arrivals.filter(|arrival| arrival.id == "slow").count(), 1);
}
