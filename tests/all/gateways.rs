//! Requests through gateways: what may run, how often, and what callers get.

use std::time::{Duration, Instant};

use filberthead_testing::client::{Answer, Call, CallError};
use filberthead_testing::cluster::Node;
use filberthead_testing::site::{Behaviour, Site, SiteEndpoint, order_at, request};
use filberthead_testing::standin::Payload;
use filberthead_testing::{eventually, wait_until};

use crate::groups::site;

const BOUND: Duration = Duration::from_secs(60);
const SERVICES: &[(&str, &str)] = &[
    ("orders", "unsafe"),
    ("catalogue", "safe"),
    ("lessons", "download"),
];

/// One replica, one gateway, and endpoints of a service in the gateway's failure domain.
fn start(service: &str, endpoints: usize) -> Site {
    let mut site = site().replicas(1).tolerate(0).start();
    for _ in 0..endpoints {
        site.add_endpoint(service, "zagreb-a");
    }
    site.put_routes(1, SERVICES);
    site.wait_serving(0);
    site
}

#[track_caller]
fn send(site: &Site, method: &str, path: &str, id: &str) -> Answer {
    let answer = site.request(0, &request(method, path, id));
    answer.expect("the gateway answers")
}

/// Sends requests until one gets this status: routes and endpoint lists reach the gateway
/// with some delay.
#[track_caller]
fn send_until(site: &Site, method: &str, path: &str, status: u16) -> Answer {
    let mut number = 0;
    eventually("the wanted answer", BOUND, || {
        number += 1;
        let answer = send(site, method, path, &format!("try-{number}"));
        (answer.status == status).then_some(answer)
    })
}

/// How often endpoints ran a request.
fn runs(endpoints: &[SiteEndpoint], id: &str) -> usize {
    let all = endpoints.iter().flat_map(SiteEndpoint::ran);
    all.filter(|ran| ran == id).count()
}

#[test]
fn a_request_returns_its_endpoints_answer() {
    let site = start("catalogue", 1);
    let answer = send_until(&site, "GET", "/catalogue/cards?page=2", 200);
    assert_eq!(answer.text(), "GET /catalogue/cards?page=2 0");
    assert_eq!(answer.header("x-response-signature"), "signed");
    let remaining = site.endpoints[0].deadlines()[0];
    assert!(
        (10_000..=20_000).contains(&remaining),
        "{remaining} ms left"
    );
    // 404 only once control has proved the routes; until then 503.
    let denied = eventually("a final answer", BOUND, || {
        let answer = send(&site, "GET", "/nowhere/", "x");
        (answer.status != 503).then_some(answer)
    });
    assert_eq!(denied.status, 404);
}

/// An order reaches an endpoint whose answer is lost. The caller must not get the answer
/// that the order did not run, and the order must not run again at another endpoint.
#[test]
fn an_order_whose_answer_is_lost_runs_once() {
    let site = start("orders", 3);
    send_until(&site, "POST", "/orders/warm-up", 200);
    for endpoint in &site.endpoints {
        endpoint.set_behaviour(Behaviour::LosesAnswer);
    }
    let answer = send(&site, "POST", "/orders/one", "order-1");
    assert_eq!(answer.status, 502);
    assert_eq!(runs(&site.endpoints, "order-1"), 1);
}

/// An endpoint answers with the id of another request, as one does whose answer came too
/// late for its own. No caller may get that answer.
#[test]
fn an_answer_to_another_request_reaches_no_caller() {
    let site = start("orders", 1);
    send_until(&site, "POST", "/orders/warm-up", 200);
    site.endpoints[0].set_behaviour(Behaviour::WrongRequestId);
    let answer = send(&site, "POST", "/orders/one", "order-1");
    assert_eq!(answer.status, 502);
    assert_eq!(answer.text(), "");
}

/// Behind the address of a listed endpoint another server answers 404 to everything, as
/// fast as it can. Endpoints always return the request's id and that server doesn't, so its
/// 404 is no endpoint's; but callers got it as the endpoint's answer and didn't retry.
#[test]
fn an_answer_without_the_requests_id_reaches_no_caller() {
    let site = start("catalogue", 2);
    send_until(&site, "GET", "/catalogue/warm-up", 200);
    site.endpoints[0].set_behaviour(Behaviour::ForeignServer);
    for number in 0..20 {
        let answer = send(&site, "GET", "/catalogue/one", &format!("read-{number}"));
        assert_eq!(answer.status, 200, "the other endpoint serves");
    }
    site.endpoints[1].set_behaviour(Behaviour::ForeignServer);
    assert_eq!(send(&site, "GET", "/catalogue/one", "read-x").status, 502);
}

/// Every endpoint is full and sheds. The caller gets an answer that nothing ran and when
/// to retry, and nothing runs afterwards.
#[test]
fn an_order_that_all_endpoints_shed_never_runs() {
    let site = start("orders", 2);
    send_until(&site, "POST", "/orders/warm-up", 200);
    for endpoint in &site.endpoints {
        endpoint.set_behaviour(Behaviour::Sheds);
    }
    let answer = send(&site, "POST", "/orders/one", "order-1");
    assert_eq!(answer.status, 503);
    let after: f64 = answer.header("retry-after").parse().expect("a time");
    assert!(after > 0.0);
    assert_eq!(runs(&site.endpoints, "order-1"), 0);
}

/// One of two endpoints fails what it runs. A read may run again, so its caller gets the
/// other one's answer; an order may not, so its caller gets the failure.
#[test]
fn only_idempotent_requests_are_retried() {
    let mut site = start("catalogue", 1);
    site.add_endpoint("catalogue", "zagreb-a");
    send_until(&site, "GET", "/catalogue/warm-up", 200);
    site.endpoints[0].set_behaviour(Behaviour::Fails);
    site.endpoints[1].set_behaviour(Behaviour::Fails);
    let failed = send(&site, "GET", "/catalogue/one", "read-1");
    assert_eq!(failed.status, 500);
    // Either has failed once or twice by now; one of them serves again.
    site.endpoints[1].set_behaviour(Behaviour::Serves);
    wait_until("a read that the other endpoint served", BOUND, || {
        let answer = send(&site, "GET", "/catalogue/two", "read-2");
        answer.status == 200 && runs(&site.endpoints[..1], "read-2") > 0
    });
    let orders = start("orders", 2);
    send_until(&orders, "POST", "/orders/warm-up", 200);
    orders
        .endpoints
        .iter()
        .for_each(|e| e.set_behaviour(Behaviour::Fails));
    let answer = send(&orders, "POST", "/orders/one", "order-1");
    assert_eq!(answer.status, 500);
    assert_eq!(runs(&orders.endpoints, "order-1"), 1);
}

/// An endpoint ends, and an endpoint of another service gets its address before the list
/// shows that. No request may run there.
#[test]
fn an_address_reused_by_another_instance_runs_nothing() {
    let site = start("orders", 1);
    send_until(&site, "POST", "/orders/warm-up", 200);
    site.endpoints[0].replace_instance("i-somebody-else");
    let answer = send(&site, "POST", "/orders/one", "order-1");
    assert_eq!(answer.status, 503);
    assert_eq!(runs(&site.endpoints, "order-1"), 0);
}

/// The list shows an endpoint as draining, and an operator evacuates a failure domain.
/// Neither may get new requests from then on; they return when the evacuation ends.
#[test]
fn draining_and_evacuated_endpoints_get_no_new_requests() {
    let mut site = start("catalogue", 1);
    site.add_endpoint("catalogue", "split-a");
    site.add_endpoint("catalogue", "zagreb-a");
    send_until(&site, "GET", "/catalogue/warm-up", 200);
    site.endpoints[0].drain();
    site.show_endpoints();
    assert_eq!(site.order("evacuations.start&of=split-a", "").status, 200);
    let new_runs = |site: &Site| {
        let before: Vec<_> = site.endpoints.iter().map(|e| e.ran().len()).collect();
        (0..20).for_each(|n| {
            send(site, "GET", &format!("/catalogue/{n}"), &format!("r-{n}"));
        });
        let after = site.endpoints.iter().map(|e| e.ran().len());
        after.zip(before).map(|(a, b)| a - b).collect::<Vec<_>>()
    };
    wait_until("only the third one runs requests", BOUND, || {
        new_runs(&site) == [0, 0, 20]
    });
    assert_eq!(site.order("evacuations.end&of=split-a", "").status, 200);
    site.endpoints[2].leave();
    site.show_endpoints();
    wait_until("the second one gets requests again", BOUND, || {
        new_runs(&site)[1] > 0
    });
}

/// A caller disconnects while its request runs. The endpoint must learn of it, so that it
/// stops useless work.
#[test]
fn a_disconnecting_caller_cancels_its_request() {
    let site = start("catalogue", 1);
    send_until(&site, "GET", "/catalogue/warm-up", 200);
    site.endpoints[0].set_behaviour(Behaviour::Hangs);
    let call = request("GET", "/catalogue/one", "read-1").bound(Duration::from_millis(500));
    assert!(site.request(0, &call).is_err());
    wait_until("the endpoint has dropped the request", BOUND, || {
        site.endpoints[0].dropped().contains(&"read-1".to_owned())
    });
}

/// An endpoint never answers. The caller gets a final answer at its deadline.
#[test]
fn a_hanging_request_is_answered_at_its_deadline() {
    let site = start("catalogue", 1);
    send_until(&site, "GET", "/catalogue/warm-up", 200);
    site.endpoints[0].set_behaviour(Behaviour::Hangs);
    let call = Call::new("GET", "/catalogue/one")
        .header("host", filberthead_testing::site::HOST)
        .header("x-request-id", "read-1")
        .header("x-deadline-ms", "700");
    let answer = site.request(0, &call).expect("an answer");
    assert_eq!(answer.status, 504);
}

/// A gateway is stopped with a request running. It reports at once that it is stopping,
/// finishes the request, and exits in time.
#[test]
fn a_planned_stop_cuts_nothing() {
    let mut site = start("catalogue", 1);
    send_until(&site, "GET", "/catalogue/warm-up", 200);
    site.endpoints[0].set_run_time(Duration::from_millis(800));
    let addr = site.gateways[0].addr("caller");
    let running = std::thread::spawn(move || request("GET", "/catalogue/one", "read-1").send(addr));
    wait_until("the request runs", BOUND, || {
        site.endpoints[0].ran().contains(&"read-1".to_owned())
    });
    site.gateways[0].process().terminate();
    wait_until("it reports that it is stopping", BOUND, || {
        !site.is_serving(0)
    });
    let answer = running.join().expect("the caller").expect("an answer");
    assert_eq!(answer.status, 200);
    assert!(site.gateways[0].wait_exit().success());
}

/// A process gets a hang-up signal, because its settings changed or its console closed.
/// That may not end it.
#[test]
fn a_reload_signal_ends_no_process() {
    let site = start("catalogue", 1);
    send_until(&site, "GET", "/catalogue/warm-up", 200);
    for node in site.gateways.iter().chain(&site.controls) {
        node.process_ref().hang_up();
    }
    for number in 0..20 {
        let id = format!("read-{number}");
        assert_eq!(send(&site, "GET", "/catalogue/one", &id).status, 200);
    }
    assert!(site.controls.iter().all(is_up));
}

fn is_up(node: &Node) -> bool {
    order_at(node, "config.get", "").is_ok_and(|answer| answer.status == 200)
}

/// A gateway is killed. Look-ups must not return its address any more, and must return it
/// again once it has restarted.
#[test]
fn look_ups_return_live_gateways_only() {
    let mut site = site().replicas(1).tolerate(0).gateways(2).start();
    site.put_routes(1, SERVICES);
    site.wait_serving(0);
    site.wait_serving(1);
    let found = |site: &Site, domain: &str| {
        let path = format!("/-/resolve?name=shop.example&region=zagreb&zone={domain}");
        let answer = Call::get(&path)
            .send(site.controls[0].addr("lookups"))
            .ok()?;
        let body: serde_json::Value = serde_json::from_slice(&answer.body).ok()?;
        let addrs = body["addresses"].as_array()?.clone();
        let texts = addrs
            .iter()
            .filter_map(|addr| addr.as_str().map(str::to_owned));
        Some(texts.collect::<Vec<_>>())
    };
    let addr = |site: &Site, n: usize| vec![site.gateways[n].addr("caller").to_string()];
    let (first, second) = (addr(&site, 0), addr(&site, 1));
    wait_until(
        "look-ups return the gateway of their failure domain",
        BOUND,
        || {
            found(&site, "zagreb-a").as_ref() == Some(&first)
                && found(&site, "split-a").as_ref() == Some(&second)
        },
    );
    site.gateways[0].kill();
    wait_until("no look-up returns the killed gateway", BOUND, || {
        found(&site, "zagreb-a").as_ref() == Some(&second)
    });
    site.gateways[0].start();
    wait_until("it is returned again", BOUND, || {
        found(&site, "zagreb-a").as_ref() == Some(&first)
    });
}

/// After a power cut only one of three control VMs restarts. Without a majority no order
/// is accepted and nothing proved; but callers must be served by the last routes in
/// force. Gateways had no routes, because a replica that starts can't tell how much of
/// its log is committed before there is a leader.
#[test]
fn a_gateway_serves_when_one_control_vm_restarts_after_a_power_cut() {
    let mut site = site().start();
    site.add_endpoint("catalogue", "zagreb-a");
    site.put_routes(1, SERVICES);
    site.wait_serving(0);
    send_until(&site, "GET", "/catalogue/warm-up", 200);
    // The note of the routes in force is written a moment after the order is accepted.
    for node in &site.controls {
        wait_until("the note is written", BOUND, || {
            node.data().join("note").exists()
        });
    }
    site.gateways[0].kill();
    site.controls.iter_mut().for_each(Node::kill);
    let own = site.controls[1].addr("peer").to_string();
    site.controls[1].settings().set("group", "seeds", &own);
    site.gateways[0].settings().set("group", "seeds", &own);
    site.controls[1].start();
    site.gateways[0].start();
    site.wait_serving(0);
    send_until(&site, "GET", "/catalogue/one", 200);
    let answer = order_at(&site.controls[1], "config.get", "").expect("an answer");
    assert_eq!(answer.status, 503, "nothing is proved");
}

/// The list has many pages, each of which names only the next. Read one after the other
/// from another region, a draining endpoint got new requests for over three seconds. The
/// parts of all failure domains are read concurrently, and no endpoint may be missed.
#[test]
fn a_list_of_many_pages_is_read_by_failure_domain() {
    let mut site = start("catalogue", 5);
    for _ in 0..4 {
        site.add_endpoint("catalogue", "split-a");
    }
    wait_until("all endpoints run requests", BOUND, || {
        for number in 0..40 {
            let path = format!("/catalogue/{number}");
            let call =
                request("GET", &path, &format!("r-{number}")).header("x-affinity-key", &path);
            let _ = site.request(0, &call);
        }
        let near = site.endpoints.iter().filter(|e| e.domain() == "zagreb-a");
        near.into_iter().all(|e| !e.ran().is_empty())
    });
    wait_until("both failure domains are read separately", BOUND, || {
        site.list.domains_read().len() == 2
    });
    site.endpoints[3].drain();
    site.show_endpoints();
    wait_until("the draining endpoint gets no new requests", BOUND, || {
        let before = site.endpoints[3].ran().len();
        (0..40).for_each(|n| {
            send(&site, "GET", &format!("/catalogue/{n}"), &format!("s-{n}"));
        });
        site.endpoints[3].ran().len() == before
    });
}

/// A long download arrives slowly. It must be streamed to the caller: when the gateway
/// read it whole first, it was delayed by its transfer time on a small VM's link. What is
/// missing at the deadline is useless, and the part that was sent must not look complete.
#[test]
fn a_download_is_streamed_to_the_caller() {
    let site = start("lessons", 1);
    send_until(&site, "GET", "/lessons/warm-up", 200);
    site.endpoints[0].set_behaviour(Behaviour::Paced(200_000));
    let path = "/lessons/1?bytes=20000000";
    let call = Call::new("GET", path)
        .header("host", filberthead_testing::site::HOST)
        .header("x-request-id", "lesson-1")
        .header("x-deadline-ms", "3000");
    let Err(CallError::Cut { status, got }) = site.request(0, &call) else {
        panic!("the lesson is cut at its deadline");
    };
    assert_eq!(status, 200);
    assert!(!got.is_empty());
    assert!(Payload::of_answer("GET", path, b"").matches(0, &got));
}

/// A gateway is stopped during a download that outlasts the time in which it still
/// accepts callers. The download's head had been answered, so it didn't count as running,
/// and the process exited in the middle of it.
#[test]
fn a_planned_stop_cuts_no_download() {
    const PACE: u64 = 200_000;
    const LASTS_S: u64 = 9;
    let mut site = start("lessons", 1);
    site.gateways[0].settings().set("stop", "grace", "12s");
    site.gateways[0].restart();
    site.wait_serving(0);
    send_until(&site, "GET", "/lessons/warm-up", 200);
    site.endpoints[0].set_behaviour(Behaviour::Paced(PACE));
    let path = format!("/lessons/1?bytes={}", PACE * LASTS_S);
    let addr = site.gateways[0].addr("caller");
    let call = request("GET", &path, "lesson-1");
    let running = std::thread::spawn(move || call.send(addr));
    wait_until("the lesson runs", BOUND, || {
        site.endpoints[0].ran().contains(&"lesson-1".to_owned())
    });
    site.gateways[0].process().terminate();
    let answer = running.join().expect("the caller").expect("an answer");
    assert_eq!(answer.body.len() as u64, PACE * LASTS_S);
    assert!(site.gateways[0].wait_exit().success());
}

/// Another endpoint gets an endpoint's address, which is then listed as draining, with a
/// request that never finished. It starts again under its identity, cold. It must get
/// requests again, also from a gateway that has seen it gone, and no more than its cold rate.
#[test]
fn an_endpoint_restarted_under_its_identity_is_used_again() {
    // As in `config` of `filberthead_testing::site`.
    const COLD_PER_S: f64 = 9.4;
    let site = start("catalogue", 1);
    send_until(&site, "GET", "/catalogue/warm-up", 200);
    let endpoint = &site.endpoints[0];
    let id = endpoint.id();
    endpoint.set_behaviour(Behaviour::Hangs);
    let addr = site.gateways[0].addr("caller");
    let hanging = std::thread::spawn(move || request("GET", "/catalogue/one", "read-1").send(addr));
    wait_until("the request runs", BOUND, || {
        endpoint.ran().contains(&"read-1".to_owned())
    });
    endpoint.replace_instance("i-somebody-else");
    assert_eq!(send(&site, "GET", "/catalogue/two", "read-2").status, 503);
    endpoint.drain();
    site.show_endpoints();
    endpoint.restart(&id, 60_000);
    site.show_endpoints();
    hanging.join().expect("the caller").expect("an answer");
    send_until(&site, "GET", "/catalogue/three", 200);
    let before = endpoint.ran().len();
    let started = Instant::now();
    let mut number = 0;
    while started.elapsed() < Duration::from_secs(2) {
        number += 1;
        send(&site, "GET", "/catalogue/four", &format!("press-{number}"));
    }
    let received = (endpoint.ran().len() - before) as f64;
    let capacity = COLD_PER_S * started.elapsed().as_secs_f64();
    assert!(
        received >= 1.0 && received <= capacity,
        "{received} of {number} requests reached the endpoint, {capacity} at most allowed"
    );
}

/// Another program writes into the platform's list: entries that lack fields or hold
/// invalid ones, one with the identity of an endpoint, and bytes that aren't text. The
/// other endpoints serve, a draining one gets no new requests, and the log has a line for
/// each invalid entry.
#[test]
fn list_entries_of_another_program_do_not_affect_endpoints() {
    let mut site = start("catalogue", 1);
    let foreign: [&[u8]; 5] = [
        br#"{"id":"x-1","service":"catalogue","slots":"many"}"#,
        br#"{"id":"i-1","service":"catalogue","address":"127.0.0.1:1","zone":"zagreb-a",
            "version":"v1","slots":3,"state":"booting","warmup_left_ms":0}"#,
        b"{\"id\":\"x-\xff\xfe\",\"service\":7",
        br#"{"id":"i-1","service":"nobody-routes-this","address":"127.0.0.1:1","zone":"zagreb-a",
            "version":"v1","slots":3,"state":"ready","warmup_left_ms":0,"born":9000000000000}"#,
        b"nul",
    ];
    site.list
        .set_foreign(foreign.iter().map(|entry| entry.to_vec()).collect());
    site.add_endpoint("catalogue", "zagreb-a");
    let serves = |site: &Site, number: usize| {
        let before = site.endpoints[number].ran().len();
        for n in 0..20 {
            let path = format!("/catalogue/{n}");
            let call = request("GET", &path, &format!("r-{n}")).header("x-affinity-key", &path);
            assert_eq!(site.request(0, &call).expect("an answer").status, 200);
        }
        site.endpoints[number].ran().len() > before
    };
    send_until(&site, "GET", "/catalogue/warm-up", 200);
    wait_until("the new one serves", BOUND, || serves(&site, 1));
    assert!(serves(&site, 0));
    site.endpoints[0].drain();
    site.show_endpoints();
    wait_until("the draining one gets no new requests", BOUND, || {
        !serves(&site, 0)
    });
    let calls = site.list.calls();
    wait_until("the list is read some more", BOUND, || {
        site.list.calls() > calls + 10
    });
    let log = std::fs::read_to_string(site.dir().join("control-1.log")).expect("a log");
    let lines = |text: &str| log.lines().filter(|line| line.contains(text)).count();
    assert_eq!(lines("an entry of the list names no endpoint"), 4, "{log}");
    assert!(lines("entries of the list that name no endpoint") <= 2);
    assert_eq!(lines("list of endpoints is lost"), 0);
}
