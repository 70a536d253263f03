//! The tokens file.

use filberthead_operator::{NewToken, TokenSource, Tokens};
use filberthead_table::Role;

#[test]
fn all_bad_lines_are_reported_at_once() {
    let good = NewToken::generate("ana", Role::Accept, &[]).unwrap().line;
    let hash = good.split(' ').nth(2).unwrap();
    let text = format!(
        "# operators\n\n{good}\nana read {hash}\nbruno boss {hash}\ncarla read\n\
         dora read {}\nema read {hash} Orders!\n",
        &hash[1..]
    );
    let lines: Vec<_> = Tokens::parse(&text)
        .unwrap_err()
        .faults
        .iter()
        .map(|(line, _)| *line)
        .collect();
    assert_eq!(lines, [4, 5, 6, 7, 8]);
}

#[test]
fn a_secret_is_not_in_its_line_and_is_unique() {
    let services = ["orders".parse().unwrap(), "catalogue".parse().unwrap()];
    let first = NewToken::generate("ana", Role::Propose, &services).unwrap();
    let second = NewToken::generate("ana", Role::Propose, &services).unwrap();
    assert_ne!(first.secret, second.secret);
    assert_ne!(first.line, second.line);
    let random = first.secret.trim_start_matches("fht_");
    assert_eq!(random.len(), 64);
    assert!(!first.line.contains(random));
    assert!(first.line.ends_with(" orders,catalogue"));
    let shown = format!("{:?}", Tokens::parse(&first.line).unwrap());
    assert_eq!(shown, r#"["ana"]"#);
}

#[test]
fn a_name_that_breaks_the_line_yields_no_token() {
    for name in ["", "ana maria", "#ana", "ana\nboss accept x:y"] {
        assert!(
            NewToken::generate(name, Role::Read, &[]).is_err(),
            "{name:?}"
        );
    }
}

#[test]
fn a_missing_or_bad_file_is_an_error_at_the_start() {
    let dir = tempfile::TempDir::new().unwrap();
    let path = dir.path().join("tokens");
    assert!(TokenSource::open(&path).is_err());
    std::fs::write(&path, "nonsense").unwrap();
    assert!(TokenSource::open(&path).is_err());
}
