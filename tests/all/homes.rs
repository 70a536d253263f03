//! Homes of idempotency keys: several entries, killed, stopped and partitioned.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use filberthead_testing::client::{Answer, Call};
use filberthead_testing::cluster::{Cluster, Node};
use filberthead_testing::proxy::Flow;
use filberthead_testing::standin::{Fault, ObservedRequest, Rule, Stage, When};
use filberthead_testing::{eventually, wait_until};
use serde::Deserialize;

use crate::support::{init, programs};

const BOUND: Duration = Duration::from_secs(120);
/// Time between two reads of a caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(5);
/// Time in which endpoints have moved to an entry that has started.
const OWNERSHIP_CHANGE: Duration = Duration::from_secs(6);
/// Delay of the notices of a planned stop.
const NOTICE_DELAY: Duration = Duration::from_secs(2);
/// Primary of the homes in most tests; its backup is [`BACKUP`].
const PRIMARY: &str = "entry-zagreb-a-1";
const BACKUP: &str = "entry-zagreb-a-2";
/// An entry of the other failure domain.
const REMOTE: &str = "entry-split-a-1";

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
        site.wait_settled();
        site
    }

    /// Waits until each entry returns a key prefix and forwards orders to the primary.
    fn wait_settled(&mut self) {
        for name in [PRIMARY, BACKUP, REMOTE] {
            let addr = self.addr(name);
            wait_until("the entry returns a prefix", BOUND, || {
                look_up(addr).is_some_and(|lookup| !lookup.key_prefix.is_empty())
            });
        }
        for name in [PRIMARY, BACKUP, REMOTE] {
            let addr = self.addr(name);
            let primary = self.addr(PRIMARY);
            let mut sent = 0;
            wait_until("orders reach the primary", BOUND, || {
                let prefix = look_up(primary).expect("a look-up").key_prefix;
                // Without free slots an order is refused, permanently under its key.
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

    /// A key whose home is the one that this entry's look-up returns.
    fn key(&mut self, entry: &str, suffix: &str) -> String {
        let lookup = look_up(self.addr(entry)).expect("a look-up");
        format!("{}{suffix}", lookup.key_prefix)
    }

    fn send(&mut self, entry: &str, key: &str) -> Answer {
        let addr = self.addr(entry);
        order(key).send(addr).expect("an answer")
    }

    /// Resends until the answer has this code. No earlier answer may say "not run".
    fn resend_until(&mut self, entry: &str, key: &str, code: Option<u16>) -> Answer {
        let addr = self.addr(entry);
        eventually("the resend gets the expected code", BOUND, || {
            let answer = order(key).send(addr).ok()?;
            assert!(!answer.is_not_run(), "{}", answer.text());
            (answer.result() == code).then_some(answer)
        })
    }

    /// Makes all endpoints answer orders late.
    fn delay_orders(&self, delay: Duration) {
        for endpoint in &self.cluster.endpoints {
            let when = When::Path("/place".to_owned());
            endpoint
                .standin
                .rule(Rule::always(when, Fault::Late(delay)));
        }
    }

    fn executions(&self, key: &str) -> usize {
        self.cluster.record().executions_of(key)
    }

    /// Sends an order without reading its answer, and waits until an endpoint runs it.
    fn start_order(&mut self, entry: &str, key: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.addr(entry)).expect("a connection");
        let head = "POST /v1/services/orders/place HTTP/1.1\r\nhost: a\r\ncontent-length: 13";
        write!(
            stream,
            "{head}\r\nidempotency-key: {key}\r\n\r\nthree rabbits"
        )
        .expect("sent");
        wait_until("the order runs", BOUND, || self.executions(key) == 1);
        stream
    }
}

/// Reads sent to an entry, one after the other, until it is dropped.
struct Requests {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Vec<String>>,
}

impl Requests {
    fn start(entry: SocketAddr) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let thread = std::thread::spawn(move || {
            let mut refused = Vec::new();
            while !stopped.load(Ordering::SeqCst) {
                let answer = Call::get("/v1/services/orders/read").send(entry);
                let answer = answer.expect("an answer");
                if answer.result() != Some(1000) {
                    refused.push(answer.text());
                }
                std::thread::sleep(REQUEST_INTERVAL);
            }
            refused
        });
        Self { stop, thread }
    }

    /// Stops, and returns the answers of requests that weren't served.
    fn refused(self) -> Vec<String> {
        self.stop.store(true, Ordering::SeqCst);
        self.thread.join().expect("each request is answered")
    }
}

fn look_up(entry: SocketAddr) -> Option<Lookup> {
    let answer = Call::get("/v1/lookup?service=orders").send(entry).ok()?;
    (answer.status == 200).then(|| answer.json())
}

fn order(key: &str) -> Call {
    Call::post("/v1/services/orders/place", key, "three rabbits")
}

/// A caller's answer is lost. It resends to another entry, also in another failure
/// domain, and gets the first run's answer, byte for byte.
#[test]
fn a_resend_at_another_entry_gets_the_first_answer() {
    let mut site = Site::start();
    let key = site.key(PRIMARY, "a");
    let first = site.send(PRIMARY, &key);
    assert_eq!(first.result(), Some(1000), "{}", first.text());
    for entry in [BACKUP, REMOTE] {
        let resent = site.send(entry, &key);
        assert_eq!(resent.result(), REPLAYED, "{}", resent.text());
        assert_eq!(resent.body, first.body);
    }
    assert_eq!(site.executions(&key), 1);
}

/// An entry loses power after an order was answered. The caller, which lost the answer,
/// resends at once to another entry, and gets it from the backup once that has taken
/// over.
#[test]
fn a_finished_order_survives_its_entry() {
    let mut site = Site::start();
    let key = site.key(PRIMARY, "a");
    let first = site.send(PRIMARY, &key);
    assert_eq!(first.result(), Some(1000), "{}", first.text());
    // The answer is copied after it was sent; a resend through the backup shows that it is there.
    let copied = site.send(BACKUP, &key);
    assert_eq!(copied.result(), REPLAYED);
    site.cluster.entry(PRIMARY).kill();
    let resent = site.resend_until(REMOTE, &key, REPLAYED);
    assert_eq!(resent.body, first.body);
    assert_eq!(site.executions(&key), 1);
}

/// An entry loses power while an order runs. The backup can't tell whether it was placed;
/// it answers so, and neither places it again nor answers "not run".
#[test]
fn a_running_order_is_not_placed_again_when_its_entry_dies() {
    let mut site = Site::start();
    site.delay_orders(Duration::from_secs(20));
    let key = site.key(PRIMARY, "a");
    let stream = site.start_order(PRIMARY, &key);
    site.cluster.entry(PRIMARY).kill();
    drop(stream);
    site.resend_until(REMOTE, &key, OUTCOME_UNKNOWN);
    site.resend_until(BACKUP, &key, OUTCOME_UNKNOWN);
    assert_eq!(site.executions(&key), 1);
}

/// An entry is stopped while an order runs and a caller holds a cached prefix. The
/// running order is answered, the order under the cached prefix is placed through another
/// entry, and the resend gets its answer from the successor; no caller is affected.
#[test]
fn a_planned_stop_hands_the_home_over() {
    let mut site = Site::start();
    let running = site.key(PRIMARY, "running");
    let cached = site.key(PRIMARY, "cached");
    site.delay_orders(Duration::from_secs(2));
    let stream = site.start_order(PRIMARY, &running);
    site.cluster.entry(PRIMARY).process().terminate();
    let placed = site.send(REMOTE, &cached);
    assert!(
        matches!(placed.result(), Some(1000 | 1001)),
        "{}",
        placed.text()
    );
    let status = site.cluster.entry(PRIMARY).process().wait_exit();
    assert!(status.success(), "{status:?}");
    drop(stream);
    let resent = site.send(REMOTE, &running);
    assert_eq!(resent.result(), REPLAYED, "{}", resent.text());
    assert_eq!(site.executions(&running), 1);
    assert_eq!(site.executions(&cached), 1);
}

/// The notice of a planned stop, or the first report of the successor, arrives late. Every
/// resend must get the stored answer meanwhile.
fn stop_with_late_link(from: &str, to: &str) {
    let mut site = Site::start();
    let key = site.key(PRIMARY, "a");
    let first = site.send(PRIMARY, &key);
    assert_eq!(first.result(), Some(1000), "{}", first.text());
    let late = Flow::Delay(NOTICE_DELAY);
    site.cluster.network.set(from, to, late);
    let status = site.cluster.entry(PRIMARY).stop();
    assert!(status.success(), "{status:?}");
    let stopped_at = Instant::now();
    while stopped_at.elapsed() < OWNERSHIP_CHANGE {
        let resent = site.send(REMOTE, &key);
        assert_eq!(resent.result(), REPLAYED, "{}", resent.text());
        assert_eq!(resent.body, first.body);
    }
    assert_eq!(site.executions(&key), 1);
}

/// Control learns late that the successor reports for the failure domain.
#[test]
fn a_planned_stop_hands_the_home_over_when_its_successor_reports_late() {
    stop_with_late_link(BACKUP, "control-1");
}

/// The successor learns late that its relay has stopped, and control in time.
#[test]
fn a_planned_stop_hands_the_home_over_when_its_successor_is_told_late() {
    stop_with_late_link(PRIMARY, BACKUP);
}

/// Control learns late that an entry has stopped, and the successor in time.
#[test]
fn a_planned_stop_hands_the_home_over_when_control_is_told_late() {
    stop_with_late_link(PRIMARY, "control-1");
}

/// An entry of another failure domain learns late that the home has moved.
#[test]
fn a_planned_stop_hands_the_home_over_when_other_domains_are_told_late() {
    stop_with_late_link("control-1", REMOTE);
}

/// A failure domain is partitioned from all others and from control. Orders sent to it
/// still run there. The same order sent to another domain is refused as "may-have-run",
/// not "not-run".
#[test]
fn a_failure_domain_that_is_cut_off_serves_its_own_keys() {
    let mut site = Site::start();
    let key = site.key(PRIMARY, "a");
    let inside: &[&str] = &[PRIMARY, BACKUP];
    let outside: &[&str] = &[REMOTE, "entry-split-a-2", "control-1"];
    site.cluster.network.partition(&[inside, outside]);
    let refused = site.resend_until(REMOTE, &key, HOME_UNREACHABLE);
    assert_eq!(refused.header("filberthead-meaning"), "may-have-run");
    assert_eq!(site.executions(&key), 0);
    let first = site.send(BACKUP, &key);
    assert_eq!(first.result(), Some(1000), "{}", first.text());
    site.cluster.network.heal();
    let resent = site.resend_until(REMOTE, &key, REPLAYED);
    assert_eq!(resent.body, first.body);
    assert_eq!(site.executions(&key), 1);
}

/// Both entries of a failure domain lose power and restart without any record. The resend
/// of an earlier order is answered that the records are lost.
#[test]
fn a_home_that_lost_its_records_places_nothing() {
    let mut site = Site::start();
    let key = site.key(PRIMARY, "a");
    let first = site.send(PRIMARY, &key);
    assert_eq!(first.result(), Some(1000), "{}", first.text());
    for entry in [PRIMARY, BACKUP] {
        site.cluster.entry(entry).kill();
    }
    for entry in [PRIMARY, BACKUP] {
        site.cluster.entry(entry).start();
    }
    for entry in [PRIMARY, REMOTE] {
        site.resend_until(entry, &key, HOME_LOST_RECORDS);
    }
    let fresh = site.key(PRIMARY, "fresh");
    assert_ne!(fresh, key);
    let placed = |seen: &ObservedRequest| seen.path == "/place";
    assert_eq!(site.cluster.record().count(Stage::Executed, placed), 1);
}

/// An entry joins and takes over endpoints of its failure domain, or hands them over in a planned
/// stop: requests must wait for the new owner instead of being refused.
#[test]
fn requests_are_served_while_endpoints_change_their_owner() {
    let mut site = Site::start();
    let entries = [PRIMARY, BACKUP];
    for moving in entries {
        let staying = if moving == PRIMARY { BACKUP } else { PRIMARY };
        let requests = Requests::start(site.addr(staying));
        let status = site.cluster.entry(moving).stop();
        assert!(status.success(), "{status:?}");
        site.cluster.entry(moving).start();
        std::thread::sleep(OWNERSHIP_CHANGE);
        assert_eq!(requests.refused(), Vec::<String>::new());
    }
}
