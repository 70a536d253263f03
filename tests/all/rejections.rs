//! Requests that a gateway answers before it looks for an endpoint: each has one log line
//! with the cause, and a flood of them affects nothing else.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::process::Command;
use std::time::{Duration, Instant};

use filberthead_observe::{Event, RequestTrace};
use filberthead_testing::site::{HOST, Site, request};
use filberthead_testing::{eventually, wait_until};

use crate::groups::site;

const BOUND: Duration = Duration::from_secs(60);
const SERVICES: &[(&str, &str)] = &[("orders", "unsafe"), ("catalogue", "safe")];
/// Message of the log line about a request that the gateway rejected by itself.
const MESSAGE: &str = "request rejected before it ran";
/// Lines that the gateway allows per result code and second.
const LINES_PER_SECOND: u64 = 20;

/// One replica and one gateway that logs JSON and has no routes yet.
fn start_without_routes() -> Site {
    let mut site = site().replicas(1).tolerate(0).start();
    site.gateways[0].settings().set("log", "format", "json");
    site.gateways[0].restart();
    site
}

/// A gateway that serves orders.
fn start() -> Site {
    let mut site = start_without_routes();
    site.add_endpoint("orders", "zagreb-a");
    site.put_routes(1, SERVICES);
    site.wait_serving(0);
    wait_until("an order runs", BOUND, || {
        let answer = site.request(0, &request("POST", "/orders/warm-up", "warm"));
        answer.is_ok_and(|answer| answer.status == 200)
    });
    site
}

fn log(site: &Site) -> String {
    let path = site.dir().join("gateway-1.log");
    std::fs::read_to_string(path).unwrap_or_default()
}

/// The log lines about rejected requests so far.
fn rejection_lines(site: &Site) -> Vec<Event> {
    let log = log(site);
    let events = log.lines().filter_map(Event::parse);
    events.filter(|event| event.message == MESSAGE).collect()
}

fn field<'a>(event: &'a Event, key: &str) -> &'a str {
    let found = event.fields.iter().find(|(name, _)| name == key);
    let (_, value) = found.unwrap_or_else(|| panic!("no {key} in {event}"));
    value
}

fn number(event: &Event, key: &str) -> u64 {
    let text = field(event, key);
    let number = text.parse();
    number.unwrap_or_else(|_| panic!("{key} is {text} in {event}"))
}

/// The only log line about a request.
#[track_caller]
fn line(site: &Site, id: &str) -> Event {
    wait_until("a line about the request", BOUND, || {
        !RequestTrace::from_lines(id, log(site).lines())
            .events
            .is_empty()
    });
    let mut events = RequestTrace::from_lines(id, log(site).lines()).events;
    assert_eq!(events.len(), 1, "{events:?}");
    let event = events.remove(0);
    assert_eq!(event.message, MESSAGE);
    event
}

/// Asserts the values of some fields of a log line.
#[track_caller]
fn assert_fields(event: &Event, fields: &[(&str, &str)]) {
    for (key, value) in fields {
        assert_eq!(field(event, key), *value, "{key} in {event}");
    }
}

/// Sends requests without a matching route until one gets 404, and returns its id: a
/// gateway answers 503 until its routes are proved to be the newest.
#[track_caller]
fn send_until_denied(site: &Site, path: &str, prefix: &str) -> String {
    let mut number = 0;
    eventually("a request is denied", BOUND, || {
        number += 1;
        let id = format!("{prefix}{number}");
        let answer = site.request(0, &request("GET", path, &id));
        match answer.expect("an answer").status.as_u16() {
            404 => Some(id),
            status => {
                assert_eq!(status, 503);
                None
            }
        }
    })
}

/// Sends a head that announces `length` bytes of body, and only two of them.
fn begin_order(gateway: SocketAddr, id: &str, length: u64, deadline_ms: u64) -> TcpStream {
    let mut stream = TcpStream::connect(gateway).expect("a connection");
    let head = format!(
        "POST /orders/one HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {id}\r\n\
         x-deadline-ms: {deadline_ms}\r\ncontent-length: {length}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).expect("the head is sent");
    stream.write_all(b"ab").expect("a part is sent");
    stream
}

/// Sends orders that are too large until one gets 413, and returns its id.
#[track_caller]
fn send_until_too_large(site: &Site, gateway: SocketAddr) -> String {
    let proven = || site.gateways[0].metric("routes_proven") > 0.0;
    let mut number = 0;
    eventually("an order is denied", BOUND, || {
        wait_until("the routes are proved", BOUND, proven);
        number += 1;
        let id = format!("large-{number}");
        let mut stream = begin_order(gateway, &id, 64 * 1024 * 1024 + 1, 20_000);
        (status_line(&mut stream) == "HTTP/1.1 413").then_some(id)
    })
}

/// The start of the answer, up to its status code.
fn status_line(stream: &mut TcpStream) -> String {
    let mut buf = [0; 12];
    stream.read_exact(&mut buf).expect("an answer");
    String::from_utf8_lossy(&buf).into_owned()
}

/// A caller requests a prefix that no route has. The log line shows how old the routes
/// were that decided it, where they came from, and that the gateway was ready.
#[test]
fn a_request_without_a_route_is_explained() {
    let site = start();
    let id = send_until_denied(&site, "/nowhere/cards?page=2", "astray-");
    let line = line(&site, &id);
    assert_fields(
        &line,
        &[
            ("host", HOST),
            ("path", "/nowhere/cards"),
            ("code", "1100 unknown-service"),
            ("status", "404"),
            ("route", "null"),
            ("version", "1"),
            ("routes", "2"),
            ("from", &site.controls[0].addr("peer").to_string()),
            ("phase", "serving"),
            ("informed", "true"),
            ("omitted", "0"),
        ],
    );
    assert!(number(&line, "revision") > 0);
    assert!(number(&line, "routes_ms") < 60_000);
    assert!(number(&line, "control_ms") < 10_000);
    assert!(number(&line, "proven_ms") < 1_600);
    let gateway = &site.gateways[0];
    assert!((gateway.metric("kind=\"none\",code=\"1100\"") - 1.0).abs() < 1e-9);
}

/// A gateway that has never had routes rejects everything, and the log line shows that it
/// has none.
#[test]
fn a_request_to_a_gateway_without_routes_is_explained() {
    let site = start_without_routes();
    let answer = site.request(0, &request("POST", "/orders/one", "early-1"));
    assert_eq!(answer.expect("an answer").status, 503);
    assert_fields(
        &line(&site, "early-1"),
        &[
            ("code", "1206 not-ready"),
            ("status", "503"),
            ("version", "null"),
            ("revision", "null"),
            ("routes", "0"),
            ("routes_ms", "null"),
            ("from", "null"),
            ("phase", "starting"),
            ("informed", "false"),
        ],
    );
    let gateway = &site.gateways[0];
    assert!((gateway.metric("kind=\"none\",code=\"1206\"") - 1.0).abs() < 1e-9);
}

/// One order is too large, another one's body breaks off, a third one's doesn't arrive in
/// time. Each has a route, which its log line and the metrics name.
#[test]
fn an_order_without_a_usable_body_is_explained() {
    let site = start();
    let gateway = site.gateways[0].addr("caller");
    let large = send_until_too_large(&site, gateway);
    let broken = begin_order(gateway, "broken-1", 100, 20_000);
    broken
        .shutdown(Shutdown::Write)
        .expect("the body is cut off");
    let mut slow = begin_order(gateway, "slow-1", 100, 300);
    assert_eq!(status_line(&mut slow), "HTTP/1.1 503");
    for (id, code, status) in [
        (&large, "1104 body-too-large", "413"),
        (&"broken-1".to_owned(), "1103 bad-request", "400"),
        (&"slow-1".to_owned(), "1203 deadline-before-run", "503"),
    ] {
        let fields = [
            ("code", code),
            ("status", status),
            ("route", "r-orders"),
            ("version", "1"),
        ];
        assert_fields(&line(&site, id), &fields);
    }
    let gateway = &site.gateways[0];
    for code in ["1104", "1103", "1203"] {
        let series = format!("kind=\"unsafe\",code=\"{code}\"");
        assert!((gateway.metric(&series) - 1.0).abs() < 1e-9, "{series}");
    }
}

/// Given the id of a request that got 404 and the logs, one command shows its log line,
/// and before it which routes the gateway had put in force and from which replica.
#[test]
fn explain_shows_the_routes_behind_a_404() {
    let site = start();
    let id = send_until_denied(&site, "/nowhere/", "astray-");
    line(&site, &id);
    let output = Command::new(env!("CARGO_BIN_EXE_filberthead"))
        .args(["explain", &id])
        .arg(site.dir().join("gateway-1.log"))
        .arg(site.dir().join("control-1.log"))
        .output()
        .expect("the command line starts");
    let trace = String::from_utf8_lossy(&output.stdout);
    let from = format!("from={}", site.controls[0].addr("peer"));
    for parts in [
        [
            "request rejected before it ran",
            "code=1100 unknown-service",
            &from,
        ],
        ["routes in force", "version=1", &from],
    ] {
        let has_all = |line: &str| parts.iter().all(|part| line.contains(part));
        assert!(trace.lines().any(has_all), "no {parts:?} in {trace}");
    }
}

/// A caller requests an unknown service as fast as it can, which would fill the log. The
/// lines are rate limited and count those left out; other orders and the lines of other
/// rejections are unaffected.
#[test]
fn a_flood_of_requests_without_a_route_leaves_a_bounded_log() {
    const FLOOD: u64 = 2_000;
    let site = start();
    // Not through the proxy, which passes only some 25 new connections a second.
    let gateway = site.gateways[0].direct_addr("caller");
    let started = Instant::now();
    for number in 0..FLOOD {
        let call = request("GET", "/nowhere/", &format!("flood-{number}"));
        let answer = call.send(gateway).expect("an answer");
        // 503 while the routes aren't proved to be the newest.
        assert!([404, 503].contains(&answer.status.as_u16()));
    }
    let order = site.request(0, &request("POST", "/orders/one", "order-1"));
    assert_eq!(order.expect("an answer").status, 200);
    let large = send_until_too_large(&site, gateway);
    line(&site, &large);
    let seconds = started.elapsed().as_secs() + 1;
    // The line after the flood counts those left out at its end.
    std::thread::sleep(Duration::from_secs(1));
    let last = send_until_denied(&site, "/nowhere/", "last-");
    line(&site, &last);
    let is_unknown_service = |event: &Event| field(event, "code") == "1100 unknown-service";
    let lines: Vec<_> = rejection_lines(&site)
        .into_iter()
        .filter(is_unknown_service)
        .collect();
    let written = lines.len() as u64;
    let omitted: u64 = lines.iter().map(|line| number(line, "omitted")).sum();
    let counted = |code: &str| site.gateways[0].metric(&format!("kind=\"none\",code=\"{code}\""));
    let (denied, unproven) = (counted("1100"), counted("1211"));
    assert!(denied + unproven >= (FLOOD + 1) as f64);
    assert!((denied - (written + omitted) as f64).abs() < 1e-9);
    assert!(omitted > 0, "{written} lines in {seconds} s");
    assert!(
        written <= LINES_PER_SECOND * seconds + 1,
        "{written} lines in {seconds} s"
    );
}

/// Ids, hosts and paths from callers may have many kilobytes; the log line shows the
/// beginning of each.
#[test]
fn a_line_truncates_what_a_caller_sent() {
    let site = start();
    let path = format!("/nowhere/{}", "ž".repeat(2_000));
    let path = path.replace('ž', "%C5%BE");
    send_until_denied(&site, &path, &"x".repeat(3_000));
    let line = eventually("the line", BOUND, || rejection_lines(&site).pop());
    assert!(field(&line, "path").starts_with("/nowhere/%C5%BE"));
    assert_eq!(field(&line, "path").len(), 256);
}

/// Bytes that are no request, and a head above the limit, are answered before there is a
/// request. Neither was logged or counted.
#[test]
fn unreadable_request_heads_are_counted() {
    let site = start();
    let gateway = site.gateways[0].direct_addr("caller");
    let refused = |head: &str| {
        let mut stream = TcpStream::connect(gateway).expect("a connection");
        stream.write_all(head.as_bytes()).expect("the head is sent");
        status_line(&mut stream)
    };
    assert_eq!(refused("what is this\r\n\r\n"), "HTTP/1.1 400");
    let long = format!("GET /{} HTTP/1.1\r\n", "x".repeat(40_000));
    assert_eq!(refused(&long), "HTTP/1.1 431");
    let counted = |code: &str| site.gateways[0].metric(&format!("kind=\"none\",code=\"{code}\""));
    wait_until("both are counted", BOUND, || {
        counted("1103") > 0.0 && counted("1106") > 0.0
    });
    assert_eq!(log(&site).matches("a head that can't be read").count(), 2);
}
