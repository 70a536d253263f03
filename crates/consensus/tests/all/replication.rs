//! Elections, proposals, restarts, snapshots.

use filberthead_consensus::{Config, Entry, Event, Message, Payload, Proposal, ProposeError, Role};
use filberthead_types::{Epoch, ReplicaId};

use crate::cluster::{Cluster, id};

/// A cluster of `n` voters with its elected leader.
pub(crate) fn elected(n: u64) -> (Cluster, ReplicaId) {
    elected_with(n, Config::builder().build())
}

pub(crate) fn elected_with(n: u64, cfg: Config) -> (Cluster, ReplicaId) {
    let mut cluster = Cluster::new(n, cfg);
    cluster.run(3000);
    let leader = cluster.leader().expect("a leader");
    (cluster, leader)
}

fn others(cluster: &Cluster, leader: ReplicaId) -> Vec<ReplicaId> {
    cluster
        .nodes
        .keys()
        .copied()
        .filter(|id| *id != leader)
        .collect()
}

#[test]
fn proposal_is_applied_everywhere() {
    for n in [1, 3, 5, 7] {
        let (mut cluster, leader) = elected(n);
        let token = cluster.propose_command(leader, 7);
        cluster.run(500);
        let index = cluster.proposed[&token].expect("accepted");
        assert_eq!(
            cluster.history.committed[&index].payload,
            Payload::Command(vec![7])
        );
        assert!(cluster.nodes.values().all(|node| node.applied == index));
        assert!(cluster.read_is_served(leader));
    }
}

#[test]
fn follower_reports_the_leader() {
    let (mut cluster, leader) = elected(3);
    let follower = others(&cluster, leader)[0];
    let token = cluster.propose_command(follower, 1);
    let rejected = ProposeError::NotLeader {
        leader: Some(leader),
    };
    assert_eq!(cluster.proposed[&token], Err(rejected));
    assert!(!cluster.read_is_served(follower));
}

/// Many operators edit at once while the disk is slow: proposals that arrive during a sync
/// must share the next one, or each change would wait for a sync of its own.
#[test]
fn proposals_share_a_sync() {
    let (mut cluster, leader) = elected(3);
    for byte in 0..50 {
        cluster.propose_command(leader, byte);
    }
    let first = cluster.nodes[&leader].unsynced.clone().expect("a sync");
    assert_eq!(first.entries.len(), 1);
    cluster.sync(leader);
    let second = cluster.nodes[&leader].unsynced.clone().expect("a sync");
    assert_eq!(second.entries.len(), 49);
    cluster.run(500);
    assert_eq!(cluster.proposed.values().filter(|r| r.is_ok()).count(), 50);
}

/// A change is committed, then all replicas lose power. It must survive the restart,
/// although the commit index isn't stored.
#[test]
fn accepted_change_survives_a_restart_of_all() {
    let (mut cluster, leader) = elected(3);
    let token = cluster.propose_command(leader, 9);
    cluster.run(300);
    let index = cluster.proposed[&token].expect("accepted");
    for n in 1..=3 {
        cluster.crash(id(n), false);
    }
    cluster.net.clear();
    for n in 1..=3 {
        cluster.restart(id(n));
    }
    cluster.run(3000);
    let leader = cluster.leader().expect("a leader");
    assert!(cluster.nodes[&leader].applied > index);
}

/// A leader is isolated with entries that no other replica has. When it returns, they must
/// be overwritten by what the others have committed.
#[test]
fn uncommitted_tail_is_overwritten() {
    let (mut cluster, leader) = elected(3);
    cluster.isolate(leader);
    let lost = cluster.propose_command(leader, 1);
    cluster.propose_command(leader, 2);
    cluster.run(3000);
    assert_eq!(cluster.proposed[&lost], Err(ProposeError::OutcomeUnknown));
    let next = cluster.leader().expect("a new leader");
    assert_ne!(next, leader);
    let token = cluster.propose_command(next, 3);
    cluster.run(500);
    cluster.heal();
    cluster.run(2000);
    let index = cluster.proposed[&token].expect("accepted");
    assert!(cluster.nodes[&leader].applied >= index);
    let commands: Vec<_> = cluster
        .history
        .committed
        .values()
        .map(|e| &e.payload)
        .collect();
    assert!(!commands.contains(&&Payload::Command(vec![1])));
}

/// A replica is down for so many changes that the leader has discarded the entries it
/// needs: it must receive the snapshot, and entries after it.
#[test]
fn follower_behind_the_log_receives_a_snapshot() {
    let cfg = Config::builder().snapshot_after(8).build();
    let (mut cluster, leader) = elected_with(3, cfg);
    let follower = others(&cluster, leader)[0];
    cluster.crash(follower, false);
    for byte in 0..60 {
        cluster.propose_command(leader, byte);
        cluster.run(20);
    }
    assert!(cluster.nodes[&leader].disk.snapshot.index > 40);
    assert!(cluster.nodes[&leader].disk.entries.len() < 20);
    cluster.restart(follower);
    cluster.run(2000);
    let token = cluster.propose_command(leader, 99);
    cluster.run(500);
    let index = cluster.proposed[&token].expect("accepted");
    assert_eq!(cluster.nodes[&follower].applied, index);
    assert!(cluster.nodes[&follower].disk.snapshot.index > 40);
}

/// Operators change a configuration of 480 kB many times. If a snapshot is due by the number
/// of entries alone, the log isn't compacted: a replica with an empty disk receives every
/// change since the first, six per second. It restored a snapshot at index 1 and was still
/// applying revisions 18 to 53 one by one 20 s later, when two more disks were lost and no
/// leader could be elected.
#[test]
fn log_of_large_commands_is_compacted() {
    const LARGE: usize = 480 * 1024;
    const BOUND: usize = 10 * 1024 * 1024;
    let (mut cluster, leader) = elected(3);
    for byte in 0..60 {
        cluster.propose(leader, Proposal::Command(vec![byte; LARGE]));
        cluster.run(40);
    }
    let large =
        |entry: &&Entry| matches!(&entry.payload, Payload::Command(buf) if buf.len() == LARGE);
    let held = cluster.nodes[&leader]
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

/// A message with entries is lost, and nothing more is proposed: the next heartbeat must
/// detect it, or the follower would lag until the next change.
#[test]
fn lost_entries_are_resent() {
    let (mut cluster, leader) = elected(3);
    cluster.propose_command(leader, 5);
    cluster.net.clear();
    cluster.run(500);
    let index = cluster.status(leader).expect("running").last_index;
    assert!(cluster.nodes.values().all(|node| node.applied == index));
}

/// A voter that receives nothing from the leader, while all other links work, must not
/// depose the leader again and again.
#[test]
fn partially_partitioned_replica_does_not_depose_the_leader() {
    let (mut cluster, leader) = elected(3);
    let cut_off = others(&cluster, leader)[0];
    cluster.cut_links.insert((leader, cut_off));
    let term = cluster.status(leader).expect("running").term;
    cluster.run(5000);
    cluster.heal();
    cluster.run(1000);
    assert_eq!(cluster.leader(), Some(leader));
    assert_eq!(cluster.status(leader).expect("running").term, term);
}

/// Commands that no follower acknowledges must not make the leader's memory grow.
#[test]
fn proposals_beyond_the_limit_are_rejected() {
    let cfg = Config::builder().max_uncommitted_bytes(100).build();
    let (mut cluster, leader) = elected_with(3, cfg);
    let tokens: Vec<_> = (0..10)
        .map(|byte| cluster.propose_command(leader, byte))
        .collect();
    let overloaded = Err(ProposeError::Overloaded);
    assert!(
        tokens
            .iter()
            .any(|t| cluster.proposed.get(t) == Some(&overloaded))
    );
    cluster.run(500);
    let token = cluster.propose_command(leader, 11);
    cluster.run(500);
    assert!(cluster.proposed[&token].is_ok());
}

/// A vote is sent only after it is synced: a replica that lost its vote in a crash could
/// vote again, and elect a second leader in the same term.
#[test]
fn vote_waits_for_the_sync() {
    let mut cluster = Cluster::new(3, Config::builder().build());
    cluster.now = std::time::Duration::from_secs(1);
    let message = Message::Vote {
        term: Epoch(5),
        last_index: 9,
        last_term: Epoch(4),
    };
    let from = id(2);
    cluster.step(id(1), Event::Received { from, message });
    assert!(cluster.net.is_empty());
    cluster.sync(id(1));
    assert_eq!(cluster.net.len(), 1);
    assert_eq!(cluster.nodes[&id(1)].disk.hard_state.vote, Some(id(2)));
}

/// An empty data folder has no membership: a vote from it would count a replica whose
/// earlier votes and acknowledgements are lost.
#[test]
fn empty_replica_neither_votes_nor_campaigns() {
    let mut cluster = Cluster::new(3, Config::builder().build());
    cluster.add(id(4), Default::default());
    cluster.run(5000);
    assert_eq!(cluster.status(id(4)).expect("running").role, Role::Learner);
    let message = Message::Vote {
        term: Epoch(99),
        last_index: 999,
        last_term: Epoch(98),
    };
    let from = id(2);
    cluster.step(id(4), Event::Received { from, message });
    cluster.sync(id(4));
    let granted = |m: &Message| matches!(m, Message::VoteReply { granted: true, .. });
    assert!(!cluster.net.iter().any(|e| granted(&e.message)));
}
