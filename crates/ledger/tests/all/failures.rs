//! Single failures around requests with a key.

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

/// The connection of a caller breaks after its request was sent. It resends at another
/// entry while the request still runs, and once more after its end. Without a common home
/// each entry would run the request itself.
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

/// The same request is sent through two entries at the same moment. Both callers must get
/// the answer of one run; it would run twice if each entry looked for the key before the
/// other one has recorded it.
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
        .filter(|(_, decision)| matches!(decision, Decision::Replay(_)));
    assert_eq!(replays.count(), 1);
    assert_eq!(cluster.violation, None);
}

/// A changed request is sent under an old key. It must not get the answer to the old
/// request.
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

/// The primary dies after it sent the request to an endpoint. A resend reaches the backup,
/// which can't know whether the request ran and must not run it again.
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

/// The primary dies after the request was answered, and the caller lost the answer. Its
/// resend at the backup must get the same answer, byte for byte.
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

/// The list of live entries still contains the dead primary. A resend at another entry
/// would be forwarded to it over and over; after the first failure it must go to the
/// backup.
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

/// An entry has just died, and a request with a cached prefix reaches its backup before the
/// takeover. It must wait for these seconds, so that no resend is needed.
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

/// The entry dies before a cached prefix is first used. The request, sent to the next entry
/// on the caller's list, must run as usual.
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

/// The VM of a primary is suspended while a request runs, its backup takes over, and the VM
/// resumes with old requests. The started one must end as usual; any other must go to the
/// new primary, also before the old one has learned that it was replaced.
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

/// A failure domain is partitioned from everything else. Its own keys must still run there.
/// The same key sent elsewhere is refused, and not as "not run", since it may run in its
/// home.
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

/// A partitioned failure domain loses one of its two entries. Without control the survivor
/// may not take over the old keys, so their first sends wait and are refused as "may have
/// run"; but it must accept new keys under a prefix of its own.
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

/// Both entries of a failure domain die and restart without records. A resend from before
/// can only be answered with "may have run".
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

/// The ledger is full, and a request is refused as "not run". A delayed copy of it arrives
/// when there is space again, and must not run.
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

/// More requests run at once than there is space for answers. A further one is asked to be
/// sent again with the same key, and must run when the others have ended.
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

/// Hundreds of requests are refused in an overload. The ledger must not store a record of
/// each: it closes their prefix as a whole, and each stays refused.
#[test]
fn many_refusals_take_bounded_memory() {
    let cfg = config(Guards::ALL).max_closed(3).build();
    let mut cluster = Cluster::new(cfg, &["a", "a", "b"]);
    cluster.settle(SECOND);
    let mut keys = Vec::new();
    for n in 0..200 {
        let Some(prefix) = cluster.prefix(0) else {
            panic!("no prefix at request {n}");
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

/// A request is resent after its record was dropped. It must not run again, and "not run"
/// would be wrong.
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

/// A key is first sent after its prefix was closed. It is refused as "not run",
/// permanently; the caller needs a new key.
#[test]
fn a_first_send_after_the_start_window_is_not_run() {
    let mut cluster = cluster();
    let key = cluster.key(0, "order");
    cluster.settle(START_WINDOW + Duration::from_secs(12));
    cluster.send(0, &key);
    cluster.drain();
    assert_eq!(cluster.last_code(&key), Some(ResultCode::KeyClosed));
}

/// An answer is larger than the ledger stores. A resend is answered that the request ran
/// and that its answer isn't stored.
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
