//! Limits over a change of control's leader, with entries that can't reach the next one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use filberthead_operator::Status;
use filberthead_testing::client::Call;
use filberthead_testing::cluster::Cluster;
use filberthead_testing::operator::Operator;
use filberthead_testing::standin::{Fault, Record, Rule, When};
use filberthead_testing::{eventually, wait_until};

use super::session::Session;
use crate::support::programs;

const BOUND: Duration = Duration::from_secs(120);
/// Most requests that may run at once.
const LIMIT: usize = 4;
/// Time that an endpoint takes for a request.
const WORK: Duration = Duration::from_secs(1);
/// Longer than a new leader waits for what its predecessor granted.
const WATCHED: Duration = Duration::from_secs(15);
const CALLERS_EACH: usize = 6;
/// Members of the failure domain that lose control, and one that joins later.
const CUT_OFF: [&str; 2] = ["entry-split-a-1", "entry-split-a-2"];
const JOINING: &str = "entry-split-a-3";

/// Callers who read all the time.
struct Readers {
    /// What they read; others read something else.
    object: String,
    stop: Arc<AtomicBool>,
    served: Arc<AtomicUsize>,
    threads: Vec<JoinHandle<()>>,
}

impl Readers {
    fn new() -> Self {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        let number = COUNT.fetch_add(1, Ordering::SeqCst);
        Self {
            object: format!("read-{number}"),
            stop: Arc::new(AtomicBool::new(false)),
            served: Arc::default(),
            threads: Vec::new(),
        }
    }

    fn add(&mut self, entry: SocketAddr) {
        for _ in 0..CALLERS_EACH {
            let (stop, served) = (Arc::clone(&self.stop), Arc::clone(&self.served));
            let read = Call::get(&format!("/v1/services/orders/{}", self.object));
            self.threads.push(std::thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let answer = read.clone().send(entry);
                    if answer.is_ok_and(|answer| answer.result() == Some(1000)) {
                        served.fetch_add(1, Ordering::SeqCst);
                    }
                    std::thread::sleep(Duration::from_millis(20));
                }
            }));
        }
    }

    fn served(&self) -> usize {
        self.served.load(Ordering::SeqCst)
    }

    /// Stops, and returns the most requests that ran at the same moment. The endpoints count them: callers that
    /// get processor time late get answers late, and can't tell when requests ran.
    fn most_at_once(self, session: &Session) -> usize {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            thread.join().expect("a caller ends");
        }
        let mut record = Record::default();
        for endpoint in &session.cluster.endpoints {
            record.merge(endpoint.standin.record());
        }
        let path = format!("/{}", self.object);
        record.most_at_once(|request| request.path == path)
    }
}

fn start() -> Session {
    let builder = Cluster::builder(programs())
        .places(&[("split", "split-a")])
        .entries_each(3);
    let mut session = Session::with_cluster(builder.service("orders", 3).prepare());
    session.form_group(3);
    for name in CUT_OFF {
        session.cluster.entry(name).spawn();
    }
    for name in CUT_OFF {
        session.cluster.entry(name).wait_ready();
    }
    let limit = LIMIT.to_string();
    let values = ["--limit", &limit, "--shift-cap", "1"];
    session.set("ana", "split", "1", &values).expect(0);
    for endpoint in &session.cluster.endpoints {
        let rule = Rule::always(When::Path("/read".to_owned()), Fault::Late(WORK));
        endpoint.standin.rule(rule);
    }
    session
}

fn leader(session: &Session) -> Option<Status> {
    Operator::new("ana", session.cluster.operator_addrs()).leader()
}

/// Entries that hold parts of a limit are cut off from control, and its leader dies. The next leader
/// must not grant these parts again to an entry that joins.
#[test]
fn a_limit_holds_when_the_leader_dies_while_entries_are_cut_off() {
    let mut session = start();
    let mut readers = Readers::new();
    for name in CUT_OFF {
        let addr = session.cluster.entry(name).addr("caller");
        readers.add(addr);
    }
    wait_until("the limit is shared out", BOUND, || {
        readers.served() >= 5 * LIMIT
    });
    let reachable = ["control-1", "control-2", "control-3", JOINING];
    session.cluster.network.partition(&[&CUT_OFF, &reachable]);
    let before = leader(&session).expect("a leader").node;
    session.cluster.control(before.as_str()).kill();
    session.cluster.entry(JOINING).start();
    eventually("the next leader", BOUND, || {
        let next = leader(&session)?;
        (next.node != before).then_some(())
    });
    readers.add(session.cluster.entry(JOINING).addr("caller"));
    std::thread::sleep(WATCHED);
    session.cluster.network.heal();
    let served = readers.served();
    wait_until("requests are served again", BOUND, || {
        readers.served() >= served + 5 * LIMIT
    });
    let most = readers.most_at_once(&session);
    assert!(most <= LIMIT, "{most} of {LIMIT} ran at once");
}

/// All entries of a failure domain are lost for good and replaced by another one. That one gets the
/// whole limit once an operator states so, and not before, as the lost ones could run on.
#[test]
fn a_replaced_failure_domain_gets_its_limit_once_lost_entries_are_forgotten() {
    let mut session = start();
    let mut readers = Readers::new();
    for name in CUT_OFF {
        let addr = session.cluster.entry(name).addr("caller");
        readers.add(addr);
    }
    wait_until("the limit is shared out", BOUND, || {
        readers.served() >= 5 * LIMIT
    });
    readers.most_at_once(&session);
    for name in CUT_OFF {
        session.cluster.entry(name).kill();
    }
    session.cluster.entry(JOINING).start();
    let joined = session.cluster.entry(JOINING).addr("caller");
    let mut readers = Readers::new();
    readers.add(joined);
    std::thread::sleep(WATCHED);
    let most = readers.most_at_once(&session);
    assert!(most < LIMIT, "{most} of {LIMIT} ran at once");
    for name in CUT_OFF {
        let command = ["control", "forget-entry", name];
        session.run("ana", &command).expect(0);
    }
    eventually("the whole limit is used", BOUND, || {
        let mut readers = Readers::new();
        readers.add(joined);
        wait_until("requests are served", BOUND, || {
            readers.served() >= 2 * LIMIT
        });
        let most = readers.most_at_once(&session);
        assert!(most <= LIMIT, "{most} of {LIMIT} ran at once");
        (most == LIMIT).then_some(())
    });
}
