//! Fair shares with real processes: a workspace floods a service that is short of capacity while another
//! one asks for less than its share, and control or gateways are lost.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use filberthead_testing::cluster::Node;
use filberthead_testing::site::{Site, config_with_workspaces, request};
use filberthead_testing::wait_until;
use serde_json::json;

use crate::groups::site;

const BOUND: Duration = Duration::from_secs(60);
const SERVICES: &[(&str, &str)] = &[("catalogue", "safe")];
const ALPHA: &str = "rbn4ryrbbkf83fgfwrz5";
const BETA: &str = "zzk2m8w0q4c7t1y5u9x3";
/// Requests that run at an endpoint at once, that wait there, and how long each runs. Two endpoints
/// serve 60 a second.
const SLOTS: u32 = 3;
const QUEUE: u32 = 9;
const RUN_TIME: Duration = Duration::from_millis(100);
/// Callers of `alpha` at each gateway.
const FLOOD: usize = 10;
/// Callers of `beta` at each gateway, and time between the requests of each: 20 a second in all.
const CALLERS: usize = 2;
const INTERVAL: Duration = Duration::from_millis(400);
/// Time in which a caller of `beta` sends a request again.
const PATIENCE: Duration = Duration::from_secs(2);
/// Time in which shares take effect, and that is watched then.
const SETTLING: Duration = Duration::from_secs(6);
const WATCHED: Duration = Duration::from_secs(8);
/// Part of the requests of `beta` that must be served. It asks for less than half of its share.
const MIN_SERVED: f64 = 0.8;

#[derive(Default)]
struct Counts {
    stop: AtomicBool,
    asked: AtomicUsize,
    served: AtomicUsize,
    /// Requests of `alpha` that were refused because of its share.
    refused: AtomicUsize,
}

struct Callers {
    counts: Arc<Counts>,
    threads: Vec<JoinHandle<()>>,
}

impl Callers {
    fn start(site: &Site) -> Self {
        let counts = Arc::new(Counts::default());
        let mut threads = Vec::new();
        for addr in site.gateways.iter().map(|node| node.addr("caller")) {
            for _ in 0..FLOOD {
                let counts = Arc::clone(&counts);
                threads.push(std::thread::spawn(move || flood(addr, &counts)));
            }
            for _ in 0..CALLERS {
                let counts = Arc::clone(&counts);
                threads.push(std::thread::spawn(move || ask(addr, &counts)));
            }
        }
        Self { counts, threads }
    }

    /// Part of the requests of `beta` that are served from now on for a while.
    fn watch(&self) -> f64 {
        let counts = || {
            let Counts { asked, served, .. } = &*self.counts;
            (
                asked.load(Ordering::SeqCst) as f64,
                served.load(Ordering::SeqCst) as f64,
            )
        };
        let before = counts();
        std::thread::sleep(WATCHED);
        let after = counts();
        (after.1 - before.1) / (after.0 - before.0)
    }

    fn end(self) {
        self.counts.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            thread.join().expect("the caller ends");
        }
    }
}

/// Sends requests of `alpha` one after the other.
fn flood(addr: SocketAddr, counts: &Counts) {
    let call = request("GET", "/catalogue/one", "a").header("api-key", ALPHA);
    while !counts.stop.load(Ordering::SeqCst) {
        let answer = call.send(addr);
        if let Ok(answer) = &answer
            && answer.header("filberthead-result") == "1215"
        {
            assert_eq!(answer.status, 503);
            assert!(!answer.header("retry-after").is_empty());
            counts.refused.fetch_add(1, Ordering::SeqCst);
        }
        if !answer.is_ok_and(|answer| answer.status == 200) {
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

/// Sends requests of `beta` at its rate, each until it is served or given up.
fn ask(addr: SocketAddr, counts: &Counts) {
    let call = request("GET", "/catalogue/two", "b").header("api-key", BETA);
    let mut next = Instant::now();
    while !counts.stop.load(Ordering::SeqCst) {
        std::thread::sleep(next.saturating_duration_since(Instant::now()));
        next = (next + INTERVAL).max(Instant::now() - INTERVAL);
        counts.asked.fetch_add(1, Ordering::SeqCst);
        let began = Instant::now();
        while began.elapsed() < PATIENCE {
            let answer = call.send(addr);
            if answer.is_ok_and(|answer| answer.status == 200) {
                counts.served.fetch_add(1, Ordering::SeqCst);
                break;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    }
}

fn start() -> Site {
    let mut site = site()
        .gateways(4)
        .gateway_setting("contention", "control", "always")
        .gateway_setting("contention", "shares", "true")
        .start();
    for domain in ["zagreb-a", "split-a"] {
        let endpoint = site.add_endpoint("catalogue", domain);
        endpoint.limit(SLOTS, QUEUE);
        endpoint.set_run_time(RUN_TIME);
    }
    let workspace = |name: &str, key: &str| json!({"name": name, "api_keys": [key], "priority": 1, "rate_per_s": 0, "burst": 0});
    let workspaces = [workspace("alpha", ALPHA), workspace("beta", BETA)];
    let config = config_with_workspaces(1, SERVICES, &workspaces);
    assert_eq!(site.order("config.put", &config).status, 200);
    for gateway in 0..site.gateways.len() {
        site.wait_serving(gateway);
    }
    site
}

/// Guards against a workspace that takes all the capacity, with control, while it is lost, and when
/// gateways have restarted.
#[test]
fn a_flood_leaves_another_workspace_its_share_when_control_and_gateways_are_lost() {
    let mut site = start();
    let callers = Callers::start(&site);
    wait_until("shares are used", BOUND, || {
        callers.counts.refused.load(Ordering::SeqCst) > 20
    });
    std::thread::sleep(SETTLING);
    let with_control = callers.watch();
    let ran = site.endpoints.iter().map(|endpoint| endpoint.runs().len());
    let ran: usize = ran.sum();

    site.controls.iter_mut().for_each(Node::kill);
    std::thread::sleep(SETTLING);
    let without_control = callers.watch();
    site.controls.iter_mut().for_each(Node::start);
    let ran_after = site.endpoints.iter().map(|endpoint| endpoint.runs().len());
    let per_s = (ran_after.sum::<usize>() - ran) as f64 / (SETTLING + WATCHED).as_secs_f64();

    for gateway in [0, 1] {
        site.gateways[gateway].kill();
        site.gateways[gateway].start();
        site.wait_serving(gateway);
    }
    std::thread::sleep(SETTLING);
    let restarted = callers.watch();
    let refused = callers.counts.refused.load(Ordering::SeqCst);
    callers.end();
    let figures = format!(
        "with control {with_control:.2}, without {without_control:.2} ({per_s:.0}/s), restarted \
         {restarted:.2}, {refused} refused"
    );
    eprintln!("{figures}");
    for part in [with_control, without_control, restarted] {
        assert!(part >= MIN_SERVED, "{figures}");
    }
    assert!(per_s >= 30.0, "half of the capacity is used: {figures}");
}
