//! The page of result codes, and what holds for each code.

use std::collections::BTreeSet;

use filberthead_types::{Meaning, ResultCode, result_codes_page};

#[test]
fn the_page_lists_every_code_as_declared() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/RESULT-CODES.md");
    let page = std::fs::read_to_string(path).expect("the page is there");
    assert_eq!(
        page,
        result_codes_page(),
        "renew docs/RESULT-CODES.md: its first lines tell how"
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

/// A status of success beside "not run" would let a client that looks at the status alone
/// take a refusal for an answer.
#[test]
fn success_statuses_are_used_only_for_requests_that_ran() {
    for code in ResultCode::ALL {
        let is_success = (200..300).contains(&code.status());
        assert!(!is_success || code.meaning() == Meaning::Ran, "{code}");
    }
}
