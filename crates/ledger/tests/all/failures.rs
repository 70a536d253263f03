//! Failures that users have had, or would have, as stories.

use std::time::Duration;

use filberthead_ledger::{Decision, Event, Guards};
use filberthead_types::ResultCode;

use crate::cluster::{FAILOVER_TIMEOUT, START_WINDOW, World, config};

const SECOND: Duration = Duration::from_secs(1);

/// Entries 0 and 1 in one failure domain, 2 in another one.
fn world() -> World {
    let mut world = World::new(config(Guards::ALL).build(), &["a", "a", "b"]);
    world.settle(SECOND);
    world
}

fn assert_replayed(world: &World, key: &str) {
    let answer = format!("answer to {key}");
    assert_eq!(
        world.last_told(key),
        Some(&Decision::Replay(answer.into())),
        "{:?}",
        world.told
    );
    assert_eq!(world.broken, None);
}

/// A shop owner's connection is cut after the order went out. Her till resends it at
/// another entry while the order still runs, and once more when it is done. Without a
/// common home each entry would run the order for itself.
#[test]
fn a_resend_elsewhere_gets_the_answer_of_the_first_run() {
    let mut world = world();
    let key = world.key(0, "order");
    world.send(0, &key);
    world.drain();
    world.run(0);
    world.send(2, &key);
    world.drain();
    assert_eq!(
        world.last_told(&key).and_then(forwarded_to),
        Some("entry-0")
    );
    world.finish(0);
    assert_replayed(&world, &key);
    world.send(1, &key);
    world.drain();
    assert_replayed(&world, &key);
    assert_eq!(world.runs[&key], 1);
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
    let mut world = world();
    let key = world.key(0, "order");
    world.send(0, &key);
    world.send(1, &key);
    world.drain();
    assert_eq!(world.started.len(), 1);
    world.finish(0);
    let replays = world
        .told
        .iter()
        .filter(|(_, b)| matches!(b, Decision::Replay(_)));
    assert_eq!(replays.count(), 1);
    assert_eq!(world.broken, None);
}

/// A shop owner corrects her order and the till sends it under the old key. She must not
/// be shown the old order's answer as if the new one were placed.
#[test]
fn another_request_under_the_same_key_is_refused() {
    let mut world = world();
    let key = world.key(0, "order");
    world.send(0, &key);
    world.drain();
    world.finish(0);
    for slot in 0..3 {
        world.request(slot, &key, 2, 0);
        world.drain();
        assert_eq!(world.last_code(&key), Some(ResultCode::KeyReused));
    }
}

/// The entry dies after the order went to an endpoint. The owner's resend reaches the
/// backup, which can't know whether the order was placed and must not place it again.
#[test]
fn a_key_whose_primary_died_while_it_ran_never_runs_again() {
    let mut world = world();
    let key = world.key(0, "order");
    world.send(0, &key);
    world.drain();
    world.run(0);
    world.crash(0);
    world.spread_members();
    world.settle(2 * FAILOVER_TIMEOUT);
    for slot in [1, 2] {
        world.send(slot, &key);
        world.drain();
        assert_eq!(world.last_code(&key), Some(ResultCode::OutcomeUnknown));
    }
    assert_eq!(world.broken, None);
}

/// The entry dies after the order was answered. The owner lost the answer; her resend at
/// the backup brings it back, byte for byte.
#[test]
fn a_finished_key_is_replayed_by_the_backup() {
    let mut world = world();
    let key = world.key(0, "order");
    world.send(0, &key);
    world.drain();
    world.finish(0);
    world.drain();
    world.crash(0);
    world.spread_members();
    world.settle(2 * FAILOVER_TIMEOUT);
    world.send(2, &key);
    world.drain();
    assert_replayed(&world, &key);
}

/// The list of live entries still names the dead holder. A till's resend elsewhere would
/// be passed on to it over and over; after the first failure it goes to the backup.
#[test]
fn a_dead_primary_on_a_lagging_list_is_avoided() {
    let mut world = world();
    let key = world.key(0, "order");
    world.send(0, &key);
    world.drain();
    world.finish(0);
    world.drain();
    world.crash(0);
    world.settle(2 * FAILOVER_TIMEOUT);
    world.send_after_failure(2, &key, 0);
    world.drain();
    assert_replayed(&world, &key);
}

/// An entry has just died, and an owner's order, with a cached prefix, reaches its backup
/// before that has taken over. She waits for these seconds; no resend is needed.
#[test]
fn an_order_during_the_takeover_waits_for_it() {
    let mut world = world();
    let key = world.key(0, "order");
    world.crash(0);
    world.send_after_failure(1, &key, 0);
    world.drain();
    assert_eq!(world.last_told(&key), None);
    world.settle(2 * FAILOVER_TIMEOUT);
    assert_eq!(world.last_told(&key), Some(&Decision::Start));
    assert_eq!(world.broken, None);
}

/// The entry dies before a cached prefix is first used. The order, sent to the entry
/// next on the caller's list, is placed as if nothing had happened.
#[test]
fn an_unused_prefix_survives_its_entry() {
    let mut world = world();
    let key = world.key(0, "order");
    world.crash(0);
    world.spread_members();
    world.settle(2 * FAILOVER_TIMEOUT);
    world.send(2, &key);
    world.drain();
    assert_eq!(world.started.len(), 1);
    assert_eq!(world.started[0].slot, 1);
}

/// An entry's VM is suspended while an order runs, its backup takes over, and the VM
/// wakes with old requests at hand. What it had started goes on; anything else goes to
/// the new holder, also before the sleeper has learned that it is deposed.
#[test]
fn a_suspended_primary_starts_nothing_when_it_wakes() {
    let mut world = world();
    let running = world.key(0, "running");
    let late = world.key(0, "late");
    world.send(0, &running);
    world.drain();
    world.run(0);
    let sleeper = world.nodes.remove(&0).expect("it runs");
    world.settle(2 * FAILOVER_TIMEOUT);
    world.send(1, &late);
    world.drain();
    assert_eq!(world.started.len(), 2);
    world.nodes.insert(0, sleeper);
    world.send(0, &late);
    world.settle(SECOND);
    assert_eq!(world.started.len(), 2, "the sleeper has started a key");
    world.finish(0);
    world.settle(SECOND);
    world.send(1, &running);
    world.drain();
    assert_replayed(&world, &running);
}

/// A failure domain is cut off from everything. Orders made there go on there; the same
/// key sent elsewhere is refused, and not as "not run", for it may run where it was made.
#[test]
fn a_home_that_is_cut_off_serves_its_keys_and_nobody_else_does() {
    let mut world = world();
    let key = world.key(0, "order");
    for inside in [0, 1] {
        world.cut_both_ways(inside, 2);
        world.control_cut.insert(inside);
    }
    let outsiders = vec![world.members[&2].clone()];
    world.step(2, Event::Members(outsiders));
    world.send(2, &key);
    world.drain();
    assert_eq!(world.last_code(&key), Some(ResultCode::HomeUnreachable));
    world.send(1, &key);
    world.drain();
    world.finish(0);
    assert_replayed_after_resend(&mut world, &key);
}

fn assert_replayed_after_resend(world: &mut World, key: &str) {
    world.send(0, key);
    world.drain();
    assert_replayed(world, key);
}

/// A cut-off failure domain loses one of its two entries. Nobody may say which of both
/// goes on with the old keys, so first sends of those wait and are told "may have run";
/// but new orders are taken under a prefix of the survivor's own.
#[test]
fn the_survivor_of_a_cut_off_failure_domain_takes_new_keys() {
    let mut world = world();
    let old = world.key(1, "old");
    world.control_cut.insert(1);
    world.crash(0);
    world.settle(4 * FAILOVER_TIMEOUT);
    world.send(1, &old);
    world.settle(6 * SECOND);
    assert_eq!(world.last_code(&old), Some(ResultCode::StillRunning));
    let new = world.key(1, "new");
    world.send(1, &new);
    world.drain();
    assert_eq!(world.started.len(), 1);
    world.finish(0);
    world.control_cut.clear();
    world.settle(2 * SECOND);
    world.send(1, &old);
    world.drain();
    assert_eq!(world.last_code(&old), Some(ResultCode::DeadlineBeforeRun));
    assert_eq!(world.broken, None);
}

/// Both entries of a failure domain die and come back empty. A resend of an order from
/// before can't be told anything but "may have run".
#[test]
fn a_home_that_lost_its_records_never_runs_its_keys() {
    let mut world = world();
    let key = world.key(0, "order");
    world.send(0, &key);
    world.drain();
    world.run(0);
    world.crash(0);
    world.crash(1);
    world.boot(0);
    world.boot(1);
    world.spread_members();
    world.settle(2 * FAILOVER_TIMEOUT);
    for slot in 0..3 {
        world.send(slot, &key);
        world.drain();
        let code = world.last_code(&key);
        assert_eq!(code, Some(ResultCode::HomeLostRecords), "at {slot}");
    }
}

/// The ledger is full. An owner's order is refused as "not run"; a copy of it that was
/// on its way longer arrives when there is room again, and must not run.
#[test]
fn a_key_refused_by_a_full_ledger_stays_refused() {
    let cfg = config(Guards::ALL).max_keys(2).build();
    let mut world = World::new(cfg, &["a", "a", "b"]);
    world.settle(SECOND);
    let keys: Vec<_> = (0..3).map(|n| world.key(0, &n.to_string())).collect();
    for key in &keys {
        world.send(0, key);
        world.drain();
    }
    assert_eq!(world.last_code(&keys[2]), Some(ResultCode::LedgerFull));
    assert_eq!(world.started.len(), 2);
    world.finish(0);
    world.finish(0);
    world.settle(world_lifetime());
    world.send(0, &keys[2]);
    world.drain();
    assert!(world.started.is_empty());
    let fresh = world.key(0, "fresh");
    world.send(0, &fresh);
    world.drain();
    assert_eq!(world.started.len(), 1);
    assert_eq!(world.broken, None);
}

/// More orders run at once than the ledger keeps room for answers of. A further one is
/// asked to come again with the same key, and goes through when the others are done.
#[test]
fn an_order_beside_too_many_running_ones_may_come_again() {
    let cfg = config(Guards::ALL).max_bytes(3 * 64).build();
    let mut world = World::new(cfg, &["a", "a", "b"]);
    world.settle(SECOND);
    let keys: Vec<_> = (0..4).map(|n| world.key(0, &n.to_string())).collect();
    for key in &keys {
        world.send(0, key);
        world.drain();
    }
    assert_eq!(world.last_code(&keys[3]), Some(ResultCode::KeyNotChecked));
    assert_eq!(world.started.len(), 3);
    world.give_up(0);
    world.send(0, &keys[3]);
    world.drain();
    assert_eq!(world.last_told(&keys[3]), Some(&Decision::Start));
}

/// Time after which every key of a prefix handed out now is dropped.
fn world_lifetime() -> Duration {
    Duration::from_secs(10 + 20 + 60 + 10)
}

/// Hundreds of orders are refused in an overload. The ledger doesn't keep each of them:
/// it closes their prefix as a whole, and each stays refused.
#[test]
fn many_refusals_take_bounded_memory() {
    let cfg = config(Guards::ALL).max_closed(3).build();
    let mut world = World::new(cfg, &["a", "a", "b"]);
    world.settle(SECOND);
    let mut keys = Vec::new();
    for n in 0..200 {
        let Some(prefix) = world.prefix(0) else {
            panic!("no prefix at order {n}");
        };
        let key = format!("{prefix}{n}");
        world.send(0, &key);
        world.drain();
        if !world.started.is_empty() {
            world.give_up(0);
        }
        keys.push(key);
        world.settle(Duration::from_millis(50));
    }
    assert!(world.nodes[&0].keys() < 10, "{}", world.nodes[&0].keys());
    for key in &keys {
        world.send(1, key);
        world.drain();
        let code = world.last_code(key).expect("a refusal");
        assert_eq!(code.meaning(), filberthead_types::Meaning::NotRun, "{key}");
    }
    assert_eq!(world.broken, None);
}

/// A till that was switched off for the weekend resends Friday's order. Its record is
/// gone by then; the order must not be placed once more, and nobody can say "not run".
#[test]
fn a_resend_after_retention_never_runs() {
    let mut world = world();
    let key = world.key(0, "order");
    world.send(0, &key);
    world.drain();
    world.finish(0);
    world.settle(world_lifetime());
    assert_eq!(world.nodes[&0].keys(), 0);
    world.send(1, &key);
    world.drain();
    assert_eq!(world.last_code(&key), Some(ResultCode::KeyExpired));
    assert_eq!(world.broken, None);
}

/// An owner looks up an entry, fills in an order at leisure and sends it after its
/// prefix was closed. She is told "not run", for good, and orders with a new key.
#[test]
fn a_first_send_after_the_start_window_is_not_run() {
    let mut world = world();
    let key = world.key(0, "order");
    world.settle(START_WINDOW + Duration::from_secs(12));
    world.send(0, &key);
    world.drain();
    assert_eq!(world.last_code(&key), Some(ResultCode::KeyClosed));
}

/// An answer is larger than the ledger stores. The resend is told that the order ran,
/// and that its answer is gone.
#[test]
fn a_large_answer_is_not_replayed_but_known_to_have_run() {
    let mut world = world();
    let key = world.key(0, "order");
    world.send(0, &key);
    world.drain();
    world.run(0);
    let token = world.started.remove(0).token;
    let answer = Some(vec![7; 65].into());
    world.step(0, Event::Finished { token, answer });
    world.send(1, &key);
    world.drain();
    assert_eq!(world.last_code(&key), Some(ResultCode::AnswerNotStored));
}
