//! Homes of idempotency keys: several entries, killed, stopped and cut off.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use filberthead_testing::client::{Answer, Call};
use filberthead_testing::cluster::{Cluster, Node};
use filberthead_testing::standin::{Fault, ObservedRequest, Rule, Stage, When};
use filberthead_testing::{eventually, wait_until};
use serde::Deserialize;

use crate::support::{init, programs};

const BOUND: Duration = Duration::from_secs(120);
/// Holds the homes of most tests, has the backup in the next one.
const HOLDER: &str = "entry-zagreb-a-1";
const BACKUP: &str = "entry-zagreb-a-2";
const ELSEWHERE: &str = "entry-split-a-1";

const REPLAYED: Option<u16> = Some(1001);
const HOME_UNREACHABLE: Option<u16> = Some(1204);
const OUTCOME_UNKNOWN: Option<u16> = Some(1302);
const HOME_LOST_RECORDS: Option<u16> = Some(1303);

#[derive(Debug)]
#[derive(Deserialize)]
struct Lookup {
    key_prefix: String,
}

/// Two entries in each of two failure domains, a control replica, and endpoints.
struct Site {
    cluster: Cluster,
}

impl Site {
    fn start() -> Self {
        let mut cluster = Cluster::builder(programs())
            .places(&[("zagreb", "zagreb-a"), ("split", "split-a")])
            .replicas(1)
            .entries_each(2)
            .service("orders", 2)
            .entry_setting("callers", "lookup_ttl", "1s")
            .prepare();
        cluster.controls.iter_mut().for_each(Node::start);
        init(&cluster);
        cluster.entries.iter_mut().for_each(Node::spawn);
        cluster.entries.iter_mut().for_each(Node::wait_ready);
        let mut site = Self { cluster };
        site.settle();
        site
    }

    /// Waits until each entry hands out a prefix and passes orders on to the holder.
    fn settle(&mut self) {
        for name in [HOLDER, BACKUP, ELSEWHERE] {
            let addr = self.addr(name);
            wait_until("the entry hands out a prefix", BOUND, || {
                look_up(addr).is_some_and(|lookup| !lookup.key_prefix.is_empty())
            });
        }
        for name in [HOLDER, BACKUP, ELSEWHERE] {
            let addr = self.addr(name);
            let holder = self.addr(HOLDER);
            let mut sent = 0;
            wait_until("orders reach the holder", BOUND, || {
                let prefix = look_up(holder).expect("a look-up").key_prefix;
                // While nobody has slots an order is refused, for good under its key.
                sent += 1;
                let key = format!("{prefix}{name}-{sent}");
                let warm_up = Call::post("/v1/services/orders/warm-up", &key, "");
                let answer = warm_up.send(addr).expect("an answer");
                matches!(answer.result(), Some(1000 | 1001))
            });
        }
    }

    fn addr(&mut self, entry: &str) -> SocketAddr {
        self.cluster.entry(entry).addr("caller")
    }

    /// A key whose home is held by an entry.
    fn key(&mut self, entry: &str, rest: &str) -> String {
        let lookup = look_up(self.addr(entry)).expect("a look-up");
        format!("{}{rest}", lookup.key_prefix)
    }

    fn send(&mut self, entry: &str, key: &str) -> Answer {
        let addr = self.addr(entry);
        order(key).send(addr).expect("an answer")
    }

    /// Resends until the answer has this code. What comes before must not say "not run".
    fn resend_until(&mut self, entry: &str, key: &str, code: Option<u16>) -> Answer {
        let addr = self.addr(entry);
        eventually("the resend has its answer", BOUND, || {
            let answer = order(key).send(addr).ok()?;
            assert!(!answer.is_not_run(), "{}", answer.text());
            (answer.result() == code).then_some(answer)
        })
    }

    /// Makes all endpoints answer orders late.
    fn slow(&self, late: Duration) {
        for endpoint in &self.cluster.endpoints {
            let when = When::Path("/place".to_owned());
            endpoint.standin.rule(Rule::always(when, Fault::Late(late)));
        }
    }

    fn executions(&self, key: &str) -> usize {
        self.cluster.record().executions_of(key)
    }

    /// Starts an order, whose answer nobody reads, and waits until an endpoint runs it.
    fn running(&mut self, entry: &str, key: &str) -> TcpStream {
        let mut till = TcpStream::connect(self.addr(entry)).expect("a connection");
        let head = "POST /v1/services/orders/place HTTP/1.1\r\nhost: a\r\ncontent-length: 13";
        write!(
            till,
            "{head}\r\nidempotency-key: {key}\r\n\r\nthree rabbits"
        )
        .expect("sent");
        wait_until("the order runs", BOUND, || self.executions(key) == 1);
        till
    }
}

fn look_up(entry: SocketAddr) -> Option<Lookup> {
    let answer = Call::get("/v1/lookup?service=orders").send(entry).ok()?;
    (answer.status == 200).then(|| answer.json())
}

fn order(key: &str) -> Call {
    Call::post("/v1/services/orders/place", key, "three rabbits")
}

/// A shop owner's answer is lost. Her till resends at another entry, in another failure
/// domain, and gets the first run's answer, byte for byte.
#[test]
fn a_resend_at_another_entry_gets_the_first_answer() {
    let mut site = Site::start();
    let key = site.key(HOLDER, "a");
    let first = site.send(HOLDER, &key);
    assert_eq!(first.result(), Some(1000), "{}", first.text());
    for entry in [BACKUP, ELSEWHERE] {
        let again = site.send(entry, &key);
        assert_eq!(again.result(), REPLAYED, "{}", again.text());
        assert_eq!(again.body, first.body);
    }
    assert_eq!(site.executions(&key), 1);
}

/// An entry loses its power after an order was answered. The till, which lost the answer,
/// resends at once elsewhere, and gets it from the backup once that has taken over.
#[test]
fn a_finished_order_survives_its_entry() {
    let mut site = Site::start();
    let key = site.key(HOLDER, "a");
    let first = site.send(HOLDER, &key);
    assert_eq!(first.result(), Some(1000), "{}", first.text());
    // The answer is copied after it was told; a resend through the backup shows it there.
    let copied = site.send(BACKUP, &key);
    assert_eq!(copied.result(), REPLAYED);
    site.cluster.entry(HOLDER).kill();
    let again = site.resend_until(ELSEWHERE, &key, REPLAYED);
    assert_eq!(again.body, first.body);
    assert_eq!(site.executions(&key), 1);
}

/// An entry loses its power while an order runs. The backup can't know whether it was
/// placed; it says so, and neither places it again nor says that it was not.
#[test]
fn a_running_order_is_not_placed_again_when_its_entry_dies() {
    let mut site = Site::start();
    site.slow(Duration::from_secs(20));
    let key = site.key(HOLDER, "a");
    let till = site.running(HOLDER, &key);
    site.cluster.entry(HOLDER).kill();
    drop(till);
    site.resend_until(ELSEWHERE, &key, OUTCOME_UNKNOWN);
    site.resend_until(BACKUP, &key, OUTCOME_UNKNOWN);
    assert_eq!(site.executions(&key), 1);
}

/// An entry is stopped in order while an order runs and a till holds a cached prefix.
/// The running order is answered, the till's order is placed elsewhere, the resend gets
/// its answer from the successor, and nobody notices.
#[test]
fn a_planned_stop_hands_the_home_over() {
    let mut site = Site::start();
    let running = site.key(HOLDER, "running");
    let cached = site.key(HOLDER, "cached");
    site.slow(Duration::from_secs(2));
    let till = site.running(HOLDER, &running);
    site.cluster.entry(HOLDER).process().terminate();
    let placed = site.send(ELSEWHERE, &cached);
    assert!(
        matches!(placed.result(), Some(1000 | 1001)),
        "{}",
        placed.text()
    );
    let status = site.cluster.entry(HOLDER).process().wait_exit();
    assert!(status.success(), "{status:?}");
    drop(till);
    let again = site.send(ELSEWHERE, &running);
    assert_eq!(again.result(), REPLAYED, "{}", again.text());
    assert_eq!(site.executions(&running), 1);
    assert_eq!(site.executions(&cached), 1);
}

/// A failure domain is cut off from all others and from control. Orders made there go on
/// there. The same order sent elsewhere is refused without the word "not run".
#[test]
fn a_failure_domain_that_is_cut_off_serves_its_own_keys() {
    let mut site = Site::start();
    let key = site.key(HOLDER, "a");
    let inside: &[&str] = &[HOLDER, BACKUP];
    let outside: &[&str] = &[ELSEWHERE, "entry-split-a-2", "control-1"];
    site.cluster.network.partition(&[inside, outside]);
    let refused = site.resend_until(ELSEWHERE, &key, HOME_UNREACHABLE);
    assert_eq!(refused.header("filberthead-meaning"), "may-have-run");
    assert_eq!(site.executions(&key), 0);
    let first = site.send(BACKUP, &key);
    assert_eq!(first.result(), Some(1000), "{}", first.text());
    site.cluster.network.heal();
    let again = site.resend_until(ELSEWHERE, &key, REPLAYED);
    assert_eq!(again.body, first.body);
    assert_eq!(site.executions(&key), 1);
}

/// Both entries of a failure domain lose their power and come back without any record.
/// The resend of an order from before gets the only true answer.
#[test]
fn a_home_that_lost_its_records_places_nothing() {
    let mut site = Site::start();
    let key = site.key(HOLDER, "a");
    let first = site.send(HOLDER, &key);
    assert_eq!(first.result(), Some(1000), "{}", first.text());
    for entry in [HOLDER, BACKUP] {
        site.cluster.entry(entry).kill();
    }
    for entry in [HOLDER, BACKUP] {
        site.cluster.entry(entry).start();
    }
    for entry in [HOLDER, ELSEWHERE] {
        site.resend_until(entry, &key, HOME_LOST_RECORDS);
    }
    let fresh = site.key(HOLDER, "fresh");
    assert_ne!(fresh, key);
    let placed = |seen: &ObservedRequest| seen.path == "/place";
    assert_eq!(site.cluster.record().count(Stage::Executed, placed), 1);
}
