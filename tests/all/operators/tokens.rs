//! Several teams share the control replicas by tokens.

use std::fs;

use filberthead_testing::cluster::Cluster;

use super::session::{Desk, Ended};
use crate::support::programs;

/// Tokens are drawn by the command line, and only their hashes lie with the replicas.
/// Each operator does what their role and services allow, under their token's name,
/// whatever name they claim.
#[test]
fn operators_act_under_their_tokens() {
    let dir = tempfile::tempdir().expect("a folder");
    let tokens = dir.path().join("tokens");
    fs::write(&tokens, "# nobody yet\n").expect("written");
    let path = tokens.to_str().expect("a path in UTF-8");
    let builder = Cluster::builder(programs()).replicas(1);
    let desk = Desk::with(
        builder
            .control_setting("operators", "tokens", path)
            .prepare(),
    );

    let draw = |name: &str, role: &str, services: &[&str]| {
        let mut words = vec!["token", "new", name, role, "--json"];
        words.extend(services);
        let drawn = desk.run("x", &words).expect(0).json();
        let line = drawn["line"].as_str().expect("a line").to_owned();
        let secret = drawn["secret"].as_str().expect("a secret").to_owned();
        fs::write(dir.path().join(name), &secret).expect("written");
        assert!(!line.contains(&secret));
        line
    };
    let lines = [
        draw("ana", "accept", &[]),
        draw("rita", "read", &[]),
        draw("orders-team", "accept", &["--services", "orders"]),
    ];
    fs::write(&tokens, lines.join("\n")).expect("written");

    let run = |token: &str, words: &[&str]| -> Ended {
        let file = dir.path().join(token);
        let file = file.to_str().expect("a path in UTF-8");
        desk.run("somebody", &[words, &["--token-file", file]].concat())
    };
    let refused = desk.run("ana", &["control", "init"]).expect(1);
    assert!(refused.err.contains("token-missing"), "{refused:?}");
    run("orders-team", &["control", "init"]).expect(1);
    run("ana", &["control", "init"]).expect(0);
    let set = |service| {
        [
            "table",
            "set",
            service,
            "split",
            "--weight",
            "1",
            "--limit",
            "1",
            "--shift-cap",
            "1",
            "--note",
            "x",
            "--as",
            "the-chief",
        ]
    };
    run("rita", &set("orders")).expect(1);
    run("orders-team", &set("catalogue")).expect(1);
    run("orders-team", &set("orders")).expect(0);
    let shown = run("rita", &["table", "show", "--json"]).expect(0).json();
    assert_eq!(shown["rows"].as_array().map(Vec::len), Some(1));
    assert_eq!(shown["rows"][0]["changed_by"], "orders-team");
}

/// Where the settings ask for reviews, an operator with every right can neither change a
/// row directly nor accept their own proposal; with a colleague's approval they can.
#[test]
fn a_required_review_binds_every_operator() {
    let builder = Cluster::builder(programs()).replicas(1);
    let builder = builder.control_setting("operators", "review", "required");
    let mut desk = Desk::with(builder.prepare());
    desk.join(1);
    let values = [
        "--weight",
        "1",
        "--limit",
        "1",
        "--shift-cap",
        "1",
        "--note",
        "x",
    ];
    let set = [&["table", "set", "orders", "split"], &values[..]].concat();
    let refused = desk.run("ana", &set).expect(1);
    assert!(refused.err.contains("review-missing"), "{refused:?}");
    let propose = [&["table", "propose", "orders", "split"], &values[..]].concat();
    desk.run("ana", &propose).expect(0);
    desk.run("ana", &["table", "accept", "1", "--allow", "own-review"])
        .expect(1);
    desk.run("bruno", &["table", "review", "1", "--approve"])
        .expect(0);
    desk.run("ana", &["table", "accept", "1"]).expect(0);
    assert_eq!(desk.version(), 1);
}
