//! Homes without a backup, kept in a data folder, as stories.

use std::time::Duration;

use filberthead_ledger::Guards;
use filberthead_types::ResultCode;

use crate::cluster::{FAILOVER_TIMEOUT, World, config};

const SECOND: Duration = Duration::from_secs(1);

/// One entry in its failure domain, with a disk, and one elsewhere.
fn world() -> World {
    let cfg = config(Guards::ALL).journal(true).build();
    let mut world = World::new(cfg, &["a", "b"]);
    world.settle(SECOND);
    world
}

/// The only entry of a failure domain loses its power and comes back with its disk. What
/// was answered is answered again, what ran is not run again, and an order with a cached
/// prefix is placed.
#[test]
fn a_home_comes_back_from_its_disk() {
    let mut world = world();
    let [done, running, cached] = ["done", "running", "cached"].map(|suffix| world.key(0, suffix));
    for key in [&done, &running] {
        world.send(0, key);
        world.drain();
    }
    world.finish(0);
    world.run(0);
    world.drain();
    world.crash(0);
    world.boot_from_disk(0);
    world.spread_members();
    world.settle(SECOND);
    for key in [&done, &running, &cached] {
        world.send(1, key);
        world.drain();
    }
    assert_eq!(world.counts.replayed, 1);
    assert_eq!(world.last_code(&running), Some(ResultCode::OutcomeUnknown));
    assert_eq!(world.started.len(), 1);
    assert_eq!(world.started[0].key, cached);
    assert_eq!(world.broken, None);
}

/// The disk is stuck. An order isn't placed before its start is on disk: were it, a
/// restarted entry would place it again.
#[test]
fn nothing_starts_before_it_is_synced() {
    let mut world = world();
    let key = world.key(0, "order");
    world.send(0, &key);
    world.drain_but_disks();
    assert!(world.started.is_empty());
    world.drain();
    assert_eq!(world.started.len(), 1);
}

/// The entry comes back with a new, empty disk. Nobody can say any more what became of
/// its keys.
#[test]
fn a_lost_disk_loses_the_home() {
    let mut world = world();
    let key = world.key(0, "order");
    world.send(0, &key);
    world.drain();
    world.finish(0);
    world.drain();
    world.crash(0);
    world.wipe(0);
    world.boot_from_disk(0);
    world.spread_members();
    world.settle(SECOND);
    world.send(1, &key);
    world.drain();
    assert_eq!(world.last_code(&key), Some(ResultCode::HomeLostRecords));
}

/// A second entry is added and becomes the backup, while the first one's disk is stuck
/// and still holds the journal. The first one loses its power, comes back, takes the home
/// up from that journal, and so does the backup after its claim.
fn second_entry_while_the_disk_is_stuck(guards: Guards) -> World {
    let cfg = config(guards).journal(true).build();
    let mut world = World::new(cfg, &["a", "a"]);
    world.crash(1);
    world.spread_members();
    world.settle(2 * FAILOVER_TIMEOUT);
    let key = world.key(0, "order");
    world.boot(1);
    world.spread_members();
    for _ in 0..20 {
        world.drain_but_disks();
        world.now += Duration::from_millis(50);
        world.tick();
    }
    world.send(0, &key);
    world.drain_but_disks();
    if !world.started.is_empty() {
        world.run(0);
    }
    world.crash(0);
    world.boot_from_disk(0);
    world.spread_members();
    world.settle(3 * FAILOVER_TIMEOUT);
    for slot in [0, 1] {
        world.send(slot, &key);
        world.settle(SECOND);
        while !world.started.is_empty() {
            world.finish(0);
        }
    }
    world
}

#[test]
fn a_journal_is_given_up_before_a_backup_counts() {
    let world = second_entry_while_the_disk_is_stuck(Guards::ALL);
    assert_eq!(world.broken, None);
    assert_eq!(world.runs.values().sum::<u32>(), 1);
    let unguarded = Guards {
        retire_journal_before_backup: false,
        ..Guards::ALL
    };
    let world = second_entry_while_the_disk_is_stuck(unguarded);
    assert!(world.broken.is_some(), "nothing breaks without the guard");
}

/// Thousands of orders pass through a small failure domain in a day. Its journal doesn't
/// grow without bound, and what is written anew holds what counts.
#[test]
fn a_long_journal_is_written_anew() {
    let cfg = config(Guards::ALL)
        .journal(true)
        .max_keys(100_000)
        .max_bytes(usize::MAX)
        .build();
    let mut world = World::new(cfg, &["a"]);
    world.settle(SECOND);
    let mut last = String::new();
    for n in 0..40_000 {
        last = world.key(0, &n.to_string());
        world.send(0, &last);
        world.drain();
        world.finish(0);
        if n % 10 == 0 {
            world.settle(Duration::from_millis(100));
        }
    }
    world.settle(SECOND);
    let written = world.journal_len(0);
    assert!(written < 30_000, "{written} steps for the keys of 90 s");
    world.crash(0);
    world.boot_from_disk(0);
    world.settle(SECOND);
    world.send(0, &last);
    world.drain();
    assert_eq!(world.counts.replayed, 1);
    assert_eq!(world.broken, None);
}
