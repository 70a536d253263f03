//! The documentation page of result codes, and properties of all codes.

use std::collections::BTreeSet;

use filberthead_types::{Meaning, ResultCode, result_codes_page};

#[test]
fn the_page_lists_every_code_as_declared() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/RESULT-CODES.md");
    let page = std::fs::read_to_string(path).expect("the page exists");
    assert_eq!(
        page,
        result_codes_page(),
        "docs/RESULT-CODES.md is outdated: its first lines state how to regenerate it"
    );
}

#[test]
fn numbers_and_slugs_are_unique() {
    let numbers: Vec<_> = ResultCode::ALL.iter().map(|code| code.number()).collect();
    assert!(numbers.is_sorted_by(|a, b| a < b), "{numbers:?}");
    let slugs: BTreeSet<_> = ResultCode::ALL.iter().map(|code| code.slug()).collect();
    assert_eq!(slugs.len(), ResultCode::ALL.len());
    for code in ResultCode::ALL {
        assert_eq!(ResultCode::from_number(code.number()), Some(*code));
        assert!(code.description().ends_with('.'), "{code}");
    }
}

/// With a success status on a code that means "not run", a client that checks the status alone
/// would take a refusal for an answer.
#[test]
fn success_statuses_are_used_only_for_requests_that_ran() {
    for code in ResultCode::ALL {
        let is_success = (200..300).contains(&code.status());
        assert!(!is_success || code.meaning() == Meaning::Ran, "{code}");
    }
}
