//! Measures the time from an operator's request until the change is in force at every
//! entry.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use filberthead_testing::client::{Call, Connection};
use filberthead_testing::operator::{Attempt, Operator, set_weight};
use filberthead_testing::runtime;
use filberthead_types::{Revision, Version};
use tokio::sync::mpsc;

use crate::figures::Times;
use crate::system::System;

const CHANGES: u32 = 300;
const PAUSE: Duration = Duration::from_millis(20);
/// Interval at which each entry's status is polled, which limits the precision of the
/// times.
const POLL: Duration = Duration::from_millis(1);

/// A table version that an entry's status showed as in force.
#[derive(Debug)]
struct ObservedVersion {
    entry: usize,
    version: Version,
    at: Instant,
}

pub(crate) fn in_force(system: &System) {
    let (tx, mut rx) = mpsc::unbounded_channel();
    let entries = &system.cluster.entries;
    let watchers: Vec<_> = entries
        .iter()
        .enumerate()
        .map(|(entry, node)| {
            let addr = node.direct_addr("status");
            runtime::handle().spawn(watch(entry, addr, tx.clone()))
        })
        .collect();
    let leader = system.leader_addr();
    let operator = Operator::new("bench", vec![leader]);
    let mut table_version = system.operator.table().version;
    let mut accepted = Times::new();
    let mut everywhere = Times::new();
    for weight in 1..=CHANGES {
        let change = set_weight("orders", "zagreb", Revision(table_version.0), weight);
        let sent = Instant::now();
        let Attempt::Accepted(version) = operator.attempt(leader, &change) else {
            panic!("the leader doesn't accept a change");
        };
        accepted.add(sent.elapsed());
        everywhere.add(last_observed(&mut rx, entries.len(), version) - sent);
        table_version = version;
        std::thread::sleep(PAUSE);
    }
    watchers.iter().for_each(|watcher| watcher.abort());
    accepted.print("change_accepted");
    everywhere.print("change_in_force_11_entries");
}

/// Waits until each of `entries` entries has shown `version` or a later one, and returns
/// when the last one first did.
fn last_observed(
    rx: &mut mpsc::UnboundedReceiver<ObservedVersion>,
    entries: usize,
    version: Version,
) -> Instant {
    let mut first: Vec<Option<Instant>> = vec![None; entries];
    while first.iter().any(Option::is_none) {
        let observed = rx.blocking_recv().expect("the watchers run");
        if observed.version >= version {
            first[observed.entry].get_or_insert(observed.at);
        }
    }
    let last = first.into_iter().flatten().max();
    last.expect("there is an entry")
}

/// Polls an entry's status and sends each new version that it shows.
async fn watch(entry: usize, addr: SocketAddr, tx: mpsc::UnboundedSender<ObservedVersion>) {
    let mut connection = Connection::open(addr).await.expect("the entry runs");
    let call = Call::get("/status");
    let mut last = None;
    loop {
        let answer = connection.send(&call).await.expect("the entry answers");
        let at = Instant::now();
        let status: serde_json::Value = answer.json();
        let version = status["version"].as_u64().map(Version);
        if let Some(version) = version.filter(|_| version != last) {
            last = Some(version);
            if tx.send(ObservedVersion { entry, version, at }).is_err() {
                return;
            }
        }
        tokio::time::sleep(POLL).await;
    }
}
