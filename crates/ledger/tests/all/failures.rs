//! Failures that users have had, or would have, as stories.

use std::time::Duration;

use filberthead_ledger::{Decision, Event, Guards};
use filberthead_types::ResultCode;

use crate::cluster::{Cluster, FAILOVER_TIMEOUT, START_WINDOW, config};

const SECOND: Duration = Duration::from_secs(1);

/// Entries 0 and 1 in one failure domain, 2 in another one.
fn cluster() -> Cluster {
    let mut cluster = Cluster::new(config(Guards::ALL).build(), &["a", "a", "b"]);
    cluster.settle(SECOND);
    cluster
}

fn assert_replayed(cluster: &Cluster, key: &str) {
    let answer = format!("answer to {key}");
    assert_eq!(
        cluster.last_decision(key),
        Some(&Decision::Replay(answer.into())),
        "{:?}",
        cluster.decisions
    );
    assert_eq!(cluster.violation, None);
}

/// A shop owner's connection is cut after the order went out. Her till resends it at
/// another entry while the order still runs, and once more when it is done. Without a
/// common home each entry would run the order for itself.
#[test]
fn a_resend_elsewhere_gets_the_answer_of_the_first_run() {
    let mut cluster = cluster();
    let key = cluster.key(0, "order");
    cluster.send(0, &key);
    cluster.drain();
    cluster.run(0);
    cluster.send(2, &key);
    cluster.drain();
    assert_eq!(
        cluster.last_decision(&key).and_then(forwarded_to),
        Some("entry-0")
    );
    cluster.finish(0);
    assert_replayed(&cluster, &key);
    cluster.send(1, &key);
    cluster.drain();
    assert_replayed(&cluster, &key);
    assert_eq!(cluster.runs[&key], 1);
}

fn forwarded_to(decision: &Decision) -> Option<&str> {
    match decision {
        Decision::Forward { entry } => Some(entry.as_str()),
        _ => None,
    }
}

/// Two tills send the same order at the same moment through two entries. Both see the
/// answer of one run. Cause of a double bill otherwise: each entry looks before the
/// other one has written.
#[test]
fn the_same_key_at_two_entries_at_once_runs_once() {
    let mut cluster = cluster();
    let key = cluster.key(0, "order");
    cluster.send(0, &key);
    cluster.send(1, &key);
    cluster.drain();
    assert_eq!(cluster.started.len(), 1);
    cluster.finish(0);
    let replays = cluster
        .decisions
        .iter()
        .filter(|(_, b)| matches!(b, Decision::Replay(_)));
    assert_eq!(replays.count(), 1);
    assert_eq!(cluster.violation, None);
}

/// A shop owner corrects her order and the till sends it under the old key. She must not
/// be shown the old order's answer as if the new one were placed.
#[test]
fn another_request_under_the_same_key_is_refused() {
    let mut cluster = cluster();
    let key = cluster.key(0, "order");
    cluster.send(0, &key);
    cluster.drain();
    cluster.finish(0);
    for slot in 0..3 {
        cluster.request(slot, &key, 2, 0);
        cluster.drain();
        assert_eq!(cluster.last_code(&key), Some(ResultCode::KeyReused));
    }
}

/// The entry dies after the order went to an endpoint. The owner's resend reaches the
/// backup, which can't know whether the order was placed and must not place it again.
#[test]
fn a_key_whose_primary_died_while_it_ran_never_runs_again() {
    let mut cluster = cluster();
    let key = cluster.key(0, "order");
    cluster.send(0, &key);
    cluster.drain();
    cluster.run(0);
    cluster.crash(0);
    cluster.announce_members();
    cluster.settle(2 * FAILOVER_TIMEOUT);
    for slot in [1, 2] {
        cluster.send(slot, &key);
        cluster.drain();
        assert_eq!(cluster.last_code(&key), Some(ResultCode::OutcomeUnknown));
    }
    assert_eq!(cluster.violation, None);
}

/// The entry dies after the order was answered. The owner lost the answer; her resend at
/// the backup brings it back, byte for byte.
#[test]
fn a_finished_key_is_replayed_by_the_backup() {
    let mut cluster = cluster();
    let key = cluster.key(0, "order");
    cluster.send(0, &key);
    cluster.drain();
    cluster.finish(0);
    cluster.drain();
    cluster.crash(0);
    cluster.announce_members();
    cluster.settle(2 * FAILOVER_TIMEOUT);
    cluster.send(2, &key);
    cluster.drain();
    assert_replayed(&cluster, &key);
}

/// The list of live entries still names the dead holder. A till's resend elsewhere would
/// be passed on to it over and over; after the first failure it goes to the backup.
#[test]
fn a_dead_primary_on_a_stale_list_is_avoided() {
    let mut cluster = cluster();
    let key = cluster.key(0, "order");
    cluster.send(0, &key);
    cluster.drain();
    cluster.finish(0);
    cluster.drain();
    cluster.crash(0);
    cluster.settle(2 * FAILOVER_TIMEOUT);
    cluster.send_after_failure(2, &key, 0);
    cluster.drain();
    assert_replayed(&cluster, &key);
}

/// An entry has just died, and an owner's order, with a cached prefix, reaches its backup
/// before that has taken over. She waits for these seconds; no resend is needed.
#[test]
fn a_request_during_the_takeover_waits_for_it() {
    let mut cluster = cluster();
    let key = cluster.key(0, "order");
    cluster.crash(0);
    cluster.send_after_failure(1, &key, 0);
    cluster.drain();
    assert_eq!(cluster.last_decision(&key), None);
    cluster.settle(2 * FAILOVER_TIMEOUT);
    assert_eq!(cluster.last_decision(&key), Some(&Decision::Start));
    assert_eq!(cluster.violation, None);
}

/// The entry dies before a cached prefix is first used. The order, sent to the entry
/// next on the caller's list, is placed as if nothing had happened.
#[test]
fn an_unused_prefix_survives_the_death_of_its_entry() {
    let mut cluster = cluster();
    let key = cluster.key(0, "order");
    cluster.crash(0);
    cluster.announce_members();
    cluster.settle(2 * FAILOVER_TIMEOUT);
    cluster.send(2, &key);
    cluster.drain();
    assert_eq!(cluster.started.len(), 1);
    assert_eq!(cluster.started[0].slot, 1);
}

/// An entry's VM is suspended while an order runs, its backup takes over, and the VM
/// wakes with old requests at hand. What it had started goes on; anything else goes to
/// the new holder, also before the sleeper has learned that it is deposed.
#[test]
fn a_suspended_primary_starts_nothing_when_it_resumes() {
    let mut cluster = cluster();
    let running = cluster.key(0, "running");
    let late = cluster.key(0, "late");
    cluster.send(0, &running);
    cluster.drain();
    cluster.run(0);
    let suspended = cluster.nodes.remove(&0).expect("it runs");
    cluster.settle(2 * FAILOVER_TIMEOUT);
    cluster.send(1, &late);
    cluster.drain();
    assert_eq!(cluster.started.len(), 2);
    cluster.nodes.insert(0, suspended);
    cluster.send(0, &late);
    cluster.settle(SECOND);
    assert_eq!(
        cluster.started.len(),
        2,
        "the resumed primary started a key"
    );
    cluster.finish(0);
    cluster.settle(SECOND);
    cluster.send(1, &running);
    cluster.drain();
    assert_replayed(&cluster, &running);
}

/// A failure domain is cut off from everything. Orders made there go on there; the same
/// key sent elsewhere is refused, and not as "not run", for it may run where it was made.
#[test]
fn only_the_partitioned_home_serves_its_keys() {
    let mut cluster = cluster();
    let key = cluster.key(0, "order");
    for inside in [0, 1] {
        cluster.cut_both_ways(inside, 2);
        cluster.control_cut.insert(inside);
    }
    let outsiders = vec![cluster.members[&2].clone()];
    cluster.step(2, Event::Members(outsiders));
    cluster.send(2, &key);
    cluster.drain();
    assert_eq!(cluster.last_code(&key), Some(ResultCode::HomeUnreachable));
    cluster.send(1, &key);
    cluster.drain();
    cluster.finish(0);
    assert_replayed_after_resend(&mut cluster, &key);
}

fn assert_replayed_after_resend(cluster: &mut Cluster, key: &str) {
    cluster.send(0, key);
    cluster.drain();
    assert_replayed(cluster, key);
}

/// A cut-off failure domain loses one of its two entries. Nobody may say which of both
/// goes on with the old keys, so first sends of those wait and are told "may have run";
/// but new orders are taken under a prefix of the survivor's own.
#[test]
fn the_survivor_of_a_partitioned_failure_domain_accepts_new_keys() {
    let mut cluster = cluster();
    let old = cluster.key(1, "old");
    cluster.control_cut.insert(1);
    cluster.crash(0);
    cluster.settle(4 * FAILOVER_TIMEOUT);
    cluster.send(1, &old);
    cluster.settle(6 * SECOND);
    assert_eq!(cluster.last_code(&old), Some(ResultCode::StillRunning));
    let new = cluster.key(1, "new");
    cluster.send(1, &new);
    cluster.drain();
    assert_eq!(cluster.started.len(), 1);
    cluster.finish(0);
    cluster.control_cut.clear();
    cluster.settle(2 * SECOND);
    cluster.send(1, &old);
    cluster.drain();
    assert_eq!(cluster.last_code(&old), Some(ResultCode::DeadlineBeforeRun));
    assert_eq!(cluster.violation, None);
}

/// Both entries of a failure domain die and come back empty. A resend of an order from
/// before can't be told anything but "may have run".
#[test]
fn a_home_that_lost_its_records_never_runs_its_keys() {
    let mut cluster = cluster();
    let key = cluster.key(0, "order");
    cluster.send(0, &key);
    cluster.drain();
    cluster.run(0);
    cluster.crash(0);
    cluster.crash(1);
    cluster.boot(0);
    cluster.boot(1);
    cluster.announce_members();
    cluster.settle(2 * FAILOVER_TIMEOUT);
    for slot in 0..3 {
        cluster.send(slot, &key);
        cluster.drain();
        let code = cluster.last_code(&key);
        assert_eq!(code, Some(ResultCode::HomeLostRecords), "at {slot}");
    }
}

/// The ledger is full. An owner's order is refused as "not run"; a copy of it that was
/// on its way longer arrives when there is room again, and must not run.
#[test]
fn a_key_refused_by_a_full_ledger_stays_refused() {
    let cfg = config(Guards::ALL).max_keys(2).build();
    let mut cluster = Cluster::new(cfg, &["a", "a", "b"]);
    cluster.settle(SECOND);
    let keys: Vec<_> = (0..3).map(|n| cluster.key(0, &n.to_string())).collect();
    for key in &keys {
        cluster.send(0, key);
        cluster.drain();
    }
    assert_eq!(cluster.last_code(&keys[2]), Some(ResultCode::LedgerFull));
    assert_eq!(cluster.started.len(), 2);
    cluster.finish(0);
    cluster.finish(0);
    cluster.settle(generation_lifetime());
    cluster.send(0, &keys[2]);
    cluster.drain();
    assert!(cluster.started.is_empty());
    let fresh = cluster.key(0, "fresh");
    cluster.send(0, &fresh);
    cluster.drain();
    assert_eq!(cluster.started.len(), 1);
    assert_eq!(cluster.violation, None);
}

/// More orders run at once than the ledger keeps room for answers of. A further one is
/// asked to come again with the same key, and goes through when the others are done.
#[test]
fn a_request_beside_too_many_running_ones_may_be_resent() {
    let cfg = config(Guards::ALL).max_bytes(3 * 64).build();
    let mut cluster = Cluster::new(cfg, &["a", "a", "b"]);
    cluster.settle(SECOND);
    let keys: Vec<_> = (0..4).map(|n| cluster.key(0, &n.to_string())).collect();
    for key in &keys {
        cluster.send(0, key);
        cluster.drain();
    }
    assert_eq!(cluster.last_code(&keys[3]), Some(ResultCode::KeyNotChecked));
    assert_eq!(cluster.started.len(), 3);
    cluster.give_up(0);
    cluster.send(0, &keys[3]);
    cluster.drain();
    assert_eq!(cluster.last_decision(&keys[3]), Some(&Decision::Start));
}

/// Time after which every key of a prefix handed out now is dropped.
fn generation_lifetime() -> Duration {
    Duration::from_secs(10 + 20 + 60 + 10)
}

/// Hundreds of orders are refused in an overload. The ledger doesn't keep each of them:
/// it closes their prefix as a whole, and each stays refused.
#[test]
fn many_refusals_take_bounded_memory() {
    let cfg = config(Guards::ALL).max_closed(3).build();
    let mut cluster = Cluster::new(cfg, &["a", "a", "b"]);
    cluster.settle(SECOND);
    let mut keys = Vec::new();
    for n in 0..200 {
        let Some(prefix) = cluster.prefix(0) else {
            panic!("no prefix at order {n}");
        };
        let key = format!("{prefix}{n}");
        cluster.send(0, &key);
        cluster.drain();
        if !cluster.started.is_empty() {
            cluster.give_up(0);
        }
        keys.push(key);
        cluster.settle(Duration::from_millis(50));
    }
    assert!(
        cluster.nodes[&0].keys() < 10,
        "{}",
        cluster.nodes[&0].keys()
    );
    for key in &keys {
        cluster.send(1, key);
        cluster.drain();
        let code = cluster.last_code(key).expect("a refusal");
        assert_eq!(code.meaning(), filberthead_types::Meaning::NotRun, "{key}");
    }
    assert_eq!(cluster.violation, None);
}

/// A till that was switched off for the weekend resends Friday's order. Its record is
/// gone by then; the order must not be placed once more, and nobody can say "not run".
#[test]
fn a_resend_after_retention_never_runs() {
    let mut cluster = cluster();
    let key = cluster.key(0, "order");
    cluster.send(0, &key);
    cluster.drain();
    cluster.finish(0);
    cluster.settle(generation_lifetime());
    assert_eq!(cluster.nodes[&0].keys(), 0);
    cluster.send(1, &key);
    cluster.drain();
    assert_eq!(cluster.last_code(&key), Some(ResultCode::KeyExpired));
    assert_eq!(cluster.violation, None);
}

/// An owner looks up an entry, fills in an order at leisure and sends it after its
/// prefix was closed. She is told "not run", for good, and orders with a new key.
#[test]
fn a_first_send_after_the_start_window_is_not_run() {
    let mut cluster = cluster();
    let key = cluster.key(0, "order");
    cluster.settle(START_WINDOW + Duration::from_secs(12));
    cluster.send(0, &key);
    cluster.drain();
    assert_eq!(cluster.last_code(&key), Some(ResultCode::KeyClosed));
}

/// An answer is larger than the ledger stores. The resend is told that the order ran,
/// and that its answer is gone.
#[test]
fn a_large_answer_is_not_replayed_but_reported_as_run() {
    let mut cluster = cluster();
    let key = cluster.key(0, "order");
    cluster.send(0, &key);
    cluster.drain();
    cluster.run(0);
    let token = cluster.started.remove(0).token;
    let answer = Some(vec![7; 65].into());
    cluster.step(0, Event::Finished { token, answer });
    cluster.send(1, &key);
    cluster.drain();
    assert_eq!(cluster.last_code(&key), Some(ResultCode::AnswerNotStored));
}
