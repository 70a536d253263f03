//! `ChangeOutcomes` finds each kind of violation, so tests can rely on it when it finds none.

use filberthead_operator::{Answer, DifferenceBody, RecordBody, RowBody, TableBody};
use filberthead_table::{Objective, Role, RowValues, Timestamp};
use filberthead_testing::operator::Attempt;
use filberthead_testing::record::ChangeOutcomes;
use filberthead_types::{ChangeId, ResultCode, Revision, Version};

fn values(weight: u32) -> RowValues {
    RowValues {
        weight,
        limit: 100,
        shift_cap: 50,
        objective: Objective::Latency,
    }
}

/// A change that sets the weight of the only row to its id.
fn record(serial: u64, id: u32, version: u64) -> RecordBody {
    RecordBody {
        serial,
        id: ChangeId(id.into()),
        by: "ana".to_owned(),
        role: Role::Accept,
        at_ms: Timestamp(0),
        act: "change".to_owned(),
        proposal: None,
        note: String::new(),
        allow: Default::default(),
        code: ResultCode::ChangeAccepted,
        outcome: "change-accepted".to_owned(),
        version: Some(Version(version)),
        differences: vec![DifferenceBody {
            service: "orders".parse().expect("a service"),
            region: "zagreb".parse().expect("a region"),
            before: None,
            after: Some(values(id)),
        }],
    }
}

fn table(version: u64, weight: u32) -> TableBody {
    TableBody {
        version: Version(version),
        rows: vec![RowBody {
            service: "orders".parse().expect("a service"),
            region: "zagreb".parse().expect("a region"),
            weight,
            limit: 100,
            shift_cap: 50,
            objective: Objective::Latency,
            revision: Revision(version),
            changed_by: None,
            changed_at_ms: None,
        }],
        removed: Vec::new(),
        absent_revision: Revision(0),
    }
}

fn outcomes(changes: &[(u32, u64)]) -> ChangeOutcomes {
    let outcomes = ChangeOutcomes::default();
    for (id, version) in changes {
        outcomes.record(
            ChangeId((*id).into()),
            &Attempt::Accepted(Version(*version)),
        );
    }
    outcomes
}

fn refusal() -> Attempt {
    Attempt::Refused(Box::new(Answer::new(ResultCode::ChangeConflict, "")))
}

#[test]
fn finds_nothing_in_a_consistent_history() {
    let outcomes = outcomes(&[(7, 1), (9, 2), (7, 1)]);
    outcomes.record(ChangeId(8), &refusal());
    let history = [record(1, 7, 1), record(2, 9, 2)];
    assert_eq!(
        outcomes.violations(&table(2, 9), &history),
        Vec::<String>::new()
    );
    // A change that was accepted after the table was read.
    assert_eq!(
        outcomes.violations(&table(1, 7), &history),
        Vec::<String>::new()
    );
}

#[test]
fn finds_lost_reverted_and_duplicated_changes() {
    let both = [record(1, 7, 1), record(2, 9, 2)];
    let cases: [(&str, ChangeOutcomes, TableBody, &[RecordBody]); 5] = [
        ("lost", outcomes(&[(7, 1), (9, 2)]), table(1, 7), &both[..1]),
        ("reverted", outcomes(&[(7, 1), (9, 2)]), table(2, 7), &both),
        (
            "applied twice",
            outcomes(&[(7, 1)]),
            table(2, 7),
            &[record(1, 7, 1), record(2, 7, 2)],
        ),
        ("renumbered", outcomes(&[(9, 1)]), table(2, 9), &both),
        ("gap", outcomes(&[]), table(2, 9), &both[1..]),
    ];
    for (what, outcomes, table, history) in cases {
        assert!(!outcomes.violations(&table, history).is_empty(), "{what}");
    }
}

#[test]
fn finds_contradicting_answers() {
    let one = outcomes(&[(7, 1), (7, 2)]);
    assert!(!one.violations(&table(1, 7), &[record(1, 7, 1)]).is_empty());
    let two = outcomes(&[(7, 1)]);
    two.record(ChangeId(7), &refusal());
    assert!(!two.violations(&table(1, 7), &[record(1, 7, 1)]).is_empty());
    let three = outcomes(&[]);
    three.record(ChangeId(7), &refusal());
    assert!(
        !three
            .violations(&table(1, 7), &[record(1, 7, 1)])
            .is_empty()
    );
}
