//! A replica loses its disk and is replaced.

use filberthead_operator::ReplicaRole;
use filberthead_testing::operator::{Attempt, BOUND, Operator, set_weight};
use filberthead_testing::{eventually, wait_until};
use filberthead_types::Revision;

use crate::control::group::Group;

/// Accepted changes to wait for between two steps.
const MIN_CHANGES: usize = 20;

/// Kills a follower, wipes its disk and starts it again. Returns its name and its former
/// replica id.
fn wipe_follower(group: &mut Group) -> (String, filberthead_types::ReplicaId) {
    let leader = group.leader_name();
    let name = group.others(&leader).remove(0);
    let node = group.cluster.control(&name);
    let addr = node.addr("operator");
    let before = group.operator.status_of(addr).expect("a status").replica;
    let node = group.cluster.control(&name);
    node.kill();
    node.wipe();
    node.start();
    let status = eventually("a status", BOUND, || group.operator.status_of(addr));
    assert_ne!(status.replica, before, "a wiped disk is a new replica");
    assert_eq!(status.role, ReplicaRole::Uninitialised);
    (name, before)
}

/// A VM restarts with an empty disk and is made a member again; as soon as it votes,
/// another VM dies. The replaced replica is half of the remaining majority, so it must
/// hold everything that was accepted before it joined.
#[test]
fn replaced_replica_holds_all_accepted_changes() {
    let mut group = Group::start();
    let writers = group.writers();
    group.wait_progress(MIN_CHANGES);
    let (name, lost) = wipe_follower(&mut group);
    group.wait_progress(MIN_CHANGES);
    group.operator.remove_replica(lost);
    let addr = group.cluster.control(&name).addr("operator");
    group.operator.add_replica(addr);

    let leader = group.leader_name();
    let victim = if leader == name {
        group.others(&name).remove(0)
    } else {
        leader
    };
    group.cluster.control(&victim).kill();
    group.wait_other_leader(&victim);
    group.wait_progress(MIN_CHANGES);
    group.check(writers);
}

/// The answers to an operator's removal and addition are lost, and he sends both again. Each
/// resend was refused for good, although the change had been made.
#[test]
fn membership_changes_are_acknowledged_again() {
    let mut group = Group::start();
    let (name, lost) = wipe_follower(&mut group);
    let addr = group.cluster.control(&name).addr("operator");
    for _ in 0..2 {
        group.operator.remove_replica(lost);
    }
    for _ in 0..2 {
        group.operator.add_replica(addr);
    }
}

/// A VM restarts with an empty disk, and a second one dies before the first is a member
/// again. Two of three processes run, but only one holds what was accepted: nothing may
/// be accepted until the second one is back.
#[test]
fn wiped_replica_does_not_count_towards_a_majority() {
    let mut group = Group::start();
    let writers = group.writers();
    group.wait_progress(MIN_CHANGES);
    let (wiped, _) = wipe_follower(&mut group);
    let leader = group.leader_name();
    let second = group.others(&leader).into_iter().find(|n| *n != wiped);
    let second = second.expect("three replicas");
    group.cluster.control(&second).kill();

    wait_until("no replica leads", BOUND, || {
        group.operator.leader().is_none()
    });
    let change = set_weight("orders", "split", Revision(0), 1);
    for addr in group.cluster.operator_addrs().iter().cycle().take(9) {
        let attempt = group.operator.attempt(*addr, &change);
        group.outcomes.record(change.id, &attempt);
        let is_decided = matches!(attempt, Attempt::Accepted(_) | Attempt::Refused(_));
        assert!(!is_decided, "without a majority: {attempt:?}");
    }
    group.cluster.control(&second).start();
    group.wait_progress(MIN_CHANGES);
    writers.stop();
    group.outcomes.check(&group.operator);
}

/// A replica of a new name joins before the dead one is removed, so that the group never
/// has fewer voters than before.
#[test]
fn replacement_added_before_the_dead_replica_is_removed() {
    let mut group = Group::start();
    let place = group.cluster.controls[0].place().clone();
    group.cluster.add_control("control-4", &place);
    group.operator = Operator::new("ana", group.cluster.operator_addrs());
    let writers = group.writers();
    group.wait_progress(MIN_CHANGES);
    let leader = group.leader_name();
    let running = group.others(&leader);
    let dead = running.iter().find(|name| *name != "control-4");
    let dead = dead.expect("three replicas").clone();
    let addr = group.cluster.control(&dead).addr("operator");
    let lost = group.operator.status_of(addr).expect("a status").replica;
    group.cluster.control(&dead).kill();
    let spare = group.cluster.control("control-4");
    spare.start();
    let spare = spare.addr("operator");
    group.operator.add_replica(spare);
    group.operator.remove_replica(lost);
    group.wait_progress(MIN_CHANGES);

    let leader = group.leader_name();
    group.cluster.control(&leader).kill();
    group.wait_other_leader(&leader);
    group.wait_progress(MIN_CHANGES);
    group.check(writers);
}
