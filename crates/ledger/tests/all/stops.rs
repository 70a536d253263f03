//! Planned stops of entries.

use std::time::Duration;

use filberthead_ledger::{Decision, Event, Guards};

use crate::cluster::{Cluster, FAILOVER_TIMEOUT, Slot, config};

const SECOND: Duration = Duration::from_secs(1);

fn cluster() -> Cluster {
    let mut cluster = Cluster::new(config(Guards::ALL).build(), &["a", "a", "b"]);
    cluster.settle(SECOND);
    cluster
}

/// Begins a planned stop: the entry is announced as leaving and hands its homes over.
fn stop(cluster: &mut Cluster, slot: Slot) {
    let member = cluster.members.get_mut(&slot).expect("a known slot");
    member.leaving = true;
    cluster.step(slot, Event::Stop);
    cluster.announce_members();
}

/// An entry is stopped while a request runs. The request must end as usual; resends, and
/// requests with cached prefixes, must go to the successor. No claim is needed.
#[test]
fn a_planned_stop_hands_homes_and_outcomes_over() {
    let mut cluster = cluster();
    let running = cluster.key(0, "running");
    let cached = cluster.key(0, "cached");
    cluster.send(0, &running);
    cluster.drain();
    cluster.run(0);
    stop(&mut cluster, 0);
    cluster.settle(SECOND);
    assert!(!cluster.nodes[&0].is_handed_over(), "a request still runs");
    cluster.send(0, &cached);
    cluster.drain();
    assert_eq!(cluster.started.len(), 2);
    assert_eq!(cluster.started[1].slot, 1);
    cluster.finish(0);
    cluster.settle(SECOND);
    assert!(cluster.nodes[&0].is_handed_over());
    cluster.crash(0);
    cluster.announce_members();
    cluster.send(2, &running);
    cluster.drain();
    let answer = format!("answer to {running}");
    assert_eq!(
        cluster.last_decision(&running),
        Some(&Decision::Replay(answer.into()))
    );
    assert_eq!(cluster.counts.claim_results, 0);
    assert_eq!(cluster.violation, None);
}

/// The backup of a home is stopped. Its primary must continue at once, without waiting for
/// a timeout and without control.
#[test]
fn a_backup_that_stops_releases_its_primary() {
    let mut cluster = cluster();
    let key = cluster.key(0, "order");
    stop(&mut cluster, 1);
    cluster.settle(SECOND);
    cluster.crash(1);
    cluster.announce_members();
    cluster.control_cut.insert(0);
    cluster.send(0, &key);
    cluster.drain();
    assert_eq!(cluster.started.len(), 1);
    assert_eq!(cluster.counts.claim_results, 0);
}

/// An entry is stopped just after it sent a claim to continue without its silent backup. If
/// it handed the home over while that claim is in flight, the claim would win after the
/// successor took over, and both would run the next resend.
#[test]
fn a_claim_in_flight_delays_the_hand_over() {
    let mut cluster = cluster();
    let key = cluster.key(0, "order");
    cluster.cut_both_ways(0, 1);
    for _ in 0..5 {
        cluster.now += FAILOVER_TIMEOUT / 4;
        cluster.tick();
    }
    cluster.cut.clear();
    cluster.step(0, Event::Stop);
    cluster.send(0, &key);
    cluster.send(1, &key);
    cluster.settle(2 * SECOND);
    while !cluster.started.is_empty() {
        cluster.finish(0);
    }
    assert!(cluster.runs.get(&key).copied().unwrap_or(0) <= 1);
    assert_eq!(cluster.violation, None);
}

/// Both members of a home are stopped at the same moment, and a third entry is there. The
/// primary hands the home to the backup while the backup releases the primary. A request
/// that starts in between must be on record at the third entry, which becomes primary in
/// the end.
#[test]
fn two_stops_at_once_lose_no_start() {
    let mut cluster = Cluster::new(config(Guards::ALL).build(), &["a", "a", "a"]);
    cluster.settle(SECOND);
    let key = cluster.key(0, "order");
    let backup = backup_of(&cluster, 0);
    cluster.step(0, Event::Stop);
    cluster.step(backup, Event::Stop);
    cluster.drain();
    cluster.tick();
    // The third entry has the records from before, but no notice yet that it is the active
    // backup.
    cluster.drain();
    cluster.send(0, &key);
    cluster.settle(SECOND);
    while !cluster.started.is_empty() {
        cluster.finish(0);
    }
    let third = 3 - backup;
    for leaving in [0, backup] {
        cluster.crash(leaving);
    }
    cluster.announce_members();
    cluster.settle(2 * FAILOVER_TIMEOUT);
    cluster.send(third, &key);
    cluster.settle(SECOND);
    while !cluster.started.is_empty() {
        cluster.finish(0);
    }
    assert_eq!(cluster.runs.get(&key), Some(&1));
    assert_eq!(cluster.violation, None);
}

/// The backup of the home of `primary`.
fn backup_of(cluster: &Cluster, primary: Slot) -> Slot {
    let mut cluster = cluster.clone();
    let key = cluster.key(primary, "probe");
    cluster.send(primary, &key);
    let to = cluster
        .wire
        .iter()
        .find_map(|packet| packet.append_receiver());
    to.expect("an append in flight to the backup")
}

/// All entries are stopped and restarted one after the other, as in an upgrade, while
/// requests are sent and resent. Each must get the answer of its only run.
#[test]
fn a_rolling_restart_loses_no_answer() {
    let mut cluster = cluster();
    let mut keys = Vec::new();
    for round in 0..4 {
        let slot = round % 2;
        for n in 0..3 {
            let key = cluster.key(slot, &format!("{round}-{n}"));
            cluster.send(2, &key);
            cluster.drain();
            cluster.finish(0);
            keys.push(key);
        }
        stop(&mut cluster, slot);
        cluster.settle(SECOND);
        assert!(cluster.nodes[&slot].is_handed_over(), "round {round}");
        cluster.crash(slot);
        cluster.boot(slot);
        cluster.announce_members();
        cluster.settle(2 * SECOND);
    }
    for key in &keys {
        cluster.send(2, key);
        cluster.drain();
        let answer = format!("answer to {key}");
        assert_eq!(
            cluster.last_decision(key),
            Some(&Decision::Replay(answer.into()))
        );
    }
    assert_eq!(cluster.counts.claim_results, 0);
    assert_eq!(cluster.violation, None);
}
