//! The leader dies, is suspended, or is cut off one way.

use std::time::Duration;

use filberthead_testing::operator::{Attempt, BOUND, set_weight};
use filberthead_testing::wait_until;
use filberthead_types::Revision;

use crate::control::group::Group;

const ENOUGH: usize = 20;

/// Operators send changes while the leader's VM dies, three times over. Those whose
/// answer is lost send again, to whoever answers. Nobody may lose a change or see it
/// twice, whether it was committed before the leader died or not.
#[test]
fn killed() {
    let mut group = Group::start();
    let writers = group.writers();
    for _ in 0..3 {
        group.wait_progress(ENOUGH);
        let name = group.leader_name();
        group.cluster.control(&name).kill();
        group.wait_leader_but(&name);
        group.wait_progress(ENOUGH);
        group.cluster.control(&name).start();
    }
    group.check(writers);
}

/// A leader's VM is paused by its host and goes on long after its lease has lapsed and
/// another replica leads. It wakes in the middle of answering, with requests that came
/// in while it slept, and still takes itself for the leader. It must not show a table
/// that others have changed since, nor accept anything on its own.
fn suspended(time: Duration) {
    let mut group = Group::start();
    let writers = group.writers();
    group.wait_progress(ENOUGH);
    let name = group.leader_name();
    let addr = group.leader().addr("operator");
    group.leader().process().suspend();
    let asleep = std::time::Instant::now();
    group.wait_leader_but(&name);
    group.wait_progress(ENOUGH);
    wait_until("the suspension lasts long enough", 2 * time + BOUND, || {
        asleep.elapsed() >= time
    });

    let floor = group.told.newest_version();
    let operator = group.operator.clone();
    let read = std::thread::spawn(move || operator.table_of(addr));
    let operator = group.operator.clone();
    let told = group.told.clone();
    let write = std::thread::spawn(move || {
        let change = set_weight("woken", "split", Revision(0), 1);
        let attempt = operator.attempt(addr, &change);
        told.record(change.id, &attempt);
        (change, attempt)
    });
    group.cluster.control(&name).process().resume();
    if let Some(table) = read.join().expect("no panic") {
        assert!(table.version >= floor, "{} after {floor}", table.version);
    }
    let (change, attempt) = write.join().expect("no panic");
    assert!(
        !matches!(attempt, Attempt::Refused(_)),
        "a new row can't conflict: {attempt:?}"
    );
    let again = group.operator.change(&change);
    group.told.record(change.id, &again);
    group.wait_progress(ENOUGH);
    group.check(writers);
}

#[test]
fn suspended_past_its_lease() {
    suspended(Duration::from_secs(3));
}

#[test]
fn suspended_for_half_a_minute() {
    suspended(Duration::from_secs(31));
}

/// The leader hears the others, but nothing that it sends arrives. It must not go on
/// taking itself for the leader on what it hears, and the others elect one of theirs.
#[test]
fn cut_off_outwards() {
    let mut group = Group::start();
    let writers = group.writers();
    group.wait_progress(ENOUGH);
    let name = group.leader_name();
    for other in group.others(&name) {
        group.cluster.network.cut_one_way(&name, &other);
    }
    group.wait_leader_but(&name);
    group.wait_progress(ENOUGH);
    group.cluster.network.heal();
    group.wait_progress(ENOUGH);
    group.check(writers);
}

/// The leader's heartbeats arrive, but no answer reaches it. The others would follow it
/// for ever while it can't accept anything: it has to notice and give up the lead.
#[test]
fn cut_off_inwards() {
    let mut group = Group::start();
    let writers = group.writers();
    group.wait_progress(ENOUGH);
    let name = group.leader_name();
    for other in group.others(&name) {
        group.cluster.network.cut_one_way(&other, &name);
    }
    group.wait_leader_but(&name);
    group.wait_progress(ENOUGH);
    group.cluster.network.heal();
    group.wait_progress(ENOUGH);
    group.check(writers);
}

/// One link of three is down one way, for long: the leader can't reach one follower,
/// which hears the other one only. Changes go on being accepted, and the follower's
/// tries to be elected don't push out a leader that has a majority.
#[test]
fn one_follower_unheard() {
    let mut group = Group::start();
    let writers = group.writers();
    group.wait_progress(ENOUGH);
    let name = group.leader_name();
    let deaf = group.others(&name).remove(0);
    let term = group.operator.wait_leader().term;
    group.cluster.network.cut_one_way(&name, &deaf);
    group.wait_progress(5 * ENOUGH);
    let leader = group.operator.wait_leader();
    assert_eq!((leader.node.as_str(), leader.term), (name.as_str(), term));
    group.cluster.network.heal();
    group.check(writers);
}
