//! Several teams share the control replicas by tokens.

use std::fs;

use filberthead_testing::cluster::Cluster;

use super::session::{CliResult, Session};
use crate::support::programs;

/// The command line generates tokens, and the replicas store only their hashes. Each
/// operator may do what their role and services allow, under the token's name, whatever
/// name they give.
#[test]
fn a_token_sets_the_name_and_rights_of_an_operator() {
    let dir = tempfile::tempdir().expect("a folder");
    let tokens = dir.path().join("tokens");
    fs::write(&tokens, "# nobody yet\n").expect("written");
    let path = tokens.to_str().expect("a path in UTF-8");
    let builder = Cluster::builder(programs()).replicas(1);
    let session = Session::with_cluster(
        builder
            .control_setting("operators", "tokens", path)
            .prepare(),
    );

    let create_token = |name: &str, role: &str, services: &[&str]| {
        let mut args = vec!["token", "new", name, role, "--json"];
        args.extend(services);
        let created = session.run("x", &args).expect(0).json();
        let line = created["line"].as_str().expect("a line").to_owned();
        let secret = created["secret"].as_str().expect("a secret").to_owned();
        fs::write(dir.path().join(name), &secret).expect("written");
        assert!(!line.contains(&secret));
        line
    };
    let lines = [
        create_token("ana", "accept", &[]),
        create_token("rita", "read", &[]),
        create_token("orders-team", "accept", &["--services", "orders"]),
    ];
    fs::write(&tokens, lines.join("\n")).expect("written");

    let run = |token: &str, args: &[&str]| -> CliResult {
        let file = dir.path().join(token);
        let file = file.to_str().expect("a path in UTF-8");
        session.run("somebody", &[args, &["--token-file", file]].concat())
    };
    let refused = session.run("ana", &["control", "init"]).expect(1);
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

/// Where the settings require reviews, an operator with all rights can neither change a
/// row directly nor accept their own proposal; with a colleague's approval they can.
#[test]
fn a_required_review_applies_to_every_operator() {
    let builder = Cluster::builder(programs()).replicas(1);
    let builder = builder.control_setting("operators", "review", "required");
    let mut session = Session::with_cluster(builder.prepare());
    session.form_group(1);
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
    let refused = session.run("ana", &set).expect(1);
    assert!(refused.err.contains("review-missing"), "{refused:?}");
    let propose = [&["table", "propose", "orders", "split"], &values[..]].concat();
    session.run("ana", &propose).expect(0);
    session
        .run("ana", &["table", "accept", "1", "--allow", "own-review"])
        .expect(1);
    session
        .run("bruno", &["table", "review", "1", "--approve"])
        .expect(0);
    session.run("ana", &["table", "accept", "1"]).expect(0);
    assert_eq!(session.version(), 1);
}
