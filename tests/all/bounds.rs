//! Limits for callers at gateways: the current ones apply, also on connections that are
//! already open.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::sleep;
use std::time::{Duration, Instant};

use filberthead_testing::client::Call;
use filberthead_testing::site::{HOST, Site, config, request};
use filberthead_testing::wait_until;
use serde_json::{Value, json};

use crate::groups::site;

const BOUND: Duration = Duration::from_secs(60);
const SERVICES: &[(&str, &str)] = &[("catalogue", "safe")];
/// Time between two requests that keeps a connection from becoming idle.
const REQUEST_INTERVAL: Duration = Duration::from_millis(200);

/// Puts routes in force with some of their limits changed.
#[track_caller]
fn put_limits(site: &Site, version: u64, bounds: &Value) {
    let mut body: Value = serde_json::from_str(&config(version, SERVICES)).expect("JSON");
    for (name, value) in bounds.as_object().expect("names and values") {
        body["limits"][name] = value.clone();
    }
    let answer = site.order("config.put", &body.to_string());
    assert_eq!(answer.status, 200, "routes are accepted");
}

fn start(bounds: &Value) -> Site {
    let mut site = site().replicas(1).tolerate(0).start();
    site.add_endpoint("catalogue", "zagreb-a");
    put_limits(&site, 1, bounds);
    site.wait_serving(0);
    wait_until("an answer", BOUND, || {
        let answer = site.request(0, &request("GET", "/catalogue/warm-up", "warm-up"));
        answer.is_ok_and(|answer| answer.status == 200)
    });
    site
}

/// Whether the gateway has put this version in force.
fn has_version(site: &Site, version: u64) -> bool {
    let status = site.gateways[0].direct_addr("status");
    let shown = format!("gateway_routes_version {version}\n");
    let answer = Call::get("/metrics").send(status);
    answer.is_ok_and(|answer| answer.text().contains(&shown))
}

/// A connection that the caller keeps open between requests.
struct KeptConnection {
    addr: SocketAddr,
    stream: TcpStream,
}

impl KeptConnection {
    fn open(addr: SocketAddr) -> Self {
        let stream = TcpStream::connect(addr).expect("the gateway listens");
        stream.set_read_timeout(Some(BOUND)).expect("a timeout");
        Self { addr, stream }
    }

    /// Sends a request with a head of `head_bytes` bytes and returns the status of the
    /// answer, or `None` if the connection was closed without one.
    fn send_head(&mut self, head_bytes: usize) -> Option<u16> {
        let line = "GET /catalogue/kept HTTP/1.1\r\nHost: shop.example\r\n\
            X-Request-Id: kept\r\nX-Deadline-Ms: 20000\r\nX-Note: ";
        let note = "n".repeat(head_bytes.saturating_sub(line.len() + 4));
        let sent = self
            .stream
            .write_all(format!("{line}{note}\r\n\r\n").as_bytes());
        sent.ok().and_then(|()| self.answer())
    }

    fn answer(&mut self) -> Option<u16> {
        let mut buf = Vec::new();
        let mut chunk = [0; 4096];
        loop {
            let got = self.stream.read(&mut chunk).ok().filter(|got| *got > 0)?;
            buf.extend_from_slice(&chunk[..got]);
            let text = String::from_utf8_lossy(&buf);
            if let Some((head, body)) = text.split_once("\r\n\r\n") {
                let length = head.lines().find_map(|line| {
                    let (name, value) = line.split_once(':')?;
                    let length = name.eq_ignore_ascii_case("content-length");
                    length.then(|| value.trim().parse::<usize>().ok())?
                });
                if body.len() >= length.unwrap_or(0) {
                    return head.split(' ').nth(1)?.parse().ok();
                }
            }
        }
    }

    /// As [`KeptConnection::send_head`], but connects anew if the request was not read.
    fn send_head_reconnecting(&mut self, head_bytes: usize) -> Option<u16> {
        self.send_head(head_bytes).or_else(|| {
            *self = Self::open(self.addr);
            self.send_head(head_bytes)
        })
    }
}

/// Operators raise the header limit, for a sign-in that adds a long cookie. Open
/// connections kept the limit from when they were accepted, and each long head on them
/// was answered 431, which callers take as final.
#[test]
fn a_raised_header_limit_applies_to_open_connections() {
    let site = start(&json!({"max_header_bytes": 16384}));
    let mut kept = KeptConnection::open(site.gateways[0].addr("caller"));
    assert_eq!(kept.send_head(1024), Some(200));
    put_limits(&site, 2, &json!({"max_header_bytes": 65536}));
    wait_until("the version is in force", BOUND, || has_version(&site, 2));
    assert_eq!(kept.send_head_reconnecting(40_000), Some(200));
}

/// Operators raise the idle timeout. A connection from before was still closed after the
/// old timeout, just before the caller's next request.
#[test]
fn a_raised_idle_timeout_applies_to_open_connections() {
    let site = start(&json!({"idle_timeout_ms": 4000}));
    let mut kept = KeptConnection::open(site.gateways[0].addr("caller"));
    assert_eq!(kept.send_head(1024), Some(200));
    put_limits(&site, 2, &json!({"idle_timeout_ms": 60000}));
    wait_until("the version is in force", BOUND, || {
        sleep(REQUEST_INTERVAL);
        assert_eq!(kept.send_head(1024), Some(200));
        has_version(&site, 2)
    });
    assert_eq!(kept.send_head(1024), Some(200));
    sleep(Duration::from_secs(5));
    assert_eq!(kept.send_head(1024), Some(200));
}

/// The idle timeout is enforced on a connection that has served a request.
#[test]
fn an_idle_connection_is_closed_after_the_idle_timeout() {
    let site = start(&json!({"idle_timeout_ms": 1000}));
    let mut kept = KeptConnection::open(site.gateways[0].addr("caller"));
    let begin = Instant::now();
    assert_eq!(kept.send_head(1024), Some(200));
    assert_eq!(kept.answer(), None);
    let idle = begin.elapsed();
    assert!(idle >= Duration::from_millis(900), "{idle:?}");
    assert!(idle < BOUND, "{idle:?}");
}

/// A gateway that has just started has no limits from control yet. It applied built-in
/// limits and answered 431, which is final, to a head that operators allow; it must
/// answer 503 until it has the limits.
#[test]
fn a_gateway_without_limits_rejects_no_head_permanently() {
    let site = site().replicas(1).tolerate(0).start();
    let mut kept = KeptConnection::open(site.gateways[0].addr("caller"));
    assert_eq!(kept.send_head(30_000), Some(503));
}

/// The header limit counts bytes. A head far below it, but with 120 short lines, was
/// answered 431 because of a limit of a hundred lines that no operator had set.
#[test]
fn many_short_header_lines_are_within_the_byte_limit() {
    let site = start(&json!({"max_header_bytes": 16384}));
    let mut call = request("GET", "/catalogue/lines", "lines");
    for number in 0..120 {
        call = call.header(&format!("x-line-{number}"), "1");
    }
    let answer = site.request(0, &call).expect("the gateway answers");
    assert_eq!(answer.status, 200);
}

/// While a gateway is partitioned from control, operators may have raised the header
/// limit. It rejected heads above its old limit with 431, which callers take as final.
#[test]
fn a_partitioned_gateway_rejects_no_head_permanently() {
    let site = start(&json!({"max_header_bytes": 16384}));
    let status = || KeptConnection::open(site.gateways[0].addr("caller")).send_head(30_000);
    wait_until("the gateway's routes are proved", BOUND, || {
        status() == Some(431)
    });
    site.network.partition(&[&["gateway-1"], &["control-1"]]);
    wait_until("the proof of its limits has expired", BOUND, || {
        status() == Some(503)
    });
    assert_eq!(status(), Some(503));
}

/// A time limit longer than any duration ended the request's task, and with it the connection without an answer.
#[test]
fn any_time_limit_is_answered() {
    let site = start(&json!({}));
    for limit in ["1e30", "1e300", "inf", "-1", "NaN", "18446744073709551616"] {
        let call = Call::get("/catalogue/limited")
            .header("host", HOST)
            .header("x-request-id", limit)
            .header("x-deadline-ms", limit);
        let answer = site.request(0, &call);
        let answer = answer.unwrap_or_else(|e| panic!("{limit}: {e}"));
        assert_eq!(answer.status, 200, "{limit}");
    }
}
