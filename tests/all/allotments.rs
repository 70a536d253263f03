//! Allotments of workspaces with real processes that are cut off, killed or restarted while callers
//! ask for far more than the rate.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use filberthead_testing::cluster::Node;
use filberthead_testing::site::{Site, SiteEndpoint, config_with_workspaces, request};
use filberthead_testing::{eventually, wait_until};
use serde_json::json;

use crate::groups::site;

const BOUND: Duration = Duration::from_secs(60);
const SERVICES: &[(&str, &str)] = &[("catalogue", "safe")];
const KEY: &str = "rbn4ryrbbkf83fgfwrz5";
const BURST: f64 = 10.0;
/// Time over which the sum of requests is bounded.
const WINDOW: Duration = Duration::from_secs(5);
/// Part of rate and burst, and number of requests, by which the sum may exceed them.
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;
/// Time after which a configuration binds gateways in touch.
const APPLIED_WITHIN: Duration = Duration::from_millis(2500);
/// Time that a failure lasts, and that is watched after it.
const FAILURE: Duration = Duration::from_secs(8);
/// Time between two requests of a caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(5);

/// Callers of a workspace, one at each gateway, who ask for far more than its rate.
struct Flood {
    stop: Arc<AtomicBool>,
    served: Arc<AtomicUsize>,
    callers: Vec<JoinHandle<()>>,
}

impl Flood {
    fn start(site: &Site) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let served = Arc::new(AtomicUsize::new(0));
        let addrs = site.gateways.iter().map(|node| node.addr("caller"));
        let call = |addr: SocketAddr| {
            let (stop, served) = (Arc::clone(&stop), Arc::clone(&served));
            std::thread::spawn(move || {
                let call = request("GET", "/catalogue/one", "r").header("api-key", KEY);
                while !stop.load(Ordering::SeqCst) {
                    // A gateway that is down or starting is tried again.
                    let answer = call.send(addr);
                    if answer.is_ok_and(|answer| answer.status == 200) {
                        served.fetch_add(1, Ordering::SeqCst);
                    }
                    std::thread::sleep(REQUEST_INTERVAL);
                }
            })
        };
        let callers = addrs.map(call).collect();
        Self {
            stop,
            served,
            callers,
        }
    }

    #[track_caller]
    fn wait_served(&self, count: usize) {
        let before = self.served.load(Ordering::SeqCst);
        wait_until("requests are served", BOUND, || {
            self.served.load(Ordering::SeqCst) >= before + count
        });
    }

    fn end(self) {
        self.stop.store(true, Ordering::SeqCst);
        for caller in self.callers {
            caller.join().expect("the caller ends");
        }
    }
}

fn put(site: &Site, version: u64, rate: f64) {
    let workspace = json!({"name": "alpha", "api_keys": [KEY], "rate_per_s": rate, "burst": BURST});
    let config = config_with_workspaces(version, SERVICES, &[workspace]);
    assert_eq!(site.order("config.put", &config).status, 200);
}

/// Three replicas and two gateways in each of two failure domains, with a workspace that may send
/// `rate` requests per second.
fn start(rate: f64) -> Site {
    let mut site = site().gateways(4).start();
    site.add_endpoint("catalogue", "zagreb-a");
    site.add_endpoint("catalogue", "split-a");
    put(&site, 1, rate);
    for gateway in 0..site.gateways.len() {
        site.wait_serving(gateway);
    }
    site
}

/// Moments at which endpoints began to run requests, in order.
fn runs(site: &Site) -> Vec<Instant> {
    let runs = site.endpoints.iter().flat_map(SiteEndpoint::runs);
    let mut runs: Vec<_> = runs.map(|run| run.at).collect();
    runs.sort();
    runs
}

/// Checks that in no window from `from` on more requests ran than the allotment allows.
#[track_caller]
fn check_windows(runs: &[Instant], from: Instant, rate: f64) {
    let bound = (rate * WINDOW.as_secs_f64() + BURST) * (1.0 + OVERAGE) + SLACK;
    let runs: Vec<_> = runs.iter().filter(|at| **at >= from).collect();
    for (first, start) in runs.iter().enumerate() {
        let window = runs[first..]
            .iter()
            .take_while(|at| ***at < **start + WINDOW);
        let count = window.count();
        let since = start.duration_since(from);
        assert!(count as f64 <= bound, "{count} of {bound} at {since:?}");
    }
}

/// A failure domain is cut off from the other one and from most of control, and heals.
#[test]
fn an_allotment_holds_while_a_failure_domain_is_cut_off() {
    let rate = 20.0;
    let site = start(rate);
    let started = Instant::now();
    let flood = Flood::start(&site);
    flood.wait_served(100);
    let in_domain = |domain: &'static str| {
        let nodes = site.controls.iter().chain(&site.gateways);
        let inside = nodes.filter(move |node| node.place().failure_domain == domain);
        inside.map(Node::name).collect::<Vec<_>>()
    };
    let (zagreb, split) = (in_domain("zagreb-a"), in_domain("split-a"));
    site.network.partition(&[&zagreb, &split]);
    flood.wait_served(50);
    std::thread::sleep(FAILURE);
    site.network.heal();
    flood.wait_served(100);
    flood.end();
    check_windows(&runs(&site), started, rate);
}

/// The leader, which had added up the reports, dies; another one takes over.
#[test]
fn an_allotment_holds_when_the_leader_is_killed() {
    let rate = 20.0;
    let mut site = start(rate);
    let started = Instant::now();
    let flood = Flood::start(&site);
    flood.wait_served(100);
    let leader = eventually("a leader", BOUND, || {
        let leads = |node: &Node| node.metric("filberthead_lease_held") == 1.0;
        site.controls.iter().position(leads)
    });
    site.controls[leader].kill();
    flood.wait_served(100);
    site.controls[leader].start();
    flood.wait_served(100);
    flood.end();
    check_windows(&runs(&site), started, rate);
}

/// All replicas die and forget what was sent.
#[test]
fn an_allotment_holds_when_control_is_killed() {
    let rate = 20.0;
    let mut site = start(rate);
    let started = Instant::now();
    let flood = Flood::start(&site);
    flood.wait_served(100);
    site.controls.iter_mut().for_each(Node::kill);
    std::thread::sleep(FAILURE);
    site.controls.iter_mut().for_each(Node::start);
    flood.wait_served(100);
    flood.end();
    check_windows(&runs(&site), started, rate);
}

/// Two gateways die and restart without what they had counted.
#[test]
fn an_allotment_holds_when_gateways_restart() {
    let rate = 20.0;
    let mut site = start(rate);
    let started = Instant::now();
    let flood = Flood::start(&site);
    flood.wait_served(100);
    for gateway in [0, 1] {
        site.gateways[gateway].kill();
        flood.wait_served(50);
        site.gateways[gateway].start();
        flood.wait_served(50);
    }
    flood.end();
    check_windows(&runs(&site), started, rate);
}

/// A lower allotment binds one window after it is applied.
#[test]
fn a_lowered_allotment_binds() {
    let site = start(60.0);
    let flood = Flood::start(&site);
    flood.wait_served(200);
    put(&site, 2, 10.0);
    let bound_from = Instant::now() + APPLIED_WITHIN + WINDOW;
    std::thread::sleep(APPLIED_WITHIN + 2 * WINDOW);
    flood.wait_served(50);
    flood.end();
    check_windows(&runs(&site), bound_from, 10.0);
}
