//! Homes without a backup, stored in a data folder.

use std::time::Duration;

use filberthead_ledger::Guards;
use filberthead_types::ResultCode;

use crate::cluster::{Cluster, FAILOVER_TIMEOUT, config};

const SECOND: Duration = Duration::from_secs(1);

/// One entry in its failure domain, with a disk, and one elsewhere.
fn cluster() -> Cluster {
    let cfg = config(Guards::ALL).journal(true).build();
    let mut cluster = Cluster::new(cfg, &["a", "b"]);
    cluster.settle(SECOND);
    cluster
}

/// The only entry of a failure domain loses its power and restarts with its disk. What was
/// answered must be replayed, what ran must not run again, and a request with a cached
/// prefix must run.
#[test]
fn a_home_is_recovered_from_its_journal() {
    let mut cluster = cluster();
    let [done, running, cached] =
        ["done", "running", "cached"].map(|suffix| cluster.key(0, suffix));
    for key in [&done, &running] {
        cluster.send(0, key);
        cluster.drain();
    }
    cluster.finish(0);
    cluster.run(0);
    cluster.drain();
    cluster.crash(0);
    cluster.boot_from_disk(0);
    cluster.announce_members();
    cluster.settle(SECOND);
    for key in [&done, &running, &cached] {
        cluster.send(1, key);
        cluster.drain();
    }
    assert_eq!(cluster.counts.replayed, 1);
    assert_eq!(
        cluster.last_code(&running),
        Some(ResultCode::OutcomeUnknown)
    );
    assert_eq!(cluster.started.len(), 1);
    assert_eq!(cluster.started[0].key, cached);
    assert_eq!(cluster.violation, None);
}

/// Disk writes don't complete. A request must not run before its start is on disk, or a
/// restarted entry would run it again.
#[test]
fn nothing_starts_before_it_is_synced() {
    let mut cluster = cluster();
    let key = cluster.key(0, "order");
    cluster.send(0, &key);
    cluster.drain_network();
    assert!(cluster.started.is_empty());
    cluster.drain();
    assert_eq!(cluster.started.len(), 1);
}

/// The entry restarts with a new, empty disk. Nothing is known about its keys any more.
#[test]
fn a_lost_disk_loses_the_home() {
    let mut cluster = cluster();
    let key = cluster.key(0, "order");
    cluster.send(0, &key);
    cluster.drain();
    cluster.finish(0);
    cluster.drain();
    cluster.crash(0);
    cluster.wipe(0);
    cluster.boot_from_disk(0);
    cluster.announce_members();
    cluster.settle(SECOND);
    cluster.send(1, &key);
    cluster.drain();
    assert_eq!(cluster.last_code(&key), Some(ResultCode::HomeLostRecords));
}

/// A second entry is added and becomes the backup while the disk of the first one, with the
/// journal on it, completes no writes. The first one loses its power, restarts and recovers
/// the home from that journal, while the backup takes it over by a claim.
fn add_second_entry_while_the_disk_is_stuck(guards: Guards) -> Cluster {
    let cfg = config(guards).journal(true).build();
    let mut cluster = Cluster::new(cfg, &["a", "a"]);
    cluster.crash(1);
    cluster.announce_members();
    cluster.settle(2 * FAILOVER_TIMEOUT);
    let key = cluster.key(0, "order");
    cluster.boot(1);
    cluster.announce_members();
    for _ in 0..20 {
        cluster.drain_network();
        cluster.now += Duration::from_millis(50);
        cluster.tick();
    }
    cluster.send(0, &key);
    cluster.drain_network();
    if !cluster.started.is_empty() {
        cluster.run(0);
    }
    cluster.crash(0);
    cluster.boot_from_disk(0);
    cluster.announce_members();
    cluster.settle(3 * FAILOVER_TIMEOUT);
    for slot in [0, 1] {
        cluster.send(slot, &key);
        cluster.settle(SECOND);
        while !cluster.started.is_empty() {
            cluster.finish(0);
        }
    }
    cluster
}

#[test]
fn a_journal_is_retired_before_a_backup_is_active() {
    let cluster = add_second_entry_while_the_disk_is_stuck(Guards::ALL);
    assert_eq!(cluster.violation, None);
    assert_eq!(cluster.runs.values().sum::<u32>(), 1);
    let unguarded = Guards {
        retire_journal_before_backup: false,
        ..Guards::ALL
    };
    let cluster = add_second_entry_while_the_disk_is_stuck(unguarded);
    assert!(
        cluster.violation.is_some(),
        "no violation without the guard"
    );
}

/// Thousands of requests run in a small failure domain in a day. Its journal must not grow
/// without bound, and a rewritten journal must contain all live records.
#[test]
fn a_long_journal_is_compacted() {
    let cfg = config(Guards::ALL)
        .journal(true)
        .max_keys(100_000)
        .max_bytes(usize::MAX)
        .build();
    let mut cluster = Cluster::new(cfg, &["a"]);
    cluster.settle(SECOND);
    let mut last = String::new();
    for n in 0..40_000 {
        last = cluster.key(0, &n.to_string());
        cluster.send(0, &last);
        cluster.drain();
        cluster.finish(0);
        if n % 10 == 0 {
            cluster.settle(Duration::from_millis(100));
        }
    }
    cluster.settle(SECOND);
    let written = cluster.journal_len(0);
    assert!(
        written < 30_000,
        "{written} operations for the keys of 90 s"
    );
    cluster.crash(0);
    cluster.boot_from_disk(0);
    cluster.settle(SECOND);
    cluster.send(0, &last);
    cluster.drain();
    assert_eq!(cluster.counts.replayed, 1);
    assert_eq!(cluster.violation, None);
}
