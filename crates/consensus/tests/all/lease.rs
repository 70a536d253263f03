//! Which replica may serve reads and proposals, and until when.

use filberthead_consensus::{Config, Event, Message, ProposeError};
use filberthead_types::{Epoch, Moment};

use crate::cluster::{Cluster, id};
use crate::replication::elected;

/// A control VM is partitioned without noticing and remains in the leader state. It must
/// stop serving reads before the others can elect a leader and commit changes.
#[test]
fn isolated_leader_stops_serving_before_the_next_is_elected() {
    let (mut cluster, leader) = elected(3);
    cluster.isolate(leader);
    let mut stopped_at = None;
    for _ in 0..300 {
        cluster.run(10);
        if !cluster.read_is_served(leader) && stopped_at.is_none() {
            stopped_at = Some(cluster.now);
        }
        assert!(stopped_at.is_some() || cluster.leader() == Some(leader));
    }
    assert!(stopped_at.is_some());
    assert!(cluster.leader().is_some_and(|next| next != leader));
}

/// A leader's process is suspended while another is elected and commits a change. It
/// resumes with a read and a proposal in its queue, ahead of any message from the others:
/// serving them from memory would return a table that is no longer in force.
#[test]
fn resumed_leader_rejects_reads_and_proposals() {
    let (mut cluster, leader) = elected(3);
    let pending = cluster.propose_command(leader, 1);
    cluster.net.clear();
    cluster.run_with_suspended(4000, &[leader]);
    let next = cluster.leader().expect("a new leader");
    let token = cluster.propose_command(next, 2);
    cluster.run_with_suspended(500, &[leader]);
    assert!(cluster.proposed[&token].is_ok());
    assert!(!cluster.read_is_served(leader));
    assert_eq!(
        cluster.proposed[&pending],
        Err(ProposeError::OutcomeUnknown)
    );
    let late = cluster.propose_command(leader, 3);
    let rejected = Err(ProposeError::NotLeader { leader: None });
    assert_eq!(cluster.proposed[&late], rejected);
    cluster.run(1000);
    assert_eq!(cluster.leader(), Some(next));
}

/// The disks hang while messages flow: a heartbeat needs no sync, so a slow disk delays a
/// change but must not expire the lease.
#[test]
fn slow_disk_keeps_the_lease() {
    let (mut cluster, leader) = elected(3);
    let token = cluster.propose_command(leader, 1);
    for _ in 0..200 {
        cluster.now += Moment::from_millis(10);
        for envelope in std::mem::take(&mut cluster.net) {
            cluster.deliver(envelope);
        }
        for n in 1..=3 {
            cluster.tick(id(n));
        }
    }
    assert!(!cluster.proposed.contains_key(&token));
    assert_eq!(cluster.leader(), Some(leader));
    cluster.run(500);
    assert!(cluster.proposed[&token].is_ok());
}

/// A replica acknowledges a heartbeat, crashes and restarts without a record of it. An
/// immediate vote could elect a second leader during the first one's lease.
#[test]
fn restarted_replica_waits_an_election_timeout_to_vote() {
    let mut cluster = Cluster::new(3, Config::builder().build());
    cluster.now = Moment::from_secs(9);
    cluster.restart(id(1));
    let message = Message::PreVote {
        term: Epoch(5),
        last_index: 9,
        last_term: Epoch(4),
    };
    let request = Event::Received {
        from: id(2),
        message,
    };
    let granted = |cluster: &Cluster| {
        let reply = &cluster.net.last().expect("a reply").message;
        matches!(reply, Message::PreVoteReply { granted: true, .. })
    };
    cluster.now += Moment::from_millis(799);
    cluster.step(id(1), request.clone());
    assert!(!granted(&cluster));
    cluster.now += Moment::from_millis(1);
    cluster.step(id(1), request);
    assert!(granted(&cluster));
}

/// A new leader has the entries that an earlier one committed, but hasn't applied them
/// yet: a read before the first entry of its term is committed could miss a change.
#[test]
fn no_read_before_the_noop_is_committed() {
    let (mut cluster, leader) = elected(3);
    let token = cluster.propose_command(leader, 1);
    for _ in 0..4 {
        cluster.run(10);
    }
    assert!(cluster.proposed[&token].is_ok());
    cluster.isolate(leader);
    for _ in 0..400 {
        cluster.run(10);
        for n in (1..=3).map(id).filter(|n| *n != leader) {
            let served = cluster.read_is_served(n);
            assert!(!served || cluster.nodes[&n].applied >= cluster.history.accepted);
        }
    }
    assert_eq!(cluster.history.violation, None);
}
