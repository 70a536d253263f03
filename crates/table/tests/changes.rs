//! Direct changes: concurrent edits, resends, dangers, rules and the history.

mod common;

use common::*;
use filberthead_table::{
    Danger, Finding, MAX_HISTORY_RECORDS, MAX_REMOVED_ROWS, Operation, Outcome, Table,
};
use filberthead_types::{Revision, Version};

/// Two operators concurrently set the same row to equal values. The first in the log is
/// accepted; the second gets a conflict with both versions and the first's author, and
/// isn't reported as accepted although the values are equal.
#[test]
fn of_two_equal_edits_the_first_wins_and_the_second_conflicts() {
    let mut table = small_table();
    let edit = set("orders", "split", 1, 20);
    assert_eq!(table.apply(&direct(1, "ana", [edit.clone()])), accepted(2));
    let Outcome::Conflict { conflicts } = table.apply(&direct(2, "bruno", [edit])) else {
        panic!("the second edit has to conflict");
    };
    let conflict = &conflicts[0];
    assert_eq!(conflict.wanted, conflict.current.map(|row| row.values));
    assert_eq!(conflict.expected_revision, Revision(1));
    assert_eq!(conflict.revision, Revision(2));
    assert_eq!(conflict.origin.as_ref().unwrap().by, "ana");
    assert_eq!(table.version(), Version(2));
}

/// One of three edited rows has a newer revision. None of the three edits is applied.
#[test]
fn a_change_takes_effect_as_a_whole_or_not_at_all() {
    let mut table = small_table();
    table.apply(&direct(1, "ana", [set("orders", "zagreb", 1, 10)]));
    let before = table.view();
    let edits = [
        set("orders", "split", 1, 90),
        set("orders", "zagreb", 1, 10),
        set("catalogue", "split", 1, 90),
    ];
    let outcome = table.apply(&direct(2, "bruno", edits));
    assert!(matches!(outcome, Outcome::Conflict { conflicts } if conflicts.len() == 1));
    assert_eq!(table.view(), before);
}

/// An operator gets no answer, another one changes the same row, then the first one
/// resends through another replica, with a later timestamp. The resend gets the first
/// outcome, and the other operator's change stays.
#[test]
fn a_resend_after_a_later_change_gets_the_first_outcome() {
    let mut table = small_table();
    let first = direct(1, "ana", [set("orders", "split", 1, 20)]);
    assert_eq!(table.apply(&first), accepted(2));
    table.apply(&direct(2, "bruno", [set("orders", "split", 2, 30)]));
    let mut again = first;
    again.at.0 += 60_000;
    assert_eq!(table.apply(&again), accepted(2));
    assert_eq!(weight(&table, "orders", "split"), Some(30));
    assert_eq!(table.version(), Version(3));
}

/// The first attempt was accepted; at the time of the resend the live readings would
/// reject it. The resend still gets the first outcome.
#[test]
fn a_resend_is_not_checked_against_newer_readings() {
    let mut table = small_table();
    let first = direct(1, "ana", [set("orders", "split", 1, 20)]);
    table.apply(&first);
    let mut again = first;
    again.findings.push(Finding {
        danger: Danger::CapBelowRunning,
        subject: "orders/split".to_owned(),
        reason: "by now".to_owned(),
    });
    assert_eq!(table.apply(&again), accepted(2));
}

/// A resend arrives so late that its outcome is no longer kept. It conflicts by its
/// expected revision, as any stale edit does.
#[test]
fn a_resend_older_than_the_kept_outcomes_fails_on_its_revision() {
    let mut table = small_table();
    let old = direct(1, "ana", [set("orders", "split", 1, 20)]);
    assert_eq!(table.apply(&old), accepted(2));
    for n in 0..MAX_HISTORY_RECORDS as u64 {
        let id = 10_000 + u128::from(n);
        let expected_revision = if n == 0 { 1 } else { n + 2 };
        let edit = set("catalogue", "split", expected_revision, 40);
        assert_eq!(table.apply(&direct(id, "bruno", [edit])), accepted(n + 3));
    }
    let before = table.view();
    assert!(matches!(table.apply(&old), Outcome::Conflict { .. }));
    assert_eq!(table.view(), before);
}

/// A row is created, the answer is lost, another operator removes the row, and the
/// resend arrives after its outcome was dropped from the history: it must not create the
/// row again. Nor may it once so many other rows were removed that the row's own last
/// revision was dropped.
#[test]
fn a_late_resend_of_a_creation_does_not_recreate_a_removed_row() {
    let mut table = small_table();
    let creation = direct(1, "ana", [set("orders", "osijek", 0, 20)]);
    assert_eq!(table.apply(&creation), accepted(2));
    let removal = direct(2, "bruno", [remove("orders", "osijek", 2)]);
    assert_eq!(table.apply(&removal), accepted(3));
    let mut expected_revision = 1;
    for n in 0..MAX_HISTORY_RECORDS as u128 {
        table.apply(&direct(
            10_000 + n,
            "bruno",
            [set("orders", "split", expected_revision, 50)],
        ));
        expected_revision = table.version().0;
    }
    assert!(matches!(table.apply(&creation), Outcome::Conflict { .. }));

    for n in 0..=MAX_REMOVED_ROWS as u128 {
        let region = format!("r{n}");
        let absent = table.revision(&key("orders", &region)).0;
        let made = table.apply(&direct(
            20_000 + n,
            "ana",
            [set("orders", &region, absent, 1)],
        ));
        let Outcome::Accepted { version } = made else {
            panic!("{made:?}");
        };
        table.apply(&direct(
            30_000 + n,
            "ana",
            [remove("orders", &region, version.0)],
        ));
    }
    assert!(table.origin(&key("orders", "osijek")).is_none());
    let mut late = creation;
    late.id.0 = 50_000;
    assert!(matches!(table.apply(&late), Outcome::Conflict { .. }));
    assert_eq!(weight(&table, "orders", "osijek"), None);
    let absent = table.revision(&key("orders", "osijek")).0;
    let anew = direct(50_001, "ana", [set("orders", "osijek", absent, 20)]);
    assert!(matches!(table.apply(&anew), Outcome::Accepted { .. }));
}

/// An id is used for two different changes, or by two operators. The second command gets
/// `IdReused`, not the outcome of the first.
#[test]
fn an_id_identifies_one_operation_of_one_operator() {
    let mut table = small_table();
    let edit = set("orders", "split", 1, 20);
    table.apply(&direct(1, "ana", [edit.clone()]));
    let other_edit = direct(1, "ana", [set("orders", "zagreb", 1, 20)]);
    assert_eq!(table.apply(&other_edit), Outcome::IdReused);
    assert_eq!(table.apply(&direct(1, "bruno", [edit])), Outcome::IdReused);
    assert_eq!(table.version(), Version(2));
}

/// Setting all weights of a service to zero, or removing its last row, is rejected with
/// the reason, and accepted once the operator allows that danger.
#[test]
fn switching_a_service_off_must_be_allowed_explicitly() {
    let mut table = small_table();
    let off = [set("orders", "zagreb", 1, 0), set("orders", "split", 1, 0)];
    let refused = table.apply(&direct(1, "ana", off.clone()));
    assert!(
        matches!(&refused, Outcome::Dangerous { findings }
            if findings.len() == 1 && findings[0].danger == Danger::AllWeightsZero),
        "{refused:?}"
    );
    let meant = allowing(&[Danger::AllWeightsZero], change(off));
    assert_eq!(
        table.apply(&command(2, "ana", Operation::Change(meant))),
        accepted(2)
    );

    // All weights are zero already, so this edit doesn't cause the danger.
    let more = direct(3, "ana", [set("orders", "zagreb", 2, 0)]);
    assert_eq!(table.apply(&more), accepted(3));

    let gone = [remove("orders", "zagreb", 3), remove("orders", "split", 2)];
    let refused = table.apply(&direct(4, "ana", gone.clone()));
    assert!(matches!(&refused, Outcome::Dangerous { findings }
        if findings[0].danger == Danger::LastRow));
    let wrong = allowing(&[Danger::AllWeightsZero], change(gone.clone()));
    let refused = table.apply(&command(5, "ana", Operation::Change(wrong)));
    assert!(matches!(refused, Outcome::Dangerous { .. }));
    let meant = allowing(&[Danger::LastRow], change(gone));
    assert_eq!(
        table.apply(&command(6, "ana", Operation::Change(meant))),
        accepted(4)
    );
}

/// Draining one region leaves the other with a weight, which is no danger.
#[test]
fn draining_one_of_two_regions_is_no_danger() {
    let mut table = small_table();
    let drain = direct(1, "ana", [set("orders", "split", 1, 0)]);
    assert_eq!(table.apply(&drain), accepted(2));
}

#[test]
fn operations_that_break_a_rule_are_rejected() {
    let mut table = small_table();
    let twice = [set("orders", "split", 1, 1), set("orders", "split", 1, 2)];
    let long = "x".repeat(1001);
    let mut escape = change([set("orders", "split", 1, 1)]);
    escape.note = "\u{1b}[2J".to_owned();
    let operations = [
        Operation::Change(change([])),
        Operation::Change(change(twice)),
        Operation::Change(escape),
        Operation::HandOver { note: long },
        Operation::HandOver {
            note: " ".to_owned(),
        },
    ];
    for (id, operation) in (1..).zip(operations) {
        let outcome = table.apply(&command(id, "ana", operation.clone()));
        assert!(matches!(outcome, Outcome::Invalid { .. }), "{operation:?}");
    }
    let nameless = direct(100, "", [set("orders", "split", 1, 1)]);
    assert!(matches!(table.apply(&nameless), Outcome::Invalid { .. }));
    let absent = direct(101, "ana", [remove("orders", "osijek", 0)]);
    assert!(matches!(table.apply(&absent), Outcome::Conflict { .. }));
    assert_eq!(table.view(), small_table().view());
}

#[test]
fn history_records_actors_differences_and_outcomes() {
    let mut table = small_table();
    table.apply(&direct(1, "ana", [set("orders", "split", 1, 20)]));
    table.apply(&direct(2, "bruno", [set("orders", "split", 1, 30)]));
    let records: Vec<_> = table.history().collect();
    assert_eq!(records.len(), 3);
    let serials: Vec<_> = records.iter().map(|record| record.serial).collect();
    assert_eq!(serials, [1, 2, 3]);
    assert_eq!(records[1].command.actor.name, "ana");
    assert_eq!(records[1].differences[0].before.unwrap().values, values(50));
    assert_eq!(records[1].differences[0].after, Some(values(20)));
    assert!(matches!(records[2].outcome, Outcome::Conflict { .. }));
    assert!(records[2].differences.is_empty());
}

#[test]
fn a_new_table_is_empty() {
    assert_eq!(Table::default().version(), Version(0));
    assert!(Table::default().view().rows.is_empty());
}
