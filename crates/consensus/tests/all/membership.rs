//! Adding, promoting, replacing and removing replicas.

use filberthead_consensus::{Durable, Proposal, ProposeError, Role};

use crate::cluster::{Cluster, id};
use crate::replication::elected;

fn change(cluster: &mut Cluster, proposal: Proposal) -> Result<u64, ProposeError> {
    let leader = cluster.leader().expect("a leader");
    let token = cluster.propose(leader, proposal);
    cluster.run(500);
    cluster.proposed[&token]
}

/// A disk is wiped and its replica returns under a new identity; right after the repair a
/// second replica is lost. No committed change may be lost, and the remaining two must
/// still commit changes.
#[test]
fn accepted_changes_survive_a_second_loss_after_a_repair() {
    let (mut cluster, leader) = elected(3);
    let token = cluster.propose_command(leader, 1);
    cluster.run(300);
    let accepted = cluster.proposed[&token].expect("accepted");
    let mut rest = (1..=3).map(id).filter(|n| *n != leader);
    let (wiped, lost) = (
        rest.next().expect("a second replica"),
        rest.next().expect("a third replica"),
    );
    cluster.crash(wiped, false);
    cluster.nodes.remove(&wiped);
    cluster.add(id(4), Durable::default());
    change(&mut cluster, Proposal::AddLearner(id(4))).expect("added");
    change(&mut cluster, Proposal::Promote(id(4))).expect("promoted");
    change(&mut cluster, Proposal::Remove(wiped)).expect("removed");
    cluster.crash(lost, false);
    cluster.nodes.remove(&lost);
    cluster.crash(leader, true);
    cluster.restart(leader);
    cluster.run(4000);
    let leader = cluster.leader().expect("a leader of the two");
    assert!(cluster.nodes[&leader].applied >= accepted);
    let token = cluster.propose_command(leader, 2);
    cluster.run(500);
    assert!(cluster.proposed[&token].is_ok());
}

#[test]
fn learner_votes_only_when_caught_up() {
    let (mut cluster, _) = elected(3);
    change(&mut cluster, Proposal::AddLearner(id(4))).expect("added");
    let promoted = change(&mut cluster, Proposal::Promote(id(4)));
    assert_eq!(promoted, Err(ProposeError::LearnerBehind));
    cluster.add(id(4), Durable::default());
    cluster.run(1000);
    change(&mut cluster, Proposal::Promote(id(4))).expect("promoted");
    assert_eq!(cluster.status(id(4)).expect("running").role, Role::Follower);
}

#[test]
fn one_change_at_a_time() {
    let (mut cluster, leader) = elected(3);
    let first = cluster.propose(leader, Proposal::AddLearner(id(4)));
    let second = cluster.propose(leader, Proposal::AddLearner(id(5)));
    let rejected = Err(ProposeError::MembershipRefused);
    assert_eq!(cluster.proposed[&second], rejected);
    cluster.run(500);
    assert!(cluster.proposed[&first].is_ok());
}

/// The answer to a change is lost, or comes too late for its sender. A resend was refused for
/// good, although the change had been made.
#[test]
fn a_change_that_was_made_is_acknowledged_again() {
    let (mut cluster, _) = elected(3);
    let add = || Proposal::AddLearner(id(4));
    change(&mut cluster, add()).expect("added");
    change(&mut cluster, add()).expect("added before");
    cluster.add(id(4), Durable::default());
    cluster.run(1000);
    change(&mut cluster, Proposal::Promote(id(4))).expect("promoted");
    change(&mut cluster, Proposal::Promote(id(4))).expect("promoted before");
    change(&mut cluster, add()).expect("added before it was promoted");
    change(&mut cluster, Proposal::Remove(id(4))).expect("removed");
    change(&mut cluster, Proposal::Remove(id(4))).expect("removed before");
    let promoted = change(&mut cluster, Proposal::Promote(id(4)));
    assert_eq!(promoted, Err(ProposeError::MembershipRefused));
}

/// One of three is down and an operator removes the wrong one. One running and one dead
/// voter would remain, which can commit nothing, not even the reversal.
#[test]
fn removal_that_leaves_no_majority_is_rejected() {
    let (mut cluster, leader) = elected(3);
    let mut rest = (1..=3).map(id).filter(|n| *n != leader);
    let (dead, alive) = (
        rest.next().expect("a second replica"),
        rest.next().expect("a third replica"),
    );
    cluster.crash(dead, false);
    cluster.run(1000);
    let rejected = Err(ProposeError::MembershipRefused);
    assert_eq!(change(&mut cluster, Proposal::Remove(alive)), rejected);
    change(&mut cluster, Proposal::Remove(dead)).expect("removed");
}

/// The leader's own VM is retired: the leader must lead until its removal is committed,
/// then step down and never start an election again.
#[test]
fn removed_leader_steps_down() {
    let (mut cluster, leader) = elected(3);
    change(&mut cluster, Proposal::Remove(leader)).expect("removed");
    cluster.run(4000);
    let next = cluster.leader().expect("a new leader");
    assert_ne!(next, leader);
    let status = cluster.status(leader).expect("running");
    assert_eq!(status.role, Role::Learner);
    let token = cluster.propose_command(next, 1);
    cluster.run(500);
    assert!(cluster.proposed[&token].is_ok());
}
