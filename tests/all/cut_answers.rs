//! Endpoints whose answers end early: in the head, in the framing or in the body.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::ops::ControlFlow;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use filberthead_testing::client::{Answer, Call, CallError};
use filberthead_testing::cluster::{Builder, Cluster};
use filberthead_testing::cut::{AnswerCut, CutAt, CutEnd, Framing};
use filberthead_testing::proxy::Flow;
use filberthead_testing::site::{Behaviour, HOST, Site, SiteEndpoint, request};
use filberthead_testing::standin::{Fault, ObservedRequest, Payload, Rule, Stage, When};
use filberthead_testing::{eventually, wait_until};
use serde::Deserialize;

use crate::groups::site;
use crate::pipelining::{Connection, head};
use crate::support::{programs, run_concurrently};

const BOUND: Duration = Duration::from_secs(60);
/// The last service's answers are never cut.
const SERVICES: &[(&str, &str)] = &[
    ("catalogue", "safe"),
    ("orders", "unsafe"),
    ("lessons", "download"),
    ("tax", "safe"),
];
const DOMAIN: &str = "zagreb-a";
const FAR: &str = "split-a";
/// More than any head of an endpoint's answer has.
const HEAD_BYTES: usize = 170;
/// Every how many bytes of a head an answer is cut that comes slowly.
const SLOW_STEP: usize = 50;
/// Bytes of its body that such an answer has, at most.
const SLOW_BODY_BYTES: usize = 6;
/// Requests at once.
const AT_ONCE: usize = 6;
/// Endpoints of each service: those that have failed get no requests for a while.
const ENDPOINTS: usize = 16;
/// Sends of a request that is rejected, at most.
const MAX_SENDS: usize = 200;
/// Length of an endpoint's shortest answers, or about it.
const TEXT_BYTES: usize = 60;
/// Length of a download that a gateway streams.
const STREAMED_BYTES: usize = 20_000;
/// Length of a download that an entry streams, and where its first two parts end.
const LONG_BYTES: usize = 100_000;
const FIRST_PART: u64 = 70_000;
const ORDER: &str = "two hats";
const OUTCOME_UNKNOWN: Option<u16> = Some(1302);

/// Cuts of an answer with a body of this length: after each byte of its head and of the first chunk line, some of
/// the rest of it, and none. Each position is cut by a close and by a reset, the head's in some framings each.
fn cuts(body_len: usize) -> Vec<AnswerCut> {
    let mut cuts = Vec::new();
    for (number, framing) in Framing::ALL.into_iter().enumerate() {
        let len = framing.encode(&vec![b'x'; body_len]).len();
        let ends = (len.saturating_sub(7)..=len).chain([len / 2]);
        let body: Vec<_> = (0..len.min(9)).chain(ends).collect();
        let mut push = |at, end| cuts.push(AnswerCut { framing, at, end });
        for bytes in 0..HEAD_BYTES {
            let end = match (number + bytes) % 2 {
                0 => CutEnd::Closed,
                _ => CutEnd::Reset,
            };
            push(CutAt::Head(bytes), end);
        }
        for bytes in body {
            push(CutAt::Body(bytes), CutEnd::Closed);
            push(CutAt::Body(bytes), CutEnd::Reset);
        }
        for bytes in (0..HEAD_BYTES).step_by(SLOW_STEP) {
            push(CutAt::Head(bytes), CutEnd::SlowlyClosed);
        }
        for bytes in 0..SLOW_BODY_BYTES {
            push(CutAt::Body(bytes), CutEnd::SlowlyClosed);
        }
    }
    cuts
}

/// The same with each position of the head once only, in turns of framings and ends.
fn fewer_cuts(body_len: usize) -> Vec<AnswerCut> {
    let mut cuts = cuts(body_len);
    cuts.retain(|cut| match cut.at {
        CutAt::Head(bytes) if cut.end != CutEnd::SlowlyClosed => {
            Framing::ALL[bytes / 2 % Framing::ALL.len()] == cut.framing
        }
        CutAt::Head(_) | CutAt::Body(_) => true,
    });
    cuts
}

/// Whether callers may see a connection that ends early in place of an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Early {
    Never,
    Allowed,
}

/// Whether an answer has to reach its caller: it is whole, and doesn't come as slowly as one without an end.
fn must_arrive(cut: AnswerCut, body: &[u8]) -> bool {
    cut.end != CutEnd::SlowlyClosed && cut.is_whole(body)
}

/// Checks what a caller got of a cut answer with this body.
#[track_caller]
fn check(cut: AnswerCut, body: &[u8], got: &Result<Answer, CallError>, early: Early) {
    match got {
        Ok(answer) if answer.status.is_success() => {
            assert!(cut.is_whole(body), "{cut}: {answer:?}");
            assert_eq!(answer.body, cut.whole_body(body), "{cut}");
        }
        Ok(answer) => {
            assert!(answer.status.is_server_error(), "{cut}: {answer:?}");
            assert!(!must_arrive(cut, body), "{cut}: {answer:?}");
        }
        Err(CallError::Cut { .. } | CallError::NoAnswer(_)) if early == Early::Allowed => {
            assert!(!must_arrive(cut, body), "{cut}: {got:?}");
        }
        Err(e) => panic!("{cut}: {e}"),
    }
}

/// Sends again what is answered that it didn't run, as long as endpoints that have failed get no requests, and what
/// has failed before it ran: an endpoint may end the connection of a whole answer as the next request is written.
fn until_run(
    mut send: impl FnMut(usize) -> Result<Answer, CallError>,
    has_run: impl Fn(usize) -> bool,
) -> Result<Answer, CallError> {
    let mut sends = (0..MAX_SENDS).map(|number| {
        if number > 0 {
            thread::sleep(Duration::from_millis(50));
        }
        (number, send(number))
    });
    let last = sends.try_for_each(|(number, got)| match &got {
        Ok(answer) if answer.status == 503 => ControlFlow::Continue(()),
        Ok(answer) if is_failure(answer) && !has_run(number) => ControlFlow::Continue(()),
        _ => ControlFlow::Break(got),
    });
    last.break_value().expect("the request is run at last")
}

/// The same for what counts as run unless it is answered that it didn't.
fn until_accepted(
    mut send: impl FnMut() -> Result<Answer, CallError>,
) -> Result<Answer, CallError> {
    until_run(|_| send(), |_| true)
}

/// Whether an answer says that its request failed, or may have.
fn is_failure(answer: &Answer) -> bool {
    answer.status.is_server_error() || answer.result() == OUTCOME_UNKNOWN
}

/// Whether an endpoint of the site has run a request.
fn has_run(site: &Site, method: &str, path: &str) -> bool {
    let request_line = format!("{method} {path}");
    let mut endpoints = site.endpoints.iter();
    endpoints.any(|endpoint| endpoint.has_run(&request_line))
}

/// Runs `check` for each cut, some at once.
fn for_cuts(cuts: &[AnswerCut], check: impl Fn(AnswerCut) + Sync) {
    run_concurrently(AT_ONCE, |worker| {
        let mine = cuts.iter().skip(worker).step_by(AT_ONCE);
        mine.copied().for_each(&check);
    });
}

/// A gateway and endpoints of each service.
fn start() -> Site {
    let mut site = site().replicas(1).tolerate(0).start();
    for (service, _) in SERVICES {
        for _ in 0..ENDPOINTS {
            site.add_endpoint(service, DOMAIN);
        }
    }
    site.put_routes(1, SERVICES);
    site.wait_serving(0);
    for (service, kind) in SERVICES {
        let method = if *kind == "unsafe" { "POST" } else { "GET" };
        wait_until("the service is served", BOUND, || {
            send(&site, method, &format!("/{service}/warm-up"))
                .is_ok_and(|answer| answer.status == 200)
        });
    }
    assert_heads_are_shorter(site.endpoints[0].addr(), &site.endpoints[0].id());
    site
}

/// Checks that the cuts of heads reach the end of each.
#[track_caller]
fn assert_heads_are_shorter(endpoint: SocketAddr, instance: &str) {
    let mut stream = TcpStream::connect(endpoint).expect("a connection");
    let cut = AnswerCut {
        framing: Framing::Chunked,
        at: CutAt::Body(0),
        end: CutEnd::Closed,
    };
    write!(
        stream,
        "GET /catalogue/{cut} HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: r-123456789\r\n\
         x-target-instance: {instance}\r\n\r\n"
    )
    .expect("a sent request");
    let mut received = Vec::new();
    stream.read_to_end(&mut received).expect("a whole head");
    assert!(received.ends_with(b"\r\n\r\n"));
    assert!(received.len() < HEAD_BYTES, "{}", received.len());
}

fn send(site: &Site, method: &str, path: &str) -> Result<Answer, CallError> {
    static SENT: AtomicUsize = AtomicUsize::new(0);
    let id = format!("r-{}", SENT.fetch_add(1, Ordering::Relaxed));
    let call = request(method, path, &id);
    site.request(0, &call.bound(BOUND))
}

/// Sends requests whose answers are cut through the first gateway.
#[track_caller]
fn assert_cuts_are_no_successes(site: &Site, method: &str, service: &str, cuts: &[AnswerCut]) {
    for_cuts(cuts, |cut| {
        let path = |number| format!("/{service}/{number}/{cut}");
        let mut sent = String::new();
        let got = until_run(
            |number| {
                sent = path(number);
                send(site, method, &sent)
            },
            |number| has_run(site, method, &path(number)),
        );
        let body = format!("{method} {sent} 0");
        check(cut, body.as_bytes(), &got, Early::Never);
    });
}

/// A read's answer ends early at each endpoint that it is sent to.
#[test]
fn a_cut_answer_to_a_read_is_no_success() {
    assert_cuts_are_no_successes(&start(), "GET", "catalogue", &cuts(TEXT_BYTES));
}

/// An order's answer ends early.
#[test]
fn a_cut_answer_to_an_order_is_no_success() {
    assert_cuts_are_no_successes(&start(), "POST", "orders", &fewer_cuts(TEXT_BYTES));
}

/// Two gateways, the first of which is cut off from all endpoints, which the second one has.
fn start_relaying() -> Site {
    let mut site = site().replicas(1).tolerate(0).gateways(2).start();
    for _ in 0..ENDPOINTS {
        site.add_linked_endpoint("catalogue", FAR);
    }
    site.put_routes(1, SERVICES);
    for gateway in 0..2 {
        site.wait_serving(gateway);
    }
    let cut_off = site.gateways[0].name();
    for endpoint in &site.endpoints {
        site.network.set(cut_off, &endpoint.id(), Flow::Hold);
        site.network.set(&endpoint.id(), cut_off, Flow::Hold);
    }
    let mut number = 0;
    wait_until("requests are relayed", BOUND, || {
        number += 1;
        let served = send(&site, "GET", &format!("/catalogue/before-{number}"));
        let is_served = served.is_ok_and(|answer| answer.status == 200);
        is_served && site.gateways[0].metric("gateway_cut_off") > 0.0
    });
    site
}

/// The answer to a relayed read ends early at the endpoints of the helper.
#[test]
fn a_cut_answer_to_a_relayed_read_is_no_success() {
    assert_cuts_are_no_successes(
        &start_relaying(),
        "GET",
        "catalogue",
        &fewer_cuts(TEXT_BYTES),
    );
}

/// Sends a request whose answer has a transfer coding that gateways don't know.
#[track_caller]
fn assert_coded_is_no_success(site: &Site, method: &str, service: &str) {
    let path = format!("/{service}/coded?bytes={STREAMED_BYTES}");
    for endpoint in &site.endpoints {
        endpoint.set_behaviour(Behaviour::TransferCoded);
    }
    let answer = until_accepted(|| send(site, method, &path)).expect("an answer");
    assert_eq!(answer.status, 502, "{service}: {answer:?}");
    let line = format!("{method} {path}");
    let runs = site.endpoints.iter().flat_map(SiteEndpoint::runs);
    let runs = runs.filter(|run| run.request_line == line).count();
    let is_repeated = method == "GET";
    assert!(runs == 1 || is_repeated && runs > 1, "{service}: {runs}");
}

/// An answer with a transfer coding other than chunks was passed on without the name of the coding, so that its
/// caller took the coded bytes for the body.
#[test]
fn an_answer_with_an_unknown_transfer_coding_is_no_success() {
    let site = start();
    assert_coded_is_no_success(&site, "GET", "catalogue");
    assert_coded_is_no_success(&site, "POST", "orders");
    assert_coded_is_no_success(&site, "GET", "lessons");
}

/// The same, of a read that is relayed.
#[test]
fn a_relayed_answer_with_an_unknown_transfer_coding_is_no_success() {
    assert_coded_is_no_success(&start_relaying(), "GET", "catalogue");
}

/// A download's answer ends early, some of it streamed before.
#[test]
fn a_cut_download_does_not_look_complete() {
    let site = start();
    for_cuts(&fewer_cuts(STREAMED_BYTES), |cut| {
        let path = |number| format!("/lessons/{number}/{cut}?bytes={STREAMED_BYTES}");
        let mut sent = String::new();
        let got = until_run(
            |number| {
                sent = path(number);
                send(&site, "GET", &sent)
            },
            |number| has_run(&site, "GET", &path(number)),
        );
        let body = Payload::of_answer("GET", &sent, b"").slice(0, STREAMED_BYTES);
        // An answer whose head has come begins, also if no more of it does.
        let is_silent = matches!(got, Err(CallError::NoAnswer(_)));
        assert!(!is_silent, "{cut}: {got:?}");
        check(cut, &body, &got, Early::Allowed);
    });
}

/// The answer to a request that was sent ahead on a connection ends early, between those to two others.
#[test]
fn a_cut_answer_changes_no_other_one_of_its_connection() {
    let site = start();
    for (service, length, early) in [
        ("catalogue", None, Early::Never),
        ("lessons", Some(STREAMED_BYTES), Early::Allowed),
    ] {
        for_cuts(&fewer_cuts(length.unwrap_or(TEXT_BYTES)), |cut| {
            let query = length.map_or(String::new(), |bytes| format!("?bytes={bytes}"));
            let paths = [
                format!("/tax/{service}/before-{cut}"),
                format!("/{service}/ahead/{cut}{query}"),
                format!("/tax/{service}/after-{cut}"),
            ];
            let requests = paths.iter().zip(["before", "ahead", "after"]);
            let requests = requests.map(|(path, id)| head("GET", path, id));
            let mut connection = Connection::open(&site);
            connection.send(&requests.collect::<String>());
            let [before, met, after] = [0; 3].map(|_| connection.receive());
            let own = |path: &str| Some((200, format!("GET {path} 0")));
            let text = |answer: crate::pipelining::Received| (answer.status, answer.body);
            assert_eq!(before.map(text), own(&paths[0]), "{cut}");
            let body = match length {
                Some(bytes) => Payload::of_answer("GET", &paths[1], b"").slice(0, bytes),
                None => format!("GET {} 0", paths[1]).into(),
            };
            if let Some(met) = met.as_ref().filter(|met| met.status < 500) {
                assert!(
                    met.status == 200 && cut.is_whole(&body),
                    "{cut}: {}",
                    met.head
                );
                let whole = String::from_utf8_lossy(cut.whole_body(&body));
                assert_eq!(met.body, whole, "{cut}: {}", met.head);
            }
            let is_ended = met.is_none() && early == Early::Allowed;
            match after.map(text) {
                None => assert!(is_ended, "{cut}: the connection has ended"),
                after => assert_eq!(after, own(&paths[2]), "{cut}"),
            }
        });
    }
}

/// Answers to `HEAD` without a byte of the body, whose length only the first one names.
fn head_answers() -> [AnswerCut; 4] {
    Framing::ALL.map(|framing| AnswerCut {
        framing,
        at: CutAt::Body(0),
        end: CutEnd::Closed,
    })
}

/// Checks the answer to a `HEAD` of a path with a body of this length.
#[track_caller]
fn check_head(cut: AnswerCut, len: usize, got: Result<Answer, CallError>) {
    let answer = got.unwrap_or_else(|e| panic!("{cut}: {e}"));
    assert_eq!(answer.status, 200, "{cut}: {answer:?}");
    let expected = match cut.framing {
        Framing::Length => Some(len.to_string()),
        Framing::Chunked | Framing::ChunkedWithLength | Framing::Close => None,
    };
    let named = answer.headers.get("content-length");
    let named = named.map(|value| value.to_str().expect("digits").to_owned());
    assert_eq!(named, expected, "{cut}: {answer:?}");
    assert!(answer.body.is_empty(), "{cut}: {answer:?}");
}

/// Checks answers to `HEAD` of this service, whole ones and such whose endpoint closes its connection behind the
/// head.
#[track_caller]
fn assert_heads_are_passed_on(site: &Site, service: &str) {
    for cut in head_answers() {
        let path = format!("/{service}/head/{cut}");
        let got = until_run(
            |_| send(site, "HEAD", &path),
            |_| has_run(site, "HEAD", &path),
        );
        check_head(cut, format!("HEAD {path} 0").len(), got);
    }
    for len in [TEXT_BYTES, STREAMED_BYTES] {
        let path = format!("/{service}/head?bytes={len}");
        let got = until_run(
            |_| send(site, "HEAD", &path),
            |_| has_run(site, "HEAD", &path),
        );
        check_head(head_answers()[0], len, got);
    }
}

/// The answer to a `HEAD` has the headers of that to a `GET`, so its length is none of a body that follows. Gateways
/// replaced it by that of the body that they had read.
#[test]
fn an_answer_to_head_has_the_length_that_its_endpoint_names() {
    let site = start();
    assert_heads_are_passed_on(&site, "catalogue");
    assert_heads_are_passed_on(&site, "lessons");
}

/// The same, relayed by another gateway.
#[test]
fn a_relayed_answer_to_head_has_the_length_that_its_endpoint_names() {
    assert_heads_are_passed_on(&start_relaying(), "catalogue");
}

/// Nothing is read or written for the body of an answer to a `HEAD` between two others on a connection.
#[test]
fn an_answer_to_head_changes_no_other_one_of_its_connection() {
    let site = start();
    for bytes in [TEXT_BYTES, STREAMED_BYTES] {
        let paths = [
            format!("/tax/before-{bytes}"),
            format!("/lessons/ahead?bytes={bytes}"),
            format!("/tax/after-{bytes}"),
        ];
        let mut connection = Connection::open(&site);
        let requests = [
            head("GET", &paths[0], "before"),
            head("HEAD", &paths[1], "ahead"),
            head("GET", &paths[2], "after"),
        ];
        connection.send(&requests.concat());
        let before = connection.receive().expect("an answer");
        assert_eq!(before.body, format!("GET {} 0", paths[0]));
        let met = connection.receive_head().expect("an answer");
        assert_eq!((met.status, met.len), (200, bytes), "{}", met.head);
        let after = connection.receive().expect("an answer");
        assert_eq!(after.body, format!("GET {} 0", paths[2]));
    }
}

/// The same as at a gateway.
#[test]
fn an_answer_to_head_at_an_entry_has_the_length_that_its_endpoint_names() {
    let (_cluster, entry) = start_entry(faults(&head_answers(), "/"));
    let head = |path: &str| {
        let head = Call::new("HEAD", &format!("/v1/services/catalogue{path}")).bound(BOUND);
        until_accepted(|| head.send(entry))
    };
    for cut in head_answers() {
        check_head(cut, 64, head(&format!("/{cut}")));
    }
    for len in [64, LONG_BYTES] {
        check_head(head_answers()[0], len, head(&format!("/whole?bytes={len}")));
    }
}

/// A caller of HTTP/1.0 knows no chunks, so an answer without a length would end with its connection, and a cut one
/// as a whole one does.
#[test]
fn an_answer_of_a_gateway_to_a_caller_of_http_1_0_has_a_length() {
    let site = start();
    let addr = site.gateways[0].addr("caller");
    for (framing, len) in Framing::ALL
        .into_iter()
        .flat_map(|framing| [(framing, TEXT_BYTES), (framing, STREAMED_BYTES)])
    {
        let cut = AnswerCut {
            framing,
            at: CutAt::Body(LONG_BYTES),
            end: CutEnd::Closed,
        };
        let path = format!("/lessons/{cut}?bytes={len}");
        let mut stream = TcpStream::connect(addr).expect("a connection");
        stream.set_read_timeout(Some(BOUND)).expect("a time limit");
        let request = head("GET", &path, &format!("old-{framing:?}-{len}"));
        let request = request.replace("HTTP/1.1", "HTTP/1.0");
        stream
            .write_all(request.as_bytes())
            .expect("a sent request");
        let mut answer = Vec::new();
        stream.read_to_end(&mut answer).expect("a whole answer");
        let body = Payload::of_answer("GET", &path, b"").slice(0, len);
        let text = String::from_utf8_lossy(&answer);
        assert!(text.starts_with("HTTP/1.0 200 OK"), "{cut}: {text}");
        assert!(
            text.contains(&format!("content-length: {len}\r\n")),
            "{cut}: {text}"
        );
        assert!(answer.ends_with(&body), "{cut}");
    }
}

#[derive(Debug)]
#[derive(Deserialize)]
struct Lookup {
    key_prefix: String,
}

fn one_domain() -> Builder {
    Cluster::builder(programs())
        .places(&[("zagreb", "zagreb-a")])
        .service("orders", ENDPOINTS)
        .service("catalogue", ENDPOINTS)
        .entry_setting("callers", "lookup_ttl", "1s")
}

/// Starts an entry alone, whose endpoints cut the answers to requests of these paths.
fn start_entry(faults: impl IntoIterator<Item = Rule>) -> (Cluster, SocketAddr) {
    let mut cluster = one_domain().prepare();
    let rules: Vec<_> = faults.into_iter().collect();
    for endpoint in &cluster.endpoints {
        let rules = rules.clone();
        endpoint.standin.script(|script| {
            script.rules = rules;
            script.slots = 100;
        });
    }
    cluster.entries[0].start();
    let entry = cluster.entries[0].addr("caller");
    for service in ["orders", "catalogue"] {
        let read = Call::get(&format!("/v1/services/{service}/warm-up"));
        wait_until("the endpoints are in use", BOUND, || {
            read.send(entry).is_ok_and(|answer| answer.status == 200)
        });
    }
    (cluster, entry)
}

fn key_prefix(entry: SocketAddr) -> String {
    eventually("the entry returns a prefix", BOUND, || {
        let answer = Call::get("/v1/lookup?service=orders").send(entry).ok()?;
        let lookup: Lookup = answer.json();
        Some(lookup.key_prefix).filter(|prefix| !prefix.is_empty())
    })
}

fn faults(cuts: &[AnswerCut], path: &str) -> Vec<Rule> {
    let fault = |cut: &AnswerCut| {
        let when = When::Path(format!("{path}{cut}"));
        Rule::always(when, Fault::Cut(*cut))
    };
    cuts.iter().map(fault).collect()
}

/// An entry accepts no answer whose end isn't told by its framing.
fn is_framed(cut: AnswerCut) -> bool {
    cut.framing != Framing::Close
}

/// Checks what a caller of an entry got.
#[track_caller]
fn check_entry(cut: AnswerCut, body: &[u8], got: &Result<Answer, CallError>) {
    if let Ok(answer) = got
        && !answer.status.is_success()
    {
        assert!(is_failure(answer), "{cut}: {answer:?}");
        assert!(
            !is_framed(cut) || !must_arrive(cut, body),
            "{cut}: {answer:?}"
        );
        return;
    }
    assert!(is_framed(cut), "{cut}: {got:?}");
    // An answer whose head has come begins, also if no more of it does.
    let is_silent = matches!(got, Err(CallError::NoAnswer(_)));
    assert!(!is_silent, "{cut}: {got:?}");
    check(cut, body, got, Early::Allowed);
}

/// A read's answer ends early at each endpoint of an entry.
#[test]
fn a_cut_answer_to_a_read_of_an_entry_is_no_success() {
    let cuts = cuts(64);
    let (cluster, entry) = start_entry(faults(&cuts, "/"));
    for_cuts(&cuts, |cut| {
        let path = format!("/{cut}");
        let read = Call::get(&format!("/v1/services/catalogue{path}")).bound(BOUND);
        let body = Payload::of_answer("GET", &path, b"").slice(0, 64);
        let is_this = |request: &ObservedRequest| request.path == path;
        let executions = || cluster.record().count(Stage::Executed, is_this);
        let got = until_run(
            |_| read.send(entry),
            |_| !must_arrive(cut, &body) || executions() > 0,
        );
        check_entry(cut, &body, &got);
    });
}

/// Reads the answer to a caller of HTTP/1.0, which knows no chunks, up to the end of its connection.
fn send_old(entry: SocketAddr, path: &str) -> (TcpStream, String) {
    let mut stream = TcpStream::connect(entry).expect("a connection");
    stream.set_read_timeout(Some(BOUND)).expect("a time limit");
    let target = format!("/v1/services/catalogue{path}");
    write!(stream, "GET {target} HTTP/1.0\r\nhost: a\r\n\r\n").expect("a sent request");
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        match stream.read(&mut byte) {
            Ok(1) => head.extend(byte),
            _ => break,
        }
    }
    (stream, String::from_utf8_lossy(&head).into_owned())
}

/// An answer without a length ends with the connection of a caller of HTTP/1.0. That of a cut one was closed as
/// that of a whole one is.
#[test]
fn a_cut_answer_to_a_caller_of_http_1_0_does_not_look_complete() {
    let cuts: Vec<_> = cuts(64).into_iter().filter(|cut| is_framed(*cut)).collect();
    let (_cluster, entry) = start_entry(faults(&cuts, "/"));
    let is_complete = AtomicUsize::new(0);
    for_cuts(&cuts, |cut| {
        let path = format!("/{cut}");
        let body = Payload::of_answer("GET", &path, b"").slice(0, 64);
        let is_rejected = |head: &str| head.contains(" 503 ");
        let (mut stream, head) = (0..MAX_SENDS)
            .map(|_| send_old(entry, &path))
            .find(|(_, head)| {
                let rejected = is_rejected(head);
                if rejected {
                    thread::sleep(Duration::from_millis(50));
                }
                !rejected
            })
            .expect("the request is run at last");
        let mut received = Vec::new();
        let end = stream.read_to_end(&mut received);
        if !head.contains(" 200 OK") {
            // A reset may come before what was written ahead of it is read.
            assert!(end.is_err() || head.contains(" 502 "), "{cut}: {head}");
            assert!(!must_arrive(cut, &body), "{cut}: {head}");
            return;
        }
        let is_short = head.contains("content-length: 64") && received.len() < 64;
        if end.is_ok() && !is_short {
            assert!(cut.is_whole(&body), "{cut}: {head}");
            assert_eq!(received, body, "{cut}: {head}");
            is_complete.fetch_add(1, Ordering::Relaxed);
        }
        assert!(end.is_ok() || !must_arrive(cut, &body), "{cut}: {end:?}");
    });
    let expected = Payload::of_answer("GET", "/whole", b"").slice(0, 64);
    let (mut stream, _) = send_old(entry, "/whole");
    let mut received = Vec::new();
    stream.read_to_end(&mut received).expect("a whole answer");
    assert_eq!(received, expected);
    assert!(is_complete.into_inner() > 0);
}

/// An entry is killed while such an answer is under way, and the system closes its connections.
#[test]
fn an_answer_to_a_caller_of_http_1_0_does_not_look_complete_if_the_entry_is_killed() {
    let when = When::Path("/slow".to_owned());
    let (mut cluster, entry) = start_entry([Rule::always(when, Fault::Chunked)]);
    for endpoint in &cluster.endpoints {
        endpoint
            .standin
            .script(|script| script.pace = Some(100_000));
    }
    let (mut stream, head) = send_old(entry, "/slow?bytes=10000000");
    assert!(head.contains(" 200 OK"), "{head}");
    assert!(!head.contains("content-length"), "{head}");
    stream.read_exact(&mut [0; 100]).expect("the answer begins");
    cluster.entries[0].kill();
    let end = stream.read_to_end(&mut Vec::new());
    assert!(end.is_err(), "{end:?}");
}

/// The answer to an order with a key ends early. What a resend gets isn't taken from the part that came.
#[test]
fn a_cut_answer_to_an_order_is_not_replayed() {
    let cuts = fewer_cuts(64);
    let (cluster, entry) = start_entry(faults(&cuts, "/"));
    let prefix = key_prefix(entry);
    for_cuts(&cuts, |cut| {
        let path = format!("/{cut}");
        let body = Payload::of_answer("POST", &path, ORDER.as_bytes()).slice(0, 64);
        let key = |number| format!("{prefix}{cut}-{number}");
        let executions = |number| cluster.record().executions_of(&key(number));
        let order = |number| {
            let path = format!("/v1/services/orders{path}");
            Call::post(&path, &key(number), ORDER).bound(BOUND)
        };
        let mut sent = 0;
        let got = until_run(
            |number| {
                sent = number;
                order(number).send(entry)
            },
            |number| !must_arrive(cut, &body) || executions(number) > 0,
        );
        check_entry(cut, &body, &got);
        let again = until_accepted(|| order(sent).send(entry));
        check_entry(cut, &body, &again);
        assert_eq!(executions(sent), 1, "{cut}");
    });
}

/// The same as at a gateway: the bytes of a transfer coding that isn't known are no body.
#[test]
fn an_answer_with_an_unknown_transfer_coding_is_no_success_at_an_entry() {
    let when = When::Path("/coded".to_owned());
    let (cluster, entry) = start_entry([Rule::always(when, Fault::TransferCoded)]);
    let read = Call::get("/v1/services/catalogue/coded").bound(BOUND);
    let answer = until_accepted(|| read.send(entry)).expect("an answer");
    assert_eq!(answer.status, 502, "{answer:?}");

    let key = format!("{}coded", key_prefix(entry));
    let order = Call::post("/v1/services/orders/coded", &key, ORDER).bound(BOUND);
    for _ in 0..2 {
        let answer = until_accepted(|| order.send(entry)).expect("an answer");
        assert_eq!(
            answer.header("filberthead-meaning"),
            "may-have-run",
            "{answer:?}"
        );
    }
    assert_eq!(cluster.record().executions_of(&key), 1);
}

/// A download is lost and resumed, and the answer with its rest ends early too.
#[test]
fn a_resumed_download_that_is_cut_does_not_look_complete() {
    let cuts: Vec<_> = fewer_cuts(30_000).into_iter().step_by(3).collect();
    let lost_and_cut = |cut: &AnswerCut| {
        let when = || When::Path(format!("/download/{cut}"));
        let lost = Rule::once(when(), Fault::Truncate(FIRST_PART));
        [lost, Rule::once(when(), Fault::Cut(*cut))]
    };
    let (_cluster, entry) = start_entry(cuts.iter().flat_map(lost_and_cut));
    for_cuts(&cuts, |cut| {
        let path = format!("/v1/services/catalogue/download/{cut}?bytes={LONG_BYTES}");
        let got = until_accepted(|| Call::get(&path).bound(BOUND).send(entry));
        let body = Payload::of_download(&cut.to_string(), 1).slice(0, LONG_BYTES);
        match got {
            Ok(answer) if answer.status.is_success() => assert_eq!(answer.body, body, "{cut}"),
            Ok(answer) => assert!(answer.status.is_server_error(), "{cut}: {answer:?}"),
            Err(CallError::Cut { .. } | CallError::NoAnswer(_)) => {}
            Err(e) => panic!("{cut}: {e}"),
        }
    });
}
