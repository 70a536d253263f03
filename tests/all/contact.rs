//! Gateways that are cut off from endpoints, while callers and the other processes reach them.

use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use filberthead_testing::client::Call;
use filberthead_testing::proxy::Flow;
use filberthead_testing::site::{HOST, Site};
use filberthead_testing::wait_until;

use crate::groups::site;

const BOUND: Duration = Duration::from_secs(60);
const SERVICES: &[(&str, &str)] = &[("orders", "unsafe"), ("catalogue", "safe")];
const DOMAINS: [&str; 2] = ["zagreb-a", "split-a"];
const GATEWAYS: usize = 4;
/// Time from the beginning of a cut after which callers must be served, as promised to operators.
const CONTACT: Duration = Duration::from_secs(4);
/// How long requests are counted from then on.
const COUNTED: Duration = Duration::from_secs(6);
/// How long a request runs.
const RUN_TIME: Duration = Duration::from_millis(40);
/// Time before a cut.
const WARM_UP: Duration = Duration::from_secs(1);
/// Pause between two requests to a gateway.
const PAUSE: Duration = Duration::from_millis(80);
const DEADLINE_MS: u64 = 1_500;

/// First tries of callers at one gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Tries {
    sent: usize,
    served: usize,
}

impl Tries {
    fn failed(self) -> usize {
        self.sent - self.served
    }

    fn served_share(self) -> f64 {
        self.served as f64 / self.sent.max(1) as f64
    }
}

/// Gateways in two failure domains, round-robin, and endpoints of each service in both.
fn start() -> Site {
    let mut site = site().replicas(1).tolerate(0).gateways(GATEWAYS).start();
    for (service, _) in SERVICES {
        for domain in DOMAINS {
            for _ in 0..3 {
                let endpoint = site.add_linked_endpoint(service, domain);
                site.endpoints[endpoint].set_run_time(RUN_TIME);
            }
        }
    }
    site.put_routes(1, SERVICES);
    for gateway in 0..GATEWAYS {
        site.wait_serving(gateway);
        wait_until("the gateway serves", BOUND, || {
            (0..6).all(|n| serves(&site, gateway, &format!("warm-up-{gateway}-{n}")))
        });
    }
    site
}

/// Cuts gateways off from endpoints, or ends that.
fn set_links(site: &Site, gateways: &[usize], flow: Flow) {
    for gateway in gateways {
        for endpoint in &site.endpoints {
            let gateway = site.gateways[*gateway].name();
            site.network.set(gateway, &endpoint.id(), flow);
            if matches!(flow, Flow::Hold | Flow::Pass) {
                site.network.set(&endpoint.id(), gateway, flow);
            }
        }
    }
}

fn serves(site: &Site, gateway: usize, id: &str) -> bool {
    let number = id.bytes().map(usize::from).sum::<usize>();
    let (service, kind) = SERVICES[number % SERVICES.len()];
    let method = if kind == "unsafe" { "POST" } else { "GET" };
    let call = Call::new(method, &format!("/{service}/{number}"))
        .header("host", HOST)
        .header("x-request-id", id)
        .header("x-deadline-ms", &DEADLINE_MS.to_string())
        .bound(Duration::from_millis(DEADLINE_MS + 200));
    matches!(site.request(gateway, &call), Ok(answer) if answer.status == 200)
}

/// Sends requests to all gateways at a fixed rate, whether earlier ones were answered or not, while a
/// cut lasts. Returns the tries of each gateway that were sent from `CONTACT` after its beginning.
fn tries_during_cut(site: &Site, cut_off: &[usize], flow: Flow) -> Vec<Tries> {
    let tries = Mutex::new(vec![Tries::default(); GATEWAYS]);
    let started = Instant::now();
    let (begins, counted) = (started + WARM_UP, started + WARM_UP + CONTACT);
    let ends = counted + COUNTED;
    thread::scope(|scope| {
        let tries = &tries;
        for gateway in 0..GATEWAYS {
            scope.spawn(move || {
                let mut number = 0;
                while started + PAUSE * number < ends {
                    let due = started + PAUSE * number;
                    thread::sleep(due.saturating_duration_since(Instant::now()));
                    let id = format!("g{gateway}-{number}");
                    scope.spawn(move || {
                        let served = serves(site, gateway, &id);
                        if (counted..ends).contains(&due) {
                            let of_gateway = &mut tries.lock().expect("no thread panics")[gateway];
                            of_gateway.sent += 1;
                            of_gateway.served += usize::from(served);
                        }
                    });
                    number += 1;
                }
            });
        }
        thread::sleep(begins.saturating_duration_since(Instant::now()));
        set_links(site, cut_off, flow);
        thread::sleep(ends.saturating_duration_since(Instant::now()));
        set_links(site, cut_off, Flow::Pass);
    });
    tries.into_inner().expect("no thread panics")
}

/// At gateways that are cut off, first tries are served at least two thirds as often as elsewhere,
/// or no more than 10 and one in 50 of them fail.
#[track_caller]
fn assert_served(cut_off: &[usize], tries: &[Tries]) {
    let sum = |is_cut_off: bool| {
        let of_side = (0..GATEWAYS).filter(|gateway| cut_off.contains(gateway) == is_cut_off);
        of_side.fold(Tries::default(), |sum, gateway| Tries {
            sent: sum.sent + tries[gateway].sent,
            served: sum.served + tries[gateway].served,
        })
    };
    let (inside, outside) = (sum(true), sum(false));
    assert!(outside.served_share() > 0.9, "others: {outside:?}");
    assert!(inside.sent > 0, "requests are sent there");
    let is_alike = 3.0 * inside.served_share() >= 2.0 * outside.served_share();
    let few_fail = inside.failed() <= 10 + inside.sent / 50;
    assert!(
        is_alike || few_fail,
        "cut off: {inside:?}, others: {outside:?}"
    );
}

fn check_cut(cut_off: &[usize], flow: Flow) {
    let site = start();
    let tries = tries_during_cut(&site, cut_off, flow);
    assert_served(cut_off, &tries);
    for gateway in cut_off {
        wait_until("the gateway serves again", BOUND, || {
            serves(&site, *gateway, "after")
        });
    }
}

/// Connections between one gateway and all endpoints hang.
#[test]
fn a_gateway_whose_endpoint_connections_hang_serves_its_callers() {
    check_cut(&[0], Flow::Hold);
}

/// The connections of one gateway to all endpoints are reset.
#[test]
fn a_gateway_whose_endpoint_connections_are_reset_serves_its_callers() {
    check_cut(&[0], Flow::Reset);
}

/// Endpoints refuse new connections of one gateway; open ones live on.
#[test]
fn a_gateway_whose_new_endpoint_connections_are_refused_serves_its_callers() {
    check_cut(&[0], Flow::Refuse);
}

/// Connections between all gateways of a failure domain and all endpoints hang.
#[test]
fn a_failure_domain_without_endpoints_serves_its_callers() {
    check_cut(&[0, 2], Flow::Hold);
}
