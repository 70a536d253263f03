//! Orders: requests under an idempotency key, at one entry.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use filberthead_testing::client::{Answer, Call, CallError};
use filberthead_testing::cluster::{Builder, Cluster};
use filberthead_testing::standin::{Fault, Rule, When};
use filberthead_testing::{ClosedPort, eventually, wait_until};
use serde::Deserialize;

use crate::support::programs;

const BOUND: Duration = Duration::from_secs(120);

#[derive(Debug)]
#[derive(Deserialize)]
struct Lookup {
    key_prefix: String,
}

fn one_domain() -> Builder {
    Cluster::builder(programs())
        .places(&[("zagreb", "zagreb-a")])
        .service("orders", 2)
}

/// A cluster of one entry that accepts orders.
fn start() -> (Cluster, SocketAddr) {
    let mut cluster = one_domain().prepare();
    let entry = start_entry(&mut cluster);
    (cluster, entry)
}

fn start_entry(cluster: &mut Cluster) -> SocketAddr {
    cluster.entries[0].start();
    let entry = cluster.entries[0].addr("caller");
    let read = Call::get("/v1/services/orders/warm-up");
    wait_until("the endpoints are in use", BOUND, || {
        read.send(entry).is_ok_and(|answer| answer.status == 200)
    });
    entry
}

/// A key under the prefix of a look-up at `entry`.
fn key(entry: SocketAddr, suffix: &str) -> String {
    let prefix = eventually("the entry returns a prefix", BOUND, || {
        let answer = Call::get("/v1/lookup?service=orders").send(entry).ok()?;
        let lookup: Lookup = answer.json();
        Some(lookup.key_prefix).filter(|prefix| !prefix.is_empty())
    });
    format!("{prefix}{suffix}")
}

fn order(key: &str) -> Call {
    Call::post("/v1/services/orders/place", key, "three rabbits")
}

fn expect_answer(answer: Result<Answer, CallError>) -> Answer {
    answer.expect("an answer")
}

/// Sends orders until an endpoint has a slot for one; each refusal needs another key.
fn placed(entry: SocketAddr, suffix: &str) -> (String, Answer) {
    eventually("an order is placed", BOUND, || {
        let key = key(entry, suffix);
        let answer = expect_answer(order(&key).send(entry));
        Some((key, answer)).filter(|(_, answer)| answer.result() == Some(1000))
    })
}

#[test]
fn a_resend_gets_the_stored_answer() {
    let (cluster, entry) = start();
    let (placed, first) = placed(entry, "a");
    let resent = expect_answer(order(&placed).send(entry));
    assert_eq!(resent.result(), Some(1001));
    assert_eq!(resent.header("filberthead-key-prefix"), key(entry, ""));
    assert_eq!(resent.status, first.status);
    assert_eq!(resent.body, first.body);
    assert_eq!(cluster.record().executions_of(&placed), 1);
}

/// A caller corrects an order and sends it under the old key. It must not get the old
/// order's answer.
#[test]
fn another_body_under_the_same_key_is_refused() {
    let (cluster, entry) = start();
    let (key, _) = placed(entry, "a");
    let other = Call::post("/v1/services/orders/place", &key, "four rabbits");
    assert_eq!(expect_answer(other.send(entry)).result(), Some(1102));
    assert_eq!(cluster.record().executions_of(&key), 1);
}

/// A caller makes up its own keys. It can't be known where such a key was sent before, so
/// it never runs; the refusal returns a prefix to use.
#[test]
fn a_key_without_a_prefix_never_runs() {
    let (cluster, entry) = start();
    let prefix = key(entry, "");
    let refused = expect_answer(order("order-17").send(entry));
    assert_eq!(refused.result(), Some(1105));
    assert_eq!(refused.header("filberthead-key-prefix"), prefix);
    assert_eq!(refused.header("filberthead-meaning"), "not-run");
    let missing = Call::new("POST", "/v1/services/orders/place").send(entry);
    let missing = expect_answer(missing);
    assert_eq!(missing.result(), Some(1101));
    assert_eq!(missing.header("filberthead-key-prefix"), prefix);
    assert_eq!(cluster.record().executions_of("order-17"), 0);
}

/// The endpoint dies after it placed an order and before it answered. The caller resends;
/// the order must not be placed at the other endpoint as well.
#[test]
fn an_order_whose_endpoint_died_is_not_placed_again() {
    let (cluster, entry) = start();
    for endpoint in &cluster.endpoints {
        let when = When::Path("/place".to_owned());
        endpoint.standin.rule(Rule::always(when, Fault::CrashAfter));
    }
    let key = key(entry, "a");
    let lost = expect_answer(order(&key).send(entry));
    assert_eq!(lost.header("filberthead-meaning"), "may-have-run");
    for _ in 0..5 {
        let resent = expect_answer(order(&key).send(entry));
        assert_eq!(resent.result(), Some(1302), "{}", resent.text());
    }
    assert_eq!(cluster.record().executions_of(&key), 1);
}

/// A caller's connection is cut while its order runs, and it resends at once. The resend
/// waits for the running order and gets its answer.
#[test]
fn a_resend_waits_for_the_running_order() {
    let (cluster, entry) = start();
    for endpoint in &cluster.endpoints {
        let when = When::Path("/place".to_owned());
        let slow = Fault::Late(Duration::from_secs(1));
        endpoint.standin.rule(Rule::always(when, slow));
    }
    let key = key(entry, "a");
    let mut stream = TcpStream::connect(entry).expect("a connection");
    let head = "POST /v1/services/orders/place HTTP/1.1\r\nhost: a\r\ncontent-length: 13";
    write!(
        stream,
        "{head}\r\nidempotency-key: {key}\r\n\r\nthree rabbits"
    )
    .expect("a sent order");
    let executions = || cluster.record().executions_of(&key);
    wait_until("the order runs", BOUND, || executions() == 1);
    drop(stream);
    let resent = expect_answer(order(&key).send(entry));
    assert_eq!(resent.result(), Some(1001));
    assert_eq!(executions(), 1);
}

/// Ten callers send the same order at the same moment. It is placed once, and each gets
/// that outcome or that the order is running.
#[test]
fn the_same_order_ten_times_at_once_is_placed_once() {
    let (cluster, entry) = start();
    for endpoint in &cluster.endpoints {
        let when = When::Path("/place".to_owned());
        let slow = Fault::Late(Duration::from_millis(200));
        endpoint.standin.rule(Rule::always(when, slow));
    }
    let key = key(entry, "a");
    let answers: Vec<_> = std::thread::scope(|scope| {
        let send = || scope.spawn(|| expect_answer(order(&key).send(entry)));
        let sent: Vec<_> = (0..10).map(|_| send()).collect();
        let ended = sent.into_iter().map(|thread| thread.join());
        ended.map(|answer| answer.expect("no panic")).collect()
    });
    let with = |code| answers.iter().filter(|a| a.result() == Some(code)).count();
    assert_eq!(with(1000), 1);
    // Resends above the limit of waiting ones get the code for a running order.
    assert_eq!(with(1001) + with(1304), 9);
    assert_eq!(cluster.record().executions_of(&key), 1);
}

/// The only endpoint for bookings refuses connections. The caller gets "not run", and
/// that must stay true when the endpoint is back and the booking is resent.
#[test]
fn a_refused_booking_never_runs() {
    let mut cluster = one_domain().prepare();
    let gone = ClosedPort::bind();
    cluster.entries[0]
        .settings()
        .set("endpoint gone", "service", "bookings")
        .set("endpoint gone", "address", gone.addr());
    let entry = start_entry(&mut cluster);
    let key = key(entry, "a");
    let booking = Call::post("/v1/services/bookings/book", &key, "two seats");
    let refused = expect_answer(booking.send(entry));
    assert_eq!(
        refused.header("filberthead-meaning"),
        "not-run",
        "{}",
        refused.text()
    );
    let back = gone.listen();
    back.set_nonblocking(true).expect("a socket");
    for _ in 0..5 {
        let resent = expect_answer(booking.send(entry));
        assert_eq!(resent.result(), refused.result());
    }
    // Health checks may arrive; a booking must not.
    while let Ok((mut stream, _)) = back.accept() {
        let mut buf = [0; 4];
        let read = stream.read(&mut buf).unwrap_or(0);
        assert_ne!(&buf[..read], b"POST");
    }
}
