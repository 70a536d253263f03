//! Planned stops, as stories.

use std::time::Duration;

use filberthead_ledger::{Decision, Event, Guards};

use crate::cluster::{FAILOVER_TIMEOUT, Slot, World, config};

const SECOND: Duration = Duration::from_secs(1);

fn world() -> World {
    let mut world = World::new(config(Guards::ALL).build(), &["a", "a", "b"]);
    world.settle(SECOND);
    world
}

/// SIGTERM: the entry tells the others that it leaves, and hands over.
fn stop(world: &mut World, slot: Slot) {
    let member = world.members.get_mut(&slot).expect("a known slot");
    member.leaving = true;
    world.step(slot, Event::Stop);
    world.spread_members();
}

/// An entry is stopped while an order runs. The order goes on to its end; resends, and
/// orders with keys from cached look-ups, go to the successor. Nobody asks control.
#[test]
fn a_planned_stop_hands_homes_and_outcomes_over() {
    let mut world = world();
    let running = world.key(0, "running");
    let cached = world.key(0, "cached");
    world.send(0, &running);
    world.drain();
    world.run(0);
    stop(&mut world, 0);
    world.settle(SECOND);
    assert!(!world.nodes[&0].is_handed_over(), "an order still runs");
    world.send(0, &cached);
    world.drain();
    assert_eq!(world.started.len(), 2);
    assert_eq!(world.started[1].slot, 1);
    world.finish(0);
    world.settle(SECOND);
    assert!(world.nodes[&0].is_handed_over());
    world.crash(0);
    world.spread_members();
    world.send(2, &running);
    world.drain();
    let answer = format!("answer to {running}");
    assert_eq!(
        world.last_told(&running),
        Some(&Decision::Replay(answer.into()))
    );
    assert_eq!(world.counts.claim_results, 0);
    assert_eq!(world.broken, None);
}

/// The backup of a home is stopped. Its holder goes on at once, without waiting for a
/// silence and without control.
#[test]
fn a_backup_that_stops_releases_its_primary() {
    let mut world = world();
    let key = world.key(0, "order");
    stop(&mut world, 1);
    world.settle(SECOND);
    world.crash(1);
    world.spread_members();
    world.control_cut.insert(0);
    world.send(0, &key);
    world.drain();
    assert_eq!(world.started.len(), 1);
    assert_eq!(world.counts.claim_results, 0);
}

/// An entry has just asked control to go on without its silent backup when it is
/// stopped. Had it handed the home over while that claim was on its way, the claim would
/// have won after the successor took over, and both had run the next resend.
#[test]
fn a_claim_on_its_way_holds_up_the_hand_over() {
    let mut world = world();
    let key = world.key(0, "order");
    world.cut_both_ways(0, 1);
    for _ in 0..5 {
        world.now += FAILOVER_TIMEOUT / 4;
        world.tick();
    }
    world.cut.clear();
    world.step(0, Event::Stop);
    world.send(0, &key);
    world.send(1, &key);
    world.settle(2 * SECOND);
    while !world.started.is_empty() {
        world.finish(0);
    }
    assert!(world.runs.get(&key).copied().unwrap_or(0) <= 1);
    assert_eq!(world.broken, None);
}

/// Both entries of a failure domain are stopped at the same moment, and a third one is
/// there. The first hands its home to the second while the second releases the first. An
/// order that starts in between must be known to the third, which takes over in the end.
#[test]
fn two_stops_at_once_lose_no_start() {
    let mut world = World::new(config(Guards::ALL).build(), &["a", "a", "a"]);
    world.settle(SECOND);
    let key = world.key(0, "order");
    let backup = backup_of(&world, 0);
    world.step(0, Event::Stop);
    world.step(backup, Event::Stop);
    world.drain();
    world.tick();
    // The third has the records from before; it isn't told yet that it is the backup.
    world.drain();
    world.send(0, &key);
    world.settle(SECOND);
    while !world.started.is_empty() {
        world.finish(0);
    }
    let third = 3 - backup;
    for leaving in [0, backup] {
        world.crash(leaving);
    }
    world.spread_members();
    world.settle(2 * FAILOVER_TIMEOUT);
    world.send(third, &key);
    world.settle(SECOND);
    while !world.started.is_empty() {
        world.finish(0);
    }
    assert_eq!(world.runs.get(&key), Some(&1));
    assert_eq!(world.broken, None);
}

/// The entry to which another one's records go.
fn backup_of(world: &World, primary: Slot) -> Slot {
    let mut world = world.clone();
    let key = world.key(primary, "probe");
    world.send(primary, &key);
    let to = world.wire.iter().find_map(|packet| packet.record_to());
    to.expect("a record on its way to the backup")
}

/// All entries are stopped and started one after the other, as in an upgrade, while
/// orders are sent and resent. Each is answered by its only run.
#[test]
fn a_rolling_restart_loses_no_answer() {
    let mut world = world();
    let mut keys = Vec::new();
    for round in 0..4 {
        let slot = round % 2;
        for n in 0..3 {
            let key = world.key(slot, &format!("{round}-{n}"));
            world.send(2, &key);
            world.drain();
            world.finish(0);
            keys.push(key);
        }
        stop(&mut world, slot);
        world.settle(SECOND);
        assert!(world.nodes[&slot].is_handed_over(), "round {round}");
        world.crash(slot);
        world.boot(slot);
        world.spread_members();
        world.settle(2 * SECOND);
    }
    for key in &keys {
        world.send(2, key);
        world.drain();
        let answer = format!("answer to {key}");
        assert_eq!(world.last_told(key), Some(&Decision::Replay(answer.into())));
    }
    assert_eq!(world.counts.claim_results, 0);
    assert_eq!(world.broken, None);
}
