//! Several shifts of operators work on one table.

use super::session::Session;

/// One shift exports the table, edits for hours and proposes; meanwhile another shift
/// changes a row that the proposal leaves alone. After review the proposal is accepted,
/// and the other change stays. A third shift sees all of it in the hand-over and the
/// history.
#[test]
fn a_proposal_keeps_changes_made_since_its_export() {
    let session = Session::start(3);
    session.add_rows();
    session
        .run("ana", &["table", "export", "--out", "a.csv"])
        .expect(0);
    session.edit_sheet("a.csv", "orders,split,50", "orders,split,20");
    session.set("bruno", "zagreb", "70", &[]).expect(0);

    let diff = session.run("ana", &["table", "diff", "a.csv"]).expect(0);
    assert!(
        diff.out.contains("~ orders/split: weight 50 -> 20"),
        "{diff:?}"
    );
    let note = ["--note", "split is being drained for its new disks"];
    let propose = [&["table", "propose", "a.csv"], &note[..]].concat();
    session.run("ana", &propose).expect(0);
    assert_eq!(session.weight("split"), 50);
    session
        .run("ana", &["table", "review", "1", "--approve"])
        .expect(1);
    session.run("bruno", &["table", "accept", "1"]).expect(1);
    let shown = session.run("bruno", &["table", "review", "1"]).expect(0);
    assert!(shown.out.contains("weight 50 -> 20"), "{shown:?}");
    session
        .run("bruno", &["table", "review", "1", "--approve"])
        .expect(0);
    session.run("bruno", &["table", "accept", "1"]).expect(0);
    assert_eq!(
        (session.weight("split"), session.weight("zagreb")),
        (20, 70)
    );

    session
        .run(
            "bruno",
            &["table", "handover", "--note", "drain of split goes on"],
        )
        .expect(0);
    let shown = session
        .run("carla", &["table", "handover", "--json"])
        .expect(0);
    let shown = shown.json();
    assert_eq!(shown["handovers"][0]["note"], "drain of split goes on");
    assert_eq!(shown["handovers"][0]["by"], "bruno");
    let history = session
        .run("carla", &["table", "history", "--json"])
        .expect(0);
    let records = history.json()["records"].clone();
    let entries: Vec<_> = records.as_array().expect("records").iter().collect();
    let accepted = entries
        .iter()
        .find(|entry| entry["act"] == "accept" && entry["code"] == 2000);
    let accepted = accepted.expect("the acceptance is on record");
    assert_eq!(accepted["by"], "bruno");
    assert_eq!(accepted["differences"][0]["after"]["weight"], 20);
}

/// Another shift changes the same row between export and proposal. A proposal made after
/// that is refused and shows both values; one that was open before is refused when it is to
/// be accepted, and can be proposed again on the current rows.
#[test]
fn a_conflict_shows_both_values_and_can_be_rebased() {
    let session = Session::start(1);
    session.add_rows();
    session
        .run("ana", &["table", "export", "--out", "a.csv"])
        .expect(0);
    session.edit_sheet("a.csv", "orders,split,50", "orders,split,20");
    let propose = ["table", "propose", "a.csv", "--note", "less"];
    session.run("ana", &propose).expect(0);
    session
        .run("bruno", &["table", "review", "1", "--approve"])
        .expect(0);
    session.set("carla", "split", "33", &[]).expect(0);

    let late = session.run("ana", &propose).expect(1);
    assert!(late.err.contains("yours:  weight 20"), "{late:?}");
    assert!(late.err.contains("theirs: weight 33"), "{late:?}");
    assert!(late.err.contains("set by carla"), "{late:?}");
    let diff = session.run("ana", &["table", "diff", "a.csv"]).expect(1);
    assert!(diff.out.contains("set by carla"), "{diff:?}");
    let refused = session
        .run("bruno", &["table", "accept", "1", "--json"])
        .expect(1);
    let conflict = &refused.json()["answer"]["conflicts"][0];
    assert_eq!(conflict["current"]["weight"], 33);
    assert_eq!(conflict["wanted"]["weight"], 20);
    assert_eq!(conflict["changed_by"], "carla");
    assert_eq!(session.weight("split"), 33);

    session
        .run(
            "ana",
            &["table", "propose", "--rebase", "1", "--note", "still less"],
        )
        .expect(0);
    session.run("bruno", &["table", "accept", "2"]).expect(1);
    session
        .run("bruno", &["table", "review", "2", "--approve"])
        .expect(0);
    session.run("bruno", &["table", "accept", "2"]).expect(0);
    assert_eq!(session.weight("split"), 20);
    let closed = session.run("bruno", &["table", "accept", "1"]).expect(1);
    assert!(
        closed.err.contains("superseded by proposal 2"),
        "{closed:?}"
    );
}

/// Two shifts concurrently set the same row to the same number. One change is accepted;
/// the other is refused with the change that conflicts.
#[test]
fn one_of_two_concurrent_equal_edits_is_accepted() {
    let session = Session::start(3);
    session.add_rows();
    for round in 0..5_u64 {
        let revision = session.version().to_string();
        let weight = (10 + round).to_string();
        let args = [
            "table",
            "set",
            "orders",
            "split",
            "--weight",
            &weight,
            "--note",
            "race",
            "--revision",
            if round == 0 { "2" } else { &revision },
        ];
        let children = ["ana", "bruno"].map(|user| session.spawn(user, &args));
        let results = children.map(Session::wait);
        let mut exits = results.each_ref().map(|result| result.exit);
        exits.sort_unstable();
        assert_eq!(exits, [0, 1], "{results:?}");
        let late = results.iter().find(|result| result.exit == 1).expect("one");
        assert!(late.err.contains("change-conflict"), "{late:?}");
        assert_eq!(session.version(), 3 + round);
    }
}

/// An operator is about to switch a service off by draining its last region. The command
/// requires the matching waiver by name, and the history records it.
#[test]
fn a_dangerous_change_needs_an_explicit_waiver() {
    let session = Session::start(1);
    session.add_rows();
    session.set("ana", "split", "0", &[]).expect(0);
    let refused = session.set("ana", "zagreb", "0", &[]).expect(1);
    assert!(
        refused.err.contains("--allow all-weights-zero"),
        "{refused:?}"
    );
    assert_eq!(session.weight("zagreb"), 50);
    session
        .set("ana", "zagreb", "0", &["--allow", "last-row"])
        .expect(1);
    session
        .set("ana", "zagreb", "0", &["--allow", "all-weights-zero"])
        .expect(0);
    let history = session
        .run("ana", &["table", "history", "--last", "1"])
        .expect(0);
    assert!(
        history.out.contains("allowed: all-weights-zero"),
        "{history:?}"
    );
}
