//! Operators who edit the same rows, and resend what they have no answer to.

use std::sync::Barrier;

use filberthead_operator::ChangeBody;
use filberthead_testing::operator::{Attempt, Operator, set_weight};
use filberthead_testing::proxy::{Direction, Flow};
use filberthead_types::{ResultCode, Revision, Version};

use crate::control::group::Group;

const NAMES: [&str; 2] = ["ana", "eva"];

/// Two operators on different shifts edit the same row at the same moment, with equal
/// numbers, and both resend. One change wins; the other operator is told whose change
/// stands, each time they ask, although the numbers look as they wanted them.
#[test]
fn equal_numbers_at_the_same_moment() {
    let group = Group::start();
    let addrs = group.cluster.operator_addrs();
    let mut seen = Revision(0);
    for round in 1..=30 {
        let changes = [0, 1].map(|_| set_weight("orders", "zagreb", seen, round));
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
        seen = Revision(won[0].0);
    }
    group.told.check(&group.operator);
}

fn race(group: &Group, changes: &[ChangeBody; 2]) -> Vec<Attempt> {
    let barrier = Barrier::new(changes.len());
    let addrs = group.cluster.operator_addrs();
    std::thread::scope(|scope| {
        let threads = [0, 1].map(|number| {
            let operator = Operator::new(NAMES[number], addrs.clone());
            let (barrier, told, change) = (&barrier, group.told.clone(), &changes[number]);
            scope.spawn(move || {
                barrier.wait();
                let attempt = operator.change(change);
                told.record(change.id, &attempt);
                attempt
            })
        });
        threads
            .into_iter()
            .map(|thread| thread.join().expect("no panic"))
            .collect()
    })
}

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
/// again, the leader dies, all replicas restart; hours later the operator sends the
/// first change again. It must count as done, and must not undo the colleague's.
#[test]
fn resent_after_later_changes() {
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

    let known = group.operator.accept(&first);
    group.told.record(first.id, &Attempt::Accepted(known));
    let second = set_weight("orders", "zagreb", Revision(known.0), 20);
    let newest = group.operator.accept(&second);
    group.told.record(second.id, &Attempt::Accepted(newest));

    let resend = |group: &Group| {
        let again = group.operator.change(&first);
        assert_eq!(again, Attempt::Accepted(known));
        let table = group.operator.table();
        assert_eq!((table.version, table.rows[0].weight), (newest, 20));
    };
    resend(&group);
    group.cluster.control(&leader).kill();
    group.wait_leader_but(&leader);
    resend(&group);
    group.cluster.control(&leader).start();
    group.cluster.controls.iter_mut().for_each(|n| n.kill());
    group.cluster.controls.iter_mut().for_each(|n| n.start());
    resend(&group);
    group.told.check(&group.operator);
}
