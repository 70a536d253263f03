//! The leader is killed, suspended, or partitioned one way.

use std::time::Duration;

use filberthead_testing::operator::{Attempt, BOUND, set_weight};
use filberthead_testing::wait_until;
use filberthead_types::Revision;

use crate::control::group::Group;

/// Accepted changes to wait for between two steps.
const MIN_CHANGES: usize = 20;

/// The leader's VM dies three times while operators send changes. Those who get no answer
/// resend to another replica. No change may be lost or applied twice, whether or not it
/// was committed before the leader died.
#[test]
fn killed() {
    let mut group = Group::start();
    let writers = group.writers();
    for _ in 0..3 {
        group.wait_progress(MIN_CHANGES);
        let name = group.leader_name();
        group.cluster.control(&name).kill();
        group.wait_other_leader(&name);
        group.wait_progress(MIN_CHANGES);
        group.cluster.control(&name).start();
    }
    group.check(writers);
}

/// A leader's VM is paused by its host until long after its lease has expired and another
/// replica leads. It resumes in the middle of answering, with requests that arrived
/// during the pause, and still in the leader's state. It must not show a table that has
/// been changed since, nor accept anything.
fn suspend_leader(time: Duration) {
    let mut group = Group::start();
    let writers = group.writers();
    group.wait_progress(MIN_CHANGES);
    let name = group.leader_name();
    let addr = group.leader().addr("operator");
    group.leader().process().suspend();
    let suspended_at = std::time::Instant::now();
    group.wait_other_leader(&name);
    group.wait_progress(MIN_CHANGES);
    wait_until("the suspension lasts long enough", 2 * time + BOUND, || {
        suspended_at.elapsed() >= time
    });

    let min_version = group.outcomes.newest_version();
    let operator = group.operator.clone();
    let read = std::thread::spawn(move || operator.table_of(addr));
    let operator = group.operator.clone();
    let outcomes = group.outcomes.clone();
    let write = std::thread::spawn(move || {
        let change = set_weight("woken", "split", Revision(0), 1);
        let attempt = operator.attempt(addr, &change);
        outcomes.record(change.id, &attempt);
        (change, attempt)
    });
    group.cluster.control(&name).process().resume();
    if let Some(table) = read.join().expect("no panic") {
        assert!(
            table.version >= min_version,
            "{} after {min_version}",
            table.version
        );
    }
    let (change, attempt) = write.join().expect("no panic");
    assert!(
        !matches!(attempt, Attempt::Refused(_)),
        "a new row can't conflict: {attempt:?}"
    );
    let again = group.operator.change(&change);
    group.outcomes.record(change.id, &again);
    group.wait_progress(MIN_CHANGES);
    group.check(writers);
}

#[test]
fn leader_suspended_past_its_lease() {
    suspend_leader(Duration::from_secs(3));
}

#[test]
fn leader_suspended_for_31_s() {
    suspend_leader(Duration::from_secs(31));
}

/// The leader receives from the others, but nothing that it sends arrives. It must not
/// keep its lead because of what it receives, and the others elect another leader.
#[test]
fn leader_that_cannot_send_is_replaced() {
    let mut group = Group::start();
    let writers = group.writers();
    group.wait_progress(MIN_CHANGES);
    let name = group.leader_name();
    for other in group.others(&name) {
        group.cluster.network.cut_one_way(&name, &other);
    }
    group.wait_other_leader(&name);
    group.wait_progress(MIN_CHANGES);
    group.cluster.network.heal();
    group.wait_progress(MIN_CHANGES);
    group.check(writers);
}

/// The leader's heartbeats arrive, but no reply reaches it. The others would follow it
/// for ever while it can't commit anything: it has to step down.
#[test]
fn leader_that_cannot_receive_steps_down() {
    let mut group = Group::start();
    let writers = group.writers();
    group.wait_progress(MIN_CHANGES);
    let name = group.leader_name();
    for other in group.others(&name) {
        group.cluster.network.cut_one_way(&other, &name);
    }
    group.wait_other_leader(&name);
    group.wait_progress(MIN_CHANGES);
    group.cluster.network.heal();
    group.wait_progress(MIN_CHANGES);
    group.check(writers);
}

/// One link of three is cut one way for long: the leader can't reach one follower, which
/// receives from the other follower only. Changes are still accepted, and the follower's
/// election attempts don't depose a leader that has a majority.
#[test]
fn one_way_cut_does_not_depose_a_leader_with_a_majority() {
    let mut group = Group::start();
    let writers = group.writers();
    group.wait_progress(MIN_CHANGES);
    let name = group.leader_name();
    let unreachable = group.others(&name).remove(0);
    let term = group.operator.wait_leader().term;
    group.cluster.network.cut_one_way(&name, &unreachable);
    group.wait_progress(5 * MIN_CHANGES);
    let leader = group.operator.wait_leader();
    assert_eq!((leader.node.as_str(), leader.term), (name.as_str(), term));
    group.cluster.network.heal();
    group.check(writers);
}
