//! Endpoints whose answers have no status of the protocol.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use filberthead_testing::site::{HOST, Site, request};
use filberthead_testing::wait_until;

use crate::groups::site;

const BOUND: Duration = Duration::from_secs(60);
const SERVICES: &[(&str, &str)] = &[("catalogue", "safe"), ("orders", "unsafe")];
const DOMAIN: &str = "zagreb-a";
/// Endpoints of each service: those that have failed get no requests for a while.
const ENDPOINTS: usize = 16;
/// Sends of a request that is rejected, at most.
const MAX_SENDS: usize = 200;
const NO_STATUSES: [&str; 12] = [
    "000", "001", "099", "600", "700", "999", "2000", "20", "-01", "2x0", "", "101",
];

fn start() -> Site {
    let mut site = site().replicas(1).tolerate(0).retry_floor(1000).start();
    for _ in 0..ENDPOINTS {
        for (service, _) in SERVICES {
            site.add_endpoint(service, DOMAIN);
        }
    }
    site.put_routes(1, SERVICES);
    site.wait_serving(0);
    for (service, _) in SERVICES {
        let path = format!("/{service}/warm-up");
        wait_until("the gateway serves", BOUND, || {
            let answer = site.request(0, &request("GET", &path, &path));
            answer.is_ok_and(|answer| answer.status == 200)
        });
    }
    site
}

/// The head of the gateway's answer, as it is sent.
fn answer(site: &Site, method: &str, path: &str, id: &str) -> String {
    let addr = site.gateways[0].direct_addr("caller");
    let mut stream = TcpStream::connect(addr).expect("a connection");
    stream.set_read_timeout(Some(BOUND)).expect("a timeout");
    write!(
        stream,
        "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {id}\r\n\
         x-deadline-ms: 5000\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
    )
    .expect("a request");
    let mut bytes = Vec::new();
    // A connection may end with an error after the answer.
    let _ = stream.read_to_end(&mut bytes);
    let text = String::from_utf8_lossy(&bytes);
    let head = text.split("\r\n\r\n").next();
    head.unwrap_or_default().to_ascii_lowercase()
}

/// An endpoint's answer without a status is its failure: a caller took it for an answer.
#[test]
fn an_answer_without_a_status_is_a_failure() {
    let site = start();
    for (service, kind) in SERVICES {
        let method = match *kind {
            "safe" => "GET",
            _ => "POST",
        };
        for (number, status) in NO_STATUSES.iter().enumerate() {
            let path = format!("/{service}/status-{status}");
            let head = (0..MAX_SENDS)
                .map(|send| answer(&site, method, &path, &format!("{service}-{number}-{send}")))
                .find(|head| !head.starts_with("http/1.1 503 "));
            let head = head.expect("a request is passed on");
            assert!(head.starts_with("http/1.1 502 "), "{status}: {head}");
            assert!(!head.contains("x-response-signature"), "{status}: {head}");
        }
    }
}
