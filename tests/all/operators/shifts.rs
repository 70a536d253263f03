//! Three shifts work on one table.

use super::session::Desk;

/// The morning shift exports, edits for hours and proposes; meanwhile the midday shift
/// changes a row that the morning left alone. A colleague approves, and the proposal is
/// accepted; the midday change stays. The night shift sees all of it at the hand-over.
#[test]
fn a_sheet_edited_for_hours_is_proposed_reviewed_and_accepted() {
    let desk = Desk::start(3);
    desk.fill();
    desk.run("ana", &["table", "export", "--out", "a.csv"])
        .expect(0);
    desk.edit_sheet("a.csv", "orders,split,50", "orders,split,20");
    desk.set("bruno", "zagreb", "70", &[]).expect(0);

    let diff = desk.run("ana", &["table", "diff", "a.csv"]).expect(0);
    assert!(
        diff.out.contains("~ orders/split: weight 50 -> 20"),
        "{diff:?}"
    );
    let note = ["--note", "split is being drained for its new disks"];
    let propose = [&["table", "propose", "a.csv"], &note[..]].concat();
    desk.run("ana", &propose).expect(0);
    assert_eq!(desk.weight("split"), 50);
    desk.run("ana", &["table", "review", "1", "--approve"])
        .expect(1);
    desk.run("bruno", &["table", "accept", "1"]).expect(1);
    let shown = desk.run("bruno", &["table", "review", "1"]).expect(0);
    assert!(shown.out.contains("weight 50 -> 20"), "{shown:?}");
    desk.run("bruno", &["table", "review", "1", "--approve"])
        .expect(0);
    desk.run("bruno", &["table", "accept", "1"]).expect(0);
    assert_eq!((desk.weight("split"), desk.weight("zagreb")), (20, 70));

    desk.run(
        "bruno",
        &["table", "handover", "--note", "drain of split goes on"],
    )
    .expect(0);
    let seen = desk
        .run("carla", &["table", "handover", "--json"])
        .expect(0);
    let seen = seen.json();
    assert_eq!(seen["handovers"][0]["note"], "drain of split goes on");
    assert_eq!(seen["handovers"][0]["by"], "bruno");
    let history = desk.run("carla", &["table", "history", "--json"]).expect(0);
    let records = history.json()["records"].clone();
    let acts: Vec<_> = records.as_array().expect("records").iter().collect();
    let accepted = acts
        .iter()
        .find(|act| act["act"] == "accept" && act["code"] == 2000);
    let accepted = accepted.expect("the acceptance is on record");
    assert_eq!(accepted["by"], "bruno");
    assert_eq!(accepted["differences"][0]["after"]["weight"], 20);
}

/// Between export and proposal another shift changes the same row. The proposal is
/// refused with both sides; on a proposal that was already open, the same shows at
/// acceptance, and it is put up again on the rows in force.
#[test]
fn a_conflict_shows_both_sides_and_the_way_on() {
    let desk = Desk::start(1);
    desk.fill();
    desk.run("ana", &["table", "export", "--out", "a.csv"])
        .expect(0);
    desk.edit_sheet("a.csv", "orders,split,50", "orders,split,20");
    let propose = ["table", "propose", "a.csv", "--note", "less"];
    desk.run("ana", &propose).expect(0);
    desk.run("bruno", &["table", "review", "1", "--approve"])
        .expect(0);
    desk.set("carla", "split", "33", &[]).expect(0);

    let late = desk.run("ana", &propose).expect(1);
    assert!(late.err.contains("yours:  weight 20"), "{late:?}");
    assert!(late.err.contains("theirs: weight 33"), "{late:?}");
    assert!(late.err.contains("set by carla"), "{late:?}");
    let diff = desk.run("ana", &["table", "diff", "a.csv"]).expect(1);
    assert!(diff.out.contains("set by carla"), "{diff:?}");
    let refused = desk
        .run("bruno", &["table", "accept", "1", "--json"])
        .expect(1);
    let conflict = &refused.json()["answer"]["conflicts"][0];
    assert_eq!(conflict["current"]["weight"], 33);
    assert_eq!(conflict["wanted"]["weight"], 20);
    assert_eq!(conflict["changed_by"], "carla");
    assert_eq!(desk.weight("split"), 33);

    desk.run(
        "ana",
        &["table", "propose", "--rebase", "1", "--note", "still less"],
    )
    .expect(0);
    desk.run("bruno", &["table", "accept", "2"]).expect(1);
    desk.run("bruno", &["table", "review", "2", "--approve"])
        .expect(0);
    desk.run("bruno", &["table", "accept", "2"]).expect(0);
    assert_eq!(desk.weight("split"), 20);
    let closed = desk.run("bruno", &["table", "accept", "1"]).expect(1);
    assert!(
        closed.err.contains("superseded by proposal 2"),
        "{closed:?}"
    );
}

/// Two shifts race to set the same row to the same number. One is told that it is
/// accepted, the other that it was late, and by whom.
#[test]
fn of_two_racing_equal_edits_one_is_accepted() {
    let desk = Desk::start(3);
    desk.fill();
    for round in 0..5_u64 {
        let revision = desk.version().to_string();
        let weight = (10 + round).to_string();
        let words = [
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
        let racers = ["ana", "bruno"].map(|who| desk.spawn(who, &words));
        let ended = racers.map(Desk::wait);
        let mut exits = ended.each_ref().map(|ended| ended.exit);
        exits.sort_unstable();
        assert_eq!(exits, [0, 1], "{ended:?}");
        let late = ended.iter().find(|ended| ended.exit == 1).expect("one");
        assert!(late.err.contains("change-conflict"), "{late:?}");
        assert_eq!(desk.version(), 3 + round);
    }
}

/// An operator is about to switch a service off by draining its last region. They are
/// asked to say so, with the reason; the waiver stands in the history.
#[test]
fn a_dangerous_change_has_to_be_allowed_by_name() {
    let desk = Desk::start(1);
    desk.fill();
    desk.set("ana", "split", "0", &[]).expect(0);
    let refused = desk.set("ana", "zagreb", "0", &[]).expect(1);
    assert!(
        refused.err.contains("--allow all-weights-zero"),
        "{refused:?}"
    );
    assert_eq!(desk.weight("zagreb"), 50);
    desk.set("ana", "zagreb", "0", &["--allow", "last-row"])
        .expect(1);
    desk.set("ana", "zagreb", "0", &["--allow", "all-weights-zero"])
        .expect(0);
    let history = desk
        .run("ana", &["table", "history", "--last", "1"])
        .expect(0);
    assert!(
        history.out.contains("allowed: all-weights-zero"),
        "{history:?}"
    );
}
