//! Requests that wait at a gateway while the endpoints of their service are full.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use filberthead_testing::client::{Answer, Call};
use filberthead_testing::site::{Site, config, request};
use filberthead_testing::{eventually, wait_until};

use crate::groups::site;

const BOUND: Duration = Duration::from_secs(60);
const OBJECTIVE: Duration = Duration::from_secs(1);
const TIMEOUT: Duration = Duration::from_secs(4);
/// How long requests run. Two run at once.
const RUN_TIME: Duration = Duration::from_millis(100);
const SLOTS: u32 = 2;
const QUEUE: u32 = 200;
/// Callers that send requests one after the other: four times as many as meet the objective.
const CALLERS: usize = 48;
const URGENT_CALLERS: usize = 3;
const OVERLOAD: Duration = Duration::from_secs(6);
/// Callers that leave while their requests wait, and how many of these may have been started before.
const LEAVING: usize = 10;
const MAX_STARTED: usize = 2;

/// One gateway and one endpoint, with an urgent and a less urgent route.
fn start() -> Site {
    let builder = site().replicas(1).tolerate(0);
    let mut site = builder
        .gateway_setting("contention", "control", "always")
        .start();
    site.add_endpoint("catalogue", "zagreb-a");
    let mut routes: serde_json::Value =
        serde_json::from_str(&config(1, &[("catalogue", "safe")])).expect("JSON");
    let mut route = routes["routes"][0].clone();
    route["timeout_ms"] = TIMEOUT.as_millis().to_string().parse().expect("a number");
    route["target_latency_ms"] = OBJECTIVE.as_millis().to_string().parse().expect("a number");
    let mut urgent = route.clone();
    urgent["name"] = "r-urgent".into();
    urgent["path_prefix"] = "/urgent/".into();
    urgent["priority"] = 0.into();
    routes["routes"] = vec![route, urgent].into();
    let answer = site.order("config.put", &routes.to_string());
    assert_eq!(answer.status, 200, "{}", answer.text());
    site.wait_serving(0);
    wait_until("a request runs", BOUND, || {
        read(&site, "catalogue", "warm-up").is_some_and(|answer| answer.status == 200)
    });
    site.endpoints[0].limit(SLOTS, QUEUE);
    site.endpoints[0].set_run_time(RUN_TIME);
    site
}

/// A request for the only object, of which the gateway learns how long it takes.
fn call(route: &str, id: &str) -> Call {
    request("GET", &format!("/{route}/{id}"), id).header("x-affinity-key", "one")
}

fn read(site: &Site, route: &str, id: &str) -> Option<Answer> {
    site.request(0, &call(route, id).bound(BOUND)).ok()
}

/// What became of requests.
#[derive(Debug, Default)]
struct Counts {
    sent: usize,
    in_time: usize,
    late: usize,
    rejected: usize,
    /// Rejections without `Retry-After`, and answers other than 200 and 503.
    wrong: Vec<String>,
}

/// Sends requests one after the other until the end.
fn send_until(site: &Site, route: &str, caller: usize, over: &AtomicBool) -> Counts {
    let mut counts = Counts::default();
    while !over.load(Ordering::Relaxed) {
        counts.sent += 1;
        let id = format!("{route}-{caller}-{}", counts.sent);
        let sent = Instant::now();
        let answer = read(site, route, &id).expect("an answer");
        match answer.status.as_u16() {
            200 if sent.elapsed() <= OBJECTIVE => counts.in_time += 1,
            200 => counts.late += 1,
            503 => match answer.header("retry-after").parse::<f64>() {
                Ok(after) => {
                    counts.rejected += 1;
                    thread::sleep(Duration::from_secs_f64(after.min(1.0)));
                }
                Err(_) => counts.wrong.push(format!("{id}: no Retry-After")),
            },
            status => counts.wrong.push(format!("{id}: {status}")),
        }
    }
    counts
}

/// Ends the overload, also if the test fails.
struct End<'a>(&'a AtomicBool);

impl Drop for End<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

fn log(site: &Site) -> String {
    std::fs::read_to_string(site.dir().join("gateway-1.log")).unwrap_or_default()
}

/// Sends more than the endpoint can do, and meanwhile `act`. Returns the counts of the urgent callers, and of
/// the others.
fn overload(site: &Site, urgent: usize, act: impl FnOnce()) -> (Counts, Counts) {
    let over = AtomicBool::new(false);
    let sum = |all: Vec<thread::ScopedJoinHandle<'_, Counts>>| {
        let mut sum = Counts::default();
        for counts in all.into_iter().map(|t| t.join().expect("no panic")) {
            sum.sent += counts.sent;
            sum.in_time += counts.in_time;
            sum.late += counts.late;
            sum.rejected += counts.rejected;
            sum.wrong.extend(counts.wrong);
        }
        sum
    };
    thread::scope(|scope| {
        let over = &over;
        let end = End(over);
        let send = |route: &'static str, count: usize| {
            let callers = 0..count;
            let threads = callers.map(|n| scope.spawn(move || send_until(site, route, n, over)));
            threads.collect::<Vec<_>>()
        };
        let others = send("catalogue", CALLERS);
        wait_until("the service is short of room", BOUND, || {
            log(site).contains("service is short of room")
        });
        let urgent = send("urgent", urgent);
        act();
        drop(end);
        (sum(urgent), sum(others))
    })
}

/// Requests waited in the endpoint's queue, first come first served, and the urgent ones behind all others.
#[test]
fn urgent_requests_are_served_first_by_a_full_service() {
    let site = start();
    let (urgent, others) = overload(&site, URGENT_CALLERS, || thread::sleep(OVERLOAD));
    assert!(urgent.wrong.is_empty(), "{:?}", urgent.wrong);
    assert!(others.wrong.is_empty(), "{:?}", others.wrong);
    // Three callers leave room for others.
    assert!(others.in_time > 0, "none of {}", others.sent);
    let share = |counts: &Counts| counts.in_time as f64 / counts.sent.max(1) as f64;
    assert!(share(&urgent) > 0.9, "{urgent:?}, others {others:?}");
    wait_until("the service has room again", BOUND, || {
        log(&site).contains("service has room again")
    });
}

/// A caller leaves while its request waits: the request must neither run nor keep a place.
#[test]
fn a_request_whose_caller_leaves_while_it_waits_is_withdrawn() {
    let site = start();
    overload(&site, 0, || {
        // Enough time for requests to wait, and less than they wait.
        thread::sleep(RUN_TIME);
        thread::scope(|scope| {
            for number in 0..LEAVING {
                let site = &site;
                scope.spawn(move || {
                    let id = format!("leaving-{number}");
                    // Answered only if it was rejected at once.
                    let _ = site.request(0, &call("catalogue", &id).bound(RUN_TIME / 2));
                });
            }
        });
        thread::sleep(OVERLOAD / 3);
    });
    let arrivals = site.endpoints[0].arrivals().into_iter();
    let started = arrivals.filter(|a| a.id.starts_with("leaving-")).count();
    assert!(started <= MAX_STARTED, "{started} of {LEAVING}");
    eventually("no request waits", BOUND, || {
        let metrics = site.gateways[0].metrics();
        let is_empty = metrics.contains("gateway_waiting_requests 0");
        is_empty.then_some(())
    });
    // The places of the requests that left are free.
    for number in 0..5 {
        let sent = Instant::now();
        let answer = read(&site, "catalogue", &format!("after-{number}")).expect("an answer");
        assert_eq!(answer.status, 200);
        assert!(sent.elapsed() < TIMEOUT / 2, "{:?}", sent.elapsed());
    }
}
