//! Bad input at the command line changes nothing and says what is wrong.

use std::fs;

use super::session::Desk;

#[test]
fn command_lines_that_make_no_sense_are_refused_before_anything_is_sent() {
    let desk = Desk::start(1);
    desk.fill();
    let lines: &[(&[&str], &str)] = &[
        (&[], "a command"),
        (&["tabel"], "did you mean `table`"),
        (&["table", "exprot"], "did you mean `export`"),
        (
            &["table", "set", "orders", "split", "--wieght", "1"],
            "did you mean `--weight`",
        ),
        (&["table", "set", "orders"], "the region"),
        (
            &["table", "set", "orders", "split", "--note", "x"],
            "say what is to change",
        ),
        (
            &["table", "set", "orders", "split", "--weight", "1"],
            "say why",
        ),
        (
            &[
                "table", "set", "orders", "split", "--weight", "-1", "--note", "x",
            ],
            "--weight",
        ),
        (
            &[
                "table", "set", "orders", "split", "--weight", "1e3", "--note", "x",
            ],
            "--weight",
        ),
        (
            &[
                "table", "set", "Orders", "split", "--weight", "1", "--note", "x",
            ],
            "no valid name",
        ),
        (
            &[
                "table", "set", "orders", "split", "--weight", "1", "--remove", "--note", "x",
            ],
            "say what is to change",
        ),
        (
            &[
                "table", "set", "orders", "osijek", "--weight", "1", "--note", "x",
            ],
            "--limit",
        ),
        (&["table", "show", "orders", "split"], "one word too many"),
        (&["table", "show", "--weight", "1"], "doesn't go with"),
        (&["table", "review", "one"], "no number"),
        (&["table", "review", "1", "--approve", "--reject"], "either"),
        (
            &["table", "accept", "1", "--allow", "own-revue"],
            "did you mean `own-review`",
        ),
        (
            &["table", "propose", "nothing.csv", "--note", "x"],
            "can't read the sheet",
        ),
        (&["table", "show", "--control", "localhost:1"], "IP:PORT"),
        (&["table", "show", "--timeout", "0"], "--timeout"),
        (&["table", "show", "--change-id", "xyz"], "--change-id"),
        (
            &["table", "show", "--token-file", "nothing"],
            "can't read the token file",
        ),
        (&["control", "add", "control-2"], "IP:PORT"),
        (&["token", "new", "ana", "boss"], "no role"),
        (&["token", "new", "#ana", "read"], "no name"),
        (&["check"], "the settings file"),
    ];
    for (words, hint) in lines {
        let ended = desk.run("ana", words);
        assert_eq!(ended.exit, 2, "{words:?}: {ended:?}");
        assert!(ended.err.contains(hint), "{words:?}: {ended:?}");
    }
    let bad = desk.run("ana", &["--json", "tabel"]).expect(2);
    assert_eq!(bad.json()["exit"], 2);
    assert_eq!(desk.version(), 2);
    let history = desk.run("ana", &["table", "history", "--json"]).expect(0);
    let records = history.json()["records"].as_array().map(Vec::len);
    // Both first rows and the registration of the replica.
    assert_eq!(records, Some(3));
}

/// A sheet comes back from a spreadsheet with three slips in two lines. All are named
/// with their lines, and none of the good lines is proposed.
#[test]
fn every_bad_line_of_a_sheet_is_named() {
    let desk = Desk::start(1);
    desk.fill();
    let text = "service;region;weight;limit;shift_cap;objective\n\
                orders;split;20;36;12;latency\n\
                orders;zagreb;1.200;36;12;speed\n\
                orders;osijek;1;36;;latency\n";
    fs::write(desk.path("bad.csv"), text).expect("written");
    let words = ["table", "propose", "bad.csv", "--note", "x"];
    let refused = desk.run("ana", &words).expect(2);
    for fault in [
        "bad.csv:3: `weight`",
        "bad.csv:3: `objective`",
        "bad.csv:4: `shift_cap`",
    ] {
        assert!(refused.err.contains(fault), "{refused:?}");
    }
    let json = desk
        .run("ana", &[&words[..], &["--json"]].concat())
        .expect(2);
    assert_eq!(json.json()["faults"].as_array().map(Vec::len), Some(3));
    let open = desk.run("ana", &["table", "review", "--json"]).expect(0);
    assert_eq!(open.json()["open"].as_array().map(Vec::len), Some(0));
}

#[test]
fn an_export_does_not_overwrite_a_sheet_that_is_being_edited() {
    let desk = Desk::start(1);
    desk.fill();
    desk.run("ana", &["table", "export", "--out", "a.csv"])
        .expect(0);
    desk.edit_sheet("a.csv", "split,50", "split,20");
    desk.run("ana", &["table", "export", "--out", "a.csv"])
        .expect(2);
    let text = fs::read_to_string(desk.path("a.csv")).expect("the sheet");
    assert!(text.contains("split,20"), "{text}");
}
