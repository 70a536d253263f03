//! Requests that one entry forwards to another, and callers that change entries.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use filberthead_testing::client::{Answer, Call};
use filberthead_testing::cluster::Cluster;
use filberthead_testing::standin::{Payload, Script, Stage};
use filberthead_testing::{eventually, wait_until};
use serde::Deserialize;

use crate::support::{programs, run_concurrently, set_row, start_single_replica, warm_up};

const BOUND: Duration = Duration::from_secs(60);
const ANSWER_BYTES: usize = 64;
const BODY: &str = "three rabbits";
/// Index of the entry whose failure domain loses its endpoints in the tests.
const NEAR: usize = 0;

#[derive(Debug)]
#[derive(Deserialize)]
struct Lookup {
    entries: Vec<serde_json::Value>,
    key_prefix: String,
}

/// Two failure domains of one region with two entries and two endpoints each.
fn start() -> Cluster {
    start_with(2, 2)
}

/// Two failure domains of one region with so many entries and endpoints each.
fn start_with(entries_each: usize, endpoints_each: usize) -> Cluster {
    let builder = Cluster::builder(programs())
        .places(&[("zagreb", "zagreb-a"), ("zagreb", "zagreb-b")])
        .entries_each(entries_each)
        .service("catalogue", endpoints_each)
        .entry_setting("callers", "lookup_ttl", "1s");
    let cluster = start_single_replica(builder);
    // Without a table no request leaves its failure domain.
    set_row(&cluster, "catalogue", "zagreb");
    let named = 2 * entries_each - 1;
    for entry in cluster.caller_addrs() {
        wait_until("the entries have discovered each other", BOUND, || {
            look_up(entry).is_some_and(|l| l.entries.len() >= named && !l.key_prefix.is_empty())
        });
    }
    cluster
}

fn look_up(entry: SocketAddr) -> Option<Lookup> {
    let answer = Call::get("/v1/lookup?service=catalogue").send(entry).ok()?;
    serde_json::from_slice(&answer.body).ok()
}

fn read(path: &str) -> Call {
    Call::get(&format!("/v1/services/catalogue{path}"))
}

/// Drains the endpoints of the near failure domain and waits until its entries forward
/// all requests.
fn drain_near_domain(cluster: &Cluster) {
    let near = cluster.entries[NEAR].place().clone();
    for endpoint in cluster.endpoints.iter().filter(|end| end.place == near) {
        endpoint.standin.script(|script| script.leaving = true);
    }
    let near_received = || {
        let near = cluster.endpoints.iter().filter(|end| end.place == near);
        let count = |end: &filberthead_testing::cluster::Endpoint| {
            end.standin.record().count(Stage::Received, |_| true)
        };
        near.map(count).sum::<usize>()
    };
    let entry = cluster.caller_addrs()[NEAR];
    wait_until("reads go to the other failure domain", BOUND, || {
        let before = near_received();
        let answers = run_concurrently(4, |_| read("/tricks").send(entry));
        let served = |answer: &Answer| answer.status == 200;
        near_received() == before && answers.iter().flatten().all(served)
    });
}

/// All endpoints of a failure domain are being replaced at once. Its callers still use
/// its entries, which forward the requests to the other failure domain.
#[test]
fn a_read_passes_through_two_entries() {
    let cluster = start();
    let entry = cluster.caller_addrs()[NEAR];
    warm_up(&cluster, "catalogue");
    drain_near_domain(&cluster);
    for number in 0..20 {
        let path = format!("/tricks/{number}?shelf=2");
        let answer = read(&path).send(entry).expect("an answer");
        let own = Payload::of_answer("GET", &path, b"").slice(0, ANSWER_BYTES);
        assert_eq!(answer.body, own, "{}", answer.text());
        assert_eq!(answer.result(), Some(1000));
        let id = answer.header("filberthead-request-id").to_owned();
        let passed = |seen: &filberthead_testing::standin::ObservedRequest| seen.request_id == id;
        assert_eq!(cluster.record().count(Stage::Executed, passed), 1);
    }
}

/// A download passes through two entries, and the second one is killed half way. The
/// first one must resume it from where it broke off, through another entry.
#[test]
fn a_download_resumes_when_the_forwarding_entry_is_killed() {
    const BYTES: usize = 3_000_000;
    let mut cluster = start();
    let entry = cluster.caller_addrs()[NEAR];
    warm_up(&cluster, "catalogue");
    drain_near_domain(&cluster);
    for endpoint in &cluster.endpoints {
        endpoint
            .standin
            .script(|script| script.pace = Some(500_000));
    }
    let path = format!("/download/lesson?bytes={BYTES}");
    let call = read(&path).bound(BOUND);
    let lesson = std::thread::spawn(move || call.send(entry));
    let runs = |cluster: &Cluster| {
        let record = cluster.record();
        record.count(Stage::Executed, |seen| seen.path.contains("lesson")) > 0
    };
    wait_until("the lesson has begun", BOUND, || runs(&cluster));
    let forwarder = forwarder(&mut cluster);
    cluster.entry(&forwarder).kill();
    let lesson = lesson.join().expect("no panic");
    let lesson = lesson.unwrap_or_else(|e| panic!("{e}"));
    let refused = (lesson.body.len() < 1000).then(|| lesson.text());
    assert_eq!(lesson.body.len(), BYTES, "{} {refused:?}", lesson.status);
    assert!(Payload::of_download("lesson", 1).matches(0, &lesson.body));
    let is_lesson =
        |seen: &filberthead_testing::standin::ObservedRequest| seen.path.contains("lesson");
    assert!(cluster.record().count(Stage::Executed, is_lesson) > 1);
}

/// Sends a read to the near failure domain, which forwards it, and kills the entry that
/// sent it to its endpoint before the answer begins.
fn kill_forwarder(cluster: &mut Cluster, call: Call) -> Answer {
    let entry = cluster.caller_addrs()[NEAR];
    warm_up(cluster, "catalogue");
    drain_near_domain(cluster);
    for endpoint in &cluster.endpoints {
        let slow = |script: &mut Script| script.service_time = Duration::from_secs(1);
        endpoint.standin.script(slow);
    }
    let read_thread = std::thread::spawn(move || call.bound(BOUND).send(entry));
    wait_until("the read runs", BOUND, || {
        let record = cluster.record();
        record.count(Stage::Executed, |seen| seen.path == "/slow") > 0
    });
    let forwarder = forwarder(cluster);
    cluster.entry(&forwarder).kill();
    let answer = read_thread.join().expect("no panic");
    answer.unwrap_or_else(|e| panic!("{e}"))
}

fn waited_for_takeover(cluster: &Cluster) -> bool {
    let log = cluster.entries[NEAR].process_ref().log();
    log.contains("waits for the next owner of its endpoints")
}

/// A read is at the only entry that admits requests to the only endpoint left, and that
/// entry is killed before the answer begins. Nothing is admitted to the endpoint until a
/// neighbour has taken over, some seconds later. The caller got 502 at once: "refused ...
/// code=1301 why=1202 touched=true tried=1". A read can safely run again, so it waits for
/// the takeover.
#[test]
fn a_read_whose_entry_is_killed_waits_for_the_takeover() {
    let mut cluster = start_with(2, 1);
    let answer = kill_forwarder(&mut cluster, read("/slow"));
    assert_eq!(answer.status, 200, "{}", answer.text());
    let own = Payload::of_answer("GET", "/slow", b"").slice(0, ANSWER_BYTES);
    assert_eq!(answer.body, own);
    assert!(waited_for_takeover(&cluster));
}

/// As above, but the killed entry was alone in its failure domain, so no entry takes
/// over. The caller learns at once that the read may have run, and can go elsewhere.
#[test]
fn a_read_without_a_successor_does_not_wait() {
    let mut cluster = start_with(1, 1);
    let answer = kill_forwarder(&mut cluster, read("/slow"));
    assert_eq!(answer.result(), Some(1301), "{}", answer.text());
    assert!(!waited_for_takeover(&cluster));
}

/// As above, with a deadline before any lease can have expired. Waiting would only keep
/// the caller from going elsewhere.
#[test]
fn a_read_that_ends_before_the_takeover_does_not_wait() {
    let mut cluster = start_with(2, 1);
    let call = read("/slow").header("filberthead-timeout-ms", "2400");
    let answer = kill_forwarder(&mut cluster, call);
    assert!(
        matches!(answer.result(), Some(1300 | 1301)),
        "{}",
        answer.text()
    );
    assert!(!waited_for_takeover(&cluster));
}

/// The entry of the far failure domain that has a request in progress.
fn forwarder(cluster: &mut Cluster) -> String {
    let near = cluster.entries[NEAR].place().clone();
    let far: Vec<_> = cluster
        .entries
        .iter()
        .filter(|entry| *entry.place() != near)
        .map(|entry| (entry.name().to_owned(), entry.direct_addr("status")))
        .collect();
    eventually("an entry forwards the request", BOUND, || {
        let busy = |addr: &SocketAddr| {
            let status = Call::get("/status").send(*addr).ok()?;
            let status: serde_json::Value = status.json();
            status["running"].as_u64().filter(|running| *running > 0)
        };
        let found = far.iter().find(|(_, addr)| busy(addr).is_some());
        found.map(|(name, _)| name.clone())
    })
}

/// Where a caller loses its connection while it sends an order and gets the answer.
#[derive(Clone, Copy, Debug)]
enum Cut {
    InHead,
    InBody,
    BeforeAnswer,
    InAnswer,
}

/// Sends an order over a connection that is cut at `cut`, and returns once it is.
fn send_and_cut(entry: SocketAddr, key: &str, cut: Cut) {
    let head = format!(
        "POST /v1/services/catalogue/place HTTP/1.1\r\nhost: a\r\nidempotency-key: {key}\r\n\
         content-length: {}\r\n\r\n",
        BODY.len()
    );
    let request = format!("{head}{BODY}");
    let sent = match cut {
        Cut::InHead => head.len() / 2,
        Cut::InBody => head.len() + BODY.len() / 2,
        Cut::BeforeAnswer | Cut::InAnswer => request.len(),
    };
    let mut stream = TcpStream::connect(entry).expect("a connection");
    stream
        .write_all(&request.as_bytes()[..sent])
        .expect("a sent part");
    if matches!(cut, Cut::InAnswer) {
        let mut buf = [0; 32];
        stream.read_exact(&mut buf).expect("the answer begins");
    }
}

/// A caller loses its connection somewhere between the first byte of an order and the
/// last one of its answer, and resends the order to another entry. However far the first
/// one got, the order is placed once, and the caller gets its answer.
#[test]
fn an_order_cut_at_any_stage_and_resent_to_another_entry_is_placed_once() {
    let cluster = start();
    let entries = cluster.caller_addrs();
    warm_up(&cluster, "catalogue");
    for cut in [Cut::InHead, Cut::InBody, Cut::BeforeAnswer, Cut::InAnswer] {
        let prefix = look_up(entries[0]).expect("a look-up").key_prefix;
        let key = format!("{prefix}{cut:?}");
        send_and_cut(entries[0], &key, cut);
        let order = Call::post("/v1/services/catalogue/place", &key, BODY);
        let answer = order.resend(&entries[1..], 200).expect("an answer");
        let own = Payload::of_answer("POST", "/place", BODY.as_bytes());
        assert_eq!(
            answer.body,
            own.slice(0, ANSWER_BYTES),
            "{cut:?}: {}",
            answer.text()
        );
        assert_eq!(cluster.record().executions_of(&key), 1, "{cut:?}");
    }
}

/// A caller sends the same order to all entries at the same moment. One of them places
/// it, and all give the same answer.
#[test]
fn an_order_sent_to_all_entries_at_once_is_placed_once() {
    let cluster = start();
    let entries = cluster.caller_addrs();
    warm_up(&cluster, "catalogue");
    let prefix = look_up(entries[0]).expect("a look-up").key_prefix;
    let key = format!("{prefix}all");
    let order = Call::post("/v1/services/catalogue/place", &key, BODY);
    let answers = run_concurrently(2 * entries.len(), |number| {
        order.send(entries[number % entries.len()])
    });
    let own = Payload::of_answer("POST", "/place", BODY.as_bytes()).slice(0, ANSWER_BYTES);
    for answer in answers {
        let answer = answer.expect("an answer");
        assert_eq!(answer.body, own, "{}", answer.text());
        assert!(matches!(answer.result(), Some(1000 | 1001)));
    }
    assert_eq!(cluster.record().executions_of(&key), 1);
}
