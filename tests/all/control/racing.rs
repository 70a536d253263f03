//! Operators that edit the same rows, and resend after lost answers.

use std::sync::Barrier;

use filberthead_operator::ChangeBody;
use filberthead_testing::operator::{Attempt, Operator, set_weight};
use filberthead_testing::proxy::{Direction, Flow};
use filberthead_types::{ResultCode, Revision, Version};

use crate::control::group::Group;

const NAMES: [&str; 2] = ["ana", "eva"];

/// Two operators edit the same row at the same moment with equal values, and both resend.
/// One change wins; the other operator gets a conflict that names the winning change, on
/// each resend, although the values are the ones they wanted.
#[test]
fn one_of_two_concurrent_equal_edits_wins() {
    let group = Group::start();
    let addrs = group.cluster.operator_addrs();
    let mut revision = Revision(0);
    for round in 1..=30 {
        let changes = [0, 1].map(|_| set_weight("orders", "zagreb", revision, round));
        let attempts = race(&group, &changes);
        let won: Vec<_> = attempts.iter().filter_map(accepted).collect();
        assert_eq!(won.len(), 1, "round {round}: {attempts:?}");
        let loser = attempts.iter().find(|a| accepted(a).is_none());
        let Some(Attempt::Refused(answer)) = loser else {
            panic!("round {round}: {attempts:?}");
        };
        assert_eq!(answer.code, ResultCode::ChangeConflict);
        assert_eq!(answer.conflicts[0].revision, Revision(won[0].0));
        for ((change, first), name) in changes.iter().zip(&attempts).zip(NAMES) {
            let again = Operator::new(name, addrs.clone()).change(change);
            assert_eq!(outcome(&again), outcome(first), "round {round}");
        }
        revision = Revision(won[0].0);
    }
    group.outcomes.check(&group.operator);
}

/// Sends both changes at the same moment.
fn race(group: &Group, changes: &[ChangeBody; 2]) -> Vec<Attempt> {
    let barrier = Barrier::new(changes.len());
    let addrs = group.cluster.operator_addrs();
    std::thread::scope(|scope| {
        let threads = [0, 1].map(|number| {
            let operator = Operator::new(NAMES[number], addrs.clone());
            let (barrier, outcomes, change) = (&barrier, group.outcomes.clone(), &changes[number]);
            scope.spawn(move || {
                barrier.wait();
                let attempt = operator.change(change);
                outcomes.record(change.id, &attempt);
                attempt
            })
        });
        threads
            .into_iter()
            .map(|thread| thread.join().expect("no panic"))
            .collect()
    })
}

/// The version of an accepted change.
fn accepted(attempt: &Attempt) -> Option<Version> {
    match attempt {
        Attempt::Accepted(version) => Some(*version),
        _ => None,
    }
}

fn outcome(attempt: &Attempt) -> (Option<Version>, Option<ResultCode>) {
    match attempt {
        Attempt::Refused(answer) => (None, Some(answer.code)),
        other => (accepted(other), None),
    }
}

/// An operator's change is accepted but the answer is lost. A colleague changes the row
/// again, the leader dies, all replicas restart; then the operator resends the first
/// change. It must be reported as accepted and must not undo the later one.
#[test]
fn resend_does_not_undo_later_changes() {
    let mut group = Group::start();
    let leader = group.leader_name();
    let addr = group.leader().addr("operator");
    let first = set_weight("orders", "zagreb", Revision(0), 10);
    let proxy = group.cluster.control(&leader).proxy("operator");
    proxy.set(Direction::ToClient, Flow::Hold);
    let lost = group.operator.attempt(addr, &first);
    assert_eq!(lost, Attempt::Unknown);
    proxy.cut();
    proxy.heal();

    let accepted_version = group.operator.accept(&first);
    group
        .outcomes
        .record(first.id, &Attempt::Accepted(accepted_version));
    let second = set_weight("orders", "zagreb", Revision(accepted_version.0), 20);
    let newest = group.operator.accept(&second);
    group.outcomes.record(second.id, &Attempt::Accepted(newest));

    let resend = |group: &Group| {
        let again = group.operator.change(&first);
        assert_eq!(again, Attempt::Accepted(accepted_version));
        let table = group.operator.table();
        assert_eq!((table.version, table.rows[0].weight), (newest, 20));
    };
    resend(&group);
    group.cluster.control(&leader).kill();
    group.wait_other_leader(&leader);
    resend(&group);
    group.cluster.control(&leader).start();
    group.cluster.controls.iter_mut().for_each(|n| n.kill());
    group.cluster.controls.iter_mut().for_each(|n| n.start());
    resend(&group);
    group.outcomes.check(&group.operator);
}
