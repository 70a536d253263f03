//! Requests that callers send ahead on a connection, through gateways of real processes.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use filberthead_testing::site::{HOST, Site, SiteEndpoint, request};
use filberthead_testing::wait_until;

use crate::groups::site;

const BOUND: Duration = Duration::from_secs(60);
/// How long endpoints take for a request where it matters.
const RUN_TIME: Duration = Duration::from_millis(600);
const SERVICES: &[(&str, &str)] = &[("orders", "unsafe"), ("catalogue", "safe")];

/// Endpoints of each service, with 3 slots each: enough for all requests of a test.
const ENDPOINTS: usize = 4;

/// One gateway, and endpoints of each service.
fn start() -> Site {
    let mut site = site().replicas(1).tolerate(0).start();
    for (service, _) in SERVICES {
        for _ in 0..ENDPOINTS {
            site.add_endpoint(service, "zagreb-a");
        }
    }
    site.put_routes(1, SERVICES);
    site.wait_serving(0);
    for (service, _) in SERVICES {
        wait_until("the service is served", BOUND, || {
            let call = request("GET", &format!("/{service}/warm-up"), "warm-up");
            site.request(0, &call)
                .is_ok_and(|answer| answer.status == 200)
        });
    }
    site
}

fn set_run_time(site: &Site, run_time: Duration) {
    let endpoints = site.endpoints.iter();
    endpoints.for_each(|endpoint| endpoint.set_run_time(run_time));
}

/// When each request with such an id started to run, in order.
fn starts(site: &Site, prefix: &str) -> Vec<Instant> {
    let runs = site.endpoints.iter().flat_map(SiteEndpoint::runs);
    let runs = runs.filter(|run| run.id.starts_with(prefix));
    let mut starts: Vec<_> = runs.map(|run| run.at).collect();
    starts.sort();
    starts
}

/// An answer as it was received.
#[derive(Debug)]
struct Received {
    status: u16,
    head: String,
    body: String,
}

/// A connection to a gateway, on which requests are sent without waiting for answers.
struct Connection {
    stream: BufReader<TcpStream>,
}

impl Connection {
    fn open(site: &Site) -> Self {
        let stream = TcpStream::connect(site.gateways[0].addr("caller")).expect("a connection");
        stream.set_read_timeout(Some(BOUND)).expect("a time limit");
        Self {
            stream: BufReader::new(stream),
        }
    }

    fn send(&mut self, bytes: &str) {
        let stream = self.stream.get_mut();
        stream.write_all(bytes.as_bytes()).expect("sent requests");
    }

    /// The next answer; `None` if the connection ends before it.
    fn receive(&mut self) -> Option<Received> {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if self.stream.read_line(&mut head).ok()? == 0 {
                return None;
            }
        }
        let status = head.split(' ').nth(1)?.parse().ok()?;
        let lower = head.to_ascii_lowercase();
        let mut lines = lower.lines();
        let len = lines.find_map(|line| line.strip_prefix("content-length: ")?.parse().ok());
        let mut body = vec![0; len.unwrap_or(0)];
        self.stream.read_exact(&mut body).ok()?;
        Some(Received {
            status,
            head,
            body: String::from_utf8_lossy(&body).into_owned(),
        })
    }
}

/// A request without a body.
fn head(method: &str, path: &str, id: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {id}\r\n\
         x-deadline-ms: 20000\r\n\r\n"
    )
}

/// Reads of different paths.
fn reads(count: usize) -> String {
    let read = |number| {
        head(
            "GET",
            &format!("/catalogue/{number}"),
            &format!("read-{number}"),
        )
    };
    (0..count).map(read).collect()
}

/// Requests that are sent ahead have waited for each other, although they may run side by side. Answers
/// have to come in the order of the requests, also when later ones are ready first.
#[test]
fn requests_that_are_sent_ahead_run_side_by_side() {
    const REQUESTS: usize = 8;
    let site = start();
    set_run_time(&site, RUN_TIME);
    let mut connection = Connection::open(&site);
    let sent_at = Instant::now();
    connection.send(&reads(REQUESTS));
    for number in 0..REQUESTS {
        let answer = connection.receive().expect("an answer");
        assert_eq!(answer.status, 200, "{}", answer.head);
        assert_eq!(answer.body, format!("GET /catalogue/{number} 0"));
    }
    let took = sent_at.elapsed();
    assert!(took < 3 * RUN_TIME, "{took:?} one after the other");
    let starts = starts(&site, "read-");
    assert_eq!(starts.len(), REQUESTS);
    let last = starts[REQUESTS - 1] - sent_at;
    assert!(last < RUN_TIME, "{last:?}, after the first was answered");
}
