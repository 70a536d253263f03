//! Requests that callers send ahead on a connection, through gateways of real processes.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use filberthead_testing::site::{Behaviour, HOST, Site, SiteEndpoint, request};
use filberthead_testing::wait_until;

use crate::groups::site;

const BOUND: Duration = Duration::from_secs(60);
/// How long endpoints take for a request where it matters.
const RUN_TIME: Duration = Duration::from_millis(600);
const SERVICES: &[(&str, &str)] = &[
    ("orders", "unsafe"),
    ("catalogue", "safe"),
    ("lessons", "download"),
];

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
pub(crate) struct Received {
    pub(crate) status: u16,
    pub(crate) head: String,
    /// The body as text.
    pub(crate) body: String,
    /// Length of the body.
    pub(crate) len: usize,
}

/// A connection to a gateway, on which requests are sent without waiting for answers.
pub(crate) struct Connection {
    stream: BufReader<TcpStream>,
}

impl Connection {
    pub(crate) fn open(site: &Site) -> Self {
        let stream = TcpStream::connect(site.gateways[0].addr("caller")).expect("a connection");
        stream.set_read_timeout(Some(BOUND)).expect("a time limit");
        Self {
            stream: BufReader::new(stream),
        }
    }

    pub(crate) fn send(&mut self, bytes: &str) {
        let stream = self.stream.get_mut();
        stream.write_all(bytes.as_bytes()).expect("sent requests");
    }

    /// The next answer; `None` if the connection ends before it.
    pub(crate) fn receive(&mut self) -> Option<Received> {
        let mut received = self.receive_head()?;
        let mut body = vec![0; received.len];
        self.stream.read_exact(&mut body).ok()?;
        received.body = String::from_utf8_lossy(&body).into_owned();
        Some(received)
    }

    /// The next answer, which is one to a `HEAD`: `len` is the length that it names.
    pub(crate) fn receive_head(&mut self) -> Option<Received> {
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
        Some(Received {
            status,
            head,
            body: String::new(),
            len: len.unwrap_or(0),
        })
    }
}

/// A request without a body.
pub(crate) fn head(method: &str, path: &str, id: &str) -> String {
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

/// Reads `reads(count)` with their answers.
#[track_caller]
fn expect_reads(connection: &mut Connection, count: usize) {
    for number in 0..count {
        let answer = connection.receive().expect("an answer");
        assert_eq!(answer.status, 200, "{}", answer.head);
        assert_eq!(answer.body, format!("GET /catalogue/{number} 0"));
        let closes = answer
            .head
            .to_ascii_lowercase()
            .contains("connection: close");
        assert!(!closes, "requests stand behind it");
    }
}

/// Requests that are sent ahead have waited for each other, although they may run side by side. Answers
/// have to come in the order of the requests, also when later ones are ready first.
#[test]
fn requests_that_are_sent_ahead_run_side_by_side() {
    const REQUESTS: usize = 8;
    let site = start();
    for (number, endpoint) in site.endpoints.iter().enumerate() {
        endpoint.set_run_time(RUN_TIME.mul_f64(1.0 - 0.2 * (number % ENDPOINTS) as f64));
    }
    let mut connection = Connection::open(&site);
    let sent_at = Instant::now();
    connection.send(&reads(REQUESTS));
    expect_reads(&mut connection, REQUESTS);
    let took = sent_at.elapsed();
    assert!(took < 3 * RUN_TIME, "{took:?} one after the other");
    let starts = starts(&site, "read-");
    assert_eq!(starts.len(), REQUESTS);
    let last = starts[REQUESTS - 1] - sent_at;
    assert!(last < RUN_TIME, "{last:?}, after the first was answered");
    let beside = site.gateways[0].metric("gateway_pipelined_requests_total{reason=\"beside\"}");
    assert_eq!(beside, (REQUESTS - 1) as f64);
}

/// A caller that sends an order between reads may rely on the order of their effects: the order runs once
/// the reads before it are answered, and those behind it once it is answered itself.
#[test]
fn an_order_waits_for_requests_before_it_and_lets_none_pass() {
    let site = start();
    set_run_time(&site, RUN_TIME);
    let mut connection = Connection::open(&site);
    let requests = [
        reads(2),
        head("POST", "/orders/one", "order-1"),
        head("GET", "/catalogue/last", "last-1"),
    ];
    connection.send(&requests.concat());
    expect_reads(&mut connection, 2);
    for line in ["POST /orders/one", "GET /catalogue/last"] {
        let answer = connection.receive().expect("an answer");
        assert_eq!((answer.status, answer.body), (200, format!("{line} 0")));
    }
    let (reads, order, last) = (
        starts(&site, "read-"),
        starts(&site, "order-"),
        starts(&site, "last-"),
    );
    assert_eq!((reads.len(), order.len(), last.len()), (2, 1, 1));
    assert!(order[0] >= reads[1] + RUN_TIME, "a read still ran");
    assert!(last[0] >= order[0] + RUN_TIME, "the order still ran");
}

/// An order waits for its turn until its deadline has passed. Its caller has to learn that it has not run
/// and may be sent again, which no 504 says.
#[test]
fn an_order_whose_deadline_passes_in_line_is_answered_that_it_has_not_run() {
    let site = start();
    set_run_time(&site, RUN_TIME);
    let mut connection = Connection::open(&site);
    let order = head("POST", "/orders/late", "late-1").replace("20000", "200");
    connection.send(&[reads(1), order].concat());
    expect_reads(&mut connection, 1);
    let late = connection.receive().expect("an answer");
    assert_eq!(late.status, 503, "{}", late.head);
    assert!(
        late.head.contains("filberthead-result: 1203"),
        "{}",
        late.head
    );
    assert!(late.head.contains("retry-after"), "{}", late.head);
    assert!(starts(&site, "late-").is_empty());
}

/// The body of a request is no request, whatever it looks like, and those behind it are found.
#[test]
fn requests_behind_a_body_are_served() {
    let site = start();
    let body = head("GET", "/catalogue/none", "none-1");
    let order = head("POST", "/orders/one", "order-1");
    let order = order.replace(
        "\r\n\r\n",
        &format!("\r\ncontent-length: {}\r\n\r\n{body}", body.len()),
    );
    let mut connection = Connection::open(&site);
    // The second one comes in two pieces, cut in its body.
    let requests = [&order, &order.replace("order-1", "order-2"), &*reads(3)].concat();
    let (first, second) = requests.split_at(2 * order.len() - 10);
    connection.send(first);
    std::thread::sleep(Duration::from_millis(50));
    connection.send(second);
    for _ in 0..2 {
        let answer = connection.receive().expect("an answer");
        let expected = format!("POST /orders/one {}", body.len());
        assert_eq!((answer.status, answer.body), (200, expected));
    }
    expect_reads(&mut connection, 3);
    assert_eq!(starts(&site, "none-").len(), 0);
}

/// What isn't HTTP behind good requests must not cost them their answers.
#[test]
fn a_bad_request_is_refused_once_those_before_it_are_answered() {
    let site = start();
    set_run_time(&site, RUN_TIME);
    let mut connection = Connection::open(&site);
    connection.send(&[&reads(3), "nonsense\r\n\r\n", &reads(1)].concat());
    expect_reads(&mut connection, 3);
    assert_eq!(connection.receive().expect("an answer").status, 400);
    assert!(connection.receive().is_none(), "the connection ends");
    assert_eq!(starts(&site, "read-").len(), 3);
}

/// A gateway is stopped while requests run that were sent ahead. It has read them, so each gets its answer;
/// an answer that closes the connection before would make the caller send those behind it again.
#[test]
fn a_planned_stop_answers_what_was_sent_ahead() {
    const READS: usize = 4;
    let mut site = start();
    set_run_time(&site, RUN_TIME);
    let mut connection = Connection::open(&site);
    let order = head("POST", "/orders/one", "order-1");
    connection.send(&[reads(READS), order].concat());
    wait_until("the reads run", BOUND, || {
        starts(&site, "read-").len() == READS
    });
    site.gateways[0].process().terminate();
    wait_until("the gateway is stopping", BOUND, || !site.is_serving(0));
    expect_reads(&mut connection, READS);
    let last = connection.receive().expect("the answer to the order");
    assert_eq!((last.status, &*last.body), (200, "POST /orders/one 0"));
    let lower = last.head.to_ascii_lowercase();
    assert!(lower.contains("connection: close"), "{lower}");
    assert!(connection.receive().is_none(), "the connection ends");
    assert!(site.gateways[0].wait_exit().success());
}

/// A caller goes on sending while its connection is closed, and reads the last answer slowly. Closed with
/// bytes unread, the connection is reset by the system, and the caller loses what is still on its way.
#[test]
fn a_caller_that_goes_on_sending_gets_all_answers_of_a_stopping_gateway() {
    const BYTES: usize = 1_000_000;
    let mut site = start();
    set_run_time(&site, RUN_TIME);
    let mut connection = Connection::open(&site);
    // Less than the answer, so that the rest of it is on its way for a while.
    let caller = socket2::SockRef::from(connection.stream.get_ref());
    caller
        .set_recv_buffer_size(32 * 1024)
        .expect("a small buffer");
    let large = format!("/catalogue/large?bytes={BYTES}");
    connection.send(&[reads(2), head("GET", &large, "read-large")].concat());
    wait_until("the reads run", BOUND, || starts(&site, "read-").len() == 3);
    site.gateways[0].process().terminate();
    wait_until("the gateway is stopping", BOUND, || !site.is_serving(0));
    expect_reads(&mut connection, 2);
    // Too late: not read by the gateway any more.
    for _ in 0..4 {
        // Fails once the gateway has closed the connection.
        let late = reads(50);
        let _ = connection.stream.get_mut().write_all(late.as_bytes());
        std::thread::sleep(Duration::from_millis(50));
    }
    let large = connection.receive().expect("the whole answer");
    assert_eq!((large.status, large.len), (200, BYTES));
    assert!(connection.receive().is_none(), "the connection ends");
    assert_eq!(starts(&site, "read-").len(), 3);
}

/// An endpoint dies in the middle of an answer that a caller already gets, with requests behind it. The
/// caller must not take the next answer for the rest of it, and what it gets no answer to has to end.
#[test]
fn an_answer_that_breaks_off_ends_the_connection_and_cancels_what_is_behind() {
    let site = start();
    for endpoint in &site.endpoints {
        match endpoint.service() {
            "lessons" => {
                endpoint.set_run_time(RUN_TIME);
                endpoint.set_behaviour(Behaviour::Truncates);
            }
            _ => endpoint.set_behaviour(Behaviour::Hangs),
        }
    }
    let mut connection = Connection::open(&site);
    let lesson = head("GET", "/lessons/1?bytes=3000000", "lesson-1");
    connection.send(&[lesson, reads(2)].concat());
    wait_until("the reads run", BOUND, || starts(&site, "read-").len() == 2);
    assert!(connection.receive().is_none(), "half of the lesson");
    wait_until("the reads are cancelled", BOUND, || dropped(&site) == 2);
}

/// A caller that waits for each answer sends nothing ahead, however its requests are cut into pieces. Taken
/// for one that does, it would change how all gateways place requests.
#[test]
fn a_caller_that_sends_one_request_at_a_time_sends_nothing_ahead() {
    let site = start();
    let mut connection = Connection::open(&site);
    let read = head("GET", "/catalogue/0", "read-0");
    let order = head("POST", "/orders/one", "order-1")
        .replace("\r\n\r\n", "\r\ncontent-length: 5\r\n\r\nhello");
    let chunked = head("POST", "/orders/one", "order-1").replace(
        "\r\n\r\n",
        "\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    );
    // What is behind a chunked body is the server's alone, so that one comes last.
    for request in [&read, &order, &read, &order, &chunked, &read, &chunked] {
        for cut in [request.len(), request.len() - 3, 10] {
            let (first, second) = request.split_at(cut);
            connection.send(first);
            if !second.is_empty() {
                std::thread::sleep(Duration::from_millis(20));
                connection.send(second);
            }
            let answer = connection.receive().expect("an answer");
            let expected = match request == &read {
                true => "GET /catalogue/0 0",
                false => "POST /orders/one 5",
            };
            assert_eq!((answer.status, &*answer.body), (200, expected));
        }
    }
    let gateway = &site.gateways[0];
    assert_eq!(gateway.metric("gateway_pipelined_requests_total"), 0.0);
    assert!(!logs_contention_control(&site));
    connection = Connection::open(&site);
    connection.send(&reads(2));
    expect_reads(&mut connection, 2);
    wait_until("contention control is on", BOUND, || {
        logs_contention_control(&site)
    });
}

/// Whether the gateway has turned contention control on for a caller of its own.
fn logs_contention_control(site: &Site) -> bool {
    let log = site.gateways[0].process_ref().log();
    log.contains("contention control is on told_by=caller")
}

/// Number of requests whose connection closed while endpoints ran them.
fn dropped(site: &Site) -> usize {
    let endpoints = site.endpoints.iter();
    endpoints.map(|endpoint| endpoint.dropped().len()).sum()
}

/// A caller disconnects while requests run that it has sent ahead, whether the gateway still reads from its
/// connection or not. None of them may go on taking the place of others.
#[test]
fn a_caller_that_leaves_cancels_what_it_has_sent_ahead() {
    // More than are read ahead.
    const MANY: usize = 400;
    let site = start();
    for endpoint in &site.endpoints {
        endpoint.set_behaviour(Behaviour::Hangs);
    }
    for sent in [4, MANY] {
        let (before, ran) = (dropped(&site), starts(&site, "read-").len());
        let mut connection = Connection::open(&site);
        connection.send(&reads(sent));
        wait_until("requests run", BOUND, || {
            starts(&site, "read-").len() >= ran + 4
        });
        // All that start of those that were sent have started.
        std::thread::sleep(Duration::from_millis(300));
        let running = starts(&site, "read-").len() - ran;
        drop(connection);
        let left_at = Instant::now();
        wait_until("all are cancelled", BOUND, || {
            dropped(&site) == before + running
        });
        let took = left_at.elapsed();
        assert!(took < Duration::from_secs(2), "{took:?} of {sent}");
    }
}
