//! Elections, proposals, restarts, snapshots.

use filberthead_consensus::{Config, Entry, Event, Message, Payload, Proposal, ProposeError, Role};
use filberthead_types::{Epoch, ReplicaId};

use crate::world::{World, id};

/// A cluster of `n` that has elected a leader, and that leader.
pub(crate) fn elected(n: u64) -> (World, ReplicaId) {
    elected_with(n, Config::builder().build())
}

pub(crate) fn elected_with(n: u64, cfg: Config) -> (World, ReplicaId) {
    let mut world = World::new(n, cfg);
    world.run(3000);
    let leader = world.leader().expect("a leader");
    (world, leader)
}

fn others(world: &World, leader: ReplicaId) -> Vec<ReplicaId> {
    world
        .nodes
        .keys()
        .copied()
        .filter(|id| *id != leader)
        .collect()
}

#[test]
fn proposal_is_applied_everywhere() {
    for n in [1, 3, 5, 7] {
        let (mut world, leader) = elected(n);
        let token = world.command(leader, 7);
        world.run(500);
        let index = world.proposed[&token].expect("accepted");
        assert_eq!(
            world.record.committed[&index].payload,
            Payload::Command(vec![7])
        );
        assert!(world.nodes.values().all(|node| node.applied == index));
        assert!(world.reads(leader));
    }
}

#[test]
fn follower_names_the_leader() {
    let (mut world, leader) = elected(3);
    let follower = others(&world, leader)[0];
    let token = world.command(follower, 1);
    let refused = ProposeError::NotLeader {
        leader: Some(leader),
    };
    assert_eq!(world.proposed[&token], Err(refused));
    assert!(!world.reads(follower));
}

/// Many operators edit at once while the disk is slow: what comes in during a sync must
/// share the next one, or the log falls behind by one sync a change.
#[test]
fn proposals_share_a_sync() {
    let (mut world, leader) = elected(3);
    for byte in 0..50 {
        world.command(leader, byte);
    }
    let first = world.nodes[&leader].unsynced.clone().expect("a sync");
    assert_eq!(first.entries.len(), 1);
    world.sync(leader);
    let second = world.nodes[&leader].unsynced.clone().expect("a sync");
    assert_eq!(second.entries.len(), 49);
    world.run(500);
    assert_eq!(world.proposed.values().filter(|r| r.is_ok()).count(), 50);
}

/// A change is accepted, then the whole site loses power. After the restart it must
/// still be there, although every replica forgot how far the log was committed.
#[test]
fn accepted_change_outlives_a_restart_of_all() {
    let (mut world, leader) = elected(3);
    let token = world.command(leader, 9);
    world.run(300);
    let index = world.proposed[&token].expect("accepted");
    for n in 1..=3 {
        world.crash(id(n), false);
    }
    world.net.clear();
    for n in 1..=3 {
        world.restart(id(n));
    }
    world.run(3000);
    let leader = world.leader().expect("a leader");
    assert!(world.nodes[&leader].applied > index);
}

/// A leader dies with entries that nobody else has. When it comes back, its tail must
/// give way to what the others accepted meanwhile.
#[test]
fn false_tail_gives_way() {
    let (mut world, leader) = elected(3);
    world.isolate(leader);
    let lost = world.command(leader, 1);
    world.command(leader, 2);
    world.run(3000);
    assert_eq!(world.proposed[&lost], Err(ProposeError::OutcomeUnknown));
    let next = world.leader().expect("a new leader");
    assert_ne!(next, leader);
    let token = world.command(next, 3);
    world.run(500);
    world.heal();
    world.run(2000);
    let index = world.proposed[&token].expect("accepted");
    assert!(world.nodes[&leader].applied >= index);
    let commands: Vec<_> = world
        .record
        .committed
        .values()
        .map(|e| &e.payload)
        .collect();
    assert!(!commands.contains(&&Payload::Command(vec![1])));
}

/// A replica sleeps through so many changes that the leader's log no longer reaches
/// back: it must get the snapshot, and then go on with entries.
#[test]
fn long_absence_is_made_up_by_snapshot() {
    let cfg = Config::builder().snapshot_after(8).build();
    let (mut world, leader) = elected_with(3, cfg);
    let follower = others(&world, leader)[0];
    world.crash(follower, false);
    for byte in 0..60 {
        world.command(leader, byte);
        world.run(20);
    }
    assert!(world.nodes[&leader].disk.snapshot.index > 40);
    assert!(world.nodes[&leader].disk.entries.len() < 20);
    world.restart(follower);
    world.run(2000);
    let token = world.command(leader, 99);
    world.run(500);
    let index = world.proposed[&token].expect("accepted");
    assert_eq!(world.nodes[&follower].applied, index);
    assert!(world.nodes[&follower].disk.snapshot.index > 40);
}

/// Operators change a configuration of 480 kB many times. Only entries were counted, and the
/// log was never cut: a replica with an empty disk was sent each of the changes since the
/// beginning, six a second. It was still learning 20 s later, when two more disks were lost
/// and nobody could lead: "table restored from a snapshot" index 1, then revisions 18 to 53.
#[test]
fn a_log_of_large_changes_is_cut_too() {
    const LARGE: usize = 480 * 1024;
    const BOUND: usize = 10 * 1024 * 1024;
    let (mut world, leader) = elected(3);
    for byte in 0..60 {
        world.propose(leader, Proposal::Command(vec![byte; LARGE]));
        world.run(40);
    }
    let large =
        |entry: &&Entry| matches!(&entry.payload, Payload::Command(buf) if buf.len() == LARGE);
    let held = world.nodes[&leader]
        .disk
        .entries
        .iter()
        .filter(large)
        .count();
    assert!(
        held * LARGE <= BOUND,
        "{held} changes of {LARGE} bytes in the log"
    );
}

/// A message of entries is lost, and nothing new is proposed: the next heartbeat must
/// show it, or the follower would lag until the next change.
#[test]
fn lost_entries_are_sent_again() {
    let (mut world, leader) = elected(3);
    world.command(leader, 5);
    world.net.clear();
    world.run(500);
    let index = world.status(leader).expect("running").last_index;
    assert!(world.nodes.values().all(|node| node.applied == index));
}

/// Two members cut off from each other, but not from the third, must not depose its
/// leader again and again.
#[test]
fn half_cut_replica_does_not_depose_the_leader() {
    let (mut world, leader) = elected(3);
    let cut_off = others(&world, leader)[0];
    world.cut.insert((leader, cut_off));
    let term = world.status(leader).expect("running").term;
    world.run(5000);
    world.heal();
    world.run(1000);
    assert_eq!(world.leader(), Some(leader));
    assert_eq!(world.status(leader).expect("running").term, term);
}

/// A command that nobody answers for must not make the leader's memory grow.
#[test]
fn proposals_beyond_the_bound_are_refused() {
    let cfg = Config::builder().max_uncommitted_bytes(100).build();
    let (mut world, leader) = elected_with(3, cfg);
    let tokens: Vec<_> = (0..10).map(|byte| world.command(leader, byte)).collect();
    let overloaded = Err(ProposeError::Overloaded);
    assert!(
        tokens
            .iter()
            .any(|t| world.proposed.get(t) == Some(&overloaded))
    );
    world.run(500);
    let token = world.command(leader, 11);
    world.run(500);
    assert!(world.proposed[&token].is_ok());
}

/// A vote leaves only after it is synced: a replica that voted, crashed and forgot
/// would vote again, and two leaders would share a term.
#[test]
fn vote_waits_for_the_disk() {
    let mut world = World::new(3, Config::builder().build());
    world.now = std::time::Duration::from_secs(1);
    let message = Message::Vote {
        term: Epoch(5),
        last_index: 9,
        last_term: Epoch(4),
    };
    let from = id(2);
    world.step(id(1), Event::Received { from, message });
    assert!(world.net.is_empty());
    world.sync(id(1));
    assert_eq!(world.net.len(), 1);
    assert_eq!(world.nodes[&id(1)].disk.hard_state.vote, Some(id(2)));
}

/// An empty data folder knows no cluster: a vote from it would count a replica whose
/// earlier promises are lost.
#[test]
fn empty_replica_neither_votes_nor_campaigns() {
    let mut world = World::new(3, Config::builder().build());
    world.add(id(4), Default::default());
    world.run(5000);
    assert_eq!(world.status(id(4)).expect("running").role, Role::Learner);
    let message = Message::Vote {
        term: Epoch(99),
        last_index: 999,
        last_term: Epoch(98),
    };
    let from = id(2);
    world.step(id(4), Event::Received { from, message });
    world.sync(id(4));
    let granted = |m: &Message| matches!(m, Message::VoteReply { granted: true, .. });
    assert!(!world.net.iter().any(|e| granted(&e.message)));
}
