//! Invalid input at the command line changes nothing and is reported precisely.

use std::fs;

use super::session::Session;

#[test]
fn invalid_command_lines_are_rejected_before_anything_is_sent() {
    let session = Session::start(1);
    session.add_rows();
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
        (
            &["table", "show", "orders", "split"],
            "unexpected argument `split`",
        ),
        (&["table", "show", "--weight", "1"], "doesn't go with"),
        (
            &["table", "review", "one"],
            "`one` is not a proposal's number",
        ),
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
    for (args, hint) in lines {
        let result = session.run("ana", args);
        assert_eq!(result.exit, 2, "{args:?}: {result:?}");
        assert!(result.err.contains(hint), "{args:?}: {result:?}");
    }
    let bad = session.run("ana", &["--json", "tabel"]).expect(2);
    assert_eq!(bad.json()["exit"], 2);
    assert_eq!(session.version(), 2);
    let history = session
        .run("ana", &["table", "history", "--json"])
        .expect(0);
    let records = history.json()["records"].as_array().map(Vec::len);
    // The two rows and the registration of the replica.
    assert_eq!(records, Some(3));
}

/// A CSV file comes back from a spreadsheet with three errors in two lines. All are
/// reported with their lines, and none of the valid lines is proposed.
#[test]
fn every_invalid_line_of_a_sheet_is_reported() {
    let session = Session::start(1);
    session.add_rows();
    let text = "service;region;weight;limit;shift_cap;objective\n\
                orders;split;20;36;12;latency\n\
                orders;zagreb;1.200;36;12;speed\n\
                orders;osijek;1;36;;latency\n";
    fs::write(session.path("bad.csv"), text).expect("written");
    let args = ["table", "propose", "bad.csv", "--note", "x"];
    let refused = session.run("ana", &args).expect(2);
    for fault in [
        "bad.csv:3: `weight`",
        "bad.csv:3: `objective`",
        "bad.csv:4: `shift_cap`",
    ] {
        assert!(refused.err.contains(fault), "{refused:?}");
    }
    let json = session
        .run("ana", &[&args[..], &["--json"]].concat())
        .expect(2);
    assert_eq!(json.json()["faults"].as_array().map(Vec::len), Some(3));
    let open = session.run("ana", &["table", "review", "--json"]).expect(0);
    assert_eq!(open.json()["open"].as_array().map(Vec::len), Some(0));
}

#[test]
fn an_export_does_not_overwrite_an_existing_sheet() {
    let session = Session::start(1);
    session.add_rows();
    session
        .run("ana", &["table", "export", "--out", "a.csv"])
        .expect(0);
    session.edit_sheet("a.csv", "split,50", "split,20");
    session
        .run("ana", &["table", "export", "--out", "a.csv"])
        .expect(2);
    let text = fs::read_to_string(session.path("a.csv")).expect("the sheet");
    assert!(text.contains("split,20"), "{text}");
}
